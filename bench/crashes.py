"""Measures crashes by a poisonous request, with and without fingerprints.

Nine nodes of one service in three failure domains, on a virtual clock. One to
three poisonous requests among eight popular ones; each call is tried up to
three times. A crash report arrives only after the call that caused it, maybe
twice, and later in other domains.
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
POISON_SHARE = 0.2
POPULAR = 8
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
    """Nodes of one service in three domains, whose servers a request crashes."""

    def __init__(self, seed, poisons, is_on):
        self.rng = Random(seed)
        self.poisons = poisons
        self.is_on = is_on  # whether nodes get fingerprints
        members = [make_instance(f"{d}{i}", d) for d in "pqr" for i in range(3)]
        self.nodes = {
            m.name: make_policy(m.name, m.failure_domain, seed) for m in members
        }
        for node in self.nodes.values():
            node.apply(Snapshot(DOCUMENT, 1, {"shop": tuple(members)}), 0.0)
        self.in_flight = {name: {} for name in self.nodes}
        self.crashes = Counter()
        self.soon, self.late = [], []

    def send(self, ingress, fingerprint, now):
        """Route one call; return its cause after at most three attempts."""
        self.deliver(now)
        node = self.nodes[ingress]
        plan = node.match("r", "GET", "/", "t", None, "", now)
        plan = with_fingerprint(plan, fingerprint if self.is_on else "")
        excluded = set()
        for _ in range(3):
            refusal = node.suspect(plan, now)
            choice = refusal or node.pick(plan, excluded, now)
            if isinstance(choice, Refusal):
                return choice.cause
            name = choice.instance.name
            excluded.add(name)
            node.attempt_started(plan, choice, now)
            cause = self.serve(name, fingerprint, now)
            stage = Stage.UNSENT
            if cause in (Cause.NONE, Cause.BACKEND_CRASHED):
                stage = Stage.ANSWERED if cause is Cause.NONE else Stage.SENT
            result = classify_attempt(cause, stage)
            node.attempt_finished(plan, choice, result, now)
            if cause in (Cause.NONE, Cause.QUARANTINED):
                return cause
        return cause

    def serve(self, name, fingerprint, now):
        """Run one attempt at an instance; a poisonous one crashes its server."""
        node = self.nodes[name]
        shown = fingerprint if self.is_on else ""
        work = Work("r", "shop", BROWSE, "t", now + 1.0, True, "", shown)
        found = node.offer(work, now)
        if isinstance(found, Refusal):
            return found.cause
        flights = self.in_flight[name]
        started = isinstance(found, Admitted)
        while not started:
            # The call waits until the others in flight have ended.
            done = self.finish(name, next(iter(flights)), now)
            started = Dispatch(found.ticket) in done
        flights[found.ticket] = fingerprint
        if fingerprint not in self.poisons:
            return Cause.NONE
        domain = name[0]
        self.crashes[domain, fingerprint] += 1
        crashed = list(flights.values()) if self.is_on else []
        reports = node.backend_crashed("shop", crashed, now)
        lost = classify_attempt(Cause.BACKEND_CRASHED, Stage.SENT)
        for ticket in list(flights):
            del flights[ticket]
            node.release(ticket, lost, now)
        self.tell(name, reports)
        return Cause.BACKEND_CRASHED

    def tell(self, name, reports):
        """Send reports: none arrives before the call that caused it has ended."""
        for report in reports:
            for other in self.nodes:
                if other != name:
                    copies = self.rng.choice((1, 2))
                    near = other[0] == name[0] or self.rng.random() < 0.5
                    (self.soon if near else self.late).extend(
                        [(other, report)] * copies
                    )

    def deliver(self, now):
        """Deliver reports in any order, those to other domains some calls late."""
        self.rng.shuffle(self.late)
        half = len(self.late) // 2
        self.soon += self.late[:half]
        del self.late[:half]
        self.rng.shuffle(self.soon)
        for other, report in self.soon:
            self.nodes[other].crash_reported(report, now)
        self.soon.clear()

    def finish(self, name, ticket, now):
        """End a request that the backend server has answered."""
        node, fingerprint = self.nodes[name], self.in_flight[name].pop(ticket)
        done = classify_attempt(Cause.NONE, Stage.ANSWERED)
        found = node.release(ticket, done, now)
        self.tell(name, node.backend_completed(fingerprint, now))
        return found

    def finish_some(self, now):
        """End most of the requests in flight."""
        for name, flights in self.in_flight.items():
            for ticket in list(flights):
                if self.rng.random() < 0.7:
                    self.finish(name, ticket, now)


def run_fleet(seed, is_on=True):
    """Send the calls of one seed.

    Returns
    -------
    dict
        ``crashes``: most crashes of one domain by one request; ``total``;
        ``poison_refused``, ``neighbours_refused``: calls in quarantine;
        ``neighbours_served``: share of the calls of popular requests.
    """
    poisons = {f"bad{i}" for i in range(1 + seed % 3)}
    fleet, now, ends = CrashFleet(seed, poisons, is_on), 0.0, Counter()
    for _ in range(CALLS):
        now += fleet.rng.choice((0.01, 0.05, 0.5))
        ingress = fleet.rng.choice(list(fleet.nodes))
        if fleet.rng.random() < POISON_SHARE:
            fingerprint = fleet.rng.choice(sorted(poisons))
        else:
            fingerprint = f"page{fleet.rng.randrange(POPULAR)}"
        ends[fingerprint in poisons, fleet.send(ingress, fingerprint, now)] += 1
        fleet.finish_some(now)
    popular = sum(number for (is_bad, _), number in ends.items() if not is_bad)
    return {
        "crashes": max(fleet.crashes.values()),
        "total": sum(fleet.crashes.values()),
        "poison_refused": ends[True, Cause.QUARANTINED],
        "neighbours_refused": ends[False, Cause.QUARANTINED],
        "neighbours_served": ends[False, Cause.NONE] / popular,
    }


def run(quick=False):
    """Run all seeds with and without fingerprints.

    Returns
    -------
    dict
        For ``fingerprints`` and ``none``: worst and mean values over seeds.
    """
    result = {}
    for name, is_on in (("fingerprints", True), ("none", False)):
        rows = [run_fleet(seed, is_on) for seed in range(20 if quick else 300)]
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
