"""Which addresses a node may talk to."""


class Reach:
    """Allows every address; subclasses cut some off.

    Every adapter that opens a connection or sends a message asks first, so
    that tests and the demo can partition nodes that share one machine.
    """

    __slots__ = ()

    def allows(self, host: str, port: int) -> bool:
        """Tell whether `host` and `port` may be contacted."""
        return True
