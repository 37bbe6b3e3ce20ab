"""Items of other writers in series: ``python -m bench.foreign_soak``.

As in `bench.platform_soak`, the seed alone determines the schedule. Besides its series,
another writer leaves items under ``servers/`` and in ``op/config`` that nodes cannot
read or may not use, and long-lived tasks of nodes fail. Each node has to stay ready
and to apply all later changes.
"""

import asyncio
import json
import random
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from time import monotonic
from typing import NamedTuple

from bench.platform_soak import (
    LEAVING_S,
    READ_AFTER_S,
    PlatformJournal,
    PlatformSoak,
    find_runs,
    is_excused,
)
from bench.platform_soak import find_more_problems as find_platform_problems
from bench.stop_soak import run_command, run_stop_soak
from bench.stop_soak_checks import Problem
from bench.stop_soak_traffic import SoakWorker
from mangowell_node.platform import READY_PATH
from mangowell_standins.failing_node import (
    FAILING_NODE_CODE,
    FAILURE_SIGNAL,
    order_failure,
)
from mangowell_standins.foreign_items import (
    make_foreign_document,
    make_foreign_entry,
    make_foreign_key,
)
from mangowell_standins.node_process import READY_PORT, WORKER_PORT, NodeProcess
from mangowell_standins.platform_store import REMOVED
from mangowell_standins.scripted_http import make_answer, read_response

MAX_ENTRIES = 4  # written at once
CHANGED_SHARE, DECOY_SHARE = 0.3, 0.5
MIN_STAY_S, MAX_STAY_S = 0.1, 5.0  # of an entry in place of a worker's
MIN_DOCUMENT_S, MAX_DOCUMENT_S = 0.2, 2.5
POLL_S = 0.1
MAX_FAILURES, FAILURE_STEP_S = 3, 0.2  # of tasks of a node, one after another
# A node is asked as the platform does, and counts as not ready after two misses.
READY_INTERVAL_S, READY_TIMEOUT_S, MAX_MISSES = 0.5, 1.0, 2
# Time that a started node has until it must be ready.
READY_AFTER_S = 10.0
# Acts after which a process need not be ready.
ENDS = ("SIGTERM", "SIGKILL", "ended")
# Fields of an item that no node can read as those of an item.
VALUE_CHANGES = tuple(
    {"value": value}
    for value in ("%%%", "YQ", "YQ==\n", "\u00e9", REMOVED, None, 5, ["YQ=="])
)
ITEM_CHANGES = VALUE_CHANGES + (
    {"key": REMOVED},
    {"key": 7},
    {"mod-rev": REMOVED},
    {"mod-rev": "12"},
    {"mod-rev": 10**20},
    {"mod-rev": -1},
    {"created-rev": None, "lease": "none"},
    {"tombstone": "yes"},
)
_INJECTED = re.compile(r"InjectedTaskError\('[a-z-]+'\)")
_ADDRESS = re.compile(rb"127\.0\.0\.2\d\d:(\d+)")


class Replacement(NamedTuple):
    """Time for which a foreign entry is in the place of a worker's."""

    worker: tuple[str, int]
    since: float
    until: float


class ReadyAnswer(NamedTuple):
    """Answer of a node's process to the question whether it is ready."""

    at: float
    node: int
    start: int
    status: int  # 0 without an answer


@dataclass(slots=True)
class ForeignJournal(PlatformJournal):
    """Record of a soak with foreign items."""

    replacements: list[Replacement] = field(default_factory=list)
    foreign_items: list[tuple[float, str]] = field(default_factory=list)  # at, key
    misled: list[tuple[float, str]] = field(default_factory=list)  # at, request
    ready_answers: list[ReadyAnswer] = field(default_factory=list)
    failed_tasks: list[str] = field(default_factory=list)  # by order


class DecoyWorker(SoakWorker):
    """Worker that only foreign entries name; it records all that it is sent."""

    async def _handle(self, request) -> bytes:
        name = request.headers.get("request-id", request.target)
        self.journal.misled.append((monotonic(), name))
        return make_answer(b"", "421 Misdirected Request", f"Request-Id: {name}\r\n")


