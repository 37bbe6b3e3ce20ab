"""Run-time checks of the invariants I5, I6 and I7.

The checks keep a record of their own and do not read the state that the
controllers base their decisions on. A fault in a controller can therefore not
hide itself.
"""

from collections import OrderedDict

from mangowell_core.invariants import InvariantChecker, InvariantLevel
from mangowell_core.invariants import InvariantViolation as Violation
from mangowell_core.policy.drain import LEAVING_GRACE_S
from mangowell_core.policy.outcome import OUTCOMES, Stage
from mangowell_core.policy.ownership import RETENTION_S
from mangowell_core.policy.types import Outcome, Refusal

MAX_RECORDED_KEYS = 100_000  # keys in the record for I6


class PolicyChecker:
    """Checks decisions before they leave the request policy.

    Parameters
    ----------
    level : str
        ``off``, ``cheap`` or ``full``; only ``full`` records keys (I6).
    """

    __slots__ = ("_checker", "_run_keys", "_started_tickets")

    def __init__(self, level: str):
        self._checker = InvariantChecker.from_level(level)
        self._run_keys: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._started_tickets: set[int] = set()

    @property
    def is_enabled(self) -> bool:
        """Whether any check is performed."""
        return self._checker.level > InvariantLevel.OFF

    def check_refusal(self, refusal: Refusal) -> None:
        """Check I5 for a refusal: only an unsent request is reported as not run."""
        if refusal.outcome is not Outcome.NOT_RUN or not self.is_enabled:
            return
        row = OUTCOMES.get((refusal.cause, Stage.UNSENT))
        if row is None or row[0] is not Outcome.NOT_RUN:
            raise Violation(f"I5: {refusal.cause.value} is told as not run")

    def check_expired(self, ticket: int, refusal: Refusal) -> None:
        """Check I5 for a waiting request: it must never have started."""
        self.check_refusal(refusal)
        if ticket in self._started_tickets:
            raise Violation(f"I5: ticket {ticket} is refused after its start")

    def check_start(self, ticket: int, leaving_since: float | None, now: float) -> None:
        """Check I5 and I7 for a request that starts at the local backend server.

        Parameters
        ----------
        leaving_since : float or None
            Time at which the drain of the local instance began; None if it has
            not begun.
        """
        if not self.is_enabled:
            return
        if ticket in self._started_tickets:
            raise Violation(f"I5: ticket {ticket} starts twice")
        self._started_tickets.add(ticket)
        if leaving_since is not None and now >= leaving_since + LEAVING_GRACE_S:
            raise Violation(
                f"I7: work starts {now - leaving_since:.1f} s after leaving began"
            )

    def forget_ticket(self, ticket: int) -> None:
        """Remove a released ticket from the record."""
        self._started_tickets.discard(ticket)

    def check_choice(self, instance: str, leaving: dict[str, float]) -> None:
        """Check I7 for the instance of an attempt.

        Parameters
        ----------
        leaving : dict of str to float
            Time since which an instance is leaving, by name.
        """
        if self.is_enabled and instance in leaving:
            raise Violation(f"I7: {instance} is chosen although it leaves")

    def check_run(self, service: str, key: str, now: float) -> None:
        """Check I6 for a key that may run now."""
        if self._checker.level < InvariantLevel.FULL:
            return
        name = (service, key)
        ran_at = self._run_keys.get(name)
        if ran_at is not None and now < ran_at + RETENTION_S:
            raise Violation(f"I6: key {key} of {service} runs twice")
        self._run_keys[name] = now
        self._run_keys.move_to_end(name)
        if len(self._run_keys) > MAX_RECORDED_KEYS:
            self._run_keys.popitem(last=False)

    def withdraw_run(self, service: str, key: str) -> None:
        """Remove a key from the record: no byte reached the backend server."""
        self._run_keys.pop((service, key), None)
