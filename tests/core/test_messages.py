"""Tests of the decoding of bytes from a peer."""

import pytest

from mangowell_core.messages import (
    MAX_MESSAGE_BYTES,
    DigestQuery,
    KeyVersion,
    MessageError,
    decode_message,
    encode_message,
)

QUERY = DigestQuery([KeyVersion("instances", 7, "ab" * 32)], [])


def test_message_survives_encoding():
    """Decoding must give the encoded message with all its fields."""
    assert decode_message(encode_message(QUERY)) == QUERY


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        encode_message(QUERY)[:-1],
        encode_message(QUERY) + b"\x00",
        b"\x93\xa6digest\x01\x02",
        b"\x00" * (MAX_MESSAGE_BYTES + 1),
    ],
    ids=["empty", "reserved", "truncated", "trailing", "wrong-type", "oversized"],
)
def test_invalid_bytes_are_refused(data):
    """A node must not crash on malformed, truncated or oversized messages."""
    with pytest.raises(MessageError):
        decode_message(data)
