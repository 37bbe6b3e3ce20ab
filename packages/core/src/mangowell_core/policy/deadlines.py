"""Deadlines of calls, which shrink from hop to hop."""

HOP_MARGIN_MS = 5  # time to carry an answer back to the caller of one hop


def find_deadline(now: float, timeout_ms: int, remaining_ms: int | None) -> float:
    """Return the point in time (monotonic seconds) at which a call ends.

    Parameters
    ----------
    timeout_ms : int
        Longest time that the route allows.
    remaining_ms : int or None
        What the caller gave; None if it gave nothing. A caller can shorten
        the route's time but not lengthen it.
    """
    allowed_ms = timeout_ms
    if remaining_ms is not None:
        allowed_ms = min(timeout_ms, remaining_ms)
    return now + allowed_ms / 1000


def find_remaining_ms(deadline: float, now: float) -> int:
    """Return the whole milliseconds to pass to the next hop, at least 0."""
    return max(0, int((deadline - now) * 1000) - HOP_MARGIN_MS)
