"""Guards against answers of another node that contradict themselves.

A node of another version, or one with a fault, may send a head that no node of this
version sends. It must reach no caller and cost no other request on the link.
"""

import asyncio

import pytest

from mangowell_core.policy.outcome import OUTCOMES, Stage
from mangowell_core.policy.types import Cause, Outcome
from mangowell_node.exchange import (
    Answer,
    AnswerHead,
    AttemptError,
    make_failed_head,
    parse_failed_head,
)
from mangowell_node.ingress import REASON_PHRASES
from mangowell_node.link.frames import FrameType, encoder
from mangowell_standins.scripted_http import read_response
from mesh.support_mesh import make_request, run_mesh, until


class StreamedBody:
    """Streamed body that never ends."""

    length = -1

    async def read(self):
        await asyncio.sleep(0.01)
        return b"hello"

    def close(self):
        """Do nothing."""


def make_refusal_head(status, outcome="unknown", cause="overloaded"):
    return AnswerHead(0, "", outcome=outcome, cause=cause, proposed_status=status)


CONTRADICTIONS = {
    # What a node made of the status 000 of its worker before.
    "zero": AnswerHead(0, "X", headers=b"A: b\r\n"),
    "interim": AnswerHead(100, "Continue"),
    "low": AnswerHead(199, "X"),
    "high": AnswerHead(600, "X"),
    "refusal-0": make_refusal_head(0),
    "refusal-100": make_refusal_head(100),
    "refusal-200": make_refusal_head(200, "done", "none"),
    "refusal-204": make_refusal_head(204, "not-run"),
    "refusal-421": make_refusal_head(421, "not-run"),
    "refusal-503-done": make_refusal_head(503, "done"),
    "refusal-503-unknown": make_refusal_head(503),
    "refusal-999": make_refusal_head(999),
    "bad-answer-not-run": make_refusal_head(503, "not-run", "bad-answer"),
    "no-content-with-body": AnswerHead(204, "N", body=b"hello"),
    "not-modified-with-body": AnswerHead(304, "N", body=b"hello"),
    "no-content-streaming": AnswerHead(204, "N", streaming=True),
    "two-bodies": AnswerHead(200, "OK", body=b"hello", streaming=True),
}


async def use_peer(store, machines, handler):
    """Let only the worker behind the second node be listed, with a handler there."""
    store.delete(f"servers/{machines[0].id}")
    await until(lambda: len(machines[0].node.directory) == 1)
    machines[1].node._link_server.handler = handler


def answer_once(machine, head):
    """Return a handler whose first answer is a head, and all later ones are usual."""
    calls = []

    async def handle(request, body, deadline):
        calls.append(request)
        if len(calls) > 1:
            return await machine.node.runner.run(request, body, deadline)
        return Answer(head, StreamedBody() if head.streaming else None)

    return handle


@pytest.mark.parametrize("head", CONTRADICTIONS.values(), ids=CONTRADICTIONS)
async def test_head_that_contradicts_itself_costs_its_own_request_only(head):
    """Callers got status 0, a body behind 204, or 503 for what may have run."""
    async with run_mesh(2) as (store, machines):
        await use_peer(store, machines, answer_once(machines[1], head))
        reader, writer = await machines[0].connect()
        writer.write(make_request("/pay/1", "POST", b"x"))
        assert (await read_response(reader)).status == 502
        writer.write(make_request("/pay/1", "POST", b"x", "id-2"))
        answer = await read_response(reader)
        assert (answer.status, answer.body) == (200, b"ok")
        writer.close()
        assert not machines[0].get_events("link_closed")
        # A request that may be repeated gets another attempt.
        machines[1].node._link_server.handler = answer_once(machines[1], head)
        assert (await machines[0].call("/x")).status == 200


async def test_streamed_answer_to_head_is_no_answer():
    """The body reached the caller as the start of its next answer."""
    async with run_mesh(2) as (store, machines):
        head = AnswerHead(200, "OK", streaming=True)
        await use_peer(store, machines, answer_once(machines[1], head))
        reader, writer = await machines[0].connect()
        for number in range(2):
            writer.write(make_request("/pay/1", "HEAD", request=f"id-{number}"))
            answer = await read_response(reader, "HEAD")
            assert answer.status == (502, 200)[number]
        writer.write(make_request("/pay/1", "POST", b"x", "id-3"))
        assert (await read_response(reader)).body == b"ok"
        writer.close()


async def test_answer_in_place_of_an_error_is_unknown():
    """A reset frame with the head of an answer gave the caller status 0."""
    async with run_mesh(2) as (store, machines):

        async def handle(request, body, deadline):
            (link,) = machines[1].node._link_server.links
            payload = encoder.encode(AnswerHead(200, "OK"))
            link.send(FrameType.RESET, link._last_stream_id, payload)
            return Answer(AnswerHead(200, "OK"))

        await use_peer(store, machines, handle)
        assert (await machines[0].call("/pay/1", "POST", b"x")).status == 502


@pytest.mark.parametrize("row", OUTCOMES, ids=lambda row: row[0].value)
def test_refusals_of_this_version_are_carried_whole(row):
    """Guards against a refusal that its node can send, taken for a contradiction."""
    error = AttemptError.at(*row, "reason")
    status = error.refusal.status
    if row == (Cause.NONE, Stage.ANSWERED):
        return
    assert status in REASON_PHRASES
    assert parse_failed_head(make_failed_head(error.refusal, 0.0)).refusal == (
        error.refusal
    )
    is_promise = status in (408, 421, 429, 503)
    if row != (Cause.KEY_OWNER_LOST, Stage.UNSENT):
        assert (error.refusal.outcome is Outcome.NOT_RUN) or not is_promise
