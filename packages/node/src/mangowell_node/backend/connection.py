"""One HTTP/1.1 connection to the backend server."""

import asyncio
from time import monotonic
from typing import TYPE_CHECKING

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser
from aiohttp.streams import StreamReader

from mangowell_core.policy.deadlines import find_remaining_ms
from mangowell_core.policy.outcome import Stage
from mangowell_core.policy.types import Cause
from mangowell_node.exchange import (
    ANSWER_DROPPED,
    AnswerHead,
    AttemptError,
    Body,
    MessageFormatError,
    RequestHead,
    join_headers,
)

if TYPE_CHECKING:
    from mangowell_node.backend.pool import BackendPool

READ_BUFFER = 65_536  # bytes; reading pauses at twice this size
MAX_HEAD_BYTES = 65_536  # of an answer
_BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS", "TRACE"})
_NO_BODY_STATUSES = frozenset({204, 304})
_HEAD_END = b"\r\n\r\n"
# Body that may not have been read when a rejection of it arrives.
LONG_BODY_BYTES = 16_384
# Part of the idle time stated by the backend server for which a connection is
# used, so that a request does not cross the close.
KEEP_ALIVE_SHARE = 0.7


class BackendConnection(BaseProtocol):
    """HTTP/1.1 connection that carries one request at a time.

    It returns to its pool only after a complete, well-formed answer; every
    other end closes it, so a late answer never meets another request.
    """

    __slots__ = (
        "_body",
        "_body_left",
        "_expected_id",
        "_head",
        "_head_bytes",
        "_is_aborted",
        "_may_repeat",
        "_pool",
        "_reusable",
        "_sent_body",
        "_timer",
        "_until_eof",
        "_waiter",
        "_with_body",
        "exchanges",
        "heard_at",
        "idle_since",
        "is_pooled",
        "max_idle_s",
        "opened_at",
        "received",
        "used",
    )

    def __init__(self, pool: "BackendPool") -> None:
        super().__init__(pool.loop, None)
        self._pool = pool
        self._waiter: asyncio.Future | None = None
        self._head: AnswerHead | None = None
        self._body: StreamReader | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._reusable = True
        self._is_aborted = False
        self._may_repeat = False
        self._head_bytes = bytearray()
        # Bytes of the present answer's body that are missing; -1 if the parser
        # finds the end, None while no answer is being read.
        self._body_left: int | None = None
        self._until_eof = False
        self._sent_body = 0
        self._expected_id = ""
        self.max_idle_s = float("inf")
        self.used = False
        self.exchanges = 0
        self.received = False
        self.heard_at = 0.0
        self.idle_since = 0.0
        self.opened_at = 0.0
        self.is_pooled = True
        self._make_parser(True)

    def _make_parser(self, with_body: bool) -> None:
        self._with_body = with_body
        self._parser = HttpResponseParser(
            self,
            self._loop,
            READ_BUFFER,
            payload_exception=ConnectionError,
            response_with_body=with_body,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=16_384,
            max_field_size=16_384,
        )

    @property
    def is_open(self) -> bool:
        """Whether a request can be written."""
        return self.transport is not None and not self.transport.is_closing()

    def start(self, head: RequestHead, deadline: float) -> asyncio.Future:
        """Write a request's head and buffered body.

        Returns
        -------
        asyncio.Future
            Done when the answer's head has arrived; result ``None``.
        """
        now = monotonic()
        if head.method == "HEAD":
            # The parser has to know that no body follows; it is not reset.
            self._make_parser(False)
            self._reusable = False
        if head.streaming:
            if head.length >= 0:
                framing = b"Content-Length: %d\r\n\r\n" % head.length
            else:
                framing = b"Transfer-Encoding: chunked\r\n\r\n"
        elif head.body or head.method not in _BODILESS_METHODS:
            framing = b"Content-Length: %d\r\n\r\n" % len(head.body)
        else:
            framing = b"\r\n"
        self.received = False
        self._may_repeat = head.idempotent
        self._expected_id = head.request
        self._head_bytes.clear()
        self._body_left = None
        self._until_eof = False
        waiter = self._waiter = self._loop.create_future()
        self._timer = self._loop.call_later(deadline - now, self._expire)
        self.transport.write(
            b"%b %b HTTP/1.1\r\n%b%b%b%b"
            % (
                head.method.encode(),
                head.target.encode("utf-8", "surrogateescape"),
                head.headers,
                self._pool.dialect.write_fields(head, find_remaining_ms(deadline, now)),
                framing,
                head.body,
            )
        )
        self._sent_body = len(head.body)
        self.used = True
        self.exchanges += 1
        return waiter

    async def send_body(self, body: Body) -> None:
        """Write a streamed request body.

        Raises
        ------
        AttemptError
            If the body is cut off; the connection is closed.
        """
        chunked = body.length < 0
        sent = 0
        try:
            while chunk := await body.read():
                sent += len(chunk)
                if not self.is_open:
                    return
                if chunked:
                    self.transport.writelines((b"%x\r\n" % len(chunk), chunk, b"\r\n"))
                else:
                    self.transport.write(chunk)
                if self._paused:
                    await self._drain_helper()
            if chunked and self.is_open:
                self.transport.write(b"0\r\n\r\n")
            elif sent != body.length and self.is_open:
                raise AttemptError.at(Cause.CANCELLED, Stage.SENT, "body cut off")
        except ConnectionError:
            # The loss of the connection has ended the exchange.
            return
        except AttemptError:
            self.abort()
            raise

    def take_answer(self) -> tuple[AnswerHead, StreamReader]:
        """Return the answer's head and its body."""
        return self._head, self._body

    def finish(self) -> None:
        """End the exchange and give the connection back, if it is reusable."""
        self._stop_timer()
        head, body = self._head, self._body
        self._head = self._body = None
        if (
            self._reusable
            and self.is_open
            and body is not None
            and body.is_eof()
            and body.exception() is None
            and not self._is_upload_doubtful(head)
        ):
            if self.is_pooled:
                self._pool.put(self)
        else:
            self.abort()

    def _is_upload_doubtful(self, head: AnswerHead | None) -> bool:
        """Tell whether the backend server may not have read the whole request.

        It may reject a long body before it is in, and then close.
        """
        if self.transport.get_write_buffer_size():
            return True
        is_rejected = head is None or head.status >= 400
        return is_rejected and self._sent_body > LONG_BODY_BYTES

    def release(self) -> None:
        """Give back a connection on which nothing was sent."""
        if self.is_open:
            self._pool.put(self)

    def poison(self) -> None:
        """Close the connection after its present answer."""
        self._reusable = False

    def abort(self) -> None:
        """Close the connection, which makes the backend server stop its work."""
        self._stop_timer()
        self._waiter = None
        self._head = None
        self._is_aborted = True
        if self.transport is not None:
            self.transport.abort()

    def give_up_silent(self, since: float) -> None:
        """Close an idle connection, or a repeatable exchange without a byte.

        An exchange that may not be repeated waits on: its answer may still
        come, and giving up would only make its end unknown sooner.
        """
        if self._waiter is None and self._body is None:
            self.abort()
        elif self._may_repeat and self.heard_at < since:
            reason = "connection to the backend server is silent"
            self._fail(AttemptError.at(Cause.CONNECTION_SILENT, Stage.SENT, reason))

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        self._timer = None
        self._fail(AttemptError.at(Cause.DEADLINE, Stage.SENT, "deadline passed"))

    def _fail(self, error: AttemptError) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)
        body = self._body
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(error)
        self._stop_timer()
        self._is_aborted = True
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the backend server."""
        if self._waiter is None and (self._body is None or self._body.is_eof()):
            if data:
                # Nothing was asked for, or the answer is already complete.
                self._reusable = False
                self.transport.abort()
            return
        if data:
            self.received = True
            self.heard_at = monotonic()
        try:
            self._read(data)
        except (HttpProcessingError, ValueError, AssertionError) as exc:
            reason = f"backend server sent a malformed answer: {exc}"
            self._fail(AttemptError.at(Cause.BAD_ANSWER, Stage.ANSWERED, reason))

    def _read(self, data: bytes) -> None:
        """Give the parser one answer at a time.

        A backend server may send bytes after a complete answer. Given to the
        parser together with it, they would spoil the answer.
        """
        while data:
            if self._body_left is None:
                if self._waiter is None:
                    # Surplus bytes belong to no request.
                    self._reusable = False
                    return
                data = self._read_head(data)
            elif self._body_left < 0:
                self._feed(data)
                return
            else:
                part, data = data[: self._body_left], data[self._body_left :]
                self._body_left -= len(part)
                self._feed(part)
                if not self._body_left:
                    self._body_left = None

    def _read_head(self, data: bytes) -> bytes:
        """Read the head of an answer; return what follows it."""
        head = self._head_bytes
        start = max(0, len(head) - len(_HEAD_END) + 1)
        head += data
        end = head.find(_HEAD_END, start)
        if end < 0:
            if len(head) > MAX_HEAD_BYTES:
                raise ValueError(f"head of more than {MAX_HEAD_BYTES} bytes")
            return b""
        end += len(_HEAD_END)
        rest = bytes(head[end:])
        messages = self._feed(bytes(head[:end]))
        head.clear()
        for message, payload in messages:
            self._take_head(message, payload)
        return rest

    def _feed(self, data: bytes):
        messages, upgraded, tail = self._parser.feed_data(data)
        if upgraded or tail:
            raise ValueError("unexpected upgrade")
        return messages

    def _take_head(self, message, payload: StreamReader) -> None:
        if 100 <= message.code < 200:
            return
        try:
            head = _make_head(message, self._with_body)
        except MessageFormatError as exc:
            raise ValueError(str(exc)) from exc
        dialect = self._pool.dialect
        headers = message.headers
        has_body = self._with_body and message.code not in _NO_BODY_STATUSES
        is_framed = message.chunked or "Content-Length" in headers
        self._until_eof = has_body and not is_framed
        if not has_body or head.length == 0:
            self._body_left = None
        elif message.chunked or self._until_eof:
            self._body_left = -1
        else:
            self._body_left = head.length
        if self._until_eof and not dialect.allows_unframed:
            # Its end would be the end of the connection, which a crash looks like.
            raise ValueError("answer without Content-Length or chunked encoding")
        if message.should_close or self._until_eof:
            self._reusable = False
        if dialect.checks_identity:
            found = dialect.read_request_id(headers)
            if self._expected_id and self._is_foreign(found, message.code):
                # A late answer to an earlier request; the own one may follow.
                self._reusable = False
                if self._body_left is not None and self._body_left < 0:
                    raise ValueError("answer to another request")
                return
            head.is_not_run = dialect.is_not_run(message.code, headers)
            head.slots = dialect.read_slots(headers)
        self._read_keep_alive(headers.get("Keep-Alive", ""))
        self._head = head
        self._body = payload
        waiter, self._waiter = self._waiter, None
        if not waiter.done():
            waiter.set_result(None)

    def _is_foreign(self, found: str | None, status: int) -> bool:
        if found is None:
            # Without an id an answer is only trusted on a connection that has
            # carried no other request, or if it reports a failure.
            return self.exchanges > 1 and status < 400
        return found != self._expected_id

    def _read_keep_alive(self, value: str) -> None:
        for option in value.split(","):
            name, _, seconds = option.strip().partition("=")
            if name.lower() == "timeout" and seconds.isdecimal():
                self.max_idle_s = int(seconds) * KEEP_ALIVE_SHARE

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume only if paused; the parser calls this after each answer."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the exchange; a body that is not complete is an error."""
        super().connection_lost(exc)
        if self._until_eof and exc is None and self._body is not None:
            # Only an orderly end of the connection completes such an answer.
            if not self._body.is_eof():
                self._parser.feed_eof()
            self._body_left = None
            self._until_eof = False
            self._stop_timer()
            self._is_aborted = True
            self._pool.forget(self)
            return
        self._pool.forget(self)
        if not self._is_aborted:
            self._pool.note_loss(self)
        if self._body is None:
            error = AttemptError.at(
                Cause.CONNECTION_LOST, Stage.SENT, "backend server closed"
            )
        else:
            error = AttemptError.at(Cause.CONNECTION_LOST, Stage.SENT, "answer cut off")
        self._fail(error)


def _make_head(message, with_body: bool) -> AnswerHead:
    headers = message.headers
    length = -1
    stated = headers.get("Content-Length")
    if stated is not None:
        length = int(stated)
    if message.chunked:
        length = -1
        if headers.get("Transfer-Encoding", "").lower() != "chunked":
            raise MessageFormatError("unknown transfer encoding")
    return AnswerHead(
        status=message.code,
        reason=message.reason,
        headers=join_headers(
            message.raw_headers, ANSWER_DROPPED, headers.get("Connection")
        ),
        length=length,
        retried="Mangowell-Retried" in headers,
    )
