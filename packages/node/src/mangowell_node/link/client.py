"""Links that this node opens and the requests that it sends on them."""

import asyncio
import hmac
from collections.abc import Callable
from enum import Enum
from time import monotonic

from mangowell_core.events import Event, EventCode
from mangowell_core.policy.deadlines import compute_remaining_ms
from mangowell_core.policy.outcome import Stage
from mangowell_core.policy.types import Cause
from mangowell_node.exchange import (
    Answer,
    AnswerHead,
    AttemptError,
    Body,
    RequestHead,
    find_failure,
    parse_failed_head,
)
from mangowell_node.link.connection import BodyReceiver, BodySender, Link
from mangowell_node.link.frames import (
    ANSWER_FRAME,
    CONNECT_TIMEOUT_S,
    IDLE_CLOSE_S,
    MAGIC,
    MAX_FRAME,
    MAX_STREAM_ID,
    NONCE_BYTES,
    PING_INTERVAL_S,
    REQUEST_FRAME,
    WINDOW_UPDATE,
    FrameType,
    LinkAuthenticationError,
    LinkError,
    compute_proof,
    decode_answer,
    encoder,
)
from mangowell_node.link.traffic import Traffic
from mangowell_node.reach import AddressFilter

# Close reason of a link whose peer takes no more streams.
PEER_STOPPING = "peer is stopping"


def _give_up_at_once(give_up: Callable[[], None]) -> None:
    """Give a request up as soon as its link is reported as silent."""
    give_up()


class _ClientStream:
    """State of one request on a link, at the node that sends the request."""

    __slots__ = (
        "answer",
        "deadline",
        "id",
        "link",
        "on_silence",
        "receiver",
        "sender",
        "timer",
    )

    def __init__(self, link: "ClientLink", stream: int) -> None:
        self.link = link
        self.id = stream
        self.answer: asyncio.Future = link.loop.create_future()
        self.receiver: BodyReceiver | None = None
        self.sender: BodySender | None = None
        self.timer: asyncio.TimerHandle | None = None
        # Takes `give_up`; None if the request waits until the link is lost.
        self.on_silence: Callable[[Callable[[], None]], None] | None = None

    def cancel(self) -> None:
        """Cancel the request at the other node if its stream is open."""
        if self.link.forget(self):
            self.link.send(FrameType.CANCEL, self.id)

    def give_up(self) -> None:
        """Cancel the request because its link is silent, unless it has an answer."""
        if self.answer.done():
            return
        self.cancel()
        reason = "link: no answer to a ping"
        self.fail(AttemptError.at(Cause.CONNECTION_SILENT, Stage.SENT, reason))

    def on_deadline(self) -> None:
        """Cancel the request and report that its deadline has passed."""
        self.cancel()
        self.fail(AttemptError.at(Cause.DEADLINE, Stage.SENT, "deadline passed"))

    def fail(self, error: AttemptError) -> None:
        """Close the stream and end its request with `error`."""
        self.link.forget(self)
        if not self.answer.done():
            self.answer.set_exception(error)
        elif self.receiver is not None:
            self.receiver.fail(error)


