"""Guards the decisions on workers, queues and retries, each with its load."""

import itertools
import random

import pytest

from mangowell_core.mesh import (
    Admission,
    CrashLedger,
    Directory,
    Endpoint,
    MeshRoute,
    Placement,
    RetryBudget,
    Verdict,
)
from mangowell_core.mesh.model import CallerLimits, MeshDocument
from mangowell_core.mesh.offers import MAX_REFUSALS, may_offer
from mangowell_core.mesh.placement import LoadReport, estimate_late_probability
from mangowell_core.mesh.routes import PartChooser, RouteTable


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


def make_table(*prefixes):
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
def test_longest_prefix_wins(path, expected):
    assert make_table("/", "/a/", "/a/b/").match("SHOP:80", path).prefix == expected


def test_path_without_a_prefix_has_no_route():
    table = make_table("/a/")
    assert table.match("shop", "/b/x") is None
    assert table.match("other", "/a/x") is None


def test_split_is_exact_over_a_short_run():
    route = MeshRoute("r", "h", "/", True, 1, 1, 1, 2, (("a", 70.0), ("b", 30.0)))
    chooser = PartChooser()
    chosen = [chooser.choose(route) for _ in range(20)]
    assert (chosen.count("a"), chosen.count("b")) == (14, 6)


# Placement


def make_placement():
    return Placement("10.0.0.9", "a", random.Random(1))


def learn(placement, endpoint, work_s, count=60):
    for step in range(count):
        placement.note_answer(endpoint, "r", work_s, float(step))


def simulate(placement, endpoints, work_s, arrivals_per_s, turns=None, seconds=20.0):
    """Replay a steady load; return the requests of each worker and the waits.

    With `turns` the workers take turns instead of being chosen.
    """
    now, ends, counts = 100.0, [], dict.fromkeys((e.id for e in endpoints), 0)
    waits = []
    rng = random.Random(2)
    while now < 100.0 + seconds:
        now += rng.expovariate(arrivals_per_s)
        for end in sorted(e for e in ends if e[0] <= now):
            ends.remove(end)
            placement.finish(end[1])
            placement.note_answer(end[1], "r", work_s[end[1].id], end[0])
        if turns is None:
            chosen = placement.choose(endpoints, "r", 0.5, set(), now)
        else:
            chosen = next(turns)
        placement.start(chosen, now)
        counts[chosen.id] += 1
        running = sum(1 for e in ends if e[1].id == chosen.id)
        wait = max(0, running + 1 - chosen.slots) / chosen.slots * work_s[chosen.id]
        waits.append(wait)
        ends.append((now + wait + work_s[chosen.id], chosen))
    return counts, waits


def test_load_follows_the_speed_of_workers():
    """Spread evenly, a worker three times slower is overloaded at this rate."""
    endpoints = [make_endpoint("w1"), make_endpoint("w2"), make_endpoint("w3")]
    work = {"w1": 0.05, "w2": 0.1, "w3": 0.15}
    placement = make_placement()
    placement.sync(endpoints, 0.0)
    counts, waits = simulate(placement, endpoints, work, 115.0)
    turns = itertools.cycle(endpoints)
    _, even = simulate(make_placement(), endpoints, work, 115.0, turns)
    assert counts["w1"] > 1.3 * counts["w3"]
    assert sum(waits) / len(waits) < 0.1 * sum(even) / len(even)


def test_worker_whose_answers_are_often_late_costs_more():
    """Chosen by mean time alone, slow workers made 4 of 100 answers late."""
    placement = make_placement()
    endpoint = make_endpoint("w1")
    placement.sync([endpoint], 0.0)
    learn(placement, endpoint, 0.13, 200)
    tight = placement.predict(endpoint, "r", 0.3, 300.0)
    loose = placement.predict(endpoint, "r", 3.0, 300.0)
    assert tight > loose + 0.01


@pytest.mark.parametrize(("mean_s", "chance"), [(0.1, 0.02), (0.2, 0.17), (0.3, 0.38)])
def test_chance_of_a_late_answer_follows_the_spread_of_the_work(mean_s, chance):
    assert estimate_late_probability(mean_s, 0.3) == pytest.approx(chance, abs=0.01)


def test_own_domain_is_preferred_until_it_is_busy():
    near, far = make_endpoint("w1"), make_endpoint("w2", domain="b")
    placement = make_placement()
    placement.sync([near, far], 0.0)
    learn(placement, near, 0.1)
    learn(placement, far, 0.1)
    assert placement.choose([far, near], "r", 0.5, set(), 70.0) is near
    placement.note_load(near, LoadReport(pending=14, limit=4), 70.0)
    assert placement.choose([far, near], "r", 0.5, set(), 70.0) is far


def test_worker_that_fails_fast_does_not_attract_requests():
    """A worker that sheds at once looks idle and quick."""
    good, grey = make_endpoint("w1"), make_endpoint("w2")
    placement = make_placement()
    placement.sync([good, grey], 0.0)
    learn(placement, good, 0.1)
    learn(placement, grey, 0.1)
    for _ in range(10):
        placement.note_failure(grey, 60.0)
    placement.note_load(good, LoadReport(4, 4), 60.0)
    assert placement.choose([good, grey], "r", 0.5, set(), 60.0) is good
    assert placement.predict(grey, "r", 0.5, 90.0) < 0.2


