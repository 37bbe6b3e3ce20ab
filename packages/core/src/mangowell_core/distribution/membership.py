"""Damped view of the instance list."""

from mangowell_core.blackboard import Text
from mangowell_core.distribution.context import INSTANCES_KEY, NEVER, Context
from mangowell_core.distribution.io import Peer
from mangowell_core.events import EventCode
from mangowell_core.model import Instance

# A list that removes more than this share of a domain, and at least
# `DOUBTED_COUNT` instances, is more often a lagging list than a real loss.
DOUBTED_SHARE = 0.3
DOUBTED_COUNT = 2
CONFIRM_AFTER_S = 30.0
# A failed connection agrees with a list that no longer shows the instance only
# if it is recent.
FAILURE_TTL_S = 30.0
MAX_FAILURES = 512


class Membership:
    """Controller that turns the accepted list into a damped view.

    Removals of the last `CONFIRM_AFTER_S` count together, so a list that loses
    a domain in small steps is doubted as well.
    """

    __slots__ = ("_ctx", "_digest", "_failures", "_removals")

    def __init__(self, ctx: Context):
        self._ctx = ctx
        self._digest = ""
        self._failures: dict[str, float] = {}
        self._removals: dict[str, list[float]] = {}

    def record_failure(self, peer: Peer, now: float) -> None:
        """Record that a connection to a peer failed."""
        self._failures.pop(peer.instance, None)
        self._failures[peer.instance] = now
        if len(self._failures) > MAX_FAILURES:
            del self._failures[next(iter(self._failures))]
        if peer.instance in self._ctx.board.membership.unconfirmed:
            self._confirm(now)

    def record_contact(self, peer: Peer) -> None:
        """Record that a peer has sent a message."""
        self._failures.pop(peer.instance, None)

    def run(self, now: float) -> None:
        """Take over a newly accepted list; confirm or restore doubted removals."""
        text = self._ctx.board.configuration.held.get(INSTANCES_KEY)
        if text is not None and text.digest != self._digest:
            self._apply(text, now)
        elif now >= self.next_deadline():
            self._confirm(now)

    def _apply(self, text: Text, now: float) -> None:
        board = self._ctx.board.membership
        listed = text.value.instances
        self._digest = text.digest
        board.revision = text.version
        missing: dict[str, list[str]] = {}
        for name, instance in board.view.items():
            if name not in listed and name not in board.unconfirmed:
                missing.setdefault(instance.failure_domain, []).append(name)
        for name in [name for name in board.unconfirmed if name in listed]:
            del board.unconfirmed[name]
        for domain, names in missing.items():
            self._judge_removal(domain, names, now)
        kept = {name: board.view[name] for name in board.unconfirmed}
        self._replace({**listed, **kept})
        self._ctx.emit(
            EventCode.INSTANCES_APPLIED,
            version=text.version,
            digest=text.digest,
            instances=len(board.view),
            unconfirmed=len(board.unconfirmed),
        )

    def _judge_removal(self, domain: str, names: list[str], now: float) -> None:
        board = self._ctx.board.membership
        recent = [
            at for at in self._removals.get(domain, ()) if now - at < CONFIRM_AFTER_S
        ]
        removed = len(recent) + len(names)
        present = len(board.domains.get(domain, ())) + len(recent)
        if removed < DOUBTED_COUNT or removed <= DOUBTED_SHARE * present:
            self._removals[domain] = recent + [now] * len(names)
            return
        doubted = [name for name in names if not self._has_failed(name, now)]
        self._removals[domain] = recent + [now] * (len(names) - len(doubted))
        for name in doubted:
            board.unconfirmed[name] = now
        if doubted:
            self._ctx.emit(
                EventCode.INSTANCES_DOUBTED,
                failure_domain=domain,
                version=board.revision,
                missing=removed,
                unconfirmed=len(doubted),
                present=present,
            )

    def _has_failed(self, name: str, now: float) -> bool:
        return now - self._failures.get(name, -NEVER) < FAILURE_TTL_S

    def _confirm(self, now: float) -> None:
        board = self._ctx.board.membership
        gone = [
            name
            for name, since in board.unconfirmed.items()
            if now - since >= CONFIRM_AFTER_S or self._has_failed(name, now)
        ]
        if not gone:
            return
        for name in gone:
            del board.unconfirmed[name]
        self._replace({n: i for n, i in board.view.items() if n not in set(gone)})
        self._ctx.emit(
            EventCode.INSTANCES_CONFIRMED,
            version=board.revision,
            removed=len(gone),
            unconfirmed=len(board.unconfirmed),
        )

    def _replace(self, view: dict[str, Instance]) -> None:
        board = self._ctx.board.membership
        settings = self._ctx.settings
        names: dict[str, list[str]] = {settings.failure_domain: []}
        for instance in view.values():
            names.setdefault(instance.failure_domain, []).append(instance.name)
        own = names[settings.failure_domain]
        # A lagging list may not show this node yet. It takes part nevertheless;
        # others that do not know it lose nothing.
        if settings.instance not in view:
            own.append(settings.instance)
        board.view = view
        board.domains = {domain: tuple(found) for domain, found in names.items()}
        board.epoch += 1
        for domain in [d for d in self._removals if d not in board.domains]:
            del self._removals[domain]

    def next_deadline(self) -> float:
        """Return when a doubted removal is confirmed by time."""
        unconfirmed = self._ctx.board.membership.unconfirmed
        return min(unconfirmed.values(), default=NEVER) + CONFIRM_AFTER_S
