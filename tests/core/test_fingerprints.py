"""Guards backend servers against a request that crashes them, and its neighbours."""

import pytest
from tests.core.policy_support import (
    OK,
    make_instance,
    make_plan,
    make_policy,
    make_snapshot,
    make_work,
)

from mangowell_core.messages import CrashReport, decode_message, encode_message
from mangowell_core.policy import make_fingerprint, with_fingerprint
from mangowell_core.policy.admission import ALONE_RUN_S, ALONE_WAIT_S
from mangowell_core.policy.fingerprints import (
    MAX_ENTRIES,
    PLACEMENT_ENFORCED_S,
    QUARANTINE_S,
    SUSPICION_S,
)
from mangowell_core.policy.types import (
    Admitted,
    AttemptResult,
    Cause,
    Dispatch,
    Outcome,
    Queued,
    Refusal,
)

MEMBERS = [make_instance(n) for n in ("a", "b", "c")] + [
    make_instance(n, "d2") for n in ("x", "y")
]
CRASHED = AttemptResult(Outcome.UNKNOWN, Cause.BACKEND_CRASHED, 502)
POISON, NEIGHBOUR = "p" * 64, "n" * 64


def make_ready(name="a", domain="d1"):
    policy = make_policy(name, domain)
    policy.apply(make_snapshot(*MEMBERS), 0.0)
    return policy


def is_refused(policy, fingerprint, now):
    plan = with_fingerprint(make_plan(policy, now), fingerprint)
    return policy.suspect(plan, now) is not None


def find_place(policy, fingerprint, now):
    plan = with_fingerprint(make_plan(policy, now), fingerprint)
    return policy.pick(plan, (), now).instance.name


def test_second_crash_refuses_the_request_and_not_its_neighbour():
    """The neighbour of a poisonous request must still be served."""
    policy = make_ready()
    policy.backend_crashed("shop", [POISON, NEIGHBOUR], 1.0)
    assert not is_refused(policy, POISON, 1.1)
    policy.backend_crashed("shop", [POISON], 2.0)
    assert is_refused(policy, POISON, 2.1)
    assert not is_refused(policy, NEIGHBOUR, 2.1)


def test_crash_is_blamed_on_the_request_that_was_a_suspect_already():
    """A neighbour that was in flight beside a suspect is innocent."""
    policy = make_ready()
    policy.backend_crashed("shop", [POISON, NEIGHBOUR], 1.0)
    policy.backend_completed(NEIGHBOUR, 1.5)
    reports = policy.backend_crashed("shop", [POISON, "m" * 64], 2.0)
    assert [report.fingerprint for report in reports] == [POISON]
    assert is_refused(policy, POISON, 2.1)
    assert "m" * 64 not in policy.board.suspects


def test_request_that_began_before_the_suspicion_is_not_blamed_alone():
    """A popular request may be in flight, unlabelled, when a report comes."""
    for shown in (NEIGHBOUR, ""):
        policy = make_ready()
        policy.offer(make_work(1.0, fingerprint=shown), 1.0)
        report = CrashReport("shop", "d1", NEIGHBOUR, 1, "z")
        policy.crash_reported(report, 1.1)
        policy.backend_crashed("shop", [NEIGHBOUR, POISON], 1.2)
        assert {NEIGHBOUR, POISON} <= policy.board.suspects
        assert not is_refused(policy, NEIGHBOUR, 1.3)


def test_shared_crashes_in_two_domains_do_not_refuse_a_popular_request():
    """A popular read is in flight at every crash; counts are per domain."""
    policy = make_ready()
    policy.backend_crashed("shop", [POISON, NEIGHBOUR], 1.0)
    for reporter in ("x", "y"):
        policy.crash_reported(CrashReport("shop", "d2", NEIGHBOUR, 1, reporter), 1.1)
    assert not is_refused(policy, NEIGHBOUR, 1.2)


def test_three_crashes_of_one_domain_refuse_without_further_proof():
    """The bound of three crashes holds even if every crash was shared."""
    policy = make_ready()
    for reporter in ("x", "y"):
        policy.crash_reported(CrashReport("shop", "d2", POISON, 1, reporter), 1.0)
    assert not is_refused(policy, POISON, 1.1)
    policy.crash_reported(CrashReport("shop", "d2", POISON, 2, "y"), 1.2)
    assert is_refused(policy, POISON, 1.3)


