"""Items of other writers, and the checks of the soak that leaves them."""

import json

import pytest
from bench.foreign_soak import (
    ForeignJournal,
    ForeignSoak,
    ReadyAnswer,
    Replacement,
    find_more_problems,
    run_foreign_soak,
)
from bench.stop_soak_traffic import Run, Sent

WORKER = ("i-1-1", 1)


# With these seeds, foreign items and failures of tasks come several times, and the soak
# fails if entries and documents are decoded without bounds.
@pytest.mark.parametrize(("seed", "documents"), ((4, 0), (306, 2)))
def test_foreign_items_and_failed_tasks_stop_no_change(seed, documents):
    """Guards against an item, or a failed task, that ends the reading of the store."""
    journal, report = run_foreign_soak(seed, 12.0, 6)
    assert not report, report
    keys = [key for _, key in journal.foreign_items]
    assert keys.count("op/config") >= documents and len(keys) >= 6
    assert journal.replacements
    assert len(journal.failed_tasks) >= 2
    answers = {answer.node for answer in journal.ready_answers if answer.status == 200}
    assert answers == set(range(1, 8))
    assert sum(request.status == 200 for request in journal.requests) >= 300


def get_rules(journal):
    return [problem.rule for problem in find_more_problems(journal)]


def test_checks_find_a_request_to_a_worker_of_a_foreign_entry():
    """Guards against a soak that passes because its checks find nothing."""
    assert get_rules(ForeignJournal(misled=[(10.0, "r")])) == ["FOREIGN"]


@pytest.mark.parametrize(
    ("sent_at", "acts", "rules"),
    (
        (11.9, [], []),
        (12.1, [], ["FOREIGN"]),
        (12.1, [(10.5, 1, "started 2")], []),
        (15.1, [], []),
    ),
)
def test_checks_find_a_request_to_a_worker_whose_entry_is_replaced(
    sent_at, acts, rules
):
    request = Sent("r", 1, 1, False, 1, 4.0, sent_at, sent_at + 0.1, 200, True)
    runs = {"r": [Run(2, sent_at, sent_at + 0.1, worker=WORKER)]}
    replacements = [Replacement(WORKER, 10.0, 15.0)]
    journal = ForeignJournal([request], runs, acts, replacements=replacements)
    assert get_rules(journal) == rules


READY, REFUSED, SILENT = 200, 503, 0


@pytest.mark.parametrize(
    ("statuses", "acts", "rules"),
    (
        ((READY, REFUSED, SILENT), [], ["READY"]),
        ((READY, REFUSED, READY, REFUSED), [], []),
        ((REFUSED, REFUSED, READY), [], []),
        ((REFUSED,) * 22, [], ["READY"]),
        ((READY, REFUSED, REFUSED), [(1.2, 1, "SIGTERM")], []),
        ((READY, REFUSED, REFUSED), [(1.2, 1, "ended 1")], []),
        ((READY, REFUSED, REFUSED), [(1.2, 1, "SIGHUP")], ["READY"]),
        ((READY, REFUSED, REFUSED), [(1.2, 2, "SIGTERM")], ["READY"]),
        ((READY, REFUSED, REFUSED), [(3.0, 1, "SIGTERM")], ["READY"]),
    ),
)
def test_checks_find_a_process_that_is_not_ready(statuses, acts, rules):
    """Guards against a node that takes itself out, or never becomes ready."""
    answers = [
        ReadyAnswer(1.0 + number / 2, 1, 1, status)
        for number, status in enumerate(statuses)
    ]
    acts = [(0.5, 1, "started 1"), *acts]
    journal = ForeignJournal(acts=acts, ready_answers=answers)
    assert get_rules(journal) == rules


def make_line(fault, event="task_failed"):
    return json.dumps({"event": event, "fault": fault}) + "\n"


def test_soak_passes_over_ordered_failures_and_no_others():
    """Guards against a soak that takes a fault of the code for an ordered one."""
    ordered = make_line("InjectedTaskError('store-reader')")
    faults = [
        make_line("RecursionError('maximum recursion depth exceeded')"),
        make_line("ValueError(\"InjectedTaskError('store-reader')\")"),
        make_line("InjectedTaskError('store-reader')", "internal_fault"),
        "Traceback (most recent call last):\n",
        '{"event":"task_failed"\n',
    ]
    soak = ForeignSoak(1, 1.0, 2)
    other = make_line("", "task_started")
    assert sorted(soak.find_faults([ordered, *faults, other])) == sorted(faults)
    assert soak.journal.failed_tasks == ["InjectedTaskError('store-reader')"]
