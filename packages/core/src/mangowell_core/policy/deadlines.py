"""Deadlines of calls and the remaining time, which decreases from hop to hop."""

HOP_MARGIN_MS = 5  # reserved to carry the answer back over one hop


def compute_deadline(now: float, timeout_ms: int, remaining_ms: int | None) -> float:
    """Return the deadline of a call, in monotonic seconds.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    timeout_ms : int
        Longest time that the route allows, in milliseconds.
    remaining_ms : int or None
        Time that the caller allows, in milliseconds; None if it sets no limit.
        A caller can shorten the time that the route allows but not extend it.
    """
    allowed_ms = timeout_ms
    if remaining_ms is not None:
        allowed_ms = min(timeout_ms, remaining_ms)
    return now + allowed_ms / 1000


def compute_remaining_ms(deadline: float, now: float) -> int:
    """Return the whole milliseconds to pass to the next hop, at least 0."""
    return max(0, int((deadline - now) * 1000) - HOP_MARGIN_MS)
