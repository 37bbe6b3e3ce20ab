"""Measures processor time and behaviour under overload of the request policy.

The overload runs use a virtual clock and the simplest model of a backend server:
`SLOTS` slots and seeded exponential service times that do not grow with load.
"""

import heapq
from collections import deque
from itertools import count
from random import Random
from statistics import median
from time import process_time

from bench.command import run_command
from mangowell_core.model import (
    Document,
    Instance,
    Route,
    Service,
    Snapshot,
    Tenant,
    TrafficClass,
)
from mangowell_core.policy import RequestPolicy
from mangowell_core.policy.types import (
    Admitted,
    AttemptResult,
    Cause,
    Dispatch,
    Outcome,
    Queued,
    Refusal,
    Work,
)
from mangowell_core.settings import NodeSettings, SourceSettings

SERVICES, ROUTES, INSTANCES, DOMAINS = 610, 1220, 3100, 16
SLOTS = 12
SERVICE_TIME_S = 0.02
CAPACITY = SLOTS / SERVICE_TIME_S  # requests per second
PAYMENT_TARGET, GOODPUT_TARGET = 0.99, 0.90
# (class, share of calls, deadline in seconds)
CALL_MIX = (("payment", 0.1, 1.0), ("browse", 0.8, 0.5), ("sheets", 0.1, 5.0))
CLASSES = {
    "payment": TrafficClass("payment", 0),
    "browse": TrafficClass("browse", 5),
    "sheets": TrafficClass("sheets", 9, deferrable=True),
}
SUCCESS = AttemptResult(Outcome.DONE, Cause.NONE, 200, SERVICE_TIME_S, False, 0.5)


def make_settings(service="s0", instance="i0", domain="d0"):
    return NodeSettings(
        instance,
        service,
        domain,
        "bench",
        "127.0.0.1",
        1,
        2,
        3,
        4,
        5,
        SourceSettings("http://127.0.0.1"),
        invariants="cheap",
    )


def make_snapshot(services, routes, instances, revision=1):
    instances_by_service = {f"s{i}": [] for i in range(services)}
    for i in range(instances):
        name, domain = f"s{i % services}", f"d{(i // services + i) % DOMAINS}"
        instances_by_service[name].append(
            Instance(f"i{i}", name, domain, "127.0.0.1", 1, 2, 3, 4, 5)
        )
    document = Document(
        "bench",
        revision,
        CLASSES,
        {"t0": Tenant("t0"), "t1": Tenant("t1")},
        {f"s{i}": Service(f"s{i}", SLOTS) for i in range(services)},
        {
            f"r{i}": Route(
                f"r{i}",
                f"s{i % services}",
                f"/area{i % 61}/s{i % services}/r{i}",
                (),
                "payment" if i % 10 == 0 else "browse",
                retries=1,
            )
            for i in range(routes)
        },
        "",
        "",
    )
    return Snapshot(
        document, revision, {k: tuple(v) for k, v in instances_by_service.items()}
    )


def measure_calls(calls, rounds=5):
    """Return the median processor time of one call in microseconds, by step."""
    policy = RequestPolicy.from_settings(make_settings(), Random(1), 1)
    snapshot = make_snapshot(SERVICES, ROUTES, INSTANCES)
    policy.apply(snapshot, 0.0)
    rng = Random(2)
    paths = [r.path + "/item" for r in snapshot.document.routes.values()]
    sampled_paths = [rng.choice(paths) for _ in range(calls)]
    times = {"match": [], "pick": [], "offer+release": [], "all": []}
    now = 100.0
    for _ in range(rounds):
        step_times = [0.0, 0.0, 0.0]
        start = process_time()
        plans = []
        for path in sampled_paths:
            now += 1e-5
            plans.append(policy.match_route("r", "GET", path, "t0", None, "", now))
        step_times[0] = process_time() - start
        start = process_time()
        for plan in plans:
            now += 1e-6
            choice = policy.select_instance(plan, (), now)
            policy.record_attempt_start(plan, choice, now)
            policy.record_attempt_end(plan, choice, SUCCESS, now)
        step_times[1] = process_time() - start
        work = Work("r", "s0", CLASSES["browse"], "t0", now + 1e6, True)
        start = process_time()
        for _ in sampled_paths:
            now += 1e-5
            policy.release(policy.offer(work, now).ticket, SUCCESS, now)
        step_times[2] = process_time() - start
        for name, value in zip(times, [*step_times, sum(step_times)], strict=True):
            times[name].append(value / calls * 1e6)
    return {name: median(values) for name, values in times.items()}


