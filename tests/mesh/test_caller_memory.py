"""Tests of the limits for callers at a node with a scripted worker."""

import asyncio
import gc
import weakref

import pytest

from mangowell_core.mesh.caller_memory import REQUEST_BYTES, CallerMemory
from mangowell_core.mesh.service_room import ServiceRoom
from mangowell_node.ingress import CallerReport, IncomingCall, IngressServer, Reply
from mangowell_node.ingress import server as ingress_server
from mangowell_node.ingress.connection import CallerConnection
from mangowell_node.ingress.server import CHECK_INTERVAL_S
from mangowell_node.mesh.request_state import RequestState
from mangowell_standins.platform_values import make_document, make_route
from mesh.support_mesh import fill_slots, make_request, run_mesh, until
from node.support_calls import read_response

MAX_HEADER_BYTES = 16_384
SLOW_LIMITS = {"header-timeout": "300ms", "idle-timeout": "800ms"}


def make_sized_request(size, number=0):
    """Return a request whose head has `size` bytes."""
    head = make_request(request=f"id-{number}").removesuffix(b"\r\n")
    return head + b"A: " + b"v" * (size - len(head) - 7) + b"\r\n\r\n"


@pytest.mark.parametrize("size", (MAX_HEADER_BYTES, MAX_HEADER_BYTES + 100))
@pytest.mark.parametrize("parts", (1, 3))
async def test_head_at_its_limit_is_served_and_a_larger_one_is_not(size, parts):
    """A head of 1.6 MB was collected line by line."""
    async with run_mesh() as (_, (machine,)):
        reader, writer = await machine.connect()
        head = make_sized_request(size)
        assert len(head) == size
        for part in range(parts):
            writer.write(head[part * size // parts : (part + 1) * size // parts])
            await asyncio.sleep(0.02)
        answer = await read_response(reader)
        is_allowed = size <= MAX_HEADER_BYTES
        assert answer.status == (200 if is_allowed else 431)
        assert machine.worker.executions == is_allowed
        writer.close()


async def test_sixteen_pipelined_requests_with_the_largest_heads_are_served():
    document = make_document(routes={"r1": make_route("/", timeout="8000ms")})
    async with run_mesh(document=document) as (_, (machine,)):
        reader, writer = await machine.connect()
        memory = machine.node.caller_memory
        # The bound of a machine with 200 MB.
        memory.connection_limit = 17_476_266
        for number in range(16):
            writer.write(make_sized_request(MAX_HEADER_BYTES, number))
        for _ in range(16):
            assert (await read_response(reader)).status == 200
        assert machine.node._ingress.limited == 0
        writer.close()
        await until(lambda: memory.total == 0)


@pytest.mark.parametrize("is_slow", (False, True))
async def test_nothing_behind_a_refused_head_runs(is_slow):
    """Its answer came in the place of the refusal, and the refused request ran."""
    limits = {"header-timeout": "300ms" if is_slow else "3000ms"}
    async with run_mesh(document=make_document(limits=limits)) as (_, (machine,)):
        running, seen = asyncio.Event(), []
        answer = machine.worker.handler

        async def wait(request):
            seen.append(request.headers["request-id"])
            await running.wait()
            return await answer(request)

        machine.worker.handler = wait
        ingress = machine.node._ingress
        reader, writer = await machine.connect()
        writer.write(make_request(request="first"))
        await until(lambda: seen)
        if is_slow:
            writer.write(make_request(request="refused")[:-2])
            await until(lambda: ingress.closed["head-timeout"])
            writer.write(b"\r\n")
        else:
            fields = (b"A: %b\r\n" % (b"v" * 9000)) * 2
            writer.write(make_request(request="refused")[:-2] + fields + b"\r\n")
            await until(lambda: ingress.closed["head-size"])
        writer.write(make_request(request="behind"))
        await asyncio.sleep(0.1)
        running.set()
        assert (await read_response(reader)).status == 200
        assert (await read_response(reader)).status == (408 if is_slow else 431)
        assert seen == ["first"]
        writer.close()


async def test_line_over_its_limit_is_a_head_over_its_limit():
    """It was refused with 400, like a malformed head."""
    async with run_mesh() as (_, (machine,)):
        for start in (b"GET /", make_request()[:-2] + b"A: "):
            reader, writer = await machine.connect()
            writer.write(start + b"a" * 40_000)
            assert (await read_response(reader)).status == 431
            writer.close()
        assert machine.worker.executions == 0


async def test_endless_empty_lines_are_a_head_over_its_limit():
    async with run_mesh() as (_, (machine,)):
        reader, writer = await machine.connect()
        writer.write(b"\r\n" * MAX_HEADER_BYTES)
        assert (await read_response(reader)).status == 431
        assert machine.node._ingress.closed["head-size"] == 1
        writer.close()


@pytest.mark.parametrize("start", (b"\r\n", b"GET /x HT", make_request()[:-2]))
async def test_open_head_is_refused_after_its_time(start):
    """Heads that were held open kept their descriptors until the caller left."""
    document = make_document(limits=SLOW_LIMITS | {"idle-timeout": "15000ms"})
    async with run_mesh(document=document) as (_, (machine,)):
        reader, writer = await machine.connect()
        writer.write(start)
        assert (await read_response(reader)).status == 408
        assert machine.worker.executions == 0
        writer.close()


async def test_open_head_after_a_request_keeps_its_answer():
    document = make_document(limits=SLOW_LIMITS)
    async with run_mesh(document=document) as (_, (machine,)):
        reader, writer = await machine.connect()
        writer.write(make_request() + b"GET /y HT")
        assert (await read_response(reader)).status == 200
        assert (await read_response(reader)).status == 408
        assert machine.worker.executions == 1
        writer.close()


async def test_body_of_a_request_is_no_open_head():
    """Kept connections got 408 once the time for a head had passed after a body."""
    document = make_document(limits=SLOW_LIMITS | {"idle-timeout": "15000ms"})
    async with run_mesh(document=document) as (_, (machine,)):
        reader, writer = await machine.connect()
        for number in range(2):
            writer.write(make_request("/x", "POST", b"body", f"id-{number}"))
            assert (await read_response(reader)).status == 200
            await asyncio.sleep(0.5)
        assert machine.node._ingress.closed["head-timeout"] == 0
        writer.close()


@pytest.mark.parametrize("framing", (b"0" * 40_000, b"5;" + b"a" * 40_000))
async def test_endless_chunk_framing_is_refused_and_not_run(framing):
    async with run_mesh() as (_, (machine,)):
        reader, writer = await machine.connect()
        head = make_request("/pay/1", "POST").removesuffix(b"\r\n")
        writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n" + framing)
        assert (await read_response(reader)).status == 400
        assert machine.worker.executions == 0
        writer.close()


async def test_connection_over_the_bound_is_read_again_once_less_is_held():
    """A connection that is held back must not stay so when its answers are written."""
    async with run_mesh() as (_, (machine,)):
        running = asyncio.Event()
        answer = machine.worker.handler

        async def wait(request):
            await running.wait()
            return await answer(request)

        machine.worker.handler = wait
        ingress, memory = machine.node._ingress, machine.node.caller_memory
        memory.connection_limit = 200_000
        reader, writer = await machine.connect()
        writer.write(b"".join(make_request(request=f"id-{n}") for n in range(14)))
        await until(lambda: ingress.held_back == 1)
        writer.write(make_request(request="late"))
        # An ordinary caller is served meanwhile.
        ordinary_reader, ordinary_writer = await machine.connect()
        ordinary_writer.write(make_request(request="ordinary"))
        await until(lambda: machine.node.gateway.in_flight == 15)
        assert (ingress.refused, ingress.closed.total()) == (0, 0)
        running.set()
        assert (await read_response(ordinary_reader)).status == 200
        statuses = [(await read_response(reader)).status for _ in range(15)]
        assert statuses[-1] == 200
        writer.close()
        ordinary_writer.close()
        await until(lambda: not ingress.connections and memory.total == 0)


async def test_refused_request_reaches_no_worker(monkeypatch):
    monkeypatch.setattr(CallerMemory, "may_start", lambda *_: False)
    async with run_mesh() as (_, (machine,)):
        ingress = machine.node._ingress
        answer = await machine.call(request="id-9")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert answer.headers["request-id"] == "id-9"
        assert (ingress.refused, machine.worker.executions) == (1, 0)


async def test_call_of_a_running_request_is_not_refused(monkeypatch):
    """The work of its parent would be lost."""
    monkeypatch.setattr(CallerMemory, "may_start", lambda *_: False)
    async with run_mesh() as (_, (machine,)):
        ingress = machine.node._ingress
        priorities = {"parent": 1}
        machine.node.runner._running_priorities = priorities
        assert (await machine.call(request="parent.1")).status == 200
        assert (await machine.call(request="other.1")).status == 503
        assert ingress.refused == 1


async def test_caller_that_reads_nothing_is_closed_and_one_that_reads_is_served():
    """200 such callers held their answers as long as they liked."""
    document = make_document(
        routes={"r1": make_route("/", timeout="8000ms")}, limits=SLOW_LIMITS
    )
    async with run_mesh(document=document) as (_, (machine,)):
        body = b"x" * 12_000_000
        handler = machine.worker.handler

        async def answer(request):
            small = await handler(request)
            head = small.partition(b"Content-Length")[0]
            return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)

        machine.worker.handler = answer
        reader, writer = await machine.connect()
        writer.write(make_request(timeout_ms=8000))
        await reader.readexactly(1000)
        writer.transport.pause_reading()
        ingress = machine.node._ingress
        complete = await machine.call(timeout_ms=8000)
        assert (complete.status, complete.complete) == (200, True)
        await until(lambda: ingress.closed["unread"] == 1)
        await until(lambda: not ingress.connections)
        assert machine.node.caller_memory.total == 0
        writer.transport.abort()


@pytest.mark.parametrize("check_s", (CHECK_INTERVAL_S, 60.0))
async def test_caller_that_leaves_while_it_is_not_read_is_noticed(monkeypatch, check_s):
    """Its connection stayed open, with all that was parsed, until it was written to.

    Then it stayed until the next check, up to 0.2 s or longer on a busy machine. The
    worker counted as full meanwhile, and a request of another caller got 503.
    """
    monkeypatch.setattr(ingress_server, "CHECK_INTERVAL_S", check_s)
    started, cancelled = [], []

    async def serve(call: IncomingCall) -> Reply:
        started.append(call)
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.append(call)
            raise

    server = IngressServer(serve)
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]

    async def leave(count):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(make_request() * 200)
        await until(lambda: len(started) == count)
        (connection,) = server.connections
        await until(lambda: connection.is_reading_paused)
        writer.transport.abort()
        await until(lambda: not server.connections)
        await until(lambda: len(cancelled) == count)
        assert len(started) == count
        assert server.memory.total == 0

    # Later connections may have the descriptor of an earlier one.
    for count in (16, 32, 48):
        await leave(count)
    assert not server._watched
    await server.stop(0.0)


