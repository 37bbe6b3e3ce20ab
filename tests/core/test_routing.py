"""Tests of routing around failed, overloaded, misreporting and leaving instances."""

import ast
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.core.policy_support import (
    LOST,
    OK,
    REFUSED,
    make_instance,
    make_plan,
    make_policy,
    make_snapshot,
    run_attempt,
)

import mangowell_core.policy as policy_package
from mangowell_core.events import EventCode
from mangowell_core.model import InstanceState, Route
from mangowell_core.policy.board import WRITERS
from mangowell_core.policy.routes import RouteTable
from mangowell_core.policy.types import AttemptResult, Cause, Outcome, Refusal

LOCAL = [make_instance(name) for name in ("a", "b", "c", "d")]
REMOTE = [make_instance(name, "d2") for name in ("x", "y", "z")]


def make_serving_policy(*instances, name="a", **service):
    policy = make_policy(name)
    policy.apply(make_snapshot(*instances, **service), 0.0)
    return policy


def count_picks(policy, now, calls=400, results=None, step_s=0.01, path="/x"):
    """Run calls in sequence; return the number of calls per instance.

    `results` maps the name of an instance to its result; others succeed.
    """
    picks = Counter()
    for i in range(calls):
        time = now + i * step_s
        plan = make_plan(policy, time, path)
        choice = policy.select_instance(plan, (), time)
        name = choice.instance.name
        picks[name] += 1
        policy.record_attempt_start(plan, choice, time)
        policy.record_attempt_end(plan, choice, (results or {}).get(name, OK), time)
    return picks


paths = st.text("ab/", max_size=5).map(lambda text: "/" + text)


@given(st.sets(paths, min_size=1, max_size=12), paths)
@settings(max_examples=300, derandomize=True, deadline=None)
def test_longest_prefix_wins(prefixes, path):
    """The indexed lookup must agree with a scan over all routes."""
    table = RouteTable([Route(p, "shop", p) for p in prefixes])
    matches = [p for p in prefixes if path.startswith(p)]
    route = table.look_up("GET", path)
    assert (route.path if route else None) == max(matches, key=len, default=None)


def test_longer_path_with_other_method_does_not_hide_shorter():
    """GET /pay/1 must reach the general route when /pay takes POST only."""
    policy = make_serving_policy(*LOCAL)
    assert make_plan(policy, 1.0, "/pay/1").route.name == "browse"
    assert make_plan(policy, 1.0, "/pay/1", "POST").route.name == "pay"


def test_own_domain_is_used_while_it_is_healthy():
    """Calls to other domains cost latency and fail when a domain is unreachable."""
    picks = count_picks(make_serving_policy(*LOCAL, *REMOTE), 1.0)
    assert set(picks) <= {"a", "b", "c", "d"}


def test_full_domain_spills_over():
    """Calls must not wait in a full domain while another one has capacity."""
    policy = make_serving_policy(*LOCAL, *REMOTE)
    busy = AttemptResult(Outcome.DONE, Cause.NONE, 200, 0.02, backend_load=1.0)
    picks = count_picks(policy, 1.0, results={item.name: busy for item in LOCAL})
    remote_picks = sum(picks[item.name] for item in REMOTE)
    assert 100 < remote_picks < 350


def test_refused_for_load_moves_to_another_instance():
    """An instance that sheds load must not get the next call."""
    policy = make_serving_policy(*LOCAL[:2])
    full = AttemptResult(Outcome.NOT_RUN, Cause.OVERLOADED, 503)
    first = run_attempt(policy, 1.0, full)
    assert {run_attempt(policy, 1.01) for _ in range(20)} == {"a", "b"} - {first}


def test_loaded_instance_gets_fewer_calls():
    """With uniform selection, requests would accumulate at a slow instance."""
    policy = make_serving_policy(*LOCAL)
    slow = AttemptResult(Outcome.DONE, Cause.NONE, 200, 0.2)
    picks = count_picks(policy, 1.0, results={"a": slow})
    assert picks["a"] < picks["b"] * 0.5


def test_failing_instance_is_ejected_for_growing_times():
    """An instance that keeps failing must be tried less often after each return."""
    policy = make_serving_policy(*LOCAL)
    times, now = [], 1.0
    while len(times) < 3:
        count_picks(policy, now, 50, {"a": LOST})
        for event in policy.events():
            if event.code is EventCode.BACKEND_EJECTED:
                assert event.fields["backend"] == "a"
                times.append(event.fields["for_s"])
                now += times[-1]
        now += 1.0
    assert times == [5.0, 10.0, 20.0]


def test_at_most_half_of_a_service_is_ejected():
    """When all instances fail, ejecting all of them would end the service."""
    policy = make_serving_policy(*LOCAL)
    results = {item.name: LOST for item in LOCAL}
    count_picks(policy, 1.0, 300, results)
    assert len(policy.board.ejected) == 2


def test_single_instance_is_never_ejected():
    """A service must not lose its only instance to ejection."""
    policy = make_serving_policy(LOCAL[0])
    assert count_picks(policy, 1.0, 30, {"a": REFUSED}) == {"a": 30}


def test_errors_of_the_whole_service_eject_no_instance():
    """A faulty kind of request fails at every instance, so an ejection is no help."""
    policy = make_serving_policy(*LOCAL)
    bad = AttemptResult(Outcome.FAILED, Cause.BACKEND_STATUS, 500, 0.02)
    for i in range(2000):
        run_attempt(policy, 1.0 + i * 0.01, OK if i % 3 else bad)
    assert not policy.board.ejected


