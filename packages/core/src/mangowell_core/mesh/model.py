"""Values of the platform's document and its list of workers.

They are `msgspec` structures because nodes also send them to each other.
"""

import msgspec


class MeshRoute(msgspec.Struct, frozen=True, array_like=True):
    """Rule that maps requests to one or more services.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host name without a port, in lower case.
    prefix : str
        Prefix of the path; begins and ends with a slash.
    idempotent : bool
        Whether one request may run more than once.
    timeout_s : float
        Maximum time that a caller waits, in seconds.
    objective_s : float
        Time within which an answer has its full value, in seconds.
    priority : int
        Priority of the requests; 0 is the most urgent.
    max_attempts : int
        Maximum number of workers that one request is sent to.
    parts : tuple of (str, float)
        Services and their weights in the distribution of the requests.
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
        Name of the service.
    max_connections : int
        Maximum number of connections that one worker accepts.
    """

    name: str
    max_connections: int


class CallerLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits on the requests and connections of callers.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum size of the headers and the body of a request, in bytes.
    header_timeout_s : float
        Maximum time to receive the headers of a request, in seconds.
    idle_timeout_s : float
        Maximum time that a connection stays idle, in seconds.
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
        Version number; a newer document has a higher one.
    routes : tuple of MeshRoute
        Routes of all services.
    services : tuple of MeshService
        Services that routes refer to.
    limits : CallerLimits
        Limits that apply to all callers.
    """

    version: int
    routes: tuple[MeshRoute, ...]
    services: tuple[MeshService, ...]
    limits: CallerLimits


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """Entry of a worker in the platform's list.

    Parameters
    ----------
    id : str
        Id of the worker; a later start of a worker may reuse it.
    service : str
        Service that the worker runs.
    host, port : str, int
        Address of the worker.
    failure_domain : str
        Failure domain of the worker.
    slots : int
        Maximum number of requests that the worker runs at once.
    draining : bool
        Whether the worker is about to stop and takes no new requests.
    warmup_s : float
        Time for which the worker stays slow while it warms up, in seconds from
        the last change of the entry.
    born_ms : int
        Unix time of the worker's start, in milliseconds; it distinguishes two
        starts under one id.
    revision : int
        Revision of the last change of the entry.
    seq : int
        Number of the worker's write since its start. It tells which of two entries
        the worker wrote later, also if revisions of the store went back.
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
    seq: int = 0


class MeshState(msgspec.Struct, frozen=True, array_like=True):
    """Complete state of the platform as a node knows it at one revision.

    Parameters
    ----------
    revision : int
        Revision of the store up to which changes are included; 0 for none.
    document : MeshDocument or None
        Document, if the node has one and it is not sent as a delta.
    endpoints : tuple of Endpoint
        Entries of all workers.
    """

    revision: int
    document: MeshDocument | None
    endpoints: tuple[Endpoint, ...]


class DocumentDelta(msgspec.Struct, frozen=True, array_like=True):
    """Difference between one version of the document and a newer one.

    Parameters
    ----------
    base_version, version : int
        Older and newer version.
    routes : tuple of MeshRoute
        Added and changed routes.
    removed : tuple of str
        Names of the removed routes.
    services : tuple of MeshService or None
        All services, if any of them has changed.
    limits : CallerLimits or None
        Limits, if they have changed.
    """

    base_version: int
    version: int
    routes: tuple[MeshRoute, ...]
    removed: tuple[str, ...]
    services: tuple[MeshService, ...] | None
    limits: CallerLimits | None


