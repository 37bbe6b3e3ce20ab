"""Guards reported outcomes: `not-run` only if no byte of the request was sent."""

import pytest

from mangowell_core.invariants import InvariantViolation
from mangowell_core.policy.checks import PolicyChecker
from mangowell_core.policy.outcome import OUTCOMES, Stage, classify_attempt, refuse
from mangowell_core.policy.types import Cause, Outcome, Refusal


@pytest.mark.parametrize("stage", [Stage.SENT, Stage.ANSWERED])
@pytest.mark.parametrize("cause", list(Cause))
def test_sent_request_is_never_reported_as_not_run(cause, stage):
    """A caller must not be led to repeat a payment that may have run."""
    assert classify_attempt(cause, stage).outcome is not Outcome.NOT_RUN


@pytest.mark.parametrize("cause", list(Cause))
def test_every_cause_has_a_row_in_the_table(cause):
    """Without a row, a cause is always reported as status 502."""
    assert any(row_cause is cause for row_cause, _ in OUTCOMES)


def test_pair_outside_the_table_has_unknown_outcome():
    """A node must not guess that a request did not run."""
    result = classify_attempt(Cause.BACKEND_CRASHED, Stage.ANSWERED)
    assert result.outcome is Outcome.UNKNOWN


def test_outcome_can_be_weakened_but_not_strengthened():
    """A refusal must not report `not-run` where the table has `unknown`."""
    weak = refuse(Cause.OVERLOADED, "full", outcome=Outcome.UNKNOWN)
    assert weak.outcome is Outcome.UNKNOWN
    with pytest.raises(ValueError, match="stronger"):
        refuse(Cause.KEY_UNKNOWN, "gone", outcome=Outcome.NOT_RUN)


def test_statuses_and_retry_after_are_valid():
    """HTTP statuses must be errors, and Retry-After must not be negative."""
    for (cause, _), (_, status, retry_s) in OUTCOMES.items():
        assert cause is Cause.NONE or 400 <= status <= 599
        assert retry_s >= 0.0


def test_checker_reports_violations_of_i5_and_i7():
    """I5 and I7 are checked at run time too, in case a controller is faulty."""
    checker = PolicyChecker("cheap")
    wrong = Refusal(Outcome.NOT_RUN, Cause.KEY_UNKNOWN, 409)
    with pytest.raises(InvariantViolation, match="I5"):
        checker.check_refusal(wrong)
    checker.check_start(1, None, 5.0)
    with pytest.raises(InvariantViolation, match="I5"):
        checker.check_expired(1, refuse(Cause.OVERLOADED, "shed"))
    checker.check_start(2, 2.1, 5.0)
    with pytest.raises(InvariantViolation, match="I7"):
        checker.check_start(3, 2.0, 5.0)
    with pytest.raises(InvariantViolation, match="I7"):
        checker.check_choice("a", {"a": 1.0})
    PolicyChecker("off").check_refusal(wrong)
