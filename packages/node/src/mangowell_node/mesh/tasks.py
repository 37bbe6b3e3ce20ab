"""Background tasks of a node, and the supervision of those that run as long as it."""

import asyncio
import random
import traceback
from collections.abc import Callable, Coroutine
from time import monotonic

from mangowell_core.events import Event, EventCode

# Delay until a task that has ended is started again, in seconds; it doubles with each
# failure. The longest is below the 2 s within which a change has to be in force.
FIRST_RESTART_DELAY_S = 0.05
MAX_RESTART_DELAY_S = 1.6
# Time for which a task has to run after its start to count as healthy, in seconds:
# longer than the longest delay, so that a task that fails at each start never does.
HEALTHY_AFTER_S = 5.0
# Number of failures without a healthy run after which a failure counts as lasting.
# An input that is handled once by each task causes fewer.
LASTING_FAILURES = 3
# Time that cancelled tasks have to end, in seconds. It is short, as the grace period
# of a stopping node may be used up by its requests.
END_TIMEOUT_S = 0.1
# Number of innermost frames in the description of a fault.
DESCRIBED_FRAMES = 4


def start_loop(coroutine: Coroutine) -> asyncio.Task:
    """Start a task whose failure is reported at once, not when it is awaited."""
    task = asyncio.get_running_loop().create_task(coroutine)
    task.add_done_callback(_report_failure)
    return task


def _report_failure(task: asyncio.Task) -> None:
    if task.cancelled() or task.exception() is None:
        return
    task.get_loop().call_exception_handler(
        {"message": f"{task.get_name()} failed", "exception": task.exception()}
    )


def describe_fault(exc: BaseException | None) -> dict[str, str]:
    """Return the event fields `fault` and `where` of an exception."""
    frames = traceback.extract_tb(exc.__traceback__) if exc is not None else []
    innermost = reversed(frames[-DESCRIBED_FRAMES:])
    where = " < ".join(f"{frame.name}:{frame.lineno}" for frame in innermost)
    return {"fault": repr(exc), "where": where}


def compute_restart_delay(failures: int) -> float:
    """Return the seconds to wait after a number of failures in a row."""
    # The exponent is limited, as the power of a large number of failures overflows.
    return min(MAX_RESTART_DELAY_S, FIRST_RESTART_DELAY_S * 2 ** min(failures - 1, 16))


class _TaskRecord:
    """State of one supervised task."""

    __slots__ = (
        "failures",
        "healthy_at",
        "make_coroutine",
        "restart_reason",
        "restart_timer",
    )

    def __init__(self, make_coroutine: Callable[[], Coroutine]):
        self.make_coroutine = make_coroutine
        # Failures since the last healthy run.
        self.failures = 0
        # Monotonic time from which the running task counts as healthy.
        self.healthy_at = 0.0
        self.restart_timer: asyncio.TimerHandle | None = None
        # Why the task was cancelled, if `restart` has done it.
        self.restart_reason = ""

    def is_healthy(self, now: float) -> bool:
        return not self.failures or now >= self.healthy_at


