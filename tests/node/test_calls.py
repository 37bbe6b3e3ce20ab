"""Tests the lifecycle of a call: retries, streams, deadlines, cancellation, hedging."""

import asyncio
import hashlib
import re

import pytest

from mangowell_core.messages import CrashReport
from node.support_calls import (
    ScriptedBackend,
    apply_members,
    call,
    make_answer,
    open_call,
    read_response,
    run_nodes,
    until,
)


async def start_backends(count, handler=None):
    return [await ScriptedBackend(handler).start() for _ in range(count)]


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_call_reaches_local_and_remote_backend_servers(method):
    first, second = await start_backends(2)
    async with run_nodes(first, second) as (node, other):
        for number in range(30):
            apply_members([node], [node if number < 15 else other])
            body = b"{}" if method == "POST" else b""
            answer = await node.call(method, "/a?b=c", body=body)
            assert (answer.status, answer.body) == (200, b"ok")
            assert answer.outcome == "done"
        assert (first.executions, second.executions) == (15, 15)


async def abort_connection(request):
    request.writer.transport.abort()


async def close_in_body(request):
    request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345")
    await request.writer.drain()
    request.writer.close()


async def answer_503(request):
    return make_answer(b"later", "503 Busy")


@pytest.mark.parametrize("handler", [abort_connection, close_in_body, answer_503])
async def test_failed_idempotent_request_is_retried_at_another_instance(handler):
    backends = [
        await ScriptedBackend(handler).start(),
        await ScriptedBackend().start(),
    ]
    async with run_nodes(*backends) as (bad, good):
        for node in (bad, good):
            for _ in range(10):
                answer = await node.call()
                assert (answer.status, answer.body) == (200, b"ok")
        assert backends[1].executions == 20


@pytest.mark.parametrize("handler", [abort_connection, close_in_body, answer_503])
async def test_non_idempotent_request_is_written_once(handler):
    """A request that may have run must not be retried."""
    backends = await start_backends(3, handler)
    async with run_nodes(*backends) as nodes:
        for count in range(1, 7):
            answer = await nodes[0].call("POST", "/pay", body=b"x")
            assert answer.outcome in ("unknown", "failed")
            assert sum(b.executions for b in backends) == count


@pytest.mark.parametrize(
    "headers,size",
    [("", 0), ("", 200_000), ("Idempotency-Key: k\r\n", 0)],
    ids=["short", "long", "key"],
)
@pytest.mark.parametrize("status", [408, 421, 429, 503])
async def test_payment_that_has_run_gets_no_promise(status, headers, size):
    """The status told the caller that it may pay again, which charged it twice."""

    async def handler(request):
        return make_answer(b"x" * size, f"{status} X", "Retry-After: 1\r\n")

    backends = await start_backends(2, handler)
    async with run_nodes(*backends) as nodes:
        for node in nodes:
            apply_members([node], nodes[:1])
            answer = await node.call("POST", "/pay", headers, b"x")
            assert (answer.status, answer.outcome) == (502, "unknown")
            assert "retry-after" not in answer.headers
        # A repeated call with the key gets the answer of the first run.
        assert backends[0].executions == (1 if headers else 2)
        answer = await nodes[0].call()
        assert answer.status == status
        assert answer.headers["retry-after"] == "1"


@pytest.mark.parametrize("is_local", [True, False], ids=["local", "remote"])
@pytest.mark.parametrize("framing", ["length", "chunks"])
async def test_truncated_large_answer_does_not_look_complete(framing, is_local):
    """A streamed answer that is cut off must not end as if it were whole."""

    async def handler(request):
        if framing == "length":
            head, body = b"Content-Length: 200000\r\n\r\n", b"x" * 150_000
        else:
            head = b"Transfer-Encoding: chunked\r\n\r\n"
            body = b"20000\r\n" + b"x" * 0x20000 + b"\r\n"
        request.writer.write(b"HTTP/1.1 200 OK\r\n" + head + body)
        await request.writer.drain()
        request.writer.close()

    backends = await start_backends(2, handler)
    async with run_nodes(*backends) as nodes:
        apply_members(nodes[:1], [nodes[0 if is_local else 1]])
        answer = await nodes[0].call()
        assert answer.status == 200
        assert not answer.complete


