"""State that the controllers of the request policy share."""

from mangowell_core.model import Snapshot
from mangowell_core.policy.drain import DrainState

# Maps each field to the only module that writes it; any controller may read it.
# ``tests/core/test_routing.py`` checks the source against this table.
WRITERS = {
    "snapshot": "request",
    "started_at": "request",
    "leaving": "drain",
    "own_state": "drain",
    "ejected": "routing",
    "limit": "limiter",
    "service_time_s": "limiter",
    "running": "admission",
    "waiting": "admission",
    "suspects": "fingerprints",
}


class TrafficBoard:
    """State of traffic and instances, shared between the controllers.

    Attributes
    ----------
    snapshot : Snapshot or None
        Document and instance list that the node has applied.
    started_at : float
        Monotonic time in seconds of the first snapshot, less the `quiet_s` of
        `RequestPolicy`.
    leaving : dict of str to float
        Maps the name of a leaving instance to the monotonic time of its mark.
    own_state : DrainState
        Drain state of the local node and its backend server.
    ejected : set of str
        Names of the instances that routing has ejected for their failures.
    limit : int
        Number of requests that the local backend server may run at once now.
    service_time_s : float
        Smoothed service time of the local backend server; 0 if unknown.
    running, waiting : int
        Numbers of requests at the local backend server and in its queue.
    suspects : set of str
        Fingerprints whose requests may run only alone, or not at all.
    """

    __slots__ = tuple(WRITERS)

    def __init__(self):
        self.snapshot: Snapshot | None = None
        self.started_at = 0.0
        self.leaving: dict[str, float] = {}
        self.own_state = DrainState.STARTING
        self.ejected: set[str] = set()
        self.limit = 1
        self.service_time_s = 0.0
        self.running = 0
        self.waiting = 0
        self.suspects: set[str] = set()
