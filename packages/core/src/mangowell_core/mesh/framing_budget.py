"""Rate at which a node parses the framing of chunked bodies.

Load addressed: dozens of bodies in chunks of one byte, from a faulty worker or from
callers. They are valid, but a byte of framing takes 100 times the work of a byte of a
long chunk, so that parsing them as they arrive takes all of the node's processor time.
"""

# Framing that all such bodies together are parsed at, in bytes per second. Chunks of
# one byte have five bytes of it; parsing 50,000 of them takes about 0.15 s.
FRAMING_RATE = 262_144.0
# Framing of one body that is parsed without delay, in bytes, which takes about the work
# of a request; and in addition its share of the bytes of the body. Chunks of 512 bytes
# and more are never delayed.
FREE_FRAMING_BYTES = 2048
FREE_FRAMING_SHARE = 1 / 64


class FramingBudget:
    """Assigns each body that exceeds its free framing a time to go on.

    Bodies that wait take turns, as each one's time includes what it has parsed last.
    Others are not delayed by them.
    """

    __slots__ = ("_free_at",)

    def __init__(self):
        self._free_at = float("-inf")

    def charge(self, size: int, now: float) -> float:
        """Return the time from which more of a body may be parsed.

        Parameters
        ----------
        size : int
            Bytes of framing that have been parsed beyond the free ones.
        now : float
            Monotonic time in seconds.
        """
        self._free_at = max(now, self._free_at) + size / FRAMING_RATE
        return self._free_at


class BodyFraming:
    """Framing of one chunked body, or of several that have arrived together.

    Parameters
    ----------
    budget : FramingBudget
        Shared by the bodies from one side.
    bodies : int
        Number of bodies.
    """

    __slots__ = ("_budget", "_charged", "_free", "_total")

    def __init__(self, budget: FramingBudget, bodies: int = 1):
        self._budget = budget
        self._free = FREE_FRAMING_BYTES * bodies
        self._total = 0
        self._charged = 0

    def count(self, size: int, body_bytes: int, now: float) -> float:
        """Count bytes that were parsed, and return the time from which to go on.

        Parameters
        ----------
        size : int
            Bytes as they arrived.
        body_bytes : int
            Bytes of all bodies so far, without framing.
        now : float
            Monotonic time in seconds; returned if there is nothing to wait for.
        """
        self._total += size
        free = self._free + int(body_bytes * FREE_FRAMING_SHARE)
        excess = self.compute_bytes(body_bytes) - free - self._charged
        if excess <= 0:
            return now
        self._charged += excess
        return self._budget.charge(excess, now)

    def compute_bytes(self, body_bytes: int) -> int:
        """Return the bytes of framing so far."""
        return self._total - body_bytes
