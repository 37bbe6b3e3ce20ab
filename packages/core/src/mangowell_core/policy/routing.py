"""Routing: matches a request to a route and selects an instance per attempt."""

from mangowell_core.events import Event, EventCode
from mangowell_core.model import Instance, Route, Service, Snapshot
from mangowell_core.policy.outcome import refuse
from mangowell_core.policy.outliers import (
    EVIDENCE_MAX_AGE_S,
    PROBE_INTERVAL_S,
    DomainEvidence,
    InstanceEvidence,
)
from mangowell_core.policy.routes import RouteTable
from mangowell_core.policy.types import AttemptResult, Cause, Refusal

MAX_EJECTED_SHARE = 0.5  # of the instances of a service
PANIC_SHARE = 0.5  # with a smaller share of usable instances, reports are ignored
SPILL_MIN_LOAD = 0.8  # load of the local failure domain above which calls leave it
SPILL_MAX_LOAD = 1.1  # load at which no call stays; at 1.0, a third still stays
SPILL_MARGIN = 0.1  # by which the load of other domains must be lower
# The usable instances of a domain can carry this multiple of their share of its calls.
OVERPROVISIONING_FACTOR = 1.4
MIN_RAMP_SHARE = 0.1  # probability of being a candidate when a slow start begins
MIN_LATENCY_FACTOR, MAX_LATENCY_FACTOR = 0.5, 4.0
SERVICE_AVERAGE_WEIGHT = 0.02
MAX_CANDIDATES = 16  # per selection and locality; two of them are compared


class _ServiceState:
    """Instances of one service, local and remote, with averages over the service."""

    __slots__ = (
        "ejected",
        "failure_share",
        "is_in_panic_mode",
        "local",
        "mean_latency_s",
        "members",
        "remote",
        "reported_down",
    )

    def __init__(self):
        self.members: tuple[Instance, ...] = ()
        self.local: tuple[Instance, ...] = ()
        self.remote: tuple[Instance, ...] = ()
        self.ejected: set[str] = set()
        self.reported_down: set[str] = set()
        self.is_in_panic_mode = False
        self.failure_share = 0.0
        self.mean_latency_s = 0.0


