"""Nodes, scripted workers and a store for tests of a node on the platform."""

import asyncio
import contextlib
import os
from time import monotonic

from mangowell_core.mesh import MeshSettings
from mangowell_core.mesh.settings import Address
from mangowell_node.event_log import EventLog
from mangowell_node.mesh.node import MeshNode
from mangowell_node.telemetry import Telemetry
from mangowell_standins.platform_store import PlatformStore
from mangowell_standins.platform_values import HOST, make_document, make_entry
from mangowell_standins.platform_values import make_route as make_route
from mangowell_standins.ports import find_port
from mangowell_standins.scripted_http import (
    ScriptedBackend,
    make_answer,
    read_response,
)


def answer_with_id(body=b"ok", status="200 OK", headers=""):
    """Return a handler that answers like a worker, with the id of the request."""

    async def handle(request):
        request_id = request.headers["request-id"]
        return make_answer(body, status, f"Request-Id: {request_id}\r\n{headers}")

    return handle


class Machine:
    """A scripted worker and the node beside it, on one loopback address."""

    def __init__(self, number, link_port, store_port, zone="z", logs=None):
        self.number = number
        self.host = f"127.0.0.{number + 1}"
        self.id = f"i-{number}"
        self.zone = zone
        self.worker = ScriptedBackend(answer_with_id())
        self.link_port = link_port
        self.store_port = store_port
        # Report interval of the workers, in seconds; 0 if the settings do not name it.
        self.heartbeat_s = 0.0
        # Bound of the platform for evacuations, in seconds; 0 if it has none.
        self.evacuate_s = 2.0
        self.settings: MeshSettings | None = None
        self.node: MeshNode | None = None
        self.log_path = None if logs is None else logs / f"node-{number}.log"

    async def start(self):
        if not self.worker.port:
            await self.worker.start(host=self.host)
        self.settings = MeshSettings(
            instance=f"node-{self.number}",
            failure_domain=self.zone,
            service="orders",
            callers=Address(self.host, find_port()),
            ready=Address(self.host, find_port()),
            worker=Address(self.host, self.worker.port),
            store=Address("127.0.0.1", self.store_port),
            link=Address(self.host, self.link_port),
            metrics_port=find_port(),
            link_mbps=100.0,
            grace_s=3.0,
            retry_ratio=1.0,
            retry_floor=100,
            retry_window_s=10.0,
            heartbeat_s=self.heartbeat_s,
            evacuate_s=self.evacuate_s,
        )
        sink = None
        if self.log_path is not None:
            descriptor = os.open(self.log_path, os.O_CREAT | os.O_WRONLY)
            sink = EventLog(self.settings.instance, descriptor).write
        self.telemetry = Telemetry(self.settings.instance, level="error", sink=sink)
        self.node = MeshNode.from_settings(self.settings, self.telemetry)
        await self.node.start()

    @property
    def entry(self):
        return make_entry(self.host, self.worker.port, zone=self.zone)

    def get_events(self, name):
        return [e for e in self.telemetry.select_events() if e["name"] == name]

    async def connect(self):
        address = self.settings.callers
        return await asyncio.open_connection(address.host, address.port)

    async def call(self, target="/x", method="GET", body=b"", request="id-1", **fields):
        reader, writer = await self.connect()
        writer.write(make_request(target, method, body, request, **fields))
        try:
            return await read_response(reader)
        finally:
            writer.close()

    async def is_ready(self):
        address = self.settings.ready
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        try:
            return (await read_response(reader)).status == 200
        finally:
            writer.close()


async def restart(machine: Machine):
    """Start the node of a machine again, without what it knew."""
    await machine.node.abort()
    await machine.start()


def make_request(
    target="/x", method="GET", body=b"", request="id-1", timeout_ms=1500, host=HOST
):
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {request}\r\n"
        f"Timeout-Ms: {timeout_ms}\r\n{length}\r\n"
    ).encode() + body


@contextlib.asynccontextmanager
async def run_mesh(count=1, document=None, zones=("z",), logs=None, heartbeat_s=0.0):
    """Run a store and machines, and wait until every node lists all workers."""
    store = await PlatformStore().start()
    store.put("op/config", document or make_document())
    link_port = find_port()
    machines = [
        Machine(n + 1, link_port, store.port, zones[n % len(zones)], logs)
        for n in range(count)
    ]
    try:
        for machine in machines:
            machine.heartbeat_s = heartbeat_s
            await machine.start()
            store.put(f"servers/{machine.id}", machine.entry)
        await until(lambda: all(len(m.node.directory) == count for m in machines))
        yield store, machines
    finally:
        for machine in machines:
            if machine.node is not None:
                await machine.node.abort()
            machine.worker.crash()
        await store.stop()


def fill_slots(machine, waiting=0):
    """Occupy the four slots of a worker, and let further requests wait."""
    admission = machine.node.runner.admission
    for number in range(4 + waiting):
        admission.offer(f"fill-{number}", "fill", 0, 0.0, monotonic() + 9, monotonic())
    assert (admission.running, admission.waiting) == (4, waiting)


async def until(condition, timeout_s=5.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)
