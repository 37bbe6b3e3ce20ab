"""The supervisor that lets tasks fail at an order from outside."""

import asyncio
import os
import random

import pytest

from mangowell_standins.failing_node import (
    FAILURE_SIGNAL,
    FailingSupervisor,
    get_order_path,
    order_failure,
)
from mesh.support_mesh import until


@pytest.fixture
async def supervisor(tmp_path, monkeypatch):
    events = []
    path = get_order_path(tmp_path / "node.ini")
    monkeypatch.setattr(FailingSupervisor, "order_path", path, raising=False)
    supervisor = FailingSupervisor(events.append, random.Random(1))
    supervisor.events = events
    yield supervisor
    await supervisor.stop()
    asyncio.get_running_loop().remove_signal_handler(FAILURE_SIGNAL)


class Work:
    """Coroutines that run until they are cancelled, or fail when told to."""

    def __init__(self):
        self.starts = self.ends = 0
        self.fails = asyncio.Event()

    async def run(self):
        self.starts += 1
        try:
            await self.fails.wait()
            raise ValueError("own")
        finally:
            self.ends += 1


async def test_ordered_task_fails_and_is_started_again(supervisor, tmp_path):
    """Guards against a soak whose failures never reach a task."""
    works = {name: Work() for name in ("b", "a")}
    for name, work in works.items():
        supervisor.start(name, work.run)
    await until(lambda: all(work.starts for work in works.values()))
    for place in (0, 3):
        order_failure(tmp_path / "node.ini", place)
        os.kill(os.getpid(), FAILURE_SIGNAL)
        await asyncio.sleep(0.05)
    await until(lambda: [work.starts for work in works.values()] == [2, 2])
    assert [work.ends for work in works.values()] == [1, 1]
    faults = [event.fields["fault"] for event in supervisor.events]
    assert faults == ["InjectedTaskError('a')", "InjectedTaskError('b')"]


async def test_own_failures_and_cancellations_are_those_of_the_task(supervisor):
    """Guards against a stand-in that hides how a task of the node ends."""
    work = Work()
    supervisor.start("a", work.run)
    await until(lambda: work.starts == 1)
    work.fails.set()
    await until(lambda: supervisor.events)
    assert supervisor.events[0].fields["fault"] == "ValueError('own')"
    work.fails.clear()
    await until(lambda: work.starts == 2)
    await supervisor.stop()
    assert [work.starts, work.ends, len(supervisor.events)] == [2, 2, 1]
