"""Injects the faults of the fault model, alone and in pairs, under load.

``python -m bench.faults NAME`` measures one fault or pair and prints the result
as JSON; ``python -m bench`` runs several such processes concurrently. Soak runs
select from the same faults (see `bench.soak`).
"""

import argparse
import asyncio
import json
import random
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import uvloop

from mangowell_standins.callers import Callers, CallKind
from mangowell_standins.config_service import SourceFault
from mangowell_standins.documents import CALL_KINDS, make_document
from mangowell_standins.fleet import (
    Fleet,
    FleetConfig,
    FleetError,
    Member,
    VersionMonitor,
)

CALLS_PER_SECOND = 60.0
FAULT_DURATION_S = 4.0
WARM_UP_S = 1.5
# Bound of invariant I9, measured from the end of the fault.
RECOVERY_BOUND_S = 14.0
# Nodes that crash together restart at random times within this period.
RESTART_SPREAD_S = 0.3
POISON_ATTEMPTS = 20
POISON_KIND = CallKind("poison", "GET", "/catalogue", "dealers")


@dataclass(slots=True)
class FaultContext:
    """State that the faults of one run share.

    Parameters
    ----------
    fleet : Fleet
        Fleet into which faults are injected.
    callers : Callers
        Load on the fleet.
    rng : random.Random
        Source of all random choices of the faults.
    reserved : set of str
        Names of the failure domains and members that an active fault uses;
        otherwise one fault could revert another.
    poison_count : int
        Poison requests injected so far; part of their request ids.
    """

    fleet: Fleet
    callers: Callers
    rng: random.Random
    reserved: set[str] = field(default_factory=set)
    poison_count: int = 0

    def reserve_domain(self) -> int:
        """Reserve a failure domain that no active fault uses, else any one."""
        available = [
            n for n in self.fleet.domains if f"domain-{n}" not in self.reserved
        ]
        domain = self.rng.choice(available or list(self.fleet.domains))
        self.reserved.add(f"domain-{domain}")
        return domain

    def reserve_member(self) -> Member:
        """Reserve a running member that no active fault uses, else any one."""
        members = list(self.fleet.members.values())
        available = [m for m in members if m.running and m.name not in self.reserved]
        member = self.rng.choice(available or members)
        self.reserved.add(member.name)
        return member

    def release(self, *names: str) -> None:
        """Release reserved failure domains or members."""
        self.reserved.difference_update(names)


RevertFault = Callable[[], Awaitable[None]]
InjectFault = Callable[[FaultContext], Awaitable[RevertFault]]


async def _do_nothing() -> None:
    pass


async def _crash_members(context: FaultContext, members: list[Member]) -> RevertFault:
    """Crash nodes together; they restart within `RESTART_SPREAD_S`."""
    await asyncio.gather(*(context.fleet.crash_node(m) for m in members))

    async def revert() -> None:
        async def restart(member: Member) -> None:
            await asyncio.sleep(context.rng.uniform(0.0, RESTART_SPREAD_S))
            await context.fleet.start_node(member)

        await asyncio.gather(*(restart(m) for m in members))
        context.release(*(m.name for m in members))

    return revert


async def crash_node(context: FaultContext) -> RevertFault:
    """Crash one node, which restarts."""
    return await _crash_members(context, [context.reserve_member()])


async def crash_domain(context: FaultContext) -> RevertFault:
    """Crash all nodes of a failure domain, which restart nearly together."""
    domain = context.reserve_domain()
    members = [
        m for m in context.fleet.members.values() if m.domain == domain and m.running
    ]
    context.reserved.update(m.name for m in members)
    restart = await _crash_members(context, members)

    async def revert() -> None:
        await restart()
        context.release(f"domain-{domain}")

    return revert


async def crash_backend(context: FaultContext) -> RevertFault:
    """Crash one backend server, which restarts by itself."""
    member = context.reserve_member()
    member.backend.crash()

    async def revert() -> None:
        context.release(member.name)

    return revert


async def drain_node(context: FaultContext) -> RevertFault:
    """Stop one node gracefully, then start it again."""
    member = context.reserve_member()
    await context.fleet.stop_node(member)

    async def revert() -> None:
        await context.fleet.start_node(member)
        context.release(member.name)

    return revert


async def partition_domain(context: FaultContext) -> RevertFault:
    """Partition a failure domain from the others and from the platform."""
    domain = context.reserve_domain()
    await context.fleet.cut(domain)

    async def revert() -> None:
        await context.fleet.join(domain)
        context.release(f"domain-{domain}")

    return revert


