"""Counts of the bytes that a node sends on its links, by peer and kind."""

from collections import Counter
from collections.abc import Callable

from mangowell_node.link.frames import FrameType

# Hosts that are counted: more than a fleet has. A peer is counted once it is
# authenticated, so that connections from many addresses keep no host out.
MAX_HOSTS = 4096
KINDS = ("requests", "answers", "probes", "status", "changes", "states", "pings")
# Kind of each frame type that does not depend on what it carries. Frames with parts of
# bodies are requests at the side that has opened the link, otherwise answers.
KIND_BY_TYPE = {
    int(FrameType.HELLO): "pings",
    int(FrameType.AUTHENTICATE): "pings",
    int(FrameType.WELCOME): "pings",
    int(FrameType.REQUEST): "requests",
    int(FrameType.ANSWER): "answers",
    int(FrameType.CANCEL): "requests",
    int(FrameType.RESET): "answers",
    int(FrameType.PING): "pings",
    int(FrameType.PONG): "pings",
    int(FrameType.GOAWAY): "pings",
    # Crashes, completions and leaving workers; the others name their kind.
    int(FrameType.NOTICE): "changes",
}


class Traffic:
    """Bytes sent since the start, by host of the peer and kind."""

    __slots__ = ("_by_host",)

    def __init__(self):
        self._by_host: dict[str, Counter[str]] = {}

    def get_counts(self, host: str) -> Counter[str]:
        """Return the counts of a host, which its links increase."""
        counts = self._by_host.get(host)
        if counts is None:
            counts = Counter()
            if len(self._by_host) < MAX_HOSTS:
                self._by_host[host] = counts
        return counts

    def sum_by_kind(self, is_counted: Callable[[str], bool]) -> dict[str, int]:
        """Return the bytes of each kind to the hosts for which `is_counted` holds."""
        total = Counter()
        for host, counts in self._by_host.items():
            if is_counted(host):
                total.update(counts)
        return {kind: total[kind] for kind in KINDS}
