"""What this node has seen of one instance, and of one failure domain."""

from math import log

from mangowell_core.policy.types import AttemptResult, Cause, Outcome

EJECT_POINTS = 5  # least number of failures in a row that ejects an instance
CHANCE_LIMIT = 1e-4  # failures in a row this unlikely by chance are its own fault
CONNECTION_POINTS = 2  # a failed connection says more than an error status
EJECT_BASE_S = 5.0
EJECT_LIMIT_S = 300.0
EJECT_FORGET_S = 60.0  # good time after which the next ejection is shorter again
FAILURE_SHARE_LIMIT = 0.5  # share of failed calls that ejects an instance,
FAILURE_SHARE_EXCESS = 0.3  # if it also exceeds the service's share by this much
SHARE_WEIGHT = 0.05  # weight of one call in the share: about the last 20 calls
SHARE_CALLS = 20
LATENCY_WEIGHT = 0.2
EVIDENCE_S = 5.0  # older evidence says nothing of the present
FULL_S = 0.25  # an instance that refused for load is passed over this long
PROBE_INTERVAL_S = 1.0  # trial calls to an instance that is doubted
PROBE_SUCCESSES = 3  # trial calls that overrule a health endpoint
CUT_FAILURES = 3  # failed connections in a row until a domain counts as cut off
CUT_BASE_S = 2.0
CUT_LIMIT_S = 30.0

# Causes that say that the connection or the process failed.
_CONNECTION_CAUSES = frozenset(
    {
        Cause.CONNECT_FAILED,
        Cause.CONNECTION_LOST,
        Cause.CONNECTION_SILENT,
        Cause.BACKEND_CRASHED,
    }
)
_LOAD_CAUSES = frozenset({Cause.OVERLOADED, Cause.NOT_READY})
_NO_EVIDENCE = frozenset(
    {
        Cause.NO_ROUTE,
        Cause.NO_INSTANCE,
        Cause.LEAVING,
        Cause.QUARANTINED,
        Cause.SUSPECTED,
        Cause.KEY_IN_PROGRESS,
        Cause.KEY_UNKNOWN,
        Cause.KEY_OWNER_LOST,
        Cause.KEY_REUSED,
        Cause.CANCELLED,
    }
)


def weigh_result(result: AttemptResult) -> int | None:
    """Return failure points: 0 for a success, None for no evidence."""
    cause = result.cause
    if cause in _NO_EVIDENCE or cause in _LOAD_CAUSES:
        return None
    if cause in _CONNECTION_CAUSES:
        return CONNECTION_POINTS
    if cause is Cause.DEADLINE:
        # Expired in a queue: load. Sent and never answered: a failure.
        return None if result.outcome is Outcome.NOT_RUN else 1
    if cause is Cause.BACKEND_STATUS:
        return 1 if result.status >= 500 else 0
    return 1 if cause is Cause.BAD_ANSWER else 0