class StatusNotice(msgspec.Struct, frozen=True, tag=True):
    """Status that a node sends periodically to the nodes linked to it.

    Parameters
    ----------
    instance : str
        Instance name of the sender.
    revision : int
        Revision of the sender's state.
    needs_state : bool
        Whether the sender cannot read the store itself.
    pending : int
        Requests that run or wait at the sender's worker.
    limit : int
        Maximum number of requests that the worker runs at once.
    leaving : bool
        Whether the sender is stopping and takes no new requests.
    reads : bool
        Whether the sender reads the store and the store answers.
    link_mbps : float
        Speed of the link of the sender's machine, in megabits per second.
    demand : dict
        For each service with retry demand, the rates of requests and of
        requested retries, in tenths per second.
    ends_in_s : float or None
        If the sender is leaving, the time within which requests must end there, in
        seconds; None if it is not leaving or does not say so.
    leaving_worker : tuple of (str, int) or None
        Id and start time in Unix milliseconds of the sender's worker, if it has
        stated that it is about to stop.
    version : int
        Version of the sender's document; 0 for none.
    failing : bool
        Whether a part of the sender that its callers need fails again and again.
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
    ends_in_s: float | None = None
    leaving_worker: tuple[str, int] | None = None
    version: int = 0
    failing: bool = False


class FetchNotice(msgspec.Struct, frozen=True, tag=True):
    """Request for the state of a node with a higher revision.

    Parameters
    ----------
    version : int
        Version of the requesting node's document; 0 for none.
    """

    version: int


class StateNotice(msgspec.Struct, frozen=True, tag=True):
    """State of a node, sent to a node that has missed changes.

    Parameters
    ----------
    state : MeshState
        State; it has no document if `delta` is given.
    delta : DocumentDelta or None
        Change from the version of the requesting node to the current document.
    """

    state: MeshState
    delta: DocumentDelta | None


class ChangeNotice(msgspec.Struct, frozen=True, tag=True):
    """Changes published by a node that reads the store.

    Parameters
    ----------
    since, revision : int
        Revisions between which the changes were made.
    version : int
        Version of the document at `revision`; 0 for none.
    delta : DocumentDelta or None
        Change of the document. None if the document has not changed, or if the
        version it changed from is no longer kept.
    endpoints : tuple of Endpoint
        Entries of added and changed workers.
    removed : tuple of str
        Ids of the removed workers.
    """

    since: int
    revision: int
    version: int
    delta: DocumentDelta | None
    endpoints: tuple[Endpoint, ...]
    removed: tuple[str, ...]


class CrashNotice(msgspec.Struct, frozen=True, tag=True):
    """Crash of a worker and the requests that were running on it.

    Parameters
    ----------
    crash : str
        Id and start time of the worker.
    fingerprints : tuple of str
        Fingerprints of the requests.
    """

    crash: str
    fingerprints: tuple[str, ...]


class ProbeNotice(msgspec.Struct, frozen=True, tag=True):
    """Question to the node beside a worker when a request would start there.

    Parameters
    ----------
    probe : int
        Number that the answer repeats; unique at the sender.
    instance : str
        Id of the worker.
    route : str
        Name of the request's route.
    priority : int
        Priority of the request.
    objective_s : float
        Time within which an answer has its full value, in seconds.
    remaining_s : float
        Time until the deadline of the request, in seconds.
    is_call : bool
        Whether a worker made the request while running another one.
    rate_limit : float
        Rate limit of the worker as the sender knows it, in requests per second;
        infinity for no limit, negative if unknown.
    """

    probe: int
    instance: str
    route: str
    priority: int
    objective_s: float
    remaining_s: float
    is_call: bool
    rate_limit: float = -1.0


class ProbeReply(msgspec.Struct, frozen=True, tag=True):
    """Prediction for one request by the node beside a worker.

    Parameters
    ----------
    probe : int
        Number of the probe.
    accepted : bool
        Whether the request would run or wait; otherwise it would be refused.
    delay_s : float
        Expected wait for a slot, or if refused the time after which the request
        may be sent again, in seconds.
    work_s : float
        Mean time that the worker takes for a request of the route, in seconds;
        0 if it has not completed any.
    failure_rate : float
        Share of the latest requests that the worker has failed.
    pending, limit : int
        Requests that run or wait at the worker, and its number of slots.
    """

    probe: int
    accepted: bool
    delay_s: float
    work_s: float
    failure_rate: float
    pending: int
    limit: int


Notice = (
    StatusNotice
    | FetchNotice
    | StateNotice
    | ChangeNotice
    | CrashNotice
    | ProbeNotice
    | ProbeReply
)
