"""Guards the client of the configuration service against bad answers."""

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
from mangowell_node.reach import Reach
from mangowell_node.source import (
    MAX_VALUE_BYTES,
    READ_OVERHEAD_BYTES,
    SourceClient,
)
from mangowell_node.telemetry import Telemetry

KEY = "documents/test"
ANSWER_S = 10
HEADERS = {"ETag": '"d1"', "X-Revision": "7"}
GZIPPED = {**HEADERS, "Content-Encoding": "gzip"}
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
    """Give a function that reads `KEY` from a service with a fixed answer."""
    closing = []

    async def read_answer(respond, *, after="", wait_s=0.0, reach=None):
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
            reach or Reach(),
            events.put_nowait,
        )
        await client.start()
        closing.extend((client.close, runner.cleanup))
        deadline = asyncio.get_running_loop().time() + wait_s
        client.read(ReadSource(KEY, after, deadline))
        return await asyncio.wait_for(events.get(), ANSWER_S)

    yield read_answer
    for close in closing:
        await close()


def answer(**kwargs):
    async def respond(req):
        return web.Response(**kwargs)

    return respond


async def test_value_is_read(read):
    event = await read(answer(body=b"text", headers=HEADERS))
    assert event == SourceValue(KEY, b"text", "d1", 7, 4 + READ_OVERHEAD_BYTES)


async def test_compressed_value_is_read(read):
    """Whole documents must not cross the wire uncompressed at each change."""
    body = b"[service stock]\n" * 1000
    packed = gzip.compress(body)

    async def respond(req):
        assert req.headers["Accept-Encoding"] == "gzip"
        headers = {**HEADERS, "Content-Encoding": "gzip"}
        return web.Response(body=packed, headers=headers)

    event = await read(respond)
    assert (event.body, event.wire_bytes) == (body, len(packed) + READ_OVERHEAD_BYTES)


async def test_watch_sends_digest_and_wait(read):
    seen = {}

    async def respond(req):
        seen.update(req.query, path=req.match_info["key"])
        return web.Response(status=304)

    assert await read(respond, after="d0", wait_s=5) == SourceUnchanged(KEY)
    assert seen["after"] == "d0" and seen["path"] == KEY
    assert 4000 < int(seen["wait_ms"]) <= 5000


@pytest.mark.parametrize(
    "respond",
    [
        answer(status=503),
        answer(status=429),
        answer(body=b"text"),
        answer(body=b"text", headers={"ETag": '"d"', "X-Revision": "-1"}),
        answer(body=bytes(MAX_VALUE_BYTES + 1), headers=HEADERS),
        answer(body=b"text", headers=GZIPPED),
        answer(body=gzip.compress(b"text")[:-1], headers=GZIPPED),
        answer(body=gzip.compress(bytes(50 * MAX_VALUE_BYTES)), headers=GZIPPED),
        answer(body=b"text", headers={**HEADERS, "Content-Encoding": "br"}),
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
async def test_unusable_answer_fails(read, respond):
    assert isinstance(await read(respond), SourceFailed)


async def test_silent_service_times_out(read):
    """A service that accepts and never answers must not hold a read forever."""

    async def respond(req):
        await asyncio.sleep(5)

    assert isinstance(await read(respond), SourceFailed)


async def test_truncated_body_fails(read):
    """Half a document must not be taken for a whole one."""

    async def respond(req):
        resp = web.StreamResponse(headers={**HEADERS, "Content-Length": "100"})
        await resp.prepare(req)
        await resp.write(b"half")
        req.transport.close()
        return resp

    assert isinstance(await read(respond), SourceFailed)


async def test_cut_source_fails(read):
    class Cut(Reach):
        def allows(self, host, port):
            return False

    event = await read(answer(body=b"text", headers=HEADERS), reach=Cut())
    assert isinstance(event, SourceFailed)
