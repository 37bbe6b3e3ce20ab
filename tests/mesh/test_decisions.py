"""Tests the decisions on workers, queues and retries under simulated loads."""

import itertools
import random

import pytest

from mangowell_core.mesh import (
    Admission,
    AdmissionDecision,
    CrashCounter,
    Directory,
    Endpoint,
    MeshRoute,
    Placement,
    RetryBudget,
)
from mangowell_core.mesh.model import CallerLimits, MeshDocument
from mangowell_core.mesh.offers import MAX_REFUSALS, may_offer_again
from mangowell_core.mesh.placement import LoadReport, estimate_late_probability
from mangowell_core.mesh.routes import RouteTable, TrafficSplitter


def make_endpoint(name, domain="a", service="s", **fields):
    values = {
        "host": f"10.0.0.{name[-1]}",
        "port": 80,
        "slots": 4,
        "draining": False,
        "warmup_s": 0.0,
        "born_ms": 1,
        "revision": 1,
    }
    return Endpoint(id=name, service=service, failure_domain=domain, **values | fields)


def make_route_table(*prefixes):
    routes = tuple(
        MeshRoute(p, "shop", p, True, 1.0, 0.3, 1, 2, (("s", 1.0),)) for p in prefixes
    )
    return RouteTable(MeshDocument(1, routes, (), CallerLimits()))


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/a/b/c", "/a/b/"),
        ("/a/b/", "/a/b/"),
        ("/a/bc", "/a/"),
        ("/z", "/"),
        ("/a", "/"),
    ],
)
def test_request_matches_the_route_with_the_longest_prefix(path, expected):
    assert (
        make_route_table("/", "/a/", "/a/b/").match("SHOP:80", path).prefix == expected
    )


def test_unmatched_path_or_host_has_no_route():
    table = make_route_table("/a/")
    assert table.match("shop", "/b/x") is None
    assert table.match("other", "/a/x") is None


def test_traffic_split_is_exact_over_a_short_sequence():
    route = MeshRoute("r", "h", "/", True, 1, 1, 1, 2, (("a", 70.0), ("b", 30.0)))
    splitter = TrafficSplitter(random.Random(1))
    chosen = [splitter.select_service(route) for _ in range(20)]
    assert (chosen.count("a"), chosen.count("b")) == (14, 6)


# Placement


def make_placement():
    return Placement("10.0.0.9", "a", random.Random(1))


def record_answers(placement, endpoint, work_s, count=60):
    for step in range(count):
        placement.record_answer(endpoint, "r", work_s, float(step))


def simulate_steady_load(
    placement, endpoints, work_s, arrivals_per_s, round_robin=None, seconds=20.0
):
    """Simulate a steady load; return the requests per worker and the waits.

    If `round_robin` is given, it yields the workers instead of the placement.
    """
    now, ends, counts = 100.0, [], dict.fromkeys((e.id for e in endpoints), 0)
    waits = []
    rng = random.Random(2)
    while now < 100.0 + seconds:
        now += rng.expovariate(arrivals_per_s)
        for end in sorted(e for e in ends if e[0] <= now):
            ends.remove(end)
            placement.finish(end[1])
            placement.record_answer(end[1], "r", work_s[end[1].id], end[0])
        if round_robin is None:
            chosen = placement.select_worker(endpoints, "r", 0.5, set(), now)
        else:
            chosen = next(round_robin)
        placement.start(chosen, now)
        counts[chosen.id] += 1
        running = sum(1 for e in ends if e[1].id == chosen.id)
        wait = max(0, running + 1 - chosen.slots) / chosen.slots * work_s[chosen.id]
        waits.append(wait)
        ends.append((now + wait + work_s[chosen.id], chosen))
    return counts, waits


def test_slow_worker_gets_less_load():
    """At this rate, an even distribution overloads a worker three times slower."""
    endpoints = [make_endpoint("w1"), make_endpoint("w2"), make_endpoint("w3")]
    work = {"w1": 0.05, "w2": 0.1, "w3": 0.15}
    placement = make_placement()
    placement.sync(endpoints, 0.0)
    counts, waits = simulate_steady_load(placement, endpoints, work, 115.0)
    round_robin = itertools.cycle(endpoints)
    _, even_waits = simulate_steady_load(
        make_placement(), endpoints, work, 115.0, round_robin
    )
    assert counts["w1"] > 1.3 * counts["w3"]
    assert sum(waits) / len(waits) < 0.1 * sum(even_waits) / len(even_waits)


