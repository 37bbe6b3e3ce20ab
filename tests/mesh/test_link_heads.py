"""Guards against header fields and frames that a link cannot carry."""

import json
import os

import pytest

from mangowell_core.events import Event, EventCode
from mangowell_node.event_log import EventLog
from mangowell_node.exchange import AnswerHead, RequestHead
from mangowell_node.link import LinkError
from mangowell_node.link.frames import decode_answer, decode_request, encoder
from mangowell_standins.scripted_http import make_answer, read_response
from mesh.support_mesh import make_entry, make_request, run_mesh, until


async def call_remote(store, machines, request):
    """Send a request that only the worker of the second machine can run."""
    first, second = machines
    port = first.worker.port
    store.put("servers/i-1", make_entry(first.host, port, state="draining"))
    get_link = first.node._links.get_link
    await until(lambda: get_link(second.host, second.link_port))
    await until(lambda: first.node.directory.endpoints["i-1"].draining)
    reader, writer = await first.connect()
    writer.write(request)
    try:
        return await read_response(reader)
    finally:
        writer.close()


@pytest.mark.parametrize("request_id", [b"\xff", b"a\xc3\x28", b"\xed\xa0\x80"])
async def test_request_id_that_is_no_text_gets_an_answer(request_id):
    """Guards against a request that is lost as its id cannot be encoded."""
    request = make_request(request="@@").replace(b"@@", request_id)
    async with run_mesh(2) as (store, machines):
        answer = await call_remote(store, machines, request)
        assert answer.status in (200, 400)
        assert (await machines[0].call()).status == 200


@pytest.mark.parametrize(
    "load", ["1,0,100000000000000000000", "1,0," + "9" * 5000, "1,0,\u0664"]
)
async def test_unusable_load_of_a_worker_does_not_lose_its_answer(load):
    """Guards against an answer that is lost as its load cannot be encoded."""

    async def answer(request):
        request_id = request.headers["request-id"]
        fields = f"Request-Id: {request_id}\r\nServer-Load: {load}\r\n"
        return make_answer(b"ok", "200 OK", fields)

    async with run_mesh(2) as (store, machines):
        machines[1].worker.handler = answer
        answer = await call_remote(store, machines, make_request())
        assert (answer.status, answer.body) == (200, b"ok")


@pytest.mark.parametrize("is_remote", [False, True], ids=["local", "remote"])
async def test_pace_of_an_answer_reaches_the_placement(is_remote):
    """It was read from the answer, but not recorded with its load."""

    async def answer(request):
        request_id = request.headers["request-id"]
        fields = f"Request-Id: {request_id}\r\nServer-Load: 1,0,4,150\r\n"
        return make_answer(b"ok", "200 OK", fields)

    async with run_mesh(2) as (store, machines):
        worker = machines[is_remote]
        worker.worker.handler = answer
        if is_remote:
            assert (await call_remote(store, machines, make_request())).status == 200
        else:
            assert (await worker.call()).status == 200
        placement = machines[0].node.gateway.attempts.placement
        assert placement._stats_by_id[worker.id].pace == pytest.approx(1.5)


async def test_reason_phrase_that_is_no_text_does_not_lose_the_answer():
    async def answer(request):
        request_id = request.headers["request-id"]
        head = f"Request-Id: {request_id}\r\n"
        return make_answer(b"ok", "200 @@", head).replace(b"@@", b"\xff\xfe")

    async with run_mesh(2) as (store, machines):
        machines[1].worker.handler = answer
        answer = await call_remote(store, machines, make_request())
        assert answer.status in (200, 502)


async def test_target_that_is_no_text_is_refused_as_not_run():
    request = make_request("/@@").replace(b"@@", b"\xff")
    async with run_mesh(2) as (store, machines):
        answer = await call_remote(store, machines, request)
        assert answer.status in (200, 400)


def test_event_with_text_that_cannot_be_encoded_is_written(tmp_path):
    """Guards against a refusal that fails as its event quotes the caller."""
    descriptor = os.open(tmp_path / "log", os.O_CREAT | os.O_WRONLY)
    log = EventLog("node-1", descriptor)
    fields = {"request": "a\udcff", "held_ms": 10**30, "status": 400}
    log.write(Event(EventCode.CALL_REFUSED, fields))
    log.flush()
    os.close(descriptor)
    line = json.loads((tmp_path / "log").read_text())
    assert (line["event"], line["status"]) == ("call_refused", "400")
    assert line["request"] == r"a\udcff"


def make_request_head(**fields):
    values = {
        "request": "id-1",
        "service": "orders",
        "method": "GET",
        "target": "/x",
        "headers": b"A: b\r\n",
        "tenant": "",
        "traffic_class": "",
        "priority": 1,
        "deferrable": False,
        "remaining_ms": 1000.0,
        "idempotent": True,
    }
    return RequestHead(**values | fields)


@pytest.mark.parametrize(
    "head",
    [
        make_request_head(remaining_ms=float("nan")),
        make_request_head(remaining_ms=float("inf")),
        make_request_head(remaining_ms=1e300),
        make_request_head(objective_s=float("nan")),
        make_request_head(rate_limit=float("nan")),
        make_request_head(length=-2),
        make_request_head(priority=2**64 - 1),
        AnswerHead(0, "", outcome="other"),
        AnswerHead(0, "", cause="other"),
        AnswerHead(-1, ""),
        AnswerHead(200, "", backend_load=float("inf")),
        AnswerHead(200, "", retry_after_s=float("nan")),
        AnswerHead(200, "", slots=2**63),
        AnswerHead(200, "", length=-2),
        AnswerHead(200, "", rate_limit=float("nan")),
    ],
)
def test_head_that_cannot_be_used_is_a_link_error(head):
    """Guards against a head whose values fail only while its request is handled."""
    decode = decode_request if isinstance(head, RequestHead) else decode_answer
    with pytest.raises(LinkError):
        decode(encoder.encode(head))


@pytest.mark.parametrize("decode", [decode_request, decode_answer])
@pytest.mark.parametrize("payload", [b"", b"\xff", b"\x91" * 6000, b"\x90", b"\x01"])
def test_bytes_that_are_no_head_are_a_link_error(decode, payload):
    with pytest.raises(LinkError):
        decode(payload)
