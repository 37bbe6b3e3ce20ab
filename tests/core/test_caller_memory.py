"""Tests of the account of callers with crowds, without a network."""

import random

from mangowell_core.mesh.caller_memory import (
    MIN_FAIR_BYTES,
    CallerMemory,
    compute_max_connections,
    compute_request_bytes,
)

LIMIT = 10_000_000


def make_crowd(memory, count, size):
    for number in range(count):
        memory.set_held(f"crowd-{number}", size)


def test_crowd_keeps_no_ordinary_request_out():
    """All requests were refused while 200 connections held the whole memory."""
    memory = CallerMemory(LIMIT)
    make_crowd(memory, 200, LIMIT // 200)
    memory.set_held("ordinary", compute_request_bytes(500))
    assert memory.may_read("ordinary")
    assert memory.may_start("ordinary")
    assert not memory.may_read("crowd-0")
    assert not memory.may_start("crowd-0")
    assert "ordinary" not in memory.select_closing()


def test_reading_stops_before_requests_are_refused_and_connections_closed():
    memory = CallerMemory(LIMIT)
    steps = []
    for held in range(0, 2 * LIMIT, LIMIT // 100):
        make_crowd(memory, 2, held // 2)
        step = (
            memory.may_read("crowd-0"),
            memory.may_start("crowd-0"),
            not memory.select_closing(),
        )
        if not steps or steps[-1] != step:
            steps.append(step)
    assert steps == [
        (True, True, True),
        (False, True, True),
        (False, False, True),
        (False, False, False),
    ]


def test_closing_ends_as_soon_as_the_rest_fits():
    """A crowd of which one connection holds most lost all its connections."""
    memory = CallerMemory(LIMIT)
    make_crowd(memory, 100, 60_000)
    memory.set_held("greedy", LIMIT)
    assert memory.select_closing() == ["greedy"]
    memory.release("greedy")
    assert not memory.is_over


def test_callers_inside_the_limits_meet_no_bound():
    """16 pipelined requests with the largest heads, on a machine of 200 MB."""
    memory = CallerMemory.from_memory_mb(200)
    held = 32 * compute_request_bytes(16_384)
    memory.set_held("pipelining", held)
    assert memory.may_read("pipelining")
    make_crowd(memory, 600, compute_request_bytes(500))
    assert memory.may_read("pipelining")


def test_account_returns_to_nothing_after_random_changes():
    """Bytes that are never released would refuse all requests in the end."""
    rng = random.Random(7)
    memory = CallerMemory(LIMIT)
    owners = [f"caller-{number}" for number in range(50)]
    for _ in range(5000):
        owner = rng.choice(owners)
        match rng.randrange(3):
            case 0:
                memory.set_held(owner, rng.randrange(5 * MIN_FAIR_BYTES))
            case 1:
                memory.set_held(owner, 0)
            case 2:
                memory.release(owner)
        assert memory.held == sum(memory.get_held(owner) for owner in owners)
        for closing in memory.select_closing():
            memory.release(closing)
        assert memory.held <= LIMIT
    for owner in owners:
        memory.release(owner)
    assert (memory.held, memory.total) == (0, 0)


def test_bound_of_connections_leaves_descriptors_for_other_nodes():
    assert compute_max_connections(0) == 0
    for max_fds in (200, 1024, 4100, 8192):
        rest = max_fds - compute_max_connections(max_fds)
        assert rest >= 164
    assert compute_max_connections(4100) == 3075
