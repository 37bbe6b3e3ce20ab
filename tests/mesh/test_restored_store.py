"""A store that comes back from an older copy, and what nodes know from before."""

import asyncio
import json

from mesh.support_mesh import (
    make_document,
    make_entry,
    make_route,
    restart,
    run_mesh,
    until,
)

# Time within which a change has to be in force, in seconds.
APPLIED_WITHIN_S = 2.0


def put_entry(store, machine, seq, state="ready", **fields):
    """Write the entry of a machine's worker, as its write number `seq`."""
    entry = json.loads(machine.entry) | fields
    entry["status"] |= {"seq": seq, "state": state}
    return store.put(f"servers/{machine.id}", json.dumps(entry).encode())


def put_other(store, number=9, port=1):
    """Write the entry of a worker that no node is beside."""
    return store.put(f"servers/i-{number}", make_entry(f"127.0.0.{number}", port))


def get_worker(node, worker_id):
    return node.directory.endpoints.get(worker_id)


def has_port(machine, worker_id, port):
    worker = get_worker(machine.node, worker_id)
    return worker is not None and worker.port == port


def have_version(machines, version):
    """Return whether all nodes have applied a version of the document."""
    documents = [machine.node.directory.document for machine in machines]
    return all(d is not None and d.version == version for d in documents)


def is_used(machine, worker_id):
    """Return whether a node would send requests to a listed worker."""
    worker = get_worker(machine.node, worker_id)
    return worker is not None and not worker.draining


async def wait_for_restore(machines):
    """Wait until the readers have read the restored store."""
    await until(lambda: any(m.get_events("source_restored") for m in machines))
    await asyncio.sleep(0.3)


async def test_worker_that_drains_after_a_restore_gets_no_requests():
    """Guards against an entry that is dropped as older than one from before."""
    async with run_mesh(3) as (store, machines):
        copy = store.take_copy()
        for seq in range(2, 12):
            put_entry(store, machines[1], seq)
        await until(lambda: get_worker(machines[0].node, "i-2").seq == 11)
        store.restore(copy)
        put_entry(store, machines[1], 12)
        await wait_for_restore(machines)
        put_entry(store, machines[1], 13, "draining")
        await until(
            lambda: not any(is_used(m, "i-2") for m in machines), APPLIED_WITHIN_S
        )


async def test_worker_that_had_drained_before_a_restore_stays_unused():
    """Guards against a copy in which a leaving worker is ready again."""
    async with run_mesh(3) as (store, machines):
        copy = store.take_copy()
        put_entry(store, machines[1], 7, "draining")
        await until(lambda: not any(is_used(m, "i-2") for m in machines))
        store.restore(copy)
        await wait_for_restore(machines)
        assert not any(is_used(machine, "i-2") for machine in machines)
        put_other(store)
        await until(lambda: all(get_worker(m.node, "i-9") for m in machines))
        assert not any(is_used(machine, "i-2") for machine in machines)


async def test_worker_that_had_left_before_a_restore_does_not_come_back():
    """Guards against a copy that lists a worker which has ended."""
    async with run_mesh(3) as (store, machines):
        put_other(store)
        await until(lambda: all(is_used(m, "i-9") for m in machines))
        copy = store.take_copy()
        store.delete("servers/i-9")
        await until(lambda: not any(is_used(m, "i-9") for m in machines))
        store.restore(copy)
        await wait_for_restore(machines)
        assert not any(is_used(machine, "i-9") for machine in machines)


async def test_worker_that_registers_again_after_a_restore_is_used():
    """Guards against a live worker that is kept out as if its entry were a copy."""
    async with run_mesh(3) as (store, machines):
        copy = store.take_copy()
        put_entry(store, machines[1], 5)
        store.delete("servers/i-2")
        await until(lambda: not any(is_used(m, "i-2") for m in machines))
        store.restore(copy)
        await wait_for_restore(machines)
        put_entry(store, machines[1], 6)
        await until(lambda: all(is_used(m, "i-2") for m in machines), APPLIED_WITHIN_S)


async def test_worker_registered_since_the_copy_is_used_throughout():
    """Guards against a gap in the use of a worker that the copy does not have."""
    async with run_mesh(3) as (store, machines):
        copy = store.take_copy()
        put_other(store)
        await until(lambda: all(is_used(m, "i-9") for m in machines))
        store.restore(copy)
        await wait_for_restore(machines)
        assert all(is_used(machine, "i-9") for machine in machines)
        put_other(store)
        await asyncio.sleep(APPLIED_WITHIN_S + 0.5)
        assert all(is_used(machine, "i-9") for machine in machines)


