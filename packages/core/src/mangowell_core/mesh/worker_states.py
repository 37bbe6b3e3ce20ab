"""What workers state about themselves in their answers.

An overloaded worker names the rate of requests that it takes, and a worker that is
about to stop says so. Both hold for one start of a worker: a later start under the
same id has stated nothing yet.
"""

import math
from collections import deque
from typing import NamedTuple

from mangowell_core.mesh.model import Endpoint

# Rate limit of a worker that takes requests at any rate, requests per second.
NO_RATE_LIMIT = math.inf
# Rate limit of a worker that has not stated anything yet.
UNKNOWN_RATE_LIMIT = -1.0
# Starts of workers whose statements are kept; the oldest are dropped first.
MAX_STARTS = 4096
# Window over which arrivals at the worker are counted, in seconds.
ARRIVAL_WINDOW_S = 4.0


class WorkerState(NamedTuple):
    """Statements of one start of a worker.

    Parameters
    ----------
    rate_limit : float
        Requests per second that the worker takes from all nodes; infinity for no
        limit, negative if it has not stated anything.
    is_leaving : bool
        Whether the worker is about to stop.
    """

    rate_limit: float = UNKNOWN_RATE_LIMIT
    is_leaving: bool = False


_UNKNOWN_STATE = WorkerState()


class WorkerStates:
    """Keeps the latest statements of each worker.

    They outlast the worker's entry in the list, which may be missing for a while or
    come back from an older copy.
    """

    __slots__ = ("_states",)

    def __init__(self):
        self._states: dict[tuple[str, int], WorkerState] = {}

    def record(self, worker: Endpoint, rate_limit: float, is_leaving: bool) -> None:
        """Record the statements in an answer of a worker.

        A worker does not stop leaving, so an answer without that statement was sent
        before the worker made it.

        Parameters
        ----------
        worker : Endpoint
            Worker that answered.
        rate_limit : float
            Requests per second, infinity for no limit; the known limit is kept if
            it is negative.
        is_leaving : bool
            Whether the worker is about to stop.
        """
        self._record((worker.id, worker.born_ms), rate_limit, is_leaving)

    def record_leaving(self, worker_id: str, born_ms: int) -> None:
        """Record that another node has been told that a worker is leaving.

        Parameters
        ----------
        worker_id : str
            Id of the worker.
        born_ms : int
            Unix time of its start, in milliseconds.
        """
        self._record((worker_id, born_ms), UNKNOWN_RATE_LIMIT, True)

    def _record(self, key: tuple[str, int], rate_limit: float, is_leaving: bool):
        known = self._states.pop(key, _UNKNOWN_STATE)
        self._states[key] = WorkerState(
            known.rate_limit if rate_limit < 0 else rate_limit,
            known.is_leaving or is_leaving,
        )
        if len(self._states) > MAX_STARTS:
            del self._states[next(iter(self._states))]

    def get(self, worker: Endpoint) -> WorkerState:
        """Return the statements of a worker."""
        return self._states.get((worker.id, worker.born_ms), _UNKNOWN_STATE)


class ArrivalCounter:
    """Counts the requests that a worker has got in the last `ARRIVAL_WINDOW_S`."""

    __slots__ = ("_times",)

    def __init__(self):
        self._times: deque[float] = deque()

    def record(self, now: float) -> None:
        """Record a request that is sent to the worker."""
        self._times.append(now)
        self._expire(now)

    def compute_rate(self, now: float) -> float:
        """Return the mean rate in the window, in requests per second."""
        self._expire(now)
        return len(self._times) / ARRIVAL_WINDOW_S

    def _expire(self, now: float) -> None:
        while self._times and self._times[0] <= now - ARRIVAL_WINDOW_S:
            self._times.popleft()