async def test_end_of_a_caller_that_is_read_again_cuts_no_answer():
    """Its end is noticed by reading, after what it has sent before."""
    go_on = asyncio.Event()

    async def serve(call: IncomingCall) -> Reply:
        await go_on.wait()
        return Reply(200, "OK", b"", b"ok")

    server = IngressServer(serve)
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(make_request() * 64)
    await until(lambda: len(server._watched) == 1)
    go_on.set()
    for _ in range(64):
        assert (await read_response(reader)).status == 200
    (connection,) = server.connections
    await until(lambda: not connection.is_reading_paused)
    writer.write(make_request())
    assert (await read_response(reader)).status == 200
    writer.close()
    await until(lambda: not server.connections)
    assert not server._watched
    await server.stop(0.0)


async def test_crowd_that_is_read_at_once_starts_no_more_than_fits():
    """2,632 requests of connections that were closed for memory ran at once.

    The account no longer counted them, but they took 27 MB: the event loop reads from
    all connections before it reports the end of one.
    """
    running, most = 0, 0

    async def serve(call: IncomingCall) -> Reply:
        nonlocal running, most
        running += 1
        most = max(most, running)
        try:
            await asyncio.Event().wait()
        finally:
            running -= 1

    memory = CallerMemory(400_000)
    server = IngressServer(serve, memory=memory)
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    callers = [await asyncio.open_connection("127.0.0.1", port) for _ in range(40)]
    await until(lambda: len(server.connections) == len(callers))
    for _, writer in callers:
        # Sent at once, as the buffer of the system has room.
        writer.write(make_request() * 16)
    await until(lambda: server.closed["memory"] > 0 and most > 0)
    assert 0 < most * REQUEST_BYTES <= memory.connection_limit
    for _, writer in callers:
        writer.transport.abort()
    await until(lambda: not server.connections and running == 0)
    assert memory.total == 0
    await server.stop(0.0)


