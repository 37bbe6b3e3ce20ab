"""Guards against work that a stopping node, or one that has restarted, loses.

The grace period of these nodes is 3 s: a stopping node accepts requests for 1.5 s
and ends after 2.5 s.
"""

import asyncio
import contextlib
import socket

import msgspec
import pytest

from mangowell_core.mesh.model import StatusNotice
from mangowell_node.mesh.notices import encode_notice
from mesh.support_mesh import (
    answer_with_id,
    fill_slots,
    make_document,
    make_request,
    make_route,
    run_mesh,
    until,
)
from node.support_calls import make_answer, read_response


@contextlib.asynccontextmanager
async def run_two_nodes():
    """Run two linked nodes, of which only the worker of the second has slots."""
    long_route = make_route(
        "/long/", timeout="9000ms", **{"target-latency": "9000ms", "max-attempts": 1}
    )
    routes = {"r1": make_route(), "long": long_route}
    async with run_mesh(2, make_document(routes=routes)) as (store, machines):
        first, second = machines
        first.store = store
        await until(lambda: first.node._links.links and second.node._links.links)
        fill_slots(first, waiting=200)
        yield first, second


@contextlib.asynccontextmanager
async def stop_node(machine):
    """Stop the node of a machine, and wait for its end on leaving the context."""
    node, machine.node = machine.node, None
    stop = asyncio.create_task(node.stop())
    try:
        yield stop
    finally:
        await stop


def make_call_during(machine, delay_s=0.0):
    """Return a handler that calls through the node beside the worker."""

    async def handle(request):
        request_id = request.headers["request-id"]
        if request_id.endswith(".inner"):
            return await answer_with_id()(request)
        await asyncio.sleep(delay_s)
        try:
            answer = await machine.call(request=f"{request_id}.inner", timeout_ms=400)
        except OSError as exc:
            return make_answer(str(exc).encode(), "500 Internal Server Error")
        if answer.status != 200:
            return make_answer(answer.body, "500 Internal Server Error")
        return await answer_with_id()(request)

    return handle


async def start_requests(first, second, running_work_s, waiting_work_s):
    """Send requests for all slots of the second worker, and one that waits there."""

    async def work(request):
        is_waiting = request.headers["request-id"] == "waiting"
        await asyncio.sleep(waiting_work_s if is_waiting else running_work_s)
        return await answer_with_id()(request)

    def start(request_id):
        call = first.call("/long/1", request=request_id, timeout_ms=9000)
        return asyncio.create_task(call)

    second.worker.handler = work
    running = [start(f"r{n}") for n in range(4)]
    await until(lambda: len(second.worker.received) == 4)
    waiting = start("waiting")
    await until(lambda: second.node.runner.admission.waiting == 1)
    return running, waiting


async def test_request_that_starts_after_the_linger_can_make_calls():
    """A slow upload, or an attempt elsewhere that was refused, delays the start.

    The worker is idle when the linger ends, so that nothing of this request shows
    there.
    """
    async with run_two_nodes() as (_, second):
        second.worker.handler = make_call_during(second)
        reader, writer = await second.connect()
        async with stop_node(second):
            await asyncio.sleep(1.0)
            message = make_request(
                method="POST", body=b"0123456789", request="slow", timeout_ms=2000
            )
            writer.write(message[:-5])
            await asyncio.sleep(0.8)
            writer.write(message[-5:])
            answer = await read_response(reader)
            writer.close()
        assert answer.status == 200


@pytest.mark.parametrize("request_id", ["outer", "outer.1"])
async def test_work_that_is_itself_a_call_can_make_calls_after_the_linger(request_id):
    """The id of a call in a call has two separators."""
    async with run_two_nodes() as (first, second):
        second.worker.handler = make_call_during(second, 0.9)
        async with stop_node(second):
            await asyncio.sleep(0.9)
            answer = await first.call(request=request_id, timeout_ms=1400)
        assert answer.status == 200


