"""Links that this node opens, and the requests it sends on them."""

import asyncio
import hmac
from collections.abc import Callable
from enum import Enum
from time import monotonic

from mangowell_core.events import Event, EventCode
from mangowell_core.policy.deadlines import find_remaining_ms
from mangowell_core.policy.outcome import Stage
from mangowell_core.policy.types import Cause
from mangowell_node.exchange import (
    Answer,
    AnswerHead,
    AttemptError,
    Body,
    RequestHead,
    read_failed_head,
)
from mangowell_node.link.connection import Inflow, Link, Outflow
from mangowell_node.link.frames import (
    ANSWER_FRAME,
    CONNECT_TIMEOUT_S,
    IDLE_CLOSE_S,
    MAGIC,
    MAX_FRAME,
    MAX_STREAM,
    NONCE_BYTES,
    PING_INTERVAL_S,
    REPEAT_AFTER_S,
    REQUEST_FRAME,
    WINDOW_UPDATE,
    FrameType,
    LinkAuthenticationError,
    LinkError,
    answer_decoder,
    encoder,
    prove,
)
from mangowell_node.reach import Reach


class _ClientStream:
    """One request on a link, at the node that sends it."""

    __slots__ = (
        "answer",
        "deadline",
        "id",
        "inflow",
        "is_repeatable",
        "link",
        "outflow",
        "timer",
    )

    def __init__(self, link: "ClientLink", stream: int) -> None:
        self.link = link
        self.id = stream
        self.answer: asyncio.Future = link.loop.create_future()
        self.inflow: Inflow | None = None
        self.outflow: Outflow | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_repeatable = False

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


class ClientLink(Link):
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
        proof = prove(self._key, b"client", nonce, self._nonce, self._name)
        self.send(FrameType.AUTHENTICATE, 0, self._nonce + proof + self._name)
        self._handlers = {FrameType.WELCOME: self._on_welcome}

    def _on_welcome(self, stream: int, payload: bytes) -> None:
        proof = prove(self._key, b"server", self._nonce, self._server_nonce, b"")
        if not hmac.compare_digest(proof, payload):
            raise LinkAuthenticationError("peer does not know the fleet's secret")
        self._end_handshake()
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
        payload = encoder.encode(head)
        if len(payload) > MAX_FRAME:
            raise AttemptError.at(
                Cause.CONNECT_FAILED, Stage.UNSENT, "request too large"
            )
        self._last_stream = number = self._last_stream + 1
        stream = self._streams[number] = _ClientStream(self, number)
        stream.is_repeatable = head.idempotent and body is None
        self.used_at = now
        self.send(REQUEST_FRAME, number, payload)
        stream.timer = self.loop.call_later(deadline - now, stream.expire)
        if self._check is None:
            self._watch()
        upload = None
        if body is not None:
            stream.outflow = Outflow(self, number)
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
        answer = answer_decoder.decode(payload)
        if answer.streaming:
            stream.inflow = Inflow(self, number, answer.length, stream.cancel)
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
            stream.fail(read_failed_head(answer_decoder.decode(payload)))

    def _on_window(self, number: int, payload: bytes) -> None:
        (credit,) = WINDOW_UPDATE.unpack(payload)
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

    def _give_up_repeatable(self) -> None:
        if self.on_silent is not None:
            self.on_silent(self)
        reason = "link: no answer to a ping"
        for stream in list(self._streams.values()):
            if stream.is_repeatable and stream.inflow is None:
                stream.cancel()
                cause = Cause.CONNECTION_SILENT
                stream.fail(AttemptError.at(cause, Stage.SENT, reason))

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


# Reasons of closing a link that do not say that the peer cannot be reached.
IDLE = "idle"
DOUBTED = "may be silent"