def test_unreachable_worker_is_tried_only_if_there_is_no_other():
    up, down = make_endpoint("w1", domain="b"), make_endpoint("w2")
    placement = make_placement()
    placement.sync([up, down], 0.0)
    placement.note_down(down, 10.0)
    assert placement.choose([up, down], "r", 0.5, set(), 10.1) is up
    assert placement.choose([down], "r", 0.5, set(), 10.1) is down
    assert placement.choose([up, down], "r", 0.5, set(), 11.0) is down


def test_new_start_under_an_old_id_forgets_the_evidence():
    old = make_endpoint("w1")
    placement = make_placement()
    placement.sync([old], 0.0)
    learn(placement, old, 0.5)
    placement.note_down(old, 70.0)
    new = make_endpoint("w1", born_ms=2)
    placement.sync([new], 70.0)
    assert placement.predict(new, "r", 0.5, 70.1) < 100


def test_draining_worker_is_not_chosen():
    endpoint = make_endpoint("w1", draining=True)
    assert make_placement().choose([endpoint], "r", 0.5, set(), 0.0) is None


# Admission


def replay_overload(admission, arrivals_per_s, work_s, seconds, rank=1):
    """Replay a load of equal requests; return the waits and the refusals."""
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
        verdict, ticket, retry_after_s = admission.offer(
            "r", "route", rank, 0.3, now + 1.0, now
        )
        if verdict is Verdict.RUN:
            waits.append(0.0)
            running.append((now + work_s, ticket))
        elif verdict is Verdict.REFUSED:
            refused += 1
            assert 0 < retry_after_s <= 2.0
        running.sort(key=lambda item: item[0])
    return waits, refused


def test_twice_the_load_leaves_answers_within_the_objective():
    """An unbounded queue would make every answer late."""
    admission = Admission(4)
    waits, refused = replay_overload(admission, 80.0, 0.1, 30.0)
    late = sum(wait + 0.1 > 0.3 for wait in waits)
    assert late < 0.05 * len(waits)
    # All slots are used: 4 / 0.1 s = 40 a second.
    assert len(waits) > 0.93 * 40 * 30
    assert refused > 1000


def test_load_below_the_limit_is_not_refused():
    waits, refused = replay_overload(Admission(4), 24.0, 0.1, 30.0)
    assert refused <= 0.02 * len(waits)


def fill(admission, count, rank=2, now=0.0):
    return [
        admission.offer(f"r{n}", "route", rank, 0.0, now + 5.0, now)
        for n in range(count)
    ]


def test_calls_of_running_requests_go_first():
    admission = Admission(2)
    tickets = fill(admission, 4)
    verdict, call, _ = admission.offer("call", "inner", -1, 0.0, 5.0, 0.0)
    assert verdict is Verdict.WAIT
    assert admission.finish(tickets[0][1], True, 0.1) == [call]


def test_more_urgent_arrivals_push_others_out_before_their_time_is_up():
    admission = Admission(1)
    (_, first, _), *_ = fill(admission, 1)
    admission.finish(first, True, 0.1)
    fill(admission, 1, now=0.1)
    verdict, cheap, _ = admission.offer("cheap", "route", 2, 0.4, 1.1, 0.1)
    assert verdict is Verdict.WAIT
    for number in range(4):
        admission.offer(f"urgent{number}", "route", 1, 0.0, 5.0, 0.1)
    expired = admission.expire(0.11)
    assert [ticket for ticket, _ in expired] == [cheap]


def test_request_past_its_deadline_is_refused():
    verdict, _, _ = Admission(1).offer("r", "route", 1, 0.3, 1.0, 1.0)
    assert verdict is Verdict.REFUSED


def test_cancelled_request_leaves_the_queue():
    admission = Admission(1)
    tickets = fill(admission, 2)
    admission.cancel(tickets[1][1])
    assert admission.finish(tickets[0][1], True, 0.1) == []


# Retries


