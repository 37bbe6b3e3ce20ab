"""Events that come with many calls at once."""

from mangowell_core.events import Event, EventCode
from mangowell_node.telemetry import Telemetry

EVENTS_PER_INTERVAL = 5  # refused and retried calls that get an event of their own


class LimitedEvents:
    """Emits a few events in each interval and counts the others.

    In an overload they would take the node's time and push other events out of
    the ring.

    Parameters
    ----------
    telemetry : Telemetry
    """

    __slots__ = ("_omitted", "_room", "_telemetry")

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry
        self._room = EVENTS_PER_INTERVAL
        self._omitted = 0

    def renew(self) -> None:
        """Start a new interval."""
        self._room = EVENTS_PER_INTERVAL

    def emit(self, code: EventCode, fields: dict) -> None:
        """Emit an event, or count it if there is no room."""
        if self._room <= 0:
            self._omitted += 1
            return
        self._room -= 1
        if self._omitted:
            fields["omitted"] = self._omitted
            self._omitted = 0
        self._telemetry.emit(Event(code, fields))
