"""Runs requests at the node's own worker."""

import asyncio
from collections.abc import Callable
from time import monotonic

from mangowell_core.mesh import (
    Admission,
    CrashLedger,
    Directory,
    MeshSettings,
    Verdict,
)
from mangowell_core.mesh.admission import Ticket
from mangowell_core.mesh.model import Endpoint
from mangowell_core.policy.outcome import Stage, refuse
from mangowell_core.policy.types import Cause
from mangowell_node.backend import BackendConnection, BackendPool
from mangowell_node.exchange import (
    Answer,
    AttemptError,
    Body,
    RequestHead,
    find_fingerprint,
)
from mangowell_node.mesh.tasks import start_loop
from mangowell_node.platform import PlatformDialect
from mangowell_node.reach import Reach

# Requests that may run once go on connections that were used a moment ago: one
# that the worker closes while idle would leave it unknown whether they ran.
FRESH_IDLE_S = 0.5
# Interval in which waiting requests are checked, seconds.
SWEEP_INTERVAL_S = 0.02
# Until the worker is listed, as many requests run as on a small worker.
DEFAULT_SLOTS = 6
# Connections of the worker that are left to others, such as its health checks.
SPARE_CONNECTIONS = 10
DEFAULT_CONNECTIONS = 60
# Time in which the connections of a crashed worker are lost, seconds.
CRASH_WINDOW_S = 0.05
# Calls of running requests go before all priorities of new requests.
CALL_RANK = -1