class InstanceEvidence:
    """Own evidence about one instance, weighed against what is reported."""

    __slots__ = (
        "ejected_until",
        "ejections",
        "failure_share",
        "full_until",
        "in_flight",
        "latency_at",
        "latency_s",
        "load",
        "load_at",
        "next_probe",
        "points",
        "ramp_from",
        "reported_healthy",
        "reported_load",
        "reported_load_at",
        "returned_at",
        "seen_calls",
        "successes",
        "successes_at",
    )

    def __init__(self, ramp_from: float):
        self.in_flight = 0
        self.ramp_from = ramp_from
        self.points = 0
        self.failure_share = 0.0
        self.seen_calls = 0
        self.successes = 0  # in a row
        self.successes_at = float("-inf")
        self.ejections = 0
        self.ejected_until = 0.0
        self.returned_at = float("-inf")
        self.latency_s = 0.0
        self.latency_at = float("-inf")
        self.load = 0.0  # told by the node beside the instance, in its answers
        self.load_at = float("-inf")
        self.reported_healthy = True
        self.reported_load = 0.0  # told by the load endpoint
        self.reported_load_at = float("-inf")
        self.full_until = 0.0
        self.next_probe = 0.0

    def note(self, result: AttemptResult, now: float) -> int | None:
        """Take a result as evidence; return its failure points."""
        if result.backend_load >= 0.0:
            self.load = min(result.backend_load, 4.0)
            self.load_at = now
        points = weigh_result(result)
        if points is None:
            if result.cause in _LOAD_CAUSES or result.cause is Cause.DEADLINE:
                self.full_until = now + FULL_S
            return None
        self.seen_calls += 1
        failed = 1.0 if points else 0.0
        self.failure_share += SHARE_WEIGHT * (failed - self.failure_share)
        if points:
            self.points += points
            self.successes = 0
            return points
        self.points = 0
        self.successes += 1
        self.successes_at = now
        if now - self.latency_at > EVIDENCE_S:
            self.latency_s = result.latency_s
        else:
            self.latency_s += LATENCY_WEIGHT * (result.latency_s - self.latency_s)
        self.latency_at = now
        return 0

    def is_bad(self, service_share: float) -> bool:
        """Tell whether own evidence asks for ejection."""
        if self.points >= EJECT_POINTS:
            # Where the whole service fails often, a row of failures is no
            # sign of a bad instance: at a third, 5 in a row are 0.4% likely.
            share = min(0.999, max(1e-6, service_share))
            if self.points >= log(CHANCE_LIMIT) / log(share):
                return True
        return (
            self.seen_calls >= SHARE_CALLS
            and self.failure_share > FAILURE_SHARE_LIMIT
            and self.failure_share > service_share + FAILURE_SHARE_EXCESS
        )

    def eject(self, now: float) -> float:
        """Eject and return for how long, in seconds."""
        if now - self.returned_at > EJECT_FORGET_S:
            self.ejections //= 2
        self.ejections += 1
        time_s = min(EJECT_LIMIT_S, EJECT_BASE_S * 2 ** (self.ejections - 1))
        self.ejected_until = now + time_s
        self.points = 0
        self.failure_share = 0.0
        self.seen_calls = 0
        self.successes = 0
        return time_s

    def restore(self, now: float) -> None:
        """End an ejection: the instance ramps up again."""
        self.ejected_until = 0.0
        self.returned_at = now
        self.ramp_from = now
        # One more failed connection ejects it again, for longer.
        self.points = EJECT_POINTS - CONNECTION_POINTS

    def is_doubted(self, now: float) -> bool:
        """Tell whether its health endpoint is against it and calls do not refute it."""
        if self.reported_healthy:
            return False
        proven = self.successes >= PROBE_SUCCESSES
        # Trial calls come once a second, so three of them must still count.
        return not (proven and now - self.successes_at <= 2 * EVIDENCE_S)

    def find_load(self, now: float) -> float:
        """Return the load, 0 to 4, from the best fresh source, 0 if unknown.

        The node beside the instance knows its queue exactly. The load endpoint
        lags or misleads, so it counts a quarter, and only without the former.
        """
        if now - self.load_at <= EVIDENCE_S:
            return self.load * (1.0 - (now - self.load_at) / EVIDENCE_S)
        if now - self.reported_load_at <= EVIDENCE_S:
            return 0.25 * self.reported_load
        return 0.0


class DomainEvidence:
    """Whether connections into one failure domain succeed.

    One failed instance does not make a domain count as cut off: the failures
    must come from two instances, unless the domain has only one.
    """

    __slots__ = ("cuts", "failed", "failures", "is_cut", "next_probe")

    def __init__(self):
        self.failed: set[str] = set()
        self.failures = 0
        self.cuts = 0
        self.is_cut = False
        self.next_probe = 0.0

    def note(self, instance: str, cause: Cause, size: int, now: float) -> None:
        """Take the cause with which an attempt ended as evidence.

        Parameters
        ----------
        size : int
            Instances of all services in the domain.
        """
        if cause is Cause.CONNECT_FAILED or cause is Cause.CONNECTION_SILENT:
            self.failures += 1
            self.failed.add(instance)
            if self.failures >= CUT_FAILURES and len(self.failed) >= min(2, size):
                self.is_cut = True
                wait_s = min(CUT_LIMIT_S, CUT_BASE_S * 2 ** min(self.cuts, 10))
                self.cuts += 1
                self.next_probe = now + wait_s
        elif self.failures and cause not in (Cause.CANCELLED, Cause.DEADLINE):
            self.failed.clear()
            self.failures = 0
            self.cuts = 0
            self.is_cut = False
