"""Account of the memory and connections that a node holds for its callers.

Load addressed: crowds of callers that pipeline requests without reading answers, hold
heads open, or stall uploads and answers. The account of each connection is compared
with a fair share, so that neither one connection nor a crowd keeps out an ordinary
request, which holds less than such a share.
"""

from collections.abc import Hashable

_MEGABYTE = 1_048_576
# Shares of the memory of the process. A counted byte takes up to three bytes, and the
# interpreter with the node's code takes about 42 MB of at least 200.
CONNECTION_MEMORY_SHARE = 1 / 12
BODY_MEMORY_SHARE = 1 / 6
# Bounds if the memory of the process is unknown, in bytes.
DEFAULT_CONNECTION_BYTES = 67_108_864
DEFAULT_BODY_BYTES = 33_554_432
# Shares of the bound of connections above which reading stops, and above which new
# requests are refused, for connections that hold more than a fair share. Above the
# bound, the connections that hold most are closed.
READ_SHARE = 0.5
START_SHARE = 0.75
# A connection that holds less counts as ordinary in a crowd of any size, in bytes: one
# head at its limit and the objects of a few requests.
MIN_FAIR_BYTES = 32_768
# Memory that a parsed request takes beside its head, until its reply is written, in
# bytes, and the number of copies of the head. A request with a head of 500 bytes
# takes 4.8 KB while it waits, and about twice that while it is served.
REQUEST_BYTES = 8192
HEAD_COPIES = 3
# Share of the descriptors for callers, the least number of callers, and the descriptors
# that stay for other uses: links, worker connections and the store, and connections
# that are accepted together before one of them can be closed.
DESCRIPTOR_SHARE = 0.75
MIN_CONNECTIONS = 16
RESERVED_DESCRIPTORS = 164


def compute_max_connections(max_fds: float) -> int:
    """Return how many connections callers may open; 0 for no bound.

    Parameters
    ----------
    max_fds : float
        Descriptors of the process; 0 if the number is unknown.
    """
    if not max_fds:
        return 0
    rest = min(max_fds * DESCRIPTOR_SHARE, max_fds - RESERVED_DESCRIPTORS)
    return max(MIN_CONNECTIONS, int(rest))


def compute_request_bytes(head_bytes: int) -> int:
    """Return the memory that a parsed request takes until its reply is written."""
    return REQUEST_BYTES + HEAD_COPIES * head_bytes


class CallerMemory:
    """Counts the bytes that are held for callers, and decides who may add to them.

    Bodies above `MIN_FAIR_BYTES` have a bound of their own, as one body alone may be
    larger than the bound of all connections.

    Parameters
    ----------
    connection_limit : int
        Bytes of heads, waiting requests and unread replies of all connections.
    body_limit : int
        Bytes of bodies of all requests, unless there is only one.
    peer_limit : int
        Bytes of bodies that requests of callers and of other nodes take together, above
        which those of other nodes are refused; 0 for no bound.

    Attributes
    ----------
    held : int
        Bytes that are held for all connections, without bodies.
    body_bytes : int
        Bytes that are reserved for bodies.
    peer_bytes : int
        Bytes that are held for other nodes: bodies of their requests, and messages that
        have not arrived completely.
    """

    __slots__ = (
        "_held_by",
        "body_bytes",
        "body_limit",
        "connection_limit",
        "held",
        "peer_bytes",
        "peer_limit",
    )

    def __init__(
        self,
        connection_limit: int = DEFAULT_CONNECTION_BYTES,
        body_limit: int = DEFAULT_BODY_BYTES,
        peer_limit: int = 0,
    ):
        self.connection_limit = connection_limit
        self.body_limit = body_limit
        self.peer_limit = peer_limit
        self.held = 0
        self.body_bytes = 0
        self.peer_bytes = 0
        # Connections that hold nothing are left out.
        self._held_by: dict[Hashable, int] = {}

    @classmethod
    def from_memory_mb(cls, memory_mb: float) -> "CallerMemory":
        """Build the account of a process; 0 if its memory is unknown."""
        if not memory_mb:
            return cls()
        memory = memory_mb * _MEGABYTE
        body_limit = int(memory * BODY_MEMORY_SHARE)
        return cls(int(memory * CONNECTION_MEMORY_SHARE), body_limit, body_limit)

    @property
    def total(self) -> int:
        """Bytes that are held for callers."""
        return self.held + self.body_bytes

    def has_room_for_peer(self, size: int) -> bool:
        """Return whether the body of a request of another node fits.

        Callers come first: their bodies are not refused for those of other nodes, which
        may send a refused request to another worker. A body that is alone fits at any
        size.
        """
        others = self.body_bytes + self.peer_bytes
        return not (self.peer_limit and others) or others + size <= self.peer_limit

    @property
    def is_over(self) -> bool:
        """Whether connections have to be closed."""
        return self.held > self.connection_limit

    def set_held(self, owner: Hashable, size: int) -> None:
        """Record the bytes that a connection holds.

        Parameters
        ----------
        owner : hashable
            The connection.
        size : int
            All bytes that it holds now.
        """
        held_by = self._held_by
        if size:
            self.held += size - held_by.get(owner, 0)
            held_by[owner] = size
        else:
            self.held -= held_by.pop(owner, 0)

    def get_held(self, owner: Hashable) -> int:
        """Return the bytes that a connection holds."""
        return self._held_by.get(owner, 0)

    def release(self, owner: Hashable) -> None:
        """Forget a connection that holds nothing any more."""
        self.held -= self._held_by.pop(owner, 0)

    def may_read(self, owner: Hashable) -> bool:
        """Return whether more bytes may be read from a connection."""
        return self._is_below(READ_SHARE, owner)

    def may_start(self, owner: Hashable) -> bool:
        """Return whether a further request of a connection may be served."""
        return self._is_below(START_SHARE, owner)

    def _is_below(self, share: float, owner: Hashable) -> bool:
        limit = self.connection_limit * share
        if self.held <= limit:
            return True
        fair_bytes = max(MIN_FAIR_BYTES, limit / len(self._held_by))
        return self._held_by.get(owner, 0) <= fair_bytes

    def select_closing(self) -> list[Hashable]:
        """Return the connections to close, those that hold most first.

        Without those, the others are within the share above which requests are
        refused, so that not every further byte closes a connection.
        """
        if not self.is_over:
            return []
        excess = self.held - self.connection_limit * START_SHARE
        selected = []
        for owner, size in sorted(self._held_by.items(), key=lambda item: -item[1]):
            if excess <= 0:
                break
            selected.append(owner)
            excess -= size
        return selected
