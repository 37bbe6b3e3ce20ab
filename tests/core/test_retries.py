"""Tests of the retry budget: no retry storms, no payment that runs twice."""

from random import Random

import pytest
from tests.core.policy_support import (
    LOST,
    OK,
    REFUSED,
    make_instance,
    make_plan,
    make_policy,
    make_snapshot,
)

from mangowell_core.model import Route
from mangowell_core.policy.retries import (
    MAX_REFILLED_TOKENS,
    REFILL_PER_S,
    REFILL_QUIET_S,
)
from mangowell_core.policy.types import AttemptResult, Cause, Outcome

HOPS = 10


def make_serving_policy(seed=1, **service):
    routes = (Route("r", "shop", "/", (), "browse", retries=3, hedge_after_ms=50),)
    pay = Route("pay", "shop", "/pay", (), "payment", idempotent=False)
    policy = make_policy(seed=seed)
    snapshot = make_snapshot(
        make_instance("a"), make_instance("b"), routes=(*routes, pay), **service
    )
    policy.apply(snapshot, 0.0)
    return policy


def test_retries_are_a_share_of_calls():
    """When all calls fail, retries must not multiply the load."""
    policy = make_serving_policy(retry_ratio=0.1)
    retried = 0
    for i in range(10_000):
        now = i * 0.01
        plan = make_plan(policy, now)
        attempts = 1
        while policy.may_retry(plan, LOST, attempts, now):
            attempts += 1
        retried += attempts - 1
    assert 900 <= retried <= 1030


def test_attempts_of_one_call_are_bounded():
    """One call must not spend a full bucket."""
    policy = make_serving_policy()
    for i in range(500):
        plan = make_plan(policy, i)
    allowed = [policy.may_retry(plan, LOST, n, 499) for n in (1, 2, 3, 4)]
    assert allowed == [True, True, True, False]


@pytest.mark.parametrize(
    ("path", "result", "expected"),
    [
        ("/x", LOST, True),
        (
            "/x",
            AttemptResult(Outcome.UNKNOWN, Cause.CONNECTION_LOST, 0, 0, True),
            False,
        ),
        ("/x", AttemptResult(Outcome.FAILED, Cause.BACKEND_STATUS, 404), False),
        ("/x", AttemptResult(Outcome.FAILED, Cause.BACKEND_STATUS, 503), True),
        ("/x", AttemptResult(Outcome.NOT_RUN, Cause.QUARANTINED, 503), False),
        ("/x", OK, False),
        ("/pay", LOST, False),
        ("/pay", AttemptResult(Outcome.FAILED, Cause.BACKEND_STATUS, 503), False),
        ("/pay", REFUSED, True),
    ],
)
def test_retry_depends_on_outcome_and_route(path, result, expected):
    """A payment that may have run, or a call retried downstream, is not repeated."""
    policy = make_serving_policy()
    plan = make_plan(policy, 1.0, path)
    assert policy.may_retry(plan, result, 1, 1.0) is expected


def test_calls_of_a_silent_connection_move_without_a_token():
    """An exhausted budget must not lose the calls of a silent connection."""
    policy = make_serving_policy(retry_ratio=0.1)
    plan = make_plan(policy, 1.0)
    while policy.may_retry(plan, LOST, 1, 1.0):
        pass
    silent = AttemptResult(Outcome.UNKNOWN, Cause.CONNECTION_SILENT)
    assert all(policy.may_retry(plan, silent, 1, 1.0) for _ in range(50))
    assert not policy.may_retry(plan, silent, 2, 1.0)
    assert not policy.may_retry(make_plan(policy, 1.0, "/pay"), silent, 1, 1.0)


def test_silent_connection_leaves_all_retries():
    """A call must survive two crashed instances after a silent connection."""
    policy = make_serving_policy(retry_ratio=0.1)
    for i in range(500):
        plan = make_plan(policy, 1.0 + i)
    now = 500.0
    silent = AttemptResult(Outcome.UNKNOWN, Cause.CONNECTION_SILENT)
    assert policy.may_retry(plan, silent, 1, now)
    allowed = [policy.may_retry(plan, LOST, n, now, True) for n in (2, 3, 4, 5)]
    assert allowed == [True, True, True, False]


