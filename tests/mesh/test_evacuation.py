"""Guards the order to send nothing more to the workers of a failure domain."""

import asyncio
from time import monotonic

import pytest

from mangowell_core.mesh import Directory, Publication
from mangowell_core.mesh.model import ChangeNotice, MeshState, StateNotice
from mangowell_node.platform import Item
from mesh.support_mesh import restart, run_mesh, until

ORDER = "op/evacuate/a"
ZONES = ("a", "b")


def are_told(machines, *domains):
    expected = frozenset(domains)
    return all(m.node.directory.evacuated == expected for m in machines)


async def count_runs(machines, calls=8):
    """Return how many of some requests the workers of both domains have run."""
    before = [m.worker.executions for m in machines]
    for number in range(calls):
        for machine in machines:
            answer = await machine.call(request=f"r-{machine.id}-{number}")
            assert answer.status == 200
    return [m.worker.executions - n for m, n in zip(machines, before, strict=True)]


async def test_evacuated_workers_get_requests_again_only_after_the_order_ends():
    async with run_mesh(2, zones=ZONES) as (store, machines):
        store.put(ORDER, b"{}")
        await until(lambda: are_told(machines, "a"))
        assert await count_runs(machines) == [0, 16]
        store.delete(ORDER)
        await until(lambda: are_told(machines))
        runs = await count_runs(machines)
        assert min(runs) > 0


async def test_a_node_that_starts_during_an_evacuation_uses_none_of_its_workers():
    async with run_mesh(2, zones=ZONES) as (store, machines):
        store.put(ORDER, b"{}")
        await until(lambda: are_told(machines, "a"))
        await restart(machines[1])
        await until(lambda: are_told(machines, "a"))
        await until(lambda: len(machines[1].node.directory) == 2)
        # The links to the new node open after a while.
        while (await machines[0].call()).status != 200:
            await asyncio.sleep(0.05)
        assert await count_runs(machines) == [0, 16]


async def test_an_evacuation_holds_while_the_store_is_away():
    """Guards against workers that come back before the order has ended."""
    async with run_mesh(2, zones=ZONES) as (store, machines):
        store.put(ORDER, b"{}")
        await until(lambda: are_told(machines, "a"))
        store.refuse_status = 503
        for machine in machines:
            await until(lambda m=machine: m.node.directory.is_store_away)
        assert await count_runs(machines) == [0, 16]
        store.delete(ORDER)
        store.refuse_status = 0
        await until(lambda: are_told(machines))


async def test_a_node_that_cannot_read_the_store_hears_of_an_evacuation_from_peers():
    async with run_mesh(3, zones=("a", "b", "b")) as (store, machines):
        reader, told = machines[0], machines[2]
        await told.node._feed.stop()
        store.put(ORDER, b"{}")
        await until(lambda: are_told(machines, "a"))
        assert reader.node.directory.is_evacuated("a")
        store.delete(ORDER)
        await until(lambda: are_told(machines))
        # Operators compare the events of all nodes.
        for machine in machines:
            for name in ("evacuation_started", "evacuation_ended"):
                (event,) = machine.get_events(name)
                assert event["fields"]["domain"] == "a"


async def test_the_node_beside_an_evacuated_worker_refuses_late_arrivals():
    """Guards against nodes that learn of the order late and still send requests."""
    async with run_mesh(2, zones=ZONES) as (store, machines):
        store.put(ORDER, b"{}")
        await until(lambda: are_told(machines, "a"))
        late = machines[1].node.directory
        late.end_evacuation("a", late.revision + 1)
        before = machines[0].worker.executions
        for number in range(12):
            answer = await machines[1].call(request=f"late-{number}")
            assert answer.status == 200
        assert machines[0].worker.executions == before


@pytest.mark.parametrize("value", [b"{}", b"", b"\xff"])
async def test_an_order_is_followed_whatever_its_value_is(value):
    async with run_mesh(1, zones=("a",)) as (store, machines):
        store.put(ORDER, value)
        await until(lambda: are_told(machines, "a"))
        answer = await machines[0].call()
        assert (answer.status, "retry-after" in answer.headers) == (503, True)


@pytest.mark.parametrize("name", ["", "a\x01"])
async def test_an_order_with_an_impossible_name_stops_no_other_change(name):
    """Peers dropped every message that named it, until the key was removed."""
    async with run_mesh(3, zones=("a", "b", "b")) as (store, machines):
        reader, told = machines[0], machines[2]
        await told.node._feed.stop()
        store.put("op/evacuate/" + name, b"{}")
        # A node that has just started reads the whole list.
        await restart(reader)
        await until(lambda: len(reader.node.directory) == 3)
        store.put(ORDER, b"{}")
        await until(lambda: are_told(machines, "a"))
        for machine in machines:
            assert not machine.get_events("peer_message_dropped")


