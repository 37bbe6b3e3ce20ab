"""Guards against readiness that sends callers to the worse nodes, or to none."""

import asyncio

import msgspec
import pytest

from mangowell_standins.scripted_http import read_response
from mesh.support_mesh import run_mesh, until


def break_task(machine, name="expiry"):
    """Let a task fail at each start; return a function that mends it."""
    supervisor = machine.node.supervisor
    record = supervisor._records[name]
    make_coroutine = record.make_coroutine

    async def fail():
        raise ArithmeticError("planned")

    record.make_coroutine = fail
    supervisor.tasks[name].cancel()

    def mend():
        record.make_coroutine = make_coroutine

    return mend


async def ask_ready(machine):
    address = machine.settings.ready
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    answer = await read_response(reader)
    writer.close()
    return answer.status, msgspec.json.decode(answer.body)


async def wait_for_links(machines):
    await until(lambda: all(len(m.node._gossip._peer_failing) for m in machines))


@pytest.mark.parametrize("task", ["expiry", "gossip-status", "gossip-links"])
async def test_node_whose_own_task_fails_sends_callers_elsewhere(task, monkeypatch):
    monkeypatch.setattr("mangowell_node.mesh.tasks.HEALTHY_AFTER_S", 1.7)
    async with run_mesh(3) as (_, machines):
        await wait_for_links(machines)
        machine, *others = machines
        mend = break_task(machine, task)
        await until(lambda: not machine.node.is_ready, 2.0)
        status, body = await ask_ready(machine)
        assert status == 503
        assert body["reasons"] == ["task-failing"]
        assert body["failing"] == [task]
        assert all([await m.is_ready() for m in others])
        mend()
        await until(lambda: machine.node.is_ready, 6.0)


async def test_failure_of_all_nodes_leaves_them_ready():
    """One input may hit every node, and an unready fleet serves nobody."""
    async with run_mesh(3) as (_, machines):
        await wait_for_links(machines)
        for machine in machines:
            break_task(machine)
        await until(lambda: all(m.node.failing for m in machines), 2.0)
        await until(lambda: all(m.node.is_ready for m in machines), 2.0)
        for _ in range(20):
            await asyncio.sleep(0.05)
            assert all(m.node.is_ready for m in machines)
        status, body = await ask_ready(machines[0])
        assert status == 200
        assert body["failing"] == ["expiry"]


async def test_only_node_of_its_domain_stays_ready_though_a_task_fails():
    async with run_mesh(2, zones=("a", "b")) as (_, machines):
        break_task(machines[0])
        await until(lambda: machines[0].node.failing, 2.0)
        await asyncio.sleep(0.5)
        assert await machines[0].is_ready()


async def test_reader_that_fails_leaves_its_node_ready():
    """Other nodes of the domain read for it."""
    async with run_mesh(3) as (_, machines):
        await wait_for_links(machines)
        machine = machines[0]
        break_task(machine, "store-reader")
        await until(lambda: machine.node.failing, 2.0)
        status, body = await ask_ready(machine)
        assert status == 200
        assert body["reader"] == "failed"
        assert not machine.node._feed.is_up


async def test_outage_of_the_store_leaves_nodes_ready():
    async with run_mesh(2) as (store, machines):
        store.refuse_status = 503
        store.discard_history()
        await until(lambda: all(m.node.directory.is_store_away for m in machines))
        status, body = await ask_ready(machines[0])
        assert status == 200
        assert body["reader"] == "store-away"
