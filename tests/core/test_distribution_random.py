"""Faults that the design covers: alone, in pairs, and in random sequences.

The nodes check the invariants I1, I2, I3 and I9 themselves (level `full`). A
failure prints its seed and a trace. The bound starts when the faults end.
"""

from itertools import combinations_with_replacement

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.core.fleet import DOCUMENT, Fleet, make_document

from mangowell_core.distribution.gate import parse_version

CONVERGENCE_BOUND_S = 14.0
FAULT_DURATION_S = 8.0
FAULT_STEPS = 14


def pause(fleet, names, seconds=FAULT_DURATION_S - 0.1):
    for name in names:
        if not fleet.nodes[name].paused:
            fleet.pause(name, seconds)


def partition(fleet, *source_cuts):
    fleet.cuts.update(frozenset(("d0", other)) for other in ("d1", "d2"))
    fleet.source_cuts.update(source_cuts)


def lose_messages(fleet, drop=0.4, duplicate=0.2, delay_s=0.8):
    fleet.drop, fleet.duplicate, fleet.delay_s = drop, duplicate, delay_s


FAULTS = {
    "reader": lambda f: f.crash(*f.readers("d0")[:1]),
    "readers": lambda f: f.crash(*f.readers("d0"), *f.readers("d1")),
    "domain": lambda f: f.crash(*[name for name in f.nodes if name.startswith("d0")]),
    "fleet": lambda f: f.crash(*f.nodes),
    "pause": lambda f: pause(f, f.readers("d0") + f.readers("d2")),
    "partition": partition,
    "cut-off": lambda f: partition(f, "d0"),
    "source-down": lambda f: f.set_source("down"),
    "source-stale": lambda f: f.set_source("stale"),
    "source-flapping": lambda f: f.set_source("flapping"),
    "source-silent": lambda f: setattr(f, "source", "silent"),
    "loss": lose_messages,
    "list": lambda f: f.publish_list(("d0n000", "d0n001", "d0n002")),
    "invalid": lambda f: f.publish(make_document(2) + b"[broken\n"),
}


def end_faults(fleet):
    fleet.end_losses()
    fleet.cuts.clear()
    fleet.source_cuts.clear()
    # A pause is a fault too; the longest one lasts 12 s.
    fleet.run(12.0 if any(n.paused for n in fleet.nodes.values()) else 0.0)
    fleet.publish_list()
    fleet.set_source("up")
    fleet.start()


@pytest.mark.parametrize(
    ("first", "second"), list(combinations_with_replacement(FAULTS, 2))
)
def test_change_arrives_after_two_faults(first, second):
    """A change published while two faults last must reach every node afterwards."""
    fleet = Fleet(21, domains=3, per_domain=4)
    fleet.start()
    fleet.run(7)
    for name in {first: None, second: None}:
        FAULTS[name](fleet)
    fleet.run(0.2)
    fleet.publish(make_document(3))
    fleet.run(FAULT_DURATION_S)
    end_faults(fleet)
    bound = CONVERGENCE_BOUND_S
    assert fleet.run(bound, lambda: fleet.converged(3)) < bound, fleet.explain()


