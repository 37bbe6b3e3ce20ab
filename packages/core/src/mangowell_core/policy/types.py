"""Values that pass between the request path and `RequestPolicy`.

Times are monotonic seconds; deadlines are points in time.
"""

from dataclasses import dataclass
from enum import Enum

from mangowell_core.model import Instance, Route, Service, TrafficClass


class Outcome(Enum):
    """Outcome of a request, as stated in an answer that a node generates.

    The value is sent in the ``Mangowell-Outcome`` header.
    """

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Cause(Enum):
    """Reason why an attempt or a call ended without the backend server's answer."""

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
    """Call with its route, traffic class and deadline, at the ingress node.

    Parameters
    ----------
    request : str
        Request id, for events.
    deadline : float
        Time by which the call must end, monotonic seconds.
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
    """Instance selected for the next attempt.

    Parameters
    ----------
    instance : Instance
    is_local : bool
        Whether the instance is the local one.
    """

    instance: Instance
    is_local: bool


@dataclass(slots=True, frozen=True)
class Refusal:
    """Decision that a call or an attempt does not continue.

    Parameters
    ----------
    outcome : Outcome
    cause : Cause
    status : int
        HTTP status for the caller.
    retry_after_s : float
        Value of ``Retry-After`` in seconds; 0 if a retry is useless.
    reason : str
        Text for the body of the answer and for the event.
    """

    outcome: Outcome
    cause: Cause
    status: int
    retry_after_s: float = 0.0
    reason: str = ""


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """End of one attempt, as observed by the node that made the attempt.

    Parameters
    ----------
    outcome : Outcome
    cause : Cause
    status : int
        HTTP status, or 0 without an answer.
    latency_s : float
        Duration of the attempt, seconds.
    retried : bool
        Whether a downstream hop has already spent retries on the request.
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
    """Request for a slot at the egress node.

    Parameters
    ----------
    request : str
        Request id, for events.
    deadline : float
        Time by which the request must end, monotonic seconds.
    idempotency_key, fingerprint : str
        As in `Plan`; empty if there is none.
    """

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
    """The request runs now; its slot is freed with `RequestPolicy.release`."""

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
    """Answer stored for calls that repeat the idempotency key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True, frozen=True)
class RunKey:
    """The key has not run and may run now; `RequestPolicy.key_finish` ends the run."""


@dataclass(slots=True, frozen=True)
class ReplayKey:
    """The key has run; the caller receives the stored answer."""

    answer: StoredAnswer


@dataclass(slots=True, frozen=True)
class AskFences:
    """Before the key may run, each instance must promise never to run it."""

    instances: tuple[Instance, ...]


KeyDecision = RunKey | ReplayKey | AskFences | Refusal
