"""Request paths of nodes and scripted backend servers for tests of calls."""

import asyncio
import contextlib
import itertools
import random
import re
import socket
from collections.abc import Iterator
from dataclasses import dataclass, field

from mangowell_core.distribution.io import Peer
from mangowell_core.model import (
    Document,
    Instance,
    Route,
    Service,
    Snapshot,
    TrafficClass,
)
from mangowell_core.policy import RequestPolicy
from mangowell_core.policy.ownership import SETTLE_S, START_HOLD_S
from mangowell_core.settings import NodeSettings, SourceSettings
from mangowell_node.calls import CallPath
from mangowell_node.reach import AddressFilter
from mangowell_node.telemetry import Telemetry

SERVICE = Service("orders", slots=8, connections=16, retry_ratio=1.0)
ROUTES = (
    Route("browse", "orders", "/", traffic_class="browsing", retries=2),
    Route(
        "pay",
        "orders",
        "/pay",
        ("POST",),
        "payment",
        idempotent=False,
        timeout_ms=5000,
    ),
    Route("slow", "orders", "/slow", traffic_class="browsing", timeout_ms=300),
    Route(
        "big",
        "orders",
        "/big",
        traffic_class="browsing",
        timeout_ms=20_000,
        retries=2,
    ),
    Route(
        "hedged",
        "orders",
        "/hedged",
        traffic_class="browsing",
        timeout_ms=5000,
        hedge_after_ms=50,
    ),
)
CLASSES = (TrafficClass("payment", 0), TrafficClass("browsing", 1))


# Simulated time since the start of a node's process. After QUIET_S the ownership of
# plain keys is settled; after ASKING_S owners still ask for promises.
QUIET_S = 2 * SETTLE_S
ASKING_S = (START_HOLD_S + SETTLE_S) / 2
# Below the ephemeral ports, which the system gives to outgoing connections.
PORTS = range(12_000, 30_000)
BLOCK = 1800  # ports of one process; allows about ten concurrent test runs


def claim_ports() -> tuple[socket.socket, Iterator[int]]:
    """Claim a block of ports that no other test run uses.

    The claim is a Unix socket in the abstract namespace, which the system
    releases when the process ends.
    """
    for first in PORTS[::BLOCK]:
        claim = socket.socket(socket.AF_UNIX)
        try:
            claim.bind(f"\0mangowell-tests-{first}")
        except OSError:
            claim.close()
            continue
        return claim, itertools.cycle(range(first, first + BLOCK))
    raise AssertionError("every block of ports is claimed by another test run")


_claim, _ports = claim_ports()


def find_port() -> int:
    for port in _ports:
        with socket.socket() as sock, contextlib.suppress(OSError):
            # All addresses: nodes of a mesh listen on several loopback addresses.
            sock.bind(("", port))
            return port
    raise AssertionError("no free port")


