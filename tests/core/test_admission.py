"""Tests of admission control: overload protection, priorities and fair queuing."""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from tests.core.policy_support import (
    BROWSE,
    DEFERRABLE,
    OK,
    PAYMENT,
    make_instance,
    make_policy,
    make_snapshot,
    make_work,
)

from mangowell_core.messages import CrashReport
from mangowell_core.policy.limiter import WINDOW_CALLS, ConcurrencyLimiter
from mangowell_core.policy.types import (
    Admitted,
    AttemptResult,
    Cause,
    Dispatch,
    Expired,
    Outcome,
    Queued,
    Refusal,
)

TIME_S = 0.02


def make_warm_policy(slots=4, warm=True, tenants=None, queue_limit=8):
    """Return a policy and the time; if `warm`, its service time is 20 ms."""
    policy = make_policy()
    snapshot = make_snapshot(
        make_instance("a"), slots=slots, queue_limit=queue_limit, tenants=tenants
    )
    policy.apply(snapshot, 0.0)
    now = 0.0
    while warm and (now < 2.0 or policy.board.limit < slots):
        tickets = [policy.offer(make_work(now), now).ticket]
        while policy.board.running < policy.board.limit:
            tickets.append(policy.offer(make_work(now), now).ticket)
        now += TIME_S
        for ticket in tickets:
            policy.release(ticket, OK, now)
    policy.events()
    return policy, now


def occupy_slots(policy, now, traffic_class=BROWSE):
    """Start a request in each slot; return the tickets."""
    return [
        policy.offer(make_work(now, traffic_class), now).ticket
        for _ in range(policy.board.limit)
    ]


def get_started_tickets(results):
    """Return the tickets of the requests that left the queue to run."""
    return [item.ticket for item in results if isinstance(item, Dispatch)]


def test_slots_bound_what_runs():
    """A backend server must never run more requests than it has slots."""
    policy, now = make_warm_policy()
    occupy_slots(policy, now)
    assert isinstance(policy.offer(make_work(now), now), Queued)
    assert policy.board.running == 4


def test_urgent_class_is_started_first():
    """A payment must not wait behind browse requests that arrived earlier."""
    policy, now = make_warm_policy()
    running = occupy_slots(policy, now)
    policy.offer(make_work(now, BROWSE), now)
    payment = policy.offer(make_work(now, PAYMENT), now)
    found = policy.release(running[0], OK, now)
    assert get_started_tickets(found) == [payment.ticket]


def test_payment_displaces_browsing_from_a_full_queue():
    """A full queue must shed a browse request rather than refuse a payment."""
    policy, now = make_warm_policy()
    occupy_slots(policy, now)
    waiting = [policy.offer(make_work(now), now) for _ in range(8)]
    assert isinstance(policy.offer(make_work(now), now), Refusal)
    assert isinstance(policy.offer(make_work(now, PAYMENT), now), Queued)
    assert policy.next_deadline() <= now
    (shed,) = policy.expire(now)
    assert shed.ticket == waiting[-1].ticket
    assert shed.refusal.outcome is Outcome.NOT_RUN
    assert shed.refusal.cause is Cause.OVERLOADED


def test_browsing_does_not_displace_a_payment():
    """A queue full of payments must refuse browse requests of any tenant."""
    policy, now = make_warm_policy()
    occupy_slots(policy, now)
    for _ in range(8):
        assert isinstance(policy.offer(make_work(now, PAYMENT), now), Queued)
    assert isinstance(policy.offer(make_work(now, BROWSE, "t2"), now), Refusal)
    assert policy.expire(now) == []


def test_request_that_cannot_end_in_time_is_refused_early():
    """Waiting for a certain refusal wastes the caller's time and the queue."""
    policy, now = make_warm_policy()
    occupy_slots(policy, now)
    for _ in range(4):
        policy.offer(make_work(now), now)
    refusal = policy.offer(make_work(now, time_s=TIME_S), now)
    assert isinstance(refusal, Refusal)
    assert refusal.retry_after_s >= 1.0


def test_waiting_request_expires_when_it_cannot_end_in_time():
    """A request that cannot end before its deadline must not take a slot."""
    policy, now = make_warm_policy()
    running = occupy_slots(policy, now)
    waiting = policy.offer(make_work(now, time_s=0.1), now)
    late = now + 0.095
    assert policy.next_deadline() <= late
    (expired,) = policy.release(running[0], OK, late)
    assert isinstance(expired, Expired)
    assert (expired.ticket, expired.refusal.outcome) == (
        waiting.ticket,
        Outcome.NOT_RUN,
    )