@pytest.mark.parametrize("is_local", [True, False], ids=["local", "remote"])
async def test_large_bodies_pass_unchanged(is_local):
    async def handler(request):
        return make_answer(request.body)

    backends = await start_backends(2, handler)
    body = bytes(range(256)) * 40_960  # 10 MB
    async with run_nodes(*backends) as nodes:
        apply_members(nodes[:1], [nodes[0 if is_local else 1]])
        answer = await nodes[0].call("POST", "/big", body=body)
        assert answer.complete and answer.status == 200
        assert hashlib.sha256(answer.body).digest() == hashlib.sha256(body).digest()


# Limit in bytes: the socket buffers hold a few MB on each of three connections.
MAX_BUFFERED_BYTES = 24_000_000
LARGE_BODY = 100_000_000  # bytes


@pytest.mark.parametrize("is_local", [True, False], ids=["local", "remote"])
async def test_upload_stops_while_the_backend_server_does_not_read(is_local):
    """A backend server that stops reading must not fill the memory of the nodes."""
    backends = await start_backends(2)

    async def stall(reader, writer):
        await asyncio.sleep(60)

    async with run_nodes(*backends) as nodes:
        target = nodes[0 if is_local else 1]
        target.backend.raw = stall
        apply_members(nodes[:1], [target])
        _, writer = await asyncio.open_connection(
            "127.0.0.1", nodes[0].settings.call_port
        )
        head = f"POST /big HTTP/1.1\r\nHost: x\r\nContent-Length: {LARGE_BODY}\r\n\r\n"
        writer.write(head.encode())
        sent = 0
        try:
            while sent < LARGE_BODY:
                writer.write(b"x" * 100_000)
                sent += 100_000
                async with asyncio.timeout(1):
                    await writer.drain()
        except TimeoutError:
            pass
        assert sent < MAX_BUFFERED_BYTES
        writer.transport.abort()


@pytest.mark.parametrize("is_local", [True, False], ids=["local", "remote"])
async def test_download_stops_while_the_caller_does_not_read(is_local):
    """A caller that stops reading must not fill the memory of the nodes."""
    sent = 0

    async def handler(request):
        nonlocal sent
        writer = request.writer
        writer.write(
            f"HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BODY}\r\n\r\n".encode()
        )
        while sent < LARGE_BODY:
            writer.write(b"x" * 100_000)
            sent += 100_000
            await writer.drain()

    backends = await start_backends(2, handler)
    async with run_nodes(*backends) as nodes:
        target = nodes[0 if is_local else 1]
        apply_members(nodes[:1], [target])
        _, writer = await open_call(nodes[0].settings.call_port, target="/big")
        writer.transport.pause_reading()
        before = -1
        while before != sent:
            before = sent
            await asyncio.sleep(0.5)
        assert 0 < sent < MAX_BUFFERED_BYTES
        writer.transport.abort()
        received = target.backend.received[0]
        await asyncio.wait_for(received.cancelled.wait(), 5)


async def hang(request):
    await asyncio.sleep(60)


@pytest.mark.parametrize("is_local", [True, False], ids=["local", "remote"])
@pytest.mark.parametrize("target", ["/", "/pay"])
async def test_disconnect_of_the_caller_cancels_downstream(is_local, target):
    """A request whose caller has disconnected must not keep its slot."""
    backends = await start_backends(2, hang)
    async with run_nodes(*backends) as nodes:
        chosen = nodes[0 if is_local else 1]
        apply_members(nodes[:1], [chosen])
        _, writer = await open_call(nodes[0].settings.call_port, "POST", target)
        await until(lambda: chosen.backend.executions == 1)
        writer.close()
        received = chosen.backend.received[0]
        await asyncio.wait_for(received.cancelled.wait(), 5)
        await until(lambda: chosen.policy.in_flight() == 0)


@pytest.mark.parametrize("is_local", [True, False], ids=["local", "remote"])
async def test_remaining_deadline_is_forwarded_and_cancels_downstream(is_local):
    """Work must not continue at the backend server after the deadline."""
    backends = await start_backends(2, hang)
    async with run_nodes(*backends) as nodes:
        chosen = nodes[0 if is_local else 1]
        apply_members(nodes[:1], [chosen])
        answer = await nodes[0].call(
            target="/slow", headers="Mangowell-Deadline-Ms: 2000\r\n"
        )
        assert (answer.status, answer.outcome) == (504, "unknown")
        received = chosen.backend.received[0]
        assert 0 < int(received.headers["mangowell-deadline-ms"]) < 2000
        await asyncio.wait_for(received.cancelled.wait(), 5)
        assert chosen.backend.executions == 1


