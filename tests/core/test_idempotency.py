"""Guards against a second run of an idempotency key and against false answers."""

from dataclasses import replace

import pytest
from tests.core.policy_support import (
    make_instance,
    make_plan,
    make_policy,
    make_snapshot,
)

from mangowell_core.invariants import InvariantViolation
from mangowell_core.messages import FenceQuery
from mangowell_core.model import InstanceState
from mangowell_core.policy.checks import PolicyChecker
from mangowell_core.policy.idempotency import (
    MAX_ANSWER_BYTES,
    MAX_RUN_S,
    TRANSITIONS,
    KeyLedger,
    KeyState,
)
from mangowell_core.policy.ownership import (
    ESTABLISH_S,
    LIST_LAG_S,
    MAX_UNSEEN_S,
    RETENTION_S,
    START_HOLD_S,
)
from mangowell_core.policy.types import (
    AskFences,
    Cause,
    Outcome,
    Refusal,
    ReplayKey,
    RunKey,
    StoredAnswer,
)

ANSWER = StoredAnswer(200, (("x", "y"),), b"paid")
NAMES = ("a", "b", "c")


def make_ready_policy(name="a", names=NAMES, now=0.0, **options):
    policy = make_policy(name, **options)
    policy.apply(make_snapshot(*(make_instance(n) for n in names)), now)
    return policy


def find_plain_key(owner, names=NAMES, start=0):
    """Return a plain key that `owner` owns in a view without changes."""
    policy = make_ready_policy("q", names)
    for i in range(start, start + 1000):
        plan = make_plan(policy, 1.0, "/pay", "POST", f"key{i}")
        if policy.select_instance(plan, (), 1.0).instance.name == owner:
            return f"key{i}"
    raise AssertionError(owner)


def apply_members(policy, names, now, revision=2):
    """Apply an instance list with only the named instances."""
    snapshot = make_snapshot(*(make_instance(n) for n in names), revision=revision)
    policy.apply(snapshot, now)


def test_key_runs_once_and_is_replayed():
    """A repeated payment must not run twice, but get the first answer."""
    policy, key = make_ready_policy(), find_plain_key("a")
    assert policy.key_begin("shop", key, 1.0) == RunKey()
    assert policy.key_begin("shop", key, 1.1).cause is Cause.KEY_IN_PROGRESS
    policy.key_finish("shop", key, ANSWER, 1.2)
    assert policy.key_begin("shop", key, 1.2 + RETENTION_S - 1) == ReplayKey(ANSWER)


def test_unknown_outcome_is_reported_and_may_be_resolved():
    """A key whose response was lost must not run again."""
    policy, key = make_ready_policy(), find_plain_key("a")
    policy.key_begin("shop", key, 1.0)
    policy.key_finish("shop", key, None, 1.2)
    refusal = policy.key_begin("shop", key, 1.3)
    assert (refusal.outcome, refusal.cause) == (Outcome.UNKNOWN, Cause.KEY_UNKNOWN)
    policy.key_finish("shop", key, ANSWER, 1.4)
    assert policy.key_begin("shop", key, 1.5) == ReplayKey(ANSWER)


def test_run_without_an_end_becomes_unknown():
    """A run that the driver lost must not block its key for ever.

    A run may wait for a day, so its key is in progress for at least that long.
    """
    policy, key = make_ready_policy(), find_plain_key("a")
    policy.key_begin("shop", key, 1.0)
    refusal = policy.key_begin("shop", key, 86_400.0)
    assert refusal.cause is Cause.KEY_IN_PROGRESS
    refusal = policy.key_begin("shop", key, 2.0 + MAX_RUN_S)
    assert refusal.cause is Cause.KEY_UNKNOWN


def test_withdrawn_key_may_run_later():
    """A payment that was shed before it ran must be accepted later."""
    policy, key = make_ready_policy(), find_plain_key("a")
    policy.key_begin("shop", key, 1.0)
    policy.key_withdraw("shop", key, 1.1)
    assert policy.key_begin("shop", key, 1.2) == RunKey()
    policy.key_finish("shop", key, ANSWER, 1.3)
    policy.key_withdraw("shop", key, 1.4)  # too late: the key has run
    assert policy.key_begin("shop", key, 1.5) == ReplayKey(ANSWER)


