"""Cold workers in series: ``python -m bench.cold_soak``.

As in `bench.stop_soak`, the seed alone determines the schedule. Besides its stops and
changes, workers crash and start again cold, one after another and all at once. Their
work is so short that a cold worker would get several times its bound.
"""

import asyncio
import random
from bisect import bisect_right
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from time import monotonic
from typing import NamedTuple

from bench.stop_soak import WORKER_PORT, StopSoak, run_command, run_stop_soak
from bench.stop_soak_checks import Problem
from bench.stop_soak_traffic import Journal, SoakWorker
from mangowell_standins.platform_values import make_entry

# Figures of the document and of the platform's settings.
WARMUP_S, PER_S, OVERAGE, SLACK = 3.0, 6.0, 1.5, 8.0
MAX_PER_S = PER_S * OVERAGE + SLACK
# Range of the work of a warm worker, in seconds; that of a cold one is twice as long.
MIN_WORK_S, MAX_WORK_S = 0.02, 0.12
# Range of the time until a crashed worker is back, and longest time until its entry
# tells of it, in seconds.
DOWN_S, MAX_ENTRY_DELAY_S = (0.1, 1.5), 1.5
GAP_S = 1.0  # between the restarts of two workers
# A request without an answer is excused if its node was stopped, or has ended, in this
# time before, in seconds: the grace period of a stop, and the start of the process.
DISRUPTED_S = 8.0
DISRUPTIONS = ("SIGTERM", "SIGKILL", "started", "ended")


class Cold(NamedTuple):
    """Time in which the worker beside a node is cold."""

    node: int
    since: float
    until: float


@dataclass(slots=True)
class ColdJournal(Journal):
    """Record of a soak with cold workers."""

    colds: list[Cold] = field(default_factory=list)
    # Times of the health requests, by node.
    health: dict[int, list[float]] = field(default_factory=dict)


class ColdWorker(SoakWorker):
    """Worker that is cold for a while after its start and tells it when asked."""

    def __init__(self, *args):
        super().__init__(*args)
        self.warm_at = 0.0

    @property
    def warmup_ms(self) -> int:
        """Remaining cold time, in milliseconds."""
        return max(0, round((self.warm_at - monotonic()) * 1000))

    async def _handle(self, request) -> bytes:
        if request.target != "/healthz":
            return await super()._handle(request)
        self.journal.health.setdefault(self.number, []).append(monotonic())
        lines = f"Warmup-Ms: {self.warmup_ms}\r\nInstance-Id: {self.id}\r\n"
        return f"HTTP/1.1 200 OK\r\n{lines}Content-Length: 0\r\n\r\n".encode()

    def draw_work(self, remaining_s: float) -> float:
        """Return how long the worker runs a request."""
        return self.rng.uniform(MIN_WORK_S, MAX_WORK_S) * (2 if self.warmup_ms else 1)