@dataclass
class ReceivedRequest:
    """Request as a backend server received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    cancelled: asyncio.Event = field(default_factory=asyncio.Event)


class ScriptedBackend:
    """Backend server whose answers are given by a test, byte for byte.

    Each request that has arrived whole counts as an execution.

    Parameters
    ----------
    handler : callable or None
        Takes a `ReceivedRequest` and returns the bytes to send, or None if it has
        written the answer or closed the connection itself.
    health : str
        Status that the health endpoint reports.
    """

    def __init__(self, handler=None, health="ok"):
        self.handler = handler
        self.raw = None  # if set, called with reader and writer after a head
        self.health = health
        self.health_delay_s = 0.0
        self.muted: set[asyncio.StreamWriter] = set()  # silent connections
        self.received: list[ReceivedRequest] = []
        self.arrived = asyncio.Event()
        self.connections = 0
        self.port = 0
        self._server = None
        self._writers = set()

    @property
    def executions(self) -> int:
        return len(self.received)

    async def start(self, port=0, host="127.0.0.1"):
        self._server = await asyncio.start_server(self._serve, host, port, limit=2**20)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def mute_connections(self):
        """Stop answering on all open connections; new ones work."""
        self.muted = set(self._writers)

    def crash(self):
        """Close the listener and every connection at once."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self.connections += 1
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while await self._serve_one(reader, writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _serve_one(self, reader, writer):
        block = await reader.readuntil(b"\r\n\r\n")
        first, *lines = block.decode("latin-1").split("\r\n")[:-2]
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(": ")
            headers[name.lower()] = value
        if writer in self.muted:
            return True
        if target == "/health":
            await asyncio.sleep(self.health_delay_s)
            if writer in self.muted:
                return True
            text = f'{{"status": "{self.health}", "load": 0.1}}'
            writer.write(make_answer(text.encode()))
            return True
        if self.raw is not None:
            await self.raw(reader, writer)
            return False
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
        request = ReceivedRequest(method, target, headers, body, writer)
        self.received.append(request)
        self.arrived.set()
        answer = make_answer(b"ok")
        if self.handler is not None:
            handling = asyncio.ensure_future(self.handler(request))
            early_read = asyncio.ensure_future(reader.read(1))
            await asyncio.wait(
                (handling, early_read), return_when=asyncio.FIRST_COMPLETED
            )
            if early_read.done() and not handling.done():
                request.cancelled.set()
                handling.cancel()
                return False
            early_read.cancel()
            await asyncio.gather(early_read, return_exceptions=True)
            if isinstance(handling.exception(), ConnectionError):
                request.cancelled.set()
            answer = handling.result()
        if answer is None:
            return False
        writer.write(answer)
        await writer.drain()
        return "connection: close" not in answer[:200].decode("latin-1").lower()


def make_answer(body=b"", status="200 OK", headers="") -> bytes:
    head = f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class CutReach(AddressFilter):
    """Address filter that blocks the ports in `cut`."""

    def __init__(self):
        self.cut = set()

    def is_allowed(self, host, port):
        return port not in self.cut


class CallNode:
    """Request path of one node with its backend server.

    Control messages are recorded in `sent` and passed directly to the other nodes.
    """

    def __init__(self, name, backend, quiet_s=QUIET_S):
        self.backend = backend
        self.reach = CutReach()
        self.settings = NodeSettings(
            instance=name,
            service="orders",
            failure_domain="d1",
            environment="test",
            host="127.0.0.1",
            control_port=find_port(),
            link_port=find_port(),
            call_port=find_port(),
            admin_port=find_port(),
            backend_port=backend.port,
            source=SourceSettings("http://127.0.0.1:1"),
        )
        self.telemetry = Telemetry(name, level="error")
        self.policy = RequestPolicy.from_settings(
            self.settings, random.Random(1), 1, quiet_s
        )
        self.calls = CallPath.from_settings(
            self.settings, self.policy, self.telemetry, self.reach, self.send_control
        )
        self.nodes = {}
        self.sent = []
        self.drops_control = False

    @property
    def instance(self):
        s = self.settings
        return Instance(
            s.instance,
            s.service,
            s.failure_domain,
            s.host,
            s.control_port,
            s.link_port,
            s.call_port,
            s.admin_port,
            s.backend_port,
        )

    def send_control(self, instance, message):
        self.sent.append((instance.name, message))
        other = self.nodes.get(instance.name)
        if other is None or self.drops_control:
            return False
        sender = Peer(self.settings.instance, "127.0.0.1", self.settings.control_port)
        asyncio.get_running_loop().call_soon(
            other.calls.handle_control_message, sender, message
        )
        return True

    def find(self, name):
        return [e for e in self.telemetry.select_events() if e["name"] == name]

    async def call(self, method="GET", target="/", headers="", body=b""):
        return await call(self.settings.call_port, method, target, headers, body)


@contextlib.asynccontextmanager
async def run_nodes(*backends, service=SERVICE, quiet_s=QUIET_S):
    """Run one node beside each backend server, as instances of one service."""
    nodes = [CallNode(f"n{i}", b, quiet_s) for i, b in enumerate(backends)]
    nodes_by_name = {s.settings.instance: s for s in nodes}
    try:
        for node in nodes:
            node.nodes = nodes_by_name
            await node.calls.start()
        apply_members(nodes, nodes, service)
        yield nodes
    finally:
        for node in nodes:
            await node.calls.stop(0.0)
        for backend in backends:
            backend.crash()


def apply_members(nodes, members, service=SERVICE, version=1):
    """Apply a document and a view in which only `members` run to `nodes`."""
    document = Document(
        "test",
        version,
        {c.name: c for c in CLASSES},
        {},
        {"orders": service},
        {r.name: r for r in ROUTES},
        "",
        "",
    )
    snapshot = Snapshot(document, 1, {"orders": tuple(s.instance for s in members)})
    for node in nodes:
        node.calls.apply_snapshot(snapshot)


@dataclass
class Response:
    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool

    @property
    def outcome(self):
        return self.headers.get("mangowell-outcome")


async def read_response(reader, method="GET") -> Response:
    block = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = block.split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(": ")
        headers[name.lower()] = value
    status = int(first.split(" ")[1])
    body, complete = b"", True
    try:
        if method == "HEAD":
            pass
        elif headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline() or b"-1", 16):
                if size < 0:
                    raise ConnectionError
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (ConnectionError, asyncio.IncompleteReadError):
        complete = False
    return Response(status, headers, body, complete)


async def open_call(port, method="GET", target="/", headers="", body=b""):
    """Send a request; return the reader and the writer of its connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2**20)
    if body or method == "POST":
        headers += f"Content-Length: {len(body)}\r\n"
    writer.write(f"{method} {target} HTTP/1.1\r\nHost: x\r\n{headers}\r\n".encode())
    writer.write(body)
    return reader, writer


async def call(port, method="GET", target="/", headers="", body=b"") -> Response:
    reader, writer = await open_call(port, method, target, headers, body)
    try:
        async with asyncio.timeout(30):
            return await read_response(reader, method)
    finally:
        writer.close()


def select_owned_key(nodes, owner, prefix="k") -> str:
    """Return a plain key that belongs to `owner`."""
    policy = nodes[0].policy
    for number in range(1000):
        key = f"{prefix}{number}"
        plan = policy.match_route("r", "POST", "/pay", "", None, key, 0.0)
        choice = policy.select_instance(plan, frozenset(), 0.0)
        if choice.instance.name == owner.settings.instance:
            return key
    raise AssertionError(f"no key for {owner.settings.instance}")


async def until(condition, timeout=10.0):
    """Wait until a condition holds, at most `timeout` seconds."""
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(0.005)


PINNED_KEY = re.compile(r"mw1\.\w+\.\d+\.[0-9a-f-]{32,}")
