"""Suspicion and quarantine of requests that crash backend servers.

After a crash, every request that was in flight becomes a suspect. A suspect
runs alone, so that a second crash identifies it and involves no other request.
A suspect that completes is cleared. Crash counts are kept for each failure
domain and reporter and are merged by maximum, so a repeated or reordered report
changes nothing.
"""

from enum import Enum

from mangowell_core.distribution.ranking import rank_instances
from mangowell_core.events import Event, EventCode
from mangowell_core.messages import CrashReport
from mangowell_core.policy.outcome import refuse
from mangowell_core.policy.types import Cause, Refusal

REFUSE_CRASHES_ISOLATED = 2  # crashes that suffice if the request ran alone in one
REFUSE_CRASHES_SHARED = 3  # crashes in one domain that suffice in any case
QUARANTINE_S = 600.0
MAX_QUARANTINE_S = 14_400.0  # each further quarantine is twice as long, up to this
SUSPICION_S = 600.0  # counted from the last crash or the end of a quarantine
PLACEMENT_ENFORCED_S = 5.0  # see `FingerprintController.check_placement`
RESTART_GRACE_S = 5.0  # a crashed instance gets no suspect while it restarts
MAX_ENTRIES = 4096
MAX_REPORTERS = 64  # per fingerprint


class FingerprintState(Enum):
    """State of a fingerprint; a fingerprint without an entry is clear."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


# Maps (state, event) to the next state. A pair that is missing changes nothing.
TRANSITIONS = {
    (FingerprintState.CLEAR, "suspect"): FingerprintState.SUSPECT,
    (FingerprintState.CLEAR, "convict"): FingerprintState.REFUSED,
    (FingerprintState.SUSPECT, "convict"): FingerprintState.REFUSED,
    (FingerprintState.SUSPECT, "clear"): FingerprintState.CLEAR,
    (FingerprintState.SUSPECT, "expire"): FingerprintState.CLEAR,
    # After a quarantine, one more crash causes the next quarantine.
    (FingerprintState.REFUSED, "expire"): FingerprintState.SUSPECT,
}


class _Entry:
    """State and crash counts of one fingerprint."""

    __slots__ = (
        "counts",
        "expires_at",
        "last_crash_at",
        "refusals",
        "refuted_counts",
        "state",
        "suspected_at",
    )

    def __init__(self):
        self.state = FingerprintState.CLEAR
        # Maps (failure domain, reporter) to (crashes, crashes with no other
        # request in flight).
        self.counts: dict[tuple[str, str], tuple[int, int]] = {}
        # Counts at the last completion. The completion refutes these crashes.
        self.refuted_counts: dict[tuple[str, str], tuple[int, int]] = {}
        self.suspected_at = 0.0
        self.last_crash_at = float("-inf")
        self.expires_at = 0.0
        self.refusals = 0


class FingerprintController:
    """Counts crashes per request fingerprint on the project's own request path.

    Decides which requests may run, and on which instances.

    Parameters
    ----------
    board : TrafficBoard
        Writes `suspects`; reads `snapshot` and `leaving`.
    local_instance, local_domain : str
        Name and failure domain of the local instance.
    emit : callable
        Takes an `Event`.
    """

    __slots__ = (
        "_board",
        "_emit",
        "_entries",
        "_last_crash_at",
        "_local_domain",
        "_local_instance",
    )

    def __init__(self, board, local_instance: str, local_domain: str, emit):
        self._board = board
        self._local_instance = local_instance
        self._local_domain = local_domain
        self._emit = emit
        self._entries: dict[str, _Entry] = {}
        self._last_crash_at: dict[str, float] = {}  # by instance

    def __len__(self) -> int:
        return len(self._entries)

    def get_state(self, fingerprint: str, now: float) -> FingerprintState:
        """Return the state of a fingerprint after applying expiry."""
        if fingerprint not in self._board.suspects:
            return FingerprintState.CLEAR
        entry = self._entries[fingerprint]
        if now >= entry.expires_at:
            self._apply_event(fingerprint, entry, "expire", now)
        return entry.state

    def check_quarantine(self, fingerprint: str, now: float) -> Refusal | None:
        """Refuse a fingerprint that is in quarantine."""
        if self.get_state(fingerprint, now) is not FingerprintState.REFUSED:
            return None
        entry = self._entries[fingerprint]
        return refuse(
            Cause.QUARANTINED,
            "the same request has crashed backend servers",
            retry_after_s=max(1.0, entry.expires_at - now),
        )

    def record_crash(
        self, service: str, fingerprints, get_start_time, isolated: str, now: float
    ) -> list[CrashReport]:
        """Record a crash of the local backend server; return the reports to send.

        Parameters
        ----------
        fingerprints : iterable of str
            Requests in flight at the crash.
        get_start_time : callable
            Takes a fingerprint in flight; returns its start time, or None if
            the node has not recorded it.
        isolated : str
            Fingerprint that ran alone as a suspect, or an empty string.
        """
        self._last_crash_at[self._local_instance] = now
        suspects = list(
            dict.fromkeys(fingerprint for fingerprint in fingerprints if fingerprint)
        )
        if isolated in suspects:
            suspects = [isolated]
        else:
            # A request that was already a suspect when it began should have run
            # alone, so the crash is attributed to it and not to its neighbours.
            known = [
                item
                for item in suspects
                if self._started_as_suspect(item, get_start_time(item))
            ]
            if len(known) == 1:
                suspects = known
        sole_increment = 1 if len(suspects) == 1 else 0
        reports = []
        for fingerprint in suspects:
            key = (self._local_domain, self._local_instance)
            entry = self._get_or_create_entry(fingerprint, now)
            if entry is None:
                continue
            crashes, sole = entry.counts.get(key, (0, 0))
            entry.counts[key] = (crashes + 1, sole + sole_increment)
            entry.last_crash_at = now
            self._evaluate_counts(fingerprint, entry, now)
            reports.append(self._build_report(service, fingerprint, entry, now))
        return reports

    def _started_as_suspect(self, fingerprint: str, started_at: float | None) -> bool:
        if fingerprint not in self._board.suspects:
            return False
        return (
            started_at is None or started_at >= self._entries[fingerprint].suspected_at
        )

    def _build_report(self, service, fingerprint, entry, now: float) -> CrashReport:
        crashes, sole = entry.counts.get(
            (self._local_domain, self._local_instance), (0, 0)
        )
        refused_ms = 0
        if entry.state is FingerprintState.REFUSED:
            refused_ms = int((entry.expires_at - now) * 1000)
        return CrashReport(
            service,
            self._local_domain,
            fingerprint,
            crashes,
            self._local_instance,
            refused_ms,
            sole,
        )

    def build_clearance(self, service: str, fingerprint: str) -> CrashReport:
        """Return the report that a suspect has completed at the local instance."""
        return CrashReport(
            service, self._local_domain, fingerprint, 0, self._local_instance
        )

    def merge_report(self, report: CrashReport, now: float) -> None:
        """Merge a report of another node of any failure domain.

        A report with 0 crashes says that the suspect has completed.
        """
        if report.crashes <= 0:
            self.clear(report.fingerprint, now)
            return
        if report.reporter == self._local_instance:
            return
        key = (report.failure_domain, report.reporter)
        entry = self._get_or_create_entry(report.fingerprint, now)
        if entry is None:
            return
        if key not in entry.counts and len(entry.counts) >= MAX_REPORTERS:
            return
        crashes, sole = entry.counts.get(key, (0, 0))
        is_new = report.crashes > crashes
        if is_new:
            entry.counts[key] = (report.crashes, max(sole, report.sole))
            entry.last_crash_at = now
            self._last_crash_at[report.reporter] = now
        if report.refused_for_ms > 0 and entry.state is not FingerprintState.REFUSED:
            self._apply_event(report.fingerprint, entry, "convict", now)
            entry.expires_at = min(entry.expires_at, now + report.refused_for_ms / 1000)
        elif is_new:
            self._evaluate_counts(report.fingerprint, entry, now)

    def record_suspicion(self, fingerprint: str, now: float) -> None:
        """Record that another node treats a fingerprint as a suspect."""
        entry = self._get_or_create_entry(fingerprint, now)
        if entry is not None:
            self._apply_event(fingerprint, entry, "suspect", now)

    def record_attempt_crash(
        self, fingerprint: str, domain: str, instance: str, now
    ) -> None:
        """Record an attempt that ended with a crash of the instance it ran at.

        The attempt counts as the first crash report of that instance. The report
        itself arrives separately and counts the same crash, so the crash must not
        be added to the reported count.
        """
        key = (domain, instance)
        entry = self._entries.get(fingerprint)
        if entry is not None and key in entry.counts:
            self.record_suspicion(fingerprint, now)
            return
        report = CrashReport("", domain, fingerprint, 1, instance)
        self.merge_report(report, now)

    def _evaluate_counts(self, fingerprint: str, entry: _Entry, now: float) -> None:
        """Refuse the fingerprint if its counts suffice; else suspect it.

        The counts suffice if one of the crashes had no other request in flight
        and `REFUSE_CRASHES_ISOLATED` is reached, if one domain reaches
        `REFUSE_CRASHES_SHARED`, or if the fingerprint was refused before.
        """
        by_domain: dict[str, int] = {}
        total = total_sole = 0
        for (domain, reporter), (crashes, sole) in entry.counts.items():
            refuted = entry.refuted_counts.get((domain, reporter), (0, 0))
            crashes, sole = crashes - refuted[0], sole - refuted[1]
            by_domain[domain] = by_domain.get(domain, 0) + crashes
            total += crashes
            total_sole += sole
        if (
            (total_sole and total >= REFUSE_CRASHES_ISOLATED)
            or max(by_domain.values()) >= REFUSE_CRASHES_SHARED
            or entry.refusals
        ):
            self._apply_event(fingerprint, entry, "convict", now)
        else:
            self._apply_event(fingerprint, entry, "suspect", now)
            entry.expires_at = now + SUSPICION_S

    def clear(self, fingerprint: str, now: float) -> bool:
        """Clear a suspect that has completed; return whether it was a suspect."""
        if fingerprint not in self._board.suspects:
            return False
        return self._apply_event(fingerprint, self._entries[fingerprint], "clear", now)

    def _apply_event(
        self, fingerprint: str, entry: _Entry, event: str, now: float
    ) -> bool:
        """Move an entry to its next state; return whether there is one."""
        state = TRANSITIONS.get((entry.state, event))
        if state is None:
            return False
        entry.state = state
        match state:
            case FingerprintState.CLEAR:
                self._board.suspects.discard(fingerprint)
                entry.refuted_counts = dict(entry.counts)
                entry.refusals = 0
                # The refuted counts are kept to recognise late reports.
                entry.expires_at = now + SUSPICION_S
            case FingerprintState.SUSPECT:
                self._board.suspects.add(fingerprint)
                entry.suspected_at = now
                entry.expires_at = now + SUSPICION_S
            case FingerprintState.REFUSED:
                self._board.suspects.add(fingerprint)
                duration_s = min(MAX_QUARANTINE_S, QUARANTINE_S * 2**entry.refusals)
                entry.refusals += 1
                entry.expires_at = now + duration_s
        code = {
            FingerprintState.SUSPECT: EventCode.FINGERPRINT_SUSPECT,
            FingerprintState.REFUSED: EventCode.FINGERPRINT_REFUSED,
        }.get(state)
        if code is not None:
            self._emit(
                Event(
                    code,
                    {
                        "fingerprint": fingerprint,
                        "crashes": sum(c for c, _ in entry.counts.values()),
                        "for_s": entry.expires_at - now,
                        "reason": event,
                    },
                )
            )
        return True

    def _get_or_create_entry(self, fingerprint: str, now: float) -> _Entry | None:
        """Return the entry of a fingerprint, or None if the table is full."""
        entry = self._entries.get(fingerprint)
        if entry is not None:
            self.get_state(fingerprint, now)
            return entry
        if len(self._entries) >= MAX_ENTRIES and not self._evict(now):
            return None
        entry = self._entries[fingerprint] = _Entry()
        return entry

    def _evict(self, now: float) -> bool:
        """Remove clear entries, else the suspect with the oldest crash.

        Expiry is applied first; an entry in quarantine is never removed. Return
        whether there is capacity for a new entry.
        """
        for fingerprint, entry in list(self._entries.items()):
            if now >= entry.expires_at:
                self._apply_event(fingerprint, entry, "expire", now)
            if entry.state is FingerprintState.CLEAR:
                del self._entries[fingerprint]
        if len(self._entries) < MAX_ENTRIES:
            return True
        suspects = [
            fingerprint
            for fingerprint, entry in self._entries.items()
            if entry.state is FingerprintState.SUSPECT
        ]
        if not suspects:
            return False
        oldest = min(
            suspects, key=lambda fingerprint: self._entries[fingerprint].last_crash_at
        )
        self._board.suspects.discard(oldest)
        del self._entries[oldest]
        return True

    def select_candidates(self, service: str, fingerprint: str, now: float):
        """Return the instances that may run a suspect, one for each domain.

        The local domain comes first. The other domains follow in an order that
        is the same on all nodes.
        """
        domains: dict[str, list] = {}
        leaving = self._board.leaving
        for item in self._board.snapshot.instances.get(service, ()):
            if item.name in leaving:
                continue
            domains.setdefault(item.failure_domain, []).append(item)
        order = list(rank_instances(fingerprint, tuple(domains)))
        if self._local_domain in domains:
            order.remove(self._local_domain)
            order.insert(0, self._local_domain)
        candidates = []
        for domain in order:
            members = {item.name: item for item in domains[domain]}
            ranked = rank_instances(fingerprint, tuple(members))
            ready = [n for n in ranked if not self._may_be_restarting(n, now)]
            candidates.append(members[(ready or ranked)[0]])
        return candidates

    def _may_be_restarting(self, instance: str, now: float) -> bool:
        return now - self._last_crash_at.get(instance, float("-inf")) < RESTART_GRACE_S

    def check_placement(
        self, service: str, fingerprint: str, now: float
    ) -> Refusal | None:
        """Refuse a suspect that belongs to another instance of the local domain.

        The refusal is limited to `PLACEMENT_ENFORCED_S` after the last crash,
        while callers still retry and some ingress nodes do not know the suspect.
        Later the suspect runs here, alone. Otherwise a popular request that has
        completed elsewhere would be refused until the suspicion expires.
        """
        if self.get_state(fingerprint, now) is not FingerprintState.SUSPECT:
            return None
        if now - self._entries[fingerprint].last_crash_at >= PLACEMENT_ENFORCED_S:
            return None
        for item in self.select_candidates(service, fingerprint, now):
            if item.failure_domain == self._local_domain:
                if item.name == self._local_instance:
                    return None
                return refuse(
                    Cause.SUSPECTED,
                    f"a request suspected of a crash may run only at {item.name}",
                )
        return None
