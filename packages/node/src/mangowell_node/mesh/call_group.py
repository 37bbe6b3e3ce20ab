"""Calls of several functions that fail independently."""

from collections.abc import Callable
from time import monotonic

from mangowell_core.events import Event, EventCode
from mangowell_node.mesh.tasks import (
    LASTING_FAILURES,
    compute_restart_delay,
    describe_fault,
)


class _Call:
    """A function of a group and its failures since its last success."""

    __slots__ = ("failures", "function", "retry_at")

    def __init__(self, function: Callable[[], None]):
        self.function = function
        self.failures = 0
        # Monotonic time from which a failed call is repeated.
        self.retry_at = 0.0

    def is_due(self, now: float) -> bool:
        return now >= self.retry_at


class CallGroup:
    """Calls several functions in turn; a failure of one doesn't keep the others back.

    Parameters
    ----------
    emit : callable
        Takes an `Event`.
    functions : dict of str to callable
        Functions without arguments by the name that events give.
    """

    __slots__ = ("_calls", "_emit")

    def __init__(
        self, emit: Callable[[Event], None], functions: dict[str, Callable[[], None]]
    ):
        self._emit = emit
        self._calls = {name: _Call(function) for name, function in functions.items()}

    def run_all(self) -> None:
        """Call each function."""
        now = monotonic()
        for name, call in self._calls.items():
            self._run_call(name, call, now)

    def run_due(self) -> None:
        """Call each function, except those that have to wait after a failure."""
        now = monotonic()
        for name, call in self._calls.items():
            if not call.failures or call.is_due(now):
                self._run_call(name, call, now)

    def repeat_failed(self) -> None:
        """Call each function again whose last call has failed, once it is due."""
        now = monotonic()
        for name, call in self._calls.items():
            if call.failures and call.is_due(now):
                self._run_call(name, call, now)

    @property
    def lastingly_failing(self) -> frozenset[str]:
        """Names of the functions that have failed several times in a row."""
        return frozenset(
            name
            for name, call in self._calls.items()
            if call.failures >= LASTING_FAILURES
        )

    def _run_call(self, name: str, call: _Call, now: float) -> None:
        try:
            call.function()
        except Exception as exc:
            call.failures += 1
            delay_s = compute_restart_delay(call.failures)
            call.retry_at = now + delay_s
            fields = {
                "task": name,
                "failures": call.failures,
                "restart_s": round(delay_s, 2),
            }
            self._emit(Event(EventCode.TASK_FAILED, fields | describe_fault(exc)))
        else:
            call.failures = 0
