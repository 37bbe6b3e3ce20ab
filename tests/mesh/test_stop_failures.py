"""Guards against failures that keep a node from stopping properly.

The exception of a task that had failed hours before once ended the stop of its node
with a traceback, before its other parts were closed.
"""

import asyncio
import json
import signal
from time import monotonic

import msgspec
import pytest

from mangowell_core.mesh.settings import Address
from mangowell_node.mesh.node import MeshNode
from mangowell_standins.node_process import NODE_CODE, NodeProcess
from mangowell_standins.platform_store import PlatformStore
from mangowell_standins.ports import find_port
from mesh.support_mesh import Machine, make_document, make_entry, run_mesh, until

GRACE_S = 2.0
FIELDS = {
    "zone": "z",
    "service": "orders",
    "bounds.grace": f"{GRACE_S}s",
    "bounds.retry-budget-ratio": "0.2",
    "bounds.budget-min-retries": "60",
    "bounds.budget-window": "10s",
}
IMPORTS = """
import asyncio
from mangowell_node.mesh import feed, gossip, node, program
from mangowell_node.platform.store import StoreClient
async def fail(*args):
    raise ArithmeticError("planned")
async def wait(*args):
    await asyncio.sleep(3600)
"""
FAULTS = {
    "reader": "feed.StateFeed._read_next = fail",
    "status": "gossip.Gossip._wait_for_next_status = fail",
    "links": "gossip.Gossip._run_links = fail",
    "expiry": "node.MeshNode._run_expiry = fail",
    "settings": "program.SettingsReloader.run = fail",
}


# Tells that the interpreter runs, just before the node begins its imports.
MARKED_CODE = f"import os; os.write(1, b'#\\n'); {NODE_CODE}"


async def is_closed(address):
    try:
        _, writer = await asyncio.open_connection(address.host, address.port)
    except ConnectionRefusedError:
        return True
    writer.close()
    return False


# One process


@pytest.mark.parametrize("way", ["stop", "abort"])
@pytest.mark.parametrize("fault", ["raises", "hangs"])
@pytest.mark.parametrize(
    "part", ["_ingress", "_link_server", "_gossip", "_store", "_ready_server"]
)
async def test_part_that_cannot_close_keeps_no_other_open(part, fault, way):
    async with run_mesh() as (_, (machine,)):
        node = machine.node
        session = node._store._session

        async def fail(*args):
            if fault == "hangs":
                await asyncio.sleep(3600)
            raise ArithmeticError("planned")

        class FailingStore:
            close = staticmethod(fail)

        holder = getattr(node, part)
        if part == "_store":
            node._store = FailingStore()
        else:
            sound_stop, holder.stop = holder.stop, fail
        started = monotonic()
        await getattr(node, way)()
        assert monotonic() - started < machine.settings.grace_s
        (event,) = machine.get_events("internal_fault")
        assert event["fields"]["reason"].startswith("stop of ")
        for other, address in [
            ("_ingress", machine.settings.callers),
            ("_link_server", machine.settings.link),
            ("_ready_server", machine.settings.ready),
        ]:
            if other != part:
                assert await is_closed(address), other
        assert part == "_store" or session.closed
        assert not node.supervisor.tasks
        if part == "_store":
            node._store = holder
        else:
            holder.stop = sound_stop


async def test_node_that_cannot_start_closes_what_it_has_opened():
    """An address may be taken by a process that is about to end."""
    store = await PlatformStore().start()
    machine = Machine(1, 7620, store.port)
    await machine.start()
    try:
        ready = Address("127.0.0.3", find_port())
        settings = msgspec.structs.replace(machine.settings, ready=ready)
        node = MeshNode.from_settings(settings, machine.telemetry)
        with pytest.raises(OSError, match="address already in use"):
            await node.start()
        assert node._store._session.closed
        assert not node._ready_server._server.is_serving()
        assert not node.supervisor.tasks
    finally:
        await machine.node.abort()
        machine.worker.crash()
        await store.stop()


# Processes


