"""Benchmarks the request path: direct calls against calls through nodes.

Run ``python -m bench.requests [--quick]``. Each backend server, each node and the
load generator is a separate process. Rounds of all cases are interleaved, so
that a slow phase of the machine affects each case.
"""

import argparse
import asyncio
import gc
import itertools
import json
import os
import random
import subprocess
import sys
import threading
from time import monotonic

import psutil
import uvloop
from hdrh.histogram import HdrHistogram

from mangowell_core.model import (
    Document,
    Instance,
    Route,
    Service,
    Snapshot,
    TrafficClass,
)
from mangowell_core.policy import RequestPolicy
from mangowell_core.settings import NodeSettings, SourceSettings
from mangowell_node.calls import CallPath
from mangowell_node.reach import AddressFilter
from mangowell_node.telemetry import Telemetry

CALLS_PER_S = 213  # load of one node at design scale
ANSWER_BYTES = 1024
DEPTHS = (1, 2, 10)
MODES = ("direct", "one-hop", "two-hop")
# Chains of processes that only copy bytes, with as many processes as the mode has
# nodes on the way. A quantile of the mode less that of its chain is the cost of the
# nodes' own work.
RELAYS = {"relay-1": "one-hop", "relay-2": "two-hop"}
MAX_CHILD_LIFETIME_S = 900.0  # ends a child process that was not stopped
HOST = "127.0.0.1"
# The ports lie below the range of outgoing connections and differ by process id,
# so that two benchmarks can run concurrently.
PORT_VARIABLE = "MANGOWELL_BENCH_PORT"
FIRST_PORT = int(os.environ.get(PORT_VARIABLE, 10_000 + os.getpid() % 300 * 60))
TARGET_ADDED_P99_MS = 1.0
CALLER_INDEX = max(DEPTHS)  # node beside the caller, which has no service


class Ports:
    """Ports of one node and its backend server.

    Parameters
    ----------
    index : int
        Position of the node in the chain.
    """

    def __init__(self, index: int) -> None:
        first = FIRST_PORT + index * 5
        self.backend, self.call, self.link, self.control, self.admin = range(
            first, first + 5
        )


# Minimal HTTP client and server: their cost is small and the same in all cases.


class Connection(asyncio.Protocol):
    """Keep-alive HTTP connection that carries one GET at a time.

    Parameters
    ----------
    idle : list of Connection
        Idle connections of the same port; the connection adds itself after each
        answer.
    """

    def __init__(self, idle: list["Connection"]) -> None:
        self._idle = idle
        self._buffer = b""
        self._waiter: asyncio.Future | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def connection_lost(self, exc) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(ConnectionResetError("closed"))

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        head = self._buffer[:end].lower()
        at = head.index(b"content-length:") + 15
        length = int(head[at:].split(b"\r\n", 1)[0])
        if len(self._buffer) < end + 4 + length:
            return
        status = int(self._buffer[9:12])
        self._buffer = b""
        self._idle.append(self)
        waiter, self._waiter = self._waiter, None
        waiter.set_result(status)

    def get(self, target: str) -> asyncio.Future:
        self._waiter = asyncio.get_running_loop().create_future()
        self.transport.write(
            b"GET %b HTTP/1.1\r\nHost: bench\r\nAccept: */*\r\n"
            b"User-Agent: bench/1.0\r\nMangowell-Tenant: cafes\r\n\r\n"
            % target.encode()
        )
        return self._waiter


class ConnectionPool:
    """Pool of keep-alive connections, by port."""

    def __init__(self) -> None:
        self._idle: dict[int, list[Connection]] = {}

    async def get(self, port: int, target: str) -> int:
        idle = self._idle.setdefault(port, [])
        while idle:
            connection = idle.pop()
            if not connection.transport.is_closing():
                return await connection.get(target)
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: Connection(idle), HOST, port
        )
        return await connection.get(target)


