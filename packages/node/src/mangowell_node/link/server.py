"""Links that other nodes open, and the requests that arrive on them."""

import asyncio
import contextlib
import hmac
from collections.abc import Awaitable, Callable
from time import monotonic

from mangowell_core.events import Event, EventCode
from mangowell_core.policy.outcome import Stage
from mangowell_core.policy.types import Cause
from mangowell_node.exchange import (
    Answer,
    AttemptError,
    Body,
    RequestHead,
    make_failed_head,
)
from mangowell_node.link.connection import Inflow, Link, Outflow
from mangowell_node.link.frames import (
    ANSWER_FRAME,
    MAGIC,
    MAX_STREAMS,
    NONCE_BYTES,
    REQUEST_FRAME,
    WINDOW_UPDATE,
    FrameType,
    LinkAuthenticationError,
    LinkError,
    encoder,
    log,
    prove,
    request_decoder,
)

Handler = Callable[[RequestHead, Body | None, float], Awaitable[Answer]]


class _ServerStream:
    """One request on a link, at the node that runs it."""

    __slots__ = ("inflow", "outflow", "task")

    def __init__(self) -> None:
        self.task: asyncio.Task | None = None
        self.inflow: Inflow | None = None
        self.outflow: Outflow | None = None


class ServerLink(Link):
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
        expected = prove(self._key, b"client", self._nonce, nonce, name)
        if len(nonce) != NONCE_BYTES or not hmac.compare_digest(expected, proof):
            raise LinkAuthenticationError("peer does not know the fleet's secret")
        self.peer = name.decode()
        self._end_handshake()
        welcome = prove(self._key, b"server", nonce, self._nonce, b"")
        self.send(FrameType.WELCOME, 0, welcome)
        self._handlers = {
            REQUEST_FRAME: self._on_request,
            FrameType.DATA: self._on_data,
            FrameType.END: self._on_end,
            FrameType.WINDOW: self._on_window,
            FrameType.CANCEL: self._on_cancel,
            FrameType.PING: self._on_ping,
            FrameType.PONG: self._on_pong,
            FrameType.NOTICE: self._on_notice,
        }
        self.on_notice = self._server.on_notice
        if self._stopping:
            self.send_goaway()

    def _on_request(self, number: int, payload: bytes) -> None:
        if number <= self._last_stream:
            raise LinkError("stream id used again")
        if len(self._streams) >= MAX_STREAMS:
            raise LinkError("too many streams")
        head = request_decoder.decode(payload)
        if self._stopping:
            return  # GOAWAY has told the peer that it does not run.
        self._last_stream = number
        stream = self._streams[number] = _ServerStream()
        if head.streaming:
            stream.inflow = Inflow(self, number, head.length, lambda: None)
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
            log.exception("request from {} failed", self.peer)
            error = AttemptError.at(Cause.BAD_ANSWER, Stage.SENT, f"{exc!r}")
            answer = Answer(make_failed_head(error.refusal, -1.0))
        try:
            if answer.stream is None:
                self._streams.pop(number, None)
                self.send(ANSWER_FRAME, number, encoder.encode(answer.head))
                return
            stream.outflow = Outflow(self, number)
            self.send(ANSWER_FRAME, number, encoder.encode(answer.head))
            try:
                await stream.outflow.send(answer.stream)
            except AttemptError as exc:
                payload = encoder.encode(make_failed_head(exc.refusal, -1.0))
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
        (credit,) = WINDOW_UPDATE.unpack(payload)
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
        self.on_notice: Callable[[Link, bytes], None] | None = None
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
