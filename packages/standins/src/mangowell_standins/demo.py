"""Demo of a whole mesh in one process under continuous load.

The figures of the final table are counted outside the nodes: executions at the
backend servers, answers checked by the callers and reads at the configuration
service. Only the control bytes are counted by the nodes themselves.
"""

import asyncio
import json as json_module
import random
import sys
import time
from dataclasses import dataclass, field

import uvloop
from result import Err, Ok

from mangowell_core.document import parse_document, promote_document
from mangowell_core.model import InstanceState
from mangowell_standins.callers import Callers
from mangowell_standins.documents import (
    CALL_KINDS,
    ENVIRONMENT,
    DocumentPlan,
    make_document,
)
from mangowell_standins.figures import mean_and_max, percentile, summarise
from mangowell_standins.fleet import Fleet, FleetConfig, Member, VersionMonitor

CALLS_PER_SECOND = 120.0
# Bound of invariant I9 on the time until all nodes run a published version.
CONVERGENCE_BOUND_S = 14.0
# Bound of invariant I7 on the time until a leaving server starts no new work.
LEAVING_BOUND_S = 3.0
TRIAL_ENVIRONMENT = "trial"


@dataclass(slots=True)
class DemoReport:
    """Result of one demo run.

    Parameters
    ----------
    events : list of tuple
        (seconds since the start, text) of the timeline.
    problems : list of str
        Violations of invariants; empty if all held.
    convergence_s : list of float
        Delay of each node until it ran each version, in seconds.
    figures : dict
        Figures of the final table.
    """

    events: list[tuple[float, str]] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    convergence_s: list[float] = field(default_factory=list)
    figures: dict[str, object] = field(default_factory=dict)


