"""Planned stops and the work that reaches a node after its stop has begun."""

import asyncio
from time import monotonic

import pytest

from node.support_calls import (
    ScriptedBackend,
    apply_members,
    make_answer,
    open_call,
    read_response,
    run_nodes,
    until,
)


def make_slow_handler(gate):
    async def handler(request):
        if request.target != "/":
            await gate.wait()
        return make_answer(b"ok")

    return handler


async def start_slow_stop(node, stop_s):
    """Begin a stop that a request in flight holds; return the request and the task."""
    headers = "Mangowell-Deadline-Ms: 60000\r\n"
    request = await open_call(node.settings.call_port, target="/big", headers=headers)
    await until(lambda: node.backend.executions == 1)
    node.drops_control = True
    stop = asyncio.ensure_future(node.calls.stop(monotonic() + stop_s))
    await until(lambda: node.calls._draining)
    return request, stop


@pytest.mark.parametrize("stop_s", [0.8, 30.0], ids=["to-its-end", "ended-by-gate"])
async def test_request_that_may_outlast_the_stop_goes_elsewhere(stop_s):
    """A peer that has not heard of the stop opens a new link; the stop may cut it."""
    gate = asyncio.Event()
    backends = [await ScriptedBackend(make_slow_handler(gate)).start() for _ in "ab"]
    async with run_nodes(*backends) as (peer, stopping):
        apply_members([stopping], [stopping])
        apply_members([peer], [stopping])
        (_, writer), stop = await start_slow_stop(stopping, stop_s)
        answer = asyncio.ensure_future(peer.call("POST", "/pay"))
        if stop_s > 5:  # the limit of the route
            await until(lambda: backends[1].executions == 2)
            gate.set()
            assert (await answer).status == 200
        else:
            answer = await answer
            assert (answer.status, answer.outcome) == (503, "not-run")
            assert backends[1].executions == 1
            assert "n1" in peer.policy.board.leaving
        await stop
        writer.close()


async def test_late_peer_gets_short_work_done_by_a_stopping_node():
    gate = asyncio.Event()
    backends = [await ScriptedBackend(make_slow_handler(gate)).start() for _ in "ab"]
    async with run_nodes(*backends) as (peer, stopping):
        apply_members([stopping], [stopping])
        apply_members([peer], [stopping])
        (reader, writer), stop = await start_slow_stop(stopping, 10.0)
        headers = "Mangowell-Deadline-Ms: 500\r\n"
        assert (await peer.call(headers=headers)).status == 200
        gate.set()
        assert (await read_response(reader)).status == 200
        await stop
        writer.close()


async def test_stop_before_the_first_snapshot_ends_at_once():
    backend = await ScriptedBackend().start()
    async with run_nodes(backend) as (node,):
        other = type(node)("n9", backend)
        other.calls.pause_calls("joining")
        await other.calls.start()
        stop = asyncio.ensure_future(other.calls.stop(monotonic() + 30))
        await until(lambda: other.calls._draining)
        assert (await other.call()).outcome == "not-run"
        await asyncio.wait_for(stop, 5)
