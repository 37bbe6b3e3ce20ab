"""What has changed between two states, to tell it to other nodes.

A whole state takes hundreds of kilobytes; most changes touch one route or one
worker.
"""

from collections import deque

from mangowell_core.mesh.model import (
    ChangeNotice,
    DocumentDelta,
    Endpoint,
    MeshDocument,
)

# Versions to which the newest can be compared: those of a few seconds.
KEPT_VERSIONS = 12


class DocumentHistory:
    """Newest documents, which share the routes that they have in common."""

    __slots__ = ("_documents",)

    def __init__(self):
        self._documents: deque[MeshDocument] = deque(maxlen=KEPT_VERSIONS)

    def add(self, document: MeshDocument) -> MeshDocument:
        """Add a newer document; return it with the routes that it shares."""
        if self._documents:
            known = {route.name: route for route in self._documents[-1].routes}
            routes = tuple(
                old if (old := known.get(route.name)) == route else route
                for route in document.routes
            )
            document = MeshDocument(
                document.version, routes, document.services, document.limits
            )
        self._documents.append(document)
        return document

    def find_delta(self, version: int) -> DocumentDelta | None:
        """Return what leads from a version to the newest, if it is known."""
        for document in self._documents:
            if document.version == version:
                return make_delta(document, self._documents[-1])
        return None


def make_delta(old: MeshDocument, new: MeshDocument) -> DocumentDelta:
    """Return what leads from one document to another."""
    known = {route.name: route for route in old.routes}
    changed = []
    for route in new.routes:
        before = known.pop(route.name, None)
        if before is not route and before != route:
            changed.append(route)
    return DocumentDelta(
        old.version,
        new.version,
        tuple(changed),
        tuple(known),
        new.services if new.services != old.services else None,
        new.limits if new.limits != old.limits else None,
    )


def apply_delta(document: MeshDocument, delta: DocumentDelta) -> MeshDocument:
    """Return the document that a delta leads to.

    Raises
    ------
    ValueError
        If the delta begins at another version.
    """
    if document.version != delta.base_version:
        raise ValueError(f"delta begins at version {delta.base_version}")
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
    """What this node has told the others of its directory so far."""

    __slots__ = ("_endpoints", "_revision", "_version")

    def __init__(self):
        self._revision = 0
        self._version = 0
        self._endpoints: dict[str, Endpoint] = {}

    def mark(
        self,
        revision: int,
        document: MeshDocument | None,
        endpoints: dict[str, Endpoint],
    ) -> None:
        """Take a state as told, because another node tells it."""
        self._revision = revision
        self._version = document.version if document else 0
        self._endpoints = dict(endpoints)

    def collect(
        self,
        revision: int,
        document: MeshDocument | None,
        history: DocumentHistory,
        endpoints: dict[str, Endpoint],
    ) -> ChangeNotice | None:
        """Return what has changed since the last call, or None."""
        since, version, known = self._revision, self._version, self._endpoints
        self.mark(revision, document, endpoints)
        if not since:
            # The others have read the store themselves when they started.
            return None
        delta = history.find_delta(version) if version != self._version else None
        changed = tuple(e for e in endpoints.values() if known.get(e.id) is not e)
        removed = tuple(name for name in known if name not in endpoints)
        if revision == since and delta is None and not changed and not removed:
            return None
        return ChangeNotice(since, revision, self._version, delta, changed, removed)