class Demo:
    """Runs the scenario of the demo and records its report.

    Parameters
    ----------
    show : bool
        Whether to print each event of the timeline as it happens.
    """

    def __init__(self, show: bool):
        self.report = DemoReport()
        self.fleet = Fleet(FleetConfig(list_lag_s=0.5, seed=1))
        self.version_monitor = VersionMonitor(self.fleet)
        self._prints_timeline = show
        self._started_at = time.monotonic()
        self.callers = Callers(
            self.fleet.targets,
            CALL_KINDS,
            CALLS_PER_SECOND,
            max_calls=20_000,
            crashed=self.fleet.crashed_since,
            rng=random.Random(2),
        )

    async def run(self) -> DemoReport:
        """Run all steps and return the report; always stop the fleet."""
        steps = (
            self._publish_version,
            self._promote_trial,
            self._publish_broken_version,
            self._cut_off_domain,
            self._drain_backend,
            self._crash_and_restart_node,
        )
        try:
            await self._start()
            for step in steps:
                await step()
            await self._record_figures()
        finally:
            await self.callers.stop()
            await self.version_monitor.stop()
            await self.fleet.stop()
        self.report.problems += self.version_monitor.violations + self.fleet.violations
        return self.report

    def _report_event(self, text: str) -> None:
        at = time.monotonic() - self._started_at
        self.report.events.append((round(at, 2), text))
        if self._prints_timeline:
            print(f"{at:6.1f} s  {text}", flush=True)

    def _check(self, holds: bool, problem: str) -> None:
        if not holds:
            self.report.problems.append(problem)
            self._report_event(f"PROBLEM: {problem}")

    def _format_call_counts(self) -> str:
        counts = self.callers.counts
        return (
            f"calls {counts.calls}, done {counts.done},"
            f" lost {counts.lost}, cut {counts.cut}"
        )

    async def _start(self) -> None:
        cfg = self.fleet.config
        self._report_event(
            f"starting {cfg.domains} failure domains, {cfg.size} nodes, {cfg.size}"
            " backend servers, a configuration service and an instance list"
        )
        await self.fleet.start(make_document(1))
        self._report_event("all nodes are ready with version 1")
        self.version_monitor.start()
        await self.callers.start()
        self._report_event(f"callers start: {CALLS_PER_SECOND:g} calls/s, four classes")
        await asyncio.sleep(2.0)

    async def _await_convergence(
        self, version: int, since: float, members: list[Member] | None = None
    ) -> str:
        """Wait until members run a version, record their delays and describe them.

        Parameters
        ----------
        version : int
            Document version to wait for.
        since : float
            Unix time from which the delays are measured.
        members : list of Member or None
            None waits for all members.

        Returns
        -------
        str
            Text for the timeline.
        """
        chosen = members or list(self.fleet.members.values())
        await self.fleet.wait_version(version, CONVERGENCE_BOUND_S, chosen)
        delays = await self.fleet.compute_convergence_delays({version: since}, chosen)
        self.report.convergence_s += delays
        return (
            f"version {version} runs on {len(delays)} nodes: median"
            f" {percentile(delays, 0.5) * 1000:.0f} ms, last"
            f" {max(delays) * 1000:.0f} ms"
        )

    async def _publish_version(self) -> None:
        at = self.fleet.publish(make_document(2, note="two"))
        self._report_event("version 2 is published")
        self._report_event(await self._await_convergence(2, at))
        await asyncio.sleep(1.0)

    async def _promote_trial(self) -> None:
        plan = DocumentPlan(environment=TRIAL_ENVIRONMENT, queue_limit=64)
        trial_text = make_document(7, plan, note="trial")
        self.fleet.source.publish(f"documents/{TRIAL_ENVIRONMENT}", trial_text)
        match parse_document(trial_text, "trial.ini"):
            case Ok(trial):
                text = promote_document(trial, 3, ENVIRONMENT)
            case Err(errors):
                raise ValueError(f"trial document is invalid: {errors[0]}")
        at = self.fleet.publish(text)
        self._report_event("trial version 7 is promoted to production as version 3")
        self._report_event(await self._await_convergence(3, at))
        await asyncio.sleep(1.0)

    async def _publish_broken_version(self) -> None:
        self.fleet.publish(make_document(4, DocumentPlan(broken=True)))
        self._report_event("version 4 is published; its route names an unknown service")
        refused: dict[str, str] = {}
        deadline = time.monotonic() + CONVERGENCE_BOUND_S
        while time.monotonic() < deadline:
            statuses = await self.fleet.get_statuses()
            refused = {
                name: entry["reason"]
                for name, status in statuses.items()
                if status
                for entry in status["refused"]
                if entry["version"] == 4
            }
            if refused:
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)
        statuses = await self.fleet.get_statuses()
        versions = {status["version"] for status in statuses.values() if status}
        self._check(bool(refused), "no node reports the broken version 4")
        self._check(versions == {3}, f"versions {versions} run instead of 3 only")
        if refused:
            name, reason = next(iter(refused.items()))
            self._report_event(
                f"version 4 is refused ({name}: {reason}); 3 keeps running"
            )
        at = self.fleet.publish(make_document(5, note="five"))
        self._report_event("version 5 is published with the fault removed")
        self._report_event(await self._await_convergence(5, at))

    async def _cut_off_domain(self) -> None:
        cut = self.fleet.config.domains
        cut_members = [m for m in self.fleet.members.values() if m.domain == cut]
        other_members = [m for m in self.fleet.members.values() if m.domain != cut]
        await self.fleet.cut(cut)
        self._report_event(
            f"failure domain {cut} is cut off from the others and the platform"
        )
        await asyncio.sleep(1.0)
        done_before = sum(m.backend.completed for m in cut_members)
        at = self.fleet.publish(make_document(6, note="six"))
        self._report_event("version 6 is published meanwhile")
        self._report_event(await self._await_convergence(6, at, other_members))
        await asyncio.sleep(3.0)
        statuses = await self.fleet.get_statuses(cut_members)
        versions = {status["version"] for status in statuses.values() if status}
        served = sum(m.backend.completed for m in cut_members) - done_before
        self._report_event(
            f"domain {cut} runs version {sorted(versions)} and has served"
            f" {served} calls from its own backend servers"
        )
        self._check(versions == {5}, f"cut domain runs {versions} instead of 5")
        self._check(served > 0, "the cut domain served no calls")
        at = time.time()
        await self.fleet.join(cut)
        self._report_event(f"failure domain {cut} is joined again")
        self._report_event(await self._await_convergence(6, at, cut_members))
        self._report_event(self._format_call_counts())

    async def _drain_backend(self) -> None:
        member = next(m for m in self.fleet.members.values() if m.domain == 1)
        member.backend.start_drain()
        self.fleet.set_listed_state(member, InstanceState.LEAVING)
        self._report_event(
            f"backend server {member.name} drains: health reports leaving"
        )
        await asyncio.sleep(LEAVING_BOUND_S)
        before = sum(member.backend.executions.values())
        await asyncio.sleep(1.5)
        new_calls = sum(member.backend.executions.values()) - before
        self._check(new_calls == 0, f"{new_calls} new calls ran at a leaving server")
        self._check(member.backend.running == 0, "a leaving server still runs calls")
        self._report_event(
            f"{member.name} got {new_calls} new calls after {LEAVING_BOUND_S:g} s;"
            " it is restarted and listed as live again"
        )
        await member.backend.stop()
        await member.backend.start()
        self.fleet.set_listed_state(member, InstanceState.LIVE)

    async def _crash_and_restart_node(self) -> None:
        # A node of this service owns idempotency keys of payments, which makes its
        # crash the hardest case.
        member = next(
            m
            for m in self.fleet.members.values()
            if m.domain == 2 and m.instance.service == "orders"
        )
        await self.fleet.crash_node(member)
        self._report_event(f"node {member.name} crashes")
        await asyncio.sleep(2.0)
        at = self.fleet.publish(make_document(7, note="seven"))
        others = [m for m in self.fleet.members.values() if m is not member]
        self._report_event("version 7 is published meanwhile")
        self._report_event(await self._await_convergence(7, at, others))
        at = time.time()
        await self.fleet.start_node(member)
        await self.fleet.wait_ready(CONVERGENCE_BOUND_S, [member])
        status = await self.fleet.status(member)
        self._check(
            status["version"] == 7, f"the node returns with {status['version']}"
        )
        self._report_event(
            f"node {member.name} returns and is ready with version"
            f" {status['version']} after {time.time() - at:.2f} s"
        )
        await asyncio.sleep(2.0)

    async def _record_figures(self) -> None:
        counts = await self.callers.stop()
        await self.version_monitor.stop()
        seconds = time.monotonic() - self._started_at
        doubled = len(self.fleet.find_repeated_executions(counts.non_idempotent_ids))
        executions = self.fleet.count_executions()
        never_run = [
            name for name in counts.done_non_idempotent_ids if not executions[name]
        ]
        self._check(not never_run, f"{len(never_run)} confirmed payments never ran")
        self._check(counts.lost == 0, f"{counts.lost} calls lost")
        self._check(counts.cut == 0, f"{counts.cut} calls cut")
        self._check(doubled == 0, f"{doubled} payments ran more than once")
        self._check(counts.done > 0, "no call was done")
        slowest = max(self.report.convergence_s)
        self._check(slowest <= CONVERGENCE_BOUND_S, f"convergence {slowest:.1f} s")
        for violation in self.version_monitor.violations:
            self._report_event(f"PROBLEM: {violation}")
        control_rates_by_node = self.version_monitor.compute_control_rates()
        reads = self.fleet.source.counts
        delays = self.report.convergence_s
        latencies = [seconds for _, seconds in counts.latencies]
        self.report.figures = {
            "calls": counts.calls,
            "done": counts.done,
            "lost": counts.lost,
            "cut": counts.cut,
            "doubled": doubled,
            "unknown": counts.unknown,
            "not_run_repeated": counts.not_run,
            "broken_by_crash": counts.broken,
            "call_ms": {
                "p50": round(percentile(latencies, 0.5) * 1000, 1),
                "p99": round(percentile(latencies, 0.99) * 1000, 1),
            },
            "convergence_s": summarise(delays),
            "control_bytes_per_node_s": mean_and_max(control_rates_by_node.values(), 0),
            "source_reads": {
                "total": reads.total,
                "per_second": round(reads.total / seconds, 2),
                "peak_load": reads.peak_load,
                **reads.by_kind,
            },
            "causes": dict(counts.causes),
            "seconds": round(seconds, 1),
        }


