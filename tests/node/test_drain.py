"""Planned stops: requests in flight complete, and new calls go elsewhere (I8)."""

import asyncio
from time import monotonic

import pytest

from mangowell_core.messages import Leaving
from node.support_calls import (
    ScriptedBackend,
    apply_members,
    make_answer,
    open_call,
    read_response,
    run_nodes,
    until,
)


def make_gated_handler(gate, body=b"ok"):
    async def handler(request):
        if request.target == "/slow-answer":
            await gate.wait()
        return make_answer(body)

    return handler


@pytest.mark.parametrize("stops_ingress", [True, False], ids=["local", "remote"])
@pytest.mark.parametrize("size", [2, 1_000_000])
async def test_stop_finishes_requests_in_flight(stops_ingress, size):
    gate = asyncio.Event()
    body = b"x" * size
    backends = [
        await ScriptedBackend(make_gated_handler(gate, body)).start() for _ in range(2)
    ]
    async with run_nodes(*backends) as nodes:
        ingress, stopping = nodes[0], nodes[0 if stops_ingress else 1]
        apply_members([ingress], [stopping])
        reader, writer = await open_call(
            ingress.settings.call_port,
            target="/slow-answer",
            headers="Mangowell-Deadline-Ms: 60000\r\n",
        )
        await until(lambda: stopping.backend.executions == 1)
        stop = asyncio.ensure_future(stopping.calls.stop(monotonic() + 30))
        await asyncio.sleep(0.02)
        gate.set()
        answer = await read_response(reader)
        assert answer.complete and answer.body == body
        writer.close()
        await stop


async def test_stopping_node_refuses_a_call_and_names_another_node():
    gate = asyncio.Event()
    backends = [
        await ScriptedBackend(make_gated_handler(gate)).start() for _ in range(2)
    ]
    async with run_nodes(*backends) as (first, second):
        apply_members([first], [first])
        reader, writer = await open_call(
            first.settings.call_port,
            target="/slow-answer",
            headers="Mangowell-Deadline-Ms: 60000\r\n",
        )
        await until(lambda: first.backend.executions == 1)
        apply_members([first], [first, second])
        stop = asyncio.ensure_future(first.calls.stop(monotonic() + 30))
        await asyncio.sleep(0)
        answer = await first.call()
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert int(answer.headers["retry-after"]) >= 1
        host, _, port = answer.headers["mangowell-alternate"].partition(":")
        assert (host, int(port)) == ("127.0.0.1", second.settings.call_port)
        assert (await second.call()).status == 200
        gate.set()
        assert (await read_response(reader)).body == b"ok"
        writer.close()
        await stop


async def test_peers_send_no_requests_to_a_stopping_node():
    backends = [await ScriptedBackend().start() for _ in range(2)]
    async with run_nodes(*backends) as (first, second):
        for _ in range(10):
            await second.call()
        stop = asyncio.ensure_future(first.calls.stop(monotonic() + 30))
        await until(lambda: "n0" in second.policy.board.leaving)
        assert ("n1", Leaving("n0")) in first.sent
        before = backends[0].executions
        answers = [await second.call() for _ in range(20)]
        assert {a.status for a in answers} == {200}
        assert backends[0].executions == before
        await stop


async def test_no_call_is_lost_or_doubled_while_a_node_stops():
    backends = [await ScriptedBackend().start() for _ in range(3)]
    async with run_nodes(*backends) as (ingress, second, third):
        apply_members([ingress], [second, third])
        stop = None
        for number in range(120):
            if number == 40:
                stop = asyncio.ensure_future(second.calls.stop(monotonic() + 30))
            answer = await ingress.call("POST", "/pay", body=b"%d" % number)
            assert (answer.status, answer.outcome) == (200, "done")
        await stop
        bodies = [r.body for b in backends for r in b.received]
        assert sorted(bodies) == sorted(b"%d" % n for n in range(120))


async def test_stop_cancels_requests_at_its_deadline():
    async def never_answer(request):
        await asyncio.sleep(60)

    backend = await ScriptedBackend(never_answer).start()
    async with run_nodes(backend) as (node,):
        _, writer = await open_call(node.settings.call_port, "POST", "/pay")
        await until(lambda: backend.executions == 1)
        async with asyncio.timeout(10):
            await node.calls.stop(monotonic() + 0.3)
        await asyncio.wait_for(backend.received[0].cancelled.wait(), 5)
        writer.close()


async def test_draining_backend_server_gets_no_new_work_within_3_s():
    """The backend server reports that it leaves, while its node keeps running (I7)."""
    backends = [await ScriptedBackend().start() for _ in range(2)]
    async with run_nodes(*backends) as (first, second):
        await second.call()
        backends[0].health = "leaving"
        async with asyncio.timeout(3):
            for node in (first, second):
                await until(lambda s=node: "n0" in s.policy.board.leaving)
        before = backends[0].executions
        for node in (first, second):
            assert {(await node.call()).status for _ in range(10)} == {200}
        assert backends[0].executions == before
