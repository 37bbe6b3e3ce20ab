"""Callers: bounded load on the nodes, with checked answers.

Each call is followed to its end. A caller repeats a call after an honest
``not-run`` or a refused connection, resends an idempotent or keyed call whose
connection broke, resends a keyed call after ``unknown`` with the same key, and
checks that the answer is complete and its own.
"""

import asyncio
import json
import random
import re
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import aiohttp

from mangowell_standins.backend_server import check_answer

# Sent with a call so that no call waits longer at the nodes. A silent
# connection is detected within 2 s, so that a call can be repeated in time.
DEFAULT_DEADLINE_MS = 4000
# A caller gives up on one attempt this long after its deadline.
ATTEMPT_GRACE_S = 1.0
KEY_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0


@dataclass(slots=True, frozen=True)
class CallKind:
    """One kind of call that callers make.

    Parameters
    ----------
    name : str
        Traffic class, for the counts.
    method, path : str
    tenant : str
    idempotent : bool
    keyed : bool
        Whether each call carries an idempotency key of its own.
    pinned : bool
        Whether that key is issued by a node, or else made by the caller.
    weight : float
        Share relative to other kinds.
    size : int
        Payload bytes of the answer.
    work_ms : float
        Service time at the backend server; negative leaves it to the server.
    deadline_ms : int
    repeats : bool
        Whether the caller repeats a call after ``not-run``. If not, a refusal
        is final and counts in `refused` but not in `lost`.
    """

    name: str
    method: str
    path: str
    tenant: str = "default"
    idempotent: bool = True
    keyed: bool = False
    pinned: bool = True
    weight: float = 1.0
    size: int = 64
    work_ms: float = -1.0
    deadline_ms: int = DEFAULT_DEADLINE_MS
    repeats: bool = True


@dataclass(slots=True)
class CallCounts:
    """How calls ended.

    Parameters
    ----------
    calls, done : int
    lost : int
        Calls without a final answer that the caller may act upon: an
        idempotent call that ends in ``unknown`` or ``failed``, and any call
        that is still ``not-run`` or unanswered when the caller gives up.
    cut : int
        Answers that were truncated or foreign, and connections that broke
        although the node on the other side had not crashed.
    unknown : int
        Non-idempotent calls that ended in ``unknown``.
    not_run : int
        Answers ``not-run``, each of which the caller repeated.
    refused : int
        Calls that ended in ``not-run`` and whose caller does not repeat.
    broken : int
        Connections broken by the crash of the node on the other side.
    resent : int
        Attempts repeated for another reason than ``not-run``.
    latencies : list of tuple
        (kind, seconds) of calls that ended in ``done``.
    causes : Counter
        Reasons of lost and cut calls.
    failures : list of tuple
        (monotonic start, monotonic end, reason) of lost and cut calls.
    done_by_kind, calls_by_kind : Counter
    once_ids : list of str
        Request ids of the non-idempotent calls, which may run once at most.
    done_once_ids : list of str
        Those that ended in ``done``, which have run exactly once.
    """

    calls: int = 0
    done: int = 0
    lost: int = 0
    cut: int = 0
    unknown: int = 0
    not_run: int = 0
    refused: int = 0
    broken: int = 0
    resent: int = 0
    latencies: list[tuple[str, float]] = field(default_factory=list)
    causes: Counter = field(default_factory=Counter)
    failures: list[tuple[float, float, str]] = field(default_factory=list)
    done_by_kind: Counter = field(default_factory=Counter)
    calls_by_kind: Counter = field(default_factory=Counter)
    once_ids: list[str] = field(default_factory=list)
    done_once_ids: list[str] = field(default_factory=list)
    done_at: list[float] = field(default_factory=list)


@dataclass(slots=True)
class _Answer:
    """What one attempt got; `outcome` is ``broken`` without an answer."""

    outcome: str
    status: int = 0
    retry_after_s: float = 0.0
    reason: str = ""


