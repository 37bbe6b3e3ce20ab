"""Guards against nodes that bytes without end take the memory or the processor of.

A faulty worker sends bytes that are no answer until the connection is closed. A node
that keeps them, or that does much work for each, ends the requests of other callers
with it.
"""

import asyncio
import contextlib

import pytest

from mangowell_standins.scripted_http import make_answer, read_response
from mesh.support_callers import WAIT_S, run_limited_node
from mesh.support_mesh import make_request

CALLERS = 60
# Memory that the settings name, which the process may not exceed, in megabytes.
MEMORY_MB = 80
MAX_FDS = 1024
# Time for which callers send requests that get such bytes, in seconds.
CROWD_S = 2.0

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\n"
OTHER_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n" % 2**40
KINDS = {
    "empty-lines": (b"", b"\r\n" * 4096),
    "no-http": (b"", b"\0" * 8192),
    "status-line": (b"HTTP/1.1 200 ", b"b" * 8192),
    "fields": (HEAD, b"x-a: b\r\n" * 1000),
    "interim-answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 300),
    "body-of-another-answer": (OTHER_HEAD + LENGTH, b"x" * 32_768),
    "body": (HEAD + LENGTH, b"x" * 32_768),
    "chunk-size": (CHUNKED, b"0" * 8192),
    "chunk-extension": (CHUNKED + b"5;", b"a" * 8192),
    "one-byte-chunks": (CHUNKED, b"1\r\nx\r\n" * 2000),
    "trailers": (CHUNKED + b"0\r\n", b"x-a: b\r\n" * 1000),
}


def make_worker(start, repeated):
    """Return a worker that answers ``/endless`` with bytes without end."""

    async def answer(request):
        request_id = request.headers["request-id"].encode()
        if request.target != "/endless":
            return make_answer(b"ok", headers=f"Request-Id: {request_id.decode()}\r\n")
        writer = request.writer
        with contextlib.suppress(ConnectionError):
            writer.write(start.replace(b"%b", request_id))
            while not writer.is_closing():
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(0)

    return answer


async def call_endless(node, number, reads):
    """Send requests until cancelled, and read what comes or nothing."""
    while True:
        writer = None
        with contextlib.suppress(OSError, EOFError, ValueError):
            try:
                reader, writer = await node.connect()
                request = f"endless-{number}"
                writer.write(make_request("/endless", timeout_ms=2000, request=request))
                if not reads:
                    writer.transport.pause_reading()
                    await asyncio.sleep(CROWD_S)
                while await reader.read(65_536):
                    pass
            finally:
                if writer is not None:
                    writer.transport.abort()
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("reads", [True, False], ids=["read", "unread"])
@pytest.mark.parametrize("start,repeated", KINDS.values(), ids=KINDS)
async def test_endless_bytes_of_a_worker_exhaust_no_memory(
    tmp_path, start, repeated, reads
):
    """Others reported a machine that kept such bytes and ran out of memory."""
    worker = make_worker(start, repeated)
    async with run_limited_node(tmp_path, MEMORY_MB, MAX_FDS, worker) as node:
        watching = asyncio.ensure_future(node.usage.watch())
        callers = [
            asyncio.ensure_future(call_endless(node, number, reads))
            for number in range(CALLERS)
        ]
        await asyncio.sleep(CROWD_S)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)
        print(f"most {node.usage.max_memory_mb:.0f} MB")
        assert node.is_alive
        assert node.usage.max_memory_mb < MEMORY_MB
        reader, writer = await node.connect()
        writer.write(make_request("/small", timeout_ms=8000, request="ordinary"))
        async with asyncio.timeout(WAIT_S):
            assert (await read_response(reader)).status == 200
        writer.close()
