"""Guards against requests of one connection that disturb each other."""

import asyncio

import pytest

from mangowell_standins.platform_values import make_document, make_route
from mesh.support_mesh import make_request, run_mesh, until
from node.support_calls import make_answer, read_response

TIMEOUT_MS = 8000
BODY = b"0123456789"
CHUNKED_BODY = b"a\r\n" + BODY + b"\r\n0\r\n\r\n"
# Framing of a body, and its bytes on the connection.
FRAMINGS = {
    "length": (b"Content-Length: 10", BODY),
    "chunks": (b"Transfer-Encoding: chunked", CHUNKED_BODY),
}
DOCUMENT = make_document(routes={"r1": make_route("/", timeout="8000ms")})


async def echo_target(request):
    """Answer with the target and the body of the request."""
    fields = f"Request-Id: {request.headers['request-id']}\r\n"
    return make_answer(request.target.encode() + request.body, headers=fields)


def make_post_head(framing, *fields, request="post"):
    head = make_request("/post", "POST", request=request, timeout_ms=TIMEOUT_MS)
    lines = [head.removesuffix(b"\r\n\r\n"), framing, *fields]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def make_gets(count, start=0):
    return [
        make_request(f"/{n}", request=f"get-{n}", timeout_ms=TIMEOUT_MS)
        for n in range(start, start + count)
    ]


@pytest.mark.parametrize("count", [14, 15, 16, 17, 30, 100])
@pytest.mark.parametrize("first_bytes", [0, 5])
@pytest.mark.parametrize("framing,body", FRAMINGS.values(), ids=FRAMINGS)
async def test_requests_behind_a_late_body_are_answered(
    count, first_bytes, framing, body
):
    """All but 15 of them were read, and none of these answered."""
    async with run_mesh(document=DOCUMENT) as (_, (machine,)):
        machine.worker.handler = echo_target
        gateway = machine.node.gateway
        reader, writer = await machine.connect()
        async with asyncio.timeout(TIMEOUT_MS / 1000):
            for is_apart in (True, False):
                writer.write(make_post_head(framing) + body[:first_bytes])
                await until(lambda: gateway.in_flight == 1)
                writer.write(body[first_bytes:])
                if is_apart:
                    assert (await read_response(reader)).body == b"/post" + BODY
                writer.write(b"".join(make_gets(count)))
                if not is_apart:
                    assert (await read_response(reader)).body == b"/post" + BODY
                for number in range(count):
                    assert (await read_response(reader)).body == b"/%d" % number
        writer.close()


@pytest.mark.parametrize("count", range(12, 22))
async def test_late_body_behind_pipelined_requests_is_read(count):
    """A request that waits for its body must not wait for others to be answered."""
    async with run_mesh(document=DOCUMENT) as (_, (machine,)):
        machine.worker.handler = echo_target
        reader, writer = await machine.connect()
        framing, body = FRAMINGS["length"]
        async with asyncio.timeout(TIMEOUT_MS / 1000):
            writer.write(b"".join(make_gets(count)) + make_post_head(framing))
            for number in range(count):
                assert (await read_response(reader)).body == b"/%d" % number
            writer.write(body + b"".join(make_gets(20, count)))
            assert (await read_response(reader)).body == b"/post" + BODY
            for number in range(20):
                assert (await read_response(reader)).body == b"/%d" % (count + number)
        writer.close()


EXPECT = b"Expect: 100-continue"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def read_continue(reader):
    assert await reader.readexactly(len(CONTINUE)) == CONTINUE


@pytest.mark.parametrize("earlier", [1, 2, 15])
@pytest.mark.parametrize("framing,body", FRAMINGS.values(), ids=FRAMINGS)
async def test_interim_reply_stands_between_replies(earlier, framing, body):
    """It stood inside the body of the reply before it, whose end was cut off."""
    page = b"page" * 90_000

    async def answer_slowly(request):
        if request.method == "POST":
            return await echo_target(request)
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request.headers['request-id']}\r\n"
        head += f"Content-Length: {len(page)}\r\n\r\n"
        request.writer.write(head.encode())
        last = len(page) - 36_000
        for start in range(0, last, 36_000):
            request.writer.write(page[start : start + 36_000])
            await asyncio.sleep(0.02)
        return page[last:]

    async with run_mesh(document=DOCUMENT) as (_, (machine,)):
        machine.worker.handler = answer_slowly
        reader, writer = await machine.connect()
        writer.write(b"".join(make_gets(earlier)))
        writer.write(make_post_head(framing, EXPECT))
        async with asyncio.timeout(TIMEOUT_MS / 1000):
            for _ in range(earlier):
                answer = await read_response(reader)
                assert answer.complete and answer.body == page
            await read_continue(reader)
            writer.write(body + make_gets(1)[0])
            assert (await read_response(reader)).body == b"/post" + BODY
            assert (await read_response(reader)).body == page
        writer.close()


