"""Guards the request path from a caller to a worker and back."""

import asyncio
import json
import socket
import struct
import time

import pytest

from mangowell_core.mesh.offers import MAX_REFUSALS
from mesh.support_mesh import (
    answer_with_id,
    make_document,
    make_entry,
    make_request,
    make_route,
    run_mesh,
    until,
)
from node.support_calls import make_answer, read_response


async def test_request_is_forwarded_unchanged_except_for_node_fields():
    async with run_mesh() as (_, (machine,)):
        reader, writer = await machine.connect()
        writer.write(
            b"POST /x/y?a=b%20c HTTP/1.1\r\nHost: shop.example\r\n"
            b"Request-Id: abc\r\nTimeout-Ms: 900\r\nCaller-Service: forged\r\n"
            b"Expected-Instance: forged\r\nX-Other: kept\r\nContent-Length: 4\r\n\r\n"
            b"body"
        )
        assert (await read_response(reader)).status == 200
        (received,) = machine.worker.received
        assert (received.target, received.body) == ("/x/y?a=b%20c", b"body")
        fields = received.headers
        assert fields["request-id"] == "abc"
        assert fields["caller-service"] == "orders"
        assert fields["expected-instance"] == "i-1"
        assert fields["x-other"] == "kept"
        assert 500 < int(fields["timeout-ms"]) <= 900
        writer.close()


async def test_chunked_body_is_forwarded_completely():
    async with run_mesh() as (_, (machine,)):
        reader, writer = await machine.connect()
        writer.write(
            b"POST /x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: a\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        assert (await read_response(reader)).status == 200
        assert machine.worker.received[0].body == b"abcde"
        writer.close()


async def test_route_timeout_ends_a_request():
    routes = {"r": make_route(timeout="300ms")}
    async with run_mesh(document=make_document(1, routes)) as (_, (machine,)):

        async def never_answer(request):
            await asyncio.sleep(5)

        machine.worker.handler = never_answer
        started = time.monotonic()
        answer = await machine.call()
        assert answer.status == 504
        assert 0.25 < time.monotonic() - started < 0.5
        await until(lambda: machine.worker.received[0].cancelled.is_set(), 0.5)


async def test_pipelined_requests_run_concurrently_and_are_answered_in_order():
    """Guards against requests that miss their objective behind a slow one."""
    async with run_mesh() as (_, (machine,)):

        async def handle(request):
            if request.target == "/x0":
                await asyncio.sleep(0.3)
            request_id = request.headers["request-id"]
            headers = f"Request-Id: {request_id}\r\n"
            return make_answer(request.target.encode(), headers=headers)

        machine.worker.handler = handle
        reader, writer = await machine.connect()
        for number in range(3):
            writer.write(make_request(f"/x{number}", request=f"p{number}"))
        await until(lambda: machine.worker.executions == 3, 0.2)
        for number in range(3):
            assert (await read_response(reader)).body == b"/x%d" % number
        writer.close()


async def test_disconnect_of_the_caller_cancels_the_running_request():
    async with run_mesh() as (_, (machine,)):

        async def never_answer(request):
            await asyncio.sleep(5)

        machine.worker.handler = never_answer
        _, writer = await machine.connect()
        writer.write(make_request())
        await until(lambda: machine.worker.executions == 1)
        writer.transport.abort()
        await until(lambda: machine.worker.received[0].cancelled.is_set(), 0.5)


async def test_disconnect_of_the_caller_cancels_a_waiting_request():
    async with run_mesh() as (_, (machine,)):

        async def answer_slowly(request):
            await asyncio.sleep(0.2)
            return await answer_with_id()(request)

        machine.worker.handler = answer_slowly
        calls = [
            asyncio.create_task(machine.call(request=f"a{number}"))
            for number in range(4)
        ]
        await until(lambda: machine.worker.executions == 4)
        _, writer = await machine.connect()
        writer.write(make_request(request="gone"))
        await until(lambda: machine.node.runner.admission.waiting == 1)
        writer.transport.abort()
        await asyncio.gather(*calls)
        await asyncio.sleep(0.3)
        assert machine.worker.executions == 4


def fail_first(machines, first):
    """Handle the first request with `first`, and answer all later ones."""
    seen = []

    async def handle(request):
        seen.append(request)
        if len(seen) == 1:
            return await first(request)
        return await answer_with_id()(request)

    for machine in machines:
        machine.worker.handler = handle
    return seen


async def close_connection(request):
    request.writer.transport.abort()


async def truncate(request):
    request_id = request.headers["request-id"]
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nContent-Length: 50\r\n\r\n"
    request.writer.write(head.encode() + b"half")
    await request.writer.drain()
    request.writer.close()


async def send_garbage(request):
    request.writer.write(b"\x00\x01 this is no answer\r\n\r\n")
    await request.writer.drain()
    request.writer.close()


async def fail(request):
    return await answer_with_id(b"bad", "500 Error")(request)


FAULTS = {"closed": close_connection, "truncated": truncate, "spoiled": send_garbage}


@pytest.mark.parametrize("fault", [*FAULTS.values(), fail], ids=[*FAULTS, "failed"])
async def test_idempotent_request_is_retried_at_another_worker(fault):
    async with run_mesh(2) as (_, machines):
        seen = fail_first(machines, fault)
        answer = await machines[0].call()
        assert (answer.status, answer.body, len(seen)) == (200, b"ok", 2)


@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS)
async def test_unsafe_request_is_not_retried_and_its_outcome_is_unknown(fault):
    async with run_mesh(2) as (_, machines):
        seen = fail_first(machines, fault)
        answer = await machines[0].call("/pay/1", "POST", b"x")
        assert (answer.status, len(seen)) == (502, 1)


