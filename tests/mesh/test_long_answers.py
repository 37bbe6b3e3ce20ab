"""Guards against answers that are longer than the buffers of a node."""

import asyncio

import pytest

from mesh.support_mesh import answer_with_id, make_request, run_mesh
from node.support_calls import make_answer, read_response

# Reading from a worker pauses at 131,072 bytes.
SIZES = (65_536, 131_071, 131_072, 131_073, 200_000, 262_144, 262_145, 500_000)


@pytest.mark.parametrize("size", SIZES)
async def test_request_behind_a_long_answer_is_answered(size):
    """The end of a body that arrived while reading was paused was never seen.

    The worker ran the next request on the caller's connection, and the connection was
    closed at the time limit of the long answer, without an answer to that request.
    """
    async with run_mesh() as (_, (machine,)):

        async def handle(request):
            if request.method == "POST":
                return await answer_with_id()(request)
            request_id = request.headers["request-id"]
            fields = f"Request-Id: {request_id}\r\n"
            return make_answer(b"x" * size, headers=fields)

        machine.worker.handler = handle
        reader, writer = await machine.connect()
        for number in range(8):
            writer.write(make_request(request=f"page-{number}", timeout_ms=900))
            page = await read_response(reader)
            assert page.complete and len(page.body) == size
            writer.write(make_request("/pay/1", "POST", b"x", f"pay-{number}"))
            async with asyncio.timeout(0.5):
                assert (await read_response(reader)).status == 200
        writer.close()
