"""Guards against numbers in the headers of an answer that the node cannot carry."""

import pytest

from mesh.support_mesh import run_mesh, until
from node.support_calls import make_answer

LONG = "9" * 400  # more than a float can hold
LONGER = "9" * 5000  # more digits than Python converts
FIELDS = (
    f"Keep-Alive: timeout={LONG}",
    f"Keep-Alive: timeout={LONGER}",
    "Keep-Alive: timeout=\u0663".encode().decode("latin-1"),
    f"Server-Load: 1,0,{LONG}",
    f"Server-Load: 1,0,{LONGER}",
    "Server-Load: 1,0,-3",
    "Server-Load: 1,0,0",
    f"Server-Limit: {LONG}",
    "Server-Limit: nan",
)


@pytest.mark.parametrize("field", FIELDS, ids=lambda field: field[:24])
@pytest.mark.parametrize("count", (1, 2), ids=("local", "linked"))
async def test_number_too_large_in_a_field_does_not_cost_the_answer(
    tmp_path, field, count
):
    """The field was converted or sent on without a bound, and the answer was lost."""
    async with run_mesh(count, logs=tmp_path) as (store, machines):

        async def handle(request):
            request_id = request.headers["request-id"]
            return make_answer(
                b"ok", headers=f"Request-Id: {request_id}\r\n{field}\r\n"
            )

        for machine in machines:
            machine.worker.handler = handle
        if count > 1:
            # No worker is listed beside the caller, so requests go over a link.
            store.delete(f"servers/{machines[0].id}")
            await until(lambda: len(machines[0].node.directory) == 1)
        for _ in range(6):
            response = await machines[0].call("/x")
            assert (response.status, response.body) == (200, b"ok")
    assert not any("internal_fault" in p.read_text() for p in tmp_path.glob("*.log"))