def _make_source_fault(fault: SourceFault) -> InjectFault:
    """Return a fault that puts the configuration source into a fault mode."""

    async def inject(context: FaultContext) -> RevertFault:
        context.fleet.source.set_fault(fault)

        async def revert() -> None:
            context.fleet.source.set_fault(SourceFault.NONE)

        return revert

    return inject


async def drop_list_entries(context: FaultContext) -> RevertFault:
    """Remove half of a failure domain from the instance list."""
    domain = context.reserve_domain()
    context.fleet.instances.omit_instances(f"domain-{domain}")

    async def revert() -> None:
        context.fleet.instances.list_all_instances()
        context.release(f"domain-{domain}")

    return revert


async def silence_links(context: FaultContext) -> RevertFault:
    """Make open connections between nodes silent."""
    for member in context.fleet.members.values():
        if member.relay is not None:
            member.relay.silence_connections()
    return _do_nothing


async def silence_backends(context: FaultContext) -> RevertFault:
    """Make open connections to backend servers silent."""
    for member in context.fleet.members.values():
        member.backend.silence_connections()
    return _do_nothing


def _make_backend_fault(**values: float) -> InjectFault:
    """Return a fault that changes settings of one backend server."""

    async def inject(context: FaultContext) -> RevertFault:
        member = context.reserve_member()
        settings = member.backend.settings
        previous = {key: getattr(settings, key) for key in values}
        for key, value in values.items():
            setattr(settings, key, value)

        async def revert() -> None:
            for key, value in previous.items():
                setattr(settings, key, value)
            context.release(member.name)

        return revert

    return inject


async def repeat_poison_request(context: FaultContext) -> RevertFault:
    """Repeat a request that crashes every backend server that runs it.

    Separate callers send it, so that it is not counted in the result: no
    caller can get an answer to it.
    """
    context.poison_count += 1
    request_id = f"poison-{context.poison_count}-{context.rng.getrandbits(32):08x}"
    poison_callers = Callers(
        context.fleet.targets, [POISON_KIND], rate=1.0, max_calls=0, give_up_s=1.0
    )
    await poison_callers.start()

    async def repeat() -> None:
        for _ in range(POISON_ATTEMPTS):
            await poison_callers.call(POISON_KIND, request_id, "&poison=1")
            await asyncio.sleep(0.05)

    task = asyncio.get_running_loop().create_task(repeat())

    async def revert() -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await poison_callers.stop()

    return revert


async def pause_node(context: FaultContext) -> RevertFault:
    """Pause a node process, which resumes later with stale state."""
    member = context.reserve_member()
    context.fleet.pause_node(member)

    async def revert() -> None:
        context.fleet.resume_node(member)
        context.release(member.name)

    return revert


FAULTS: dict[str, InjectFault] = {
    "node-crash": crash_node,
    "group-crash": crash_domain,
    "backend-crash": crash_backend,
    "node-stop": drain_node,
    "domain-cut": partition_domain,
    "source-down": _make_source_fault(SourceFault.DOWN),
    "source-stale": _make_source_fault(SourceFault.STALE),
    "source-flapping": _make_source_fault(SourceFault.FLAPPING),
    "source-slow": _make_source_fault(SourceFault.SLOW),
    "source-crossed": _make_source_fault(SourceFault.CROSSED),
    "list-loss": drop_list_entries,
    "silent-links": silence_links,
    "silent-backends": silence_backends,
    "truncated-answers": _make_backend_fault(truncated_share=0.5),
    "late-answers": _make_backend_fault(late_share=0.2, late_s=1.0),
    "poison-request": repeat_poison_request,
}
# Faults that need one process per node: a process cannot pause one of its nodes.
PROCESS_FAULTS: dict[str, InjectFault] = {"node-pause": pause_node}
FAULT_PAIRS = (
    ("source-down", "domain-cut"),
    ("source-stale", "group-crash"),
    ("source-flapping", "node-crash"),
    ("domain-cut", "node-crash"),
    ("list-loss", "node-crash"),
    ("silent-links", "silent-backends"),
    ("silent-links", "poison-request"),
    ("poison-request", "domain-cut"),
)
FAULT_NAMES = (*FAULTS, *PROCESS_FAULTS, *("+".join(pair) for pair in FAULT_PAIRS))


