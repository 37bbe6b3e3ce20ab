"""Guards against answers whose status is no status of an answer.

A worker that answered ``HTTP/1.1 000`` was passed on: callers got status 0.
"""

import asyncio

import pytest

from mangowell_standins.scripted_http import read_response
from mesh.support_mesh import answer_with_id, make_request, run_mesh, until

INVALID = ("000 X", "001 X", "099 X", "600 X", "999 X")
# These were refused before as well.
REFUSED_BEFORE = ("99 X", "1000 X", "0200 X", " X", "-1 X")
ANNOUNCED = ("Content-Length: 5", "Transfer-Encoding: chunked")
BODILESS = [("GET", "204 N"), ("GET", "304 N"), ("HEAD", "200 OK")]
PAYMENT = ("/pay/1", "POST", b"x")


@pytest.fixture(params=(1, 2), ids=("local", "linked"))
async def mesh(request):
    """Machine for callers, and the only listed worker: beside it or behind a link."""
    async with run_mesh(request.param) as (store, machines):
        if request.param > 1:
            store.delete(f"servers/{machines[0].id}")
            await until(lambda: len(machines[0].node.directory) == 1)
        yield machines[0], machines[-1].worker


def answer_first_with(status, fields):
    """Return a handler whose first answer has a status, and all later ones 200."""
    handlers = [answer_with_id(b"ok", status, fields)]

    async def handle(request):
        return await (handlers.pop() if handlers else answer_with_id())(request)

    return handle


@pytest.mark.parametrize("status", INVALID + REFUSED_BEFORE)
async def test_payment_with_an_invalid_status_is_unknown_and_runs_once(mesh, status):
    """Guards against status 0 at callers, and against 503 for what may have run."""
    machine, worker = mesh
    worker.handler = answer_with_id(b"ok", status, "Response-Stamp: s\r\n")
    answer = await machine.call(*PAYMENT)
    assert (answer.status, worker.executions) == (502, 1)
    assert "response-stamp" not in answer.headers
    worker.handler = answer_with_id()
    assert (await machine.call(*PAYMENT)).status == 200


@pytest.mark.parametrize("fields", ("", "Not-Executed: 1\r\n"), ids=("", "not-run"))
@pytest.mark.parametrize("status", ("000 X", "600 X"))
async def test_repeatable_request_gets_another_attempt(mesh, status, fields):
    machine, worker = mesh
    worker.handler = answer_first_with(status, fields)
    answer = await machine.call("/x")
    assert (answer.status, answer.body, worker.executions) == (200, b"ok", 2)
    worker.handler = answer_with_id(b"ok", status, fields)
    assert (await machine.call("/x")).status == 502
    assert worker.executions == 4


@pytest.mark.parametrize("status", ("200 OK", "299 X", "404 X", "599 X"))
async def test_valid_status_is_passed_on(mesh, status):
    machine, worker = mesh
    worker.handler = answer_with_id(b"ok", status)
    answer = await machine.call(*PAYMENT)
    assert (answer.status, answer.body) == (int(status[:3]), b"ok")


@pytest.mark.parametrize("framing", ("A: b", *ANNOUNCED))
@pytest.mark.parametrize("status", ("100 Continue", "101 X", "103 Early", "199 X"))
async def test_fields_of_an_interim_answer_announce_no_body(mesh, status, framing):
    """The final answer was taken for the body that an interim one had announced."""
    interim = f"HTTP/1.1 {status}\r\n{framing}\r\n\r\n"

    async def handle(request):
        return interim.encode() * 2 + await answer_with_id()(request)

    machine, worker = mesh
    worker.handler = handle
    for _ in range(2):
        answer = await machine.call(*PAYMENT)
        assert (answer.status, answer.body) == (200, b"ok")


@pytest.mark.parametrize("status", ("100 Continue", "101 X", "199 X"))
async def test_interim_answer_with_a_body_is_no_answer(mesh, status):
    """Guards against a request that waits for the final answer until its time limit."""

    async def handle(request):
        request.writer.write(await answer_with_id(b"ok", status)(request))
        await asyncio.sleep(30)

    machine, worker = mesh
    worker.handler = handle
    assert ((await machine.call(*PAYMENT)).status, worker.executions) == (502, 1)


async def test_upgrade_that_no_request_has_asked_for_is_no_answer(mesh):
    machine, worker = mesh
    fields = "Upgrade: x\r\nConnection: upgrade\r\n"
    worker.handler = answer_with_id(b"", "101 Switching", fields)
    assert (await machine.call(*PAYMENT)).status == 502


@pytest.mark.parametrize("framing", ANNOUNCED)
@pytest.mark.parametrize("method,status", BODILESS)
async def test_late_body_of_an_answer_without_one_costs_no_other_request(
    mesh, method, status, framing
):
    """The bytes were read as the head of the next answer, whose request got 502."""
    kept = set()

    async def handle(request):
        request_id = request.headers["request-id"]
        if request.target != "/x":
            late_body = b"hello" if request.writer in kept else b""
            return late_body + await answer_with_id()(request)
        kept.add(request.writer)
        head = f"HTTP/1.1 {status}\r\n{framing}\r\nRequest-Id: {request_id}\r\n\r\n"
        return head.encode()

    machine, worker = mesh
    worker.handler = handle
    for _ in range(2):
        reader, writer = await machine.connect()
        writer.write(make_request("/x", method))
        answer = await read_response(reader, "HEAD")
        writer.close()
        assert answer.status == int(status[:3])
        answer = await machine.call(*PAYMENT)
        assert (answer.status, answer.body) == (200, b"ok")


@pytest.mark.parametrize("size", (5, 200_000))
@pytest.mark.parametrize("method,status", BODILESS)
async def test_body_of_an_answer_without_one_reaches_no_caller(
    mesh, method, status, size
):
    """Guards against bytes that the caller takes for its next answer."""
    machine, worker = mesh
    worker.handler = answer_with_id(b"x" * size, status)
    reader, writer = await machine.connect()
    writer.write(make_request("/x", method) + make_request("/x", method, request="2"))
    for _ in range(2):
        answer = await read_response(reader, "HEAD")
        assert answer.status == int(status[:3])
    worker.handler = answer_with_id()
    writer.write(make_request(*PAYMENT))
    assert (await read_response(reader)).body == b"ok"
    writer.close()
