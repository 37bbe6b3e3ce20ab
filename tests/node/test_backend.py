"""Tests of connections to the backend server: framing, reuse, limits, health."""

import asyncio
import contextlib
from time import monotonic

import pytest

from mangowell_core.policy.types import Cause
from mangowell_node.backend import BackendPool, HealthPoller
from mangowell_node.exchange import AttemptError, RequestHead
from mangowell_node.reach import AddressFilter
from mangowell_standins.backend_server import BackendServer
from node.support_calls import ScriptedBackend, make_answer, run_nodes, until


def make_head(method="GET", target="/", **fields):
    return RequestHead(
        "r", "s", method, target, b"Host: x\r\n", "", "c", 0, False, 0, True, **fields
    )


@contextlib.asynccontextmanager
async def run_pool(handler=None, limit=4, health="ok"):
    backend = await ScriptedBackend(handler, health).start()
    pool = BackendPool("127.0.0.1", backend.port, AddressFilter(), limit)
    try:
        yield backend, pool
    finally:
        pool.close()
        backend.crash()


async def exchange(pool, head, seconds=5.0):
    deadline = monotonic() + seconds
    conn = pool.take_idle() or await pool.open(deadline)
    try:
        await conn.start(head, deadline)
        return await pool.read_answer(conn, head, lambda error: None)
    except BaseException:
        conn.abort()
        raise


async def answer_ok():
    return make_answer(b"ok")


def write_raw(data, close=True):
    async def handler(request):
        request.writer.write(data)
        if not close:
            await asyncio.sleep(30)

    return handler


HEAD = b"HTTP/1.1 200 OK\r\n"
BAD_ANSWERS = {
    "no-answer": b"",
    "half-head": HEAD + b"Content-",
    "cut-body": HEAD + b"Content-Length: 10\r\n\r\n12345",
    "cut-large-body": HEAD + b"Content-Length: 100000\r\n\r\n" + b"x" * 99_999,
    "cut-chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
    "no-length": HEAD + b"\r\nhello",
    "not-http": b"hello world, this is no HTTP\r\n\r\n",
    "two-lengths": HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "odd-coding": HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "upgrade": b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    "bad-chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
}


@pytest.mark.parametrize("data", BAD_ANSWERS.values(), ids=BAD_ANSWERS)
async def test_bad_answer_is_an_error_and_never_looks_complete(data):
    async with run_pool(write_raw(data)) as (_, pool):
        with pytest.raises(AttemptError):
            answer = await exchange(pool, make_head())
            while await answer.stream.read():
                pass
        assert pool.take_idle() is None
        await until(lambda: not pool.open_connections)


GOOD_ANSWERS = {
    "plain": (make_answer(b"hello"), b"hello"),
    "empty": (make_answer(), b""),
    "no-content": (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
    "chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        b"hello",
    ),
    "early-hints": (b"HTTP/1.1 103 Early Hints\r\n\r\n" + make_answer(b"a"), b"a"),
}


@pytest.mark.parametrize("data,body", GOOD_ANSWERS.values(), ids=GOOD_ANSWERS)
async def test_complete_answer_returns_its_connection_to_the_pool(data, body):
    async with run_pool(write_raw(data, close=False)) as (backend, pool):
        answer = await exchange(pool, make_head())
        assert answer.head.body == body
        assert backend.connections == 1
        assert pool.take_idle() is not None


async def test_answer_to_head_has_a_length_and_no_body():
    data = HEAD + b"Content-Length: 500\r\n\r\n"
    async with run_pool(write_raw(data, close=False)) as (_, pool):
        answer = await exchange(pool, make_head("HEAD"))
        assert (answer.head.length, answer.head.body) == (500, b"")


async def test_bytes_after_the_answer_are_not_taken_for_the_next_answer():
    extra = make_answer(b"first") + make_answer(b"second")
    async with run_pool(write_raw(extra, close=False)) as (_, pool):
        assert (await exchange(pool, make_head())).head.body == b"first"
        assert pool.take_idle() is None


