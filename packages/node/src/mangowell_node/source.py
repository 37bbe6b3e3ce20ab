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
from mangowell_node.reach import AddressFilter
from mangowell_node.telemetry import Telemetry

MAX_VALUE_BYTES = 1_000_000
# HTTP headers of request and response, and TCP/IP headers.
READ_OVERHEAD_BYTES = 500
GZIP_WINDOW_BITS = 31  # zlib: largest window (15) plus gzip header (16)

SourceEvent = SourceValue | SourceUnchanged | SourceFailed


class SourceError(Exception):
    """Raised for a response of the configuration service that cannot be used."""


class SourceClient:
    """Reads and watches keys of the configuration service.

    Parameters
    ----------
    settings : NodeSettings
    telemetry : Telemetry
        Counts reads and bytes.
    reach : AddressFilter
        Decides whether the configuration service may be contacted.
    on_event : callable
        Called with the result of each read: a `SourceValue`, `SourceUnchanged` or
        `SourceFailed`.
    """

    __slots__ = (
        "_address",
        "_on_event",
        "_reach",
        "_read_tasks",
        "_session",
        "_telemetry",
        "_timeout_s",
        "_url",
        "_user_agent",
    )

    def __init__(
        self,
        settings,
        telemetry: Telemetry,
        reach: AddressFilter,
        on_event: Callable[[SourceEvent], None],
    ):
        self._url = settings.source.url.rstrip("/")
        parts = urlsplit(self._url)
        self._address = (parts.hostname or "", parts.port or 80)
        # Names the node, because the platform counts reads by reader.
        self._user_agent = f"mangowell-node/{settings.instance}"
        self._timeout_s = settings.source.timeout_ms / 1000
        self._telemetry = telemetry
        self._reach = reach
        self._on_event = on_event
        self._read_tasks: dict[str, asyncio.Task] = {}
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the client session."""
        # This class decompresses bodies itself, to count the bytes on the wire
        # and to limit the size of a decompressed body.
        self._session = aiohttp.ClientSession(
            headers={"User-Agent": self._user_agent, "Accept-Encoding": "gzip"},
            auto_decompress=False,
        )

    def read(self, request: ReadSource) -> None:
        """Start a read or watch and cancel an open one of the same key."""
        self.cancel(request.key)
        self._read_tasks[request.key] = asyncio.create_task(self._run_read(request))

    def cancel(self, key: str) -> None:
        """Cancel the open read of `key`, if any; no event follows."""
        task = self._read_tasks.pop(key, None)
        if task is not None:
            task.cancel()

    async def close(self) -> None:
        """Cancel all reads and close the session."""
        for key in list(self._read_tasks):
            self.cancel(key)
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _run_read(self, request: ReadSource) -> None:
        try:
            event = await self._fetch(request)
        except (aiohttp.ClientError, TimeoutError, OSError, SourceError) as exc:
            reason = str(exc) or type(exc).__name__
            self._telemetry.record_source_read(
                request.key, "failed", READ_OVERHEAD_BYTES
            )
            event = SourceFailed(request.key, reason)
        self._read_tasks.pop(request.key, None)
        self._on_event(event)

    async def _fetch(self, request: ReadSource) -> SourceEvent:
        self._check_reachable()
        wait_s = max(0.0, request.wait_deadline - asyncio.get_running_loop().time())
        params = {"wait_ms": str(int(wait_s * 1000))}
        if request.after:
            params["after"] = request.after
        timeout = aiohttp.ClientTimeout(
            total=wait_s + self._timeout_s, sock_connect=self._timeout_s
        )
        url = f"{self._url}/v1/values/{request.key}"
        async with self._session.get(url, params=params, timeout=timeout) as resp:
            body = await resp.content.read(MAX_VALUE_BYTES + 1)
            while len(body) <= MAX_VALUE_BYTES:
                chunk = await resp.content.read(MAX_VALUE_BYTES + 1)
                if not chunk:
                    break
                body += chunk
        # A partition that began during the watch must also suppress its response.
        self._check_reachable()
        self._telemetry.record_source_read(
            request.key, str(resp.status), len(body) + READ_OVERHEAD_BYTES
        )
        match resp.status:
            case 304:
                return SourceUnchanged(request.key)
            case 200:
                return _read_value(request.key, resp, body)
            case status:
                raise SourceError(f"status {status}")

    def _check_reachable(self) -> None:
        if not self._reach.is_allowed(*self._address):
            raise SourceError("configuration service is cut off by a partition")


def _read_value(key: str, resp: aiohttp.ClientResponse, encoded: bytes) -> SourceValue:
    body = _decompress(encoded, resp.headers.get("Content-Encoding", "identity"))
    if len(body) > MAX_VALUE_BYTES:
        raise SourceError(f"value of {key} exceeds {MAX_VALUE_BYTES} bytes")
    digest = resp.headers.get("ETag", "").strip('"')
    revision = resp.headers.get("X-Revision", "")
    if not digest or not revision.isdecimal():
        raise SourceError(f"answer for {key} has no valid ETag and X-Revision")
    wire_bytes = len(encoded) + READ_OVERHEAD_BYTES
    return SourceValue(key, body, digest, int(revision), wire_bytes)


def _decompress(encoded: bytes, content_encoding: str) -> bytes:
    match content_encoding:
        case "identity":
            return encoded
        case "gzip":
            decoder = zlib.decompressobj(GZIP_WINDOW_BITS)
            try:
                body = decoder.decompress(encoded, MAX_VALUE_BYTES + 1)
            except zlib.error as exc:
                raise SourceError(f"malformed gzip body: {exc}") from exc
            if not decoder.eof and len(body) <= MAX_VALUE_BYTES:
                raise SourceError("truncated gzip body")
            return body
        case _:
            raise SourceError(f"unknown content coding {content_encoding!r}")