@pytest.mark.parametrize("weight", [1.0, 3.0])
def test_tenants_share_by_weight(weight):
    """A busy tenant must not starve another tenant of the same class."""
    policy, now = make_warm_policy(queue_limit=60, tenants={"t1": 1.0, "t2": weight})
    running = occupy_slots(policy, now)
    tenant_of = {}
    for i in range(40):
        tenant = "t1" if i < 28 else "t2"
        queued = policy.offer(make_work(now, BROWSE, tenant, 60.0), now)
        tenant_of[queued.ticket] = tenant
    started = Counter()
    for _ in range(12):
        (ticket,) = get_started_tickets(policy.release(running.pop(0), OK, now))
        running.append(ticket)
        started[tenant_of[ticket]] += 1
    assert started["t2"] / started["t1"] == pytest.approx(weight, rel=0.35)


def test_full_queue_sheds_the_tenant_that_fills_it():
    """A tenant that fills the queue must not keep out other tenants."""
    policy, now = make_warm_policy(tenants={"t1": 1.0, "t2": 1.0})
    occupy_slots(policy, now)
    for _ in range(8):
        policy.offer(make_work(now, BROWSE, "t1"), now)
    assert isinstance(policy.offer(make_work(now, BROWSE, "t2"), now), Queued)
    assert isinstance(policy.offer(make_work(now, BROWSE, "t1"), now), Refusal)


def test_unlisted_tenants_share_one_queue():
    """A caller must not gain capacity by inventing tenant names."""
    policy, now = make_warm_policy(tenants={"t1": 1.0})
    occupy_slots(policy, now)
    for i in range(8):
        policy.offer(make_work(now, BROWSE, f"x{i}"), now)
    assert isinstance(policy.offer(make_work(now, BROWSE, "x9"), now), Refusal)
    assert isinstance(policy.offer(make_work(now, BROWSE, "t1"), now), Queued)


def test_deferrable_requests_use_spare_capacity_only():
    """Deferrable requests must not take the last slots from interactive ones."""
    policy, now = make_warm_policy(slots=10)
    offers = [
        policy.offer(make_work(now, DEFERRABLE, time_s=900), now) for _ in range(9)
    ]
    assert [isinstance(item, Admitted) for item in offers] == [True] * 7 + [False] * 2
    assert isinstance(policy.offer(make_work(now, BROWSE), now), Admitted)


def test_deferrable_request_gets_a_long_retry_time():
    """Frequent or simultaneous retries would displace other requests."""
    policy, now = make_warm_policy()
    occupy_slots(policy, now)
    policy.offer(make_work(now), now)
    times = set()
    for _ in range(5):
        refusal = policy.offer(make_work(now, DEFERRABLE, time_s=30), now)
        times.add(refusal.retry_after_s)
    assert min(times) >= 900.0
    assert len(times) == 5, "all callers would retry at once"


def test_limit_falls_when_the_server_queues_internally():
    """A server with fewer slots than documented must not be overloaded."""
    limit = run_saturated_server(true_slots=4, slots=16, calls=6000)
    assert 3 <= limit <= 9


def test_limit_reaches_the_slots_of_a_healthy_server():
    """Variation of service times alone must not lower the limit."""
    assert run_saturated_server(true_slots=16, slots=16, calls=6000) >= 12


@pytest.mark.parametrize("workers", [1, 2, 3])
@pytest.mark.parametrize(
    ("latency_factor", "calls_between"), [(100.0, 1000), (2.0, 100)]
)
def test_latency_far_below_the_limit_does_not_lower_it(
    latency_factor, calls_between, workers
):
    """Slow downstream servers must not lower the limit of an idle server.

    In a chain of 10 backend servers, the limit fell from 12 to 1.
    """
    slots, calls = 12, 2000
    rng, policy, now, time_s = Random(1), make_policy(), 0.0, TIME_S
    policy.apply(make_snapshot(make_instance("a"), slots=slots), now)
    active, limits = [], []
    for i in range(calls):
        if i and i % calls_between == 0:
            time_s *= latency_factor
        while len(active) < min(workers, policy.board.limit):
            ticket = policy.offer(make_work(now, time_s=1e9), now).ticket
            active.append((now + rng.expovariate(1 / time_s), ticket))
        active.sort(reverse=True)
        now, ticket = active.pop()
        policy.release(ticket, OK, now)
        limits.append(policy.board.limit)
    assert min(limits) >= 3, "the limit is below that of a probe"
    assert max(limits[-200:]) == slots


