"""Restarts, crashing requests and lost connections, with processes of nodes."""

import pytest
from bench.restart_soak import RestartJournal, find_more_problems, run_restart_soak
from bench.stop_soak_traffic import Sent

NAME = "crash-7"


def test_nodes_that_restart_know_what_crashes_workers_and_which_ones_leave():
    """Guards against knowledge that is lost with the memory of one node."""
    journal, report = run_restart_soak(18, 12.0, 6)
    assert not report, report
    assert journal.crashed_at and journal.departures and journal.silences
    assert sum(request.status == 200 for request in journal.requests) >= 100


@pytest.mark.parametrize(
    ("crashes", "restarts", "rules"),
    (
        ((1.0, 2.0, 3.0, 7.0, 8.0, 9.0, 10.0), (), ["BUDGET"]),
        ((1.0, 2.0, 3.0, 7.0, 8.0, 9.0), (), []),
        # Not later than 3 s after the third crash.
        ((1.0, 2.0, 3.0, 5.0, 8.0, 9.0, 10.0), (), []),
        # By a node that has just started.
        ((1.0, 2.0, 3.0, 7.0, 8.0, 9.0, 10.0), (8.5,), []),
    ),
)
def test_checks_find_a_request_that_goes_on_crashing_workers(crashes, restarts, rules):
    """Guards against a soak that passes because its checks find nothing."""
    journal = RestartJournal(crashed_at={f"/{NAME}": list(crashes)})
    journal.acts = [(at, 1, "started 2") for at in restarts]
    for number, at in enumerate(crashes):
        name = f"{NAME}@{number}"
        sent = Sent(name, 1, 1, False, 1, 1.5, at - 0.1, at, status=502)
        journal.requests.append(sent)
    assert [problem.rule for problem in find_more_problems(journal)] == rules
