"""Tests of bytes that are no answer and go on until the connection is closed."""

import asyncio
import contextlib
from time import monotonic, process_time

import pytest

from mangowell_core.mesh.framing_budget import FRAMING_RATE, FREE_FRAMING_BYTES
from mangowell_core.policy.types import Cause
from mangowell_node.backend.connection import (
    MAX_HEADS,
    MAX_SKIPPED_BYTES,
    PARSED_PIECE_BYTES,
    BackendConnection,
)
from mangowell_node.exchange import AttemptError
from mangowell_node.platform.headers import PlatformDialect
from node.support_calls import make_answer
from node.test_backend import HEAD, exchange, make_head, run_pool

CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
DEADLINE_S = 3.0
# A refusal at a bound in bytes takes milliseconds; the rest is for a busy machine.
REFUSED_WITHIN_S = 0.5

ENDLESS = {
    "interim-answers": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 200),
    "interim-without-fields": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 200),
    "chunk-size-of-zeros": (CHUNKED, b"0" * 8192),
    "chunk-extension": (CHUNKED + b"5;", b"a" * 8192),
    "small-chunks-with-long-extensions": (
        CHUNKED,
        b"1;" + b"a" * 8000 + b"\r\nx\r\n",
    ),
    "trailers": (CHUNKED + b"0\r\n", b"x-a: b\r\n" * 1000),
    "fields": (HEAD, b"x-a: b\r\n" * 1000),
    "one-field": (HEAD + b"x-a: ", b"b" * 8192),
    "status-line": (b"HTTP/1.1 200 ", b"b" * 8192),
    "no-http": (b"", b"\0" * 8192),
    "empty-lines": (b"", b"\r\n" * 4096),
}
# Starts of bytes without end, each of which took the parser thousands of calls.
SMALL_PIECES = {
    "empty-lines": b"\r\n" * 4096,
    "line-feeds": b"\n" * 8192,
    "interim-answers": b"HTTP/1.1 102 Processing\r\n\r\n" * 300,
    "empty-lines-between": (b"\r\n" * 500 + b"HTTP/1.1 102 P\r\n\r\n") * 8,
}


def write_endlessly(start, repeated):
    async def handler(request):
        request.writer.write(start)
        with contextlib.suppress(ConnectionError):
            while True:
                request.writer.write(repeated)
                await request.writer.drain()

    return handler


async def read_whole_answer(pool, target="/"):
    answer = await exchange(pool, make_head(target=target), DEADLINE_S)
    while answer.stream is not None and await answer.stream.read():
        pass


@pytest.mark.parametrize("start,repeated", ENDLESS.values(), ids=ENDLESS)
async def test_bytes_without_end_are_refused_at_a_bound(start, repeated):
    """Such a worker held a core of the node until the deadline of the request."""
    async with run_pool(write_endlessly(start, repeated)) as (_, pool):
        started = monotonic()
        with pytest.raises(AttemptError) as info:
            await read_whole_answer(pool)
        assert info.value.refusal.cause is Cause.BAD_ANSWER
        assert monotonic() - started < REFUSED_WITHIN_S
        assert pool.take_idle() is None


def count_calls(monkeypatch):
    """Return a list that gets the size of each piece that the parser is given."""
    sizes = []
    feed = BackendConnection._feed

    def count(conn, data):
        sizes.append(len(data))
        return feed(conn, data)

    monkeypatch.setattr(BackendConnection, "_feed", count)
    return sizes


@pytest.mark.parametrize("repeated", SMALL_PIECES.values(), ids=SMALL_PIECES)
async def test_bytes_before_an_answer_take_few_calls_of_the_parser(
    monkeypatch, repeated
):
    """16,000 calls for each exchange held a core, and other requests came late."""
    sizes = count_calls(monkeypatch)
    async with run_pool(write_endlessly(b"", repeated)) as (_, pool):
        with pytest.raises(AttemptError) as info:
            await read_whole_answer(pool)
        assert info.value.refusal.cause is Cause.BAD_ANSWER
    assert len(sizes) <= MAX_HEADS


