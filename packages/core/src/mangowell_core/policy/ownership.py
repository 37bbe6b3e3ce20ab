"""Owners of idempotency keys, and instances that may have owned a key before.

A plain key belongs to the instance that rendezvous hashing ranks first among the
established instances of its service. Views of the instance list differ between
nodes. An owner therefore trusts its own view only for the time that it has
observed it, and asks every other instance that may have run the key for a
promise.
"""

from mangowell_core.distribution.ranking import rank_instances
from mangowell_core.model import Instance, Snapshot

RETENTION_S = 600.0  # time for which a key is recorded after its end
VIEW_LAG_S = 3600.0  # longest partition: a node may run with a view this old
LIST_LAG_S = 60.0  # from an instance's start or end until the list shows it

# Longest time for which an instance runs although a node's view lacks it. The
# list may drop a running instance and list it again before the instance sees the
# drop, because the view of the instance lags. A node that saw the drop may not
# have seen the return, because the view of that node lags too. Only after both
# lags has the instance stopped, or the node seen it again.
MAX_UNSEEN_S = 2 * VIEW_LAG_S + LIST_LAG_S
# An instance runs no plain key for this long after its process starts or after
# it is listed again. It cannot know which instances ran keys before, because its
# list lacks the instances that have left and those that a lagging view omits.
START_HOLD_S = MAX_UNSEEN_S + LIST_LAG_S
# A new instance owns no key until every node lists it and it may run keys.
ESTABLISH_S = START_HOLD_S + LIST_LAG_S
# Until this age an instance asks all possible runners: a node with the oldest
# view may have sent a key to the previous owner until `RETENTION_S` ago.
SETTLE_S = ESTABLISH_S + VIEW_LAG_S + RETENTION_S

PINNED_PREFIX = "mw1."


class _InstanceHistory:
    """When the views of the local node have listed one instance.

    Attributes
    ----------
    instance : Instance
        Entry of the last view that listed the instance.
    listed_since : float
        Time at which the instance appeared.
    in_first_view : bool
        Whether the first view of this process listed the instance.
    is_newly_started : bool
        Whether the instance certainly started only shortly before it appeared.
    disappeared_at : float
        Time at which the instance disappeared; infinite while it is listed.
    was_leaving : bool
        Whether the instance was marked as leaving when it disappeared.
    """

    __slots__ = (
        "disappeared_at",
        "in_first_view",
        "instance",
        "is_newly_started",
        "listed_since",
        "was_leaving",
    )

    def __init__(self, instance: Instance, listed_since: float, in_first_view: bool):
        self.instance = instance
        self.listed_since = listed_since
        self.in_first_view = in_first_view
        self.is_newly_started = False
        self.disappeared_at = float("inf")
        self.was_leaving = False

    def may_have_run(self, now: float) -> bool:
        """Return whether the instance may have run a key within the retention time.

        A newly started instance runs no plain key in its first `START_HOLD_S`,
        and is left out while it cannot give a promise yet. At the end of
        `START_HOLD_S`, the local view may show the instance as `VIEW_LAG_S`
        younger than it is. An instance that has left runs no key. An instance
        that vanished may continue to run, unseen, for as long as a partition
        lasts.
        """
        end = min(self.disappeared_at, now)
        if self.is_newly_started and end - self.listed_since < RETENTION_S + LIST_LAG_S:
            return False
        if self.disappeared_at > now:
            return True
        may_run_s = RETENTION_S + LIST_LAG_S if self.was_leaving else MAX_UNSEEN_S
        return now - self.disappeared_at < may_run_s