async def test_late_answer_after_a_deadline_reaches_no_other_request():
    gate = asyncio.Event()

    async def handler(request):
        if request.target == "/slow":
            await gate.wait()
        return make_answer(request.target.encode())

    async with run_pool(handler) as (backend, pool):
        with pytest.raises(AttemptError) as caught:
            await exchange(pool, make_head(target="/slow"), seconds=0.1)
        assert caught.value.refusal.cause is Cause.DEADLINE
        gate.set()
        answer = await exchange(pool, make_head(target="/next"))
        assert answer.head.body == b"/next"
        assert backend.executions == 2


async def test_unread_rest_of_a_large_answer_closes_its_connection():
    async def handler(request):
        return make_answer(b"x" * 1_000_000)

    async with run_pool(handler) as (_, pool):
        answer = await exchange(pool, make_head())
        await answer.stream.read()
        answer.stream.close()
        assert pool.take_idle() is None


async def test_connections_stay_within_the_limit():
    gate = asyncio.Event()

    async def handler(request):
        await gate.wait()
        return make_answer(b"ok")

    async with run_pool(handler, limit=2) as (backend, pool):
        calls = [asyncio.ensure_future(exchange(pool, make_head())) for _ in range(5)]
        await until(lambda: backend.executions == 2)
        assert len(pool.open_connections) == 2
        with pytest.raises(AttemptError) as caught:
            await pool.open(monotonic() + 0.05)
        assert caught.value.refusal.cause is Cause.DEADLINE
        gate.set()
        answers = await asyncio.gather(*calls)
        assert [a.head.body for a in answers] == [b"ok"] * 5
        assert backend.connections <= 5


@pytest.mark.parametrize("status", ["ok", "starting", "leaving", "failing"])
async def test_health_is_read(status):
    async with run_pool(health=status) as (_, pool):
        poller = HealthPoller(pool, lambda status, load: None)
        assert await poller.poll() == (status, 0.1)


async def test_requests_on_silent_connections_fail_early():
    """Open connections may go silent for good while new connections work.

    Without a comparison, a request would wait on a silent one until its deadline.
    """
    server = BackendServer()
    await server.start()
    pool = BackendPool("127.0.0.1", server.port, AddressFilter())
    poller = HealthPoller(pool, lambda status, load: None)
    try:
        assert (await poller.poll())[0] == "ok"
        await exchange(pool, make_head(target="/?work_ms=0"))
        server.silence_connections()
        waiting = asyncio.create_task(exchange(pool, make_head(), seconds=60.0))
        await until(lambda: server.completed == 2)
        assert (await poller.poll())[0] == "ok"
        with pytest.raises(AttemptError) as caught:
            await waiting
        assert caught.value.refusal.cause is Cause.CONNECTION_SILENT
        answer = await exchange(pool, make_head(target="/?work_ms=0"))
        assert answer.head.status == 200
    finally:
        pool.close()
        await server.stop()


async def test_silence_that_begins_during_a_health_check_is_found():
    """A connection that was active after the check began may be silent as well.

    Its last byte then arrived after the start of the check, so that a comparison
    with the start alone would miss it.
    """
    async with run_pool(lambda request: answer_ok()) as (backend, pool):
        poller = HealthPoller(pool, lambda status, load: None)
        await poller.poll()
        await exchange(pool, make_head())
        backend.health_delay_s = 0.05
        check = asyncio.create_task(poller.poll())
        await asyncio.sleep(0.02)
        await exchange(pool, make_head())
        backend.mute_connections()
        waiting = asyncio.create_task(exchange(pool, make_head(), seconds=60.0))
        assert (await check)[0] == "ok"
        with pytest.raises(AttemptError) as caught:
            await asyncio.wait_for(waiting, 1.0)
        assert caught.value.refusal.cause is Cause.CONNECTION_SILENT


