"""View of the instance list that delays large removals."""

from mangowell_core.blackboard import VersionedText
from mangowell_core.distribution.context import INSTANCES_KEY, NEVER, Context
from mangowell_core.distribution.io import Peer
from mangowell_core.events import EventCode
from mangowell_core.model import Instance

# A list that removes more than this share of a domain, and at least
# `LARGE_REMOVAL_MIN_COUNT` instances, more often lags than reports a real loss.
LARGE_REMOVAL_SHARE = 0.3
LARGE_REMOVAL_MIN_COUNT = 2
CONFIRMATION_DELAY_S = 30.0
# A failed connection confirms the removal of an instance only within this time.
FAILURE_TTL_S = 30.0
MAX_FAILURES = 512


class Membership:
    """Controller that derives the view from the accepted instance list.

    A large removal stays unconfirmed for `CONFIRMATION_DELAY_S`, or until
    connections to its instances fail; the view contains them until then. Removals
    within that time count together, so a list that loses a domain in small steps
    is delayed as well.
    """

    __slots__ = ("_applied_digest", "_ctx", "_failed_at", "_removal_times")

    def __init__(self, ctx: Context):
        self._ctx = ctx
        self._applied_digest = ""
        self._failed_at: dict[str, float] = {}
        self._removal_times: dict[str, list[float]] = {}

    def record_failure(self, peer: Peer, now: float) -> None:
        """Record that a connection to a peer failed, which may confirm a removal."""
        self._failed_at.pop(peer.instance, None)
        self._failed_at[peer.instance] = now
        if len(self._failed_at) > MAX_FAILURES:
            del self._failed_at[next(iter(self._failed_at))]
        if peer.instance in self._ctx.board.membership.unconfirmed:
            self._confirm_removals(now)

    def record_contact(self, peer: Peer) -> None:
        """Discard the failure of a peer that has sent a message."""
        self._failed_at.pop(peer.instance, None)

    def run(self, now: float) -> None:
        """Apply a newly accepted list, or confirm removals whose time has passed."""
        text = self._ctx.board.configuration.running_texts.get(INSTANCES_KEY)
        if text is not None and text.digest != self._applied_digest:
            self._apply_list(text, now)
        elif now >= self.next_deadline():
            self._confirm_removals(now)

    def _apply_list(self, text: VersionedText, now: float) -> None:
        board = self._ctx.board.membership
        listed = text.value.instances
        self._applied_digest = text.digest
        board.revision = text.version
        missing: dict[str, list[str]] = {}
        for name, instance in board.view.items():
            if name not in listed and name not in board.unconfirmed:
                missing.setdefault(instance.failure_domain, []).append(name)
        for name in [name for name in board.unconfirmed if name in listed]:
            del board.unconfirmed[name]
        for domain, names in missing.items():
            self._handle_removals(domain, names, now)
        kept = {name: board.view[name] for name in board.unconfirmed}
        self._replace_view({**listed, **kept})
        self._ctx.emit(
            EventCode.INSTANCES_APPLIED,
            version=text.version,
            digest=text.digest,
            instances=len(board.view),
            unconfirmed=len(board.unconfirmed),
        )

    def _handle_removals(self, domain: str, names: list[str], now: float) -> None:
        """Record removals from a domain, as unconfirmed if they are large together."""
        board = self._ctx.board.membership
        recent = [
            removed_at
            for removed_at in self._removal_times.get(domain, ())
            if now - removed_at < CONFIRMATION_DELAY_S
        ]
        removed = len(recent) + len(names)
        present = len(board.instances_by_domain.get(domain, ())) + len(recent)
        if (
            removed < LARGE_REMOVAL_MIN_COUNT
            or removed <= LARGE_REMOVAL_SHARE * present
        ):
            self._removal_times[domain] = recent + [now] * len(names)
            return
        newly_unconfirmed = [
            name for name in names if not self._has_recent_failure(name, now)
        ]
        self._removal_times[domain] = recent + [now] * (
            len(names) - len(newly_unconfirmed)
        )
        for name in newly_unconfirmed:
            board.unconfirmed[name] = now
        if newly_unconfirmed:
            self._ctx.emit(
                EventCode.INSTANCES_DOUBTED,
                failure_domain=domain,
                version=board.revision,
                missing=removed,
                unconfirmed=len(newly_unconfirmed),
                present=present,
            )

    def _has_recent_failure(self, name: str, now: float) -> bool:
        return now - self._failed_at.get(name, -NEVER) < FAILURE_TTL_S

    def _confirm_removals(self, now: float) -> None:
        board = self._ctx.board.membership
        confirmed = [
            name
            for name, since in board.unconfirmed.items()
            if now - since >= CONFIRMATION_DELAY_S
            or self._has_recent_failure(name, now)
        ]
        if not confirmed:
            return
        for name in confirmed:
            del board.unconfirmed[name]
        self._replace_view(
            {n: i for n, i in board.view.items() if n not in set(confirmed)}
        )
        self._ctx.emit(
            EventCode.INSTANCES_CONFIRMED,
            version=board.revision,
            removed=len(confirmed),
            unconfirmed=len(board.unconfirmed),
        )

    def _replace_view(self, view: dict[str, Instance]) -> None:
        board = self._ctx.board.membership
        settings = self._ctx.settings
        names_by_domain: dict[str, list[str]] = {settings.failure_domain: []}
        for instance in view.values():
            names_by_domain.setdefault(instance.failure_domain, []).append(
                instance.name
            )
        local_names = names_by_domain[settings.failure_domain]
        # A lagging list may not contain the local node yet. The node is added to its
        # domain all the same, which does not affect nodes that do not know it.
        if settings.instance not in view:
            local_names.append(settings.instance)
        board.view = view
        board.instances_by_domain = {
            domain: tuple(names) for domain, names in names_by_domain.items()
        }
        board.epoch += 1
        for domain in [
            d for d in self._removal_times if d not in board.instances_by_domain
        ]:
            del self._removal_times[domain]

    def next_deadline(self) -> float:
        """Return when the delay of a removal ends, in monotonic seconds."""
        unconfirmed = self._ctx.board.membership.unconfirmed
        return min(unconfirmed.values(), default=NEVER) + CONFIRMATION_DELAY_S
