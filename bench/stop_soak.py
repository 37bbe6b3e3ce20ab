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
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic

import uvloop

from bench.stop_soak_checks import Problem, describe, find_problems, summarize
from bench.stop_soak_traffic import Caller, Journal, SoakWorker
from mangowell_standins.node_process import MeshPorts, NodeProcess
from mangowell_standins.platform_store import PlatformStore
from mangowell_standins.platform_values import make_document, make_entry, make_route

GRACE_S = 6.0
RECOVERY_S = 15.0
START_S = 30.0
STOP_STEP_S = 0.3
MIN_GAP_S, MAX_GAP_S = 0.2, 1.5
RESTART_PAUSE_S = 0.1
DRAIN_S, ABSENCE_S = 2.2, 0.6
LATE_RUNS_S = 1.0
TIMEOUTS_MS = (2500, 3000, 4000, 4000)
SERVICES = ("orders", "stock")
# Callers of a node: requests sent at once, and whether the connection is kept.
CALLERS = ((1, True), (3, True), (1, False))
SERIES = ("roll",) * 4 + ("pair",) * 4 + ("publish",) * 3
SERIES += ("sighup", "settings", "kill", "replace")
MAX_PROBLEMS_SHOWN = 10


@dataclass(slots=True, frozen=True)
class Step:
    """Action at a time after the start, on a node; `value` is from 0 to 1."""

    at: float
    action: str
    node: int
    value: float


@dataclass(slots=True)
class StopReport:
    """Result of a run."""

    command: str
    journal: Journal = field(default_factory=Journal)
    problems: list[Problem] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)


