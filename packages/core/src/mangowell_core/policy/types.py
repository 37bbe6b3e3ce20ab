"""Values that pass between the request path and `RequestPolicy`.

Times are monotonic seconds; deadlines are points in time.
"""

from dataclasses import dataclass
from enum import Enum

from mangowell_core.model import Instance, Route, Service, TrafficClass


class Outcome(Enum):
    """What an answer made by a node says of the request.

    The value is sent in the ``Mangowell-Outcome`` header.
    """

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Cause(Enum):
    """Why an attempt or a call did not end with the backend server's answer."""

    NONE = "none"
    NO_ROUTE = "no-route"
    NOT_READY = "not-ready"
    NO_INSTANCE = "no-instance"
    LEAVING = "leaving"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    CONNECTION_SILENT = "connection-silent"
    BACKEND_CRASHED = "backend-crashed"
    BACKEND_STATUS = "backend-status"
    BAD_ANSWER = "bad-answer"
    QUARANTINED = "quarantined"
    SUSPECTED = "suspected"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_UNKNOWN = "key-unknown"
    KEY_OWNER_LOST = "key-owner-lost"
    KEY_REUSED = "key-reused"
    CANCELLED = "cancelled"


@dataclass(slots=True, frozen=True)
class Plan:
    """One call, matched to its route at the ingress node.

    Parameters
    ----------
    request : str
        Request id, for events.
    idempotency_key : str
        Empty if the caller gave none.
    fingerprint : str
        SHA-256 of method, path, query and body; empty until the body is read.
    """

    request: str
    method: str
    path: str
    route: Route
    service: Service
    traffic_class: TrafficClass
    tenant: str
    deadline: float
    idempotency_key: str = ""
    fingerprint: str = ""


@dataclass(slots=True, frozen=True)
class Choice:
    """Instance that the next attempt goes to."""

    instance: Instance
    is_local: bool


@dataclass(slots=True, frozen=True)
class Refusal:
    """A call or an attempt is not carried on.

    Parameters
    ----------
    outcome : Outcome
    cause : Cause
    status : int
        HTTP status for the caller.
    retry_after_s : float
        0 if a retry is no use.
    reason : str
        For the answer's body and the event.
    """

    outcome: Outcome
    cause: Cause
    status: int
    retry_after_s: float = 0.0
    reason: str = ""


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """End of one attempt, as the node that made it saw it.

    Parameters
    ----------
    outcome : Outcome
    cause : Cause
    status : int
        HTTP status, or 0 without an answer.
    latency_s : float
    retried : bool
        A lower hop has already spent retries on it.
    backend_load : float
        Load that the egress node reported, 0 to 1; negative if unknown.
    """

    outcome: Outcome
    cause: Cause
    status: int = 0
    latency_s: float = 0.0
    retried: bool = False
    backend_load: float = -1.0


@dataclass(slots=True, frozen=True)
class Work:
    """One request that asks for a slot at the egress node."""

    request: str
    service: str
    traffic_class: TrafficClass
    tenant: str
    deadline: float
    idempotent: bool
    idempotency_key: str = ""
    fingerprint: str = ""


@dataclass(slots=True, frozen=True)
class Admitted:
    """The request runs now; its slot is given back with `release`."""

    ticket: int


@dataclass(slots=True, frozen=True)
class Queued:
    """The request waits; a later `Dispatch` or `Expired` names its ticket."""

    ticket: int


@dataclass(slots=True, frozen=True)
class Dispatch:
    """A waiting request runs now."""

    ticket: int


@dataclass(slots=True, frozen=True)
class Expired:
    """A waiting request is refused."""

    ticket: int
    refusal: Refusal


@dataclass(slots=True, frozen=True)
class StoredAnswer:
    """Answer kept for callers that send the same idempotency key again."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True, frozen=True)
class RunKey:
    """The key has not run and may run now; end it with `finish`."""


@dataclass(slots=True, frozen=True)
class ReplayKey:
    """The key has run; give the caller this answer."""

    answer: StoredAnswer


@dataclass(slots=True, frozen=True)
class AskFences:
    """Each of these instances must promise first that it never runs the key."""

    instances: tuple[Instance, ...]


KeyDecision = RunKey | ReplayKey | AskFences | Refusal
