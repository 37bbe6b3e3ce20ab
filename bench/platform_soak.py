"""Limits, leaving workers and restores in series: ``python -m bench.platform_soak``.

As in `bench.stop_soak`, the seed alone determines the schedule. Besides its stops and
changes, workers name limits and leave by their answers alone, and the store comes back
from an older copy, after which the operator and the workers write again what was lost.
"""

import asyncio
import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from time import monotonic
from typing import NamedTuple

from bench.stop_soak import (
    ABSENCE_S,
    SERIES,
    WORKER_PORT,
    StopSoak,
    run_command,
    run_stop_soak,
)
from bench.stop_soak_checks import Problem
from bench.stop_soak_traffic import Journal, Run, Sent
from mangowell_standins.platform_store import PlatformStore, StoreCopy
from mangowell_standins.platform_values import make_entry

# Bounds of the checks, in seconds: time until a limit holds, its window, time until a
# leaving worker gets nothing, time until a document is in force, and time for which a
# started node or a restored store is excused.
SETTLING_S, WINDOW_S, LEAVING_S, APPLIED_S, EXCUSED_S = 3.0, 4.0, 2.0, 2.0, 3.0
MAX_EXCESS, MAX_EXTRA = 1.5, 5
# After a worker is told to leave it serves for this time.
SERVES_S = 5.0
CAPPED_S = 9.0
MIN_LIMIT, MAX_LIMIT = 1.0, 15.0
COPY_INTERVAL_S, MAX_COPIES = 0.5, 24
MIN_OUTAGE_S, MAX_OUTAGE_S = 0.3, 2.5
# A document that was acknowledged this long before an outage has been read.
READ_AFTER_S = 1.5
WRITE_AGAIN_S = 0.3
SILENT_SHARE = 0.5


class Limit(NamedTuple):
    """Limit that one start of a worker names from `since` until `until`."""

    worker: tuple[str, int]
    per_s: float
    since: float
    until: float


class Departure(NamedTuple):
    """Time from which a worker is leaving, and whether only its answers tell it."""

    worker: tuple[str, int]
    at: float
    is_stated: bool


@dataclass(slots=True)
class PlatformJournal(Journal):
    """Record of a soak with limits, leaving workers and restores."""

    limits: list[Limit] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    outages: list[tuple[float, float]] = field(default_factory=list)
    acknowledged: dict[int, float] = field(default_factory=dict)  # by version
    # Times at which connections of nodes were lost or went silent.
    silences: list[float] = field(default_factory=list)


class RestorableStore(PlatformStore):
    """Store whose writers repeat what an outage or a restore has lost."""

    def __init__(self):
        super().__init__()
        self.is_away = False
        self.copies: deque[StoreCopy] = deque(maxlen=MAX_COPIES)
        # Values and changes of items; None for a deletion.
        self._wanted: dict[str, tuple[bytes, dict | None] | None] = {}

    def put(self, key: str, value: bytes, changes: dict | None = None) -> int:
        """Write an item, during an outage only once it has ended."""
        self._wanted[key] = value, changes
        return 0 if self.is_away else super().put(key, value, changes)

    def delete(self, key: str) -> int:
        """Delete an item, during an outage only once it has ended."""
        self._wanted[key] = None
        return 0 if self.is_away else super().delete(key)

    async def write_again(self) -> None:
        """Write all items whose content differs from what their writers want."""
        for key, written in list(self._wanted.items()):
            await asyncio.sleep(WRITE_AGAIN_S / len(self._wanted))
            if written is not self._wanted[key]:
                continue
            if written is not None:
                super().put(key, *written)
            elif key in self._items:
                super().delete(key)


