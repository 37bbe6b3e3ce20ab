"""Failure rate of a worker over its latest requests."""

import math

# Weight of the newest request.
FAILURE_GAIN = 0.15
# Time constant of the decay, in seconds: after this time without a request the rate
# has lost about two thirds of its value.
FAILURE_TIME_CONSTANT_S = 4.0
# Rates below this count as zero.
MIN_RATE = 0.01


class FailureRate:
    """Measures the failure rate as a decaying moving average.

    A worker without requests has to be tried again at some time, so the rate also
    decays by time.
    """

    __slots__ = ("_rate", "_updated_at")

    def __init__(self):
        self._rate = 0.0
        self._updated_at = 0.0

    def record(self, has_failed: bool, now: float) -> None:
        """Record the outcome of one request."""
        rate = self.estimate(now)
        self._rate = rate + FAILURE_GAIN * (has_failed - rate)
        self._updated_at = now

    def estimate(self, now: float) -> float:
        """Return the current rate, from 0 to 1."""
        if self._rate < MIN_RATE:
            return 0.0
        return self._rate * math.exp((self._updated_at - now) / FAILURE_TIME_CONSTANT_S)