async def test_cancelled_requests_release_their_memory_without_a_collection():
    """3,664 frames of requests whose callers had left stayed until a collection."""

    class Marker:
        pass

    markers = []

    async def serve(call: IncomingCall) -> Reply:
        marker = Marker()
        markers.append(weakref.ref(marker))
        # As in the gateway, a variable refers to the task.
        async with asyncio.timeout(60) as timeout:
            await asyncio.Event().wait()
        return Reply(200, "OK", b"", f"{marker} {timeout}".encode())

    server = IngressServer(serve)
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    gc.collect()
    gc.disable()
    try:
        for is_dropped in (False, True):
            markers.clear()
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(make_request() * 8)
            await until(lambda: len(markers) == 8)
            if is_dropped:
                (connection,) = server.connections
                connection.drop()
                del connection
            writer.transport.abort()
            await until(lambda: not server.connections)
            await asyncio.sleep(0.01)
            assert [marker() for marker in markers] == [None] * 8
            left = [o for o in gc.get_objects() if type(o) is CallerConnection]
            assert not [o for o in left if o._server is server]
    finally:
        gc.enable()
    await server.stop(0.0)


async def test_refused_requests_release_their_memory_without_a_collection(
    monkeypatch,
):
    """Each request that all workers refused stayed, also with its connection."""
    # Otherwise, only the first is offered to a worker.
    monkeypatch.setattr(ServiceRoom, "is_full", lambda *_: False)
    async with run_mesh() as (_, (machine,)):
        fill_slots(machine, waiting=100)
        gc.collect()
        gc.disable()
        try:
            for number in range(8):
                assert (await machine.call(request=f"id-{number}")).status == 503
            await until(lambda: not machine.node._ingress.connections)
            await asyncio.sleep(0.01)
            left = [o for o in gc.get_objects() if type(o) is RequestState]
            assert left == []
        finally:
            gc.enable()


