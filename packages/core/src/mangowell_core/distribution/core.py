"""Distribution core, which turns input events into effects without I/O."""

from collections.abc import Callable
from random import Random
from typing import Any

from mangowell_core.blackboard import Blackboard, NodeState
from mangowell_core.distribution.context import Context
from mangowell_core.distribution.corroboration import Corroboration
from mangowell_core.distribution.gate import Gate
from mangowell_core.distribution.io import (
    Effect,
    InputEvent,
    PeerMessage,
    PeerUnreachable,
    Resumed,
    SourceFailed,
    SourceUnchanged,
    SourceValue,
    Started,
    Stopping,
    Tick,
)
from mangowell_core.distribution.join import Join
from mangowell_core.distribution.membership import Membership
from mangowell_core.distribution.readers import ReaderController
from mangowell_core.distribution.snapshot import SnapshotBuilder
from mangowell_core.distribution.spread import Dissemination
from mangowell_core.distribution.transfer import TransferController
from mangowell_core.messages import (
    Acknowledge,
    Announce,
    Busy,
    DigestQuery,
    DigestReply,
    Fetch,
    HeartbeatRelay,
    Piece,
)
from mangowell_core.settings import NodeSettings

# Minimum time between an event and the next deadline, which bounds how often an
# idle core is called.
TICK_MIN_S = 0.002


