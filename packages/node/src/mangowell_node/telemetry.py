"""Metrics, numbered events and log of one node."""

import time
from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from itertools import accumulate

import logbook
from aioprometheus import Counter, Gauge, Histogram, Registry, render
from aioprometheus.histogram import Histogram as LibraryHistogram

from mangowell_core.events import Event, EventCode

LATENCY_BUCKETS_S = (
    0.0005,
    0.001,
    0.002,
    0.003,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)
CONVERGENCE_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 14.0, 30.0, 60.0)

# Events without an entry are logged at the info level.
EVENT_LEVELS = {
    EventCode.SOURCE_DOWN: logbook.WARNING,
    EventCode.SOURCE_STALE: logbook.WARNING,
    EventCode.SOURCE_RESTORED: logbook.WARNING,
    EventCode.STATE_DIFFERS: logbook.WARNING,
    EventCode.VERSION_REFUSED: logbook.ERROR,
    EventCode.VERSION_CONFLICT: logbook.ERROR,
    EventCode.INSTANCES_DOUBTED: logbook.WARNING,
    EventCode.JOIN_ALONE: logbook.ERROR,
    EventCode.PAUSE_DETECTED: logbook.WARNING,
    EventCode.CALL_REFUSED: logbook.DEBUG,
    EventCode.CALL_RETRIED: logbook.DEBUG,
    EventCode.CALL_UNKNOWN: logbook.WARNING,
    EventCode.CALL_SHED: logbook.DEBUG,
    EventCode.KEY_REPLAYED: logbook.DEBUG,
    EventCode.FINGERPRINT_SUSPECT: logbook.WARNING,
    EventCode.FINGERPRINT_REFUSED: logbook.WARNING,
    EventCode.BACKEND_DOWN: logbook.WARNING,
    EventCode.LINK_OPENED: logbook.DEBUG,
    EventCode.LINK_CLOSED: logbook.DEBUG,
    EventCode.LINK_SILENT: logbook.WARNING,
    EventCode.PEER_MESSAGE_DROPPED: logbook.WARNING,
    EventCode.PEER_REFUSED: logbook.WARNING,
    EventCode.TASK_FAILED: logbook.ERROR,
}


CALL_LABELS = ("tenant", "class", "route", "outcome")


class _CallSeries:
    """Counts and total time of calls with the same labels."""

    __slots__ = ("counts", "seconds")

    def __init__(self):
        self.counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.seconds = 0.0

    def to_histogram(self) -> LibraryHistogram:
        """Return the library's histogram, whose buckets are cumulative."""
        histogram = LibraryHistogram(*LATENCY_BUCKETS_S)
        totals = accumulate(self.counts)
        histogram.buckets.update(zip(histogram.buckets, totals, strict=True))
        histogram.observations = sum(self.counts)
        histogram.sum = self.seconds
        return histogram


