"""Counts crashes caused by poison requests, with and without fingerprints.

Simulates nine nodes of one service in three failure domains on a virtual clock.
A poison request crashes the backend server that runs it. Callers send one to
three poison requests and eight popular ones, with up to three attempts per call.
A crash report arrives after the call that caused it has ended. It may arrive
twice, and may take some calls longer to reach other domains.
"""

from collections import Counter
from random import Random

from bench.command import run_command
from mangowell_core.model import (
    Document,
    Instance,
    Route,
    Service,
    Snapshot,
    TrafficClass,
)
from mangowell_core.policy import RequestPolicy, classify_attempt, with_fingerprint
from mangowell_core.policy.outcome import Stage
from mangowell_core.policy.types import Admitted, Cause, Dispatch, Refusal, Work
from mangowell_core.settings import NodeSettings, SourceSettings

CALLS = 400
POISON_CALL_SHARE = 0.2
POPULAR_REQUESTS = 8  # distinct harmless requests
CRASH_TARGET = 3  # crashes per failure domain and fingerprint
BROWSE = TrafficClass("browse", 5)
DOCUMENT = Document(
    "bench",
    1,
    {"browse": BROWSE},
    {},
    {"shop": Service("shop")},
    {"r": Route("r", "shop", "/", (), "browse")},
    "",
    "",
)


def make_instance(name, domain):
    return Instance(name, "shop", domain, "127.0.0.1", 1, 2, 3, 4, 5)


def make_policy(name, domain, seed):
    source = SourceSettings("http://127.0.0.1")
    settings = NodeSettings(
        name, "shop", domain, "bench", "127.0.0.1", 1, 2, 3, 4, 5, source
    )
    return RequestPolicy.from_settings(settings, Random(seed), 1)


class CrashFleet:
    """Simulates the nodes and backend servers of one service in three domains.

    Parameters
    ----------
    seed : int
        Seed of the random choices.
    poison_fingerprints : set of str
        Requests that crash the backend server that runs them.
    has_fingerprints : bool
        Whether the nodes are given the fingerprints of requests.
    """

    def __init__(self, seed, poison_fingerprints, has_fingerprints):
        self.rng = Random(seed)
        self.poison_fingerprints = poison_fingerprints
        self.has_fingerprints = has_fingerprints
        instances = [make_instance(f"{d}{i}", d) for d in "pqr" for i in range(3)]
        self.nodes = {
            m.name: make_policy(m.name, m.failure_domain, seed) for m in instances
        }
        for node in self.nodes.values():
            node.apply(Snapshot(DOCUMENT, 1, {"shop": tuple(instances)}), 0.0)
        # instance -> ticket -> fingerprint
        self.in_flight = {name: {} for name in self.nodes}
        self.crashes = Counter()  # by failure domain and fingerprint
        self.due_reports, self.delayed_reports = [], []

    def send_call(self, ingress, fingerprint, now):
        """Run one call with at most three attempts and return its final cause."""
        self.deliver_reports(now)
        node = self.nodes[ingress]
        plan = node.match_route("r", "GET", "/", "t", None, "", now)
        plan = with_fingerprint(plan, fingerprint if self.has_fingerprints else "")
        excluded = set()
        for _ in range(3):
            refusal = node.check_quarantine(plan, now)
            choice = refusal or node.select_instance(plan, excluded, now)
            if isinstance(choice, Refusal):
                return choice.cause
            name = choice.instance.name
            excluded.add(name)
            node.record_attempt_start(plan, choice, now)
            cause = self.run_attempt(name, fingerprint, now)
            stage = Stage.UNSENT
            if cause in (Cause.NONE, Cause.BACKEND_CRASHED):
                stage = Stage.ANSWERED if cause is Cause.NONE else Stage.SENT
            result = classify_attempt(cause, stage)
            node.record_attempt_end(plan, choice, result, now)
            if cause in (Cause.NONE, Cause.QUARANTINED):
                return cause
        return cause

    def run_attempt(self, name, fingerprint, now):
        """Run one attempt at an instance; a poison request crashes its server."""
        node = self.nodes[name]
        sent_fingerprint = fingerprint if self.has_fingerprints else ""
        work = Work("r", "shop", BROWSE, "t", now + 1.0, True, "", sent_fingerprint)
        admission = node.offer(work, now)
        if isinstance(admission, Refusal):
            return admission.cause
        running = self.in_flight[name]
        is_started = isinstance(admission, Admitted)
        while not is_started:
            # A queued call starts when enough requests in flight have completed.
            dispatched = self.complete_request(name, next(iter(running)), now)
            is_started = Dispatch(admission.ticket) in dispatched
        running[admission.ticket] = fingerprint
        if fingerprint not in self.poison_fingerprints:
            return Cause.NONE
        domain = name[0]
        self.crashes[domain, fingerprint] += 1
        crashed = list(running.values()) if self.has_fingerprints else []
        reports = node.record_backend_crash("shop", crashed, now)
        crash_result = classify_attempt(Cause.BACKEND_CRASHED, Stage.SENT)
        for ticket in list(running):
            del running[ticket]
            node.release(ticket, crash_result, now)
        self.send_reports(name, reports)
        return Cause.BACKEND_CRASHED

    def send_reports(self, name, reports):
        """Schedule the delivery of crash reports after the call that caused them.

        Each report arrives once or twice. One to another domain is delayed with a
        probability of 0.5.
        """
        for report in reports:
            for other in self.nodes:
                if other != name:
                    copies = self.rng.choice((1, 2))
                    arrives_soon = other[0] == name[0] or self.rng.random() < 0.5
                    (self.due_reports if arrives_soon else self.delayed_reports).extend(
                        [(other, report)] * copies
                    )

    def deliver_reports(self, now):
        """Deliver the due reports and half of the delayed ones in random order."""
        self.rng.shuffle(self.delayed_reports)
        half = len(self.delayed_reports) // 2
        self.due_reports += self.delayed_reports[:half]
        del self.delayed_reports[:half]
        self.rng.shuffle(self.due_reports)
        for other, report in self.due_reports:
            self.nodes[other].handle_crash_report(report, now)
        self.due_reports.clear()

    def complete_request(self, name, ticket, now):
        """Complete an answered request and return what its free slot dispatched."""
        node, fingerprint = self.nodes[name], self.in_flight[name].pop(ticket)
        success = classify_attempt(Cause.NONE, Stage.ANSWERED)
        dispatched = node.release(ticket, success, now)
        self.send_reports(name, node.record_suspect_completion(fingerprint, now))
        return dispatched

    def complete_some_requests(self, now):
        """Complete each request in flight with a probability of 0.7."""
        for name, running in self.in_flight.items():
            for ticket in list(running):
                if self.rng.random() < 0.7:
                    self.complete_request(name, ticket, now)


