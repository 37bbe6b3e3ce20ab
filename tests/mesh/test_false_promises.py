"""Guards against a payment that has run and is answered as if it had not.

A worker that charged and then failed with 503 was passed on. That status promises that
the request was not run, so the caller paid again: 31 of 40 orders were charged twice.
"""

from time import monotonic

import pytest

from mangowell_core.policy.outcome import PROMISING_STATUSES
from mangowell_node.exchange import Answer, AnswerHead, RequestHead
from mangowell_node.mesh.request_state import RequestState
from mangowell_standins.scripted_http import make_answer
from mesh.support_mesh import answer_with_id, run_mesh, until

PAYMENT = ("/pay/1", "POST", b"x")
STAMP = "Response-Stamp: s\r\n"
NOT_EXECUTED = "Not-Executed: 1\r\n"
REASONS = {
    408: "Request Timeout",
    421: "Misdirected Request",
    429: "Too Many Requests",
    503: "Service Unavailable",
}


@pytest.fixture(params=(1, 2), ids=("local", "linked"))
async def mesh(request):
    """Machine for callers, and the only listed worker: beside it or behind a link."""
    async with run_mesh(request.param) as (store, machines):
        if request.param > 1:
            store.delete(f"servers/{machines[0].id}")
            await until(lambda: len(machines[0].node.directory) == 1)
        yield machines[0], machines[-1].worker


def write_fields(request, fields):
    return f"Request-Id: {request.headers['request-id']}\r\n{fields}"


def answer_whole(line, request):
    return make_answer(b"", line, write_fields(request, STAMP))


def answer_with_retry(line, request):
    return make_answer(b"", line, write_fields(request, STAMP + "Retry-After: 1\r\n"))


def answer_with_body(line, request):
    return make_answer(b"charged", line, write_fields(request, STAMP))


def answer_with_long_body(line, request):
    """Answer with a body that is not read whole before it is passed on."""
    return make_answer(b"x" * 200_000, line, write_fields(request, STAMP))


def answer_in_chunks(line, request):
    fields = write_fields(request, STAMP + "Transfer-Encoding: chunked\r\n")
    return f"HTTP/1.1 {line}\r\n{fields}\r\n2\r\nok\r\n0\r\n\r\n".encode()


def answer_without_stamp(line, request):
    return make_answer(b"", line, write_fields(request, ""))


def answer_and_close(line, request):
    return make_answer(
        b"", line, write_fields(request, STAMP + "Connection: close\r\n")
    )


def answer_after_interim(line, request):
    return b"HTTP/1.1 103 Early Hints\r\n\r\n" + answer_whole(line, request)


FORMS = {
    "whole": answer_whole,
    "retry-after": answer_with_retry,
    "body": answer_with_body,
    "long-body": answer_with_long_body,
    "chunks": answer_in_chunks,
    "no-stamp": answer_without_stamp,
    "close": answer_and_close,
    "interim": answer_after_interim,
}


def use_form(worker, form, status):
    """Let a worker run requests and then fail them with a status."""

    async def handle(request):
        return form(f"{status} {REASONS[status]}", request)

    worker.handler = handle


@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS)
@pytest.mark.parametrize("status", (408, 429, 503))
async def test_payment_that_has_run_gets_no_promise(mesh, status, form):
    machine, worker = mesh
    use_form(worker, form, status)
    answer = await machine.call(*PAYMENT)
    assert (answer.status, worker.executions) == (502, 1)
    # A time to retry would promise the same, and the stamp is that of another status.
    assert not {"retry-after", "response-stamp"} & set(answer.headers)
    assert answer.headers["request-id"] == "id-1"
    worker.handler = answer_with_id()
    assert (await machine.call(*PAYMENT)).status == 200


@pytest.mark.parametrize("status", (408, 429, 503))
async def test_payment_that_a_worker_makes_gets_no_promise(mesh, status):
    """Guards the calls of a request that a worker runs: they pay as well."""
    machine, worker = mesh
    answers = []

    async def handle(request):
        if request.target == "/x":
            call = f"{request.headers['request-id']}.1"
            answers.append(await machine.call(*PAYMENT, request=call))
            return await answer_with_id()(request)
        return answer_with_retry(f"{status} X", request)

    worker.handler = handle
    assert (await machine.call("/x")).status == 200
    (answer,) = answers
    assert answer.status == 502
    assert not {"retry-after", "response-stamp"} & set(answer.headers)