class Callers:
    """Open-loop load with a bounded number of calls.

    Parameters
    ----------
    targets : callable
        Returns the ``host:port`` of nodes that take calls now.
    kinds : sequence of CallKind
    rate : float
        Calls per second.
    max_calls : int
    max_in_flight : int
        A call that would exceed this is skipped and counted in `skipped`.
    give_up_s : float
        Time from a call's start after which it is not repeated.
    crashed : callable
        Tells whether the node at a ``host:port`` crashed since a time.
    rng : random.Random or None
    """

    def __init__(
        self,
        targets: Callable[[], Sequence[str]],
        kinds: Sequence[CallKind],
        rate: float,
        max_calls: int = 100_000,
        max_in_flight: int = 500,
        give_up_s: float = 10.0,
        crashed: Callable[[str, float], bool] = lambda target, since: False,
        rng: random.Random | None = None,
    ):
        self.counts = CallCounts()
        self.skipped = 0
        self._targets = targets
        self._kinds = list(kinds)
        self._weights = [kind.weight for kind in kinds]
        self._rate = rate
        self._max_calls = max_calls
        self._max_in_flight = max_in_flight
        self._give_up_s = give_up_s
        self._crashed = crashed
        self._rng = rng or random.Random(0)
        self._session: aiohttp.ClientSession | None = None
        self._calls: set[asyncio.Task] = set()
        self._loop: asyncio.Task | None = None
        self._run_name = ""

    async def start(self) -> None:
        """Start to call in the background."""
        self._run_name = f"{self._rng.getrandbits(40):010x}"
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5.0)
        self._session = aiohttp.ClientSession(connector=connector)
        self._loop = asyncio.get_running_loop().create_task(self._generate())

    async def stop(self) -> CallCounts:
        """Make no new calls and wait for the end of those under way."""
        if self._loop is not None:
            self._loop.cancel()
        if self._calls:
            await asyncio.wait(set(self._calls), timeout=self._give_up_s + 5.0)
        for task in list(self._calls):
            # Counted as lost by `call`.
            task.cancel()
        if self._calls:
            await asyncio.gather(*self._calls, return_exceptions=True)
        if self._session is not None:
            await self._session.close()
        return self.counts

    def reset_counts(self) -> CallCounts:
        """Start counting anew; return the counts so far."""
        counts, self.counts = self.counts, CallCounts()
        return counts

    async def run(self, seconds: float) -> CallCounts:
        """Call for `seconds` and return the counts."""
        await self.start()
        await asyncio.sleep(seconds)
        return await self.stop()

    async def _generate(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        for number in range(self._max_calls):
            due += self._rng.expovariate(self._rate)
            delay = due - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            elif delay < -1.0:
                # A process that was held up does not catch up in a burst.
                due = loop.time()
            if len(self._calls) >= self._max_in_flight:
                self.skipped += 1
                continue
            kind = self._rng.choices(self._kinds, self._weights)[0]
            task = loop.create_task(self.call(kind, f"{self._run_name}-{number}"))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def call(self, kind: CallKind, request_id: str, extra: str = "") -> str:
        """Make one call and follow it to its end.

        Returns
        -------
        str
            ``done``, ``unknown``, ``refused``, ``lost`` or ``cut``.
        """
        counts = self.counts
        counts.calls += 1
        counts.calls_by_kind[kind.name] += 1
        if not kind.idempotent:
            counts.once_ids.append(request_id)
        started = time.monotonic()
        try:
            end, cause = await self._follow(kind, request_id, started, extra)
        except asyncio.CancelledError:
            counts.lost += 1
            counts.causes["cancelled while waiting"] += 1
            raise
        if end == "done":
            counts.done += 1
            counts.done_by_kind[kind.name] += 1
            counts.done_at.append(time.monotonic())
            counts.latencies.append((kind.name, time.monotonic() - started))
            if not kind.idempotent:
                counts.done_once_ids.append(request_id)
        elif end == "unknown":
            counts.unknown += 1
        elif end == "refused":
            counts.refused += 1
        elif end == "cut":
            counts.cut += 1
        else:
            counts.lost += 1
        if end != "done":
            reason = f"{end}: {kind.name}: {cause}"
            counts.causes[reason] += 1
            if end in ("lost", "cut"):
                reason = f"{reason} [{request_id}]"
                counts.failures.append((started, time.monotonic(), reason))
        return end

    async def _follow(
        self, kind: CallKind, request_id: str, started: float, extra: str
    ) -> tuple[str, str]:
        give_up_at = started + self._give_up_s
        delay = RETRY_DELAY_S
        last = ""
        refused = False
        previous = key = ""
        uncertain = False
        while True:
            target = self._pick_target(previous)
            if target:
                previous = target
                sent_at = time.monotonic()
                answer = None
                if kind.keyed and not key:
                    key, answer = await self._take_key(kind, request_id, target)
                if answer is None:
                    answer = await self._attempt(kind, request_id, target, extra, key)
                if answer.outcome == "done":
                    return "done", ""
                if answer.outcome == "cut":
                    return "cut", answer.reason
                last = answer.reason
                refused = answer.outcome == "not-run"
                if refused:
                    self.counts.not_run += 1
                elif answer.outcome == "broken":
                    if not self._crashed(target, sent_at - 1.0):
                        return "cut", f"connection broke: {answer.reason}"
                    self.counts.broken += 1
                if answer.outcome == "failed":
                    return "lost", last
                if answer.outcome == "unknown" and kind.idempotent:
                    return "lost", last
                if not (refused or kind.idempotent or kind.keyed):
                    return "unknown", last
                if refused and not uncertain:
                    # The key has not run, so a key of another owner is safe.
                    key = ""
                if not refused:
                    uncertain = True
                    self.counts.resent += 1
                delay_now = max(delay, min(answer.retry_after_s, MAX_RETRY_DELAY_S))
            else:
                last = "no node takes calls"
                delay_now = delay
            if refused and not kind.repeats:
                return "refused", last
            pause = delay_now * self._rng.uniform(0.5, 1.0)
            if time.monotonic() + pause >= give_up_at:
                if not refused and target and not kind.idempotent:
                    return "unknown", last
                return "lost", last
            delay = min(delay * 2.0, MAX_RETRY_DELAY_S)
            await asyncio.sleep(pause)

    def _pick_target(self, previous: str) -> str:
        targets = [t for t in self._targets() if t != previous] or self._targets()
        return self._rng.choice(targets) if targets else ""

    async def _take_key(
        self, kind: CallKind, request_id: str, target: str
    ) -> tuple[str, _Answer | None]:
        """Return a key, or the answer that stands in its way."""
        if not kind.pinned:
            return f"key-{request_id}", None
        url = f"http://{target}/.mangowell/keys?path={kind.path}&method={kind.method}"
        timeout = aiohttp.ClientTimeout(total=KEY_TIMEOUT_S)
        try:
            async with self._session.post(url, timeout=timeout) as response:
                body = await response.read()
                if response.status == 201:
                    return json.loads(body)["key"], None
                answer = _judge(request_id, response, body)
        except (aiohttp.ClientError, TimeoutError) as exc:
            answer = _Answer("not-run", reason=f"no key: {type(exc).__name__}")
        # Whatever became of the key, the call itself has not been sent.
        answer.outcome = "not-run"
        return "", answer

    async def _attempt(
        self, kind: CallKind, request_id: str, target: str, extra: str, key: str
    ) -> _Answer:
        query = f"id={request_id}&size={kind.size}{extra}"
        if kind.work_ms >= 0:
            query += f"&work_ms={kind.work_ms:g}"
        headers = {
            "Mangowell-Tenant": kind.tenant,
            "Mangowell-Deadline-Ms": str(kind.deadline_ms),
        }
        if key:
            headers["Idempotency-Key"] = key
        timeout = aiohttp.ClientTimeout(
            total=kind.deadline_ms / 1000.0 + ATTEMPT_GRACE_S
        )
        url = f"http://{target}{kind.path}?{query}"
        try:
            async with self._session.request(
                kind.method,
                url,
                headers=headers,
                timeout=timeout,
                data=request_id.encode() if kind.method == "POST" else None,
            ) as response:
                body = await response.read()
                return _judge(request_id, response, body)
        except aiohttp.ClientConnectorError as exc:
            # Nothing was sent, so the call was not run.
            return _Answer("not-run", reason=f"connect: {type(exc).__name__}")
        except aiohttp.ClientPayloadError as exc:
            if self._crashed(target, time.monotonic() - 5.0):
                return _Answer("broken", reason=str(exc))
            return _Answer("cut", reason=f"truncated answer: {exc}")
        except TimeoutError:
            return _Answer("unknown", reason="no answer by the deadline")
        except aiohttp.ClientError as exc:
            return _Answer("broken", reason=type(exc).__name__)


def _judge(request_id: str, response: aiohttp.ClientResponse, body: bytes) -> _Answer:
    outcome = response.headers.get("Mangowell-Outcome", "done")
    if response.status < 300 and outcome == "done":
        fault = check_answer(request_id, body)
        if fault:
            return _Answer("cut", response.status, reason=f"{fault} answer")
        return _Answer("done", response.status)
    retry_after = response.headers.get("Retry-After", "0")
    try:
        retry_after_s = float(retry_after)
    except ValueError:
        retry_after_s = 0.0
    try:
        told = json.loads(body)
        text = f"{told['cause']} ({told['reason']})"
    except (ValueError, KeyError, TypeError):
        text = body[:80].decode("utf-8", "replace").strip()
    # Numbers differ from call to call and would split one cause into many.
    text = re.sub(r"[0-9.]+", "#", text)
    if outcome == "done":
        # An error status of the backend server itself, passed on.
        outcome = "failed"
    reason = f"{outcome} {response.status} {text}"
    return _Answer(outcome, response.status, retry_after_s, reason)