class ForeignSoak(PlatformSoak):
    """Runs one schedule with foreign items and failures of tasks."""

    series = PlatformSoak.series + ("foreign_entries",) * 8
    series += ("foreign_replacement",) * 7 + ("foreign_document",) * 7
    series += ("task_failures",) * 8
    journal_type = ForeignJournal
    node_code = FAILING_NODE_CODE

    async def _start(self, directory: Path) -> None:
        await super()._start(directory)
        number = self._count + 1
        names = {"zone": "z0", "service": "orders"}
        address = {"platform.address": f"127.0.0.1:{self._store.port}"}
        fields = names | address | self.bounds
        node = NodeProcess(number, directory, fields, self.node_code)
        decoy = DecoyWorker(number, node, self.journal, self._seed)
        self._nodes[number], self._workers[number] = node, decoy
        await decoy.server.start(WORKER_PORT, node.host)
        self._tasks.append(asyncio.create_task(self._supervise(number)))
        self._tasks += [asyncio.create_task(self._ask(n)) for n in self._nodes]

    # Foreign items

    def _make_rng(self, value: float) -> random.Random:
        return random.Random(f"foreign {self._seed} {value}")

    def _put_foreign(self, key: str, value: bytes, changes: dict | None) -> None:
        self._store.put(key, value, changes)
        self.journal.foreign_items.append((monotonic(), key))
        text = f"foreign item {key[:40]!r}, {value[:60]!r}, {len(value)} bytes"
        self._record(0, f"{text}, {changes}" if changes else text)

    def _make_entry(self, rng: random.Random) -> bytes:
        """Return a foreign entry; some name the address of the decoy."""
        entry, host = make_foreign_entry(rng), self._nodes[self._count + 1].host

        def replace(match: re.Match) -> bytes:
            is_port = 0 < int(match[1]) < 1 << 16
            return f"{host}:{WORKER_PORT if is_port else int(match[1])}".encode()

        return _ADDRESS.sub(replace, entry) if rng.random() < DECOY_SHARE else entry

    async def _wait_for_store(self) -> None:
        while self._store.is_away:
            await asyncio.sleep(POLL_S)

    async def _foreign_entries(self, number: int, value: float) -> None:
        """Write some entries at once, which stay until the end."""
        rng = self._make_rng(value)
        await self._wait_for_store()
        for _ in range(rng.randint(1, MAX_ENTRIES)):
            is_changed = rng.random() < CHANGED_SHARE
            changes = rng.choice(ITEM_CHANGES) if is_changed else None
            self._put_foreign(make_foreign_key(rng), self._make_entry(rng), changes)

    async def _foreign_replacement(self, number: int, value: float) -> None:
        """Replace the entry of a worker, until the worker writes it again."""
        rng, worker = self._make_rng(value), self._workers[number]
        if number in self._leaving or not self._nodes[number].logs:
            return
        self._leaving.add(number)
        await self._wait_for_store()
        is_changed = rng.random() < CHANGED_SHARE
        changes = rng.choice(VALUE_CHANGES) if is_changed else None
        self._put_foreign(f"servers/{worker.id}", self._make_entry(rng), changes)
        since = monotonic()
        await asyncio.sleep(rng.uniform(MIN_STAY_S, MAX_STAY_S))
        replacement = Replacement(self._get_worker(number), since, monotonic())
        self.journal.replacements.append(replacement)
        self._put_entry(number, "ready")
        self._leaving.remove(number)

    async def _foreign_document(self, number: int, value: float) -> None:
        """Replace a document that all nodes have read, until there is a newer one."""
        rng, acknowledged = self._make_rng(value), self.journal.acknowledged
        while (
            self._store.is_away
            or monotonic() < max(acknowledged.values()) + READ_AFTER_S
        ):
            await asyncio.sleep(POLL_S)
        is_changed = rng.random() < CHANGED_SHARE
        changes = rng.choice(VALUE_CHANGES) if is_changed else None
        self._put_foreign("op/config", make_foreign_document(rng), changes)
        await asyncio.sleep(rng.uniform(MIN_DOCUMENT_S, MAX_DOCUMENT_S))
        await self._publish(0, rng.random())

    # Failures of tasks

    async def _task_failures(self, number: int, value: float) -> None:
        """Let some long-lived tasks of a node fail, one after another."""
        rng, node = self._make_rng(value), self._nodes[number]
        place = rng.randrange(1000)
        for further in range(rng.randint(1, MAX_FAILURES)):
            order_failure(node.path, place + further)
            self._send(number, FAILURE_SIGNAL)
            await asyncio.sleep(FAILURE_STEP_S)

    def find_faults(self, logs: list[str]) -> list[str]:
        """Return the lines of faults; record the failures that were ordered."""
        failures = {line: read_task_failure(line) for line in logs}
        ordered = {
            line for line, fault in failures.items() if _INJECTED.fullmatch(fault)
        }
        self.journal.failed_tasks = [failures[line] for line in logs if line in ordered]
        others = [line for line in logs if line not in ordered]
        return super().find_faults(others) + [line for line in others if failures[line]]

    # Readiness

    async def _ask(self, number: int) -> None:
        """Ask a node in turn whether it is ready, and record what it answers."""
        node = self._nodes[number]
        while not self._is_closing:
            await asyncio.sleep(READY_INTERVAL_S)
            if node.logs:
                start, status = len(node.logs), await self._ask_once(node.host)
                answer = ReadyAnswer(monotonic(), number, start, status)
                self.journal.ready_answers.append(answer)

    async def _ask_once(self, host: str) -> int:
        writer = None
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, READY_PORT)
                head = f"GET {READY_PATH} HTTP/1.1\r\nHost: {host}\r\n\r\n"
                writer.write(head.encode())
                return (await read_response(reader)).status
        except (OSError, EOFError):
            return 0
        finally:
            if writer is not None:
                writer.close()


