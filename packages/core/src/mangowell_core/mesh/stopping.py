"""Planned stops: what a stopping node accepts, and what others send to it.

A stop is known to callers and other nodes only some time after it has begun, and the
worker beside a stopping node goes on running. The node therefore goes on accepting
requests for a while, but only those whose deadline lies before its own end, so that
it never has to cut a request that it has accepted from another node.
"""

import math

# Time for which callers still send requests after the node reports that it is not
# ready, in seconds: two readiness checks one second apart, and a margin.
READY_LINGER_S = 2.8
# Largest part of the grace period for that, so that the requests that came last can
# still be finished.
MAX_LINGER_SHARE = 0.5
# Part of the grace period that is reserved for closing, in seconds.
STOP_MARGIN_S = 0.5
# Time before the end of a stop at which a request of a caller is answered by the
# node itself if no worker has answered it, in seconds.
REPLY_MARGIN_S = 0.05


class StopSchedule:
    """Times of the planned stop of one node.

    Parameters
    ----------
    linger_deadline : float
        Monotonic time until which new requests are accepted, in seconds.
    deadline : float
        Monotonic time at which the requests that still run are cut, in seconds.
    """

    __slots__ = ("deadline", "linger_deadline")

    def __init__(self, linger_deadline: float, deadline: float):
        self.linger_deadline = linger_deadline
        self.deadline = deadline

    @classmethod
    def from_grace(cls, grace_s: float, now: float) -> "StopSchedule":
        """Return the schedule of a stop that begins now.

        Parameters
        ----------
        grace_s : float
            Time between SIGTERM and SIGKILL, in seconds.
        now : float
            Monotonic time, in seconds.
        """
        linger_s = min(READY_LINGER_S, MAX_LINGER_SHARE * grace_s)
        return cls(now + linger_s, now + grace_s - STOP_MARGIN_S)

    @property
    def caller_deadline(self) -> float:
        """Latest deadline of a caller's request, in monotonic seconds."""
        return self.deadline - REPLY_MARGIN_S


class StoppingPeers:
    """Nodes that have announced a planned stop, by host."""

    __slots__ = ("_deadlines",)

    def __init__(self):
        self._deadlines: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._deadlines)

    def record(self, host: str, deadline: float) -> None:
        """Record that the node at `host` ends at `deadline` (monotonic seconds)."""
        # The first notice of a stop has spent the least time on its way.
        self._deadlines[host] = min(deadline, self._deadlines.get(host, math.inf))

    def forget(self, host: str) -> None:
        """Record that the node at `host` runs, such as after its restart."""
        self._deadlines.pop(host, None)

    def may_finish(self, host: str, deadline: float, now: float) -> bool:
        """Return whether the node at `host` can finish a request.

        Parameters
        ----------
        host : str
            Host of the node beside the worker.
        deadline : float
            Deadline of the request, in monotonic seconds.
        now : float
            Monotonic time, in seconds.
        """
        end = self._deadlines.get(host)
        if end is None:
            return True
        if end <= now:
            # The process has ended, so whoever answers there has started since.
            self.forget(host)
            return True
        return deadline <= end
