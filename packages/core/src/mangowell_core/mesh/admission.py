"""Admission control and queue in front of the local worker.

Every request to the worker passes through this node, so the numbers of running
and waiting requests are exact and the worker never gets more requests than it
has slots. Under overload, a long queue would make every answer late. A request
that can be in time runs before one that can only be late, and is refused before it
runs if neither is expected: then another worker, or a retry, serves it better.

The load this addresses: a burst of 1.7 on a service whose workers are half cold, with
callers that retry at once. The queue orders by rank, then by arrival. A request that
can only be late waits behind all others, and only while the capacity that they leave
is expected to serve it before its deadline.

Within a rank, the order is that of arrival: by time left, requests of short objectives
would push out others that have waited.

An overloaded worker also limits the rate of its requests, and a cold one has a bound.
A request starts once a slot is free and both allow it.
"""

import math
from bisect import insort
from enum import Enum

from mangowell_core.mesh.late_queue import (
    LATE_TIME_SHARE,
    MAX_LATE_PER_SLOT,
    OVERDUE_TIME_SHARE,
    PREDICTION_WEIGHT,
    ClassShares,
    LeftCapacity,
)
from mangowell_core.mesh.placement import LoadReport
from mangowell_core.mesh.rate_limit import RateLimit
from mangowell_core.mesh.warmup import WarmupGate

# Share of the slack, which is the objective less the expected work, that a new
# request may be expected to wait. The rest absorbs the variance of the work.
ARRIVAL_WAIT_SHARE = 0.6
# The same for a queued request; it is higher because a refusal wastes the time
# that the request has waited.
QUEUED_WAIT_SHARE = 1.0
# Share for new requests that no others overtake, once all slots have been busy for
# `SATURATED_AFTER_S` seconds. A queue absorbs a burst, but a standing queue adds its
# wait to each request without keeping the slots any busier. The expected wait of other
# requests includes those that overtake them, which keeps their queue short already.
SATURATED_WAIT_SHARE = 0.45
# Share of the slots left by more urgent requests from which none count as overtaking.
NOT_OVERTAKEN_SHARE = 0.98
SATURATED_AFTER_S = 0.3
# Lower bound of the allowed wait, as a share of the objective.
MIN_ALLOWED_WAIT_SHARE = 0.1
# Weight of the newest observation in the moving average of the work.
WORK_GAIN = 0.1
# Work assumed for a route without a completed request so far, seconds.
INITIAL_WORK_S = 0.05
# Ratio of the mean age of the running requests to the mean work above which the
# worker counts as stuck.
STUCK_AGE_RATIO = 3.0
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0


class AdmissionDecision(Enum):
    """Admission decision on a request on the platform's request path."""

    RUN = "run"
    WAIT = "wait"
    REFUSED = "refused"


class Ticket:
    """Represents one request that runs at the worker or waits for a slot.

    Parameters
    ----------
    request : str
        Id of the request.
    route : str
        Name of its route.
    rank : int
        Rank of its class; lower ranks run first.
    is_call : bool
        Whether it is a call of a running request.
    sort_key : tuple of int
        Rank in the queue and order of arrival; lower keys run first.
    latest_start : float
        Monotonic time in seconds after which a queued request is late.
    deadline : float
        Monotonic time in seconds at which its caller gives up.
    work_s : float
        Expected work, in seconds.
    arrived : float
        Monotonic time of arrival, in seconds.
    """

    __slots__ = (
        "arrived",
        "deadline",
        "has_yielded",
        "is_call",
        "is_late",
        "is_running",
        "is_starving",
        "latest_start",
        "rank",
        "request",
        "route",
        "sort_key",
        "started",
        "work_s",
    )

    def __init__(
        self,
        request: str,
        route: str,
        rank: int,
        is_call: bool,
        sort_key,
        latest_start: float,
        deadline: float,
        work_s: float,
        arrived: float,
    ):
        self.request = request
        self.route = route
        self.rank = rank
        self.is_call = is_call
        self.deadline = deadline
        # Whether the request waits behind all that can be in time.
        self.is_late = False
        # Whether it counts as urgent because its class is served far too seldom.
        self.is_starving = False
        # Whether a call has run in its place.
        self.has_yielded = False
        self.sort_key = sort_key
        self.latest_start = latest_start
        self.work_s = work_s
        self.arrived = arrived
        self.started = 0.0
        self.is_running = False

    def __lt__(self, other: "Ticket") -> bool:
        return self.sort_key < other.sort_key


