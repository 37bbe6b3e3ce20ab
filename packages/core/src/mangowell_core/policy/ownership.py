"""Which instance owns an idempotency key, and who may have owned it before.

A plain key belongs to the rendezvous winner among the established instances
of its service. Views of the instance list differ between nodes, so an owner
trusts its own view only as far back as it has watched it, and asks everybody
else who may have run the key for a promise.
"""

from mangowell_core.distribution.ranking import rank_instances
from mangowell_core.model import Instance, Snapshot

RETENTION_S = 600.0  # a key that ends is remembered this long
VIEW_LAG_S = 3600.0  # longest partition: a node may run with a view this old
LIST_LAG_S = 60.0  # between an instance's start or end and its showing in the list

# A list may drop an instance that runs, and list it again before the instance
# has seen that: its view lags. A node that saw the drop may not have seen the
# return: its view lags too. Only after both lags has the instance stopped, or
# the node seen it again.
HIDDEN_S = 2 * VIEW_LAG_S + LIST_LAG_S
# An instance runs no plain key for this long after its process started, or
# after it was listed again. It cannot know who ran keys before: its list lacks
# instances that have left, and those that are hidden from it.
START_HOLD_S = HIDDEN_S + LIST_LAG_S
# A new instance owns no key until the whole fleet lists it and it may run keys.
ESTABLISH_S = START_HOLD_S + LIST_LAG_S
# Until this age an instance asks its rivals: a node with the oldest view may
# have sent a key to the owner before it until `RETENTION_S` ago.
SETTLE_S = ESTABLISH_S + VIEW_LAG_S + RETENTION_S

PINNED_PREFIX = "mw1."


class _Sighting:
    """One instance as this node's views have shown it.

    `since` is when it appeared, `gone_at` when it disappeared (infinite while
    listed), `was_leaving` whether it disappeared in an orderly way. `is_new`
    says that it has certainly started only shortly before it appeared.
    """

    __slots__ = (
        "gone_at",
        "instance",
        "is_initial",
        "is_new",
        "since",
        "was_leaving",
    )

    def __init__(self, instance: Instance, since: float, is_initial: bool):
        self.instance = instance
        self.since = since
        self.is_initial = is_initial
        self.is_new = False
        self.gone_at = float("inf")
        self.was_leaving = False

    def may_have_run(self, now: float) -> bool:
        """Tell whether it may have run a key within the retention time.

        A new one runs no plain key in its first `START_HOLD_S`. It is passed
        over while it can give no promise; by then this view may show it as
        `VIEW_LAG_S` younger than it is. One that has left runs none; one that
        vanished may run on, unseen, for as long as a partition lasts.
        """
        end = min(self.gone_at, now)
        if self.is_new and end - self.since < RETENTION_S + LIST_LAG_S:
            return False
        if self.gone_at > now:
            return True
        kept_s = RETENTION_S + LIST_LAG_S if self.was_leaving else HIDDEN_S
        return now - self.gone_at < kept_s


