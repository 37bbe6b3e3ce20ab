"""Rate limit for events that many calls cause at once."""

from mangowell_core.events import Event, EventCode
from mangowell_node.telemetry import Telemetry

# Maximum number of refused and retried calls that get their own event.
EVENTS_PER_INTERVAL = 5


class LimitedEvents:
    """Emits the first events of each interval and counts the others.

    During an overload, an event for each call would take CPU time and evict other
    events from the ring buffer.

    Parameters
    ----------
    telemetry : Telemetry
    """

    __slots__ = ("_omitted_count", "_remaining", "_telemetry")

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry
        self._remaining = EVENTS_PER_INTERVAL
        self._omitted_count = 0

    def start_interval(self) -> None:
        """Start a new interval."""
        self._remaining = EVENTS_PER_INTERVAL

    def emit(self, code: EventCode, fields: dict) -> None:
        """Emit an event, or count it as omitted once the limit is reached.

        The next event that is emitted has the number of omitted ones in its field
        ``omitted``.
        """
        if self._remaining <= 0:
            self._omitted_count += 1
            return
        self._remaining -= 1
        if self._omitted_count:
            fields["omitted"] = self._omitted_count
            self._omitted_count = 0
        self._telemetry.emit(Event(code, fields))
