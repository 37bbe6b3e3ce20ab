"""Guards against bytes that a backend server sends after a complete answer."""

import asyncio
import socket

import pytest

from mangowell_node.backend import BackendPool
from mangowell_node.exchange import AttemptError, RequestHead
from mangowell_node.platform import PlatformDialect
from mangowell_node.reach import AddressFilter
from node.support_calls import ScriptedBackend, make_answer
from node.test_backend import HEAD, exchange, make_head, run_pool

EXTRA = make_answer(b"second", headers="X-Other: 1\r\n")
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n"
TRAILED = CHUNKED[:-2] + b"X-Trailer: 1\r\n\r\n"


async def read_body(pool):
    answer = await exchange(pool, make_head())
    body = answer.head.body
    while answer.stream is not None and (chunk := await answer.stream.read()):
        body += chunk
    return body


@pytest.mark.parametrize("answer", [CHUNKED, TRAILED], ids=["chunks", "trailers"])
async def test_connection_with_a_part_of_an_extra_answer_is_not_reused(answer):
    """The parser kept that part, and took the next answer for its continuation."""
    cuts = iter(range(1, len(EXTRA) + 1))

    async def handler(request):
        cut = next(cuts)
        return answer + EXTRA[:cut]

    async with run_pool(handler) as (_, pool):
        for cut in range(1, len(EXTRA) + 1):
            assert await read_body(pool) == b"first"
            assert pool.take_idle() is None, EXTRA[:cut]


@pytest.mark.parametrize("answer", [CHUNKED, TRAILED], ids=["chunks", "trailers"])
async def test_connection_is_reused_after_chunks_in_any_split(answer):
    cuts = iter(range(1, len(answer) + 1))

    async def handler(request):
        cut = next(cuts)
        request.writer.write(answer[:cut])
        await asyncio.sleep(0.001)
        return answer[cut:]

    async with run_pool(handler) as (backend, pool):
        for _ in range(1, len(answer) + 1):
            assert await read_body(pool) == b"first"
        assert backend.connections == 1


async def test_connection_on_which_bytes_wait_is_not_reused():
    """They arrive before the request, but the loop reads them only after it."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        loop = asyncio.get_running_loop()
        port = listener.getsockname()[1]
        pool = BackendPool("127.0.0.1", port, AddressFilter())
        calling = asyncio.create_task(exchange(pool, make_head()))
        peer, _ = await loop.sock_accept(listener)
        with peer:
            await loop.sock_recv(peer, 65_536)
            peer.send(make_answer(b"first"))
            assert (await calling).head.body == b"first"
            peer.send(EXTRA)
            assert pool.take_idle() is None
        pool.close()


async def test_idle_connection_without_waiting_bytes_is_reused():
    async with run_pool() as (backend, pool):
        for _ in range(3):
            await exchange(pool, make_head())
        assert backend.connections == 1


@pytest.mark.parametrize("size", [0, 70_000, 300_000])
async def test_late_answer_of_any_length_does_not_hold_up_the_next_one(size):
    """Nobody read its body, so that the connection stood still at 128 KB."""
    late = make_answer(b"y" * size, headers="Request-Id: old\r\n")

    async def handler(request):
        request.writer.write(late)
        request_id = request.headers["x-request"]
        return make_answer(b"ok", headers=f"Request-Id: {request_id}\r\n")

    backend = await ScriptedBackend(handler).start()
    dialect = PlatformDialect()
    pool = BackendPool("127.0.0.1", backend.port, AddressFilter(), 4, dialect)
    try:
        fields = b"Host: x\r\nX-Request: new\r\n"
        head = RequestHead(
            "new", "s", "GET", "/", fields, "", "c", 0, False, 0, True, instance="i"
        )
        answer = await exchange(pool, head, 1.0)
        assert answer.head.body == b"ok"
        assert pool.take_idle() is None
    finally:
        pool.close()
        backend.crash()


async def test_answer_that_the_node_itself_breaks_off_is_not_complete():
    """The end of the connection completes an answer without length, but not this."""

    async def handler(request):
        head = "HTTP/1.1 200 OK\r\nRequest-Id: new\r\n\r\n"
        request.writer.write(head.encode() + b"x" * 70_000)
        await asyncio.sleep(30)

    backend = await ScriptedBackend(handler).start()
    dialect = PlatformDialect()
    pool = BackendPool("127.0.0.1", backend.port, AddressFilter(), 4, dialect)
    try:
        head = RequestHead(
            "new", "s", "GET", "/", b"Host: x\r\n", "", "c", 0, False, 0, True
        )
        answer = await exchange(pool, head, 1.0)
        size = len(await answer.stream.read())
        with pytest.raises(AttemptError):
            pool.close()
            while chunk := await answer.stream.read():
                size += len(chunk)
    finally:
        pool.close()
        backend.crash()
