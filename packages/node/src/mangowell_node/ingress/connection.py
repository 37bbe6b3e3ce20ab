"""One connection of a caller."""

import asyncio
from collections import deque
from http import HTTPStatus
from time import monotonic
from typing import TYPE_CHECKING

import logbook
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import StreamReader

from mangowell_core.policy.outcome import Stage
from mangowell_core.policy.types import Cause, Outcome
from mangowell_node.delivery import count_undelivered
from mangowell_node.exchange import (
    MAX_BUFFERED_BODY,
    AttemptError,
    Body,
    MessageFormatError,
)
from mangowell_node.ingress.messages import IncomingCall, Reply

if TYPE_CHECKING:
    from mangowell_node.ingress.server import IngressServer

READ_BUFFER_BYTES = 65_536  # reading from a caller pauses at twice this size
MAX_LINE_BYTES = 16_384
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
_BODILESS_STATUSES = frozenset({204, 304})

_log = logbook.Logger(__name__)


class _Exchange:
    """One request of a connection and the task that produces its reply."""

    __slots__ = ("call", "content", "task")

    def __init__(self, call: IncomingCall, content: StreamReader, task: asyncio.Task):
        self.call = call
        self.content = content
        self.task = task


class CallerConnection(BaseProtocol):
    """HTTP/1.1 connection of a caller.

    Pipelined requests are served concurrently. Their replies are written in the
    order of the requests.
    """

    __slots__ = (
        "_accepts_requests",
        "_caller_closes",
        "_exchanges",
        "_has_unread_upload",
        "_is_closing",
        "_linger_deadline",
        "_linger_timer",
        "_messages",
        "_parse_error",
        "_parsed_count",
        "_server",
        "_undelivered",
        "_upload_deadline",
        "_writer",
        "idle_since",
        "peer",
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
        self._messages: deque[tuple[RawRequestMessage, StreamReader]] = deque()
        self._exchanges: deque[_Exchange] = deque()
        self._writer: asyncio.Task | None = None
        self._parsed_count = 0
        self._parse_error = ""
        self._is_closing = False
        # Set while the connection waits for the caller to read its last reply.
        self._linger_timer: asyncio.TimerHandle | None = None
        self._linger_deadline = 0.0
        self._undelivered = 0
        # Whether the caller may go on sending bytes that are not parsed, and the time
        # until which they are discarded.
        self._has_unread_upload = False
        self._upload_deadline = 0.0
        self._accepts_requests = True
        # Whether the caller has announced that it sends no further request.
        self._caller_closes = False
        self.idle_since = monotonic()
        self.peer = ""

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

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the requests in progress."""
        super().connection_lost(exc)
        self._server.connections.discard(self)
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        for exchange in self._exchanges:
            _fail_content(exchange.content, "caller disconnected")
            exchange.task.cancel()
        if self._writer is not None:
            self._writer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the caller."""
        if self._linger_timer and self._has_unread_upload:
            linger_deadline = min(monotonic() + LINGER_S, self._upload_deadline)
            self._linger_deadline = max(self._linger_deadline, linger_deadline)
        if self._linger_timer or (self._is_closing and not self._exchanges):
            return
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except HttpProcessingError as exc:
            self._handle_malformed(exc.message)
            return
        if messages:
            self._messages.extend(messages)
            self._parsed_count += len(messages)
            if upgraded:
                # The bytes that follow are not HTTP/1.1, but the request is answered.
                self._is_closing = True
            # The parser buffers unparsed bytes once it has reached this number.
            if (
                len(self._messages) >= MAX_PIPELINED_REQUESTS
                and not self._buffer_paused
            ):
                self._pause_reading_for_buffer()
            self._start_requests()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading if it is paused; the parser calls this after each request."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def _handle_malformed(self, message: str) -> None:
        """Reply to malformed bytes after the replies to earlier requests."""
        self._is_closing = self._has_unread_upload = True
        self._parse_error = message
        for exchange in self._exchanges:
            _fail_content(exchange.content, message)
        if self._writer is None:
            self._write_error(HTTPStatus.BAD_REQUEST, Outcome.NOT_RUN, message)
            self._close()

    def _start_requests(self) -> None:
        if not self._accepts_requests:
            return
        while self._messages and len(self._exchanges) < MAX_CONCURRENT_REQUESTS:
            message, content = self._messages.popleft()
            self._parser.message_consumed()
            call = IncomingCall(self, message, content)
            task = self._loop.create_task(self._server.serve(call))
            self._exchanges.append(_Exchange(call, content, task))
        if self._writer is None and self._exchanges:
            self._writer = self._loop.create_task(self._write_replies())

    async def _write_replies(self) -> None:
        keep_alive = True
        while self._exchanges and keep_alive:
            exchange = self._exchanges[0]
            keep_alive = await self._complete_exchange(exchange)
            if self._exchanges:
                self._exchanges.popleft()
            if keep_alive:
                self._start_requests()
                self._resume_parsing()
        self._writer = None
        for exchange in self._exchanges:
            # Requests after a reply that closes the connection count as unread.
            exchange.task.cancel()
        self._exchanges.clear()
        if self.transport is None:
            return
        if self._parse_error and keep_alive:
            message = self._parse_error
            self._write_error(HTTPStatus.BAD_REQUEST, Outcome.NOT_RUN, message)
            self._close()
        elif self._is_closing or not keep_alive:
            self._close()
        else:
            self.idle_since = monotonic()

    def _resume_parsing(self) -> None:
        if self._buffer_paused and len(self._messages) <= MAX_PIPELINED_REQUESTS // 2:
            parsed_count = self._parsed_count
            self.data_received(b"")
            if self._parsed_count == parsed_count:
                # The parser has no buffered request left.
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
        self._messages.clear()
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

    def write_continue(self) -> None:
        """Tell the caller to send the body that it withholds."""
        if self.transport is not None:
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
                await self._drain_helper()
        if chunked:
            transport.write(b"0\r\n\r\n")
        elif sent != length:
            raise ConnectionResetError("answer body shorter than announced")


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