@pytest.mark.parametrize("line", [b"\r\n", b"\n", b"\r\n" * 2000])
async def test_answer_behind_empty_lines_is_read(line):
    answer_bytes = line + make_answer(b"ok")

    async def handler(request):
        return answer_bytes

    async with run_pool(handler) as (_, pool):
        for _ in range(2):
            assert (await exchange(pool, make_head())).head.body == b"ok"


async def test_endless_body_of_a_late_answer_is_refused_at_a_bound(monkeypatch):
    """Nobody reads such a body, so it went on until the deadline of the request."""
    length = 2**40
    body = HEAD + b"Request-Id: other\r\nContent-Length: %d\r\n\r\n" % length
    sizes = []
    received = BackendConnection.data_received

    def count(conn, data):
        sizes.append(len(data))
        received(conn, data)

    monkeypatch.setattr(BackendConnection, "data_received", count)
    async with run_pool(write_endlessly(body, b"x" * 8192)) as (_, pool):
        pool.dialect = PlatformDialect()
        with pytest.raises(AttemptError) as info:
            await read_whole_answer(pool)
        assert info.value.refusal.cause is Cause.BAD_ANSWER
    assert sum(sizes) < 2 * MAX_SKIPPED_BYTES


async def test_endless_body_ends_incomplete_at_the_deadline():
    """A body that makes progress is passed on, but must not look complete."""
    chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
    async with run_pool(write_endlessly(CHUNKED, chunk)) as (_, pool):
        answer = await exchange(pool, make_head(), 0.3)
        with pytest.raises(AttemptError) as info:
            while await answer.stream.read():
                # A caller on a narrow link; the worker has to wait for it.
                await asyncio.sleep(0.01)
        assert info.value.refusal.cause is Cause.DEADLINE


async def test_one_byte_chunks_are_a_valid_answer():
    data = CHUNKED + b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n"

    async def handler(request):
        return data

    async with run_pool(handler) as (_, pool):
        answer = await exchange(pool, make_head())
        body = b""
        while part := await answer.stream.read():
            body += part
        assert body == b"x" * 20_000


async def test_other_requests_go_on_beside_endless_answers():
    """Ten endless answers at once used to take all of the node's processor time."""
    start, repeated = ENDLESS["chunk-size-of-zeros"]
    endless = write_endlessly(start, repeated)

    async def handler(request):
        if request.target == "/endless":
            return await endless(request)
        return make_answer(b"ok")

    async with run_pool(handler, limit=20) as (_, pool):
        started = process_time()
        readers = [
            asyncio.create_task(read_whole_answer(pool, "/endless")) for _ in range(10)
        ]
        for _ in range(20):
            answer = await exchange(pool, make_head(), 1.0)
            assert answer.head.body == b"ok"
        ends = await asyncio.gather(*readers, return_exceptions=True)
        assert [end.refusal.cause for end in ends] == [Cause.BAD_ANSWER] * 10
        assert process_time() - started < REFUSED_WITHIN_S * 2


async def test_one_byte_chunks_are_parsed_at_a_bounded_rate(monkeypatch):
    """20 such answers took all of the processor, and other requests came late."""
    sizes = count_calls(monkeypatch)
    endless = write_endlessly(CHUNKED, b"1\r\nx\r\n" * 2000)
    async with run_pool(endless, limit=20) as (_, pool):
        started = monotonic()
        readers = [asyncio.create_task(read_whole_answer(pool)) for _ in range(20)]
        await asyncio.sleep(1.0)
        parsed = sum(sizes)
        elapsed = monotonic() - started
        for reader in readers:
            reader.cancel()
        await asyncio.gather(*readers, return_exceptions=True)
    # Five of the six bytes of such a chunk are framing.
    free = 20 * (2 * FREE_FRAMING_BYTES + 2 * PARSED_PIECE_BYTES)
    assert free < parsed <= free + 1.2 * FRAMING_RATE * elapsed
