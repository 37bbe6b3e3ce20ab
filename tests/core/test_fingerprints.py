"""Guards the quarantine of requests that crash backend servers.

Without it, a repeated request takes down one backend server after another. If it
is too broad, it refuses requests that only ran beside the crashing request.
"""

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
from mangowell_core.policy.admission import ISOLATION_RUN_S, ISOLATION_WAIT_S
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
# Fingerprints of a request that crashes its backend server, and of a harmless
# request that is in flight beside it.
POISON, NEIGHBOUR = "p" * 64, "n" * 64


def make_ready_policy(name="a", domain="d1"):
    policy = make_policy(name, domain)
    policy.apply(make_snapshot(*MEMBERS), 0.0)
    return policy


def is_refused(policy, fingerprint, now):
    plan = with_fingerprint(make_plan(policy, now), fingerprint)
    return policy.check_quarantine(plan, now) is not None


def select_instance_name(policy, fingerprint, now):
    plan = with_fingerprint(make_plan(policy, now), fingerprint)
    return policy.select_instance(plan, (), now).instance.name


def test_second_crash_refuses_only_the_crashing_request():
    """A request in flight beside the crashing one must still be served."""
    policy = make_ready_policy()
    policy.record_backend_crash("shop", [POISON, NEIGHBOUR], 1.0)
    assert not is_refused(policy, POISON, 1.1)
    policy.record_backend_crash("shop", [POISON], 2.0)
    assert is_refused(policy, POISON, 2.1)
    assert not is_refused(policy, NEIGHBOUR, 2.1)


def test_crash_is_attributed_to_a_request_that_started_as_suspect():
    """A request in flight beside a known suspect must not become a suspect too."""
    policy = make_ready_policy()
    policy.record_backend_crash("shop", [POISON, NEIGHBOUR], 1.0)
    policy.record_suspect_completion(NEIGHBOUR, 1.5)
    reports = policy.record_backend_crash("shop", [POISON, "m" * 64], 2.0)
    assert [report.fingerprint for report in reports] == [POISON]
    assert is_refused(policy, POISON, 2.1)
    assert "m" * 64 not in policy.board.suspects


def test_request_that_started_before_its_suspicion_shares_the_crash():
    """A popular request must not be refused for a crash that it did not cause.

    It may be in flight, with or without a recorded fingerprint, when a report
    makes it a suspect.
    """
    for shown in (NEIGHBOUR, ""):
        policy = make_ready_policy()
        policy.offer(make_work(1.0, fingerprint=shown), 1.0)
        report = CrashReport("shop", "d1", NEIGHBOUR, 1, "z")
        policy.handle_crash_report(report, 1.1)
        policy.record_backend_crash("shop", [NEIGHBOUR, POISON], 1.2)
        assert {NEIGHBOUR, POISON} <= policy.board.suspects
        assert not is_refused(policy, NEIGHBOUR, 1.3)


def test_shared_crashes_in_two_domains_do_not_refuse_a_popular_request():
    """A popular read is in flight at every crash, so counts are kept per domain."""
    policy = make_ready_policy()
    policy.record_backend_crash("shop", [POISON, NEIGHBOUR], 1.0)
    for reporter in ("x", "y"):
        policy.handle_crash_report(
            CrashReport("shop", "d2", NEIGHBOUR, 1, reporter), 1.1
        )
    assert not is_refused(policy, NEIGHBOUR, 1.2)


def test_three_shared_crashes_of_one_domain_refuse_the_request():
    """The bound of three crashes holds even if every crash was shared."""
    policy = make_ready_policy()
    for reporter in ("x", "y"):
        policy.handle_crash_report(CrashReport("shop", "d2", POISON, 1, reporter), 1.0)
    assert not is_refused(policy, POISON, 1.1)
    policy.handle_crash_report(CrashReport("shop", "d2", POISON, 2, "y"), 1.2)
    assert is_refused(policy, POISON, 1.3)


def test_suspect_runs_alone():
    """A suspect's crash must not end other requests or be attributed to them."""
    policy = make_ready_policy()
    target = select_instance_name(policy, POISON, 1.0)
    policy.handle_crash_report(CrashReport("shop", "d1", POISON, 1, "z"), 1.0)
    target = select_instance_name(policy, POISON, 1.0)
    policy = make_ready_policy(target)
    normal = policy.offer(make_work(1.0), 1.0)
    policy.handle_crash_report(CrashReport("shop", "d1", POISON, 1, "z"), 1.0)
    suspect = policy.offer(make_work(1.0, fingerprint=POISON), 1.0)
    other = policy.offer(make_work(1.0), 1.0)
    assert isinstance(normal, Admitted)
    assert isinstance(suspect, Queued)
    assert isinstance(other, Queued)
    assert policy.release(normal.ticket, OK, 1.1) == [Dispatch(suspect.ticket)]
    reports = policy.record_backend_crash("shop", [POISON], 1.2)
    assert reports[0].refused_for_ms > 0
    assert policy.release(suspect.ticket, CRASHED, 1.2) == [Dispatch(other.ticket)]


