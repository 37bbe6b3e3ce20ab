"""Input events and effects of the distribution core.

A driver calls ``core.handle(event, now)`` and executes the returned effects in
order. Times are monotonic seconds.
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
    """A read or watch returned a value.

    `digest` is the digest that the configuration service sent. `wire_bytes` is the
    size of the response as it was sent, possibly compressed.
    """

    key: str
    body: bytes
    digest: str
    revision: int
    wire_bytes: int = 0


@dataclass(slots=True, frozen=True)
class SourceUnchanged:
    """A read or watch ended without a change."""

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
    """A planned shutdown has begun."""


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
    """Send a control message to a peer."""

    peer: Peer
    message: Message


@dataclass(slots=True, frozen=True)
class ReadSource:
    """Read or watch a key.

    Parameters
    ----------
    key : str
        Key in the configuration service.
    after : str
        Digest of the text already held, which the source need not send; empty if
        none is held.
    wait_deadline : float
        When the watch ends, monotonic seconds. A time that is not in the future makes
        it an immediate read.
    """

    key: str
    after: str
    wait_deadline: float


@dataclass(slots=True, frozen=True)
class CancelRead:
    """Cancel the open read or watch of a key."""

    key: str


@dataclass(slots=True, frozen=True)
class SnapshotReady:
    """Replace the running snapshot by this one."""

    snapshot: Snapshot


@dataclass(slots=True, frozen=True)
class Emit:
    """Record a numbered event."""

    event: Event


Effect = SendPeer | ReadSource | CancelRead | SnapshotReady | Emit
