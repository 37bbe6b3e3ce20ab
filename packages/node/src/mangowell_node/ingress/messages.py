"""Requests of callers and the replies to them."""

from collections.abc import Callable
from time import monotonic
from typing import Protocol

from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from multidict import CIMultiDictProxy, istr

from mangowell_core.policy.outcome import Stage
from mangowell_core.policy.types import Cause
from mangowell_node.exchange import (
    MAX_BUFFERED_BODY,
    AttemptError,
    Body,
    MessageFormatError,
)

# Reason phrases of replies that the node creates itself.
REASON_PHRASES = {
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    499: "Client Closed Request",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
_EXPECT = istr("Expect")
_CONTENT_LENGTH = istr("Content-Length")


class Connection(Protocol):
    """Connection on which a request has arrived."""

    peer: str
    """Host of the caller."""

    def write_continue(self, call: "IncomingCall") -> None:
        """Tell the caller to send the body that it withholds, after earlier replies."""
        ...


class Reply:
    """Reply to a request of a caller.

    Parameters
    ----------
    status : int
    reason : str
    headers : bytes
        Header lines that each end in CRLF, without framing fields.
    body : bytes
    stream : Body or None
        Streamed body, used instead of `body`.
    length : int
        Length of `stream` in bytes, or -1 if unknown; for HEAD, the length to
        state.
    """

    __slots__ = ("body", "headers", "length", "reason", "status", "stream")

    def __init__(
        self,
        status: int,
        reason: str,
        headers: bytes,
        body: bytes = b"",
        stream: Body | None = None,
        length: int = -1,
    ) -> None:
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = body
        self.stream = stream
        self.length = length


class CallerBody:
    """Streamed request body that is too large to buffer."""

    __slots__ = ("_prefix", "_reader", "length", "started")

    def __init__(self, prefix: list[bytes], reader: StreamReader, length: int) -> None:
        self._prefix = prefix
        self._reader = reader
        self.length = length
        self.started = False

    async def read(self) -> bytes:
        """Return the next chunk, or ``b""`` at the end."""
        self.started = True
        if self._prefix:
            return self._prefix.pop(0)
        try:
            return await self._reader.readany()
        except (MessageFormatError, ConnectionError, RuntimeError) as exc:
            # aiohttp raises RuntimeError if the connection is closed.
            raise AttemptError.at(
                Cause.CANCELLED, Stage.SENT, f"request body cut off: {exc}"
            ) from exc

    def close(self) -> None:
        """Do nothing: the connection discards the unread rest."""


class IncomingCall:
    """Request of a caller.

    Attributes
    ----------
    method, target : str
        `target` is the path and query as sent.
    headers : CIMultiDictProxy
    raw_headers : tuple of (bytes, bytes)
    peer : str
        Host of the caller.
    arrived_at : float
        Monotonic time of arrival in seconds.
    """

    __slots__ = (
        "_connection",
        "_content",
        "arrived_at",
        "headers",
        "is_http_1_0",
        "keep_alive",
        "method",
        "peer",
        "raw_headers",
        "target",
    )

    def __init__(
        self,
        connection: Connection,
        message: RawRequestMessage,
        content: StreamReader,
    ) -> None:
        self._connection = connection
        self._content = content
        self.method: str = message.method
        target = message.path
        if not target.startswith("/"):
            target = message.url.raw_path_qs
        self.target: str = target
        self.headers: CIMultiDictProxy[str] = message.headers
        self.raw_headers = message.raw_headers
        self.peer = connection.peer
        self.arrived_at = monotonic()
        self.keep_alive = not message.should_close and not message.upgrade
        self.is_http_1_0 = message.version < (1, 1)

    @property
    def is_body_complete(self) -> bool:
        """Whether the whole body has arrived."""
        content = self._content
        return content.is_eof() and content.total_bytes <= MAX_BUFFERED_BODY

    @property
    def _withholds_body(self) -> bool:
        # HTTP/1.0 has no interim replies.
        expected = self.headers.get(_EXPECT, "").lower()
        return expected == "100-continue" and not self.is_http_1_0

    def get_complete_body(self) -> bytes:
        """Return the body once `is_body_complete` is true."""
        return self._content.read_nowait(-1)

    async def read_body(
        self, on_size: Callable[[int], None] | None = None
    ) -> bytes | CallerBody:
        """Read the body, or only its start if it exceeds `MAX_BUFFERED_BODY`.

        Parameters
        ----------
        on_size : callable, optional
            Takes the bytes that have been read, after each part of the body.

        Raises
        ------
        MessageFormatError
            If the body is malformed or cut off.
        """
        content = self._content
        if self._withholds_body:
            self._connection.write_continue(self)
        chunks = []
        size = 0
        stated_length = int(self.headers.get(_CONTENT_LENGTH, -1))
        while stated_length <= MAX_BUFFERED_BODY and size <= MAX_BUFFERED_BODY:
            chunk = await content.readany()
            if not chunk:
                return b"".join(chunks)
            chunks.append(chunk)
            size += len(chunk)
            if on_size is not None:
                on_size(size)
        return CallerBody(chunks, content, stated_length)
