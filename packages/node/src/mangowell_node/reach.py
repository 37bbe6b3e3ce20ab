"""Restricts the addresses that a node may contact."""


class Reach:
    """Allows every address; subclasses block some.

    Every adapter that opens a connection or sends a message calls `allows` first,
    so that tests and the demo can partition nodes that share one machine.
    """

    __slots__ = ()

    def allows(self, host: str, port: int) -> bool:
        """Return whether `host` and `port` may be contacted."""
        return True
