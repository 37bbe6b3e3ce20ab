"""Guards against 502 and 504 for requests that have reached no worker.

Callers may not repeat those that are not idempotent: 468 were seen in one day.
"""

import asyncio
import random
from time import monotonic

import pytest

from mangowell_node.mesh import runner as runner_module
from mangowell_node.mesh.runner import QUEUE_MARGIN_S
from mesh.support_mesh import (
    answer_with_id,
    fill_slots,
    make_document,
    make_request,
    make_route,
    run_mesh,
    until,
)
from node.support_calls import read_response

PAY = ("/pay/1", "POST", b"x")


def expect_short_work(machine):
    """Let the queue keep requests until their deadline."""
    means = machine.node.runner.admission._mean_work_s
    means |= dict.fromkeys(("r1", "r2", "fill"), 0.0)


async def link_to_full_worker(machines):
    """Return a node that sends to the worker of the second machine, whose slots run.

    With one machine, that is its own worker.
    """
    first, last = machines[0], machines[-1]
    await until(lambda: len(first.node._links.links) == len(machines) - 1)
    if len(machines) > 1:
        fill_slots(first, waiting=200)
    expect_short_work(last)
    fill_slots(last)
    return first, last


@pytest.mark.parametrize("count", [1, 2])
async def test_request_that_waits_until_its_deadline_is_answered_503(count):
    async with run_mesh(count) as (_, machines):
        first, last = await link_to_full_worker(machines)
        answer = await first.call(*PAY, timeout_ms=300)
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert not last.worker.received


@pytest.mark.parametrize("count", [1, 2])
async def test_request_that_starts_just_before_its_deadline_is_not_answered_503(count):
    """Guards against "not run" for a request that the worker runs at that moment."""
    async with run_mesh(count) as (_, machines):
        first, last = await link_to_full_worker(machines)

        async def work(request):
            await asyncio.sleep(1)

        last.worker.handler = work
        rng = random.Random(1)
        statuses = set()
        for number in range(24):
            admission = last.node.runner.admission
            request = f"n{number}"
            started = monotonic()
            call = asyncio.create_task(
                first.call(*PAY, request=request, timeout_ms=150)
            )
            ends_at = started + 0.15 - QUEUE_MARGIN_S + rng.uniform(-0.01, 0.04)
            await asyncio.sleep(ends_at - monotonic())
            ticket = next(iter(admission._running))
            last.node.runner._release(ticket, False)
            answer = await call
            await asyncio.sleep(0.02)
            has_arrived = any(
                r.headers["request-id"] == request for r in last.worker.received
            )
            statuses.add((answer.status, has_arrived))
            now = monotonic()
            while admission.running < 4:
                admission.offer(f"again-{number}", "fill", 0, 0.0, now + 9, now)
        assert (503, True) not in statuses
        assert {status for status, _ in statuses} == {503, 504}


async def test_request_that_waits_for_a_link_until_its_deadline_is_answered_503():
    async with run_mesh(2) as (_, (first, second)):
        fill_slots(first, waiting=200)

        async def never_open(host, port, deadline):
            await asyncio.sleep(5)

        first.node._links.connect = never_open
        answer = await first.call(*PAY, timeout_ms=300)
        assert answer.status == 503
        assert not second.worker.received


async def test_deadline_after_a_refusal_of_a_worker_is_answered_503():
    """An attempt that the worker did not run counted as one that may have run."""
    async with run_mesh(2) as (_, (first, second)):
        seen = []

        async def refuse(request):
            seen.append(request)
            attempts = first.node.gateway.attempts
            attempts.prober.select_worker = wait
            return await answer_with_id(b"", "503 Full", "Not-Executed: 1\r\n")(request)

        async def wait(state):
            await asyncio.sleep(5)

        for machine in (first, second):
            machine.worker.handler = refuse
        answer = await first.call(*PAY, timeout_ms=300)
        assert (answer.status, len(seen)) == (503, 1)


async def test_deadline_after_a_lost_attempt_is_not_answered_503():
    async with run_mesh(2) as (_, (first, second)):

        async def abort(request):
            first.node.gateway.attempts.prober.select_worker = wait
            request.writer.transport.abort()

        async def wait(state):
            await asyncio.sleep(5)

        for machine in (first, second):
            machine.worker.handler = abort
        answer = await first.call(timeout_ms=300)
        assert answer.status in (502, 504)


async def test_body_that_arrives_too_slowly_is_answered_503():
    routes = {"r1": make_route(timeout="300ms")}
    async with run_mesh(document=make_document(1, routes)) as (_, (machine,)):
        reader, writer = await machine.connect()
        writer.write(make_request(body=b"0123456789", method="POST")[:-5])
        answer = await read_response(reader)
        writer.close()
        assert answer.status == 503
        assert not machine.worker.received


async def test_queue_margin_does_not_end_a_request_that_runs(monkeypatch):
    """A request that had started was refused 30 ms before its deadline as not run."""
    timeout_ms = 3000
    monkeypatch.setattr(runner_module, "QUEUE_MARGIN_S", 2.5)
    routes = {"r1": make_route(timeout=f"{timeout_ms}ms")}
    async with run_mesh(document=make_document(1, routes)) as (_, (machine,)):

        async def work(request):
            # The margin begins 0.5 s after the request has arrived.
            await asyncio.sleep(0.8)
            return await answer_with_id()(request)

        machine.worker.handler = work
        answer = await machine.call(method="POST", timeout_ms=timeout_ms)
        assert answer.status == 200
