"""Request paths of nodes and scripted backend servers for tests of calls."""

import asyncio
import contextlib
import random
import re

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
from mangowell_standins.ports import find_port
from mangowell_standins.scripted_http import (
    Response,
    read_response,
)
from mangowell_standins.scripted_http import ScriptedBackend as ScriptedBackend
from mangowell_standins.scripted_http import make_answer as make_answer

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