def run_fleet(seed, has_fingerprints=True):
    """Send `CALLS` calls with one seed.

    Returns
    -------
    dict
        ``crashes``: most crashes that one request caused in one domain;
        ``total``: all crashes; ``poison_refused``, ``neighbours_refused``: calls of
        poison and of popular requests that a quarantine refused;
        ``neighbours_served``: share of the calls of popular requests that succeeded.
    """
    poison_fingerprints = {f"bad{i}" for i in range(1 + seed % 3)}
    fleet, now, outcome_counts = (
        CrashFleet(seed, poison_fingerprints, has_fingerprints),
        0.0,
        Counter(),
    )
    for _ in range(CALLS):
        now += fleet.rng.choice((0.01, 0.05, 0.5))
        ingress = fleet.rng.choice(list(fleet.nodes))
        if fleet.rng.random() < POISON_CALL_SHARE:
            fingerprint = fleet.rng.choice(sorted(poison_fingerprints))
        else:
            fingerprint = f"page{fleet.rng.randrange(POPULAR_REQUESTS)}"
        outcome_counts[
            fingerprint in poison_fingerprints,
            fleet.send_call(ingress, fingerprint, now),
        ] += 1
        fleet.complete_some_requests(now)
    popular_calls = sum(
        calls for (is_poison, _), calls in outcome_counts.items() if not is_poison
    )
    return {
        "crashes": max(fleet.crashes.values()),
        "total": sum(fleet.crashes.values()),
        "poison_refused": outcome_counts[True, Cause.QUARANTINED],
        "neighbours_refused": outcome_counts[False, Cause.QUARANTINED],
        "neighbours_served": outcome_counts[False, Cause.NONE] / popular_calls,
    }


def run(quick=False):
    """Run all seeds with and without fingerprints.

    Returns
    -------
    dict
        For ``fingerprints`` and ``none``: worst and mean values over seeds.
        ``target_met``: whether no seed exceeded `CRASH_TARGET`.
    """
    result = {}
    for name, has_fingerprints in (("fingerprints", True), ("none", False)):
        rows = [
            run_fleet(seed, has_fingerprints) for seed in range(20 if quick else 300)
        ]
        result[name] = {
            "worst_crashes": max(row["crashes"] for row in rows),
            "mean_crashes": sum(row["total"] for row in rows) / len(rows),
            "neighbours_refused": sum(row["neighbours_refused"] for row in rows),
            "least_neighbours_served": min(row["neighbours_served"] for row in rows),
        }
    result["target_met"] = result["fingerprints"]["worst_crashes"] <= CRASH_TARGET
    return result


def print_table(result):
    """Print the figures of `run`."""
    print("                worst per domain  mean in all  neighbours: refused  served")
    for name in ("fingerprints", "none"):
        row = result[name]
        print(
            f"  {name:<14}{row['worst_crashes']:16d}{row['mean_crashes']:13.1f}"
            f"{row['neighbours_refused']:21d}{row['least_neighbours_served']:8.1%}"
        )
    print("target met:", result["target_met"])


def main():
    """Run from the command line."""
    run_command(__doc__, run, print_table)


if __name__ == "__main__":
    main()
