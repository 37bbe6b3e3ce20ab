"""Events that a driver feeds to the distribution core, and its effects.

A driver calls ``core.handle(event, now)`` and carries out the effects in the
order given. Times are monotonic seconds.
"""

from dataclasses import dataclass

from mangowell_core.events import Event
from mangowell_core.messages import Message
from mangowell_core.model import Snapshot


@dataclass(slots=True, frozen=True)
class Peer:
    """Address of another node's control socket.

    `instance` is empty for a seed whose name is not known yet.
    """

    instance: str
    host: str
    control_port: int


@dataclass(slots=True, frozen=True)
class Started:
    """The process has started and its sockets are open."""


@dataclass(slots=True, frozen=True)
class Tick:
    """The deadline given by ``core.next_deadline()`` has passed."""


@dataclass(slots=True, frozen=True)
class SourceValue:
    """A read or watch was answered with a value.

    `digest` is the one that the configuration service gave, `wire_bytes` the
    size of the answer as it was sent, which may be compressed.
    """

    key: str
    body: bytes
    digest: str
    revision: int
    wire_bytes: int = 0


@dataclass(slots=True, frozen=True)
class SourceUnchanged:
    """A watch ended without a change."""

    key: str


@dataclass(slots=True, frozen=True)
class SourceFailed:
    """A read or watch failed."""

    key: str
    reason: str


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A control message arrived from a node that holds the fleet's key."""

    sender: Peer
    message: Message


@dataclass(slots=True, frozen=True)
class PeerUnreachable:
    """A connection to a peer failed, or a send found its queue full."""

    peer: Peer


@dataclass(slots=True, frozen=True)
class Resumed:
    """The process was paused for `paused_s` seconds."""

    paused_s: float


@dataclass(slots=True, frozen=True)
class Stopping:
    """A planned stop has begun."""


InputEvent = (
    Started
    | Tick
    | SourceValue
    | SourceUnchanged
    | SourceFailed
    | PeerMessage
    | PeerUnreachable
    | Resumed
    | Stopping
)


@dataclass(slots=True, frozen=True)
class SendPeer:
    """Send a control message."""

    peer: Peer
    message: Message


@dataclass(slots=True, frozen=True)
class ReadSource:
    """Read or watch a key.

    Parameters
    ----------
    key : str
    after : str
        Digest already held; empty for none.
    wait_deadline : float
        The watch ends at this time; a time that has passed means a plain read.
    """

    key: str
    after: str
    wait_deadline: float


@dataclass(slots=True, frozen=True)
class CancelRead:
    """Give up the open read or watch of a key."""

    key: str


@dataclass(slots=True, frozen=True)
class SnapshotReady:
    """Run this snapshot from now on."""

    snapshot: Snapshot


@dataclass(slots=True, frozen=True)
class Emit:
    """Record a numbered event."""

    event: Event


Effect = SendPeer | ReadSource | CancelRead | SnapshotReady | Emit
