"""Stand-in for the platform's configuration service.

Implements the protocol of section 4 of the design page. One service may listen
at several sites, one for each failure domain. When a domain is cut off, its
site closes, so that open watches break and new connections are refused.
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

RATE_WINDOW_S = 1.0
# Upper bound on the wait of a watch, whatever the reader asks for.
MAX_WATCH_S = 60.0


class SourceFault(Enum):
    """Fault that the service injects into its answers.

    ``DOWN`` answers 503. ``STALE`` answers the value before the newest one.
    ``FLAPPING`` alternates between the newest value and the one before it.
    ``SLOW`` delays each answer. ``CROSSED`` answers a read of one key with the
    value of another.
    """

    NONE = "none"
    DOWN = "down"
    STALE = "stale"
    FLAPPING = "flapping"
    SLOW = "slow"
    CROSSED = "crossed"


@dataclass(slots=True, frozen=True)
class PublishedValue:
    """One published value of a key; `compressed_body` is its body under gzip."""

    body: bytes
    compressed_body: bytes
    digest: str
    revision: int


@dataclass(slots=True)
class ReadCounts:
    """Counts of the reads that the service received.

    Parameters
    ----------
    by_kind : Counter
        Calls by ``read`` or ``watch``; each call is counted once, on arrival.
    by_reader : Counter
        Calls by ``(site, reader)``, where the reader is the User-Agent without
        its product name.
    bytes_by_reader : Counter
        Bytes of the answered bodies by ``(site, reader)``.
    by_key : Counter
        Calls by key.
    by_status : Counter
        Answers by HTTP status.
    peak_load : int
        Highest sum of the calls in the last second and the waiting watches.
    """

    by_kind: Counter = field(default_factory=Counter)
    by_reader: Counter = field(default_factory=Counter)
    bytes_by_reader: Counter = field(default_factory=Counter)
    by_key: Counter = field(default_factory=Counter)
    by_status: Counter = field(default_factory=Counter)
    peak_load: int = 0

    @property
    def total(self) -> int:
        """Number of calls of every kind."""
        return sum(self.by_kind.values())


class RateLimit:
    """Limits the sum of the calls in the last second and the waiting watches.

    Parameters
    ----------
    reads_per_second : int
        Load at which further calls are rejected.
    """

    __slots__ = ("_arrivals", "reads_per_second", "waiting")

    def __init__(self, reads_per_second: int):
        self.reads_per_second = reads_per_second
        self.waiting = 0
        self._arrivals: deque[float] = deque()

    def compute_load(self, now: float) -> int:
        """Return the calls in the last second plus the waiting watches."""
        while self._arrivals and self._arrivals[0] <= now - RATE_WINDOW_S:
            self._arrivals.popleft()
        return len(self._arrivals) + self.waiting

    def admit(self, now: float) -> bool:
        """Return whether a call is within the limit, and count it if so.

        A rejected call does not count against the limit, so that readers that
        back off are admitted again.
        """
        if self.compute_load(now) >= self.reads_per_second:
            return False
        self._arrivals.append(now)
        return True


class ConfigService:
    """Read-only key-value service with long-polling watches.

    Parameters
    ----------
    reads_per_second : int
        Load at which calls are answered with 429.
    rng : random.Random or None
        Source of the jitter of slow answers.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    slow_s : float
        Mean delay of an answer under ``SourceFault.SLOW``, in seconds.
    published_at : dict
        Unix time of publication by ``(key, digest)``.
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
        self._history: dict[str, list[PublishedValue]] = {}
        self._changed = asyncio.Event()
        self._answers_previous = False
        self._sites: dict[str, _Site] = {}

    def publish(self, key: str, body: str | bytes) -> PublishedValue:
        """Make `body` the newest value of `key` and wake the watches."""
        encoded = body.encode() if isinstance(body, str) else body
        history = self._history.setdefault(key, [])
        digest = hashlib.sha256(encoded).hexdigest()
        value = PublishedValue(
            encoded, gzip.compress(encoded, mtime=0), digest, len(history) + 1
        )
        history.append(value)
        self.published_at[key, value.digest] = time.time()
        self._notify_watches()
        return value

    def set_fault(self, fault: SourceFault, slow_s: float = 1.0) -> None:
        """Switch to `fault` and make the waiting watches check it at once."""
        self.fault = fault
        self.slow_s = slow_s
        self._notify_watches()

    def get_newest(self, key: str) -> PublishedValue | None:
        """Return the newest value of `key`, ignoring the injected fault."""
        history = self._history.get(key)
        return history[-1] if history else None

    def reset_counts(self) -> ReadCounts:
        """Reset the counts and return those up to now."""
        counts, self.counts = self.counts, ReadCounts()
        return counts

    async def listen(self, site: str = "platform", host: str = "127.0.0.1") -> str:
        """Open a site and return its base URL."""
        new_site = _Site(self, site, host)
        await new_site.open()
        self._sites[site] = new_site
        return f"http://{host}:{new_site.port}"

    async def cut(self, site: str) -> None:
        """Abort the connections of a site and refuse new ones."""
        await self._sites[site].close()

    async def join(self, site: str) -> None:
        """Reopen a site at the port that it had before."""
        await self._sites[site].open()

    async def stop(self) -> None:
        """Close all sites."""
        for site in self._sites.values():
            await site.close()

    def _notify_watches(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _select_value(self, key: str) -> PublishedValue | None:
        """Return the value that a read of `key` gets under the current fault."""
        if self.fault is SourceFault.CROSSED:
            other_keys = sorted(name for name in self._history if name != key)
            key = other_keys[0] if other_keys else key
        history = self._history.get(key)
        if not history:
            return None
        previous = history[-2] if len(history) > 1 else history[-1]
        if self.fault is SourceFault.STALE:
            return previous
        if self.fault is SourceFault.FLAPPING:
            self._answers_previous = not self._answers_previous
            return previous if self._answers_previous else history[-1]
        return history[-1]

    async def _handle_request(
        self, site: str, request: web.BaseRequest
    ) -> web.Response:
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
        wait_s = min(int(wait_text) / 1000.0, MAX_WATCH_S)
        now = self._clock()
        self.counts.by_kind["watch" if wait_s > 0 else "read"] += 1
        self.counts.by_key[key] += 1
        self.counts.by_reader[site, reader] += 1
        if not self.limit.admit(now):
            return web.Response(status=429, headers={"Retry-After": "1"})
        self.counts.peak_load = max(self.counts.peak_load, self.limit.compute_load(now))
        if self.fault is SourceFault.SLOW:
            await asyncio.sleep(self.slow_s * self._rng.uniform(0.5, 1.5))
        accepts_gzip = "gzip" in request.headers.get("Accept-Encoding", "")
        return await self._await_value(key, after, now + wait_s, accepts_gzip)

    async def _await_value(
        self, key: str, after: str, wait_deadline: float, accepts_gzip: bool
    ) -> web.Response:
        """Answer with a value whose digest is not `after`, or 304 at the deadline."""
        while True:
            if self.fault is SourceFault.DOWN:
                return web.Response(status=503)
            value = self._select_value(key)
            if value is None:
                return web.Response(status=404)
            if value.digest != after:
                headers = {
                    "ETag": f'"{value.digest}"',
                    "X-Revision": str(value.revision),
                }
                if accepts_gzip:
                    headers["Content-Encoding"] = "gzip"
                body = value.compressed_body if accepts_gzip else value.body
                return web.Response(body=body, headers=headers)
            remaining_s = wait_deadline - self._clock()
            if remaining_s <= 0:
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
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                pass
            finally:
                self.limit.waiting -= 1


class _Site:
    """Listening socket of a `ConfigService`, with the connections made to it."""

    def __init__(self, service: ConfigService, name: str, host: str):
        self.name = name
        self.host = host
        self.port = 0
        self._service = service
        self._http: web.Server | None = None
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen; later calls reuse the port of the first one."""
        if self._server is not None:
            return

        async def handle(request: web.BaseRequest) -> web.Response:
            return await self._service._handle_request(self.name, request)

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