class BackendServer(asyncio.Protocol):
    """Backend server that calls the next one of the chain, then answers 1 KiB.

    The target is ``/s<index>/<mode>/<remaining depth>``.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._buffer = b""

    def connection_made(self, transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        if not self._buffer.endswith(b"\r\n\r\n"):
            return
        target = self._buffer.split(b" ", 2)[1].decode()
        self._buffer = b""
        if target == "/health":
            self._answer(b'{"status": "ok", "load": 0.1}')
            return
        _, service, mode, remaining = target.split("/")
        if remaining == "1":
            self._answer(b"x" * ANSWER_BYTES)
        else:
            work = self._call_next(int(service[1:]), mode, int(remaining))
            self._task = asyncio.ensure_future(work)

    async def _call_next(self, index: int, mode: str, remaining: int) -> None:
        port, target = get_endpoint(index, index + 1, mode, remaining - 1)
        status = await self._pool.get(port, target)
        self._answer(b"x" * ANSWER_BYTES, status)

    def _answer(self, body: bytes, status: int = 200) -> None:
        self._transport.write(
            b"HTTP/1.1 %d OK\r\nContent-Type: text/plain\r\nServer: bench\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (status, len(body), body)
        )


def get_endpoint(caller: int, index: int, mode: str, depth: int) -> tuple[int, str]:
    """Return the port and the request target for backend server `index`."""
    target = f"/s{index}/{mode}/{depth}"
    match mode:
        case "direct":
            return Ports(index).backend, target
        case "one-hop":
            return Ports(index).call, target
        case "relay-1" | "relay-2":
            return get_relay_port(mode[-1]), target
    return Ports(caller).call, target


def get_relay_port(number: int | str) -> int:
    """Return the port of a relay; relay `number` starts a chain of that length."""
    return Ports(CALLER_INDEX + int(number)).call


class RelayProtocol(asyncio.Protocol):
    """One connection of a relay; copies received bytes to the peer connection."""

    def __init__(self, peer: "RelayProtocol | None" = None) -> None:
        self._peer = peer
        self._unsent: list[bytes] = []
        self._task: asyncio.Task | None = None
        self._port = 0

    @classmethod
    def accept(cls, port: int) -> "RelayProtocol":
        """Return the protocol of an accepted connection that leads to `port`."""
        end = cls()
        end._port = port
        return end

    def connection_made(self, transport) -> None:
        self.transport = transport
        if self._peer is None:
            self._task = asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        _, self._peer = await loop.create_connection(
            lambda: RelayProtocol(self), HOST, self._port
        )
        for data in self._unsent:
            self._peer.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self._peer is None:
            self._unsent.append(data)
        else:
            self._peer.transport.write(data)


# Child processes


def make_snapshot(count: int) -> Snapshot:
    """Return a configuration with `count` services of one instance each."""
    services = {f"s{i}": Service(f"s{i}") for i in range(count)}
    # Each mode and depth has a traffic class of its own: the concurrency limit
    # compares latencies within a class, and would take a longer chain for a slow
    # backend server.
    classes = {}
    routes = {}
    for i, mode, depth in itertools.product(range(count), MODES[1:], range(count + 1)):
        class_name = f"{mode}-{depth}"
        classes[class_name] = TrafficClass(class_name, 0)
        name = f"{class_name}-{i}"
        path = f"/s{i}/{mode}/{depth}"
        routes[name] = Route(
            name, f"s{i}", path, ("GET",), class_name, timeout_ms=10_000
        )
    instances = {}
    for i in range(count):
        instance_ports = Ports(i)
        instances[f"s{i}"] = (
            Instance(
                f"n{i}",
                f"s{i}",
                "d",
                HOST,
                instance_ports.control,
                instance_ports.link,
                instance_ports.call,
                instance_ports.admin,
                instance_ports.backend,
            ),
        )
    document = Document("bench", 1, classes, {}, services, routes, "", "")
    return Snapshot(document, 1, instances)


async def run_node(index: int) -> None:
    """Run the request path of a node with a fixed snapshot."""
    ports = Ports(index)
    settings = NodeSettings(
        f"n{index}",
        f"s{index}",
        "d",
        "bench",
        HOST,
        ports.control,
        ports.link,
        ports.call,
        ports.admin,
        ports.backend,
        SourceSettings("http://127.0.0.1:1"),
    )
    policy = RequestPolicy.from_settings(settings, random.Random(index), 1)
    telemetry = Telemetry(settings.instance, level="error")
    calls = CallPath.from_settings(
        settings, policy, telemetry, AddressFilter(), lambda instance, message: False
    )
    await calls.start()
    calls.apply_snapshot(make_snapshot(max(DEPTHS)))
    print("ready", flush=True)
    await asyncio.sleep(MAX_CHILD_LIFETIME_S)


async def run_backend(index: int) -> None:
    """Run the backend server of a node."""
    pool = ConnectionPool()
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: BackendServer(pool), HOST, Ports(index).backend)
    print("ready", flush=True)
    await asyncio.sleep(MAX_CHILD_LIFETIME_S)


async def run_relay(number: int) -> None:
    """Run a relay to the relay before it; relay 1 leads to backend server 0."""
    port = Ports(0).backend if number == 1 else get_relay_port(number - 1)
    loop = asyncio.get_running_loop()
    await loop.create_server(
        lambda: RelayProtocol.accept(port), HOST, get_relay_port(number)
    )
    print("ready", flush=True)
    await asyncio.sleep(MAX_CHILD_LIFETIME_S)


def run_child(role: str, index: int) -> None:
    """Run a child process, which exits when its standard input closes."""

    def exit_at_end_of_input() -> None:
        sys.stdin.read()
        os._exit(0)

    threading.Thread(target=exit_at_end_of_input, daemon=True).start()
    roles = {"node": run_node, "backend": run_backend, "relay": run_relay}
    uvloop.run(roles[role](index))


class ChildProcess:
    """Process of a node, backend server or relay; exits when its input closes."""

    def __init__(self, role: str, index: int) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "bench.requests", "--child", role, str(index)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={**os.environ, PORT_VARIABLE: str(FIRST_PORT)},
        )
        self.name = f"{role} {index}"
        self._process_usage = psutil.Process(self._process.pid)

    def wait_ready(self) -> None:
        if self._process.stdout.readline() != b"ready\n":
            raise RuntimeError(f"{self.name} did not start")

    def cpu_s(self) -> float:
        times = self._process_usage.cpu_times()
        return times.user + times.system

    def stop(self) -> None:
        self._process.stdin.close()
        self._process.wait(10)
        self._process.stdout.close()


# Load generator


class Case:
    """Counts and latencies of one mode and depth."""

    def __init__(self, mode: str, depth: int) -> None:
        self.mode = mode
        self.depth = depth
        self.histogram = HdrHistogram(1, 60_000_000, 3)  # us
        self.calls = 0
        self.failures = 0
        self.node_cpu_s = 0.0

    def quantile_ms(self, percent: float) -> float:
        return self.histogram.get_value_at_percentile(percent) / 1000


async def run_round(
    case: Case, pool: ConnectionPool, seconds: float, rng: random.Random, record: bool
) -> None:
    """Make calls of one case for `seconds`; count them only with `record`."""
    port, target = get_endpoint(CALLER_INDEX, 0, case.mode, case.depth)

    async def call() -> None:
        started = monotonic()
        try:
            async with asyncio.timeout(10):
                status = await pool.get(port, target)
        except (OSError, TimeoutError):
            status = 0
        if not record:
            return
        case.calls += 1
        case.failures += status != 200
        case.histogram.record_value(max(1, int((monotonic() - started) * 1e6)))

    tasks = set()
    due = monotonic()
    end = due + seconds
    while due < end:
        await asyncio.sleep(max(0, due - monotonic()))
        task = asyncio.ensure_future(call())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        # Open-loop arrivals at random intervals, as from independent callers.
        due += rng.uniform(0.5, 1.5) / CALLS_PER_S
    if tasks:
        await asyncio.wait(tasks)


async def measure_cases(
    nodes: list[ChildProcess], rounds: int, seconds: float, depths: tuple[int, ...]
) -> dict:
    """Warm up, measure the CPU time of idle nodes, then run rounds in random order."""
    rng = random.Random(7)
    pool = ConnectionPool()
    cases = [Case(m, d) for m, d in itertools.product(MODES, depths)]
    cases += [Case(mode, 1) for mode in RELAYS if 1 in depths]
    for case in cases:
        await run_round(case, pool, 0.5, rng, record=False)
    gc.collect()
    gc.freeze()
    started, idle_cpu = monotonic(), sum(n.cpu_s() for n in nodes)
    await asyncio.sleep(2)
    idle_share = (sum(n.cpu_s() for n in nodes) - idle_cpu) / (monotonic() - started)
    for _ in range(rounds):
        rng.shuffle(cases)
        for case in cases:
            started, before = monotonic(), sum(n.cpu_s() for n in nodes)
            await run_round(case, pool, seconds, rng, record=True)
            spent = sum(n.cpu_s() for n in nodes) - before
            case.node_cpu_s += spent - idle_share * (monotonic() - started)
    return summarise(cases, idle_share / len(nodes))


def summarise(cases: list[Case], idle_cpu: float) -> dict:
    """Return the figures of all cases beside those of direct calls."""
    direct = {c.depth: c for c in cases if c.mode == "direct"}
    rows = []
    order = [*MODES, *RELAYS]
    for case in sorted(cases, key=lambda c: (c.depth, order.index(c.mode))):
        direct_case = direct[case.depth]
        rows.append(
            {
                "mode": case.mode,
                "depth": case.depth,
                "calls": case.calls,
                "failures": case.failures,
                "p50_ms": case.quantile_ms(50),
                "p99_ms": case.quantile_ms(99),
                "p999_ms": case.quantile_ms(99.9),
                "direct_p99_ms": direct_case.quantile_ms(99),
                "added_p50_ms": case.quantile_ms(50) - direct_case.quantile_ms(50),
                "added_p99_ms": case.quantile_ms(99) - direct_case.quantile_ms(99),
                "node_cpu_us": case.node_cpu_s / (case.calls * case.depth) * 1e6,
            }
        )
    return {
        "rows": rows,
        "idle_cpu_share": idle_cpu,
        "target_added_p99_ms": TARGET_ADDED_P99_MS,
    }


def run(quick: bool = False, depths: tuple[int, ...] = DEPTHS) -> dict:
    """Measure the request path.

    Parameters
    ----------
    quick : bool
        Fewer and shorter rounds.
    depths : tuple of int
        Numbers of backend servers in the chain.

    Returns
    -------
    dict
        ``rows``, one per mode and depth: latency quantiles in ms, and CPU time
        of the nodes in microseconds per call and depth, without the CPU time of
        idle nodes; ``idle_cpu_share``, the share of a core that an idle node
        uses; ``target_added_p99_ms``.
    """
    length = max(depths)
    backends = [ChildProcess("backend", i) for i in range(length)]
    nodes = [ChildProcess("node", i) for i in [*range(length), CALLER_INDEX]]
    children = backends + nodes + [ChildProcess("relay", n) for n in (1, 2)]
    try:
        for child in children:
            child.wait_ready()
        rounds, seconds = (3, 1.2) if quick else (8, 4.0)
        return uvloop.run(measure_cases(nodes, rounds, seconds, depths))
    finally:
        for child in children:
            child.stop()


def print_table(result: dict) -> None:
    head = (
        f"{'depth':>5} {'mode':<8} {'calls':>6} {'failed':>6} {'p50':>7} {'p99':>7} "
        f"{'p99.9':>7} {'direct p99':>10} {'added p50':>9} {'added p99':>9} "
        f"{'node us/call':>12}"
    )
    print(head)
    for r in result["rows"]:
        print(
            f"{r['depth']:>5} {r['mode']:<8} {r['calls']:>6} {r['failures']:>6} "
            f"{r['p50_ms']:>7.2f} {r['p99_ms']:>7.2f} {r['p999_ms']:>7.2f} "
            f"{r['direct_p99_ms']:>10.2f} {r['added_p50_ms']:>9.2f} "
            f"{r['added_p99_ms']:>9.2f} {r['node_cpu_us']:>12.0f}"
        )
    share = result["idle_cpu_share"]
    print(
        f"times in ms at {CALLS_PER_S} calls/s per node; "
        f"an idle node uses {share:.2%} of a core"
    )


def main() -> None:
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", action="store_true", help="print the figures as JSON")
    parser.add_argument("--depths", type=int, nargs="+", default=DEPTHS)
    parser.add_argument("--child", nargs=2, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.child:
        run_child(args.child[0], int(args.child[1]))
        return
    result = run(args.quick, tuple(args.depths))
    if args.json:
        print(json.dumps(result))
    else:
        print_table(result)


if __name__ == "__main__":
    main()
