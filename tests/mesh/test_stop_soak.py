"""Planned stops of node processes, and the checks that judge them."""

import pytest
from bench.stop_soak import GRACE_S, make_schedule, run_stop_soak
from bench.stop_soak_checks import find_problems
from bench.stop_soak_traffic import Journal, Run, Sent


def make_request(name="r", **fields):
    defaults = {"node": 1, "start": 1, "is_unsafe": True, "version": 1}
    times = {"timeout_s": 4.0, "sent_at": 10.0, "ended_at": 11.0}
    return Sent(name, **(defaults | times | fields))


@pytest.mark.parametrize("seed", (2, 6))
def test_planned_stops_lose_no_request(seed):
    """Guards against work that a stopping node cuts off."""
    journal, report = run_stop_soak(seed, 12.0, 6)
    assert not report, report
    assert sum(what == "SIGTERM" for _, _, what in journal.acts) >= 12
    assert sum(request.status == 200 for request in journal.requests) >= 300


def test_seed_determines_the_schedule():
    assert make_schedule(3, 20.0, 6) == make_schedule(3, 20.0, 6)
    assert make_schedule(3, 20.0, 6) != make_schedule(4, 20.0, 6)


@pytest.mark.parametrize(
    ("rule", "fields", "acts"),
    (
        ("REFUSED", {"status": 503}, []),
        ("MIXED", {"status": 200, "is_workers": True, "mix_up": "other"}, []),
        ("LOST", {"status": 502}, [(6.0, 2, "SIGTERM")]),
        ("LOST", {"status": 0}, [(6.5, 1, "SIGTERM")]),
        ("LOST", {"status": 0, "sent_at": 9.6}, [(5.5, 1, "SIGTERM")]),
        ("KEPT", {"status": 0}, [(9.0, 2, "SIGKILL")]),
        ("", {"status": 502}, [(9.0, 2, "SIGKILL")]),
        ("", {"status": 0, "sent_at": 8.0}, [(5.5, 1, "SIGTERM")]),
        ("", {"status": 504, "sent_at": 7.0}, [(6.0, 1, "SIGTERM")]),
        ("", {"status": 0, "has_left": True}, []),
    ),
)
def test_checks_tell_lost_requests_from_excused_ones(rule, fields, acts):
    """Guards against a soak that passes because its checks find nothing."""
    run = Run(2, 10.2, 11.0, was_cut=True)
    request = make_request(**fields)
    journal = Journal([request], {"r": [run]}, acts, [(0.0, 4.0)])
    problems = find_problems(journal, GRACE_S)
    assert [problem.rule for problem in problems] == ([rule] if rule else [])


def test_checks_find_repeated_runs_and_older_documents():
    runs = {"r": [Run(2, 10.2, 10.5), Run(3, 10.6, 11.0)]}
    newer = make_request("n", version=3, status=200, is_workers=True)
    older = make_request("o", version=2, status=404, sent_at=12.0, ended_at=12.1)
    sent = [make_request(status=200, is_workers=True), newer, older]
    problems = find_problems(Journal(sent, runs, [], [(0.0, 4.0)]), GRACE_S)
    assert [problem.rule for problem in problems] == ["TWICE", "REGRESS"]
