"""State that the controllers of a node share.

Each field is written by the controller named above it and read by all of them.
Times are monotonic seconds.
"""

from dataclasses import dataclass, field
from enum import Enum

from mangowell_core.messages import Heartbeat, KeyVersion
from mangowell_core.model import Document, Instance, InstanceList, Snapshot


@dataclass(slots=True, frozen=True)
class VersionedText:
    """Valid text of one key of the configuration service.

    Parameters
    ----------
    key : str
        Key that the source stores the text under.
    version : int
        The document's version, or the instance list's revision.
    digest : str
        SHA-256 of `body`, in hexadecimal.
    body : bytes
        The text as the source returns it.
    value : Document or InstanceList
        The parsed text.
    learned_from : str
        ``source`` or the name of the peer that sent the text.
    read_at : float
        Earliest known time at which a reader got this version from the source.
    """

    key: str
    version: int
    digest: str
    body: bytes
    value: Document | InstanceList
    learned_from: str
    read_at: float

    def to_key_version(self) -> KeyVersion:
        """Return the key, version and digest of this text for a message."""
        return KeyVersion(self.key, self.version, self.digest)


@dataclass(slots=True, frozen=True)
class RefusedVersion:
    """Version that this node rejected and never runs."""

    version: int
    digest: str
    reason: str


@dataclass(slots=True)
class ReportedVersion:
    """Version that a reader reports to have read from the source.

    `first_at` is the time of the earliest known confirmation by the source,
    `confirmed_at` the time of the latest one.
    """

    version: int
    digest: str
    first_at: float
    confirmed_at: float


@dataclass(slots=True)
class ReaderClaim:
    """Newest heartbeat of one reader and the versions that it has reported.

    `heard_at` is when the heartbeat arrived and `relayed_by` names the peer that sent
    or relayed it. `reported_versions` holds the latest few versions of each key, newest
    first. `lagging_since` is the time at which the reader fell behind the running
    version, or infinity if it is not behind.
    """

    heartbeat: Heartbeat
    heard_at: float
    relayed_by: str
    reported_versions: dict[str, list[ReportedVersion]] = field(default_factory=dict)
    lagging_since: float = float("inf")


class SourceState(Enum):
    """State of the configuration service as this node sees it.

    The source is stale if it confirms a lower version than the one this node holds.
    """

    UNKNOWN = "unknown"
    UP = "up"
    DOWN = "down"
    STALE = "stale"


class NodeState(Enum):
    """Life cycle state of the node, which decides whether it accepts calls."""

    NEW = "new"
    JOINING = "joining"
    RUNNING = "running"
    PAUSED = "paused"
    STOPPING = "stopping"


@dataclass(slots=True)
class ConfigurationBoard:
    """Texts, the evidence for their versions, and the state of this node.

    Parameters
    ----------
    running_texts : dict of str to VersionedText
        Running text by key.
    history : dict of str to tuple of VersionedText
        Latest accepted texts by key, newest first.
    refused_versions : dict of tuple to RefusedVersion
        Rejected versions by key, version and digest.
    reader_claims : dict of str to ReaderClaim
        Evidence from other readers by reader.
    contradiction_times : dict of str to float
        Time since when a pending version is held back because readers disagree,
        by key.
    source : SourceState
    confirmed_by_source : dict of str to ReportedVersion
        Version by key that this node itself last got from the source.
    snapshot : Snapshot or None
        What the node runs.
    document_applied_at : float
        Time at which the document in `snapshot` took effect.
    state : NodeState
    """

    # Written by the gate.
    running_texts: dict[str, VersionedText] = field(default_factory=dict)
    history: dict[str, tuple[VersionedText, ...]] = field(default_factory=dict)
    refused_versions: dict[tuple[str, int, str], RefusedVersion] = field(
        default_factory=dict
    )
    # Written by the corroboration controller.
    reader_claims: dict[str, ReaderClaim] = field(default_factory=dict)
    contradiction_times: dict[str, float] = field(default_factory=dict)
    # Written by the readers controller.
    source: SourceState = SourceState.UNKNOWN
    confirmed_by_source: dict[str, ReportedVersion] = field(default_factory=dict)
    # Written by the snapshot controller.
    snapshot: Snapshot | None = None
    document_applied_at: float = 0.0
    # Written by the join controller.
    state: NodeState = NodeState.NEW


@dataclass(slots=True)
class MembershipBoard:
    """Damped view of the instances and this node's rank among them.

    Parameters
    ----------
    epoch : int
        Increases with each change of the view.
    revision : int
        Revision of the instance list that the view is based on.
    view : dict of str to Instance
        Instances by name.
    unconfirmed : dict of str to float
        Instances that the list no longer names, but that stay in the view until
        their removal is confirmed, with the time at which they went missing.
    instances_by_domain : dict of str to tuple of str
        Names of the instances in the view by failure domain. This node is
        included even if the view lacks it.
    ranking : tuple of str
        Instances of this failure domain in the order in which they become readers.
    is_reader : bool
        Whether this node reads from the source.
    """

    # Written by the membership controller.
    epoch: int = 0
    revision: int = 0
    view: dict[str, Instance] = field(default_factory=dict)
    unconfirmed: dict[str, float] = field(default_factory=dict)
    instances_by_domain: dict[str, tuple[str, ...]] = field(default_factory=dict)
    # Written by the readers controller.
    ranking: tuple[str, ...] = ()
    is_reader: bool = False


@dataclass(slots=True)
class Blackboard:
    """Shared state of the controllers of one node."""

    configuration: ConfigurationBoard = field(default_factory=ConfigurationBoard)
    membership: MembershipBoard = field(default_factory=MembershipBoard)