@pytest.mark.parametrize("status", (408, 429, 503))
async def test_payment_that_was_not_run_gets_the_promise_of_its_worker(mesh, status):
    machine, worker = mesh
    fields = f"{STAMP}{NOT_EXECUTED}Retry-After: 0.3\r\n"
    worker.handler = answer_with_id(b"", f"{status} X", fields)
    answer = await machine.call(*PAYMENT)
    assert (answer.status, answer.headers["retry-after"]) == (status, "0.3")
    assert answer.headers["response-stamp"] == "s"


async def test_misdirected_payment_gets_a_promise(mesh):
    """A worker that is not the one meant does not run a request."""
    machine, worker = mesh
    worker.handler = answer_with_id(b"", "421 Misdirected")
    answer = await machine.call(*PAYMENT)
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0


@pytest.mark.parametrize("status", (408, 429, 503))
async def test_repeatable_request_gets_the_answer_of_its_worker(mesh, status):
    """Guards against 502 where the time to retry is of use to the caller."""
    machine, worker = mesh
    use_form(worker, answer_with_retry, status)
    answer = await machine.call("/x")
    assert (answer.status, answer.headers["retry-after"]) == (status, "1")


async def test_refusal_after_an_attempt_that_may_have_run_is_no_promise():
    """The second worker speaks for itself only; the first may have run the request."""
    async with run_mesh(2) as (_, machines):
        seen = []

        async def handle(request):
            seen.append(request)
            if len(seen) == 1:
                request.writer.transport.abort()
                return None
            fields = f"{STAMP}{NOT_EXECUTED}Retry-After: 0.3\r\n"
            return await answer_with_id(b"", "503 Full", fields)(request)

        for machine in machines:
            machine.worker.handler = handle
        answer = await machines[0].call("/x")
        assert (answer.status, len(seen)) == (502, 2)
        assert not {"retry-after", "response-stamp"} & set(answer.headers)


@pytest.mark.parametrize("status", sorted(PROMISING_STATUSES))
@pytest.mark.parametrize("is_not_run", (False, True))
@pytest.mark.parametrize("may_have_run", (False, True))
def test_promise_needs_a_statement_and_no_earlier_run(status, is_not_run, may_have_run):
    """Guards the rule itself against a case that no request reaches today."""
    route = type("Route", (), {"idempotent": False})
    state = RequestState(None, route, "orders")
    fields = b"Retry-After: 1\r\n"
    state.answer = Answer(AnswerHead(status, "", fields, is_not_run=is_not_run))
    state.may_have_run = may_have_run or not is_not_run
    is_promise = is_not_run and not may_have_run
    assert (state.caller_answer is not None) is is_promise
    if not is_promise:
        refusal = state.make_refusal()
        assert refusal.status not in PROMISING_STATUSES
        assert not refusal.retry_after_s


@pytest.mark.parametrize("status", (408, 429, 503))
async def test_worker_that_fails_what_it_ran_counts_as_failing(mesh, status):
    """Guards the accounts: such answers counted as served, or as requests not run."""
    machine, worker = mesh
    use_form(worker, answer_with_body, status)
    attempts = machine.node.gateway.attempts
    endpoint = next(iter(attempts._directory.get_workers()))
    for number in range(5):
        await machine.call(*PAYMENT, request=f"id-{number}")
    stats = attempts.placement._stats_by_id[endpoint.id]
    assert stats.failure_rate.estimate(monotonic()) > 0
    assert not attempts.room._get_room("orders").answers.get(monotonic())


@pytest.mark.parametrize("status", (408, 429, 500, 503))
async def test_node_beside_a_worker_counts_what_it_has_run_and_failed(status):
    """The node took such a request for one that had not run, or for one served."""
    async with run_mesh() as (_, (machine,)):
        fields = b"Host: x\r\nRequest-Id: id-1\r\n"
        head = RequestHead(
            "id-1", "orders", "POST", "/x", fields, "", "", 0, False, 0.0, False
        )
        head.instance, head.route = machine.id, "r1"
        machine.worker.handler = answer_with_id(b"", f"{status} X")
        runner = machine.node.runner
        answer = await runner.run(head, None, monotonic() + 2.0)
        assert answer.head.pending == 0
        assert runner._completed.has("POST", "/x", b"")
        assert runner._failure_rate.estimate(monotonic()) > 0
        assert "r1" not in runner.admission._mean_work_s