class Ownership:
    """Selects the owners of plain keys from the history of views.

    Parameters
    ----------
    board : TrafficBoard
        Reads `leaving` and `started_at`.
    local_instance : str
        Name of the local instance.
    """

    __slots__ = (
        "_board",
        "_histories",
        "_is_first_view",
        "_listed_members",
        "_local_instance",
        "_services_with_absent",
    )

    def __init__(self, board, local_instance: str):
        self._board = board
        self._local_instance = local_instance
        self._histories: dict[str, dict[str, _InstanceHistory]] = {}
        self._listed_members: dict[str, tuple[Instance, ...]] = {}
        # Services with the history of an instance that is no longer listed.
        self._services_with_absent: set[str] = set()
        self._is_first_view = True

    def apply(self, snapshot: Snapshot, now: float) -> None:
        """Record which instances the new view lists and which it lacks."""
        is_first_view, self._is_first_view = self._is_first_view, False
        for service in self._histories.keys() | snapshot.instances.keys():
            members = snapshot.instances.get(service, ())
            if self._listed_members.get(service) is members:
                continue
            self._listed_members[service] = members
            self._update_service(service, members, is_first_view, now)
        for service in list(self._services_with_absent):
            self._remove_expired(service, now)

    def _update_service(
        self, service, members, is_first_view: bool, now: float
    ) -> None:
        histories = self._histories.setdefault(service, {})
        names = set()
        for item in members:
            names.add(item.name)
            old = histories.get(item.name)
            if old is not None and self._counts_as_present(old, now):
                old.instance = item
                old.disappeared_at = float("inf")
            else:
                listed_since = self._board.started_at if is_first_view else now
                histories[item.name] = _InstanceHistory(
                    item, listed_since, is_first_view
                )
                # An old process that a flapping list omitted also appears here.
                # After an omission of this length, however, it has seen the
                # omission and stopped running keys.
                observed_s = now - self._board.started_at
                histories[item.name].is_newly_started = (
                    old is None and not is_first_view and observed_s >= START_HOLD_S
                )
        for name, history in histories.items():
            if name in names:
                continue
            if history.disappeared_at > now:
                history.disappeared_at = now
                history.was_leaving = name in self._board.leaving
            self._services_with_absent.add(service)

    def _counts_as_present(self, old: _InstanceHistory, now: float) -> bool:
        """Return whether a listed instance counts as never absent.

        The local instance does not: while the list lacked it, others may have
        run its keys, and it has to ask them again.
        """
        if old.disappeared_at > now:
            return True
        return (
            old.instance.name != self._local_instance
            and now - old.disappeared_at < RETENTION_S
        )

    def _remove_expired(self, service: str, now: float) -> None:
        histories = self._histories[service]
        old = [n for n, s in histories.items() if now - s.disappeared_at > SETTLE_S]
        for name in old:
            del histories[name]
        if all(s.disappeared_at > now for s in histories.values()):
            self._services_with_absent.discard(service)

    def select_owner(self, service: str, key: str, now: float) -> Instance | None:
        """Return the owner of a plain key, or None if no instance can own it.

        An instance owns keys only once it is established. Until then the
        previous owner serves them. If no instance is established, the keys are
        shared by all listed instances.
        """
        leaving = self._board.leaving
        listed = {
            name: history
            for name, history in self._histories.get(service, {}).items()
            if history.disappeared_at > now and name not in leaving
        }
        established = [
            name
            for name, history in listed.items()
            if history.in_first_view or self._is_established(history, now)
        ]
        ranked = rank_instances(key, tuple(established or listed))
        return listed[ranked[0]].instance if ranked else None

    def _is_established(self, history: _InstanceHistory, now: float) -> bool:
        return now - history.listed_since >= ESTABLISH_S

    def compute_hold_end(self, service: str) -> float:
        """Return the time from which the local instance may run plain keys."""
        local = self._histories.get(service, {}).get(self._local_instance)
        return local.listed_since + START_HOLD_S if local is not None else float("inf")

    def look_up_pinned_owner(self, service: str, key: str) -> Instance | None:
        """Return the listed instance that a pinned key names, if any."""
        parts = parse_pinned_key(key)
        if parts is None or parts[0] in self._board.leaving:
            return None
        history = self._histories.get(service, {}).get(parts[0])
        if history is None or history.disappeared_at != float("inf"):
            return None
        return history.instance

    def select_possible_runners(
        self, service: str, key: str, now: float
    ) -> tuple[tuple[Instance, ...], str]:
        """Return the instances that must promise before a plain key runs here.

        Returns
        -------
        possible_runners : tuple of Instance
            Instances that may have run the key within the retention time.
        lost_instance : str
            Name of an instance that may have run the key, but has left and can
            no longer promise; an empty string if there is none.
        """
        histories = self._histories.get(service, {})
        local = histories.get(self._local_instance)
        if local is not None and now - local.listed_since >= SETTLE_S:
            # An instance of a lower rank can have owned the key only in a view
            # without the local instance, and no node uses such a view any more.
            ranked = rank_instances(key, tuple(histories))
            names = ranked[: ranked.index(self._local_instance)]
        else:
            names = [name for name in histories if name != self._local_instance]
        possible_runners = []
        for name in names:
            history = histories[name]
            if not history.may_have_run(now):
                continue
            if history.disappeared_at <= now and history.was_leaving:
                return (), name
            possible_runners.append(history.instance)
        return tuple(possible_runners), ""


def parse_pinned_key(key: str) -> tuple[str, str, str] | None:
    """Return instance, incarnation and random part of a pinned key.

    Return None if the key is not a well-formed pinned key.
    """
    if not key.startswith(PINNED_PREFIX):
        return None
    parts = key[len(PINNED_PREFIX) :].rsplit(".", 2)
    if len(parts) != 3 or not all(parts):
        return None
    return parts[0], parts[1], parts[2]
