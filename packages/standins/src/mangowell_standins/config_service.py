"""Stand-in for the platform's configuration service.

Speaks the protocol of section 4 of the design page. One service may listen at
several sites, one for each failure domain, so that a cut domain loses its
open watches as well as its new connections.
"""

import asyncio
import gzip
import hashlib
import random
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from aiohttp import web

READ_WINDOW_S = 1.0
# A watch is never held longer than this, whatever the reader asks for.
MAX_WAIT_S = 60.0


class SourceFault(Enum):
    """Misbehaviour that the service can be switched to.

    ``DOWN`` answers 503. ``STALE`` answers the value before the newest one.
    ``FLAPPING`` answers the newest and the one before in turn. ``SLOW``
    delays each answer. ``CROSSED`` answers a read of one key with the value
    of another.
    """

    NONE = "none"
    DOWN = "down"
    STALE = "stale"
    FLAPPING = "flapping"
    SLOW = "slow"
    CROSSED = "crossed"


@dataclass(slots=True, frozen=True)
class Value:
    """One published value of a key; `packed` is its body under gzip."""

    body: bytes
    packed: bytes
    digest: str
    revision: int


@dataclass(slots=True)
class ReadCounts:
    """Reads by what they were and who made them.

    Parameters
    ----------
    by_kind : Counter
        By ``read`` or ``watch``; each call is counted once, on arrival.
    by_reader : Counter
        By ``(site, reader)``, where the reader is the User-Agent without its
        product name.
    bytes_by_reader : Counter
        Bytes of the values answered, by ``(site, reader)``.
    by_key : Counter
    by_status : Counter
        By HTTP status of the answer.
    peak_load : int
        Most calls in any second, waiting watches added.
    """

    by_kind: Counter = field(default_factory=Counter)
    by_reader: Counter = field(default_factory=Counter)
    bytes_by_reader: Counter = field(default_factory=Counter)
    by_key: Counter = field(default_factory=Counter)
    by_status: Counter = field(default_factory=Counter)
    peak_load: int = 0

    @property
    def total(self) -> int:
        """Calls of every kind."""
        return sum(self.by_kind.values())


class RateLimit:
    """Calls of the last second and waiting watches against one limit.

    Parameters
    ----------
    reads_per_second : int
    """

    __slots__ = ("_arrivals", "reads_per_second", "waiting")

    def __init__(self, reads_per_second: int):
        self.reads_per_second = reads_per_second
        self.waiting = 0
        self._arrivals: deque[float] = deque()

    def load(self, now: float) -> int:
        """Return calls in the last second plus waiting watches."""
        while self._arrivals and self._arrivals[0] <= now - READ_WINDOW_S:
            self._arrivals.popleft()
        return len(self._arrivals) + self.waiting

    def admit(self, now: float) -> bool:
        """Count a call; return whether it is within the limit.

        A rejected call is not counted against the limit, so that readers
        that back off get through again.
        """
        if self.load(now) >= self.reads_per_second:
            return False
        self._arrivals.append(now)
        return True


