"""Connections to one backend server."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from time import monotonic

from aiohttp.streams import StreamReader

from mangowell_core.mesh.framing_budget import FramingBudget
from mangowell_core.policy.outcome import Stage
from mangowell_core.policy.types import Cause
from mangowell_node.backend.connection import (
    RECEIVE_BYTES,
    BackendConnection,
    BackendReceiver,
)
from mangowell_node.backend.dialect import BackendDialect, NativeDialect, RefusalIds
from mangowell_node.exchange import (
    MAX_INLINE_BODY,
    Answer,
    AttemptError,
    RequestHead,
)
from mangowell_node.reach import AddressFilter

CONNECT_TIMEOUT_S = 1.0
# Below the 5 s after which common HTTP servers close an idle connection.
MAX_IDLE_S = 4.0
# Time for which a refusal without a request id counts, in seconds. It covers a burst
# of refusals; afterwards requests are sent on kept connections again.
REFUSAL_IDS_TTL_S = 10.0


class BackendBody:
    """Streamed body of an answer that is longer than `MAX_INLINE_BODY`."""

    __slots__ = ("_conn", "_on_end", "_prefix", "_reader", "length")

    def __init__(
        self,
        conn: BackendConnection,
        reader: StreamReader,
        length: int,
        on_end: Callable[[AttemptError | None], None],
        prefix: list[bytes] | None = None,
    ) -> None:
        self._prefix = prefix or []
        self._conn: BackendConnection | None = conn
        self._reader: StreamReader | None = reader
        self._on_end = on_end
        self.length = length

    async def read(self) -> bytes:
        """Return the next chunk, or ``b""`` at the end."""
        if self._prefix:
            return self._prefix.pop(0)
        if self._conn is None:
            return b""
        try:
            chunk = await self._reader.readany()
        except AttemptError as exc:
            self._end(exc)
            # The body refers to its error, whose traceback refers to the body.
            raise exc.with_traceback(None) from exc.__cause__
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
        self._reader = None
        if conn is not None:
            conn.finish()
            self._on_end(error)


class BackendPool:
    """Pool of HTTP/1.1 connections to one backend server.

    Parameters
    ----------
    host, port : str, int
        Address of the backend server.
    reach : AddressFilter
        Decides whether the address may be contacted.
    limit : int
        Maximum number of open connections.
    dialect : BackendDialect, optional
        Header fields of the backend server; `NativeDialect` by default.
    """

    def __init__(
        self,
        host: str,
        port: int,
        reach: AddressFilter,
        limit: int = 120,
        dialect: BackendDialect | None = None,
    ) -> None:
        self.dialect = dialect or NativeDialect()
        self.loop = asyncio.get_running_loop()
        self.limit = limit
        self.on_loss: Callable[[BackendConnection], None] | None = None
        self._host = host
        self._port = port
        self._reach = reach
        self._receive_buffer = bytearray(RECEIVE_BYTES)
        self.framing_budget = FramingBudget()
        self._idle: deque[BackendConnection] = deque()
        self._open: set[BackendConnection] = set()
        self._opening = 0
        self._echoes_in_refusals = False
        self._omitted_until = float("-inf")
        self.opened = 0
        self._waiters: deque[asyncio.Future] = deque()
        self._loss_times: deque[float] = deque(maxlen=32)
        self._closed = False

    @property
    def open_connections(self) -> frozenset[BackendConnection]:
        """Connections that are currently open."""
        return frozenset(self._open)

    @property
    def refusal_ids(self) -> RefusalIds:
        """Whether the refusals of the backend server bear the id of their request."""
        if monotonic() < self._omitted_until:
            return RefusalIds.OMITTED
        return RefusalIds.ECHOED if self._echoes_in_refusals else RefusalIds.UNKNOWN

    def record_refusal(self, has_id: bool) -> None:
        """Record whether a refusal bore the id of its request."""
        if has_id:
            # A backend server may omit the id in some refusals only.
            is_omitted = self.refusal_ids is RefusalIds.OMITTED
            self._echoes_in_refusals = not is_omitted
        else:
            self._echoes_in_refusals = False
            self._omitted_until = monotonic() + REFUSAL_IDS_TTL_S

    def forget_refusals(self) -> None:
        """Forget the refusals of a backend server that is no longer there."""
        self._echoes_in_refusals = False
        self._omitted_until = float("-inf")

    def record_loss(self, conn: BackendConnection) -> None:
        """Record that the backend server has closed a connection."""
        self._loss_times.append(monotonic())
        if self.on_loss is not None:
            self.on_loss(conn)

    def count_losses(self, since: float) -> int:
        """Return how many connections the backend server closed at `since` or later."""
        return sum(closed_at >= since for closed_at in self._loss_times)

    def has_older_connection(self, since: float) -> bool:
        """Return whether a connection that was opened before `since` is still open."""
        return any(c.is_open and c.opened_at < since for c in self._open)

    def close_silent(self, since: float) -> None:
        """Close silent connections that were opened before `since`.

        See `BackendConnection.close_silent`.
        """
        for conn in list(self._open):
            if conn.is_pooled and conn.opened_at < since:
                conn.close_silent(since)

    def put(self, conn: BackendConnection) -> None:
        """Make a connection available for reuse after a complete answer."""
        if self._closed:
            conn.abort()
            return
        conn.idle_since = monotonic()
        self._idle.append(conn)
        self._wake_waiter()

    def forget(self, conn: BackendConnection) -> None:
        """Remove a closed connection from the pool."""
        self._open.discard(conn)
        with contextlib.suppress(ValueError):
            self._idle.remove(conn)
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def take_idle(self, max_idle_s: float = MAX_IDLE_S) -> BackendConnection | None:
        """Take the most recently used idle connection out of the pool, if any.

        Parameters
        ----------
        max_idle_s : float
            Maximum idle time in seconds.
        """
        now = monotonic()
        while self._idle:
            conn = self._idle.pop()
            idle_s = now - conn.idle_since
            if not conn.is_open or idle_s >= min(MAX_IDLE_S, conn.max_idle_s):
                conn.abort()
            elif idle_s < max_idle_s:
                if not conn.has_unread_input:
                    return conn
                # Once the event loop has read the input, the connection ends.
                conn.prevent_reuse()
            else:
                self._idle.append(conn)
                return None
        return None

    async def open(self, deadline: float) -> BackendConnection:
        """Open a connection.

        If the limit is reached, close an idle connection, or wait until one becomes
        idle or closes.

        Raises
        ------
        AttemptError
            If no connection opens before `deadline` (monotonic seconds); the
            request has not run.
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
                    Cause.DEADLINE,
                    Stage.UNSENT,
                    "no free connection to the backend server",
                ) from None
            finally:
                if not waiter.done():
                    self._waiters.remove(waiter)
        if not self._reach.is_allowed(self._host, self._port):
            raise AttemptError.at(
                Cause.CONNECT_FAILED, Stage.UNSENT, "backend server unreachable"
            )
        self._opening += 1
        conn = BackendConnection(self)
        try:
            timeout = min(CONNECT_TIMEOUT_S, max(0, deadline - monotonic()))
            async with asyncio.timeout(timeout):
                await self.loop.create_connection(
                    lambda: BackendReceiver(conn, self._receive_buffer),
                    self._host,
                    self._port,
                )
        except (OSError, TimeoutError) as exc:
            conn.abort()
            raise AttemptError.at(
                Cause.CONNECT_FAILED, Stage.UNSENT, f"backend server: {exc}"
            ) from exc
        except asyncio.CancelledError:
            # The connection may have been established just before the cancellation.
            conn.abort()
            raise
        finally:
            self._opening -= 1
        self.opened += 1
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

        A body of known length up to `MAX_INLINE_BODY` is read completely, so that
        truncation is detected before any part of the body is passed on.

        Parameters
        ----------
        conn : BackendConnection
        head : RequestHead
        on_end : callable
            Called at the end of a streamed body only, with the error or None.
        """
        answer, body = conn.get_answer()
        if body.is_eof() and (body.total_bytes <= MAX_INLINE_BODY):
            answer.body = body.read_nowait(-1)
        elif head.method != "HEAD" and (
            0 <= answer.length <= MAX_INLINE_BODY
            or (answer.length < 0 and self.dialect.allows_close_delimited)
        ):
            try:
                chunks, is_whole = await _read_up_to_limit(body)
            except AttemptError as exc:
                # The body refers to its error, whose traceback refers to the body.
                del body
                raise exc.with_traceback(None) from exc.__cause__
            if not is_whole:
                answer.streaming = True
                return Answer(answer, BackendBody(conn, body, -1, on_end, chunks))
            answer.body = b"".join(chunks)
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


async def _read_up_to_limit(body: StreamReader) -> tuple[list[bytes], bool]:
    """Read until the end or past `MAX_INLINE_BODY`; return chunks and completeness."""
    chunks = []
    size = 0
    while chunk := await body.readany():
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_INLINE_BODY:
            return chunks, False
    return chunks, True