@pytest.mark.parametrize("target", ["/x", "/pay/1"])
async def test_request_that_a_worker_did_not_run_is_sent_to_another(target):
    async with run_mesh(2) as (_, machines):

        async def refuse_unrun(request):
            handle = answer_with_id(b"", "503 Full", "Not-Executed: 1\r\n")
            return await handle(request)

        seen = fail_first(machines, refuse_unrun)
        answer = await machines[0].call(target, "POST", b"x")
        assert (answer.status, len(seen)) == (200, 2)


async def test_request_misdirected_to_a_reused_address_is_sent_elsewhere():
    async with run_mesh(2) as (_, machines):

        async def misdirected(request):
            return make_answer(b"", "421 Misdirected", "Instance-Id: i-77\r\n")

        seen = fail_first(machines, misdirected)
        assert (await machines[0].call("/pay/1", "POST", b"x")).status == 200
        assert len(seen) == 2


async def test_late_answer_to_an_earlier_request_is_discarded():
    async with run_mesh() as (_, (machine,)):

        async def answer_late(request):
            request_id = request.headers["request-id"]
            stale = make_answer(b"old", headers="Request-Id: earlier\r\n")
            return stale + make_answer(b"own", headers=f"Request-Id: {request_id}\r\n")

        machine.worker.handler = answer_late
        assert (await machine.call()).body == b"own"


async def test_bytes_after_an_answer_close_the_connection():
    async with run_mesh() as (_, (machine,)):

        async def answer_with_extra_bytes(request):
            request_id = request.headers["request-id"]
            answer = make_answer(b"own", headers=f"Request-Id: {request_id}\r\n")
            return answer + make_answer(b"more", headers="Request-Id: own\r\n") + b"\0"

        machine.worker.handler = answer_with_extra_bytes
        for number in range(3):
            answer = await machine.call("/pay/1", "POST", b"x", request=f"n{number}")
            assert (answer.status, answer.body) == (200, b"own")
        assert machine.worker.connections == 3


async def test_answer_without_length_is_complete_at_connection_close():
    async with run_mesh() as (_, (machine,)):

        async def unframed(request):
            request_id = request.headers["request-id"]
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n\r\n"
            request.writer.write(head.encode() + b"all of it")
            await request.writer.drain()
            request.writer.close()

        machine.worker.handler = unframed
        answer = await machine.call("/pay/1", "POST", b"x")
        assert (answer.status, answer.body) == (200, b"all of it")


async def test_answer_without_length_is_incomplete_at_connection_reset():
    async with run_mesh() as (_, (machine,)):

        async def reset(request):
            request_id = request.headers["request-id"]
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n\r\n"
            request.writer.write(head.encode() + b"part of it")
            await request.writer.drain()
            await asyncio.sleep(0.05)
            sock = request.writer.get_extra_info("socket")
            # Closes with a reset instead of an orderly end.
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            request.writer.transport.abort()

        machine.worker.handler = reset
        answer = await machine.call("/pay/1", "POST", b"x")
        assert answer.status == 502


