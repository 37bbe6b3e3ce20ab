"""Checks of the invariants at run time.

``off`` costs nothing, ``cheap`` compares numbers and looks up the routes of a
new snapshot, ``full`` also recomputes the digest of each accepted text.
"""

from enum import IntEnum

from mangowell_core.digest import content_digest
from mangowell_core.model import Snapshot


class InvariantViolation(AssertionError):  # noqa: N818
    """State that must never occur; the message names the invariant."""


class InvariantLevel(IntEnum):
    """How much the checker does."""

    OFF = 0
    CHEAP = 1
    FULL = 2


class InvariantChecker:
    """Checker that the program calls where an invariant could break.

    Parameters
    ----------
    level : InvariantLevel
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
        """Check I1, I3 and I9 for a text that replaces the running one."""
        if self.level >= InvariantLevel.CHEAP and version <= highest:
            raise InvariantViolation(
                f"I1/I9: {key} version {version} after version {highest}"
            )
        if self.level >= InvariantLevel.FULL and content_digest(body) != digest:
            raise InvariantViolation(f"I3: {key} version {version} is not whole")

    def check_snapshot(self, new: Snapshot, old: Snapshot | None) -> None:
        """Check I1, I2 and I9 for a snapshot that the node is to run."""
        if self.level < InvariantLevel.CHEAP:
            return
        if old is not None:
            self._check_order(new, old)
        document = new.document
        for route in document.routes.values():
            if route.service not in document.services:
                raise InvariantViolation(
                    f"I2: route {route.name} names unknown service {route.service}"
                )
            if route.traffic_class not in document.classes:
                raise InvariantViolation(
                    f"I2: route {route.name} names unknown class {route.traffic_class}"
                )
            if route.service not in new.instances:
                raise InvariantViolation(
                    f"I2: no instances entry for service {route.service}"
                )

    def _check_order(self, new: Snapshot, old: Snapshot) -> None:
        if new.document.version < old.document.version:
            raise InvariantViolation(
                f"I1/I9: version {new.document.version} after {old.document.version}"
            )
        if (
            new.document.version == old.document.version
            and new.document.digest != old.document.digest
        ):
            raise InvariantViolation(
                f"I1: two digests run as version {new.document.version}"
            )
        if new.instances_revision < old.instances_revision:
            raise InvariantViolation(
                f"I9: instance list {new.instances_revision} after "
                f"{old.instances_revision}"
            )