class ClientLink(Link):
    """Client side of a link: opens streams and sends requests on them."""

    def __init__(self, key: bytes, name: str, traffic: Traffic | None = None) -> None:
        super().__init__(key, traffic)
        self._name = name.encode()
        self._server_nonce = b""
        self._streams: dict[int, _ClientStream] = {}
        self._last_stream_id = 0
        self.ready: asyncio.Future = self.loop.create_future()
        self.leaving = False
        self.last_used_at = monotonic()
        self._authenticated_at = 0.0
        self._handlers = {FrameType.HELLO: self._on_hello}

    @property
    def is_usable(self) -> bool:
        """Whether new streams may be opened."""
        return (
            not (self.closed or self.leaving or self.is_suspect)
            and self._last_stream_id < MAX_STREAM_ID
        )

    @property
    def is_idle(self) -> bool:
        """Whether no stream is open."""
        return not self._streams

    def check_alive(self) -> None:
        """Ping the peer, so that silence is found while no stream is open."""
        if self.closed or self._check_timer is not None:
            return
        self._start_silence_check()
        self._ping(monotonic())

    def abandon(self, reason: str) -> None:
        """Close a link that did not open, and retrieve the error of `ready`."""
        self.close(reason)
        if self.ready.done() and not self.ready.cancelled():
            self.ready.exception()

    def _on_hello(self, stream_id: int, payload: bytes) -> None:
        magic, nonce = payload[: len(MAGIC)], payload[len(MAGIC) :]
        if magic != MAGIC or len(nonce) != NONCE_BYTES:
            raise LinkError("peer uses another protocol or version")
        self._server_nonce = nonce
        proof = compute_proof(self._key, b"client", nonce, self._nonce, self._name)
        self.send(FrameType.AUTHENTICATE, 0, self._nonce + proof + self._name)
        self._authenticated_at = monotonic()
        self._handlers = {FrameType.WELCOME: self._on_welcome}

    def _on_welcome(self, stream_id: int, payload: bytes) -> None:
        proof = compute_proof(
            self._key, b"server", self._nonce, self._server_nonce, b""
        )
        if not hmac.compare_digest(proof, payload):
            raise LinkAuthenticationError("peer does not know the fleet's secret")
        self._end_handshake()
        self._report_round_trip(monotonic() - self._authenticated_at)
        self._handlers = {
            ANSWER_FRAME: self._on_answer,
            FrameType.DATA: self._on_data,
            FrameType.END: self._on_end,
            FrameType.RESET: self._on_reset,
            FrameType.WINDOW: self._on_window,
            FrameType.PING: self._on_ping,
            FrameType.PONG: self._on_pong,
            FrameType.GOAWAY: self._on_goaway,
            FrameType.NOTICE: self._on_notice,
        }
        if not self.ready.done():
            self.ready.set_result(None)

    async def call(
        self,
        head: RequestHead,
        body: Body | None,
        deadline: float,
        on_silence: Callable[[Callable[[], None]], None] = _give_up_at_once,
    ) -> Answer:
        """Send a request and wait for its answer.

        Parameters
        ----------
        head : RequestHead
        body : Body or None
            The body if `head.streaming` is set.
        deadline : float
            Monotonic seconds.
        on_silence : callable, optional
            Called repeatedly while the link of a repeatable request is silent but not
            yet lost. Takes a function that gives the request up. By default, the
            request is given up at once.

        Returns
        -------
        Answer

        Raises
        ------
        AttemptError
            If there is no answer; the request is cancelled at the other node.
        """
        if not self.is_usable:
            raise AttemptError.at(Cause.CONNECT_FAILED, Stage.UNSENT, "link closed")
        now = monotonic()
        # `compute_remaining_ms` subtracts a margin, so that the egress node ends the
        # request first and its error arrives before the deadline of this node.
        head.remaining_ms = compute_remaining_ms(deadline, now)
        if head.remaining_ms <= 0:
            raise AttemptError.at(Cause.DEADLINE, Stage.UNSENT, "deadline passed")
        payload = encoder.encode(head)
        if len(payload) > MAX_FRAME:
            raise AttemptError.at(
                Cause.CONNECT_FAILED,
                Stage.UNSENT,
                "request too large for one link frame",
            )
        self._last_stream_id = stream_id = self._last_stream_id + 1
        stream = self._streams[stream_id] = _ClientStream(self, stream_id)
        if head.idempotent and body is None:
            stream.on_silence = on_silence
        self.last_used_at = now
        self.send(REQUEST_FRAME, stream_id, payload)
        stream.timer = self.loop.call_later(deadline - now, stream.on_deadline)
        if self._check_timer is None:
            self._start_silence_check()
        upload = None
        if body is not None:
            stream.sender = BodySender(self, stream_id)
            upload = asyncio.ensure_future(self._upload(stream, body))
        try:
            answer: AnswerHead = await stream.answer
            error = find_failure(answer, head.method)
            if error is not None:
                raise error
            return Answer(answer, stream.receiver)
        except BaseException:
            stream.cancel()
            if upload is not None:
                upload.cancel()
            raise

    async def _upload(self, stream: _ClientStream, body: Body) -> None:
        try:
            await stream.sender.send(body)
        except AttemptError as exc:
            stream.cancel()
            stream.fail(exc)

    def forget(self, stream: _ClientStream) -> bool:
        """Close a stream and return whether it was open."""
        if stream.timer is not None:
            stream.timer.cancel()
            stream.timer = None
        if stream.sender is not None:
            stream.sender.close()
        was_open = self._streams.pop(stream.id, None) is not None
        if self.leaving and not self._streams:
            # Not at once: the answer that ends this stream is still being handled.
            self.loop.call_soon(self.close, PEER_STOPPING)
        return was_open

    def _get_stream(self, stream_id: int) -> _ClientStream | None:
        stream = self._streams.get(stream_id)
        if stream is None and not 0 < stream_id <= self._last_stream_id:
            raise LinkError(f"frame for stream {stream_id}, which was never opened")
        return stream

    def _on_answer(self, stream_id: int, payload: bytes) -> None:
        stream = self._get_stream(stream_id)
        if stream is None:
            return
        if stream.answer.done():
            raise LinkError("second answer on one stream")
        answer = decode_answer(payload)
        if answer.streaming:
            stream.receiver = BodyReceiver(
                self, stream_id, answer.length, stream.cancel
            )
        else:
            self.forget(stream)
        stream.answer.set_result(answer)

    def _on_data(self, stream_id: int, payload: bytes) -> None:
        stream = self._get_stream(stream_id)
        if stream is not None:
            if stream.receiver is None:
                raise LinkError("data before the answer")
            stream.receiver.feed(payload)

    def _on_end(self, stream_id: int, payload: bytes) -> None:
        stream = self._get_stream(stream_id)
        if stream is not None:
            if stream.receiver is None:
                raise LinkError("end before the answer")
            stream.receiver.feed_end()
            self.forget(stream)

    def _on_reset(self, stream_id: int, payload: bytes) -> None:
        stream = self._get_stream(stream_id)
        if stream is not None:
            stream.fail(parse_failed_head(decode_answer(payload)))

    def _on_window(self, stream_id: int, payload: bytes) -> None:
        (credit,) = WINDOW_UPDATE.unpack(payload)
        stream = self._get_stream(stream_id)
        if stream is not None and stream.sender is not None:
            stream.sender.add_credit(credit)

    def _on_goaway(self, last_stream_id: int, payload: bytes) -> None:
        """Stop using the link; the peer runs no stream after `last_stream_id`."""
        self.leaving = True
        if self.on_closed is not None:
            # The pool opens another link as after a close.
            self.on_closed()
        error = AttemptError.at(Cause.LEAVING, Stage.UNSENT, "peer is stopping")
        for stream_id in [n for n in self._streams if n > last_stream_id]:
            self._streams[stream_id].fail(error)
        if not self._streams:
            self.close(PEER_STOPPING)

    def _has_streams(self) -> bool:
        return bool(self._streams)

    def _report_silence(self) -> None:
        if self.on_silent is not None:
            self.on_silent(self)
        for stream in list(self._streams.values()):
            if stream.on_silence is not None and not stream.answer.done():
                stream.on_silence(stream.give_up)

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


