"""Choice of the nodes that read the store for their failure domain.

Load pattern: a document of a few hundred kilobytes changes several times a
second, and most machines have a link of a few megabits a second. If every node
reads it, the links of all of them carry nothing else for half a second at each
change, and requests wait behind it. Two nodes with the fastest links read, and
tell the others only what has changed.
"""

from typing import NamedTuple

# Two, so that one can fail without a gap.
READERS_PER_DOMAIN = 2
# Age of a report at which its node counts as gone, seconds: more than two
# intervals of the status, and together with the takeover within the 2 s in
# which a change has to be in force.
FRESH_S = 1.2
# Time between the turns of two nodes that could take over, seconds: the status
# of the first arrives in it, so that a store which is away is not asked by all.
STAGE_S = 0.3
# Time for which two better readers must have been seen before one stops: two
# reports of each.
RELEASE_S = 1.0
# Time after which one of the two best tries again, after others took over.
RETURN_S = 5.0


class ReaderReport(NamedTuple):
    """What a node tells the others of its domain about its reading.

    Parameters
    ----------
    link_mbps : float
        Speed of its machine's link.
    is_reading : bool
        It reads the store, and the store answers.
    is_leaving : bool
    """

    link_mbps: float
    is_reading: bool
    is_leaving: bool


class ReaderElection:
    """Decides whether this node reads, from what the others report.

    Parameters
    ----------
    instance : str
    link_mbps : float
        Speed of the own machine's link; the fastest read.
    """

    __slots__ = (
        "_enough_since",
        "_instance",
        "_link_mbps",
        "_reports",
        "_short_since",
        "_stopped_at",
        "is_reading",
    )

    def __init__(self, instance: str, link_mbps: float):
        self._instance = instance
        self._link_mbps = link_mbps
        self._reports: dict[str, tuple[float, ReaderReport]] = {}
        # A node that starts knows of no reader.
        self.is_reading = True
        self._enough_since: float | None = None
        self._short_since: float | None = None
        self._stopped_at = 0.0

    def note(self, instance: str, report: ReaderReport, now: float) -> None:
        """Take the report of another node of the domain."""
        self._reports[instance] = (now, report)

    def decide(self, now: float, is_store_up: bool) -> bool:
        """Return whether this node is to read.

        Parameters
        ----------
        now : float
        is_store_up : bool
            Whether the store answers this node, if it reads.
        """
        others = self._find_fresh(now)
        if self.is_reading:
            if is_store_up:
                enough = self._count_better(others, serving=True)
            else:
                enough = sum(report.is_reading for report in others.values())
            if enough < READERS_PER_DOMAIN:
                self._enough_since = None
            elif self._enough_since is None:
                self._enough_since = now
            elif now - self._enough_since >= RELEASE_S:
                self.is_reading = False
                self._stopped_at = now
                self._enough_since = self._short_since = None
            return self.is_reading
        serving = sum(report.is_reading for report in others.values())
        missing = READERS_PER_DOMAIN - serving
        if missing <= 0:
            self._short_since = None
            better = self._count_better(others, serving=True)
            is_due = now - self._stopped_at >= RETURN_S
            self.is_reading = is_due and better < READERS_PER_DOMAIN
            return self.is_reading
        if self._short_since is None:
            self._short_since = now
        turn = max(0, self._count_better(others, serving=False) - missing + 1)
        if now - self._short_since >= turn * STAGE_S:
            self.is_reading = True
            self._short_since = None
        return self.is_reading

    def is_publisher(self, now: float) -> bool:
        """Tell whether this reader tells the others what has changed."""
        others = self._find_fresh(now)
        return self.is_reading and not self._count_better(others, serving=True)

    def _find_fresh(self, now: float) -> dict[str, ReaderReport]:
        fresh = {}
        for instance, (heard_at, report) in list(self._reports.items()):
            if now - heard_at > FRESH_S:
                del self._reports[instance]
            elif not report.is_leaving:
                fresh[instance] = report
        return fresh

    def _count_better(self, others: dict[str, ReaderReport], serving: bool) -> int:
        """Count the nodes that go before this one and do or do not read."""
        own = (-self._link_mbps, self._instance)
        return sum(
            report.is_reading == serving and (-report.link_mbps, instance) < own
            for instance, report in others.items()
        )
