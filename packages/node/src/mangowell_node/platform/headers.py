"""Header fields of requests and answers on the platform."""

import re

import msgspec
from multidict import CIMultiDictProxy, istr

from mangowell_core.mesh.model import MAX_DURATION_S, WorkerId
from mangowell_core.mesh.worker_states import NO_RATE_LIMIT, UNKNOWN_RATE_LIMIT
from mangowell_node.exchange import HOP_BY_HOP, RequestHead

READY_PATH = "/api/ready"

_REQUEST_ID = istr("Request-Id")
_TIMEOUT_MS = istr("Timeout-Ms")
_NOT_EXECUTED = istr("Not-Executed")
_SERVER_LOAD = istr("Server-Load")
_SERVER_LIMIT = istr("Server-Limit")
_SERVER_LEAVING = istr("Server-Leaving")
_WARMUP_MS = istr("Warmup-Ms")
_INSTANCE_ID = istr("Instance-Id")
# Status of a worker that was started at the address of another one. It has not run
# the request.
_MISDIRECTED_STATUS = 421
_MAX_TIMEOUT_MS = 86_400_000
# Highest pace that is used; a worker that slow gets nothing in any case.
MAX_PACE = 100.0
# Non-negative decimal number of a reasonable length.
_DECIMAL = re.compile(r"[0-9]{1,12}(?:\.[0-9]{0,12})?")
# Number of slots that a link can carry and the placement can calculate with.
_SLOTS = re.compile(r"[0-9]{1,6}")
# Running and waiting requests, slots, and on some platforms the pace in percent.
_LOAD_FIELDS = (3, 4)
# Fields that the node sets itself; those of the caller are dropped.
_NODE_FIELDS = frozenset({b"timeout-ms", b"caller-service", b"expected-instance"})


class CallerFields:
    """Fields of a caller that concern the node.

    Parameters
    ----------
    request : str
        Id that the caller gave to this attempt; empty if it gave none.
    remaining_ms : int or None
        Time that the caller waits, in milliseconds; None if it is missing or not a
        number.
    """

    __slots__ = ("remaining_ms", "request")

    def __init__(self, request: str, remaining_ms: int | None):
        self.request = request
        self.remaining_ms = remaining_ms


def read_caller_fields(headers: CIMultiDictProxy[str]) -> CallerFields:
    """Return the fields that concern the node."""
    text = headers.get(_TIMEOUT_MS, "")
    remaining_ms = None
    if text.isascii() and text.isdigit():
        remaining_ms = min(int(text[:12]), _MAX_TIMEOUT_MS)
    return CallerFields(headers.get(_REQUEST_ID, ""), remaining_ms)


def write_refusal_fields(request: str, retry_after_s: float) -> bytes:
    """Return the header lines of a refusal by the node itself.

    Parameters
    ----------
    request : str
        Id that the caller gave; the line is omitted if it cannot be sent.
    retry_after_s : float
        Time after which the caller may retry, in seconds; 0 omits the line.
    """
    lines = []
    if request.isascii() and request.isprintable() and request:
        lines.append(f"{_REQUEST_ID}: {request}\r\n")
    if retry_after_s > 0:
        # The platform takes fractions of a second.
        lines.append(f"Retry-After: {retry_after_s:.3f}\r\n")
    return "".join(lines).encode()


class PlatformDialect:
    """Serves the platform: header fields between a node and its worker."""

    echoes_request_id = True
    allows_close_delimited = True
    dropped_fields = HOP_BY_HOP | _NODE_FIELDS | {b"expect"}

    def write_fields(self, head: RequestHead, remaining_ms: int) -> bytes:
        """Return the header lines that are added to a request.

        A health request is for whichever worker has started at the address.
        """
        if not head.instance:
            return f"Timeout-Ms: {remaining_ms}\r\n".encode()
        return (
            f"Timeout-Ms: {remaining_ms}\r\n"
            f"Expected-Instance: {head.instance}\r\n"
            f"Caller-Service: {head.caller_service}\r\n"
        ).encode()

    def read_request_id(self, headers: CIMultiDictProxy[str]) -> str | None:
        """Return the id of the request that an answer belongs to."""
        return headers.get(_REQUEST_ID)

    def is_not_run(self, status: int, headers: CIMultiDictProxy[str]) -> bool:
        """Return whether the worker reports that it did not run the request."""
        return _NOT_EXECUTED in headers or status == _MISDIRECTED_STATUS

    def read_slots(self, headers: CIMultiDictProxy[str]) -> int:
        """Return the number of slots that the worker reports, or 0 if it is missing."""
        fields = headers.get(_SERVER_LOAD, "").split(",")
        if len(fields) not in _LOAD_FIELDS or not _SLOTS.fullmatch(fields[2].strip()):
            return 0
        return int(fields[2])

    def read_pace(self, headers: CIMultiDictProxy[str]) -> float:
        """Return how long work takes on the worker's machine now, relative to usual.

        0 if the worker does not report it.
        """
        fields = headers.get(_SERVER_LOAD, "").split(",")
        if len(fields) < 4 or not _DECIMAL.fullmatch(fields[3].strip()):
            return 0.0
        return min(MAX_PACE, float(fields[3]) / 100)

    def read_warmup(self, headers: CIMultiDictProxy[str]) -> float | None:
        """Return for how long the worker stays cold, in seconds; None if not stated."""
        text = headers.get(_WARMUP_MS, "").strip()
        if _DECIMAL.fullmatch(text) is None:
            return None
        return min(float(text) / 1000, MAX_DURATION_S)

    def read_instance(self, headers: CIMultiDictProxy[str]) -> str:
        """Return the id that the worker states; empty if it states no valid one."""
        try:
            return msgspec.convert(headers.get(_INSTANCE_ID, "").strip(), WorkerId)
        except msgspec.ValidationError:
            return ""

    def read_rate_limit(self, headers: CIMultiDictProxy[str]) -> float:
        """Return the requests per second that the worker takes from all nodes.

        Infinity if the answer states no limit, negative if it cannot be read.
        """
        text = headers.get(_SERVER_LIMIT)
        if text is None:
            return NO_RATE_LIMIT
        if _DECIMAL.fullmatch(text.strip()) is None:
            return UNKNOWN_RATE_LIMIT
        return float(text)

    def is_leaving(self, headers: CIMultiDictProxy[str]) -> bool:
        """Return whether the worker states that it is about to stop."""
        return headers.get(_SERVER_LEAVING, "").strip() == "1"
