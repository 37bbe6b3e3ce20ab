"""Replays of failures that operators of similar systems have reported.

Each test runs real nodes on loopback sockets. The failures are: a late second copy of
an answer, requests cut off by a planned stop, entries that come back after a restart,
running work given up for silence, work repeated or denied after a lost answer, and an
answer that breaks off but looks complete.
"""

import asyncio
import itertools
import random
from time import monotonic
from types import SimpleNamespace

import pytest

from mangowell_core.mesh import RetryBudget
from mangowell_node.link.frames import SILENT_AFTER_S
from mesh.support_mesh import (
    answer_with_id,
    fill_slots,
    make_document,
    make_request,
    make_route,
    run_mesh,
    until,
)
from mesh.test_work_at_stopping_nodes import stop_node
from node.support_calls import make_answer, read_response

PAY = ("/pay/1", "POST", b"x")


def frame(request_id, body, framing):
    """Return a complete answer in the given framing."""
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
    if framing == "length":
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
    chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + chunk


# A late second copy of an answer


@pytest.mark.parametrize("split", [False, True])
@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("when", ["while-idle", "before-next", "within-next"])
async def test_late_copy_of_an_answer_reaches_no_other_caller(framing, split, when):
    """Prevented by the ids of answers, and as bytes on idle connections close them."""
    async with run_mesh() as (_, (machine,)):
        previous = []

        async def write_copy(writer):
            copy = frame(previous[-1], b"for " + previous[-1].encode(), framing)
            parts = (copy[:30], copy[30:]) if split else (copy,)
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.005)

        async def handle(request):
            request_id = request.headers["request-id"]
            if previous and when != "while-idle":
                await write_copy(request.writer)
            previous.append(request_id)
            if when == "while-idle":
                writer = request.writer
                asyncio.get_running_loop().call_later(
                    0.002, lambda: asyncio.ensure_future(write_copy(writer))
                )
            answer = frame(request_id, b"for " + request_id.encode(), framing)
            if when != "within-next":
                return answer
            request.writer.write(answer[:20])
            await request.writer.drain()
            await asyncio.sleep(0.005)
            return answer[20:]

        machine.worker.handler = handle
        for number in range(6):
            request_id = f"n{number}"
            answer = await machine.call(request=request_id)
            # A chunked copy has no known end, so the request may fail instead.
            assert answer.status in (200, 502)
            if answer.status == 200:
                assert answer.body == b"for " + request_id.encode()
            await asyncio.sleep(0.005)


# Requests cut off by a planned stop


async def test_planned_stop_under_load_answers_every_request_that_was_read():
    """New connections keep coming until the process is gone, some pipelined."""
    async with run_mesh(2) as (_, machines):
        first, _ = machines

        async def answer_slowly(request):
            await asyncio.sleep(0.02)
            return await answer_with_id()(request)

        for machine in machines:
            machine.worker.handler = answer_slowly
        numbers = itertools.count()
        outcomes = []

        async def call_until_gone():
            while True:
                request_ids = [f"c{next(numbers)}" for _ in range(2)]
                try:
                    reader, writer = await first.connect()
                except OSError:
                    return
                for request_id in request_ids:
                    writer.write(make_request(*PAY, request=request_id))
                for request_id in request_ids:
                    try:
                        answer = await read_response(reader)
                        outcomes.append((request_id, answer.status, answer.complete))
                    except (OSError, EOFError):
                        outcomes.append((request_id, 0, False))
                writer.close()

        callers = [asyncio.create_task(call_until_gone()) for _ in range(8)]
        await until(lambda: len(outcomes) > 50)
        await first.node.stop()
        first.node = None
        await asyncio.gather(*callers)
        executed = [
            request.headers["request-id"]
            for machine in machines
            for request in machine.worker.received
        ]
        assert len(executed) == len(set(executed))
        unanswered = {
            name for name, status, whole in outcomes if not (status and whole)
        }
        assert sorted(unanswered & set(executed)) == []
        refused = {name for name, status, _ in outcomes if status == 503}
        assert not refused & set(executed)


# Entries that come back after a restart


