"""HTTP server for callers."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDictProxy

from mangowell_core.policy.outcome import Stage
from mangowell_core.policy.types import Cause, Outcome
from mangowell_node.exchange import (
    MAX_BUFFERED_BODY,
    AttemptError,
    Body,
    MessageFormatError,
)

READ_BUFFER = 65_536  # bytes; reading from a caller pauses at twice this size
IDLE_CLOSE_S = 75.0
LINGER_S = 2.0  # reads the rest of a refused upload, so that the answer arrives


class Reply:
    """What a caller is sent.

    Parameters
    ----------
    status : int
    reason : str
    headers : bytes
        Lines that each end in CRLF, without framing fields.
    body : bytes
    stream : Body or None
        Replaces `body`.
    length : int
        Bytes of `stream`, or -1 if unknown; for HEAD the length to state.
    """

    __slots__ = ("body", "headers", "length", "reason", "status", "stream")

    def __init__(
        self,
        status: int,
        reason: str,
        headers: bytes,
        body: bytes = b"",
        stream: Body | None = None,
        length: int = -1,
    ) -> None:
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = body
        self.stream = stream
        self.length = length


class CallerBody:
    """Rest of a request body that is too large to buffer."""

    __slots__ = ("_prefix", "_reader", "length", "started")

    def __init__(self, prefix: list[bytes], reader, length: int) -> None:
        self._prefix = prefix
        self._reader = reader
        self.length = length
        self.started = False

    async def read(self) -> bytes:
        """Return the next chunk, or ``b""`` at the end."""
        self.started = True
        if self._prefix:
            return self._prefix.pop(0)
        try:
            return await self._reader.readany()
        except (web.RequestPayloadError, ConnectionError, RuntimeError) as exc:
            # The library raises RuntimeError for a connection that is closed.
            raise AttemptError.at(
                Cause.CANCELLED, Stage.SENT, f"request body cut off: {exc}"
            ) from exc

    def close(self) -> None:
        """Leave the rest unread."""


class IncomingCall:
    """Request of a caller.

    Attributes
    ----------
    method, target : str
        `target` is path and query as sent.
    headers : CIMultiDictProxy
    raw_headers : tuple of (bytes, bytes)
    """

    __slots__ = ("_request", "headers", "method", "raw_headers", "target")

    def __init__(self, request: web.BaseRequest) -> None:
        self._request = request
        self.method = request.method
        target = request.raw_path
        if not target.startswith("/"):
            target = request.rel_url.raw_path_qs
        self.target = target
        self.headers: CIMultiDictProxy[str] = request.headers
        self.raw_headers = request.raw_headers

    async def read_body(self) -> bytes | CallerBody:
        """Read the body, or its start if it is longer than the limit.

        Raises
        ------
        MessageFormatError
            If the body is malformed or cut off.
        """
        content = self._request.content
        if content.is_eof() and content.total_bytes <= MAX_BUFFERED_BODY:
            return content.read_nowait(-1)
        if self.headers.get("Expect", "").lower() == "100-continue":
            transport = self._request.transport
            if transport is not None:
                transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        chunks = []
        size = 0
        stated = int(self.headers.get("Content-Length", -1))
        while stated <= MAX_BUFFERED_BODY and size <= MAX_BUFFERED_BODY:
            try:
                chunk = await content.readany()
            except web.RequestPayloadError as exc:
                raise MessageFormatError(f"malformed body: {exc}") from exc
            if not chunk:
                return b"".join(chunks)
            chunks.append(chunk)
            size += len(chunk)
        return CallerBody(chunks, content, stated)


Serve = Callable[[IncomingCall], Awaitable[Reply]]


class _Sent:
    """Tells the library's protocol that the answer has been written."""

    __slots__ = ("keep_alive",)

    def __init__(self, keep_alive: bool) -> None:
        self.keep_alive = keep_alive

    async def prepare(self, request: web.BaseRequest) -> None:
        """Nothing is left to write."""

    async def write_eof(self) -> None:
        """Nothing is left to write."""


