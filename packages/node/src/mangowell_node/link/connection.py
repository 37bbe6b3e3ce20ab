"""Framing, flow control and silence detection of one link."""

import asyncio
import os
from abc import ABC, abstractmethod
from collections import Counter, deque
from collections.abc import Callable
from time import monotonic

from mangowell_core import formats
from mangowell_node.delivery import count_undelivered
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
    REPEATABLE_SILENT_AFTER_S,
    SILENT_AFTER_S,
    WINDOW_BYTES,
    WINDOW_UPDATE,
    FrameType,
    LinkError,
    log,
)
from mangowell_node.link.traffic import KIND_BY_TYPE, Traffic


class BodyReceiver:
    """Receives a body from the DATA frames of one stream."""

    __slots__ = (
        "_chunks",
        "_error",
        "_link",
        "_on_close",
        "_stream_id",
        "_uncredited_bytes",
        "_unread_bytes",
        "_waiter",
        "ended",
        "length",
        "received",
    )

    def __init__(self, link: "Link", stream_id: int, length: int, on_close) -> None:
        self._link = link
        self._stream_id = stream_id
        self._on_close = on_close
        self._chunks: deque[bytes] = deque()
        self._unread_bytes = 0
        self._uncredited_bytes = 0
        self._waiter: asyncio.Future | None = None
        self._error: AttemptError | None = None
        self.ended = False
        self.length = length
        self.received = 0

    def feed(self, chunk: bytes) -> None:
        """Add a chunk that has arrived."""
        if self.ended:
            raise LinkError("data after the end of a body")
        if not chunk:
            # It would count for nothing in the window, and look like the end.
            raise LinkError("data without bytes")
        self._unread_bytes += len(chunk)
        self.received += len(chunk)
        if self._unread_bytes + self._uncredited_bytes > WINDOW_BYTES:
            raise LinkError("peer exceeds the window of a stream")
        if 0 <= self.length < self.received:
            raise LinkError("body longer than announced")
        self._chunks.append(chunk)
        self._wake()

    def feed_end(self) -> None:
        """Mark the body as complete."""
        if 0 <= self.length != self.received:
            raise LinkError("body shorter than announced")
        self.ended = True
        self._wake()

    def fail(self, error: AttemptError) -> None:
        """Make the reader raise `error`, discarding unread chunks."""
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
        self._unread_bytes -= len(chunk)
        self._uncredited_bytes += len(chunk)
        # Returning credit in halves of the window saves frames.
        if self._uncredited_bytes >= WINDOW_BYTES // 2 and not self.ended:
            returned, self._uncredited_bytes = self._uncredited_bytes, 0
            self._link.send(
                FrameType.WINDOW, self._stream_id, WINDOW_UPDATE.pack(returned)
            )
        return chunk

    def close(self) -> None:
        """Discard the rest of the body and report it to the stream."""
        self._chunks.clear()
        self._on_close()


class BodySender:
    """Sends a body in the DATA frames of one stream, within its credit."""

    __slots__ = ("_closed", "_credit", "_link", "_stream_id", "_waiter")

    def __init__(self, link: "Link", stream_id: int) -> None:
        self._link = link
        self._stream_id = stream_id
        self._credit = WINDOW_BYTES
        self._waiter: asyncio.Future | None = None
        self._closed = False

    def add_credit(self, credit: int) -> None:
        """Add `credit` bytes that the receiver has granted."""
        self._credit += credit
        if self._credit > WINDOW_BYTES:
            raise LinkError("peer grants more credit than the window of a stream")
        self._wake()

    def close(self) -> None:
        """Stop sending and end a waiting `send`."""
        self._closed = True
        self._wake()

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def send(self, body: Body) -> None:
        """Send a whole body, or return early if the stream is closed."""
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
                self._link.send(FrameType.DATA, self._stream_id, part)
                await self._link.drain()
        if not self._closed:
            self._link.send(FrameType.END, self._stream_id)