async def test_no_interim_reply_is_written_for_a_body_that_has_come():
    async with run_mesh(document=DOCUMENT) as (_, (machine,)):
        reader, writer = await machine.connect()
        framing, body = FRAMINGS["length"]
        gate = asyncio.Event()

        async def wait(request):
            if request.method == "GET":
                await gate.wait()
            return await echo_target(request)

        machine.worker.handler = wait
        writer.write(make_gets(1)[0] + make_post_head(framing, EXPECT))
        await until(lambda: machine.node.gateway.in_flight == 2)
        writer.write(body)
        await until(lambda: machine.worker.executions == 2)
        gate.set()
        async with asyncio.timeout(TIMEOUT_MS / 1000):
            assert (await read_response(reader)).body == b"/0"
            assert (await read_response(reader)).body == b"/post" + BODY
        writer.close()


async def test_interim_reply_is_written_at_once_if_nothing_is_due():
    async with run_mesh(document=DOCUMENT) as (_, (machine,)):
        machine.worker.handler = echo_target
        reader, writer = await machine.connect()
        framing, body = FRAMINGS["length"]
        async with asyncio.timeout(TIMEOUT_MS / 1000):
            for _ in range(2):
                writer.write(make_post_head(framing, EXPECT))
                await read_continue(reader)
                writer.write(body)
                assert (await read_response(reader)).body == b"/post" + BODY
        writer.close()


LONG_BODY = b"x" * 100_000


@pytest.mark.parametrize("broken", [1, 2, 5])
async def test_request_behind_a_broken_long_answer_is_not_run(broken):
    """Guards against answers that are lost with the connection, though they ran."""
    ran = []

    async def answer(request):
        ran.append(request.target)
        if request.target.startswith("/short"):
            return await echo_target(request)
        fields = f"Request-Id: {request.headers['request-id']}\r\n"
        whole = make_answer(LONG_BODY, headers=fields)
        is_broken = sum(t.startswith("/long") for t in ran) == broken + 1
        return whole[: len(whole) // 2] if is_broken else whole

    routes = {
        name: make_route(f"/{name}/", timeout="8000ms") for name in ("long", "short")
    }
    async with run_mesh(document=make_document(routes=routes)) as (_, (machine,)):
        machine.worker.handler = answer
        assert (await machine.call("/long/0", request="first")).body == LONG_BODY
        answered = []
        async with asyncio.timeout(TIMEOUT_MS / 1000):
            for batch in range(broken):
                reader, writer = await machine.connect()
                names = [f"/long/{batch}", *(f"/short/{batch}-{n}" for n in range(4))]
                for name in names:
                    writer.write(make_request(name, request=name.replace("/", "_")))
                for name in names:
                    try:
                        response = await read_response(reader)
                    except (asyncio.IncompleteReadError, ConnectionError):
                        break
                    if len(response.body) < len(LONG_BODY) and "long" in name:
                        break
                    answered.append(name)
                writer.close()
        short = {name for name in ran if name.startswith("/short")}
        assert short == {name for name in answered if name.startswith("/short")}
        assert len(short) == 4 * (broken - 1)


async def test_requests_behind_a_whole_long_answer_are_answered():
    """Guards against requests that wait behind a long answer for good."""

    async def answer(request):
        fields = f"Request-Id: {request.headers['request-id']}\r\n"
        return make_answer(LONG_BODY, headers=fields)

    async with run_mesh(document=DOCUMENT) as (_, (machine,)):
        machine.worker.handler = answer
        async with asyncio.timeout(TIMEOUT_MS / 1000):
            for _ in range(2):
                reader, writer = await machine.connect()
                writer.write(b"".join(make_gets(40)))
                for _ in range(40):
                    assert (await read_response(reader)).body == LONG_BODY
                writer.close()
