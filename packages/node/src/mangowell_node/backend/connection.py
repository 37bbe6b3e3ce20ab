"""One HTTP/1.1 connection to the backend server."""

import asyncio
import re
import select
from time import monotonic
from typing import TYPE_CHECKING

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import HttpResponseParser
from aiohttp.streams import StreamReader

from mangowell_core import formats
from mangowell_core.mesh.framing_budget import BodyFraming
from mangowell_core.policy.deadlines import compute_remaining_ms
from mangowell_core.policy.outcome import Stage
from mangowell_core.policy.types import Cause
from mangowell_node.backend.dialect import RefusalIds
from mangowell_node.exchange import (
    BODILESS_STATUSES,
    DROPPED_ANSWER_HEADERS,
    FINAL_STATUSES,
    MAX_STATED_LENGTH,
    AnswerHead,
    AttemptError,
    Body,
    MessageFormatError,
    RequestHead,
    join_headers,
)

if TYPE_CHECKING:
    from mangowell_node.backend.pool import BackendPool

# An answer that nobody reads holds up to twice READ_BUFFER_BYTES, at which reading
# pauses, and one read. Both are small, as 48 such answers with reads of the event
# loop, 256 KiB each, took 18 MB.
READ_BUFFER_BYTES = 32_768
RECEIVE_BYTES = 32_768
# Limit of the heads of one exchange: status line and fields of the answer, of the
# interim answers before it, and of late answers to earlier requests.
MAX_HEAD_BYTES = 65_536
# Limit of the number of these heads: each takes as much work as an answer.
MAX_HEADS = 64
# Limit of the bodies of late answers within one exchange, which nobody reads.
MAX_SKIPPED_BYTES = 1_048_576
# Limit of the chunk sizes, extensions and trailers of a body: a fixed number, and a
# multiple of the body's bytes. Chunks of one byte take five bytes of framing each.
MAX_FRAMING_BYTES = 65_536
MAX_FRAMING_RATIO = 16
# Bytes of a chunked body that are parsed at once.
PARSED_PIECE_BYTES = 4096
_BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS", "TRACE"})
_HEAD_START = b"HTTP/"
_HEAD_END = b"\r\n\r\n"
# A backend server may reject a longer request body before it has read all of it.
LONG_BODY_BYTES = 16_384
# Fraction of the stated keep-alive timeout for which an idle connection is reused.
# The rest is a margin against sending a request while the backend server closes.
KEEP_ALIVE_FRACTION = 0.7
_SECONDS = re.compile(r"[0-9]{1,9}")


