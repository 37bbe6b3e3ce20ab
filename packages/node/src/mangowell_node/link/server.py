"""Links that other nodes open and the requests that arrive on them."""

import asyncio
import contextlib
import hmac
import math
from collections.abc import Awaitable, Callable
from time import monotonic

from mangowell_core.events import Event, EventCode
from mangowell_core.policy.outcome import Stage
from mangowell_core.policy.types import Cause
from mangowell_node.delivery import count_undelivered
from mangowell_node.exchange import (
    Answer,
    AttemptError,
    Body,
    RequestHead,
    make_failed_head,
)
from mangowell_node.link.connection import BodyReceiver, BodySender, Link
from mangowell_node.link.frames import (
    ANSWER_FRAME,
    MAGIC,
    MAX_STREAMS,
    NONCE_BYTES,
    PEER_CLOSE_TIMEOUT_S,
    REQUEST_FRAME,
    SILENT_AFTER_S,
    WINDOW_UPDATE,
    FrameType,
    LinkAuthenticationError,
    LinkError,
    compute_proof,
    decode_request,
    encoder,
    log,
)
from mangowell_node.link.traffic import Traffic

CLOSE_CHECK_INTERVAL_S = 0.005

Handler = Callable[[RequestHead, Body | None, float], Awaitable[Answer]]


class _ServerStream:
    """State of one request on a link, at the node that runs the request."""

    __slots__ = ("accepted_at", "receiver", "request", "sender", "task")

    def __init__(self, request: str) -> None:
        self.request = request
        self.accepted_at = monotonic()
        self.task: asyncio.Task | None = None
        self.receiver: BodyReceiver | None = None
        self.sender: BodySender | None = None