def run_saturated_server(true_slots, slots, calls):
    """Saturate a server; return the mean limit over the second half of the calls."""
    rng = Random(5)
    policy = make_policy()
    policy.apply(make_snapshot(make_instance("a"), slots=slots), 0.0)
    free, active, now, limits = [0.0] * true_slots, [], 0.0, []
    for _ in range(calls):
        while policy.board.running < policy.board.limit:
            ticket = policy.offer(make_work(now, time_s=1e6), now).ticket
            start = max(now, min(free))
            free[free.index(min(free))] = end = start + rng.expovariate(1 / TIME_S)
            active.append((end, ticket))
        active.sort(reverse=True)
        now, ticket = active.pop()
        policy.release(ticket, OK, now)
        limits.append(policy.board.limit)
    half = limits[calls // 2 :]
    return sum(half) / len(half)


def test_limit_falls_on_load_refusals_and_crashes():
    """The limit must fall at once when the server sheds load or starts cold."""
    policy, now = make_warm_policy(slots=10)
    ticket = policy.offer(make_work(now), now).ticket
    shed = AttemptResult(Outcome.FAILED, Cause.BACKEND_STATUS, 503)
    policy.release(ticket, shed, now)
    assert policy.board.limit == 7
    policy.record_backend_crash("shop", ["f"], now)
    assert policy.board.limit == 2


def test_limit_stays_between_one_and_slots():
    """A limit of 0 stops all requests; one above the slots overloads the server."""

    class Board:
        limit = 1
        service_time_s = 0.0

    limiter, rng, board = None, Random(3), Board()
    limiter = ConcurrencyLimiter(board)
    limiter.apply(5, 3, 0.0)
    for i in range(50 * WINDOW_CALLS):
        limiter.record_latency("c", rng.choice([1e-6, 0.01, 10.0]), 5, i * 0.01)
        if i % 40 == 0:
            limiter.record_overload(i * 0.01)
        assert 1 <= board.limit <= 3


def test_cancelled_request_is_never_started():
    """A request that its caller has cancelled must not take a slot."""
    policy, now = make_warm_policy()
    running = occupy_slots(policy, now)
    waiting = policy.offer(make_work(now), now)
    policy.cancel(waiting.ticket, now)
    assert policy.release(running[0], OK, now) == []
    assert policy.in_flight() == 3


@pytest.mark.parametrize("seed", range(30))
def test_random_requests_each_end_once_and_leave_nothing_due(seed):
    """A lost ticket blocks its caller; a due time in the past causes a busy loop."""
    rng, policy, now = Random(seed), make_policy(), 0.0
    policy.apply(make_snapshot(make_instance("a"), slots=3, queue_limit=6), now)
    running, waiting = set(), set()

    def apply_results(found):
        for item in found:
            waiting.remove(item.ticket)
            if isinstance(item, Dispatch):
                running.add(item.ticket)

    for i in range(300):
        now += rng.choice((0.0, 0.001, 0.02, 0.5))
        action = rng.random()
        if action < 0.5:
            name = f"f{rng.randrange(4)}"
            traffic_class = rng.choice((PAYMENT, BROWSE, DEFERRABLE))
            time_s = rng.choice((0.01, 0.2, 3.0))
            work = make_work(now, traffic_class, f"t{i % 3}", time_s, fingerprint=name)
            match policy.offer(work, now):
                case Admitted(ticket):
                    running.add(ticket)
                case Queued(ticket):
                    waiting.add(ticket)
        elif action < 0.85 and running:
            ticket = rng.choice(sorted(running))
            running.remove(ticket)
            apply_results(policy.release(ticket, OK, now))
        elif action < 0.9 and waiting:
            ticket = rng.choice(sorted(waiting))
            waiting.remove(ticket)
            policy.cancel(ticket, now)
        elif action < 0.93:
            name = f"f{rng.randrange(4)}"
            policy.handle_crash_report(CrashReport("shop", "d2", name, i, f"r{i}"), now)
        elif action < 0.94:
            policy.record_backend_crash("shop", ["f1", "f2"], now)
        elif action < 0.97:
            policy.record_suspect_completion(f"f{rng.randrange(4)}", now)
        if policy.next_deadline() <= now:
            apply_results(policy.expire(now))
        assert policy.next_deadline() > now
        assert (policy.board.running, policy.board.waiting) == (
            len(running),
            len(waiting),
        )
    while running:
        now += 0.1
        apply_results(policy.release(running.pop(), OK, now))
    apply_results(policy.expire(now + 60.0))
    assert not waiting or running


def test_foreign_service_is_refused():
    """A node must not run requests for the service of another backend server."""
    policy, now = make_warm_policy()
    refusal = policy.offer(replace(make_work(now), service="other"), now)
    assert (refusal.outcome, refusal.cause) == (Outcome.NOT_RUN, Cause.NO_INSTANCE)


def test_nothing_is_admitted_before_the_first_snapshot():
    """Without a document, the node knows no limit to enforce."""
    refusal = make_policy().offer(make_work(0.0), 0.0)
    assert refusal.cause is Cause.NOT_READY