class BackendReceiver(asyncio.BufferedProtocol):
    """Protocol of the transport, which bounds the bytes of one read.

    Event loops offer this only to protocols that are no `asyncio.Protocol`, which
    those of the HTTP library are.

    Parameters
    ----------
    conn : BackendConnection
    buffer : bytearray
        Buffer for one read. Connections may share it, as no read outlasts the call
        of the event loop.
    """

    __slots__ = ("_buffer", "_conn")

    def __init__(self, conn: "BackendConnection", buffer: bytearray) -> None:
        self._conn = conn
        self._buffer = buffer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the transport on."""
        self._conn.connection_made(transport)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on a copy of the bytes that were read."""
        self._conn.data_received(bytes(memoryview(self._buffer)[:nbytes]))

    def pause_writing(self) -> None:
        """Pass on that the transport's buffer is full."""
        self._conn.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the transport's buffer has drained."""
        self._conn.resume_writing()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Pass on the end of the connection."""
        self._conn.connection_lost(exc)


class BackendConnection(BaseProtocol):
    """HTTP/1.1 connection that carries one request at a time.

    The connection returns to its pool only after a complete, well-formed answer.
    Any other end of the exchange closes it, so that a late answer is never taken
    for the answer to another request.
    """

    __slots__ = (
        "_backlog",
        "_body",
        "_body_bytes_left",
        "_chunks_end",
        "_expected_id",
        "_expects_body",
        "_framing",
        "_has_skipped_answer",
        "_has_skipped_refusal",
        "_head",
        "_head_bytes",
        "_heads_bytes",
        "_heads_count",
        "_is_aborted",
        "_is_repeatable",
        "_is_reusable",
        "_is_skipping_body",
        "_is_taken",
        "_pace_timer",
        "_pool",
        "_reads_until_eof",
        "_sent_body_bytes",
        "_skipped_bytes",
        "_timer",
        "_waiter",
        "exchanges",
        "has_received",
        "idle_since",
        "is_pooled",
        "last_received_at",
        "max_idle_s",
        "opened_at",
        "used",
    )

    def __init__(self, pool: "BackendPool") -> None:
        super().__init__(pool.loop, None)
        self._pool = pool
        self._waiter: asyncio.Future | None = None
        self._head: AnswerHead | None = None
        self._body: StreamReader | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_reusable = True
        self._is_aborted = False
        self._is_repeatable = False
        self._head_bytes = bytearray()
        # Since the request: bytes of all complete heads and of empty lines before them,
        # number of these heads, framing of the body, and bytes of bodies that belong to
        # other requests.
        self._heads_bytes = 0
        self._heads_count = 0
        self._framing = BodyFraming(pool.framing_budget)
        self._skipped_bytes = 0
        # Bytes of a chunked body that are not parsed yet, and the timer that goes on.
        self._backlog = b""
        self._pace_timer: asyncio.TimerHandle | None = None
        # Body bytes of the current answer that have not arrived; -1 if only the
        # parser can find the end, None while no body is being read.
        self._body_bytes_left: int | None = None
        # Last bytes of a chunked body that have arrived.
        self._chunks_end = b""
        self._reads_until_eof = False
        self._sent_body_bytes = 0
        self._expected_id = ""
        # Whether this exchange has skipped an answer to another request, and whether
        # one of these was a refusal without an id.
        self._has_skipped_answer = False
        self._has_skipped_refusal = False
        # Whether the current body belongs to an answer that is skipped.
        self._is_skipping_body = False
        # Whether the answer of the current exchange has been handed out.
        self._is_taken = False
        self.max_idle_s = float("inf")
        self.used = False
        self.exchanges = 0
        self.has_received = False
        self.last_received_at = 0.0
        self.idle_since = 0.0
        self.opened_at = 0.0
        self.is_pooled = True
        self._create_parser(True)

    def _create_parser(self, expects_body: bool) -> None:
        self._expects_body = expects_body
        self._parser = HttpResponseParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            payload_exception=ConnectionError,
            response_with_body=expects_body,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=16_384,
            max_field_size=16_384,
        )

    @property
    def is_open(self) -> bool:
        """Whether a request can be written to the connection."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def has_unread_input(self) -> bool:
        """Whether bytes, or the end of the connection, wait to be read."""
        sock = self.transport.get_extra_info("socket")
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def start(self, head: RequestHead, deadline: float) -> asyncio.Future:
        """Write a request's head and buffered body.

        Parameters
        ----------
        head : RequestHead
        deadline : float
            Monotonic seconds; the exchange fails when it passes.

        Returns
        -------
        asyncio.Future
            Completes with ``None`` when the answer's head has arrived.
        """
        now = monotonic()
        if head.method == "HEAD":
            # The parser must know that no body follows. It cannot be reset, so the
            # connection is not reused.
            self._create_parser(False)
            self._is_reusable = False
        if head.streaming:
            if head.length >= 0:
                framing = b"Content-Length: %d\r\n\r\n" % head.length
            else:
                framing = b"Transfer-Encoding: chunked\r\n\r\n"
        elif head.body or head.method not in _BODILESS_METHODS:
            framing = b"Content-Length: %d\r\n\r\n" % len(head.body)
        else:
            framing = b"\r\n"
        self.has_received = self._is_taken = False
        self._is_repeatable = head.idempotent
        self._expected_id = head.request
        self._head_bytes.clear()
        self._heads_bytes = self._heads_count = self._skipped_bytes = 0
        self._framing = BodyFraming(self._pool.framing_budget)
        self._body_bytes_left = None
        self._chunks_end = b""
        self._reads_until_eof = False
        self._has_skipped_answer = self._has_skipped_refusal = False
        waiter = self._waiter = self._loop.create_future()
        self._timer = self._loop.call_later(deadline - now, self._on_deadline)
        self.transport.write(
            b"%b %b HTTP/1.1\r\n%b%b%b%b"
            % (
                head.method.encode(),
                head.target.encode("utf-8", "surrogateescape"),
                head.headers,
                self._pool.dialect.write_fields(
                    head, compute_remaining_ms(deadline, now)
                ),
                framing,
                head.body,
            )
        )
        self._sent_body_bytes = len(head.body)
        self.used = True
        self.exchanges += 1
        return waiter

    async def send_body(self, body: Body) -> None:
        """Write a streamed request body.

        Raises
        ------
        AttemptError
            If the body ends before its stated length; the connection is closed.
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
                raise AttemptError.at(
                    Cause.CANCELLED, Stage.SENT, "request body cut off"
                )
        except ConnectionError:
            # `connection_lost` has already ended the exchange.
            return
        except AttemptError:
            self.abort()
            raise

    def get_answer(self) -> tuple[AnswerHead, StreamReader]:
        """Return the answer's head and its body."""
        self._is_taken = True
        head, body = self._head, self._body
        if self.transport is None:
            self._release()
        return head, body

    def finish(self) -> None:
        """End the exchange and return the connection to its pool if it is reusable."""
        self._stop_timers()
        head, body = self._head, self._body
        self._head = self._body = None
        if (
            self._is_reusable
            and self.is_open
            and body is not None
            and body.is_eof()
            and body.exception() is None
            # The parser takes bytes behind a chunked body for the next answer. As
            # it does not report them, the connection must end with the body.
            and (not self._chunks_end or self._chunks_end == _HEAD_END)
            and not self._may_have_unread_upload(head)
        ):
            if self.is_pooled:
                self._pool.put(self)
        else:
            self.abort()

    def _may_have_unread_upload(self, head: AnswerHead | None) -> bool:
        """Return whether the backend server may not have read the whole request.

        A backend server may reject a long body before it has read all of it, and
        then close the connection.
        """
        if self.transport.get_write_buffer_size():
            return True
        is_rejected = head is None or head.status >= 400
        return is_rejected and self._sent_body_bytes > LONG_BODY_BYTES

    def release(self) -> None:
        """Return the connection to its pool; no request was sent on it."""
        if self.is_open:
            self._pool.put(self)

    def prevent_reuse(self) -> None:
        """Close the connection after its current answer."""
        self._is_reusable = False

    def abort(self) -> None:
        """Close the connection, which cancels the request at the backend server."""
        self._stop_timers()
        self._record_unanswered()
        self._waiter = None
        self._head = None
        self._is_aborted = True
        if self.transport is not None:
            self.transport.abort()
        else:
            self._release()

    def _release(self) -> None:
        """Drop what a lost connection holds for its answer.

        Parser and body refer to the connection, so that all three, with the unread
        bytes, would otherwise stay until a full collection. An answer that has not
        been handed out yet may be complete, and its body is kept.
        """
        self._parser = None
        self._head_bytes = bytearray()
        self._backlog = b""
        if self._is_taken or self._head is None:
            self._body = None

    def close_silent(self, since: float) -> None:
        """Close the connection if it is idle, or silent during a repeatable request.

        A request that may not be repeated keeps waiting: its answer may still
        arrive, and failing it would only report an unknown outcome earlier.

        Parameters
        ----------
        since : float
            Monotonic seconds; silent means that no byte has arrived since then.
        """
        if self._waiter is None and self._body is None:
            self.abort()
        elif self._is_repeatable and self.last_received_at < since:
            reason = "connection to the backend server is silent"
            self._fail(AttemptError.at(Cause.CONNECTION_SILENT, Stage.SENT, reason))

    def _stop_timers(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._pace_timer is not None:
            self._pace_timer.cancel()
            self._pace_timer = None

    def _on_deadline(self) -> None:
        self._timer = None
        self._fail(AttemptError.at(Cause.DEADLINE, Stage.SENT, "deadline passed"))

    def _fail(self, error: AttemptError) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)
        body = self._body
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(error)
        self._stop_timers()
        self._record_unanswered()
        self._is_aborted = True
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the backend server."""
        if self._parser is None:
            # A reader drains the body of a lost connection.
            return
        if self._waiter is None and (self._body is None or self._body.is_eof()):
            if data:
                # No request is open, or its answer is already complete.
                self._is_reusable = False
                self.transport.abort()
            return
        if data:
            self.has_received = True
            self.last_received_at = monotonic()
        try:
            formats.decode(self._parse_answers, data, MessageFormatError)
        except MessageFormatError as exc:
            reason = f"backend server sent a malformed answer: {exc}"
            self._fail(AttemptError.at(Cause.BAD_ANSWER, Stage.ANSWERED, reason))

    def _parse_answers(self, data: bytes) -> None:
        """Pass bytes to the parser, one answer at a time.

        A backend server may send bytes after a complete answer. If the parser
        received both together, an error in the later bytes would fail the answer.
        Without bytes, it continues with those that it kept while reading was paused.
        """
        if not data and self._body is not None:
            if self._feed(data):
                # Another answer in the bytes behind a chunked body.
                self._is_reusable = False
            if self._backlog:
                self._feed_unframed(data)
        while data:
            if self._body_bytes_left is None:
                if self._waiter is None:
                    # Bytes after a complete answer belong to no request.
                    self._is_reusable = False
                    return
                data = self._parse_head(data)
            elif self._body_bytes_left < 0:
                self._feed_unframed(data)
                return
            else:
                part, data = (
                    data[: self._body_bytes_left],
                    data[self._body_bytes_left :],
                )
                self._body_bytes_left -= len(part)
                if self._is_skipping_body:
                    self._count_skipped(len(part))
                else:
                    self._feed(part)
                if not self._body_bytes_left:
                    self._body_bytes_left = None

    def _count_skipped(self, size: int) -> None:
        self._skipped_bytes += size
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            reason = f"answers to other requests of more than {MAX_SKIPPED_BYTES} bytes"
            raise ValueError(reason)

    def _parse_head(self, data: bytes) -> bytes:
        """Parse the head of an answer and return the bytes that follow it."""
        head = self._head_bytes
        if not head:
            # Empty lines before a head are no part of it. The parser would take each of
            # them for a head of its own.
            size = len(data)
            data = data.lstrip(b"\r\n")
            self._count_head_bytes(size - len(data))
            if not data:
                return b""
        start = max(0, len(head) - len(_HEAD_END) + 1)
        head += data
        # Bytes that begin no answer, such as the body of an interim one, must not keep
        # the request waiting for the end of a head until its time limit.
        if not _HEAD_START.startswith(head[: len(_HEAD_START)]):
            raise ValueError("bytes that begin no answer")
        end = head.find(_HEAD_END, start)
        if end < 0:
            self._check_head_bytes(len(head))
            return b""
        end += len(_HEAD_END)
        self._count_head_bytes(end)
        self._heads_count += 1
        if self._heads_count > MAX_HEADS:
            raise ValueError(f"more than {MAX_HEADS} answer heads")
        rest = bytes(head[end:])
        messages = self._feed(bytes(head[:end]))
        head.clear()
        for message, payload in messages:
            self._handle_head(message, payload)
        return rest

    def _count_head_bytes(self, size: int) -> None:
        self._check_head_bytes(size)
        self._heads_bytes += size

    def _check_head_bytes(self, size: int) -> None:
        if self._heads_bytes + size > MAX_HEAD_BYTES:
            raise ValueError(f"answer heads of more than {MAX_HEAD_BYTES} bytes")

    def _feed_unframed(self, data: bytes) -> None:
        """Parse a part of a body whose end only the parser can find.

        What the parser cannot take yet, or what has to wait for its turn, is kept, and
        reading is paused.
        """
        if self._reads_until_eof:
            self._feed(data)
            return
        data = self._backlog + data
        position = 0
        while (
            position < len(data) and not self._reading_paused and not self._pace_timer
        ):
            piece = data[position : position + PARSED_PIECE_BYTES]
            position += len(piece)
            self._feed_piece(piece)
        self._backlog = data[position:]
        if self._backlog:
            self._pause_reading_for_buffer()
        elif self._buffer_paused:
            self._resume_reading_for_buffer()

    def _feed_piece(self, piece: bytes) -> None:
        """Parse a piece of a chunked body, and check its framing.

        The parser accepts a chunk size or extension of any length, so that a body
        could keep the processor busy without making progress. Small chunks make
        progress, but take as much work.
        """
        body = self._body
        if self._feed(piece):
            # Another answer in the bytes behind the body.
            self._is_reusable = False
        self._chunks_end = (self._chunks_end + piece[-4:])[-4:]
        now = monotonic()
        resume_at = self._framing.count(len(piece), body.total_bytes, now)
        limit = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * body.total_bytes
        if self._framing.compute_bytes(body.total_bytes) > limit:
            raise ValueError(f"chunk framing of more than {limit} bytes")
        if resume_at > now and not body.is_eof():
            self._pace_timer = self._loop.call_later(
                resume_at - now, self._continue_parsing
            )

    def _continue_parsing(self) -> None:
        self._pace_timer = None
        # Otherwise the reader of the body goes on when it has taken enough.
        if not self._reading_paused:
            self.data_received(b"")

    def _feed(self, data: bytes):
        messages, upgraded, tail = self._parser.feed_data(data)
        if upgraded or tail:
            raise ValueError("unexpected protocol upgrade")
        return messages

    def _handle_head(self, message, payload: StreamReader) -> None:
        if 100 <= message.code < 200:
            if not payload.is_eof():
                # An interim answer has no body, but the parser expects one because of
                # its fields. Only a new parser reads the next answer.
                self._create_parser(self._expects_body)
            return
        if message.code not in FINAL_STATUSES:
            raise ValueError(f"status {message.code:03}")
        try:
            head = _make_head(message, self._expects_body)
        except MessageFormatError as exc:
            raise ValueError(str(exc)) from exc
        dialect = self._pool.dialect
        headers = message.headers
        has_body = self._expects_body and message.code not in BODILESS_STATUSES
        is_framed = message.chunked or "Content-Length" in headers
        self._reads_until_eof = has_body and not is_framed
        if not has_body or head.length == 0:
            self._body_bytes_left = None
        elif message.chunked or self._reads_until_eof:
            self._body_bytes_left = -1
        else:
            self._body_bytes_left = head.length
        if self._reads_until_eof and not dialect.allows_close_delimited:
            # Only the end of the connection would mark the end of this body, and a
            # crash of the backend server ends the connection in the same way.
            raise ValueError("answer without Content-Length or chunked encoding")
        if message.should_close or self._reads_until_eof:
            self._is_reusable = False
        if not has_body and (message.chunked or head.length > 0):
            # The backend server may still send the body that its fields announce.
            self._is_reusable = False
        if dialect.echoes_request_id:
            found = dialect.read_request_id(headers)
            head.is_not_run = dialect.is_not_run(message.code, headers)
            if found is None:
                # The worker may write a copy of this answer later.
                self._is_reusable = False
            if self._is_for_other_request(found, head):
                # A late answer to an earlier request; the answer to the current
                # request may follow.
                self._is_reusable = False
                self._has_skipped_answer = True
                if self._body_bytes_left is not None and self._body_bytes_left < 0:
                    raise ValueError("answer to another request")
                if self._body_bytes_left is not None:
                    # Nobody reads this body, so the parser would pause. The next
                    # answer needs a parser that has not begun a body.
                    self._create_parser(self._expects_body)
                self._is_skipping_body = True
                return
            self._is_skipping_body = False
            self._has_skipped_refusal = False
            if head.is_not_run:
                self._pool.record_refusal(found is not None)
                head.instance = dialect.read_instance(headers)
            head.slots = dialect.read_slots(headers)
            head.rate_limit = dialect.read_rate_limit(headers)
            head.is_leaving = dialect.is_leaving(headers)
            head.pace = dialect.read_pace(headers)
        self._read_keep_alive(headers.get("Keep-Alive", ""))
        self._head = head
        self._body = payload
        waiter, self._waiter = self._waiter, None
        if not waiter.done():
            waiter.set_result(None)

    def _is_for_other_request(self, found: str | None, head: AnswerHead) -> bool:
        """Return whether an answer belongs to another request than the current one.

        An answer without an id belongs to the current request only if nothing else
        can have been answered on the connection. Otherwise it may be a copy of an
        earlier answer, and the backend server may run the current request.

        Raises
        ------
        ValueError
            If the answer may belong to the current request or to another one.
        """
        if found is not None:
            return found != self._expected_id
        if self.exchanges == 1 and not self._has_skipped_answer:
            return False
        if head.status < 400:
            return True
        if self._pool.refusal_ids is RefusalIds.ECHOED:
            self._has_skipped_refusal |= head.is_not_run
            return True
        if head.is_not_run:
            self._pool.record_refusal(False)
        raise ValueError("no request id, and the connection had other requests")

    def _record_unanswered(self) -> None:
        """Record that a skipped refusal without an id was the only answer."""
        if self._has_skipped_refusal:
            self._has_skipped_refusal = False
            self._pool.record_refusal(False)

    def _read_keep_alive(self, value: str) -> None:
        for option in value.split(","):
            name, _, seconds = option.strip().partition("=")
            if name.lower() == "timeout" and _SECONDS.fullmatch(seconds):
                self.max_idle_s = int(seconds) * KEEP_ALIVE_FRACTION

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading if it is paused; the parser calls this after each answer."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the exchange; an incomplete body is an error."""
        super().connection_lost(exc)
        if (
            self._reads_until_eof
            and exc is None
            and self._body is not None
            and not self._is_aborted
        ):
            # Only an orderly close by the backend server completes an unframed
            # answer, not a reset or an abort by this node.
            if not self._body.is_eof():
                self._parser.feed_eof()
            self._body_bytes_left = None
            self._reads_until_eof = False
            self._stop_timers()
            self._is_aborted = True
            self._pool.forget(self)
            self._release()
            return
        self._pool.forget(self)
        if not self._is_aborted:
            self._pool.record_loss(self)
        if self._body is None:
            error = AttemptError.at(
                Cause.CONNECTION_LOST, Stage.SENT, "backend server closed"
            )
        else:
            error = AttemptError.at(Cause.CONNECTION_LOST, Stage.SENT, "answer cut off")
        self._fail(error)
        self._release()


def _make_head(message, expects_body: bool) -> AnswerHead:
    headers = message.headers
    length = -1
    stated_length = headers.get("Content-Length")
    if stated_length is not None:
        length = int(stated_length)
        if length > MAX_STATED_LENGTH:
            raise MessageFormatError("length out of range")
    if message.chunked:
        length = -1
        if headers.get("Transfer-Encoding", "").lower() != "chunked":
            raise MessageFormatError("unknown transfer encoding")
    return AnswerHead(
        status=message.code,
        # Bytes that are no text could be sent neither on a link nor to the caller.
        reason=formats.quote(message.reason),
        headers=join_headers(
            message.raw_headers, DROPPED_ANSWER_HEADERS, headers.get("Connection")
        ),
        length=length,
        retried="Mangowell-Retried" in headers,
    )