async def test_idle_connections_make_room_and_those_with_a_request_stay():
    """A crowd of open heads kept all other callers out."""
    finish = asyncio.Event()

    async def serve(call: IncomingCall) -> Reply:
        await finish.wait()
        return Reply(200, "OK", b"", b"ok")

    server = IngressServer(serve, max_connections=5)
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    reader, first = await asyncio.open_connection("127.0.0.1", port)
    first.write(make_request())
    await until(lambda: not all(c.is_idle for c in server.connections))
    writers = []
    for _ in range(30):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /x")
        writers.append(writer)
    last_reader, last = await asyncio.open_connection("127.0.0.1", port)
    last.write(make_request())
    await until(lambda: server.closed["descriptors"] == 27)
    assert len(server.connections) <= 5
    finish.set()
    for answers in (reader, last_reader):
        assert (await read_response(answers)).status == 200
    for writer in (first, last, *writers):
        writer.transport.abort()
    await server.stop(0.0)


def test_crowd_causes_few_events():
    """Each closed connection had its own event, which evicted all others."""
    server = IngressServer(None)
    events = []
    report = CallerReport(server, events.append)
    for step in range(1000):
        server.count_closing("memory")
        server.count_closing("head-timeout")
        server.held_back += 1
        report.emit_changes(100.0 + step / 100)
    names = [event.code.name for event in events]
    # At once, and after 5 s.
    assert names == ["CALLERS_LIMITED", *["CONNECTIONS_CLOSED"] * 2] * 2
    assert events[-1].fields == {"reason": "memory", "connections": 500}


async def test_metrics_state_what_is_held_for_callers():
    async with run_mesh() as (_, (machine,)):
        machine.node._ingress.count_closing("head-timeout")
        address = machine.settings.ready
        port = machine.settings.metrics_port
        reader, writer = await asyncio.open_connection(address.host, port)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        text = (await read_response(reader)).body.decode()
        writer.close()
        for name in (
            "caller_held_bytes",
            "caller_connections",
            "callers_refused_for_memory",
            "connections_closed_head_timeout",
        ):
            assert f"mangowell_{name}" in text