def make_context(config: FleetConfig, seed: int) -> FaultContext:
    """Return a context whose fleet and callers are not started yet."""
    fleet = Fleet(config)
    callers = Callers(
        fleet.targets,
        CALL_KINDS,
        CALLS_PER_SECOND,
        crashed=fleet.crashed_since,
        rng=random.Random(seed + 1),
    )
    return FaultContext(fleet, callers, random.Random(seed))


def count_poison_crashes(fleet: Fleet) -> int:
    """Return the largest number of crashes by one request in a failure domain."""
    crashes: dict[tuple[int, str], int] = {}
    for member in fleet.members.values():
        if member.backend is not None:
            for request_id in member.backend.crashes:
                key = (member.domain, request_id)
                crashes[key] = crashes.get(key, 0) + 1
    return max(crashes.values(), default=0)


async def wait_for_recovery(fleet: Fleet, version: int) -> float:
    """Wait until all nodes are ready and run a version; return the seconds taken.

    Raises
    ------
    FleetError
        If recovery takes longer than `RECOVERY_BOUND_S`.
    """
    started = time.monotonic()
    await fleet.wait_ready(RECOVERY_BOUND_S)
    left = RECOVERY_BOUND_S - (time.monotonic() - started)
    await fleet.wait_version(version, max(0.1, left))
    return time.monotonic() - started


async def measure_fault(name: str, seed: int = 1, first_domain: int = 1) -> dict:
    """Inject one fault or pair into a new fleet and return the figures.

    Parameters
    ----------
    name : str
        Fault, or two faults joined by ``+``.
    seed : int
        Seed of the fleet, the callers and the fault.
    first_domain : int
        Number of the first failure domain; concurrent fleets use different
        numbers.
    """
    names = name.split("+")
    config = FleetConfig(
        processes=any(n in PROCESS_FAULTS for n in names),
        relays=True,
        list_lag_s=0.5,
        first_domain=first_domain,
        log_level="error",
        seed=seed,
    )
    context = make_context(config, seed)
    fleet, callers = context.fleet, context.callers
    version_monitor = VersionMonitor(fleet, interval_s=0.1)
    problems: list[str] = []
    recovered_s = -1.0
    try:
        await fleet.start(make_document(1))
        version_monitor.start()
        await callers.start()
        await asyncio.sleep(WARM_UP_S)
        injections = {**FAULTS, **PROCESS_FAULTS}
        reverts = [await injections[n](context) for n in names]
        await asyncio.sleep(FAULT_DURATION_S / 2)
        fleet.publish(make_document(2, note="two"))
        await asyncio.sleep(FAULT_DURATION_S / 2)
        for revert in reverts:
            await revert()
        try:
            recovered_s = await wait_for_recovery(fleet, 2)
        except FleetError as exc:
            problems.append(str(exc))
        await asyncio.sleep(WARM_UP_S)
    finally:
        counts = await callers.stop()
        await version_monitor.stop()
        await fleet.stop()
    return {
        "calls": counts.calls,
        "lost": counts.lost,
        "cut": counts.cut,
        "doubled": len(fleet.find_repeated_executions(counts.non_idempotent_ids)),
        "unknown": counts.unknown,
        "not_run_repeated": counts.not_run,
        "broken_by_crash": counts.broken,
        "recovered_s": round(recovered_s, 2),
        "poison_crashes_per_domain": count_poison_crashes(fleet),
        "problems": problems + version_monitor.violations + fleet.violations,
        "causes": dict(counts.causes),
    }


async def measure_faults(
    names: tuple[str, ...] = FAULT_NAMES, parallel: int = 4
) -> dict:
    """Measure each fault in a separate process, `parallel` at a time."""
    semaphore = asyncio.Semaphore(parallel)
    results: dict[str, dict] = {}

    async def measure(index: int, name: str) -> None:
        async with semaphore:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bench.faults",
                name,
                "--first-domain",
                str(1 + 4 * index),
                stdout=asyncio.subprocess.PIPE,
            )
            output, _ = await process.communicate()
            try:
                results[name] = json.loads(output)
            except ValueError:
                results[name] = {"problems": [f"exit code {process.returncode}"]}

    await asyncio.gather(*(measure(n, name) for n, name in enumerate(names)))
    return {name: results[name] for name in names}


def main() -> None:
    """Measure one fault or pair and print the result as JSON."""
    parser = argparse.ArgumentParser(prog="bench.faults")
    parser.add_argument("name", choices=FAULT_NAMES)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--first-domain", type=int, default=1)
    args = parser.parse_args()
    result = uvloop.run(measure_fault(args.name, args.seed, args.first_domain))
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
