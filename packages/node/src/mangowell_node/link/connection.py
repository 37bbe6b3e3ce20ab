"""One link: frames in and out, flow control, and detection of silence."""

import asyncio
import os
import struct
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from time import monotonic

import msgspec

from mangowell_node.exchange import (
    AttemptError,
    Body,
)
from mangowell_node.link.frames import (
    CHUNK_BYTES,
    FRAME_HEADER,
    HANDSHAKE_TIMEOUT_S,
    MAX_FRAME,
    MAX_HANDSHAKE_FRAME,
    NO_PAYLOAD,
    NONCE_BYTES,
    PING_INTERVAL_S,
    REPEAT_AFTER_S,
    SILENT_AFTER_S,
    WINDOW_BYTES,
    WINDOW_UPDATE,
    FrameType,
    LinkError,
)


class Inflow:
    """Body that arrives in DATA frames."""

    __slots__ = (
        "_chunks",
        "_error",
        "_link",
        "_on_close",
        "_stream",
        "_taken",
        "_unread",
        "_waiter",
        "ended",
        "length",
        "received",
    )

    def __init__(self, link: "Link", stream: int, length: int, on_close) -> None:
        self._link = link
        self._stream = stream
        self._on_close = on_close
        self._chunks: deque[bytes] = deque()
        self._unread = 0
        self._taken = 0
        self._waiter: asyncio.Future | None = None
        self._error: AttemptError | None = None
        self.ended = False
        self.length = length
        self.received = 0

    def feed(self, chunk: bytes) -> None:
        """Take a chunk that has arrived."""
        if self.ended:
            raise LinkError("data after the end of a body")
        self._unread += len(chunk)
        self.received += len(chunk)
        if self._unread + self._taken > WINDOW_BYTES:
            raise LinkError("peer ignores the window of a stream")
        if 0 <= self.length < self.received:
            raise LinkError("body longer than announced")
        self._chunks.append(chunk)
        self._wake()

    def feed_end(self) -> None:
        """Take the end of the body."""
        if 0 <= self.length != self.received:
            raise LinkError("body shorter than announced")
        self.ended = True
        self._wake()

    def fail(self, error: AttemptError) -> None:
        """Let the reader fail with `error`."""
        if not self.ended and self._error is None:
            self._error = error
            self._chunks.clear()
            self._wake()

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def read(self) -> bytes:
        """Return the next chunk, or ``b""`` at the end."""
        while not self._chunks:
            if self._error is not None:
                raise self._error
            if self.ended:
                return b""
            self._waiter = self._link.loop.create_future()
            await self._waiter
        chunk = self._chunks.popleft()
        self._unread -= len(chunk)
        self._taken += len(chunk)
        # Credit is returned in halves of the window to save frames.
        if self._taken >= WINDOW_BYTES // 2 and not self.ended:
            taken, self._taken = self._taken, 0
            self._link.send(FrameType.WINDOW, self._stream, WINDOW_UPDATE.pack(taken))
        return chunk

    def close(self) -> None:
        """Give up the rest of the body."""
        self._chunks.clear()
        self._on_close()


class Outflow:
    """Credit for DATA frames of one stream."""

    __slots__ = ("_closed", "_credit", "_link", "_stream", "_waiter")

    def __init__(self, link: "Link", stream: int) -> None:
        self._link = link
        self._stream = stream
        self._credit = WINDOW_BYTES
        self._waiter: asyncio.Future | None = None
        self._closed = False

    def grant(self, credit: int) -> None:
        """Take credit that the receiver has granted, in bytes."""
        self._credit += credit
        if self._credit > WINDOW_BYTES:
            raise LinkError("peer grants more than the window of a stream")
        self._wake()

    def close(self) -> None:
        """Stop sending; a waiting writer ends."""
        self._closed = True
        self._wake()

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def send(self, body: Body) -> None:
        """Send a whole body; returns early if the stream is closed."""
        while chunk := await body.read():
            view = memoryview(chunk)
            while view:
                while not self._credit:
                    if self._closed:
                        return
                    self._waiter = self._link.loop.create_future()
                    await self._waiter
                if self._closed:
                    return
                part = view[: min(CHUNK_BYTES, self._credit)]
                view = view[len(part) :]
                self._credit -= len(part)
                self._link.send(FrameType.DATA, self._stream, part)
                await self._link.drain()
        if not self._closed:
            self._link.send(FrameType.END, self._stream)


