"""Context that the controllers of the distribution core share."""

from random import Random

from mangowell_core.blackboard import Blackboard
from mangowell_core.distribution.io import Effect, Emit, Peer, SendPeer, SnapshotReady
from mangowell_core.events import Event, EventCode
from mangowell_core.invariants import InvariantChecker
from mangowell_core.messages import Message
from mangowell_core.model import Instance, Snapshot
from mangowell_core.settings import NodeSettings

INSTANCES_KEY = "instances"
NEVER = float("inf")


# Denotes the configuration service in fields that otherwise hold a peer's name.
SOURCE_NAME = "source"


class Context:
    """Settings, blackboard and pending effects of one core.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    rng : random.Random
        Source of all random choices.
    incarnation : int
        Start time of the process in milliseconds since the epoch.
    """

    __slots__ = (
        "board",
        "checker",
        "document_key",
        "dropped",
        "effects",
        "incarnation",
        "instance",
        "keys",
        "rng",
        "settings",
    )

    def __init__(self, settings: NodeSettings, rng: Random, incarnation: int):
        self.settings = settings
        self.rng = rng
        self.incarnation = incarnation
        self.instance = settings.instance
        self.document_key = f"documents/{settings.environment}"
        self.keys = (self.document_key, INSTANCES_KEY)
        self.board = Blackboard()
        self.checker = InvariantChecker.from_level(settings.invariants)
        self.effects: list[Effect] = []
        self.dropped = 0

    def send(self, peer: Peer, message: Message) -> None:
        """Queue a message for a peer."""
        self.effects.append(SendPeer(peer, message))

    def emit(self, code: EventCode, **fields: str | int | float) -> None:
        """Queue a numbered event."""
        self.effects.append(Emit(Event(code, fields)))

    def announce_snapshot(self, snapshot: Snapshot) -> None:
        """Queue the effect that makes the driver run a snapshot."""
        self.effects.append(SnapshotReady(snapshot))

    def record_dropped_message(self, sender: Peer, reason: str) -> None:
        """Count a dropped message with invalid content and emit an event."""
        self.dropped += 1
        self.emit(
            EventCode.PEER_MESSAGE_DROPPED,
            peer=describe_peer(sender),
            reason=reason,
            dropped=self.dropped,
        )

    def look_up_peer(self, instance: str) -> Peer | None:
        """Return the control address of an instance in the membership view, if any."""
        found = self.board.membership.view.get(instance)
        return None if found is None else to_peer(found)


def to_peer(instance: Instance) -> Peer:
    """Return the control address of an instance."""
    return Peer(instance.name, instance.host, instance.control_port)


def describe_peer(peer: Peer) -> str:
    """Return the peer's name, or its address if the name is unknown."""
    return peer.instance or f"{peer.host}:{peer.control_port}"
