"""Callers and workers of the stop soak, and the record of what they saw."""

import asyncio
import itertools
import random
import re
from dataclasses import dataclass, field
from time import monotonic

from mangowell_standins.node_process import CALLER_PORT, NodeProcess
from mangowell_standins.platform_values import HOST
from mangowell_standins.platform_worker import Statements
from mangowell_standins.scripted_http import ScriptedBackend, make_answer, read_response

MIN_WORK_S, MAX_WORK_S = 0.02, 1.8
CALL_SHARE = 0.25  # runs of `orders` that make a call
MAX_PAUSE_S = 0.1  # of a caller between two requests
RECONNECT_PAUSE_S = 0.1
MIN_TIMEOUT_MS, MAX_TIMEOUT_MS = 3000, 4500
MAX_BATCHES, MAX_CONNECTIONS = 30, 3000  # of a connection, of a caller
PATIENCE_S = 2.0  # wait for an answer beyond the time limit
MAX_REASON_BYTES = 80
_ids = itertools.count(1)


@dataclass(slots=True)
class Run:
    """One run of a request at a worker; `ended_at` is 0 while it runs."""

    node: int
    started_at: float
    ended_at: float = 0.0
    was_cut: bool = False
    worker: tuple[str, int] = ("", 0)  # id and number of its start


@dataclass(slots=True)
class Sent:
    """One request of a caller or a worker, and its end."""

    id: str
    node: int
    start: int  # number of the node's process
    is_unsafe: bool
    version: int  # of the first document with the route
    timeout_s: float
    sent_at: float
    ended_at: float
    status: int = 0  # 0 without a whole answer
    is_workers: bool = False  # whether the answer is that of a worker
    has_left: bool = False  # whether the caller closed the connection
    mix_up: str = ""
    reason: str = ""  # of a refusal, without numbers


@dataclass(slots=True)
class Journal:
    """All requests and runs, and what was done to the nodes and the document."""

    requests: list[Sent] = field(default_factory=list)
    runs: dict[str, list[Run]] = field(default_factory=dict)
    acts: list[tuple[float, int, str]] = field(default_factory=list)  # at, node, what
    documents: list[tuple[float, float]] = field(default_factory=list)  # at, timeout
    failures: list[tuple[float, int, str]] = field(default_factory=list)


class SoakWorker:
    """Worker beside a node, which may call other workers while it runs a request."""

    def __init__(self, number: int, node: NodeProcess, journal: Journal, seed: int):
        self.number, self.node, self.journal = number, node, journal
        self.id = f"i-{number}-1"
        self.start = 1
        self.statements = Statements()
        self.rng = random.Random(f"worker {seed} {number}")
        self.server = ScriptedBackend(self._handle)

    async def _handle(self, request) -> bytes:
        name = request.headers["request-id"]
        stamp = f"Request-Id: {name}\r\n"
        if request.headers["expected-instance"] != self.id:
            return make_answer(b"", "421 Misdirected Request", stamp)
        run = Run(self.number, monotonic(), worker=(self.id, self.start))
        deadline = run.started_at + int(request.headers["timeout-ms"]) / 1000
        self.journal.runs.setdefault(name, []).append(run)
        stamp += f"Response-Stamp: {self.id}\r\n"
        work_s = self.draw_work(deadline - monotonic())
        is_caller = self.node.fields["service"] == "orders"
        makes_call = is_caller and self.rng.random() < CALL_SHARE
        try:
            async with asyncio.timeout(deadline - monotonic()):
                await asyncio.sleep(work_s / 2)
                if makes_call and not await self.call(f"{name}.", deadline):
                    stamp += self.statements.fields
                    return make_answer(b"", "500 Internal Server Error", stamp)
                await asyncio.sleep(work_s / 2)
        except TimeoutError:
            return make_answer(b"", "504 Gateway Timeout", stamp)
        except asyncio.CancelledError:  # the node has closed the connection
            run.was_cut = True
            raise
        finally:
            run.ended_at = monotonic()
        stamp += self.statements.fields
        return make_answer(make_body(name), "200 OK", stamp)

    def draw_work(self, remaining_s: float) -> float:
        """Return how long the worker runs a request that has `remaining_s` left."""
        return MIN_WORK_S * (MAX_WORK_S / MIN_WORK_S) ** (self.rng.random() ** 1.5)

    async def call(self, prefix: str, deadline: float) -> bool:
        """Send a request to the own node, its id beginning with `prefix`."""
        caller = Caller(self.number, self.node, self.journal, self.rng)
        try:
            await caller.connect()
            request = caller.send("/stock/", 1, deadline - monotonic(), prefix)
            await caller.read(request)
            return request.status == 200
        except OSError:
            return False
        finally:
            caller.close()


