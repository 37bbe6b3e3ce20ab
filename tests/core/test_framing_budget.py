"""Tests of the rate at which the framing of chunked bodies is parsed."""

import heapq

import pytest

from mangowell_core.mesh.framing_budget import (
    FRAMING_RATE,
    FREE_FRAMING_BYTES,
    FREE_FRAMING_SHARE,
    BodyFraming,
    FramingBudget,
)

PIECE_BYTES = 4096


def replay(bodies, seconds, chunk_bytes=1):
    """Parse pieces of endless bodies as their times allow; return bytes of each."""
    budget = FramingBudget()
    framings = [BodyFraming(budget) for _ in range(bodies)]
    parsed = [0] * bodies
    due = [(0.0, number) for number in range(bodies)]
    share = chunk_bytes / (chunk_bytes + len(b"%x\r\n\r\n" % chunk_bytes))
    while due and due[0][0] < seconds:
        now, number = heapq.heappop(due)
        parsed[number] += PIECE_BYTES
        body_bytes = int(parsed[number] * share)
        resume_at = framings[number].count(PIECE_BYTES, body_bytes, now)
        # Bytes arrive every millisecond.
        heapq.heappush(due, (max(resume_at, now + 0.001), number))
    return parsed


@pytest.mark.parametrize("bodies", [1, 10, 60])
def test_one_byte_chunks_share_the_rate(bodies):
    """60 such bodies held a full core and delayed all other requests."""
    parsed = replay(bodies, 10.0)
    framing = sum(parsed) * 5 / 6
    free = bodies * (FREE_FRAMING_BYTES + 2 * PIECE_BYTES)
    free += sum(parsed) / 6 * FREE_FRAMING_SHARE
    assert framing <= free + FRAMING_RATE * 10.0
    assert framing >= FRAMING_RATE * 9.0
    # They take turns, so that each goes on.
    assert max(parsed) - min(parsed) <= 3 * PIECE_BYTES


@pytest.mark.parametrize("chunk_bytes", [512, 1024, 65_536])
def test_usual_chunks_are_never_delayed(chunk_bytes):
    assert replay(3, 2.0, chunk_bytes) == pytest.approx([2000 * PIECE_BYTES] * 3, 0.01)


def test_short_answers_of_small_chunks_are_not_delayed_by_endless_ones():
    budget = FramingBudget()
    endless = BodyFraming(budget)
    endless.count(1_000_000, 0, 0.0)
    assert BodyFraming(budget).count(2000, 500, 0.0) == 0.0


def test_uploads_that_arrive_together_are_free_one_by_one():
    budget = FramingBudget()
    assert BodyFraming(budget, 8).count(8 * FREE_FRAMING_BYTES, 0, 0.0) == 0.0
    assert BodyFraming(budget, 1).count(8 * FREE_FRAMING_BYTES, 0, 0.0) > 0.0