class Link(asyncio.Protocol, ABC):
    """Framing, keep-alive and handshake state that both ends share."""

    def __init__(self, key: bytes) -> None:
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.peer = ""
        self.address: tuple[str, int] = ("", 0)
        self._key = key
        self._buffer = bytearray()
        self._needed = 0
        self._max_frame = MAX_HANDSHAKE_FRAME
        self._received_at = 0.0
        self._checked_at = 0.0
        self._pinged_at = 0.0
        self.heard_at = 0.0
        # A ping has gone without an answer.
        self.is_doubtful = False
        self.on_silent: Callable[[Link], None] | None = None
        self.on_notice: Callable[[Link, bytes], None] | None = None
        self._check: asyncio.TimerHandle | None = None
        self._paused = False
        self._drain_waiters: list[asyncio.Future] = []
        self._nonce = os.urandom(NONCE_BYTES)
        self._handlers: dict[int, Callable[[int, bytes], None]] = {}
        self._handshake_timer: asyncio.TimerHandle | None = None
        self.close_reason = ""
        self.closed = False

    # Bytes

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the handshake."""
        if self.closed:
            transport.abort()
            return
        self.transport = transport
        self.address = transport.get_extra_info("peername")[:2]
        self._handshake_timer = self.loop.call_later(
            HANDSHAKE_TIMEOUT_S, self.close, "handshake takes too long"
        )

    def data_received(self, data: bytes) -> None:
        """Take bytes and handle each whole frame."""
        self._received_at = self.heard_at = monotonic()
        if self._buffer:
            self._buffer += data
            if len(self._buffer) < self._needed:
                return
            data = bytes(self._buffer)
            self._buffer.clear()
        offset = 0
        size = len(data)
        header = FRAME_HEADER.size
        try:
            while not self.closed:
                if size - offset < header:
                    self._needed = header
                    break
                length, kind, stream = FRAME_HEADER.unpack_from(data, offset)
                if length > self._max_frame:
                    raise LinkError(f"frame of {length} bytes")
                end = offset + header + length
                if end > size:
                    self._needed = header + length
                    break
                handler = self._handlers.get(kind)
                if handler is None:
                    raise LinkError(f"frame of type {kind}")
                handler(stream, data[offset + header : end])
                offset = end
        except (LinkError, msgspec.DecodeError, struct.error, ValueError) as exc:
            self.close(f"malformed frame: {exc}")
            return
        if offset < size:
            self._buffer += data[offset:] if offset else data

    def send(self, kind: int, stream: int = 0, payload=NO_PAYLOAD) -> None:
        """Write one frame."""
        if self.closed:
            return
        head = FRAME_HEADER.pack(len(payload), kind, stream)
        self.transport.write(b"%b%b" % (head, payload))

    def pause_writing(self) -> None:
        """Hold writers back while the transport is full."""
        self._paused = True

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._paused = False
        waiters, self._drain_waiters = self._drain_waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def drain(self) -> None:
        """Wait until the transport takes more bytes."""
        if self._paused and not self.closed:
            waiter = self.loop.create_future()
            self._drain_waiters.append(waiter)
            await waiter

    def close(self, reason: str) -> None:
        """Close at once; what is open on the link fails."""
        if self.closed:
            return
        self.closed = True
        self.close_reason = reason
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        if self._check is not None:
            self._check.cancel()
            self._check = None
        self._paused = True
        self.resume_writing()
        if self.transport is not None:
            self.transport.abort()
        self._fail_streams()
        if reason == "silent" and self.on_silent is not None:
            self.on_silent(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what is open on the link."""
        self.close("closed by the peer" if exc is None else str(exc))

    # Keep-alive

    def _watch(self) -> None:
        """Check the link for silence while streams are open."""
        if self._check is None and not self.closed:
            self._received_at = self._checked_at = monotonic()
            self._check = self.loop.call_later(PING_INTERVAL_S, self._check_silence)

    def _check_silence(self) -> None:
        self._check = None
        # Streams with short deadlines may all have ended on a silent link, so
        # the check goes on until the peer has answered a ping.
        self.is_doubtful = self._received_at < self._pinged_at
        if not (self._has_streams() or self.is_doubtful):
            return
        now = monotonic()
        # After a pause of this process, what has arrived is not read yet.
        if now - self._checked_at > SILENT_AFTER_S:
            self._received_at = now
        self._checked_at = now
        if now - self._received_at >= SILENT_AFTER_S:
            self.close("silent")
            return
        if now - self._received_at >= REPEAT_AFTER_S:
            self._give_up_repeatable()
        if now - self._received_at >= PING_INTERVAL_S and not self.is_doubtful:
            self.send(FrameType.PING)
            self._pinged_at = now
        # The last check falls on the limit itself.
        delay = min(PING_INTERVAL_S, self._received_at + SILENT_AFTER_S - now)
        self._check = self.loop.call_later(max(0.01, delay), self._check_silence)

    def _on_ping(self, stream: int, payload: bytes) -> None:
        self.send(FrameType.PONG)

    def _on_pong(self, stream: int, payload: bytes) -> None:
        pass

    @property
    def peer_is_known(self) -> bool:
        """Whether the handshake is over."""
        return self._handshake_timer is None

    def send_notice(self, payload: bytes) -> None:
        """Send control data that belongs to no stream."""
        self.send(FrameType.NOTICE, 0, payload)

    def _on_notice(self, stream: int, payload: bytes) -> None:
        if self.on_notice is not None:
            self.on_notice(self, payload)

    def _end_handshake(self) -> None:
        self._max_frame = MAX_FRAME
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
            self._handshake_timer = None

    def _give_up_repeatable(self) -> None:
        """End requests that may be tried another way; only at their sender."""

    @abstractmethod
    def _has_streams(self) -> bool:
        """Return whether requests are open."""

    @abstractmethod
    def _fail_streams(self) -> None:
        """End every open request after the link has closed."""