def test_key_with_another_body_is_refused():
    """A replay must not confirm a different request that has never run."""
    policy, key = make_ready_policy(), find_plain_key("a")
    policy.key_begin("shop", key, 1.0, "f1")
    policy.key_finish("shop", key, ANSWER, 1.1)
    refusal = policy.key_begin("shop", key, 1.2, "f2")
    assert (refusal.status, refusal.outcome) == (422, Outcome.NOT_RUN)
    assert policy.key_begin("shop", key, 1.3, "f1") == ReplayKey(ANSWER)


def test_pinned_key_runs_only_in_the_process_that_issued_it():
    """Another process cannot know whether the key has run, so it must not run it."""
    policy = make_ready_policy("a", quiet_s=0.0)
    key = policy.issue_pinned_key(1.0)
    assert policy.key_begin("shop", key, 1.0) == RunKey()
    for other in (
        make_ready_policy("b"),
        make_ready_policy("a", incarnation=2, seed=9),
    ):
        refusal = other.key_begin("shop", key, 1.0)
        assert (refusal.outcome, refusal.cause) == (
            Outcome.UNKNOWN,
            Cause.KEY_OWNER_LOST,
        )


def test_pinned_key_expires_instead_of_running_again():
    """After its retention time, the ledger does not know whether the key has run."""
    policy = make_ready_policy()
    key = policy.issue_pinned_key(1.0)
    policy.key_begin("shop", key, 1.0)
    policy.key_finish("shop", key, ANSWER, 2.0)
    refusal = policy.key_begin("shop", key, 3.0 + RETENTION_S)
    assert (refusal.outcome, refusal.cause) == (Outcome.UNKNOWN, Cause.KEY_UNKNOWN)


@pytest.mark.parametrize(
    "key", ["mw1.", "mw1.a", "mw1.a.1.", "mw1.a.1.zz", "mw1.a.1.f"]
)
def test_malformed_pinned_key_does_not_run(key):
    """A forged key must neither run nor raise an exception in the node."""
    assert isinstance(make_ready_policy().key_begin("shop", key, 1.0), Refusal)


def test_pinned_key_is_routed_to_its_owner():
    """Any instance other than the issuer has to refuse the key."""
    ingress = make_ready_policy("c")
    key = make_ready_policy("a", quiet_s=0.0).issue_pinned_key(1.0)
    plan = make_plan(ingress, 1.0, "/pay", "POST", key)
    assert ingress.select_instance(plan, (), 1.0).instance.name == "a"
    refusal = ingress.select_instance(plan, {"a"}, 1.0)
    assert (refusal.outcome, refusal.cause) == (Outcome.UNKNOWN, Cause.KEY_OWNER_LOST)
    apply_members(ingress, ("b", "c"), 1.5)
    assert ingress.select_instance(plan, (), 1.5).cause is Cause.KEY_OWNER_LOST


def test_key_on_an_idempotent_route_is_ignored():
    """A read with a key must still be balanced and retried."""
    assert make_plan(make_ready_policy(), 1.0, "/x", "GET", "k").idempotency_key == ""


def test_owner_runs_no_plain_key_shortly_after_its_start():
    """A key that an unlisted instance ran before the start must not run again."""
    policy, key = make_ready_policy(quiet_s=0.0), find_plain_key("a")
    refusal = policy.key_begin("shop", key, START_HOLD_S - 1)
    assert refusal.outcome is Outcome.UNKNOWN
    assert isinstance(policy.key_begin("shop", key, START_HOLD_S), AskFences)


def test_instance_gives_no_promise_within_retention_of_its_start():
    """A key that an earlier process of the instance ran must not run again."""
    policy, query = make_ready_policy(quiet_s=0.0), FenceQuery("shop", "k", 1)
    assert not policy.handle_fence_query(query, RETENTION_S - 1).promised
    assert policy.handle_fence_query(query, RETENTION_S).promised


