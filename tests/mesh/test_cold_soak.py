"""Cold workers beside stops and crashes, with processes of nodes."""

import pytest
from bench.cold_soak import (
    MAX_PER_S,
    Cold,
    ColdJournal,
    find_busiest_second,
    find_more_problems,
    run_cold_soak,
)
from bench.stop_soak_traffic import Run, Sent


def test_cold_workers_get_no_more_than_their_bound_while_nodes_stop():
    """Guards against nodes that forget the cold time of a worker, or learn it late."""
    journal, report = run_cold_soak(2, 14.0, 6)
    assert not report, report
    # Without load on cold workers, the bound would show nothing.
    busiest = max(find_busiest_second(journal, cold)[0] for cold in journal.colds)
    assert busiest >= MAX_PER_S / 2
    assert sum(request.status == 200 for request in journal.requests) >= 300


def make_journal(times, status=200):
    """Return the record of requests to node 2, which run beside node 1."""
    journal = ColdJournal(colds=[Cold(1, 10.0, 13.0)])
    for number, at in enumerate(times):
        name = f"r{number}"
        request = Sent(name, 2, 1, False, 1, 4.0, at, at + 0.1, status, status == 200)
        journal.requests.append(request)
        journal.runs[name] = [Run(1, at, at + 0.1)]
    return journal


@pytest.mark.parametrize(("count", "rules"), ((17, []), (18, ["COLD"])))
def test_check_finds_a_second_with_too_many_requests(count, rules):
    times = [11.0 + number / 20 for number in range(count)]
    journal = make_journal([5.0] * 30 + times + [13.5] * 30)
    assert [problem.rule for problem in find_more_problems(journal)] == rules


def test_check_counts_health_requests():
    journal = make_journal([11.0 + number / 20 for number in range(17)])
    journal.health[1] = [11.5]
    assert [problem.rule for problem in find_more_problems(journal)] == ["COLD"]


@pytest.mark.parametrize(("at", "rules"), ((18.0, []), (2.0, ["UNANSWERED"])))
def test_check_finds_requests_without_an_answer(at, rules):
    journal = make_journal([20.0], status=0)
    journal.acts = [(at, 2, "SIGTERM"), (19.0, 1, "SIGTERM")]
    assert [problem.rule for problem in find_more_problems(journal)] == rules