class ConfigService:
    """Read-only key-value service with long watches.

    Parameters
    ----------
    reads_per_second : int
        Above this, calls are answered with 429.
    rng : random.Random or None
        For the jitter of slow answers.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        reads_per_second: int = 2000,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.limit = RateLimit(reads_per_second)
        self.counts = ReadCounts()
        self.fault = SourceFault.NONE
        self.slow_s = 1.0
        self.published_at: dict[tuple[str, str], float] = {}
        self._rng = rng or random.Random(0)
        self._clock = clock
        self._history: dict[str, list[Value]] = {}
        self._changed = asyncio.Event()
        self._flap = False
        self._sites: dict[str, _Site] = {}

    def publish(self, key: str, body: str | bytes) -> Value:
        """Make `body` the newest value of `key` and wake the watches."""
        data = body.encode() if isinstance(body, str) else body
        history = self._history.setdefault(key, [])
        digest = hashlib.sha256(data).hexdigest()
        value = Value(data, gzip.compress(data, mtime=0), digest, len(history) + 1)
        history.append(value)
        self.published_at[key, value.digest] = time.time()
        self._wake()
        return value

    def set_fault(self, fault: SourceFault, slow_s: float = 1.0) -> None:
        """Switch to `fault`; waiting watches see it at once."""
        self.fault = fault
        self.slow_s = slow_s
        self._wake()

    def newest(self, key: str) -> Value | None:
        """Return the newest value whatever the fault."""
        history = self._history.get(key)
        return history[-1] if history else None

    def reset_counts(self) -> ReadCounts:
        """Start counting anew; return the counts so far."""
        counts, self.counts = self.counts, ReadCounts()
        return counts

    async def listen(self, site: str = "platform", host: str = "127.0.0.1") -> str:
        """Open a site and return its base URL."""
        opened = _Site(self, site, host)
        await opened.open()
        self._sites[site] = opened
        return f"http://{host}:{opened.port}"

    async def cut(self, site: str) -> None:
        """Close a site's connections and refuse new ones."""
        await self._sites[site].close()

    async def join(self, site: str) -> None:
        """Open a site again at its old port."""
        await self._sites[site].open()

    async def stop(self) -> None:
        """Close all sites."""
        for site in self._sites.values():
            await site.close()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _answered(self, key: str) -> Value | None:
        """Return what a read of `key` gets under the present fault."""
        if self.fault is SourceFault.CROSSED:
            others = sorted(name for name in self._history if name != key)
            key = others[0] if others else key
        history = self._history.get(key)
        if not history:
            return None
        old = history[-2] if len(history) > 1 else history[-1]
        if self.fault is SourceFault.STALE:
            return old
        if self.fault is SourceFault.FLAPPING:
            self._flap = not self._flap
            return old if self._flap else history[-1]
        return history[-1]

    async def _handle(self, site: str, request: web.BaseRequest) -> web.Response:
        reader = request.headers.get("User-Agent", "").rpartition("/")[2]
        response = await self._respond(site, reader, request)
        self.counts.bytes_by_reader[site, reader] += len(response.body or b"")
        self.counts.by_status[response.status] += 1
        return response

    async def _respond(
        self, site: str, reader: str, request: web.BaseRequest
    ) -> web.Response:
        prefix = "/v1/values/"
        if request.method != "GET" or not request.path.startswith(prefix):
            return web.Response(status=404)
        key = request.path.removeprefix(prefix)
        after = request.query.get("after", "")
        wait_text = request.query.get("wait_ms", "0")
        if not wait_text.isdigit():
            return web.Response(status=400)
        wait_s = min(int(wait_text) / 1000.0, MAX_WAIT_S)
        now = self._clock()
        self.counts.by_kind["watch" if wait_s > 0 else "read"] += 1
        self.counts.by_key[key] += 1
        self.counts.by_reader[site, reader] += 1
        if not self.limit.admit(now):
            return web.Response(status=429, headers={"Retry-After": "1"})
        self.counts.peak_load = max(self.counts.peak_load, self.limit.load(now))
        if self.fault is SourceFault.SLOW:
            await asyncio.sleep(self.slow_s * self._rng.uniform(0.5, 1.5))
        packed = "gzip" in request.headers.get("Accept-Encoding", "")
        return await self._await_value(key, after, now + wait_s, packed)

    async def _await_value(
        self, key: str, after: str, wait_deadline: float, packed: bool
    ) -> web.Response:
        while True:
            if self.fault is SourceFault.DOWN:
                return web.Response(status=503)
            value = self._answered(key)
            if value is None:
                return web.Response(status=404)
            if value.digest != after:
                headers = {
                    "ETag": f'"{value.digest}"',
                    "X-Revision": str(value.revision),
                }
                if packed:
                    headers["Content-Encoding"] = "gzip"
                body = value.packed if packed else value.body
                return web.Response(body=body, headers=headers)
            left = wait_deadline - self._clock()
            if left <= 0:
                return web.Response(
                    status=304,
                    headers={
                        "ETag": f'"{value.digest}"',
                        "X-Revision": str(value.revision),
                    },
                )
            changed = self._changed
            self.limit.waiting += 1
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass
            finally:
                self.limit.waiting -= 1


class _Site:
    """One listening address of a `ConfigService`."""

    def __init__(self, service: ConfigService, name: str, host: str):
        self.name = name
        self.host = host
        self.port = 0
        self._service = service
        self._http: web.Server | None = None
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen; keeps the port of the first call."""
        if self._server is not None:
            return

        async def handle(request: web.BaseRequest) -> web.Response:
            return await self._service._handle(self.name, request)

        self._http = web.Server(handle, handler_cancellation=True, access_log=None)
        self._server = await asyncio.get_running_loop().create_server(
            self._http, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and abort open connections."""
        if self._server is None:
            return
        self._server.close()
        for conn in list(self._http.connections):
            if conn.transport is not None:
                conn.transport.abort()
        await self._http.shutdown(0.1)
        self._server = None
