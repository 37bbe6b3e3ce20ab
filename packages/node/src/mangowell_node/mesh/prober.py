"""Asks the nodes beside a few workers for their load before a request is sent."""

import asyncio
import itertools
import random
from collections.abc import Callable
from time import monotonic

from mangowell_core.mesh import (
    Directory,
    Endpoint,
    MeshSettings,
    Placement,
    StoppingPeers,
    WorkerStates,
)
from mangowell_core.mesh.body_flow import (
    LARGE_BODY_BYTES,
    MAX_LARGE_REPLY_WAIT_S,
)
from mangowell_core.mesh.crossing import Spillover, Transfer
from mangowell_core.mesh.model import MeshDocument, ProbeNotice, ProbeReply
from mangowell_core.mesh.probing import (
    EXPLORATION,
    LOCAL_PROBES,
    MAX_REPLY_WAIT_S,
    MAX_REPLY_WAIT_WHEN_FREE_S,
    REMOTE_PROBES,
    ProbeResults,
    RemoteProbing,
)
from mangowell_core.policy.outcome import refuse
from mangowell_core.policy.types import Cause
from mangowell_node.exchange import AttemptError, RequestHead
from mangowell_node.link import LinkPool
from mangowell_node.link.connection import Link
from mangowell_node.mesh.notices import encode_notice
from mangowell_node.mesh.request_state import RequestState
from mangowell_node.mesh.runner import WorkerRunner


class _Round:
    """Probes of one request that are waiting for replies.

    Parameters
    ----------
    results : ProbeResults
        Receives the replies.
    route : str
        Name of the request's route.
    max_wait_s : float
        Longest time to wait for replies, in seconds.
    placement : Placement
        Learns from the replies.
    """

    __slots__ = (
        "_end",
        "_loop",
        "_timer",
        "placement",
        "results",
        "route",
        "unanswered",
    )

    def __init__(
        self,
        results: ProbeResults,
        route: str,
        max_wait_s: float,
        placement: Placement,
    ):
        self.placement = placement
        self._loop = asyncio.get_running_loop()
        self._end = self._loop.create_future()
        self._timer = self._loop.call_later(max_wait_s, self._finish)
        self.results = results
        self.route = route
        # Probed workers, their links and the times of the probes.
        self.unanswered: dict[int, tuple[Endpoint, Link, float]] = {}

    def update(self) -> None:
        """Adapt the wait to the replies that have arrived."""
        if not self.unanswered:
            self._finish()
        elif self.results.has_free_worker:
            self._timer.cancel()
            self._timer = self._loop.call_later(
                MAX_REPLY_WAIT_WHEN_FREE_S, self._finish
            )

    async def wait(self) -> None:
        """Wait until enough replies have arrived or the time for them is over."""
        try:
            await self._end
        finally:
            self._timer.cancel()

    def _finish(self) -> None:
        if not self._end.done():
            self._end.set_result(None)


