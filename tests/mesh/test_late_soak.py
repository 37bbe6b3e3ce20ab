"""Stops of node processes with work that ends late, and the checks that judge it."""

import pytest
from bench.late_soak import LateJournal, find_unanswered, run_late_soak
from bench.stop_soak_checks import find_problems
from bench.stop_soak_traffic import Run, Sent


@pytest.mark.parametrize("seed", (14, 15))
def test_stops_cut_no_late_work_and_leave_no_upload_unanswered(seed):
    """Grace periods of 4 s and 1 s, with uploads, streams and slow readers."""
    journal, report = run_late_soak(seed, 10.0, 6)
    assert not report, report
    assert sum(what == "SIGTERM" for _, _, what in journal.acts) >= 6
    assert sum(request.status == 200 for request in journal.requests) >= 40
    assert journal.whole_at


def make_upload(**fields):
    times = {"timeout_s": 4.0, "sent_at": 10.0, "ended_at": 12.0}
    names = {"node": 1, "start": 1, "is_unsafe": True, "version": 1}
    return Sent("r", **(names | times | fields))


@pytest.mark.parametrize(
    ("whole_at", "fields", "is_found"),
    (
        (11.0, {}, True),
        (11.9, {}, False),  # closed while the upload arrived
        (None, {}, False),  # not sent whole
        (11.0, {"status": 503}, False),
        (11.0, {"has_left": True}, False),
        (11.0, {"timeout_s": 1.5}, False),
    ),
)
def test_checks_tell_unanswered_uploads_from_excused_ones(whole_at, fields, is_found):
    """Guards against a soak that passes because its checks find nothing."""
    journal = LateJournal()
    journal.requests.append(make_upload(**fields))
    if whole_at is not None:
        journal.whole_at["r"] = whole_at
    assert bool(find_unanswered(journal)) is is_found


@pytest.mark.parametrize(
    ("node", "started_at", "ended_at", "was_cut", "is_found"),
    (
        (2, 9.0, 15.9, True, False),
        (2, 10.2, 15.9, True, True),  # begun after SIGTERM
        (2, 10.01, 15.9, True, False),  # begun before the process handled SIGTERM
        (2, 9.0, 15.4, False, True),  # ended before its node
        (2, 9.0, 15.6, False, False),  # ended after its node
        (2, 9.0, 14.0, True, True),  # cut long before the end
        (3, 9.0, 15.9, True, True),  # at a node that did not stop
    ),
)
@pytest.mark.parametrize("read_at", (15.9, 16.6))
def test_checks_excuse_only_runs_that_outlast_the_node_beside_them(
    node, started_at, ended_at, was_cut, is_found, read_at
):
    """The caller may read the answer after a second stop has begun."""
    upload = make_upload(sent_at=9.0, ended_at=read_at, timeout_s=8.0, status=502)
    journal = LateJournal()
    journal.requests.append(upload)
    journal.runs["r"] = [Run(node, started_at, ended_at, was_cut)]
    journal.acts += [(10.0, 2, "SIGTERM"), (16.5, 2, "SIGTERM")]
    journal.documents.append((0.0, 8.0))
    assert bool(find_problems(journal, 6.0)) is is_found
