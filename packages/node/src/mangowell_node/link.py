"""Multiplexed connections between nodes on the request path.

A frame is a 9-byte header (payload length, type, stream id) and a payload. The
node that opens a link starts its streams, one per request; ids rise from 1 and
are never used again on that connection, so a late frame of a cancelled request
cannot be taken for part of another one.
"""

import asyncio
import contextlib
import hashlib
import hmac
import os
import struct
from collections import deque
from collections.abc import Awaitable, Callable
from enum import IntEnum
from time import monotonic

import logbook
import msgspec

from mangowell_core.events import Event, EventCode
from mangowell_core.policy.deadlines import find_remaining_ms
from mangowell_core.policy.outcome import Stage
from mangowell_core.policy.types import Cause
from mangowell_node.exchange import (
    MAX_BUFFERED_BODY,
    MAX_HEADER_BLOCK,
    Answer,
    AnswerHead,
    AttemptError,
    Body,
    RequestHead,
    make_failed_head,
    read_failed_head,
)
from mangowell_node.reach import Reach

MAGIC = b"mangowell-link-1"
NONCE_BYTES = 32
PING_INTERVAL_S = 0.5
SILENT_AFTER_S = 1.5
CONNECT_TIMEOUT_S = 1.0
HANDSHAKE_TIMEOUT_S = 2.0
IDLE_CLOSE_S = 60.0
WINDOW_BYTES = 262_144  # unread body bytes of one stream that a node holds
CHUNK_BYTES = 65_536
# A head carries headers and a whole body; the rest is room for its other fields.
MAX_FRAME = MAX_BUFFERED_BODY + MAX_HEADER_BLOCK + 32_768
MAX_HANDSHAKE_FRAME = 512
MAX_STREAM = 2**32 - 1
MAX_STREAMS = 4096  # open at once on one link

_FRAME = struct.Struct(">IBI")
_WINDOW = struct.Struct(">I")


class FrameType(IntEnum):
    """Type of a frame."""

    HELLO = 1
    AUTHENTICATE = 2
    WELCOME = 3
    REQUEST = 4
    ANSWER = 5
    DATA = 6
    END = 7
    WINDOW = 8
    CANCEL = 9
    RESET = 10
    PING = 11
    PONG = 12
    GOAWAY = 13


_REQUEST = int(FrameType.REQUEST)
_ANSWER = int(FrameType.ANSWER)
_NO_PAYLOAD = b""

_log = logbook.Logger(__name__)
_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(RequestHead)
_answer_decoder = msgspec.msgpack.Decoder(AnswerHead)


class LinkError(Exception):
    """Bytes or frames that break the protocol; the link is closed."""


class LinkAuthenticationError(LinkError):
    """The peer does not hold the fleet's secret."""


def derive_link_key(secret: str) -> bytes:
    """Derive the key of the request links from the fleet's secret."""
    return hmac.digest(secret.encode(), b"mangowell request link", hashlib.sha256)


def _prove(key: bytes, role: bytes, first: bytes, second: bytes, name: bytes) -> bytes:
    return hmac.digest(key, role + first + second + name, hashlib.sha256)


class _Inflow:
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

    def __init__(self, link: "_Link", stream: int, length: int, on_close) -> None:
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
        if 0 <= self.length != self.received:
            raise LinkError("body shorter than announced")
        self.ended = True
        self._wake()

    def fail(self, error: AttemptError) -> None:
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
            self._link.send(FrameType.WINDOW, self._stream, _WINDOW.pack(taken))
        return chunk

    def close(self) -> None:
        """Give up the rest of the body."""
        self._chunks.clear()
        self._on_close()


class _Outflow:
    """Credit for DATA frames of one stream."""

    __slots__ = ("_closed", "_credit", "_link", "_stream", "_waiter")

    def __init__(self, link: "_Link", stream: int) -> None:
        self._link = link
        self._stream = stream
        self._credit = WINDOW_BYTES
        self._waiter: asyncio.Future | None = None
        self._closed = False

    def grant(self, credit: int) -> None:
        self._credit += credit
        if self._credit > WINDOW_BYTES:
            raise LinkError("peer grants more than the window of a stream")
        self._wake()

    def close(self) -> None:
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


