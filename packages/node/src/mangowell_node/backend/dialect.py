"""Header fields that the node and the backend server add for each other."""

from enum import Enum
from typing import Protocol

from multidict import CIMultiDictProxy

from mangowell_node.exchange import RequestHead


class RefusalIds(Enum):
    """Whether the refusals of a backend server bear the id of their request."""

    UNKNOWN = "unknown"
    ECHOED = "echoed"
    OMITTED = "omitted"


class BackendDialect(Protocol):
    """Writes and reads the header fields of one kind of backend server."""

    echoes_request_id: bool
    """Whether answers carry the id of their request."""

    allows_close_delimited: bool
    """Whether the end of the connection may mark the end of an answer."""

    def write_fields(self, head: RequestHead, remaining_ms: int) -> bytes:
        """Return the header lines to add to a request, each ending in CRLF.

        Parameters
        ----------
        head : RequestHead
        remaining_ms : int
            Milliseconds until the deadline of the request.
        """
        ...

    def read_request_id(self, headers: CIMultiDictProxy[str]) -> str | None:
        """Return the id of the request that an answer belongs to, or None."""
        ...

    def is_not_run(self, status: int, headers: CIMultiDictProxy[str]) -> bool:
        """Return whether the answer states that the request did not run."""
        ...

    def read_slots(self, headers: CIMultiDictProxy[str]) -> int:
        """Return the number of slots that the answer reports, or 0 if none."""
        ...

    def read_rate_limit(self, headers: CIMultiDictProxy[str]) -> float:
        """Return the requests per second that the backend server takes.

        Infinity if the answer states no limit, negative if it cannot be read.
        """
        ...

    def is_leaving(self, headers: CIMultiDictProxy[str]) -> bool:
        """Return whether the answer states that the backend server is stopping."""
        ...


class NativeDialect:
    """Header fields of Mangowell's native interface; see ``docs/http.md``."""

    echoes_request_id = False
    allows_close_delimited = False

    def write_fields(self, head: RequestHead, remaining_ms: int) -> bytes:
        """Return the header lines with the remaining time and the id."""
        return b"Mangowell-Deadline-Ms: %d\r\nMangowell-Request: %b\r\n" % (
            remaining_ms,
            head.request.encode(),
        )

    def read_request_id(self, headers: CIMultiDictProxy[str]) -> str | None:
        """Return None: answers arrive in the order of their requests."""
        return None

    def is_not_run(self, status: int, headers: CIMultiDictProxy[str]) -> bool:
        """Return False: the native interface has no field for it."""
        return False

    def read_slots(self, headers: CIMultiDictProxy[str]) -> int:
        """Return 0: the native interface has no field for it."""
        return 0

    def read_rate_limit(self, headers: CIMultiDictProxy[str]) -> float:
        """Return -1: the native interface has no field for it."""
        return -1.0

    def is_leaving(self, headers: CIMultiDictProxy[str]) -> bool:
        """Return False: the native interface has no field for it."""
        return False
