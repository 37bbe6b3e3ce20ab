"""Tests of a node's process with crowds of callers that keep to no limit.

A node that such a crowd ends, or that holds more memory or descriptors than its
machine has, serves no ordinary caller either.
"""

import asyncio

import pytest

from mesh.support_callers import (
    KINDS,
    WAIT_S,
    hold_head_open,
    run_crowd,
    run_limited_node,
    send_mixture,
)

CALLERS = 200
# Memory that the settings name, which the process may not exceed, in megabytes.
MEMORY_MB = 80
# Part of it that the process may still take after the crowd has left.
LEFT_MEMORY_SHARE = 0.8
# Descriptors that the settings name. Those of the crowd fit, except in the test of
# descriptors.
MAX_FDS = 1024
FEW_FDS = 200
# Descriptors in addition to those before the crowd that may stay open after it.
LEFT_DESCRIPTORS = 32


async def check_crowd(directory, kind, max_fds=MAX_FDS, seed=0):
    async with run_limited_node(directory, MEMORY_MB, max_fds) as node:
        usage = node.usage
        first = usage.descriptors
        await run_crowd(node, kind, CALLERS, seed)
        await wait_until_released(usage, first + LEFT_DESCRIPTORS)
        figures = (
            f"most {usage.max_memory_mb:.0f} MB, {usage.max_descriptors} descriptors; "
            f"left {usage.memory_mb:.0f} MB, {usage.descriptors} descriptors; "
            f"before {first} descriptors"
        )
        print(figures)
        assert node.is_alive
        assert usage.max_memory_mb < MEMORY_MB, figures
        assert usage.max_descriptors < max_fds, figures
        assert usage.memory_mb < MEMORY_MB * LEFT_MEMORY_SHARE, figures
        assert usage.descriptors <= first + LEFT_DESCRIPTORS, figures
        assert await node.call() == 200


async def wait_until_released(usage, max_descriptors):
    for _ in range(int(WAIT_S * 10)):
        usage.sample()
        is_small = usage.memory_mb < MEMORY_MB * LEFT_MEMORY_SHARE
        if is_small and usage.descriptors <= max_descriptors:
            return
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("kind", KINDS.values(), ids=KINDS)
async def test_callers_outside_the_limits_exhaust_no_memory(tmp_path, kind):
    await check_crowd(tmp_path, kind)


@pytest.mark.parametrize("seed", range(3))
async def test_mixed_callers_outside_the_limits_exhaust_no_memory(tmp_path, seed):
    await check_crowd(tmp_path, send_mixture, seed=seed)


async def test_open_heads_exhaust_no_descriptors(tmp_path):
    await check_crowd(tmp_path, hold_head_open, FEW_FDS)
