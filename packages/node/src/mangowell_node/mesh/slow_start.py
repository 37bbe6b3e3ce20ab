"""Finds out whether the local worker is cold.

The worker may have restarted when its entry names another start, another worker has
answered, or no connection to it has stayed open. It then counts as cold until it has
answered a health request.
"""

import asyncio
import math
from collections.abc import Callable
from http import HTTPStatus
from time import monotonic

from multidict import CIMultiDict, CIMultiDictProxy

from mangowell_core.events import Event, EventCode
from mangowell_core.mesh import MeshSettings
from mangowell_core.mesh.model import Endpoint, MeshService
from mangowell_core.mesh.warmup import WarmupGate
from mangowell_node.backend import BackendConnection, BackendPool
from mangowell_node.exchange import AttemptError, RequestHead
from mangowell_node.mesh.tasks import start_loop

# Time that the worker has to answer a health request, and until the next one if it has
# not answered, in seconds. Health answers come at once, also from a cold worker.
HEALTH_TIMEOUT_S = 1.0
HEALTH_RETRY_S = 0.25
# Shortest time between two events that tell that the worker is cold, in seconds.
COLD_EVENT_INTERVAL_S = 5.0


class SlowStart:
    """Keeps the times at which the local worker is cold, and asks it when needed.

    Parameters
    ----------
    warmup : WarmupGate
        Gets the bound and the times; its owner applies them to requests.
    pool : BackendPool
        Connections to the worker.
    emit : callable
        Takes an `Event`.
    on_change : callable
        Called when waiting requests may be able to start.
    """

    def __init__(
        self,
        warmup: WarmupGate,
        pool: BackendPool,
        emit: Callable[[Event], None],
        on_change: Callable[[], None],
    ):
        self._warmup = warmup
        self._pool = pool
        self._emit = emit
        self._on_change = on_change
        self._loop = asyncio.get_running_loop()
        self._service: MeshService | None = None
        self._listed: Endpoint | None = None
        # Last known entry of the worker, also after it is no longer listed.
        self._last_entry: Endpoint | None = None
        self._was_evacuated = False
        self._health_task: asyncio.Task | None = None
        # Connection of the last health answer. It is kept, as its loss shows a restart
        # also if no request runs, and other connections come and go.
        self._health_conn: BackendConnection | None = None
        # Counts the reasons to ask, so that an earlier answer does not count.
        self._health_reasons = 0
        self._warm_timer: asyncio.TimerHandle | None = None
        self._is_logged_cold = False
        self._cold_logged_at = -math.inf

    @property
    def is_asking(self) -> bool:
        """Whether a health request has not been answered yet."""
        return self._health_task is not None

    def sync(
        self,
        worker: Endpoint,
        service: MeshService | None,
        settings: MeshSettings,
        is_evacuated: bool,
    ) -> None:
        """Apply the listed cold time; ask the worker after a start or evacuation.

        Parameters
        ----------
        worker : Endpoint
            Entry of the worker.
        service : MeshService or None
            Last known service of a worker listed here; None if there was none.
        settings : MeshSettings
            Name the overage and the slack of the bound.
        is_evacuated : bool
            Whether the worker gets no new requests now.
        """
        self._listed, self._service = worker, service
        warmup = self._warmup
        if service is None or service.name != worker.service:
            return
        now = monotonic()
        warmup.set_bound(
            service.warmup_per_s, settings.warmup_overage, settings.warmup_slack
        )
        previous, self._last_entry = self._last_entry, worker
        was_evacuated, self._was_evacuated = self._was_evacuated, is_evacuated
        if previous != worker:
            warmup.record_entry(worker.warmup_s, now)
        has_returned = was_evacuated and not self._was_evacuated
        if previous is not None and not is_same_start(previous, worker):
            self.suspect_restart()
        elif service.health_path and (previous is None or has_returned):
            # The node has just started, or has not used the worker for a while. Only
            # the worker itself knows better than its entry, so it is asked.
            self.suspect_restart()
        self._follow_warmup()

    def forget_worker(self) -> None:
        """Apply that no worker is listed any more."""
        self._listed = None

    def suspect_restart(self) -> None:
        """Treat the worker as cold until it has answered a health request."""
        service = self._service
        if service is None or not self._warmup.is_bounded:
            return
        self._warmup.assume_cold(service.warmup_s, monotonic())
        self._health_reasons += 1
        if service.health_path and self._health_task is None:
            self._health_task = start_loop(self._check_health(service.health_path))

    def note_connection(self, conn: BackendConnection) -> None:
        """Suspect a restart if no other connection to the worker has stayed open.

        A restart closes all of them; while one of them is open, the worker is the
        same.
        """
        if not self._warmup.is_bounded:
            return
        others = self._pool.open_connections
        if not any(c.is_open for c in others if c is not conn):
            self.suspect_restart()

    async def _check_health(self, path: str) -> None:
        """Ask the worker for its cold time until it has answered."""
        try:
            while self._warmup.is_assumed(monotonic()):
                reasons = self._health_reasons
                is_answered, warmup_s = await self._ask_health(path)
                if is_answered and reasons == self._health_reasons:
                    self._warmup.record_health(warmup_s, monotonic())
                else:
                    await asyncio.sleep(HEALTH_RETRY_S)
        finally:
            self._health_task = None
            self._follow_warmup()

    async def _ask_health(self, path: str) -> tuple[bool, float | None]:
        """Send a health request.

        Returns
        -------
        bool, float or None
            Whether the worker has answered, and the cold time that it states, in
            seconds.
        """
        deadline = monotonic() + HEALTH_TIMEOUT_S
        head = RequestHead(
            "", "", "GET", path, b"Host: health\r\n", "", "", 0, False, 0, True
        )
        try:
            conn = await self._pool.open(deadline)
        except AttemptError:
            return False, None
        conn.is_pooled = False
        try:
            if not conn.is_open:
                return False, None
            self._warmup.record_sent(monotonic())
            await conn.start(head, deadline)
            answer = await self._pool.read_answer(conn, head, _ignore_end)
        except AttemptError:
            conn.abort()
            return False, None
        except BaseException:
            conn.abort()
            raise
        if answer.stream is not None:
            answer.stream.close()
        previous, self._health_conn = self._health_conn, conn
        if previous is not None:
            previous.abort()
        headers = _parse_fields(answer.head.headers)
        warmup_s = self._pool.dialect.read_warmup(headers)
        if warmup_s is not None:
            return True, warmup_s
        # Without the field, only the answer of the listed worker tells that its entry
        # holds.
        worker = self._listed
        instance = self._pool.dialect.read_instance(headers)
        is_listed = worker is not None and instance in ("", worker.id)
        return answer.head.status < HTTPStatus.BAD_REQUEST and is_listed, None

    def _follow_warmup(self) -> None:
        """Let waiting requests go on, and log the state of the worker."""
        now = monotonic()
        self._on_change()
        if self._warm_timer is not None:
            self._warm_timer.cancel()
            self._warm_timer = None
        is_cold = self._warmup.is_cold(now)
        if is_cold:
            delay_s = self._warmup.cold_until - now
            self._warm_timer = self._loop.call_later(delay_s, self._follow_warmup)
        worker = self._last_entry
        if worker is None or self._health_task is not None:
            # The health answer tells whether the worker is cold.
            return
        if is_cold and not self._is_logged_cold:
            if now < self._cold_logged_at + COLD_EVENT_INTERVAL_S:
                return
            self._cold_logged_at = now
            is_assumed = self._warmup.is_assumed(now)
            fields = {
                "backend": worker.id,
                "for_s": round(self._warmup.cold_until - now, 1),
                "per_s": self._warmup.per_s,
                "reason": "restarted" if is_assumed else "stated by the worker",
            }
            self._emit(Event(EventCode.BACKEND_COLD, fields))
        elif not is_cold and self._is_logged_cold:
            self._emit(Event(EventCode.BACKEND_WARM, {"backend": worker.id}))
        self._is_logged_cold = is_cold

    def stop(self) -> None:
        """Time and ask nothing any more."""
        self._warmup.set_bound(0.0, 1.0, 0.0)
        if self._warm_timer is not None:
            self._warm_timer.cancel()
        if self._health_task is not None:
            self._health_task.cancel()


def is_same_start(known: Endpoint, listed: Endpoint | None) -> bool:
    """Return whether the listed worker is the known one, without a restart."""
    return listed is not None and (known.id, known.born_ms) == (
        listed.id,
        listed.born_ms,
    )


def _parse_fields(block: bytes) -> CIMultiDictProxy[str]:
    """Return the header fields of an answer, which are lines that end in CRLF."""
    fields: CIMultiDict[str] = CIMultiDict()
    for line in block.decode("latin-1").split("\r\n"):
        name, colon, value = line.partition(":")
        if colon:
            fields.add(name, value.strip())
    return CIMultiDictProxy(fields)


def _ignore_end(error: AttemptError | None) -> None:
    """Ignore the end of the body of a health answer."""
