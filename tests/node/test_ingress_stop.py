"""Stops of the HTTP server for callers: every request that was read is answered."""

import asyncio
import socket
from time import monotonic

import pytest

from mangowell_core.policy.outcome import Stage
from mangowell_core.policy.types import Cause
from mangowell_node.exchange import AttemptError
from mangowell_node.ingress import CallerConnection, IngressServer, Reply
from mangowell_node.ingress import connection as connection_module
from mangowell_node.ingress import server as server_module
from node.support_calls import find_port, read_response, until

GET = b"GET /%b HTTP/1.1\r\nHost: x\r\n\r\n"


class GatedService:
    """Serves requests; those named in `gates` wait, and their ends are recorded."""

    def __init__(self):
        self.gates: dict[str, asyncio.Event] = {}
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.streams: dict[str, asyncio.Event] = {}
        self.bodies: list[GatedBody] = []

    async def serve(self, call):
        self.started.append(call.target)
        try:
            if call.target in self.gates:
                await self.gates[call.target].wait()
        except asyncio.CancelledError:
            self.cancelled.append(call.target)
            raise
        if call.target in self.streams:
            body = GatedBody(self.streams[call.target])
            self.bodies.append(body)
            return Reply(200, "OK", b"", stream=body, length=body.length)
        return Reply(200, "OK", b"", b"ok")


class GatedBody:
    """Body whose last chunk waits for an event."""

    length = 4
    is_closed = False

    def __init__(self, gate):
        self._gate = gate
        self._chunks = [b"12", b"34"]

    async def read(self):
        if len(self._chunks) == 1:
            await self._gate.wait()
        return self._chunks.pop(0) if self._chunks else b""

    def close(self):
        self.is_closed = True


@pytest.fixture
async def service():
    return GatedService()


@pytest.fixture
async def ingress(service):
    server = IngressServer(service.serve)
    server.port = find_port()
    await server.start("127.0.0.1", server.port)
    yield server
    await server.stop(0.0)


async def connect(ingress):
    return await asyncio.open_connection("127.0.0.1", ingress.port)


async def test_connection_accepted_as_the_stop_begins_is_closed(ingress, monkeypatch):
    """An accepted connection is registered one step later than it is accepted."""
    accepted = asyncio.Event()

    class ReportingConnection(CallerConnection):
        def __init__(self, *args):
            super().__init__(*args)
            accepted.set()

    monkeypatch.setattr(server_module, "CallerConnection", ReportingConnection)
    connecting = asyncio.ensure_future(connect(ingress))
    await accepted.wait()
    assert not ingress.connections
    started = monotonic()
    await ingress.stop(5.0)
    assert monotonic() - started < 1.0
    reader, writer = await connecting
    assert await asyncio.wait_for(reader.read(), 1.0) == b""
    writer.close()


async def test_request_behind_the_last_reply_does_not_run(ingress, service):
    """The reply has announced the close, so the request would be cut off."""
    gate = service.streams["/long"] = asyncio.Event()
    service.gates["/next"] = asyncio.Event()
    ingress.draining = True
    reader, writer = await connect(ingress)
    writer.write(GET % b"long")
    assert b"connection: close" in (await reader.readuntil(b"\r\n\r\n")).lower()
    writer.write(GET % b"next")
    await asyncio.sleep(0.1)
    gate.set()
    assert await asyncio.wait_for(reader.read(), 5) == b"1234"
    assert service.started == ["/long"]
    assert not service.cancelled
    writer.close()


@pytest.mark.parametrize("closes_idle", [True, False])
async def test_stop_answers_every_pipelined_request_that_was_read(
    ingress, service, closes_idle
):
    gates = [service.gates.setdefault(f"/{n}", asyncio.Event()) for n in range(40)]
    reader, writer = await connect(ingress)
    writer.write(b"".join(GET % b"%d" % n for n in range(40)))
    await until(lambda: len(service.started) == 16)
    ingress.draining = True
    if closes_idle:
        ingress.close_idle()
    stop = asyncio.ensure_future(ingress.stop(10.0))
    await asyncio.sleep(0.02)
    for gate in gates:
        gate.set()
    for _ in gates:
        answer = await read_response(reader)
        assert (answer.status, answer.body) == (200, b"ok")
    assert await asyncio.wait_for(reader.read(), 5) == b""
    await stop
    writer.close()


async def test_stop_answers_a_request_whose_body_is_still_arriving(ingress, service):
    async def read_body(call):
        return Reply(200, "OK", b"", await call.read_body())

    ingress.serve = read_body
    reader, writer = await connect(ingress)
    writer.write(b"POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\nabc")
    await until(lambda: any(not c.is_idle for c in ingress.connections))
    ingress.draining = True
    ingress.close_idle()
    stop = asyncio.ensure_future(ingress.stop(10.0))
    await asyncio.sleep(0.05)
    writer.write(b"def")
    answer = await read_response(reader)
    assert (answer.status, answer.body) == (200, b"abcdef")
    assert answer.headers["connection"] == "close"
    await stop
    writer.close()


async def test_request_on_a_connection_opened_while_draining_is_answered(ingress):
    ingress.draining = True
    ingress.close_idle()
    reader, writer = await connect(ingress)
    writer.write(GET % b"a")
    answer = await read_response(reader)
    assert (answer.status, answer.headers["connection"]) == (200, "close")
    assert await asyncio.wait_for(reader.read(), 5) == b""
    writer.close()


