"""A fleet of real nodes keeps its invariants under random faults.

A failing case prints its trace and the command that repeats its schedule.
"""

import pytest
import uvloop
from bench.soak import MAX_AT_ONCE, Soak, make_schedule

SOAK_DURATION_S = 7.0
SEEDS = (1, 2, 3)


@pytest.mark.parametrize("seed", SEEDS)
def test_random_faults_lose_truncate_and_double_no_call(seed):
    report = uvloop.run(Soak(seed, SOAK_DURATION_S).run())
    details = "\n".join([report.replay_command, *report.trace, *report.problems])
    assert not report.problems, details
    assert len(report.steps) > 1


def test_schedule_depends_on_the_seed_alone():
    assert make_schedule(5, 60.0) == make_schedule(5, 60.0)
    assert make_schedule(5, 60.0) != make_schedule(6, 60.0)


def test_schedule_has_two_faults_at_a_time_and_no_more():
    steps = make_schedule(3, 300.0)
    active = [sum(s.at <= step.at < s.at + s.hold_s for s in steps) for step in steps]
    assert max(active) == MAX_AT_ONCE