def test_new_owner_asks_and_runs_after_all_promises():
    """If one promise is missing, the key may have run and must not run again."""
    for promised in (True, False):
        policy, key = make_ready_policy(quiet_s=START_HOLD_S), find_plain_key("a")
        asked = policy.key_begin("shop", key, 1.0)
        assert {item.name for item in asked.instances} == {"b", "c"}
        assert policy.handle_fence_reply("shop", key, "b", True, 1.1) is None
        assert (
            policy.handle_fence_reply("shop", key, "b", True, 1.1) is None
        )  # duplicate
        assert (
            policy.handle_fence_reply("shop", key, "x", True, 1.1) is None
        )  # not asked
        found = policy.handle_fence_reply("shop", key, "c", promised, 1.2)
        if promised:
            assert found == RunKey()
        else:
            assert found.outcome is Outcome.UNKNOWN


def test_late_promise_does_not_start_a_run():
    """A key must not run after its caller was told that the outcome is unknown."""
    policy, key = make_ready_policy(quiet_s=START_HOLD_S), find_plain_key("a")
    policy.key_begin("shop", key, 1.0)
    policy.handle_fence_reply("shop", key, "b", True, 1.1)
    assert policy.handle_fence_reply("shop", key, "c", True, 60.0) is None


def test_promise_excludes_a_run_and_a_run_excludes_a_promise():
    """A key must not run at both the instance that promised and the one that asked."""
    policy, key = make_ready_policy(), find_plain_key("a")
    query = FenceQuery("shop", key, 7)
    assert policy.handle_fence_query(query, 1.0) == policy.handle_fence_query(
        query, 1.1
    )
    assert policy.handle_fence_query(query, 1.2).promised
    assert policy.key_begin("shop", key, 1.3).outcome is Outcome.UNKNOWN
    other = find_plain_key("a", start=500)
    policy.key_begin("shop", other, 2.0)
    for end in (lambda: None, lambda: policy.key_finish("shop", other, ANSWER, 2.1)):
        end()
        assert not policy.handle_fence_query(FenceQuery("shop", other, 8), 2.2).promised


def test_promise_is_given_to_one_instance_only():
    """A second instance must not run a key that the first one may have run."""
    policy, query = make_ready_policy(), FenceQuery("shop", find_plain_key("a"), 1)
    assert policy.handle_fence_query(query, 1.0, "b").promised
    assert not policy.handle_fence_query(query, 1.1, "c").promised
    assert policy.handle_fence_query(query, 1.2, "b").promised


def test_owner_that_was_unlisted_asks_for_promises_again():
    """Other instances may have run a key of the owner while the owner was unlisted."""
    policy, key = make_ready_policy(), find_plain_key("a")
    apply_members(policy, ("b", "c"), 10.0)
    assert policy.key_begin("shop", key, 11.0).cause is Cause.KEY_OWNER_LOST
    apply_members(policy, NAMES, 20.0, revision=3)
    now = 20.0 + ESTABLISH_S
    assert isinstance(policy.key_begin("shop", key, now), AskFences)


def test_node_that_is_not_the_owner_does_not_run():
    """Two nodes with different views must not both run a key."""
    refusal = make_ready_policy("b").key_begin("shop", find_plain_key("a"), 1.0)
    assert (refusal.outcome, refusal.cause) == (Outcome.UNKNOWN, Cause.KEY_OWNER_LOST)


def test_successor_of_an_owner_that_left_waits_for_retention():
    """A key that the previous owner ran must not run again at its successor.

    The ledger of the previous owner is lost when its process ends.
    """
    policy = make_ready_policy("b")
    leaving = make_instance("a", state=InstanceState.LEAVING)
    members = (leaving, make_instance("b"), make_instance("c"))
    policy.apply(make_snapshot(*members, revision=2), 10.0)
    key = find_plain_key("a")
    while select_owner_name(policy, key, 10.0) != "b":
        key = find_plain_key("a", start=int(key[3:]) + 1)
    asked = policy.key_begin("shop", key, 11.0)
    assert [item.name for item in asked.instances] == ["a"]
    policy.key_withdraw("shop", key, 11.1)
    apply_members(policy, ("b", "c"), 20.0, revision=3)
    assert policy.key_begin("shop", key, 21.0).outcome is Outcome.UNKNOWN
    assert policy.key_begin("shop", key, 21.0 + RETENTION_S + LIST_LAG_S) == RunKey()