def test_an_older_list_of_the_store_ends_no_evacuation():
    """Guards against requests to the domain until the watch repeats the order."""
    directory = Directory()
    directory.load([], 100, 1.0, ["a"])
    directory.load([], 90, 2.0, ["b"])
    assert directory.evacuated == {"a", "b"}
    directory.load([], 100, 3.0, ["a"])
    assert directory.evacuated == {"a"}


# Fleets with nodes that know no orders: of an earlier version, or without the setting


def make_state(revision, evacuated=None):
    """Return a state as a node sends it; without `evacuated`, it knows no orders."""
    return StateNotice(MeshState(revision, None, (), evacuated), None)


def make_orders(since, revision, version=0, evacuated=None):
    return ChangeNotice(since, revision, version, None, (), (), None, evacuated)


def test_a_state_that_passed_through_a_node_without_orders_ends_no_evacuation():
    """A node with the state of an earlier version sent that nothing was evacuated."""
    relay, told = Directory(), Directory()
    assert relay.apply_state(make_state(5), 1.0)
    told.load([], 3, 1.0, ["a"])
    assert told.apply_state(relay.export(), 2.0)
    assert (told.revision, told.evacuated) == (5, {"a"})


def test_orders_are_not_sent_as_complete_after_changes_without_orders():
    """Orders that were given meanwhile ended at the nodes that were sent the state."""
    relay, told = Directory(), Directory()
    relay.load([], 3, 1.0, ["a"])
    assert relay.apply_changes(make_orders(3, 5), 2.0)
    told.load([], 4, 1.0, ["a", "b"])
    assert told.apply_state(relay.export(), 2.0)
    assert told.evacuated == {"a", "b"}
    assert relay.apply_changes(make_orders(5, 6, evacuated=("b",)), 3.0)
    assert relay.export().state.evacuated == ("b",)


async def test_a_reader_without_the_setting_ends_no_evacuation():
    """It told its failure domain that nothing was evacuated, with the next change."""
    async with run_mesh(3, zones=("a", "b", "b")) as (store, machines):
        reader, told = machines[1:]
        store.put(ORDER, b"{}")
        await until(lambda: are_told(machines, "a"))
        reader.evacuate_s = 0.0
        await restart(reader)
        await told.node._feed.stop()
        revision = store.put("servers/i-1", machines[0].entry)
        await until(lambda: told.node.directory.revision >= revision)
        assert are_told([told], "a")


async def test_a_new_reader_learns_of_orders_that_the_last_one_did_not_know():
    """It watched from the last reader's revision, which was later than the order."""
    async with run_mesh(1, zones=("a",)) as (store, machines):
        feed, directory = machines[0].node._feed, machines[0].node.directory
        feed.set_reading(False)
        since, version = directory.revision, directory.document_version
        revision = store.put(ORDER, b"{}")
        assert directory.apply_changes(make_orders(since, revision, version), 0.0)
        assert not directory.evacuated
        feed.set_reading(True)
        await until(lambda: are_told(machines, "a"))


@pytest.mark.parametrize("value", [b"{}", None])
async def test_an_older_copy_of_an_order_changes_nothing(value):
    """A watch behind the other nodes ended the evacuation that they had told of.

    If the store went away then, it stayed ended.
    """
    async with run_mesh(1, zones=("b",)) as (_, machines):
        feed, directory = machines[0].node._feed, machines[0].node.directory
        revision, version = directory.revision, directory.document_version
        told = ("a",) if value is None else ()
        orders = make_orders(revision, revision + 3, version, told)
        assert directory.apply_changes(orders, monotonic())
        feed._apply(Item(ORDER, value, revision + 1))
        feed._advance_revision(revision + 1)
        assert directory.evacuated == set(told)
        feed._apply(Item("op/evacuate/c", b"{}", revision + 4))
        assert directory.evacuated == {*told, "c"}


def test_an_order_of_an_older_list_holds_until_a_later_write_ends_it():
    """It is not sent to other nodes as one that holds, as it may have ended."""
    directory = Directory()
    directory.load([], 100, 1.0, ["a"])
    directory.load([], 90, 2.0, ["b"])
    assert directory.export().state.evacuated == ("a",)
    directory.end_evacuation("a", 95)
    directory.end_evacuation("b", 95)
    assert directory.evacuated == {"a"}
    directory.load([], 90, 2.0, ["b"])
    directory.confirm_evacuations(100)
    assert directory.export().state.evacuated == ("a", "b")


def test_orders_that_become_known_are_published_without_another_change():
    """Nodes kept to what an earlier reader had told them until the next change."""
    reader, publication = Directory(), Publication()
    reader.apply_state(make_state(5), 1.0)
    publication.mark(5, None, {}, reader.export_evacuations())
    reader.load([], 5, 2.0, ["a"])
    state = 5, None, reader.history, reader.listed, reader.export_evacuations()
    assert publication.collect(*state).evacuated == ("a",)
    assert publication.collect(*state) is None
