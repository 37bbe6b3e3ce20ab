"""Outlier detection from observed results, per instance and failure domain."""

from math import log

from mangowell_core.policy.types import AttemptResult, Cause, Outcome

# An instance is ejected for failures in a row if their points reach this number, and
# if they are less likely than `MAX_CHANCE` to occur by chance in its service.
EJECTION_POINTS = 5
MAX_CHANCE = 1e-4
CONNECTION_FAILURE_POINTS = 2  # stronger evidence than an error status
MIN_EJECTION_S = 5.0
MAX_EJECTION_S = 300.0
EJECTION_DECAY_S = 60.0  # after a return; a later ejection is shorter again
# An instance is also ejected if its share of failed calls exceeds the first limit,
# and exceeds the share of its service by the second one.
EJECTION_FAILURE_SHARE = 0.5
EJECTION_SHARE_EXCESS = 0.3
FAILURE_SHARE_WEIGHT = 0.05  # of one call; averages over about the last 20 calls
FAILURE_SHARE_MIN_CALLS = 20
LATENCY_WEIGHT = 0.2
EVIDENCE_MAX_AGE_S = 5.0  # older evidence does not describe the present state
OVERLOADED_S = 0.25  # for which an instance is avoided after it refused for load
PROBE_INTERVAL_S = 1.0  # between trial calls to an instance or domain
MIN_PROBE_SUCCESSES = 3  # trial calls that overrule a health endpoint
DOMAIN_FAILURES = 3  # failed connections in a row until a domain is unreachable
MIN_BACKOFF_S = 2.0  # until the first trial call to an unreachable domain
MAX_BACKOFF_S = 30.0

