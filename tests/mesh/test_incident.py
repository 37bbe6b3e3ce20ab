"""Guards against node logs that do not explain a failed request.

Scripted workers cause the failures. The assertions read only the log files of the
nodes, through the code of ``mangowell explain --logs``.
"""

import asyncio
import json
import random

import pytest

from mangowell_cli.internal.logs import show_logs
from mangowell_core.mesh import RetryBudget
from mesh.support_mesh import (
    answer_with_id,
    fill_slots,
    make_document,
    make_route,
    run_mesh,
    until,
)


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
    assert fields["ended_by"] == "not-repeatable"


def leave_unchanged(machines):
    pass


def set_no_budget(machines):
    for machine in machines:
        budget = RetryBudget(0, 0, 10, random.Random(1))
        machine.node.gateway.attempts.budget = budget


def expect_long_work(machines):
    for machine in machines:
        machine.node.gateway.attempts.placement._route_work_s["r1"] = 30.0


def fill_first_worker(machines):
    fill_slots(machines[0], waiting=200)


@pytest.mark.parametrize(
    ("count", "max_attempts", "prepare", "ended_by"),
    [
        (2, 1, leave_unchanged, "attempt-limit"),
        (2, 3, set_no_budget, "retry-budget"),
        (2, 3, expect_long_work, "no-time"),
        (2, 3, fill_first_worker, "all-refuse"),
        (1, 3, leave_unchanged, "no-worker"),
    ],
)
async def test_log_tells_why_a_lost_request_was_not_sent_again(
    count, max_attempts, prepare, ended_by, tmp_path, capsys
):
    """Guards against a 502 with time left whose log does not tell why it is final."""

    async def close_connection(request):
        request.writer.transport.abort()

    routes = {"r1": make_route(**{"max-attempts": max_attempts})}
    async with run_mesh(count, make_document(routes=routes), logs=tmp_path) as (
        _,
        machines,
    ):
        first = machines[0]
        await until(lambda: len(first.node._links.links) == count - 1)
        for machine in machines:
            machine.worker.handler = close_connection
        prepare(machines)
        answer = await first.call(request="page-7")
        assert answer.status == 502
        events = explain(machines, capsys, request="page-7")
    assert events[-1]["event"] == "call_unknown"
    assert events[-1]["fields"]["ended_by"] == ended_by


async def test_log_tells_that_the_time_limit_ended_a_request(tmp_path, capsys):
    async def work_long(request):
        await asyncio.sleep(2)

    document = make_document(routes={"r1": make_route(**{"timeout": "300ms"})})
    async with run_mesh(1, document, logs=tmp_path) as (_, machines):
        machines[0].worker.handler = work_long
        answer = await machines[0].call(request="page-7")
        assert answer.status == 504
        events = explain(machines, capsys, request="page-7")
    assert events[-1]["fields"]["ended_by"] == "deadline"


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
