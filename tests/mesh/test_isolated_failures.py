"""Guards against a failure in one part of a node that stops other parts.

A change of the directory is passed on to several parts by the task that has read it,
and the periodic tasks do several things in turn.
"""

import asyncio
from time import monotonic

import pytest

from mangowell_core.mesh import Publication
from mangowell_core.mesh.model import ChangeNotice
from mangowell_node.mesh import gateway, gossip
from mesh.support_mesh import make_document, make_entry, make_route, run_mesh, until

# A change has to be in force 2 s after its write.
APPLY_S = 2.0


class Failing:
    """Raises at the first calls, and then calls the function in its place."""

    def __init__(self, function, failures):
        self.function = function
        self.left = failures

    def __call__(self, *args, **kwargs):
        if self.left:
            self.left -= 1
            raise ArithmeticError("planned")
        return self.function(*args, **kwargs)


class FailingPublication(Publication):
    """Raises when changes are collected the first times."""

    def __init__(self, published):
        super().__init__()
        self._revision = published._revision
        self._version = published._version
        self._endpoints = published._endpoints
        self.fail = None

    def collect(self, *args):
        if self.fail.left:
            self.fail()
        return super().collect(*args)


def get_version(machine):
    return machine.node.directory.document.version


async def wait_for_readers(machines, count=2):
    await until(lambda: sum(m.node._feed.is_up for m in machines) == count, 8.0)


@pytest.mark.parametrize("part", ["runner", "gateway", "links", "publish"])
@pytest.mark.parametrize("failures", [1, 10_000])
async def test_part_that_fails_on_a_change_does_not_stop_the_reading(part, failures):
    async with run_mesh(2) as (store, (machine, other)):
        await wait_for_readers([machine, other])
        node = machine.node
        if part == "publish":
            node._gossip._publication = FailingPublication(node._gossip._publication)
            failing = node._gossip._publication.fail = Failing(None, failures)
        else:
            holder, name = {
                "runner": (node.runner, "_is_leaving"),
                "gateway": (node.gateway.attempts, "sync"),
                "links": (node._gossip._links, "get_link"),
            }[part]
            failing = Failing(getattr(holder, name), failures)
            setattr(holder, name, failing)
        for version in (2, 3):
            store.put("op/config", make_document(version))
            await until(
                lambda version=version: get_version(machine) == version, APPLY_S
            )
        assert failing.left < failures
        assert node._feed.is_up
        assert not machine.get_events("internal_fault")
        await until(lambda: get_version(other) == 3, APPLY_S)


async def test_part_that_has_failed_on_a_change_is_called_again(monkeypatch):
    """The next change may come much later, and routes of the last one are in force."""
    async with run_mesh() as (store, (machine,)):
        table = Failing(gateway.RouteTable, 3)
        monkeypatch.setattr(gateway, "RouteTable", table)
        store.put("op/config", make_document(2, {"r": make_route("/new/")}))
        await until(lambda: get_version(machine) == 2, APPLY_S)
        await until(lambda: not table.left, APPLY_S)
        await asyncio.sleep(0.5)
        assert (await machine.call("/new/x")).status == 200


@pytest.mark.parametrize("failures", [1, 3])
async def test_failed_publication_is_repeated(monkeypatch, failures):
    """The changes were marked as published before they were encoded and sent."""
    async with run_mesh(4) as (store, machines):
        await wait_for_readers(machines)
        encode_notice = gossip.encode_notice
        fail = Failing(encode_notice, failures)
        published = []

        def encode(notice):
            if isinstance(notice, ChangeNotice):
                payload = fail(notice)
                published.append(notice)
                return payload
            return encode_notice(notice)

        monkeypatch.setattr(gossip, "encode_notice", encode)
        store.put("op/config", make_document(7))
        await until(lambda: all(get_version(m) == 7 for m in machines), APPLY_S)
        await until(lambda: published, APPLY_S)
        assert published[0].delta.version == 7
        await wait_for_readers(machines)
        store.put("op/config", make_document(8))
        await until(lambda: all(get_version(m) == 8 for m in machines), APPLY_S)


async def test_changes_spread_though_no_publication_can_be_encoded(monkeypatch):
    async with run_mesh(4) as (store, machines):
        await wait_for_readers(machines)
        encode_notice = gossip.encode_notice

        def encode(notice):
            if isinstance(notice, ChangeNotice):
                raise OverflowError("planned")
            return encode_notice(notice)

        monkeypatch.setattr(gossip, "encode_notice", encode)
        store.put("op/config", make_document(7))
        await until(lambda: all(get_version(m) == 7 for m in machines), APPLY_S)
        assert sum(m.node._feed.is_up for m in machines) >= 2


async def test_step_that_fails_does_not_stop_the_status():
    """Other nodes would take the node for failed, and use its worker last."""
    async with run_mesh(2) as (_, (machine, other)):
        election = other.node._gossip._election
        await until(lambda: election._get_fresh_reports(monotonic()))
        prober = machine.node.gateway.attempts.prober
        prober.stopping_peers = type(
            "FailingPeers",
            (type(prober.stopping_peers),),
            {"expire": Failing(None, 10_000)},
        )()
        machine.node._gossip._resend_crashes = Failing(None, 10_000)
        await asyncio.sleep(3.0)
        assert election._get_fresh_reports(monotonic())
        assert not other.get_events("node_isolated")


async def test_step_that_fails_does_not_stop_the_election_of_readers():
    async with run_mesh(3) as (store, machines):
        await wait_for_readers(machines)
        (idle,) = [m for m in machines if not m.node._feed.is_up]
        idle.node._gossip._links.check = Failing(None, 10_000)
        await asyncio.sleep(0.3)
        for machine in machines:
            if machine is not idle:
                await machine.node.abort()
        store.put("op/config", make_document(7))
        await until(lambda: get_version(idle) == 7, APPLY_S)


async def test_link_that_cannot_send_is_replaced_and_the_others_get_the_change():
    async with run_mesh(3) as (store, machines):
        await wait_for_readers(machines)
        now = monotonic()
        publisher = next(
            m for m in machines if m.node._gossip._election.is_publisher(now)
        )
        links = list(publisher.node._link_server.links)
        links[0].send_notice = Failing(None, 10_000)
        store.put("servers/i-9", make_entry("127.0.0.9", 1))
        await until(
            lambda: all("i-9" in m.node.directory.endpoints for m in machines), APPLY_S
        )
        assert links[0].closed
        assert publisher.node._feed.is_up