def make_schedule(seed: int, seconds: float, count: int) -> list[Step]:
    """Return the actions of a run on `count` nodes; the last one joins later."""
    rng = random.Random(f"schedule {seed}")
    steps = [Step(rng.uniform(0.0, seconds / 2), "join", count, 0.0)]
    at = 0.0
    while at < seconds:
        nodes = rng.sample(range(1, count + 1), count)
        match series := rng.choice(SERIES):
            case "roll":
                half = enumerate(nodes[: count // 2])
                new = [(at + number * STOP_STEP_S, "stop", n) for number, n in half]
            case "pair":
                later = at + rng.uniform(1.0, 5.0)
                new = [(at, "stop", nodes[0]), (later, "stop", nodes[1])]
            case _:
                new = [(at, series, nodes[0])]
        steps += [Step(*step, rng.random()) for step in new if step[0] < seconds]
        at += rng.uniform(MIN_GAP_S, MAX_GAP_S)
    return sorted(steps, key=lambda step: step.at)


class StopSoak:
    """Runs one schedule against nodes, each in a process of its own."""

    def __init__(self, seed: int, seconds: float, count: int, directory: Path):
        self._seed, self._seconds, self._count = seed, seconds, count
        self.journal = Journal()
        self._directory = directory
        self._store = PlatformStore()
        self._ports = MeshPorts()
        self._nodes: dict[int, NodeProcess] = {}
        self._workers: dict[int, SoakWorker] = {}
        self._ends: dict[int, set[int]] = {}  # exit codes that signals allow
        self._leaving: set[int] = set()
        self._supervisors: list[asyncio.Task] = []
        self._is_closing = self._is_over = False
        self.started_at = monotonic()

    async def run(self) -> None:
        callers = []
        try:
            await self._start()
            rng = random.Random(f"callers {self._seed}")
            for number, node in self._nodes.items():
                for batch, keeps in CALLERS:
                    own_rng = random.Random(rng.random())
                    caller = Caller(number, node, self.journal, own_rng)
                    run = caller.run(batch, keeps, lambda: self._is_over)
                    callers.append(asyncio.create_task(run))
            self.started_at = monotonic()
            steps = make_schedule(self._seed, self._seconds, self._count)
            await asyncio.gather(*(self._run_step(step) for step in steps))
            await self._wait_for_answers(RECOVERY_S)
            self._is_over = True
            await asyncio.gather(*callers)
            await asyncio.sleep(LATE_RUNS_S)
            self._is_closing = True
            await asyncio.gather(*(self._stop(number, 0.0) for number in self._nodes))
        finally:
            self._is_closing = True
            for task in callers + self._supervisors:
                task.cancel()
            for node in self._nodes.values():
                await node.kill()
            for worker in self._workers.values():
                worker.server.crash()
            await self._store.stop()

    async def _start(self) -> None:
        await self._store.start()
        await self._publish(0, 0.99)
        for number in range(1, self._count + 1):
            settings = {
                "zone": f"z{number % 3}",
                "service": SERVICES[number % 2],
                "store": f"127.0.0.1:{self._store.port}",
                "grace_s": GRACE_S,
                "retry_floor": 60,
            }
            node = NodeProcess(number, self._ports, self._directory, settings)
            worker = SoakWorker(number, node, self.journal, self._seed)
            self._nodes[number], self._workers[number] = node, worker
            await worker.server.start(self._ports.worker, node.host)
            if number < self._count:
                await self._join(number, 0.0)
        await self._wait_for_answers(START_S)

    async def _run_step(self, step: Step) -> None:
        await asyncio.sleep(self.started_at + step.at - monotonic())
        await getattr(self, f"_{step.action}")(step.node, step.value)

    def _record(self, number: int, what: str) -> None:
        self.journal.acts.append((monotonic(), number, what))

    def _fail(self, number: int, what: str) -> None:
        at = monotonic() - self.started_at
        self.journal.failures.append(f"{at:.3f} s node {number}: {what}")

    # Processes

    async def _join(self, number: int, value: float) -> None:
        self._put_entry(number, "ready")
        task = asyncio.create_task(self._supervise(number))
        self._supervisors.append(task)

    async def _supervise(self, number: int) -> None:
        """Start the node again whenever its process has ended."""
        node = self._nodes[number]
        while not self._is_closing:
            self._ends[number] = set()
            await node.start()
            self._record(number, f"started {node.starts}")
            code = await node.wait()
            self._record(number, f"ended {code}")
            if code not in self._ends[number]:
                self._fail(number, f"ended with code {code}")
            await asyncio.sleep(RESTART_PAUSE_S)

    def _send(self, number: int, signal_number: signal.Signals, *codes: int) -> bool:
        """Send a signal to a node that handles signals; return whether it was sent."""
        node = self._nodes[number]
        if not node.has_logged or self._ends[number]:
            return False
        self._ends[number] |= set(codes)
        self._record(number, signal_number.name)
        node.send_signal(signal_number)
        return True

    async def _stop(self, number: int, value: float) -> None:
        node = self._nodes[number]
        if not self._send(number, signal.SIGTERM, 0):
            return
        if await node.wait(GRACE_S) is None:
            self._fail(number, "still runs at the end of the grace period")
            self._ends[number].add(-signal.SIGKILL)
            await node.kill()

    async def _kill(self, number: int, value: float) -> None:
        self._send(number, signal.SIGKILL, -signal.SIGKILL)

    async def _sighup(self, number: int, value: float) -> None:
        await self._settings(number, value)
        self._send(number, signal.SIGHUP)

    async def _settings(self, number: int, value: float) -> None:
        node = self._nodes[number]
        node.settings["retry_floor"] += 1
        node.write_settings()
        self._record(number, "settings")

    async def _wait_for_answers(self, timeout_s: float) -> None:
        """Wait until every node has answered a request with success."""
        deadline = monotonic() + timeout_s
        waiting = dict(self._nodes)
        if not self._nodes[self._count].starts:
            del waiting[self._count]
        while waiting and monotonic() < deadline:
            asked = list(waiting)
            answers = await asyncio.gather(*(self._answers(n) for n in asked))
            for number, has_answered in zip(asked, answers, strict=True):
                if has_answered:
                    del waiting[number]
            await asyncio.sleep(0.1)
        for number in waiting:
            self._fail(number, f"does not answer within {timeout_s:g} s")

    async def _answers(self, number: int) -> bool:
        worker = self._workers[number]
        name = f"check-{number}-{monotonic():.6f}"
        return await worker.call(name, monotonic() + 1.0)

    # Changes in the store

    def _put_entry(self, number: int, state: str) -> None:
        node, worker = self._nodes[number], self._workers[number]
        service, zone = node.settings["service"], node.settings["zone"]
        born = int(worker.id.rpartition("-")[2])
        entry = make_entry(
            node.host, self._ports.worker, service, state, zone, born=born
        )
        self._store.put(f"servers/{worker.id}", entry)
        self._record(number, f"worker {worker.id} {state}")

    async def _publish(self, number: int, value: float) -> None:
        version = self.journal.version + 1
        timeout_ms = TIMEOUTS_MS[int(value * len(TIMEOUTS_MS))]
        fields = {"timeout": f"{timeout_ms}ms", "target-latency": "1000ms"}
        weights = zip(SERVICES, (1 + round(4 * value), 2), strict=True)
        split = [{"service": name, "weight": weight} for name, weight in weights]
        shared = fields | {"service": None, "traffic-split": split}
        routes = {
            "all": make_route("/", **shared),
            "pay": make_route("/pay/", "unsafe", **shared),
            "stock": make_route("/stock/", **(fields | {"service": "stock"})),
        }
        for n in range(2, version + 1):
            routes[f"v{n}"] = make_route(f"/v{n}/", **fields)
        self._store.put("op/config", make_document(version, routes, SERVICES))
        self.journal.documents.append((monotonic(), timeout_ms / 1000))
        self._record(0, f"document {version}, {timeout_ms} ms")

    async def _replace(self, number: int, value: float) -> None:
        """Let a worker drain and leave; another one then starts at its address."""
        worker = self._workers[number]
        if number in self._leaving or not self._nodes[number].starts:
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


def run_stop_soak(seed: int, seconds: float, count: int) -> StopReport:
    """Run one soak and return its report."""
    command = f"python -m bench.stop_soak --seed {seed} --seconds {seconds:g}"
    with tempfile.TemporaryDirectory(prefix="stop-soak-") as directory:
        report = StopReport(f"{command} --nodes {count}")
        report.lines.append(f"seed {seed}")
        uvloop.run(_run(report, seed, seconds, count, Path(directory)))
    return report


async def _run(report, seed, seconds, count, directory) -> None:
    soak = StopSoak(seed, seconds, count, directory)
    await soak.run()
    report.journal = soak.journal
    report.problems = find_problems(soak.journal, GRACE_S)
    logs = [line for path in directory.glob("*.log") for line in path.open()]
    faults = [line for line in logs if "internal_fault" in line or "Traceback" in line]
    report.problems += [Problem("FAULT", line.strip()) for line in faults]
    rules = sorted(f"{p.rule}" for p in report.problems)
    report.lines[0] += f": {len(rules)} problems {rules}, {summarize(soak.journal)}"
    for problem in report.problems[:MAX_PROBLEMS_SHOWN]:
        report.lines += describe(problem, soak.journal, soak.started_at)
        if problem.request is not None:
            name = f'"{problem.request.id}"'
            report.lines += [f"    {line.strip()}" for line in logs if name in line]
    if report.problems:
        report.lines.append(f"replay: {report.command}")


def main() -> None:
    """Run one soak; exit with 1 if it fails."""
    parser = argparse.ArgumentParser(prog="bench.stop_soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--nodes", type=int, default=8)
    args = parser.parse_args()
    report = run_stop_soak(args.seed, args.seconds, args.nodes)
    print("\n".join(report.lines))
    sys.exit(1 if report.problems else 0)


if __name__ == "__main__":
    main()
