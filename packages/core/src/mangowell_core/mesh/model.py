"""Values of the platform's document and list of workers.

They are `msgspec` structures because nodes also pass them to each other.
"""

import msgspec


class MeshRoute(msgspec.Struct, frozen=True, array_like=True):
    """Rule that sends requests to one or more services.

    Parameters
    ----------
    name : str
    host : str
        Host name without a port, in lower case.
    prefix : str
        Start of the path; begins and ends with a slash.
    idempotent : bool
        Whether one request may run more than once.
    timeout_s : float
        Longest time that a caller is kept waiting.
    objective_s : float
        Time within which an answer has its full worth.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Workers that one request may be sent to.
    parts : tuple of (str, int)
        Services and the share of the requests that each gets.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    parts: tuple[tuple[str, float], ...]


class MeshService(msgspec.Struct, frozen=True, array_like=True):
    """Service that workers run.

    Parameters
    ----------
    name : str
    max_connections : int
        Connections that one worker accepts.
    """

    name: str
    max_connections: int


class CallerLimits(msgspec.Struct, frozen=True, array_like=True):
    """What a caller may send, and how long it may stay idle.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
    header_timeout_s, idle_timeout_s : float
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class MeshDocument(msgspec.Struct, frozen=True, array_like=True):
    """One accepted version of the operators' document.

    Parameters
    ----------
    version : int
    routes : tuple of MeshRoute
    services : tuple of MeshService
    limits : CallerLimits
    """

    version: int
    routes: tuple[MeshRoute, ...]
    services: tuple[MeshService, ...]
    limits: CallerLimits


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """Worker as the platform lists it.

    Parameters
    ----------
    id : str
        Name of this start of the worker, or of an earlier one.
    service : str
    host, port : str, int
    failure_domain : str
    slots : int
        Requests that it runs at once.
    draining : bool
        It is about to leave and takes no new work.
    warmup_s : float
        Time for which it stays slow, counted from the entry's last change.
    born_ms : int
        Unix time of its start; tells two starts with one id apart.
    revision : int
        Revision of the entry's last change.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    draining: bool
    warmup_s: float
    born_ms: int
    revision: int


class MeshState(msgspec.Struct, frozen=True, array_like=True):
    """All that a node knows of the platform at one revision.

    Parameters
    ----------
    revision : int
        The store's revision up to which changes are contained; 0 for none.
    document : MeshDocument or None
    endpoints : tuple of Endpoint
    """

    revision: int
    document: MeshDocument | None
    endpoints: tuple[Endpoint, ...]


class DocumentDelta(msgspec.Struct, frozen=True, array_like=True):
    """What leads from one version of the document to a newer one.

    Parameters
    ----------
    base_version, version : int
    routes : tuple of MeshRoute
        Routes that are new or have changed.
    removed : tuple of str
        Names of the routes that are gone.
    services : tuple of MeshService or None
        All services, if any has changed.
    limits : CallerLimits or None
        If they have changed.
    """

    base_version: int
    version: int
    routes: tuple[MeshRoute, ...]
    removed: tuple[str, ...]
    services: tuple[MeshService, ...] | None
    limits: CallerLimits | None


class StatusNotice(msgspec.Struct, frozen=True, tag=True):
    """What a node tells the nodes that are linked to it, at intervals.

    Parameters
    ----------
    instance : str
    revision : int
        Revision of its state.
    needs_state : bool
        It cannot read the store itself.
    pending, limit : int
        Requests at its worker, and how many run at once.
    leaving : bool
        It is stopping and takes no new requests.
    reads : bool
        It reads the store, and the store answers.
    link_mbps : float
        Speed of its machine's link.
    demand : dict
        For each service whose retries are in demand, the rates of requests and
        of retries asked for, in tenths a second.
    """

    instance: str
    revision: int
    needs_state: bool
    pending: int
    limit: int
    leaving: bool
    reads: bool
    link_mbps: float
    demand: dict[str, tuple[int, int]] = {}


class FetchNotice(msgspec.Struct, frozen=True, tag=True):
    """Request for the state of a node whose revision is higher.

    Parameters
    ----------
    version : int
        Version of the document that the asking node has; 0 for none.
    """

    version: int


class StateNotice(msgspec.Struct, frozen=True, tag=True):
    """State of a node, for one that lacks changes.

    Parameters
    ----------
    state : MeshState
        Without the document if `delta` leads to it.
    delta : DocumentDelta or None
    """

    state: MeshState
    delta: DocumentDelta | None


class ChangeNotice(msgspec.Struct, frozen=True, tag=True):
    """What has changed at a node that reads the store.

    Parameters
    ----------
    since, revision : int
        Revisions between which the changes lie.
    version : int
        Version of the document at `revision`; 0 for none.
    delta : DocumentDelta or None
        None if the document has not changed, or has changed too often.
    endpoints : tuple of Endpoint
        Workers that are new or have changed.
    removed : tuple of str
        Ids of the workers that are gone.
    """

    since: int
    revision: int
    version: int
    delta: DocumentDelta | None
    endpoints: tuple[Endpoint, ...]
    removed: tuple[str, ...]


class CrashNotice(msgspec.Struct, frozen=True, tag=True):
    """Crash of a worker with the requests that it was running.

    Parameters
    ----------
    crash : str
        Id and start of the worker.
    fingerprints : tuple of str
    """

    crash: str
    fingerprints: tuple[str, ...]


Notice = StatusNotice | FetchNotice | StateNotice | ChangeNotice | CrashNotice