class Admission:
    """Admits requests on the platform's request path to one worker.

    Requests above the worker's slots wait in a queue ordered by rank, and behind it in
    a bounded queue of those that can only be late.

    Parameters
    ----------
    limit : int
        Number of slots: requests that run at once.
    keeps_late : bool, optional
        Whether requests that can only be late are kept at all.

    Attributes
    ----------
    rate_limit : RateLimit
        Limit on the rate at which requests start.
    warmup : WarmupGate
        Limit on this rate while the worker is cold.
    """

    __slots__ = (
        "_keeps_late",
        "_late",
        "_left_capacity",
        "_mean_work_s",
        "_offer_count",
        "_queue",
        "_running",
        "_shares",
        "_slot_free_at",
        "limit",
        "rate_limit",
        "warmup",
    )

    def __init__(self, limit: int, keeps_late: bool = False):
        self.limit = max(1, limit)
        self._queue: list[Ticket] = []
        # Requests that can only be late.
        self._late: list[Ticket] = []
        self._keeps_late = keeps_late
        self._left_capacity = LeftCapacity()
        self._shares = ClassShares()
        self.rate_limit = RateLimit()
        self.warmup = WarmupGate()
        # Time at which a new request could last start at once.
        self._slot_free_at = 0.0
        self._running: set[Ticket] = set()
        self._offer_count = 0
        self._mean_work_s: dict[str, float] = {}

    @property
    def running(self) -> int:
        """Number of running requests."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._queue) + len(self._late)

    @property
    def waiting_late(self) -> int:
        """Number of waiting requests that can only be late."""
        return len(self._late)

    def offer(
        self,
        request: str,
        route: str,
        rank: int,
        objective_s: float,
        deadline: float,
        now: float,
        is_call: bool = False,
    ) -> tuple[AdmissionDecision, Ticket, float]:
        """Admit, queue or refuse a request.

        Parameters
        ----------
        request : str
            Id of the request.
        route : str
            Name of its route.
        rank : int
            Lower ranks run first; a call made by a running request has a lower one
            than its parent, because refusing it would waste the work already done.
        objective_s : float
            Time within which an answer has its full value, in seconds; 0 if
            only the deadline counts.
        deadline : float
            Monotonic time, in seconds.
        now : float
            Monotonic time, in seconds.
        is_call : bool, optional
            Whether a running request makes it. Calls precede requests of starving
            classes, and new requests do not yield to how often calls are served.

        Returns
        -------
        AdmissionDecision, Ticket, float
            The last is the time in seconds after which a refused request may be
            sent again, and 0 for other requests.
        """
        ticket, latest_start_on_arrival = self._make_ticket(
            request, route, rank, objective_s, deadline, now, is_call
        )
        self._offer_count += 1
        self._record_offer(ticket, 1.0, now)
        decision, delay_s = self._decide(ticket, latest_start_on_arrival, deadline, now)
        match decision:
            case AdmissionDecision.RUN:
                self._left_capacity.record_accepted(rank, ticket.work_s, now)
                self._start(ticket, now)
            case AdmissionDecision.WAIT:
                self._left_capacity.record_accepted(rank, ticket.work_s, now)
                insort(self._late if ticket.is_late else self._queue, ticket)
                delay_s = 0.0
        return decision, ticket, delay_s

    def predict(
        self,
        route: str,
        rank: int,
        objective_s: float,
        deadline: float,
        now: float,
        is_call: bool = False,
    ) -> tuple[AdmissionDecision, float]:
        """Return what `offer` would decide, without admitting the request.

        Takes the parameters of `offer`.

        Returns
        -------
        AdmissionDecision, float
            The last is the expected wait of an admitted request, or the time
            after which a refused one may be sent again, in seconds.
        """
        ticket, latest_start_on_arrival = self._make_ticket(
            "", route, rank, objective_s, deadline, now, is_call
        )
        decision, delay_s = self._decide(ticket, latest_start_on_arrival, deadline, now)
        if decision is AdmissionDecision.REFUSED:
            # It is not offered afterwards, but it is demand.
            self._record_offer(ticket, PREDICTION_WEIGHT, now)
        return decision, delay_s

    def estimate_work(self, route: str, now: float) -> float:
        """Return the mean work of a request of `route` here, in seconds.

        A worker that has stopped answering completes nothing, so its mean stays low.
        The age of the requests that it runs takes its place once it is far above.

        Returns
        -------
        float
            0 if no request of the route has been completed yet.
        """
        known_work_s = self._mean_work_s.get(route, 0.0)
        if not self._running:
            return known_work_s
        age_s = sum(now - ticket.started for ticket in self._running)
        mean_age_s = age_s / len(self._running)
        is_stuck = mean_age_s > STUCK_AGE_RATIO * (known_work_s or INITIAL_WORK_S)
        return mean_age_s if is_stuck else known_work_s

    def _make_ticket(
        self, request, route, rank, objective_s, deadline, now, is_call
    ) -> tuple[Ticket, float]:
        """Build the ticket of a request, and its latest start if it has to wait."""
        work_s = self._mean_work_s.get(route, INITIAL_WORK_S)
        latest_start_on_arrival = latest_start_in_queue = deadline - work_s
        if objective_s > 0:
            slack_s = objective_s - work_s
            min_wait_s = objective_s * MIN_ALLOWED_WAIT_SHARE
            has_late_running = any(t.is_late for t in self._running)
            if self._can_start(now) or (has_late_running and not self._queue):
                # Late requests only fill slots that are left over.
                self._slot_free_at = now
            is_saturated = now - self._slot_free_at > SATURATED_AFTER_S
            left_share = self._left_capacity.estimate_share(rank, self.limit, now)
            is_overtaken = left_share <= NOT_OVERTAKEN_SHARE
            is_short = is_saturated and not is_overtaken
            wait_share = SATURATED_WAIT_SHARE if is_short else ARRIVAL_WAIT_SHARE
            latest_start_on_arrival = min(
                latest_start_on_arrival,
                now + max(slack_s * wait_share, min_wait_s),
            )
            latest_start_in_queue = min(
                latest_start_in_queue,
                now + max(slack_s * QUEUED_WAIT_SHARE, min_wait_s),
            )
        is_starving = rank > 0 and self._is_starving(rank, route, now)
        sort_key = (0 if is_starving else rank, self._offer_count)
        ticket = Ticket(
            request,
            route,
            rank,
            is_call,
            sort_key,
            latest_start_in_queue,
            deadline,
            work_s,
            now,
        )
        ticket.is_starving = is_starving
        return ticket, latest_start_on_arrival

    def _is_starving(self, rank: int, route: str, now: float) -> bool:
        """Return whether a new request counts as urgent, as its class is starving."""
        preferred = sum(
            t.is_starving and (t.rank, t.route) == (rank, route) for t in self._queue
        )
        return self._shares.is_starving(rank, route, preferred, now)

    def _record_offer(self, ticket: Ticket, amount: float, now: float) -> None:
        self._left_capacity.record_offer(ticket.rank, ticket.work_s * amount, now)
        self._shares.record_offer(
            ticket.rank, ticket.route, amount, now, ticket.is_call
        )

    def _decide(
        self, ticket: Ticket, latest_start: float, deadline: float, now: float
    ) -> tuple[AdmissionDecision, float]:
        """Decide on a new request; the delay is that of `predict`."""
        if now >= deadline:
            return AdmissionDecision.REFUSED, MIN_RETRY_AFTER_S
        if not self._queue and self._can_start(now):
            return AdmissionDecision.RUN, 0.0
        wait_s = self._estimate_wait(ticket, now)
        if now + wait_s <= latest_start:
            return AdmissionDecision.WAIT, wait_s
        ahead = self._count_late_before(ticket)
        late_wait_s = self._estimate_late_wait(ticket, ahead, now)
        time_s = (deadline - now) * LATE_TIME_SHARE
        if self._has_late_room and late_wait_s + ticket.work_s <= time_s:
            ticket.is_late = True
            return AdmissionDecision.WAIT, late_wait_s
        return AdmissionDecision.REFUSED, _clamp_retry_after(
            now + wait_s - latest_start
        )

    @property
    def _has_late_room(self) -> bool:
        return self._keeps_late and len(self._late) < self.limit * MAX_LATE_PER_SLOT

    def _count_late_before(self, ticket: Ticket) -> int:
        """Return how many late requests run before a new one."""
        return sum(other < ticket for other in self._late)

    def _estimate_late_wait(self, ticket: Ticket, ahead: int, now: float) -> float:
        """Return the expected wait behind `ahead` late requests, in seconds.

        All that can be in time and waits now runs first, on all slots. The rest of the
        wait passes at the capacity that such requests leave.
        """
        slots = self._estimate_usable_slots(now)
        left = self._left_capacity.estimate(ticket.rank, slots, now)
        if not left:
            return math.inf
        backlog_s = self._estimate_running_backlog()
        backlog_s += sum(ticket.work_s for ticket in self._queue)
        late_s = sum(ticket.work_s for ticket in self._late[:ahead])
        delay_s = self._estimate_rate_delay(len(self._queue) + ahead, now)
        return max(backlog_s / self.limit + late_s / left, delay_s)

    def finish(self, ticket: Ticket, is_served: bool, now: float) -> list[Ticket]:
        """Release the slot of a request; return the requests that start now.

        Parameters
        ----------
        ticket : Ticket
            Ticket of the request; if it is still queued, it is cancelled.
        is_served : bool
            Whether the worker has served the request, so that its run counts as an
            observation of the route's work.
        now : float
            Monotonic time, in seconds.
        """
        if ticket not in self._running:
            self.cancel(ticket)
            return []
        self._running.discard(ticket)
        if is_served:
            measured_work_s = now - ticket.started
            mean_work_s = self._mean_work_s.get(ticket.route, measured_work_s)
            self._mean_work_s[ticket.route] = mean_work_s + WORK_GAIN * (
                measured_work_s - mean_work_s
            )
        return self.start_waiting(now)

    def start_waiting(self, now: float) -> list[Ticket]:
        """Start waiting requests while that is possible, and return them."""
        started = []
        while (self._queue or self._late) and self._can_start(now):
            ticket = self._pop_next(now)
            self._start(ticket, now)
            started.append(ticket)
        return started

    def _pop_next(self, now: float) -> Ticket:
        """Remove the request that runs next from its queue, and return it.

        A new request of a starving class takes a slot from more urgent ones. A waiting
        call has the first claim to such a slot, as its refusal would waste the work of
        its parent. Only one call goes before each such request: otherwise all calls of
        patient parents would precede urgent requests while a class starves.
        """
        queue = self._select_queue(now)
        first = queue[0]
        if first.is_starving and not (first.is_call or first.has_yielded):
            first.has_yielded = True
            position = next((n for n, t in enumerate(queue) if t.is_call), 0)
            return queue.pop(position)
        return queue.pop(0)

    def _select_queue(self, now: float) -> list[Ticket]:
        """Return the queue whose first request runs next.

        A late request precedes one in time only if its class is more urgent and served
        less often: a more urgent class must not lose against a patient one because its
        objective is shorter.
        """
        if not self._late or not self._queue:
            return self._queue or self._late
        late, in_time = self._late[0], self._queue[0]
        if late.rank >= in_time.rank:
            return self._queue
        late_share = self._shares.get_share(late.rank, late.route, now)
        share = self._shares.get_share(in_time.rank, in_time.route, now)
        is_behind = None not in (late_share, share) and late_share < share
        return self._late if is_behind else self._queue

    def cancel(self, ticket: Ticket) -> None:
        """Remove a waiting request from the queue."""
        for queue in (self._queue, self._late):
            if ticket in queue:
                queue.remove(ticket)

    def expire(self, now: float) -> list[tuple[Ticket, float]]:
        """Remove waiting requests that are not expected to be served any more.

        One that is no longer expected to start in time waits as a late one if there is
        capacity left for it.

        Returns
        -------
        list of (Ticket, float)
            Removed tickets and the time in seconds after which each request may
            be sent again.
        """
        expired = []
        overdue = []
        kept = []
        backlog_s = self._estimate_running_backlog()
        for ticket in self._queue:
            slot_wait_s = backlog_s / self.limit
            rate_wait_s = self._estimate_rate_delay(len(kept), now)
            expected_start = now + max(slot_wait_s, rate_wait_s)
            if expected_start > ticket.latest_start and now > ticket.arrived:
                overdue.append((ticket, expected_start - ticket.latest_start))
                continue
            kept.append(ticket)
            backlog_s += ticket.work_s
        self._queue = kept
        expired += self._expire_late(now)
        for ticket, excess_s in overdue:
            ahead = self._count_late_before(ticket)
            wait_s = self._estimate_late_wait(ticket, ahead, now)
            time_s = (ticket.deadline - now) * OVERDUE_TIME_SHARE
            if self._has_late_room and wait_s + ticket.work_s <= time_s:
                ticket.is_late = True
                insort(self._late, ticket)
            else:
                expired.append((ticket, _clamp_retry_after(excess_s)))
        return expired

    def _expire_late(self, now: float) -> list[tuple[Ticket, float]]:
        """Remove late requests that cannot finish by their deadline any more.

        They were kept with a margin. One that is held is not refused for a short rise
        of the load, as its refusal would come too late to be of use.
        """
        hopeless = [t for t in self._late if now + t.work_s > t.deadline]
        for ticket in hopeless:
            self._late.remove(ticket)
        return [(ticket, MIN_RETRY_AFTER_S) for ticket in hopeless]

    def clear(self) -> list[Ticket]:
        """Remove and return all waiting requests."""
        queue, self._queue = self._queue + self._late, []
        self._late = []
        return queue

    def _can_start(self, now: float) -> bool:
        """Return whether a slot is free and the rate limit allows a start."""
        if len(self._running) >= self.limit:
            return False
        return not self._estimate_rate_delay(0, now)

    def estimate_rate_delay(self, now: float) -> float:
        """Return the time until the rates allow the next start, in seconds."""
        return self._estimate_rate_delay(0, now)

    def _estimate_rate_delay(self, ahead: int, now: float) -> float:
        return max(
            self.rate_limit.estimate_delay(ahead, now),
            self.warmup.estimate_delay(ahead, now),
        )

    def _start(self, ticket: Ticket, now: float) -> None:
        self.rate_limit.take(now)
        self.warmup.take(now)
        self._shares.record_start(ticket.rank, ticket.route, now)
        ticket.is_running = True
        ticket.started = now
        self._running.add(ticket)

    def _estimate_running_backlog(self) -> float:
        """Estimate the work, in slot seconds, until a slot becomes free.

        With many slots, one becomes free after a fraction of a request's work.
        """
        if not self._running:
            return 0.0
        mean_work_s = sum(t.work_s for t in self._running) / len(self._running)
        return mean_work_s * max(0, len(self._running) + 1 - self.limit)

    def _estimate_wait(self, ticket: Ticket, now: float) -> float:
        backlog_s = self._estimate_running_backlog()
        ahead = 0
        for other in self._queue:
            if ticket < other:
                break
            backlog_s += other.work_s
            ahead += 1
        wait_s = max(backlog_s / self.limit, self._estimate_rate_delay(ahead, now))
        slots = self._estimate_usable_slots(now)
        rank = ticket.sort_key[0]
        return wait_s / self._left_capacity.estimate_share(rank, slots, now)

    def _estimate_usable_slots(self, now: float) -> float:
        """Return how many slots the rates keep busy; at most all of them."""
        per_s = self.rate_limit.per_s
        if self.warmup.is_cold(now):
            per_s = min(per_s, self.warmup.per_s)
        if math.isinf(per_s):
            return float(self.limit)
        works_s = self._mean_work_s.values()
        mean_work_s = sum(works_s) / len(works_s) if works_s else INITIAL_WORK_S
        return min(float(self.limit), per_s * mean_work_s)

    def compute_load(self, now: float) -> LoadReport:
        """Return the load of the worker for the placement at other nodes.

        A rate limit, or the bound of a cold worker, leaves most slots idle. It is
        therefore reported as the number of slots that it keeps busy, all of which are
        in use once it is exhausted.
        """
        pending = len(self._running)
        limit = self.limit
        if self.rate_limit.is_limited or self.warmup.is_cold(now):
            limit = max(1, math.ceil(self._estimate_usable_slots(now)))
            utilization = max(
                self.rate_limit.compute_utilization(now),
                self.warmup.compute_utilization(now),
            )
            pending = max(pending, round(utilization * limit))
        return LoadReport(pending + self.waiting, limit)


def _clamp_retry_after(seconds: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))
