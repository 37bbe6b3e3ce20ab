"""Run-time checks of the invariants I5, I6 and I7.

They keep their own record instead of reading the state that the controllers
decide by, so that a fault in a controller does not hide itself.
"""

from collections import OrderedDict

from mangowell_core.invariants import InvariantChecker, InvariantLevel
from mangowell_core.invariants import InvariantViolation as Violation
from mangowell_core.policy.drain import LEAVING_GRACE_S
from mangowell_core.policy.outcome import OUTCOMES, Stage
from mangowell_core.policy.ownership import RETENTION_S
from mangowell_core.policy.types import Outcome, Refusal

RECORD_LIMIT = 100_000  # keys that the record of I6 holds


class PolicyChecker:
    """Checks decisions before they leave the request policy.

    Parameters
    ----------
    level : str
        ``off``, ``cheap`` or ``full``; `full` also records keys (I6).
    """

    __slots__ = ("_checker", "_keys", "_started")

    def __init__(self, level: str):
        self._checker = InvariantChecker.from_level(level)
        self._keys: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._started: set[int] = set()

    @property
    def is_on(self) -> bool:
        """Whether any check is done."""
        return self._checker.level > InvariantLevel.OFF

    def check_refusal(self, refusal: Refusal) -> None:
        """Check I5 for a refusal: only what was not sent is told as not run."""
        if refusal.outcome is not Outcome.NOT_RUN or not self.is_on:
            return
        row = OUTCOMES.get((refusal.cause, Stage.UNSENT))
        if row is None or row[0] is not Outcome.NOT_RUN:
            raise Violation(f"I5: {refusal.cause.value} is told as not run")

    def check_expired(self, ticket: int, refusal: Refusal) -> None:
        """Check I5 for a waiting request: it must never have started."""
        self.check_refusal(refusal)
        if ticket in self._started:
            raise Violation(f"I5: ticket {ticket} is refused after its start")

    def check_start(self, ticket: int, leaving_since: float | None, now: float) -> None:
        """Check I5 and I7 for a request that starts at the own backend server."""
        if not self.is_on:
            return
        if ticket in self._started:
            raise Violation(f"I5: ticket {ticket} starts twice")
        self._started.add(ticket)
        if leaving_since is not None and now >= leaving_since + LEAVING_GRACE_S:
            raise Violation(
                f"I7: work starts {now - leaving_since:.1f} s after leaving began"
            )

    def forget_ticket(self, ticket: int) -> None:
        """Drop a ticket that was released."""
        self._started.discard(ticket)

    def check_choice(self, instance: str, leaving: dict[str, float]) -> None:
        """Check I7 for the instance of an attempt."""
        if self.is_on and instance in leaving:
            raise Violation(f"I7: {instance} is chosen although it leaves")

    def check_run(self, service: str, key: str, now: float) -> None:
        """Check I6 for a key that may run now."""
        if self._checker.level < InvariantLevel.FULL:
            return
        name = (service, key)
        ran_at = self._keys.get(name)
        if ran_at is not None and now < ran_at + RETENTION_S:
            raise Violation(f"I6: key {key} of {service} runs twice")
        self._keys[name] = now
        self._keys.move_to_end(name)
        if len(self._keys) > RECORD_LIMIT:
            self._keys.popitem(last=False)

    def withdraw_run(self, service: str, key: str) -> None:
        """Drop a key whose run no byte reached."""
        self._keys.pop((service, key), None)