async def test_restarted_node_uses_no_worker_or_route_that_was_withdrawn():
    """It starts with nothing of its own and takes the highest revision it finds."""
    async with run_mesh(3) as (store, machines):
        first, second, third = machines
        store.put("op/config", make_document(version=7, routes=None))
        store.delete(f"servers/{third.id}")
        await until(lambda: all(len(m.node.directory) == 2 for m in machines))
        await until(
            lambda: all(m.node.directory.document.version == 7 for m in machines)
        )
        await first.node.stop()
        await first.start()
        await until(lambda: first.node.directory.document is not None)
        for number in range(20):
            assert first.node.directory.document.version == 7
            answer = await first.call(request=f"n{number}")
            assert answer.status == 200
        assert not third.worker.received
        assert second.node.directory.document.version == 7


# Work repeated or denied after a lost answer, and answers that break off


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("is_remote", [False, True])
async def test_answer_cut_at_any_byte_is_neither_repeated_nor_denied(
    framing, is_remote
):
    """The outcome of such a request is unknown, and its answer must not look whole."""
    body = b"paid"
    whole = frame("id-000", body, framing)
    async with run_mesh(2 if is_remote else 1) as (_, machines):
        first, last = machines[0], machines[-1]
        if is_remote:
            await until(lambda: first.node._links.links)
            # Only the worker beside the other node is left for the requests.
            fill_slots(first, waiting=200)
        for cut in range(len(whole)):
            request_id = f"id-{cut:03}"
            answer_bytes = frame(request_id, body, framing)[:cut]

            async def cut_off(request, answer_bytes=answer_bytes):
                request.writer.write(answer_bytes)
                await request.writer.drain()
                request.writer.close()

            last.worker.handler = cut_off
            executed = last.worker.executions
            answer = await first.call(*PAY, request=request_id)
            assert last.worker.executions == executed + 1
            assert answer.status in (502, 504) or not answer.complete


@pytest.mark.parametrize("status", ["204 No Content", "304 Not Modified"])
async def test_answers_without_a_body_are_complete(status):
    async with run_mesh() as (_, (machine,)):

        async def handle(request):
            request_id = request.headers["request-id"]
            return f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n\r\n".encode()

        machine.worker.handler = handle
        for number in range(3):
            answer = await machine.call(request=f"n{number}")
            assert answer.status == int(status[:3])
        assert machine.worker.connections == 1


async def test_node_killed_between_run_and_answer_leaves_the_outcome_unknown():
    """The worker runs the payment; the node beside it dies before the answer."""
    async with run_mesh(2) as (_, machines):
        first, second = machines
        await until(lambda: first.node._links.links)
        fill_slots(first, waiting=200)
        started = asyncio.Event()

        async def run_long(request):
            started.set()
            await asyncio.sleep(5)
            return make_answer(b"late")

        second.worker.handler = run_long
        call = asyncio.create_task(first.call(*PAY))
        await started.wait()
        await second.node.abort()
        second.node = None
        answer = await call
        assert answer.status == 502
        assert first.worker.executions + second.worker.executions == 1


# Running work given up for silence


async def test_payment_at_a_node_that_is_silent_for_a_while_is_not_given_up():
    """A paused node answers no ping; its running payment still ends well."""
    async with run_mesh(2) as (_, machines):
        first, second = machines
        await until(lambda: first.node._links.links)
        fill_slots(first, waiting=200)
        started = asyncio.Event()

        async def run(request):
            started.set()
            await asyncio.sleep(0.3)
            return await answer_with_id(b"paid")(request)

        second.worker.handler = run
        call = asyncio.create_task(first.call(*PAY))
        await started.wait()
        links = list(second.node._link_server.links)
        for link in links:
            link.transport.pause_reading()
        await asyncio.sleep(1.0)
        for link in links:
            link.transport.resume_reading()
        answer = await call
        assert (answer.status, answer.body) == (200, b"paid")
        assert first.worker.executions + second.worker.executions == 1


def silence_link(first, second):
    """Let no byte of the second node reach the first one.

    Returns
    -------
    transport : asyncio.Transport
        Its reading may be resumed.
    is_reported : asyncio.Event
        Set when the link reports its silence to the requests on it.
    """
    link = first.node._links.get_link(second.host, second.link_port)
    link.transport.pause_reading()
    is_reported = asyncio.Event()
    on_silent = link.on_silent

    def report(link):
        is_reported.set()
        on_silent(link)

    link.on_silent = report
    return link.transport, is_reported


def set_no_budget(mesh):
    mesh.first.node.gateway.attempts.budget = RetryBudget(0, 0, 10, random.Random(1))


def expect_long_work(mesh):
    mesh.first.node.gateway.attempts.placement._route_work_s["r1"] = 30.0


