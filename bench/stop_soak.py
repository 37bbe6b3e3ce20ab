"""Stops node processes in series: ``python -m bench.stop_soak --seed N``.

The seed alone determines the schedule: planned stops, crashes and changes of settings,
documents and workers that overlap, while callers go on using their connections. A run
fails if a check of `bench.stop_soak_checks` fails, a stop exceeds the grace period or
some node does not answer 15 s after the last fault.
"""

import argparse
import asyncio
import random
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from time import monotonic
from typing import NamedTuple

import uvloop

from bench.soak_range import parse_range, run_range
from bench.stop_soak_checks import Problem, describe, find_problems
from bench.stop_soak_traffic import RECONNECT_PAUSE_S, Caller, Journal, SoakWorker
from mangowell_standins.node_process import NODE_CODE, WORKER_PORT, NodeProcess
from mangowell_standins.platform_store import PlatformStore
from mangowell_standins.platform_values import make_document, make_entry, make_route

GRACE_S = 6.0
RECOVERY_S, START_S = 15.0, 30.0
STOP_STEP_S = 0.3
MIN_GAP_S, MAX_GAP_S = 0.2, 1.5
RESTART_PAUSE_S = 0.1
STALL_CHECK_S, MIN_STALL_S = 0.05, 0.25
DRAIN_S, ABSENCE_S = 2.2, 0.6
LATE_RUNS_S = 1.0  # wait for runs of requests that were refused
TIMEOUTS_MS = (2500, 4000, 4000, 4000)
SERVICES = ("orders", "stock")
BOUNDS = {
    "bounds.retry-budget-ratio": "0.2",
    "bounds.budget-min-retries": "60",
    "bounds.budget-window": "10s",
}
# Callers of a node: requests sent at once, and whether the connection is kept.
CALLERS = ((1, True), (1, True), (3, True), (1, False))
SERIES = ("roll",) * 4 + ("pair",) * 4 + ("publish",) * 3
SERIES += ("settings", "settings", "kill", "replace")
EXIT_CODES = {signal.SIGTERM: 0, signal.SIGKILL: -signal.SIGKILL}
MAX_PROBLEMS_SHOWN = 10


class Step(NamedTuple):
    """Action at a time after the start, on a node; `value` is from 0 to 1."""

    at: float
    action: str
    node: int
    value: float


