"""Planned stops and the work that reaches a node after its stop has begun."""

import asyncio
from time import monotonic

import pytest

from mangowell_node import calls
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


async def test_stop_before_the_first_snapshot_ends_at_once(monkeypatch):
    # The call below must be read before the stop closes its connection.
    monkeypatch.setattr(calls, "DRAIN_LINGER_S", 3.0)
    backend = await ScriptedBackend().start()
    async with run_nodes(backend) as (node,):
        other = type(node)("n9", backend)
        other.calls.pause_calls("joining")
        await other.calls.start()
        stop = asyncio.ensure_future(other.calls.stop(monotonic() + 30))
        await until(lambda: other.calls._draining)
        assert (await other.call()).outcome == "not-run"
        await asyncio.wait_for(stop, 5)


@pytest.mark.parametrize("is_local", [True, False], ids=["local", "remote"])
async def test_second_stop_does_not_cut_what_the_first_one_awaits(is_local):
    gate = asyncio.Event()
    backends = [await ScriptedBackend(make_slow_handler(gate)).start() for _ in "ab"]
    async with run_nodes(*backends) as (peer, stopping):
        apply_members([peer, stopping], [stopping])
        ingress = stopping if is_local else peer
        reader, writer = await open_call(ingress.settings.call_port, target="/big")
        await until(lambda: backends[1].executions == 1)
        stops = [
            asyncio.ensure_future(stopping.calls.stop(monotonic() + 10))
            for _ in range(2)
        ]
        await asyncio.sleep(0.2)
        gate.set()
        answer = await asyncio.wait_for(read_response(reader), 5)
        assert (answer.status, answer.body) == (200, b"ok")
        await asyncio.gather(*stops)
        writer.close()


async def test_running_request_may_make_calls_while_its_node_stops():
    """The request fails if the calls that it needs are refused."""
    gate = asyncio.Event()
    own_node = None

    async def call_other_service(request):
        await gate.wait()
        name = request.headers["mangowell-request"]
        headers = f"Mangowell-Request: {name}\r\n"
        inner = await own_node.call(target="/", headers=headers)
        return make_answer(b"%d" % inner.status)

    backends = [
        await ScriptedBackend().start(),
        await ScriptedBackend(call_other_service).start(),
    ]
    async with run_nodes(*backends) as (peer, stopping):
        own_node = stopping
        apply_members([peer], [stopping])
        apply_members([stopping], [peer])
        reader, writer = await open_call(peer.settings.call_port, target="/big")
        await until(lambda: backends[1].executions == 1)
        stop = asyncio.ensure_future(stopping.calls.stop(monotonic() + 10))
        await until(lambda: stopping.calls._draining)
        gate.set()
        assert (await read_response(reader)).body == b"200"
        await stop
        writer.close()