def read_task_failure(line: str) -> str:
    """Return the fault of a line of a log, if it tells that a task has failed."""
    if '"task_failed"' not in line:
        return ""
    try:
        fields = json.loads(line)
        return fields["fault"] if fields["event"] == "task_failed" else ""
    except (ValueError, KeyError, TypeError):
        return "unreadable"


def find_more_problems(journal: ForeignJournal) -> list[Problem]:
    """Return the failed checks of foreign items and of `bench.platform_soak`."""
    checks = (_check_decoy, _check_replacements, _check_readiness)
    found = [problem for check in checks for problem in check(journal)]
    return find_platform_problems(journal) + found


def _check_decoy(journal: ForeignJournal) -> Iterator[Problem]:
    """Check that nothing was sent to a worker that only foreign entries name."""
    for at, name in journal.misled:
        yield Problem("FOREIGN", f"{name} sent to a foreign entry", at=at)


def _check_replacements(journal: ForeignJournal) -> Iterator[Problem]:
    """Check that a worker gets nothing while a foreign entry replaces its own."""
    for worker, since, until in journal.replacements:
        for sent, _ in find_runs(journal, worker):
            is_late = since + LEAVING_S < sent.sent_at < until
            if is_late and not is_excused(journal, sent, since):
                text = f"{sent.sent_at - since:.2f} s after its entry was replaced"
                yield Problem("FOREIGN", text, sent)


def _check_readiness(journal: ForeignJournal) -> Iterator[Problem]:
    """Check that each process becomes ready, and is so until it is told to stop."""
    by_process: dict[tuple[int, int], list[ReadyAnswer]] = {}
    for answer in journal.ready_answers:
        by_process.setdefault((answer.node, answer.start), []).append(answer)
    for (node, start), answers in by_process.items():
        started_at, ended_at = _find_life(journal, node, start)
        misses, is_due_at = 0, started_at + READY_AFTER_S
        for answer in (answer for answer in answers if answer.at < ended_at):
            misses = 0 if answer.status == 200 else misses + 1
            if not misses:
                is_due_at = min(is_due_at, answer.at)
            if misses >= MAX_MISSES and answer.at > is_due_at:
                text = f"not ready: {answer.status}"
                yield Problem("READY", text, None, answer.at, node)
                break


def _find_life(journal, node: int, start: int) -> tuple[float, float]:
    """Return when a process was started, and when it ended or was told to."""
    began_at, ended_at = float("inf"), float("inf")
    for at, _, what in sorted(act for act in journal.acts if act[1] == node):
        if what == f"started {start}":
            began_at = at
        elif at > began_at and what.split(" ")[0] in ENDS:
            ended_at = min(ended_at, at)
    return began_at, ended_at


run_foreign_soak = partial(
    run_stop_soak, soak_type=ForeignSoak, find_more_problems=find_more_problems
)

if __name__ == "__main__":
    run_command("bench.foreign_soak", run_foreign_soak)
