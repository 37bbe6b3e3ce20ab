"""Guards the order to send nothing more to the workers of a failure domain."""

import asyncio

import pytest

from mangowell_core.mesh import Directory
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


async def test_the_node_beside_an_evacuated_worker_refuses_late_arrivals():
    """Guards against nodes that learn of the order late and still send requests."""
    async with run_mesh(2, zones=ZONES) as (store, machines):
        store.put(ORDER, b"{}")
        await until(lambda: are_told(machines, "a"))
        late = machines[1].node.directory
        late.end_evacuation("a")
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
