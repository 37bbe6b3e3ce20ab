"""Limit on the rate of the requests that one worker gets.

An overloaded worker names the rate that it takes from all nodes together. All
requests to a worker pass through the node beside it, so that node applies the limit
to their sum, whichever nodes they come from.
"""

from mangowell_core.mesh.worker_states import NO_RATE_LIMIT

# Longest time for which unused requests are saved, in seconds.
BURST_S = 0.25
# Lower bound of the applied limit, requests per second. Only answers tell that a
# limit has ended, so even a worker that takes nothing gets a request now and then.
MIN_RATE_PER_S = 0.25


class RateLimit:
    """Token bucket with one token for each request that may start.

    The bucket is empty when a limit appears: the worker has just had requests.

    Attributes
    ----------
    per_s : float
        Requests per second; infinity for no limit.
    """

    __slots__ = ("_tokens", "_updated_at", "per_s")

    def __init__(self):
        self.per_s = NO_RATE_LIMIT
        self._tokens = 0.0
        self._updated_at = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.per_s < NO_RATE_LIMIT

    def set_rate(self, per_s: float, now: float) -> None:
        """Set the limit.

        Parameters
        ----------
        per_s : float
            Requests per second; infinity removes the limit.
        now : float
            Monotonic time, in seconds.
        """
        per_s = max(MIN_RATE_PER_S, per_s)
        if per_s == self.per_s:
            return
        if self.is_limited:
            self._refill(now)
        else:
            self._tokens, self._updated_at = 0.0, now
        self.per_s = per_s
        if self.is_limited:
            self._tokens = min(self._tokens, self._size)

    def take(self, now: float) -> None:
        """Take the token of a request that starts."""
        if self.is_limited:
            self._refill(now)
            self._tokens = max(0.0, self._tokens - 1.0)

    def estimate_delay(self, ahead: int, now: float) -> float:
        """Return the time until a request may start, in seconds.

        Parameters
        ----------
        ahead : int
            Number of requests that start before it.
        now : float
            Monotonic time, in seconds.
        """
        if not self.is_limited:
            return 0.0
        self._refill(now)
        # Tolerates rounding, so that a request starts when it was told to.
        missing = ahead + 1.0 - self._tokens
        return missing / self.per_s if missing > 1e-9 else 0.0

    def compute_utilization(self, now: float) -> float:
        """Return the used share of the bucket, from 0 to 1; 0 without a limit."""
        if not self.is_limited:
            return 0.0
        self._refill(now)
        return 1.0 - self._tokens / self._size

    @property
    def _size(self) -> float:
        return max(1.0, self.per_s * BURST_S)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._tokens = min(self._size, self._tokens + elapsed_s * self.per_s)
        self._updated_at = now
