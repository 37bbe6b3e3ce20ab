"""Guards against what callers saw while the list of workers was out of date."""

import asyncio

import pytest

from mangowell_node.mesh import runner as runner_module
from mesh.support_mesh import answer_with_id, run_mesh, until
from mesh.test_retry_charges import grant

MISDIRECTED = answer_with_id(b"", "421 Misdirected", "Instance-Id: i-77\r\n")


@pytest.mark.parametrize("target", ["/x", "/pay/1"])
async def test_caller_gets_a_refusal_with_a_time_to_retry_instead_of_421(target):
    """Guards against 421 at callers: 625 were seen after a loss of all machines."""
    async with run_mesh(2) as (_, machines):
        for machine in machines:
            machine.worker.handler = MISDIRECTED
        answer = await machines[0].call(target, "POST", b"x")
        assert answer.status == 503
        assert 0 < float(answer.headers["retry-after"]) <= 0.5


@pytest.mark.parametrize(("granted", "status"), [(3, 200), (2, 503), (0, 503)])
async def test_attempt_answered_421_costs_budget_but_none_of_the_attempts(
    granted, status
):
    """Guards against a request that is given up after two addresses in new hands.

    The platform counts the arrivals that a worker turns away, so each further one
    needs the budget.
    """
    async with run_mesh(4) as (_, machines):
        first = machines[0]
        decisions = grant(first, granted)
        seen = []

        async def handle(request):
            seen.append(request)
            answer = MISDIRECTED if len(seen) < 4 else answer_with_id()
            return await answer(request)

        for machine in machines:
            machine.worker.handler = handle
        answer = await first.call("/pay/1", "POST", b"x")
        assert (answer.status, len(seen)) == (status, granted + 1)
        assert sum(decisions) == granted


async def test_requests_for_a_replaced_worker_are_refused_until_its_entry_changes():
    """Guards against sending every request to a worker that answers 421."""
    async with run_mesh() as (store, (machine,)):
        machine.worker.handler = MISDIRECTED
        for number in range(10):
            answer = await machine.call(request=f"a{number}")
            assert answer.status == 503
        assert len(machine.worker.received) == 1
        (event,) = machine.get_events("call_misdirected")
        assert event["fields"] == {"backend": "i-1", "found": "i-77"}
        machine.worker.handler = answer_with_id()
        store.delete("servers/i-1")
        store.put("servers/i-77", machine.entry)
        runner = machine.node.runner
        await until(lambda: runner.local_worker and runner.local_worker.id == "i-77")
        assert (await machine.call(request="b")).status == 200


async def test_a_worker_that_starts_while_another_ends_is_asked_again(monkeypatch):
    """Guards against refusing a listed worker for good after 421 of its predecessor."""
    monkeypatch.setattr(runner_module, "MISPLACED_RECHECK_S", 0.1)
    async with run_mesh() as (_, (machine,)):
        machine.worker.handler = MISDIRECTED
        assert (await machine.call(request="a")).status == 503
        machine.worker.handler = answer_with_id()
        await asyncio.sleep(0.15)
        assert (await machine.call(request="b")).status == 200


async def test_421_without_an_id_refuses_only_its_own_request():
    async with run_mesh() as (_, (machine,)):
        machine.worker.handler = answer_with_id(b"", "421 Misdirected")
        assert (await machine.call(request="a")).status == 503
        machine.worker.handler = answer_with_id()
        assert (await machine.call(request="b")).status == 200


async def test_refusal_of_a_full_worker_names_a_time_to_retry():
    """Guards against a 503 of a worker after which its caller waits in vain."""
    async with run_mesh() as (_, (machine,)):
        machine.worker.handler = answer_with_id(b"", "503 Full", "Not-Executed: 1\r\n")
        answer = await machine.call()
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0


@pytest.mark.parametrize("instance", [b"\xff", b"i-7 7", b"i" * 300])
async def test_malformed_id_of_a_worker_is_no_statement(instance):
    """A refusal with bytes that are no text was held until the time limit, then 504."""
    status = "503 Unavailable"
    answer = answer_with_id(b"", status, "Not-Executed: 1\r\nInstance-Id: ID\r\n")

    async def handle(request):
        return (await answer(request)).replace(b"ID\r\n", instance + b"\r\n")

    async with run_mesh(2) as (_, machines):
        machines[0].worker.handler = machines[1].worker.handler = handle
        for number in range(6):
            reply = await machines[0].call("/pay/1", "POST", b"x", f"r-{number}")
            assert reply.status == 503
        assert machines[1].worker.received
        for machine in machines:
            assert not machine.get_events("internal_fault")
