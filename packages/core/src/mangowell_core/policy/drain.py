"""States of the own node and backend server, and instances that leave."""

from enum import Enum

LEAVING_GRACE_S = 3.0  # invariant I7: no new work after this time
LEAVING_KEPT_S = 600.0  # a lagging list may show a departed instance this long


class DrainState(Enum):
    """State of the own node and its backend server."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    DRAINED = "drained"


# State and event to next state; a pair that is missing changes nothing.
TRANSITIONS = {
    (DrainState.STARTING, "applied"): DrainState.SERVING,
    (DrainState.STARTING, "drain"): DrainState.LEAVING,
    (DrainState.SERVING, "drain"): DrainState.LEAVING,
    (DrainState.LEAVING, "empty"): DrainState.DRAINED,
}

# Whether new work is accepted; in LEAVING only until the grace time is over.
ACCEPTS = {
    DrainState.STARTING: False,
    DrainState.SERVING: True,
    DrainState.LEAVING: True,
    DrainState.DRAINED: False,
}


class DrainController:
    """Tracks who leaves, and when the own node may stop.

    Parameters
    ----------
    board : TrafficBoard
        Writes `own_state` and `leaving`.
    own : str
        Name of the own instance.
    """

    __slots__ = ("_board", "_own", "_since")

    def __init__(self, board, own: str):
        self._board = board
        self._own = own
        self._since = 0.0

    def step(self, event: str, now: float) -> bool:
        """Apply an event of the state table; return whether the state changed."""
        board = self._board
        state = TRANSITIONS.get((board.own_state, event))
        if state is None:
            return False
        board.own_state = state
        if state is DrainState.LEAVING:
            self._since = now
            board.leaving[self._own] = now
        return True

    def mark_leaving(self, instance: str, now: float) -> bool:
        """Record that an instance leaves; return whether this is news."""
        board = self._board
        if instance in board.leaving:
            return False
        board.leaving[instance] = now
        return True

    def forget(self, known: set[str], now: float) -> None:
        """Drop instances that the view no longer holds, once they are old."""
        board = self._board
        gone = [
            name
            for name, since in board.leaving.items()
            if name not in known and now - since > LEAVING_KEPT_S
        ]
        for name in gone:
            del board.leaving[name]

    def accepts_new(self, now: float) -> bool:
        """Tell whether the own backend server may be given new work."""
        state = self._board.own_state
        if state is DrainState.LEAVING:
            return now < self._since + LEAVING_GRACE_S
        return ACCEPTS[state]
