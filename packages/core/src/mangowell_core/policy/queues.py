"""Waiting requests: strict priority between classes, weighted fair within one."""

from heapq import heappop, heappush

from mangowell_core.policy.types import Work

MAX_IDLE_TENANTS = 256  # whose share a class remembers while nothing waits


class Waiting:
    """One waiting request."""

    __slots__ = ("expires_at", "since", "tenant", "ticket", "work")

    def __init__(
        self, ticket: int, work: Work, tenant: str, expires_at: float, since: float
    ):
        self.ticket = ticket
        self.work = work
        self.tenant = tenant
        self.expires_at = expires_at
        self.since = since


class _TenantQueue:
    __slots__ = ("items", "passed", "weight")

    def __init__(self):
        self.items: dict[int, Waiting] = {}  # in order of arrival
        self.passed = 0.0
        self.weight = 1.0


class _ClassQueue:
    """Stride scheduling between tenants: each start costs 1 / weight."""

    __slots__ = ("passed", "size", "tenants")

    def __init__(self):
        self.tenants: dict[str, _TenantQueue] = {}
        self.size = 0
        self.passed = 0.0

    def push(self, item: Waiting, weight: float) -> None:
        tenant = self.tenants.get(item.tenant)
        if tenant is None:
            if len(self.tenants) >= MAX_IDLE_TENANTS:
                self.tenants = {n: t for n, t in self.tenants.items() if t.items}
            tenant = self.tenants[item.tenant] = _TenantQueue()
        if not tenant.items:
            # Time spent idle earns no credit.
            tenant.passed = max(tenant.passed, self.passed)
        tenant.weight = weight
        tenant.items[item.ticket] = item
        self.size += 1

    def peek(self) -> Waiting:
        tenant = min(
            (t for t in self.tenants.values() if t.items), key=lambda t: t.passed
        )
        return next(iter(tenant.items.values()))

    def start(self, item: Waiting) -> None:
        tenant = self.tenants[item.tenant]
        self.passed = tenant.passed
        tenant.passed += 1.0 / tenant.weight
        self.drop(item)

    def drop(self, item: Waiting) -> None:
        del self.tenants[item.tenant].items[item.ticket]
        self.size -= 1

    def find_heaviest(self) -> _TenantQueue:
        return max(self.tenants.values(), key=lambda t: len(t.items) / t.weight)


class RequestQueue:
    """All waiting requests of one node.

    A rank is (deferrable, priority): the smallest is served first and the
    largest is shed first.
    """

    __slots__ = ("_classes", "_deadlines", "_items", "_ranks")

    def __init__(self):
        self._classes: dict[tuple[bool, int], _ClassQueue] = {}
        self._ranks: list[tuple[bool, int]] = []
        self._items: dict[int, Waiting] = {}
        self._deadlines: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: Waiting, weight: float) -> None:
        """Add a request behind the others of its class and tenant."""
        rank = find_rank(item.work)
        queue = self._classes.get(rank)
        if queue is None:
            queue = self._classes[rank] = _ClassQueue()
            self._ranks = sorted(self._classes)
        queue.push(item, weight)
        self._items[item.ticket] = item
        heappush(self._deadlines, (item.expires_at, item.ticket))

    def peek(self) -> Waiting | None:
        """Return the request that is next, or None."""
        for rank in self._ranks:
            queue = self._classes[rank]
            if queue.size:
                return queue.peek()
        return None

    def start(self, item: Waiting) -> None:
        """Remove a request that starts, at the cost of its tenant's share."""
        self._classes[find_rank(item.work)].start(item)
        del self._items[item.ticket]

    def remove(self, ticket: int) -> Waiting | None:
        """Remove a request that does not start; None if it does not wait."""
        item = self._items.pop(ticket, None)
        if item is not None:
            self._classes[find_rank(item.work)].drop(item)
        return item

    def count_ahead(self, work: Work, tenant: str, weight: float) -> float:
        """Return how many waiting requests would start before a new one."""
        own = find_rank(work)
        ahead = 0.0
        for rank in self._ranks:
            queue = self._classes[rank]
            if rank < own:
                ahead += queue.size
            elif rank == own and queue.size:
                mine = queue.tenants.get(tenant)
                count = len(mine.items) if mine is not None else 0
                # While the tenant's requests are served, each other tenant
                # gets its share, as far as it has requests.
                turns = (count + 1) / weight
                ahead += count
                for name, other in queue.tenants.items():
                    if name != tenant:
                        ahead += min(len(other.items), turns * other.weight)
        return ahead

    def count_deferrable(self) -> tuple[int, int]:
        """Return how many deferrable and how many other requests wait."""
        count = sum(q.size for rank, q in self._classes.items() if rank[0])
        return count, len(self._items) - count

    def find_cheapest(self) -> tuple[bool, int] | None:
        """Return the largest rank with waiting requests, or None."""
        for rank in reversed(self._ranks):
            if self._classes[rank].size:
                return rank
        return None

    def find_victim(self, work: Work, tenant: str, weight: float) -> Waiting | None:
        """Return the request to shed in favour of a new one, or None.

        It belongs to a cheaper class, or to a tenant of the same class that
        waits with more requests for its weight. The newest one goes: it has
        the longest wait before it.
        """
        cheapest = self.find_cheapest()
        own = find_rank(work)
        if cheapest is None or cheapest < own:
            return None
        queue = self._classes[cheapest]
        heaviest = queue.find_heaviest()
        if cheapest == own:
            mine = queue.tenants.get(tenant)
            count = len(mine.items) if mine is not None else 0
            if len(heaviest.items) / heaviest.weight <= (count + 1) / weight:
                return None
        return next(reversed(heaviest.items.values()))

    def pop_expired(self, now: float) -> list[Waiting]:
        """Remove the requests whose time is over."""
        found = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, ticket = heappop(self._deadlines)
            item = self.remove(ticket)
            if item is not None:
                found.append(item)
        return found

    def next_expiry(self) -> float:
        """Return when a request's time is over; infinite if none waits."""
        while self._deadlines and self._deadlines[0][1] not in self._items:
            heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else float("inf")

    def pop_all(self) -> list[Waiting]:
        """Remove and return everything."""
        return [self.remove(ticket) for ticket in list(self._items)]


def find_rank(work: Work) -> tuple[bool, int]:
    """Return the rank of a request."""
    return work.traffic_class.deferrable, work.traffic_class.priority
