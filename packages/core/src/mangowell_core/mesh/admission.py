"""Admission control and queue in front of the local worker.

Every request to the worker passes through this node, so the numbers of running
and waiting requests are exact and the worker never gets more requests than it
has slots. Under overload, a long queue would make every answer late. A request
is therefore refused before it runs if it is not expected to start in time, and
a queued request is refused as soon as more urgent arrivals delay it too far.

An overloaded worker also limits the rate of its requests. A request starts once a
slot is free and the rate limit allows it.
"""

import math
from bisect import insort
from enum import Enum

from mangowell_core.mesh.placement import LoadReport
from mangowell_core.mesh.rate_limit import RateLimit

# Share of the slack, which is the objective less the expected work, that a new
# request may be expected to wait. The rest absorbs the variance of the work.
ARRIVAL_WAIT_SHARE = 0.6
# The same for a queued request; it is higher because a refusal wastes the time
# that the request has waited.
QUEUED_WAIT_SHARE = 1.0
# Share for new requests once all slots have been busy for `SATURATED_AFTER_S`
# seconds. A queue absorbs a burst, but a standing queue adds its wait to each request
# without keeping the slots any busier.
SATURATED_WAIT_SHARE = 0.25
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
    sort_key : tuple of int
        Rank and order of arrival; lower keys run first.
    latest_start : float
        Monotonic time in seconds after which a queued request is refused.
    work_s : float
        Expected work, in seconds.
    arrived : float
        Monotonic time of arrival, in seconds.
    """

    __slots__ = (
        "arrived",
        "is_running",
        "latest_start",
        "request",
        "route",
        "sort_key",
        "started",
        "work_s",
    )

    def __init__(
        self, request: str, route: str, sort_key, latest_start, work_s, arrived
    ):
        self.request = request
        self.route = route
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

    Requests above the worker's slots wait in a queue ordered by rank.

    Parameters
    ----------
    limit : int
        Number of slots: requests that run at once.

    Attributes
    ----------
    rate_limit : RateLimit
        Limit on the rate at which requests start.
    """

    __slots__ = (
        "_mean_work_s",
        "_offer_count",
        "_queue",
        "_running",
        "_slot_free_at",
        "limit",
        "rate_limit",
    )

    def __init__(self, limit: int):
        self.limit = max(1, limit)
        self._queue: list[Ticket] = []
        self.rate_limit = RateLimit()
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
        return len(self._queue)

    def offer(
        self,
        request: str,
        route: str,
        rank: int,
        objective_s: float,
        deadline: float,
        now: float,
    ) -> tuple[AdmissionDecision, Ticket, float]:
        """Admit, queue or refuse a request.

        Parameters
        ----------
        request : str
            Id of the request.
        route : str
            Name of its route.
        rank : int
            Lower ranks run first; a call made by a running request has the
            lowest, because refusing it would waste the work already done.
        objective_s : float
            Time within which an answer has its full value, in seconds; 0 if
            only the deadline counts.
        deadline : float
            Monotonic time, in seconds.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        AdmissionDecision, Ticket, float
            The last is the time in seconds after which a refused request may be
            sent again, and 0 for other requests.
        """
        ticket, latest_start_on_arrival = self._make_ticket(
            request, route, rank, objective_s, deadline, now
        )
        self._offer_count += 1
        decision, delay_s = self._decide(ticket, latest_start_on_arrival, deadline, now)
        match decision:
            case AdmissionDecision.RUN:
                self._start(ticket, now)
            case AdmissionDecision.WAIT:
                insort(self._queue, ticket)
                delay_s = 0.0
        return decision, ticket, delay_s

    def predict(
        self, route: str, rank: int, objective_s: float, deadline: float, now: float
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
            "", route, rank, objective_s, deadline, now
        )
        return self._decide(ticket, latest_start_on_arrival, deadline, now)

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
        self, request, route, rank, objective_s, deadline, now
    ) -> tuple[Ticket, float]:
        """Build the ticket of a request, and its latest start if it has to wait."""
        work_s = self._mean_work_s.get(route, INITIAL_WORK_S)
        latest_start_on_arrival = latest_start_in_queue = deadline - work_s
        if objective_s > 0:
            slack_s = objective_s - work_s
            min_wait_s = objective_s * MIN_ALLOWED_WAIT_SHARE
            if self._can_start(now):
                self._slot_free_at = now
            is_saturated = now - self._slot_free_at > SATURATED_AFTER_S
            wait_share = SATURATED_WAIT_SHARE if is_saturated else ARRIVAL_WAIT_SHARE
            latest_start_on_arrival = min(
                latest_start_on_arrival,
                now + max(slack_s * wait_share, min_wait_s),
            )
            latest_start_in_queue = min(
                latest_start_in_queue,
                now + max(slack_s * QUEUED_WAIT_SHARE, min_wait_s),
            )
        sort_key = (rank, self._offer_count)
        ticket = Ticket(request, route, sort_key, latest_start_in_queue, work_s, now)
        return ticket, latest_start_on_arrival

    def _decide(
        self, ticket: Ticket, latest_start: float, deadline: float, now: float
    ) -> tuple[AdmissionDecision, float]:
        """Decide on a new request; the delay is that of `predict`."""
        if now >= deadline:
            return AdmissionDecision.REFUSED, MIN_RETRY_AFTER_S
        if not self._queue and self._can_start(now):
            return AdmissionDecision.RUN, 0.0
        wait_s = self._estimate_wait(ticket, now)
        if now + wait_s > latest_start:
            return AdmissionDecision.REFUSED, _clamp_retry_after(
                now + wait_s - latest_start
            )
        return AdmissionDecision.WAIT, wait_s

    def finish(self, ticket: Ticket, has_run: bool, now: float) -> list[Ticket]:
        """Release the slot of a request; return the requests that start now.

        Parameters
        ----------
        ticket : Ticket
            Ticket of the request; if it is still queued, it is cancelled.
        has_run : bool
            Whether the run counts as an observation of the route's work.
        now : float
            Monotonic time, in seconds.
        """
        if ticket not in self._running:
            self.cancel(ticket)
            return []
        self._running.discard(ticket)
        if has_run:
            measured_work_s = now - ticket.started
            mean_work_s = self._mean_work_s.get(ticket.route, measured_work_s)
            self._mean_work_s[ticket.route] = mean_work_s + WORK_GAIN * (
                measured_work_s - mean_work_s
            )
        return self.start_waiting(now)

    def start_waiting(self, now: float) -> list[Ticket]:
        """Start waiting requests while that is possible, and return them."""
        started = []
        while self._queue and self._can_start(now):
            ticket = self._queue.pop(0)
            self._start(ticket, now)
            started.append(ticket)
        return started

    def cancel(self, ticket: Ticket) -> None:
        """Remove a waiting request from the queue."""
        if ticket in self._queue:
            self._queue.remove(ticket)

    def expire(self, now: float) -> list[tuple[Ticket, float]]:
        """Remove waiting requests that are no longer expected to start in time.

        Returns
        -------
        list of (Ticket, float)
            Removed tickets and the time in seconds after which each request may
            be sent again.
        """
        expired = []
        kept = []
        backlog_s = self._estimate_running_backlog()
        for ticket in self._queue:
            slot_wait_s = backlog_s / self.limit
            rate_wait_s = self.rate_limit.estimate_delay(len(kept), now)
            expected_start = now + max(slot_wait_s, rate_wait_s)
            if expected_start > ticket.latest_start and now > ticket.arrived:
                expired.append(
                    (ticket, _clamp_retry_after(expected_start - ticket.latest_start))
                )
                continue
            kept.append(ticket)
            backlog_s += ticket.work_s
        self._queue = kept
        return expired

    def clear(self) -> list[Ticket]:
        """Remove and return all waiting requests."""
        queue, self._queue = self._queue, []
        return queue

    def _can_start(self, now: float) -> bool:
        """Return whether a slot is free and the rate limit allows a start."""
        if len(self._running) >= self.limit:
            return False
        return not self.rate_limit.estimate_delay(0, now)

    def _start(self, ticket: Ticket, now: float) -> None:
        self.rate_limit.take(now)
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
        rate_wait_s = self.rate_limit.estimate_delay(ahead, now)
        return max(backlog_s / self.limit, rate_wait_s)

    def compute_load(self, now: float) -> LoadReport:
        """Return the load of the worker for the placement at other nodes.

        A rate limit leaves most slots idle. It is therefore reported as the number
        of slots that it keeps busy, all of which are in use once it is exhausted.
        """
        pending = len(self._running)
        limit = self.limit
        if self.rate_limit.is_limited:
            works_s = self._mean_work_s.values()
            mean_work_s = sum(works_s) / len(works_s) if works_s else INITIAL_WORK_S
            busy_slots = math.ceil(self.rate_limit.per_s * mean_work_s)
            limit = min(limit, max(1, busy_slots))
            utilization = self.rate_limit.compute_utilization(now)
            pending = max(pending, round(utilization * limit))
        return LoadReport(pending + len(self._queue), limit)


def _clamp_retry_after(seconds: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))
