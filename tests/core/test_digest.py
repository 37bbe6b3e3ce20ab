"""Tests of deltas and compressed texts that come from a peer."""

import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mangowell_core.digest import (
    MAX_TEXT_BYTES,
    DigestError,
    apply_delta,
    compress_text,
    compute_digest,
    decompress_text,
    make_delta,
)

lines = st.lists(
    st.sampled_from([b"a\n", b"[x]\n", b"[y]\nk = 1\n", b"b", b"\r\n", b""])
)
texts = lines.map(b"".join) | st.binary(max_size=60)


@given(texts, texts)
def test_delta_gives_the_new_text(old, new):
    """A lost or repeated chunk would give a node a text that the source never had."""
    assert apply_delta(old, make_delta(old, new), compute_digest(new)) == new


def test_delta_with_another_digest_is_refused():
    """A valid delta for another base or target must not yield a wrong text."""
    delta = make_delta(b"a\nb\n", b"a\nc\n")
    for old, digest in (
        (b"a\nb\n", compute_digest(b"a\nb\n")),
        (b"b\nb\n", compute_digest(b"a\nc\n")),
    ):
        with pytest.raises(DigestError):
            apply_delta(old, delta, digest)


def test_delta_of_one_section_is_small():
    """Sending whole documents at each change would exceed the control budget."""
    old = b"".join(b"[route r%d]\npath = /p%d\n" % (i, i) for i in range(1000))
    new = old.replace(b"/p500\n", b"/q500\n")
    assert len(make_delta(old, new)) < 100 < len(compress_text(new))


@given(texts, st.binary(max_size=200))
def test_random_delta_is_refused(old, delta):
    """Damaged bytes must raise `DigestError` and never yield a text."""
    with pytest.raises(DigestError):
        apply_delta(old, delta, "0" * 64)


@pytest.mark.parametrize(
    "operations",
    [[(0, 3)], [(-1, 1)], [(0, 0)], [(0, 1)] * 600_000, [(2**40, 1)], {"a": 1}],
    ids=["beyond", "negative", "empty", "expanding", "huge", "other-type"],
)
def test_delta_outside_the_old_text_is_refused(operations):
    """A peer must not make a node copy missing chunks or build a huge text."""
    delta = zlib.compress(msgspec.msgpack.encode(operations))
    with pytest.raises(DigestError):
        apply_delta(b"aa\nbb\n", delta, compute_digest(b"aa\n"))


@pytest.mark.parametrize(
    "data",
    [
        zlib.compress(bytes(200 * MAX_TEXT_BYTES)),
        zlib.compress(bytes(MAX_TEXT_BYTES + 1)),
        zlib.compress(b"text")[:-2],
        zlib.compress(b"text") + b"x",
        b"",
    ],
    ids=["bomb", "over", "truncated", "trailing", "empty"],
)
def test_compressed_data_is_bounded(data):
    """A small message must not expand until it fills the 256 MB of a node."""
    with pytest.raises(DigestError):
        decompress_text(data)


def test_largest_text_is_accepted():
    """The size limit must not reject a text of exactly the largest size."""
    body = bytes(MAX_TEXT_BYTES)
    assert decompress_text(compress_text(body)) == body
