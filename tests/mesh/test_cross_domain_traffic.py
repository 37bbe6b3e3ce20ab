"""Tests the counts of bytes between failure domains, and what is sent between them."""

import asyncio
from time import monotonic

from mangowell_core.mesh import Publication
from mangowell_core.mesh.model import ChangeNotice
from mangowell_node.link.traffic import KINDS, MAX_HOSTS, Traffic
from mangowell_node.mesh import gossip as gossip_module
from mangowell_node.mesh.gossip import OTHER_DOMAIN_CHANGE_INTERVAL_S
from mesh.support_mesh import fill_slots, run_mesh, until


def get_sent(machine):
    node = machine.node
    return node._traffic.sum_by_kind(node._gossip.is_in_other_domain)


async def test_bytes_to_other_domains_are_counted_by_kind():
    """Nothing showed what between domains was traffic of requests or of nodes."""
    async with run_mesh(2, zones=("a", "b")) as (_, (first, second)):
        await until(lambda: first.node._links.links and second.node._links.links)
        fill_slots(first, waiting=100)
        assert (await first.call(method="POST", body=b"x" * 5000)).status == 200
        sent, answered = get_sent(first), get_sent(second)
        assert set(sent) == set(KINDS)
        assert 5000 < sent["requests"] < 6000
        assert sent["probes"] > 0 and sent["pings"] > 0 and sent["status"] > 0
        assert answered["answers"] > 0 and answered["probes"] > 0
        assert sent["answers"] == answered["requests"] == 0
        first.node._set_gauges()
        metric = f"mangowell_cross_domain_bytes_requests {float(sent['requests'])}"
        assert metric.encode() in first.telemetry.render()
        trips = first.node.gateway.attempts.placement.round_trips
        assert 0 < trips.estimate("b") < 0.1


async def test_bytes_within_the_domain_are_not_counted():
    async with run_mesh(2) as (_, (first, _)):
        await until(lambda: first.node._links.links)
        fill_slots(first, waiting=100)
        assert (await first.call()).status == 200
        assert not any(get_sent(first).values())


async def test_changes_in_a_row_send_one_status_to_other_domains(monkeypatch):
    """Each change of an entry sent a status to every node of other domains."""
    async with run_mesh(4, zones=("a", "b")) as (_, machines):
        await until(lambda: all(len(m.node._links.links) == 3 for m in machines))
        now = monotonic()
        gossip = next(
            m.node._gossip
            for m in machines
            if m.node._gossip._election.is_publisher(now)
        )
        publisher = next(m for m in machines if m.node._gossip is gossip)
        await asyncio.sleep(OTHER_DOMAIN_CHANGE_INTERVAL_S)
        changes = ChangeNotice(1, 2, 1, None, (), ("i-9",))
        monkeypatch.setattr(Publication, "collect", lambda *args: changes)
        before = get_sent(publisher)["status"]
        gossip.publish()
        told = get_sent(publisher)["status"]
        for _ in range(20):
            gossip.publish()
        assert before < told == get_sent(publisher)["status"]
        monkeypatch.undo()
        # The last change is told too.
        await until(lambda: not gossip._owes_status, 1.0)
        assert get_sent(publisher)["status"] > told


async def test_changes_that_others_need_not_know_at_once_send_them_no_status(
    monkeypatch,
):
    """Workers that become warm rewrite their entries each second or so."""
    async with run_mesh(4, zones=("a", "b")) as (_, machines):
        await until(lambda: all(len(m.node._links.links) == 3 for m in machines))
        now = monotonic()
        gossip = next(
            m.node._gossip
            for m in machines
            if m.node._gossip._election.is_publisher(now)
        )
        entry = machines[0].node.directory.endpoints["i-1"]
        changes = ChangeNotice(1, 2, 1, None, (entry,), ())
        monkeypatch.setattr(Publication, "collect", lambda *args: changes)
        await until(lambda: not gossip._owes_status, 2.0)
        gossip.publish()
        assert not gossip._owes_status


async def test_nodes_of_other_domains_get_the_status_in_turn(monkeypatch):
    """Statuses of 71 nodes were a third of all bytes between three domains."""
    monkeypatch.setattr(gossip_module, "OTHER_DOMAIN_PEERS", 1)
    async with run_mesh(3, zones=("a", "b", "b")) as (_, machines):
        gossip = machines[0].node._gossip
        await until(lambda: len(gossip._split_links()[1]) == 2)
        told = []
        monkeypatch.setattr(
            gossip_module, "_send", lambda link, *_: told.append(link.address[0])
        )
        for _ in range(4):
            gossip._announce_in_turn()
        hosts = [machine.host for machine in machines[1:]]
        assert [told.count(host) for host in hosts] == [2, 2]


def test_connections_from_many_addresses_do_not_fill_the_counts():
    traffic = Traffic()
    for number in range(MAX_HOSTS + 100):
        traffic.get_counts(str(number))["pings"] += 1
    assert traffic.sum_by_kind(lambda _: True)["pings"] == MAX_HOSTS
