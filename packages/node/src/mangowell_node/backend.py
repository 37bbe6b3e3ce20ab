"""Connections to the node's own backend server."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from time import monotonic

import msgspec
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser
from aiohttp.streams import StreamReader

from mangowell_core.policy.deadlines import find_remaining_ms
from mangowell_core.policy.outcome import Stage
from mangowell_core.policy.types import Cause
from mangowell_node.exchange import (
    ANSWER_DROPPED,
    MAX_INLINE_BODY,
    Answer,
    AnswerHead,
    AttemptError,
    Body,
    MessageFormatError,
    RequestHead,
    join_headers,
)
from mangowell_node.reach import Reach

CONNECT_TIMEOUT_S = 1.0
# Below the 5 s after which common HTTP servers close an idle connection.
MAX_IDLE_S = 4.0
HEALTH_INTERVAL_S = 0.5
MIN_HEALTH_INTERVAL_S = 0.005  # once the poller's connection is lost
HEALTH_TIMEOUT_S = 1.0
# Together with the above within the 2 s in which silence is to be found.
NEW_HEALTH_TIMEOUT_S = 0.3
# After a pause of the backend server, old and new connections answer together.
SILENCE_GRACE_S = 0.1
READ_BUFFER = 65_536  # bytes; reading pauses at twice this size
_BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS", "TRACE"})
_NO_BODY_STATUSES = frozenset({204, 304})


class BackendConnection(BaseProtocol):
    """HTTP/1.1 connection that carries one request at a time.

    It returns to its pool only after a complete, well-formed answer; every
    other end closes it, so a late answer never meets another request.
    """

    __slots__ = (
        "_body",
        "_head",
        "_is_aborted",
        "_may_repeat",
        "_pool",
        "_reusable",
        "_timer",
        "_waiter",
        "_with_body",
        "heard_at",
        "idle_since",
        "is_pooled",
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
        self.used = False
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
            read_until_eof=False,
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
        waiter = self._waiter = self._loop.create_future()
        self._timer = self._loop.call_later(deadline - now, self._expire)
        self.transport.write(
            b"%b %b HTTP/1.1\r\n%bMangowell-Deadline-Ms: %d\r\n%b%b"
            % (
                head.method.encode(),
                head.target.encode("utf-8", "surrogateescape"),
                head.headers,
                find_remaining_ms(deadline, now),
                framing,
                head.body,
            )
        )
        self.used = True
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
        body, self._head, self._body = self._body, None, None
        if (
            self._reusable
            and self.is_open
            and body is not None
            and body.is_eof()
            and body.exception() is None
        ):
            if self.is_pooled:
                self._pool.put(self)
        else:
            self.abort()

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
            messages, upgraded, tail = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError, AssertionError) as exc:
            reason = f"backend server sent a malformed answer: {exc}"
            self._fail(AttemptError.at(Cause.BAD_ANSWER, Stage.ANSWERED, reason))
            return
        if upgraded or tail:
            self._fail(
                AttemptError.at(Cause.BAD_ANSWER, Stage.ANSWERED, "unexpected upgrade")
            )
            return
        for message, payload in messages:
            if 100 <= message.code < 200:
                continue
            if self._waiter is None:
                self._reusable = False
                break
            try:
                self._head = _make_head(message, self._with_body)
            except MessageFormatError as exc:
                self._fail(AttemptError.at(Cause.BAD_ANSWER, Stage.ANSWERED, str(exc)))
                return
            if message.should_close:
                self._reusable = False
            self._body = payload
            waiter, self._waiter = self._waiter, None
            if not waiter.done():
                waiter.set_result(None)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume only if paused; the parser calls this after each answer."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the exchange; a body that is not complete is an error."""
        super().connection_lost(exc)
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
    elif with_body and not message.chunked and message.code not in _NO_BODY_STATUSES:
        # Its end would be the end of the connection, which a crash looks like.
        raise MessageFormatError("answer without Content-Length or chunked encoding")
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


class BackendBody:
    """Body of an answer that is longer than one unit."""

    __slots__ = ("_conn", "_on_end", "_reader", "length")

    def __init__(
        self,
        conn: BackendConnection,
        reader: StreamReader,
        length: int,
        on_end: Callable[[AttemptError | None], None],
    ) -> None:
        self._conn: BackendConnection | None = conn
        self._reader = reader
        self._on_end = on_end
        self.length = length

    async def read(self) -> bytes:
        """Return the next chunk, or ``b""`` at the end."""
        if self._conn is None:
            return b""
        try:
            chunk = await self._reader.readany()
        except AttemptError as exc:
            self._end(exc)
            raise
        except BaseException:
            self.close()
            raise
        if not chunk:
            self._end(None)
        return chunk

    def close(self) -> None:
        """Abort the exchange."""
        if self._conn is not None:
            self._conn.abort()
            self._end(AttemptError.at(Cause.CANCELLED, Stage.SENT, "cancelled"))

    def _end(self, error: AttemptError | None) -> None:
        conn, self._conn = self._conn, None
        if conn is not None:
            conn.finish()
            self._on_end(error)


