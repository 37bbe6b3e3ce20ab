"""Drain state of the local node and the instances known to be leaving."""

from enum import Enum

from mangowell_core.model import InstanceState, Snapshot

LEAVING_GRACE_S = 3.0  # invariant I7: no new work after this time
LEAVING_RETENTION_S = 600.0  # a lagging list may show a departed instance this long
# How long a mark lasts without confirmation by the instance list. A planned stop takes
# at most 30 s. An instance listed as live after that either runs again under its old
# name, or refuses requests and is marked again.
UNCONFIRMED_MARK_S = 35.0


class DrainState(Enum):
    """Drain state of the local node and its backend server."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    DRAINED = "drained"


# Maps (state, event) to the next state; other events leave the state unchanged.
TRANSITIONS = {
    (DrainState.STARTING, "applied"): DrainState.SERVING,
    (DrainState.STARTING, "drain"): DrainState.LEAVING,
    (DrainState.SERVING, "drain"): DrainState.LEAVING,
    (DrainState.LEAVING, "empty"): DrainState.DRAINED,
}

# Whether new work is accepted. In LEAVING, only until the grace period ends.
ACCEPTS_NEW_WORK = {
    DrainState.STARTING: False,
    DrainState.SERVING: True,
    DrainState.LEAVING: True,
    DrainState.DRAINED: False,
}


class DrainController:
    """Tracks which instances leave and when the local node may stop.

    Parameters
    ----------
    board : TrafficBoard
        Shared state; this class writes `own_state` and `leaving`.
    local_instance : str
        Name of the instance beside this node.
    """

    __slots__ = ("_board", "_leaving_since", "_local_instance", "_unconfirmed_until")

    def __init__(self, board, local_instance: str):
        self._board = board
        self._local_instance = local_instance
        self._leaving_since = float("inf")
        self._unconfirmed_until: dict[str, float] = {}  # marks not in the list

    def handle_event(self, event: str, now: float) -> bool:
        """Apply an event of `TRANSITIONS`; return whether the state changed."""
        board = self._board
        state = TRANSITIONS.get((board.own_state, event))
        if state is None:
            return False
        board.own_state = state
        if state is DrainState.LEAVING:
            self._leaving_since = now
            board.leaving[self._local_instance] = now
        return True

    def mark_leaving(self, instance: str, now: float) -> bool:
        """Record that an instance leaves; return whether it was not known before."""
        board = self._board
        if instance in board.leaving:
            if instance in self._unconfirmed_until:
                self._unconfirmed_until[instance] = now + UNCONFIRMED_MARK_S
            return False
        board.leaving[instance] = now
        self._unconfirmed_until[instance] = now + UNCONFIRMED_MARK_S
        return True

    def unmark_leaving(self, instance: str) -> None:
        """Remove the mark of an instance unless the list has confirmed it."""
        if instance in self._unconfirmed_until and instance != self._local_instance:
            self._remove_mark(instance)

    def remove_expired_marks(self, now: float) -> None:
        """Remove marks that the list has not confirmed within `UNCONFIRMED_MARK_S`."""
        if not self._unconfirmed_until:
            return
        serving = self._board.own_state is DrainState.SERVING
        for name in [n for n, until in self._unconfirmed_until.items() if until <= now]:
            if name != self._local_instance or serving:
                self._remove_mark(name)

    def _remove_mark(self, name: str) -> None:
        self._board.leaving.pop(name, None)
        self._unconfirmed_until.pop(name, None)

    def apply(self, snapshot: Snapshot, now: float) -> list[str]:
        """Apply the states in a new instance list; return the newly leaving ones.

        The list lags, so it may still show an instance as live that has
        announced its departure. A mark that the list has not confirmed ends after
        `UNCONFIRMED_MARK_S`. A confirmed mark ends when the list shows the name as
        live again. If the name is no longer listed, its mark ends
        `LEAVING_RETENTION_S` after it was set.
        """
        board = self._board
        newly_leaving = []
        listed: set[str] = set()
        for members in snapshot.instances.values():
            for item in members:
                listed.add(item.name)
                if item.state is InstanceState.LEAVING:
                    if self.mark_leaving(item.name, now):
                        newly_leaving.append(item.name)
                    # The mark is confirmed, so a later live state is a new process.
                    self._unconfirmed_until.pop(item.name, None)
                elif item.name in board.leaving and self._has_returned(item.name):
                    self._remove_mark(item.name)
        for name in list(board.leaving):
            if name in listed or name == self._local_instance:
                continue
            self._unconfirmed_until.pop(name, None)
            if now - board.leaving[name] > LEAVING_RETENTION_S:
                self._remove_mark(name)
        return newly_leaving

    def _has_returned(self, name: str) -> bool:
        """Return whether a listed live state means that the instance is back."""
        if (
            name == self._local_instance
            and self._board.own_state is not DrainState.SERVING
        ):
            return False
        return name not in self._unconfirmed_until

    @property
    def grace_end(self) -> float:
        """Monotonic time from which the local backend server gets no new work."""
        return self._leaving_since + LEAVING_GRACE_S

    @property
    def next_change(self) -> float:
        """Monotonic time at which the grace period ends; infinite if none runs."""
        is_leaving = self._board.own_state is DrainState.LEAVING
        return self.grace_end if is_leaving else float("inf")

    def accepts_new(self, now: float) -> bool:
        """Return whether the local backend server may be given new work."""
        state = self._board.own_state
        if state is DrainState.LEAVING:
            return now < self.grace_end
        return ACCEPTS_NEW_WORK[state]
