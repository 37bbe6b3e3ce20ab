"""Tests of draining: requests in flight end, and no new ones start."""

from tests.core.policy_support import (
    OK,
    make_instance,
    make_policy,
    make_snapshot,
    make_work,
)

from mangowell_core.events import EventCode
from mangowell_core.model import InstanceState
from mangowell_core.policy.drain import UNCONFIRMED_MARK_S, DrainState
from mangowell_core.policy.types import Admitted, Cause, Dispatch, Outcome, Refusal


def make_serving_policy(slots=2):
    policy = make_policy()
    policy.apply(make_snapshot(make_instance("a"), slots=slots), 0.0)
    return policy


def test_drain_ends_after_the_last_request():
    """The node must not count as drained while a request is in flight."""
    policy = make_policy()
    assert policy.board.own_state is DrainState.STARTING
    assert not policy.accepts_new(0.0)
    policy.apply(make_snapshot(make_instance("a")), 0.0)
    ticket = policy.offer(make_work(1.0, time_s=60), 1.0).ticket
    policy.start_drain(2.0)
    policy.expire(5.5)
    assert (policy.board.own_state, policy.in_flight()) == (DrainState.LEAVING, 1)
    policy.release(ticket, OK, 6.0)
    assert policy.board.own_state is DrainState.DRAINED


def test_idle_node_is_drained_when_its_grace_ends():
    """Without traffic, no release ends the drain, so the grace period must."""
    policy = make_serving_policy()
    policy.start_drain(2.0)
    assert policy.next_deadline() == 5.0
    policy.expire(5.0)
    assert policy.board.own_state is DrainState.DRAINED


def test_new_work_is_accepted_for_three_seconds_only():
    """Invariant I7: new work is accepted only until peers have learned of the drain."""
    policy = make_serving_policy()
    policy.start_drain(10.0)
    policy.start_drain(12.0)  # a second signal must not extend the grace period
    assert isinstance(policy.offer(make_work(12.9), 12.9), Admitted)
    refusal = policy.offer(make_work(13.0), 13.0)
    assert isinstance(refusal, Refusal)
    assert (refusal.outcome, refusal.cause) == (Outcome.NOT_RUN, Cause.LEAVING)


def test_waiting_work_is_not_started_after_the_grace():
    """Invariant I7 also holds for accepted requests that still wait."""
    policy = make_serving_policy(slots=1)
    first = policy.offer(make_work(1.0, time_s=60), 1.0)
    early = policy.offer(make_work(1.0, time_s=60), 1.0)
    late = policy.offer(make_work(1.0, time_s=60), 1.0)
    policy.start_drain(2.0)
    assert policy.release(first.ticket, OK, 4.0) == [Dispatch(early.ticket)]
    assert policy.next_deadline() == 5.0
    (expired,) = policy.expire(5.0)
    assert (expired.ticket, expired.refusal.outcome) == (late.ticket, Outcome.NOT_RUN)


def test_local_drain_emits_one_event_and_stops_selection():
    """The node must send calls to other instances once its own one drains."""
    policy = make_serving_policy()
    policy.start_drain(2.0)
    policy.start_drain(2.1)
    codes = [event.code for event in policy.events()]
    assert codes.count(EventCode.BACKEND_LEAVING) == 1
    plan = policy.match_route("r", "GET", "/x", "t", None, "", 2.2)
    assert policy.select_instance(plan, (), 2.2).cause is Cause.NO_INSTANCE


def select_name(policy, now):
    """Return the name of the selected instance; empty after a refusal."""
    plan = policy.match_route("r", "GET", "/x", "t", None, "", now)
    choice = policy.select_instance(plan, (), now)
    return "" if isinstance(choice, Refusal) else choice.instance.name


def test_restart_under_the_old_name_is_used_again_without_a_new_list():
    """A restarted instance must not stay marked as leaving for ever.

    Otherwise a rolling restart leaves no usable instance.
    """
    policy = make_policy("ingress")
    policy.apply(make_snapshot(make_instance("a")), 0.0)
    policy.handle_peer_leaving("a", 10.0)
    assert select_name(policy, 11.0) == ""
    policy.handle_peer_leaving("a", 30.0)
    assert select_name(policy, 10.0 + UNCONFIRMED_MARK_S) == ""
    assert select_name(policy, 30.0 + UNCONFIRMED_MARK_S) == "a"


def test_mark_that_the_list_confirms_stays():
    """An instance that stops slowly must get no new work when its mark expires."""
    policy = make_policy("ingress")
    leaving = make_instance("a", state=InstanceState.LEAVING)
    policy.apply(make_snapshot(make_instance("a")), 0.0)
    policy.handle_peer_leaving("a", 10.0)
    policy.apply(make_snapshot(leaving, revision=2), 11.0)
    assert select_name(policy, 1000.0) == ""
    policy.apply(make_snapshot(make_instance("a"), revision=3), 1001.0)
    assert select_name(policy, 1002.0) == "a"


def test_new_process_of_a_marked_instance_is_used_at_once():
    """An instance that restarts quickly must not stay unused until its mark expires."""
    policy = make_policy("ingress")
    policy.apply(make_snapshot(make_instance("a")), 0.0)
    policy.handle_peer_leaving("a", 10.0)
    policy.handle_peer_returned("a")
    assert select_name(policy, 11.0) == "a"