class Prober:
    """Serves the platform: selects the worker of a request by probes.

    Parameters
    ----------
    settings : MeshSettings
        Settings of the local node.
    directory : Directory
        Listed workers.
    runner : WorkerRunner
        Predicts for the local worker.
    links : LinkPool
        Links to the other nodes.
    placement : Placement
        Predicts the cost of an attempt.
    worker_states : WorkerStates
        What the workers have stated in their answers.
    get_suspicion : callable
        See `Placement.select_worker`.
    rng : random.Random
        Source of random numbers.
    """

    def __init__(
        self,
        settings: MeshSettings,
        directory: Directory,
        runner: WorkerRunner,
        links: LinkPool,
        placement: Placement,
        worker_states: WorkerStates,
        get_suspicion: Callable[[str], bool | None],
        rng: random.Random,
    ):
        self._settings = settings
        self._directory = directory
        self._runner = runner
        self._links = links
        self._placement = placement
        self._worker_states = worker_states
        self._get_suspicion = get_suspicion
        self._rng = rng
        self._remote_probing = RemoteProbing(rng)
        self._spillover = Spillover(rng)
        # Document that the rates of cold workers are from, by service.
        self._document: MeshDocument | None = None
        self._warmup_rates: dict[str, float] = {}
        self.stopping_peers = StoppingPeers()
        self._numbers = itertools.count(1)
        self._rounds: dict[int, _Round] = {}
        links.on_round_trip = self._record_round_trip

    async def select_worker(self, state: RequestState) -> Endpoint | None:
        """Return the worker for the next attempt of a request.

        Returns
        -------
        Endpoint or None
            None if there is no eligible worker.

        Raises
        ------
        AttemptError
            If all workers that were asked would refuse the request.
        """
        transfer = self._make_transfer(state)
        costs = self._estimate_costs(state, state.excluded, transfer)
        likely = self._placement.select_cheapest(costs)
        if likely is None or self._is_free_here(state, likely):
            return likely
        results = ProbeResults()
        kept = self._spare_cold_workers(state, costs)
        local, remote = self._split_by_domain(kept)
        await self._run_round(state, results, self._sample(state, local, LOCAL_PROBES))
        if results.has_free_worker:
            self._spillover.record_free(state.service, transfer.urgency)
        else:
            sample = self._sample(state, remote, REMOTE_PROBES)
            await self._probe_remote(state, results, sample, transfer)
        _, selected = self._select_probed(state, results, transfer)
        if selected is not None:
            return selected
        if results.asked and results.are_all_refused:
            reason = f"{len(results.asked)} workers are full"
            refusal = refuse(
                Cause.OVERLOADED, reason, retry_after_s=results.shortest_retry_s
            )
            raise AttemptError(refusal)
        if results.asked and _has_large_body(state):
            # A link that is too full to answer in time takes no large body either.
            reason = f"no room for the body at {len(results.asked)} workers"
            refusal = refuse(
                Cause.OVERLOADED, reason, retry_after_s=MAX_LARGE_REPLY_WAIT_S
            )
            raise AttemptError(refusal)
        get_suspicion = self._make_suspicion(state)
        unasked = [
            pair
            for pair in costs
            if pair[1].id not in results.asked
            and get_suspicion(pair[1].host) is not None
        ]
        return self._placement.select_cheapest(unasked) or likely

    async def _probe_remote(
        self,
        state: RequestState,
        results: ProbeResults,
        sample: list[tuple[float, Endpoint]],
        transfer: Transfer,
    ) -> None:
        """Ask workers of other failure domains if one of them may be better."""
        route = state.route
        if not results.may_leave(
            self._placement,
            self._spillover,
            sample,
            route.name,
            route.objective_s,
            monotonic(),
            transfer,
        ):
            return
        if results.asked and not self._remote_probing.is_due(state.service):
            state.has_skipped_remote = True
            return
        await self._run_round(state, results, sample)
        _, selected = self._select_probed(state, results, transfer)
        was_useful = selected is not None and not self._is_local(selected)
        self._remote_probing.record(state.service, was_useful)

    def _spare_cold_workers(
        self, state: RequestState, costs: list[tuple[float, Endpoint]]
    ) -> list[tuple[float, Endpoint]]:
        """Return the candidates without the cold ones that are left out at random."""
        rate_per_s = self._get_warmup_rate(state.service)
        return self._placement.spare_cold_workers(costs, rate_per_s, monotonic())

    def _get_warmup_rate(self, service: str) -> float:
        """Return the requests per second that a cold worker takes; 0 for no limit."""
        document = self._directory.document
        if document is not self._document:
            self._document = document
            self._warmup_rates = {s.name: s.warmup_per_s for s in document.services}
        return self._warmup_rates.get(service, 0.0)

    def record_request(self, state: RequestState) -> None:
        """Record the size of a request that is to be sent."""
        size = _compute_size(state.head)
        self._placement.sizes.record_request(state.route.name, size)

    def _make_transfer(self, state: RequestState) -> Transfer:
        head = state.head
        return Transfer(state.route.priority, head.is_call, _compute_size(head))

    def _is_local(self, endpoint: Endpoint) -> bool:
        return endpoint.failure_domain == self._settings.failure_domain

    def _get_workers(self, service: str) -> list[Endpoint]:
        """Return the workers of a service that may get new requests.

        The list may still show a worker as ready that has stated that it leaves, such
        as while the store cannot be reached.
        """
        evacuated = self._directory.evacuated
        return [
            worker
            for worker in self._directory.look_up_service(service)
            if worker.failure_domain not in evacuated
            and not self._worker_states.get(worker).is_leaving
        ]

    def _split_by_domain(
        self, costs: list[tuple[float, Endpoint]]
    ) -> tuple[list[tuple[float, Endpoint]], list[tuple[float, Endpoint]]]:
        """Return the costs of workers of the local failure domain, and of others."""
        local, remote = [], []
        for pair in costs:
            (local if self._is_local(pair[1]) else remote).append(pair)
        return local, remote

    def _sample(
        self, state: RequestState, costs: list[tuple[float, Endpoint]], count: int
    ) -> list[tuple[float, Endpoint]]:
        return self._placement.sample_workers(
            costs, state.route.objective_s, count, EXPLORATION
        )

    def _select_probed(
        self, state: RequestState, results: ProbeResults, transfer: Transfer
    ) -> tuple[float, Endpoint | None]:
        route = state.route
        return results.select(
            self._placement, route.name, route.objective_s, monotonic(), transfer
        )

    def _estimate_costs(
        self, state: RequestState, excluded: set[str], transfer: Transfer
    ) -> list[tuple[float, Endpoint]]:
        return self._placement.estimate_costs(
            self._get_workers(state.service),
            state.route.name,
            state.route.objective_s,
            excluded,
            monotonic(),
            self._make_suspicion(state),
            transfer,
        )

    def _make_suspicion(self, state: RequestState) -> Callable[[str], bool | None]:
        """Return a function as `get_suspicion`, for the deadline of a request."""
        if not self.stopping_peers:
            return self._get_suspicion
        now = monotonic()

        def get_suspicion(host: str) -> bool | None:
            if self._stops_too_soon(host, state, now):
                return None
            return self._get_suspicion(host)

        return get_suspicion

    def _stops_too_soon(self, host: str, state: RequestState, now: float) -> bool:
        return not self.stopping_peers.may_finish(host, state.deadline, now)

    def _is_free_here(self, state: RequestState, endpoint: Endpoint) -> bool:
        """Return whether the worker is the local one and starts the request at once."""
        if endpoint.host != self._settings.worker.host:
            return False
        reply = self._runner.predict(self._make_probe(state, endpoint))
        return reply.accepted and not reply.delay_s

    def _make_probe(self, state: RequestState, endpoint: Endpoint) -> ProbeNotice:
        route = state.route
        return ProbeNotice(
            next(self._numbers),
            endpoint.id,
            route.name,
            state.head.priority,
            route.objective_s,
            state.deadline - monotonic(),
            state.head.is_call,
            self._worker_states.get(endpoint).rate_limit,
            len(state.head.body) if _has_large_body(state) else 0,
        )

    async def _run_round(
        self,
        state: RequestState,
        results: ProbeResults,
        sample: list[tuple[float, Endpoint]],
    ) -> None:
        """Ask the workers of a sample and wait for their replies."""
        is_large = _has_large_body(state)
        max_wait_s = MAX_LARGE_REPLY_WAIT_S if is_large else MAX_REPLY_WAIT_S
        pending = _Round(results, state.route.name, max_wait_s, self._placement)
        for _, endpoint in sample:
            self._send_probe(state, endpoint, pending)
        pending.update()
        try:
            await pending.wait()
        finally:
            for number, (_, link, _) in pending.unanswered.items():
                self._rounds.pop(number, None)
                self._check_link(link)

    def _check_link(self, link: Link) -> None:
        """Check a link on which a reply is missing."""
        link.check_alive()

    def _send_probe(
        self, state: RequestState, endpoint: Endpoint, pending: _Round
    ) -> None:
        probe = self._make_probe(state, endpoint)
        if endpoint.host == self._settings.worker.host:
            pending.results.start_probe(endpoint)
            self._record_reply(pending, endpoint, self._runner.predict(probe))
            return
        link = self._links.get_link(endpoint.host, self._settings.link.port)
        if link is None or not link.is_usable:
            return
        pending.results.start_probe(endpoint)
        pending.unanswered[probe.probe] = endpoint, link, monotonic()
        self._rounds[probe.probe] = pending
        link.send_notice(encode_notice(probe), "probes")

    def _record_reply(
        self, pending: _Round, endpoint: Endpoint, reply: ProbeReply
    ) -> None:
        in_flight = pending.placement.count_in_flight(endpoint)
        pending.results.record_reply(endpoint, reply, in_flight)

    def _record_round_trip(self, link: Link, seconds: float) -> None:
        now = monotonic()
        for endpoint in self._directory.look_up_host(link.address[0]):
            domain = endpoint.failure_domain
            self._placement.round_trips.record(domain, seconds, now)

    def answer_probe(self, link: Link, probe: ProbeNotice) -> None:
        """Answer the probe of another node."""
        reply = self._runner.predict_remote(probe)
        link.send_notice(encode_notice(reply), "probes")

    def record_reply(self, reply: ProbeReply) -> None:
        """Record the reply to a probe; one that comes too late is ignored."""
        pending = self._rounds.pop(reply.probe, None)
        if pending is None:
            return
        endpoint, _, sent_at = pending.unanswered.pop(reply.probe)
        now = monotonic()
        placement = pending.placement
        placement.round_trips.record(endpoint.failure_domain, now - sent_at, now)
        self._record_reply(pending, endpoint, reply)
        placement.record_reply(endpoint, pending.route, reply, now)
        pending.update()


def _has_large_body(state: RequestState) -> bool:
    """Return whether the body occupies the link of a machine for long."""
    return len(state.head.body) >= LARGE_BODY_BYTES


def _compute_size(head: RequestHead) -> int:
    """Return the bytes of a request, as far as they are known."""
    return len(head.headers) + max(len(head.body), head.length)