class ServerLink(Link):
    """Server side of a link: accepts streams and runs their requests."""

    body_kind = "answers"

    def __init__(self, server: "LinkServer", key: bytes) -> None:
        super().__init__(key, server.traffic)
        self._server = server
        self._streams: dict[int, _ServerStream] = {}
        self._last_stream_id = 0
        self._stopping = False
        # Parts of the sums of the server that belong to this link.
        self._counted_incoming = self._counted_buffered = 0
        self.opened_at = monotonic()
        self._handlers = {FrameType.AUTHENTICATE: self._on_authenticate}

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the link and start the handshake with a nonce."""
        super().connection_made(transport)
        if self._server.is_stopping:
            self.close("stopping")
            return
        self._server.links.add(self)
        self.send(FrameType.HELLO, 0, MAGIC + self._nonce)

    def data_received(self, data: bytes) -> None:
        """Handle frames, and update the sums of the server."""
        super().data_received(data)
        if not self.closed:
            self._count_incomplete(self.incoming_bytes, len(self._buffer))

    def _count_incomplete(self, incoming: int, buffered: int) -> None:
        server = self._server
        server.incoming_bytes += incoming - self._counted_incoming
        self._counted_incoming = incoming
        if buffered != self._counted_buffered:
            server.on_buffered(buffered - self._counted_buffered)
            self._counted_buffered = buffered

    def _on_authenticate(self, stream_id: int, payload: bytes) -> None:
        nonce = payload[:NONCE_BYTES]
        proof = payload[NONCE_BYTES : NONCE_BYTES + 32]
        name = payload[NONCE_BYTES + 32 :]
        expected = compute_proof(self._key, b"client", self._nonce, nonce, name)
        if len(nonce) != NONCE_BYTES or not hmac.compare_digest(expected, proof):
            raise LinkAuthenticationError("peer does not know the fleet's secret")
        self.peer = name.decode()
        self._end_handshake()
        welcome = compute_proof(self._key, b"server", nonce, self._nonce, b"")
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
        self._server.on_authenticated(self)

    def _on_request(self, stream_id: int, payload: bytes) -> None:
        if stream_id <= self._last_stream_id:
            raise LinkError("stream id does not exceed the previous one")
        if len(self._streams) >= MAX_STREAMS:
            raise LinkError("too many open streams")
        head = decode_request(payload)
        if self._stopping:
            return  # GOAWAY has told the peer that this request does not run.
        self._last_stream_id = stream_id
        stream = self._streams[stream_id] = _ServerStream(head.request)
        if head.streaming:
            stream.receiver = BodyReceiver(self, stream_id, head.length, lambda: None)
        deadline = monotonic() + head.remaining_ms / 1000
        stream.task = self.loop.create_task(
            self._serve(stream_id, stream, head, deadline)
        )
        if self._check_timer is None:
            self._start_silence_check()

    async def _serve(
        self, stream_id: int, stream: _ServerStream, head: RequestHead, deadline: float
    ) -> None:
        try:
            answer = await self._server.handler(head, stream.receiver, deadline)
        except AttemptError as exc:
            load = exc.backend_load if exc.backend_load >= 0 else self._server.load()
            answer = Answer(make_failed_head(exc.refusal, load, exc.slots))
        except asyncio.CancelledError:
            self._streams.pop(stream_id, None)
            raise
        except Exception as exc:
            # An internal error of this node; the request may have run.
            log.exception("unhandled exception in a request from {}", self.peer)
            error = AttemptError.at(Cause.BAD_ANSWER, Stage.SENT, f"{exc!r}")
            answer = Answer(make_failed_head(error.refusal, -1.0))
        try:
            if answer.stream is None:
                self._streams.pop(stream_id, None)
                self.send(ANSWER_FRAME, stream_id, encoder.encode(answer.head))
                return
            stream.sender = BodySender(self, stream_id)
            self.send(ANSWER_FRAME, stream_id, encoder.encode(answer.head))
            try:
                await stream.sender.send(answer.stream)
            except AttemptError as exc:
                payload = encoder.encode(make_failed_head(exc.refusal, -1.0))
                self.send(FrameType.RESET, stream_id, payload)
        finally:
            self._streams.pop(stream_id, None)
            if answer.stream is not None:
                answer.stream.close()

    def _get_stream(self, stream_id: int) -> _ServerStream | None:
        stream = self._streams.get(stream_id)
        is_known = self._stopping or 0 < stream_id <= self._last_stream_id
        if stream is None and not is_known:
            raise LinkError(f"frame for stream {stream_id}, which was never opened")
        return stream

    def _on_data(self, stream_id: int, payload: bytes) -> None:
        stream = self._get_stream(stream_id)
        if stream is not None:
            if stream.receiver is None:
                raise LinkError("data on a stream without a body")
            stream.receiver.feed(payload)

    def _on_end(self, stream_id: int, payload: bytes) -> None:
        stream = self._get_stream(stream_id)
        if stream is not None:
            if stream.receiver is None:
                raise LinkError("end on a stream without a body")
            stream.receiver.feed_end()

    def _on_window(self, stream_id: int, payload: bytes) -> None:
        (credit,) = WINDOW_UPDATE.unpack(payload)
        stream = self._get_stream(stream_id)
        if stream is not None and stream.sender is not None:
            stream.sender.add_credit(credit)

    def _on_cancel(self, stream_id: int, payload: bytes) -> None:
        stream = self._get_stream(stream_id)
        if stream is not None:
            self._cancel(stream)

    def _cancel(self, stream: _ServerStream) -> None:
        if stream.receiver is not None:
            error = AttemptError.at(Cause.CANCELLED, Stage.SENT, "cancelled")
            stream.receiver.fail(error)
        stream.task.cancel()

    def send_goaway(self) -> None:
        """Tell the peer that no stream after the last accepted one runs."""
        self._stopping = True
        self.send(FrameType.GOAWAY, self._last_stream_id)

    def report_cut(self, now: float) -> list[Event]:
        """Return an event for each open stream, before the link is closed.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        link_age_ms = round((now - self.opened_at) * 1000)
        return [
            Event(
                EventCode.CALL_CUT,
                {
                    "request": stream.request,
                    "peer": self.peer,
                    "reason": "time for stopping has passed",
                    "age_ms": round((now - stream.accepted_at) * 1000),
                    "link_age_ms": link_age_ms,
                },
            )
            for stream in self._streams.values()
        ]

    def _has_streams(self) -> bool:
        return bool(self._streams)

    def _fail_streams(self) -> None:
        self._server.forget(self)
        self._buffer.clear()
        self._count_incomplete(0, 0)
        for stream in list(self._streams.values()):
            self._cancel(stream)


