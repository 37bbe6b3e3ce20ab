"""Injects random faults into real nodes: ``python -m bench.soak --seconds N --seed S``.

The seed alone determines the schedule: faults of `bench.faults`, at most two
at a time, under load and with new versions published. A run fails if a call
is lost, cut or run twice, a node runs an older version than before, an
invariant check fails, or the fleet does not recover within 14 s. A failing
run prints its seed, its trace and the command that replays it.
"""

import argparse
import asyncio
import random
import sys
import time
from dataclasses import dataclass, field

import uvloop

from bench.faults import (
    FAULTS,
    FaultContext,
    count_poison_crashes,
    make_context,
    wait_for_recovery,
)
from mangowell_standins.documents import make_document
from mangowell_standins.fleet import FleetConfig, FleetError, VersionMonitor

MAX_AT_ONCE = 2
MIN_DURATION_S, MAX_DURATION_S = 1.0, 4.0
MIN_GAP_S, MAX_GAP_S = 0.3, 2.0
PUBLISH_INTERVAL_S = 2.5
# Load without faults, before the first fault and after the last recovery.
FAULT_FREE_S = 1.0
# Bound of the fault model for crashes by one request in one failure domain.
MAX_POISON_CRASHES = 3
MAX_TRACED_FAILURES = 100  # lost and cut calls listed in the trace
# Faults of one group set the same fault mode, so only one is active at a time.
EXCLUSION_GROUPS = {name: "source" for name in FAULTS if name.startswith("source-")}


@dataclass(slots=True, frozen=True)
class Step:
    """One fault of a schedule.

    Parameters
    ----------
    at : float
        Start of the fault, in s after the start of the schedule.
    name : str
        Name of the fault in `bench.faults.FAULTS`.
    hold_s : float
        Duration of the fault in s.
    """

    at: float
    name: str
    hold_s: float


@dataclass(slots=True)
class SoakReport:
    """Result of a soak run.

    Parameters
    ----------
    seed : int
        Seed of the schedule.
    seconds : float
        Length of the schedule.
    steps : list of Step
        Faults of the schedule.
    trace : list of str
        Events in order of time.
    problems : list of str
        Failed checks; empty if the run passes.
    calls, done, unknown : int
        All calls, and those that ended as ``done`` and as ``unknown``.
    versions : int
        Last published version.
    recovered_s : float
        Recovery time after the last fault; -1 without recovery.
    """

    seed: int
    seconds: float
    steps: list[Step] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    calls: int = 0
    done: int = 0
    unknown: int = 0
    versions: int = 0
    recovered_s: float = -1.0

    @property
    def replay_command(self) -> str:
        """Command that runs the same schedule again."""
        return f"python -m bench.soak --seconds {self.seconds:g} --seed {self.seed}"


def make_schedule(seed: int, seconds: float) -> list[Step]:
    """Return the faults of a run, ordered by start.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    seconds : float
        All faults end within this time.
    """
    rng = random.Random(seed)
    steps: list[Step] = []
    at = 0.0
    while True:
        at += rng.uniform(MIN_GAP_S, MAX_GAP_S)
        hold_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        if at + hold_s > seconds:
            return steps
        active = [s for s in steps if s.at + s.hold_s > at]
        groups = {EXCLUSION_GROUPS.get(s.name, s.name) for s in active}
        available = [n for n in FAULTS if EXCLUSION_GROUPS.get(n, n) not in groups]
        name = rng.choice(available)
        if len(active) < MAX_AT_ONCE:
            steps.append(Step(round(at, 2), name, round(hold_s, 2)))


