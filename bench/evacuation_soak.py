"""Evacuations of failure domains in series: ``python -m bench.evacuation_soak``.

As in `bench.stop_soak`, the seed alone determines the schedule. Besides its stops and
changes, operators order failure domains to be evacuated and take them back.
"""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from time import monotonic
from typing import NamedTuple

from bench.stop_soak import SERIES, StopSoak, run_command, run_stop_soak
from bench.stop_soak_checks import Problem
from bench.stop_soak_traffic import Journal

# Bound of the platform, and time for which a domain stays evacuated, in seconds.
EVACUATE_S = 2.5
EVACUATED_S = 6.0
DOMAINS = ("z0", "z1", "z2")


class Evacuation(NamedTuple):
    """Time in which a failure domain is to get nothing new."""

    domain: str
    since: float
    until: float


@dataclass(slots=True)
class EvacuationJournal(Journal):
    """Record of a soak with evacuations."""

    evacuations: list[Evacuation] = field(default_factory=list)
    domains: dict[int, str] = field(default_factory=dict)  # by node


class EvacuationSoak(StopSoak):
    """Runs one schedule with evacuations."""

    series = SERIES + ("evacuate",) * 8
    journal_type = EvacuationJournal

    def __init__(self, seed: int, seconds: float, count: int):
        super().__init__(seed, seconds, count)
        self._evacuated = ""

    @property
    def bounds(self) -> dict[str, str]:
        """Bounds of the platform, with that of evacuations."""
        return super().bounds | {"bounds.evacuate": f"{EVACUATE_S}s"}

    async def _evacuate(self, number: int, value: float) -> None:
        """Evacuate a domain, one at a time, and take it back."""
        if self._evacuated:
            return
        self._evacuated = domain = DOMAINS[number % len(DOMAINS)]
        for name, node in self._nodes.items():
            self.journal.domains[name] = node.fields["zone"]
        self._store.put(f"op/evacuate/{domain}", b"{}")
        since = monotonic()
        self._record(0, f"evacuation of {domain}")
        await asyncio.sleep(EVACUATED_S)
        self.journal.evacuations.append(Evacuation(domain, since, monotonic()))
        self._store.delete(f"op/evacuate/{domain}")
        self._record(0, f"evacuation of {domain} ends")
        self._evacuated = ""


def find_late_arrivals(journal: EvacuationJournal) -> Iterator[Problem]:
    """Return the requests that have reached workers of evacuated domains."""
    for request in journal.requests:
        for run in journal.runs.get(request.id, ()):
            for evacuation in journal.evacuations:
                late_s = run.started_at - evacuation.since
                is_there = journal.domains.get(run.node) == evacuation.domain
                if (
                    is_there
                    and late_s > EVACUATE_S
                    and (run.started_at < evacuation.until)
                ):
                    text = f"{late_s:.2f} s after the order for {evacuation.domain}"
                    yield Problem("EVACUATION", text, request)


run_evacuation_soak = partial(
    run_stop_soak,
    soak_type=EvacuationSoak,
    find_more_problems=lambda journal: list(find_late_arrivals(journal)),
)

if __name__ == "__main__":
    run_command("bench.evacuation_soak", run_evacuation_soak)