class _Link(asyncio.Protocol):
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
        # A ping has gone without an answer for PING_INTERVAL_S.
        self.is_doubtful = False
        self.on_silent: Callable[[_Link], None] | None = None
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
        if self.closed:
            transport.abort()
            return
        self.transport = transport
        self.address = transport.get_extra_info("peername")[:2]
        self._handshake_timer = self.loop.call_later(
            HANDSHAKE_TIMEOUT_S, self.close, "handshake takes too long"
        )

    def data_received(self, data: bytes) -> None:
        self._received_at = self.heard_at = monotonic()
        if self._buffer:
            self._buffer += data
            if len(self._buffer) < self._needed:
                return
            data = bytes(self._buffer)
            self._buffer.clear()
        offset = 0
        size = len(data)
        header = _FRAME.size
        try:
            while not self.closed:
                if size - offset < header:
                    self._needed = header
                    break
                length, kind, stream = _FRAME.unpack_from(data, offset)
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

    def send(self, kind: int, stream: int = 0, payload=_NO_PAYLOAD) -> None:
        """Write one frame."""
        if self.closed:
            return
        head = _FRAME.pack(len(payload), kind, stream)
        self.transport.write(b"%b%b" % (head, payload))

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
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
        self.send(FrameType.PING)
        self._pinged_at = now
        # The last check falls on the limit itself.
        delay = min(PING_INTERVAL_S, self._received_at + SILENT_AFTER_S - now)
        self._check = self.loop.call_later(max(0.01, delay), self._check_silence)

    def _on_ping(self, stream: int, payload: bytes) -> None:
        self.send(FrameType.PONG)

    def _on_pong(self, stream: int, payload: bytes) -> None:
        pass

    def _end_handshake(self) -> None:
        self._max_frame = MAX_FRAME
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
            self._handshake_timer = None

    def _has_streams(self) -> bool:
        raise NotImplementedError

    def _fail_streams(self) -> None:
        raise NotImplementedError


class _ClientStream:
    """One request on a link, at the node that sends it."""

    __slots__ = ("answer", "deadline", "id", "inflow", "link", "outflow", "timer")

    def __init__(self, link: "ClientLink", stream: int) -> None:
        self.link = link
        self.id = stream
        self.answer: asyncio.Future = link.loop.create_future()
        self.inflow: _Inflow | None = None
        self.outflow: _Outflow | None = None
        self.timer: asyncio.TimerHandle | None = None

    def cancel(self) -> None:
        """Stop the request at the other node."""
        if self.link.forget(self):
            self.link.send(FrameType.CANCEL, self.id)

    def expire(self) -> None:
        self.cancel()
        self.fail(AttemptError.at(Cause.DEADLINE, Stage.SENT, "deadline passed"))

    def fail(self, error: AttemptError) -> None:
        self.link.forget(self)
        if not self.answer.done():
            self.answer.set_exception(error)
        elif self.inflow is not None:
            self.inflow.fail(error)


