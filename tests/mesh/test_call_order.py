"""Guards the order of calls of running requests and new requests at a worker."""

import random
from heapq import heappop, heappush

import pytest

from mangowell_core.mesh.admission import Admission, AdmissionDecision
from mangowell_node.mesh.runner import _get_rank_and_objective

URGENT, PATIENT = 0, 2


def get_rank(is_call, priority):
    return _get_rank_and_objective(is_call, priority, 1.0)[0]


def test_calls_yield_only_to_requests_far_more_urgent_than_their_parent():
    order = [
        (True, 0),
        (True, 1),
        (False, 0),
        (True, 2),
        (False, 1),
        (False, 2),
    ]
    ranks = [get_rank(*request) for request in order]
    assert ranks == sorted(set(ranks))


def replay(get_call_rank, seed, seconds=20.0):
    """Return the served shares of urgent requests and of calls of patient parents.

    Six slots get urgent requests of 88 ms for 0.9 of their capacity, and calls of
    55 ms for 0.35 of it, which may wait until 0.84 s.
    """
    rng = random.Random(seed)
    admission = Admission(6)
    arrivals = []
    for name, rate, work_s in (("read", 61.0, 0.088), ("call", 38.0, 0.055)):
        now = 0.0
        while (now := now + rng.expovariate(rate)) < seconds:
            arrivals.append((now, name, work_s * rng.lognormvariate(-0.1, 0.4)))
    arrivals.sort()
    work_by_ticket, ends, asked, served = {}, [], {}, {}

    def start(ticket, now):
        served[ticket.route] = served.get(ticket.route, 0) + 1
        heappush(ends, (now + work_by_ticket[ticket], id(ticket), ticket))

    for now, name, work_s in arrivals:
        while ends and ends[0][0] <= now:
            end, _, ticket = heappop(ends)
            for started in admission.finish(ticket, True, end):
                start(started, end)
        admission.expire(now)
        asked[name] = asked.get(name, 0) + 1
        if name == "read":
            rank, objective_s, limit_s = get_rank(False, URGENT), 0.482, 1.2
        else:
            rank, objective_s, limit_s = get_call_rank(), 0.0, 0.838
        decision, ticket, _ = admission.offer(
            name, name, rank, objective_s, now + limit_s, now
        )
        work_by_ticket[ticket] = work_s
        if decision is AdmissionDecision.RUN:
            start(ticket, now)
    return [served[name] / asked[name] for name in ("read", "call")]


@pytest.mark.parametrize("seed", range(3))
def test_lookups_of_patient_requests_do_not_crowd_out_urgent_ones(seed):
    """Lookups of uploads took a quarter of the slots of the most urgent service."""
    reads_before, _ = replay(lambda: -1, seed)
    reads, calls = replay(lambda: get_rank(True, PATIENT), seed)
    assert reads > reads_before + 0.05
    # They are not starved: a quarter of the rest is the bound of the platform.
    assert calls > 0.25 * reads
