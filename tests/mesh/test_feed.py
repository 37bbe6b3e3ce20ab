"""Guards against missed changes of the store, also during its outages."""

import asyncio

from mesh.support_mesh import make_document, make_entry, make_route, run_mesh, until


async def test_new_document_version_is_applied():
    async with run_mesh() as (store, (machine,)):
        store.put("op/config", make_document(2, {"r": make_route("/new/")}))
        await until(lambda: machine.node.directory.document.version == 2)
        assert (await machine.call("/new/x")).status == 200
        assert (await machine.call("/x")).status == 404


async def test_older_document_version_is_not_applied():
    async with run_mesh(document=make_document(5)) as (store, (machine,)):
        store.put("op/config", make_document(4))
        store.put("servers/i-9", make_entry("127.0.0.9", 1))
        await until(lambda: len(machine.node.directory) == 2)
        assert machine.node.directory.document.version == 5


async def test_unreadable_document_keeps_the_previous_one():
    async with run_mesh() as (store, (machine,)):
        store.put("op/config", b"{")
        await until(lambda: machine.get_events("version_refused"))
        assert machine.node.directory.document.version == 1
        assert (await machine.call()).status == 200


async def test_unreadable_entry_removes_only_its_own_worker():
    async with run_mesh(2) as (store, machines):
        store.put("servers/i-2", b"\xff")
        await until(lambda: len(machines[0].node.directory) == 1)
        assert (await machines[0].call()).status == 200


async def test_closed_watch_with_dropped_history_lists_again():
    """Guards against a missed change after the store closes a watch.

    aiohttp used to repeat the watch by itself, and the store then held it until the
    next change.
    """
    async with run_mesh() as (store, (machine,)):
        await until(lambda: store.watch_count == 1)
        store.put_without_notification("op/config", make_document(3))
        store.discard_history()
        await until(lambda: machine.node.directory.document.version == 3, 2.0)


async def test_entries_that_expire_in_an_outage_are_kept_for_a_while():
    async with run_mesh() as (store, (machine,)):
        store.refuse_status = 503
        store.discard_history()
        await until(lambda: machine.node.directory.is_store_away)
        store.delete("servers/i-1")
        store.refuse_status = 0
        await until(lambda: not machine.node.directory.is_store_away)
        assert (await machine.call()).status == 200
        await asyncio.sleep(0.5)
        assert (await machine.call()).status == 200
        await until(lambda: len(machine.node.directory) == 0, 4.0)


async def test_node_without_a_document_refuses_without_running():
    async with run_mesh() as (_, (machine,)):
        machine.node.gateway._route_table = None
        answer = await machine.call()
        assert answer.status == 503
        assert "retry-after" in answer.headers
        assert machine.worker.executions == 0


async def test_node_without_the_store_gets_the_state_from_others():
    async with run_mesh(2) as (store, machines):
        first, second = machines
        await until(lambda: first.node._links.get_link(second.host, second.link_port))
        # Stopping the feed of the first node stands for a store that refuses it.
        await first.node._feed.stop()
        first.node.directory.record_store_outage()
        store.put("op/config", make_document(8))
        await until(lambda: first.node.directory.document.version == 8, 3.0)


async def wait_for_readers(machines, count=2):
    await until(lambda: count_readers(machines) == count, 8.0)


def count_readers(machines):
    return sum(m.node._feed.is_up for m in machines)


async def test_two_readers_send_changes_to_their_domain():
    """Guards against every node reading every version over its own link."""
    async with run_mesh(4) as (store, machines):
        await wait_for_readers(machines)
        calls = store.calls
        store.put("op/config", make_document(7, {"r": make_route("/new/")}))
        store.delete("servers/i-4")
        await until(
            lambda: all(
                m.node.directory.document.version == 7 and len(m.node.directory) == 3
                for m in machines
            ),
            2.0,
        )
        assert store.calls - calls <= 4
        # Operators find in this event which node sent a version.
        non_readers = [m for m in machines if not m.node._feed.is_up]
        peers = {
            m.get_events("version_applied")[-1]["fields"]["peer"] for m in non_readers
        }
        assert peers <= {m.host for m in machines}
        assert all([(await m.call("/new/x")).status == 200 for m in machines])


async def test_change_reaches_nodes_after_both_readers_crash():
    """Guards against a change that is in force later than 2 s after its write."""
    async with run_mesh(4) as (store, machines):
        await wait_for_readers(machines)
        readers = [m for m in machines if m.node._feed.is_up]
        others = [m for m in machines if m not in readers]
        for machine in readers:
            await machine.node.abort()
        store.put("op/config", make_document(7))
        await until(
            lambda: all(m.node.directory.document.version == 7 for m in others), 2.0
        )


async def test_concurrent_publishers_do_not_resend_received_changes():
    """Guards against nodes that answer each other's changes with changes.

    Right after the start, each node takes itself for the publisher.
    """
    async with run_mesh(3) as (store, machines):
        store.put("servers/i-9", make_entry("127.0.0.9", 1))
        await until(lambda: all(len(m.node.directory) == 4 for m in machines))
        await asyncio.sleep(0.5)
        for machine in machines:
            assert len(machine.get_events("instances_applied")) <= 12


async def test_each_failure_domain_elects_its_own_readers():
    async with run_mesh(4, zones=("a", "b")) as (store, machines):
        await asyncio.sleep(2.0)
        assert count_readers(machines) == 4
        store.put("op/config", make_document(7))
        await until(
            lambda: all(m.node.directory.document.version == 7 for m in machines), 2.0
        )


async def test_domain_with_silent_store_gets_changes_from_another_domain():
    """Guards against a missed change if both readers of a domain have a silent store.

    The store still answers the readers of the other domain.
    """
    async with run_mesh(7, zones=("a", "b")) as (store, machines):
        await wait_for_readers(machines, 4)
        readers = [m for m in machines if m.node._feed.is_up]
        silent = [m for m in readers if m.zone == "b"]
        others = [m for m in machines if m not in silent]
        stores = [SilentStore() for _ in silent]
        for machine, silent_store in zip(silent, stores, strict=True):
            machine.node._feed._store = silent_store
        await until(lambda: all(s.is_watched for s in stores))
        store.put("op/config", make_document(7))
        await until(
            lambda: all(m.node.directory.document.version == 7 for m in others), 2.0
        )


class SilentStore:
    """Store that never answers a watch."""

    is_watched = False

    async def watch(self, revision):
        self.is_watched = True
        await asyncio.sleep(3600)