async def test_document_after_a_restore_is_in_force_in_time():
    """Guards against a document that is late because its revision is lower."""
    async with run_mesh(3) as (store, machines):
        copy = store.take_copy()
        store.put("op/config", make_document(4, {"r": make_route("/four/")}))
        for number in range(10):
            put_other(store, port=number + 1)
        await until(lambda: have_version(machines, 4))
        store.restore(copy)
        await wait_for_restore(machines)
        assert have_version(machines, 4)
        store.put("op/config", make_document(6, {"r": make_route("/six/")}))
        await until(
            lambda: have_version(machines, 6),
            APPLIED_WITHIN_S,
        )
        for machine in machines:
            assert (await machine.call("/six/x")).status == 200


async def test_node_started_after_a_restore_gets_the_newest_document():
    """Guards against a new node that runs the document of the copy."""
    async with run_mesh(3) as (store, machines):
        copy = store.take_copy()
        store.put("op/config", make_document(4, {"r": make_route("/four/")}))
        await until(lambda: have_version(machines, 4))
        store.restore(copy)
        await wait_for_restore(machines)
        await restart(machines[0])
        await until(lambda: have_version(machines, 4), APPLIED_WITHIN_S)
        assert (await machines[0].call("/four/x")).status == 200


async def test_new_reader_misses_nothing_that_was_written_after_a_restore():
    """Guards against a watch behind a revision that has been given out again."""
    async with run_mesh(2) as (store, machines):
        copy = store.take_copy()
        for number in range(4):
            put_other(store, port=number + 1)
        await until(lambda: all(has_port(m, "i-9", 4) for m in machines))
        for machine in machines:
            machine.node._feed.set_reading(False)
        store.restore(copy)
        put_other(store, number=8)
        for number in range(6):
            put_other(store, port=number + 11)
        await until(
            lambda: all(get_worker(m.node, "i-8") for m in machines), APPLIED_WITHIN_S
        )


async def test_second_restore_is_followed_like_the_first():
    """Guards against an order that is right for one restore only."""
    async with run_mesh(2) as (store, machines):

        def have_seq(seq):
            return all(get_worker(m.node, "i-2").seq == seq for m in machines)

        async def write_restore_and_write(seq):
            copy = store.take_copy()
            for offset in range(8):
                put_entry(store, machines[1], seq + offset)
            await until(lambda: have_seq(seq + 7))
            store.restore(copy)
            put_entry(store, machines[1], seq + 8)
            await until(lambda: have_seq(seq + 8), APPLIED_WITHIN_S)

        await write_restore_and_write(20)
        await write_restore_and_write(40)


async def test_node_started_since_a_worker_left_does_not_use_its_copy():
    """Guards against a node that never had the entry and takes it for a new one."""
    async with run_mesh(3) as (store, machines):
        put_other(store)
        await until(lambda: all(is_used(m, "i-9") for m in machines))
        copy = store.take_copy()
        store.delete("servers/i-9")
        await until(lambda: not any(is_used(m, "i-9") for m in machines))
        await restart(machines[0])
        await until(lambda: len(machines[0].node.directory) == 3)
        await asyncio.sleep(1.0)
        store.restore(copy)
        await wait_for_restore(machines)
        assert not any(is_used(machine, "i-9") for machine in machines)


async def test_reader_of_another_domain_does_not_use_the_copy_of_a_worker():
    """Guards against readers that know departures of their own domain only."""
    async with run_mesh(3, zones=("a", "b", "c")) as (store, machines):
        put_other(store)
        await until(lambda: all(is_used(m, "i-9") for m in machines))
        copy = store.take_copy()
        store.delete("servers/i-9")
        await until(lambda: not any(is_used(m, "i-9") for m in machines))
        await restart(machines[0])
        await until(lambda: len(machines[0].node.directory) == 3)
        await asyncio.sleep(1.0)
        store.restore(copy)
        await wait_for_restore(machines)
        assert not any(is_used(machine, "i-9") for machine in machines)


async def test_node_started_since_a_worker_left_uses_it_once_it_registers_again():
    """Guards against a live worker that a peer's record of a departure keeps out."""
    async with run_mesh(3) as (store, machines):
        copy = store.take_copy()
        put_entry(store, machines[1], 5)
        store.delete("servers/i-2")
        await until(lambda: not any(is_used(m, "i-2") for m in machines))
        await restart(machines[0])
        await until(lambda: len(machines[0].node.directory) == 2)
        await asyncio.sleep(1.0)
        store.restore(copy)
        await wait_for_restore(machines)
        assert not any(is_used(machine, "i-2") for machine in machines)
        put_entry(store, machines[1], 6)
        await until(lambda: all(is_used(m, "i-2") for m in machines), APPLIED_WITHIN_S)
