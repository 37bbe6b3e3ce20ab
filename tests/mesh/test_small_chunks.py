"""Guards against uploads in small chunks that keep a node from all other work."""

import asyncio
import contextlib
from time import monotonic

import pytest

from mangowell_core.mesh.framing_budget import FRAMING_RATE, FREE_FRAMING_BYTES
from mangowell_node.ingress.connection import (
    DISCARDED_BYTES,
    LINGER_CHECK_INTERVAL_S,
    PARSED_PIECE_BYTES,
    CallerConnection,
)
from mangowell_standins.platform_values import make_document, make_route
from mesh.support_callers import send_endless_small_chunks
from mesh.support_mesh import make_request, run_mesh
from mesh.test_pipelining import echo_target, make_post_head
from node.support_calls import read_response

CALLERS = 20
# The most that the event loop reads at once.
READ_BYTES = 262_144
CHUNKED = b"Transfer-Encoding: chunked"
SMALL_CHUNK = b"1\r\nx\r\n"
DOCUMENT = make_document(
    routes={
        "r1": make_route("/", timeout="8000ms"),
        "r2": make_route("/upload/", "upload", timeout="8000ms"),
    }
)


async def upload_endlessly(machine):
    reader, writer = await machine.connect()
    with contextlib.suppress(ConnectionError):
        await send_endless_small_chunks(reader, writer, None)
    writer.close()


async def test_endless_small_chunks_are_parsed_at_a_bounded_rate(monkeypatch):
    """Each read of them took 0.1 s, so that 20 callers held a core."""
    sizes = []
    parse = CallerConnection._parse

    def count(connection, data):
        sizes.append(len(data))
        parse(connection, data)

    monkeypatch.setattr(CallerConnection, "_parse", count)
    async with run_mesh(document=DOCUMENT) as (_, (machine,)):
        started = monotonic()
        callers = [
            asyncio.create_task(upload_endlessly(machine)) for _ in range(CALLERS)
        ]
        await asyncio.sleep(1.0)
        parsed, elapsed = sum(sizes), monotonic() - started
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
    # Five of the six bytes of such a chunk are framing.
    free = CALLERS * (2 * FREE_FRAMING_BYTES + 2 * PARSED_PIECE_BYTES)
    assert 0 < parsed <= free + 1.3 * FRAMING_RATE * elapsed


@pytest.mark.parametrize("count", [1, 100, 10_000, 50_000])
async def test_upload_in_small_chunks_arrives_whole(count):
    """Parsing that waits for its turn must go on, also for the requests behind it."""
    async with run_mesh(document=DOCUMENT) as (_, (machine,)):
        machine.worker.handler = echo_target
        reader, writer = await machine.connect()
        for number in range(3):
            writer.write(make_post_head(CHUNKED))
            writer.write(SMALL_CHUNK * count + b"0\r\n\r\n")
            writer.write(make_request(f"/{number}", timeout_ms=8000))
        for number in range(3):
            async with asyncio.timeout(8.0):
                assert (await read_response(reader)).body == b"/post" + b"x" * count
                assert (await read_response(reader)).body == b"/%d" % number
        writer.close()


async def test_pipelined_uploads_in_small_chunks_arrive_whole():
    async with run_mesh(document=DOCUMENT) as (_, (machine,)):
        machine.worker.handler = echo_target
        reader, writer = await machine.connect()
        upload = make_post_head(CHUNKED) + SMALL_CHUNK * 300 + b"0\r\n\r\n"
        writer.write(upload * 40)
        for _ in range(40):
            async with asyncio.timeout(8.0):
                assert (await read_response(reader)).body == b"/post" + b"x" * 300
        writer.close()


async def test_rest_of_a_refused_upload_is_discarded_at_a_bounded_rate(monkeypatch):
    """60 callers that went on sending kept a node's core busy for 30 s."""
    calls = []
    receive = CallerConnection.data_received

    def count(connection, data):
        calls.append(len(data))
        receive(connection, data)

    monkeypatch.setattr(CallerConnection, "data_received", count)
    async with run_mesh(document=DOCUMENT) as (_, (machine,)):
        reader, writer = await machine.connect()
        writer.write(make_post_head(b"Content-Length: %d" % 2**40))
        assert (await read_response(reader)).status == 413
        calls.clear()
        started = monotonic()
        sending = asyncio.create_task(send_blocks(writer))
        await asyncio.sleep(1.0)
        discarded, elapsed = sum(calls), monotonic() - started
        assert not sending.done()
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        writer.close()
    checks = elapsed / LINGER_CHECK_INTERVAL_S + 2
    assert 0 < discarded <= checks * (DISCARDED_BYTES + READ_BYTES)


async def send_blocks(writer):
    while True:
        writer.write(b"x" * 32_768)
        await writer.drain()
        await asyncio.sleep(0)
