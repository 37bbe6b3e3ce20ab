"""Workers that have left, as far as the nodes remember them.

A store that is restored from a copy may list a worker that has left since. A node that
has never had its entry cannot tell that from the entry of a new worker, so nodes tell
each other which workers have left.
"""

from collections.abc import Container, Iterator

from mangowell_core.mesh.model import Departure, Endpoint

# Time for which a departure is remembered, in seconds. It exceeds the age of a copy
# from which the store is restored and the outage before.
DEPARTURE_KEEP_S = 120.0
# Largest number of departures that are remembered: two starts of each of 300 workers.
MAX_DEPARTURES = 600
# Milliseconds in a second: nodes tell each other times as ages in whole milliseconds.
_MS = 1000


class Departures:
    """Remembers the last entry of each worker that has left, for a limited time.

    The departures that other nodes tell keep the age that they have there, so that one
    that is passed on expires everywhere.
    """

    __slots__ = ("_departures", "_entries")

    def __init__(self):
        # Departure of each worker and the time until which it is kept, by id.
        self._departures: dict[str, tuple[Departure, float]] = {}
        # Last entries of those of them that were listed here, by id.
        self._entries: dict[str, Endpoint] = {}

    def __len__(self) -> int:
        return len(self._departures)

    def get(self, worker_id: str) -> Departure | None:
        """Return the departure of a worker; None if none is known."""
        known = self._departures.get(worker_id)
        return None if known is None else known[0]

    def get_entries(self) -> Iterator[Endpoint]:
        """Return the last entries of the workers that were listed here."""
        return iter(self._entries.values())

    def record(self, endpoint: Endpoint, removed_at: int, now: float) -> None:
        """Record that the entry of a worker was missing at revision `removed_at`."""
        departure = Departure(
            endpoint.id,
            endpoint.born_ms,
            endpoint.seq,
            endpoint.draining,
            endpoint.revision,
            removed_at,
        )
        self._merge(departure, now + DEPARTURE_KEEP_S)
        if endpoint.id in self._departures:
            self._entries[endpoint.id] = endpoint

    def record_told(self, departure: Departure, now: float) -> bool:
        """Record a departure that another node knows.

        Returns
        -------
        bool
            False if it has expired, or tells nothing new.
        """
        deadline = now + DEPARTURE_KEEP_S - departure.age_ms / _MS
        if now >= deadline:
            return False
        return self._merge(departure, deadline)

    def forget(self, worker_id: str) -> None:
        """Forget the departure of a worker that is in use again."""
        self._departures.pop(worker_id, None)
        self._entries.pop(worker_id, None)

    def expire(self, now: float) -> None:
        """Forget the departures whose time has passed."""
        for worker_id, (_, deadline) in list(self._departures.items()):
            if now >= deadline:
                self.forget(worker_id)

    def export(self, listed: Container[str], now: float) -> tuple[Departure, ...]:
        """Return the departures to tell another node, with their ages.

        Parameters
        ----------
        listed : container of str
            Ids of the workers that are in use; other nodes need not know of earlier
            departures of these.
        now : float
            Current time.
        """
        return tuple(
            Departure(
                known.id,
                known.born_ms,
                known.seq,
                known.draining,
                known.revision,
                known.removed_at,
                max(0, round((now + DEPARTURE_KEEP_S - deadline) * _MS)),
            )
            for known, deadline in self._departures.values()
            if known.id not in listed and now < deadline
        )

    def _merge(self, departure: Departure, deadline: float) -> bool:
        """Keep the later of two last writes; return whether it is the new one.

        A node that does not read the store may have missed the last write of a worker.
        """
        known = self.get(departure.id)
        if known is not None and departure.revision <= known.revision:
            return False
        self._departures.pop(departure.id, None)
        self._departures[departure.id] = departure, deadline
        if len(self._departures) > MAX_DEPARTURES:
            # Told departures are inserted out of order, and the next one to expire
            # covers the least time.
            self.forget(min(self._departures, key=self._get_deadline))
        return True

    def _get_deadline(self, worker_id: str) -> float:
        return self._departures[worker_id][1]
