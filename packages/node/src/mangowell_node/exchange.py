"""Request and answer types shared by the ingress, the link and the egress.

Header fields are passed as one block of bytes in HTTP/1.1 wire format, so that
no node has to decode or rebuild them.
"""

from collections.abc import Iterable
from typing import Annotated, Protocol

import msgspec
from msgspec import Meta

from mangowell_core import formats
from mangowell_core.policy.outcome import OUTCOMES, Stage, refuse
from mangowell_core.policy.request_digest import make_fingerprint
from mangowell_core.policy.types import Cause, Outcome, Refusal

MAX_BUFFERED_BODY = 1_048_576  # bytes; requests with a larger body get one attempt
MAX_INLINE_BODY = 65_536  # bytes; answers up to this size are sent in one piece
MAX_HEADER_BLOCK = 65_536  # bytes
MAX_STATED_LENGTH = 2**62  # bytes; a length that a link can carry
# Status codes of a final answer. A parser also accepts others of three digits, such
# as 000, which no caller can interpret.
FINAL_STATUSES = range(200, 600)
# Statuses of answers that have no body, whatever their fields announce.
BODILESS_STATUSES = frozenset({204, 304})
# Status, outcome and cause of each refusal that a node sends to another one.
_SENT_REFUSALS = frozenset(
    (status, outcome, cause)
    for (cause, _), (row_outcome, status, _) in OUTCOMES.items()
    for outcome in (row_outcome, Outcome.UNKNOWN)
    if status >= 400
)
# The key of a request that has run, but whose answer was not stored.
_KEY_HAS_RUN = (409, Outcome.DONE, Cause.NONE)
# A request that has arrived at another worker than the one that was meant.
_MISDIRECTED = (421, Outcome.NOT_RUN, Cause.NO_INSTANCE)

# Bounds of the numbers in a head that another node has sent: numbers with which a
# timer or a sum can be calculated, so neither infinity nor NaN.
_Integer = Annotated[int, Meta(ge=-(2**31), le=2**31)]
_Finite = Annotated[float, Meta(ge=-1e12, le=1e12)]
_Status = Annotated[int, Meta(ge=0, le=999)]
# -1 if unknown.
_Length = Annotated[int, Meta(ge=-1, le=MAX_STATED_LENGTH)]
# Infinity for no limit; negative if unknown.
_RateLimit = Annotated[float, Meta(ge=-1)]

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
DROPPED_REQUEST_HEADERS = HOP_BY_HOP | {
    b"expect",
    b"mangowell-deadline-ms",
    b"mangowell-request",
}
DROPPED_ANSWER_HEADERS = HOP_BY_HOP | {b"mangowell-outcome", b"mangowell-alternate"}


class MessageFormatError(Exception):
    """Raised if header fields or a body cannot be forwarded unchanged."""


class AttemptError(Exception):
    """Raised if an attempt ends without a complete answer.

    Parameters
    ----------
    refusal : Refusal
        Refusal that the caller gets if there is no further attempt.
    backend_load : float
        Load at the egress node, 0 to 1; negative if unknown.
    slots : int
        Number of requests that the egress node runs at once; 0 if unknown.
    """

    def __init__(
        self, refusal: Refusal, backend_load: float = -1.0, slots: int = 0
    ) -> None:
        super().__init__(refusal.reason or refusal.cause.value)
        self.refusal = refusal
        self.backend_load = backend_load
        self.slots = slots

    @classmethod
    def at(cls, cause: Cause, stage: Stage, reason: str) -> "AttemptError":
        """Build the error for a cause and the stage that the request had reached."""
        return cls(refuse(cause, reason, stage=stage))


class Body(Protocol):
    """Body that is read in chunks."""

    length: int
    """Total number of bytes, or -1 if unknown."""

    async def read(self) -> bytes:
        """Return the next chunk, or ``b""`` at the end.

        Raises
        ------
        AttemptError
            If the body is cut off before its end.
        """
        ...

    def close(self) -> None:
        """Discard the rest of the body and cancel its producer."""
        ...


