"""Suspicion and quarantine of requests that crash backend servers.

After a crash every request in flight is suspected. A suspect runs alone, so
that a second crash convicts it and nobody else; one that completes is
cleared. Counts are kept for each failure domain and reporter and merged by
maximum, so a repeated or reordered report changes nothing.
"""

from enum import Enum

from mangowell_core.distribution.ranking import rank_instances
from mangowell_core.events import Event, EventCode
from mangowell_core.messages import CrashReport
from mangowell_core.policy.outcome import refuse
from mangowell_core.policy.types import Cause, Refusal

REFUSE_CRASHES = 2  # crashes, one of them alone in flight, that refuse it
REFUSE_SHARED = 3  # crashes of one domain that refuse it without other proof
REFUSE_S = 600.0
REFUSE_LIMIT_S = 14_400.0  # each further refusal lasts twice as long, up to this
SUSPECT_S = 600.0  # suspicion ends this long after the last crash or refusal
ENFORCE_S = 5.0  # see `FingerprintController.check_place`
RESTART_S = 5.0  # a crashed instance is given no suspect while it restarts
MAX_ENTRIES = 4096
MAX_REPORTERS = 64  # of one fingerprint


class FingerprintState(Enum):
    """State of a fingerprint; one without an entry is clear."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


# State and event to next state; a pair that is missing changes nothing.
TRANSITIONS = {
    (FingerprintState.CLEAR, "suspect"): FingerprintState.SUSPECT,
    (FingerprintState.CLEAR, "convict"): FingerprintState.REFUSED,
    (FingerprintState.SUSPECT, "convict"): FingerprintState.REFUSED,
    (FingerprintState.SUSPECT, "clear"): FingerprintState.CLEAR,
    (FingerprintState.SUSPECT, "expire"): FingerprintState.CLEAR,
    # After a refusal it is on probation: one more crash refuses it again.
    (FingerprintState.REFUSED, "expire"): FingerprintState.SUSPECT,
}


class _Entry:
    __slots__ = (
        "cleared",
        "counts",
        "crashed_at",
        "refusals",
        "since",
        "state",
        "until",
    )

    def __init__(self):
        self.state = FingerprintState.CLEAR
        # (failure domain, reporter) to (crashes, crashes alone in flight)
        self.counts: dict[tuple[str, str], tuple[int, int]] = {}
        # The counts at the last completion, which has refuted them.
        self.cleared: dict[tuple[str, str], tuple[int, int]] = {}
        self.since = 0.0  # start of the suspicion
        self.crashed_at = float("-inf")
        self.until = 0.0
        self.refusals = 0


class FingerprintController:
    """Counts crashes and says which requests may run, and where.

    Parameters
    ----------
    board : TrafficBoard
        Writes `suspects`; reads `snapshot` and `leaving`.
    own, own_domain : str
        Name and failure domain of the own instance.
    emit : callable
        Takes an `Event`.
    """

    __slots__ = (
        "_board",
        "_crashed",
        "_emit",
        "_entries",
        "_own",
        "_own_domain",
    )

    def __init__(self, board, own: str, own_domain: str, emit):
        self._board = board
        self._own = own
        self._own_domain = own_domain
        self._emit = emit
        self._entries: dict[str, _Entry] = {}
        self._crashed: dict[str, float] = {}  # instance to time of its last crash

    def __len__(self) -> int:
        return len(self._entries)

    def find_state(self, fingerprint: str, now: float) -> FingerprintState:
        """Return the state of a fingerprint, after expiry."""
        if fingerprint not in self._board.suspects:
            return FingerprintState.CLEAR
        entry = self._entries[fingerprint]
        if now >= entry.until:
            self._step(fingerprint, entry, "expire", now)
        return entry.state

    def check(self, fingerprint: str, now: float) -> Refusal | None:
        """Refuse a fingerprint that is in quarantine."""
        if self.find_state(fingerprint, now) is not FingerprintState.REFUSED:
            return None
        entry = self._entries[fingerprint]
        return refuse(
            Cause.QUARANTINED,
            "the same request has crashed backend servers",
            retry_after_s=max(1.0, entry.until - now),
        )

    def crash(
        self, service: str, fingerprints, started, alone: str, now: float
    ) -> list[CrashReport]:
        """Attribute a crash of the own backend server.

        Parameters
        ----------
        fingerprints : iterable of str
            Requests in flight at the crash.
        started : callable
            Gives the start time of a fingerprint in flight, or None if the
            node has not kept it.
        alone : str
            Fingerprint that ran alone as a suspect, or an empty string.
        """
        self._crashed[self._own] = now
        names = list(dict.fromkeys(name for name in fingerprints if name))
        if alone in names:
            names = [alone]
        else:
            # A request that began when it was a suspect already should have
            # run alone, so it is to blame rather than its neighbours.
            known = [n for n in names if self._began_as_suspect(n, started(n))]
            if len(known) == 1:
                names = known
        is_alone = 1 if len(names) == 1 else 0
        reports = []
        for name in names:
            key = (self._own_domain, self._own)
            entry = self._find_entry(name, now)
            if entry is None:
                continue
            crashes, sole = entry.counts.get(key, (0, 0))
            entry.counts[key] = (crashes + 1, sole + is_alone)
            entry.crashed_at = now
            self._judge(name, entry, now)
            reports.append(self._make_report(service, name, entry, now))
        return reports

    def _began_as_suspect(self, name: str, started_at: float | None) -> bool:
        if name not in self._board.suspects:
            return False
        return started_at is None or started_at >= self._entries[name].since

    def _make_report(self, service, name, entry, now: float) -> CrashReport:
        crashes, sole = entry.counts.get((self._own_domain, self._own), (0, 0))
        refused_ms = 0
        if entry.state is FingerprintState.REFUSED:
            refused_ms = int((entry.until - now) * 1000)
        return CrashReport(
            service, self._own_domain, name, crashes, self._own, refused_ms, sole
        )

    def make_clearance(self, service: str, fingerprint: str) -> CrashReport:
        """Return the report that a suspect has completed here."""
        return CrashReport(service, self._own_domain, fingerprint, 0, self._own)

    def merge(self, report: CrashReport, now: float) -> None:
        """Take the report of another node, of this or another domain.

        A report without crashes says that the suspect has completed.
        """
        if report.crashes <= 0:
            self.clear(report.fingerprint, now)
            return
        if report.reporter == self._own:
            return
        key = (report.failure_domain, report.reporter)
        entry = self._find_entry(report.fingerprint, now)
        if entry is None:
            return
        if key not in entry.counts and len(entry.counts) >= MAX_REPORTERS:
            return
        crashes, sole = entry.counts.get(key, (0, 0))
        is_news = report.crashes > crashes
        if is_news:
            entry.counts[key] = (report.crashes, max(sole, report.sole))
            entry.crashed_at = now
            self._crashed[report.reporter] = now
        if report.refused_for_ms > 0 and entry.state is not FingerprintState.REFUSED:
            self._step(report.fingerprint, entry, "convict", now)
            entry.until = min(entry.until, now + report.refused_for_ms / 1000)
        elif is_news:
            self._judge(report.fingerprint, entry, now)

    def hear(self, fingerprint: str, now: float) -> None:
        """Take another node's word that a fingerprint is a suspect."""
        entry = self._find_entry(fingerprint, now)
        if entry is not None:
            self._step(fingerprint, entry, "suspect", now)

    def note_crash(self, fingerprint: str, domain: str, instance: str, now) -> None:
        """Take an attempt that ended with a crash as that node's first report.

        The report itself is on its way and counts the same crash, so it does
        not add to this one.
        """
        key = (domain, instance)
        entry = self._entries.get(fingerprint)
        if entry is not None and key in entry.counts:
            self.hear(fingerprint, now)
            return
        report = CrashReport("", domain, fingerprint, 1, instance)
        self.merge(report, now)

    def _judge(self, name: str, entry: _Entry, now: float) -> None:
        """Convict on proof: a crash alone in flight, or too many in a domain."""
        by_domain: dict[str, int] = {}
        total = sole = 0
        for (domain, reporter), (crashes, alone) in entry.counts.items():
            refuted = entry.cleared.get((domain, reporter), (0, 0))
            crashes, alone = crashes - refuted[0], alone - refuted[1]
            by_domain[domain] = by_domain.get(domain, 0) + crashes
            total += crashes
            sole += alone
        if (
            (sole and total >= REFUSE_CRASHES)
            or max(by_domain.values()) >= REFUSE_SHARED
            or entry.refusals
        ):
            self._step(name, entry, "convict", now)
        else:
            self._step(name, entry, "suspect", now)
            entry.until = now + SUSPECT_S

    def clear(self, fingerprint: str, now: float) -> bool:
        """Clear a suspect that has completed; return whether it was one."""
        if fingerprint not in self._board.suspects:
            return False
        return self._step(fingerprint, self._entries[fingerprint], "clear", now)

    def _step(self, name: str, entry: _Entry, event: str, now: float) -> bool:
        state = TRANSITIONS.get((entry.state, event))
        if state is None:
            return False
        entry.state = state
        match state:
            case FingerprintState.CLEAR:
                self._board.suspects.discard(name)
                entry.cleared = dict(entry.counts)
                entry.refusals = 0
                entry.until = now + SUSPECT_S  # old reports are recognised so long
            case FingerprintState.SUSPECT:
                self._board.suspects.add(name)
                entry.since = now
                entry.until = now + SUSPECT_S
            case FingerprintState.REFUSED:
                self._board.suspects.add(name)
                time_s = min(REFUSE_LIMIT_S, REFUSE_S * 2**entry.refusals)
                entry.refusals += 1
                entry.until = now + time_s
        code = {
            FingerprintState.SUSPECT: EventCode.FINGERPRINT_SUSPECT,
            FingerprintState.REFUSED: EventCode.FINGERPRINT_REFUSED,
        }.get(state)
        if code is not None:
            self._emit(
                Event(
                    code,
                    {
                        "fingerprint": name,
                        "crashes": sum(c for c, _ in entry.counts.values()),
                        "for_s": entry.until - now,
                        "reason": event,
                    },
                )
            )
        return True

    def _find_entry(self, name: str, now: float) -> _Entry | None:
        entry = self._entries.get(name)
        if entry is not None:
            self.find_state(name, now)
            return entry
        if len(self._entries) >= MAX_ENTRIES and not self._make_room(now):
            return None
        entry = self._entries[name] = _Entry()
        return entry

    def _make_room(self, now: float) -> bool:
        """Drop what has expired; else the suspect with the oldest crash."""
        for name, entry in list(self._entries.items()):
            if now >= entry.until:
                self._step(name, entry, "expire", now)
            if entry.state is FingerprintState.CLEAR:
                del self._entries[name]
        if len(self._entries) < MAX_ENTRIES:
            return True
        suspects = [
            name
            for name, entry in self._entries.items()
            if entry.state is FingerprintState.SUSPECT
        ]
        if not suspects:
            return False
        oldest = min(suspects, key=lambda name: self._entries[name].crashed_at)
        self._board.suspects.discard(oldest)
        del self._entries[oldest]
        return True

    def find_places(self, service: str, fingerprint: str, now: float):
        """Return the instances that may run a suspect, one for each domain.

        The own domain comes first, then the others in an order that all
        nodes agree on.
        """
        domains: dict[str, list] = {}
        leaving = self._board.leaving
        for item in self._board.snapshot.instances.get(service, ()):
            if item.name in leaving:
                continue
            domains.setdefault(item.failure_domain, []).append(item)
        order = list(rank_instances(fingerprint, tuple(domains)))
        if self._own_domain in domains:
            order.remove(self._own_domain)
            order.insert(0, self._own_domain)
        places = []
        for domain in order:
            members = {item.name: item for item in domains[domain]}
            ranked = rank_instances(fingerprint, tuple(members))
            ready = [n for n in ranked if not self._is_restarting(n, now)]
            places.append(members[(ready or ranked)[0]])
        return places

    def _is_restarting(self, instance: str, now: float) -> bool:
        return now - self._crashed.get(instance, float("-inf")) < RESTART_S

    def check_place(self, service: str, fingerprint: str, now: float) -> Refusal | None:
        """Refuse a suspect that belongs to another instance of the own domain.

        Only for `ENFORCE_S` after the last crash, while callers still retry
        and some ingress nodes do not know the suspect. Later it runs here,
        alone, or a popular request that completed elsewhere would be refused
        for as long as the suspicion lasts.
        """
        if self.find_state(fingerprint, now) is not FingerprintState.SUSPECT:
            return None
        if now - self._entries[fingerprint].crashed_at >= ENFORCE_S:
            return None
        for item in self.find_places(service, fingerprint, now):
            if item.failure_domain == self._own_domain:
                if item.name == self._own:
                    return None
                return refuse(
                    Cause.SUSPECTED, f"a suspect of a crash runs at {item.name}"
                )
        return None
