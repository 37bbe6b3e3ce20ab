"""Rate-limited events about callers that meet a limit."""

from collections import Counter
from collections.abc import Callable

from mangowell_core.events import Event, EventCode
from mangowell_node.ingress.server import IngressServer

# Least time between two events of the same kind, in seconds.
REPORT_INTERVAL_S = 5.0


class CallerReport:
    """Emits what callers outside the limits have caused since the last report.

    A crowd causes thousands of closings in a second, so there is at most one event for
    each reason in `REPORT_INTERVAL_S`.

    Parameters
    ----------
    server : IngressServer
        Listener for callers.
    emit : callable
        Takes an `Event`.
    """

    __slots__ = ("_closed", "_emit", "_held_back", "_next_at", "_refused", "_server")

    def __init__(self, server: IngressServer, emit: Callable[[Event], None]):
        self._server = server
        self._emit = emit
        self._closed: Counter[str] = Counter()
        self._held_back = self._refused = 0
        self._next_at = 0.0

    def emit_changes(self, now: float) -> None:
        """Emit the changes since the last report if the interval has passed.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        if now < self._next_at:
            return
        server = self._server
        held_back = server.held_back - self._held_back
        refused = server.refused - self._refused
        closed = server.closed - self._closed
        if not (held_back or refused or closed):
            return
        self._next_at = now + REPORT_INTERVAL_S
        self._held_back, self._refused = server.held_back, server.refused
        self._closed = server.closed.copy()
        if held_back or refused:
            fields = {
                "held_bytes": server.memory.total,
                "limit_bytes": server.memory.connection_limit,
                "connections": len(server.connections),
                "held_back": held_back,
                "refused": refused,
            }
            self._emit(Event(EventCode.CALLERS_LIMITED, fields))
        for reason, count in sorted(closed.items()):
            fields = {"reason": reason, "connections": count}
            self._emit(Event(EventCode.CONNECTIONS_CLOSED, fields))