class RequestHead(msgspec.Struct, array_like=True):
    """Request as sent from the ingress node to the egress node.

    Parameters
    ----------
    request : str
        Request id.
    service : str
        Service that the request is for.
    method, target : str
        `target` is path and query as the caller sent them.
    headers : bytes
        Lines that each end in CRLF, without the empty line.
    tenant : str
    traffic_class : str
        Name of the class; `priority` and `deferrable` are its properties.
    remaining_ms : float
        Time from sending the head until the deadline, in milliseconds.
    idempotent : bool
        Whether the request may run more than once.
    idempotency_key : str
        Key that the caller gave, or empty.
    fingerprint : str
        Digest of method, target and body, or empty if it has not been computed.
    body : bytes
        Whole body, or empty if `streaming`.
    streaming : bool
        Whether the body follows in chunks.
    length : int
        Bytes of a streamed body, or -1 if unknown.
    caller_service : str
        Service of the instance at which the request entered (mesh only).
    instance : str
        Id of the worker that the ingress node has selected (mesh only).
    route : str
        Name of the route (mesh only).
    objective_s : float
        Time from now within which an answer has its full value, in seconds.
    is_call : bool
        Whether a worker made the request while running another one.
    rate_limit : float
        Rate limit of the worker as the ingress node knows it, in requests per
        second; infinity for no limit, negative if unknown.
    """

    request: str
    service: str
    method: str
    target: str
    headers: bytes
    tenant: str
    traffic_class: str
    priority: _Integer
    deferrable: bool
    remaining_ms: _Finite
    idempotent: bool
    idempotency_key: str = ""
    fingerprint: str = ""
    body: bytes = b""
    streaming: bool = False
    length: _Length = -1
    caller_service: str = ""
    instance: str = ""
    route: str = ""
    objective_s: _Finite = 0.0
    is_call: bool = False
    rate_limit: _RateLimit = -1.0


class AnswerHead(msgspec.Struct, array_like=True):
    """Answer as sent from the egress node to the ingress node.

    Parameters
    ----------
    status : int
        HTTP status, or 0 if the attempt got no answer from a backend server.
    reason : str
        Reason phrase, or the reason of a failed attempt.
    headers : bytes
        Lines that each end in CRLF, without the empty line.
    body : bytes
        Whole body, or empty if `streaming`.
    length : int
        Bytes of a streamed body, or -1 if unknown. For an answer to HEAD, the
        length that the backend server declares.
    outcome, cause : str
        Values of `Outcome` and `Cause`.
    retry_after_s : float
        Time after which the caller may try again, in seconds; 0 for none.
    backend_load : float
        Load at the egress node, 0 to 1; negative if unknown.
    retried : bool
        Whether a hop further down has already retried this request.
    proposed_status : int
        HTTP status for the caller if `status` is 0.
    is_not_run : bool
        Whether the backend server declares that it did not run the request.
    work_s : float
        Time that the backend server took, in seconds; negative if unknown.
    pending : int
        Number of requests running or waiting at the egress node; negative if unknown.
    slots : int
        Number of requests that the egress node runs at once; 0 if unknown.
    rate_limit : float
        Requests per second that the backend server takes from all nodes; infinity
        for no limit, negative if unknown.
    is_leaving : bool
        Whether the backend server states that it is stopping.
    pace : float
        How long work takes on the backend server's machine now, relative to usual; 0
        if unknown.
    instance : str
        Id that a backend server states which did not run a request because another
        one was expected; else empty.
    """

    status: _Status
    reason: str
    headers: bytes = b""
    body: bytes = b""
    streaming: bool = False
    length: _Length = -1
    outcome: str = Outcome.DONE.value
    cause: str = Cause.NONE.value
    retry_after_s: _Finite = 0.0
    backend_load: _Finite = -1.0
    retried: bool = False
    proposed_status: _Status = 0
    is_not_run: bool = False
    work_s: _Finite = -1.0
    pending: _Integer = -1
    slots: _Integer = 0
    rate_limit: _RateLimit = -1.0
    is_leaving: bool = False
    pace: _Finite = 0.0
    instance: str = ""