def test_suspect_runs_alone():
    """Its crash must not end requests beside it, nor be blamed on them."""
    policy = make_ready()
    place = find_place(policy, POISON, 1.0)
    policy.crash_reported(CrashReport("shop", "d1", POISON, 1, "z"), 1.0)
    place = find_place(policy, POISON, 1.0)
    policy = make_ready(place)
    normal = policy.offer(make_work(1.0), 1.0)
    policy.crash_reported(CrashReport("shop", "d1", POISON, 1, "z"), 1.0)
    suspect = policy.offer(make_work(1.0, fingerprint=POISON), 1.0)
    other = policy.offer(make_work(1.0), 1.0)
    assert isinstance(normal, Admitted)
    assert isinstance(suspect, Queued)
    assert isinstance(other, Queued)
    assert policy.release(normal.ticket, OK, 1.1) == [Dispatch(suspect.ticket)]
    reports = policy.backend_crashed("shop", [POISON], 1.2)
    assert reports[0].refused_for_ms > 0
    assert policy.release(suspect.ticket, CRASHED, 1.2) == [Dispatch(other.ticket)]


def test_suspect_holds_others_back_for_a_short_time_only():
    """A long request must not idle all other slots of its instance."""
    policy = make_ready()
    long = policy.offer(make_work(1.0, time_s=60), 1.0)
    policy.crash_reported(CrashReport("shop", "d1", POISON, 1, "z"), 1.0)
    late = 1.0 + PLACEMENT_ENFORCED_S
    suspect = policy.offer(make_work(late, time_s=60, fingerprint=POISON), late)
    other = policy.offer(make_work(late, time_s=60), late)
    assert policy.next_deadline() == late + ALONE_WAIT_S
    now = late + ALONE_WAIT_S
    assert policy.expire(now) == [Dispatch(suspect.ticket), Dispatch(other.ticket)]
    # It began as a suspect, so its neighbours are not blamed for its crash.
    reports = policy.backend_crashed("shop", [POISON, NEIGHBOUR], now + 0.1)
    assert [report.fingerprint for report in reports] == [POISON]
    for item in (long, suspect, other):
        policy.release(item.ticket, CRASHED, now + 0.2)
    suspect = make_work(now + 0.3, time_s=60, fingerprint="s" * 64)
    policy.crash_reported(CrashReport("shop", "d1", "s" * 64, 1, "z"), now - 60)
    alone = policy.offer(suspect, now + 0.3)
    assert isinstance(alone, Admitted)
    other = policy.offer(make_work(now + 0.3, time_s=60), now + 0.3)
    assert policy.next_deadline() == now + 0.3 + ALONE_RUN_S
    found = policy.expire(now + 0.3 + ALONE_RUN_S)
    assert found == [Dispatch(other.ticket)]


def test_request_that_becomes_a_suspect_while_waiting_runs_alone():
    """A report may arrive after the request was queued."""
    policy = make_ready()
    running = [policy.offer(make_work(1.0), 1.0) for _ in range(policy.board.limit)]
    waiting = policy.offer(make_work(1.0, fingerprint=POISON), 1.0)
    policy.crash_reported(CrashReport("shop", "d1", POISON, 1, "z"), 1.0)
    found = [policy.release(item.ticket, OK, 1.1) for item in running]
    assert found[:-1] == [[]] * (len(running) - 1)
    assert found[-1] == [Dispatch(waiting.ticket)]


def test_suspect_goes_to_one_instance_of_the_own_domain():
    """Two at once would crash two backend servers."""
    places = set()
    for name in ("a", "b", "c"):
        policy = make_ready(name)
        policy.crash_reported(CrashReport("shop", "d1", POISON, 1, "z"), 1.0)
        places |= {find_place(policy, POISON, 1.0 + i) for i in range(20)}
    assert len(places) == 1
    assert places <= {"a", "b", "c"}


def test_suspect_is_not_accepted_elsewhere_at_first():
    """An ingress that does not know the suspect sends it anywhere."""
    for name in ("a", "b", "c"):
        policy = make_ready(name)
        policy.crash_reported(CrashReport("shop", "d1", POISON, 1, "z"), 1.0)
        place = find_place(policy, POISON, 1.0)
        work = make_work(1.1, fingerprint=POISON)
        found = policy.offer(work, 1.1)
        if place == name:
            assert isinstance(found, Admitted)
            continue
        assert (found.cause, found.outcome) == (Cause.SUSPECTED, Outcome.NOT_RUN)
        # Nothing crashed since: it is served here, alone.
        later = 1.0 + PLACEMENT_ENFORCED_S
        found = policy.offer(make_work(later, fingerprint=POISON), later)
        assert isinstance(found, Admitted)


