"""Guards against answers that no caller gets and that keep a slot of their worker."""

import asyncio
import contextlib

import pytest

from mangowell_standins.platform_values import make_document, make_route
from mesh.support_mesh import answer_with_id, make_request, run_mesh, until
from node.support_calls import read_response

# Long after the test would have failed.
TIMEOUT_MS = 30_000
RELEASED_WITHIN_S = 5.0


class FailingWorkers:
    """Answer the first attempt with a status and a body that does not end.

    Later attempts are answered at once, or wait for `gate`.
    """

    def __init__(self, gate=None):
        self.attempts = 0
        self.cut = 0
        self._gate = gate

    async def __call__(self, request):
        self.attempts += 1
        if self.attempts > 1:
            if self._gate is not None:
                await self._gate.wait()
            return await answer_with_id()(request)
        writer = request.writer
        request_id = request.headers["request-id"]
        writer.write(
            f"HTTP/1.1 500 Failed\r\nRequest-Id: {request_id}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        try:
            while not writer.is_closing():
                writer.write(b"1000\r\n" + b"x" * 4096 + b"\r\n")
                await writer.drain()
                await asyncio.sleep(0.005)
        finally:
            self.cut += 1


def count_running(machines):
    return sum(machine.node.runner.admission.running for machine in machines)


@contextlib.asynccontextmanager
async def run_failing(workers):
    document = make_document(routes={"r1": make_route("/", timeout="30000ms")})
    async with run_mesh(2, document) as (_, machines):
        for machine in machines:
            machine.worker.handler = workers
        yield machines


async def test_answer_of_an_earlier_attempt_is_released():
    """Its slot and connection stayed in use until the deadline of the request."""
    workers = FailingWorkers()
    async with run_failing(workers) as machines:
        answer = await machines[0].call(timeout_ms=TIMEOUT_MS)
        assert (answer.status, workers.attempts) == (200, 2)
        await until(lambda: not count_running(machines), RELEASED_WITHIN_S)
        await until(lambda: workers.cut == 1, RELEASED_WITHIN_S)


@pytest.mark.parametrize("timeout_ms", [500, TIMEOUT_MS])
async def test_answer_of_a_request_that_ends_is_released(timeout_ms):
    """The same after the time limit, and after the caller has gone."""
    gate = asyncio.Event()
    workers = FailingWorkers(gate)
    async with run_failing(workers) as machines:
        reader, writer = await machines[0].connect()
        writer.write(make_request(timeout_ms=timeout_ms))
        await until(lambda: workers.attempts == 2)
        if timeout_ms == TIMEOUT_MS:
            writer.close()
        else:
            # The answer of the first attempt or 504, as the attempts ended.
            assert (await read_response(reader)).status >= 500
        await until(lambda: workers.cut == 1, RELEASED_WITHIN_S)
        gate.set()
        await until(lambda: not count_running(machines), RELEASED_WITHIN_S)
        writer.close()