class Answer:
    """Answer of a backend server.

    Parameters
    ----------
    head : AnswerHead
    stream : Body or None
        Body that is still to be read; None if `head` holds all of it.
    """

    __slots__ = ("head", "stream")

    def __init__(self, head: AnswerHead, stream: Body | None = None) -> None:
        self.head = head
        self.stream = stream


def compute_fingerprint(head: RequestHead) -> str:
    """Compute the fingerprint of a request whose whole body is in memory."""
    path, _, query = head.target.partition("?")
    return make_fingerprint(head.method, path, query, head.body)


def make_failed_head(
    refusal: Refusal, backend_load: float, slots: int = 0
) -> AnswerHead:
    """Build the head that reports a failed attempt to the ingress node."""
    return AnswerHead(
        status=0,
        reason=refusal.reason,
        outcome=refusal.outcome.value,
        cause=refusal.cause.value,
        retry_after_s=refusal.retry_after_s,
        backend_load=backend_load,
        proposed_status=refusal.status,
        slots=slots,
    )


def parse_failed_head(head: AnswerHead) -> AttemptError:
    """Rebuild the error from a head that `make_failed_head` built.

    A refusal that no node sends, such as one with status 200, is no statement about
    the request, which may have run.
    """
    outcome, cause, status = Outcome(head.outcome), Cause(head.cause), head.status
    refusal = (head.proposed_status, outcome, cause)
    is_unknown = refusal[:2] == (502, Outcome.UNKNOWN)
    is_sent = refusal in _SENT_REFUSALS or refusal in (_KEY_HAS_RUN, _MISDIRECTED)
    if status or not (is_unknown or is_sent):
        reason = f"refusal with status {status or head.proposed_status}"
        return AttemptError.at(Cause.BAD_ANSWER, Stage.ANSWERED, reason)
    return AttemptError(
        Refusal(outcome, cause, head.proposed_status, head.retry_after_s, head.reason),
        head.backend_load,
        head.slots,
    )


def find_failure(head: AnswerHead, method: str) -> AttemptError | None:
    """Return the error of a head that is no answer to a request, or None.

    Parameters
    ----------
    head : AnswerHead
        Head that another node has sent.
    method : str
        Method of the request.
    """
    if head.status == 0:
        return parse_failed_head(head)
    # A caller would take the bytes of a body that must not be there for the start of
    # its next answer.
    is_bodiless = head.status in BODILESS_STATUSES
    if head.status not in FINAL_STATUSES:
        reason = f"answer with status {head.status}"
    elif head.streaming and (head.body or is_bodiless or method == "HEAD"):
        reason = f"answer with status {head.status} and a streamed body"
    elif head.body and is_bodiless:
        reason = f"answer with status {head.status} and a body"
    else:
        return None
    return AttemptError.at(Cause.BAD_ANSWER, Stage.ANSWERED, reason)


def check_text(*texts: str) -> None:
    """Check that texts of a caller can be encoded for a link or a log line.

    Raises
    ------
    MessageFormatError
        If one of them stems from bytes that are no UTF-8.
    """
    for text in texts:
        if not text.isascii():
            formats.decode(str.encode, text, MessageFormatError, "request line or id")


def join_headers(
    raw_headers: Iterable[tuple[bytes, bytes]],
    dropped: frozenset[bytes],
    connection: str | None,
) -> bytes:
    """Join the header fields to forward to the next hop.

    Parameters
    ----------
    raw_headers : iterable of (name, value)
    dropped : frozenset of bytes
        Lower-case names of fields to leave out.
    connection : str or None
        Value of the ``Connection`` field, whose options name further fields
        to leave out.

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
            f"header fields take {len(block)} bytes, limit {MAX_HEADER_BLOCK}"
        )
    # Without this check, the next hop could read a folded value as extra fields.
    if block.count(b"\n") != len(lines) or block.count(b"\r") != len(lines):
        raise MessageFormatError("line break in a header value")
    return block