class Telemetry:
    """Records the metrics and events of one node and writes its log.

    Parameters
    ----------
    instance : str
        Name of the instance, used as the name of the logger.
    events_kept : int
        Number of events that are kept for `select_events`.
    level : str
        Lowest level that is logged, such as ``info``.
    sink : callable, optional
        Called with each `Event`, which is then not logged.
    """

    __slots__ = (
        "_call_seconds",
        "_call_series",
        "_control_bytes_counter",
        "_control_bytes_total",
        "_control_message_counter",
        "_convergence",
        "_event_counter",
        "_event_ring",
        "_gauges",
        "_log",
        "_registry",
        "_sink",
        "_source_read_counter",
        "_source_reads_total",
    )

    def __init__(
        self,
        instance: str,
        events_kept: int = 5000,
        level: str = "info",
        sink: Callable[[Event], None] | None = None,
    ):
        self._sink = sink
        self._log = logbook.Logger(instance, level=logbook.lookup_level(level.upper()))
        self._event_ring: deque[tuple[float, Event]] = deque(maxlen=events_kept)
        self._registry = registry = Registry()
        self._call_seconds = Histogram(
            "mangowell_call_seconds",
            "Time from the arrival of a call to the end of its answer",
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._convergence = Histogram(
            "mangowell_convergence_seconds",
            "Time from the first sight of a version by a reader to its use here",
            registry=registry,
            buckets=CONVERGENCE_BUCKETS_S,
        )
        self._call_series: dict[tuple[str, ...], _CallSeries] = {}
        self._control_bytes_counter = Counter(
            "mangowell_control_bytes", "Control traffic in bytes", registry=registry
        )
        self._control_message_counter = Counter(
            "mangowell_control_messages", "Control messages", registry=registry
        )
        self._source_read_counter = Counter(
            "mangowell_source_reads",
            "Calls to the configuration service",
            registry=registry,
        )
        self._event_counter = Counter(
            "mangowell_events", "Numbered events", registry=registry
        )
        self._gauges: dict[str, Gauge] = {}
        self._control_bytes_total = 0
        self._source_reads_total = 0

    @classmethod
    def from_settings(cls, settings):
        """Create the telemetry of a node from its `NodeSettings`."""
        return cls(settings.instance, settings.log.events_kept, settings.log.level)

    def emit(self, event: Event) -> None:
        """Record an event in the ring, the log and the metrics."""
        self._event_ring.append((time.time(), event))
        code = event.code
        self._event_counter.inc({"code": str(int(code)), "name": code.name.lower()})
        if code is EventCode.VERSION_APPLIED and "delay_ms" in event.fields:
            self._convergence.observe({}, float(event.fields["delay_ms"]) / 1000)
        if self._sink is not None:
            self._sink(event)
            return
        level = EVENT_LEVELS.get(code, logbook.INFO)
        if level >= self._log.level:
            self._log.log(level, "{}", format_event(event))

    def record_call(
        self, tenant: str, traffic_class: str, route: str, outcome: str, seconds: float
    ) -> None:
        """Record the end of a call.

        One observation takes 40 us in the library's histogram. The counts are
        therefore kept in `_CallSeries` and converted when the metrics are read.

        Parameters
        ----------
        tenant, traffic_class, route, outcome : str
            Labels of the metric.
        seconds : float
            Time from the arrival of the call to the end of its answer.
        """
        key = (tenant, traffic_class, route, outcome)
        series = self._call_series.get(key)
        if series is None:
            series = self._call_series[key] = _CallSeries()
        series.counts[bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        series.seconds += seconds

    def record_control_message(self, direction: str, kind: str, size: int) -> None:
        """Count one control message.

        Parameters
        ----------
        direction : str
            ``in`` or ``out``.
        kind : str
            Kind of the message; ``source`` for a read of the configuration service.
        size : int
            Bytes on the wire.
        """
        labels = {"direction": direction, "kind": kind}
        self._control_bytes_counter.add(labels, size)
        self._control_message_counter.inc(labels)
        self._control_bytes_total += size

    def record_source_read(self, key: str, status: str, size: int = 0) -> None:
        """Count one read of the configuration service and its `size` in bytes."""
        self._source_read_counter.inc({"key": key, "status": status})
        self._source_reads_total += 1
        self.record_control_message("in", "source", size)

    @property
    def control_bytes(self) -> int:
        """Control traffic in both directions since the start, in bytes."""
        return self._control_bytes_total

    @property
    def source_reads(self) -> int:
        """Number of reads of the configuration service since the start."""
        return self._source_reads_total

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge ``mangowell_<name>``."""
        gauge = self._gauges.get(name)
        if gauge is None:
            help_text = name.replace("_", " ").capitalize()
            gauge = Gauge(f"mangowell_{name}", help_text, registry=self._registry)
            self._gauges[name] = gauge
        gauge.set({}, value)

    def select_events(self, **fields: str) -> list[dict]:
        """Return the kept events that match all `fields`, oldest first.

        An empty value matches every event.
        """
        filters = {name: value for name, value in fields.items() if value}
        return [
            {
                "time": at,
                "code": int(event.code),
                "name": event.code.name.lower(),
                "fields": event.fields,
            }
            for at, event in self._event_ring
            if all(str(event.fields.get(n)) == str(v) for n, v in filters.items())
        ]

    def render(self) -> bytes:
        """Render the metrics in the Prometheus text format."""
        for key, series in self._call_series.items():
            labels = dict(zip(CALL_LABELS, key, strict=True))
            self._call_seconds.set_value(labels, series.to_histogram())
        return render(self._registry, ["text/plain"])[0]


def format_event(event: Event) -> str:
    """Format an event as one log line."""
    fields = " ".join(f"{name}={value}" for name, value in event.fields.items())
    return f"E{int(event.code)} {event.code.name.lower()} {fields}".rstrip()
