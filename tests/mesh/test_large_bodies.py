"""Guards against request bodies that together take more memory than a node has."""

import asyncio

import pytest

from mangowell_node.mesh import body_budget
from mangowell_node.mesh.body_budget import BodyBudget, BodyBudgetError
from mesh.support_mesh import make_request, run_mesh, until
from node.support_calls import read_response

SIZE = 400_000


def make_upload(request, is_chunked):
    body = b"x" * SIZE
    message = make_request("/pay/1", "POST", body, request)
    if not is_chunked:
        return message
    head = message[: -len(body)].replace(
        b"Content-Length: %d" % SIZE, b"Transfer-Encoding: chunked"
    )
    return head + b"%x\r\n%b\r\n0\r\n\r\n" % (SIZE, body)


@pytest.mark.parametrize("is_chunked", [False, True])
async def test_body_that_does_not_fit_beside_others_is_refused(monkeypatch, is_chunked):
    """Eight bodies of 30 MB took a node over its limit of 300 MB."""
    monkeypatch.setattr(body_budget, "MAX_HELD_BYTES", 2 * SIZE)
    async with run_mesh() as (_, (machine,)):
        writers = []
        for number in range(2):
            # All but the last byte, so that the body stays at the node.
            _, writer = await machine.connect()
            writer.write(make_upload(f"held-{number}", is_chunked)[:-10])
            writers.append(writer)
        budget = machine.node.gateway._body_budget
        await until(lambda: budget._held >= 2 * (SIZE - 100))
        reader, writer = await machine.connect()
        writer.write(make_upload("third", is_chunked))
        async with asyncio.timeout(0.5):
            answer = await read_response(reader)
        assert answer.status == 503
        assert "retry-after" in answer.headers
        # Small bodies do not count.
        assert (await machine.call("/pay/1", "POST", b"x" * 5000)).status == 200
        for held in (writer, *writers):
            held.transport.abort()
        await until(lambda: not budget._held)
        answer = await machine.call("/pay/1", "POST", b"x" * SIZE, "fourth")
        assert answer.status == 200
        ran = [r.headers["request-id"] for r in machine.worker.received]
        assert ran == ["id-1", "fourth"]
        await until(lambda: not budget._held)


def test_single_body_fits_at_any_size():
    budget = BodyBudget()
    size = 3 * body_budget.MAX_HELD_BYTES
    assert budget.hold(0, size // 2) == size // 2
    assert budget.hold(size // 2, size) == size
    with pytest.raises(BodyBudgetError):
        budget.hold(0, 100_000)
    assert budget.hold(0, body_budget.UNCOUNTED_BYTES) == 0
    budget.release(size)
    assert budget.hold(0, 100_000) == 100_000
