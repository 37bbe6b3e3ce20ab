"""Callers and workers of the stop soak, and the record of what they saw."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field
from time import monotonic

from mangowell_standins.node_process import NodeProcess
from mangowell_standins.platform_values import HOST
from mangowell_standins.scripted_http import (
    Response,
    ScriptedBackend,
    make_answer,
    read_response,
)

MIN_WORK_S, MAX_WORK_S = 0.02, 1.8
CALL_SHARE = 0.25  # runs of `orders` that make a call
SMALL_BODY, LARGE_BODY = 100, 40_000
PAUSE_S = 0.25  # longest pause of a caller between two requests
RECONNECT_PAUSE_S = 0.1
MAX_TIMEOUT_MS, MIN_TIMEOUT_MS = 4500, 3000
MAX_REQUESTS_PER_CONNECTION = 30
MAX_ROUNDS = 5000  # of one caller
# A caller that gets no answer ends the request this long after its time limit.
PATIENCE_S = 2.0


@dataclass(slots=True)
class Run:
    """One run of a request at a worker; `ended_at` is 0 while it runs."""

    node: int
    started_at: float
    ended_at: float = 0.0
    was_cut: bool = False


@dataclass(slots=True)
class Sent:
    """One request of a caller or a worker, and its end.

    `node` took the request, in its process number `start`. `version` is that of the
    first document with the route. `status` is 0 if the connection ended without a
    whole answer; `is_stamped` tells whether the answer is that of a worker.
    """

    id: str
    node: int
    start: int
    is_unsafe: bool
    version: int
    timeout_s: float
    sent_at: float
    is_behind_another: bool = False
    ended_at: float = 0.0
    status: int = 0
    is_stamped: bool = False
    is_given_up: bool = False
    fault: str = ""


@dataclass(slots=True)
class Journal:
    """All requests and runs, and what was done to the nodes and the document."""

    requests: list[Sent] = field(default_factory=list)
    runs: dict[str, list[Run]] = field(default_factory=dict)
    acts: list[tuple[float, int, str]] = field(default_factory=list)  # at, node, what
    documents: list[tuple[float, float]] = field(default_factory=list)  # at, limit
    failures: list[str] = field(default_factory=list)  # of stops and of the recovery

    @property
    def version(self) -> int:
        """Version of the newest document."""
        return len(self.documents)


class SoakWorker:
    """Worker beside a node, which may call other workers while it runs a request."""

    def __init__(self, number: int, node: NodeProcess, journal: Journal, seed: int):
        self.id = f"i-{number}-1"
        self._number, self._node, self._journal = number, node, journal
        self._rng = random.Random(f"worker {seed} {number}")
        self.server = ScriptedBackend(self._handle)

    async def _handle(self, request) -> bytes:
        fields = request.headers
        name = fields["request-id"]
        stamp = f"Request-Id: {name}\r\n"
        if fields["expected-instance"] != self.id:
            return make_answer(b"", "421 Misdirected Request", stamp)
        run = Run(self._number, monotonic())
        deadline = run.started_at + int(fields["timeout-ms"]) / 1000
        self._journal.runs.setdefault(name, []).append(run)
        stamp += f"Response-Stamp: {self.id}\r\n"
        rng = self._rng
        work_s = MIN_WORK_S * (MAX_WORK_S / MIN_WORK_S) ** (rng.random() ** 2)
        makes_call = rng.random() < CALL_SHARE
        try:
            # The request is dropped when the node closes the connection.
            async with asyncio.timeout(deadline - monotonic()):
                await asyncio.sleep(work_s / 2)
                if makes_call and self._node.settings["service"] == "orders":
                    if not await self.call(f"{name}.c", deadline):
                        return make_answer(b"", "500 Internal Server Error", stamp)
                await asyncio.sleep(work_s / 2)
        except TimeoutError:
            return make_answer(b"", "504 Gateway Timeout", stamp)
        except asyncio.CancelledError:
            run.was_cut = True
            raise
        finally:
            run.ended_at = monotonic()
        return make_answer(make_body(name), "200 OK", stamp)

    async def call(self, name: str, deadline: float) -> bool:
        """Send a request to the node beside the worker; return if it succeeds."""
        caller = Caller(self._number, self._node, self._journal, self._rng)
        try:
            await caller.connect()
            timeout_s = deadline - monotonic()
            request = caller.send("/stock/", False, 1, name, timeout_s)
            return await caller.read(request) and request.status == 200
        except OSError:
            return False
        finally:
            caller.close()


class Caller:
    """Client of one node, which keeps its connection until the node closes it."""

    _ids = itertools.count(1)

    def __init__(self, number: int, node: NodeProcess, journal: Journal, rng):
        self._number, self._node, self._journal = number, node, journal
        self._rng = rng
        self._start = 0
        self._reader = self._writer = None

    async def connect(self) -> None:
        async with asyncio.timeout(1.0):
            self._reader, self._writer = await asyncio.open_connection(
                self._node.host, self._node.ports.callers
            )
        self._start = self._node.starts

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def run(self, batch: int, keeps_connection: bool, is_over) -> None:
        """Send requests, `batch` at a time, until `is_over` is true."""
        rng = self._rng
        left = 0
        for _ in range(MAX_ROUNDS):
            if is_over():
                break
            await asyncio.sleep(rng.uniform(0.0, PAUSE_S))
            try:
                if left <= 0 or not keeps_connection:
                    self.close()
                if self._writer is None:
                    await self.connect()
                    left = MAX_REQUESTS_PER_CONNECTION
                left -= batch
                sent = [self._send_any(batch > 1) for _ in range(batch)]
            except OSError:
                self.close()
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            for number, request in enumerate(sent):
                request.is_behind_another = number > 0
            is_open = True
            for request in sent:
                # Requests behind an answer that closes the connection are unread.
                if is_open:
                    is_open = await self.read(request)
                    is_given_up = request.is_given_up
                else:
                    request.is_given_up = is_given_up
                    request.ended_at = monotonic()
            if not is_open:
                self.close()
        self.close()

    def _send_any(self, must_be_safe: bool) -> Sent:
        """Send a request on a random route, at times one of a later document."""
        rng = self._rng
        name = f"{self._number}-{next(self._ids)}"
        timeout_s = rng.randint(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS) / 1000
        version = rng.randint(1, self._journal.version)
        if version > 1 and rng.random() < 0.3:
            return self.send(f"/v{version}/", False, version, name, timeout_s)
        if not must_be_safe and rng.random() < 0.5:
            return self.send("/pay/", True, 1, name, timeout_s)
        return self.send("/", False, 1, name, timeout_s)

    def send(self, path, is_unsafe, version, name, timeout_s) -> Sent:
        """Write one request and record it."""
        request = Sent(
            name, self._number, self._start, is_unsafe, version, timeout_s, monotonic()
        )
        method, length = ("POST", "Content-Length: 2\r\n") if is_unsafe else ("GET", "")
        self._writer.write(
            f"{method} {path}x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {name}\r\n"
            f"Timeout-Ms: {round(timeout_s * 1000)}\r\n{length}\r\n".encode()
            + b"{}" * is_unsafe
        )
        self._journal.requests.append(request)
        return request

    async def read(self, request: Sent) -> bool:
        """Read the answer; return whether the connection stays open."""
        try:
            async with asyncio.timeout(request.timeout_s + PATIENCE_S):
                answer = await read_response(self._reader)
        except (OSError, asyncio.IncompleteReadError) as exc:
            request.is_given_up = isinstance(exc, TimeoutError)
            return False
        except asyncio.CancelledError:
            request.is_given_up = True
            raise
        finally:
            request.ended_at = monotonic()
        request.is_stamped = "response-stamp" in answer.headers
        request.fault = find_answer_fault(request.id, answer)
        request.status = answer.status if answer.complete else 0
        return answer.complete and answer.headers.get("connection") != "close"


def make_body(name: str) -> bytes:
    """Return the body that a worker gives to a request."""
    size = LARGE_BODY if name.endswith("7") else SMALL_BODY
    return f"{name} ".encode() * (size // (len(name) + 1))


def find_answer_fault(name: str, answer: Response) -> str:
    """Return what shows that an answer is not that of this request, or nothing."""
    owner = answer.headers.get("request-id", name)
    if owner != name:
        return f"answer of request {owner}"
    is_worker_answer = "response-stamp" in answer.headers
    if answer.status == 200 and answer.complete:
        if not is_worker_answer or answer.body != make_body(name):
            return f"{len(answer.body)} bytes, stamped: {is_worker_answer}"
    return ""
