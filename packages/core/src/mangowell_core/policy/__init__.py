"""Decisions on the path of a request."""

from mangowell_core.policy.fingerprints import make_fingerprint
from mangowell_core.policy.outcome import Stage, classify_attempt, refuse
from mangowell_core.policy.request import RequestPolicy, with_fingerprint

__all__ = [
    "RequestPolicy",
    "Stage",
    "classify_attempt",
    "make_fingerprint",
    "refuse",
    "with_fingerprint",
]