async def test_hop_by_hop_headers_are_dropped_and_others_kept():
    async def handler(request):
        headers = "Connection: x-own\r\nX-Own: 1\r\nKeep-Alive: 5\r\nX-End: é\r\n"
        return make_answer(b"ok", headers=headers)

    backends = await start_backends(1, handler)
    async with run_nodes(*backends) as (node,):
        answer = await node.call(
            headers="Connection: close, x-hop\r\nX-Hop: 1\r\nTE: trailers\r\n"
            "Upgrade: x\r\nX-End: 2\r\nX-End: 3\r\nMangowell-Tenant: cafes\r\n"
        )
        received_headers = backends[0].received[0].headers
        assert not {"x-hop", "te", "upgrade", "connection"} & set(received_headers)
        assert (received_headers["x-end"], received_headers["mangowell-tenant"]) == (
            "3",
            "cafes",
        )
        assert "x-own" not in answer.headers and "keep-alive" not in answer.headers
        assert answer.headers["x-end"].encode("latin-1") == "é".encode()


@pytest.mark.parametrize("size", [10, 3_000_000])
async def test_chunked_request_body_passes(size):
    async def handler(request):
        return make_answer(b"%d" % len(request.body))

    backends = await start_backends(1, handler)
    async with run_nodes(*backends) as (node,):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", node.settings.call_port
        )
        writer.write(
            b"POST /big HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for _ in range(10):
            part = b"x" * (size // 10)
            writer.write(b"%x\r\n%b\r\n" % (len(part), part))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        assert (await read_response(reader)).body == b"%d" % size
        writer.close()


async def test_malformed_chunk_reaches_no_backend_server():
    backends = await start_backends(1)
    async with run_nodes(*backends) as (node,):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", node.settings.call_port
        )
        writer.write(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"5\r\nhello\r\nzz\r\n"
        )
        answer = await read_response(reader)
        assert (answer.status, answer.outcome) == (400, "not-run")
        assert not backends[0].executions
        writer.close()


async def test_expect_100_continue_is_answered():
    """A caller that sends its body only on request must not wait forever."""
    backends = await start_backends(1)
    async with run_nodes(*backends) as (node,):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", node.settings.call_port
        )
        writer.write(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        async with asyncio.timeout(5):
            assert await reader.readuntil(b"\r\n\r\n") == (
                b"HTTP/1.1 100 Continue\r\n\r\n"
            )
        writer.write(b"hi")
        assert (await read_response(reader)).status == 200
        writer.close()


@pytest.mark.parametrize("is_local", [True, False], ids=["local", "remote"])
async def test_head_has_the_length_of_get_and_no_body(is_local):
    async def handler(request):
        length = 0 if request.method == "HEAD" else 70_000
        answer = make_answer(b"x" * length)
        return answer.replace(b"Content-Length: 0", b"Content-Length: 70000")

    backends = await start_backends(2, handler)
    async with run_nodes(*backends) as nodes:
        apply_members(nodes[:1], [nodes[0 if is_local else 1]])
        for _ in range(3):
            answer = await nodes[0].call("HEAD")
            assert answer.headers["content-length"] == "70000"
            assert (await nodes[0].call()).body == b"x" * 70_000


async def test_http_1_0_caller_gets_content_length():
    async def handler(request):
        request.writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"5\r\nhello\r\n0\r\n\r\n"
        )
        await asyncio.sleep(60)

    backends = await start_backends(1, handler)
    async with run_nodes(*backends) as (node,):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", node.settings.call_port
        )
        writer.write(b"GET / HTTP/1.0\r\n\r\n")
        answer = await read_response(reader)
        assert (answer.body, answer.headers["content-length"]) == (b"hello", "5")
        assert await reader.read() == b""
        writer.close()


async def test_answers_out_of_order_reach_their_own_calls():
    """Concurrent calls on shared links must not get the answers of others."""

    async def handler(request):
        number = int(re.search(r"\d+", request.target)[0])
        await asyncio.sleep((number * 7 % 13) / 500)
        return make_answer(b"%d" % number * 3000)

    backends = await start_backends(3, handler)
    async with run_nodes(*backends) as nodes:

        async def check(number):
            node = nodes[number % 3]
            answer = await node.call(target=f"/big/{number}")
            assert answer.body == b"%d" % number * 3000

        await asyncio.gather(*(check(number) for number in range(150)))


