"""Charges of the retry budget for attempts that did or did not reach a worker."""

from types import SimpleNamespace

import pytest

from mangowell_core.policy.outcome import Stage, refuse
from mangowell_core.policy.types import Cause
from mangowell_node.exchange import AttemptError
from mesh.support_mesh import (
    answer_with_id,
    fill_slots,
    make_document,
    make_route,
    run_mesh,
    until,
)

NOT_EXECUTED = answer_with_id(b"", "503 Full", "Not-Executed: 1\r\n")
DOCUMENT = make_document(routes={"r1": make_route(**{"max-attempts": 4})})


def grant(machine, count):
    """Let the retry budget grant `count` attempts; return its decisions."""
    decisions = []

    def spend(service, now, is_call):
        decisions.append(len(decisions) < count)
        return decisions[-1]

    machine.node.gateway.attempts.budget = SimpleNamespace(
        spend=spend, count_request=lambda service, now: None
    )
    return decisions


async def abort(request):
    request.writer.transport.abort()


def answer_in_turn(machines, handlers):
    """Let the first request be answered by the first handler, and so on."""
    remaining = list(handlers)

    async def handle(request):
        return await remaining.pop(0)(request)

    for machine in machines:
        machine.worker.handler = handle


@pytest.mark.parametrize(
    "error",
    [
        AttemptError.at(Cause.CONNECT_FAILED, Stage.UNSENT, "connection refused"),
        AttemptError(refuse(Cause.LEAVING, "worker is draining")),
        AttemptError(refuse(Cause.OVERLOADED, "queue is full"), 1.0),
    ],
    ids=lambda error: error.refusal.cause.value,
)
async def test_attempt_that_reached_no_worker_costs_no_second_charge(error):
    """Guards against a 502 with time left after a repeat that was never sent.

    The request is lost at its first worker. The node beside the second one does not
    hand it over, and the retry budget then had to grant the third attempt as well.
    """
    async with run_mesh(4, DOCUMENT) as (_, machines):
        first, *others = machines
        await until(lambda: len(first.node._links.links) == len(others))
        fill_slots(first, waiting=200)
        decisions = grant(first, 1)
        answer_in_turn(others, [abort, answer_with_id(b"done")])
        calls = []

        def fail_second(exchange):
            async def run(*args):
                calls.append(args)
                if len(calls) == 2:
                    raise error
                return await exchange(*args)

            return run

        for machine in others:
            runner = machine.node.runner
            runner._exchange = fail_second(runner._exchange)
        answer = await first.call()
        assert (answer.status, answer.body) == (200, b"done")
        assert len(calls) == 3
        assert decisions == [True]


async def test_attempt_that_its_worker_rejected_is_charged():
    """Guards against more arrivals than the platform's budget allows.

    The platform counts arrivals that a worker rejects as well.
    """
    async with run_mesh(4, DOCUMENT) as (_, machines):
        first, *others = machines
        await until(lambda: len(first.node._links.links) == len(others))
        fill_slots(first, waiting=200)
        decisions = grant(first, 1)
        answer_in_turn(others, [abort, NOT_EXECUTED, answer_with_id(b"done")])
        answer = await first.call()
        assert answer.status == 502
        assert sum(machine.worker.executions for machine in others) == 2
        assert decisions == [True, False]
