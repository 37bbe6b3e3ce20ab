"""Guards against long-lived tasks that end unnoticed and stay ended."""

import asyncio
import contextlib
import random
from time import monotonic

import pytest

from mangowell_core.events import EventCode
from mangowell_node.mesh import tasks
from mangowell_node.mesh.tasks import (
    END_TIMEOUT_S,
    FIRST_RESTART_DELAY_S,
    LASTING_FAILURES,
    MAX_RESTART_DELAY_S,
    TaskSupervisor,
)
from mesh.support_mesh import until

TASK = "sample"


class Runs:
    """Counts the runs of a task that fails until `failures_left` is 0."""

    def __init__(self, failures_left=0):
        self.failures_left = failures_left
        self.started_at = []

    async def run(self):
        self.started_at.append(monotonic())
        if self.failures_left:
            self.failures_left -= 1
            raise ArithmeticError("planned")
        await asyncio.sleep(3600)


@contextlib.asynccontextmanager
async def run_supervisor():
    events = []
    supervisor = TaskSupervisor(events.append, random.Random(1))
    try:
        yield supervisor, events
    finally:
        await supervisor.stop()


async def test_failed_task_is_logged_and_started_again():
    async with run_supervisor() as (supervisor, events):
        runs = Runs(failures_left=1)
        supervisor.start(TASK, runs.run)
        await until(lambda: len(runs.started_at) == 2)
        assert not supervisor.tasks[TASK].done()
        assert supervisor.failing == {TASK}
        (event,) = events
        assert event.code is EventCode.TASK_FAILED
        assert event.fields["task"] == TASK
        assert event.fields["failures"] == 1
        assert "planned" in event.fields["fault"]
        assert event.fields["where"].startswith("run:")
        assert 0 < event.fields["restart_s"] <= FIRST_RESTART_DELAY_S


@pytest.mark.parametrize("end", ["return", "cancelled", "not a coroutine"])
async def test_task_that_ends_without_an_exception_is_started_again(end):
    """A plain return and a cancellation by another part stop the work as well."""
    runs = Runs()

    async def run_once():
        if not runs.started_at and end == "return":
            runs.started_at.append(monotonic())
            return
        await runs.run()

    def make_coroutine():
        if end == "not a coroutine" and not runs.started_at:
            runs.started_at.append(monotonic())
            raise ArithmeticError("planned")
        return run_once()

    async with run_supervisor() as (supervisor, events):
        supervisor.start(TASK, make_coroutine)
        await until(lambda: len(runs.started_at) == 1)
        if end == "cancelled":
            supervisor.tasks[TASK].cancel()
        await until(lambda: len(runs.started_at) == 2)
        assert [event.fields["failures"] for event in events] == [1]


async def test_delay_grows_to_its_limit(monkeypatch):
    """A task that fails at once must not occupy the processor."""
    monkeypatch.setattr(tasks, "MAX_RESTART_DELAY_S", 0.2)
    async with run_supervisor() as (supervisor, events):
        runs = Runs(failures_left=100)
        supervisor.start(TASK, runs.run)
        await until(lambda: len(runs.started_at) == 6)
        delays = [event.fields["restart_s"] for event in events]
        assert delays[0] <= 0.05
        assert all(0.14 <= delay_s <= 0.2 for delay_s in delays[2:])
        assert runs.started_at[-1] - runs.started_at[-2] >= 0.14
        assert supervisor.lastingly_failing == {TASK}
        assert events[LASTING_FAILURES].fields["failures"] == LASTING_FAILURES + 1
    assert MAX_RESTART_DELAY_S < 2.0


async def test_healthy_run_ends_the_failing_state(monkeypatch):
    monkeypatch.setattr(tasks, "HEALTHY_AFTER_S", 0.1)
    async with run_supervisor() as (supervisor, events):
        runs = Runs(failures_left=2)
        supervisor.start(TASK, runs.run)
        await until(lambda: len(runs.started_at) == 3)
        assert supervisor.failing
        await until(lambda: not supervisor.failing)
        supervisor.tasks[TASK].cancel()
        await until(lambda: len(events) == 3)
        assert [event.fields["failures"] for event in events] == [1, 2, 1]


@pytest.mark.parametrize("state", ["running", "failed", "fails at its end", "hangs"])
async def test_stop_raises_nothing_and_starts_nothing(state):
    """A failed task used to end the stop of the node with its exception."""
    runs = Runs(failures_left=100 if state == "failed" else 0)

    async def run():
        try:
            await runs.run()
        except asyncio.CancelledError:
            if state == "fails at its end":
                raise ArithmeticError("planned") from None
            if state == "hangs":
                await asyncio.sleep(END_TIMEOUT_S * 2)
            raise

    async with run_supervisor() as (supervisor, events):
        supervisor.start(TASK, run)
        await until(lambda: events or (runs.started_at and state != "failed"))
        started = monotonic()
        await supervisor.stop()
        assert monotonic() - started < END_TIMEOUT_S * 1.5
        count = len(runs.started_at)
        await asyncio.sleep(FIRST_RESTART_DELAY_S * 2)
        assert len(runs.started_at) == count
        assert not supervisor.tasks
        assert len(events) == (state != "running")


async def test_one_failing_task_does_not_affect_another():
    async with run_supervisor() as (supervisor, _):
        failing, sound = Runs(failures_left=100), Runs()
        supervisor.start("failing", failing.run)
        supervisor.start("sound", sound.run)
        await until(lambda: len(failing.started_at) == 3)
        assert len(sound.started_at) == 1
        assert supervisor.failing == {"failing"}
        await supervisor.end("failing")
        assert list(supervisor.tasks) == ["sound"]