class ClientLink(_Link):
    """Link to another node, at the side that opened it."""

    def __init__(self, key: bytes, name: str) -> None:
        super().__init__(key)
        self._name = name.encode()
        self._server_nonce = b""
        self._streams: dict[int, _ClientStream] = {}
        self._last_stream = 0
        self.ready: asyncio.Future = self.loop.create_future()
        self.leaving = False
        self.used_at = monotonic()
        self._handlers = {FrameType.HELLO: self._on_hello}

    @property
    def is_usable(self) -> bool:
        """Whether new streams may be opened."""
        return (
            not (self.closed or self.leaving or self.is_doubtful)
            and self._last_stream < MAX_STREAM
        )

    @property
    def is_idle(self) -> bool:
        """Whether no stream is open."""
        return not self._streams

    def abandon(self, reason: str) -> None:
        """Close a link that nobody waits for any more."""
        self.close(reason)
        if self.ready.done() and not self.ready.cancelled():
            self.ready.exception()

    def _on_hello(self, stream: int, payload: bytes) -> None:
        magic, nonce = payload[: len(MAGIC)], payload[len(MAGIC) :]
        if magic != MAGIC or len(nonce) != NONCE_BYTES:
            raise LinkError("peer speaks another protocol")
        self._server_nonce = nonce
        proof = _prove(self._key, b"client", nonce, self._nonce, self._name)
        self.send(FrameType.AUTHENTICATE, 0, self._nonce + proof + self._name)
        self._handlers = {FrameType.WELCOME: self._on_welcome}

    def _on_welcome(self, stream: int, payload: bytes) -> None:
        proof = _prove(self._key, b"server", self._nonce, self._server_nonce, b"")
        if not hmac.compare_digest(proof, payload):
            raise LinkAuthenticationError("peer does not know the fleet's secret")
        self._end_handshake()
        self._handlers = {
            _ANSWER: self._on_answer,
            FrameType.DATA: self._on_data,
            FrameType.END: self._on_end,
            FrameType.RESET: self._on_reset,
            FrameType.WINDOW: self._on_window,
            FrameType.PING: self._on_ping,
            FrameType.PONG: self._on_pong,
            FrameType.GOAWAY: self._on_goaway,
        }
        if not self.ready.done():
            self.ready.set_result(None)

    async def call(self, head: RequestHead, body: Body | None, deadline: float):
        """Send a request and wait for its answer.

        Parameters
        ----------
        head : RequestHead
        body : Body or None
            The body, if `head` says that it is streamed.
        deadline : float
            Monotonic seconds.

        Returns
        -------
        Answer

        Raises
        ------
        AttemptError
            If there is no answer; the work at the other node is cancelled.
        """
        if not self.is_usable:
            raise AttemptError.at(Cause.CONNECT_FAILED, Stage.UNSENT, "link closed")
        now = monotonic()
        # The egress node gives up first, so that its verdict arrives in time.
        head.remaining_ms = find_remaining_ms(deadline, now)
        if head.remaining_ms <= 0:
            raise AttemptError.at(Cause.DEADLINE, Stage.UNSENT, "deadline passed")
        payload = _encoder.encode(head)
        if len(payload) > MAX_FRAME:
            raise AttemptError.at(
                Cause.CONNECT_FAILED, Stage.UNSENT, "request too large"
            )
        self._last_stream = number = self._last_stream + 1
        stream = self._streams[number] = _ClientStream(self, number)
        self.used_at = now
        self.send(_REQUEST, number, payload)
        stream.timer = self.loop.call_later(deadline - now, stream.expire)
        if self._check is None:
            self._watch()
        upload = None
        if body is not None:
            stream.outflow = _Outflow(self, number)
            upload = asyncio.ensure_future(self._upload(stream, body))
        try:
            answer: AnswerHead = await stream.answer
            if answer.status == 0:
                raise read_failed_head(answer)
            return Answer(answer, stream.inflow)
        except BaseException:
            stream.cancel()
            if upload is not None:
                upload.cancel()
            raise

    async def _upload(self, stream: _ClientStream, body: Body) -> None:
        try:
            await stream.outflow.send(body)
        except AttemptError as exc:
            stream.cancel()
            stream.fail(exc)

    def forget(self, stream: _ClientStream) -> bool:
        """End a stream; tell whether it was open."""
        if stream.timer is not None:
            stream.timer.cancel()
            stream.timer = None
        if stream.outflow is not None:
            stream.outflow.close()
        return self._streams.pop(stream.id, None) is not None

    def _find(self, number: int) -> _ClientStream | None:
        stream = self._streams.get(number)
        if stream is None and not 0 < number <= self._last_stream:
            raise LinkError(f"frame for stream {number}, which was never opened")
        return stream

    def _on_answer(self, number: int, payload: bytes) -> None:
        stream = self._find(number)
        if stream is None:
            return
        if stream.answer.done():
            raise LinkError("second answer on a stream")
        answer = _answer_decoder.decode(payload)
        if answer.streaming:
            stream.inflow = _Inflow(self, number, answer.length, stream.cancel)
        else:
            self.forget(stream)
        stream.answer.set_result(answer)

    def _on_data(self, number: int, payload: bytes) -> None:
        stream = self._find(number)
        if stream is not None:
            if stream.inflow is None:
                raise LinkError("data before the answer")
            stream.inflow.feed(payload)

    def _on_end(self, number: int, payload: bytes) -> None:
        stream = self._find(number)
        if stream is not None:
            if stream.inflow is None:
                raise LinkError("end before the answer")
            stream.inflow.feed_end()
            self.forget(stream)

    def _on_reset(self, number: int, payload: bytes) -> None:
        stream = self._find(number)
        if stream is not None:
            stream.fail(read_failed_head(_answer_decoder.decode(payload)))

    def _on_window(self, number: int, payload: bytes) -> None:
        (credit,) = _WINDOW.unpack(payload)
        stream = self._find(number)
        if stream is not None and stream.outflow is not None:
            stream.outflow.grant(credit)

    def _on_goaway(self, last: int, payload: bytes) -> None:
        """Learn that the peer closes the link and runs no stream after `last`."""
        self.leaving = True
        error = AttemptError.at(Cause.LEAVING, Stage.UNSENT, "peer is stopping")
        for number in [n for n in self._streams if n > last]:
            self._streams[number].fail(error)
        if not self._streams:
            self.close("peer is stopping")

    def _has_streams(self) -> bool:
        return bool(self._streams)

    def _fail_streams(self) -> None:
        if not self.ready.done():
            error = AttemptError.at(
                Cause.CONNECT_FAILED, Stage.UNSENT, f"link: {self.close_reason}"
            )
            self.ready.set_exception(error)
        if self.close_reason == "silent":
            cause = Cause.CONNECTION_SILENT
        else:
            cause = Cause.CONNECTION_LOST
        error = AttemptError.at(cause, Stage.SENT, f"link: {self.close_reason}")
        for stream in list(self._streams.values()):
            stream.fail(error)


