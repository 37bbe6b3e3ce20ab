"""Snapshot of the document and the instances that the node runs."""

from mangowell_core.distribution.context import INSTANCES_KEY, NEVER, Context
from mangowell_core.events import EventCode
from mangowell_core.model import Document, Instance, Snapshot

# Time that the instance list has to show the first instance of a new service.
NEW_SERVICE_WAIT_S = 5.0


class SnapshotBuilder:
    """Controller that combines the accepted document with the instance view.

    A snapshot is built completely and replaced in one assignment, so that every
    route always has the service that it names.
    """

    __slots__ = ("_built_from", "_ctx", "_waiting")

    def __init__(self, ctx: Context):
        self._ctx = ctx
        # Document digest and membership epoch of the running snapshot.
        self._built_from = ("", -1)
        # Digest of the document that waits, and the end of the wait.
        self._waiting: tuple[str, float] = ("", 0.0)

    def run(self, now: float) -> None:
        """Build a snapshot if the accepted document or the view has changed."""
        board = self._ctx.board
        text = board.configuration.running_texts.get(self._ctx.document_key)
        if text is None or INSTANCES_KEY not in board.configuration.running_texts:
            return
        if self._built_from == (text.digest, board.membership.epoch):
            return
        if text.digest != self._built_from[0] and self._should_wait(text.value, now):
            self._refresh_instances(now)
            return
        self._waiting = ("", 0.0)
        self._replace_snapshot(text.value, now)

    def _should_wait(self, document: Document, now: float) -> bool:
        """Return whether to wait for an instance of a service that a route adds."""
        board = self._ctx.board
        old = board.configuration.snapshot
        known_services = set() if old is None else set(old.document.services)
        new_services = {
            route.service for route in document.routes.values()
        } - known_services
        if old is None or not new_services:
            return False
        new_services -= {
            instance.service for instance in board.membership.view.values()
        }
        if not new_services:
            return False
        if self._waiting[0] != document.digest:
            # A newer document keeps the deadline of the last one. A new deadline for
            # each document would hold back every document of a burst.
            deadline = self._waiting[1] or now + NEW_SERVICE_WAIT_S
            self._waiting = (document.digest, deadline)
            self._ctx.emit(
                EventCode.VERSION_HELD,
                key=self._ctx.document_key,
                version=document.version,
                digest=document.digest,
                reason=f"no known instance of {', '.join(sorted(new_services)[:5])}",
            )
        return now < self._waiting[1]

    def _refresh_instances(self, now: float) -> None:
        """Combine the running document with a new list while a newer document waits."""
        old = self._ctx.board.configuration.snapshot
        if old.instances_revision != self._ctx.board.membership.revision:
            self._replace_snapshot(old.document, now)

    def _replace_snapshot(self, document: Document, now: float) -> None:
        board = self._ctx.board
        old = board.configuration.snapshot
        snapshot = Snapshot(
            document, board.membership.revision, self._group_instances(document, old)
        )
        self._ctx.checker.check_snapshot(snapshot, old)
        self._built_from = (document.digest, board.membership.epoch)
        board.configuration.snapshot = snapshot
        if old is None or old.document.digest != document.digest:
            board.configuration.document_applied_at = now
            text = board.configuration.running_texts[self._ctx.document_key]
            self._ctx.emit(
                EventCode.VERSION_APPLIED,
                key=self._ctx.document_key,
                version=document.version,
                digest=document.digest,
                peer=text.learned_from,
                delay_ms=round(max(0.0, now - text.read_at) * 1000),
            )
        self._ctx.announce_snapshot(snapshot)

    def _group_instances(
        self, document: Document, old: Snapshot | None
    ) -> dict[str, tuple[Instance, ...]]:
        """Return the instances of the view by service of the document."""
        members_by_service: dict[str, list[Instance]] = {
            name: [] for name in document.services
        }
        for instance in self._ctx.board.membership.view.values():
            members = members_by_service.get(instance.service)
            if members is not None:
                members.append(instance)
        old_groups = {} if old is None else old.instances
        groups = {}
        for name, members in members_by_service.items():
            group = tuple(members)
            # An unchanged group is the same object as in the old snapshot, so that
            # controllers of the request path can skip it by identity.
            groups[name] = old_groups[name] if old_groups.get(name) == group else group
        return groups

    def next_deadline(self) -> float:
        """Return when the wait for instances ends, in monotonic seconds."""
        return self._waiting[1] if self._waiting[0] else NEVER
