"""Snapshot of document and instances that the node runs."""

from mangowell_core.distribution.context import INSTANCES_KEY, NEVER, Context
from mangowell_core.events import EventCode
from mangowell_core.model import Document, Instance, Snapshot

# Time for the instance list to show the first instance of a new service.
SERVICE_WAIT_S = 5.0


class SnapshotBuilder:
    """Controller that joins the accepted document with the view.

    A snapshot is built as a whole and swapped in one assignment, so no route is
    ever without the service that it names.
    """

    __slots__ = ("_built", "_ctx", "_wait")

    def __init__(self, ctx: Context):
        self._ctx = ctx
        self._built = ("", -1)
        self._wait: tuple[str, float] = ("", 0.0)

    def run(self, now: float) -> None:
        """Build a snapshot if the document or the view has changed."""
        board = self._ctx.board
        text = board.configuration.held.get(self._ctx.document_key)
        if text is None or INSTANCES_KEY not in board.configuration.held:
            return
        if self._built == (text.digest, board.membership.epoch):
            return
        if text.digest != self._built[0] and self._waits(text.value, now):
            self._refresh(now)
            return
        self._wait = ("", 0.0)
        self._swap(text.value, now)

    def _waits(self, document: Document, now: float) -> bool:
        """Return whether a new route's service has no known instance yet."""
        board = self._ctx.board
        old = board.configuration.snapshot
        known = set() if old is None else set(old.document.services)
        new = {route.service for route in document.routes.values()} - known
        if old is None or not new:
            return False
        new -= {instance.service for instance in board.membership.view.values()}
        if not new:
            return False
        if self._wait[0] != document.digest:
            # A newer document with the same gap does not start a new wait, or a
            # burst of changes would hold all of them back.
            deadline = self._wait[1] or now + SERVICE_WAIT_S
            self._wait = (document.digest, deadline)
            self._ctx.emit(
                EventCode.VERSION_HELD,
                key=self._ctx.document_key,
                version=document.version,
                digest=document.digest,
                reason=f"no known instance of {', '.join(sorted(new)[:5])}",
            )
        return now < self._wait[1]

    def _refresh(self, now: float) -> None:
        """Take over a new view while the next document waits."""
        old = self._ctx.board.configuration.snapshot
        if old.instances_revision != self._ctx.board.membership.revision:
            self._swap(old.document, now)

    def _swap(self, document: Document, now: float) -> None:
        board = self._ctx.board
        old = board.configuration.snapshot
        snapshot = Snapshot(
            document, board.membership.revision, self._group(document, old)
        )
        self._ctx.checker.check_snapshot(snapshot, old)
        self._built = (document.digest, board.membership.epoch)
        board.configuration.snapshot = snapshot
        if old is None or old.document.digest != document.digest:
            board.configuration.snapshot_at = now
            text = board.configuration.held[self._ctx.document_key]
            self._ctx.emit(
                EventCode.VERSION_APPLIED,
                key=self._ctx.document_key,
                version=document.version,
                digest=document.digest,
                peer=text.learned_from,
                delay_ms=round(max(0.0, now - text.read_at) * 1000),
            )
        self._ctx.announce_snapshot(snapshot)

    def _group(
        self, document: Document, old: Snapshot | None
    ) -> dict[str, tuple[Instance, ...]]:
        found: dict[str, list[Instance]] = {name: [] for name in document.services}
        for instance in self._ctx.board.membership.view.values():
            members = found.get(instance.service)
            if members is not None:
                members.append(instance)
        kept = {} if old is None else old.instances
        groups = {}
        for name, members in found.items():
            group = tuple(members)
            # An unchanged group is shared with the old snapshot, so controllers
            # of the request path can skip it by identity.
            groups[name] = kept[name] if kept.get(name) == group else group
        return groups

    def next_deadline(self) -> float:
        """Return when a document stops waiting for instances."""
        return self._wait[1] if self._wait[0] else NEVER
