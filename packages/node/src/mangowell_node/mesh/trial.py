"""Decisions on requests that are not sent, for operators.

A trial runs the decisions of the request path on copies of their state, so that it
neither changes them nor needs a second version of them. What it shares with requests
that are sent is no state of a decision: the numbers of probes, and the bytes on links.
"""

import os
import random
from collections.abc import Callable
from time import monotonic

import msgspec
from multidict import CIMultiDict, CIMultiDictProxy

from mangowell_core.events import Event
from mangowell_core.mesh import Endpoint, Placement
from mangowell_core.mesh.explanation import RecordedProbes, copy_decisions
from mangowell_core.mesh.model import ProbeNotice
from mangowell_core.mesh.probing import ProbeResults
from mangowell_node.link.connection import Link
from mangowell_node.mesh.prober import Prober
from mangowell_node.mesh.request_state import RequestState


def ignore_event(event: Event) -> None:
    """Do nothing; a request that is not sent causes no event."""


class BoundRandom(random.Random):
    """Returns a bound of each range instead of a random number.

    Parameters
    ----------
    bound : callable
        `min` or `max`.
    """

    def __init__(self, bound: Callable[[float, float], float]):
        super().__init__(0)
        self._bound = bound

    def uniform(self, a: float, b: float) -> float:
        """Return a bound of the range."""
        return self._bound(a, b)


class _SizedBody(bytes):
    """Body of which only the size is known.

    It has some random bytes, so that it is not taken for a request that has crashed
    workers.

    Parameters
    ----------
    size : int
        Size, in bytes.
    """

    def __new__(cls, size: int):
        body = super().__new__(cls, os.urandom(16))
        body._size = size
        return body

    def __len__(self) -> int:
        return self._size


class TrialCall:
    """Request that no caller has sent; see `IncomingCall` for the attributes.

    Parameters
    ----------
    method, target, host : str
        Method, path with the query, and host of the request.
    body_bytes : int
        Size of its body.
    """

    is_body_complete = True

    def __init__(self, method: str, target: str, host: str, body_bytes: int = 0):
        self.method = method
        self.target = target
        self.host = host
        self.body_bytes = body_bytes
        fields = {"Host": host}
        if body_bytes:
            fields["Content-Length"] = str(body_bytes)
        self.headers = CIMultiDictProxy(CIMultiDict(fields))
        self.raw_headers = tuple(
            (name.encode(), value.encode()) for name, value in fields.items()
        )
        self.arrived_at = monotonic()
        self._body = _SizedBody(body_bytes) if body_bytes else b""

    def get_complete_body(self) -> bytes:
        """Return a body that only tells its size."""
        return self._body


class TrialProber(Prober):
    """Selects the worker of a request that is not sent, and records how.

    Parameters
    ----------
    prober : Prober
        Prober of the requests that are sent; its state stays as it is.
    placement : Placement
        Copy of the placement.
    rng : random.Random
        Source of random numbers of all copies.

    Attributes
    ----------
    asked : set of str
        Ids of the workers that were asked to select one of them.
    spared : set of str
        Ids of the cold workers that were left out at random.
    """

    def __init__(self, prober: Prober, placement: Placement, rng: random.Random):
        self.__dict__.update(vars(prober))
        self._placement = placement
        self._remote_probing, self._spillover = copy_decisions(
            (prober._remote_probing, prober._spillover), prober._rng, rng
        )
        self._rng = rng
        self.asked: set[str] = set()
        self.spared: set[str] = set()

    def estimate_costs(self, state: RequestState) -> list[tuple[float, Endpoint]]:
        """Return the candidates of a request with their costs, in seconds."""
        transfer = self._make_transfer(state)
        return self._estimate_costs(state, state.excluded, transfer)

    def estimate_leaving_cost(self, state: RequestState, endpoint: Endpoint) -> float:
        """Return the cost of the failure domain of a worker, in seconds."""
        cost = self._placement.estimate_transfer_cost(
            endpoint.failure_domain, state.route.name, self._make_transfer(state)
        )
        return cost * state.route.objective_s

    async def ask_all(
        self, state: RequestState, costs: list[tuple[float, Endpoint]]
    ) -> RecordedProbes:
        """Return the replies of all candidates."""
        results = RecordedProbes()
        asked = set(self.asked)
        await self._run_round(state, results, costs)
        self.asked = asked
        return results

    def is_suspect(self, state: RequestState, host: str) -> bool | None:
        """Return what `Placement.select_worker` gets for a host."""
        return self._make_suspicion(state)(host)

    def stops_too_soon(self, state: RequestState, host: str) -> bool:
        """Return whether the node at a host stops before a request ends."""
        return self._stops_too_soon(host, state, monotonic())

    def _spare_cold_workers(
        self, state: RequestState, costs: list[tuple[float, Endpoint]]
    ) -> list[tuple[float, Endpoint]]:
        kept = super()._spare_cold_workers(state, costs)
        kept_ids = {endpoint.id for _, endpoint in kept}
        self.spared = {endpoint.id for _, endpoint in costs} - kept_ids
        return kept

    async def _run_round(
        self,
        state: RequestState,
        results: ProbeResults,
        sample: list[tuple[float, Endpoint]],
    ) -> None:
        await super()._run_round(state, results, sample)
        self.asked |= results.asked

    def _make_probe(self, state: RequestState, endpoint: Endpoint) -> ProbeNotice:
        probe = super()._make_probe(state, endpoint)
        return msgspec.structs.replace(probe, is_trial=True)

    def _check_link(self, link: Link) -> None:
        """Leave the link alone, whose state other requests depend on."""