async def test_silence_is_found_after_a_check_on_a_slow_new_connection():
    """The first check on a new connection times out, so it cannot show silence.

    The next check answers and has to be compared with the pending one.
    """
    async with run_pool(lambda request: answer_ok()) as (backend, pool):
        poller = HealthPoller(pool, lambda status, load: None)
        await poller.poll()
        await exchange(pool, make_head())
        backend.mute_connections()
        waiting = asyncio.create_task(exchange(pool, make_head(), seconds=60.0))
        backend.health_delay_s = 2.0
        assert (await poller.poll())[0] == "down"
        backend.health_delay_s = 0.0
        assert (await poller.poll())[0] == "ok"
        with pytest.raises(AttemptError) as caught:
            await asyncio.wait_for(waiting, 1.0)
        assert caught.value.refusal.cause is Cause.CONNECTION_SILENT


async def test_paused_backend_server_is_not_taken_for_silent_connections():
    """After a pause longer than a check, old and new connections both answer.

    The open request must not fail, as its answer still arrives.
    """

    async def answer_later(request):
        await asyncio.sleep(3.0)
        return make_answer(b"late")

    async with run_pool(answer_later) as (backend, pool):
        poller = HealthPoller(pool, lambda status, load: None)
        await poller.poll()
        waiting = asyncio.create_task(exchange(pool, make_head(), seconds=60.0))
        backend.health_delay_s = 1.6
        assert (await poller.poll())[0] == "down"
        await poller.poll()
        assert (await waiting).head.body == b"late"


async def test_slow_requests_are_not_taken_for_silent_ones():
    """A request may take longer than a health check without being silent."""
    server = BackendServer()
    await server.start()
    pool = BackendPool("127.0.0.1", server.port, AddressFilter())
    poller = HealthPoller(pool, lambda status, load: None)
    try:
        head = make_head(target="/?work_ms=1000")
        waiting = asyncio.create_task(exchange(pool, head, seconds=60.0))
        while not waiting.done():
            assert (await poller.poll())[0] == "ok"
            await asyncio.sleep(0.02)
        assert waiting.result().head.status == 200
    finally:
        pool.close()
        await server.stop()


@pytest.mark.parametrize("health", ["", '", "x', "fine"])
async def test_invalid_health_status_counts_as_down(health):
    async with run_pool(health=health) as (_, pool):
        poller = HealthPoller(pool, lambda status, load: None)
        assert (await poller.poll())[0] == "down"


@pytest.mark.parametrize("status", ["000 X", "600 X"])
async def test_invalid_http_status_of_a_health_answer_counts_as_down(status):
    """Guards against an answer that is none, taken for the statement of a failure."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(make_answer(b'{"status": "ok"}', status))

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = BackendPool("127.0.0.1", port, AddressFilter())
    try:
        poller = HealthPoller(pool, lambda status, load: None)
        assert (await poller.poll())[0] == "down"
        await until(lambda: not pool.open_connections)
    finally:
        pool.close()
        server.close()


async def test_stale_idle_connection_loses_no_answer_and_runs_no_request_twice():
    """The backend server closes an idle connection when a request arrives on it.

    A repeatable request is retried; others use only new connections.
    """
    dropped = []
    used = set()

    async def handler(request):
        if request.writer in used:
            dropped.append(request.method)
            request.writer.transport.abort()
            return None
        used.add(request.writer)
        return make_answer(b"ok")

    backend = await ScriptedBackend(handler).start()
    async with run_nodes(backend) as (node,):
        await until(lambda: node.calls._egress.health == "ok")
        for method, target in [("GET", "/"), ("POST", "/pay")] * 3:
            assert (await node.call(method, target)).status == 200
        assert dropped and set(dropped) == {"GET"}
        assert backend.executions - len(dropped) == 6
