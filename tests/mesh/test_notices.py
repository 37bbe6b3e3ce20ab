"""Guards the encoding of notices between nodes."""

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mangowell_core.mesh import CallerLimits, MeshDocument, MeshRoute, MeshState
from mangowell_core.mesh.model import (
    ChangeNotice,
    Endpoint,
    ProbeReply,
    StateNotice,
    StatusNotice,
)
from mangowell_node.mesh.notices import (
    MAX_NOTICE_BYTES,
    NoticeFormatError,
    decode_notice,
    encode_notice,
)


def make_state(count):
    routes = tuple(
        MeshRoute(
            f"r-{n * 7919 % 99991:05x}",
            "hulo84.example",
            f"/leny{n}/",
            True,
            1.2,
            0.645,
            n % 3,
            2,
            (("huvo11a", 1.0),),
        )
        for n in range(count)
    )
    document = MeshDocument(1, routes, (), CallerLimits())
    return StateNotice(MeshState(9, document, ()), None)


@pytest.mark.parametrize("count", [0, 1, 1600])
def test_notice_round_trip(count):
    notice = make_state(count)
    assert decode_notice(encode_notice(notice)) == notice


def test_document_of_many_routes_is_compressed():
    """Guards against a large document that fills a narrow link.

    Sent uncompressed to 26 nodes, it filled a link of 5 Mbit/s for seconds.
    """
    assert len(encode_notice(make_state(1600))) < 30_000


@given(st.binary(max_size=200))
def test_bytes_that_are_no_notice_are_refused(payload):
    for data in (payload, b"\xc1" + payload):
        with pytest.raises(NoticeFormatError):
            decode_notice(data)


def test_notice_too_long_after_decompression_is_refused():
    bomb = b"\xc1" + zlib.compress(bytes(MAX_NOTICE_BYTES + 1))
    with pytest.raises(NoticeFormatError):
        decode_notice(bomb)


def make_endpoint(name="i-1", **fields):
    values = {
        "id": name,
        "service": "orders",
        "host": "10.0.0.1",
        "port": 80,
        "failure_domain": "z",
        "slots": 4,
        "draining": False,
        "warmup_s": 0.0,
        "born_ms": 1,
        "revision": 5,
    }
    return Endpoint(**values | fields)


MALFORMED_ENDPOINTS = [
    make_endpoint("i-2", port=70_000),
    make_endpoint("i-2", port=0),
    make_endpoint("i-2", host="worker.example"),
    make_endpoint("i-2", slots=0),
    make_endpoint("i-2", warmup_s=float("nan")),
    make_endpoint("i-2", warmup_s=float("inf")),
    make_endpoint("i-2", born_ms=2**64 - 1),
    make_endpoint("i-2", draining="no"),
    make_endpoint("i-2", service="a\r\nX: y"),
]


@pytest.mark.parametrize("malformed", MALFORMED_ENDPOINTS)
def test_malformed_entry_of_a_state_costs_only_itself(malformed):
    """Guards against a state that a node without the store never gets."""
    valid = make_endpoint("i-1"), make_endpoint("i-3")
    state = MeshState(9, None, (valid[0], malformed, valid[1]))
    reasons = []
    notice = decode_notice(encode_notice(StateNotice(state, None)), reasons.append)
    assert notice.state.endpoints == valid
    assert len(reasons) == 1


@pytest.mark.parametrize("malformed", [*MALFORMED_ENDPOINTS, 5, [], {}, ["a b"]])
def test_malformed_entry_of_a_change_removes_its_worker(malformed):
    """Guards against an old entry that stays in use as its successor is refused."""
    valid = make_endpoint("i-1")
    sent = ChangeNotice(3, 9, 0, None, (malformed, valid), ("i-7",))
    notice = decode_notice(encode_notice(sent))
    assert notice.endpoints == (valid,)
    is_named = isinstance(malformed, Endpoint)
    assert notice.removed == (("i-7", "i-2") if is_named else ("i-7",))


@pytest.mark.parametrize(
    "notice",
    [
        StatusNotice("n", 1, False, -1, 4, False, False, 1.0),
        StatusNotice("n", 1, False, 0, 4, False, False, float("nan")),
        StatusNotice("n", 2**63, False, 0, 4, False, False, 1.0),
        StatusNotice("n", 1, False, 0, 4, True, False, 1.0, {}, float("inf")),
        StatusNotice("n", 1, False, 0, 4, False, False, 1.0, {"a": (-1, 2)}),
        ProbeReply(1, True, float("nan"), 0.1, 0.0, 1, 4),
        ProbeReply(1, True, -1.0, 0.1, 0.0, 1, 4),
        ProbeReply(1, True, 0.0, float("inf"), 0.0, 1, 4),
        ProbeReply(1, True, 0.0, 0.1, 2.0, 1, 4),
        ProbeReply(1, False, 0.0, 0.1, 0.0, 1, 4, "x" * 256),
        ProbeReply(1, True, 0.0, 0.1, 0.0, 1, 4, "", -2),
    ],
)
def test_notice_with_a_number_out_of_range_is_refused(notice):
    """Guards against loads and times that no later calculation can use."""
    with pytest.raises(NoticeFormatError):
        decode_notice(encode_notice(notice))


@pytest.mark.parametrize("payload", [b"\x91" * 6000 + b"\x01", b"\x81\xa1a" * 6000])
def test_notice_nested_too_deep_is_refused(payload):
    for data in (payload, b"\xc1" + zlib.compress(payload)):
        with pytest.raises(NoticeFormatError):
            decode_notice(data)