class DistributionCore:
    """Decides for one node which configuration it runs, reads and passes on.

    Create it with `from_settings`. A driver passes events to `handle` in the order
    in which they occur and executes the returned effects in order.
    """

    __slots__ = (
        "_context",
        "_corroboration",
        "_dissemination",
        "_event_handlers",
        "_gate",
        "_join",
        "_membership",
        "_message_handlers",
        "_now",
        "_readers",
        "_snapshot",
        "_started_at",
        "_transfer",
    )

    def __init__(self, context: Context):
        self._context = context
        self._corroboration = Corroboration(context)
        self._gate = Gate(context, self._corroboration)
        self._membership = Membership(context)
        self._readers = ReaderController(context, self._gate)
        self._snapshot = SnapshotBuilder(context)
        self._transfer = TransferController(context, self._corroboration, self._gate)
        self._dissemination = Dissemination(
            context, self._corroboration, self._gate, self._readers, self._transfer
        )
        self._join = Join(
            context, self._corroboration, self._readers, self._dissemination
        )
        self._now = 0.0
        self._started_at = 0.0
        self._event_handlers: dict[type, Callable[[Any, float], None]] = {
            Started: self._on_started,
            Tick: self._on_tick,
            SourceValue: self._readers.on_value,
            SourceUnchanged: self._readers.on_unchanged,
            SourceFailed: self._readers.on_failed,
            PeerMessage: self._on_message,
            PeerUnreachable: self._on_peer_unreachable,
            Resumed: self._on_resumed,
            Stopping: self._on_stopping,
        }
        self._message_handlers: dict[type, Callable[[Any, Any, float], None]] = {
            Announce: self._dissemination.on_announce,
            Acknowledge: self._dissemination.on_acknowledge,
            HeartbeatRelay: self._dissemination.on_heartbeat,
            DigestQuery: self._dissemination.on_query,
            DigestReply: self._on_digest_reply,
            Fetch: self._transfer.on_fetch,
            Piece: self._transfer.on_piece,
            Busy: self._transfer.on_busy,
        }

    @classmethod
    def from_settings(
        cls, settings: NodeSettings, rng: Random, incarnation: int
    ) -> "DistributionCore":
        """Create the core of one node.

        Parameters
        ----------
        settings : NodeSettings
            Settings of the node.
        rng : random.Random
            Source of all random choices.
        incarnation : int
            Start time of the process in milliseconds since the epoch.

        Raises
        ------
        ValueError
            If the incarnation, a seed or the invariants level is invalid.
        """
        if incarnation < 1:
            raise ValueError(f"incarnation must be positive, got {incarnation}")
        return cls(Context(settings, rng, incarnation))

    @property
    def board(self) -> Blackboard:
        """Blackboard of this node; callers must not write to it."""
        return self._context.board

    def handle(self, event: InputEvent, now: float) -> list[Effect]:
        """Handle an event and return the effects to execute.

        Parameters
        ----------
        event : InputEvent
            Event that has occurred.
        now : float
            Monotonic seconds; a value below the previous one is replaced by it.

        Raises
        ------
        InvariantViolation
            If the node's own state breaks an invariant.
        """
        now = self._now = max(now, self._now)
        self._event_handlers[type(event)](event, now)
        self._run_controllers(now)
        effects = self._context.effects
        self._context.effects = []
        return effects

    def _run_controllers(self, now: float) -> None:
        """Run each controller, so that it acts on changes of the blackboard."""
        if self.board.configuration.state is NodeState.NEW:
            return
        self._corroboration.run(now)
        self._gate.run(now)
        self._membership.run(now)
        self._readers.run(now)
        self._snapshot.run(now)
        self._dissemination.run(now)
        self._transfer.run(now)
        self._join.run(now)

    def next_deadline(self) -> float:
        """Return when `handle` must be called with `Tick`, in monotonic seconds."""
        if self.board.configuration.state is NodeState.NEW:
            return float("inf")
        deadline = min(
            self._corroboration.next_deadline(),
            self._gate.next_deadline(self._now),
            self._membership.next_deadline(),
            self._readers.next_deadline(),
            self._snapshot.next_deadline(),
            self._dissemination.next_deadline(),
            self._transfer.next_deadline(),
            self._join.next_deadline(),
        )
        return max(deadline, self._now + TICK_MIN_S)

    def serving(self) -> bool:
        """Return whether the node may accept new calls."""
        board = self.board.configuration
        return board.state is NodeState.RUNNING and board.snapshot is not None

    def status(self, now: float) -> dict[str, Any]:
        """Return the fields of ``/status`` that the core provides."""
        board = self.board.configuration
        snapshot = board.snapshot
        has_snapshot = snapshot is not None
        # The newest text held may not run yet: it can wait for the first instance of
        # a service.
        history = board.history.get(self._context.document_key, ())
        text = next(
            (
                t
                for t in history
                if has_snapshot and t.digest == snapshot.document.digest
            ),
            None,
        )
        running_since = (
            self._context.incarnation / 1000
            + board.document_applied_at
            - self._started_at
        )
        read_at = board.document_applied_at if text is None else text.read_at
        return {
            "version": snapshot.document.version if has_snapshot else 0,
            "digest": snapshot.document.digest if has_snapshot else "",
            "since": running_since if has_snapshot else 0.0,
            "learned_from": "" if text is None else text.learned_from,
            "delay_ms": max(0, round((board.document_applied_at - read_at) * 1000)),
            "refused": [
                {"version": r.version, "digest": r.digest, "reason": r.reason}
                for (key, _, _), r in board.refused_versions.items()
                if key == self._context.document_key
            ],
            "instances_revision": self.board.membership.revision,
            "reader": self.board.membership.is_reader,
            "source": (
                board.source.value
                if self.board.membership.is_reader
                else self._corroboration.get_source_state(now)
            ),
        }

    def _on_started(self, event: Started, now: float) -> None:
        self._started_at = now
        self._join.start(now)

    def _on_tick(self, event: Tick, now: float) -> None:
        """Do nothing, because `handle` runs the controllers after each event."""

    def _on_message(self, event: PeerMessage, now: float) -> None:
        handler = self._message_handlers.get(type(event.message))
        if handler is None:
            return
        self._dissemination.record_contact(event.sender)
        self._membership.record_contact(event.sender)
        handler(event.sender, event.message, now)

    def _on_digest_reply(self, sender: Any, message: DigestReply, now: float) -> None:
        if self._dissemination.on_reply(sender, message, now):
            self._join.on_reply(sender, message, now)

    def _on_peer_unreachable(self, event: PeerUnreachable, now: float) -> None:
        self._membership.record_failure(event.peer, now)
        self._dissemination.on_unreachable(event.peer, now)
        self._transfer.on_unreachable(event.peer, now)

    def _on_resumed(self, event: Resumed, now: float) -> None:
        self._join.on_resumed(event.paused_s, now)

    def _on_stopping(self, event: Stopping, now: float) -> None:
        self._join.on_stopping(now)