def test_suspect_delays_other_requests_for_a_limited_time():
    """A long request must not leave all other slots of its instance idle."""
    policy = make_ready_policy()
    long = policy.offer(make_work(1.0, time_s=60), 1.0)
    policy.handle_crash_report(CrashReport("shop", "d1", POISON, 1, "z"), 1.0)
    late = 1.0 + PLACEMENT_ENFORCED_S
    suspect = policy.offer(make_work(late, time_s=60, fingerprint=POISON), late)
    other = policy.offer(make_work(late, time_s=60), late)
    assert policy.next_deadline() == late + ISOLATION_WAIT_S
    now = late + ISOLATION_WAIT_S
    assert policy.expire(now) == [Dispatch(suspect.ticket), Dispatch(other.ticket)]
    # The request started as a suspect, so the crash is attributed to it alone.
    reports = policy.record_backend_crash("shop", [POISON, NEIGHBOUR], now + 0.1)
    assert [report.fingerprint for report in reports] == [POISON]
    for item in (long, suspect, other):
        policy.release(item.ticket, CRASHED, now + 0.2)
    suspect = make_work(now + 0.3, time_s=60, fingerprint="s" * 64)
    policy.handle_crash_report(CrashReport("shop", "d1", "s" * 64, 1, "z"), now - 60)
    alone = policy.offer(suspect, now + 0.3)
    assert isinstance(alone, Admitted)
    other = policy.offer(make_work(now + 0.3, time_s=60), now + 0.3)
    assert policy.next_deadline() == now + 0.3 + ISOLATION_RUN_S
    found = policy.expire(now + 0.3 + ISOLATION_RUN_S)
    assert found == [Dispatch(other.ticket)]


def test_request_that_becomes_a_suspect_while_waiting_runs_alone():
    """A request that was queued before the report must not run beside others."""
    policy = make_ready_policy()
    running = [policy.offer(make_work(1.0), 1.0) for _ in range(policy.board.limit)]
    waiting = policy.offer(make_work(1.0, fingerprint=POISON), 1.0)
    policy.handle_crash_report(CrashReport("shop", "d1", POISON, 1, "z"), 1.0)
    found = [policy.release(item.ticket, OK, 1.1) for item in running]
    assert found[:-1] == [[]] * (len(running) - 1)
    assert found[-1] == [Dispatch(waiting.ticket)]


def test_suspect_goes_to_one_instance_of_the_local_domain():
    """A suspect that runs at two instances at once can crash both."""
    targets = set()
    for name in ("a", "b", "c"):
        policy = make_ready_policy(name)
        policy.handle_crash_report(CrashReport("shop", "d1", POISON, 1, "z"), 1.0)
        targets |= {select_instance_name(policy, POISON, 1.0 + i) for i in range(20)}
    assert len(targets) == 1
    assert targets <= {"a", "b", "c"}


def test_other_instances_refuse_a_suspect_shortly_after_the_crash():
    """An ingress node that does not know the suspect may send it to any instance."""
    for name in ("a", "b", "c"):
        policy = make_ready_policy(name)
        policy.handle_crash_report(CrashReport("shop", "d1", POISON, 1, "z"), 1.0)
        target = select_instance_name(policy, POISON, 1.0)
        work = make_work(1.1, fingerprint=POISON)
        found = policy.offer(work, 1.1)
        if target == name:
            assert isinstance(found, Admitted)
            continue
        assert (found.cause, found.outcome) == (Cause.SUSPECTED, Outcome.NOT_RUN)
        # Without a further crash, the suspect is served here, alone.
        later = 1.0 + PLACEMENT_ENFORCED_S
        found = policy.offer(make_work(later, fingerprint=POISON), later)
        assert isinstance(found, Admitted)