def measure_apply(rounds=5):
    """Return the median processor time of `apply` in milliseconds, by change."""
    result = {}
    first_times, all_new_times, service_changed_times = [], [], []
    for i in range(rounds):
        policy = RequestPolicy.from_settings(make_settings(), Random(1), 1)
        first_snapshot = make_snapshot(SERVICES, ROUTES, INSTANCES)
        second_snapshot = make_snapshot(SERVICES, ROUTES, INSTANCES, 2)
        start = process_time()
        policy.apply(first_snapshot, 0.0)
        first_times.append(process_time() - start)
        start = process_time()
        policy.apply(second_snapshot, 1.0)
        all_new_times.append(process_time() - start)
        instances_by_service = dict(second_snapshot.instances)
        instances_by_service["s1"] = instances_by_service["s1"][1:]
        start = process_time()
        policy.apply(
            Snapshot(second_snapshot.document, 3, instances_by_service), 2.0 + i
        )
        service_changed_times.append(process_time() - start)
    result["first"] = median(first_times) * 1e3
    result["all objects new"] = median(all_new_times) * 1e3
    result["one service changed"] = median(service_changed_times) * 1e3
    return result


class Arrivals:
    """Poisson arrivals of calls at a multiple of the capacity."""

    def __init__(self, load, seconds, seed):
        rng = Random(seed)
        self.calls = []
        now = 0.0
        while now < seconds:
            now += rng.expovariate(CAPACITY * load)
            draw, name, deadline = rng.random(), CALL_MIX[-1][0], CALL_MIX[-1][2]
            for name, share, deadline in CALL_MIX:  # noqa: B007
                if draw < share:
                    break
                draw -= share
            service_time_s = rng.expovariate(1 / SERVICE_TIME_S)
            self.calls.append((now, name, now + deadline, service_time_s))


class GoodputCounter:
    """Counts calls by class and those completed in time, after a warm-up."""

    WARM_UP_S = 1.0

    def __init__(self):
        self.offered_calls = dict.fromkeys(CLASSES, 0)
        self.in_time_calls = dict.fromkeys(CLASSES, 0)

    def record_arrival(self, arrived_at, name):
        """Record that a caller makes a call."""
        if arrived_at >= self.WARM_UP_S:
            self.offered_calls[name] += 1

    def record_completion(self, arrived_at, name, deadline, now):
        """Record that a call completed, if it did so in time."""
        if arrived_at >= self.WARM_UP_S and now <= deadline:
            self.in_time_calls[name] += 1

    def compute_rates(self, seconds):
        """Return calls completed in time, per second and as a share by class."""
        rate = sum(self.in_time_calls.values()) / (seconds - self.WARM_UP_S)
        shares = {
            n: self.in_time_calls[n] / max(1, self.offered_calls[n]) for n in CLASSES
        }
        return {"goodput": rate, **shares}


def run_policy(load, seconds, seed=1):
    """Simulate the admission controller at a multiple of the capacity."""
    rng = Random(seed)
    policy = RequestPolicy.from_settings(make_settings(), rng, 1)
    routes = {
        name: Route(
            name, "s0", f"/{name}", (), name, idempotent=name != "payment", retries=2
        )
        for name in CLASSES
    }
    document = Document(
        "bench", 1, CLASSES, {}, {"s0": Service("s0", SLOTS)}, routes, "", ""
    )
    member = Instance("i0", "s0", "d0", "127.0.0.1", 1, 2, 3, 4, 5)
    policy.apply(Snapshot(document, 1, {"s0": (member,)}), 0.0)
    counter, sequence = GoodputCounter(), count()
    events = []  # (time, sequence number, kind, payload)
    for call in Arrivals(load, seconds, seed).calls:
        heapq.heappush(events, (call[0], next(sequence), "call", call))
    queued_calls, plans = {}, {}

    def start(ticket, call, now):
        heapq.heappush(events, (now + call[3], next(sequence), "end", (ticket, call)))

    def handle_results(results, now):
        for item in results:
            call = queued_calls.pop(item.ticket)
            if isinstance(item, Dispatch):
                start(item.ticket, call, now)
            else:
                retry(call, item.refusal, now, 1)

    def retry(call, refusal, now, attempts):
        result = AttemptResult(refusal.outcome, refusal.cause, refusal.status)
        if policy.may_retry(plans[call], result, attempts, now):
            offer_call(call, now, attempts + 1)

    def offer_call(call, now, attempts):
        work = Work("r", "s0", CLASSES[call[1]], "t", call[2], True)
        match policy.offer(work, now):
            case Admitted(ticket):
                start(ticket, call, now)
            case Queued(ticket):
                queued_calls[ticket] = call
            case Refusal() as refusal:
                retry(call, refusal, now, attempts)
        if policy.next_deadline() <= now:
            handle_results(policy.expire(now), now)

    while events:
        now, _, kind, payload = heapq.heappop(events)
        if policy.next_deadline() <= now:
            handle_results(policy.expire(now), now)
        if kind == "call":
            counter.record_arrival(payload[0], payload[1])
            path = f"/{payload[1]}"
            plans[payload] = policy.match_route("r", "GET", path, "t", None, "", now)
            offer_call(payload, now, 1)
        else:
            ticket, (arrived_at, name, deadline, _) = payload
            counter.record_completion(arrived_at, name, deadline, now)
            handle_results(policy.release(ticket, SUCCESS, now), now)
        policy.events()
    return counter.compute_rates(seconds)


