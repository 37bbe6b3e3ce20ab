"""Limits, leaving workers and restores of the store, with processes of nodes."""

import pytest
from bench.platform_soak import (
    Departure,
    Limit,
    PlatformJournal,
    find_more_problems,
    run_platform_soak,
)
from bench.stop_soak_traffic import Run, Sent

WORKER = ("i-1-1", 1)


@pytest.mark.parametrize("seed", (1, 4))
def test_workers_get_what_they_state_and_the_store_has_written(seed):
    """Guards against statements and writes that a stop or a restore makes forget."""
    journal, report = run_platform_soak(seed, 14.0, 6)
    assert not report, report
    assert journal.limits and journal.departures
    assert sum(request.status == 200 for request in journal.requests) >= 300


def make_journal(times, status=200, version=1, **fields):
    """Return the record of requests to one worker, sent at `times` to node 1."""
    journal = PlatformJournal(acts=[(0.0, 1, "started 1")], **fields)
    for number, at in enumerate(times):
        name = f"r{number}"
        request = Sent(name, 1, 1, False, version, 4.0, at, at + 0.1, status, True)
        journal.requests.append(request)
        journal.runs[name] = [Run(2, at, at + 0.1, worker=WORKER)]
    return journal


def get_rules(journal):
    return [problem.rule for problem in find_more_problems(journal)]


@pytest.mark.parametrize(("interval_s", "rules"), ((0.1, ["LIMIT"]), (0.2, [])))
def test_checks_find_a_worker_above_its_limit(interval_s, rules):
    times = [10.0 + number * interval_s for number in range(round(9.0 / interval_s))]
    journal = make_journal(times, limits=[Limit(WORKER, 4.0, 10.0, 19.0)])
    assert get_rules(journal) == rules


@pytest.mark.parametrize("is_stated", (True, False))
@pytest.mark.parametrize(("late_s", "rules"), ((2.3, ["DRAIN"]), (1.9, [])))
def test_checks_find_requests_to_a_worker_that_leaves(is_stated, late_s, rules):
    departures = [Departure(WORKER, 10.0, is_stated)]
    journal = make_journal([10.0, 10.1 + late_s], departures=departures)
    assert get_rules(journal) == rules


def test_checks_excuse_a_node_that_started_since():
    departures = [Departure(WORKER, 10.0, is_stated=False)]
    journal = make_journal([13.0], departures=departures)
    journal.acts.append((12.0, 1, "started 2"))
    assert get_rules(journal) == []


@pytest.mark.parametrize(
    ("outages", "rules"),
    (
        ([], ["CONFIG"]),
        ([(9.0, 12.0)], []),
        ([(7.0, 8.0)], []),
        ([(7.0, 9.4)], []),
        ([(9.0, 9.4)], []),
        ([(5.0, 6.0)], ["CONFIG"]),
        ([(12.6, 13.0)], ["CONFIG"]),
    ),
)
def test_checks_find_a_document_that_is_late(outages, rules):
    fields = {"acknowledged": {2: 10.0}, "outages": outages}
    journal = make_journal([12.5], status=404, version=2, **fields)
    assert get_rules(journal) == rules


def test_outage_excuses_no_request_long_after_its_end():
    """Guards against checks that one outage switches off for the rest of a run."""
    for outage in ((9.0, 9.5), (9.0, 12.0)):
        journal = make_journal(
            [15.5], status=404, version=2, acknowledged={2: 10.0}, outages=[outage]
        )
        assert get_rules(journal) == ["CONFIG"]
        departures = [Departure(WORKER, 10.0, is_stated=False)]
        journal = make_journal([15.5], departures=departures, outages=[outage])
        assert get_rules(journal) == ["DRAIN"]