def test_ingress_learns_from_its_own_attempts():
    """Its next attempt must not crash another instance of the domain."""
    policy = make_ready("q")
    plan = with_fingerprint(make_plan(policy, 1.0), POISON)
    choice = policy.pick(plan, (), 1.0)
    policy.attempt_started(plan, choice, 1.0)
    policy.attempt_finished(plan, choice, CRASHED, 1.1)
    assert POISON in policy.board.suspects
    assert not policy.may_hedge(plan, 1.1)
    place = find_place(policy, POISON, 1.2)
    assert place != choice.instance.name, "that one is restarting"
    name = choice.instance.name
    policy.crash_reported(CrashReport("shop", "d1", POISON, 1, name), 1.3)
    assert not is_refused(policy, POISON, 1.3), "the same crash counts once"


def test_completed_suspect_is_cleared_everywhere():
    """A popular request must not stay limited to one instance."""
    policy, other = make_ready(), make_ready("b")
    for report in policy.backend_crashed("shop", [POISON, NEIGHBOUR], 1.0):
        other.crash_reported(report, 1.1)
    for report in policy.backend_completed(NEIGHBOUR, 1.5):
        other.crash_reported(decode_message(encode_message(report)), 1.6)
    assert NEIGHBOUR not in policy.board.suspects | other.board.suspects
    late = CrashReport("shop", "d1", NEIGHBOUR, 1, "a")
    other.crash_reported(late, 2.0)
    assert NEIGHBOUR not in other.board.suspects, "an old report came late"


def test_refusal_expires_into_probation():
    """A fixed backend server must get the request again, with care."""
    policy = make_ready()
    policy.backend_crashed("shop", [POISON], 1.0)
    policy.backend_crashed("shop", [POISON], 2.0)
    assert is_refused(policy, POISON, 1.0 + QUARANTINE_S)
    now = 2.5 + QUARANTINE_S
    assert not is_refused(policy, POISON, now)
    policy.backend_crashed("shop", [POISON], now)
    assert is_refused(policy, POISON, now + 1.5 * QUARANTINE_S), "one more is enough"
    now += 2 * QUARANTINE_S + 1
    assert not is_refused(policy, POISON, now)
    assert not is_refused(policy, POISON, now + SUSPICION_S + 1)
    assert POISON not in policy.board.suspects


def test_refusal_spreads_to_other_domains():
    """They must not need crashes of their own to learn it."""
    policy, far = make_ready(), make_ready("x", "d2")
    reports = []
    for now in (1.0, 2.0):
        reports += policy.backend_crashed("shop", [POISON], now)
    far.crash_reported(reports[-1], 2.5)
    assert is_refused(far, POISON, 2.6)
    assert not is_refused(far, POISON, 2.5 + QUARANTINE_S)


@pytest.mark.parametrize("same_domain", [True, False])
def test_table_is_bounded_and_keeps_refusals(same_domain):
    """A flood of crashes must not use up the memory or end a refusal."""
    policy = make_ready()
    policy.backend_crashed("shop", [POISON], 1.0)
    policy.backend_crashed("shop", [POISON], 2.0)
    domain = "d1" if same_domain else "d2"
    for i in range(MAX_ENTRIES + 500):
        report = CrashReport("shop", domain, f"{i:064d}", 1, f"r{i % 90}")
        policy.crash_reported(report, 3.0 + i * 0.001)
    assert len(policy.board.suspects) <= MAX_ENTRIES
    assert is_refused(policy, POISON, 10.0)


def test_fingerprint_parts_do_not_run_together():
    """Two different requests must not share their quarantine."""
    one = make_fingerprint("GET", "/a", "b", b"c")
    assert one != make_fingerprint("GET", "/ab", "", b"c")
    assert one != make_fingerprint("GET", "/a", "", b"bc")


def test_refused_request_is_told_when_to_come_back():
    """Callers that retry at once would only add load."""
    policy = make_ready()
    policy.backend_crashed("shop", [POISON], 1.0)
    policy.backend_crashed("shop", [POISON], 2.0)
    refusal = policy.offer(make_work(3.0, fingerprint=POISON), 3.0)
    assert isinstance(refusal, Refusal)
    assert (refusal.cause, refusal.outcome) == (Cause.QUARANTINED, Outcome.NOT_RUN)
    assert refusal.retry_after_s == pytest.approx(QUARANTINE_S - 1.0)
