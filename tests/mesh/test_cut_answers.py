"""Guards against answers that a worker breaks off and that look whole to a caller.

Each answer is cut at each byte of its head and of its framing, and at some bytes of
a long body.
"""

import asyncio
import socket
import struct

import pytest

from mesh.support_mesh import fill_slots, make_request, run_mesh, until
from node.support_calls import read_response

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SHORT, LONG = b"0123456789", b"x" * 200_000
INTERIM = b"HTTP/1.1 103 Early Hints\r\nRequest-Id: id-1\r\n\r\n"


def make_head(*lines, status="200 OK"):
    fields = ("Request-Id: id-1", "Response-Stamp: s", *lines)
    return "".join(f"{n}\r\n" for n in (f"HTTP/1.1 {status}", *fields, "")).encode()


def make_sized(body):
    return make_head(f"Content-Length: {len(body)}") + body


def make_chunked(body, *trailers):
    middle = len(body) // 2
    answer = make_head("Transfer-Encoding: chunked")
    for part in (body[:middle], body[middle:]):
        answer += b"%x\r\n%b\r\n" % (len(part), part)
    return answer + b"0\r\n" + "".join(f"{t}\r\n" for t in (*trailers, "")).encode()


# Method, whole answer, whole body.
ANSWERS = {
    "length": ("POST", make_sized(SHORT), SHORT),
    "long": ("POST", make_sized(LONG), LONG),
    "chunks": ("POST", make_chunked(SHORT), SHORT),
    "trailers": ("POST", make_chunked(SHORT, "X-Trailer: 1"), SHORT),
    "long-chunks": ("POST", make_chunked(LONG), LONG),
    "interim": ("POST", INTERIM + make_sized(SHORT), SHORT),
    "interim-chunks": ("POST", INTERIM * 2 + make_chunked(SHORT), SHORT),
    "interim-until-close": ("POST", INTERIM + make_head() + SHORT, SHORT),
    "until-close": ("POST", make_head() + SHORT, SHORT),
    "long-until-close": ("POST", make_head() + LONG, LONG),
    "head": ("HEAD", make_head("Content-Length: 10"), b""),
    "no-content": ("POST", make_head(status="204 No Content"), b""),
    "not-modified": ("POST", make_head(status="304 Not Modified"), b""),
}


def list_cuts(answer):
    """Return all bytes of a short answer, and those around the framing of others."""
    start = answer.rindex(b"\r\n\r\n", 0, 400) + 8 if len(answer) > 1000 else 0
    if not start:
        return list(range(len(answer)))
    end = len(answer)
    return [*range(start), 65_536, 131_072, 131_073, 150_000, *range(end - 12, end)]


async def read_reply(machine, method):
    """Return the reply, or None if the connection ends within the head."""
    reader, writer = await machine.connect()
    try:
        writer.write(make_request("/pay/1", method, b"", "id-1"))
        return await read_response(reader, method)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    finally:
        writer.close()


async def check_cuts(caller, server, kind, is_reset):
    method, answer, body = ANSWERS[kind]
    cuts = iter(list_cuts(answer))

    async def handle(request):
        cut = next(cuts)
        request.writer.write(answer[:cut])
        await request.writer.drain()
        if is_reset:
            await asyncio.sleep(0.005)
            sock = request.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            request.writer.transport.abort()
        return None

    server.worker.handler = handle
    ends_by_close = "until-close" in kind and not is_reset
    head_end = len(answer) - len(body)
    for cut in list_cuts(answer):
        reply = await read_reply(caller, method)
        if ends_by_close and cut >= head_end:
            # The end of the connection is the end of this body, wherever it comes.
            assert reply.body == answer[head_end:cut], cut
            continue
        if reply is None or not reply.complete:
            continue
        assert (reply.status, "response-stamp" in reply.headers) == (502, False), cut
    assert len(server.worker.received) == len(list_cuts(answer))


@pytest.mark.parametrize("kind", ANSWERS)
async def test_answer_cut_at_any_byte_never_looks_whole(kind):
    async with run_mesh() as (_, (machine,)):
        await check_cuts(machine, machine, kind, False)


@pytest.mark.parametrize("kind", ["until-close", "long-until-close"])
async def test_reset_does_not_complete_an_answer_without_length(kind):
    async with run_mesh() as (_, (machine,)):
        await check_cuts(machine, machine, kind, True)


@pytest.mark.parametrize("kind", ANSWERS)
async def test_answer_of_a_remote_worker_cut_at_any_byte_never_looks_whole(kind):
    async with run_mesh(2) as (_, (caller, server)):
        await until(lambda: caller.node._links.links)
        fill_slots(caller, waiting=200)
        await check_cuts(caller, server, kind, False)