class Process:
    """A node with planned faults, and a store with one worker and a document."""

    def __init__(self, tmp_path, faults="", code=NODE_CODE):
        self.store = PlatformStore()
        self._path = tmp_path
        self._code = f"{IMPORTS}\n{faults}\n{NODE_CODE}" if faults else code
        self.node = None

    async def __aenter__(self):
        await self.store.start()
        self.store.put("op/config", make_document())
        fields = FIELDS | {"platform.address": f"127.0.0.1:{self.store.port}"}
        self.node = NodeProcess(1, self._path, fields, self._code)
        self.store.put("servers/i-1", make_entry(self.node.host, 8301))
        await self.node.start()
        return self

    async def __aexit__(self, *args):
        self.node.send_signal(signal.SIGKILL)
        await self.node.wait(5.0)
        await self.store.stop()

    @property
    def log(self):
        return self.node.logs[-1].read_text()

    def get_events(self, name):
        lines = [line for line in self.log.splitlines() if line.startswith("{")]
        return [e for e in map(json.loads, lines) if e["event"] == name]

    async def terminate(self):
        """Send SIGTERM; return the exit code and the seconds until the end."""
        started = monotonic()
        self.node.send_signal(signal.SIGTERM)
        code = await self.node.wait(GRACE_S * 3)
        return code, monotonic() - started

    async def check_clean_stop(self):
        code, seconds = await self.terminate()
        assert "Traceback" not in self.log
        assert code == 0
        assert seconds < GRACE_S
        assert self.get_events("stop_completed")


@pytest.mark.parametrize("task", FAULTS)
async def test_node_stops_properly_after_a_task_has_failed(tmp_path, task):
    """SIGTERM comes during the backoff, as the task fails at each start."""
    async with Process(tmp_path, FAULTS[task]) as process:
        await until(lambda: process.log, 10.0)
        await asyncio.sleep(1.0)
        await process.check_clean_stop()


async def test_node_stops_properly_after_all_tasks_have_failed(tmp_path):
    async with Process(tmp_path, "\n".join(FAULTS.values())) as process:
        await until(lambda: process.log, 10.0)
        await asyncio.sleep(1.0)
        await process.check_clean_stop()
        names = {event["task"] for event in process.get_events("task_failed")}
        assert len(names) == len(FAULTS)


async def test_node_that_is_still_starting_stops_at_once(tmp_path):
    async with Process(tmp_path, "StoreClient.start = wait") as process:
        await until(lambda: process.get_events("join_started"), 10.0)
        code, seconds = await process.terminate()
        assert "Traceback" not in process.log
        assert code == 0
        assert seconds < 1.0


async def test_node_that_cannot_start_ends_without_a_traceback(tmp_path):
    async with Process(tmp_path, "StoreClient.start = fail") as process:
        assert await process.node.wait(10.0) == 1
        assert "Traceback" not in process.log
        (event,) = process.get_events("internal_fault")
        assert "planned" in event["fault"]


@pytest.mark.parametrize("delay_s", [0.05, 0.1, 0.2, 0.4])
async def test_signals_during_the_start_do_not_kill_the_node(tmp_path, delay_s):
    """The first tenths of a second pass in imports, without the node's handlers."""
    async with Process(tmp_path, code=MARKED_CODE) as process:
        await until(lambda: process.log, 10.0)
        await asyncio.sleep(delay_s)
        process.node.send_signal(signal.SIGHUP)
        await until(lambda: process.get_events("join_started"), 10.0)
        assert await process.node.wait(0.3) is None
        await process.check_clean_stop()


@pytest.mark.parametrize("delay_s", [0.05, 0.1, 0.2, 0.4, 0.8])
async def test_node_that_gets_sigterm_while_it_starts_ends_with_0(tmp_path, delay_s):
    async with Process(tmp_path, code=MARKED_CODE) as process:
        await until(lambda: process.log, 10.0)
        await asyncio.sleep(delay_s)
        code, seconds = await process.terminate()
        assert "Traceback" not in process.log
        assert code == 0
        assert seconds < GRACE_S
