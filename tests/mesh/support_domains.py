"""Replay of a load on three failure domains, with the decisions of the core."""

import heapq
import itertools
import math
import random
from collections import Counter

from mangowell_core.mesh import Admission, AdmissionDecision, Endpoint, Placement
from mangowell_core.mesh.crossing import Spillover, Transfer
from mangowell_core.mesh.probing import (
    EXPLORATION,
    LOCAL_PROBES,
    REMOTE_PROBES,
    ProbeResults,
)
from mesh.support_load import probe

DOMAINS = ("a", "b", "c")
ROUND_TRIP_S = 0.0088
# Price of 1 kB between domains, in values of the least urgent answer.
PRICE_PER_KB = 0.2
MEAN_WORK_S = 0.25
WORK_LOG_STDDEV = 0.5
DEADLINE_S = 2.0
SLOTS = 2


class Route:
    """Kind of request; `value` is that of an answer in time, a late one has half."""

    def __init__(self, name, share, objective_s, kilobytes, value):
        self.name = name
        self.share = share
        self.objective_s = objective_s
        self.kilobytes = kilobytes
        self.value = value


# In the order of their priority.
ROUTES = (
    Route("publishing", 0.2, 0.62, 6.2, 3.0),
    Route("purchases", 0.3, 1.2, 2.0, 2.0),
    Route("lists", 0.5, 1.0, 5.3, 1.0),
)