class LinkPool:
    """Links to other nodes, opened when first needed.

    Parameters
    ----------
    name : str
        Instance name of this node.
    key : bytes
        From `derive_link_key`.
    reach : Reach
    emit : callable
        Takes an `Event`.
    """

    def __init__(
        self, name: str, key: bytes, reach: Reach, emit: Callable[[Event], None]
    ) -> None:
        self._name = name
        self._key = key
        self._reach = reach
        self._emit = emit
        self._links: dict[tuple[str, int], ClientLink] = {}
        # Not usable for new streams, but some may be open still.
        self._replaced: set[ClientLink] = set()
        self._opening: dict[tuple[str, int], asyncio.Task] = {}

    async def call(
        self,
        host: str,
        port: int,
        head: RequestHead,
        body: Body | None,
        deadline: float,
    ) -> Answer:
        """Send a request to the node at `host` and `port`; see `ClientLink.call`."""
        if not self._reach.allows(host, port):
            raise AttemptError.at(Cause.CONNECT_FAILED, Stage.UNSENT, "unreachable")
        link = self._links.get((host, port))
        if link is None or not link.is_usable:
            link = await self._open(host, port, deadline)
        return await link.call(head, body, deadline)

    async def _open(self, host: str, port: int, deadline: float) -> ClientLink:
        address = (host, port)
        task = self._opening.get(address)
        if task is None:
            task = asyncio.ensure_future(self._connect(address))
            self._opening[address] = task
            task.add_done_callback(lambda task: self._end_opening(address, task))
        # Other requests wait for the same link, so no one of them may cancel it.
        timeout = max(0, deadline - monotonic())
        done, _ = await asyncio.wait([task], timeout=timeout)
        if not done:
            raise AttemptError.at(
                Cause.DEADLINE, Stage.UNSENT, "deadline passed while connecting"
            )
        return task.result()

    def _end_opening(self, address: tuple[str, int], task: asyncio.Task) -> None:
        self._opening.pop(address, None)
        if not task.cancelled():
            # Every request that waited may have given up.
            task.exception()

    async def _connect(self, address: tuple[str, int]) -> ClientLink:
        loop = asyncio.get_running_loop()
        link = ClientLink(self._key, self._name)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: link, *address)
                await link.ready
        except asyncio.CancelledError:
            link.abandon("stopping")
            raise
        except (OSError, TimeoutError) as exc:
            link.abandon("handshake takes too long")
            raise AttemptError.at(
                Cause.CONNECT_FAILED, Stage.UNSENT, f"link: {exc}"
            ) from exc
        link.on_silent = self._close_unheard
        replaced = self._links.get(address)
        if replaced is not None:
            self._replaced.add(replaced)
        self._links[address] = link
        self._emit(Event(EventCode.LINK_OPENED, {"peer": f"{address[0]}:{address[1]}"}))
        return link

    def check(self, now: float) -> None:
        """Drop closed links, close idle ones and those to unreachable nodes."""
        for address, link in list(self._links.items()):
            if not link.closed and not self._reach.allows(*address):
                link.close("unreachable")
            elif link.is_idle and (link.leaving or now - link.used_at > IDLE_CLOSE_S):
                link.close("idle")
            if link.closed:
                del self._links[address]
                self._report(address, link)

        for link in list(self._replaced):
            if not link.closed and not self._reach.allows(*link.address):
                link.close("unreachable")
            elif link.is_idle and not link.is_doubtful:
                link.close("replaced")
            if link.closed:
                self._replaced.discard(link)
                self._report(link.address, link)

    def _close_unheard(self, silent: _Link) -> None:
        """Keep new streams off links that may have gone silent at the same time.

        A call that is moved from the silent link would else wait as long on
        the next one. What has been heard of in that time is not silent.
        """
        now = monotonic()
        for link in list(self._links.values()):
            if not link.is_idle:
                link.is_doubtful |= link.heard_at < now - PING_INTERVAL_S
            elif link.heard_at < now - SILENT_AFTER_S:
                link.close("may be silent")

    def _report(self, address: tuple[str, int], link: ClientLink) -> None:
        silent = link.close_reason == "silent"
        code = EventCode.LINK_SILENT if silent else EventCode.LINK_CLOSED
        peer = f"{address[0]}:{address[1]}"
        self._emit(Event(code, {"peer": peer, "reason": link.close_reason}))

    def close(self) -> None:
        """Close every link."""
        for task in self._opening.values():
            task.cancel()
        for link in (*self._links.values(), *self._replaced):
            link.close("stopping")
        self._links.clear()
        self._replaced.clear()


