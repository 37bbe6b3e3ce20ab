"""Callers outside the limits, and the process of the node that they meet."""

import asyncio
import contextlib
import os
import random
from pathlib import Path

from mangowell_standins.node_process import CALLER_PORT, NodeProcess
from mangowell_standins.platform_store import PlatformStore
from mangowell_standins.platform_values import make_document, make_entry, make_route
from mangowell_standins.scripted_http import (
    ScriptedBackend,
    make_answer,
    read_response,
)
from mesh.support_mesh import make_request

# Time for which a crowd keeps sending, in seconds.
CROWD_S = 4.0
# Connections that one caller opens, one after the other.
CONNECTIONS_PER_CALLER = 3
SAMPLE_INTERVAL_S = 0.05
# Upper limit of the waits for a condition, in seconds.
WAIT_S = 15.0
SMALL_ANSWER = b"ok" * 2000
LARGE_ANSWER = b"x" * 1_000_000
BLOCK = b"a" * 32_768
_MEGABYTE = 1_048_576


class ProcessUsage:
    """Resident memory and open descriptors of a process, with their maxima."""

    def __init__(self, pid):
        self._root = Path(f"/proc/{pid}")
        self.memory_mb = self.descriptors = 0.0
        self.max_memory_mb = self.max_descriptors = 0.0

    def sample(self):
        pages = int((self._root / "statm").read_text().split()[1])
        self.memory_mb = pages * os.sysconf("SC_PAGE_SIZE") / _MEGABYTE
        self.descriptors = len(os.listdir(self._root / "fd"))
        self.max_memory_mb = max(self.max_memory_mb, self.memory_mb)
        self.max_descriptors = max(self.max_descriptors, self.descriptors)

    async def watch(self):
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)


class LimitedNode:
    """Process of a node with low limits, its worker and its store."""

    def __init__(self, process, worker, store):
        self.process = process
        self.worker = worker
        self.store = store
        self.usage = None

    @property
    def is_alive(self):
        return Path(f"/proc/{self.process.pid}/statm").read_text() != "" and (
            self.process.handles_signals
        )

    async def connect(self):
        return await asyncio.open_connection(self.process.host, CALLER_PORT)

    async def call(self):
        """Send one ordinary request and return its status."""
        reader, writer = await self.connect()
        try:
            writer.write(make_request("/small", timeout_ms=8000, request="ordinary"))
            async with asyncio.timeout(WAIT_S):
                return (await read_response(reader)).status
        finally:
            writer.close()

    async def wait_until_ready(self):
        async with asyncio.timeout(WAIT_S):
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    if await self.call() == 200:
                        return
                await asyncio.sleep(0.1)


async def _answer(request):
    body = LARGE_ANSWER if request.target == "/large" else SMALL_ANSWER
    request_id = request.headers["request-id"]
    return make_answer(body, headers=f"Request-Id: {request_id}\r\n")


def make_fields(store_port, memory_mb):
    """Return the settings of a node's process."""
    return {
        "zone": "z",
        "service": "orders",
        "platform.address": f"127.0.0.1:{store_port}",
        "bounds.grace": "3s",
        "bounds.retry-budget-ratio": "0.2",
        "bounds.budget-min-retries": "60",
        "bounds.budget-window": "10s",
        "bounds.warmup-overage": "1.5",
        "bounds.warmup-slack": "8",
        "bounds.evacuate": "5s",
        "limits.memory-mb": str(memory_mb),
    }


@contextlib.asynccontextmanager
async def run_limited_node(directory, memory_mb, max_fds, answer=_answer):
    """Run the process of one node, whose settings name low limits."""
    route = make_route("/", timeout="8000ms")
    upload = make_route("/upload/", "upload", timeout="4000ms")
    store = await PlatformStore().start()
    store.put("op/config", make_document(routes={"r1": route, "r2": upload}))
    fields = make_fields(store.port, memory_mb) | {"limits.max-fds": str(max_fds)}
    process = NodeProcess(1, directory, fields)
    worker = await ScriptedBackend(answer).start(host=process.host)
    fields["app-addr"] = f"{process.host}:{worker.port}"
    process.fields |= fields
    store.put("servers/i-1", make_entry(process.host, worker.port))
    node = LimitedNode(process, worker, store)
    try:
        await process.start()
        await node.wait_until_ready()
        node.usage = ProcessUsage(process.pid)
        node.usage.sample()
        yield node
    finally:
        process.send_signal(9)
        await process.wait(WAIT_S)
        worker.crash()
        await store.stop()


# What one caller does on one connection. Each kind writes until the node closes the
# connection or the crowd is over.


async def _write_on(writer, block):
    while True:
        writer.write(block)
        await writer.drain()


