"""Summary figures of measurements."""

import math
from collections.abc import Iterable


def percentile(values: Iterable[float], share: float) -> float:
    """Return the nearest-rank percentile; 0.0 without values.

    Parameters
    ----------
    values : iterable of float
    share : float
        0 to 1.
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def summarise(values: Iterable[float], digits: int = 3) -> dict[str, float]:
    """Return ``p50``, ``p99`` and ``max`` of values."""
    held = list(values)
    return {
        "p50": round(percentile(held, 0.5), digits),
        "p99": round(percentile(held, 0.99), digits),
        "max": round(max(held, default=0.0), digits),
    }


def mean_and_max(values: Iterable[float], digits: int = 3) -> dict[str, float]:
    """Return ``mean`` and ``max`` of values."""
    held = list(values)
    mean = sum(held) / len(held) if held else 0.0
    return {
        "mean": round(mean, digits),
        "max": round(max(held, default=0.0), digits),
    }
