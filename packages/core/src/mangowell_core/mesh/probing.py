"""Selection of a worker by asking a few of them for their load.

In a fleet of many nodes, each sends few requests to any one worker, so what it
knows of the load is older than a request takes. Requests then meet full workers
while others are idle: at two thirds of the capacity, one worker of three slots in
three is full. A round trip to the node beside a worker, which knows the load
exactly, takes a few milliseconds. The least loaded of a few workers drawn at random
is rarely full, and a refusal by all of them is known at once.
"""

from typing import NamedTuple

from mangowell_core.mesh.model import Endpoint, ProbeReply
from mangowell_core.mesh.placement import Placement


class ProbePlan(NamedTuple):
    """Size of one round of probes.

    Parameters
    ----------
    count : int
        Number of workers.
    exploration : float
        See `Placement.sample_workers`.
    """

    count: int
    exploration: float


# The second round follows if no worker of the first would start the request at
# once. It looks further, also at other failure domains.
PROBE_ROUNDS = (ProbePlan(3, 0.1), ProbePlan(4, 0.3))
# Longest time that a request waits for the replies of one round, in seconds.
MAX_REPLY_WAIT_S = 0.03
# The same once one worker would start the request at once.
MAX_REPLY_WAIT_WHEN_FREE_S = 0.004


class ProbeResults:
    """Collects the replies of the workers that were probed for one request."""

    __slots__ = ("_asked", "_replies")

    def __init__(self):
        self._asked: set[str] = set()
        self._replies: list[tuple[Endpoint, ProbeReply]] = []

    def start_probe(self, endpoint: Endpoint) -> None:
        """Record that a worker is asked."""
        self._asked.add(endpoint.id)

    def record_reply(self, endpoint: Endpoint, reply: ProbeReply) -> None:
        """Record the reply of a worker."""
        self._replies.append((endpoint, reply))

    @property
    def asked(self) -> set[str]:
        """Ids of the workers that were asked."""
        return self._asked

    @property
    def is_complete(self) -> bool:
        """Whether every worker that was asked has replied."""
        return len(self._replies) == len(self._asked)

    @property
    def has_free_worker(self) -> bool:
        """Whether a worker would start the request at once."""
        return any(reply.accepted and not reply.delay_s for _, reply in self._replies)

    @property
    def are_all_refused(self) -> bool:
        """Whether every worker that was asked would refuse the request."""
        return self.is_complete and not any(r.accepted for _, r in self._replies)

    @property
    def shortest_retry_s(self) -> float:
        """Time after which a worker is expected to accept the request, in seconds."""
        return min(reply.delay_s for _, reply in self._replies if not reply.accepted)

    def select(
        self, placement: Placement, route: str, objective_s: float, now: float
    ) -> Endpoint | None:
        """Return the worker of the lowest predicted cost that accepts the request.

        Returns
        -------
        Endpoint or None
            None if no worker has accepted it.
        """
        costs = [
            (
                placement.estimate_probed_cost(
                    endpoint, reply, route, objective_s, now
                ),
                endpoint.id,
                endpoint,
            )
            for endpoint, reply in self._replies
            if reply.accepted
        ]
        return min(costs)[2] if costs else None