async def test_early_answer_to_a_long_body_closes_only_its_connection():
    async with run_mesh() as (_, (machine,)):

        async def answer_early(reader, writer):
            answer = make_answer(b"", "413 Large", "Request-Id: id-1\r\n")
            writer.write(answer)
            await writer.drain()
            await asyncio.sleep(0.2)

        machine.worker.raw = answer_early
        answer = await machine.call("/pay/1", "POST", b"x" * 300_000)
        assert answer.status == 413
        machine.worker.raw = None
        assert (await machine.call()).status == 200
        assert machine.worker.connections == 2


async def test_traffic_split_follows_its_weights():
    split = [{"service": "orders", "weight": 3}, {"service": "other", "weight": 1}]
    routes = {"r": make_route(**{"traffic-split": split})}
    document = make_document(1, routes, ("orders", "other"))
    async with run_mesh(2, document) as (store, machines):
        first, second = machines
        entry = json.loads(second.entry)
        entry["node-info"]["service"] = "other"
        store.put("servers/i-2", json.dumps(entry).encode())
        await until(lambda: first.node.directory.look_up_service("other"))
        for number in range(20):
            await first.call(request=f"s{number}")
        assert (first.worker.executions, second.worker.executions) == (15, 5)


async def test_part_of_a_split_without_workers_is_refused():
    split = [{"service": "orders", "weight": 1}, {"service": "other", "weight": 1}]
    routes = {"r": make_route(**{"traffic-split": split})}
    document = make_document(1, routes, ("orders", "other"))
    async with run_mesh(1, document) as (_, (machine,)):
        answers = [await machine.call(request=f"s{n}") for n in range(10)]
        assert [answer.status for answer in answers].count(200) == 5
        assert machine.worker.executions == 5


async def test_draining_worker_gets_no_new_requests():
    async with run_mesh(2) as (store, machines):
        first, second = machines
        store.put(
            "servers/i-1", make_entry(first.host, first.worker.port, state="draining")
        )
        await until(lambda: first.node.runner.local_worker.draining)
        await until(lambda: second.node.directory.look_up_host(first.host)[0].draining)
        for number in range(5):
            assert (await second.call(request=f"d{number}")).status == 200
        assert (first.worker.executions, second.worker.executions) == (0, 5)


async def test_graceful_stop_finishes_accepted_requests():
    async with run_mesh(2) as (_, machines):
        first = machines[0]

        async def answer_slowly(request):
            await asyncio.sleep(0.5)
            return await answer_with_id()(request)

        for machine in machines:
            machine.worker.handler = answer_slowly
        call = asyncio.create_task(first.call("/pay/1", "POST", b"x"))
        await until(lambda: sum(m.worker.executions for m in machines) == 1)
        stop = asyncio.create_task(first.node.stop())
        await asyncio.sleep(0.1)
        assert not await first.is_ready()
        answer = await first.call(request="during")
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        assert (await call).status == 200
        await stop
        first.node = None


async def test_body_over_the_size_limit_is_refused():
    document = make_document(limits={"max-body-bytes": 1000})
    async with run_mesh(1, document) as (_, (machine,)):
        assert (await machine.call("/x", "POST", b"x" * 1001)).status == 413
        assert (await machine.call("/x", "POST", b"x" * 1000)).status == 200


async def test_running_request_is_recognised_by_its_id():
    async with run_mesh() as (_, (machine,)):

        def is_running(request):
            return machine.node.gateway.is_call(f"{request}.call")

        calls = []

        async def handle(request):
            request_id = request.headers["request-id"]
            if request_id == "parent":
                calls.append(is_running("parent"))
                calls.append(is_running("other"))
            return await answer_with_id()(request)

        machine.worker.handler = handle
        await machine.call(request="parent")
        assert calls == [True, False]
        assert not is_running("parent")


async def test_request_that_crashes_workers_is_refused_by_every_node():
    async with run_mesh(3) as (_, machines):

        async def crash_worker(machine):
            machine.worker.crash()

        def make_handler(machine):
            async def handle(request):
                if request.target == "/x/poison":
                    await crash_worker(machine)
                    return None
                return await answer_with_id()(request)

            return handle

        for machine in machines:
            machine.worker.handler = make_handler(machine)
        answer = await machines[0].call("/x/poison")
        assert answer.status == 502
        await until(
            lambda: all(len(m.get_events("backend_down")) == 2 for m in machines)
        )
        runs = sum(m.worker.executions for m in machines)
        assert runs == 2
        for machine in machines:
            assert (await machine.call("/x/poison", request="again")).status == 503
        assert sum(m.worker.executions for m in machines) == runs


