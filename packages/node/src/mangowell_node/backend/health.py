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
MIN_HEALTH_INTERVAL_S = 0.005  # once the poller's connection is lost
HEALTH_TIMEOUT_S = 1.0
# A check on a held connection that lasts longer is repeated on a new one.
SUSPECT_AFTER_S = 0.5
# Together with the two above within the 2 s in which silence is to be found.
NEW_HEALTH_TIMEOUT_S = 0.8
# After a pause of the backend server, old and new connections answer together.
SILENCE_GRACE_S = 0.1
# Longer than any pause after which a backend server still answers.
HELD_TIMEOUT_S = 60.0


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
        # A check that has no answer yet, and when it was sent.
        self._unanswered: asyncio.Task | None = None
        self._unanswered_since = 0.0
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
        await self._drop_unanswered()

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
                await self._judge_unanswered()
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
        """Ask on the held connection, and on a new one if it stays silent."""
        await self._drop_unanswered()
        self._unanswered_since = now = monotonic()
        check = asyncio.create_task(self._ask(conn, now + HELD_TIMEOUT_S))
        self._unanswered = check
        await asyncio.wait((check,), timeout=SUSPECT_AFTER_S)
        if check.done():
            self._unanswered = None
            return check.result()
        answer = await self._ask_new(NEW_HEALTH_TIMEOUT_S)
        await self._judge_unanswered()
        return answer

    async def _judge_unanswered(self) -> None:
        """Compare an unanswered check with one that was answered after it.

        If only the new connection answers, those opened before it are taken
        for silent as well. A check that fails for another reason tells nothing.
        """
        if self._unanswered is None:
            return
        await asyncio.wait((self._unanswered,), timeout=SILENCE_GRACE_S)
        if not self._unanswered.done():
            # The silence may have begun while the check was on its way.
            self._pool.give_up_silent(self._unanswered_since + SILENCE_GRACE_S)
        await self._drop_unanswered()

    async def _drop_unanswered(self) -> None:
        check, self._unanswered = self._unanswered, None
        if check is not None:
            check.cancel()
            await asyncio.gather(check, return_exceptions=True)

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