class RoutingController:
    """Matches requests to routes and selects instances by observed results.

    Parameters
    ----------
    board : TrafficBoard
        Shared state; this class writes `ejected`.
    local_instance, local_domain : str
        Name and failure domain of the instance beside this node.
    rng : random.Random
        Source of the random choices between instances and domains.
    emit : callable
        Called with each `Event`.
    """

    __slots__ = (
        "_board",
        "_domain_evidence",
        "_domain_sizes",
        "_emit",
        "_evidence",
        "_is_first_snapshot",
        "_local_domain",
        "_local_instance",
        "_rng",
        "_routes",
        "_services",
        "_table",
        "_unreachable_domains",
    )

    def __init__(self, board, local_instance: str, local_domain: str, rng, emit):
        self._board = board
        self._local_instance = local_instance
        self._local_domain = local_domain
        self._rng = rng
        self._emit = emit
        self._table = RouteTable()
        self._routes: dict[str, Route] | None = None
        self._services: dict[str, _ServiceState] = {}
        self._evidence: dict[str, InstanceEvidence] = {}
        self._domain_evidence: dict[str, DomainEvidence] = {}
        self._domain_sizes: dict[str, int] = {}
        self._unreachable_domains: set[str] = set()
        self._is_first_snapshot = True

    def apply(self, snapshot: Snapshot, now: float) -> None:
        """Apply a new snapshot; unchanged parts are not rebuilt."""
        routes = snapshot.document.routes
        if routes is not self._routes:
            self._table = RouteTable(routes.values())
            self._routes = routes
        # Instances of the first snapshot count as warm: that this node has just
        # started does not mean that they have.
        ramp_started_at = float("-inf") if self._is_first_snapshot else now
        self._is_first_snapshot = False
        evidence, services = self._evidence, self._services
        has_changed = False
        for name, members in snapshot.instances.items():
            state = services.get(name)
            if state is None:
                state = services[name] = _ServiceState()
            if state.members is members:
                continue
            has_changed = True
            state.members = members
            local_domain = self._local_domain
            state.local = tuple(m for m in members if m.failure_domain == local_domain)
            state.remote = tuple(m for m in members if m.failure_domain != local_domain)
            names = {m.name for m in members}
            state.ejected &= names
            state.reported_down &= names
            for instance in names:
                if instance not in evidence:
                    evidence[instance] = InstanceEvidence(ramp_started_at)
            self._update_panic_mode(state)
        for name in services.keys() - snapshot.instances.keys():
            del services[name]
            has_changed = True
        if has_changed:
            self._remove_departed(snapshot)

    def _remove_departed(self, snapshot: Snapshot) -> None:
        """Drop the evidence on instances and domains that are no longer listed."""
        listed: set[str] = set()
        sizes: dict[str, int] = {}
        for members in snapshot.instances.values():
            for item in members:
                listed.add(item.name)
                sizes[item.failure_domain] = sizes.get(item.failure_domain, 0) + 1
        for name in self._evidence.keys() - listed:
            del self._evidence[name]
        for name in self._domain_evidence.keys() - sizes.keys():
            del self._domain_evidence[name]
        self._board.ejected &= listed
        self._domain_sizes = sizes
        self._unreachable_domains &= sizes.keys()

    def look_up_route(self, method: str, path: str) -> Route | None:
        """Return the route of a request, or None."""
        return self._table.look_up(method, path)

    def select_instance(
        self, service: Service, excluded, idempotent: bool, now: float
    ) -> Instance | Refusal:
        """Select an instance for the next attempt.

        Available instances of the local failure domain are preferred, then those
        of other domains. Degraded instances come next and unavailable ones last.
        An instance that leaves is never selected.

        Parameters
        ----------
        service : Service
            Service that the call goes to.
        excluded : collection of str
            Names of the instances that must not be selected again.
        idempotent : bool
            Whether the call is idempotent. Only an idempotent call may be used as
            a trial call.
        now : float
            Monotonic time in seconds.
        """
        state = self._services.get(service.name)
        if state is None or not state.members:
            return refuse(Cause.NO_INSTANCE, f"no instance of {service.name}")
        if (
            idempotent
            and not excluded
            and (state.reported_down or self._unreachable_domains)
        ):
            probe = self._select_probe(state, now)
            if probe is not None:
                return probe
        local, degraded, unavailable, load = self._classify_members(
            state, state.local, service, excluded, now
        )
        health = 0.0
        if local:
            health = len(local) / (len(local) + len(degraded) + len(unavailable))
            if load <= SPILL_MIN_LOAD and health * OVERPROVISIONING_FACTOR >= 1.0:
                return self._select_less_loaded(local, state, service, now)
        remote, remote_degraded, remote_unavailable, remote_load = (
            self._classify_members(state, state.remote, service, excluded, now)
        )
        if local and remote and self._should_stay_local(load, remote_load, health):
            return self._select_less_loaded(local, state, service, now)
        for candidates in (
            remote,
            local,
            degraded,
            remote_degraded,
            unavailable,
            remote_unavailable,
        ):
            if candidates:
                return self._select_less_loaded(candidates, state, service, now)
        return refuse(
            Cause.NO_INSTANCE, f"no usable instance of {service.name} is left"
        )

    def _should_stay_local(
        self, load: float, remote_load: float, health: float
    ) -> bool:
        """Return whether a call stays in the local domain, decided at random."""
        share = min(1.0, health * OVERPROVISIONING_FACTOR)
        if load > SPILL_MIN_LOAD and remote_load < load - SPILL_MARGIN:
            share = min(
                share, (SPILL_MAX_LOAD - load) / (SPILL_MAX_LOAD - SPILL_MIN_LOAD)
            )
        return self._rng.random() < share

    def _classify_members(self, state, members, service, excluded, now):
        """Split members into available, degraded and unavailable instances.

        Degraded instances are overloaded, reported unhealthy, or passed over by
        chance during their slow start. Unavailable instances are ejected or in an
        unreachable failure domain. The fourth value is the mean load of the
        available and degraded instances.
        """
        available: list[Instance] = []
        degraded: list[Instance] = []
        unavailable: list[Instance] = []
        load = 0.0
        leaving, unreachable = self._board.leaving, self._unreachable_domains
        slow_start_s = service.slow_start_s
        if len(members) > MAX_CANDIDATES:
            members = self._rng.sample(members, MAX_CANDIDATES)
        for item in members:
            name = item.name
            if name in leaving or name in excluded:
                continue
            observed = self._evidence[name]
            if observed.ejected_until:
                if now < observed.ejected_until:
                    unavailable.append(item)
                    continue
                self._restore(name, observed, state, now)
            if item.failure_domain in unreachable:
                unavailable.append(item)
                continue
            if (
                now < observed.overloaded_until
                or observed.in_flight >= service.connections
            ):
                degraded.append(item)
                load += 1.0
                continue
            if (
                name in state.reported_down
                and not state.is_in_panic_mode
                and observed.is_presumed_unhealthy(now)
            ):
                degraded.append(item)
                continue
            # A new instance is a candidate in a growing share of the selections.
            # Scaling its load instead would starve it at low load.
            age_s = now - observed.ramp_started_at
            if age_s < slow_start_s and (
                self._rng.random() > max(MIN_RAMP_SHARE, age_s / slow_start_s)
            ):
                degraded.append(item)
                continue
            available.append(item)
            load += observed.estimate_load(now)
        usable_count = len(available) + len(degraded)
        return (
            available,
            degraded,
            unavailable,
            load / usable_count if usable_count else 0.0,
        )

    def _select_less_loaded(self, candidates, state, service, now) -> Instance:
        """Return the one with the lower cost of two random candidates."""
        size = len(candidates)
        if size == 1:
            return candidates[0]
        random = self._rng.random
        i = int(random() * size)
        j = int(random() * (size - 1))
        if j >= i:
            j += 1
        first, second = candidates[i], candidates[j]
        if self._estimate_cost(second, state, service, now) < self._estimate_cost(
            first, state, service, now
        ):
            return second
        return first

    def _estimate_cost(self, item: Instance, state, service, now: float) -> float:
        """Return the expected cost of a call, from queue length and latency."""
        observed = self._evidence[item.name]
        cost = observed.in_flight + 1.0 + service.slots * observed.estimate_load(now)
        if (
            now - observed.latency_updated_at <= EVIDENCE_MAX_AGE_S
            and state.mean_latency_s > 0.0
        ):
            factor = observed.latency_s / state.mean_latency_s
            cost *= min(MAX_LATENCY_FACTOR, max(MIN_LATENCY_FACTOR, factor))
        return cost

    def _select_probe(self, state, now: float) -> Instance | None:
        """Return an instance that is due for a trial call, or None."""
        for item in state.members:
            name = item.name
            if name in self._board.leaving:
                continue
            if item.failure_domain in self._unreachable_domains:
                domain = self._domain_evidence[item.failure_domain]
                if now >= domain.next_probe:
                    domain.next_probe = now + PROBE_INTERVAL_S
                    return item
            elif name in state.reported_down:
                observed = self._evidence[name]
                if now >= max(observed.next_probe, observed.ejected_until) and (
                    observed.is_presumed_unhealthy(now)
                ):
                    observed.next_probe = now + PROBE_INTERVAL_S
                    return item
        return None

    def record_start(self, instance: str) -> None:
        """Record the start of an attempt."""
        observed = self._evidence.get(instance)
        if observed is not None:
            observed.in_flight += 1

    def record_end(
        self, service: str, instance: Instance, result: AttemptResult, now: float
    ) -> None:
        """Record the end of an attempt; eject an instance that fails too often."""
        observed = self._evidence.get(instance.name)
        if observed is None:
            return
        if observed.in_flight > 0:
            observed.in_flight -= 1
        self._record_domain_result(instance, result.cause, now)
        points = observed.record_result(result, now)
        state = self._services.get(service)
        if points is None or state is None:
            return
        failed = 1.0 if points else 0.0
        state.failure_share += SERVICE_AVERAGE_WEIGHT * (failed - state.failure_share)
        if not points:
            if state.mean_latency_s <= 0.0:
                state.mean_latency_s = result.latency_s
            state.mean_latency_s += SERVICE_AVERAGE_WEIGHT * (
                result.latency_s - state.mean_latency_s
            )
        elif not observed.ejected_until and observed.should_eject(state.failure_share):
            self._eject(instance, observed, state, result, now)

    def _record_domain_result(
        self, instance: Instance, cause: Cause, now: float
    ) -> None:
        """Record whether a remote failure domain was reachable."""
        name = instance.failure_domain
        if name == self._local_domain:
            return
        domain = self._domain_evidence.get(name)
        if domain is None:
            domain = self._domain_evidence[name] = DomainEvidence()
        domain.record_result(instance.name, cause, self._domain_sizes.get(name, 1), now)
        if domain.is_unreachable:
            self._unreachable_domains.add(name)
        else:
            self._unreachable_domains.discard(name)

    def _eject(self, instance, observed, state, result, now: float) -> None:
        """Eject an instance unless too much of its service is ejected already."""
        serving = [m for m in state.members if m.name not in self._board.leaving]
        if len(state.ejected) + 1 > len(serving) * MAX_EJECTED_SHARE:
            return
        time_s = observed.eject(now)
        state.ejected.add(instance.name)
        self._board.ejected.add(instance.name)
        self._update_panic_mode(state)
        self._emit(
            Event(
                EventCode.BACKEND_EJECTED,
                {
                    "backend": instance.name,
                    "reason": result.cause.value,
                    "for_s": time_s,
                },
            )
        )

    def _restore(self, name: str, observed, state, now: float) -> None:
        """Return an instance to service after its ejection."""
        observed.restore(now)
        state.ejected.discard(name)
        self._board.ejected.discard(name)
        self._update_panic_mode(state)
        self._emit(Event(EventCode.BACKEND_RETURNED, {"backend": name}))

    def _update_panic_mode(self, state) -> None:
        """Ignore health reports while too few instances of a service are usable."""
        down = len(state.reported_down | state.ejected)
        usable = len(state.members) - down
        state.is_in_panic_mode = (
            bool(down) and usable < len(state.members) * PANIC_SHARE
        )

    def report(self, instance: str, healthy: bool, load: float, now: float) -> None:
        """Record the state that a health or load endpoint reports.

        Parameters
        ----------
        instance : str
            Name of the instance.
        healthy : bool
            Whether the health endpoint reports it as healthy.
        load : float
            Load from 0 to 1; negative if unknown.
        now : float
            Monotonic time in seconds.
        """
        observed = self._evidence.get(instance)
        if observed is None:
            return
        if load >= 0.0:
            observed.reported_load = min(load, 1.0)
            observed.reported_load_updated_at = now
        if observed.reported_healthy == healthy:
            return
        observed.reported_healthy = healthy
        for state in self._services.values():
            if any(m.name == instance for m in state.members):
                if healthy:
                    state.reported_down.discard(instance)
                else:
                    state.reported_down.add(instance)
                self._update_panic_mode(state)
        code = EventCode.BACKEND_UP if healthy else EventCode.BACKEND_DOWN
        self._emit(Event(code, {"backend": instance, "reason": "health endpoint"}))
