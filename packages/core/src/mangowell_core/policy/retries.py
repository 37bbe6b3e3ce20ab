"""Retry and hedge budget of the request path: one token bucket per service."""

from mangowell_core.policy.types import AttemptResult, Cause, Outcome, Plan

MAX_TOKENS = 20.0  # burst of retries; small against 213 calls/s
INITIAL_TOKENS = 3.0  # so that the first calls after a start survive a failed instance
# A node with 1 call per second earns one token in 10 s, so that two faults a few
# seconds apart emptied its bucket. Tokens are therefore also added over time, but
# only up to a cap below `MAX_TOKENS` and only after a time without a retry or hedge.
# While calls keep failing, retries remain a share of the calls, and the bound on
# amplification over 10 hops holds.
REFILL_PER_S = 1.0
MAX_REFILLED_TOKENS = 10.0
REFILL_QUIET_S = 2.0
RETRY_MARGIN_S = 0.005  # a retry with less time left misses the deadline

# Causes after which a retry would fail in the same way, or the result is already
# the answer for the caller.
_NOT_RETRIED_CAUSES = frozenset(
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


class _TokenBucket:
    """Token bucket of one service; times are monotonic seconds."""

    __slots__ = ("refill_from", "tokens", "updated_at")

    def __init__(self) -> None:
        self.tokens = INITIAL_TOKENS
        self.refill_from = float("-inf")
        self.updated_at = float("inf")  # no refill before the first use

    def refill(self, now: float) -> None:
        """Add the tokens for the quiet time since the last use."""
        quiet_s = now - max(self.updated_at, self.refill_from)
        if quiet_s > 0.0 and self.tokens < MAX_REFILLED_TOKENS:
            self.tokens = min(MAX_REFILLED_TOKENS, self.tokens + REFILL_PER_S * quiet_s)
        self.updated_at = now


class RetryBudget:
    """Retry and hedge budget of the project's own request path.

    First attempts earn tokens; retries and hedges spend them. Tokens are also added
    over time, up to `MAX_REFILLED_TOKENS`, after `REFILL_QUIET_S` in which none was
    requested. A retry never waits for a token: without one, the failure is returned
    to the caller at once.
    """

    __slots__ = ("_buckets",)

    def __init__(self):
        self._buckets: dict[str, _TokenBucket] = {}

    def apply(self, services) -> None:
        """Keep only the buckets of the services in a new document."""
        buckets = self._buckets
        self._buckets = {name: buckets.get(name) or _TokenBucket() for name in services}

    def _get_refilled_bucket(self, service, now: float) -> _TokenBucket:
        bucket = self._buckets.get(service.name)
        if bucket is None:
            bucket = self._buckets[service.name] = _TokenBucket()
        bucket.refill(now)
        return bucket

    def add_tokens(self, service, now: float) -> None:
        """Add the fraction of a token that one first attempt earns."""
        bucket = self._get_refilled_bucket(service, now)
        bucket.tokens = min(MAX_TOKENS, bucket.tokens + service.retry_ratio)

    def take_token(self, service, now: float) -> bool:
        """Take one token; return whether there was one."""
        if service.retry_ratio <= 0.0:
            return False
        bucket = self._get_refilled_bucket(service, now)
        bucket.refill_from = now + REFILL_QUIET_S
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def is_exhausted(self, service) -> bool:
        """Return whether the bucket holds less than one token."""
        bucket = self._buckets.get(service.name)
        return bucket is not None and bucket.tokens < 1.0

    def may_retry(
        self,
        plan: Plan,
        result: AttemptResult,
        attempts: int,
        now: float,
        first_was_silent: bool = False,
    ) -> bool:
        """Return whether to make another attempt; take a token if it needs one.

        Parameters
        ----------
        plan : Plan
            Route, service and deadline of the call.
        result : AttemptResult
            Result of the last attempt.
        attempts : int
            Number of attempts made so far.
        now : float
            Monotonic time in seconds.
        first_was_silent : bool
            Whether the first attempt was lost with a silent connection.
        """
        route = plan.route
        if result.retried or result.cause in _NOT_RETRIED_CAUSES:
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
        # certainly did not run may be repeated once without breaking invariant I6.
        limit = route.retries if route.idempotent else max(1, route.retries)
        # A silent connection says nothing about the instances, so the attempt
        # lost with it does not count against the limit.
        if attempts > limit + first_was_silent:
            return False
        # A silent link loses all its requests at once, more than the budget of a
        # node with few calls covers, so their first retry needs no token. Detection
        # takes 1.5 s, so the deadline allows few such retries and they cannot
        # multiply over the hops.
        if result.cause is Cause.CONNECTION_SILENT and attempts == 1:
            return True
        return self.take_token(plan.service, now)

    def may_hedge(self, plan: Plan, now: float) -> bool:
        """Return whether to hedge a slow attempt; take a token if so."""
        route = plan.route
        if not route.idempotent or route.hedge_after_ms <= 0:
            return False
        if now + RETRY_MARGIN_S >= plan.deadline:
            return False
        return self.take_token(plan.service, now)


def compute_hedge_time(plan: Plan, started_at: float) -> float | None:
    """Return the monotonic time from which a hedge may start; None for no hedge."""
    route = plan.route
    if not route.idempotent or route.hedge_after_ms <= 0:
        return None
    deadline = started_at + route.hedge_after_ms / 1000
    return deadline if deadline < plan.deadline else None
