"""Time for which the store is known to have answered, by the calls of all nodes.

A failed call of one node does not show that the store was away: the connection may
have gone silent, or the store may refuse single nodes. The answers that other nodes
got show the opposite.
"""

import math

import msgspec

# An entry expires after this many report intervals in which its worker is not heard.
LEASE_INTERVALS = 3
# Reports of one restore differ by less than this, their time on the way, in seconds.
SAME_RESTORE_S = 1.0
# Milliseconds in a second: nodes tell each other times as ages in whole milliseconds.
_MS = 1000


class UptimeReport(msgspec.Struct, frozen=True, array_like=True):
    """What a node tells others of the store, as ages in milliseconds.

    Parameters
    ----------
    since_ms, until_ms : int
        Start and end of the time in which the store is known to have answered.
    restored_ms : int or None
        Time since the store was found restored from a copy; None if it was not.
    """

    since_ms: int
    until_ms: int
    restored_ms: int | None = None


class StoreUptime:
    """Tracks since when the store has answered without a gap that ends leases.

    A lease can run out only if its worker could not renew it in a gap that is longer
    than the lease less one report interval, the age of the last renewal before the
    gap.

    Parameters
    ----------
    heartbeat_s : float
        Report interval of the workers, in seconds. With 0 it is unknown, and a lease
        may have run out whenever a call of this node has failed.

    Attributes
    ----------
    is_away : bool
        Whether the store left the last call of this node unanswered.
    until : float
        Latest time at which the store is known to have answered any node.
    returned_at : float
        End of the latest gap; minus infinity if none is known.
    restored_at : float
        Time at which the store was last found restored from a copy, which lacks the
        entries written since; minus infinity if it was not.
    """

    __slots__ = (
        "_gap_start",
        "_min_gap_s",
        "_since",
        "is_away",
        "restored_at",
        "returned_at",
        "until",
    )

    def __init__(self, heartbeat_s: float = 0.0):
        self._min_gap_s = (LEASE_INTERVALS - 1) * heartbeat_s
        self._since = -math.inf
        self._gap_start = -math.inf
        self.is_away = False
        self.until = -math.inf
        self.returned_at = -math.inf
        self.restored_at = -math.inf

    def record_failure(self) -> None:
        """Record that the store left a call of this node unanswered."""
        self.is_away = True

    def stop_reading(self) -> None:
        """Record that this node makes no more calls; other nodes report theirs."""
        self.is_away = False

    def record_answer(self, sent_at: float, now: float) -> None:
        """Record that the store answered a call of this node.

        Parameters
        ----------
        sent_at : float
            Time at which the call was sent. A store that goes down cuts its
            connections, so it was up from then on.
        now : float
            Current time.
        """
        has_failed, self.is_away = self.is_away, False
        may_be_gap = has_failed or (self._min_gap_s > 0 and self._is_known)
        if may_be_gap and self._is_gap(self.until, sent_at):
            self._restart(now, now, now)
        else:
            self._extend(sent_at, now)

    def export(self, now: float) -> UptimeReport | None:
        """Return the report for other nodes; None if no answer is known yet."""
        if not self._is_known:
            return None
        times = [self._since, self.until]
        if self.restored_at > -math.inf:
            times.append(self.restored_at)
        return UptimeReport(*(round((now - time) * _MS) for time in times))

    def merge(self, report: UptimeReport, now: float) -> None:
        """Record the report of another node."""
        since = now - report.since_ms / _MS
        until = now - report.until_ms / _MS
        if report.restored_ms is not None:
            restored_at = now - report.restored_ms / _MS
            if restored_at > self.restored_at + SAME_RESTORE_S:
                self.restored_at = restored_at
        if not self._is_known:
            self._restart(since, until, self.returned_at)
        elif self._is_gap(self.until, since):
            self._restart(since, until, since)
        elif not self._is_gap(until, self._since):
            self._extend(since, until)

    @property
    def _is_known(self) -> bool:
        return self.until > -math.inf

    def _is_gap(self, end: float, start: float) -> bool:
        """Whether leases may run out between the end of one time and the next start."""
        return start > end and start - end >= self._min_gap_s

    def _restart(self, since: float, until: float, returned_at: float) -> None:
        self._gap_start = self.until
        self._since, self.until, self.returned_at = since, until, returned_at

    def _extend(self, since: float, until: float) -> None:
        self.until = max(self.until, until)
        if since >= self._since > -math.inf:
            return
        # Another node was answered in what looked like a gap from here.
        self._since = since
        if self.returned_at > since:
            is_gap = self._is_gap(self._gap_start, since)
            self.returned_at = since if is_gap else -math.inf