class TaskSupervisor:
    """Runs tasks by name and starts each again that ends.

    Parameters
    ----------
    emit : callable
        Takes an `Event`.
    rng : random.Random
        Source of random numbers for delays.

    Attributes
    ----------
    tasks : dict of str to asyncio.Task
        Current task of each name; it is done while the name waits for a restart.
    """

    __slots__ = ("_emit", "_is_stopping", "_records", "_rng", "tasks")

    def __init__(self, emit: Callable[[Event], None], rng: random.Random):
        self._emit = emit
        self._rng = rng
        self._records: dict[str, _TaskRecord] = {}
        self._is_stopping = False
        self.tasks: dict[str, asyncio.Task] = {}

    def start(self, name: str, make_coroutine: Callable[[], Coroutine]) -> None:
        """Start a task and keep it running until `stop`.

        Parameters
        ----------
        name : str
            Name of the task.
        make_coroutine : callable
            Returns the coroutine to run, without arguments; called at each start.

        Raises
        ------
        ValueError
            If a task with this name was started before.
        """
        if name in self._records:
            raise ValueError(f"task {name!r} was started before")
        if self._is_stopping:
            return
        self._records[name] = _TaskRecord(make_coroutine)
        self._launch(name)

    def count_running(self) -> int:
        """Return the number of tasks that run, so do not wait for a restart."""
        return sum(not task.done() for task in self.tasks.values())

    @property
    def failing(self) -> frozenset[str]:
        """Names of the tasks that have ended and were not healthy since."""
        now = monotonic()
        return frozenset(
            name for name, record in self._records.items() if not record.is_healthy(now)
        )

    @property
    def lastingly_failing(self) -> frozenset[str]:
        """Names of the failing tasks that have failed several times in a row."""
        return frozenset(
            name
            for name in self.failing
            if self._records[name].failures >= LASTING_FAILURES
        )

    def _launch(self, name: str) -> None:
        record = self._records[name]
        record.restart_timer = None
        record.healthy_at = monotonic() + HEALTHY_AFTER_S
        loop = asyncio.get_running_loop()
        task = loop.create_task(_run(record.make_coroutine), name=name)
        self.tasks[name] = task
        task.add_done_callback(self._handle_end)

    def _handle_end(self, task: asyncio.Task) -> None:
        """Schedule the restart of a task that has ended for any reason."""
        name = task.get_name()
        record = self._records.get(name)
        if self._is_stopping or record is None or self.tasks.get(name) is not task:
            return
        now = monotonic()
        if record.is_healthy(now):
            record.failures = 0
        record.failures += 1
        record.healthy_at = float("inf")
        delay_s = compute_restart_delay(record.failures)
        # Jitter keeps nodes that failed on the same input from reading it together.
        delay_s *= 0.75 + 0.25 * self._rng.random()
        loop = task.get_loop()
        record.restart_timer = loop.call_later(delay_s, self._launch, name)
        fields = {
            "task": name,
            "failures": record.failures,
            "restart_s": round(delay_s, 2),
        }
        if record.restart_reason:
            fields["reason"], record.restart_reason = record.restart_reason, ""
        self._emit_failure(task, fields)

    def _emit_failure(self, task: asyncio.Task, fields: dict) -> None:
        if task.cancelled():
            fault = {"fault": "cancelled", "where": ""}
        elif (exc := task.exception()) is None:
            fault = {"fault": "returned", "where": ""}
        else:
            fault = describe_fault(exc)
        self._emit(Event(EventCode.TASK_FAILED, fields | fault))

    def restart(self, name: str, reason: str) -> None:
        """Cancel the current task of a name, which counts as a failure."""
        self._records[name].restart_reason = reason
        self.tasks[name].cancel()

    async def end(self, name: str) -> None:
        """Cancel one task for good and wait for its end."""
        record = self._records.pop(name, None)
        if record is not None:
            await self._end([name], [record])

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end; their failures are only logged."""
        self._is_stopping = True
        records = list(self._records.values())
        self._records.clear()
        await self._end(list(self.tasks), records)

    async def _end(self, names: list[str], records: list[_TaskRecord]) -> None:
        for record in records:
            if record.restart_timer is not None:
                record.restart_timer.cancel()
        tasks = [task for name in names if not (task := self.tasks.pop(name)).done()]
        for task in tasks:
            task.cancel()
        if not tasks:
            return
        ended, running = await asyncio.wait(tasks, timeout=END_TIMEOUT_S)
        for task in ended:
            if not task.cancelled() and task.exception() is not None:
                self._emit_failure(task, {"task": task.get_name()})
        for task in running:
            fields = {"task": task.get_name(), "fault": "not ended", "where": ""}
            self._emit(Event(EventCode.TASK_FAILED, fields))


async def _run(make_coroutine: Callable[[], Coroutine]) -> None:
    """Run a coroutine, so that a failure to make it also ends the task."""
    await make_coroutine()