class Contact(Enum):
    """What is known of the way to another node."""

    OPEN = "open"
    # A ping has gone without an answer for some time.
    DOUBTFUL = "doubtful"
    # No link has been tried yet.
    UNKNOWN = "unknown"
    LOST = "lost"


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
    host : str or None
        Address that links come from, by which other nodes know this one.
    """

    def __init__(
        self,
        name: str,
        key: bytes,
        reach: Reach,
        emit: Callable[[Event], None],
        host: str | None = None,
    ) -> None:
        self._name = name
        self._key = key
        self._reach = reach
        self._emit = emit
        self._source = None if host is None else (host, 0)
        self.on_notice: Callable[[Link, bytes], None] | None = None
        self._links: dict[tuple[str, int], ClientLink] = {}
        # Addresses whose last link was lost or did not open.
        self._unreachable: set[tuple[str, int]] = set()
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

    @property
    def links(self) -> list[ClientLink]:
        """Links that are open."""
        return [link for link in self._links.values() if not link.closed]

    def find(self, host: str, port: int) -> ClientLink | None:
        """Return the open link to an address."""
        link = self._links.get((host, port))
        return None if link is None or link.closed else link

    def find_contact(self, host: str, port: int) -> Contact:
        """Tell what is known of an address without asking it."""
        link = self._links.get((host, port))
        if link is None:
            is_lost = (host, port) in self._unreachable
            return Contact.LOST if is_lost else Contact.UNKNOWN
        if link.closed or link.leaving:
            return Contact.LOST
        return Contact.DOUBTFUL if link.is_doubtful else Contact.OPEN

    async def connect(self, host: str, port: int, deadline: float) -> None:
        """Open the link to an address unless it is open.

        Raises
        ------
        AttemptError
            If it does not open before `deadline`.
        """
        link = self._links.get((host, port))
        if link is not None and link.is_usable:
            return
        try:
            await self._open(host, port, deadline)
        except AttemptError as exc:
            if exc.refusal.cause is not Cause.DEADLINE:
                raise
            # The time for opening is over, not that of any request.
            reason = "link does not open"
            raise AttemptError.at(Cause.CONNECT_FAILED, Stage.UNSENT, reason) from exc

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
                await loop.create_connection(
                    lambda: link, *address, local_addr=self._source
                )
                await link.ready
        except asyncio.CancelledError:
            link.abandon("stopping")
            raise
        except (OSError, TimeoutError) as exc:
            link.abandon("handshake takes too long")
            self._unreachable.add(address)
            raise AttemptError.at(
                Cause.CONNECT_FAILED, Stage.UNSENT, f"link: {exc}"
            ) from exc
        link.on_silent = self._close_unheard
        link.on_notice = self.on_notice
        replaced = self._links.get(address)
        if replaced is not None:
            self._replaced.add(replaced)
        self._links[address] = link
        self._unreachable.discard(address)
        self._emit(Event(EventCode.LINK_OPENED, {"peer": f"{address[0]}:{address[1]}"}))
        return link

    def check(self, now: float) -> None:
        """Drop closed links, close idle ones and those to unreachable nodes."""
        for address, link in list(self._links.items()):
            if not link.closed and not self._reach.allows(*address):
                link.close("unreachable")
            elif link.is_idle and (link.leaving or now - link.used_at > IDLE_CLOSE_S):
                link.close(IDLE)
            if link.closed:
                del self._links[address]
                if link.close_reason not in (IDLE, DOUBTED):
                    self._unreachable.add(address)
                self._report(address, link)

        for link in list(self._replaced):
            if not link.closed and not self._reach.allows(*link.address):
                link.close("unreachable")
            elif link.is_idle and not link.is_doubtful:
                link.close("replaced")
            if link.closed:
                self._replaced.discard(link)
                self._report(link.address, link)

    def _close_unheard(self, silent: Link) -> None:
        """Keep new streams off links that may have gone silent at the same time.

        A call that is moved from the silent link would else wait as long on
        the next one. What has been heard of in that time is not silent.
        """
        now = monotonic()
        for link in list(self._links.values()):
            if not link.is_idle:
                link.is_doubtful |= link.heard_at < now - PING_INTERVAL_S
            elif link.heard_at < now - REPEAT_AFTER_S:
                link.close(DOUBTED)

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
