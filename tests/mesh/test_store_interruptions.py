"""Workers that leave while nodes are interrupted in reading the store."""

import asyncio
from time import monotonic

import pytest

from mangowell_node.platform import StoreError
from mesh.support_mesh import make_document, make_entry, make_route, run_mesh, until

# Time from a disruption of connections until nodes are bound by what the store
# says, in seconds.
CONTACT_S = 3.0
# Time within which a worker that has left must not be used any more, in seconds.
DRAIN_S = 2.0
HEARTBEAT_S = 1.5


def put_other(store, port=1):
    """Write the entry of a worker that no node is beside."""
    store.put("servers/i-9", make_entry("127.0.0.9", port))


def lists_other(machine):
    return "i-9" in machine.node.directory.endpoints


async def wait_until_listed(store, machines):
    """Add the other worker, and wait until two nodes read the store."""
    put_other(store)
    await until(lambda: all(lists_other(machine) for machine in machines))
    expected = min(2, len(machines))
    await until(lambda: sum(m.node._feed.is_up for m in machines) == expected, 8.0)


@pytest.mark.parametrize("heartbeat_s", [0.0, 0.87, HEARTBEAT_S])
@pytest.mark.parametrize("silent_after_s", [0.05, 0.3, 0.7, 1.3])
async def test_worker_that_leaves_on_silent_connections_is_dropped_in_time(
    silent_after_s, heartbeat_s
):
    """Guards against a silent watch that is noticed late or taken for an outage.

    A change lets all nodes watch anew, so the silence begins at a known time of the
    watch, also in the pause before it.
    """
    async with run_mesh(4, heartbeat_s=heartbeat_s) as (store, machines):
        await wait_until_listed(store, machines)
        put_other(store, port=2)
        await asyncio.sleep(silent_after_s)
        store.silence_open_connections()
        silent_at = monotonic()
        await asyncio.sleep(0.3)
        store.delete("servers/i-9")
        await until(
            lambda: not any(lists_other(machine) for machine in machines),
            silent_at + CONTACT_S - monotonic(),
        )


async def test_store_that_answers_late_counts_as_up():
    """Guards against a slow store that is taken for one that does not answer."""
    async with run_mesh(1) as (store, (machine,)):
        await wait_until_listed(store, [machine])
        store.delay_s = 0.6
        await asyncio.sleep(6.0)
        store.delete("servers/i-9")
        await until(lambda: not lists_other(machine), CONTACT_S)
        assert not machine.get_events("source_down")


class RefusingStore:
    """Store client whose calls fail for a while, though the store is up."""

    def __init__(self, client):
        self._client = client
        self.is_refused = True
        self.failures = 0

    async def _call(self, method, *args):
        if self.is_refused:
            self.failures += 1
            raise StoreError("status 503")
        return await getattr(self._client, method)(*args)

    async def watch(self, revision):
        return await self._call("watch", revision)

    async def list_endpoints(self):
        return await self._call("list_endpoints")

    async def read_document(self):
        return await self._call("read_document")


@pytest.mark.parametrize("refused_s", [0.3, 1.2])
async def test_refusal_of_the_readers_does_not_keep_a_worker_that_left(refused_s):
    """Guards against refused calls of some nodes that count as an outage.

    The worker leaves while the store refuses both readers; nobody else is affected.
    """
    async with run_mesh(4, heartbeat_s=HEARTBEAT_S) as (store, machines):
        await wait_until_listed(store, machines)
        feeds = [m.node._feed for m in machines if m.node._feed.is_up]
        clients = [RefusingStore(feed._store) for feed in feeds]
        for feed, client in zip(feeds, clients, strict=True):
            feed._store = client
        store.discard_history()  # cuts the open watches
        await until(lambda: all(client.failures for client in clients))
        store.delete("servers/i-9")
        left_at = monotonic()
        await asyncio.sleep(refused_s)
        for client in clients:
            client.is_refused = False
        await until(
            lambda: not any(lists_other(machine) for machine in machines),
            left_at + DRAIN_S - monotonic(),
        )


async def test_entry_that_expires_in_a_long_outage_is_kept_by_all_nodes():
    """Guards against nodes that drop what a reader of the store still holds."""
    async with run_mesh(4, heartbeat_s=HEARTBEAT_S) as (store, machines):
        await wait_until_listed(store, machines)
        store.refuse_status = 503
        store.discard_history()
        await asyncio.sleep(2 * HEARTBEAT_S + 0.6)
        store.delete("servers/i-9")
        store.refuse_status = 0
        await until(lambda: any(m.node._feed.is_up for m in machines))
        await asyncio.sleep(1.0)
        assert all(lists_other(machine) for machine in machines)
        await until(lambda: not any(lists_other(m) for m in machines), 3.0)


async def test_worker_with_an_unreadable_entry_is_not_held_after_an_outage():
    """Guards against a replaced entry that counts as one whose lease ran out."""
    async with run_mesh(1) as (store, (machine,)):
        await wait_until_listed(store, [machine])
        store.refuse_status = 503
        store.discard_history()
        await until(lambda: machine.node.directory.is_store_away)
        store.put("servers/i-9", b"\xff")
        store.refuse_status = 0
        await until(lambda: not machine.node.directory.is_store_away)
        await asyncio.sleep(0.1)
        assert not lists_other(machine)


@pytest.mark.parametrize("node_count", [1, 2])
async def test_document_that_takes_long_to_arrive_is_applied(node_count):
    """A slow link counted as an outage of the store, at each attempt anew."""
    routes = {f"r{n}": make_route(f"/{n:04}{'x' * 200}/") for n in range(1400)}
    async with run_mesh(node_count) as (store, machines):
        store.bytes_per_s = 150_000.0
        store.put("op/config", make_document(2, routes))
        await until(
            lambda: all(m.node.directory.document_version == 2 for m in machines), 10.0
        )
        assert not any(m.get_events("source_down") for m in machines)
