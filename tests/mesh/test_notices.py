"""Guards the encoding of notices between nodes."""

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mangowell_core.mesh import CallerLimits, MeshDocument, MeshRoute, MeshState
from mangowell_core.mesh.model import StateNotice
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
