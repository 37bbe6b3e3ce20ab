"""Each fault of the design alone, and every two of them at once.

A change is published while the faults last. It must run everywhere 14 s after
their end at the latest, whatever reached whom before.
"""

from itertools import combinations_with_replacement

import pytest
from tests.core.fleet import Fleet, make_document

BOUND_S = 14.0
FAULT_S = 8.0


def pause_readers(fleet):
    for name in fleet.readers("d0") + fleet.readers("d2"):
        fleet.pause(name, FAULT_S - 0.1)


def partition(fleet, *source_cuts):
    fleet.cuts.update(frozenset(("d0", other)) for other in ("d1", "d2"))
    fleet.source_cuts.update(source_cuts)


def lose_messages(fleet):
    fleet.drop, fleet.duplicate, fleet.delay_s = 0.4, 0.2, 0.8


def shrink_list(fleet):
    fleet.publish_list(("d0n000", "d0n001", "d0n002"))


FAULTS = {
    "reader": lambda f: f.crash(*f.readers("d0")[:1]),
    "readers": lambda f: f.crash(*f.readers("d0"), *f.readers("d1")),
    "domain": lambda f: f.crash(*[name for name in f.nodes if name.startswith("d0")]),
    "fleet": lambda f: f.crash(*f.nodes),
    "pause": pause_readers,
    "partition": partition,
    "cut-off": lambda f: partition(f, "d0"),
    "source-down": lambda f: f.set_source("down"),
    "source-stale": lambda f: f.set_source("stale"),
    "source-flapping": lambda f: f.set_source("flapping"),
    "source-silent": lambda f: setattr(f, "source", "silent"),
    "loss": lose_messages,
    "list": shrink_list,
    "invalid": lambda f: f.publish(make_document(2) + b"[broken\n"),
}


@pytest.mark.parametrize(
    ("first", "second"), list(combinations_with_replacement(FAULTS, 2))
)
def test_change_arrives_after_faults(first, second):
    fleet = Fleet(21, domains=3, per_domain=4)
    fleet.start()
    fleet.run(5, lambda: fleet.converged(1))
    fleet.run(2)
    for name in {first: None, second: None}:
        FAULTS[name](fleet)
    fleet.run(0.2)
    fleet.publish(make_document(3))
    fleet.run(FAULT_S)
    fleet.cuts.clear()
    fleet.source_cuts.clear()
    fleet.end_losses()
    fleet.start()
    fleet.publish_list()
    fleet.set_source("up")
    assert fleet.run(BOUND_S, lambda: fleet.converged(3)) < BOUND_S, fleet.explain()
