"""Adaptive limit on the requests that the own backend server runs at once.

The limit follows the gradient of latency: while latency stays near the one
measured at low concurrency, it grows towards `slots`; when latency rises, the
backend server queues internally, and the limit falls in proportion. Latency
is used rather than errors because it rises before requests fail, and rather
than reported load because load endpoints lag or mislead.

The reference latency comes from requests that ended while few others ran. A
server that is always busy is brought there every `PROBE_INTERVAL_S` by a
limit of a quarter of its slots for one window. Below that concurrency, and
below half of the limit, latency changes the reference but not the limit. An
average over all requests would follow an overload and call it normal.
Latencies are compared within a traffic class only, so a change in the mix of
classes does not look like one of the server.
"""

from math import sqrt

WINDOW_CALLS = 50  # the mean of 50 exponential times has a deviation of 14%
REFERENCE_CALLS = 200  # that the reference of a class averages over
REFERENCE_LEAST = 20  # with fewer, the class says nothing
# Latency ratio taken as noise. With 1.5 and a reference of 30 calls, a good
# server with exponential times lost two thirds of its slots.
TOLERANCE = 2.0
GRADIENT_MIN = 0.5
SMOOTHING = 0.5
PROBE_INTERVAL_S = 30.0
# At half the limit, a server with a quarter of its documented slots still
# queued while it was measured, and the limit stayed at 10.5 instead of 4.
PROBE_SHARE = 0.25
# A server that queues internally fills the limit. With fewer requests running,
# latency rises for other reasons, such as slow servers further down a chain.
USED_SHARE = 0.5
FAILURE_FACTOR = 0.7
FAILURE_INTERVAL_S = 0.5  # one decrease for failures of the same moment
RESTART_SHARE = 0.25  # of the slots, after a crash of the backend server
TIME_WEIGHT = 0.1


class ConcurrencyLimiter:
    """Limit between 1 and the slots of the service.

    Parameters
    ----------
    board : TrafficBoard
        Writes `limit` and `service_time_s`.
    """

    __slots__ = (
        "_board",
        "_calls",
        "_failed_at",
        "_is_probing",
        "_limit",
        "_low_calls",
        "_next_probe",
        "_peak",
        "_ratios",
        "_references",
        "_slots",
        "_times",
    )

    def __init__(self, board):
        self._board = board
        self._slots = 1
        self._limit = 0.0
        self._references: dict[str, list[float]] = {}  # class to [mean, calls]
        self._low_calls = 0  # in this window, that count for the reference
        self._times: dict[str, float] = {}  # class to smoothed service time
        self._calls = 0
        self._ratios = 0.0
        self._peak = 0
        self._is_probing = True
        self._next_probe = 0.0
        self._failed_at = float("-inf")

    def apply(self, slots: int, connections: int, now: float) -> None:
        """Take the service's slots and connections; a lower value holds at once."""
        bound = max(1, min(slots, connections))
        if self._limit <= 0.0:
            # The first window is a probe.
            self._limit = float(bound)
            self._next_probe = now + PROBE_INTERVAL_S
        elif bound > self._slots:
            self._limit += bound - self._slots
        self._slots = bound
        self._limit = min(self._limit, float(bound))
        self._publish()

    def find_time(self, traffic_class: str) -> float:
        """Return the typical service time of a class in seconds; 0 if unknown."""
        return self._times.get(traffic_class, self._board.service_time_s)

    def note(
        self, traffic_class: str, latency_s: float, running: int, now: float
    ) -> None:
        """Take the latency of one request that the backend server answered.

        Parameters
        ----------
        running : int
            Requests in flight when it ended, itself included.
        """
        board = self._board
        time_s = self._times.get(traffic_class, latency_s)
        self._times[traffic_class] = time_s + TIME_WEIGHT * (latency_s - time_s)
        if board.service_time_s <= 0.0:
            board.service_time_s = latency_s
        board.service_time_s += TIME_WEIGHT * (latency_s - board.service_time_s)
        reference = self._references.setdefault(traffic_class, [0.0, 0])
        if running <= max(1.0, self._slots * PROBE_SHARE):
            reference[1] = min(reference[1] + 1, REFERENCE_CALLS)
            reference[0] += (latency_s - reference[0]) / reference[1]
            self._low_calls += 1
        if reference[1] < REFERENCE_LEAST:
            self._ratios += 1.0
        else:
            self._ratios += latency_s / max(reference[0], 1e-9)
        self._calls += 1
        self._peak = max(self._peak, running)
        # A probe needs calls that started after it began.
        if (self._low_calls if self._is_probing else self._calls) >= WINDOW_CALLS:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        ratio = self._ratios / self._calls
        was_probing, peak = self._is_probing, self._peak
        # All calls counted for the reference, so that a probe would add nothing.
        # A server with fewer than 50 calls in 30 s would be probed for ever.
        was_low = self._low_calls >= WINDOW_CALLS
        self._calls, self._ratios, self._peak = 0, 0.0, 0
        self._low_calls = 0
        self._is_probing = False
        if not was_probing:
            is_used = peak >= self._limit * USED_SHARE
            gradient = 1.0
            if is_used and peak > self._slots * PROBE_SHARE:
                gradient = min(1.0, max(GRADIENT_MIN, TOLERANCE / max(ratio, 1e-9)))
            # Room to grow; without use of the limit there is no evidence for it.
            room = sqrt(self._limit) if is_used else 0.0
            target = self._limit * gradient + (room if gradient >= 1.0 else 0.0)
            self._limit += SMOOTHING * (target - self._limit)
            self._limit = min(float(self._slots), max(1.0, self._limit))
        if was_low:
            self._next_probe = now + PROBE_INTERVAL_S
        elif now >= self._next_probe:
            self._is_probing = True
        self._publish()

    def note_failure(self, now: float) -> None:
        """Take an answer by which the backend server sheds load."""
        if now - self._failed_at < FAILURE_INTERVAL_S:
            return
        self._failed_at = now
        self._limit = max(1.0, self._limit * FAILURE_FACTOR)
        self._publish()

    def note_crash(self, now: float) -> None:
        """Take a crash: the new process starts cold."""
        self._failed_at = now
        self._limit = max(1.0, self._slots * RESTART_SHARE)
        self._publish()

    def _publish(self) -> None:
        limit = int(self._limit)
        if self._is_probing:
            limit = min(limit, int(self._slots * PROBE_SHARE))
        self._board.limit = max(1, limit)
