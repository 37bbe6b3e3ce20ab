"""Bound on the memory that request bodies take at a node."""

# Bytes that the bodies of all requests may take together. A body is copied up to
# three times on its way to the worker, and the platform ends a node at 300 MB.
MAX_HELD_BYTES = 33_554_432
# Bodies up to this size are always accepted: their sum is bounded by the number of
# requests, and most requests have one.
UNCOUNTED_BYTES = 65_536


class BodyBudgetError(Exception):
    """Raised if a body does not fit beside those of other requests."""


class BodyBudget:
    """Counts the bytes that the bodies of open requests take."""

    __slots__ = ("_held",)

    def __init__(self):
        self._held = 0

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
        if others and others + size > MAX_HELD_BYTES:
            raise BodyBudgetError(f"request bodies take {self._held} bytes")
        self._held = others + size
        return size

    def release(self, held: int) -> None:
        """Release what has been reserved for a body."""
        self._held -= held
