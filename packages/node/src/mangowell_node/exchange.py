"""Values of one request and its answer on their way through the nodes.

Header fields travel as one block of bytes, already in the form that HTTP/1.1
puts on the wire, so that a node neither decodes nor rebuilds them.
"""

from collections.abc import Iterable
from typing import Protocol

import msgspec

from mangowell_core.policy.outcome import Stage, refuse
from mangowell_core.policy.request_digest import make_fingerprint
from mangowell_core.policy.types import Cause, Outcome, Refusal

MAX_BUFFERED_BODY = 1_048_576  # bytes; larger request bodies get one attempt
MAX_INLINE_BODY = 65_536  # bytes; answers up to this size move as one unit
MAX_HEADER_BLOCK = 65_536  # bytes

# Fields that concern one connection only (RFC 9110, section 7.6.1), and those
# that a node writes itself.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    }
)
REQUEST_DROPPED = HOP_BY_HOP | {b"expect", b"mangowell-deadline-ms"}
ANSWER_DROPPED = HOP_BY_HOP | {b"mangowell-outcome", b"mangowell-alternate"}


class MessageFormatError(Exception):
    """Header fields or a body that cannot be passed on unchanged."""


class AttemptError(Exception):
    """End of an attempt without a complete answer.

    Parameters
    ----------
    refusal : Refusal
        What the caller is told if there is no further attempt.
    backend_load : float
        Load at the egress node, 0 to 1; negative if unknown.
    """

    def __init__(self, refusal: Refusal, backend_load: float = -1.0) -> None:
        super().__init__(refusal.reason or refusal.cause.value)
        self.refusal = refusal
        self.backend_load = backend_load

    @classmethod
    def at(cls, cause: Cause, stage: Stage, reason: str) -> "AttemptError":
        """Make the error for a cause at a stage of the request."""
        return cls(refuse(cause, reason, stage=stage))


class Body(Protocol):
    """Body that is read in chunks."""

    length: int
    """Bytes in all, or -1 if unknown."""

    async def read(self) -> bytes:
        """Return the next chunk, or ``b""`` at the end.

        Raises
        ------
        AttemptError
            If the body is cut off before its end.
        """
        ...

    def close(self) -> None:
        """Give up the rest of the body and cancel what produces it."""
        ...


class RequestHead(msgspec.Struct, array_like=True):
    """Request as it goes from the ingress node to the egress node.

    Parameters
    ----------
    request : str
        Request id.
    method, target : str
        `target` is path and query as the caller sent them.
    headers : bytes
        Lines that each end in CRLF, without the empty line.
    remaining_ms : float
        Time until the deadline, as seen when the head is sent.
    body : bytes
        Whole body, or empty if `streaming`.
    streaming : bool
        The body follows in chunks.
    length : int
        Bytes of a streamed body, or -1 if unknown.
    caller_service : str
        Service of the instance where the request began.
    instance : str
        Id of the worker that the ingress node has chosen.
    route : str
    objective_s : float
        Time from now within which an answer has its full worth, in seconds.
    is_call : bool
        Made by a worker while it runs another request.
    """

    request: str
    service: str
    method: str
    target: str
    headers: bytes
    tenant: str
    traffic_class: str
    priority: int
    deferrable: bool
    remaining_ms: float
    idempotent: bool
    idempotency_key: str = ""
    fingerprint: str = ""
    body: bytes = b""
    streaming: bool = False
    length: int = -1
    caller_service: str = ""
    instance: str = ""
    route: str = ""
    objective_s: float = 0.0
    is_call: bool = False


class AnswerHead(msgspec.Struct, array_like=True):
    """Answer as it goes from the egress node to the ingress node.

    Parameters
    ----------
    status : int
        HTTP status, or 0 if the attempt gave no answer of a backend server.
    reason : str
        Reason phrase, or the reason of a failed attempt.
    headers : bytes
        Lines that each end in CRLF, without the empty line.
    body : bytes
        Whole body, or empty if `streaming`.
    length : int
        Bytes of a streamed body, or -1 if unknown. For an answer to HEAD, the
        length that the backend server states.
    outcome, cause : str
        Values of `Outcome` and `Cause`.
    backend_load : float
        Load at the egress node, 0 to 1; negative if unknown.
    retried : bool
        A lower hop has spent retries on this request.
    proposed_status : int
        HTTP status for the caller if `status` is 0.
    is_not_run : bool
        The backend server says that it did not run the request.
    work_s : float
        Time that the backend server took, in seconds; negative if unknown.
    pending : int
        Requests that run or wait at the egress node; negative if unknown.
    slots : int
        Requests that run at once there; 0 if unknown.
    """

    status: int
    reason: str
    headers: bytes = b""
    body: bytes = b""
    streaming: bool = False
    length: int = -1
    outcome: str = Outcome.DONE.value
    cause: str = Cause.NONE.value
    retry_after_s: float = 0.0
    backend_load: float = -1.0
    retried: bool = False
    proposed_status: int = 0
    is_not_run: bool = False
    work_s: float = -1.0
    pending: int = -1
    slots: int = 0


class Answer:
    """Answer of a backend server, whole or with a body still to be read."""

    __slots__ = ("head", "stream")

    def __init__(self, head: AnswerHead, stream: Body | None = None) -> None:
        self.head = head
        self.stream = stream


def find_fingerprint(head: RequestHead) -> str:
    """Return the fingerprint of a request whose body is held."""
    path, _, query = head.target.partition("?")
    return make_fingerprint(head.method, path, query, head.body)


def make_failed_head(refusal: Refusal, backend_load: float) -> AnswerHead:
    """Describe a failed attempt for the ingress node."""
    return AnswerHead(
        status=0,
        reason=refusal.reason,
        outcome=refusal.outcome.value,
        cause=refusal.cause.value,
        retry_after_s=refusal.retry_after_s,
        backend_load=backend_load,
        proposed_status=refusal.status,
    )


def read_failed_head(head: AnswerHead) -> AttemptError:
    """Make the error that `make_failed_head` describes."""
    refusal = Refusal(
        Outcome(head.outcome),
        Cause(head.cause),
        head.proposed_status,
        head.retry_after_s,
        head.reason,
    )
    return AttemptError(refusal, head.backend_load)


def join_headers(
    raw_headers: Iterable[tuple[bytes, bytes]],
    dropped: frozenset[bytes],
    connection: str | None,
) -> bytes:
    """Join the header fields that go to the next hop.

    Parameters
    ----------
    raw_headers : iterable of (name, value)
    dropped : frozenset of bytes
        Lower-case names to leave out.
    connection : str or None
        Value of the ``Connection`` field, whose options are left out too.

    Returns
    -------
    bytes
        Lines that each end in CRLF.

    Raises
    ------
    MessageFormatError
        If the block is too large, or a value contains a line break.
    """
    if connection is not None and connection.lower() not in ("keep-alive", "close"):
        options = connection.lower().encode("utf-8", "surrogateescape").split(b",")
        dropped = dropped | {option.strip() for option in options}
    lines = [
        b"%b: %b\r\n" % (name, value)
        for name, value in raw_headers
        if name.lower() not in dropped
    ]
    block = b"".join(lines)
    if len(block) > MAX_HEADER_BLOCK:
        raise MessageFormatError(
            f"{len(block)} bytes of headers, limit {MAX_HEADER_BLOCK}"
        )
    # A folded value could otherwise be read as further fields by the next hop.
    if block.count(b"\n") != len(lines) or block.count(b"\r") != len(lines):
        raise MessageFormatError("line break in a header value")
    return block
