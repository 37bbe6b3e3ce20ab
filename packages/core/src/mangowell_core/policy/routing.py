"""Choice of the instance for an attempt."""

from mangowell_core.events import Event, EventCode
from mangowell_core.model import Instance, Route, Service, Snapshot
from mangowell_core.policy.outcome import refuse
from mangowell_core.policy.outliers import (
    EVIDENCE_S,
    PROBE_INTERVAL_S,
    DomainEvidence,
    InstanceEvidence,
)
from mangowell_core.policy.routes import RouteTable
from mangowell_core.policy.types import AttemptResult, Cause, Refusal

EJECTED_SHARE_LIMIT = 0.5  # of a service's instances
PANIC_SHARE = 0.5  # with fewer instances reported healthy, reports are ignored
SPILL_LOAD = 0.8  # load of the own failure domain above which calls leave it
SPILL_ALL_LOAD = 1.1  # at full load (1.0) a third of the calls still stays
SPILL_MARGIN = 0.1  # others must be less loaded by this much
HEALTHY_MARGIN = 1.4  # the rest of a domain carries this multiple of its share
MIN_RAMP = 0.1  # share of a new instance at the start of its slow start
LATENCY_FACTOR_MIN, LATENCY_FACTOR_MAX = 0.5, 4.0
TYPICAL_WEIGHT = 0.02
SAMPLE = 16  # instances looked at for one choice; two of them are compared


class _ServiceState:
    """Members of one service, split by failure domain, and typical values."""

    __slots__ = (
        "ejected",
        "failure_share",
        "members",
        "other",
        "own",
        "panic",
        "reported_down",
        "typical_s",
    )

    def __init__(self):
        self.members: tuple[Instance, ...] = ()
        self.own: tuple[Instance, ...] = ()
        self.other: tuple[Instance, ...] = ()
        self.ejected: set[str] = set()
        self.reported_down: set[str] = set()
        self.panic = False
        self.failure_share = 0.0
        self.typical_s = 0.0


