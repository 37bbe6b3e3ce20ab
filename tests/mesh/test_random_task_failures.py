"""Guards against any task whose failure keeps a node from applying changes or a stop.

Each task fails by name at random times, and the nodes are checked from outside.
"""

import asyncio
import random

import pytest

from mangowell_node.mesh.node import MeshNode
from mangowell_node.mesh.tasks import TaskSupervisor
from mesh.support_mesh import make_document, make_entry, run_mesh, until

FAILURES = 40
MAX_PAUSE_S = 0.15
# A change has to be in force 2 s after its write.
APPLY_S = 2.0


class FailingSupervisor(TaskSupervisor):
    """Lets any of its tasks fail by name, as if its coroutine had raised."""

    def __init__(self, *args):
        super().__init__(*args)
        self.fault_by_name = {}

    def start(self, name, make_coroutine):
        async def run():
            self.fault_by_name[name] = asyncio.get_running_loop().create_future()
            work = asyncio.ensure_future(make_coroutine())
            fault = self.fault_by_name[name]
            try:
                await asyncio.wait((work, fault), return_when=asyncio.FIRST_COMPLETED)
                if fault.done():
                    fault.result()
                await work
            finally:
                work.cancel()
                await asyncio.gather(work, return_exceptions=True)

        super().start(name, run)

    def fail(self, name, exc):
        fault = self.fault_by_name.get(name)
        if fault is not None and not fault.done():
            fault.set_exception(exc)


@pytest.mark.parametrize("seed", range(6))
async def test_random_failures_of_tasks_keep_changes_drains_and_stops(
    seed, monkeypatch
):
    monkeypatch.setattr(MeshNode, "supervisor_type", FailingSupervisor)
    rng = random.Random(seed)
    async with run_mesh(3) as (store, machines):
        version = 1
        for _ in range(FAILURES):
            supervisor = rng.choice(machines).node.supervisor
            name = rng.choice(sorted(supervisor.tasks))
            kind = rng.choice([ArithmeticError, RecursionError, KeyError, OSError])
            supervisor.fail(name, kind("planned"))
            if rng.random() < 0.2:
                version += 1
                store.put("op/config", make_document(version))
            await asyncio.sleep(rng.uniform(0, MAX_PAUSE_S))
        version += 1
        store.put("op/config", make_document(version))
        store.put("servers/i-3", make_entry(machines[2].host, 1, state="draining"))
        await until(
            lambda: all(
                m.node.directory.document.version == version
                and m.node.directory.endpoints["i-3"].draining
                for m in machines
            ),
            APPLY_S,
        )
        assert (await machines[0].call()).status == 200
        for machine in machines:
            name = rng.choice(sorted(machine.node.supervisor.tasks))
            machine.node.supervisor.fail(name, ArithmeticError("planned"))
        await asyncio.gather(*(machine.node.stop() for machine in machines))
        for machine in machines:
            assert not machine.get_events("internal_fault")
            assert machine.get_events("stop_completed")
            assert not machine.node.supervisor.tasks