async def send_large_heads(reader, writer, rng):
    fields = b"".join(b"A%d: %b\r\n" % (n, b"v" * 900) for n in range(100))
    head = make_request().removesuffix(b"\r\n") + fields + b"\r\n"
    while True:
        writer.write(head)
        await writer.drain()
        await reader.readuntil(b"\r\n\r\n")


async def send_endless_field_line(reader, writer, rng):
    writer.write(make_request().removesuffix(b"\r\n") + b"A: ")
    await _write_on(writer, BLOCK)


async def send_endless_fields(reader, writer, rng):
    writer.write(make_request().removesuffix(b"\r\n"))
    await _write_on(writer, b"".join(b"A%d: b\r\n" % n for n in range(2000)))


async def send_large_endless_fields(reader, writer, rng):
    """Fill each line, so that a bound of single lines does not bound the head."""
    writer.write(make_request().removesuffix(b"\r\n"))
    for number in range(100):
        writer.write(b"A%d: %b\r\n" % (number, b"v" * 16_000))
        await writer.drain()
    await asyncio.sleep(CROWD_S)


async def send_endless_request_line(reader, writer, rng):
    writer.write(b"GET /")
    await _write_on(writer, BLOCK)


async def send_endless_empty_lines(reader, writer, rng):
    await _write_on(writer, b"\r\n" * 8192)


async def hold_head_open(reader, writer, rng):
    writer.write(make_request().removesuffix(b"\r\n") + b"A: " + b"v" * 8000)
    await asyncio.sleep(CROWD_S)


async def pipeline_without_reading(reader, writer, rng):
    writer.transport.pause_reading()
    head = make_request("/small", timeout_ms=8000).removesuffix(b"\r\n")
    await _write_on(writer, (head + b"A: " + b"v" * 400 + b"\r\n\r\n") * 40)


async def read_half_of_answers(reader, writer, rng):
    writer.write(make_request("/large", timeout_ms=8000) * 16)
    await reader.readexactly(10_000)
    writer.transport.pause_reading()
    await asyncio.sleep(CROWD_S)


async def stall_upload(reader, writer, rng):
    head = make_request("/upload/x", "POST").removesuffix(b"\r\n")
    writer.write(head + b"Content-Length: 900000\r\n\r\n" + b"u" * 600_000)
    await asyncio.sleep(CROWD_S)


def _make_chunked_head():
    head = make_request("/upload/x", "POST").removesuffix(b"\r\n")
    return head + b"Transfer-Encoding: chunked\r\n\r\n"


async def send_endless_chunk_size(reader, writer, rng):
    writer.write(_make_chunked_head())
    await _write_on(writer, b"0" * 32_768)


async def send_endless_chunk_extension(reader, writer, rng):
    writer.write(_make_chunked_head() + b"5;")
    await _write_on(writer, BLOCK)


async def send_endless_small_chunks(reader, writer, rng):
    writer.write(_make_chunked_head())
    await _write_on(writer, b"1\r\nx\r\n" * 4000)


async def send_endless_trailers(reader, writer, rng):
    writer.write(_make_chunked_head() + b"0\r\n")
    await _write_on(writer, b"".join(b"T%d: b\r\n" % n for n in range(2000)))


KINDS = {
    "large-heads": send_large_heads,
    "endless-field-line": send_endless_field_line,
    "endless-fields": send_endless_fields,
    "large-endless-fields": send_large_endless_fields,
    "endless-request-line": send_endless_request_line,
    "endless-empty-lines": send_endless_empty_lines,
    "heads-held-open": hold_head_open,
    "pipelined-unread": pipeline_without_reading,
    "half-read-answers": read_half_of_answers,
    "stalled-uploads": stall_upload,
    "endless-chunk-size": send_endless_chunk_size,
    "endless-chunk-extension": send_endless_chunk_extension,
    "endless-small-chunks": send_endless_small_chunks,
    "endless-trailers": send_endless_trailers,
}


async def send_mixture(reader, writer, rng):
    await rng.choice(list(KINDS.values()))(reader, writer, rng)


async def _run_caller(node, kind, rng):
    for _ in range(CONNECTIONS_PER_CALLER):
        writer = None
        # The node may refuse, answer or reset at any point.
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError
        ):
            try:
                reader, writer = await node.connect()
                await kind(reader, writer, rng)
            finally:
                if writer is not None:
                    writer.transport.abort()
        await asyncio.sleep(0.2)


async def run_crowd(node, kind, count, seed=0):
    """Let callers misbehave for `CROWD_S`, and sample the process meanwhile."""
    rng = random.Random(seed)
    watching = asyncio.ensure_future(node.usage.watch())
    callers = [
        asyncio.ensure_future(_run_caller(node, kind, random.Random(rng.random())))
        for _ in range(count)
    ]
    try:
        await asyncio.wait(callers, timeout=CROWD_S)
    finally:
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)