def run_baseline(load, seconds, seed=1):
    """Simulate an unbounded FIFO queue whose callers retry up to three times.

    Callers retry after a timeout. The queue ignores deadlines, so it also runs
    calls that have timed out.
    """
    rng = Random(seed)
    counter, sequence = GoodputCounter(), count()
    events, queue, free_slots = [], deque(), SLOTS
    for call in Arrivals(load, seconds, seed).calls:
        heapq.heappush(events, (call[0], next(sequence), "call", (call, 0)))
    completed_calls = set()
    while events:
        now, _, kind, payload = heapq.heappop(events)
        if now > seconds:
            break
        call, retry_count = payload
        arrived_at, name, deadline, _ = call
        match kind:
            case "call":
                if retry_count == 0:
                    counter.record_arrival(arrived_at, name)
                queue.append(payload)
                timeout = now + deadline - arrived_at
                heapq.heappush(events, (timeout, next(sequence), "timeout", payload))
            case "timeout":
                if call not in completed_calls and retry_count < 3:
                    retried_call = (call, retry_count + 1)
                    heapq.heappush(events, (now, next(sequence), "call", retried_call))
            case "end":
                free_slots += 1
                if call not in completed_calls:
                    completed_calls.add(call)
                    counter.record_completion(arrived_at, name, deadline, now)
        while free_slots and queue:
            item = queue.popleft()
            free_slots -= 1
            service_time_s = rng.expovariate(1 / SERVICE_TIME_S)
            heapq.heappush(events, (now + service_time_s, next(sequence), "end", item))
    return counter.compute_rates(seconds)


def measure_overload(seconds):
    """Return goodput and in-time shares by load for policy and baseline."""
    loads = (0.8, 1.0, 2.0, 4.0)
    result = {
        "policy": {load: run_policy(load, seconds) for load in loads},
        "baseline": {load: run_baseline(load, seconds) for load in loads},
    }
    for rows in result.values():
        peak = max(row["goodput"] for row in rows.values())
        for row in rows.values():
            row["of peak"] = row["goodput"] / peak
    return result


def run(quick=False):
    """Run all measurements.

    Returns
    -------
    dict
        ``call_us``, ``apply_ms``, ``overload`` and ``targets``: whether each target
        is met.
    """
    result = {
        "call_us": measure_calls(5_000 if quick else 40_000),
        "apply_ms": measure_apply(3 if quick else 7),
        "overload": measure_overload(6.0 if quick else 30.0),
    }
    rows = [result["overload"]["policy"][load] for load in (2.0, 4.0)]
    result["targets"] = {
        "goodput": all(row["of peak"] >= GOODPUT_TARGET for row in rows),
        "payments": all(row["payment"] >= PAYMENT_TARGET for row in rows),
    }
    return result


def print_table(result):
    """Print the figures of `run`."""
    print("processor time per call, us (610 services, 1,220 routes, 3,100 instances)")
    for name, value in result["call_us"].items():
        print(f"  {name:<22}{value:10.2f}")
    print("processor time of apply, ms")
    for name, value in result["apply_ms"].items():
        print(f"  {name:<22}{value:10.2f}")
    print(f"overload ({SLOTS} slots, capacity {CAPACITY:.0f}/s)")
    print("             load  goodput/s  of peak  payment  browse  sheets")
    for variant, rows in result["overload"].items():
        for load, row in rows.items():
            print(
                f"  {variant:<9}{load:6.1f}{row['goodput']:11.1f}{row['of peak']:9.1%}"
                f"{row['payment']:9.2%}{row['browse']:8.1%}{row['sheets']:8.1%}"
            )
    print("targets met:", result["targets"])


def main():
    """Run from the command line."""
    run_command(__doc__, run, print_table)


if __name__ == "__main__":
    main()