def make_schedule(
    seed: int, seconds: float, count: int, series: tuple[str, ...] = SERIES
) -> list[Step]:
    """Return the actions of a run on `count` nodes; the last one joins later."""
    rng = random.Random(f"schedule {seed}")
    steps = [Step(rng.uniform(0.0, seconds / 2), "join", count, 0.0)]
    at = 0.0
    while at < seconds:
        nodes = rng.sample(range(1, count + 1), count)
        match kind := rng.choice(series):
            case "roll":
                half = enumerate(nodes[: count // 2])
                new = [(at + number * STOP_STEP_S, "stop", n) for number, n in half]
            case "pair":
                later = at + rng.uniform(1.0, 5.0)
                new = [(at, "stop", nodes[0]), (later, "stop", nodes[1])]
            case _:
                new = [(at, kind, nodes[0])]
        steps += [Step(*step, rng.random()) for step in new if step[0] < seconds]
        at += rng.uniform(MIN_GAP_S, MAX_GAP_S)
    return sorted(steps)


class StopSoak:
    """Runs one schedule against nodes, each in a process of its own."""

    series = SERIES
    journal_type = Journal
    store_type = PlatformStore
    worker_type = SoakWorker
    caller_type = Caller
    node_code = NODE_CODE

    def __init__(self, seed: int, seconds: float, count: int):
        self.grace_s = GRACE_S
        self.journal = self.journal_type()
        self.started_at = 0.0
        self._seed, self._seconds, self._count = seed, seconds, count
        self._store = self.store_type()
        self._nodes: dict[int, NodeProcess] = {}
        self._workers: dict[int, SoakWorker] = {}
        self._signals: dict[int, signal.Signals] = {}  # that end the process
        self._leaving: set[int] = set()  # nodes of workers
        self._tasks: list[asyncio.Task] = []
        self._is_closing = self._is_over = False

    async def run(self, directory: Path) -> None:
        """Run the schedule, and end every process, also on SIGTERM."""
        cancel = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, cancel)
        try:
            self._tasks.append(asyncio.create_task(self._record_stalls()))
            await self._start(directory)
            callers = [
                asyncio.create_task(self._call(number))
                for number in range(len(CALLERS) * self._count)
            ]
            self._tasks += callers
            self.started_at = monotonic()
            steps = make_schedule(self._seed, self._seconds, self._count, self.series)
            await asyncio.gather(*(self._run_step(step) for step in steps))
            await self._wait_for_answers(RECOVERY_S)
            self._is_over = True
            await asyncio.gather(*callers)
            await asyncio.sleep(LATE_RUNS_S)
            self._is_closing = True
            await asyncio.gather(*(self._stop(n, 0.0) for n in self._nodes))
            await asyncio.wait(self._tasks, timeout=self.grace_s)
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            for number, node in self._nodes.items():
                node.send_signal(signal.SIGKILL)
                await node.wait()
                self._workers[number].server.crash()
            await self._store.stop()

    async def _start(self, directory: Path) -> None:
        await self._store.start()
        await self._publish(0, 0.99)
        address = {"platform.address": f"127.0.0.1:{self._store.port}"}
        for number in range(1, self._count + 1):
            names = {"zone": f"z{number % 3}", "service": SERVICES[number % 2]}
            fields = names | address | self.bounds
            node = NodeProcess(number, directory, fields, self.node_code)
            worker = self.worker_type(number, node, self.journal, self._seed)
            self._nodes[number], self._workers[number] = node, worker
            await worker.server.start(WORKER_PORT, node.host)
            if number < self._count:
                await self._join(number, 0.0)
        await self._wait_for_answers(START_S)

    @property
    def bounds(self) -> dict[str, str]:
        """Bounds of the platform, as the settings of the nodes have them."""
        return BOUNDS | {"bounds.grace": f"{self.grace_s}s"}

    @property
    def service_fields(self) -> dict:
        """Further fields of the services in the document."""
        return {}

    async def _call(self, number: int) -> None:
        """Run one of the callers, which are dealt out to the nodes in turn."""
        kind, node = divmod(number, self._count)
        rng = random.Random(f"caller {self._seed} {number}")
        caller = self.caller_type(node + 1, self._nodes[node + 1], self.journal, rng)
        await caller.run(*CALLERS[kind], lambda: self._is_over)

    async def _run_step(self, step: Step) -> None:
        await asyncio.sleep(self.started_at + step.at - monotonic())
        await getattr(self, f"_{step.action}")(step.node, step.value)

    def _record(self, number: int, what: str) -> None:
        self.journal.acts.append((monotonic(), number, what))

    async def _record_stalls(self) -> None:
        """Record pauses of this process, which delay what it sees of the nodes."""
        while not self._is_closing:
            due = monotonic() + STALL_CHECK_S
            await asyncio.sleep(STALL_CHECK_S)
            if (stall_s := monotonic() - due) > MIN_STALL_S:
                self._record(0, f"soak stalled for {stall_s:.2f} s")

    def _fail(self, number: int, what: str) -> None:
        self.journal.failures.append((monotonic(), number, what))

    def find_faults(self, logs: list[str]) -> list[str]:
        """Return the lines of the nodes' logs that tell of a fault of the code."""
        return [
            line for line in logs if "internal_fault" in line or "Traceback" in line
        ]

    # Processes

    async def _join(self, number: int, value: float) -> None:
        self._put_entry(number, "ready")
        self._tasks.append(asyncio.create_task(self._supervise(number)))

    async def _supervise(self, number: int) -> None:
        """Start the node again whenever its process has ended."""
        node = self._nodes[number]
        while not self._is_closing:
            await node.start()
            self._record(number, f"started {len(node.logs)}")
            code = await node.wait()
            self._record(number, f"ended {code}")
            if code != EXIT_CODES.get(self._signals.pop(number, None)):
                self._fail(number, f"ended with code {code}")
            await asyncio.sleep(RESTART_PAUSE_S)

    def _send(self, number: int, name: signal.Signals) -> bool:
        """Send a signal to a node that can handle it; return whether it was sent."""
        node = self._nodes[number]
        if not node.handles_signals or number in self._signals:
            return False
        if name in EXIT_CODES:
            self._signals[number] = name
        self._record(number, name.name)
        node.send_signal(name)
        return True

    async def _stop(self, number: int, value: float) -> None:
        node = self._nodes[number]
        if self._send(number, signal.SIGTERM) and await node.wait(self.grace_s) is None:
            self._fail(number, "still runs at the end of the grace period")
            self._signals[number] = signal.SIGKILL
            node.send_signal(signal.SIGKILL)

    async def _kill(self, number: int, value: float) -> None:
        self._send(number, signal.SIGKILL)

    async def _settings(self, number: int, value: float) -> None:
        """Change the settings file, in half of the cases without a signal."""
        node = self._nodes[number]
        node.fields["bounds.budget-min-retries"] = str(60 + round(value * 100))
        node.write_settings()
        self._record(number, "settings")
        if value < 0.5:
            self._send(number, signal.SIGHUP)

    async def _wait_for_answers(self, timeout_s: float) -> None:
        """Wait until every node has answered a request with success."""
        started = [number for number, node in self._nodes.items() if node.logs]
        await asyncio.gather(*(self._wait_for_answer(n, timeout_s) for n in started))

    async def _wait_for_answer(self, number: int, timeout_s: float) -> None:
        deadline = monotonic() + timeout_s
        while monotonic() < deadline:
            if await self._workers[number].call("", monotonic() + 2.0):
                return
            await asyncio.sleep(RECONNECT_PAUSE_S)
        self._fail(number, f"does not answer within {timeout_s:g} s")

    # Changes in the store

    def _put_entry(self, number: int, state: str) -> None:
        node, worker = self._nodes[number], self._workers[number]
        service, zone = node.fields["service"], node.fields["zone"]
        born = int(worker.id.rpartition("-")[2])
        entry = make_entry(node.host, WORKER_PORT, service, state, zone, born=born)
        self._store.put(f"servers/{worker.id}", entry)
        self._record(number, f"worker {worker.id} {state}")

    async def _publish(self, number: int, value: float) -> None:
        version = len(self.journal.documents) + 1
        timeout_ms = TIMEOUTS_MS[int(value * len(TIMEOUTS_MS))]
        fields = {"timeout": f"{timeout_ms}ms", "target-latency": "1000ms"}
        weights = zip(SERVICES, (1 + round(4 * value), 2), strict=True)
        split = [{"service": name, "weight": weight} for name, weight in weights]
        shared = fields | {"service": None, "traffic-split": split}
        routes = {"all": make_route("/", **shared)}
        routes["pay"] = make_route("/pay/", "unsafe", **shared)
        routes["stock"] = make_route("/stock/", **(fields | {"service": "stock"}))
        for n in range(2, version + 1):
            routes[f"v{n}"] = make_route(f"/v{n}/", **fields)
        document = make_document(
            version, routes, SERVICES, service_fields=self.service_fields
        )
        self._store.put("op/config", document)
        self.journal.documents.append((monotonic(), timeout_ms / 1000))
        self._record(0, f"document {version}, {timeout_ms} ms")

    async def _replace(self, number: int, value: float) -> None:
        """Let a worker drain and leave; another one then starts at its address."""
        worker = self._workers[number]
        if number in self._leaving or not self._nodes[number].logs:
            return
        self._leaving.add(number)
        self._put_entry(number, "draining")
        await asyncio.sleep(DRAIN_S)
        self._store.delete(f"servers/{worker.id}")
        self._record(number, f"worker {worker.id} gone")
        await asyncio.sleep(ABSENCE_S)
        name, _, generation = worker.id.rpartition("-")
        worker.id = f"{name}-{int(generation) + 1}"
        self._put_entry(number, "ready")
        self._leaving.remove(number)


def run_stop_soak(
    seed: int,
    seconds: float,
    count: int,
    soak_type: type[StopSoak] = StopSoak,
    find_more_problems=lambda journal: [],
) -> tuple[Journal, str]:
    """Run one soak; return its record, and a report that is empty if it passes.

    Parameters
    ----------
    seed, seconds, count
        Seed and length of the schedule, and number of nodes.
    soak_type : type
        `StopSoak` or a class with further series.
    find_more_problems : callable
        Takes the record; returns the failed checks of those series.
    """
    soak = soak_type(seed, seconds, count)
    with tempfile.TemporaryDirectory(prefix="stop-soak-") as name:
        uvloop.run(soak.run(Path(name)))
        paths = Path(name).glob("*.log")
        logs = sorted(line for path in paths for line in path.open())
    journal = soak.journal
    faults = soak.find_faults(logs)
    problems = find_problems(journal, soak.grace_s) + find_more_problems(journal)
    problems += [Problem("FAULT", f) for f in faults]
    if not problems:
        return journal, ""
    module = f"bench.{Path(sys.modules[soak_type.__module__].__file__).stem}"
    counts = Counter(problem.rule for problem in problems)
    found = ", ".join(f"{rule} {count}" for rule, count in sorted(counts.items()))
    lines = [f"{len(problems)} problems ({found}); the first {MAX_PROBLEMS_SHOWN}:"]
    for problem in problems[:MAX_PROBLEMS_SHOWN]:
        lines += describe(problem, journal, soak.started_at)
        words = problem.log_words
        lines += [li.strip() for li in logs if words and all(w in li for w in words)]
    command = f"--seed {seed} --seconds {seconds:g} --nodes {count}"
    return journal, "\n".join([*lines, f"replay: python -m {module} {command}"])


def run_command(name: str, run) -> None:
    """Run the soaks of the command's arguments; exit with 1 if one fails."""
    parser = argparse.ArgumentParser(prog=name)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=parse_range, help="such as 100-149")
    parser.add_argument("--jobs", type=int, default=2, help="soaks at once")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--nodes", type=int, default=8)
    args = parser.parse_args()
    if args.seeds is not None:
        sys.exit(run_range(name, args.seeds, args.jobs, args.seconds, args.nodes))
    journal, report = run(args.seed, args.seconds, args.nodes)
    statuses = Counter(request.status for request in journal.requests)
    acts = Counter(what.split(" ")[0] for _, _, what in journal.acts)
    print(f"seed {args.seed}: by status {dict(statuses)}, {dict(acts)}")
    reasons = Counter(r.reason for r in journal.requests if r.status == 503)
    print(f"503 by reason {dict(reasons.most_common())}\n{report}")
    sys.exit(1 if report else 0)


if __name__ == "__main__":
    run_command("bench.stop_soak", run_stop_soak)
