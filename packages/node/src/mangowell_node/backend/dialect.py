"""What a backend server expects beside the caller's header fields."""

from typing import Protocol

from multidict import CIMultiDictProxy

from mangowell_node.exchange import RequestHead


class WorkerDialect(Protocol):
    """Header fields that node and backend server exchange."""

    checks_identity: bool
    """Whether answers name their request."""

    allows_unframed: bool
    """Whether an answer may end with its connection."""

    def write_fields(self, head: RequestHead, remaining_ms: int) -> bytes:
        """Return the lines to add to a request, each ending in CRLF."""
        ...

    def read_request_id(self, headers: CIMultiDictProxy[str]) -> str | None:
        """Return the id of the request that an answer belongs to."""
        ...

    def is_not_run(self, status: int, headers: CIMultiDictProxy[str]) -> bool:
        """Tell whether the backend server says that it did not run the request."""
        ...

    def read_slots(self, headers: CIMultiDictProxy[str]) -> int:
        """Return the slots that the backend server reports, or 0."""
        ...


class OwnDialect:
    """Fields of the product's own interface; see ``docs/http.md``."""

    checks_identity = False
    allows_unframed = False

    def write_fields(self, head: RequestHead, remaining_ms: int) -> bytes:
        """Return the line with the remaining time."""
        return b"Mangowell-Deadline-Ms: %d\r\n" % remaining_ms

    def read_request_id(self, headers: CIMultiDictProxy[str]) -> str | None:
        """Return None: answers come in the order of the requests."""
        return None

    def is_not_run(self, status: int, headers: CIMultiDictProxy[str]) -> bool:
        """Return False: such a backend server does not say."""
        return False

    def read_slots(self, headers: CIMultiDictProxy[str]) -> int:
        """Return 0: such a backend server does not say."""
        return 0