class Scenario:
    """Applies random faults to a fleet of random size and ends them."""

    def __init__(self, seed: int):
        self.fleet = Fleet(seed)
        self.rng = self.fleet.rng
        self.fleet = Fleet(seed, self.rng.randint(1, 4), self.rng.randint(1, 6))
        self.version, self.valid, self.removed = 1, {1}, ()

    def publish_valid(self):
        self.version += self.rng.randint(1, 3)
        self.valid.add(self.version)
        service = self.rng.choice(["web", "web", "new"])
        self.fleet.publish(make_document(self.version, "valid", service))

    def publish_invalid(self):
        self.version += 1
        body = make_document(self.version)
        broken = [
            body.replace(b"class = normal", b"class = none"),
            body + b"x",
            b"\xff",
        ]
        self.fleet.publish(self.rng.choice(broken))

    def publish_conflict(self):
        if self.version in self.valid:
            note = f"{self.rng.random()}"
            self.fleet.publish(make_document(self.version, note))

    def change_list(self):
        domain = f"d{self.rng.randrange(4)}"
        name = f"{domain}x{len(self.fleet.instances)}"
        self.fleet.add_instance(domain, name, self.rng.choice(["web", "new"]))
        self.fleet.publish_list(self.removed)
        self.fleet.start(name)

    def shrink_list(self):
        domain = f"d{self.rng.randrange(4)}"
        names = [n for n in self.fleet.instances if n.startswith(domain)]
        self.removed = tuple(self.rng.sample(names, len(names) * 2 // 3))
        self.fleet.publish_list(self.removed)

    def apply(self):
        """Apply one random change or fault."""
        fleet, rng = self.fleet, self.rng
        names = sorted(fleet.nodes)
        some = rng.sample(names, rng.randint(0, len(names)))
        domains = [f"d{rng.randrange(4)}" for _ in range(2)]
        states = ["up", "down", "stale", "flapping", "silent", "up"]
        losses = [rng.choice(c) for c in ([0, 0.05, 0.4], [0, 0.3], [0.002, 0.05, 1.5])]
        actions = [
            self.publish_valid,
            self.publish_valid,
            self.publish_invalid,
            self.publish_conflict,
            self.change_list,
            self.shrink_list,
            lambda: fleet.crash(*some),
            fleet.start,
            lambda: pause(fleet, some[:2], rng.uniform(0.5, 12)),
            lambda: fleet.cuts.add(frozenset(domains)),
            lambda: fleet.source_cuts.add(domains[0]),
            lambda: (fleet.cuts.clear(), fleet.source_cuts.clear()),
            lambda: fleet.set_source(rng.choice(states)),
            lambda: lose_messages(fleet, *losses),
        ]
        rng.choice(actions)()

    def run(self) -> int:
        """Inject faults, end them, and return the lowest version to converge on."""
        fleet = self.fleet
        fleet.start()
        fleet.run(self.rng.uniform(0, 6))
        for _ in range(FAULT_STEPS):
            self.apply()
            fleet.run(self.rng.choice([0.0, 0.05, 0.5, 3.0, 8.0]))
        end_faults(fleet)
        shown = parse_version(DOCUMENT, fleet.values[DOCUMENT][-1])
        if max(fleet.versions()) == 0 and shown not in self.valid:
            self.publish_valid()
            shown = self.version
        return max(*fleet.versions(), shown if shown in self.valid else 0)

    def is_settled(self, lowest: int) -> bool:
        """Return whether all nodes run the same valid version.

        The version may be above `lowest` if a node had accepted it, or if it was in
        transit, when the faults ended.
        """
        version = max(self.fleet.versions())
        settled = version >= lowest and version in self.valid
        return settled and self.fleet.converged(version)


def check_convergence(seed: int) -> None:
    scenario = Scenario(seed)
    fleet = scenario.fleet
    try:
        version = scenario.run()
        elapsed = fleet.run(CONVERGENCE_BOUND_S, lambda: scenario.is_settled(version))
    except AssertionError as exc:
        pytest.fail(f"seed {seed}: {exc}\n{fleet.explain()}")
    if elapsed > CONVERGENCE_BOUND_S:
        pytest.fail(f"seed {seed}: not settled at {version}\n{fleet.explain()}")


@pytest.mark.parametrize("seed", range(40))
def test_fleet_settles_after_random_faults(seed):
    """Coinciding faults must not leave a node at an old version."""
    check_convergence(seed)


@settings(max_examples=25, deadline=None)
@given(st.integers(1000, 10**9))
def test_fleet_settles_after_unseen_faults(seed):
    """The same failure with seeds chosen by Hypothesis instead of a fixed range."""
    check_convergence(seed)
