"""Election of the nodes that read the store for their failure domain.

A document of a few hundred kilobytes changes several times a second, and most
machines have a link of a few megabits a second. If every node read the document,
each change would occupy all links for half a second and delay the requests.
Instead, the two nodes with the fastest links read the store and send the other
nodes only the changes.
"""

from typing import NamedTuple

# With two readers, one can fail without a gap in the updates.
READERS_PER_DOMAIN = 2
# Age above which a report is dropped and its node counts as failed, seconds. It
# exceeds two status intervals, and together with the takeover it stays within
# the 2 s in which a change has to be applied.
REPORT_TTL_S = 1.2
# Delay between the takeovers of two candidates, seconds. The status of the first
# arrives within it, so that not all nodes query a store that is unreachable.
TAKEOVER_STAGGER_S = 0.3
# Time for which two preferred readers must have been reported before this node
# stops reading, seconds: two reports of each.
STEP_DOWN_DELAY_S = 1.0
# Time after which one of the two preferred nodes reads again, once others have
# taken over, seconds.
RESUME_DELAY_S = 5.0
# Time for which a node whose reader fails again and again is elected last, seconds. It
# is started again in that time, so that it is known whether it still fails.
FAILED_READER_PAUSE_S = 30.0


class ReaderReport(NamedTuple):
    """Report of one node to the others of its domain on whether it reads the store.

    Parameters
    ----------
    link_mbps : float
        Speed of the link of the node's machine, in megabits per second; 0 while its
        reader fails, so that all other nodes are preferred.
    is_reading : bool
        Whether the node reads the store and the store answers.
    is_leaving : bool
        Whether the node is stopping.
    """

    link_mbps: float
    is_reading: bool
    is_leaving: bool


class ReaderElection:
    """Decides whether a node on the platform's request path reads the store.

    The decision follows from the reports of the other nodes of its failure domain.

    Parameters
    ----------
    instance : str
        Instance name of this node; breaks ties between links of equal speed.
    link_mbps : float
        Speed of the local machine's link, in megabits per second. The nodes with
        the fastest links read.
    """

    __slots__ = (
        "_enough_readers_since",
        "_failed_until",
        "_instance",
        "_link_mbps",
        "_reports",
        "_stopped_at",
        "_too_few_readers_since",
        "is_reading",
    )

    def __init__(self, instance: str, link_mbps: float):
        self._instance = instance
        self._link_mbps = link_mbps
        self._reports: dict[str, tuple[float, ReaderReport]] = {}
        # At its start a node knows of no other reader, so it reads.
        self.is_reading = True
        self._enough_readers_since: float | None = None
        self._too_few_readers_since: float | None = None
        self._stopped_at = 0.0
        # Time until which this node is elected last.
        self._failed_until = float("-inf")

    def record_failure(self, now: float) -> None:
        """Record that the reader of this node fails again and again."""
        self._failed_until = now + FAILED_READER_PAUSE_S

    def get_link_mbps(self, now: float) -> float:
        """Return the speed of the link to report to the other nodes."""
        return 0.0 if now < self._failed_until else self._link_mbps

    def record_report(self, instance: str, report: ReaderReport, now: float) -> None:
        """Record the report of another node of the domain."""
        self._reports[instance] = (now, report)

    def decide(self, now: float, is_store_up: bool) -> bool:
        """Return whether this node should read the store.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        is_store_up : bool
            Whether the store answers this node; ignored unless it reads.
        """
        peer_reports = self._get_fresh_reports(now)
        if self.is_reading:
            if is_store_up:
                other_readers = self._count_preferred(peer_reports, now, serving=True)
            else:
                other_readers = sum(
                    report.is_reading for report in peer_reports.values()
                )
            if other_readers < READERS_PER_DOMAIN:
                self._enough_readers_since = None
            elif self._enough_readers_since is None:
                self._enough_readers_since = now
            elif now - self._enough_readers_since >= STEP_DOWN_DELAY_S:
                self.is_reading = False
                self._stopped_at = now
                self._enough_readers_since = self._too_few_readers_since = None
            return self.is_reading
        serving = sum(report.is_reading for report in peer_reports.values())
        missing_readers = READERS_PER_DOMAIN - serving
        if missing_readers <= 0:
            self._too_few_readers_since = None
            preferred_readers = self._count_preferred(peer_reports, now, serving=True)
            is_due = now - self._stopped_at >= RESUME_DELAY_S
            self.is_reading = is_due and preferred_readers < READERS_PER_DOMAIN
            return self.is_reading
        if self._too_few_readers_since is None:
            self._too_few_readers_since = now
        takeover_position = max(
            0,
            self._count_preferred(peer_reports, now, serving=False)
            - missing_readers
            + 1,
        )
        if now - self._too_few_readers_since >= takeover_position * TAKEOVER_STAGGER_S:
            self.is_reading = True
            self._too_few_readers_since = None
        return self.is_reading

    def is_publisher(self, now: float) -> bool:
        """Return whether this node publishes the changes to the other nodes."""
        peer_reports = self._get_fresh_reports(now)
        return self.is_reading and not self._count_preferred(
            peer_reports, now, serving=True
        )

    def _get_fresh_reports(self, now: float) -> dict[str, ReaderReport]:
        fresh_reports = {}
        for instance, (received_at, report) in list(self._reports.items()):
            if now - received_at > REPORT_TTL_S:
                del self._reports[instance]
            elif not report.is_leaving:
                fresh_reports[instance] = report
        return fresh_reports

    def _count_preferred(
        self, peer_reports: dict[str, ReaderReport], now: float, serving: bool
    ) -> int:
        """Count the nodes that are preferred to this one as a reader.

        Parameters
        ----------
        peer_reports : dict of str to ReaderReport
            Reports by instance name.
        now : float
            Monotonic time, in seconds.
        serving : bool
            Whether to count the nodes that read the store or those that do not.
        """
        local_rank = (-self.get_link_mbps(now), self._instance)
        return sum(
            report.is_reading == serving and (-report.link_mbps, instance) < local_rank
            for instance, report in peer_reports.items()
        )
