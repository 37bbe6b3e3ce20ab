"""States of the own node and backend server, and instances that leave."""

from enum import Enum

from mangowell_core.model import InstanceState, Snapshot

LEAVING_GRACE_S = 3.0  # invariant I7: no new work after this time
LEAVING_KEPT_S = 600.0  # a lagging list may show a departed instance this long
# A planned stop takes at most 30 s. An instance that its list shows as live after
# that runs again under its old name, or refuses and is marked once more.
MARK_KEPT_S = 35.0


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

    __slots__ = ("_board", "_marked_until", "_own", "_since")

    def __init__(self, board, own: str):
        self._board = board
        self._own = own
        self._since = float("inf")
        self._marked_until: dict[str, float] = {}  # marks that the list lacks

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

    def mark(self, instance: str, now: float) -> bool:
        """Record that an instance leaves; return whether this is news."""
        board = self._board
        if instance in board.leaving:
            if instance in self._marked_until:
                self._marked_until[instance] = now + MARK_KEPT_S
            return False
        board.leaving[instance] = now
        self._marked_until[instance] = now + MARK_KEPT_S
        return True

    def unmark(self, instance: str) -> None:
        """Drop a mark that the list has not confirmed."""
        if instance in self._marked_until and instance != self._own:
            self._forget(instance)

    def release_marks(self, now: float) -> None:
        """Drop marks that the list has not confirmed in time."""
        if not self._marked_until:
            return
        serving = self._board.own_state is DrainState.SERVING
        for name in [n for n, until in self._marked_until.items() if until <= now]:
            if name != self._own or serving:
                self._forget(name)

    def _forget(self, name: str) -> None:
        self._board.leaving.pop(name, None)
        self._marked_until.pop(name, None)

    def apply(self, snapshot: Snapshot, now: float) -> list[str]:
        """Take the states of a new list; return the instances newly leaving.

        The list lags, so it may still show an instance as live that said
        itself that it leaves. Such a mark ends after `MARK_KEPT_S`. One that
        the list confirms ends when the list shows the name as live again, or
        `LEAVING_KEPT_S` after the name has gone.
        """
        board = self._board
        news = []
        known: set[str] = set()
        for members in snapshot.instances.values():
            for item in members:
                known.add(item.name)
                if item.state is InstanceState.LEAVING:
                    if self.mark(item.name, now):
                        news.append(item.name)
                    # The list knows by now: a later live state is a new process.
                    self._marked_until.pop(item.name, None)
                elif item.name in board.leaving and self._has_returned(item.name):
                    self._forget(item.name)
        for name in list(board.leaving):
            if name in known or name == self._own:
                continue
            self._marked_until.pop(name, None)
            if now - board.leaving[name] > LEAVING_KEPT_S:
                self._forget(name)
        return news

    def _has_returned(self, name: str) -> bool:
        if name == self._own and self._board.own_state is not DrainState.SERVING:
            return False
        return name not in self._marked_until

    @property
    def grace_end(self) -> float:
        """Time after which the own backend server gets no new work."""
        return self._since + LEAVING_GRACE_S

    @property
    def next_change(self) -> float:
        """Time at which the own state may change by itself; infinite for never."""
        is_leaving = self._board.own_state is DrainState.LEAVING
        return self.grace_end if is_leaving else float("inf")

    def accepts_new(self, now: float) -> bool:
        """Tell whether the own backend server may be given new work."""
        state = self._board.own_state
        if state is DrainState.LEAVING:
            return now < self.grace_end
        return ACCEPTS[state]
