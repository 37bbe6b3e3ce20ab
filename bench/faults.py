"""Each fault of the fault model, alone and in pairs, with calls running.

``python -m bench.faults NAME`` measures one entry and prints it as JSON; the
bench runs several such processes at the same time. Soak runs draw from the
same table (see `bench.soak`).
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
    VersionWatch,
)

CALLS_PER_SECOND = 60.0
HOLD_S = 4.0
WARM_UP_S = 1.5
# Bound of invariant I9, counted from the end of the fault.
RECOVERY_BOUND_S = 14.0
# Processes that fail together come back within this time, not at once.
RESTART_SPREAD_S = 0.3
POISON_ATTEMPTS = 20
POISON_KIND = CallKind("poison", "GET", "/catalogue", "dealers")


@dataclass(slots=True)
class FaultRun:
    """What a fault works on.

    Parameters
    ----------
    fleet : Fleet
    callers : Callers
    rng : random.Random
    busy : set of str
        Domains and members that another fault has hold of, so that two
        faults do not undo each other.
    """

    fleet: Fleet
    callers: Callers
    rng: random.Random
    busy: set[str] = field(default_factory=set)
    poisoned: int = 0

    def pick_domain(self) -> int:
        """Return a failure domain that no other fault has hold of."""
        free = [n for n in self.fleet.domains if f"domain-{n}" not in self.busy]
        domain = self.rng.choice(free or list(self.fleet.domains))
        self.busy.add(f"domain-{domain}")
        return domain

    def pick_member(self) -> Member:
        """Return a running member that no other fault has hold of."""
        members = list(self.fleet.members.values())
        free = [m for m in members if m.running and m.name not in self.busy]
        member = self.rng.choice(free or members)
        self.busy.add(member.name)
        return member

    def release(self, *names: str) -> None:
        """Let other faults have domains or members."""
        self.busy.difference_update(names)


Undo = Callable[[], Awaitable[None]]
Begin = Callable[[FaultRun], Awaitable[Undo]]


async def _do_nothing() -> None:
    pass


async def _crash(run: FaultRun, members: list[Member]) -> Undo:
    """Crash nodes together; they return within `RESTART_SPREAD_S`."""
    await asyncio.gather(*(run.fleet.crash_node(m) for m in members))

    async def undo() -> None:
        async def restart(member: Member) -> None:
            await asyncio.sleep(run.rng.uniform(0.0, RESTART_SPREAD_S))
            await run.fleet.start_node(member)

        await asyncio.gather(*(restart(m) for m in members))
        run.release(*(m.name for m in members))

    return undo


async def crash_node(run: FaultRun) -> Undo:
    """Crash one node; it returns."""
    return await _crash(run, [run.pick_member()])


async def crash_group(run: FaultRun) -> Undo:
    """Crash all nodes of a failure domain; they return in a storm."""
    domain = run.pick_domain()
    members = [
        m for m in run.fleet.members.values() if m.domain == domain and m.running
    ]
    run.busy.update(m.name for m in members)
    restart = await _crash(run, members)

    async def undo() -> None:
        await restart()
        run.release(f"domain-{domain}")

    return undo


async def crash_backend(run: FaultRun) -> Undo:
    """Crash one backend server; it comes back by itself."""
    member = run.pick_member()
    member.backend.crash()

    async def undo() -> None:
        run.release(member.name)

    return undo


async def drain_node(run: FaultRun) -> Undo:
    """Stop one node in the planned way; it is started again."""
    member = run.pick_member()
    await run.fleet.stop_node(member)

    async def undo() -> None:
        await run.fleet.start_node(member)
        run.release(member.name)

    return undo


async def cut_domain(run: FaultRun) -> Undo:
    """Cut a failure domain off from the others and the platform."""
    domain = run.pick_domain()
    await run.fleet.cut(domain)

    async def undo() -> None:
        await run.fleet.join(domain)
        run.release(f"domain-{domain}")

    return undo


def _switch_source(fault: SourceFault) -> Begin:
    async def begin(run: FaultRun) -> Undo:
        run.fleet.source.set_fault(fault)

        async def undo() -> None:
            run.fleet.source.set_fault(SourceFault.NONE)

        return undo

    return begin


async def lose_list(run: FaultRun) -> Undo:
    """Let the instance list lose half of a failure domain."""
    domain = run.pick_domain()
    run.fleet.instances.lose_part(f"domain-{domain}")

    async def undo() -> None:
        run.fleet.instances.restore()
        run.release(f"domain-{domain}")

    return undo


async def silence_links(run: FaultRun) -> Undo:
    """Let open connections between nodes go silent."""
    for member in run.fleet.members.values():
        if member.relay is not None:
            member.relay.silence_connections()
    return _do_nothing


async def silence_backends(run: FaultRun) -> Undo:
    """Let open connections to backend servers go silent."""
    for member in run.fleet.members.values():
        member.backend.silence_connections()
    return _do_nothing


def _set_backend(**values: float) -> Begin:
    """Return a fault that changes the settings of one backend server."""

    async def begin(run: FaultRun) -> Undo:
        member = run.pick_member()
        settings = member.backend.settings
        before = {key: getattr(settings, key) for key in values}
        for key, value in values.items():
            setattr(settings, key, value)

        async def undo() -> None:
            for key, value in before.items():
                setattr(settings, key, value)
            run.release(member.name)

        return undo

    return begin


async def send_poison(run: FaultRun) -> Undo:
    """Repeat a request that crashes every backend server that runs it.

    The callers' counts leave it out: no caller can get an answer to it.
    """
    run.poisoned += 1
    request_id = f"poison-{run.poisoned}-{run.rng.getrandbits(32):08x}"
    lone = Callers(
        run.fleet.targets, [POISON_KIND], rate=1.0, max_calls=0, give_up_s=1.0
    )
    await lone.start()

    async def repeat() -> None:
        for _ in range(POISON_ATTEMPTS):
            await lone.call(POISON_KIND, request_id, "&poison=1")
            await asyncio.sleep(0.05)

    task = asyncio.get_running_loop().create_task(repeat())

    async def undo() -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await lone.stop()

    return undo


async def pause_node(run: FaultRun) -> Undo:
    """Pause a node process, which resumes late with stale state."""
    member = run.pick_member()
    run.fleet.pause_node(member)

    async def undo() -> None:
        run.fleet.resume_node(member)
        run.release(member.name)

    return undo


FAULTS: dict[str, Begin] = {
    "node-crash": crash_node,
    "group-crash": crash_group,
    "backend-crash": crash_backend,
    "node-stop": drain_node,
    "domain-cut": cut_domain,
    "source-down": _switch_source(SourceFault.DOWN),
    "source-stale": _switch_source(SourceFault.STALE),
    "source-flapping": _switch_source(SourceFault.FLAPPING),
    "source-slow": _switch_source(SourceFault.SLOW),
    "source-crossed": _switch_source(SourceFault.CROSSED),
    "list-loss": lose_list,
    "silent-links": silence_links,
    "silent-backends": silence_backends,
    "truncated-answers": _set_backend(truncated_share=0.5),
    "late-answers": _set_backend(late_share=0.2, late_s=1.0),
    "poison-request": send_poison,
}
# Needs node processes, since one process can not pause a part of itself.
PROCESS_FAULTS: dict[str, Begin] = {"node-pause": pause_node}
PAIRS = (
    ("source-down", "domain-cut"),
    ("source-stale", "group-crash"),
    ("source-flapping", "node-crash"),
    ("domain-cut", "node-crash"),
    ("list-loss", "node-crash"),
    ("silent-links", "silent-backends"),
    ("silent-links", "poison-request"),
    ("poison-request", "domain-cut"),
)
NAMES = (*FAULTS, *PROCESS_FAULTS, *("+".join(pair) for pair in PAIRS))


def make_run(config: FleetConfig, seed: int) -> FaultRun:
    """Return a fleet and its callers, not started yet."""
    fleet = Fleet(config)
    callers = Callers(
        fleet.targets,
        CALL_KINDS,
        CALLS_PER_SECOND,
        crashed=fleet.crashed_since,
        rng=random.Random(seed + 1),
    )
    return FaultRun(fleet, callers, random.Random(seed))


def count_poison_crashes(fleet: Fleet) -> int:
    """Return the most crashes by one request in one failure domain."""
    crashes: dict[tuple[int, str], int] = {}
    for member in fleet.members.values():
        if member.backend is not None:
            for request_id in member.backend.crashes:
                key = (member.domain, request_id)
                crashes[key] = crashes.get(key, 0) + 1
    return max(crashes.values(), default=0)


async def wait_recovered(fleet: Fleet, version: int) -> float:
    """Wait until all nodes are ready and run a version.

    Raises
    ------
    FleetError
        If that takes longer than `RECOVERY_BOUND_S`.
    """
    started = time.monotonic()
    await fleet.wait_ready(RECOVERY_BOUND_S)
    left = RECOVERY_BOUND_S - (time.monotonic() - started)
    await fleet.wait_version(version, max(0.1, left))
    return time.monotonic() - started


async def measure_fault(name: str, seed: int = 1, first_domain: int = 1) -> dict:
    """Run one fault or pair against a fresh fleet."""
    names = name.split("+")
    config = FleetConfig(
        processes=any(n in PROCESS_FAULTS for n in names),
        relays=True,
        list_lag_s=0.5,
        first_domain=first_domain,
        log_level="error",
        seed=seed,
    )
    run = make_run(config, seed)
    fleet, callers = run.fleet, run.callers
    watch = VersionWatch(fleet, interval_s=0.1)
    problems: list[str] = []
    recovered_s = -1.0
    try:
        await fleet.start(make_document(1))
        watch.start()
        await callers.start()
        await asyncio.sleep(WARM_UP_S)
        table = {**FAULTS, **PROCESS_FAULTS}
        undos = [await table[n](run) for n in names]
        await asyncio.sleep(HOLD_S / 2)
        fleet.publish(make_document(2, note="two"))
        await asyncio.sleep(HOLD_S / 2)
        for undo in undos:
            await undo()
        try:
            recovered_s = await wait_recovered(fleet, 2)
        except FleetError as exc:
            problems.append(str(exc))
        await asyncio.sleep(WARM_UP_S)
    finally:
        counts = await callers.stop()
        await watch.stop()
        await fleet.stop()
    return {
        "calls": counts.calls,
        "lost": counts.lost,
        "cut": counts.cut,
        "doubled": len(fleet.find_doubled(counts.once_ids)),
        "unknown": counts.unknown,
        "not_run_repeated": counts.not_run,
        "broken_by_crash": counts.broken,
        "recovered_s": round(recovered_s, 2),
        "poison_crashes_per_domain": count_poison_crashes(fleet),
        "problems": problems + watch.violations + fleet.violations,
        "causes": dict(counts.causes),
    }


async def measure_faults(names: tuple[str, ...] = NAMES, parallel: int = 4) -> dict:
    """Measure faults in separate processes, `parallel` at a time."""
    limit = asyncio.Semaphore(parallel)
    results: dict[str, dict] = {}

    async def measure(number: int, name: str) -> None:
        async with limit:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bench.faults",
                name,
                "--first-domain",
                str(1 + 4 * number),
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
    parser.add_argument("name", choices=NAMES)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--first-domain", type=int, default=1)
    args = parser.parse_args()
    result = uvloop.run(measure_fault(args.name, args.seed, args.first_domain))
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
