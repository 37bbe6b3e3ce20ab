"""Evacuations of failure domains beside stops and changes, with processes of nodes."""

import pytest
from bench.evacuation_soak import (
    EVACUATE_S,
    Evacuation,
    EvacuationJournal,
    find_late_arrivals,
    run_evacuation_soak,
)
from bench.stop_soak_traffic import Run, Sent


def test_evacuated_domains_get_nothing_while_nodes_stop_and_start():
    journal, report = run_evacuation_soak(3, 14.0, 6)
    assert not report, report
    assert journal.evacuations
    assert sum(request.status == 200 for request in journal.requests) >= 300
    refused = [r for r in journal.requests if r.status == 503 and not r.is_workers]
    # A run with many refusals cannot be explained without their reasons.
    assert all(request.reason for request in refused)


@pytest.mark.parametrize(
    ("at", "domain", "count"),
    [
        (10.0 + EVACUATE_S + 0.1, "z1", 1),
        (10.0 + EVACUATE_S - 0.1, "z1", 0),
        (10.0 + EVACUATE_S + 0.1, "z2", 0),
        (17.0, "z1", 0),
    ],
)
def test_check_finds_a_request_to_an_evacuated_domain(at, domain, count):
    journal = EvacuationJournal(
        evacuations=[Evacuation("z1", 10.0, 16.0)], domains={2: domain}
    )
    journal.requests.append(Sent("r", 1, 1, False, 1, 4.0, at, at + 0.1, 200, True))
    journal.runs["r"] = [Run(2, at, at + 0.1, worker=("i-2", 1))]
    assert len(list(find_late_arrivals(journal))) == count
