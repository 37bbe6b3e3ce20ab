"""One connection of a caller."""

import asyncio
import contextlib
from collections import deque
from http import HTTPStatus
from time import monotonic
from typing import TYPE_CHECKING

import logbook
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from mangowell_core.mesh.caller_memory import compute_request_bytes
from mangowell_core.policy.outcome import Stage
from mangowell_core.policy.types import Cause, Outcome
from mangowell_node.delivery import count_undelivered
from mangowell_node.exchange import (
    MAX_BUFFERED_BODY,
    AttemptError,
    Body,
    MessageFormatError,
)
from mangowell_node.ingress.framing import UploadFraming
from mangowell_node.ingress.messages import IncomingCall, Reply

if TYPE_CHECKING:
    from mangowell_node.ingress.server import IngressServer

READ_BUFFER_BYTES = 65_536  # reading from a caller pauses at twice this size
MAX_LINE_BYTES = 16_384
# Bytes that are parsed at once. The rest of what was read stays unparsed while requests
# wait, so that a pipelining caller costs few parsed heads.
PARSED_PIECE_BYTES = 16_384
# Bytes of one body in the account of its connection: as many as it keeps unread. What
# the gateway has read of a larger body is in its budget of bodies.
MAX_COUNTED_BODY_BYTES = 2 * READ_BUFFER_BYTES
MAX_PIPELINED_REQUESTS = 16  # parsed but not started, on one connection
MAX_CONCURRENT_REQUESTS = 16  # served at once, on one connection
# Time after which a caller counts as gone that takes no more bytes of its last reply,
# or sends no more bytes of an upload that was refused, in seconds.
LINGER_S = 2.0
# Longest time for which the rest of a refused upload is read, in seconds.
MAX_UPLOAD_LINGER_S = 30.0
# Time for which a closing connection is read after the caller's TCP has acknowledged
# everything, so that the caller itself can read it.
DELIVERED_LINGER_S = 0.5
LINGER_CHECK_INTERVAL_S = 0.02
# Bytes of a refused upload that are discarded between two checks, and one read.
DISCARDED_BYTES = 65_536
# Bytes of a request line beside the method and the target, and of a field beside its
# name and value: at least a colon and CRLF.
_LINE_OVERHEAD_BYTES = 12
_FIELD_OVERHEAD_BYTES = 3
_HEAD_END = b"\r\n\r\n"
# Status by the class of an error of the parser, and by others.
_MALFORMED_STATUSES = {LineTooLong: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE}
# The parser also accepts requests of HTTP/0.9, which have neither version nor fields,
# so that the rest of a malformed head would be read as another request.
_VERSIONS = frozenset({(1, 0), (1, 1)})
_BODILESS_STATUSES = frozenset({204, 304})

_log = logbook.Logger(__name__)


class _Exchange:
    """One request of a connection and the task that produces its reply.

    `holds_others` tells whether its reply streams, or probably will.
    """

    __slots__ = ("call", "content", "held_bytes", "holds_others", "task")

    def __init__(self, call: IncomingCall, content: StreamReader, held_bytes: int):
        self.call = call
        self.content = content
        # Memory of the request and, once there is one, of its reply.
        self.held_bytes = held_bytes
        self.holds_others = False
        self.task: asyncio.Future[Reply] | None = None

    def cancel(self) -> None:
        """Cancel the task or close its reply, and release what refers to this request.

        The traceback of the cancelled task refers to it, so that all the memory of the
        request would stay until a full collection. A reply that waits for earlier ones
        would keep its connection to the worker until the time limit of its request.
        """
        task, self.task = self.task, None
        # A task that has not run yet keeps this object until the event loop ends it.
        self.call = self.content = None
        if task.cancel():
            task.add_done_callback(_drop_cancellation)
            return
        if task.cancelled():
            return
        try:
            stream = task.result().stream
        except Exception:
            _log.exception("unhandled exception in a request")
            return
        if stream is not None:
            stream.close()