class BackendPool:
    """Connections to one backend server.

    Parameters
    ----------
    host, port : str, int
    reach : Reach
    limit : int
        Connections that may be open at once.
    """

    def __init__(self, host: str, port: int, reach: Reach, limit: int = 120) -> None:
        self.loop = asyncio.get_running_loop()
        self.limit = limit
        self.on_loss: Callable[[BackendConnection], None] | None = None
        self._host = host
        self._port = port
        self._reach = reach
        self._idle: deque[BackendConnection] = deque()
        self._open: set[BackendConnection] = set()
        self._opening = 0
        self._waiters: deque[asyncio.Future] = deque()
        self._losses: deque[float] = deque(maxlen=32)
        self._closed = False

    @property
    def open_connections(self) -> frozenset[BackendConnection]:
        """Connections that are open now."""
        return frozenset(self._open)

    def note_loss(self, conn: BackendConnection) -> None:
        """Record that the backend server has closed a connection."""
        self._losses.append(monotonic())
        if self.on_loss is not None:
            self.on_loss(conn)

    def count_losses(self, since: float) -> int:
        """Return how many connections the backend server closed since a time."""
        return sum(lost_at >= since for lost_at in self._losses)

    def has_survivor(self, since: float) -> bool:
        """Tell whether a connection that was open at a time is open still."""
        return any(c.is_open and c.opened_at < since for c in self._open)

    def give_up_silent(self, since: float) -> None:
        """Give up the connections opened before a time; see `BackendConnection`."""
        for conn in list(self._open):
            if conn.is_pooled and conn.opened_at < since:
                conn.give_up_silent(since)

    def put(self, conn: BackendConnection) -> None:
        """Take back a connection after a complete answer."""
        if self._closed:
            conn.abort()
            return
        conn.idle_since = monotonic()
        self._idle.append(conn)
        self._wake()

    def forget(self, conn: BackendConnection) -> None:
        """Drop a connection that has closed."""
        self._open.discard(conn)
        with contextlib.suppress(ValueError):
            self._idle.remove(conn)
        self._wake()

    def _wake(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def take_idle(self) -> BackendConnection | None:
        """Return the most recently used idle connection, if there is one."""
        now = monotonic()
        while self._idle:
            conn = self._idle.pop()
            if conn.is_open and now - conn.idle_since < MAX_IDLE_S:
                return conn
            conn.abort()
        return None

    async def open(self, deadline: float) -> BackendConnection:
        """Open a connection, waiting for room if the limit is reached.

        Raises
        ------
        AttemptError
            If none opens before `deadline`; the request has not run.
        """
        while len(self._open) + self._opening >= self.limit:
            if self._idle:
                conn = self._idle.popleft()
                self._open.discard(conn)
                conn.abort()
                continue
            waiter = self.loop.create_future()
            self._waiters.append(waiter)
            try:
                async with asyncio.timeout(max(0, deadline - monotonic())):
                    await waiter
            except TimeoutError:
                raise AttemptError.at(
                    Cause.DEADLINE, Stage.UNSENT, "no free connection"
                ) from None
            finally:
                if not waiter.done():
                    self._waiters.remove(waiter)
        if not self._reach.allows(self._host, self._port):
            raise AttemptError.at(
                Cause.CONNECT_FAILED, Stage.UNSENT, "backend server unreachable"
            )
        self._opening += 1
        conn = BackendConnection(self)
        try:
            timeout = min(CONNECT_TIMEOUT_S, max(0, deadline - monotonic()))
            async with asyncio.timeout(timeout):
                await self.loop.create_connection(lambda: conn, self._host, self._port)
        except (OSError, TimeoutError) as exc:
            raise AttemptError.at(
                Cause.CONNECT_FAILED, Stage.UNSENT, f"backend server: {exc}"
            ) from exc
        except asyncio.CancelledError:
            # The connection may have been made just before.
            conn.abort()
            raise
        finally:
            self._opening -= 1
        self._open.add(conn)
        conn.opened_at = monotonic()
        return conn

    async def read_answer(
        self,
        conn: BackendConnection,
        head: RequestHead,
        on_end: Callable[[AttemptError | None], None],
    ) -> Answer:
        """Read the answer whose head has arrived on `conn`.

        A body of known length up to `MAX_INLINE_BODY` is read whole, so that a
        truncated one is seen before anything of it is passed on. `on_end` is
        called at the end of a streamed body only.
        """
        answer, body = conn.take_answer()
        if body.is_eof() and (body.total_bytes <= MAX_INLINE_BODY):
            answer.body = body.read_nowait(-1)
        elif 0 <= answer.length <= MAX_INLINE_BODY and head.method != "HEAD":
            answer.body = await _read_whole(body)
        else:
            answer.streaming = True
            stream = BackendBody(conn, body, answer.length, on_end)
            return Answer(answer, stream)
        conn.finish()
        return Answer(answer)

    def close(self) -> None:
        """Close every connection."""
        self._closed = True
        for conn in list(self._open):
            conn.abort()


async def _read_whole(body: StreamReader) -> bytes:
    chunks = []
    while chunk := await body.readany():
        chunks.append(chunk)
    return b"".join(chunks)


class HealthReply(msgspec.Struct):
    """Body of the backend server's ``GET /health``."""

    status: str
    load: float = 0.0


_health_decoder = msgspec.json.Decoder(HealthReply)
_HEALTH_STATES = frozenset({"ok", "starting", "leaving", "failing"})


class HealthPoller:
    """Polls the health endpoint of the backend server.

    Parameters
    ----------
    pool : BackendPool
    on_health : callable
        Called with status (``down`` if there is no valid answer) and load.
    """

    def __init__(self, pool: BackendPool, on_health: Callable[[str, float], None]):
        self._pool = pool
        self._on_health = on_health
        self._task: asyncio.Task | None = None
        self._conn: BackendConnection | None = None
        self._lost = asyncio.Event()

    def start(self) -> None:
        """Start polling."""
        self._pool.on_loss = self._note_loss
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            self._on_health(*await self.poll())
            self._lost.clear()
            await asyncio.sleep(MIN_HEALTH_INTERVAL_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEALTH_INTERVAL_S - MIN_HEALTH_INTERVAL_S):
                    await self._lost.wait()

    def _note_loss(self, conn: BackendConnection) -> None:
        if conn is self._conn:
            self._lost.set()

    @property
    def has_witness(self) -> bool:
        """Whether a connection to the backend server is held open."""
        return self._conn is not None and self._conn.is_open

    async def poll(self) -> tuple[str, float]:
        """Ask once; return status and load.

        The connection is kept out of the pool, so that there is always one
        whose loss tells a crash from a connection closed for its request.
        """
        held, self._conn = self._conn, None
        try:
            if held is not None and held.is_open:
                answer = await self._ask_held(held)
            else:
                answer = await self._ask_new(HEALTH_TIMEOUT_S)
            if answer.stream is not None:
                answer.stream.close()
                return "down", 0.0
            if answer.head.status != 200:
                return "failing", 0.0
            reply = _health_decoder.decode(answer.head.body)
        except (AttemptError, msgspec.DecodeError, ConnectionError):
            return "down", 0.0
        if reply.status not in _HEALTH_STATES:
            return "down", 0.0
        return reply.status, min(1.0, max(0.0, reply.load))

    async def _ask_new(self, timeout_s: float) -> Answer:
        """Ask on a new connection, which is held from now on."""
        deadline = monotonic() + timeout_s
        conn = await self._pool.open(deadline)
        conn.is_pooled = False
        return await self._ask(conn, deadline)

    async def _ask_held(self, conn: BackendConnection) -> Answer:
        """Ask on the held connection, and on a new one if it stays silent.

        If only the new one answers, the connections opened before it are
        taken for silent as well.
        """
        asked_at = monotonic()
        deadline = asked_at + 2 * HEALTH_TIMEOUT_S
        held = asyncio.create_task(self._ask(conn, deadline))
        try:
            await asyncio.wait((held,), timeout=HEALTH_TIMEOUT_S)
            if held.done():
                return held.result()
            answer = await self._ask_new(NEW_HEALTH_TIMEOUT_S)
            await asyncio.wait((held,), timeout=SILENCE_GRACE_S)
            if not held.done():
                self._pool.give_up_silent(asked_at)
            return answer
        finally:
            held.cancel()
            await asyncio.gather(held, return_exceptions=True)

    async def _ask(self, conn: BackendConnection, deadline: float) -> Answer:
        head = RequestHead(
            "", "", "GET", "/health", b"Host: health\r\n", "", "", 0, False, 0, True
        )
        try:
            await conn.start(head, deadline)
            answer = await self._pool.read_answer(conn, head, lambda error: None)
        except BaseException:
            conn.abort()
            raise
        # Of two connections that answered, the one asked last is held.
        if self._conn is not None:
            conn.abort()
        else:
            self._conn = conn
        return answer
