"""What nodes know while they restart: ``python -m bench.restart_soak``.

As in `bench.platform_soak`, the seed alone determines the schedule. Some requests crash
each worker that runs them and come again and again. Nodes restart one after another,
half of them at once and once all together, are killed and frozen. Connections to the
store are reset or go silent while it answers on others, and workers leave.
"""

import asyncio
import random
import signal
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from time import monotonic

from bench.platform_soak import (
    ABSENCE_S,
    SERVES_S,
    Departure,
    PlatformJournal,
    PlatformSoak,
    RestorableStore,
)
from bench.platform_soak import find_more_problems as find_platform_problems
from bench.stop_soak import WORKER_PORT, run_command, run_stop_soak
from bench.stop_soak_checks import Problem
from bench.stop_soak_traffic import Caller, Sent, SoakWorker

CRASH_PREFIX = "crash-"  # of the id of a request that crashes its worker
MAX_CRASH_WORK_S = 0.3
# Range of the pause between two such requests, and until a crashed worker is back.
REPEAT_S, DOWN_S = (0.4, 1.4), (1.0, 3.0)
MAX_RETRIES = 3  # that reach workers after the third crash
CONTACT_S = 3.0
FREEZE_S = (0.2, 3.0)
FULL_SHARE = 0.5  # of silences and resets that hit all connections
POLL_S = 0.05
GAP_S = 0.8  # between the restarts of two nodes
# Acts on a node that end or begin its process, or stop it for a while.
DISRUPTIONS = ("SIGTERM", "SIGKILL", "SIGSTOP", "SIGCONT", "started", "ended")


@dataclass(slots=True)
class RestartJournal(PlatformJournal):
    """Record of a soak with requests that crash workers."""

    crashed_at: dict[str, list[float]] = field(default_factory=dict)  # by target


class FragileStore(RestorableStore):
    """Store some of whose open connections are lost or go silent."""

    def disturb(self, rng: random.Random, share: float, is_silent: bool) -> int:
        """Silence or reset a share of the connections; return their number."""
        transports = [one for one in self._transports if rng.random() < share]
        if is_silent:
            self._silent_transports.update(transports)
            return len(transports)
        for transport in transports:
            transport.abort()
        return len(transports)


class FragileWorker(SoakWorker):
    """Worker that some requests crash."""

    on_crash = staticmethod(lambda number: None)

    async def _handle(self, request) -> bytes:
        if not request.headers["request-id"].startswith(CRASH_PREFIX):
            return await super()._handle(request)
        if request.headers["expected-instance"] == self.id:
            await asyncio.sleep(self.rng.uniform(0.0, MAX_CRASH_WORK_S))
            self.journal.crashed_at.setdefault(request.target, []).append(monotonic())
            self.on_crash(self.number)
        raise ConnectionResetError


class CrashCaller(Caller):
    """Caller of one request that comes again; all others have a few paths together."""

    def make_tail(self, name: str) -> str:
        """Return the part of the id that all repeats have."""
        return name.partition("@")[0]


