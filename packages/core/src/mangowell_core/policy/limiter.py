"""Adaptive concurrency limit of the local backend server.

The limit follows the latency gradient, the ratio of a reference latency to the
current latency. While latency stays near the reference, the limit grows towards
`slots`. Higher latency means that the backend server queues internally, and the
limit falls in proportion. Latency is used rather than errors because it rises
before requests fail, and rather than reported load because load endpoints lag or
mislead.

The reference latency is the mean over requests that ended at low concurrency. An
average over all requests would rise with an overload and hide it. A server that
is always busy is probed every `PROBE_INTERVAL_S`: for one window its limit is a
quarter of its slots. At or below that concurrency, or below half of the limit, high
latency does not lower the limit.

Latencies are compared only within a traffic class, so that a change in the mix of
classes is not taken for a change in the server.
"""

from math import sqrt

WINDOW_CALLS = 50  # the mean of 50 exponential times has a 14% standard deviation
REFERENCE_CALLS = 200  # averaged for the reference latency of a class
REFERENCE_MIN_CALLS = 20  # with fewer calls, the latency ratio counts as 1
# Ratio of latency to reference up to which a rise counts as noise. With 1.5 and a
# reference of 30 calls, a healthy server with exponentially distributed service
# times lost two thirds of its slots.
LATENCY_TOLERANCE = 2.0
MIN_GRADIENT = 0.5
LIMIT_WEIGHT = 0.5
PROBE_INTERVAL_S = 30.0
# Share of the slots that a probe leaves. With half of the limit, a server with a
# quarter of its documented slots still queued during the probe, and the limit
# stayed at 10.5 instead of 4.
PROBE_SLOT_SHARE = 0.25
# Share of the limit that must be in use before latency changes the limit. A server
# that queues internally uses its whole limit. With fewer requests running, latency
# rises for other reasons, such as slow servers downstream.
USED_LIMIT_SHARE = 0.5
OVERLOAD_FACTOR = 0.7
OVERLOAD_INTERVAL_S = 0.5  # statuses within this time cause one decrease
RESTART_SLOT_SHARE = 0.25  # of the slots, after a crash
SERVICE_TIME_WEIGHT = 0.1