class CallerConnection(BaseProtocol):
    """HTTP/1.1 connection of a caller.

    Pipelined requests are served concurrently. Their replies are written in the
    order of the requests. Those behind a reply that streams start after it, as its
    worker may break it off: only the end of the connection tells that to the caller,
    and the replies behind it would be lost although their workers have run them.
    """

    __slots__ = (
        "_accepts_requests",
        "_backlog",
        "_caller_closes",
        "_content",
        "_discarded_bytes",
        "_exchanges",
        "_framing",
        "_framing_bytes",
        "_has_unread_upload",
        "_head_bytes",
        "_head_timer",
        "_is_closing",
        "_is_dropped",
        "_is_held_back",
        "_is_parser_full",
        "_linger_deadline",
        "_linger_timer",
        "_messages",
        "_pace_timer",
        "_parse_error",
        "_parse_status",
        "_request_bytes",
        "_server",
        "_undelivered",
        "_unfinished",
        "_unread_bytes",
        "_unread_since",
        "_upload_deadline",
        "_withholding_call",
        "_writer",
        "idle_since",
        "peer",
        "watched_fd",
    )

    def __init__(self, server: "IngressServer", loop: asyncio.AbstractEventLoop):
        parser = HttpRequestParser(
            self,
            loop,
            READ_BUFFER_BYTES,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            payload_exception=MessageFormatError,
            auto_decompress=False,
            max_msg_queue_size=MAX_PIPELINED_REQUESTS,
        )
        super().__init__(loop, parser)
        self._server = server
        # Parsed requests that are not started, with their bytes in the account
        # and the time of their arrival.
        self._messages: deque[tuple[RawRequestMessage, StreamReader, int, float]] = (
            deque()
        )
        self._exchanges: deque[_Exchange] = deque()
        self._writer: asyncio.Task | None = None
        self._parse_error = ""
        self._parse_status = HTTPStatus.BAD_REQUEST
        # What was read while the parser was paused, and whether the parser itself may
        # keep bytes of further requests.
        self._backlog = b""
        self._is_parser_full = False
        # Bytes of an incomplete head, and of framing since the last byte of a body.
        self._head_bytes = 0
        self._framing_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._framing = UploadFraming(server.framing_budget)
        # Set while parsing waits because of the framing of chunked bodies.
        self._pace_timer: asyncio.TimerHandle | None = None
        # Body of the request that was parsed last.
        self._content: StreamReader | None = None
        # Body of a request that has started before its body was complete.
        self._unfinished: StreamReader | None = None
        # Request whose caller waits for an interim reply before it sends the body: the
        # last one that was parsed.
        self._withholding_call: IncomingCall | None = None
        # Bytes of the requests that are parsed and not answered.
        self._request_bytes = 0
        # Whether reading is paused as the node holds too much for this connection.
        self._is_held_back = False
        # Whether the connection was closed for a limit, and holds nothing any more.
        self._is_dropped = False
        # Bytes that the caller had not acknowledged at the last check while a reply
        # waits for it to read, and since when that number is the same.
        self._unread_bytes = 0
        self._unread_since = 0.0
        self._is_closing = False
        # Set while the connection waits for the caller to read its last reply.
        self._linger_timer: asyncio.TimerHandle | None = None
        self._linger_deadline = 0.0
        self._undelivered = 0
        # Whether the caller may go on sending bytes that are not parsed, and the time
        # until which they are discarded.
        self._has_unread_upload = False
        self._upload_deadline = 0.0
        # Bytes that were discarded since the last check.
        self._discarded_bytes = 0
        self._accepts_requests = True
        # Whether the caller has announced that it sends no further request.
        self._caller_closes = False
        self.idle_since = monotonic()
        self.peer = ""
        # Descriptor under which the server watches for the end; -1 for none.
        self.watched_fd = -1

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        return self._writer is None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection with its server."""
        super().connection_made(transport)
        # None if the caller has already gone.
        self.peer = (transport.get_extra_info("peername") or ("",))[0]
        self._server.connections.add(self)
        if self._server.is_stopping:
            self.close_if_idle()
        self._server.limit_connections(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the requests in progress."""
        super().connection_lost(exc)
        self._server.forget(self)
        self._is_dropped = True
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._end_requests()

    def _end_requests(self) -> None:
        """Cancel the requests in progress and release what they hold.

        The connection, its parser and its tasks refer to each other, so what they hold
        would otherwise stay until a full collection.
        """
        for exchange in self._exchanges:
            _fail_content(exchange.content, "caller disconnected")
            exchange.cancel()
        if self._writer is not None:
            self._writer.cancel()
            self._writer = None
        self._exchanges.clear()
        self._discard_input()

    def _discard_input(self) -> None:
        """Release what was read and belongs to no started request; parse no more.

        The parser keeps the body and the bytes that it has not parsed.
        """
        self._parser = None
        self._cancel_head_timer()
        if self._pace_timer is not None:
            self._pace_timer.cancel()
            self._pace_timer = None
        self._messages.clear()
        self._backlog = b""
        self._content = self._unfinished = self._withholding_call = None
        self._head_bytes = 0
        self._request_bytes = sum(exchange.held_bytes for exchange in self._exchanges)

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the caller."""
        if self._linger_timer and self._has_unread_upload:
            linger_deadline = min(monotonic() + LINGER_S, self._upload_deadline)
            self._linger_deadline = max(self._linger_deadline, linger_deadline)
        if self._linger_timer:
            # What arrives until the next check stays unread, so that an upload without
            # end takes little work.
            self._discarded_bytes += len(data)
            if self._discarded_bytes >= DISCARDED_BYTES:
                self._pause_transport_reading()
        # What follows a refused head or body has no reply of its own: it would be taken
        # for that of the refused request.
        if (
            self._parser is None
            or self._linger_timer
            or self._parse_error
            or (self._is_closing and not self._exchanges)
        ):
            return
        is_small = len(data) <= PARSED_PIECE_BYTES
        if is_small and not (self._backlog or self._pace_timer):
            self._parse(data)
        else:
            self._parse_pieces(data)
        self._update_account()

    def _parse_pieces(self, data: bytes) -> None:
        """Parse bytes until requests wait or a body has to be read."""
        if not data:
            # The parser may hold unparsed bytes, which come before the backlog.
            self._parse(b"")
        data = self._backlog + data
        position = 0
        while position < len(data) and self._may_parse:
            end = position + PARSED_PIECE_BYTES
            self._parse(data[position:end])
            position = end
        self._backlog = b"" if self._is_closing else data[position:]

    @property
    def _may_parse(self) -> bool:
        return not (
            self._reading_paused
            or self._is_held_back
            or self._is_closing
            or self._pace_timer
            or len(self._messages) >= MAX_PIPELINED_REQUESTS
        )

    def _parse(self, data: bytes) -> None:
        content = self._content
        is_in_body = content is not None and not content.is_eof()
        body_bytes = content.total_bytes if is_in_body else 0
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except HttpProcessingError as exc:
            status = _MALFORMED_STATUSES.get(type(exc), HTTPStatus.BAD_REQUEST)
            self._handle_malformed(exc.message, status)
            return
        is_incomplete = self._consume_unfinished()
        now = monotonic()
        if not messages:
            if is_in_body:
                self._count_body(content, body_bytes)
                self._count_framing(content, body_bytes, len(data))
                is_parsed = not self._reading_paused
                self._pause_until(
                    self._framing.go_on(len(data), content, is_parsed, now), now
                )
            elif data:
                self._count_head(len(data))
            return
        ended_bytes = content.total_bytes - body_bytes if is_in_body else 0
        self._content = messages[-1][1]
        self._framing_bytes = 0
        # A request without a body ends with an empty line; a head that follows it has
        # been read in part. What follows the empty line of others is their body.
        rest = data[data.rfind(_HEAD_END) + len(_HEAD_END) :]
        has_partial_head = self._content is EMPTY_PAYLOAD and _HEAD_END in data and rest
        size = len(data) - (len(rest) if has_partial_head else 0)
        for message, content in messages:
            if message.version not in _VERSIONS:
                self._handle_malformed("unknown version of HTTP")
                break
            head_bytes = _measure_head(message)
            if head_bytes > self._server.max_header_bytes:
                self._refuse_large_head()
                break
            size -= head_bytes
            held = compute_request_bytes(head_bytes) + content.total_bytes
            self._request_bytes += held
            self._messages.append((message, content, held, monotonic()))
        if upgraded:
            # The bytes that follow are not HTTP/1.1, but the request is answered.
            self._is_closing = True
        self._pause_until(self._framing.start(messages, size, ended_bytes, now), now)
        self._head_bytes = 0
        self._cancel_head_timer()
        # The parser buffers unparsed bytes once it has reached this number.
        self._is_parser_full = len(self._messages) >= MAX_PIPELINED_REQUESTS
        if self._is_parser_full and not self._buffer_paused:
            self._pause_reading_for_buffer()
        elif has_partial_head and not self._is_closing:
            self._count_head(len(rest))
        self._start_requests()
        if is_incomplete and not self._is_closing and self._parser is not None:
            self._parse(b"")

    def _consume_unfinished(self) -> bool:
        """Tell the parser of the request that has started before it was complete.

        The parser counts each request when it is complete, and stops at a number that
        are not consumed. Returns whether it may have stopped one request too early.
        """
        if self._unfinished is None or not self._unfinished.is_eof():
            return False
        self._unfinished = None
        self._parser.message_consumed()
        return True

    def _count_head(self, size: int) -> None:
        """Count bytes of a head that is incomplete, or of empty lines before it."""
        self._head_bytes += size
        if self._head_bytes > self._server.max_header_bytes:
            self._refuse_large_head()
        elif self._head_timer is None and self._server.header_timeout_s:
            self._head_timer = self._loop.call_later(
                self._server.header_timeout_s, self._end_slow_head
            )

    def _count_body(self, content: StreamReader, before: int) -> None:
        """Count bytes of a body, unless it is large and has a budget of its own."""
        size = min(content.total_bytes, MAX_COUNTED_BODY_BYTES) - before
        if size <= 0:
            return
        if self._messages:
            message, _, held, arrived_at = self._messages[-1]
            self._messages[-1] = (message, content, held + size, arrived_at)
        elif self._exchanges:
            self._exchanges[-1].held_bytes += size
        else:
            return
        self._request_bytes += size

    def _count_framing(self, content: StreamReader, before: int, size: int) -> None:
        """Count bytes of chunk sizes, extensions and trailers within a body."""
        if content.is_eof() or content.total_bytes > before:
            self._framing_bytes = 0
            return
        self._framing_bytes += size
        if self._framing_bytes > self._server.max_header_bytes:
            self._server.count_closing("framing")
            self._handle_malformed("chunk framing too long")

    def _pause_until(self, resume_at: float, now: float) -> None:
        """Parse and read no more until then; monotonic seconds."""
        if resume_at > now and not self._is_closing:
            if self._pace_timer is not None:
                self._pace_timer.cancel()
            self._pace_timer = self._loop.call_later(
                resume_at - now, self._continue_parsing
            )
            self._pause_reading_for_buffer()

    def _continue_parsing(self) -> None:
        self._pace_timer = None
        if not self._reading_paused:
            self._resume_parsing()
        elif not (self._is_parser_full or self._is_held_back):
            # The reader of the body goes on when it has taken enough.
            self._resume_reading_for_buffer()

    def _refuse_large_head(self) -> None:
        limit = self._server.max_header_bytes
        self._server.count_closing("head-size")
        self._handle_malformed(
            f"head of more than {limit} bytes",
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        )

    def _end_slow_head(self) -> None:
        """Refuse a head that is incomplete after the time for it."""
        self._head_timer = None
        if self._buffer_paused or self._reading_paused:
            # The node has stopped reading, so the caller may have sent the rest.
            self._count_head(0)
            return
        self._server.count_closing("head-timeout")
        self._handle_malformed("head arrives too slowly", HTTPStatus.REQUEST_TIMEOUT)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    # Memory

    def _update_account(self) -> None:
        """Record what the node holds for this connection, and act on the bound."""
        if self._is_dropped or self.transport is None:
            return
        held = self._request_bytes + self._head_bytes + len(self._backlog)
        if self.is_reading_paused:
            held += PARSED_PIECE_BYTES
            self._server.watch_end(self)
        self._server.update_account(self, held + self.transport.get_write_buffer_size())

    def hold_back(self) -> None:
        """Stop reading until `release_reading`."""
        if not self._is_held_back and self.transport is not None:
            self._is_held_back = True
            self._pause_reading_for_buffer()

    def release_reading(self) -> None:
        """Resume reading after `hold_back`."""
        if self._is_held_back:
            self._is_held_back = False
            self._resume_parsing()

    def drop(self) -> None:
        """Close the connection at once and release all that is held for it.

        The event loop reports the end of the connection only after it has read from
        others and run the tasks that are due, so its requests end here: those that have
        not started never do.
        """
        self._is_dropped = self._is_closing = True
        self._server.memory.release(self)
        self._end_requests()
        self.abort()

    @property
    def is_reading_paused(self) -> bool:
        """Whether the end of the connection would not be noticed by reading."""
        return self._buffer_paused or self._reading_paused

    def fileno(self) -> int:
        """Return the descriptor of the connection, or -1 if it is closed."""
        sock = None
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
        return -1 if sock is None else sock.fileno()

    def check_progress(self, now: float) -> bool:
        """Return whether the caller reads its replies; update the account.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self._update_account()
        if not self._paused or self.transport is None:
            self._unread_since = now
            return True
        unread_bytes = count_undelivered(self.transport)
        if unread_bytes != self._unread_bytes:
            self._unread_bytes, self._unread_since = unread_bytes, now
        return now - self._unread_since < self._server.unread_timeout_s

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading if it is paused; the parser calls this after each request."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def _handle_malformed(
        self, message: str, status: HTTPStatus = HTTPStatus.BAD_REQUEST
    ) -> None:
        """Reply to malformed bytes after the replies to earlier requests."""
        self._is_closing = self._has_unread_upload = True
        self._parse_error = message or "malformed request"
        self._parse_status = status
        self._cancel_head_timer()
        self._backlog = b""
        self._head_bytes = 0
        for exchange in self._exchanges:
            _fail_content(exchange.content, message)
        for _, content, _, _ in self._messages:
            _fail_content(content, message)
        if self._writer is None and not self._messages:
            self._write_error(status, Outcome.NOT_RUN, message)
            self._close()

    def _start_requests(self) -> None:
        if not self._accepts_requests:
            return
        while self._messages and len(self._exchanges) < MAX_CONCURRENT_REQUESTS:
            if any(exchange.holds_others for exchange in self._exchanges):
                break
            message, content, held, arrived_at = self._messages.popleft()
            if content.is_eof():
                self._parser.message_consumed()
            else:
                self._unfinished = content
            exchange = _Exchange(IncomingCall(self, message, content), content, held)
            exchange.call.arrived_at = arrived_at
            exchange.holds_others = self._server.expects_stream(exchange.call)
            self._exchanges.append(exchange)
            refusal = self._server.refuse(self, exchange.call)
            if refusal is None:
                exchange.task = self._loop.create_task(self._serve(exchange))
            else:
                exchange.task = self._loop.create_future()
                exchange.task.set_result(refusal)
        if self._writer is None and self._exchanges:
            self._writer = self._loop.create_task(self._write_replies())

    async def _serve(self, exchange: _Exchange) -> Reply:
        reply = await self._server.serve(exchange.call)
        exchange.holds_others = reply.stream is not None
        size = len(reply.headers) + len(reply.body)
        exchange.held_bytes += size
        self._request_bytes += size
        return reply

    async def _write_replies(self) -> None:
        keep_alive = True
        while self._exchanges and keep_alive:
            exchange = self._exchanges[0]
            self._write_due_continue()
            keep_alive = await self._complete_exchange(exchange)
            if self._exchanges:
                self._exchanges.popleft()
                self._request_bytes -= exchange.held_bytes
            if keep_alive:
                self._start_requests()
                self._resume_parsing()
            self._update_account()
        self._writer = None
        for exchange in self._exchanges:
            # Requests after a reply that closes the connection count as unread.
            exchange.cancel()
        self._exchanges.clear()
        if self.transport is None:
            return
        if self._parse_error and keep_alive:
            message = self._parse_error
            self._write_error(self._parse_status, Outcome.NOT_RUN, message)
            self._close()
        elif self._is_closing or not keep_alive:
            self._close()
        else:
            self.idle_since = monotonic()

    def _resume_parsing(self) -> None:
        """Parse what is kept, and read on once there is room for more requests."""
        if self._is_held_back or self._pace_timer or not self._buffer_paused:
            return
        if len(self._messages) <= MAX_PIPELINED_REQUESTS // 2:
            self._is_parser_full = False
            self.data_received(b"")
            if not (self._is_parser_full or self._is_held_back or self._pace_timer):
                # A request that was parsed just now may wait for its body.
                self._resume_reading_for_buffer()

    async def _complete_exchange(self, exchange: _Exchange) -> bool:
        """Write the reply to one request and return whether more may follow."""
        try:
            reply = await exchange.task
            keep_alive = await self._write_reply(exchange, reply)
        except Exception:
            _log.exception("unhandled exception in a request")
            message = "internal error"
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            self._write_error(status, Outcome.UNKNOWN, message)
            keep_alive = False
        if not exchange.content.is_eof():
            keep_alive = False
            self._has_unread_upload = True
        return keep_alive

    def _close(self) -> None:
        """Close the connection once the caller has got everything.

        A caller may have sent a request that crosses the last reply, or go on with an
        upload that was refused. If it arrived at a closed socket, the system would
        reset the connection: it would drop what has not been sent yet, and the caller
        may miss what it has not read. Until then, all that arrives is read and
        discarded.
        """
        self._is_closing = True
        transport = self.transport
        if transport is None or transport.is_closing() or self._linger_timer:
            return
        self._undelivered = count_undelivered(transport)
        is_delivered = self._caller_closes or not self._undelivered
        if is_delivered and not self._has_unread_upload:
            transport.close()
            return
        self._discard_input()
        self._server.memory.release(self)
        transport.write_eof()
        self._resume_transport_reading()
        now = monotonic()
        self._linger_deadline = now + LINGER_S
        self._upload_deadline = now + MAX_UPLOAD_LINGER_S
        self._check_linger()

    def _check_linger(self) -> None:
        """Close the connection if the caller has had enough time to read."""
        if self.transport.is_closing():
            return
        undelivered, now = count_undelivered(self.transport), monotonic()
        if undelivered < self._undelivered:
            is_waiting = undelivered or self._has_unread_upload
            linger_s = LINGER_S if is_waiting else DELIVERED_LINGER_S
            self._linger_deadline = now + linger_s
            self._undelivered = undelivered
        if now >= self._linger_deadline:
            self.transport.close()
            return
        self._discarded_bytes = 0
        self._resume_transport_reading()
        self._linger_timer = self._loop.call_later(
            LINGER_CHECK_INTERVAL_S, self._check_linger
        )

    def close_if_idle(self) -> None:
        """Close the connection now if it is idle, else after its last reply."""
        self._is_closing = True
        if self._writer is None:
            self._close()

    def abort(self) -> None:
        """Close the connection without waiting for requests in progress."""
        if self.transport is not None:
            self.transport.abort()

    # Writing

    def write_continue(self, call: IncomingCall) -> None:
        """Tell the caller to send the body that it withholds, after earlier replies."""
        self._withholding_call = call
        self._write_due_continue()

    def _write_due_continue(self) -> None:
        """Write an interim reply if all replies to earlier requests are written."""
        call = self._withholding_call
        if call is None or not self._exchanges or self._exchanges[0].call is not call:
            return
        self._withholding_call = None
        # A caller need not wait for it.
        if self.transport is not None and not self._exchanges[0].content.is_eof():
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _write_error(self, status: HTTPStatus, outcome: Outcome, message: str) -> None:
        if self.transport is None:
            return
        body = message.encode("utf-8", "replace") + b"\n"
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nMangowell-Outcome: %b\r\nConnection: close\r\n"
            b"Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n%b"
            % (
                status,
                status.phrase.encode(),
                outcome.value.encode(),
                len(body),
                body,
            )
        )

    async def _write_reply(self, exchange: _Exchange, reply: Reply) -> bool:
        """Write a reply and return whether the connection may be reused."""
        call = exchange.call
        transport = self.transport
        stream = reply.stream
        if transport is None:
            if stream is not None:
                stream.close()
            return False
        # While draining, requests that have already been read are answered too.
        is_last = len(self._exchanges) == 1 and not self._messages
        is_ending = self._server.draining or self._is_closing
        keep_alive = call.keep_alive and exchange.content.is_eof()
        if is_last and is_ending and not self._parse_error:
            keep_alive = False
        if not keep_alive:
            # A request that starts later would be cut off by the close.
            self._accepts_requests = False
            self._caller_closes = not call.keep_alive
        body = reply.body
        framing = b""
        chunked = False
        if call.method == "HEAD":
            if reply.length >= 0:
                framing = b"Content-Length: %d\r\n" % reply.length
            body = b""
        elif stream is None:
            if reply.status not in _BODILESS_STATUSES:
                framing = b"Content-Length: %d\r\n" % len(body)
        elif reply.length >= 0:
            framing = b"Content-Length: %d\r\n" % reply.length
        elif not call.is_http_1_0:
            chunked = True
            framing = b"Transfer-Encoding: chunked\r\n"
        else:
            # HTTP/1.0 has no chunked encoding, and the caller cannot tell a body that
            # ends with the connection from a truncated one. The body is therefore
            # read completely, so that its length can be stated.
            try:
                body = await _read_whole(stream)
            except AttemptError as exc:
                message = exc.refusal.reason
                self._write_error(HTTPStatus.BAD_GATEWAY, Outcome.UNKNOWN, message)
                return False
            finally:
                stream.close()
            stream = None
            framing = b"Content-Length: %d\r\n" % len(body)
        if not keep_alive:
            framing += b"Connection: close\r\n"
        elif call.is_http_1_0:
            framing += b"Connection: keep-alive\r\n"
        transport.write(
            b"HTTP/1.1 %d %b\r\n%b%b\r\n%b"
            % (
                reply.status,
                reply.reason.encode("utf-8", "surrogateescape"),
                reply.headers,
                framing,
                body,
            )
        )
        if stream is None:
            if self._paused:
                self._update_account()
                await self._drain_helper()
            return keep_alive
        try:
            await self._write_stream(stream, reply.length, chunked)
        except (AttemptError, ConnectionError):
            # The close lets the caller detect that the reply is truncated. It must not
            # drop the replies to earlier requests.
            return False
        finally:
            stream.close()
        return keep_alive

    async def _write_stream(self, stream: Body, length: int, chunked: bool) -> None:
        transport = self.transport
        sent = 0
        while chunk := await stream.read():
            sent += len(chunk)
            if transport.is_closing():
                raise ConnectionResetError
            if chunked:
                transport.writelines((b"%x\r\n" % len(chunk), chunk, b"\r\n"))
            else:
                transport.write(chunk)
            if self._paused:
                self._update_account()
                await self._drain_helper()
        if chunked:
            transport.write(b"0\r\n\r\n")
        elif sent != length:
            raise ConnectionResetError("answer body shorter than announced")


def _drop_cancellation(task: asyncio.Task) -> None:
    """Let a cancelled task forget its exception.

    The frames in its traceback refer to the task again, so that they would stay until
    a full collection.
    """
    if task.cancelled():
        with contextlib.suppress(asyncio.CancelledError):
            task.exception()


def _measure_head(message: RawRequestMessage) -> int:
    """Return the least bytes that the head of a request can have had."""
    size = len(message.method) + len(message.path) + _LINE_OVERHEAD_BYTES
    for name, value in message.raw_headers:
        size += len(name) + len(value) + _FIELD_OVERHEAD_BYTES
    return size


def _fail_content(content: StreamReader, reason: str) -> None:
    if not content.is_eof():
        content.set_exception(MessageFormatError(reason))


async def _read_whole(stream: Body) -> bytes:
    chunks = []
    size = 0
    while chunk := await stream.read():
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_BODY:
            reason = "answer too large for HTTP/1.0"
            raise AttemptError.at(Cause.BAD_ANSWER, Stage.ANSWERED, reason)
    return b"".join(chunks)