class WorkerRunner:
    """Admits requests to the worker beside this node, and exchanges them.

    Parameters
    ----------
    settings : MeshSettings
    directory : Directory
    ledger : CrashLedger
    """

    def __init__(
        self, settings: MeshSettings, directory: Directory, ledger: CrashLedger
    ):
        self._ledger = ledger
        self._lost: list[str] = []
        self._crash_check: asyncio.Task | None = None
        # Called with the crash and the fingerprints of what ran.
        self.on_crash: Callable[[str, tuple[str, ...]], None] = _ignore_crash
        self._settings = settings
        self._directory = directory
        self._own: Endpoint | None = None
        self._running_ids: set[str] = set()
        self._waiting: dict[Ticket, asyncio.Future] = {}
        self._sweeper: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self.admission = Admission(DEFAULT_SLOTS)
        self.pool = BackendPool(
            settings.worker.host,
            settings.worker.port,
            Reach(),
            DEFAULT_CONNECTIONS,
            PlatformDialect(),
        )

    def sync(self) -> None:
        """Take a change of the directory."""
        worker = self._settings.worker
        own = self._directory.find_address(worker.host, worker.port)
        self._own = own
        if own is None:
            return
        self.admission.limit = max(1, own.slots)
        document = self._directory.document
        for service in document.services if document else ():
            if service.name == own.service:
                limit = service.max_connections - SPARE_CONNECTIONS
                self.pool.limit = max(own.slots, limit)
        if own.draining:
            error = AttemptError(refuse(Cause.LEAVING, "worker is draining"))
            for ticket in self.admission.clear():
                self._fail(ticket, error)

    @property
    def own(self) -> Endpoint | None:
        """The worker beside this node, if it is listed."""
        return self._own

    @property
    def pending(self) -> int:
        """Requests that run or wait."""
        return self.admission.running + self.admission.waiting

    def is_running(self, request: str) -> bool:
        """Tell whether the worker runs a request now."""
        return request in self._running_ids

    async def run(self, head: RequestHead, body: Body | None, deadline: float):
        """Run a request at the worker.

        Returns
        -------
        Answer

        Raises
        ------
        AttemptError
            If there is no complete answer.
        """
        own = self._own
        if own is None or own.id != head.instance:
            reason = "another worker is listed here"
            raise AttemptError(refuse(Cause.NO_INSTANCE, reason, retry_after_s=0.2))
        if own.draining:
            raise AttemptError(refuse(Cause.LEAVING, "worker is draining"))
        ticket = await self._admit(head, deadline)
        has_run = False
        try:
            started = monotonic()
            self._running_ids.add(head.request)
            answer = await self._exchange(head, body, deadline)
            has_run = not answer.head.is_not_run and answer.head.status < 500
            answer.head.work_s = monotonic() - started
            return answer
        finally:
            self._running_ids.discard(head.request)
            self._release(ticket, has_run)
            if has_run:
                answer.head.pending = self.pending

    # Admission

    async def _admit(self, head: RequestHead, deadline: float) -> Ticket:
        rank = CALL_RANK if head.is_call else head.priority
        objective_s = 0.0 if head.is_call else head.objective_s
        verdict, ticket, retry_after_s = self.admission.offer(
            head.request, head.route, rank, objective_s, deadline, monotonic()
        )
        match verdict:
            case Verdict.RUN:
                return ticket
            case Verdict.REFUSED:
                raise self._overloaded(retry_after_s)
        self._sweep_later()
        waiter = self._waiting[ticket] = self._loop.create_future()
        # A more urgent arrival may have pushed others back too far.
        self._expire()
        try:
            await waiter
        except asyncio.CancelledError:
            if ticket.is_running:
                self._release(ticket, False)
            else:
                self.admission.cancel(ticket)
            raise
        finally:
            self._waiting.pop(ticket, None)
        return ticket

    def _overloaded(self, retry_after_s: float) -> AttemptError:
        reason = f"{self.admission.waiting} requests wait for the worker"
        refusal = refuse(Cause.OVERLOADED, reason, retry_after_s=retry_after_s)
        return AttemptError(refusal, float(self.pending))

    def _release(self, ticket: Ticket, has_run: bool) -> None:
        for started in self.admission.finish(ticket, has_run, monotonic()):
            waiter = self._waiting.get(started)
            if waiter is None or waiter.done():
                self._release(started, False)
            else:
                waiter.set_result(None)

    def _expire(self) -> None:
        for ticket, retry_after_s in self.admission.expire(monotonic()):
            self._fail(ticket, self._overloaded(retry_after_s))

    def _fail(self, ticket: Ticket, error: AttemptError) -> None:
        waiter = self._waiting.get(ticket)
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)

    def _sweep_later(self) -> None:
        if self._sweeper is None:
            self._sweeper = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self._sweeper = None
        self._expire()
        if self.admission.waiting:
            self._sweep_later()

    # Exchange

    async def _exchange(
        self, head: RequestHead, body: Body | None, deadline: float
    ) -> Answer:
        if head.idempotent:
            conn = self.pool.take_idle()
        else:
            conn = self.pool.take_idle(FRESH_IDLE_S)
        if conn is None:
            conn = await self.pool.open(deadline)
        if not conn.is_open:
            raise AttemptError.at(Cause.CONNECT_FAILED, Stage.UNSENT, "worker closed")
        return await self._send(conn, head, deadline)

    async def _send(
        self, conn: BackendConnection, head: RequestHead, deadline: float
    ) -> Answer:
        try:
            await conn.start(head, deadline)
            answer = await self.pool.read_answer(conn, head, _ignore_end)
        except BaseException as exc:
            # Closing the connection makes the worker stop its work.
            conn.abort()
            if isinstance(exc, AttemptError):
                self._note_loss(head, exc)
            raise
        if self._ledger:
            self._ledger.clear(find_fingerprint(head))
        return answer

    # Crashes

    def _note_loss(self, head: RequestHead, exc: AttemptError) -> None:
        if exc.refusal.cause is not Cause.CONNECTION_LOST:
            return
        self._lost.append(find_fingerprint(head))
        if self._crash_check is None:
            self._crash_check = start_loop(self._check_crash())

    async def _check_crash(self) -> None:
        """Tell a crash from a lost connection: a crashed worker accepts none."""
        try:
            await asyncio.sleep(CRASH_WINDOW_S)
            conn = await self.pool.open(monotonic() + CRASH_WINDOW_S * 4)
            conn.release()
        except AttemptError:
            own = self._own
            if own is not None:
                self.on_crash(f"{own.id}/{own.born_ms}", tuple(self._lost))
        finally:
            self._lost.clear()
            self._crash_check = None

    def stop(self) -> None:
        """Close the connections to the worker."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.pool.close()


def _ignore_crash(crash: str, fingerprints: tuple[str, ...]) -> None:
    """Take a crash that nobody is to be told of."""


def _ignore_end(error: AttemptError | None) -> None:
    """Take the end of a streamed answer, whose slot is free already."""
