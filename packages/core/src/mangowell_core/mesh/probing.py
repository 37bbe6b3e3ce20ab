"""Selection of a worker by asking a few of them for their load.

In a fleet of many nodes, each sends few requests to any one worker, so what it
knows of the load is older than a request takes. Requests then meet full workers
while others are idle: at two thirds of the capacity, one worker of three slots in
three is full. A round trip to the node beside a worker, which knows the load
exactly, takes a few milliseconds. The least loaded of a few workers drawn at random
is rarely full, and a refusal by all of them is known at once.
"""

import math
from operator import itemgetter

from mangowell_core.mesh.crossing import (
    DEFAULT_TRANSFER,
    REFUSAL_COST,
    Spillover,
    Transfer,
)
from mangowell_core.mesh.model import Endpoint, ProbeReply
from mangowell_core.mesh.placement import Placement

# Number of workers that are asked in the local failure domain, and in the others if
# none of the former would start the request at once.
LOCAL_PROBES = 5
REMOTE_PROBES = 2
# See `Placement.sample_workers`, in objectives.
EXPLORATION = 0.1
# Longest time that a request waits for the replies of one round, in seconds.
MAX_REPLY_WAIT_S = 0.03
# The same once one worker would start the request at once.
MAX_REPLY_WAIT_WHEN_FREE_S = 0.004
# Cost of a worker without a free slot, in works, compared to others of its domain. A
# request that waits at a fast worker delays those after it: without this cost, most
# requests wait with 74 workers of uneven speed at 0.8 of capacity.
FULL_COST = 2.0
# Weight of the newest observation in the share of remote probes that were useful.
USEFUL_GAIN = 0.1
# Lower bound of the objective in the unit of costs, for routes without one, seconds.
MIN_OBJECTIVE_S = 0.1
# Chance of remote probes while none is useful, so that a change is noticed.
MIN_REMOTE_CHANCE = 0.1
# Ratio of the chance of remote probes to the share that was useful.
REMOTE_CHANCE_RATIO = 2.0


class RemoteProbing:
    """Decides how often the workers of other failure domains are asked.

    If a service is overloaded everywhere, its other workers are no better, and
    asking them costs traffic between domains at each request.

    Parameters
    ----------
    rng : random.Random
        Source of random numbers.
    """

    __slots__ = ("_rng", "_useful_shares")

    def __init__(self, rng):
        self._rng = rng
        self._useful_shares: dict[str, float] = {}

    def is_due(self, service: str) -> bool:
        """Return whether to ask other domains for the next request of a service."""
        useful = self._useful_shares.get(service, 1.0)
        return self._rng.random() < max(MIN_REMOTE_CHANCE, REMOTE_CHANCE_RATIO * useful)

    def record(self, service: str, was_useful: bool) -> None:
        """Record whether a worker of another domain was selected."""
        useful = self._useful_shares.get(service, 1.0)
        self._useful_shares[service] = useful + USEFUL_GAIN * (was_useful - useful)


class ProbeResults:
    """Collects the replies of the workers that were probed for one request."""

    __slots__ = ("_asked", "_replies")

    def __init__(self):
        self._asked: set[str] = set()
        # Each reply with the attempts that were in flight when it arrived.
        self._replies: list[tuple[Endpoint, ProbeReply, int]] = []

    def start_probe(self, endpoint: Endpoint) -> None:
        """Record that a worker is asked."""
        self._asked.add(endpoint.id)

    def record_reply(
        self, endpoint: Endpoint, reply: ProbeReply, in_flight: int
    ) -> None:
        """Record the reply of a worker.

        Parameters
        ----------
        endpoint : Endpoint
            Worker.
        reply : ProbeReply
            Prediction of the node beside it.
        in_flight : int
            Attempts of this node on the worker, see `Placement.count_in_flight`.
        """
        self._replies.append((endpoint, reply, in_flight))

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
        return any(
            reply.accepted and not reply.delay_s for _, reply, _ in self._replies
        )

    @property
    def are_all_refused(self) -> bool:
        """Whether every worker that was asked would refuse the request."""
        return self.is_complete and not any(
            reply.accepted for _, reply, _ in self._replies
        )

    @property
    def shortest_retry_s(self) -> float:
        """Time after which a worker is expected to accept the request, in seconds."""
        return min(reply.delay_s for _, reply, _ in self._replies if not reply.accepted)

    def select(
        self,
        placement: Placement,
        route: str,
        objective_s: float,
        now: float,
        transfer: Transfer = DEFAULT_TRANSFER,
    ) -> tuple[float, Endpoint | None]:
        """Return the worker of the lowest predicted cost that accepts the request.

        Returns
        -------
        float, Endpoint or None
            Cost in seconds and worker; infinity and None if none has accepted it.
        """
        # The cheapest of this and of the other domains, by the cost with `FULL_COST`.
        best: dict[bool, tuple[float, float, Endpoint]] = {}
        for endpoint, reply, in_flight in self._replies:
            if not reply.accepted:
                continue
            sent_since = max(0, placement.count_in_flight(endpoint) - in_flight)
            cost = placement.estimate_probed_cost(
                endpoint, reply, sent_since, route, objective_s, now, transfer
            )
            weighted = cost
            if reply.delay_s or reply.pending + sent_since >= reply.limit:
                work_s = reply.work_s
                if not work_s:
                    work_s = placement.estimate_work(route, endpoint.service)
                weighted += FULL_COST * work_s
            is_local = placement.is_local(endpoint)
            known = best.get(is_local)
            if known is None or weighted < known[0]:
                best[is_local] = weighted, cost, endpoint
        return min(
            ((cost, endpoint) for _, cost, endpoint in best.values()),
            key=itemgetter(0),
            default=(math.inf, None),
        )

    def may_leave(
        self,
        placement: Placement,
        spillover: Spillover,
        sample: list[tuple[float, Endpoint]],
        route: str,
        objective_s: float,
        now: float,
        transfer: Transfer,
    ) -> bool:
        """Return whether to ask other failure domains, after the replies of this one.

        They are asked only if their answer can change the decision: if an idle worker
        there would cost less, with the transfer, than staying.

        Parameters
        ----------
        placement : Placement
            Predicts the costs.
        spillover : Spillover
            Decides at random, see `Spillover.is_due`.
        sample : list of (float, Endpoint)
            Workers of other domains that would be asked.
        route, objective_s, now, transfer
            As in `Placement.estimate_costs`.
        """
        if not sample:
            return False
        if not self._asked:
            return True
        home_s, _ = self.select(placement, route, objective_s, now, transfer)
        service = sample[0][1].service
        is_refused = home_s == math.inf
        spillover.record_home(service, transfer.urgency, is_refused)
        transfer.relief = spillover.estimate_relief(service, transfer.urgency)
        unit_s = max(objective_s, MIN_OBJECTIVE_S)
        if self.are_all_refused:
            home_s = REFUSAL_COST * unit_s
        remote_s = min(
            placement.estimate_lowest_cost(endpoint, route, objective_s, transfer)
            for _, endpoint in sample
        )
        return spillover.is_due(
            service,
            transfer.urgency,
            home_s / unit_s,
            remote_s / unit_s,
            is_refused,
        )