def _ignore_link(link: Link) -> None:
    """Ignore a new link; replaced by `Gossip`."""


def _ignore_bytes(change: int) -> None:
    """Ignore a change of the buffered bytes; replaced by `MeshNode`."""


class LinkServer:
    """Listener that accepts links from other nodes.

    Parameters
    ----------
    key : bytes
        From `derive_link_key`.
    handler : callable
        Runs a request: takes head, body and deadline (monotonic seconds) and
        returns an `Answer`.
    load : callable
        Returns the load that answers report, 0 to 1.
    emit : callable
        Takes an `Event`.
    traffic : Traffic or None
        Counts the bytes that are sent.

    Attributes
    ----------
    incoming_bytes : int
        Bytes that the peers are still to send of incomplete frames. It is a running
        sum, as it is asked for at each probe of a large body.
    on_buffered : callable
        Takes each change of the bytes that have arrived of incomplete frames.
    """

    def __init__(
        self,
        key: bytes,
        handler: Handler,
        load: Callable[[], float],
        emit: Callable[[Event], None],
        traffic: Traffic | None = None,
    ) -> None:
        self.handler = handler
        self.traffic = traffic
        self.load = load
        self.on_notice: Callable[[Link, bytes], None] | None = None
        self.on_authenticated: Callable[[Link], None] = _ignore_link
        self.links: set[ServerLink] = set()
        self.incoming_bytes = 0
        self.on_buffered: Callable[[int], None] = _ignore_bytes
        # A property of the server, so that it holds for links that open later too.
        self.is_stopping = False
        self._key = key
        self._emit = emit
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerLink(self, self._key), host, port
        )

    @property
    def peers(self) -> set[str]:
        """Instance names of the nodes that are linked to this one."""
        return {link.peer for link in self.links if link.peer}

    def count_incoming_bytes(self) -> int:
        """Return the bytes that the peers are still to send of incomplete frames."""
        return self.incoming_bytes

    def forget(self, link: ServerLink) -> None:
        """Remove a closed link and emit an event if the peer caused the close."""
        self.links.discard(link)
        reason = link.close_reason
        peer = link.peer or f"{link.address[0]}:{link.address[1]}"
        if reason.startswith(("malformed", "handshake")):
            code = EventCode.PEER_REFUSED
            self._emit(Event(code, {"peer": peer, "reason": reason}))
        elif reason == "silent":
            code = EventCode.LINK_SILENT
            self._emit(Event(code, {"peer": peer, "reason": reason}))

    def refuse_new_streams(self) -> None:
        """Close the listener and tell every peer that no further stream runs.

        Until the process has ended, peers find that the node cannot be reached.
        """
        self.is_stopping = True
        if self._server is not None:
            self._server.close()
        for link in list(self.links):
            if link.is_authenticated:
                link.send_goaway()
            else:
                link.close("stopping")

    async def stop(self, deadline: float) -> None:
        """Refuse new streams, and wait until peers have read the last answers.

        A peer closes its link after the last answer. If this side did, bytes of the
        peer that are still unread would reset the connection, and what is left in its
        buffers would be lost.

        Parameters
        ----------
        deadline : float
            Monotonic seconds at which the remaining streams are cut off.
        """
        self.refuse_new_streams()
        while any(link._has_streams() for link in self.links):
            if monotonic() >= deadline:
                break
            await asyncio.sleep(0.01)
        await self._wait_for_peers(deadline)
        now = monotonic()
        for link in list(self.links):
            for event in link.report_cut(now):
                self._emit(event)
            with contextlib.suppress(Exception):
                link.transport.close()
            link.close("stopping")

    async def _wait_for_peers(self, deadline: float) -> None:
        """Wait until the peers have closed their links.

        A peer that cannot be reached or takes no more bytes must not hold up the stop.
        """
        close_deadline = monotonic() + PEER_CLOSE_TIMEOUT_S
        delivery_deadline = monotonic() + SILENT_AFTER_S
        undelivered = math.inf
        while self.links and (now := monotonic()) < deadline:
            left = sum(count_undelivered(link.transport) for link in self.links)
            if left < undelivered:
                undelivered, delivery_deadline = left, now + SILENT_AFTER_S
            if now >= (delivery_deadline if left else close_deadline):
                break
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