class _CallerProtocol(RequestHandler):
    """Adds the outcome to answers that the library makes itself."""

    __slots__ = ()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Answer a request that is malformed or met a fault of this node."""
        outcome = Outcome.NOT_RUN if status == 400 else Outcome.UNKNOWN
        if request.writer.output_size > 0:
            raise ConnectionError("an answer has already been started")
        answer = web.Response(
            status=status,
            text=message or "internal error",
            headers={"Mangowell-Outcome": outcome.value},
        )
        answer.force_close()
        return answer


class _CallerServer(web.Server):
    def __call__(self) -> RequestHandler:
        return _CallerProtocol(self, loop=self._loop, **self._kwargs)


class IngressServer:
    """Serves callers on one port.

    Parameters
    ----------
    serve : callable
        Takes an `IncomingCall` and returns its `Reply`; it is cancelled when
        the caller disconnects.
    """

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self._server: asyncio.Server | None = None
        self._web: _CallerServer | None = None
        self.draining = False

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._web = _CallerServer(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=IDLE_CLOSE_S,
            lingering_time=LINGER_S,
            read_bufsize=READ_BUFFER,
            auto_decompress=False,
            max_line_size=16_384,
            max_field_size=16_384,
        )
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._web, host, port)

    async def stop(self, timeout: float) -> None:
        """Close the listener and every connection.

        Parameters
        ----------
        timeout : float
            Seconds that answers still being written may take.
        """
        if self._server is not None:
            self._server.close()
            self._web.pre_shutdown()
            # The library takes 0 for no limit.
            await self._web.shutdown(max(timeout, 0.01))

    async def _handle(self, request: web.BaseRequest) -> _Sent:
        reply = await self._serve(IncomingCall(request))
        return await self._write(request, reply)

    async def _write(self, request: web.BaseRequest, reply: Reply) -> _Sent:
        transport = request.transport
        stream = reply.stream
        if transport is None:
            if stream is not None:
                stream.close()
            raise ConnectionResetError
        keep_alive = request.keep_alive and not self.draining
        body = reply.body
        framing = b""
        chunked = False
        if request.method == "HEAD":
            if reply.length >= 0:
                framing = b"Content-Length: %d\r\n" % reply.length
            body = b""
        elif stream is None:
            if reply.status >= 200 and reply.status not in (204, 304):
                framing = b"Content-Length: %d\r\n" % len(body)
        elif reply.length >= 0:
            framing = b"Content-Length: %d\r\n" % reply.length
        elif request.version >= (1, 1):
            chunked = True
            framing = b"Transfer-Encoding: chunked\r\n"
        else:
            # HTTP/1.0 has no chunks, and an end of the connection could be a
            # cut as well, so the length has to be known first.
            body = await self._collect(stream)
            stream = None
            framing = b"Content-Length: %d\r\n" % len(body)
        if not keep_alive:
            framing += b"Connection: close\r\n"
        elif request.version < (1, 1):
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
            if request.protocol.writing_paused:
                await request.writer.drain()
            return _Sent(keep_alive)
        try:
            await self._write_stream(request, stream, reply.length, chunked)
        except (AttemptError, ConnectionError):
            # The caller sees a cut answer, never one that looks complete.
            transport.abort()
            return _Sent(False)
        finally:
            stream.close()
        return _Sent(keep_alive)

    async def _write_stream(
        self, request: web.BaseRequest, stream: Body, length: int, chunked: bool
    ) -> None:
        transport = request.transport
        protocol = request.protocol
        sent = 0
        while chunk := await stream.read():
            sent += len(chunk)
            if transport.is_closing():
                raise ConnectionResetError
            if chunked:
                transport.writelines((b"%x\r\n" % len(chunk), chunk, b"\r\n"))
            else:
                transport.write(chunk)
            if protocol.writing_paused:
                await request.writer.drain()
        if chunked:
            transport.write(b"0\r\n\r\n")
        elif sent != length:
            raise ConnectionResetError("body shorter than announced")

    async def _collect(self, stream: Body) -> bytes:
        chunks = []
        size = 0
        while chunk := await stream.read():
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_BODY:
                stream.close()
                raise ConnectionResetError("answer too large for HTTP/1.0")
        return b"".join(chunks)