class PlatformSoak(StopSoak):
    """Runs one schedule with limits, leaving workers and restores."""

    series = SERIES + ("cap",) * 4 + ("leave",) * 3 + ("drain",) * 3 + ("restore",) * 2
    journal_type = PlatformJournal
    store_type = RestorableStore

    def __init__(self, seed: int, seconds: float, count: int):
        super().__init__(seed, seconds, count)
        self._writes: dict[str, int] = {}

    async def _start(self, directory) -> None:
        await super()._start(directory)
        self._tasks.append(asyncio.create_task(self._take_copies()))

    async def _take_copies(self) -> None:
        while not self._is_closing:
            if not self._store.is_away:
                self._store.copies.append(self._store.take_copy())
            await asyncio.sleep(COPY_INTERVAL_S)

    # Changes in the store

    def _put_entry(self, number: int, state: str) -> None:
        node, worker = self._nodes[number], self._workers[number]
        service, zone = node.fields["service"], node.fields["zone"]
        self._writes[worker.id] = self._writes.get(worker.id, 0) + 1
        status = {"state": state, "seq": self._writes[worker.id], "warmup-left": "0ms"}
        entry = make_entry(
            node.host,
            WORKER_PORT,
            service,
            zone=zone,
            born=1_700_000_000_000 + worker.start,
            status=status,
        )
        self._store.put(f"servers/{worker.id}", entry)
        self._record(number, f"worker {worker.id} {state}")

    async def _publish(self, number: int, value: float) -> None:
        await super()._publish(number, value)
        if not self._store.is_away:
            self.journal.acknowledged[len(self.journal.documents)] = monotonic()

    async def _restore(self, number: int, value: float) -> None:
        """Take the store away, and bring it back from one of the older copies."""
        store = self._store
        if store.is_away or not store.copies:
            return
        rng = random.Random(f"restore {self._seed} {value}")
        began_at = monotonic()
        store.is_away = True
        store.is_silent = rng.random() < SILENT_SHARE
        store.refuse_status = 0 if store.is_silent else 503
        copy = rng.choice(store.copies)
        self._record(0, f"store away, to return at {copy.revision}")
        await asyncio.sleep(rng.uniform(MIN_OUTAGE_S, MAX_OUTAGE_S))
        store.restore(copy)
        store.copies.clear()
        store.is_away = store.is_silent = False
        store.refuse_status = 0
        self._record(0, f"store is back, era {store.era}")
        await store.write_again()
        now = monotonic()
        self.journal.outages.append((began_at, now))
        for version in range(1, len(self.journal.documents) + 1):
            at = self.journal.acknowledged.get(version, now)
            if at > began_at - READ_AFTER_S:
                self.journal.acknowledged[version] = now

    # Workers

    async def _cap(self, number: int, value: float) -> None:
        """Let a worker name a limit, change it once, and end it."""
        statements = self._workers[number].statements
        if statements.rate_limit is not None or number in self._leaving:
            return
        for share in (value, 1.0 - value):
            limit = round(MIN_LIMIT + share * (MAX_LIMIT - MIN_LIMIT), 1)
            worker, since = self._get_worker(number), monotonic()
            statements.rate_limit = limit
            self._record(number, f"worker names a limit of {limit}")
            await asyncio.sleep(CAPPED_S)
            self.journal.limits.append(Limit(worker, limit, since, monotonic()))
        statements.rate_limit = None
        self._record(number, "worker names no limit")

    async def _leave(self, number: int, value: float) -> None:
        """Let a worker leave by its answers alone, and start again under its id."""
        await self._depart(number, is_stated=True)

    async def _drain(self, number: int, value: float) -> None:
        """Let a worker report that it drains, and start again under its id."""
        await self._depart(number, is_stated=False)

    async def _depart(self, number: int, is_stated: bool) -> None:
        worker = self._workers[number]
        if number in self._leaving or not self._nodes[number].logs:
            return
        self._leaving.add(number)
        while not is_stated and self._store.is_away:
            await asyncio.sleep(COPY_INTERVAL_S)
        if is_stated:
            worker.statements.is_leaving = True
        else:
            self._put_entry(number, "draining")
        departure = Departure(self._get_worker(number), monotonic(), is_stated)
        self.journal.departures.append(departure)
        self._record(number, f"worker {worker.id} leaves")
        await asyncio.sleep(SERVES_S)
        self._store.delete(f"servers/{worker.id}")
        self._record(number, f"worker {worker.id} gone")
        await asyncio.sleep(ABSENCE_S)
        worker.start += 1
        self._writes[worker.id] = 0
        worker.statements.is_leaving = False
        self._put_entry(number, "ready")
        self._leaving.remove(number)

    def _get_worker(self, number: int) -> tuple[str, int]:
        worker = self._workers[number]
        return worker.id, worker.start