def test_predicted_cost_includes_the_risk_of_a_late_answer():
    """With selection by mean time alone, slow workers made 4 of 100 answers late."""
    placement = make_placement()
    endpoint = make_endpoint("w1")
    placement.sync([endpoint], 0.0)
    record_answers(placement, endpoint, 0.13, 200)
    tight = placement.estimate_cost(endpoint, "r", 0.3, 300.0)
    loose = placement.estimate_cost(endpoint, "r", 3.0, 300.0)
    assert tight > loose + 0.01


@pytest.mark.parametrize(("mean_s", "chance"), [(0.1, 0.02), (0.2, 0.17), (0.3, 0.38)])
def test_late_probability_follows_the_log_normal_distribution(mean_s, chance):
    assert estimate_late_probability(mean_s, 0.3) == pytest.approx(chance, abs=0.01)


def test_local_domain_is_preferred_until_its_worker_is_overloaded():
    local, remote = make_endpoint("w1"), make_endpoint("w2", domain="b")
    placement = make_placement()
    placement.sync([local, remote], 0.0)
    record_answers(placement, local, 0.1)
    record_answers(placement, remote, 0.1)
    assert placement.select_worker([remote, local], "r", 0.5, set(), 70.0) is local
    placement.record_load(local, LoadReport(pending=14, limit=4), 70.0)
    assert placement.select_worker([remote, local], "r", 0.5, set(), 70.0) is remote


def test_fast_failing_worker_does_not_attract_requests():
    """A worker that refuses requests immediately looks idle and fast."""
    healthy, failing = make_endpoint("w1"), make_endpoint("w2")
    placement = make_placement()
    placement.sync([healthy, failing], 0.0)
    record_answers(placement, healthy, 0.1)
    record_answers(placement, failing, 0.1)
    for _ in range(10):
        placement.record_failure(failing, 60.0)
    placement.record_load(healthy, LoadReport(4, 4), 60.0)
    assert placement.select_worker([healthy, failing], "r", 0.5, set(), 60.0) is healthy
    assert placement.estimate_cost(failing, "r", 0.5, 90.0) < 0.2


def test_unreachable_worker_is_selected_only_as_a_last_resort():
    reachable, unreachable = make_endpoint("w1", domain="b"), make_endpoint("w2")
    placement = make_placement()
    placement.sync([reachable, unreachable], 0.0)
    placement.record_unreachable(unreachable, 10.0)
    assert (
        placement.select_worker([reachable, unreachable], "r", 0.5, set(), 10.1)
        is reachable
    )
    assert placement.select_worker([unreachable], "r", 0.5, set(), 10.1) is unreachable
    assert (
        placement.select_worker([reachable, unreachable], "r", 0.5, set(), 11.0)
        is unreachable
    )


def test_restart_under_the_same_id_resets_the_statistics():
    old = make_endpoint("w1")
    placement = make_placement()
    placement.sync([old], 0.0)
    record_answers(placement, old, 0.5)
    placement.record_unreachable(old, 70.0)
    new = make_endpoint("w1", born_ms=2)
    placement.sync([new], 70.0)
    assert placement.estimate_cost(new, "r", 0.5, 70.1) < 100


def test_draining_worker_is_not_selected():
    endpoint = make_endpoint("w1", draining=True)
    assert make_placement().select_worker([endpoint], "r", 0.5, set(), 0.0) is None


# Admission


def replay_overload(admission, arrivals_per_s, work_s, seconds, rank=1):
    """Simulate a load of equal requests; return the waits and the refusals."""
    now, running, waits, refused = 0.0, [], [], 0
    rng = random.Random(3)
    while now < seconds:
        now += rng.expovariate(arrivals_per_s)
        while running and running[0][0] <= now:
            end, ticket = running.pop(0)
            for started in admission.finish(ticket, True, end):
                waits.append(end - started.arrived)
                running.append((end + work_s, started))
        refused += len(admission.expire(now))
        decision, ticket, retry_after_s = admission.offer(
            "r", "route", rank, 0.3, now + 1.0, now
        )
        if decision is AdmissionDecision.RUN:
            waits.append(0.0)
            running.append((now + work_s, ticket))
        elif decision is AdmissionDecision.REFUSED:
            refused += 1
            assert 0 < retry_after_s <= 2.0
        running.sort(key=lambda item: item[0])
    return waits, refused


