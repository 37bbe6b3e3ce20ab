"""Request queue with strict priority between classes.

Within a class, tenants are served by weighted fair queuing.
"""

from heapq import heappop, heappush

from mangowell_core.policy.types import Work

MAX_TENANT_QUEUES = 256  # per class; beyond it, empty queues are dropped


class WaitingRequest:
    """A waiting request with its queue position and expiry.

    Parameters
    ----------
    ticket : int
        Identifies the request; a later request has a higher ticket.
    work : Work
        The request.
    tenant : str
        Name of the tenant queue.
    expires_at : float
        Monotonic time in seconds at which the request is refused.
    waiting_since : float
        Monotonic time in seconds at which it was queued, or set aside as a suspect.
    """

    __slots__ = ("expires_at", "tenant", "ticket", "waiting_since", "work")

    def __init__(
        self,
        ticket: int,
        work: Work,
        tenant: str,
        expires_at: float,
        waiting_since: float,
    ):
        self.ticket = ticket
        self.work = work
        self.tenant = tenant
        self.expires_at = expires_at
        self.waiting_since = waiting_since


class _TenantQueue:
    """Waiting requests of one tenant in one class."""

    __slots__ = ("items", "pass_value", "weight")

    def __init__(self):
        self.items: dict[int, WaitingRequest] = {}  # in order of arrival
        self.pass_value = 0.0
        self.weight = 1.0


class _ClassQueue:
    """Waiting requests of one rank, scheduled by stride between tenants.

    The tenant with the lowest pass value is served next. Each start raises its
    pass value by its stride, 1 / weight.
    """

    __slots__ = ("pass_value", "size", "tenants")

    def __init__(self):
        self.tenants: dict[str, _TenantQueue] = {}
        self.size = 0
        self.pass_value = 0.0

    def push(self, item: WaitingRequest, weight: float) -> None:
        tenant = self.tenants.get(item.tenant)
        if tenant is None:
            if len(self.tenants) >= MAX_TENANT_QUEUES:
                self.tenants = {n: t for n, t in self.tenants.items() if t.items}
            tenant = self.tenants[item.tenant] = _TenantQueue()
        if not tenant.items:
            # An idle tenant accumulates no share.
            tenant.pass_value = max(tenant.pass_value, self.pass_value)
        tenant.weight = weight
        tenant.items[item.ticket] = item
        self.size += 1

    def peek(self) -> WaitingRequest:
        tenant = min(
            (t for t in self.tenants.values() if t.items), key=lambda t: t.pass_value
        )
        return next(iter(tenant.items.values()))

    def start(self, item: WaitingRequest) -> None:
        tenant = self.tenants[item.tenant]
        self.pass_value = tenant.pass_value
        tenant.pass_value += 1.0 / tenant.weight
        self.drop(item)

    def drop(self, item: WaitingRequest) -> None:
        del self.tenants[item.tenant].items[item.ticket]
        self.size -= 1

    def select_longest(self) -> _TenantQueue:
        """Return the queue with the most requests in proportion to its weight."""
        return max(self.tenants.values(), key=lambda t: len(t.items) / t.weight)


class RequestQueue:
    """All waiting requests of one node.

    The rank of a request is (deferrable, priority). The lowest rank is served
    first and the highest is shed first.
    """

    __slots__ = ("_classes", "_deadlines", "_items", "_ranks")

    def __init__(self):
        self._classes: dict[tuple[bool, int], _ClassQueue] = {}
        self._ranks: list[tuple[bool, int]] = []
        self._items: dict[int, WaitingRequest] = {}
        self._deadlines: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: WaitingRequest, weight: float) -> None:
        """Append a request to the queue of its class and tenant."""
        rank = compute_rank(item.work)
        queue = self._classes.get(rank)
        if queue is None:
            queue = self._classes[rank] = _ClassQueue()
            self._ranks = sorted(self._classes)
        queue.push(item, weight)
        self._items[item.ticket] = item
        heappush(self._deadlines, (item.expires_at, item.ticket))

    def peek(self) -> WaitingRequest | None:
        """Return the next request to start, or None."""
        for rank in self._ranks:
            queue = self._classes[rank]
            if queue.size:
                return queue.peek()
        return None

    def start(self, item: WaitingRequest) -> None:
        """Remove a request that starts, and charge its tenant for the start."""
        self._classes[compute_rank(item.work)].start(item)
        del self._items[item.ticket]

    def remove(self, ticket: int) -> WaitingRequest | None:
        """Remove and return a request without starting it; None if it is not queued."""
        item = self._items.pop(ticket, None)
        if item is not None:
            self._classes[compute_rank(item.work)].drop(item)
        return item

    def estimate_ahead(self, work: Work, tenant: str, weight: float) -> float:
        """Return how many waiting requests are expected to start before a new one."""
        own_rank = compute_rank(work)
        ahead = 0.0
        for rank in self._ranks:
            queue = self._classes[rank]
            if rank < own_rank:
                ahead += queue.size
            elif rank == own_rank and queue.size:
                own_queue = queue.tenants.get(tenant)
                count = len(own_queue.items) if own_queue is not None else 0
                # Until the new request starts, each other tenant starts requests
                # in proportion to its weight, as long as it has any.
                rounds = (count + 1) / weight
                ahead += count
                for name, other in queue.tenants.items():
                    if name != tenant:
                        ahead += min(len(other.items), rounds * other.weight)
        return ahead

    def count_deferrable(self) -> tuple[int, int]:
        """Return the numbers of deferrable and of other waiting requests."""
        count = sum(q.size for rank, q in self._classes.items() if rank[0])
        return count, len(self._items) - count

    def get_last_rank(self) -> tuple[bool, int] | None:
        """Return the highest rank with waiting requests, or None."""
        for rank in reversed(self._ranks):
            if self._classes[rank].size:
                return rank
        return None

    def select_victim(
        self, work: Work, tenant: str, weight: float
    ) -> WaitingRequest | None:
        """Return the request to shed in favour of a new one, or None.

        The victim has a higher rank, or has the same rank and belongs to a
        tenant with more waiting requests in proportion to its weight. Of that
        tenant's requests, the newest is shed, because it has the longest wait
        ahead.
        """
        last_rank = self.get_last_rank()
        own_rank = compute_rank(work)
        if last_rank is None or last_rank < own_rank:
            return None
        queue = self._classes[last_rank]
        longest = queue.select_longest()
        if last_rank == own_rank:
            own_queue = queue.tenants.get(tenant)
            count = len(own_queue.items) if own_queue is not None else 0
            if len(longest.items) / longest.weight <= (count + 1) / weight:
                return None
        return next(reversed(longest.items.values()))

    def pop_expired(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests that have expired."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, ticket = heappop(self._deadlines)
            item = self.remove(ticket)
            if item is not None:
                expired.append(item)
        return expired

    def get_next_expiry(self) -> float:
        """Return the time of the next expiry; infinite if no request waits."""
        while self._deadlines and self._deadlines[0][1] not in self._items:
            heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else float("inf")

    def pop_all(self) -> list[WaitingRequest]:
        """Remove and return all requests."""
        return [self.remove(ticket) for ticket in list(self._items)]


def compute_rank(work: Work) -> tuple[bool, int]:
    """Return the rank of a request: (deferrable, priority)."""
    return work.traffic_class.deferrable, work.traffic_class.priority
