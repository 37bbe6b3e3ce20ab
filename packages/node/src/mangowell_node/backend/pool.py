"""Connections to one backend server."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from time import monotonic

from aiohttp.streams import StreamReader

from mangowell_core.policy.outcome import Stage
from mangowell_core.policy.types import Cause
from mangowell_node.backend.connection import BackendConnection
from mangowell_node.backend.dialect import OwnDialect, WorkerDialect
from mangowell_node.exchange import (
    MAX_INLINE_BODY,
    Answer,
    AttemptError,
    RequestHead,
)
from mangowell_node.reach import Reach

CONNECT_TIMEOUT_S = 1.0
# Below the 5 s after which common HTTP servers close an idle connection.
MAX_IDLE_S = 4.0


class BackendBody:
    """Body of an answer that is longer than one unit."""

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
        self._reader = reader
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
    dialect : WorkerDialect, optional
        Header fields of the backend server.
    """

    def __init__(
        self,
        host: str,
        port: int,
        reach: Reach,
        limit: int = 120,
        dialect: WorkerDialect | None = None,
    ) -> None:
        self.dialect = dialect or OwnDialect()
        self.loop = asyncio.get_running_loop()
        self.limit = limit
        self.on_loss: Callable[[BackendConnection], None] | None = None
        self._host = host
        self._port = port
        self._reach = reach
        self._idle: deque[BackendConnection] = deque()
        self._open: set[BackendConnection] = set()
        self._opening = 0
        self.opened = 0
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

    def take_idle(self, max_idle_s: float = MAX_IDLE_S) -> BackendConnection | None:
        """Return the most recently used idle connection, if there is one.

        Parameters
        ----------
        max_idle_s : float
            Seconds that it may have been idle.
        """
        now = monotonic()
        while self._idle:
            conn = self._idle.pop()
            idle_s = now - conn.idle_since
            if not conn.is_open or idle_s >= min(MAX_IDLE_S, conn.max_idle_s):
                conn.abort()
            elif idle_s < max_idle_s:
                return conn
            else:
                self._idle.append(conn)
                return None
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

        A body of known length up to `MAX_INLINE_BODY` is read whole, so that a
        truncated one is seen before anything of it is passed on. `on_end` is
        called at the end of a streamed body only.
        """
        answer, body = conn.take_answer()
        if body.is_eof() and (body.total_bytes <= MAX_INLINE_BODY):
            answer.body = body.read_nowait(-1)
        elif head.method != "HEAD" and (
            0 <= answer.length <= MAX_INLINE_BODY
            or (answer.length < 0 and self.dialect.allows_unframed)
        ):
            chunks, is_whole = await _read_part(body)
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


async def _read_part(body: StreamReader) -> tuple[list[bytes], bool]:
    """Read up to `MAX_INLINE_BODY` bytes; tell whether that was all."""
    chunks = []
    size = 0
    while chunk := await body.readany():
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_INLINE_BODY:
            return chunks, False
    return chunks, True
