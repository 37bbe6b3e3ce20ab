"""Guards against requests that are lost when nodes stop one after another.

The node beside a worker gets SIGTERM while other nodes go on sending requests to that
worker, which itself keeps running. The grace period of these nodes is 3 s.
"""

import asyncio
import contextlib

import pytest

from mangowell_core.mesh import StoppingPeers, StopSchedule
from mesh.support_mesh import (
    answer_with_id,
    fill_slots,
    make_document,
    make_route,
    run_mesh,
    until,
)
from node.support_calls import make_answer

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


async def test_call_of_running_work_is_served_until_the_work_ends():
    """The worker beside a stopping node calls another service late in its work."""
    async with run_stopping_node() as (first, second):

        async def call_late(request):
            request_id = request.headers["request-id"]
            if "." not in request_id:
                await asyncio.sleep(0.9)
                inner = await second.call(request=f"{request_id}.1", timeout_ms=400)
                if inner.status != 200:
                    return make_answer(b"call failed", "500 Internal Server Error")
            return await answer_with_id()(request)

        second.worker.handler = call_late
        await asyncio.sleep(0.9)
        answer = await first.call(request="outer", timeout_ms=1300)
        assert answer.status == 200


async def test_caller_that_comes_after_the_linger_is_told_that_nothing_ran():
    async with run_stopping_node() as (_, second):
        await asyncio.sleep(1.8)
        answer = await second.call(request="after")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert answer.headers["connection"] == "close"
        assert "after" not in get_received_ids(second)


def test_repeated_notices_do_not_extend_the_time_of_a_stopping_node():
    """A notice that was delayed on its way states an end that is too late."""
    peers = StoppingPeers()
    peers.record("h", 105.0)
    peers.record("h", 105.4)
    assert not peers.may_finish("h", 105.2, now=101.0)
    assert peers.may_finish("h", 104.9, now=101.0)
    assert peers.may_finish("other", 109.0, now=101.0)


@pytest.mark.parametrize("is_announced", [False, True])
def test_node_that_has_restarted_is_used_again(is_announced):
    """It need not say so: a process that was to end has ended by then."""
    peers = StoppingPeers()
    peers.record("h", 105.0)
    if is_announced:
        peers.forget("h")
    now = 102.0 if is_announced else 105.0
    assert peers.may_finish("h", 109.0, now)
    assert not peers


@pytest.mark.parametrize(
    ("grace_s", "linger_s", "end_s"), [(6.0, 2.8, 5.5), (5.0, 2.5, 4.5), (3, 1.5, 2.5)]
)
def test_short_grace_period_leaves_time_to_finish_after_the_linger(
    grace_s, linger_s, end_s
):
    schedule = StopSchedule.from_grace(grace_s, 100.0)
    assert schedule.linger_deadline == 100.0 + linger_s
    assert schedule.deadline == 100.0 + end_s
    assert schedule.linger_deadline < schedule.caller_deadline < schedule.deadline