def test_budget_refills_with_time_after_a_quiet_time():
    """A node with few calls must not lose calls to two faults in short succession."""
    policy = make_serving_policy(retry_ratio=0.1)
    now = 1.0
    exhaust_budget(policy, now)
    assert exhaust_budget(policy, now + REFILL_QUIET_S) == 0
    later = now + 2 * REFILL_QUIET_S + 3.0 / REFILL_PER_S
    assert exhaust_budget(policy, later) == 3
    assert exhaust_budget(policy, later + 3600.0) == MAX_REFILLED_TOKENS


def test_budget_does_not_refill_with_time_while_calls_fail():
    """While calls keep failing, time must not add retries, at any call rate."""
    policy = make_serving_policy(retry_ratio=0.1)
    retried = exhaust_budget(policy, 0.0)
    interval_s = 0.9 * REFILL_QUIET_S
    start = retried
    for i in range(1, 501):
        now = i * interval_s
        retried += policy.may_retry(make_plan(policy, now), LOST, 1, now)
    assert retried - start <= 0.1 * 500 + 1


def exhaust_budget(policy, now):
    """Retry until the budget is empty; return the number of retries."""
    plan = make_plan(policy, now)
    spent = 0
    while policy.may_retry(plan, LOST, 1, now):
        spent += 1
    return spent


def test_no_retry_without_time():
    """A retry that cannot end before the deadline only adds load."""
    policy = make_serving_policy()
    plan = make_plan(policy, 1.0)
    assert not policy.may_retry(plan, LOST, 1, plan.deadline - 0.001)


def test_hedges_share_the_retry_budget_and_skip_payments():
    """Hedges and retries together must stay within the retry budget."""
    policy = make_serving_policy(retry_ratio=0.1)
    assert policy.hedge_deadline(make_plan(policy, 1.0, "/pay"), 1.0) is None
    assert not policy.may_hedge(make_plan(policy, 1.0, "/pay"), 1.0)
    plan = make_plan(policy, 1.0)
    assert policy.hedge_deadline(plan, 1.0) == pytest.approx(1.05)
    hedged = retried = 0
    for i in range(5000):
        plan = make_plan(policy, i)
        hedged += policy.may_hedge(plan, i)
        retried += policy.may_retry(plan, LOST, 1, i)
    assert hedged + retried <= 530


@pytest.mark.parametrize("failure", [0.05, 0.5, 1.0])
@pytest.mark.parametrize("marks_retried", [True, False])
def test_amplification_over_ten_hops_is_bounded(failure, marks_retried):
    """Retries at each of 10 hops could run the last service 59,049 times per call.

    With a retry ratio of 0.1, the bound is 1.1^10 = 2.6 if no hop marks its failures
    as retried. With marks, each hop adds its share once: 1 + 10 x 0.1 = 2.
    """
    rng = Random(11)
    hops = [make_serving_policy(seed, retry_ratio=0.1) for seed in range(HOPS)]
    for policy in hops:
        # Spends the initial tokens, which do not depend on the load.
        plan = make_plan(policy, 0.0)
        while policy.may_retry(plan, LOST, 1, 0.0):
            pass
    leaf_calls = 0

    def call(hop, now):
        nonlocal leaf_calls
        if hop == HOPS:
            leaf_calls += 1
            return LOST if rng.random() < failure else OK
        policy = hops[hop]
        plan = make_plan(policy, now)
        attempts = 0
        while True:
            attempts += 1
            result = call(hop + 1, now)
            if not policy.may_retry(plan, result, attempts, now):
                break
        if result is OK:
            return OK
        spent = result.retried
        if marks_retried:
            spent = spent or policy.should_mark_retried(plan, attempts)
        return AttemptResult(Outcome.UNKNOWN, Cause.CONNECTION_LOST, 0, 0.0, spent)

    calls = 1500
    for i in range(calls):
        call(0, float(i))
    print(f"{failure=} {marks_retried=} amplification {leaf_calls / calls:.2f}")
    assert leaf_calls / calls <= (1 + HOPS * 0.1 if marks_retried else 1.1**HOPS)
