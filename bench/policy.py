"""Measures the request policy: processor time per call, and overload.

Overload runs on a virtual clock against the simplest model of a backend
server: `SLOTS` slots, exponential service times from a seed, no slow-down.
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
MIX = (("payment", 0.1, 1.0), ("browse", 0.8, 0.5), ("sheets", 0.1, 5.0))
CLASSES = {
    "payment": TrafficClass("payment", 0),
    "browse": TrafficClass("browse", 5),
    "sheets": TrafficClass("sheets", 9, deferrable=True),
}
OK = AttemptResult(Outcome.DONE, Cause.NONE, 200, SERVICE_TIME_S, False, 0.5)


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
    members = {f"s{i}": [] for i in range(services)}
    for i in range(instances):
        name, domain = f"s{i % services}", f"d{(i // services + i) % DOMAINS}"
        members[name].append(
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
    return Snapshot(document, revision, {k: tuple(v) for k, v in members.items()})


def measure_calls(calls, rounds=5):
    """Return the processor time of one call in microseconds, by step."""
    policy = RequestPolicy.from_settings(make_settings(), Random(1), 1)
    snapshot = make_snapshot(SERVICES, ROUTES, INSTANCES)
    policy.apply(snapshot, 0.0)
    rng = Random(2)
    paths = [r.path + "/item" for r in snapshot.document.routes.values()]
    chosen = [rng.choice(paths) for _ in range(calls)]
    times = {"match": [], "pick": [], "offer+release": [], "all": []}
    now = 100.0
    for _ in range(rounds):
        spent = [0.0, 0.0, 0.0]
        start = process_time()
        plans = []
        for path in chosen:
            now += 1e-5
            plans.append(policy.match("r", "GET", path, "t0", None, "", now))
        spent[0] = process_time() - start
        start = process_time()
        for plan in plans:
            now += 1e-6
            choice = policy.pick(plan, (), now)
            policy.attempt_started(plan, choice, now)
            policy.attempt_finished(plan, choice, OK, now)
        spent[1] = process_time() - start
        work = Work("r", "s0", CLASSES["browse"], "t0", now + 1e6, True)
        start = process_time()
        for _ in chosen:
            now += 1e-5
            policy.release(policy.offer(work, now).ticket, OK, now)
        spent[2] = process_time() - start
        for name, value in zip(times, [*spent, sum(spent)], strict=True):
            times[name].append(value / calls * 1e6)
    return {name: median(values) for name, values in times.items()}


def measure_apply(rounds=5):
    """Return the processor time of `apply` in milliseconds."""
    result = {}
    first, rebuilt, changed = [], [], []
    for i in range(rounds):
        policy = RequestPolicy.from_settings(make_settings(), Random(1), 1)
        one = make_snapshot(SERVICES, ROUTES, INSTANCES)
        two = make_snapshot(SERVICES, ROUTES, INSTANCES, 2)
        start = process_time()
        policy.apply(one, 0.0)
        first.append(process_time() - start)
        start = process_time()
        policy.apply(two, 1.0)
        rebuilt.append(process_time() - start)
        members = dict(two.instances)
        members["s1"] = members["s1"][1:]
        start = process_time()
        policy.apply(Snapshot(two.document, 3, members), 2.0 + i)
        changed.append(process_time() - start)
    result["first"] = median(first) * 1e3
    result["all objects new"] = median(rebuilt) * 1e3
    result["one service changed"] = median(changed) * 1e3
    return result


class Arrivals:
    """Poisson arrivals of calls at a multiple of the capacity."""

    def __init__(self, load, seconds, seed):
        rng = Random(seed)
        self.calls = []
        now = 0.0
        while now < seconds:
            now += rng.expovariate(CAPACITY * load)
            draw, name, deadline = rng.random(), MIX[-1][0], MIX[-1][2]
            for name, share, deadline in MIX:  # noqa: B007
                if draw < share:
                    break
                draw -= share
            time_s = rng.expovariate(1 / SERVICE_TIME_S)
            self.calls.append((now, name, now + deadline, time_s))


class Tally:
    """Counts what ended in time, after the first second."""

    WARM_S = 1.0

    def __init__(self):
        self.offered = dict.fromkeys(CLASSES, 0)
        self.good = dict.fromkeys(CLASSES, 0)

    def offer(self, at, name):
        """Count a call that a caller makes."""
        if at >= self.WARM_S:
            self.offered[name] += 1

    def finish(self, at, name, deadline, now):
        """Count a call that ended, if in time."""
        if at >= self.WARM_S and now <= deadline:
            self.good[name] += 1

    def summarise(self, seconds):
        """Return good calls per second and their share by class."""
        rate = sum(self.good.values()) / (seconds - self.WARM_S)
        shares = {n: self.good[n] / max(1, self.offered[n]) for n in CLASSES}
        return {"goodput": rate, **shares}


def run_policy(load, seconds, seed=1):
    """Run the admission controller at a multiple of the capacity."""
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
    tally, order = Tally(), count()
    events = []  # (time, order, kind, payload)
    for call in Arrivals(load, seconds, seed).calls:
        heapq.heappush(events, (call[0], next(order), "call", call))
    waiting, plans = {}, {}

    def start(ticket, call, now):
        heapq.heappush(events, (now + call[3], next(order), "end", (ticket, call)))

    def follow(results, now):
        for item in results:
            call = waiting.pop(item.ticket)
            if isinstance(item, Dispatch):
                start(item.ticket, call, now)
            else:
                retry(call, item.refusal, now, 1)

    def retry(call, refusal, now, attempts):
        result = AttemptResult(refusal.outcome, refusal.cause, refusal.status)
        if policy.may_retry(plans[call], result, attempts, now):
            submit(call, now, attempts + 1)

    def submit(call, now, attempts):
        work = Work("r", "s0", CLASSES[call[1]], "t", call[2], True)
        match policy.offer(work, now):
            case Admitted(ticket):
                start(ticket, call, now)
            case Queued(ticket):
                waiting[ticket] = call
            case Refusal() as refusal:
                retry(call, refusal, now, attempts)
        if policy.next_deadline() <= now:
            follow(policy.expire(now), now)

    while events:
        now, _, kind, payload = heapq.heappop(events)
        if policy.next_deadline() <= now:
            follow(policy.expire(now), now)
        if kind == "call":
            tally.offer(payload[0], payload[1])
            path = f"/{payload[1]}"
            plans[payload] = policy.match("r", "GET", path, "t", None, "", now)
            submit(payload, now, 1)
        else:
            ticket, (at, name, deadline, _) = payload
            tally.finish(at, name, deadline, now)
            follow(policy.release(ticket, OK, now), now)
        policy.events()
    return tally.summarise(seconds)


def run_baseline(load, seconds, seed=1):
    """Run an unbounded FIFO whose callers retry three times after a time-out.

    The queue does not know deadlines, so it runs what nobody awaits.
    """
    rng = Random(seed)
    tally, order = Tally(), count()
    events, queue, free = [], deque(), SLOTS
    for call in Arrivals(load, seconds, seed).calls:
        heapq.heappush(events, (call[0], next(order), "call", (call, 0)))
    done = set()
    while events:
        now, _, kind, payload = heapq.heappop(events)
        if now > seconds:
            break
        call, tries = payload
        at, name, deadline, _ = call
        match kind:
            case "call":
                if tries == 0:
                    tally.offer(at, name)
                queue.append(payload)
                timeout = now + deadline - at
                heapq.heappush(events, (timeout, next(order), "timeout", payload))
            case "timeout":
                if call not in done and tries < 3:
                    again = (call, tries + 1)
                    heapq.heappush(events, (now, next(order), "call", again))
            case "end":
                free += 1
                if call not in done:
                    done.add(call)
                    tally.finish(at, name, deadline, now)
        while free and queue:
            item = queue.popleft()
            free -= 1
            time_s = rng.expovariate(1 / SERVICE_TIME_S)
            heapq.heappush(events, (now + time_s, next(order), "end", item))
    return tally.summarise(seconds)


def measure_overload(seconds):
    """Return goodput and success shares by load for policy and baseline."""
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
        ``call_us``, ``apply_ms``, ``overload`` and ``targets``.
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
    for kind, rows in result["overload"].items():
        for load, row in rows.items():
            print(
                f"  {kind:<9}{load:6.1f}{row['goodput']:11.1f}{row['of peak']:9.1%}"
                f"{row['payment']:9.2%}{row['browse']:8.1%}{row['sheets']:8.1%}"
            )
    print("targets met:", result["targets"])


def main():
    """Run from the command line."""
    run_command(__doc__, run, print_table)


if __name__ == "__main__":
    main()
