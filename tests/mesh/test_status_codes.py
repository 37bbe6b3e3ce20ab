"""Guards against answers whose status is no status of an answer.

A worker that answered ``HTTP/1.1 000`` was passed on: callers got status 0.
"""

import asyncio

import pytest

from mangowell_standins.scripted_http import read_response
from mesh.support_mesh import answer_with_id, make_request, run_mesh, until

INVALID = (
    "000 X",
    "001 X",
    "099 X",
    "600 X",
    "999 X",
    # These were refused before as well.
    "99 X",
    "1000 X",
    "0200 X",
    " X",
    "-1 X",
)
on_local_and_linked_worker = pytest.mark.parametrize(
    "count", (1, 2), ids=("local", "linked")
)


async def unlist_first(store, machines):
    """Leave only the worker behind another node listed, if there is one."""
    if len(machines) > 1:
        store.delete(f"servers/{machines[0].id}")
        await until(lambda: len(machines[0].node.directory) == 1)
    return machines[-1].worker


def answer_first_with(status, fields=""):
    """Return a handler whose first answer has a status, and all later ones 200."""
    seen = []

    async def handle(request):
        seen.append(request)
        if len(seen) > 1:
            return await answer_with_id()(request)
        return await answer_with_id(b"ok", status, fields)(request)

    return handle


@pytest.mark.parametrize("status", INVALID)
@on_local_and_linked_worker
async def test_payment_with_an_invalid_status_is_unknown_and_runs_once(status, count):
    """Guards against status 0 at callers, and against 503 for what may have run."""
    async with run_mesh(count) as (store, machines):
        worker = await unlist_first(store, machines)
        worker.handler = answer_with_id(b"ok", status, "Response-Stamp: s\r\n")
        answer = await machines[0].call("/pay/1", "POST", b"x")
        assert (answer.status, worker.executions) == (502, 1)
        assert "response-stamp" not in answer.headers
        worker.handler = answer_with_id()
        assert (await machines[0].call("/pay/1", "POST", b"x")).status == 200


@pytest.mark.parametrize("fields", ("", "Not-Executed: 1\r\n"), ids=("", "not-run"))
@pytest.mark.parametrize("status", ("000 X", "600 X"))
@on_local_and_linked_worker
async def test_repeatable_request_gets_another_attempt(status, fields, count):
    async with run_mesh(count) as (store, machines):
        worker = await unlist_first(store, machines)
        worker.handler = answer_first_with(status, fields)
        answer = await machines[0].call("/x")
        assert (answer.status, answer.body, worker.executions) == (200, b"ok", 2)
        worker.handler = answer_with_id(b"ok", status, fields)
        assert (await machines[0].call("/x")).status == 502
        assert worker.executions == 4


@pytest.mark.parametrize("status", ("200 OK", "299 X", "404 X", "599 X"))
@on_local_and_linked_worker
async def test_valid_status_is_passed_on(status, count):
    async with run_mesh(count) as (store, machines):
        worker = await unlist_first(store, machines)
        worker.handler = answer_with_id(b"ok", status)
        answer = await machines[0].call("/pay/1", "POST", b"x")
        assert (answer.status, answer.body) == (int(status[:3]), b"ok")


@pytest.mark.parametrize(
    "framing", ("", "Content-Length: 5", "Transfer-Encoding: chunked")
)
@pytest.mark.parametrize("status", ("100 Continue", "101 X", "103 Early", "199 X"))
@on_local_and_linked_worker
async def test_fields_of_an_interim_answer_announce_no_body(status, framing, count):
    """The final answer was taken for the body that an interim one had announced."""
    interim = f"HTTP/1.1 {status}\r\n{framing}\r\n\r\n".replace(
        "\r\n\r\n\r\n", "\r\n\r\n"
    )

    async def handle(request):
        return interim.encode() * 2 + await answer_with_id()(request)

    async with run_mesh(count) as (store, machines):
        worker = await unlist_first(store, machines)
        worker.handler = handle
        for _ in range(2):
            answer = await machines[0].call("/pay/1", "POST", b"x")
            assert (answer.status, answer.body) == (200, b"ok")


@pytest.mark.parametrize("status", ("100 Continue", "101 X", "199 X"))
@on_local_and_linked_worker
async def test_interim_answer_with_a_body_is_no_answer(status, count):
    """Guards against a request that waits for the final answer until its time limit."""

    async def handle(request):
        request.writer.write(await answer_with_id(b"ok", status)(request))
        await asyncio.sleep(30)

    async with run_mesh(count) as (store, machines):
        worker = await unlist_first(store, machines)
        worker.handler = handle
        answer = await machines[0].call("/pay/1", "POST", b"x")
        assert (answer.status, worker.executions) == (502, 1)


async def test_upgrade_that_no_request_has_asked_for_is_no_answer():
    async with run_mesh() as (_, (machine,)):
        fields = "Upgrade: x\r\nConnection: upgrade\r\n"
        machine.worker.handler = answer_with_id(b"", "101 Switching", fields)
        assert (await machine.call("/pay/1", "POST", b"x")).status == 502


class BodyAfterNothing:
    """Announces a body where there is none, and sends it before the next answer.

    Parameters
    ----------
    status : str
        Status line of the answers to requests of ``/x``.
    framing : str
        Field that announces the body.
    """

    def __init__(self, status, framing):
        self._head = f"HTTP/1.1 {status}\r\n{framing}\r\n"
        self._kept = set()

    async def __call__(self, request):
        if request.target != "/x":
            late_body = b"hello" if request.writer in self._kept else b""
            return late_body + await answer_with_id()(request)
        self._kept.add(request.writer)
        request_id = request.headers["request-id"]
        return f"{self._head}Request-Id: {request_id}\r\n\r\n".encode()


@pytest.mark.parametrize("framing", ("Content-Length: 5", "Transfer-Encoding: chunked"))
@pytest.mark.parametrize(
    "method,status", [("GET", "204 N"), ("GET", "304 N"), ("HEAD", "200 OK")]
)
@on_local_and_linked_worker
async def test_late_body_of_an_answer_without_one_costs_no_other_request(
    method, status, framing, count
):
    """The bytes were read as the head of the next answer, whose request got 502."""
    async with run_mesh(count) as (store, machines):
        worker = await unlist_first(store, machines)
        worker.handler = BodyAfterNothing(status, framing)
        for _ in range(2):
            reader, writer = await machines[0].connect()
            writer.write(make_request("/x", method))
            answer = await read_response(reader, "HEAD")
            writer.close()
            assert answer.status == int(status[:3])
            answer = await machines[0].call("/pay/1", "POST", b"x")
            assert (answer.status, answer.body) == (200, b"ok")


@pytest.mark.parametrize("size", (5, 200_000))
@pytest.mark.parametrize(
    "method,status", [("GET", "204 N"), ("GET", "304 N"), ("HEAD", "200 OK")]
)
@on_local_and_linked_worker
async def test_body_of_an_answer_without_one_reaches_no_caller(
    method, status, size, count
):
    """Guards against bytes that the caller takes for its next answer."""
    async with run_mesh(count) as (store, machines):
        worker = await unlist_first(store, machines)
        worker.handler = answer_with_id(b"x" * size, status)
        reader, writer = await machines[0].connect()
        writer.write(
            make_request("/x", method) + make_request("/x", method, request="2")
        )
        for _ in range(2):
            answer = await read_response(reader, "HEAD")
            assert answer.status == int(status[:3])
        worker.handler = answer_with_id()
        writer.write(make_request("/pay/1", "POST", b"x"))
        assert (await read_response(reader)).body == b"ok"
        writer.close()
