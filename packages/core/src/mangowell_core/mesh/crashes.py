"""Requests that crash the workers that run them.

Such a request comes again, at any machine. After a crash every request that
ran there is suspected; one that was running at a second crash is refused
everywhere, so that it takes down two workers rather than all.
"""

# Crashes of workers with the same request that refuse it.
REFUSE_CRASHES = 2
# Time for which a crash counts, seconds; longer than a caller repeats itself.
MEMORY_S = 120.0
MAX_ENTRIES = 4096


class CrashLedger:
    """Counts the crashes in which each request was running.

    A crash is named by the worker's id and start, so that hearing of it twice
    does not count twice.
    """

    __slots__ = ("_crashes",)

    def __init__(self):
        self._crashes: dict[str, dict[str, float]] = {}

    def __bool__(self) -> bool:
        return bool(self._crashes)

    def note(self, fingerprint: str, crash: str, now: float) -> bool:
        """Count a crash; tell whether it was not known."""
        self._expire(now)
        if fingerprint not in self._crashes and len(self._crashes) >= MAX_ENTRIES:
            return False
        known = self._crashes.setdefault(fingerprint, {})
        if crash in known:
            return False
        known[crash] = now
        return True

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request is not to run any more."""
        self._expire(now)
        return len(self._crashes.get(fingerprint, ())) >= REFUSE_CRASHES

    def clear(self, fingerprint: str) -> None:
        """Forget the crashes of a request that a worker has completed."""
        self._crashes.pop(fingerprint, None)

    def _expire(self, now: float) -> None:
        for fingerprint, crashes in list(self._crashes.items()):
            if max(crashes.values()) + MEMORY_S <= now:
                del self._crashes[fingerprint]
