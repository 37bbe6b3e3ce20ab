"""State that controllers share.

Each field is written by the one controller named beside it and read by any.
Times are monotonic seconds.
"""

from dataclasses import dataclass, field
from enum import Enum

from mangowell_core.messages import Heartbeat, KeyVersion
from mangowell_core.model import Document, Instance, InstanceList, Snapshot


@dataclass(slots=True, frozen=True)
class Text:
    """Valid text of one key.

    Parameters
    ----------
    key : str
    version : int
        The document's version, or the instance list's revision.
    digest : str
    body : bytes
    value : Document or InstanceList
        The parsed text.
    learned_from : str
        ``source`` or the name of the peer that sent the text.
    read_at : float
        When a reader first got this version from the source, as far as known.
    """

    key: str
    version: int
    digest: str
    body: bytes
    value: Document | InstanceList
    learned_from: str
    read_at: float

    def to_key_version(self) -> KeyVersion:
        """Return what other nodes need to know of this text."""
        return KeyVersion(self.key, self.version, self.digest)


@dataclass(slots=True, frozen=True)
class RefusedVersion:
    """Version that this node never runs."""

    version: int
    digest: str
    reason: str


@dataclass(slots=True)
class Sighting:
    """Version that a reader claims to have from the source.

    `first_at` is the earliest known confirmation by the source, `confirmed_at`
    the latest one.
    """

    version: int
    digest: str
    first_at: float
    confirmed_at: float


@dataclass(slots=True)
class Claim:
    """Newest heartbeat of one reader and the versions that it has claimed.

    `sightings` holds the latest few for each key, newest first. `lagging_since`
    is the time since when the reader has been behind the running version, or
    infinity.
    """

    heartbeat: Heartbeat
    heard_at: float
    via: str
    sightings: dict[str, list[Sighting]] = field(default_factory=dict)
    lagging_since: float = float("inf")


class SourceState(Enum):
    """What this node knows of the configuration service."""

    UNKNOWN = "unknown"
    UP = "up"
    DOWN = "down"
    STALE = "stale"


class NodeState(Enum):
    """Stage of the node's life that decides whether it accepts calls."""

    NEW = "new"
    JOINING = "joining"
    RUNNING = "running"
    PAUSED = "paused"
    STOPPING = "stopping"


@dataclass(slots=True)
class ConfigurationBoard:
    """Texts, evidence for them, and the state of this node."""

    # gate
    held: dict[str, Text] = field(default_factory=dict)
    history: dict[str, tuple[Text, ...]] = field(default_factory=dict)
    refused: dict[tuple[str, int, str], RefusedVersion] = field(default_factory=dict)
    # corroboration
    claims: dict[str, Claim] = field(default_factory=dict)
    contradicted_since: dict[str, float] = field(default_factory=dict)
    # readers
    source: SourceState = SourceState.UNKNOWN
    given: dict[str, Sighting] = field(default_factory=dict)
    # snapshot
    snapshot: Snapshot | None = None
    snapshot_at: float = 0.0
    # join
    state: NodeState = NodeState.NEW


@dataclass(slots=True)
class MembershipBoard:
    """Damped view of the instances and this node's place in it.

    `epoch` rises with each change of the view.
    """

    # membership
    epoch: int = 0
    revision: int = 0
    view: dict[str, Instance] = field(default_factory=dict)
    unconfirmed: dict[str, float] = field(default_factory=dict)
    domains: dict[str, tuple[str, ...]] = field(default_factory=dict)
    # readers
    ranking: tuple[str, ...] = ()
    is_reader: bool = False


@dataclass(slots=True)
class Blackboard:
    """Boards that the controllers of one node share."""

    configuration: ConfigurationBoard = field(default_factory=ConfigurationBoard)
    membership: MembershipBoard = field(default_factory=MembershipBoard)