async def test_lost_connection_does_not_make_its_worker_unreachable():
    """Guards against avoiding a worker that loses one answer in ten.

    Such workers used to be treated like crashed ones.
    """
    async with run_mesh(2) as (_, machines):
        first = machines[0]
        fail_first(machines, close_connection)
        await first.call()
        now = time.monotonic()
        costs = [
            first.node.gateway.attempts.placement.estimate_cost(
                endpoint, "r1", 0.5, now
            )
            for endpoint in first.node.directory.get_workers()
        ]
        assert max(costs) < 1.0


async def test_malformed_long_body_is_refused():
    async with run_mesh(
        document=make_document(limits={"max-body-bytes": 3_000_000})
    ) as (
        _,
        (machine,),
    ):
        reader, writer = await machine.connect()
        writer.write(
            b"POST /x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: a\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\nzz\r\n"
            % (1_500_000, b"x" * 1_500_000)
        )
        assert (await read_response(reader)).status == 400
        assert machine.worker.executions == 0
        writer.close()


async def test_only_worker_is_retried_after_a_lost_connection():
    async with run_mesh() as (_, machines):
        seen = fail_first(machines, close_connection)
        assert (await machines[0].call()).status == 200
        assert len(seen) == 2


async def test_worker_that_cannot_be_reached_is_refused_at_once():
    """Guards against a request that waits at a network cut until its time limit."""
    async with run_mesh(2) as (store, machines):
        first, second = machines
        store.delete("servers/i-1")
        await until(lambda: len(first.node.directory) == 1)
        await until(lambda: first.node._links.get_link(second.host, second.link_port))
        await second.node.abort()
        second.node = None
        await until(lambda: not first.node._links.links)
        started = time.monotonic()
        answer = await first.call("/pay/1", "POST", b"x")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert time.monotonic() - started < 0.2


async def test_isolated_node_is_not_ready():
    async with run_mesh(2) as (_, machines):
        first, second = machines
        await until(lambda: first.node._links.get_link(second.host, second.link_port))
        assert await first.is_ready()
        await second.node.abort()
        second.node = None
        await until(lambda: first.get_events("node_isolated"), 5.0)
        assert not await first.is_ready()


async def answer_not_executed(request):
    handle = answer_with_id(b"", "503 Full", "Not-Executed: 1\r\n")
    return await handle(request)


def respond_in_turn(machines, *faults):
    """Handle the n-th request with the n-th handler, at any worker.

    The last handler takes all further requests.
    """
    seen = []

    async def handle(request):
        seen.append(request)
        return await faults[min(len(seen), len(faults)) - 1](request)

    for machine in machines:
        machine.worker.handler = handle
    return seen


@pytest.mark.parametrize("target", ["/x", "/pay/1"])
async def test_outcome_is_unknown_if_the_second_worker_may_have_run_it(target):
    """Guards against ``not-run`` if only the first of two workers says so."""
    async with run_mesh(2) as (_, machines):
        seen = respond_in_turn(machines, answer_not_executed, close_connection)
        answer = await machines[0].call(target, "POST", b"x")
        assert (answer.status, len(seen)) == (502, 2)


async def test_outcome_is_unknown_if_an_attempt_before_a_refusal_may_have_run():
    async with run_mesh(2) as (_, machines):
        seen = respond_in_turn(machines, close_connection, answer_not_executed)
        answer = await machines[0].call()
        assert (answer.status, len(seen)) == (502, 2)


async def test_request_is_offered_to_few_overloaded_workers():
    """Guards against a request that is offered to full workers until its time limit.

    One request was offered to 16 of 31 workers.
    """
    released = asyncio.Event()

    async def work_until_released(request):
        await released.wait()
        return await answer_with_id()(request)

    async with run_mesh(7) as (store, machines):
        first = machines[0]
        for machine in machines:
            machine.worker.handler = work_until_released
            entry = json.loads(machine.entry)
            entry["node-info"]["slots"] = 1
            store.put(f"servers/{machine.id}", json.dumps(entry).encode())
        await until(lambda: all(m.node.runner.admission.limit == 1 for m in machines))
        held = [
            asyncio.create_task(first.call(request=f"held-{n}", timeout_ms=5000))
            for n in range(40)
        ]
        await until(lambda: sum(t.done() for t in held) > 5)
        started = time.monotonic()
        answer = await first.call(request="late")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert time.monotonic() - started < 0.75  # half of its time limit
        (refused,) = [
            e["fields"]
            for e in first.get_events("call_refused")
            if e["fields"]["request"] == "late"
        ]
        assert len(refused["tried"].split(",")) <= MAX_REFUSALS
        released.set()
        await asyncio.gather(*held)
