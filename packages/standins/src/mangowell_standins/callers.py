"""Load generator that calls the nodes and checks every answer.

Each call is retried until it has a final outcome. A caller repeats a call after
``not-run`` or a refused connection, resends an idempotent or keyed call whose
connection broke, and resends a keyed call after ``unknown`` with the same key.
It checks that the answer is complete and belongs to the request.
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

from mangowell_standins.backend_server import find_answer_defect

# Deadline sent with a call, which bounds its wait at the nodes. Nodes detect a
# silent connection within 2 s, which leaves time to repeat the call.
DEFAULT_DEADLINE_MS = 4000
# Time after the deadline at which a caller abandons an attempt.
ATTEMPT_GRACE_S = 1.0
KEY_REQUEST_TIMEOUT_S = 2.0
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0


@dataclass(slots=True, frozen=True)
class CallKind:
    """Request parameters and retry policy of one kind of call.

    Parameters
    ----------
    name : str
        Traffic class under which the calls are counted.
    method, path : str
        HTTP method and path.
    tenant : str
        Tenant in whose name the calls are made.
    idempotent : bool
        Whether a call may run more than once.
    keyed : bool
        Whether each call carries its own idempotency key.
    issued_by_node : bool
        Whether a node issues that key; otherwise the caller makes it.
    weight : float
        Frequency relative to the other kinds.
    size : int
        Payload bytes of the answer.
    work_ms : float
        Mean service time at the backend server in milliseconds; if negative,
        the server's own setting applies.
    deadline_ms : int
        Deadline of each attempt in milliseconds.
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
    issued_by_node: bool = True
    weight: float = 1.0
    size: int = 64
    work_ms: float = -1.0
    deadline_ms: int = DEFAULT_DEADLINE_MS
    repeats: bool = True