# Close reasons that do not mean that the peer is unreachable.
IDLE_REASON = "idle"
POSSIBLY_SILENT = "may be silent"


class Contact(Enum):
    """Known state of the link to another node."""

    OPEN = "open"
    # The link may be silent: a ping has had no answer for PING_INTERVAL_S, or another
    # link has gone silent and this one has received nothing for as long.
    DOUBTFUL = "doubtful"
    # No link is open, and none has failed since the last one opened.
    UNKNOWN = "unknown"
    LOST = "lost"


class LinkPool:
    """Pool of links to other nodes, each opened when first needed.

    Parameters
    ----------
    name : str
        Instance name of this node.
    key : bytes
        From `derive_link_key`.
    reach : AddressFilter
        Decides which addresses may be contacted.
    emit : callable
        Takes an `Event`.
    host : str or None
        Local address of outgoing links, by which other nodes identify this one.
    traffic : Traffic or None
        Counts the bytes that are sent.

    Attributes
    ----------
    changes : int
        Number of links that have opened or closed. `check` has something to do after
        a change, or when a link has been idle for long.
    """

    def __init__(
        self,
        name: str,
        key: bytes,
        reach: AddressFilter,
        emit: Callable[[Event], None],
        host: str | None = None,
        traffic: Traffic | None = None,
    ) -> None:
        self._traffic = traffic
        self.changes = 0
        self._name = name
        self._key = key
        self._reach = reach
        self._emit = emit
        self._local_address = None if host is None else (host, 0)
        self.on_notice: Callable[[Link, bytes], None] | None = None
        self.on_round_trip: Callable[[Link, float], None] | None = None
        self._links: dict[tuple[str, int], ClientLink] = {}
        # Addresses whose last link failed or did not open.
        self._unreachable: set[tuple[str, int]] = set()
        # Links that accept no new streams but may have open ones.
        self._replaced: set[ClientLink] = set()
        self._opening: dict[tuple[str, int], asyncio.Task] = {}

    async def call(
        self,
        host: str,
        port: int,
        head: RequestHead,
        body: Body | None,
        deadline: float,
        on_silence: Callable[[Callable[[], None]], None] = _give_up_at_once,
    ) -> Answer:
        """Send a request to the node at `host` and `port`; see `ClientLink.call`."""
        if not self._reach.is_allowed(host, port):
            raise AttemptError.at(Cause.CONNECT_FAILED, Stage.UNSENT, "unreachable")
        link = self._links.get((host, port))
        if link is None or not link.is_usable:
            link = await self._open(host, port, deadline)
        return await link.call(head, body, deadline, on_silence)

    @property
    def links(self) -> list[ClientLink]:
        """Open links, without those that a newer link has replaced."""
        return [link for link in self._links.values() if not link.closed]

    def get_link(self, host: str, port: int) -> ClientLink | None:
        """Return the open link to an address, or None."""
        link = self._links.get((host, port))
        return None if link is None or link.closed else link

    def get_contact(self, host: str, port: int) -> Contact:
        """Return the known state of the link to an address without contacting it."""
        link = self._links.get((host, port))
        if link is None:
            is_lost = (host, port) in self._unreachable
            return Contact.LOST if is_lost else Contact.UNKNOWN
        if link.closed or link.leaving:
            return Contact.LOST
        return Contact.DOUBTFUL if link.is_suspect else Contact.OPEN

    async def connect(self, host: str, port: int, deadline: float) -> None:
        """Open the link to an address unless a usable one is open.

        Raises
        ------
        AttemptError
            If the link does not open before `deadline` (monotonic seconds).
        """
        link = self._links.get((host, port))
        if link is not None and link.is_usable:
            return
        try:
            await self._open(host, port, deadline)
        except AttemptError as exc:
            if exc.refusal.cause is not Cause.DEADLINE:
                raise
            # `deadline` limits the opening of the link, not a request.
            reason = "link did not open in time"
            raise AttemptError.at(Cause.CONNECT_FAILED, Stage.UNSENT, reason) from exc

    async def _open(self, host: str, port: int, deadline: float) -> ClientLink:
        address = (host, port)
        task = self._opening.get(address)
        if task is None:
            task = asyncio.ensure_future(self._connect(address))
            self._opening[address] = task
            task.add_done_callback(lambda task: self._on_opening_done(address, task))
        # Other requests may wait for the same task, so that none may cancel it.
        timeout = max(0, deadline - monotonic())
        done, _ = await asyncio.wait([task], timeout=timeout)
        if not done:
            raise AttemptError.at(
                Cause.DEADLINE, Stage.UNSENT, "deadline passed while connecting"
            )
        return task.result()

    def _on_opening_done(self, address: tuple[str, int], task: asyncio.Task) -> None:
        self._opening.pop(address, None)
        if not task.cancelled():
            # Retrieves the exception, as every waiting request may have ended.
            task.exception()

    async def _connect(self, address: tuple[str, int]) -> ClientLink:
        loop = asyncio.get_running_loop()
        link = ClientLink(self._key, self._name, self._traffic)
        link.on_closed = self._count_change
        # The first notice may arrive together with the end of the handshake.
        link.on_notice = self.on_notice
        link.on_round_trip = self.on_round_trip
        link.on_silent = self._mark_suspect_links
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(
                    lambda: link, *address, local_addr=self._local_address
                )
                await link.ready
        except asyncio.CancelledError:
            link.abandon("stopping")
            raise
        except (OSError, TimeoutError) as exc:
            link.abandon("handshake failed or timed out")
            self._unreachable.add(address)
            raise AttemptError.at(
                Cause.CONNECT_FAILED, Stage.UNSENT, f"link: {exc}"
            ) from exc
        replaced = self._links.get(address)
        if replaced is not None:
            self._replaced.add(replaced)
        self._links[address] = link
        self._unreachable.discard(address)
        self._count_change()
        self._emit(Event(EventCode.LINK_OPENED, {"peer": f"{address[0]}:{address[1]}"}))
        return link

    def _count_change(self) -> None:
        self.changes += 1

    def check(self, now: float) -> None:
        """Close idle links and links to unreachable nodes; remove closed ones."""
        for address, link in list(self._links.items()):
            if not link.closed and not self._reach.is_allowed(*address):
                link.close("unreachable")
            elif link.is_idle and (
                link.leaving or now - link.last_used_at > IDLE_CLOSE_S
            ):
                link.close(IDLE_REASON)
            if link.closed:
                del self._links[address]
                if link.close_reason not in (IDLE_REASON, POSSIBLY_SILENT):
                    self._unreachable.add(address)
                self._emit_close_event(address, link)

        for link in list(self._replaced):
            if not link.closed and not self._reach.is_allowed(*link.address):
                link.close("unreachable")
            elif link.is_idle and not link.is_suspect:
                link.close("replaced")
            if link.closed:
                self._replaced.discard(link)
                self._emit_close_event(link.address, link)

    def _mark_suspect_links(self, silent: Link) -> None:
        """Stop opening streams on links that may have gone silent together.

        Otherwise, a request that is retried after the silence of one link would
        wait as long on the next one. A busy link is pinged after `PING_INTERVAL_S`
        without a byte, so the silence has begun at most that long after its last
        one. Links that have received bytes later are not suspect.
        """
        began_before = silent.last_received_at + PING_INTERVAL_S
        now = monotonic()
        for link in list(self._links.values()):
            if not link.is_idle:
                link.is_suspect |= link.last_received_at < now - PING_INTERVAL_S
            elif link.last_received_at < began_before:
                link.close(POSSIBLY_SILENT)

    def _emit_close_event(self, address: tuple[str, int], link: ClientLink) -> None:
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
