"""Board on which the controllers of the request policy share their findings."""

from mangowell_core.model import Snapshot
from mangowell_core.policy.drain import DrainState

# Module that writes each field; any controller reads any field.
# ``tests/core/test_policy_board.py`` checks the source against this table.
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
    """Findings about traffic.

    Attributes
    ----------
    snapshot : Snapshot or None
        What the node runs.
    started_at : float
        Time of the first snapshot.
    leaving : dict of str to float
        Time since which an instance leaves, by name.
    own_state : DrainState
    ejected : set of str
        Instances that routing avoids because of their failures.
    limit : int
        Requests that the own backend server may run now.
    service_time_s : float
        Typical time of one request at the own backend server; 0 if unknown.
    running, waiting : int
        Requests at the own backend server and in the queue before it.
    suspects : set of str
        Fingerprints that may run only alone, or not at all.
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
