"""Retries that the nodes may make together, divided without talk.

The platform bounds the arrivals at a service beyond the first of each request,
over all nodes, in any window: a share of the requests plus a fixed number.
Each node earns its part of both, so that the sum stays below the bound however
the requests are spread over the nodes.
"""

# Part of the allowed ratio that is spent. The rest covers repeats that workers
# cause by their own calls when a request runs again.
RATIO_SHARE = 0.6
# Part of the fixed number that is handed out, for the same reason.
FLOOR_SHARE = 0.5
# Requests that a node may save up for, in seconds of the window.
SAVED_SHARE = 0.1


class RetryBudget:
    """Tokens for further attempts, by service.

    Parameters
    ----------
    ratio : float
        Allowed arrivals beyond the first, as a share of the requests.
    floor : int
        Further arrivals allowed in each window.
    window_s : float
    """

    __slots__ = ("_floor", "_nodes", "_ratio", "_tokens", "_updated", "_window_s")

    def __init__(self, ratio: float, floor: int, window_s: float):
        self._ratio = ratio * RATIO_SHARE
        self._floor = floor * FLOOR_SHARE
        self._window_s = window_s
        self._nodes = 1
        self._tokens: dict[str, float] = {}
        self._updated: dict[str, float] = {}

    def set_nodes(self, count: int) -> None:
        """Take the number of nodes that share the budget."""
        self._nodes = max(1, count)

    def count_request(self, service: str, now: float) -> None:
        """Earn the share of one request."""
        self._refill(service, now, self._ratio)

    def spend(self, service: str, now: float) -> bool:
        """Take the token for one further attempt, if there is one."""
        self._refill(service, now, 0.0)
        tokens = self._tokens[service]
        if tokens < 1.0:
            return False
        self._tokens[service] = tokens - 1.0
        return True

    def _refill(self, service: str, now: float, earned: float) -> None:
        part = self._floor / self._nodes
        tokens = self._tokens.get(service, max(1.0, part * SAVED_SHARE))
        elapsed = now - self._updated.get(service, now)
        tokens += part * elapsed / self._window_s + earned
        # A node with few requests still saves up for one attempt.
        limit = max(2.0, part * SAVED_SHARE * 5)
        self._tokens[service] = min(limit, tokens)
        self._updated[service] = now