class Link(asyncio.Protocol, ABC):
    """Framing, keep-alive and handshake state common to both sides of a link.

    Parameters
    ----------
    key : bytes
        From `derive_link_key`.
    traffic : Traffic or None
        Counts the bytes that are sent.
    """

    # Kind of the frames that carry parts of bodies, see `traffic`.
    body_kind = "requests"

    def __init__(self, key: bytes, traffic: Traffic | None = None) -> None:
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.peer = ""
        self.address: tuple[str, int] = ("", 0)
        self._key = key
        self._traffic = traffic
        # Bytes sent, by kind; those of the peer's host once it is authenticated.
        self._sent_bytes: Counter[str] = Counter()
        self._buffer = bytearray()
        self._needed_bytes = 0
        self._max_frame_bytes = MAX_HANDSHAKE_FRAME
        # Start of the silence that is measured; monotonic seconds.
        self._silent_since = 0.0
        self._last_check_at = 0.0
        self._last_ping_at = 0.0
        # Bytes written, and those that the peer's TCP had acknowledged at the last
        # check.
        self._written_bytes = 0
        self._acked_bytes = 0
        # Time of the ping that has no answer yet; 0 if there is none.
        self._ping_sent_at = 0.0
        self.last_received_at = 0.0
        # Whether the link may be silent, such as after a ping without an answer.
        self.is_suspect = False
        self.on_silent: Callable[[Link], None] | None = None
        self.on_notice: Callable[[Link, bytes], None] | None = None
        # Takes the round trip of a handshake or ping, in seconds.
        self.on_round_trip: Callable[[Link, float], None] | None = None
        self._check_timer: asyncio.TimerHandle | None = None
        self._paused = False
        self._drain_waiters: list[asyncio.Future] = []
        self._nonce = os.urandom(NONCE_BYTES)
        self._handlers: dict[int, Callable[[int, bytes], None]] = {}
        self._handshake_timer: asyncio.TimerHandle | None = None
        self.close_reason = ""
        self.closed = False
        # Called without arguments after the link has closed or takes no streams.
        self.on_closed: Callable[[], None] | None = None

    # Bytes

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the handshake."""
        if self.closed:
            transport.abort()
            return
        self.transport = transport
        # None if the peer has already gone.
        self.address = (transport.get_extra_info("peername") or ("", 0))[:2]
        self._handshake_timer = self.loop.call_later(
            HANDSHAKE_TIMEOUT_S, self.close, "handshake timed out"
        )

    def data_received(self, data: bytes) -> None:
        """Handle every complete frame and buffer the rest."""
        self._silent_since = self.last_received_at = monotonic()
        if self._buffer:
            self._buffer += data
            if len(self._buffer) < self._needed_bytes:
                return
            data = bytes(self._buffer)
            self._buffer.clear()
        try:
            formats.decode(self._handle_frames, data, LinkError)
        except LinkError as exc:
            self.close(f"malformed frame: {exc}")

    def _handle_frames(self, data: bytes) -> None:
        offset = 0
        size = len(data)
        header = FRAME_HEADER.size
        while not self.closed:
            if size - offset < header:
                self._needed_bytes = header
                break
            length, frame_type, stream_id = FRAME_HEADER.unpack_from(data, offset)
            if length > self._max_frame_bytes:
                raise LinkError(f"frame of {length} bytes is too large")
            end = offset + header + length
            if end > size:
                self._needed_bytes = header + length
                break
            handler = self._handlers.get(frame_type)
            if handler is None:
                raise LinkError(f"unexpected frame of type {frame_type}")
            handler(stream_id, data[offset + header : end])
            offset = end
        if offset < size:
            self._buffer += data[offset:] if offset else data

    @property
    def incoming_bytes(self) -> int:
        """Bytes of the frame that has begun to arrive and is not complete."""
        return max(0, self._needed_bytes - len(self._buffer)) if self._buffer else 0

    def send(
        self, frame_type: int, stream_id: int = 0, payload=NO_PAYLOAD, kind: str = ""
    ) -> None:
        """Write one frame; `kind` is that of its bytes in the traffic counts."""
        if self.closed:
            return
        kind = kind or KIND_BY_TYPE.get(frame_type, self.body_kind)
        self._sent_bytes[kind] += FRAME_HEADER.size + len(payload)
        header = FRAME_HEADER.pack(len(payload), frame_type, stream_id)
        self._written_bytes += len(header) + len(payload)
        self.transport.write(b"%b%b" % (header, payload))

    def pause_writing(self) -> None:
        """Suspend `drain` while the send buffer of the transport is full."""
        self._paused = True

    def resume_writing(self) -> None:
        """Resume every waiting `drain`."""
        self._paused = False
        waiters, self._drain_waiters = self._drain_waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def drain(self) -> None:
        """Wait until the transport accepts more bytes."""
        if self._paused and not self.closed:
            waiter = self.loop.create_future()
            self._drain_waiters.append(waiter)
            await waiter

    def close(self, reason: str) -> None:
        """Abort the connection and fail every open stream."""
        if self.closed:
            return
        self.closed = True
        self.close_reason = reason
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        if self._check_timer is not None:
            self._check_timer.cancel()
            self._check_timer = None
        self._paused = True
        self.resume_writing()
        if self.transport is not None:
            self.transport.abort()
        self._fail_streams()
        if self.on_closed is not None:
            self.on_closed()
        if reason == "silent" and self.on_silent is not None:
            self.on_silent(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the link, which fails every open stream."""
        self.close("closed by the peer" if exc is None else str(exc))

    # Keep-alive

    def _start_silence_check(self) -> None:
        """Start checking the link for silence unless the check is running."""
        if self._check_timer is None and not self.closed:
            self._silent_since = self._last_check_at = monotonic()
            self._check_timer = self.loop.call_later(
                PING_INTERVAL_S, self._check_silence
            )

    def _check_silence(self) -> None:
        self._check_timer = None
        if self._is_draining():
            self._silent_since = monotonic()
        # On a silent link, all streams may have ended at short deadlines. The
        # check therefore continues until the peer has answered a ping.
        self.is_suspect = self._silent_since < self._last_ping_at
        if not (self._has_streams() or self.is_suspect):
            return
        now = monotonic()
        # After a pause of this process, bytes that have arrived may be unread, so
        # the measurement of silence starts again.
        if now - self._last_check_at > SILENT_AFTER_S:
            self._silent_since = now
        self._last_check_at = now
        if now - self._silent_since >= SILENT_AFTER_S:
            self.close("silent")
            return
        # The last check is due exactly when the silence reaches the limit. It is
        # scheduled first, so that a failure below does not end the checks.
        delay = min(PING_INTERVAL_S, self._silent_since + SILENT_AFTER_S - now)
        self._check_timer = self.loop.call_later(max(0.01, delay), self._check_silence)
        if now - self._silent_since >= REPEATABLE_SILENT_AFTER_S:
            self._report_silence()
        if now - self._silent_since >= PING_INTERVAL_S and not self.is_suspect:
            self._ping(now)

    def _is_draining(self) -> bool:
        """Return whether the peer takes bytes that wait before a ping.

        A slow link is full for seconds behind a large body. The peer answers a ping
        only once it has read what was sent before, while its TCP goes on taking bytes.
        A ping alone is acknowledged by the system of a peer that hangs, so it counts
        only while other bytes are left.
        """
        if self.transport is None:
            return False
        undelivered = count_undelivered(self.transport)
        acked_before = self._acked_bytes
        self._acked_bytes = self._written_bytes - undelivered
        return undelivered > FRAME_HEADER.size and self._acked_bytes > acked_before

    def _ping(self, now: float) -> None:
        self.send(FrameType.PING)
        self._last_ping_at = self._ping_sent_at = now

    def _on_ping(self, stream_id: int, payload: bytes) -> None:
        # A peer that does not read gets bytes in any case once it does.
        if not self._paused:
            self.send(FrameType.PONG)

    def _on_pong(self, stream_id: int, payload: bytes) -> None:
        sent_at, self._ping_sent_at = self._ping_sent_at, 0.0
        if sent_at:
            self._report_round_trip(monotonic() - sent_at)

    def _report_round_trip(self, seconds: float) -> None:
        if self.on_round_trip is not None:
            self.on_round_trip(self, seconds)

    @property
    def is_authenticated(self) -> bool:
        """Whether the peer has completed the handshake."""
        return self._handshake_timer is None

    def send_notice(self, payload: bytes, kind: str = "") -> None:
        """Send control data outside any stream.

        A notice that exceeds a frame is dropped: the peer would close the link, and
        every request on it would be lost.
        """
        if len(payload) > MAX_FRAME:
            log.warning("notice of {} bytes to {} dropped", len(payload), self.address)
            return
        self.send(FrameType.NOTICE, 0, payload, kind)

    def _on_notice(self, stream_id: int, payload: bytes) -> None:
        if self.on_notice is not None:
            self.on_notice(self, payload)

    def _end_handshake(self) -> None:
        self._max_frame_bytes = MAX_FRAME
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
            self._handshake_timer = None
        if self._traffic is not None:
            # Only now, so that others that connect fill no table.
            counts = self._traffic.get_counts(self.address[0])
            counts.update(self._sent_bytes)
            self._sent_bytes = counts

    def _report_silence(self) -> None:
        """Report the silence to repeatable requests; a no-op at the server side."""

    @abstractmethod
    def _has_streams(self) -> bool:
        """Return whether any stream is open."""

    @abstractmethod
    def _fail_streams(self) -> None:
        """Fail every open stream after the link has closed."""
