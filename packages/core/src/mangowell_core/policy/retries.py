"""Retry and hedge budget: one token bucket per service."""

from mangowell_core.policy.types import AttemptResult, Cause, Outcome, Plan

BUCKET_LIMIT = 20.0  # retries after a quiet time; small against 213 calls/s
BUCKET_START = 3.0  # lets the first calls after a start survive a failed instance
# A node with 1 call a second earns a token in 10 s, so that two faults a few
# seconds apart emptied its bucket. Time adds tokens only up to a cap below the
# limit, and only after a time without a retry or hedge: while calls keep
# failing, retries remain a share of the calls and the bound over 10 hops holds.
REFILL_PER_S = 1.0
REFILL_CAP = 10.0
REFILL_QUIET_S = 2.0
RETRY_MARGIN_S = 0.005  # a retry with less time left cannot end in time

# A retry repeats the same failure, or gives an answer that the caller awaits.
_FINAL_CAUSES = frozenset(
    {
        Cause.NONE,
        Cause.NO_ROUTE,
        Cause.DEADLINE,
        Cause.QUARANTINED,
        Cause.KEY_IN_PROGRESS,
        Cause.KEY_UNKNOWN,
        Cause.KEY_OWNER_LOST,
        Cause.KEY_REUSED,
        Cause.CANCELLED,
    }
)
_RETRIED_STATUSES = frozenset({502, 503, 504})


class _Bucket:
    """Tokens of one service; times are monotonic seconds."""

    __slots__ = ("quiet_from", "tokens", "updated_at")

    def __init__(self) -> None:
        self.tokens = BUCKET_START
        self.quiet_from = float("-inf")
        self.updated_at = float("inf")  # until the first use

    def refill(self, now: float) -> None:
        """Add what the time since the last use yields."""
        quiet_s = now - max(self.updated_at, self.quiet_from)
        if quiet_s > 0.0 and self.tokens < REFILL_CAP:
            self.tokens = min(REFILL_CAP, self.tokens + REFILL_PER_S * quiet_s)
        self.updated_at = now


class RetryBudget:
    """Counts tokens earned by first attempts and spent by retries and hedges.

    Tokens are also earned by time, up to `REFILL_CAP`, once none has been
    asked for in `REFILL_QUIET_S`. A retry never waits for a token: without one
    the failure goes to the caller at once.
    """

    __slots__ = ("_buckets",)

    def __init__(self):
        self._buckets: dict[str, _Bucket] = {}

    def apply(self, services) -> None:
        """Keep the buckets of the services of a new document only."""
        buckets = self._buckets
        self._buckets = {name: buckets.get(name) or _Bucket() for name in services}

    def _find(self, service, now: float) -> _Bucket:
        bucket = self._buckets.get(service.name)
        if bucket is None:
            bucket = self._buckets[service.name] = _Bucket()
        bucket.refill(now)
        return bucket

    def earn(self, service, now: float) -> None:
        """Add the share of one first attempt."""
        bucket = self._find(service, now)
        bucket.tokens = min(BUCKET_LIMIT, bucket.tokens + service.retry_ratio)

    def spend(self, service, now: float) -> bool:
        """Take one token if there is one."""
        if service.retry_ratio <= 0.0:
            return False
        bucket = self._find(service, now)
        bucket.quiet_from = now + REFILL_QUIET_S
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def is_spent(self, service) -> bool:
        """Tell whether the next retry would be refused."""
        bucket = self._buckets.get(service.name)
        return bucket is not None and bucket.tokens < 1.0

    def may_retry(
        self,
        plan: Plan,
        result: AttemptResult,
        attempts: int,
        now: float,
        has_moved: bool = False,
    ) -> bool:
        """Decide on another attempt, and take its token if it is allowed."""
        route = plan.route
        if result.retried or result.cause in _FINAL_CAUSES:
            return False
        if result.cause is Cause.BACKEND_STATUS and (
            result.status not in _RETRIED_STATUSES
        ):
            return False
        if now + RETRY_MARGIN_S >= plan.deadline:
            return False
        if not route.idempotent and result.outcome is not Outcome.NOT_RUN:
            return False
        # A non-idempotent route has no retries of its own. An attempt that
        # certainly did not run may be made once more without breaking I6.
        limit = route.retries if route.idempotent else max(1, route.retries)
        # The silence of a connection says nothing about the instances, so
        # the attempt that it cost leaves all retries for their faults.
        if attempts > limit + has_moved:
            return False
        # Silence loses all requests of a link at once, more than the budget
        # of a node with few calls. Detection takes 1.5 s, so that a deadline
        # allows few moves and they cannot multiply over the hops.
        if result.cause is Cause.CONNECTION_SILENT and attempts == 1:
            return True
        return self.spend(plan.service, now)

    def may_hedge(self, plan: Plan, now: float) -> bool:
        """Decide on a second attempt beside a slow one, and take its token."""
        route = plan.route
        if not route.idempotent or route.hedge_after_ms <= 0:
            return False
        if now + RETRY_MARGIN_S >= plan.deadline:
            return False
        return self.spend(plan.service, now)


def find_hedge_deadline(plan: Plan, started_at: float) -> float | None:
    """Return when a second attempt may start, or None if the route has none."""
    route = plan.route
    if not route.idempotent or route.hedge_after_ms <= 0:
        return None
    deadline = started_at + route.hedge_after_ms / 1000
    return deadline if deadline < plan.deadline else None
