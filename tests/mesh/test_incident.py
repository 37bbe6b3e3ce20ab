"""Guards against node logs that do not explain a failed request.

Scripted workers cause the failures. The assertions read only the log files of the
nodes, through the code of ``mangowell explain --logs``.
"""

import asyncio
import json

from mangowell_cli.internal.logs import show_logs
from mesh.support_mesh import answer_with_id, make_document, make_route, run_mesh


def explain(machines, capsys, **filters):
    paths = [str(machine.log_path) for machine in machines]
    assert show_logs(paths, filters, True) == 0
    return json.loads(capsys.readouterr().out)["events"]


async def test_log_explains_a_payment_that_its_worker_dropped(tmp_path, capsys):
    """Guards against a 502 whose log does not tell whether the payment may have run."""

    async def close_connection(request):
        request.writer.transport.abort()

    async with run_mesh(2, logs=tmp_path) as (_, machines):
        for machine in machines:
            machine.worker.handler = close_connection
        answer = await machines[0].call("/pay/1", "POST", b"x", "order-7")
        assert answer.status == 502
        (event,) = explain(machines, capsys, request="order-7")
    fields = event["fields"]
    assert event["event"] == "call_unknown"
    assert fields["cause"] == "connection-lost"
    assert fields["attempts"] == 1
    assert fields["tried"] in {"i-1", "i-2"}
    assert fields["version"] == 1


async def test_log_explains_a_refusal_under_load(tmp_path, capsys):
    async def work_long(request):
        await asyncio.sleep(0.4)
        return await answer_with_id()(request)

    document = make_document(routes={"r1": make_route(**{"timeout": "500ms"})})
    async with run_mesh(1, document, logs=tmp_path) as (_, machines):
        (machine,) = machines
        machine.worker.handler = work_long
        calls = [machine.call(request=f"page-{n}") for n in range(30)]
        answers = await asyncio.gather(*calls)
        refused = [n for n, a in enumerate(answers) if a.status == 503]
        events = explain(machines, capsys, request=f"page-{refused[0]}")
    fields = events[-1]["fields"]
    assert events[-1]["event"] == "call_refused"
    assert fields["cause"] == "overloaded"
    assert "wait for the worker" in fields["reason"]
    assert float(fields["retry_after_s"]) > 0


async def test_log_separates_work_from_waiting_in_a_late_answer(tmp_path, capsys):
    async def work_long(request):
        await asyncio.sleep(0.7)
        return await answer_with_id()(request)

    async with run_mesh(1, logs=tmp_path) as (_, machines):
        (machine,) = machines
        machine.worker.handler = work_long
        assert (await machine.call(request="page-1")).status == 200
        (event,) = explain(machines, capsys, request="page-1")
    fields = event["fields"]
    assert event["event"] == "call_late"
    assert int(fields["work_ms"]) >= 650
    assert int(fields["total_ms"]) >= int(fields["work_ms"])
    assert fields["backend"] == "i-1"