def test_health_endpoint_cannot_keep_a_failing_instance_in():
    """An instance that reports healthy but fails every call must be ejected."""
    policy = make_serving_policy(*LOCAL)
    for i in range(10):
        policy.record_backend_health("a", True, 0.0, 1.0 + i)
        count_picks(policy, 1.0 + i, 20, {"a": LOST}, step_s=0.001)
    assert "a" in policy.board.ejected


def test_health_endpoint_cannot_keep_a_good_instance_out():
    """Successful trial calls must overrule a wrong health endpoint."""
    policy = make_serving_policy(*LOCAL)
    policy.record_backend_health("a", False, -1.0, 1.0)
    assert count_picks(policy, 1.0, 90)["a"] <= 2
    picks = count_picks(policy, 5.0, 400)
    assert picks["a"] > 40


def test_reported_down_instance_gets_no_payment_as_trial():
    """A request that cannot be repeated must not serve as a trial call."""
    policy = make_serving_policy(*LOCAL)
    policy.record_backend_health("a", False, -1.0, 1.0)
    for i in range(200):
        plan = make_plan(policy, 2.0 + i, "/pay", "POST")
        assert policy.select_instance(plan, (), 2.0 + i).instance.name != "a"


def test_reports_against_most_of_a_service_are_ignored():
    """A broken health check must not move all load to one instance."""
    policy = make_serving_policy(*LOCAL)
    for name in ("a", "b", "c"):
        policy.record_backend_health(name, False, -1.0, 1.0)
    assert set(count_picks(policy, 1.0)) == {"a", "b", "c", "d"}


def test_new_instance_ramps_up():
    """A cold backend server must not get its full share at once."""
    policy = make_serving_policy(*LOCAL[:3])
    policy.apply(make_snapshot(*LOCAL, revision=2), 100.0)
    early = count_picks(policy, 100.5, 300, step_s=0.001)
    late = count_picks(policy, 120.0, 300, step_s=0.001)
    assert 0 < early["d"] < 40
    assert late["d"] > 50


def test_leaving_instance_is_excluded_at_once():
    """Invariant I7 holds for each way in which a node learns of a departure."""
    leaving = AttemptResult(Outcome.NOT_RUN, Cause.LEAVING, 503)
    for learned_from in ("peer", "list", "refusal"):
        policy = make_serving_policy(*LOCAL[:2], name="q")
        leaving_name = "b"
        if learned_from == "peer":
            policy.handle_peer_leaving("b", 1.0)
        elif learned_from == "list":
            state = make_instance("b", state=InstanceState.LEAVING)
            policy.apply(make_snapshot(LOCAL[0], state, revision=2), 1.0)
        else:
            leaving_name = run_attempt(policy, 1.0, leaving)
        # A lagging list still shows the leaving instance as live.
        policy.apply(make_snapshot(*LOCAL[:2], revision=2), 2.0)
        if learned_from != "list":
            assert leaving_name not in count_picks(policy, 2.0)
            policy.apply(make_snapshot(*LOCAL[:2], revision=3), 700.0)
        # A new process under the old name is used again.
        assert leaving_name in count_picks(policy, 800.0)


def test_no_instance_is_refused_as_not_run():
    """When all instances leave, the call must not reach any of them."""
    policy = make_serving_policy(*LOCAL[:2])
    policy.handle_peer_leaving("a", 1.0)
    policy.handle_peer_leaving("b", 1.0)
    choice = policy.select_instance(make_plan(policy, 1.0), (), 1.0)
    assert isinstance(choice, Refusal)
    assert (choice.outcome, choice.cause) == (Outcome.NOT_RUN, Cause.NO_INSTANCE)


def test_excluded_instances_are_not_tried_again():
    """A retry must not go to the instance that has just failed."""
    policy = make_serving_policy(*LOCAL[:2])
    plan = make_plan(policy, 1.0)
    assert policy.select_instance(plan, {"a"}, 1.0).instance.name == "b"
    assert isinstance(policy.select_instance(plan, {"a", "b"}, 1.0), Refusal)


def test_connections_to_an_instance_are_bounded():
    """Attempts beyond the connections would wait in a queue that nothing measures."""
    policy = make_serving_policy(*LOCAL[:2], connections=3)
    picks = Counter()
    for _ in range(6):
        plan = make_plan(policy, 1.0)
        choice = policy.select_instance(plan, (), 1.0)
        policy.record_attempt_start(plan, choice, 1.0)
        picks[choice.instance.name] += 1
    assert picks == {"a": 3, "b": 3}


def test_cut_off_node_keeps_using_its_own_domain():
    """Attempts to an unreachable domain waste retry budget and time."""
    policy = make_serving_policy(LOCAL[0], *REMOTE)
    busy = AttemptResult(Outcome.DONE, Cause.NONE, 200, 0.02, backend_load=1.0)
    results = {item.name: REFUSED for item in REMOTE} | {"a": busy}
    count_picks(policy, 1.0, 100, results)
    picks = count_picks(policy, 2.0, 500, results)
    assert picks["a"] >= 490
    # After the partition heals, trial calls detect it.
    healed = count_picks(policy, 60.0, 1000, {"a": busy})
    assert sum(healed[item.name] for item in REMOTE) > 100


@pytest.mark.parametrize("module", sorted(set(WRITERS.values())))
def test_each_board_field_has_one_writer(module):
    """Two modules that write one field would overwrite each other's values."""
    folder = Path(policy_package.__file__).parent
    tree = ast.parse((folder / f"{module}.py").read_text())
    written = {
        node.attr
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and isinstance(node.ctx, ast.Store)
        and ast.unparse(node.value) in ("board", "self._board", "self.board")
    }
    assert {field for field in written if WRITERS.get(field) != module} == set()