class RestartSoak(PlatformSoak):
    """Runs one schedule of restarts, crashes and lost connections."""

    series = ("crashing",) * 3 + ("turn", "half", "all", "kill", "freeze", "freeze")
    series += ("disturb",) * 4 + ("leave", "drain", "vanish", "vanish", "publish")
    journal_type = RestartJournal
    store_type = FragileStore
    worker_type = FragileWorker

    def __init__(self, seed: int, seconds: float, count: int):
        super().__init__(seed, seconds, count)
        self._crashed: set[int] = set()
        self._frozen: set[int] = set()
        self._was_all_restarted = False

    async def _start(self, directory: Path) -> None:
        FragileWorker.on_crash = staticmethod(self._crash)
        await super()._start(directory)

    def _make_rng(self, value: float) -> random.Random:
        return random.Random(f"restart {self._seed} {value}")

    # Crashes

    def _crash(self, number: int) -> None:
        if number in self._crashed:
            return
        self._crashed.add(number)
        self._record(number, "worker crashes")
        self._workers[number].server.crash()
        self._tasks.append(asyncio.create_task(self._revive(number)))

    async def _revive(self, number: int) -> None:
        worker = self._workers[number]
        await asyncio.sleep(worker.rng.uniform(*DOWN_S))
        worker.start += 1
        worker.statements.is_leaving = False
        await worker.server.start(WORKER_PORT, self._nodes[number].host)
        if number not in self._leaving:
            self._put_entry(number, "ready")
        self._crashed.remove(number)

    async def _crashing(self, number: int, value: float) -> None:
        """Send a request that crashes workers, again and again, at any node."""
        rng = self._make_rng(value)
        path = rng.choice(("/", "/pay/", "/stock/"))
        for repeat in range(10_000):
            if self._is_over:
                return
            await asyncio.sleep(rng.uniform(*REPEAT_S))
            node = rng.choice([n for n, one in self._nodes.items() if one.logs])
            caller = CrashCaller(node, self._nodes[node], self.journal, rng)
            try:
                await caller.connect()
                prefix = f"{CRASH_PREFIX}{round(value * 1e6)}@{repeat}-"
                await caller.read(caller.send(path, 1, 1.5, prefix))
            except OSError:
                continue
            finally:
                caller.close()

    # Processes

    async def _run_step(self, step) -> None:
        if step.action != "crashing":
            await super()._run_step(step)
            return
        # The request goes on until the end of the run, which does not wait for it.
        self._tasks.append(asyncio.create_task(super()._run_step(step)))

    async def _restart(self, numbers: list[int], gap_s: float) -> None:
        stops = []
        for number in numbers:
            stops.append(asyncio.create_task(self._stop(number, 0.0)))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*stops)

    async def _turn(self, number: int, value: float) -> None:
        numbers = list(self._nodes)
        self._make_rng(value).shuffle(numbers)
        await self._restart(numbers, GAP_S)

    async def _half(self, number: int, value: float) -> None:
        numbers = self._make_rng(value).sample(list(self._nodes), self._count // 2)
        await self._restart(numbers, 0.0)

    async def _all(self, number: int, value: float) -> None:
        """Restart all nodes at once, in half of the cases without a plan.

        Nothing lasts on a node, so crashes are forgotten; it happens once.
        """
        if self._was_all_restarted:
            return
        self._was_all_restarted = True
        if value < 0.5:
            await self._restart(list(self._nodes), 0.0)
            return
        for node in self._nodes:
            await self._kill(node, value)

    async def _freeze(self, number: int, value: float) -> None:
        if number in self._frozen or not self._send(number, signal.SIGSTOP):
            return
        self._frozen.add(number)
        await asyncio.sleep(self._make_rng(value).uniform(*FREEZE_S))
        self._record(number, "SIGCONT")
        self._nodes[number].send_signal(signal.SIGCONT)
        self._frozen.remove(number)

    async def _stop(self, number: int, value: float) -> None:
        # A frozen node learns only afterwards that its grace period has begun.
        while number in self._frozen:
            await asyncio.sleep(POLL_S)
        await super()._stop(number, value)

    # Connections and workers

    async def _disturb(self, number: int, value: float) -> None:
        """Silence or reset connections to the store, which answers on others."""
        rng = self._make_rng(value)
        share = 1.0 if rng.random() < FULL_SHARE else rng.random()
        is_silent = rng.random() < 0.5
        self.journal.silences.append(monotonic())
        count = self._store.disturb(rng, share, is_silent)
        self._record(0, f"{count} connections {'silent' if is_silent else 'reset'}")

    async def _vanish(self, number: int, value: float) -> None:
        """Remove the entry of a worker that leaves without a report."""
        worker = self._workers[number]
        is_busy = number in self._leaving or number in self._crashed
        if is_busy or not self._nodes[number].logs:
            return
        self._leaving.add(number)
        self._store.delete(f"servers/{worker.id}")
        departure = Departure(self._get_worker(number), monotonic(), is_stated=False)
        self.journal.departures.append(departure)
        self._record(number, f"worker {worker.id} gone, serves on")
        await asyncio.sleep(SERVES_S + ABSENCE_S)
        worker.start += 1
        self._put_entry(number, "ready")
        self._leaving.remove(number)


def find_more_problems(journal: RestartJournal) -> list[Problem]:
    """Return the failed checks of crashes and of `bench.platform_soak`."""
    return find_platform_problems(journal) + list(_check_crashes(journal))


def _check_crashes(journal: RestartJournal) -> Iterator[Problem]:
    """Check that a request reaches few workers after it has crashed three."""
    sent_by_target: dict[str, list[Sent]] = {}
    for sent in journal.requests:
        if sent.id.startswith(CRASH_PREFIX):
            sent_by_target.setdefault(sent.id.partition("@")[0], []).append(sent)
    for target, crashes in journal.crashed_at.items():
        if len(crashes) <= MAX_RETRIES:
            continue
        name = target.rpartition("/")[2]
        counted_from = sorted(crashes)[2] + CONTACT_S
        late = [
            at
            for at in crashes
            if at > counted_from
            and _is_in_touch(journal, _find_sender(sent_by_target[name], at), at)
        ]
        if len(late) > MAX_RETRIES:
            text = (
                f"{len(late)} retries of {name} reached workers, {len(crashes)} in all"
            )
            yield Problem("BUDGET", text, None, late[-1])


def _find_sender(requests: list[Sent], at: float) -> int:
    """Return the node that sent the latest of the requests before a time."""
    return max((s for s in requests if s.sent_at < at), key=lambda s: s.sent_at).node


def _is_in_touch(journal: RestartJournal, number: int, at: float) -> bool:
    """Return whether nothing was done to a node for a while."""
    return not any(
        node == number
        and at - CONTACT_S < done_at <= at
        and what.split(" ")[0] in DISRUPTIONS
        for done_at, node, what in journal.acts
    )


run_restart_soak = partial(
    run_stop_soak, soak_type=RestartSoak, find_more_problems=find_more_problems
)

if __name__ == "__main__":
    run_command("bench.restart_soak", run_restart_soak)