def test_overload_leaves_admitted_requests_within_the_objective():
    """With an unbounded queue, every answer is late at twice the capacity."""
    admission = Admission(4)
    waits, refused = replay_overload(admission, 80.0, 0.1, 30.0)
    late = sum(wait + 0.1 > 0.3 for wait in waits)
    assert late < 0.05 * len(waits)
    # All slots are used: 4 / 0.1 s = 40 requests per second.
    assert len(waits) > 0.93 * 40 * 30
    assert refused > 1000


def test_load_below_capacity_is_not_refused():
    waits, refused = replay_overload(Admission(4), 24.0, 0.1, 30.0)
    assert refused <= 0.02 * len(waits)


def offer_requests(admission, count, rank=2, now=0.0):
    return [
        admission.offer(f"r{n}", "route", rank, 0.0, now + 5.0, now)
        for n in range(count)
    ]


def test_calls_of_running_requests_run_first():
    admission = Admission(2)
    tickets = offer_requests(admission, 4)
    decision, call, _ = admission.offer("call", "inner", -1, 0.0, 5.0, 0.0)
    assert decision is AdmissionDecision.WAIT
    assert admission.finish(tickets[0][1], True, 0.1) == [call]


def test_request_delayed_by_urgent_arrivals_is_refused_early():
    admission = Admission(1)
    (_, first, _), *_ = offer_requests(admission, 1)
    admission.finish(first, True, 0.1)
    offer_requests(admission, 1, now=0.1)
    decision, displaced, _ = admission.offer("cheap", "route", 2, 0.4, 1.1, 0.1)
    assert decision is AdmissionDecision.WAIT
    for number in range(4):
        admission.offer(f"urgent{number}", "route", 1, 0.0, 5.0, 0.1)
    expired = admission.expire(0.11)
    assert [ticket for ticket, _ in expired] == [displaced]


def test_request_past_its_deadline_is_refused():
    decision, _, _ = Admission(1).offer("r", "route", 1, 0.3, 1.0, 1.0)
    assert decision is AdmissionDecision.REFUSED


def test_cancelled_request_is_removed_from_the_queue():
    admission = Admission(1)
    tickets = offer_requests(admission, 2)
    admission.cancel(tickets[1][1])
    assert admission.finish(tickets[0][1], True, 0.1) == []


# Retries


def replay_retries(nodes, rate, retrying_nodes, seconds=60, report_interval_ticks=10):
    """Simulate a load in which `retrying_nodes` of the nodes use all retries.

    Returns
    -------
    requests, spent : list of float
        Times of the requests and of the allowed retries, in seconds.
    """
    rng = random.Random(4)
    budgets = [RetryBudget(RATIO, FLOOR, WINDOW_S, rng) for _ in range(nodes)]
    spent, requests = [], []
    step = 0.05
    credit = 0.0
    for budget in budgets:
        budget.set_nodes(nodes)
    for tick in range(int(seconds / step)):
        now = tick * step
        credit += rate * step
        for number in range(int(credit)):
            budgets[(tick + number) % nodes].count_request("s", now)
            requests.append(now)
        credit -= int(credit)
        for budget in budgets[:retrying_nodes]:
            for _ in range(5):
                if budget.spend("s", now, is_call=True):
                    spent.append(now)
        if not tick % report_interval_ticks:
            demands = [budget.compute_demand(now) for budget in budgets]
            for budget in budgets:
                for number, demand in enumerate(demands):
                    if budgets[number] is not budget:
                        budget.record_peer_demand(str(number), demand, now)
    return requests, spent


RATIO, FLOOR, WINDOW_S = 0.2, 60, 10.0


@pytest.mark.parametrize("nodes", [1, 13, 60])
@pytest.mark.parametrize("rate", [0.0, 100.0])
@pytest.mark.parametrize("retrying_nodes", [4, 60])
@pytest.mark.parametrize("report_interval_ticks", [10, 40, 10_000])
def test_retries_of_all_nodes_stay_within_the_bound(
    nodes, rate, retrying_nodes, report_interval_ticks
):
    """The bound also holds if reports between the nodes are rare or missing."""
    requests, spent = replay_retries(
        nodes, rate, retrying_nodes, 24, report_interval_ticks
    )
    for start in range(0, 14):
        end = start + WINDOW_S
        used = sum(start <= time < end for time in spent)
        allowed = RATIO * sum(start <= time < end for time in requests) + FLOOR
        assert used <= allowed


def test_nodes_with_demand_get_the_unused_share_of_the_others():
    """With equal shares, 4 of 13 nodes got less than a third of the bound."""
    requests, spent = replay_retries(13, 100.0, 4)
    allowed = RATIO * len(requests) + FLOOR * 60 / WINDOW_S
    assert len(spent) > 0.5 * allowed