class Ownership:
    """Finds owners of plain keys from the history of views.

    Parameters
    ----------
    board : TrafficBoard
        Reads `leaving` and `started_at`.
    own : str
        Name of the own instance.
    """

    __slots__ = ("_board", "_gone", "_is_first", "_members", "_own", "_seen")

    def __init__(self, board, own: str):
        self._board = board
        self._own = own
        self._seen: dict[str, dict[str, _Sighting]] = {}
        self._members: dict[str, tuple[Instance, ...]] = {}
        self._gone: set[str] = set()  # services with sightings of gone instances
        self._is_first = True

    def apply(self, snapshot: Snapshot, now: float) -> None:
        """Record which instances the new view shows, and which it lacks."""
        is_first, self._is_first = self._is_first, False
        for service in self._seen.keys() | snapshot.instances.keys():
            members = snapshot.instances.get(service, ())
            if self._members.get(service) is members:
                continue
            self._members[service] = members
            self._record(service, members, is_first, now)
        for service in list(self._gone):
            self._forget(service, now)

    def _record(self, service, members, is_first: bool, now: float) -> None:
        seen = self._seen.setdefault(service, {})
        names = set()
        for item in members:
            names.add(item.name)
            old = seen.get(item.name)
            if old is not None and self._continues(old, now):
                old.instance = item
                old.gone_at = float("inf")
            else:
                since = self._board.started_at if is_first else now
                seen[item.name] = _Sighting(item, since, is_first)
                # An old process that a list flap had hidden also appears. But
                # unlisted for this long, it had learned of that and stopped.
                watched_s = now - self._board.started_at
                seen[item.name].is_new = (
                    old is None and not is_first and watched_s >= START_HOLD_S
                )
        for name, sighting in seen.items():
            if name in names:
                continue
            if sighting.gone_at > now:
                sighting.gone_at = now
                sighting.was_leaving = name in self._board.leaving
            self._gone.add(service)

    def _continues(self, old: _Sighting, now: float) -> bool:
        """Tell whether a listed instance counts as never absent.

        The own instance must not: while the list lacked it, others may have
        run its keys, and it has to ask them again.
        """
        if old.gone_at > now:
            return True
        return old.instance.name != self._own and now - old.gone_at < RETENTION_S

    def _forget(self, service: str, now: float) -> None:
        seen = self._seen[service]
        old = [n for n, s in seen.items() if now - s.gone_at > SETTLE_S]
        for name in old:
            del seen[name]
        if all(s.gone_at > now for s in seen.values()):
            self._gone.discard(service)

    def find_owner(self, service: str, key: str, now: float) -> Instance | None:
        """Return the owner of a plain key, or None if nobody can be.

        An instance owns keys only once it is established; until then the
        owner before it serves them. Without any established instance, all
        share the keys.
        """
        leaving = self._board.leaving
        listed = {
            name: s
            for name, s in self._seen.get(service, {}).items()
            if s.gone_at > now and name not in leaving
        }
        established = [
            name for name, s in listed.items() if s.is_initial or self._is_old(s, now)
        ]
        ranked = rank_instances(key, tuple(established or listed))
        return listed[ranked[0]].instance if ranked else None

    def _is_old(self, sighting: _Sighting, now: float) -> bool:
        return now - sighting.since >= ESTABLISH_S

    def find_hold_end(self, service: str) -> float:
        """Return the time from which the own instance may run plain keys."""
        own = self._seen.get(service, {}).get(self._own)
        return own.since + START_HOLD_S if own is not None else float("inf")

    def find_pinned(self, service: str, key: str) -> Instance | None:
        """Return the listed instance that a pinned key names, if any."""
        parts = split_pinned(key)
        if parts is None or parts[0] in self._board.leaving:
            return None
        sighting = self._seen.get(service, {}).get(parts[0])
        if sighting is None or sighting.gone_at != float("inf"):
            return None
        return sighting.instance

    def find_rivals(
        self, service: str, key: str, now: float
    ) -> tuple[tuple[Instance, ...], str]:
        """Return who must promise before the own instance runs a plain key.

        Returns
        -------
        rivals : tuple of Instance
            Instances that may have run the key within the retention time.
        lost : str
            Name of one that has left for good and cannot promise any more,
            or an empty string.
        """
        seen = self._seen.get(service, {})
        own = seen.get(self._own)
        if own is not None and now - own.since >= SETTLE_S:
            # Who ranks lower can have owned the key only in a view without
            # the own instance, and no such view is left anywhere.
            ranked = rank_instances(key, tuple(seen))
            names = ranked[: ranked.index(self._own)]
        else:
            names = [name for name in seen if name != self._own]
        rivals = []
        for name in names:
            sighting = seen[name]
            if not sighting.may_have_run(now):
                continue
            if sighting.gone_at <= now and sighting.was_leaving:
                return (), name
            rivals.append(sighting.instance)
        return tuple(rivals), ""


def split_pinned(key: str) -> tuple[str, str, str] | None:
    """Return instance, incarnation and random part of a pinned key, or None."""
    if not key.startswith(PINNED_PREFIX):
        return None
    parts = key[len(PINNED_PREFIX) :].rsplit(".", 2)
    if len(parts) != 3 or not all(parts):
        return None
    return parts[0], parts[1], parts[2]
