"""Distribution of the document and the instance list between nodes."""

from mangowell_core.distribution.core import DistributionCore

__all__ = ["DistributionCore"]