class RoutingController:
    """Matches routes and picks instances by own evidence.

    Parameters
    ----------
    board : TrafficBoard
        Writes `ejected`; reads `leaving`.
    own, own_domain : str
        Name and failure domain of the own instance.
    rng : random.Random
    emit : callable
        Takes an `Event`.
    """

    __slots__ = (
        "_board",
        "_cut_domains",
        "_domain_sizes",
        "_domains",
        "_emit",
        "_evidence",
        "_is_first",
        "_own",
        "_own_domain",
        "_rng",
        "_routes",
        "_services",
        "_table",
    )

    def __init__(self, board, own: str, own_domain: str, rng, emit):
        self._board = board
        self._own = own
        self._own_domain = own_domain
        self._rng = rng
        self._emit = emit
        self._table = RouteTable()
        self._routes: dict[str, Route] | None = None
        self._services: dict[str, _ServiceState] = {}
        self._evidence: dict[str, InstanceEvidence] = {}
        self._domains: dict[str, DomainEvidence] = {}
        self._domain_sizes: dict[str, int] = {}
        self._cut_domains: set[str] = set()
        self._is_first = True

    def apply(self, snapshot: Snapshot, now: float) -> None:
        """Take a new snapshot; parts that have not changed are not rebuilt."""
        routes = snapshot.document.routes
        if routes is not self._routes:
            self._table = RouteTable(routes.values())
            self._routes = routes
        # Instances of the first snapshot count as warm: when this node has
        # just started, nothing says that they have too.
        ramp_from = float("-inf") if self._is_first else now
        self._is_first = False
        evidence, services = self._evidence, self._services
        changed = False
        for name, members in snapshot.instances.items():
            state = services.get(name)
            if state is None:
                state = services[name] = _ServiceState()
            if state.members is members:
                continue
            changed = True
            state.members = members
            own_domain = self._own_domain
            state.own = tuple(m for m in members if m.failure_domain == own_domain)
            state.other = tuple(m for m in members if m.failure_domain != own_domain)
            names = {m.name for m in members}
            state.ejected &= names
            state.reported_down &= names
            for instance in names:
                if instance not in evidence:
                    evidence[instance] = InstanceEvidence(ramp_from)
            self._find_panic(state)
        for name in services.keys() - snapshot.instances.keys():
            del services[name]
            changed = True
        if changed:
            self._forget_gone(snapshot)

    def _forget_gone(self, snapshot: Snapshot) -> None:
        known: set[str] = set()
        sizes: dict[str, int] = {}
        for members in snapshot.instances.values():
            for item in members:
                known.add(item.name)
                sizes[item.failure_domain] = sizes.get(item.failure_domain, 0) + 1
        for name in self._evidence.keys() - known:
            del self._evidence[name]
        for name in self._domains.keys() - sizes.keys():
            del self._domains[name]
        self._board.ejected &= known
        self._domain_sizes = sizes
        self._cut_domains &= sizes.keys()

    def find_route(self, method: str, path: str) -> Route | None:
        """Return the route of a request."""
        return self._table.find(method, path)

    def pick(
        self, service: Service, excluded, idempotent: bool, now: float
    ) -> Instance | Refusal:
        """Choose an instance for the next attempt.

        Own failure domain first, then the others, then instances that are
        full or doubted, then ejected ones; never one that leaves.
        """
        state = self._services.get(service.name)
        if state is None or not state.members:
            return refuse(Cause.NO_INSTANCE, f"no instance of {service.name}")
        if idempotent and not excluded and (state.reported_down or self._cut_domains):
            probe = self._find_probe(state, now)
            if probe is not None:
                return probe
        own, spare, rest, load = self._sort_out(
            state, state.own, service, excluded, now
        )
        health = 0.0
        if own:
            health = len(own) / (len(own) + len(spare) + len(rest))
            if load <= SPILL_LOAD and health * HEALTHY_MARGIN >= 1.0:
                return self._choose(own, state, service, now)
        other, other_spare, other_rest, other_load = self._sort_out(
            state, state.other, service, excluded, now
        )
        if own and other and self._stays(load, other_load, health):
            return self._choose(own, state, service, now)
        for group in (other, own, spare, other_spare, rest, other_rest):
            if group:
                return self._choose(group, state, service, now)
        return refuse(
            Cause.NO_INSTANCE, f"no usable instance of {service.name} is left"
        )

    def _stays(self, load: float, other_load: float, health: float) -> bool:
        """Decide by chance whether a call stays in the own failure domain."""
        share = min(1.0, health * HEALTHY_MARGIN)
        if load > SPILL_LOAD and other_load < load - SPILL_MARGIN:
            share = min(share, (SPILL_ALL_LOAD - load) / (SPILL_ALL_LOAD - SPILL_LOAD))
        return self._rng.random() < share

    def _sort_out(self, state, members, service, excluded, now):
        """Split members into good, full or doubted, and ejected; with mean load."""
        good: list[Instance] = []
        spare: list[Instance] = []
        rest: list[Instance] = []
        load = 0.0
        leaving, cut = self._board.leaving, self._cut_domains
        slow_start_s = service.slow_start_s
        if len(members) > SAMPLE:
            members = self._rng.sample(members, SAMPLE)
        for item in members:
            name = item.name
            if name in leaving or name in excluded:
                continue
            seen = self._evidence[name]
            if seen.ejected_until:
                if now < seen.ejected_until:
                    rest.append(item)
                    continue
                self._return(name, seen, state, now)
            if item.failure_domain in cut:
                rest.append(item)
                continue
            if now < seen.full_until or seen.in_flight >= service.connections:
                spare.append(item)
                load += 1.0
                continue
            if name in state.reported_down and not state.panic and seen.is_doubted(now):
                spare.append(item)
                continue
            # A new instance takes part in a growing share of the choices.
            # Weighting its load instead would starve it at low load.
            age_s = now - seen.ramp_from
            if age_s < slow_start_s and (
                self._rng.random() > max(MIN_RAMP, age_s / slow_start_s)
            ):
                spare.append(item)
                continue
            good.append(item)
            load += seen.find_load(now)
        counted = len(good) + len(spare)
        return good, spare, rest, load / counted if counted else 0.0

    def _choose(self, group, state, service, now) -> Instance:
        """Take the less loaded of two random members."""
        size = len(group)
        if size == 1:
            return group[0]
        random = self._rng.random
        i = int(random() * size)
        j = int(random() * (size - 1))
        if j >= i:
            j += 1
        one, two = group[i], group[j]
        if self._weigh(two, state, service, now) < self._weigh(
            one, state, service, now
        ):
            return two
        return one

    def _weigh(self, item: Instance, state, service, now: float) -> float:
        seen = self._evidence[item.name]
        cost = seen.in_flight + 1.0 + service.slots * seen.find_load(now)
        if now - seen.latency_at <= EVIDENCE_S and state.typical_s > 0.0:
            factor = seen.latency_s / state.typical_s
            cost *= min(LATENCY_FACTOR_MAX, max(LATENCY_FACTOR_MIN, factor))
        return cost

    def _find_probe(self, state, now: float) -> Instance | None:
        """Return an instance that is due for a trial call."""
        for item in state.members:
            name = item.name
            if name in self._board.leaving:
                continue
            if item.failure_domain in self._cut_domains:
                domain = self._domains[item.failure_domain]
                if now >= domain.next_probe:
                    domain.next_probe = now + PROBE_INTERVAL_S
                    return item
            elif name in state.reported_down:
                seen = self._evidence[name]
                if now >= max(seen.next_probe, seen.ejected_until) and (
                    seen.is_doubted(now)
                ):
                    seen.next_probe = now + PROBE_INTERVAL_S
                    return item
        return None

    def start(self, instance: str) -> None:
        """Count an attempt in flight."""
        seen = self._evidence.get(instance)
        if seen is not None:
            seen.in_flight += 1

    def finish(
        self, service: str, instance: Instance, result: AttemptResult, now: float
    ) -> None:
        """Take the end of an attempt as evidence."""
        seen = self._evidence.get(instance.name)
        if seen is None:
            return
        if seen.in_flight > 0:
            seen.in_flight -= 1
        self._note_domain(instance, result.cause, now)
        points = seen.note(result, now)
        state = self._services.get(service)
        if points is None or state is None:
            return
        failed = 1.0 if points else 0.0
        state.failure_share += TYPICAL_WEIGHT * (failed - state.failure_share)
        if not points:
            if state.typical_s <= 0.0:
                state.typical_s = result.latency_s
            state.typical_s += TYPICAL_WEIGHT * (result.latency_s - state.typical_s)
        elif not seen.ejected_until and seen.is_bad(state.failure_share):
            self._eject(instance, seen, state, result, now)

    def _note_domain(self, instance: Instance, cause: Cause, now: float) -> None:
        name = instance.failure_domain
        if name == self._own_domain:
            return
        domain = self._domains.get(name)
        if domain is None:
            domain = self._domains[name] = DomainEvidence()
        domain.note(instance.name, cause, self._domain_sizes.get(name, 1), now)
        if domain.is_cut:
            self._cut_domains.add(name)
        else:
            self._cut_domains.discard(name)

    def _eject(self, instance, seen, state, result, now: float) -> None:
        live = [m for m in state.members if m.name not in self._board.leaving]
        if len(state.ejected) + 1 > len(live) * EJECTED_SHARE_LIMIT:
            return
        time_s = seen.eject(now)
        state.ejected.add(instance.name)
        self._board.ejected.add(instance.name)
        self._find_panic(state)
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

    def _return(self, name: str, seen, state, now: float) -> None:
        seen.restore(now)
        state.ejected.discard(name)
        self._board.ejected.discard(name)
        self._find_panic(state)
        self._emit(Event(EventCode.BACKEND_RETURNED, {"backend": name}))

    def _find_panic(self, state) -> None:
        down = len(state.reported_down | state.ejected)
        usable = len(state.members) - down
        state.panic = bool(down) and usable < len(state.members) * PANIC_SHARE

    def report(self, instance: str, healthy: bool, load: float, now: float) -> None:
        """Take what a health or load endpoint said.

        Parameters
        ----------
        load : float
            0 to 1; negative if unknown.
        """
        seen = self._evidence.get(instance)
        if seen is None:
            return
        if load >= 0.0:
            seen.reported_load = min(load, 1.0)
            seen.reported_load_at = now
        if seen.reported_healthy == healthy:
            return
        seen.reported_healthy = healthy
        for state in self._services.values():
            if any(m.name == instance for m in state.members):
                if healthy:
                    state.reported_down.discard(instance)
                else:
                    state.reported_down.add(instance)
                self._find_panic(state)
        code = EventCode.BACKEND_UP if healthy else EventCode.BACKEND_DOWN
        self._emit(Event(code, {"backend": instance, "reason": "health endpoint"}))
