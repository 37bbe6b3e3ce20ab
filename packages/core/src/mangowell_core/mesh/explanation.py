"""What the selection of a worker knows of each worker, for operators.

The figures come from the decisions themselves: nothing here is estimated in another
way than for a request.
"""

import copy
from collections.abc import Collection
from random import Random
from typing import TypeVar

import msgspec

from mangowell_core.mesh.model import Endpoint, ProbeReply
from mangowell_core.mesh.probing import ProbeResults
from mangowell_core.mesh.worker_states import WorkerStates

_Decisions = TypeVar("_Decisions")


def copy_decisions(decisions: _Decisions, rng: Random, copied_rng: Random):
    """Return copies of decisions that share no state with the originals.

    Parameters
    ----------
    decisions : object or tuple
        Decisions whose state is in memory only.
    rng : random.Random
        Source of random numbers of the originals.
    copied_rng : random.Random
        Source of random numbers of the copies.
    """
    return copy.deepcopy(decisions, {id(rng): copied_rng})


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
    cold_starts : int or None
        Requests that may start now at a cold worker, by the node beside it; None if it
        is not cold or has not replied.
    is_suspect : bool
        Whether its node has not answered for a moment.
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
    refused_by : str
        Decision by which the node beside the worker refuses; empty if it accepts.
    was_asked : bool
        Whether the worker was asked to select one, or would start the request at once
        and was selected without.
    was_spared : bool
        Whether the worker was left out at random because it is cold.
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
    cold_starts: int | None = None
    is_suspect: bool = False
    is_evacuated: bool
    failure_rate: float
    cost_s: float | None = None
    leaving_cost_s: float = 0.0
    accepts: bool | None = None
    wait_s: float | None = None
    retry_after_s: float | None = None
    refused_by: str = ""
    was_asked: bool = False
    was_spared: bool = False
    is_selected: bool = False
    decision: str = ""

    def add_reply(self, reply: ProbeReply) -> None:
        """Add what the node beside the worker replies to a probe."""
        self.running, self.slots = reply.pending, reply.limit
        self.failure_rate = max(self.failure_rate, reply.failure_rate)
        self.accepts = reply.accepted
        self.refused_by = reply.refused_by
        if reply.cold_starts >= 0:
            self.cold_starts = reply.cold_starts
        if reply.accepted:
            self.wait_s = reply.delay_s
        else:
            self.retry_after_s = reply.delay_s

    def describe_decision(self, is_full: bool) -> str:
        """Return which decision takes a worker or leaves it.

        Parameters
        ----------
        is_full : bool
            Whether the request is refused without asking any worker.
        """
        if self.excluded_by:
            return f"excluded: {self.excluded_by}"
        if self.is_selected and self.is_local and not self.was_asked:
            return "selected: beside this node and starts at once"
        if self.is_selected and not self.was_asked:
            return "selected: lowest predicted cost, and no worker asked accepts"
        if self.is_selected:
            return "selected: lowest predicted cost of the workers asked"
        if is_full:
            return "left: not asked, as the service counts as full"
        if self.was_spared:
            return "left: cold, spared at random to stay within its rate"
        if self.accepts is None:
            return "left: its node has not replied to the probe"
        if not self.accepts:
            refused_by = self.refused_by or "admission"
            return f"left: its node refuses: {refused_by}"
        if not self.was_asked:
            return "left: not among the workers asked"
        if self.wait_s:
            return "left: accepted, but waits there"
        return "left: accepted, but of higher cost"


def describe_exclusion(
    endpoint: Endpoint,
    worker_states: WorkerStates,
    evacuated: Collection[str],
    is_reachable: bool,
    stops_too_soon: bool,
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
    is_reachable : bool
        Whether the node beside the worker gets requests, see `get_suspicion` of
        `Placement.select_worker`.
    stops_too_soon : bool
        Whether it stops before the request ends.
    """
    if endpoint.failure_domain in evacuated:
        return "failure domain is evacuated"
    if worker_states.get(endpoint).is_leaving:
        return "worker states that it leaves"
    if endpoint.draining:
        return "entry is draining"
    if stops_too_soon:
        return "its node stops too soon"
    if not is_reachable:
        return "its node cannot be reached"
    return "left out by the placement"