def format_table(figures: dict[str, object]) -> str:
    """Return the table of figures that the demo prints at its end."""
    convergence = figures["convergence_s"]
    control = figures["control_bytes_per_node_s"]
    reads = figures["source_reads"]
    latency = figures["call_ms"]
    rows = (
        ("calls", f"{figures['calls']} ({figures['done']} done)"),
        (
            "lost, cut, doubled",
            f"{figures['lost']}, {figures['cut']}, {figures['doubled']}",
        ),
        ("unknown (non-idempotent)", f"{figures['unknown']}"),
        ("not-run, repeated by callers", f"{figures['not_run_repeated']}"),
        ("broken by the node's crash", f"{figures['broken_by_crash']}"),
        ("call time p50, p99", f"{latency['p50']} ms, {latency['p99']} ms"),
        (
            "convergence p50, p99, max",
            f"{convergence['p50']:.3f} s, "
            f"{convergence['p99']:.3f} s, {convergence['max']:.3f} s",
        ),
        ("control bytes, mean node", f"{control['mean']:.0f} B/s"),
        ("control bytes, busiest node", f"{control['max']:.0f} B/s"),
        ("reads of the source", f"{reads['total']} ({reads['per_second']}/s)"),
        ("peak load of the source", f"{reads['peak_load']} of 2000"),
    )
    return "\n".join(f"{name:<30} {value}" for name, value in rows)


def run_demo(json: bool = False) -> int:
    """Run the demo and print its timeline and figures.

    Parameters
    ----------
    json : bool
        Whether to print one JSON object instead of the timeline and the table.

    Returns
    -------
    int
        Exit code: 0 if all invariants held, otherwise 1.
    """
    report = uvloop.run(Demo(show=not json).run())
    all_held = not report.problems
    if json:
        result = {
            "held": all_held,
            "problems": report.problems,
            "figures": report.figures,
            "timeline": [{"at_s": at, "event": text} for at, text in report.events],
        }
        print(json_module.dumps(result, indent=2))
    else:
        print()
        print(format_table(report.figures))
        print()
        print("all invariants held" if all_held else "INVARIANTS DID NOT HOLD:")
        for problem in report.problems:
            print(f"  {problem}")
        for cause, count in report.figures.get("causes", {}).items():
            print(f"  {count} x {cause}")
    return 0 if all_held else 1


if __name__ == "__main__":
    sys.exit(run_demo("--json" in sys.argv[1:]))
