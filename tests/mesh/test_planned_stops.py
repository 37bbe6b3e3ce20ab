"""Guards against requests that are lost when nodes stop one after another.

The node beside a worker gets SIGTERM while other nodes go on sending requests to that
worker, which itself keeps running. The grace period of these nodes is 3 s.
"""

import asyncio
import contextlib

from mesh.support_mesh import (
    answer_with_id,
    fill_slots,
    make_document,
    make_route,
    run_mesh,
    until,
)

WORK_S = 0.9


def work_for(seconds):
    """Return a handler that answers after a time."""

    async def handle(request):
        await asyncio.sleep(seconds)
        return await answer_with_id()(request)

    return handle


def get_received_ids(machine):
    return {request.headers["request-id"] for request in machine.worker.received}


@contextlib.asynccontextmanager
async def run_stopping_node():
    """Run two nodes and stop the second, whose worker is the only one with slots.

    A request of its own caller keeps the second node from stopping before the end of
    the grace period.
    """
    routes = {"r1": make_route(), "long": make_route("/long/", timeout="9000ms")}
    async with run_mesh(2, make_document(routes=routes)) as (_, machines):
        first, second = machines
        await until(lambda: first.node._links.links)
        fill_slots(first, waiting=200)
        started = asyncio.Event()

        async def work_until_the_end(request):
            started.set()
            await asyncio.sleep(9)

        second.worker.handler = work_until_the_end
        held = asyncio.create_task(
            second.call("/long/1", request="held", timeout_ms=9000)
        )
        await started.wait()
        second.worker.handler = work_for(WORK_S)
        stop = asyncio.create_task(second.node.stop())
        try:
            yield first, second
        finally:
            await stop
            second.node = None
            await asyncio.gather(held, return_exceptions=True)


async def test_link_opened_after_sigterm_brings_no_request_that_is_cut():
    """Other nodes open a link again as soon as a stopping node has closed it."""
    async with run_stopping_node() as (first, second):
        await asyncio.sleep(2.0)
        answer = await first.call(request="late")
        assert answer.status == 503
        assert "late" not in get_received_ids(second)


async def test_stopping_node_refuses_a_request_that_it_may_have_to_cut():
    """A request with 1.5 s left is not accepted 1.3 s before the node ends."""
    async with run_stopping_node() as (first, second):
        await asyncio.sleep(1.2)
        answer = await first.call(request="too-long")
        assert answer.status == 503
        assert "too-long" not in get_received_ids(second)


async def test_stopping_node_finishes_a_short_request_of_another_node():
    """Its worker runs on, so refusing all work would waste the slots of the worker."""
    async with run_stopping_node() as (first, _):
        await asyncio.sleep(0.6)
        answer = await first.call(request="short")
        assert answer.status == 200
