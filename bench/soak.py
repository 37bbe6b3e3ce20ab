"""Random faults over real nodes: ``python -m bench.soak --seconds N --seed S``.

The schedule follows from the seed alone: faults of `bench.faults`, at most two
at a time, while callers run and versions are published. A run fails if a call
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
    FaultRun,
    count_poison_crashes,
    make_run,
    wait_recovered,
)
from mangowell_standins.documents import make_document
from mangowell_standins.fleet import FleetConfig, FleetError, VersionWatch

MAX_AT_ONCE = 2
MIN_HOLD_S, MAX_HOLD_S = 1.0, 4.0
MIN_GAP_S, MAX_GAP_S = 0.3, 2.0
PUBLISH_GAP_S = 2.5
# Time for callers before the first fault and after the last recovery.
QUIET_S = 1.0
# Bound of the fault model: crashes by one request in one failure domain.
MAX_POISON_CRASHES = 3
MAX_FAILURES = 100  # lost and cut calls shown in a trace
# Faults of one group use the same switch, so only one is active at a time.
GROUPS = {name: "source" for name in FAULTS if name.startswith("source-")}


@dataclass(slots=True, frozen=True)
class Step:
    """One fault of a schedule; times are seconds from the start."""

    at: float
    name: str
    hold_s: float


@dataclass(slots=True)
class SoakReport:
    """Result of a soak run."""

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
    """Return the faults of a run, ordered by time.

    Parameters
    ----------
    seed : int
    seconds : float
        All faults end within this time.
    """
    rng = random.Random(seed)
    steps: list[Step] = []
    at = 0.0
    while True:
        at += rng.uniform(MIN_GAP_S, MAX_GAP_S)
        hold_s = rng.uniform(MIN_HOLD_S, MAX_HOLD_S)
        if at + hold_s > seconds:
            return steps
        active = [s for s in steps if s.at + s.hold_s > at]
        groups = {GROUPS.get(s.name, s.name) for s in active}
        free = [n for n in FAULTS if GROUPS.get(n, n) not in groups]
        name = rng.choice(free)
        if len(active) < MAX_AT_ONCE:
            steps.append(Step(round(at, 2), name, round(hold_s, 2)))


class Soak:
    """One soak run.

    Parameters
    ----------
    seed : int
    seconds : float
    config : FleetConfig or None
        Size of the fleet; 3 domains of 4 nodes by default.
    """

    def __init__(self, seed: int, seconds: float, config: FleetConfig | None = None):
        self.report = SoakReport(seed, seconds, make_schedule(seed, seconds))
        config = config or FleetConfig(relays=True, list_lag_s=0.5, log_level="error")
        self._run: FaultRun = make_run(config, seed)
        self._watch = VersionWatch(self._run.fleet, interval_s=0.1)
        self._version = 1
        self._started = 0.0

    async def run(self) -> SoakReport:
        """Run the schedule; return the report."""
        report, fleet = self.report, self._run.fleet
        try:
            await fleet.start(make_document(1))
            self._started = time.monotonic()
            self._watch.start()
            await self._run.callers.start()
            await asyncio.sleep(QUIET_S)
            publisher = asyncio.create_task(self._publish_versions())
            try:
                await asyncio.gather(*(self._execute(s) for s in report.steps))
            finally:
                publisher.cancel()
            self._publish()
            report.recovered_s = await wait_recovered(fleet, self._version)
            self._tell(f"recovered after {report.recovered_s:.2f} s")
            await asyncio.sleep(QUIET_S)
        except FleetError as exc:
            report.problems.append(str(exc))
        finally:
            await self._run.callers.stop()
            await self._watch.stop()
            await fleet.stop()
        self._judge()
        return report

    async def _execute(self, step: Step) -> None:
        await asyncio.sleep(
            max(0.0, self._started + QUIET_S + step.at - time.monotonic())
        )
        self._tell(f"begin {step.name}")
        undo = await FAULTS[step.name](self._run)
        await asyncio.sleep(step.hold_s)
        await undo()
        self._tell(f"end {step.name}; busy {sorted(self._run.busy)}")

    async def _publish_versions(self) -> None:
        while True:
            await asyncio.sleep(PUBLISH_GAP_S)
            self._publish()

    def _publish(self) -> None:
        self._version += 1
        note = f"v{self._version}"
        self._run.fleet.publish(make_document(self._version, note=note))
        self._tell(f"publish version {self._version}")

    def _tell(self, text: str, at: float | None = None) -> None:
        at = (time.monotonic() if at is None else at) - self._started
        self.report.trace.append(f"{at:7.2f} s  {text}")

    def _judge(self) -> None:
        report, fleet, counts = self.report, self._run.fleet, self._run.callers.counts
        report.calls, report.done = counts.calls, counts.done
        report.unknown, report.versions = counts.unknown, self._version
        doubled = fleet.find_doubled(counts.once_ids)
        executions = fleet.executions()
        phantom = [name for name in counts.done_once_ids if not executions[name]]
        crashes = count_poison_crashes(fleet)
        checks = (
            (counts.lost == 0, f"{counts.lost} calls lost"),
            (counts.cut == 0, f"{counts.cut} calls cut"),
            (not doubled, f"{len(doubled)} payments ran more than once"),
            (not phantom, f"{len(phantom)} confirmed payments never ran"),
            (counts.done > 0, "no call was done"),
            (
                crashes <= MAX_POISON_CRASHES,
                f"a request crashed {crashes} servers of a failure domain",
            ),
        )
        report.problems += [problem for holds, problem in checks if not holds]
        report.problems += self._watch.violations + fleet.violations
        for began, ended, reason in counts.failures[:MAX_FAILURES]:
            text = f"call of {ended - began:.2f} s ends {reason}"
            self._tell(text, ended)
        report.trace.sort(key=lambda line: float(line.split(" s ", 1)[0]))
        if counts.lost or counts.cut:
            report.problems += [f"{n} x {c}" for c, n in counts.causes.items()]


def print_report(report: SoakReport) -> None:
    """Print a summary; for a failing run also seed, trace and command."""
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
    """Run one soak to its end."""
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