def replay_retries(nodes, rate, askers, seconds=60, told_every=10):
    """Replay a load at which `askers` of the nodes want all retries they get.

    Returns
    -------
    requests, spent : list of float
        Times of the requests and of the further attempts.
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
        for budget in budgets[:askers]:
            for _ in range(5):
                if budget.spend("s", now, is_call=True):
                    spent.append(now)
        if not tick % told_every:
            demands = [budget.find_demand(now) for budget in budgets]
            for budget in budgets:
                for number, demand in enumerate(demands):
                    if budgets[number] is not budget:
                        budget.note_peer(str(number), demand, now)
    return requests, spent


RATIO, FLOOR, WINDOW_S = 0.2, 60, 10.0


@pytest.mark.parametrize("nodes", [1, 13, 60])
@pytest.mark.parametrize("rate", [0.0, 100.0])
@pytest.mark.parametrize("askers", [4, 60])
@pytest.mark.parametrize("told_every", [10, 40, 10_000])
def test_retries_of_all_nodes_stay_below_the_bound(nodes, rate, askers, told_every):
    """Also while the nodes hear little or nothing of each other."""
    requests, spent = replay_retries(nodes, rate, askers, 24, told_every)
    for start in range(0, 14):
        end = start + WINDOW_S
        used = sum(start <= at < end for at in spent)
        allowed = RATIO * sum(start <= at < end for at in requests) + FLOOR
        assert used <= allowed


def test_nodes_that_need_retries_get_what_the_others_do_not_need():
    """With equal parts 4 of 13 nodes got less than a third of the bound."""
    requests, spent = replay_retries(13, 100.0, 4)
    allowed = RATIO * len(requests) + FLOOR * 60 / WINDOW_S
    assert len(spent) > 0.5 * allowed


def test_calls_keep_their_part_of_the_tokens():
    """Callers repeat a failed request themselves; a call is not repeated."""
    budget = RetryBudget(RATIO, FLOOR, WINDOW_S, random.Random(4))
    for number in range(1000):
        budget.count_request("s", number * 0.01)
    while budget.spend("s", 10.0):
        pass
    assert budget.spend("s", 10.0, is_call=True)


# Directory


def test_entry_that_goes_is_dropped_at_once():
    directory = Directory()
    directory.load([make_endpoint("w1"), make_endpoint("w2")], 5, 0.0)
    directory.remove("w1", 6, 1.0)
    assert [e.id for e in directory.find_all()] == ["w2"]


def test_entry_that_lapses_in_an_outage_is_kept_for_two_seconds_after_it():
    directory = Directory()
    directory.load([make_endpoint("w1"), make_endpoint("w2")], 5, 0.0)
    directory.lose_store()
    directory.regain_store(10.0)
    directory.load([make_endpoint("w2")], 9, 10.0)
    directory.expire(11.9)
    assert len(directory) == 2
    directory.put(make_endpoint("w1", revision=11))
    directory.expire(13.0)
    assert len(directory) == 2


def test_entry_that_does_not_come_back_after_an_outage_is_gone():
    directory = Directory()
    directory.load([make_endpoint("w1")], 5, 0.0)
    directory.lose_store()
    directory.regain_store(10.0)
    directory.load([], 9, 10.0)
    directory.expire(12.1)
    assert len(directory) == 0


def test_older_change_of_an_entry_is_ignored():
    directory = Directory()
    directory.put(make_endpoint("w1", draining=True, revision=8))
    directory.put(make_endpoint("w1", revision=7))
    assert directory.find_all()[0].draining


def test_address_belongs_to_the_worker_listed_last():
    directory = Directory()
    directory.put(make_endpoint("w1", born_ms=1, revision=3))
    directory.put(make_endpoint("w2", born_ms=9, revision=4, host="10.0.0.1"))
    assert [e.id for e in directory.find_service("s")] == ["w2"]
    assert directory.find_address("10.0.0.1", 80).id == "w2"


def test_state_of_another_node_is_taken_only_if_newer():
    ahead, behind = Directory(), Directory()
    ahead.load([make_endpoint("w1")], 9, 0.0)
    behind.load([make_endpoint("w2")], 5, 0.0)
    assert not ahead.adopt(behind.export(), 1.0)
    assert behind.adopt(ahead.export(), 1.0)
    assert [e.id for e in behind.find_all()] == ["w1"]


# Crashes


def test_request_that_ran_in_two_crashes_is_refused():
    """It comes again at any machine, and took down one worker each time."""
    ledger = CrashLedger()
    ledger.note("poison", "w1/1", 0.0)
    ledger.note("neighbour", "w1/1", 0.0)
    assert not ledger.is_refused("poison", 1.0)
    ledger.note("poison", "w2/1", 2.0)
    assert ledger.is_refused("poison", 2.0)
    assert not ledger.is_refused("neighbour", 2.0)


def test_crash_heard_of_twice_counts_once():
    ledger = CrashLedger()
    assert ledger.note("r", "w1/1", 0.0)
    assert not ledger.note("r", "w1/1", 0.1)
    assert not ledger.is_refused("r", 0.2)


def test_crashes_are_forgotten():
    ledger = CrashLedger()
    ledger.note("r", "w1/1", 0.0)
    ledger.note("r", "w2/1", 0.0)
    assert not ledger.is_refused("r", 121.0)


def test_completed_request_is_cleared():
    ledger = CrashLedger()
    ledger.note("r", "w1/1", 0.0)
    ledger.clear("r")
    ledger.note("r", "w2/1", 1.0)
    assert not ledger.is_refused("r", 1.0)


# Offers


def test_full_service_is_not_gone_round():
    """Each refused offer costs a round trip on links that are full as well."""
    assert may_offer(0, 9.0, 0.5)
    offers = 1
    while may_offer(offers, offers * 0.01, 0.5):
        offers += 1
    assert offers == MAX_REFUSALS


def test_offer_that_comes_too_late_is_not_made():
    assert may_offer(1, 0.2, 0.5)
    assert not may_offer(1, 0.3, 0.5)
