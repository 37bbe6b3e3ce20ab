"""Stand-in for a worker on the platform, which may name a limit and leave."""

import asyncio
from time import monotonic

from mangowell_standins.scripted_http import ReceivedRequest, make_answer


class Statements:
    """What a worker states about itself in all its answers from now on.

    Attributes
    ----------
    rate_limit : float or None
        Requests per second that it takes; None for no limit.
    is_leaving : bool
        Whether it is about to stop.
    """

    def __init__(self):
        self.rate_limit: float | None = None
        self.is_leaving = False

    @property
    def fields(self) -> str:
        """Header lines of an answer."""
        lines = []
        if self.rate_limit is not None:
            lines.append(f"Server-Limit: {self.rate_limit}\r\n")
        if self.is_leaving:
            lines.append("Server-Leaving: 1\r\n")
        return "".join(lines)


class PlatformWorker(Statements):
    """Handler of a `ScriptedBackend` that answers like a worker.

    Parameters
    ----------
    work_s : float
        Time that each request takes, in seconds.

    Attributes
    ----------
    arrivals : list of (float, str)
        Monotonic time in seconds and id of each request.
    """

    def __init__(self, work_s: float = 0.0):
        super().__init__()
        self.work_s = work_s
        self.arrivals: list[tuple[float, str]] = []

    async def __call__(self, request: ReceivedRequest) -> bytes:
        """Answer one request after its work."""
        name = request.headers["request-id"]
        self.arrivals.append((monotonic(), name))
        await asyncio.sleep(self.work_s)
        return make_answer(b"ok", headers=f"Request-Id: {name}\r\n{self.fields}")

    def count_arrivals(self, since: float, window_s: float = float("inf")) -> int:
        """Return the number of requests within `window_s` seconds after `since`."""
        return sum(since <= at < since + window_s for at, _ in self.arrivals)

    def find_busiest_window(self, since: float, window_s: float) -> int:
        """Return the largest number of requests in a window that ends after `since`."""
        starts = [at for at, _ in self.arrivals if at >= since - window_s]
        return max((self.count_arrivals(at, window_s) for at in starts), default=0)
