"""Health checks of the backend server."""

import asyncio
import contextlib
from collections.abc import Callable
from time import monotonic

import msgspec

from mangowell_node.backend.connection import BackendConnection
from mangowell_node.backend.pool import BackendPool
from mangowell_node.exchange import Answer, AttemptError, RequestHead

HEALTH_INTERVAL_S = 0.5
MIN_HEALTH_INTERVAL_S = 0.005  # after the loss of the poller's connection
HEALTH_TIMEOUT_S = 1.0
# A check on the held connection that takes longer is repeated on a new one.
SUSPECT_AFTER_S = 0.5
# HEALTH_INTERVAL_S, SUSPECT_AFTER_S and this timeout together stay below the 2 s
# within which silence has to be detected.
NEW_HEALTH_TIMEOUT_S = 0.8
# After a pause of the backend server, old and new connections answer nearly
# together; the old one may answer up to this much later.
SILENCE_GRACE_S = 0.1
# Exceeds any pause after which a backend server still answers.
HELD_CONNECTION_TIMEOUT_S = 60.0


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
        Opens the connections of the checks.
    on_health : callable
        Called after each check with status (``down`` if there is no valid answer)
        and load (0 to 1).
    """

    def __init__(self, pool: BackendPool, on_health: Callable[[str, float], None]):
        self._pool = pool
        self._on_health = on_health
        self._task: asyncio.Task | None = None
        self._conn: BackendConnection | None = None
        # Check on the held connection without an answer, and its start time.
        self._pending_check: asyncio.Task | None = None
        self._pending_since = 0.0
        self._loss_event = asyncio.Event()

    def start(self) -> None:
        """Start polling."""
        self._pool.on_loss = self._on_loss
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._cancel_pending()

    async def _run(self) -> None:
        while True:
            self._on_health(*await self.poll())
            self._loss_event.clear()
            await asyncio.sleep(MIN_HEALTH_INTERVAL_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEALTH_INTERVAL_S - MIN_HEALTH_INTERVAL_S):
                    await self._loss_event.wait()

    def _on_loss(self, conn: BackendConnection) -> None:
        if conn is self._conn:
            self._loss_event.set()

    @property
    def has_open_connection(self) -> bool:
        """Whether a connection to the backend server is held open."""
        return self._conn is not None and self._conn.is_open

    async def poll(self) -> tuple[str, float]:
        """Check the health once and return status and load.

        The connection is kept out of the pool, so that there is always one whose loss
        indicates a crash. A pooled connection may also be closed because of its
        request.
        """
        held, self._conn = self._conn, None
        try:
            if held is not None and held.is_open:
                answer = await self._check_held(held)
            else:
                answer = await self._check_new(HEALTH_TIMEOUT_S)
                await self._resolve_pending()
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

    async def _check_new(self, timeout_s: float) -> Answer:
        """Check on a new connection, which is held open afterwards."""
        deadline = monotonic() + timeout_s
        conn = await self._pool.open(deadline)
        conn.is_pooled = False
        return await self._check_on(conn, deadline)

    async def _check_held(self, conn: BackendConnection) -> Answer:
        """Check on the held connection, then on a new one if there is no answer."""
        await self._cancel_pending()
        self._pending_since = now = monotonic()
        check = asyncio.create_task(
            self._check_on(conn, now + HELD_CONNECTION_TIMEOUT_S)
        )
        self._pending_check = check
        await asyncio.wait((check,), timeout=SUSPECT_AFTER_S)
        if check.done():
            self._pending_check = None
            return check.result()
        answer = await self._check_new(NEW_HEALTH_TIMEOUT_S)
        await self._resolve_pending()
        return answer

    async def _resolve_pending(self) -> None:
        """Compare the pending check with a later one that has been answered.

        If only the new connection answers, the connections opened before the
        pending check are treated as silent as well. A pending check that ends
        within the grace period, even with an error, does not indicate silence.
        """
        if self._pending_check is None:
            return
        await asyncio.wait((self._pending_check,), timeout=SILENCE_GRACE_S)
        if not self._pending_check.done():
            # The silence may have begun after the check was sent.
            self._pool.close_silent(self._pending_since + SILENCE_GRACE_S)
        await self._cancel_pending()

    async def _cancel_pending(self) -> None:
        check, self._pending_check = self._pending_check, None
        if check is not None:
            check.cancel()
            await asyncio.gather(check, return_exceptions=True)

    async def _check_on(self, conn: BackendConnection, deadline: float) -> Answer:
        head = RequestHead(
            "", "", "GET", "/health", b"Host: health\r\n", "", "", 0, False, 0, True
        )
        try:
            await conn.start(head, deadline)
            answer = await self._pool.read_answer(conn, head, lambda error: None)
        except BaseException:
            conn.abort()
            raise
        # If both connections have answered, the newer one is already held.
        if self._conn is not None:
            conn.abort()
        else:
            self._conn = conn
        return answer