def select_owner_name(policy, key, now):
    plan = make_plan(policy, now, "/pay", "POST", key)
    found = policy.select_instance(plan, (), now)
    return found.instance.name


def test_successor_asks_a_vanished_owner_while_a_partition_may_last():
    """A key must not run both at the successor and at an owner that is cut off.

    A partitioned domain may continue to run keys according to its old view.
    """
    policy = make_ready_policy("b")
    key = find_plain_key("a")
    apply_members(policy, ("b", "c"), 20.0)
    while select_owner_name(policy, key, 21.0) != "b":
        key = find_plain_key("a", start=int(key[3:]) + 1)
    late = 20.0 + MAX_UNSEEN_S
    for now in (21.0, late - 5.0):
        asked = policy.key_begin("shop", key, now)
        assert [item.name for item in asked.instances] == ["a"]
        assert policy.handle_fence_reply("shop", key, "a", False, now).outcome is (
            Outcome.UNKNOWN
        )
    assert policy.key_begin("shop", key, late + 1.0) == RunKey()


def test_new_instance_owns_nothing_until_it_is_established():
    """A new owner would refuse its keys, although the previous owner still serves."""
    policy = make_ready_policy("q", ("a", "b"))
    key = find_plain_key("c")
    apply_members(policy, NAMES, 100.0)
    assert select_owner_name(policy, key, 101.0) in "ab"
    assert select_owner_name(policy, key, 100.0 + ESTABLISH_S) == "c"


def make_ledger(**limits):
    policy = make_ready_policy()
    return KeyLedger(
        policy.board, policy._ownership, "a", "1", policy._routing._rng, **limits
    )


@pytest.mark.parametrize("limits", [{"max_entries": 3}, {"max_bytes": 210_000}])
def test_full_ledger_refuses_new_keys_and_keeps_recorded_ones(limits):
    """A key that is removed within its retention time could run again."""
    ledger = make_ledger(**limits)
    keys = [ledger.issue_pinned_key(1.0) for _ in range(4)]
    for key in keys[:3]:
        assert ledger.begin("shop", key, "", 1.0) == RunKey()
    refusal = ledger.begin("shop", keys[3], "", 1.0)
    assert (refusal.cause, refusal.outcome) == (Cause.OVERLOADED, Outcome.NOT_RUN)
    assert refusal.retry_after_s > 1.0
    assert ledger.begin("shop", keys[0], "", 2.0).cause is Cause.KEY_IN_PROGRESS
    for key in keys[:3]:
        ledger.finish("shop", key, replace(ANSWER, body=b"x" * 70_000), 2.0)
    assert ledger.estimated_bytes <= 210_000
    fresh = ledger.issue_pinned_key(3.0 + RETENTION_S)
    assert ledger.begin("shop", fresh, "", 3.0 + RETENTION_S) == RunKey()
    assert len(ledger) == 1, "expired entries must be dropped"


def test_key_with_an_answer_too_long_to_store_is_reported_as_done():
    """A key must not run again because its answer was not stored."""
    policy, key = make_ready_policy(), find_plain_key("a")
    policy.key_begin("shop", key, 1.0)
    body = b"x" * (MAX_ANSWER_BYTES + 1)
    policy.key_finish("shop", key, StoredAnswer(200, (), body), 1.1)
    assert policy.key_begin("shop", key, 1.2).outcome is Outcome.DONE


def test_no_transition_leads_back_to_running():
    """A key may run only if its state is absent or asking."""
    sources = {s for (s, _), end in TRANSITIONS.items() if end is KeyState.RUNNING}
    assert sources == {KeyState.ABSENT, KeyState.ASKING}


def test_checker_reports_a_second_run():
    """The check of I6 at run time keeps a record of its own, apart from the ledger."""
    checker = PolicyChecker("full")
    checker.check_run("shop", "k", 1.0)
    with pytest.raises(InvariantViolation, match="I6"):
        checker.check_run("shop", "k", 2.0)
