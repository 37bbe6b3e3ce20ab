"""Rate of the requests to a worker that has just started.

A cold worker tolerates a stated number of requests per second and crashes well above
it. All requests to a worker pass through the node beside it, so that node keeps their
sum within the platform's bound in every window of one second.

The load this addresses: all workers of a service have restarted at once, every queue
is full, and each node would fill all slots of its worker at the first connection.
"""

import math
from collections import deque

# Window of the platform's bound, and a margin for requests that the worker reads later
# than they were sent while its machine is busy, in seconds.
WINDOW_S = 1.0
WINDOW_MARGIN_S = 0.25
# Share of the additional requests that may be sent at once after a pause.
BURST_SHARE = 0.25
MAX_BURST = 3.0
# Requests of the bound that are left for health requests.
HEALTH_RESERVE = 1.0
# Lower bound of the rate, requests per second; a bound below it lets none through
# within its window, and the worker is no longer cold soon.
MIN_RATE_PER_S = 0.25
# Tolerates rounding, so that a request starts when it was told to.
_ROUNDING = 1e-9


class WarmupGate:
    """Tells when the worker is cold, and when a request may be sent to it then.

    Tokens limit the starts, and a log of the sent requests bounds each window, which
    also counts those that were sent before the worker was known to be cold. The tokens
    are empty at first: the node may have restarted and does not know what was sent in
    the last second. Both processes together then send at most what one could.

    The times at which the worker is no longer cold come from three sources: its entry,
    its health answer, and an observed restart. Only the last is an assumption.
    """

    __slots__ = (
        "_assumed_until",
        "_entry_until",
        "_health_until",
        "_max_in_window",
        "_sent",
        "_tokens",
        "_updated_at",
        "_window_s",
        "burst",
        "per_s",
    )

    def __init__(self):
        # Sustained requests per second to a cold worker; 0 for no bound.
        self.per_s = 0.0
        self.burst = 1.0
        self._max_in_window = 0
        self._window_s = WINDOW_S + WINDOW_MARGIN_S
        self._tokens = 0.0
        self._updated_at = -math.inf
        self._sent: deque[float] = deque()
        self._entry_until = self._health_until = self._assumed_until = -math.inf

    def set_bound(self, per_s: float, overage: float, slack: float) -> None:
        """Set the bound: at most ``per_s * overage + slack`` in one second.

        Parameters
        ----------
        per_s : float
            Requests per second that a cold worker takes; 0 for no bound.
        overage : float
            Factor by which the platform lets it be exceeded.
        slack : float
            Requests in one second that are allowed in addition.
        """
        if per_s <= 0:
            self.per_s = 0.0
            return
        bound = per_s * overage + slack
        self.burst = max(1.0, min(MAX_BURST, slack * BURST_SHARE))
        # A window of one second holds the rate and the burst.
        rate_per_s = min(per_s * overage, bound - self.burst - HEALTH_RESERVE)
        self.per_s = max(MIN_RATE_PER_S, rate_per_s)
        self._max_in_window = math.floor(max(1.0, bound - HEALTH_RESERVE))
        self._window_s = max(WINDOW_S, 1.0 / bound if bound else 0.0) + WINDOW_MARGIN_S
        self._tokens = min(self._tokens, self.burst)

    @property
    def is_bounded(self) -> bool:
        """Whether cold workers of this service have a bound at all."""
        return self.per_s > 0

    # When the worker is cold

    def record_entry(self, warmup_s: float, now: float) -> None:
        """Record the remaining cold time in a changed entry of the worker."""
        self._entry_until = now + warmup_s if warmup_s > 0 else -math.inf

    def assume_cold(self, warmup_s: float, now: float) -> None:
        """Record that the worker may have restarted, for at most `warmup_s`."""
        self._assumed_until = max(self._assumed_until, now + warmup_s)

    def record_health(self, warmup_s: float | None, now: float) -> None:
        """Record a health answer, which ends an assumption.

        Parameters
        ----------
        warmup_s : float or None
            Remaining cold time that it states, in seconds; None if it states none,
            which counts only if the entry does not tell otherwise.
        now : float
            Monotonic time, in seconds.
        """
        self._assumed_until = -math.inf
        if warmup_s is not None:
            self._health_until = now + warmup_s if warmup_s > 0 else -math.inf

    @property
    def cold_until(self) -> float:
        """Monotonic time until which the worker is cold; past if it is not."""
        if not self.is_bounded:
            return -math.inf
        return max(self._entry_until, self._health_until, self._assumed_until)

    def is_cold(self, now: float) -> bool:
        """Return whether the bound applies."""
        return now < self.cold_until

    def is_assumed(self, now: float) -> bool:
        """Return whether the worker is cold by assumption, so that it is asked."""
        return self.is_bounded and now < self._assumed_until

    # When a request may start

    def take(self, now: float) -> None:
        """Take the token of a request that starts, also while the worker is warm."""
        if self.is_bounded:
            self._refill(now)
            self._tokens = max(0.0, self._tokens - 1.0)

    def record_sent(self, now: float) -> None:
        """Record a request, or a health request, that is sent to the worker."""
        if self.is_bounded:
            self._sent.append(now)
            self._expire(now)

    def may_send(self, now: float) -> bool:
        """Return whether the window has room for a request that is sent now.

        A request may be sent later than it started: its connection opens first, and
        only that shows that the worker has restarted.
        """
        if not self.is_cold(now):
            return True
        self._expire(now)
        return len(self._sent) < self._max_in_window

    def estimate_delay(self, ahead: int, now: float) -> float:
        """Return the time until a request may start, in seconds.

        Parameters
        ----------
        ahead : int
            Number of requests that start before it.
        now : float
            Monotonic time, in seconds.
        """
        if not self.is_cold(now):
            return 0.0
        self._refill(now)
        missing = ahead + 1.0 - self._tokens
        delay_s = missing / self.per_s if missing > _ROUNDING else 0.0
        self._expire(now)
        excess = len(self._sent) + ahead + 1 - self._max_in_window
        if excess > 0 and self._sent:
            # Requests ahead leave the window one by one as well.
            leaving = self._sent[min(excess, len(self._sent)) - 1]
            delay_s = max(delay_s, leaving + self._window_s - now)
        return min(delay_s, self.cold_until - now)

    def count_allowed(self, now: float) -> int:
        """Return the number of requests that may start now; -1 while warm."""
        if not self.is_cold(now):
            return -1
        self._refill(now)
        self._expire(now)
        room = self._max_in_window - len(self._sent)
        return max(0, min(math.floor(self._tokens + _ROUNDING), room))

    def compute_utilization(self, now: float) -> float:
        """Return the used share of the tokens, from 0 to 1; 0 while warm."""
        if not self.is_cold(now):
            return 0.0
        self._refill(now)
        return 1.0 - self._tokens / self.burst

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        if math.isfinite(elapsed_s):
            self._tokens = min(self.burst, self._tokens + elapsed_s * self.per_s)
        self._updated_at = now

    def _expire(self, now: float) -> None:
        while self._sent and self._sent[0] <= now - self._window_s:
            self._sent.popleft()