class Soak:
    """Runs one schedule of faults against a fleet and checks the result.

    Parameters
    ----------
    seed : int
        Seed of the schedule, the callers and the choices of the faults.
    seconds : float
        Length of the schedule.
    config : FleetConfig or None
        Settings of the fleet; by default, 3 failure domains of 4 nodes.
    """

    def __init__(self, seed: int, seconds: float, config: FleetConfig | None = None):
        self.report = SoakReport(seed, seconds, make_schedule(seed, seconds))
        config = config or FleetConfig(relays=True, list_lag_s=0.5, log_level="error")
        self._context: FaultContext = make_context(config, seed)
        self._version_monitor = VersionMonitor(self._context.fleet, interval_s=0.1)
        self._version = 1
        self._started_at = 0.0

    async def run(self) -> SoakReport:
        """Run the schedule and return the report."""
        report, fleet = self.report, self._context.fleet
        try:
            await fleet.start(make_document(1))
            self._started_at = time.monotonic()
            self._version_monitor.start()
            await self._context.callers.start()
            await asyncio.sleep(FAULT_FREE_S)
            publisher = asyncio.create_task(self._publish_versions())
            try:
                await asyncio.gather(*(self._run_step(s) for s in report.steps))
            finally:
                publisher.cancel()
            self._publish()
            report.recovered_s = await wait_for_recovery(fleet, self._version)
            self._record_trace(f"recovered after {report.recovered_s:.2f} s")
            await asyncio.sleep(FAULT_FREE_S)
        except FleetError as exc:
            report.problems.append(str(exc))
        finally:
            await self._context.callers.stop()
            await self._version_monitor.stop()
            await fleet.stop()
        self._check_results()
        return report

    async def _run_step(self, step: Step) -> None:
        await asyncio.sleep(
            max(0.0, self._started_at + FAULT_FREE_S + step.at - time.monotonic())
        )
        self._record_trace(f"begin {step.name}")
        revert = await FAULTS[step.name](self._context)
        await asyncio.sleep(step.hold_s)
        await revert()
        self._record_trace(
            f"end {step.name}; reserved {sorted(self._context.reserved)}"
        )

    async def _publish_versions(self) -> None:
        while True:
            await asyncio.sleep(PUBLISH_INTERVAL_S)
            self._publish()

    def _publish(self) -> None:
        self._version += 1
        note = f"v{self._version}"
        self._context.fleet.publish(make_document(self._version, note=note))
        self._record_trace(f"publish version {self._version}")

    def _record_trace(self, text: str, at: float | None = None) -> None:
        at = (time.monotonic() if at is None else at) - self._started_at
        self.report.trace.append(f"{at:7.2f} s  {text}")

    def _check_results(self) -> None:
        report, fleet, counts = (
            self.report,
            self._context.fleet,
            self._context.callers.counts,
        )
        report.calls, report.done = counts.calls, counts.done
        report.unknown, report.versions = counts.unknown, self._version
        doubled = fleet.find_repeated_executions(counts.non_idempotent_ids)
        executions = fleet.count_executions()
        never_run = [
            name for name in counts.done_non_idempotent_ids if not executions[name]
        ]
        crashes = count_poison_crashes(fleet)
        checks = (
            (counts.lost == 0, f"{counts.lost} calls lost"),
            (counts.cut == 0, f"{counts.cut} calls cut"),
            (not doubled, f"{len(doubled)} payments ran more than once"),
            (not never_run, f"{len(never_run)} confirmed payments never ran"),
            (counts.done > 0, "no call was done"),
            (
                crashes <= MAX_POISON_CRASHES,
                f"a request crashed {crashes} backend servers of a failure domain",
            ),
        )
        report.problems += [problem for is_met, problem in checks if not is_met]
        report.problems += self._version_monitor.violations + fleet.violations
        for started_at, ended_at, reason in counts.failures[:MAX_TRACED_FAILURES]:
            text = f"call of {ended_at - started_at:.2f} s ends {reason}"
            self._record_trace(text, ended_at)
        report.trace.sort(key=lambda line: float(line.split(" s ", 1)[0]))
        if counts.lost or counts.cut:
            report.problems += [f"{n} x {c}" for c, n in counts.causes.items()]


def print_report(report: SoakReport) -> None:
    """Print a summary; for a failing run also the trace and the replay command."""
    print(
        f"seed {report.seed}: {len(report.steps)} faults, {report.versions} versions,"
        f" calls {report.calls}, done {report.done}, unknown {report.unknown},"
        f" recovered after {report.recovered_s:.2f} s,"
        f" {len(report.problems)} problems"
    )
    if report.problems:
        print("trace:")
        for line in report.trace:
            print(f"  {line}")
        print("problems:")
        for problem in report.problems:
            print(f"  {problem}")
        print(f"replay: {report.replay_command}")


def run_soak(
    seed: int, seconds: float, config: FleetConfig | None = None
) -> SoakReport:
    """Run one soak and return its report."""
    return uvloop.run(Soak(seed, seconds, config).run())


def main() -> None:
    """Run one soak; exit with 1 if it fails."""
    parser = argparse.ArgumentParser(prog="bench.soak")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=None)
    args = parser.parse_args()
    seed = args.seed if args.seed is not None else random.SystemRandom().getrandbits(24)
    report = run_soak(seed, args.seconds)
    print_report(report)
    sys.exit(1 if report.problems else 0)


if __name__ == "__main__":
    main()