class ColdSoak(StopSoak):
    """Runs one schedule with workers that start cold."""

    series = ("restart",) * 6 + ("turn", "turn", "all", "all")
    series += ("pair", "pair", "kill", "publish", "settings")
    journal_type = ColdJournal
    worker_type = ColdWorker

    def __init__(self, seed: int, seconds: float, count: int):
        super().__init__(seed, seconds, count)
        self._restarting: set[int] = set()

    @property
    def bounds(self) -> dict[str, str]:
        """Bounds of the platform, with those of cold workers."""
        return super().bounds | {
            "bounds.warmup-overage": f"{OVERAGE:g}",
            "bounds.warmup-slack": f"{SLACK:g}",
        }

    @property
    def service_fields(self) -> dict:
        """Further fields of the services in the document."""
        return {"warmup": f"{WARMUP_S:g}s", "warmup-per-s": PER_S}

    def _put_entry(self, number: int, state: str) -> None:
        node, worker = self._nodes[number], self._workers[number]
        entry = make_entry(
            node.host,
            WORKER_PORT,
            node.fields["service"],
            zone=node.fields["zone"],
            born=1_700_000_000_000 + worker.start,
            status={
                "state": state,
                "seq": 1,
                "warmup-left": f"{worker.warmup_ms}ms",
            },
        )
        self._store.put(f"servers/{worker.id}", entry)
        self._record(number, f"worker {worker.id} {state}")

    async def _restart(self, number: int, value: float) -> None:
        """Crash a worker; it starts again cold, and its entry tells it later."""
        if number in self._restarting or not self._nodes[number].logs:
            return
        self._restarting.add(number)
        rng = random.Random(f"cold {self._seed} {number} {value}")
        worker = self._workers[number]
        self._record(number, "worker crashes")
        worker.server.crash()
        await asyncio.sleep(rng.uniform(*DOWN_S))
        worker.start += 1
        since = monotonic()
        worker.warm_at = since + WARMUP_S
        await worker.server.start(WORKER_PORT, self._nodes[number].host)
        self.journal.colds.append(Cold(number, since, worker.warm_at))
        self._record(number, "worker starts cold")
        await asyncio.sleep(rng.uniform(0.0, MAX_ENTRY_DELAY_S))
        self._put_entry(number, "ready")
        await asyncio.sleep(max(0.0, worker.warm_at - monotonic()))
        self._restarting.remove(number)

    async def _turn(self, number: int, value: float) -> None:
        """Restart the workers one after another."""
        numbers = list(self._nodes)
        random.Random(f"turn {self._seed} {value}").shuffle(numbers)
        restarts = []
        for one in numbers:
            restarts.append(asyncio.create_task(self._restart(one, value)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*restarts)

    async def _all(self, number: int, value: float) -> None:
        """Restart all workers at once."""
        await asyncio.gather(*(self._restart(one, value) for one in self._nodes))


def find_more_problems(journal: ColdJournal) -> list[Problem]:
    """Return the failed checks of cold workers and of missing answers."""
    return [*_check_bounds(journal), *_check_answers(journal)]


def find_busiest_second(journal: ColdJournal, cold: Cold) -> tuple[int, float]:
    """Return the most requests of one second in a cold time, and when it ends.

    Health requests count as well.
    """
    times = sorted(
        at for at in _find_arrivals(journal, cold.node) if cold.since <= at < cold.until
    )
    counts = ((n + 1 - bisect_right(times, at - 1.0), at) for n, at in enumerate(times))
    return max(counts, default=(0, cold.since))


def _find_arrivals(journal: ColdJournal, node: int) -> list[float]:
    runs = (run for runs in journal.runs.values() for run in runs if run.node == node)
    return [run.started_at for run in runs] + journal.health.get(node, [])


def _check_bounds(journal: ColdJournal) -> Iterator[Problem]:
    for cold in journal.colds:
        count, at = find_busiest_second(journal, cold)
        if count > MAX_PER_S:
            yield Problem("COLD", _describe(journal, cold, count), None, at, cold.node)


def _describe(journal: ColdJournal, cold: Cold, count: int) -> str:
    """Return what a worker got while it was cold.

    The times tell a rate that is too high from requests that a stalled machine has
    delayed, which arrive together.
    """
    health = journal.health.get(cold.node, [])
    health = [at for at in health if cold.since <= at < cold.until]
    times = sorted(
        at - cold.since
        for at in _find_arrivals(journal, cold.node)
        if cold.since <= at < cold.until
    )
    listed = " ".join(f"{at:.2f}" for at in times)
    return f"{count} requests in a second, {len(health)} for health in all: {listed}"


def _check_answers(journal: ColdJournal) -> Iterator[Problem]:
    """Check that each request is answered unless its caller or its node has ended."""
    for request in journal.requests:
        if request.status or request.has_left:
            continue
        is_disrupted = any(
            node == request.node
            and what.split(" ")[0] in DISRUPTIONS
            and request.sent_at - DISRUPTED_S <= at <= request.ended_at
            for at, node, what in journal.acts
        )
        if not is_disrupted:
            yield Problem("UNANSWERED", "no answer", request)


run_cold_soak = partial(
    run_stop_soak, soak_type=ColdSoak, find_more_problems=find_more_problems
)

if __name__ == "__main__":
    run_command("bench.cold_soak", run_cold_soak)