async def test_early_answer_to_a_large_upload_is_forwarded():
    backends = await start_backends(1)

    async def reject(reader, writer):
        writer.write(make_answer(b"no", "413 Too Large"))
        await asyncio.sleep(60)

    async with run_nodes(*backends) as (node,):
        backends[0].raw = reject
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", node.settings.call_port
        )
        writer.write(
            b"POST /big HTTP/1.1\r\nHost: x\r\nContent-Length: 5000000\r\n\r\n"
        )
        writer.write(b"x" * 2_000_000)
        answer = await read_response(reader)
        assert (answer.status, answer.body) == (413, b"no")
        writer.transport.abort()


async def test_slow_attempt_is_hedged_and_the_loser_cancelled():
    served = 0

    async def handler(request):
        nonlocal served
        served += 1
        if served == 1:
            await asyncio.sleep(60)
        return make_answer(b"fast")

    backends = await start_backends(2, handler)
    async with run_nodes(*backends) as nodes:
        answer = await nodes[0].call(target="/hedged")
        assert answer.body == b"fast"
        slow = next(r for b in backends for r in b.received)
        cancelled = [r.cancelled for b in backends for r in b.received]
        assert slow and len(cancelled) == 2
        await until(lambda: any(event.is_set() for event in cancelled))


async def test_crash_is_reported_and_its_retries_are_bounded():
    """A request that crashes its backend server must not be retried at all of them."""
    backends = await start_backends(5)

    def crash(backend):
        async def handler(request):
            if request.target == "/poison":
                backend.crash()
                return None
            return make_answer(b"ok")

        return handler

    for backend in backends:
        backend.handler = crash(backend)
    async with run_nodes(*backends) as nodes:
        for node in nodes:
            await until(lambda s=node: s.calls._egress.health == "ok")
        for _ in range(4):
            for node in nodes:
                await node.call(target="/poison")
        assert sum(b.executions for b in backends) <= 3
        reports = [m for s in nodes for _, m in s.sent if type(m) is CrashReport]
        assert reports
        survivors = [s for s in nodes if not s.backend.executions]
        apply_members(survivors, survivors)
        for _ in range(20):
            assert (await survivors[0].call()).status == 200


async def test_crash_with_a_quick_restart_is_detected():
    """A restart before the next connection attempt must not hide the crash."""

    def crash(backend):
        async def handler(request):
            if request.target == "/poison":
                for writer in list(backend._writers):
                    writer.transport.abort()
                return None
            return make_answer(b"ok")

        return handler

    backends = await start_backends(1)
    backends[0].handler = crash(backends[0])
    async with run_nodes(*backends) as (node,):
        await until(lambda: node.calls._egress.health == "ok")
        for _ in range(6):
            answer = await node.call(target="/poison")
            assert answer.status >= 500
        assert backends[0].executions <= 3
        assert (await node.call()).status == 200


async def test_lost_connection_without_a_crash_raises_no_suspicion():
    """A connection closed because of its request must not count as a crash."""

    async def handler(request):
        if request.target == "/drop":
            request.writer.transport.abort()
            return None
        return make_answer(b"ok")

    backends = await start_backends(1, handler)
    async with run_nodes(*backends) as (node,):
        await until(lambda: node.calls._egress.health == "ok")
        for _ in range(4):
            answer = await node.call(target="/drop")
            assert answer.outcome == "unknown"
        assert not [m for _, m in node.sent if type(m) is CrashReport]


async def test_silent_link_moves_idempotent_requests_to_a_new_connection():
    """A link that passes no bytes must not fail idempotent calls to a running node."""
    backends = await start_backends(2)
    async with run_nodes(*backends) as (ingress, other):
        apply_members([ingress], [other])
        await ingress.call()
        for link in list(other.calls._link_server.links):
            link.transport.pause_reading()
        apply_members([ingress], [ingress, other])
        port = ingress.settings.call_port
        answers = await asyncio.gather(*(call(port, target="/big") for _ in range(8)))
        assert {answer.outcome for answer in answers} == {"done"}
        assert sum(b.executions for b in backends) == 9


async def test_silent_link_does_not_exclude_the_only_instance():
    """A silent link must not exclude the last instance that can run the call."""
    backends = await start_backends(2)
    async with run_nodes(*backends) as (ingress, other):
        apply_members([ingress], [other])
        await ingress.call()
        for link in list(other.calls._link_server.links):
            link.transport.pause_reading()
        port = ingress.settings.call_port
        answers = await asyncio.gather(*(call(port, target="/big") for _ in range(8)))
        assert {answer.outcome for answer in answers} == {"done"}
        assert [b.executions for b in backends] == [0, 9]