def test_ingress_suspects_a_request_after_its_attempt_crashed():
    """The next attempt of the ingress node must not crash a further instance."""
    policy = make_ready_policy("q")
    plan = with_fingerprint(make_plan(policy, 1.0), POISON)
    choice = policy.select_instance(plan, (), 1.0)
    policy.record_attempt_start(plan, choice, 1.0)
    policy.record_attempt_end(plan, choice, CRASHED, 1.1)
    assert POISON in policy.board.suspects
    assert not policy.may_hedge(plan, 1.1)
    target = select_instance_name(policy, POISON, 1.2)
    assert target != choice.instance.name, "the crashed instance is restarting"
    name = choice.instance.name
    policy.handle_crash_report(CrashReport("shop", "d1", POISON, 1, name), 1.3)
    assert not is_refused(policy, POISON, 1.3), "the report counts the same crash"


def test_completed_suspect_is_cleared_at_all_nodes():
    """A popular request must not stay limited to one instance after it completed."""
    policy, other = make_ready_policy(), make_ready_policy("b")
    for report in policy.record_backend_crash("shop", [POISON, NEIGHBOUR], 1.0):
        other.handle_crash_report(report, 1.1)
    for report in policy.record_suspect_completion(NEIGHBOUR, 1.5):
        other.handle_crash_report(decode_message(encode_message(report)), 1.6)
    assert NEIGHBOUR not in policy.board.suspects | other.board.suspects
    late = CrashReport("shop", "d1", NEIGHBOUR, 1, "a")
    other.handle_crash_report(late, 2.0)
    assert NEIGHBOUR not in other.board.suspects, "a late report counts a refuted crash"


def test_expired_refusal_leaves_the_request_a_suspect():
    """A fixed backend server must get the request again.

    The request is on probation: if it still crashes, one more crash refuses it.
    """
    policy = make_ready_policy()
    policy.record_backend_crash("shop", [POISON], 1.0)
    policy.record_backend_crash("shop", [POISON], 2.0)
    assert is_refused(policy, POISON, 1.0 + QUARANTINE_S)
    now = 2.5 + QUARANTINE_S
    assert not is_refused(policy, POISON, now)
    policy.record_backend_crash("shop", [POISON], now)
    assert is_refused(policy, POISON, now + 1.5 * QUARANTINE_S), (
        "one more crash refuses the request again"
    )
    now += 2 * QUARANTINE_S + 1
    assert not is_refused(policy, POISON, now)
    assert not is_refused(policy, POISON, now + SUSPICION_S + 1)
    assert POISON not in policy.board.suspects


def test_refusal_spreads_to_other_domains():
    """A domain must not need crashes of its own before it refuses the request."""
    policy, far = make_ready_policy(), make_ready_policy("x", "d2")
    reports = []
    for now in (1.0, 2.0):
        reports += policy.record_backend_crash("shop", [POISON], now)
    far.handle_crash_report(reports[-1], 2.5)
    assert is_refused(far, POISON, 2.6)
    assert not is_refused(far, POISON, 2.5 + QUARANTINE_S)


@pytest.mark.parametrize("same_domain", [True, False])
def test_fingerprint_table_is_bounded_and_keeps_refusals(same_domain):
    """A flood of crash reports must not exhaust the memory or end a refusal."""
    policy = make_ready_policy()
    policy.record_backend_crash("shop", [POISON], 1.0)
    policy.record_backend_crash("shop", [POISON], 2.0)
    domain = "d1" if same_domain else "d2"
    for i in range(MAX_ENTRIES + 500):
        report = CrashReport("shop", domain, f"{i:064d}", 1, f"r{i % 90}")
        policy.handle_crash_report(report, 3.0 + i * 0.001)
    assert len(policy.board.suspects) <= MAX_ENTRIES
    assert is_refused(policy, POISON, 10.0)


def test_fingerprint_depends_on_the_split_between_parts():
    """Two different requests must not share one quarantine."""
    one = make_fingerprint("GET", "/a", "b", b"c")
    assert one != make_fingerprint("GET", "/ab", "", b"c")
    assert one != make_fingerprint("GET", "/a", "", b"bc")


def test_refusal_states_the_rest_of_the_quarantine():
    """Callers that retry during the quarantine only add load."""
    policy = make_ready_policy()
    policy.record_backend_crash("shop", [POISON], 1.0)
    policy.record_backend_crash("shop", [POISON], 2.0)
    refusal = policy.offer(make_work(3.0, fingerprint=POISON), 3.0)
    assert isinstance(refusal, Refusal)
    assert (refusal.cause, refusal.outcome) == (Cause.QUARANTINED, Outcome.NOT_RUN)
    assert refusal.retry_after_s == pytest.approx(QUARANTINE_S - 1.0)
