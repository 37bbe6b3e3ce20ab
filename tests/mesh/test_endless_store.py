"""Guards against nodes that take all that a faulty store sends."""

import asyncio
import contextlib
import json

import pytest

from mangowell_core.mesh.settings import Address
from mangowell_node.platform.store import MAX_ANSWER_BYTES, StoreClient, StoreError
from mangowell_standins.node_process import NodeProcess
from mangowell_standins.ports import find_port
from mesh.support_callers import ProcessUsage, make_fields

MEMORY_MB = 80
# Time for which the store sends, in seconds.
CROWD_S = 3.0
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
KINDS = {
    "empty-lines": (b"", b"\r\n" * 4096),
    "no-http": (b"", b"\0" * 8192),
    "fields": (HEAD, b"x-a: b\r\n" * 1000),
    "interim-answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 300),
    "body": (HEAD + b"Content-Length: %d\r\n\r\n" % 2**40, b"x" * 32_768),
    "body-without-length": (HEAD + b"\r\n", b"x" * 32_768),
    "large-chunks": (CHUNKED, b"8000\r\n" + b"x" * 32_768 + b"\r\n"),
    "one-byte-chunks": (CHUNKED, b"1\r\nx\r\n" * 2000),
    "chunk-extension": (CHUNKED + b"5;", b"a" * 8192),
    "trailers": (CHUNKED + b"0\r\n", b"x-a: b\r\n" * 1000),
}


@contextlib.asynccontextmanager
async def run_store(answer):
    """Run a store that lets a function write to each connection."""
    tasks = set()

    async def serve(reader, writer):
        tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            await answer(reader, writer)
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def make_endless(start, repeated):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(start)
        while not writer.is_closing():
            writer.write(repeated)
            await writer.drain()
            await asyncio.sleep(0)

    return answer


@pytest.mark.parametrize("start,repeated", KINDS.values(), ids=KINDS)
async def test_endless_bytes_of_the_store_exhaust_no_memory(tmp_path, start, repeated):
    """A node kept all that arrived within 10 s."""
    async with run_store(make_endless(start, repeated)) as port:
        process = NodeProcess(1, tmp_path, make_fields(port, MEMORY_MB))
        process.fields["app-addr"] = f"{process.host}:{find_port()}"
        try:
            await process.start()
            usage = ProcessUsage(process.pid)
            watching = asyncio.ensure_future(usage.watch())
            await asyncio.sleep(CROWD_S)
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)
            print(f"most {usage.max_memory_mb:.0f} MB")
            assert usage.max_memory_mb < MEMORY_MB
            assert process.handles_signals
        finally:
            process.send_signal(9)
            await process.wait(15.0)


async def test_endless_pages_of_a_listing_are_refused_at_a_bound():
    """Each page advances, so that the listing never ends."""
    pages = 0

    async def answer(reader, writer):
        nonlocal pages
        while True:
            await reader.readuntil(b"\r\n\r\n")
            pages += 1
            item = {"key": f"servers/{pages:09}", "mod-rev": 5, "value": "a" * 400_000}
            page = {"items": [item], "has-more": True, "as-of": 5}
            body = json.dumps(page).encode()
            writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)

    async with run_store(answer) as port:
        client = StoreClient(Address("127.0.0.1", port))
        await client.start()
        try:
            with pytest.raises(StoreError, match="listing of more than"):
                await client.list_endpoints()
        finally:
            await client.close()
    assert pages <= MAX_ANSWER_BYTES // 400_000 + 1