# Causes that show a failure of the connection or the process.
_CONNECTION_CAUSES = frozenset(
    {
        Cause.CONNECT_FAILED,
        Cause.CONNECTION_LOST,
        Cause.CONNECTION_SILENT,
        Cause.BACKEND_CRASHED,
    }
)
_LOAD_CAUSES = frozenset({Cause.OVERLOADED, Cause.NOT_READY})
_NEUTRAL_CAUSES = frozenset(
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


def compute_failure_points(result: AttemptResult) -> int | None:
    """Return the failure points of a result: 0 for a success, None for no evidence."""
    cause = result.cause
    if cause in _NEUTRAL_CAUSES or cause in _LOAD_CAUSES:
        return None
    if cause in _CONNECTION_CAUSES:
        return CONNECTION_FAILURE_POINTS
    if cause is Cause.DEADLINE:
        # A request that expired in a queue shows load. One that was sent and not
        # answered in time shows a failure.
        return None if result.outcome is Outcome.NOT_RUN else 1
    if cause is Cause.BACKEND_STATUS:
        return 1 if result.status >= 500 else 0
    return 1 if cause is Cause.BAD_ANSWER else 0


class InstanceEvidence:
    """Observed and reported state of one instance, used to route and eject.

    Parameters
    ----------
    ramp_started_at : float
        Monotonic time in seconds at which the instance's slow start began.
    """

    __slots__ = (
        "consecutive_successes",
        "ejected_until",
        "ejection_count",
        "failure_points",
        "failure_share",
        "in_flight",
        "last_success_at",
        "latency_s",
        "latency_updated_at",
        "load",
        "load_updated_at",
        "next_probe",
        "observed_calls",
        "overloaded_until",
        "ramp_started_at",
        "reported_healthy",
        "reported_load",
        "reported_load_updated_at",
        "restored_at",
    )

    def __init__(self, ramp_started_at: float):
        self.in_flight = 0
        self.ramp_started_at = ramp_started_at
        self.failure_points = 0
        self.failure_share = 0.0
        self.observed_calls = 0
        self.consecutive_successes = 0
        self.last_success_at = float("-inf")
        self.ejection_count = 0
        self.ejected_until = 0.0
        self.restored_at = float("-inf")
        self.latency_s = 0.0
        self.latency_updated_at = float("-inf")
        self.load = 0.0  # from answers of the node beside the instance
        self.load_updated_at = float("-inf")
        self.reported_healthy = True
        self.reported_load = 0.0  # from the load endpoint
        self.reported_load_updated_at = float("-inf")
        self.overloaded_until = 0.0
        self.next_probe = 0.0

    def record_result(self, result: AttemptResult, now: float) -> int | None:
        """Record the result of an attempt; return its failure points."""
        if result.backend_load >= 0.0:
            self.load = min(result.backend_load, 4.0)
            self.load_updated_at = now
        failure_points = compute_failure_points(result)
        if failure_points is None:
            if result.cause in _LOAD_CAUSES or result.cause is Cause.DEADLINE:
                self.overloaded_until = now + OVERLOADED_S
            return None
        self.observed_calls += 1
        failed = 1.0 if failure_points else 0.0
        self.failure_share += FAILURE_SHARE_WEIGHT * (failed - self.failure_share)
        if failure_points:
            self.failure_points += failure_points
            self.consecutive_successes = 0
            return failure_points
        self.failure_points = 0
        self.consecutive_successes += 1
        self.last_success_at = now
        if now - self.latency_updated_at > EVIDENCE_MAX_AGE_S:
            self.latency_s = result.latency_s
        else:
            self.latency_s += LATENCY_WEIGHT * (result.latency_s - self.latency_s)
        self.latency_updated_at = now
        return 0

    def should_eject(self, service_failure_share: float) -> bool:
        """Return whether the observed failures justify an ejection.

        Parameters
        ----------
        service_failure_share : float
            Share of failed calls over all instances of the service.
        """
        if self.failure_points >= EJECTION_POINTS:
            # If the whole service fails often, failures in a row are likely for a
            # good instance too: with a third of calls failing, 5 in a row have a
            # probability of 0.4%.
            share = min(0.999, max(1e-6, service_failure_share))
            if self.failure_points >= log(MAX_CHANCE) / log(share):
                return True
        return (
            self.observed_calls >= FAILURE_SHARE_MIN_CALLS
            and self.failure_share > EJECTION_FAILURE_SHARE
            and self.failure_share > service_failure_share + EJECTION_SHARE_EXCESS
        )

    def eject(self, now: float) -> float:
        """Eject the instance; return the duration in seconds."""
        if now - self.restored_at > EJECTION_DECAY_S:
            self.ejection_count //= 2
        self.ejection_count += 1
        time_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2 ** (self.ejection_count - 1))
        self.ejected_until = now + time_s
        self.failure_points = 0
        self.failure_share = 0.0
        self.observed_calls = 0
        self.consecutive_successes = 0
        return time_s

    def restore(self, now: float) -> None:
        """End an ejection and restart the slow start."""
        self.ejected_until = 0.0
        self.restored_at = now
        self.ramp_started_at = now
        # One more failed connection ejects the instance again, for longer.
        self.failure_points = EJECTION_POINTS - CONNECTION_FAILURE_POINTS

    def is_presumed_unhealthy(self, now: float) -> bool:
        """Return whether reports say unhealthy and no recent calls refute them."""
        if self.reported_healthy:
            return False
        is_proven = self.consecutive_successes >= MIN_PROBE_SUCCESSES
        # Trial calls come once a second, so the evidence must outlast three of them.
        return not (is_proven and now - self.last_success_at <= 2 * EVIDENCE_MAX_AGE_S)

    def estimate_load(self, now: float) -> float:
        """Return the load, from 0 to 4; 0 if no recent value is known.

        The load in answers is preferred, because the node beside the instance
        knows its queue exactly; its weight falls with age. The load endpoint lags
        or misleads, so it is used only without a recent answer, at a quarter of
        its value.
        """
        if now - self.load_updated_at <= EVIDENCE_MAX_AGE_S:
            return self.load * (1.0 - (now - self.load_updated_at) / EVIDENCE_MAX_AGE_S)
        if now - self.reported_load_updated_at <= EVIDENCE_MAX_AGE_S:
            return 0.25 * self.reported_load
        return 0.0


class DomainEvidence:
    """Reachability of one failure domain, from observed connections.

    A domain counts as unreachable after `DOMAIN_FAILURES` failed connections in a
    row. They must come from two instances, unless the domain has only one,
    because one failed instance says little about the domain.
    """

    __slots__ = (
        "backoffs",
        "failed",
        "failures",
        "is_unreachable",
        "next_probe",
    )

    def __init__(self):
        self.failed: set[str] = set()  # names of instances
        self.failures = 0
        self.backoffs = 0
        self.is_unreachable = False
        self.next_probe = 0.0

    def record_result(self, instance: str, cause: Cause, size: int, now: float) -> None:
        """Record how an attempt into the domain ended.

        Parameters
        ----------
        instance : str
            Name of the instance.
        cause : Cause
            Cause with which the attempt ended.
        size : int
            Number of instances in the domain, over all services.
        now : float
            Monotonic time in seconds.
        """
        if cause is Cause.CONNECT_FAILED or cause is Cause.CONNECTION_SILENT:
            self.failures += 1
            self.failed.add(instance)
            if self.failures >= DOMAIN_FAILURES and len(self.failed) >= min(2, size):
                self.is_unreachable = True
                wait_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(self.backoffs, 10))
                self.backoffs += 1
                self.next_probe = now + wait_s
        elif self.failures and cause not in (Cause.CANCELLED, Cause.DEADLINE):
            self.failed.clear()
            self.failures = 0
            self.backoffs = 0
            self.is_unreachable = False