class DomainReplay:
    """64 nodes in three domains, each beside one worker.

    Parameters
    ----------
    may_leave : callable
        Takes this replay, the node, the local results, the sample of other domains,
        the route, the transfer and the time.
    load_at : callable
        Takes a domain and the time; returns the load in capacities of the domain.
    lost_at : callable
        Takes the time; returns whether half of the workers of domain `a` are gone.
    """

    def __init__(self, may_leave, load_at, lost_at=lambda now: False, seed=1):
        self.rng = random.Random(seed)
        self.may_leave, self.load_at, self.lost_at = may_leave, load_at, lost_at
        self.endpoints = [
            Endpoint(f"w{n}", "s", f"h{n}", 80, DOMAINS[n % 3], SLOTS, False, 0.0, 1, 1)
            for n in range(64)
        ]
        self.admissions = {e.id: Admission(SLOTS) for e in self.endpoints}
        self.nodes = []
        for endpoint in self.endpoints:
            rng = random.Random(endpoint.id)
            placement = Placement(endpoint.host, endpoint.failure_domain, rng)
            placement.sync(self.endpoints, 0.0)
            for domain in DOMAINS:
                is_far = domain != endpoint.failure_domain
                placement.round_trips.record(domain, ROUND_TRIP_S * is_far, 0.0)
            for route in ROUTES:
                placement.sizes.record(route.name, 1000 * route.kilobytes)
            self.nodes.append((endpoint, placement, Spillover(rng)))
        # Value of all answers less the price of all bytes, and that of all requests.
        self.value = self.offered = 0.0
        self.remote_probes = 0
        # Requests of domain `a`, and those that left it, by half second.
        self.sent, self.left = Counter(), Counter()
        self.events = []
        self.numbers = itertools.count()

    def run(self, seconds):
        now = 0.0
        capacity_per_s = len(self.endpoints) / 3 * SLOTS / MEAN_WORK_S
        while now < seconds:
            loads = [self.load_at(domain, now) for domain in DOMAINS]
            now += self.rng.expovariate(sum(loads) * capacity_per_s)
            while self.events and self.events[0][0] <= now:
                self._finish(*heapq.heappop(self.events))
            self._place(self.rng.choices(DOMAINS, loads)[0], now)
        return self

    def get_left_shares(self, start, end):
        """Return the share that left domain `a` in each half second."""
        return [self.left[n] / self.sent[n] for n in range(2 * start, 2 * end)]

    def _is_lost(self, endpoint, now):
        number = int(endpoint.id[1:])
        return number % 6 == 0 and self.lost_at(now)

    def _place(self, domain, now):
        route = self.rng.choices(ROUTES, [r.share for r in ROUTES])[0]
        # Drawn here, so that all rules get the same requests.
        mean = math.log(MEAN_WORK_S) - WORK_LOG_STDDEV**2 / 2
        work_s = self.rng.lognormvariate(mean, WORK_LOG_STDDEV)
        self.offered += route.value
        transfer = Transfer(ROUTES.index(route))
        node = self.rng.choice([n for n in self.nodes if n[0].failure_domain == domain])
        _, placement, _ = node
        workers = [e for e in self.endpoints if not self._is_lost(e, now)]
        objective_s = route.objective_s
        costs = placement.estimate_costs(
            workers, route.name, objective_s, set(), now, lambda _: False, transfer
        )
        results = ProbeResults()
        local, remote = (
            placement.sample_workers(
                [c for c in costs if (c[1].failure_domain == domain) is is_local],
                objective_s,
                count,
                EXPLORATION,
            )
            for is_local, count in ((True, LOCAL_PROBES), (False, REMOTE_PROBES))
        )
        self._probe(results, placement, local, route, now)
        if results.has_free_worker:
            node[2].record_free("s", transfer.urgency)
        elif self.may_leave(self, node, results, remote, route, transfer, now):
            self.remote_probes += len(remote)
            self._probe(results, placement, remote, route, now)
        selected = results.select(placement, route.name, objective_s, now, transfer)[1]
        has_left = selected is not None and selected.failure_domain != domain
        if domain == "a":
            self.sent[int(2 * now)] += 1
            self.left[int(2 * now)] += has_left
        self.value -= has_left * PRICE_PER_KB * route.kilobytes
        if selected is not None:
            self._offer(selected, placement, route, work_s, now)

    def _probe(self, results, placement, sample, route, now):
        request = route.name, ROUTES.index(route), route.objective_s
        for _, endpoint in sample:
            probe(self, results, placement, endpoint, request, now, DEADLINE_S)

    def _offer(self, endpoint, placement, route, work_s, now):
        decision, ticket, _ = self.admissions[endpoint.id].offer(
            "",
            route.name,
            ROUTES.index(route),
            route.objective_s,
            now + DEADLINE_S,
            now,
        )
        if decision is AdmissionDecision.REFUSED:
            return
        placement.start(endpoint, now)
        ticket.request = endpoint, placement, route, work_s
        if decision is AdmissionDecision.RUN:
            self._start(ticket, now)

    def _expire(self, admission, now):
        for ticket, _ in admission.expire(now):
            ticket.request[1].finish(ticket.request[0])

    def _start(self, ticket, now):
        end = now + ticket.request[3]
        heapq.heappush(self.events, (end, next(self.numbers), ticket))

    def _finish(self, now, _, ticket):
        endpoint, placement, route, _ = ticket.request
        placement.finish(endpoint)
        placement.record_answer(endpoint, route.name, now - ticket.started, now)
        in_time = now - ticket.arrived <= route.objective_s
        self.value += route.value * (1.0 if in_time else 0.5)
        admission = self.admissions[endpoint.id]
        self._expire(admission, now)
        for started in admission.finish(ticket, True, now):
            self._start(started, now)


def leave_by_need(replay, node, results, sample, route, transfer, now):
    """Decide as the product does."""
    _, placement, spillover = node
    return results.may_leave(
        placement, spillover, sample, route.name, route.objective_s, now, transfer
    )


def never_leave(replay, node, results, sample, route, transfer, now):
    """Serve every request in its own domain."""
    return False


def leave_by_capped_cost(replay, node, results, sample, route, transfer, now):
    """Decide as before: at a cost of up to 0.25 objectives."""
    _, placement, _ = node
    for domain in DOMAINS:
        placement.round_trips.record(domain, 0.0, now)
    own_s, _ = results.select(placement, route.name, route.objective_s, now)
    return any(cost_s < own_s for cost_s, _ in sample)