def test_tokens_are_reserved_for_calls_of_running_requests():
    """Callers repeat a failed request by themselves, but nobody repeats a call."""
    budget = RetryBudget(RATIO, FLOOR, WINDOW_S, random.Random(4))
    for number in range(1000):
        budget.count_request("s", number * 0.01)
    while budget.spend("s", 10.0):
        pass
    assert budget.spend("s", 10.0, is_call=True)


# Directory


def test_removed_entry_is_dropped_at_once():
    directory = Directory()
    directory.load([make_endpoint("w1"), make_endpoint("w2")], 5, 0.0)
    directory.remove("w1", 6, 1.0)
    assert [e.id for e in directory.get_workers()] == ["w2"]


def test_entry_that_lapses_in_an_outage_is_held_for_two_seconds():
    directory = Directory()
    directory.load([make_endpoint("w1"), make_endpoint("w2")], 5, 0.0)
    directory.record_store_outage()
    directory.record_store_recovery(10.0)
    directory.load([make_endpoint("w2")], 9, 10.0)
    directory.expire(11.9)
    assert len(directory) == 2
    directory.put(make_endpoint("w1", revision=11))
    directory.expire(13.0)
    assert len(directory) == 2


def test_held_entry_that_is_not_renewed_is_dropped():
    directory = Directory()
    directory.load([make_endpoint("w1")], 5, 0.0)
    directory.record_store_outage()
    directory.record_store_recovery(10.0)
    directory.load([], 9, 10.0)
    directory.expire(12.1)
    assert len(directory) == 0


def test_older_revision_of_an_entry_is_ignored():
    directory = Directory()
    directory.put(make_endpoint("w1", draining=True, revision=8))
    directory.put(make_endpoint("w1", revision=7))
    assert directory.get_workers()[0].draining


def test_address_belongs_to_the_worker_started_last():
    directory = Directory()
    directory.put(make_endpoint("w1", born_ms=1, revision=3))
    directory.put(make_endpoint("w2", born_ms=9, revision=4, host="10.0.0.1"))
    assert [e.id for e in directory.look_up_service("s")] == ["w2"]
    assert directory.look_up_address("10.0.0.1", 80).id == "w2"


def test_state_of_another_node_is_applied_only_if_newer():
    newer, older = Directory(), Directory()
    newer.load([make_endpoint("w1")], 9, 0.0)
    older.load([make_endpoint("w2")], 5, 0.0)
    assert not newer.apply_state(older.export(), 1.0)
    assert older.apply_state(newer.export(), 1.0)
    assert [e.id for e in older.get_workers()] == ["w1"]


# Crashes


def test_request_that_was_running_at_two_crashes_is_refused():
    """Callers repeat such a request at any node, and each run crashes a worker."""
    crash_counter = CrashCounter()
    crash_counter.record_crash("poison", "w1/1", 0.0)
    crash_counter.record_crash("neighbour", "w1/1", 0.0)
    assert not crash_counter.is_refused("poison", 1.0)
    crash_counter.record_crash("poison", "w2/1", 2.0)
    assert crash_counter.is_refused("poison", 2.0)
    assert not crash_counter.is_refused("neighbour", 2.0)


def test_repeated_notice_of_a_crash_counts_once():
    crash_counter = CrashCounter()
    assert crash_counter.record_crash("r", "w1/1", 0.0)
    assert not crash_counter.record_crash("r", "w1/1", 0.1)
    assert not crash_counter.is_refused("r", 0.2)


def test_crashes_expire():
    crash_counter = CrashCounter()
    crash_counter.record_crash("r", "w1/1", 0.0)
    crash_counter.record_crash("r", "w2/1", 0.0)
    assert not crash_counter.is_refused("r", 121.0)


def test_completed_request_drops_its_crashes():
    crash_counter = CrashCounter()
    crash_counter.record_crash("r", "w1/1", 0.0)
    crash_counter.clear("r")
    crash_counter.record_crash("r", "w2/1", 1.0)
    assert not crash_counter.is_refused("r", 1.0)


# Offers


def test_request_is_not_offered_to_all_workers_of_a_full_service():
    """Each refused offer costs a round trip on links that are saturated too."""
    assert may_offer_again(0, 9.0, 0.5)
    offers = 1
    while may_offer_again(offers, offers * 0.01, 0.5):
        offers += 1
    assert offers == MAX_REFUSALS


def test_late_request_is_not_offered_again():
    assert may_offer_again(1, 0.2, 0.5)
    assert not may_offer_again(1, 0.3, 0.5)
