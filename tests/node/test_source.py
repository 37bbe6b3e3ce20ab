"""The client of the configuration service rejects unusable responses."""

import asyncio
import gzip
from dataclasses import replace

import pytest
from aiohttp import web

from mangowell_core.distribution.io import (
    ReadSource,
    SourceFailed,
    SourceUnchanged,
    SourceValue,
)
from mangowell_core.settings import NodeSettings, SourceSettings
from mangowell_node.reach import AddressFilter
from mangowell_node.source import (
    MAX_VALUE_BYTES,
    READ_OVERHEAD_BYTES,
    SourceClient,
)
from mangowell_node.telemetry import Telemetry

KEY = "documents/test"
RESULT_TIMEOUT_S = 10
HEADERS = {"ETag": '"d1"', "X-Revision": "7"}
GZIP_HEADERS = {**HEADERS, "Content-Encoding": "gzip"}
SETTINGS = NodeSettings(
    instance="one",
    service="stock",
    failure_domain="a",
    environment="test",
    host="127.0.0.1",
    control_port=1,
    link_port=2,
    call_port=3,
    admin_port=4,
    backend_port=5,
    source=SourceSettings("http://127.0.0.1:1", timeout_ms=500),
)


@pytest.fixture
async def read():
    """Return a function that reads `KEY` from a service with a given handler."""
    cleanups = []

    async def run_read(respond, *, after="", wait_s=0.0, reach=None):
        async def handle(req):
            return await respond(req)

        app = web.Application()
        app.router.add_get("/v1/values/{key:.*}", handle)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        source = SourceSettings(f"http://127.0.0.1:{port}", timeout_ms=500)
        events = asyncio.Queue()
        client = SourceClient(
            replace(SETTINGS, source=source),
            Telemetry("one", level="critical"),
            reach or AddressFilter(),
            events.put_nowait,
        )
        await client.start()
        cleanups.extend((client.close, runner.cleanup))
        deadline = asyncio.get_running_loop().time() + wait_s
        client.read(ReadSource(KEY, after, deadline))
        return await asyncio.wait_for(events.get(), RESULT_TIMEOUT_S)

    yield run_read
    for close in cleanups:
        await close()


def respond_with(**kwargs):
    async def respond(req):
        return web.Response(**kwargs)

    return respond


async def test_value_is_read(read):
    event = await read(respond_with(body=b"text", headers=HEADERS))
    assert event == SourceValue(KEY, b"text", "d1", 7, 4 + READ_OVERHEAD_BYTES)


async def test_compressed_value_is_read(read):
    """A change may transfer a whole document, so it must be sent compressed."""
    body = b"[service stock]\n" * 1000
    compressed = gzip.compress(body)

    async def respond(req):
        assert req.headers["Accept-Encoding"] == "gzip"
        headers = {**HEADERS, "Content-Encoding": "gzip"}
        return web.Response(body=compressed, headers=headers)

    event = await read(respond)
    assert (event.body, event.wire_bytes) == (
        body,
        len(compressed) + READ_OVERHEAD_BYTES,
    )


async def test_watch_sends_digest_and_wait(read):
    received = {}

    async def respond(req):
        received.update(req.query, path=req.match_info["key"])
        return web.Response(status=304)

    assert await read(respond, after="d0", wait_s=5) == SourceUnchanged(KEY)
    assert received["after"] == "d0" and received["path"] == KEY
    assert 4000 < int(received["wait_ms"]) <= 5000


@pytest.mark.parametrize(
    "respond",
    [
        respond_with(status=503),
        respond_with(status=429),
        respond_with(body=b"text"),
        respond_with(body=b"text", headers={"ETag": '"d"', "X-Revision": "-1"}),
        respond_with(body=bytes(MAX_VALUE_BYTES + 1), headers=HEADERS),
        respond_with(body=b"text", headers=GZIP_HEADERS),
        respond_with(body=gzip.compress(b"text")[:-1], headers=GZIP_HEADERS),
        respond_with(
            body=gzip.compress(bytes(50 * MAX_VALUE_BYTES)), headers=GZIP_HEADERS
        ),
        respond_with(body=b"text", headers={**HEADERS, "Content-Encoding": "br"}),
    ],
    ids=[
        "outage",
        "rate",
        "no-headers",
        "negative-revision",
        "oversized",
        "malformed-gzip",
        "truncated-gzip",
        "oversized-gzip",
        "unknown-coding",
    ],
)
async def test_unusable_response_fails(read, respond):
    assert isinstance(await read(respond), SourceFailed)


async def test_silent_service_times_out(read):
    """A service that accepts and never responds must not block a read forever."""

    async def respond(req):
        await asyncio.sleep(5)

    assert isinstance(await read(respond), SourceFailed)


async def test_truncated_body_fails(read):
    """A partly received document must not be used as a complete one."""

    async def respond(req):
        resp = web.StreamResponse(headers={**HEADERS, "Content-Length": "100"})
        await resp.prepare(req)
        await resp.write(b"half")
        req.transport.close()
        return resp

    assert isinstance(await read(respond), SourceFailed)


async def test_read_fails_if_the_service_is_cut_off(read):
    class UnreachableNetwork(AddressFilter):
        def is_allowed(self, host, port):
            return False

    event = await read(
        respond_with(body=b"text", headers=HEADERS), reach=UnreachableNetwork()
    )
    assert isinstance(event, SourceFailed)