async def connect_slowly(ingress):
    """Connect with a small window, so that most of a long reply waits at the node."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ("127.0.0.1", ingress.port))
    return await asyncio.open_connection(sock=sock, limit=4096)


async def send_behind_last_reply(ingress, body):
    """Read a part of a last reply and send a further request; return the reader."""

    async def serve(call):
        return Reply(200, "OK", b"", body)

    ingress.serve = serve
    ingress.draining = True
    reader, writer = await connect_slowly(ingress)
    writer.write(GET % b"last")
    await reader.readuntil(b"\r\n\r\n")
    for number in range(3):
        writer.write(GET % b"behind%d" % number)
        await asyncio.sleep(0.02)
    return reader, writer


@pytest.mark.parametrize("size", [30_000, 3_000_000])
async def test_requests_behind_the_last_reply_do_not_cut_it(ingress, size):
    """They arrived at a closed socket, whose reset dropped what was not sent yet."""
    body = b"x" * size
    reader, writer = await send_behind_last_reply(ingress, body)
    stop = asyncio.create_task(ingress.stop(10.0))
    received = b""
    while chunk := await reader.read(65_536):
        received += chunk
        if len(received) < 20_000:
            await asyncio.sleep(0.01)
    assert received == body
    assert not stop.done()
    writer.close()
    await asyncio.wait_for(stop, 0.3)
    assert not ingress.connections


async def test_caller_that_does_not_close_does_not_hold_up_the_stop(ingress):
    reader, writer = await send_behind_last_reply(ingress, b"x" * 30_000)
    assert len(await reader.read(-1)) == 30_000
    started = monotonic()
    await ingress.stop(10.0)
    assert monotonic() - started < connection_module.DELIVERED_LINGER_S + 0.3
    writer.close()


async def test_caller_that_stops_reading_is_given_up(ingress, monkeypatch):
    monkeypatch.setattr(connection_module, "LINGER_S", 0.2)
    _, writer = await send_behind_last_reply(ingress, b"x" * 100_000)
    writer.transport.pause_reading()
    started = monotonic()
    await ingress.stop(10.0)
    assert 0.1 < monotonic() - started < 1.0
    writer.transport.abort()


class BrokenBody(GatedBody):
    """Body that breaks off after its first chunk."""

    async def read(self):
        if len(self._chunks) == 1:
            raise AttemptError.at(Cause.CONNECTION_LOST, Stage.ANSWERED, "broken off")
        return self._chunks.pop(0)


@pytest.mark.parametrize("length", [-1, 4])
async def test_answer_that_breaks_off_does_not_cut_the_one_before(ingress, length):
    """The connection was aborted, and with it what the caller had yet to read."""
    body = b"x" * 60_000

    async def serve(call):
        if call.target == "/first":
            return Reply(200, "OK", b"", body)
        return Reply(200, "OK", b"", stream=BrokenBody(None), length=length)

    ingress.serve = serve
    reader, writer = await connect_slowly(ingress)
    await until(lambda: ingress.connections)
    (connection,) = ingress.connections
    # Bytes that do not fit wait in the process.
    sock = connection.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    writer.write(GET % b"first" + GET % b"second")
    await asyncio.sleep(0.1)
    answer = await read_response(reader)
    assert len(answer.body) == len(body)
    assert not (await asyncio.wait_for(read_response(reader), 5)).complete
    writer.close()


async def test_answer_for_http_1_0_that_breaks_off_is_a_failure(ingress):
    """The connection was closed without any answer."""

    async def serve(call):
        return Reply(200, "OK", b"", stream=BrokenBody(None))

    ingress.serve = serve
    reader, writer = await connect(ingress)
    writer.write(b"GET /a HTTP/1.0\r\nHost: x\r\n\r\n")
    assert (await read_response(reader)).status == 502
    writer.close()


@pytest.mark.parametrize("pause_s", [0.0, 0.02])
@pytest.mark.parametrize("fault", ["refused", "malformed"])
async def test_answer_to_a_refused_upload_arrives(ingress, fault, pause_s, monkeypatch):
    """The rest of the upload met a closed socket, so the caller saw only a reset."""
    monkeypatch.setattr(connection_module, "LINGER_S", 0.3)

    async def serve(call):
        return Reply(413, "Content Too Large", b"", b"no")

    ingress.serve = serve
    reader, writer = await connect(ingress)
    field = b"Bad Name: 1\r\n" if fault == "malformed" else b""
    head = b"POST /p HTTP/1.1\r\nHost: x\r\n%bContent-Length: 2000000\r\n\r\n"
    writer.write(head % field)
    for _ in range(40):
        await asyncio.sleep(pause_s)
        writer.write(b"x" * 50_000)
        await writer.drain()
    answer = await read_response(reader)
    assert answer.status == (400 if fault == "malformed" else 413)
    assert await asyncio.wait_for(reader.read(), 5) == b""
    writer.close()


async def test_waiting_replies_are_closed_when_their_caller_leaves(service, ingress):
    """Each kept its connection to the worker until the time limit of its request."""
    service.streams = dict.fromkeys(("/a", "/b"), asyncio.Event())
    _, writer = await connect(ingress)
    writer.write(GET % b"a" + GET % b"b")
    await until(lambda: len(service.bodies) == 2)
    writer.transport.abort()
    await until(lambda: all(body.is_closed for body in service.bodies), 2)
