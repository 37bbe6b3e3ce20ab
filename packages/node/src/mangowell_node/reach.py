"""Restricts the addresses that a node may contact."""


class AddressFilter:
    """Allows every address; subclasses block some.

    Every adapter that opens a connection or sends a message calls `is_allowed` first,
    so that tests and the demo can partition nodes that share one machine.
    """

    __slots__ = ()

    def is_allowed(self, host: str, port: int) -> bool:
        """Return whether `host` and `port` may be contacted."""
        return True
