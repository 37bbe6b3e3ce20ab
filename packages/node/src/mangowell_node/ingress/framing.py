"""Framing of the chunked bodies that one caller sends."""

from collections.abc import Sequence

from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader

from mangowell_core.mesh.framing_budget import BodyFraming, FramingBudget


class UploadFraming:
    """Tells when more of a connection may be parsed.

    Parameters
    ----------
    budget : FramingBudget
        Shared by the connections of a server.
    """

    __slots__ = ("_budget", "_earlier_bytes", "_framing", "_uncounted_bytes")

    def __init__(self, budget: FramingBudget):
        self._budget = budget
        # Framing of the body that was parsed last, if it is chunked, together with
        # that of the bodies before it in the same piece, and bytes of these.
        self._framing: BodyFraming | None = None
        self._earlier_bytes = 0
        # Bytes that the parser may not have parsed yet.
        self._uncounted_bytes = 0

    def start(
        self,
        messages: Sequence[tuple[RawRequestMessage, StreamReader]],
        size: int,
        ended_bytes: int,
        now: float,
    ) -> float:
        """Count a piece in which requests begin, and return the time to go on.

        Parameters
        ----------
        messages : sequence
            These requests with their bodies.
        size : int
            Bytes of the piece without their heads, and without an incomplete one.
        ended_bytes : int
            Bytes in the piece of the body of an earlier request.
        now : float
            Monotonic time in seconds; returned if there is nothing to wait for.
        """
        bodies = sum(message.chunked for message, _ in messages)
        bodies += self._framing is not None
        if not bodies:
            return now
        earlier = messages[:-1]
        last, content = messages[-1]
        self._uncounted_bytes = 0
        self._earlier_bytes = ended_bytes + sum(c.total_bytes for _, c in earlier)
        framing = BodyFraming(self._budget, bodies)
        self._framing = framing if last.chunked else None
        return framing.count(size, self._earlier_bytes + content.total_bytes, now)

    def go_on(
        self, size: int, content: StreamReader, is_parsed: bool, now: float
    ) -> float:
        """Count a piece of one body, and return the time to go on.

        Parameters
        ----------
        size : int
            Bytes of the piece.
        content : StreamReader
            The body.
        is_parsed : bool
            Whether the parser keeps no part of it.
        now : float
            Monotonic time in seconds; returned if there is nothing to wait for.
        """
        if self._framing is None:
            return now
        self._uncounted_bytes += size
        if not is_parsed:
            return now
        size, self._uncounted_bytes = self._uncounted_bytes, 0
        body_bytes = self._earlier_bytes + content.total_bytes
        return self._framing.count(size, body_bytes, now)
