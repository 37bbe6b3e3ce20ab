"""Return of freed memory to the system."""

import ctypes
import gc
import os

# Growth of the resident memory over its least value above which freed memory is
# returned, in bytes, and the least time between two returns, in seconds.
GROWTH_BYTES = 6_291_456
TRIM_INTERVAL_S = 1.0
# Least time between two collections, in seconds, and time for which they go on after
# callers met a limit. Connections to the worker that their requests used are closed up
# to 4 s later. A collection takes tens of milliseconds.
COLLECT_INTERVAL_S = 2.5
COLLECT_FOR_S = 15.0
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class FreeMemory:
    """Returns to the system what callers outside the limits have left.

    The allocator of the C library keeps memory that is free. Requests that were cut
    off leave objects that refer to each other, and connections to the worker up to
    384 KiB each; they would stay until a full collection, which may never come on a
    node without load.
    """

    __slots__ = (
        "_collect_at",
        "_collect_until",
        "_limited",
        "_next_at",
        "_resident_bytes",
        "_trim",
    )

    def __init__(self):
        # Other C libraries have no such function.
        self._trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
        self._resident_bytes = _read_resident_bytes()
        self._limited = 0
        self._next_at = self._collect_at = self._collect_until = 0.0

    def update(self, limited: int, now: float) -> None:
        """Return freed memory if the process has grown.

        Parameters
        ----------
        limited : int
            How often callers have met a limit so far. Without that, nothing is
            collected here.
        now : float
            Monotonic time in seconds.
        """
        if limited != self._limited:
            self._limited = limited
            self._collect_until = now + COLLECT_FOR_S
        if now < self._next_at:
            return
        self._next_at = now + TRIM_INTERVAL_S
        resident_bytes = _read_resident_bytes()
        self._resident_bytes = min(self._resident_bytes, resident_bytes)
        if resident_bytes <= self._resident_bytes + GROWTH_BYTES:
            return
        if self._collect_at <= now < self._collect_until:
            self._collect_at = now + COLLECT_INTERVAL_S
            gc.collect()
        if self._trim:
            self._trim(0)


def _read_resident_bytes() -> int:
    """Return the resident memory of this process, or 0 if it is unknown."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