class ConcurrencyLimiter:
    """Concurrency limit between 1 and the slots of the service.

    Parameters
    ----------
    board : TrafficBoard
        Shared state; this class writes `limit` and `service_time_s`.
    """

    __slots__ = (
        "_board",
        "_is_probing",
        "_limit",
        "_low_concurrency_calls",
        "_next_probe",
        "_overloaded_at",
        "_peak_running",
        "_ratio_sum",
        "_references",
        "_service_times_s",
        "_slots",
        "_window_calls",
    )

    def __init__(self, board):
        self._board = board
        self._slots = 1
        self._limit = 0.0
        self._references: dict[str, list[float]] = {}  # per class: [mean, calls]
        self._low_concurrency_calls = 0  # calls of the window in the reference
        self._service_times_s: dict[str, float] = {}  # smoothed, per class
        self._window_calls = 0
        self._ratio_sum = 0.0
        self._peak_running = 0
        self._is_probing = True
        self._next_probe = 0.0
        self._overloaded_at = float("-inf")

    def apply(self, slots: int, connections: int, now: float) -> None:
        """Apply the service's slots and connections; a decrease holds at once."""
        max_limit = max(1, min(slots, connections))
        if self._limit <= 0.0:
            # The first window is a probe.
            self._limit = float(max_limit)
            self._next_probe = now + PROBE_INTERVAL_S
        elif max_limit > self._slots:
            self._limit += max_limit - self._slots
        self._slots = max_limit
        self._limit = min(self._limit, float(max_limit))
        self._publish_limit()

    def estimate_service_time(self, traffic_class: str) -> float:
        """Return the smoothed service time of a class in seconds; 0 if unknown."""
        return self._service_times_s.get(traffic_class, self._board.service_time_s)

    def record_latency(
        self, traffic_class: str, latency_s: float, running: int, now: float
    ) -> None:
        """Record the latency of one request.

        Parameters
        ----------
        traffic_class : str
            Name of the request's traffic class.
        latency_s : float
            Time from start to end, in seconds.
        running : int
            Number of requests that ran when it ended, including itself.
        now : float
            Monotonic time in seconds.
        """
        board = self._board
        time_s = self._service_times_s.get(traffic_class, latency_s)
        self._service_times_s[traffic_class] = time_s + SERVICE_TIME_WEIGHT * (
            latency_s - time_s
        )
        if board.service_time_s <= 0.0:
            board.service_time_s = latency_s
        board.service_time_s += SERVICE_TIME_WEIGHT * (latency_s - board.service_time_s)
        reference = self._references.setdefault(traffic_class, [0.0, 0])
        if running <= max(1.0, self._slots * PROBE_SLOT_SHARE):
            reference[1] = min(reference[1] + 1, REFERENCE_CALLS)
            reference[0] += (latency_s - reference[0]) / reference[1]
            self._low_concurrency_calls += 1
        if reference[1] < REFERENCE_MIN_CALLS:
            self._ratio_sum += 1.0
        else:
            self._ratio_sum += latency_s / max(reference[0], 1e-9)
        self._window_calls += 1
        self._peak_running = max(self._peak_running, running)
        # A probe counts only calls that end at low concurrency, because the others
        # started before it.
        if (
            self._low_concurrency_calls if self._is_probing else self._window_calls
        ) >= WINDOW_CALLS:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        """Update the limit from the calls of the window and start the next one."""
        ratio = self._ratio_sum / self._window_calls
        was_probing, peak_running = self._is_probing, self._peak_running
        # If all calls of the window count for the reference, a probe adds nothing.
        # Without this check, a server with fewer than 50 calls in 30 s would be
        # probed all the time.
        had_low_concurrency = self._low_concurrency_calls >= WINDOW_CALLS
        self._window_calls, self._ratio_sum, self._peak_running = 0, 0.0, 0
        self._low_concurrency_calls = 0
        self._is_probing = False
        if not was_probing:
            is_used = peak_running >= self._limit * USED_LIMIT_SHARE
            gradient = 1.0
            if is_used and peak_running > self._slots * PROBE_SLOT_SHARE:
                gradient = min(
                    1.0, max(MIN_GRADIENT, LATENCY_TOLERANCE / max(ratio, 1e-9))
                )
            # An unused limit gives no evidence that a higher one is safe.
            growth = sqrt(self._limit) if is_used else 0.0
            target = self._limit * gradient + (growth if gradient >= 1.0 else 0.0)
            self._limit += LIMIT_WEIGHT * (target - self._limit)
            self._limit = min(float(self._slots), max(1.0, self._limit))
        if had_low_concurrency:
            self._next_probe = now + PROBE_INTERVAL_S
        elif now >= self._next_probe:
            self._is_probing = True
        self._publish_limit()

    def record_overload(self, now: float) -> None:
        """Lower the limit after an answer with which the backend server sheds load."""
        if now - self._overloaded_at < OVERLOAD_INTERVAL_S:
            return
        self._overloaded_at = now
        self._limit = max(1.0, self._limit * OVERLOAD_FACTOR)
        self._publish_limit()

    def record_crash(self, now: float) -> None:
        """Lower the limit after a crash, because the new process starts cold."""
        self._overloaded_at = now
        self._limit = max(1.0, self._slots * RESTART_SLOT_SHARE)
        self._publish_limit()

    def _publish_limit(self) -> None:
        """Write the limit to the board, capped while a probe runs."""
        limit = int(self._limit)
        if self._is_probing:
            limit = min(limit, int(self._slots * PROBE_SLOT_SHARE))
        self._board.limit = max(1, limit)
