"""Differences between two states, which nodes send instead of whole states.

A whole state takes hundreds of kilobytes, while most changes affect a single
route or worker.
"""

from collections import deque

from mangowell_core.mesh.model import (
    ChangeNotice,
    DocumentDelta,
    Endpoint,
    MeshDocument,
)

# Number of versions that the newest one can be compared with: those of a few
# seconds.
MAX_KEPT_DOCUMENTS = 12


class DocumentHistory:
    """Keeps the newest documents; equal routes are shared between them."""

    __slots__ = ("_documents",)

    def __init__(self):
        self._documents: deque[MeshDocument] = deque(maxlen=MAX_KEPT_DOCUMENTS)

    def add(self, document: MeshDocument) -> MeshDocument:
        """Add a newer document; return it with equal routes of the last one reused."""
        if self._documents:
            previous = {route.name: route for route in self._documents[-1].routes}
            routes = tuple(
                old if (old := previous.get(route.name)) == route else route
                for route in document.routes
            )
            document = MeshDocument(
                document.version, routes, document.services, document.limits
            )
        self._documents.append(document)
        return document

    def compute_delta_from(self, version: int) -> DocumentDelta | None:
        """Compute the delta from a version to the newest; None if it is not kept."""
        for document in self._documents:
            if document.version == version:
                return compute_delta(document, self._documents[-1])
        return None


def compute_delta(old: MeshDocument, new: MeshDocument) -> DocumentDelta:
    """Compute the delta from one document to another."""
    unmatched = {route.name: route for route in old.routes}
    changed = []
    for route in new.routes:
        old_route = unmatched.pop(route.name, None)
        if old_route is not route and old_route != route:
            changed.append(route)
    return DocumentDelta(
        old.version,
        new.version,
        tuple(changed),
        tuple(unmatched),
        new.services if new.services != old.services else None,
        new.limits if new.limits != old.limits else None,
    )


def apply_delta(document: MeshDocument, delta: DocumentDelta) -> MeshDocument:
    """Return the document that results from applying a delta.

    Raises
    ------
    ValueError
        If the delta starts from another version than the document's.
    """
    if document.version != delta.base_version:
        raise ValueError(f"delta applies only to document version {delta.base_version}")
    routes = {route.name: route for route in document.routes}
    for name in delta.removed:
        routes.pop(name, None)
    for route in delta.routes:
        routes[route.name] = route
    return MeshDocument(
        delta.version,
        tuple(routes.values()),
        document.services if delta.services is None else delta.services,
        document.limits if delta.limits is None else delta.limits,
    )


class Publication:
    """Tracks the part of the directory that has been published to other nodes."""

    __slots__ = ("_endpoints", "_evacuated", "_revision", "_version")

    def __init__(self):
        self._revision = 0
        self._version = 0
        self._endpoints: dict[str, Endpoint] = {}
        self._evacuated: tuple[str, ...] | None = None

    def mark(
        self,
        revision: int,
        document: MeshDocument | None,
        endpoints: dict[str, Endpoint],
        evacuated: tuple[str, ...] | None = None,
    ) -> None:
        """Mark a state as published, for example because another node published it."""
        self._revision = revision
        self._version = document.version if document else 0
        self._endpoints = dict(endpoints)
        self._evacuated = evacuated

    @property
    def state(self) -> tuple:
        """What has been published, for `restore`."""
        return self._revision, self._version, self._endpoints, self._evacuated

    def restore(self, state: tuple) -> None:
        """Return to an earlier state, as what was collected since was not sent."""
        self._revision, self._version, self._endpoints, self._evacuated = state

    def collect(
        self,
        revision: int,
        document: MeshDocument | None,
        history: DocumentHistory,
        endpoints: dict[str, Endpoint],
        evacuated: tuple[str, ...] | None = None,
    ) -> ChangeNotice | None:
        """Return the changes since the last published state and mark them published.

        They name each entry that was written after that state, also if it has been
        published, so that a receiver can tell which entries of others they leave out.

        The evacuated failure domains are few, so each notice names all of them, or
        none if they are not known.

        Returns
        -------
        ChangeNotice or None
            None if nothing has changed or no state was published before.
        """
        since, version, published = self._revision, self._version, self._endpoints
        has_new_orders = evacuated is not None and evacuated != self._evacuated
        self.mark(revision, document, endpoints, evacuated)
        if not since:
            # The other nodes read the store themselves when they start.
            return None
        delta = (
            history.compute_delta_from(version) if version != self._version else None
        )
        changed = tuple(
            endpoint
            for endpoint in endpoints.values()
            if published.get(endpoint.id) is not endpoint or endpoint.revision > since
        )
        removed = tuple(name for name in published if name not in endpoints)
        has_changed = revision != since or has_new_orders
        if not has_changed and delta is None and not changed and not removed:
            return None
        return ChangeNotice(
            since,
            revision,
            self._version,
            delta,
            changed,
            removed,
            evacuated=evacuated,
        )
