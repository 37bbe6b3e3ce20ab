"""The request policy: one call for each decision on the path of a request."""

import hashlib
from dataclasses import replace

from mangowell_core.events import Event, EventCode
from mangowell_core.messages import CrashReport, FenceQuery, FenceReply
from mangowell_core.model import InstanceState, Snapshot
from mangowell_core.policy.board import TrafficBoard
from mangowell_core.policy.deadlines import find_deadline
from mangowell_core.policy.drain import DrainController
from mangowell_core.policy.outcome import refuse
from mangowell_core.policy.retries import RetryBudget, find_hedge_deadline
from mangowell_core.policy.types import (
    Admitted,
    AskFences,
    AttemptResult,
    Cause,
    Choice,
    Dispatch,
    Expired,
    KeyDecision,
    Plan,
    Queued,
    Refusal,
    ReplayKey,
    RunKey,
    StoredAnswer,
    Work,
)


class RequestPolicy:
    """First version: every call in its simplest form."""

    def __init__(self, settings, rng, incarnation):
        self._settings = settings
        self._rng = rng
        self._incarnation = str(incarnation)
        self.board = TrafficBoard()
        self._drain = DrainController(self.board, settings.instance)
        self._retries = RetryBudget()
        self._events: list[Event] = []
        self._load: dict[str, int] = {}
        self._ticket = 0
        self._active: set[int] = set()
        self._queue: dict[int, Work] = {}
        self._ledger: dict[tuple[str, str], object] = {}
        self._pending: dict[tuple[str, str], set[str]] = {}
        self._crashes: dict[str, int] = {}

    @classmethod
    def from_settings(cls, settings, rng, incarnation) -> "RequestPolicy":
        """Build the policy of one node."""
        return cls(settings, rng, incarnation)

    def apply(self, snapshot: Snapshot, now: float) -> None:
        """Take a new snapshot."""
        self.board.snapshot = snapshot
        for members in snapshot.instances.values():
            for item in members:
                if item.state is InstanceState.LEAVING:
                    self._drain.mark_leaving(item.name, now)
        self._retries.apply(snapshot.document.services)
        service = snapshot.document.services.get(self._settings.service)
        if service is not None:
            self.board.limit = service.slots
        self._drain.step("applied", now)

    def match(
        self, request, method, path, tenant, remaining_ms, idempotency_key, now
    ) -> Plan | Refusal:
        """Find route, class and deadline of a call."""
        snapshot = self.board.snapshot
        if snapshot is None:
            return refuse(Cause.NOT_READY, "no configuration yet")
        document = snapshot.document
        found = None
        for route in document.routes.values():
            if (
                path.startswith(route.path)
                and (not route.methods or method in route.methods)
                and (found is None or len(route.path) > len(found.path))
            ):
                found = route
        if found is None:
            return refuse(Cause.NO_ROUTE, f"no route for {method} {path}")
        deadline = find_deadline(now, found.timeout_ms, remaining_ms)
        if deadline <= now:
            return refuse(Cause.DEADLINE, "deadline has passed")
        return Plan(
            request,
            method,
            path,
            found,
            document.services[found.service],
            document.classes[found.traffic_class],
            tenant,
            deadline,
            "" if found.idempotent else (idempotency_key or ""),
        )

    def _live(self, service):
        members = self.board.snapshot.instances.get(service, ())
        return [item for item in members if item.name not in self.board.leaving]

    def pick(self, plan: Plan, excluded, now: float) -> Choice | Refusal:
        """Choose the instance of the next attempt."""
        members = self._live(plan.service.name)
        key = plan.idempotency_key
        if key.startswith("mw1."):
            owner = key.split(".")[1]
            members = [item for item in members if item.name == owner]
        elif key and members:
            members = [
                max(
                    members,
                    key=lambda item: hashlib.sha256(
                        f"{key}\0{item.name}".encode()
                    ).digest(),
                )
            ]
        members = [item for item in members if item.name not in excluded]
        if not members:
            if key:
                return refuse(Cause.KEY_OWNER_LOST, "owner of the key is gone")
            return refuse(Cause.NO_INSTANCE, f"no instance of {plan.service.name}")
        own = self._settings.failure_domain
        members = [m for m in members if m.failure_domain == own] or members
        one, two = self._rng.choice(members), self._rng.choice(members)
        if self._load.get(two.name, 0) < self._load.get(one.name, 0):
            one = two
        return Choice(one, one.name == self._settings.instance)

    def attempt_started(self, plan: Plan, choice: Choice, now: float) -> None:
        """Count an attempt."""
        name = choice.instance.name
        self._load[name] = self._load.get(name, 0) + 1
        self._retries.earn(plan.service)

    def attempt_finished(
        self, plan: Plan, choice: Choice, result: AttemptResult, now: float
    ) -> None:
        """Take the end of an attempt as evidence."""
        self._load[choice.instance.name] -= 1

    def may_retry(self, plan, result, attempts: int, now: float) -> bool:
        """Decide on another attempt."""
        return self._retries.may_retry(plan, result, attempts, now)

    def hedge_deadline(self, plan: Plan, started_at: float) -> float | None:
        """Return when a second attempt may start."""
        return find_hedge_deadline(plan, started_at)

    def may_hedge(self, plan: Plan, now: float) -> bool:
        """Decide on a second attempt."""
        return self._retries.may_hedge(plan, now)

    def suspect(self, plan: Plan, now: float) -> Refusal | None:
        """Refuse quarantined fingerprints."""
        if plan.fingerprint and self._crashes.get(plan.fingerprint, 0) >= 2:
            return refuse(Cause.QUARANTINED, "request crashed backend servers")
        return None

    def offer(self, work: Work, now: float) -> Admitted | Queued | Refusal:
        """Ask for a slot."""
        if not self.accepts_new(now):
            return refuse(Cause.LEAVING, "backend server leaves")
        self._ticket += 1
        if len(self._active) < self.board.limit:
            self._active.add(self._ticket)
            return Admitted(self._ticket)
        service = self.board.snapshot.document.services.get(work.service)
        if service is None or len(self._queue) >= service.queue_limit:
            return refuse(Cause.OVERLOADED, "queue is full")
        self._queue[self._ticket] = work
        return Queued(self._ticket)

    def release(self, ticket: int, result, now: float) -> list[Dispatch | Expired]:
        """Give a slot back."""
        self._active.discard(ticket)
        return self.expire(now)

    def cancel(self, ticket: int, now: float) -> None:
        """Drop a waiting request."""
        self._queue.pop(ticket, None)

    def expire(self, now: float) -> list[Dispatch | Expired]:
        """Refuse requests whose deadline has passed; start others."""
        found: list[Dispatch | Expired] = []
        for ticket in [t for t, w in self._queue.items() if w.deadline <= now]:
            del self._queue[ticket]
            found.append(Expired(ticket, refuse(Cause.DEADLINE, "waited too long")))
        while self._queue and len(self._active) < self.board.limit:
            ticket = min(
                self._queue, key=lambda t: (self._queue[t].traffic_class.priority, t)
            )
            del self._queue[ticket]
            self._active.add(ticket)
            found.append(Dispatch(ticket))
        return found

    def next_deadline(self) -> float:
        """Return when `expire` is due."""
        return min((w.deadline for w in self._queue.values()), default=float("inf"))

    def key_begin(
        self, service: str, key: str, now: float, fingerprint: str = ""
    ) -> KeyDecision:
        """Decide whether a key may run."""
        entry = self._ledger.get((service, key))
        if isinstance(entry, StoredAnswer):
            return ReplayKey(entry)
        if entry == "running":
            return refuse(Cause.KEY_IN_PROGRESS, "key is running")
        if entry is not None:
            return refuse(Cause.KEY_UNKNOWN, "outcome of the key is unknown")
        if key.startswith("mw1."):
            if key.split(".")[1:3] != [self._settings.instance, self._incarnation]:
                return refuse(Cause.KEY_OWNER_LOST, "key of another process")
            self._ledger[service, key] = "running"
            return RunKey()
        others = tuple(
            item for item in self._live(service) if item.name != self._settings.instance
        )
        if not others:
            self._ledger[service, key] = "running"
            return RunKey()
        self._pending[service, key] = {item.name for item in others}
        return AskFences(others)

    def key_fenced(
        self, service: str, key: str, instance: str, promised: bool, now: float
    ) -> KeyDecision | None:
        """Take a reply to a fence query."""
        waiting = self._pending.get((service, key))
        if waiting is None:
            return None
        if not promised:
            del self._pending[service, key]
            self._ledger[service, key] = "unknown"
            return refuse(Cause.KEY_UNKNOWN, f"{instance} gave no promise")
        waiting.discard(instance)
        if waiting:
            return None
        del self._pending[service, key]
        self._ledger[service, key] = "running"
        return RunKey()

    def key_finish(
        self, service: str, key: str, answer: StoredAnswer | None, now: float
    ) -> None:
        """Record the end of a run."""
        self._ledger[service, key] = "unknown" if answer is None else answer

    def key_withdraw(self, service: str, key: str, now: float) -> None:
        """Undo `RunKey` or `AskFences`: no byte reached the backend server."""
        self._ledger.pop((service, key), None)
        self._pending.pop((service, key), None)

    def fence(self, query: FenceQuery, now: float) -> FenceReply:
        """Promise never to run a key, if it has not run."""
        name = (query.service, query.idempotency_key)
        entry = self._ledger.get(name)
        promised = name not in self._pending and entry in (None, "fenced")
        if promised:
            self._ledger[name] = "fenced"
        return FenceReply(query.service, query.idempotency_key, query.request, promised)

    def mint_key(self, now: float) -> str:
        """Issue a pinned key."""
        return (
            f"mw1.{self._settings.instance}.{self._incarnation}"
            f".{self._rng.getrandbits(128):032x}"
        )

    def backend_crashed(
        self, service: str, fingerprints, now: float
    ) -> list[CrashReport]:
        """Record that the own backend server crashed with these in flight."""
        reports = []
        for name in fingerprints:
            self._crashes[name] = self._crashes.get(name, 0) + 1
            reports.append(
                CrashReport(
                    service,
                    self._settings.failure_domain,
                    name,
                    self._crashes[name],
                    self._settings.instance,
                )
            )
        return reports

    def backend_completed(self, fingerprint: str, now: float) -> None:
        """Clear a fingerprint."""
        self._crashes.pop(fingerprint, None)

    def crash_reported(self, report: CrashReport, now: float) -> None:
        """Merge a report of another node."""
        self._crashes[report.fingerprint] = max(
            report.crashes, self._crashes.get(report.fingerprint, 0)
        )

    def backend_seen(
        self, instance: str, healthy: bool, load: float, now: float
    ) -> None:
        """Take what a health or load endpoint said."""

    def peer_leaving(self, instance: str, now: float) -> None:
        """Record that a peer's instance leaves."""
        if self._drain.mark_leaving(instance, now):
            self._events.append(Event(EventCode.BACKEND_LEAVING, {"backend": instance}))

    def start_drain(self, now: float) -> None:
        """Leave: no new work after 3 s."""
        self._drain.step("drain", now)

    def accepts_new(self, now: float) -> bool:
        """Tell whether the own backend server takes new work."""
        return self._drain.accepts_new(now)

    def in_flight(self) -> int:
        """Return the requests at the own backend server and in its queue."""
        return len(self._active) + len(self._queue)

    def events(self) -> list[Event]:
        """Return the events since the last call."""
        events, self._events = self._events, []
        return events


def with_fingerprint(plan: Plan, fingerprint: str) -> Plan:
    """Return the plan with the fingerprint of the body that was read."""
    return replace(plan, fingerprint=fingerprint)
