"""Summary statistics of measurements."""

import math
from collections.abc import Iterable


def percentile(values: Iterable[float], share: float) -> float:
    """Return the nearest-rank percentile, or 0.0 if there are no values.

    Parameters
    ----------
    values : iterable of float
        Values in any order.
    share : float
        Percentile as a share, 0 to 1.
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def summarise(values: Iterable[float], digits: int = 3) -> dict[str, float]:
    """Return ``p50``, ``p99`` and ``max`` of values, rounded to `digits` decimals."""
    collected = list(values)
    return {
        "p50": round(percentile(collected, 0.5), digits),
        "p99": round(percentile(collected, 0.99), digits),
        "max": round(max(collected, default=0.0), digits),
    }


def mean_and_max(values: Iterable[float], digits: int = 3) -> dict[str, float]:
    """Return ``mean`` and ``max`` of values, rounded to `digits` decimals."""
    collected = list(values)
    mean = sum(collected) / len(collected) if collected else 0.0
    return {
        "mean": round(mean, digits),
        "max": round(max(collected, default=0.0), digits),
    }