@dataclass(slots=True)
class CallCounts:
    """Counts and latencies of calls by final outcome.

    Parameters
    ----------
    calls, done : int
        Calls made, and calls that ended in ``done``.
    lost : int
        Calls without a final answer that the caller can act on: a call that
        ends in ``failed``, an idempotent call that ends in ``unknown``, and any
        call that is still ``not-run`` or unanswered when the caller gives up.
    cut : int
        Calls whose answer was truncated or belonged to another request, or whose
        connection broke although the node had not crashed.
    unknown : int
        Non-idempotent calls that ended in ``unknown``.
    not_run : int
        Attempts that ended in ``not-run``.
    refused : int
        Calls that ended in ``not-run`` and are of a kind that is not repeated.
    broken : int
        Connections broken by the crash of the node that was called.
    resent : int
        Attempts repeated for a reason other than ``not-run``.
    latencies : list of tuple
        (kind, seconds) of the calls that ended in ``done``.
    causes : Counter
        Reasons of the calls that did not end in ``done``.
    failures : list of tuple
        (monotonic start, monotonic end, reason) of lost and cut calls.
    done_by_kind, calls_by_kind : Counter
        Calls that ended in ``done``, and all calls, by name of the kind.
    non_idempotent_ids : list of str
        Request ids of the non-idempotent calls, which may run once at most.
    done_non_idempotent_ids : list of str
        Those of them that ended in ``done`` and so must have run exactly once.
    done_at : list of float
        Monotonic times at which calls ended in ``done``.
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
    non_idempotent_ids: list[str] = field(default_factory=list)
    done_non_idempotent_ids: list[str] = field(default_factory=list)
    done_at: list[float] = field(default_factory=list)


@dataclass(slots=True)
class _AttemptResult:
    """Outcome of one attempt; ``broken`` if the connection broke during the call."""

    outcome: str
    status: int = 0
    retry_after_s: float = 0.0
    reason: str = ""


class Callers:
    """Open-loop load generator with a bounded number of calls.

    Parameters
    ----------
    targets : callable
        Returns the ``host:port`` of each node that currently takes calls.
    kinds : sequence of CallKind
        Kinds to select from, by weight.
    rate : float
        Mean calls per second; the times between calls are exponential.
    max_calls : int
        Number of calls after which the load ends.
    max_in_flight : int
        Calls in flight at which a further call is skipped and counted in
        `skipped`.
    give_up_s : float
        Time from the start of a call after which it is not repeated, in seconds.
    crashed : callable
        Takes ``host:port`` and a monotonic time, and returns whether the node
        there has crashed since then.
    rng : random.Random or None
        Source of call times, kinds, targets and retry jitter.
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
        self._has_crashed = crashed
        self._rng = rng or random.Random(0)
        self._session: aiohttp.ClientSession | None = None
        self._call_tasks: set[asyncio.Task] = set()
        self._generator_task: asyncio.Task | None = None
        self._id_prefix = ""

    async def start(self) -> None:
        """Start to generate calls in the background."""
        self._id_prefix = f"{self._rng.getrandbits(40):010x}"
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5.0)
        self._session = aiohttp.ClientSession(connector=connector)
        self._generator_task = asyncio.get_running_loop().create_task(
            self._generate_calls()
        )

    async def stop(self) -> CallCounts:
        """Make no new calls, wait for those in flight and return the counts."""
        if self._generator_task is not None:
            self._generator_task.cancel()
        if self._call_tasks:
            await asyncio.wait(set(self._call_tasks), timeout=self._give_up_s + 5.0)
        for task in list(self._call_tasks):
            # `call` counts a cancelled call as lost.
            task.cancel()
        if self._call_tasks:
            await asyncio.gather(*self._call_tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()
        return self.counts

    def reset_counts(self) -> CallCounts:
        """Reset the counts and return those up to now."""
        counts, self.counts = self.counts, CallCounts()
        return counts

    async def run(self, seconds: float) -> CallCounts:
        """Generate calls for `seconds` and return the counts."""
        await self.start()
        await asyncio.sleep(seconds)
        return await self.stop()

    async def _generate_calls(self) -> None:
        loop = asyncio.get_running_loop()
        next_call_at = loop.time()
        for number in range(self._max_calls):
            next_call_at += self._rng.expovariate(self._rate)
            delay = next_call_at - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            elif delay < -1.0:
                # After a stall of the process, do not catch up with a burst.
                next_call_at = loop.time()
            if len(self._call_tasks) >= self._max_in_flight:
                self.skipped += 1
                continue
            kind = self._rng.choices(self._kinds, self._weights)[0]
            task = loop.create_task(self.call(kind, f"{self._id_prefix}-{number}"))
            self._call_tasks.add(task)
            task.add_done_callback(self._call_tasks.discard)

    async def call(self, kind: CallKind, request_id: str, extra: str = "") -> str:
        """Make one call, repeat it as its kind allows, and count how it ended.

        Parameters
        ----------
        kind : CallKind
            Kind of the call.
        request_id : str
            Id that the answer has to carry.
        extra : str
            Text to append to the query string.

        Returns
        -------
        str
            ``done``, ``unknown``, ``refused``, ``lost`` or ``cut``.
        """
        counts = self.counts
        counts.calls += 1
        counts.calls_by_kind[kind.name] += 1
        if not kind.idempotent:
            counts.non_idempotent_ids.append(request_id)
        started = time.monotonic()
        try:
            final_outcome, detail = await self._run_to_final_outcome(
                kind, request_id, started, extra
            )
        except asyncio.CancelledError:
            counts.lost += 1
            counts.causes["cancelled while waiting"] += 1
            raise
        if final_outcome == "done":
            counts.done += 1
            counts.done_by_kind[kind.name] += 1
            counts.done_at.append(time.monotonic())
            counts.latencies.append((kind.name, time.monotonic() - started))
            if not kind.idempotent:
                counts.done_non_idempotent_ids.append(request_id)
        elif final_outcome == "unknown":
            counts.unknown += 1
        elif final_outcome == "refused":
            counts.refused += 1
        elif final_outcome == "cut":
            counts.cut += 1
        else:
            counts.lost += 1
        if final_outcome != "done":
            reason = f"{final_outcome}: {kind.name}: {detail}"
            counts.causes[reason] += 1
            if final_outcome in ("lost", "cut"):
                reason = f"{reason} [{request_id}]"
                counts.failures.append((started, time.monotonic(), reason))
        return final_outcome

    async def _run_to_final_outcome(
        self, kind: CallKind, request_id: str, started: float, extra: str
    ) -> tuple[str, str]:
        give_up_at = started + self._give_up_s
        delay = INITIAL_RETRY_DELAY_S
        last_reason = ""
        was_not_run = False
        previous_target = key = ""
        may_have_run = False
        while True:
            target = self._select_target(previous_target)
            if target:
                previous_target = target
                sent_at = time.monotonic()
                result = None
                if kind.keyed and not key:
                    key, result = await self._obtain_key(kind, request_id, target)
                if result is None:
                    result = await self._send_attempt(
                        kind, request_id, target, extra, key
                    )
                if result.outcome == "done":
                    return "done", ""
                if result.outcome == "cut":
                    return "cut", result.reason
                last_reason = result.reason
                was_not_run = result.outcome == "not-run"
                if was_not_run:
                    self.counts.not_run += 1
                elif result.outcome == "broken":
                    if not self._has_crashed(target, sent_at - 1.0):
                        return "cut", f"connection broke: {result.reason}"
                    self.counts.broken += 1
                if result.outcome == "failed":
                    return "lost", last_reason
                if result.outcome == "unknown" and kind.idempotent:
                    return "lost", last_reason
                if not (was_not_run or kind.idempotent or kind.keyed):
                    return "unknown", last_reason
                if was_not_run and not may_have_run:
                    # No attempt with this key has run, so a new key that another
                    # node owns cannot run the call twice.
                    key = ""
                if not was_not_run:
                    may_have_run = True
                    self.counts.resent += 1
                retry_delay = max(delay, min(result.retry_after_s, MAX_RETRY_DELAY_S))
            else:
                last_reason = "no node takes calls"
                retry_delay = delay
            if was_not_run and not kind.repeats:
                return "refused", last_reason
            jittered_delay = retry_delay * self._rng.uniform(0.5, 1.0)
            if time.monotonic() + jittered_delay >= give_up_at:
                if not was_not_run and target and not kind.idempotent:
                    return "unknown", last_reason
                return "lost", last_reason
            delay = min(delay * 2.0, MAX_RETRY_DELAY_S)
            await asyncio.sleep(jittered_delay)

    def _select_target(self, previous_target: str) -> str:
        targets = [
            t for t in self._targets() if t != previous_target
        ] or self._targets()
        return self._rng.choice(targets) if targets else ""

    async def _obtain_key(
        self, kind: CallKind, request_id: str, target: str
    ) -> tuple[str, _AttemptResult | None]:
        """Return a key, or an empty key and the result that prevented it."""
        if not kind.issued_by_node:
            return f"key-{request_id}", None
        url = f"http://{target}/.mangowell/keys?path={kind.path}&method={kind.method}"
        timeout = aiohttp.ClientTimeout(total=KEY_REQUEST_TIMEOUT_S)
        try:
            async with self._session.post(url, timeout=timeout) as response:
                body = await response.read()
                if response.status == 201:
                    return json.loads(body)["key"], None
                result = _classify_response(request_id, response, body)
        except (aiohttp.ClientError, TimeoutError) as exc:
            result = _AttemptResult("not-run", reason=f"no key: {type(exc).__name__}")
        # The call itself has not been sent, even if a key was issued.
        result.outcome = "not-run"
        return "", result

    async def _send_attempt(
        self, kind: CallKind, request_id: str, target: str, extra: str, key: str
    ) -> _AttemptResult:
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
                return _classify_response(request_id, response, body)
        except aiohttp.ClientConnectorError as exc:
            # Nothing was sent, so the call was not run.
            return _AttemptResult("not-run", reason=f"connect: {type(exc).__name__}")
        except aiohttp.ClientPayloadError as exc:
            if self._has_crashed(target, time.monotonic() - 5.0):
                return _AttemptResult("broken", reason=str(exc))
            return _AttemptResult("cut", reason=f"truncated answer: {exc}")
        except TimeoutError:
            return _AttemptResult("unknown", reason="no answer by the deadline")
        except aiohttp.ClientError as exc:
            return _AttemptResult("broken", reason=type(exc).__name__)


def _classify_response(
    request_id: str, response: aiohttp.ClientResponse, body: bytes
) -> _AttemptResult:
    outcome = response.headers.get("Mangowell-Outcome", "done")
    if response.status < 300 and outcome == "done":
        defect = find_answer_defect(request_id, body)
        if defect:
            return _AttemptResult("cut", response.status, reason=f"{defect} answer")
        return _AttemptResult("done", response.status)
    retry_after = response.headers.get("Retry-After", "0")
    try:
        retry_after_s = float(retry_after)
    except ValueError:
        retry_after_s = 0.0
    try:
        error = json.loads(body)
        text = f"{error['cause']} ({error['reason']})"
    except (ValueError, KeyError, TypeError):
        text = body[:80].decode("utf-8", "replace").strip()
    # Numbers differ between calls; without them, calls share one cause.
    text = re.sub(r"[0-9.]+", "#", text)
    if outcome == "done":
        # The node passed on an error status of the backend server.
        outcome = "failed"
    reason = f"{outcome} {response.status} {text}"
    return _AttemptResult(outcome, response.status, retry_after_s, reason)