class Caller:
    """Client of one node, which uses its connection until the node closes it."""

    def __init__(self, number: int, node: NodeProcess, journal: Journal, rng):
        self._number, self._node, self._journal = number, node, journal
        self._rng = rng
        self._start = 0
        self._reader = self._writer = None

    async def connect(self) -> None:
        address = self._node.host, CALLER_PORT
        async with asyncio.timeout(1.0):
            self._reader, self._writer = await asyncio.open_connection(*address)
        self._start = len(self._node.logs)

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()

    async def run(self, size: int, keeps_connection: bool, is_over) -> None:
        """Send requests, `size` at a time, until `is_over` is true."""
        for _ in range(MAX_CONNECTIONS):
            try:
                await self.connect()
                for _ in range(MAX_BATCHES if keeps_connection else 1):
                    await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))
                    if is_over():
                        return
                    if not await self._exchange(
                        [self._send_any(size) for _ in range(size)]
                    ):
                        break
            except OSError:
                await asyncio.sleep(RECONNECT_PAUSE_S)
            finally:
                self.close()

    async def _exchange(self, batch: list[Sent]) -> bool:
        """Read the answers to a batch; return whether the connection stays open."""
        is_open, has_left = True, False
        for request in batch:
            # Requests behind an answer that closes the connection are unread.
            request.ended_at = monotonic()
            is_open = is_open and await self.read(request)
            has_left = request.has_left = request.has_left or has_left
        return is_open

    def _send_any(self, size: int) -> Sent:
        """Send a request on a random route; only safe ones are sent together."""
        rng = self._rng
        timeout_s = rng.randint(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS) / 1000
        version = rng.randint(1, len(self._journal.documents))
        paths = [("/", 1), (f"/v{version}/", version)]
        paths += [("/pay/", 1), ("/pay/", 1)] if size == 1 else []
        return self.send(*rng.choice(paths), timeout_s)

    def send(
        self,
        path: str,
        version: int,
        timeout_s: float,
        prefix: str = "",
        body_bytes: int = 0,
    ) -> Sent:
        """Write one request and record it; the caller sends `body_bytes` itself."""
        if self._writer.is_closing():
            raise ConnectionResetError
        name = f"{prefix}{self._number}-{next(_ids)}"
        is_unsafe = path == "/pay/"
        is_post = is_unsafe or body_bytes > 0
        method, length = "GET", ""
        if is_post:
            method, length = "POST", f"Content-Length: {body_bytes or 2}\r\n"
        self._writer.write(
            f"{method} {path}{self.make_tail(name)} HTTP/1.1\r\n"
            f"Host: {HOST}\r\nRequest-Id: {name}\r\n"
            f"Timeout-Ms: {round(timeout_s * 1000)}\r\n{length}\r\n".encode()
            + b"{}" * (is_post and not body_bytes)
        )
        origin = self._number, self._start
        now = monotonic()
        sent = Sent(name, *origin, is_unsafe, version, timeout_s, now, now)
        self._journal.requests.append(sent)
        return sent

    def make_tail(self, name: str) -> str:
        """Return the end of the path of a request."""
        return "x"

    async def read(self, request: Sent) -> bool:
        """Read the answer; return whether the connection stays open."""
        try:
            async with asyncio.timeout(request.timeout_s + PATIENCE_S):
                answer = await read_response(self._reader)
        except (OSError, asyncio.IncompleteReadError) as exc:
            request.has_left = isinstance(exc, TimeoutError)
            return False
        except asyncio.CancelledError:
            request.has_left = True
            raise
        finally:
            request.ended_at = monotonic()
        owner = answer.headers.get("request-id", request.id)
        request.status = answer.status if answer.complete else 0
        request.is_workers = "response-stamp" in answer.headers
        if request.status >= 400 and not request.is_workers:
            reason = answer.body[:MAX_REASON_BYTES].decode(errors="replace").strip()
            request.reason = re.sub(r"\d+", "N", reason)
        if owner != request.id:
            request.mix_up = f"answer of request {owner}"
        elif request.status == 200 and not request.is_workers:
            request.mix_up = "success without a worker's stamp"
        elif request.status == 200 and answer.body != make_body(request.id):
            request.mix_up = f"{len(answer.body)} bytes"
        return answer.complete and answer.headers.get("connection") != "close"


def make_body(name: str) -> bytes:
    """Return the body that a worker gives to a request; some are large."""
    return f"{name} ".encode() * (4000 if name.endswith("7") else 10)
