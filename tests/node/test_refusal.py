"""Tests the outcome that a node reports when it answers a call itself (I5)."""

import asyncio

import pytest

from mangowell_core.model import Service
from mangowell_node.link import LinkServer
from node.support_calls import (
    ScriptedBackend,
    apply_members,
    make_answer,
    open_call,
    read_response,
    run_nodes,
    until,
)


async def hang(request):
    await asyncio.sleep(60)


async def check_refused(node, backend, status, **request):
    answer = await node.call(**request)
    assert (answer.status, answer.outcome) == (status, "not-run")
    assert backend.executions == 0
    assert answer.complete
    return answer


@pytest.mark.parametrize(
    "status,request_",
    [
        (400, {"headers": "Mangowell-Deadline-Ms: soon\r\n"}),
        (504, {"headers": "Mangowell-Deadline-Ms: 0\r\n"}),
        (404, {"target": "/.mangowell/other"}),
        (400, {"headers": "A: b\r\n c\r\n"}),
        (400, {"headers": "Content-Length: x\r\n"}),
    ],
    ids=["deadline-format", "deadline-passed", "internal", "folded", "length"],
)
async def test_refused_request_reaches_no_backend_server(status, request_):
    backend = await ScriptedBackend().start()
    async with run_nodes(backend) as (node,):
        await check_refused(node, backend, status, **request_)


async def test_paused_node_refuses_with_another_address():
    backends = [await ScriptedBackend().start() for _ in range(2)]
    async with run_nodes(*backends) as (node, other):
        node.calls.pause_calls("joining")
        answer = await check_refused(node, backends[0], 503)
        assert int(answer.headers["retry-after"]) >= 1
        port = other.settings.call_port
        assert answer.headers["mangowell-alternate"] == f"127.0.0.1:{port}"
        node.calls.resume_calls()
        assert (await node.call()).status == 200


@pytest.mark.parametrize("method,target", [("GET", "/"), ("POST", "/pay")])
async def test_refused_backend_connection_is_not_run(method, target):
    backend = await ScriptedBackend().start()
    async with run_nodes(backend) as (node,):
        backend.crash()
        await check_refused(node, backend, 503, method=method, target=target)


async def test_unreachable_node_is_not_run():
    backends = [await ScriptedBackend().start() for _ in range(2)]
    async with run_nodes(*backends) as (node, other):
        apply_members([node], [other])
        node.reach.cut.add(other.settings.link_port)
        await check_refused(node, backends[1], 503, method="POST", target="/pay")


async def test_full_queue_is_not_run():
    backend = await ScriptedBackend(hang).start()
    service = Service("orders", slots=1, connections=4, queue_limit=1)
    async with run_nodes(backend, service=service) as (node,):
        writers = []
        for _ in range(2):
            _, writer = await open_call(node.settings.call_port, "POST", "/pay")
            writers.append(writer)
            await until(lambda: node.policy.in_flight() == len(writers))
        answer = await node.call("POST", "/pay")
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert backend.executions == 1
        for writer in writers:
            writer.close()
        await until(lambda: node.policy.in_flight() == 0)


async def test_deadline_that_passes_in_the_queue_is_not_run():
    backend = await ScriptedBackend(hang).start()
    service = Service("orders", slots=1, connections=4, queue_limit=4)
    async with run_nodes(backend, service=service) as (node,):
        _, writer = await open_call(node.settings.call_port, "POST", "/pay")
        await until(lambda: backend.executions == 1)
        answer = await node.call(
            "POST", "/pay", headers="Mangowell-Deadline-Ms: 100\r\n"
        )
        # The policy may refuse at once if the queue is too long for the deadline.
        assert answer.status in (503, 504)
        assert answer.outcome == "not-run"
        assert backend.executions == 1
        writer.close()


async def close_before_answer(request):
    request.writer.transport.abort()


async def close_in_head(request):
    request.writer.write(b"HTTP/1.1 200 OK\r\nContent-")


async def close_in_body(request):
    request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345")


@pytest.mark.parametrize("is_local", [True, False], ids=["local", "remote"])
@pytest.mark.parametrize(
    "handler", [close_before_answer, close_in_head, close_in_body, hang]
)
async def test_written_request_is_never_reported_as_not_run(handler, is_local):
    """A caller that receives ``not-run`` would repeat a request that may have run."""
    backends = [await ScriptedBackend(handler).start() for _ in range(2)]
    async with run_nodes(*backends) as nodes:
        node = nodes[0]
        target = node if is_local else nodes[1]
        apply_members([node], [target])
        answer = await node.call(
            "POST", "/pay", headers="Mangowell-Deadline-Ms: 500\r\n", body=b"x"
        )
        assert answer.status in (502, 504)
        assert answer.outcome == "unknown"
        assert target.backend.executions == 1


async def test_link_cut_after_the_request_is_unknown():
    """A request lost with its link may have run and must be cancelled."""
    backends = [await ScriptedBackend(hang).start() for _ in range(2)]
    async with run_nodes(*backends) as (node, other):
        apply_members([node], [other])
        reader, writer = await open_call(node.settings.call_port, "POST", "/pay")
        await until(lambda: other.backend.executions == 1)
        server: LinkServer = other.calls._link_server
        for link in list(server.links):
            link.transport.abort()
        answer = await read_response(reader)
        assert (answer.status, answer.outcome) == (502, "unknown")
        await asyncio.wait_for(other.backend.received[0].cancelled.wait(), 5)
        writer.close()


async def test_every_kind_of_answer_carries_an_outcome():
    """An outcome header from the backend server must not replace that of the node."""

    async def handler(request):
        status = {"/500": "500 Oops", "/404": "404 None"}.get(request.target, "200 OK")
        return make_answer(b"x", status, "Mangowell-Outcome: not-run\r\n")

    backend = await ScriptedBackend(handler).start()
    async with run_nodes(backend) as (node,):
        for target, outcome in [("/", "done"), ("/404", "done"), ("/500", "failed")]:
            answer = await node.call(target=target)
            assert answer.outcome == outcome
