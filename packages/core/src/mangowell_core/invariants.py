"""Checks of the invariants at run time.

``off`` checks nothing. ``cheap`` compares version numbers and looks up the
references of the routes in a new snapshot. ``full`` also recomputes the digest of
each accepted text.
"""

from enum import IntEnum

from mangowell_core.digest import compute_digest
from mangowell_core.model import Snapshot


class InvariantViolation(AssertionError):  # noqa: N818
    """State that must never occur; the message names the invariant."""


class InvariantLevel(IntEnum):
    """Which checks an `InvariantChecker` runs."""

    OFF = 0
    CHEAP = 1
    FULL = 2


class InvariantChecker:
    """Raises `InvariantViolation` where a state breaks an invariant.

    Parameters
    ----------
    level : InvariantLevel
        Which checks run; the other checks return at once.
    """

    __slots__ = ("level",)

    def __init__(self, level: InvariantLevel):
        self.level = level

    @classmethod
    def from_level(cls, level: str) -> "InvariantChecker":
        """Create a checker from ``off``, ``cheap`` or ``full``."""
        try:
            return cls(InvariantLevel[level.upper()])
        except KeyError:
            raise ValueError(
                f"invariants must be off, cheap or full, got {level!r}"
            ) from None

    def check_accepted(
        self, key: str, version: int, digest: str, body: bytes, highest: int
    ) -> None:
        """Check I1, I3 and I9 for a text that replaces the running one.

        Parameters
        ----------
        key : str
            Key of the text.
        version : int
            Version of the new text.
        digest : str
            SHA-256 of the new text, in hexadecimal.
        body : bytes
            The new text.
        highest : int
            Highest version of the key that has been accepted before.
        """
        if self.level >= InvariantLevel.CHEAP and version <= highest:
            raise InvariantViolation(
                f"I1/I9: {key} version {version} accepted after version {highest}"
            )
        if self.level >= InvariantLevel.FULL and compute_digest(body) != digest:
            raise InvariantViolation(
                f"I3: {key} version {version} does not match its digest"
            )

    def check_snapshot(self, new: Snapshot, old: Snapshot | None) -> None:
        """Check I1, I2 and I9 for a snapshot that the node is to run."""
        if self.level < InvariantLevel.CHEAP:
            return
        if old is not None:
            self._check_not_older(new, old)
        document = new.document
        for route in document.routes.values():
            if route.service not in document.services:
                raise InvariantViolation(
                    f"I2: route {route.name} refers to unknown service {route.service}"
                )
            if route.traffic_class not in document.classes:
                raise InvariantViolation(
                    f"I2: route {route.name} refers to unknown class "
                    f"{route.traffic_class}"
                )
            if route.service not in new.instances:
                raise InvariantViolation(
                    f"I2: snapshot has no instances entry for service {route.service}"
                )

    def _check_not_older(self, new: Snapshot, old: Snapshot) -> None:
        if new.document.version < old.document.version:
            raise InvariantViolation(
                f"I1/I9: document version {new.document.version} after "
                f"{old.document.version}"
            )
        if (
            new.document.version == old.document.version
            and new.document.digest != old.document.digest
        ):
            raise InvariantViolation(
                f"I1: two digests for document version {new.document.version}"
            )
        if new.instances_revision < old.instances_revision:
            raise InvariantViolation(
                f"I9: instance list revision {new.instances_revision} after "
                f"{old.instances_revision}"
            )
