"""What the selection of a worker knows of each worker, for operators.

The figures come from the decisions themselves: nothing here is estimated in another
way than for a request.
"""

from collections.abc import Callable, Collection, Iterable

import msgspec

from mangowell_core.mesh.crossing import Transfer
from mangowell_core.mesh.model import Endpoint, ProbeReply
from mangowell_core.mesh.placement import Placement
from mangowell_core.mesh.probing import ProbeResults
from mangowell_core.mesh.worker_states import WorkerStates


class RecordedProbes(ProbeResults):
    """Replies to probes that can be looked up by worker."""

    __slots__ = ("replies",)

    def __init__(self):
        super().__init__()
        self.replies: dict[str, ProbeReply] = {}

    @property
    def has_free_worker(self) -> bool:
        """False, so that the round waits for the replies of all workers."""
        return False

    def record_reply(
        self, endpoint: Endpoint, reply: ProbeReply, in_flight: int
    ) -> None:
        """Record the reply of a worker; see `ProbeResults.record_reply`."""
        super().record_reply(endpoint, reply, in_flight)
        self.replies[endpoint.id] = reply


class CandidateView(msgspec.Struct, kw_only=True):
    """What a node knows of one worker, and whether the worker is a candidate.

    Parameters
    ----------
    worker, failure_domain, address : str
        Id, failure domain and address of the worker.
    is_local : bool
        Whether the worker is the one beside the node.
    excluded_by : str
        Why the worker gets no requests; empty if it is a candidate.
    running, slots : int
        Requests that run or wait at the worker, and its slots, by its reply or as the
        placement assumes.
    speed : float
        Speed relative to the mean of the service, without the warm-up.
    warmup_left_s : float
        Time for which the worker is still expected to be cold, in seconds.
    is_evacuated : bool
        Whether its failure domain is evacuated.
    failure_rate : float
        Share of the latest attempts that failed.
    cost_s : float or None
        Predicted cost of an attempt, in seconds; None if it is no candidate.
    leaving_cost_s : float
        Part of the cost for another failure domain than that of the node, in seconds.
    accepts : bool or None
        Whether the node beside the worker would take the request; None if it has not
        replied.
    wait_s : float or None
        Predicted wait of an accepted request, in seconds.
    retry_after_s : float or None
        Time after which a refused request may be sent again, in seconds.
    is_selected : bool
        Whether a request would be sent to this worker now.
    decision : str
        Which decision takes the worker or leaves it.
    """

    worker: str
    failure_domain: str
    address: str
    is_local: bool
    excluded_by: str = ""
    running: int
    slots: int
    speed: float
    warmup_left_s: float
    is_evacuated: bool
    failure_rate: float
    cost_s: float | None = None
    leaving_cost_s: float = 0.0
    accepts: bool | None = None
    wait_s: float | None = None
    retry_after_s: float | None = None
    is_selected: bool = False
    decision: str = ""


def describe_exclusion(
    endpoint: Endpoint,
    worker_states: WorkerStates,
    evacuated: Collection[str],
    get_suspicion: Callable[[str], bool | None],
) -> str:
    """Return what the filters of the selection leave a worker out for.

    Parameters
    ----------
    endpoint : Endpoint
        Worker that is no candidate.
    worker_states : WorkerStates
        What the workers have stated in their answers.
    evacuated : collection of str
        Evacuated failure domains.
    get_suspicion : callable
        See `Placement.select_worker`.
    """
    if endpoint.failure_domain in evacuated:
        return "failure domain is evacuated"
    if worker_states.get(endpoint).is_leaving:
        return "worker states that it leaves"
    if endpoint.draining:
        return "entry is draining"
    if get_suspicion(endpoint.host) is None:
        return "its node cannot be reached or stops too soon"
    return "left out by the placement"


def view_candidates(
    placement: Placement,
    endpoints: Iterable[Endpoint],
    costs: list[tuple[float, Endpoint]],
    probes: RecordedProbes,
    route: str,
    objective_s: float,
    transfer: Transfer,
    now: float,
) -> list[CandidateView]:
    """Return a view of each worker, candidates of low cost first.

    Parameters
    ----------
    placement : Placement
        Has estimated the costs.
    endpoints : iterable of Endpoint
        All workers of the service.
    costs : list of (float, Endpoint)
        Costs of the candidates, as returned by `Placement.estimate_costs`.
    probes : RecordedProbes
        Replies of the candidates.
    route : str
        Name of the route.
    objective_s : float
        Time within which an answer has its full value, in seconds.
    transfer : Transfer
        Properties of the request that determine the cost of moving it.
    now : float
        Monotonic time, in seconds.
    """
    cost_by_id = {endpoint.id: cost_s for cost_s, endpoint in costs}
    views = []
    for endpoint in endpoints:
        cost_s = cost_by_id.get(endpoint.id)
        leaving_cost = placement.estimate_transfer_cost(
            endpoint.failure_domain, route, transfer
        )
        knowledge = placement.explain(endpoint, now)
        reply = probes.replies.get(endpoint.id)
        view = CandidateView(
            worker=endpoint.id,
            failure_domain=endpoint.failure_domain,
            address=f"{endpoint.host}:{endpoint.port}",
            is_local=False,
            is_evacuated=False,
            cost_s=cost_s,
            leaving_cost_s=leaving_cost * objective_s,
            **knowledge,
        )
        if reply is not None:
            view.running, view.slots = reply.pending, reply.limit
            view.failure_rate = max(view.failure_rate, reply.failure_rate)
            view.accepts = reply.accepted
            if reply.accepted:
                view.wait_s = reply.delay_s
            else:
                view.retry_after_s = reply.delay_s
        views.append(view)
    views.sort(key=lambda view: (view.cost_s is None, view.cost_s or 0.0, view.worker))
    return views