Handler = Callable[[RequestHead, Body | None, float], Awaitable[Answer]]


class _ServerStream:
    """One request on a link, at the node that runs it."""

    __slots__ = ("inflow", "outflow", "task")

    def __init__(self) -> None:
        self.task: asyncio.Task | None = None
        self.inflow: _Inflow | None = None
        self.outflow: _Outflow | None = None


class ServerLink(_Link):
    """Link from another node, at the side that accepted it."""

    def __init__(self, server: "LinkServer", key: bytes) -> None:
        super().__init__(key)
        self._server = server
        self._streams: dict[int, _ServerStream] = {}
        self._last_stream = 0
        self._stopping = False
        self._handlers = {FrameType.AUTHENTICATE: self._on_authenticate}

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the challenge."""
        super().connection_made(transport)
        self._server.links.add(self)
        self.send(FrameType.HELLO, 0, MAGIC + self._nonce)

    def _on_authenticate(self, stream: int, payload: bytes) -> None:
        nonce = payload[:NONCE_BYTES]
        proof = payload[NONCE_BYTES : NONCE_BYTES + 32]
        name = payload[NONCE_BYTES + 32 :]
        expected = _prove(self._key, b"client", self._nonce, nonce, name)
        if len(nonce) != NONCE_BYTES or not hmac.compare_digest(expected, proof):
            raise LinkAuthenticationError("peer does not know the fleet's secret")
        self.peer = name.decode()
        self._end_handshake()
        welcome = _prove(self._key, b"server", nonce, self._nonce, b"")
        self.send(FrameType.WELCOME, 0, welcome)
        self._handlers = {
            _REQUEST: self._on_request,
            FrameType.DATA: self._on_data,
            FrameType.END: self._on_end,
            FrameType.WINDOW: self._on_window,
            FrameType.CANCEL: self._on_cancel,
            FrameType.PING: self._on_ping,
            FrameType.PONG: self._on_pong,
        }
        if self._stopping:
            self.send_goaway()

    def _on_request(self, number: int, payload: bytes) -> None:
        if number <= self._last_stream:
            raise LinkError("stream id used again")
        if len(self._streams) >= MAX_STREAMS:
            raise LinkError("too many streams")
        head = _request_decoder.decode(payload)
        if self._stopping:
            return  # GOAWAY has told the peer that it does not run.
        self._last_stream = number
        stream = self._streams[number] = _ServerStream()
        if head.streaming:
            stream.inflow = _Inflow(self, number, head.length, lambda: None)
        deadline = monotonic() + head.remaining_ms / 1000
        stream.task = self.loop.create_task(self._serve(number, stream, head, deadline))
        if self._check is None:
            self._watch()

    async def _serve(
        self, number: int, stream: _ServerStream, head: RequestHead, deadline: float
    ) -> None:
        try:
            answer = await self._server.handler(head, stream.inflow, deadline)
        except AttemptError as exc:
            answer = Answer(make_failed_head(exc.refusal, self._server.load()))
        except asyncio.CancelledError:
            self._streams.pop(number, None)
            raise
        except Exception as exc:
            # A fault of this node; whether the request ran is not known.
            _log.exception("request from {} failed", self.peer)
            error = AttemptError.at(Cause.BAD_ANSWER, Stage.SENT, f"{exc!r}")
            answer = Answer(make_failed_head(error.refusal, -1.0))
        try:
            if answer.stream is None:
                self._streams.pop(number, None)
                self.send(_ANSWER, number, _encoder.encode(answer.head))
                return
            stream.outflow = _Outflow(self, number)
            self.send(_ANSWER, number, _encoder.encode(answer.head))
            try:
                await stream.outflow.send(answer.stream)
            except AttemptError as exc:
                payload = _encoder.encode(make_failed_head(exc.refusal, -1.0))
                self.send(FrameType.RESET, number, payload)
        finally:
            self._streams.pop(number, None)
            if answer.stream is not None:
                answer.stream.close()
            if self._stopping and not self._streams:
                self.close("stopping")

    def _find(self, number: int) -> _ServerStream | None:
        stream = self._streams.get(number)
        known = self._stopping or 0 < number <= self._last_stream
        if stream is None and not known:
            raise LinkError(f"frame for stream {number}, which was never opened")
        return stream

    def _on_data(self, number: int, payload: bytes) -> None:
        stream = self._find(number)
        if stream is not None:
            if stream.inflow is None:
                raise LinkError("data on a stream without a body")
            stream.inflow.feed(payload)

    def _on_end(self, number: int, payload: bytes) -> None:
        stream = self._find(number)
        if stream is not None:
            if stream.inflow is None:
                raise LinkError("end on a stream without a body")
            stream.inflow.feed_end()

    def _on_window(self, number: int, payload: bytes) -> None:
        (credit,) = _WINDOW.unpack(payload)
        stream = self._find(number)
        if stream is not None and stream.outflow is not None:
            stream.outflow.grant(credit)

    def _on_cancel(self, number: int, payload: bytes) -> None:
        stream = self._find(number)
        if stream is not None:
            self._cancel(stream)

    def _cancel(self, stream: _ServerStream) -> None:
        if stream.inflow is not None:
            error = AttemptError.at(Cause.CANCELLED, Stage.SENT, "cancelled")
            stream.inflow.fail(error)
        stream.task.cancel()

    def send_goaway(self) -> None:
        """Tell the peer that streams after the last one are not run."""
        self._stopping = True
        self.send(FrameType.GOAWAY, self._last_stream)

    def _has_streams(self) -> bool:
        return bool(self._streams)

    def _fail_streams(self) -> None:
        self._server.forget(self)
        for stream in list(self._streams.values()):
            self._cancel(stream)


class LinkServer:
    """Accepts links from other nodes.

    Parameters
    ----------
    key : bytes
        From `derive_link_key`.
    handler : callable
        Runs a request: takes head, body and deadline, returns an `Answer`.
    load : callable
        Gives the load that answers report, 0 to 1.
    emit : callable
        Takes an `Event`.
    """

    def __init__(
        self,
        key: bytes,
        handler: Handler,
        load: Callable[[], float],
        emit: Callable[[Event], None],
    ) -> None:
        self.handler = handler
        self.load = load
        self.links: set[ServerLink] = set()
        self._key = key
        self._emit = emit
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerLink(self, self._key), host, port
        )

    @property
    def peers(self) -> set[str]:
        """Instance names of the nodes that are linked to this one."""
        return {link.peer for link in self.links if link.peer}

    def forget(self, link: ServerLink) -> None:
        """Drop a link that has closed, and report why if the peer is at fault."""
        self.links.discard(link)
        reason = link.close_reason
        peer = link.peer or f"{link.address[0]}:{link.address[1]}"
        if reason.startswith(("malformed", "handshake")):
            code = EventCode.PEER_REFUSED
            self._emit(Event(code, {"peer": peer, "reason": reason}))
        elif reason == "silent":
            code = EventCode.LINK_SILENT
            self._emit(Event(code, {"peer": peer, "reason": reason}))

    async def stop(self, deadline: float) -> None:
        """Refuse new streams, wait for open ones until `deadline`, then close."""
        if self._server is not None:
            self._server.close()
        for link in list(self.links):
            link.send_goaway()
        while any(link._has_streams() for link in self.links):
            if monotonic() >= deadline:
                break
            await asyncio.sleep(0.01)
        # Gives the last answers time to leave the send buffers.
        while any(link.transport.get_write_buffer_size() for link in self.links):
            if monotonic() >= deadline:
                break
            await asyncio.sleep(0.005)
        for link in list(self.links):
            with contextlib.suppress(Exception):
                link.transport.close()
            link.close("stopping")
