"""Bound on the memory that request bodies take at a node."""

from mangowell_core.mesh.caller_memory import DEFAULT_BODY_BYTES, CallerMemory

# Bytes that the bodies of all requests may take together if the memory of the node is
# unknown. A body is copied up to three times on its way to the worker.
MAX_HELD_BYTES = DEFAULT_BODY_BYTES
# Bodies up to this size are always accepted: their sum is bounded by the number of
# requests, and most requests have one.
UNCOUNTED_BYTES = 65_536


def make_caller_memory(memory_mb: float) -> CallerMemory:
    """Return the account of a node with this memory; 0 if it is unknown."""
    if memory_mb:
        return CallerMemory.from_memory_mb(memory_mb)
    return CallerMemory(body_limit=MAX_HELD_BYTES)


class BodyBudgetError(Exception):
    """Raised if a body does not fit beside those of other requests."""


class BodyBudget:
    """Counts the bytes that the bodies of open requests take.

    Parameters
    ----------
    memory : CallerMemory, optional
        Account of the node, with the bound of bodies.
    """

    __slots__ = ("_memory",)

    def __init__(self, memory: CallerMemory | None = None):
        self._memory = memory or CallerMemory(body_limit=MAX_HELD_BYTES)

    @property
    def _held(self) -> int:
        return self._memory.body_bytes

    def hold(self, held: int, size: int) -> int:
        """Reserve memory for a body, of which a part may have been reserved before.

        A body that is alone is accepted at any size.

        Parameters
        ----------
        held : int
            Bytes that are already reserved for this body.
        size : int
            Bytes of the body, as far as they are known.

        Returns
        -------
        int
            Bytes that are now reserved for this body.

        Raises
        ------
        BodyBudgetError
            If the bodies of other requests leave too little.
        """
        if size <= max(held, UNCOUNTED_BYTES):
            return held
        others = self._held - held
        if others and others + size > self._memory.body_limit:
            raise BodyBudgetError(f"request bodies take {self._held} bytes")
        self._memory.body_bytes = others + size
        return size

    def release(self, held: int) -> None:
        """Release what has been reserved for a body."""
        self._memory.body_bytes -= held

    # Requests of other nodes

    def has_room_for_peer(self, size: int) -> bool:
        """Return whether the body of a request of another node is accepted."""
        return size <= UNCOUNTED_BYTES or self._memory.has_room_for_peer(size)

    def hold_for_peer(self, size: int) -> int:
        """Reserve memory for the body of a request of another node.

        Returns
        -------
        int
            Bytes to pass to `release_for_peer`.

        Raises
        ------
        BodyBudgetError
            If other bodies leave too little.
        """
        if size <= UNCOUNTED_BYTES:
            return 0
        if not self._memory.has_room_for_peer(size):
            held = self._held + self._memory.peer_bytes
            raise BodyBudgetError(f"request bodies take {held} bytes")
        self.add_peer_bytes(size)
        return size

    def release_for_peer(self, held: int) -> None:
        """Release what `hold_for_peer` has reserved."""
        self.add_peer_bytes(-held)

    def add_peer_bytes(self, change: int) -> None:
        """Count a change of the bytes that are held for other nodes."""
        self._memory.peer_bytes += change