def find_more_problems(journal: PlatformJournal) -> list[Problem]:
    """Return the failed checks of limits, leaving workers and documents."""
    checks = (_check_limits, _check_departures, _check_documents)
    return [problem for check in checks for problem in check(journal)]


def _check_limits(journal: PlatformJournal) -> Iterator[Problem]:
    for limit in journal.limits:
        runs = [run for _, run in find_runs(journal, limit.worker)]
        starts = sorted(run.started_at for run in runs)
        settled_at = limit.since + SETTLING_S
        for end in (at for at in starts if settled_at <= at < limit.until):
            count = sum(max(limit.since, end - WINDOW_S) < at <= end for at in starts)
            allowed = MAX_EXCESS * limit.per_s * WINDOW_S + MAX_EXTRA
            if count > allowed:
                text = f"{count} requests at a limit of {limit.per_s} a second"
                yield Problem("LIMIT", text, None, end, runs[0].node)
                break


def _check_departures(journal: PlatformJournal) -> Iterator[Problem]:
    """Check that no node sends requests to a worker that it knows to leave."""
    for departure in journal.departures:
        found = find_runs(journal, departure.worker)
        told_at: dict[tuple[int, int], float] = {}
        if departure.is_stated:
            for sent, run in sorted(found, key=lambda pair: pair[0].ended_at):
                if run.ended_at >= departure.at and sent.is_workers:
                    told_at.setdefault((sent.node, sent.start), sent.ended_at)
        for sent, _ in found:
            default = None if departure.is_stated else departure.at
            known_at = told_at.get((sent.node, sent.start), default)
            if known_at is None or sent.sent_at <= known_at + LEAVING_S:
                continue
            if departure.is_stated or not is_excused(journal, sent, known_at):
                text = f"{sent.sent_at - known_at:.2f} s after it knew of the leaving"
                yield Problem("DRAIN", text, sent)


def _check_documents(journal: PlatformJournal) -> Iterator[Problem]:
    """Check that an acknowledged route is served in time."""
    for sent in (sent for sent in journal.requests if sent.status == 404):
        at = journal.acknowledged.get(sent.version)
        if at is None or sent.sent_at <= at + APPLIED_S:
            continue
        if not is_excused(journal, sent, at):
            text = f"404 on version {sent.version}, {sent.sent_at - at:.2f} s later"
            yield Problem("CONFIG", text, sent)


def is_excused(journal: PlatformJournal, sent: Sent, since: float) -> bool:
    """Return whether the node has just started, or the store was away meanwhile.

    A node that was frozen, or whose connections were lost, is excused for as long, also
    if the store itself has answered all the time.
    """
    started_at = max(
        (at for at, node, what in journal.acts if _is_start(node, what, at, sent)),
        default=0.0,
    )
    disrupted_at = [started_at, *journal.silences]
    if any(at <= sent.sent_at < at + EXCUSED_S for at in disrupted_at):
        return True
    return any(
        began_at < sent.sent_at < max(since, ended_at) + EXCUSED_S
        and since < ended_at + EXCUSED_S
        for began_at, ended_at in journal.outages
    )


def _is_start(node: int, what: str, at: float, sent: Sent) -> bool:
    is_start = what.startswith("started") or what == "SIGCONT"
    return node == sent.node and is_start and at <= sent.sent_at


def find_runs(journal: Journal, worker: tuple[str, int]) -> list[tuple[Sent, Run]]:
    """Return the runs at one start of a worker, each with its request."""
    requests = {request.id: request for request in journal.requests}
    return [
        (requests[name], run)
        for name, runs in journal.runs.items()
        for run in runs
        if run.worker == worker and name in requests
    ]


run_platform_soak = partial(
    run_stop_soak, soak_type=PlatformSoak, find_more_problems=find_more_problems
)

if __name__ == "__main__":
    run_command("bench.platform_soak", run_platform_soak)