async def test_request_that_waits_at_sigterm_does_not_start_to_be_cut():
    """Its time limit was compared with the end of the node only when it arrived."""
    async with run_two_nodes() as (first, second):
        running, waiting = await start_requests(first, second, 1.4, 9)
        async with stop_node(second):
            answer = await waiting
            await asyncio.gather(*running)
        assert answer.status == 503
        received = {r.headers["request-id"] for r in second.worker.received}
        assert "waiting" not in received


async def test_caller_whose_request_waits_at_sigterm_gets_an_answer():
    """Only requests that arrive after SIGTERM are limited to the end of the node."""
    async with run_two_nodes() as (_, second):
        fill_slots(second)
        waiting = asyncio.create_task(
            second.call("/long/1", request="waiting", timeout_ms=9000)
        )
        await until(lambda: second.node.runner.admission.waiting == 1)
        async with stop_node(second):
            answer = await waiting
        assert answer.status == 503
        assert not second.worker.received


async def test_request_that_waits_when_its_worker_is_removed_does_not_start_later():
    """Entries of some workers are removed without having been `draining` before.

    Requests must not reach such a worker later than `drain` (2 s) after that.
    """
    async with run_two_nodes() as (first, second):
        running, waiting = await start_requests(first, second, 2.6, 0)
        first.store.delete(f"servers/{second.id}")
        await until(lambda: second.node.runner.local_worker is None)
        answer = await waiting
        await asyncio.gather(*running)
        assert answer.status == 503
        received = {r.headers["request-id"] for r in second.worker.received}
        assert "waiting" not in received


@pytest.mark.parametrize(("grace_s", "work_s"), [(1.0, 0.6), (2.0, 1.52)])
async def test_short_grace_period_is_not_spent_on_closing(grace_s, work_s):
    """A caller gets 504 for work that ends well before the grace period does.

    Requests that are broken off count as lost before the last sixth of the period.
    """
    async with run_two_nodes() as (_, second):

        async def work(request):
            await asyncio.sleep(work_s)
            return await answer_with_id()(request)

        second.worker.handler = work
        settings = msgspec.structs.replace(second.settings, grace_s=grace_s)
        second.node.reload(settings)
        async with stop_node(second):
            answer = await second.call(timeout_ms=1900)
        assert answer.status == 200


async def test_restarted_node_is_used_as_soon_as_a_link_to_it_is_open():
    """Its new process may listen long before the end that the old one announced."""
    async with run_two_nodes() as (first, second):
        async with stop_node(second):
            pass
        peers = first.node.gateway.attempts.prober.stopping_peers
        assert peers
        await second.start()
        links, address = first.node._links, (second.host, second.link_port)
        await until(lambda: (link := links.get_link(*address)) and link.is_usable)
        await until(lambda: len(second.node.directory) == 2)
        answer = await first.call(timeout_ms=1500)
        assert answer.status == 200


async def test_stopping_node_that_states_no_end_gets_no_request():
    """An older build says only that it leaves, and cuts what runs at its end."""
    async with run_two_nodes() as (first, second):
        (link,) = second.node._link_server.links
        notice = StatusNotice("node-2", 0, True, 0, 4, True, False, 100.0)
        link.send_notice(encode_notice(notice))
        peers = first.node.gateway.attempts.prober.stopping_peers
        await until(lambda: peers)
        answer = await first.call()
        assert answer.status == 503
        assert not second.worker.received


@pytest.mark.parametrize("sends_next_request", [False, True])
async def test_last_answer_of_a_stopping_node_arrives_whole(sends_next_request):
    """A connection that is closed with unread bytes is reset, and the answer cut.

    The caller sends its next request before it has read the answer, which states
    `Connection: close`.
    """
    body = b"x" * 600_000
    async with run_two_nodes() as (_, second):
        second.worker.handler = answer_with_id(body)
        reader, writer = await second.connect()
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        writer.transport.pause_reading()
        async with stop_node(second):
            writer.write(make_request(request="a"))
            await until(lambda: second.worker.received)
            await asyncio.sleep(0.3)
            if sends_next_request:
                writer.write(make_request(request="b"))
            await asyncio.sleep(0.3)
            writer.transport.resume_reading()
            answer = await read_response(reader)
            writer.close()
        assert answer.complete and answer.body == body