def withdraw_other_worker(mesh):
    mesh.store.delete(f"servers/{mesh.other.id}")


def fill_other_worker(mesh):
    fill_slots(mesh.other, waiting=200)


@pytest.mark.parametrize(
    ("max_attempts", "forbid_repeat"),
    [
        pytest.param(1, lambda mesh: None, id="attempt-limit"),
        pytest.param(2, set_no_budget, id="retry-budget"),
        pytest.param(2, expect_long_work, id="no-time"),
        pytest.param(2, withdraw_other_worker, id="no-worker"),
        pytest.param(2, fill_other_worker, id="all-refuse"),
    ],
)
async def test_silence_does_not_end_running_work_that_cannot_be_repeated(
    max_attempts, forbid_repeat
):
    """Guards against a 504 for a safe request whose worker goes on working.

    The request was given up after 0.8 s of silence to be repeated, and only then did
    the node find out that no repeat was possible.
    """
    document = make_document(
        routes={"r1": make_route(**{"max-attempts": max_attempts})}
    )
    async with run_mesh(3, document) as (store, machines):
        first = machines[0]
        await until(lambda: len(first.node._links.links) == 2)
        fill_slots(first, waiting=200)
        started, finish = asyncio.Queue(), asyncio.Event()

        def make_handler(machine):
            async def run(request):
                started.put_nowait(machine)
                await finish.wait()
                return await answer_with_id(b"done")(request)

            return run

        for machine in machines[1:]:
            machine.worker.handler = make_handler(machine)
        call = asyncio.create_task(first.call(timeout_ms=1900))
        silent = await started.get()
        (other,) = {*machines[1:]} - {silent}
        forbid_repeat(SimpleNamespace(store=store, first=first, other=other))
        transport, is_reported = silence_link(first, silent)
        await is_reported.wait()
        # Time to give the request up; far less than the rest until the link is lost.
        await asyncio.sleep(0.1)
        transport.resume_reading()
        finish.set()
        answer = await call
        assert (answer.status, answer.body) == (200, b"done")
        assert started.empty()


async def test_stopping_node_does_not_give_up_running_work_for_silence():
    """Guards against a request that is given up while its worker is at work.

    The worker that was to repeat it might refuse, and the caller of a node that stops
    then got 504 before the time limit.
    """
    async with run_mesh(3) as (_, machines):
        first = machines[0]
        await until(lambda: len(first.node._links.links) == 2)
        fill_slots(first, waiting=200)
        started, finish = asyncio.Queue(), asyncio.Event()

        async def run(request):
            started.put_nowait(request)
            await finish.wait()
            return await answer_with_id(b"done")(request)

        for machine in machines[1:]:
            machine.worker.handler = run
        call = asyncio.create_task(first.call(timeout_ms=1900))
        await started.get()
        (silent,) = (m for m in machines[1:] if m.worker.received)
        transport, is_reported = silence_link(first, silent)
        node = first.node
        async with stop_node(first):
            await is_reported.wait()
            await asyncio.sleep(0.1)
            transport.resume_reading()
            finish.set()
            answer = await call
        assert (answer.status, answer.body) == (200, b"done")
        assert started.empty()
        assert node.gateway.in_flight == 0


async def test_work_on_a_silent_link_is_repeated_elsewhere_and_charged_once():
    """Guards against a wait for a lost link, and against two charges for one repeat."""
    async with run_mesh(3) as (_, machines):
        first = machines[0]
        await until(lambda: len(first.node._links.links) == 2)
        fill_slots(first, waiting=200)
        budget = first.node.gateway.attempts.budget
        granted = []
        spend = budget.spend

        def count_spend(*args):
            granted.append(spend(*args))
            return granted[-1]

        first.node.gateway.attempts.budget = SimpleNamespace(
            spend=count_spend, count_request=budget.count_request
        )
        started = []

        def make_handler(machine):
            async def run(request):
                started.append(machine)
                if len(started) > 1:
                    return await answer_with_id(b"second")(request)
                silence_link(first, machine)
                await asyncio.sleep(5)

            return run

        for machine in machines[1:]:
            machine.worker.handler = make_handler(machine)
        began = monotonic()
        answer = await first.call(timeout_ms=1900)
        assert (answer.status, answer.body) == (200, b"second")
        assert monotonic() - began < SILENT_AFTER_S
        assert len(set(started)) == 2
        assert granted == [True]
