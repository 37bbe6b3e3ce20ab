"""Client of the platform's configuration service.

The protocol is plain HTTP: ``GET /v1/values/{key}`` with ``after`` and
``wait_ms`` for a watch (see ``docs/design.md``, section 4).
"""

import asyncio
import zlib
from collections.abc import Callable
from urllib.parse import urlsplit

import aiohttp

from mangowell_core.distribution.io import (
    ReadSource,
    SourceFailed,
    SourceUnchanged,
    SourceValue,
)
from mangowell_node.reach import Reach
from mangowell_node.telemetry import Telemetry

VALUE_LIMIT_BYTES = 1_000_000
# Headers of request and answer, and TCP/IP headers.
READ_OVERHEAD_BYTES = 500
GZIP_WINDOW_BITS = 31

SourceEvent = SourceValue | SourceUnchanged | SourceFailed


class SourceError(Exception):
    """An answer of the configuration service that can not be used."""


class SourceClient:
    """Reads and watches keys of the configuration service.

    Parameters
    ----------
    settings : NodeSettings
    telemetry : Telemetry
    reach : Reach
    on_event : callable
        Called with a `SourceValue`, `SourceUnchanged` or `SourceFailed`.
    """

    __slots__ = (
        "_address",
        "_agent",
        "_on_event",
        "_reach",
        "_session",
        "_tasks",
        "_telemetry",
        "_timeout_s",
        "_url",
    )

    def __init__(
        self,
        settings,
        telemetry: Telemetry,
        reach: Reach,
        on_event: Callable[[SourceEvent], None],
    ):
        self._url = settings.source.url.rstrip("/")
        parts = urlsplit(self._url)
        self._address = (parts.hostname or "", parts.port or 80)
        # The platform counts reads by reader.
        self._agent = f"mangowell-node/{settings.instance}"
        self._timeout_s = settings.source.timeout_ms / 1000
        self._telemetry = telemetry
        self._reach = reach
        self._on_event = on_event
        self._tasks: dict[str, asyncio.Task] = {}
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the client session."""
        # Bodies are decompressed here, so that the bytes on the wire can be
        # counted and a small body cannot expand without bound.
        self._session = aiohttp.ClientSession(
            headers={"User-Agent": self._agent, "Accept-Encoding": "gzip"},
            auto_decompress=False,
        )

    def read(self, request: ReadSource) -> None:
        """Start a read or watch; a read of the same key is given up."""
        self.cancel(request.key)
        self._tasks[request.key] = asyncio.create_task(self._run(request))

    def cancel(self, key: str) -> None:
        """Give up the open read of `key`, if any; no event follows."""
        task = self._tasks.pop(key, None)
        if task is not None:
            task.cancel()

    async def close(self) -> None:
        """Give up all reads and close the session."""
        for key in list(self._tasks):
            self.cancel(key)
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _run(self, request: ReadSource) -> None:
        try:
            event = await self._fetch(request)
        except (aiohttp.ClientError, TimeoutError, OSError, SourceError) as exc:
            reason = str(exc) or type(exc).__name__
            self._telemetry.count_source_read(
                request.key, "failed", READ_OVERHEAD_BYTES
            )
            event = SourceFailed(request.key, reason)
        self._tasks.pop(request.key, None)
        self._on_event(event)

    async def _fetch(self, request: ReadSource) -> SourceEvent:
        self._check_reach()
        wait_s = max(0.0, request.wait_deadline - asyncio.get_running_loop().time())
        params = {"wait_ms": str(int(wait_s * 1000))}
        if request.after:
            params["after"] = request.after
        timeout = aiohttp.ClientTimeout(
            total=wait_s + self._timeout_s, sock_connect=self._timeout_s
        )
        url = f"{self._url}/v1/values/{request.key}"
        async with self._session.get(url, params=params, timeout=timeout) as resp:
            body = await resp.content.read(VALUE_LIMIT_BYTES + 1)
            while len(body) <= VALUE_LIMIT_BYTES:
                more = await resp.content.read(VALUE_LIMIT_BYTES + 1)
                if not more:
                    break
                body += more
        # A partition that began while the watch waited hides its answer too.
        self._check_reach()
        self._telemetry.count_source_read(
            request.key, str(resp.status), len(body) + READ_OVERHEAD_BYTES
        )
        match resp.status:
            case 304:
                return SourceUnchanged(request.key)
            case 200:
                return _read_value(request.key, resp, body)
            case status:
                raise SourceError(f"status {status}")

    def _check_reach(self) -> None:
        if not self._reach.allows(*self._address):
            raise SourceError("configuration service cut off")


def _read_value(key: str, resp: aiohttp.ClientResponse, sent: bytes) -> SourceValue:
    body = _decode(sent, resp.headers.get("Content-Encoding", "identity"))
    if len(body) > VALUE_LIMIT_BYTES:
        raise SourceError(f"value of {key} exceeds {VALUE_LIMIT_BYTES} bytes")
    digest = resp.headers.get("ETag", "").strip('"')
    revision = resp.headers.get("X-Revision", "")
    if not digest or not revision.isdecimal():
        raise SourceError(f"answer for {key} lacks ETag or X-Revision")
    wire_bytes = len(sent) + READ_OVERHEAD_BYTES
    return SourceValue(key, body, digest, int(revision), wire_bytes)


def _decode(sent: bytes, coding: str) -> bytes:
    match coding:
        case "identity":
            return sent
        case "gzip":
            decoder = zlib.decompressobj(GZIP_WINDOW_BITS)
            try:
                body = decoder.decompress(sent, VALUE_LIMIT_BYTES + 1)
            except zlib.error as exc:
                raise SourceError(f"malformed gzip body: {exc}") from exc
            if not decoder.eof and len(body) <= VALUE_LIMIT_BYTES:
                raise SourceError("truncated gzip body")
            return body
        case _:
            raise SourceError(f"unknown content coding {coding!r}")
