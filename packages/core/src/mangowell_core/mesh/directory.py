"""Local view of the workers, learned from the store or from other nodes."""

import zlib
from collections.abc import Iterable

import msgspec

from mangowell_core.mesh.changes import DocumentHistory, apply_delta
from mangowell_core.mesh.departures import Departures
from mangowell_core.mesh.model import (
    ChangeNotice,
    Departure,
    DocumentDelta,
    Endpoint,
    MeshDocument,
    MeshState,
    StateNotice,
)
from mangowell_core.mesh.revisions import get_era, is_copy_of_departed, is_later_write
from mangowell_core.mesh.uptime import StoreUptime

# The platform states that an entry whose lease expired during a store outage is
# listed again within this time after the outage, if its worker is alive.
LAPSED_ENTRY_HOLD_S = 2.0
# Time after which a worker that was removed before a restore is used again if the
# store still lists it, in seconds. Entries of workers that have ended lapse sooner.
WITHHELD_S = 10.0


class Directory:
    """Holds the current document and workers; their revisions never decrease.

    An entry that the store no longer lists is dropped at once, except shortly after
    an outage of the store that was long enough for leases to run out. Missing entries
    are then held until their workers have had time to register again. Other nodes
    are told that they are missing, and hold them or not by what they know.

    A store that was restored from a copy lists workers that have left since, and
    says of others that they are ready although they drain. Such entries are
    recognized by the worker's own order of writes. Departures that other nodes tell
    are used for workers whose entries this node has never had.

    Parameters
    ----------
    heartbeat_s : float
        Interval at which workers renew their leases, in seconds; 0 if unknown.

    Attributes
    ----------
    uptime : StoreUptime
        Since when the store has answered without a long gap.
    evacuated : frozenset of str
        Failure domains whose workers get no new requests. While the store is away,
        the last known orders hold.
    knows_evacuations : bool
        Whether all orders at the current revision are known.
    """

    __slots__ = (
        "_by_host",
        "_by_service",
        "_departed",
        "_digest",
        "_endpoints",
        "_evacuations_known_at",
        "_held",
        "_named_services",
        "_restored_through",
        "_unconfirmed_orders",
        "_withheld",
        "_withheld_until",
        "document",
        "epoch",
        "evacuated",
        "history",
        "revision",
        "uptime",
    )

    def __init__(self, heartbeat_s: float = 0.0):
        self.revision = 0
        self.document: MeshDocument | None = None
        self.history = DocumentHistory()
        # Increases with every change of the endpoints.
        self.epoch = 0
        self.evacuated: frozenset[str] = frozenset()
        # Highest revision at which all orders to evacuate are known; 0 for none. Nodes
        # of earlier versions know no orders, so it may be behind `revision`.
        self._evacuations_known_at = 0
        # Orders of an older list that may have ended since, each with its revision.
        self._unconfirmed_orders: dict[str, int] = {}
        self._endpoints: dict[str, Endpoint] = {}
        # Missing entries that are held, each with the revision at which it was missing.
        self._held: dict[str, int] = {}
        self.uptime = StoreUptime(heartbeat_s)
        # Revision of the first state that was read after the latest restore.
        self._restored_through = 0
        # Removed workers, also those that other nodes have told of.
        self._departed = Departures()
        # Entries of such workers in the copy, and the time at which they are used.
        self._withheld: dict[str, Endpoint] = {}
        self._withheld_until = 0.0
        # Services that the document names.
        self._named_services: frozenset[str] = frozenset()
        self._by_service: dict[str, tuple[Endpoint, ...]] | None = None
        self._by_host: dict[str, list[Endpoint]] | None = None
        # Last result of `compute_digest`, and the state that it belongs to.
        self._digest: tuple[tuple, int] = (), 0

    # Store

    @property
    def is_store_away(self) -> bool:
        """Whether the store left the last call of this node unanswered."""
        return self.uptime.is_away

    def record_store_outage(self) -> None:
        """Record that the store does not answer this node."""
        self.uptime.record_failure()

    def record_store_recovery(self, now: float, sent_at: float | None = None) -> None:
        """Record that the store answered a call of this node, sent at `sent_at`."""
        self.uptime.record_answer(now if sent_at is None else sent_at, now)

    def record_store_restore(self, now: float) -> None:
        """Record that the store was restored from a copy.

        Workers that have registered since the copy have to register again, as after
        an outage.
        """
        self.uptime.restored_at = now

    def apply_document(self, document: MeshDocument) -> bool:
        """Apply a document if it is newer than the current one.

        Returns
        -------
        bool
            Whether the document was applied.
        """
        if self.document is not None and document.version <= self.document.version:
            return False
        self.document = self.history.add(document)
        named = _get_named_services(document)
        if named != self._named_services:
            self._named_services = named
            self._invalidate_indexes()
        return True

    def put(self, endpoint: Endpoint, listed_at: int = 0) -> None:
        """Add or replace an endpoint, unless something later is known of it.

        Parameters
        ----------
        endpoint : Endpoint
            Entry of a worker.
        listed_at : int
            Latest revision at which the store is known to list the entry, if that is
            later than its last write.
        """
        restored_through = self._restored_through
        listed_at = max(listed_at, endpoint.revision)
        current = self._endpoints.get(endpoint.id)
        if current is not None:
            if not is_later_write(endpoint, current, restored_through):
                return
            if _was_removed_later(listed_at, self._held.get(endpoint.id)):
                return
        elif (departed := self._departed.get(endpoint.id)) is not None:
            if is_copy_of_departed(endpoint, departed, restored_through):
                self._withheld[endpoint.id] = endpoint
                return
            if _was_removed_later(listed_at, departed.removed_at):
                return
        if current is None and listed_at < self.revision:
            # The entries at that revision are complete, so this one was removed since.
            return
        self._held.pop(endpoint.id, None)
        self._withheld.pop(endpoint.id, None)
        if current == endpoint:
            return
        self._endpoints[endpoint.id] = endpoint
        self._invalidate_indexes()

    def remove(self, endpoint_id: str, revision: int, now: float) -> None:
        """Remove an entry, or hold it if its lease may have expired in an outage."""
        self._withheld.pop(endpoint_id, None)
        current = self._endpoints.get(endpoint_id)
        if current is None or current.revision > revision:
            return
        if now < self._hold_deadline:
            self._held.setdefault(endpoint_id, revision)
        else:
            self._drop(endpoint_id, revision, now)

    def discard(self, endpoint_id: str, revision: int, now: float) -> None:
        """Remove an entry that cannot be read; its lease has not run out."""
        self._withheld.pop(endpoint_id, None)
        current = self._endpoints.get(endpoint_id)
        if current is not None and current.revision <= revision:
            self._drop(endpoint_id, revision, now)

    def record_departures(self, departures: Iterable[Departure], now: float) -> None:
        """Record workers that have left, as told by another node.

        An entry that turns out to be a copy from before the departure is withheld.
        """
        for departure in departures:
            if not self._departed.record_told(departure, now):
                continue
            current = self._endpoints.get(departure.id)
            if current is not None and is_copy_of_departed(
                current, departure, self._restored_through
            ):
                self._held.pop(current.id, None)
                self._withheld[current.id] = self._endpoints.pop(current.id)
                self._invalidate_indexes()

    def export_departures(self, now: float) -> tuple[Departure, ...]:
        """Return the workers that have left, for a node that may not know of them."""
        return self._departed.export(self._endpoints, now)

    def evacuate(self, failure_domain: str, revision: int) -> None:
        """Record the order to send nothing more to a failure domain.

        An order of a revision whose orders are known already is an older copy.
        """
        if self._record_order(failure_domain, revision):
            self._set_evacuated({*self.evacuated, failure_domain})

    def end_evacuation(self, failure_domain: str, revision: int) -> None:
        """Record that a failure domain may be used again; see `evacuate`."""
        if self._record_order(failure_domain, revision):
            self._unconfirmed_orders.pop(failure_domain, None)
            self._set_evacuated(self.evacuated - {failure_domain})

    def _record_order(self, failure_domain: str, revision: int) -> bool:
        """Return whether a write of an order is later than what is known of it."""
        known_at = self._evacuations_known_at
        if revision <= self._unconfirmed_orders.get(failure_domain, known_at):
            return False
        if failure_domain in self._unconfirmed_orders:
            self._unconfirmed_orders[failure_domain] = revision
        return True

    def is_evacuated(self, failure_domain: str) -> bool:
        """Return whether the workers of a failure domain get no new requests."""
        return failure_domain in self.evacuated

    @property
    def knows_evacuations(self) -> bool:
        """Whether all orders at the current revision are known."""
        return self._evacuations_known_at >= self.revision

    def confirm_evacuations(self, revision: int) -> None:
        """Record that all orders up to `revision` have been applied."""
        if revision >= self._evacuations_known_at:
            self._evacuations_known_at = revision
            self._unconfirmed_orders.clear()

    def export_evacuations(self) -> tuple[str, ...] | None:
        """Return the orders at the current revision, or None if some may be unknown."""
        if not self.knows_evacuations:
            return None
        return tuple(sorted(self.evacuated - self._unconfirmed_orders.keys()))

    def _apply_evacuations(
        self, failure_domains: Iterable[str] | None, revision: int
    ) -> None:
        """Apply all orders at `revision`; None if the sender does not know them."""
        if failure_domains is None:
            return
        domains = frozenset(failure_domains)
        if revision >= self._evacuations_known_at:
            self.confirm_evacuations(revision)
            self._set_evacuated(domains)
            return
        # The list may be older than orders that are known from other nodes. The
        # changes after it, which are read next, tell which of its orders have ended.
        for domain in domains - self.evacuated:
            self._unconfirmed_orders[domain] = revision
        self._set_evacuated(domains | self.evacuated)

    def _set_evacuated(self, failure_domains: Iterable[str]) -> None:
        evacuated = frozenset(failure_domains)
        if evacuated != self.evacuated:
            self.evacuated = evacuated
            self.epoch += 1

    def load(
        self,
        endpoints: Iterable[Endpoint],
        revision: int,
        now: float,
        evacuated: Iterable[str] | None = None,
    ) -> None:
        """Apply the complete list at `revision`; remove entries missing from it.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            Entries of all workers.
        revision : int
            Revision of the list.
        now : float
            Monotonic time, in seconds.
        evacuated : iterable of str or None
            All evacuated failure domains; None keeps those that are known.
        """
        self._follow_restore(revision, now)
        self._apply_evacuations(evacuated, revision)
        listed_by_id = {endpoint.id: endpoint for endpoint in endpoints}
        for endpoint in listed_by_id.values():
            self.put(endpoint, revision)
        for endpoint_id in [*self._endpoints, *self._withheld]:
            if endpoint_id not in listed_by_id:
                self.remove(endpoint_id, revision, now)
        self.revision = max(self.revision, revision)

    def _follow_restore(self, revision: int, now: float) -> None:
        """Note the revision of the first state that is known after a restore."""
        if get_era(revision) > get_era(self.revision):
            self._restored_through = revision
            self._withheld_until = now + WITHHELD_S

    def apply_state(
        self, notice: StateNotice, now: float, is_repair: bool = False
    ) -> bool:
        """Apply the state of another node if it is newer.

        Parameters
        ----------
        notice : StateNotice
            State of the other node.
        now : float
            Monotonic time, in seconds.
        is_repair : bool
            Whether the other node reads the store and has other workers at the
            revision that is known here. Its state is then applied at that revision.

        Returns
        -------
        bool
            Whether the endpoints were replaced.
        """
        if notice.store_uptime is not None:
            self.uptime.merge(notice.store_uptime, now)
        state = notice.state
        if state.document is not None:
            self.apply_document(state.document)
        elif not self._apply_delta(notice.delta):
            return False
        oldest = self.revision if is_repair else self.revision + 1
        if state.revision < oldest:
            return False
        self.load(state.endpoints, state.revision, now, state.evacuated)
        return True

    def apply_changes(self, changes: ChangeNotice, now: float) -> bool:
        """Apply the changes published by a node that reads the store.

        Returns
        -------
        bool
            False if earlier changes are missing here.
        """
        if changes.store_uptime is not None:
            self.uptime.merge(changes.store_uptime, now)
        if changes.revision < self.revision:
            return True
        if changes.since > self.revision or not self._apply_delta(changes.delta):
            return False
        if self.document_version < changes.version or self._contradicts(changes):
            return False
        self._follow_restore(changes.revision, now)
        self._apply_evacuations(changes.evacuated, changes.revision)
        for endpoint in changes.endpoints:
            self.put(endpoint, changes.revision)
        for endpoint_id in changes.removed:
            self.remove(endpoint_id, changes.revision, now)
        self.revision = changes.revision
        return True

    def _contradicts(self, changes: ChangeNotice) -> bool:
        """Return whether the changes leave open what became of an entry.

        The sender names all entries that were written after `since` and are still
        listed, but no worker that registered and left after it. If other nodes have
        told of one, only the whole state of the sender shows whether it has left.
        """
        if not changes.since < self.revision < changes.revision:
            return False
        named = {endpoint.id for endpoint in changes.endpoints}
        named.update(changes.removed)
        return any(
            endpoint.revision > changes.since and endpoint.id not in named
            for endpoint in self.listed.values()
        )

    def _apply_delta(self, delta: DocumentDelta | None) -> bool:
        """Apply a document change; return False if an earlier one is missing."""
        if delta is None or delta.version <= self.document_version:
            return True
        if self.document is None or self.document_version != delta.base_version:
            return False
        return self.apply_document(apply_delta(self.document, delta))

    @property
    def generation(self) -> tuple[int, int, int]:
        """Value that changes with the revision, the document and the workers."""
        return self.revision, self.document_version, self.epoch

    @property
    def document_version(self) -> int:
        """Version of the document; 0 for none."""
        return 0 if self.document is None else self.document.version

    def export(self, version: int = 0) -> StateNotice:
        """Return the state for a node that has document `version`; 0 for none.

        Held entries are left out: the store does not list them at this revision.
        Orders to evacuate are left out unless all of them are known, so that a state
        from a node that knows none ends no evacuation elsewhere.
        """
        delta = self.history.compute_delta_from(version)
        document = self.document if delta is None else None
        endpoints = tuple(self.listed.values())
        evacuated = self.export_evacuations()
        state = MeshState(self.revision, document, endpoints, evacuated)
        return StateNotice(state, delta)

    def compute_digest(self) -> int:
        """Return a checksum of the workers that the store lists.

        Two nodes that have the same revision but not the same digest differ.
        """
        state = self.revision, self.epoch, len(self._held)
        if self._digest[0] != state:
            entries = sorted((e.id, e.revision) for e in self.listed.values())
            self._digest = state, zlib.crc32(msgspec.msgpack.encode(entries))
        return self._digest[1]

    def expire(self, now: float) -> None:
        """Drop held entries whose workers did not register again in time.

        Withheld entries that the store still lists are used from their time on.
        """
        deadline = self._hold_deadline
        if now >= deadline and self.uptime.is_confirmed_up(deadline, now):
            for endpoint_id, revision in list(self._held.items()):
                self._drop(endpoint_id, revision, now)
        if self.uptime.is_away:
            return
        if self._withheld and now >= self._withheld_until:
            for endpoint in list(self._withheld.values()):
                self._departed.forget(endpoint.id)
                self.put(endpoint, self.revision)
        self._departed.expire(now)

    @property
    def _hold_deadline(self) -> float:
        """Time from which a worker whose entry is missing has left."""
        uptime = self.uptime
        return max(uptime.returned_at, uptime.restored_at) + LAPSED_ENTRY_HOLD_S

    def _drop(self, endpoint_id: str, revision: int, now: float) -> None:
        self._held.pop(endpoint_id, None)
        endpoint = self._endpoints.pop(endpoint_id, None)
        if endpoint is not None:
            self._departed.record(endpoint, revision, now)
            self._invalidate_indexes()

    def _invalidate_indexes(self) -> None:
        self.epoch += 1
        self._by_service = self._by_host = None

    # Lookup

    def look_up_service(self, service: str) -> tuple[Endpoint, ...]:
        """Return the workers of a service, including draining ones."""
        if self._by_service is None:
            self._by_service = self._group_by_service()
        return self._by_service.get(service, ())

    def find_unused(self, service: str) -> list[tuple[Endpoint, str]]:
        """Return known workers that `look_up_service` leaves out, and why it does."""
        used = {endpoint.id for endpoint in self.look_up_service(service)}
        unused = {
            endpoint.id: (endpoint, "another worker has started at its address")
            for endpoint in self._endpoints.values()
            if endpoint.id not in used
        }
        for endpoint in self._departed.get_entries():
            unused[endpoint.id] = endpoint, "entry was removed: the worker has left"
        for endpoint in self._withheld.values():
            reason = "entry is a copy from before the worker left"
            unused[endpoint.id] = endpoint, reason
        return [pair for pair in unused.values() if pair[0].service == service]

    def look_up_address(self, host: str, port: int) -> Endpoint | None:
        """Return the most recently started worker at an address."""
        candidates = [e for e in self.look_up_host(host) if e.port == port]
        return max(candidates, key=self._get_start_order, default=None)

    def look_up_host(self, host: str) -> list[Endpoint]:
        """Return the workers at a host."""
        return self._hosts.get(host, [])

    def get_workers(self) -> list[Endpoint]:
        """Return all workers."""
        return list(self._endpoints.values())

    def get_hosts(self) -> set[str]:
        """Return the hosts of all workers."""
        return set(self._hosts)

    @property
    def _hosts(self) -> dict[str, list[Endpoint]]:
        if self._by_host is None:
            self._by_host = {}
            for endpoint in self._endpoints.values():
                self._by_host.setdefault(endpoint.host, []).append(endpoint)
        return self._by_host

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """All workers, by id."""
        return self._endpoints

    @property
    def listed(self) -> dict[str, Endpoint]:
        """Workers that the store lists at the current revision, by id."""
        if not self._held:
            return self._endpoints
        return {e.id: e for e in self._endpoints.values() if e.id not in self._held}

    def __len__(self) -> int:
        return len(self._endpoints)

    def _group_by_service(self) -> dict[str, tuple[Endpoint, ...]]:
        # An address belongs to the worker that was started there last.
        latest: dict[tuple[str, int], Endpoint] = {}
        for endpoint in self._endpoints.values():
            address = (endpoint.host, endpoint.port)
            other = latest.get(address)
            if other is None or self._get_start_order(endpoint) > self._get_start_order(
                other
            ):
                latest[address] = endpoint
        groups: dict[str, list[Endpoint]] = {}
        for endpoint in latest.values():
            groups.setdefault(endpoint.service, []).append(endpoint)
        return {service: tuple(group) for service, group in groups.items()}

    def _get_start_order(self, endpoint: Endpoint) -> tuple[bool, int, int]:
        # An entry of another writer may name the address of a worker and a service
        # that does not exist. It must not take the address from the worker.
        is_named = endpoint.service in self._named_services
        return is_named, endpoint.born_ms, endpoint.revision


def _was_removed_later(listed_at: int, removed_at: int | None) -> bool:
    """Return whether an entry was missing at a later revision of the same era."""
    if removed_at is None or get_era(removed_at) != get_era(listed_at):
        return False
    return listed_at < removed_at


def _get_named_services(document: MeshDocument) -> frozenset[str]:
    names = {service.name for service in document.services}
    for route in document.routes:
        names.update(name for name, _ in route.parts)
    return frozenset(names)
