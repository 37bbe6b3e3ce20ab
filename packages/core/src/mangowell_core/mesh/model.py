"""Values of the platform's document and its list of workers.

They are `msgspec` structures because nodes also send them to each other. The bounds
of their fields hold for whatever is decoded: a value that is accepted from the store
or from another node can be calculated with, sent on, and written to a header field.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from mangowell_core.mesh.uptime import Age, UptimeReport

# Largest number of a version, write or worker that all encodings carry.
MAX_INTEGER = 2**63 - 1
# Longest time in seconds, about 30 years. Timers and sums of times stay exact.
MAX_DURATION_S = 1e9
# Largest rate or speed, per second.
MAX_RATE = 1e9
# Longest name, in characters. A key of the store has at most 200 bytes, and many
# entries have to fit into one frame of a link.
MAX_NAME_CHARS = 255

Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
# Slots of a worker or requests at it: far above any worker, so that products and
# sums of them stay exact.
Slots = Annotated[int, Meta(ge=1, le=1_000_000)]
Load = Annotated[int, Meta(ge=0, le=1_000_000_000)]
# Within the range of the priority in the head of a request on a link.
Priority = Annotated[int, Meta(ge=0, le=1_000_000)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Digest = Annotated[int, Meta(ge=0, lt=2**32)]
# No infinity and no NaN, which pass no comparison.
Seconds = Annotated[float, Meta(ge=0, le=MAX_DURATION_S)]
# Time that may have passed already.
RemainingTime = Annotated[float, Meta(ge=-MAX_DURATION_S, le=MAX_DURATION_S)]
Rate = Annotated[float, Meta(ge=0, le=MAX_RATE)]
Weight = Annotated[float, Meta(ge=0, le=1e12)]
Share = Annotated[float, Meta(ge=0, le=1)]
# Infinity for no limit, negative if unknown.
RateLimit = Annotated[float, Meta(ge=-1)]
# Text without control characters, as names appear in header fields and log lines.
Name = Annotated[
    str,
    Meta(min_length=1, max_length=MAX_NAME_CHARS, pattern=r"^[^\x00-\x1f\x7f]+\Z"),
]
# The id of a worker is sent in a header field, which loses spaces at its ends.
WorkerId = Annotated[str, Meta(max_length=MAX_NAME_CHARS, pattern=r"^[!-~]+\Z")]
# Address of one machine; names are not looked up.
_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
Host = Annotated[
    str,
    Meta(
        pattern=rf"^(?:22[0-3]|2[01][0-9]|1[0-9][0-9]|[1-9][0-9]?)(?:\.{_OCTET}){{3}}\Z"
    ),
]
# Target of a request, written to the request line.
HealthPath = Annotated[str, Meta(max_length=1024, pattern=r"^(?:/[!-~]*)?\Z")]
# Routes are matched by prefixes that begin and end with a slash.
Prefix = Annotated[str, Meta(pattern=r"^/(?:[^\x00-\x1f\x7f]*/)?\Z")]


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

    name: Name
    host: Name
    prefix: Prefix
    idempotent: bool
    timeout_s: Seconds
    objective_s: Seconds
    priority: Priority
    max_attempts: Count
    parts: tuple[tuple[Name, Weight], ...]


class MeshService(msgspec.Struct, frozen=True, array_like=True):
    """Service that workers run.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Maximum number of connections that one worker accepts.
    health_path : str
        Path of the worker's health requests; empty if there is none.
    warmup_s : float
        Time for which a worker is cold after its start, in seconds.
    warmup_per_s : float
        Requests per second that a cold worker takes; 0 for no limit.
    """

    name: Name
    max_connections: Count
    health_path: HealthPath = ""
    warmup_s: Seconds = 0.0
    warmup_per_s: Rate = 0.0


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

    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 67_108_864
    header_timeout_s: Seconds = 5.0
    idle_timeout_s: Seconds = 60.0


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

    version: Count
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

    id: WorkerId
    service: Name
    host: Host
    port: Port
    failure_domain: Name
    slots: Slots
    draining: bool
    warmup_s: Seconds
    born_ms: Count
    revision: Count
    seq: Count = 0


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
    evacuated : tuple of str or None
        Failure domains whose workers get no new requests; None if unknown.
    """

    revision: Count
    document: MeshDocument | None
    endpoints: tuple[Endpoint, ...]
    evacuated: tuple[Name, ...] | None = None


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

    base_version: Count
    version: Count
    routes: tuple[MeshRoute, ...]
    removed: tuple[Name, ...]
    services: tuple[MeshService, ...] | None
    limits: CallerLimits | None


class StatusNotice(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
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
    store_uptime : UptimeReport or None
        When the store is known to have answered.
    failing : bool
        Whether a part of the sender that its callers need fails again and again.
    digest : int or None
        Checksum of the workers at `revision`, if the sender reads the store; see
        `Directory.compute_digest`.
    """

    instance: Name
    revision: Count
    needs_state: bool
    pending: Load
    limit: Load
    leaving: bool
    reads: bool
    link_mbps: Rate
    demand: dict[Name, tuple[Load, Load]] = {}
    ends_in_s: Seconds | None = None
    leaving_worker: tuple[WorkerId, Count] | None = None
    version: Count = 0
    store_uptime: UptimeReport | None = None
    failing: bool = False
    digest: Digest | None = None


class FetchNotice(msgspec.Struct, frozen=True, tag=True):
    """Request for the state of a node with a higher revision.

    Parameters
    ----------
    version : int
        Version of the requesting node's document; 0 for none.
    """

    version: Count


class StateNotice(msgspec.Struct, frozen=True, tag=True):
    """State of a node, sent to a node that has missed changes.

    Parameters
    ----------
    state : MeshState
        State; it has no document if `delta` is given.
    delta : DocumentDelta or None
        Change from the version of the requesting node to the current document.
    store_uptime : UptimeReport or None
        As in `StatusNotice`.
    """

    state: MeshState
    delta: DocumentDelta | None
    store_uptime: UptimeReport | None = None


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
    store_uptime : UptimeReport or None
        As in `StatusNotice`.
    evacuated : tuple of str or None
        All evacuated failure domains at `revision`; None if unknown.
    """

    since: Count
    revision: Count
    version: Count
    delta: DocumentDelta | None
    endpoints: tuple[Endpoint, ...]
    removed: tuple[WorkerId, ...]
    store_uptime: UptimeReport | None = None
    evacuated: tuple[Name, ...] | None = None


class CrashNotice(msgspec.Struct, frozen=True, tag=True):
    """Crash of a worker and the requests that were running on it.

    Parameters
    ----------
    crash : str
        Id and start time of the worker.
    fingerprints : tuple of str
        Fingerprints of the requests.
    age_s : float
        Time since the crash, in seconds, if the notice is sent later.
    is_cold : bool
        Whether the worker was cold and ran several requests, so that its load may
        have crashed it.
    """

    crash: str
    fingerprints: tuple[str, ...]
    age_s: float = 0.0
    is_cold: bool = False


class CompletionNotice(msgspec.Struct, frozen=True, tag=True):
    """Requests that a worker has completed although they were running at crashes.

    Parameters
    ----------
    completions : tuple of (str, float)
        Fingerprint of each request, and the time since its completion, in seconds.
    """

    completions: tuple[tuple[str, float], ...]


class LeavingNotice(msgspec.Struct, frozen=True, tag=True):
    """Workers that have stated in their answers that they are about to stop.

    Parameters
    ----------
    workers : tuple of (str, int)
        Id and start time in Unix milliseconds of each worker.
    """

    workers: tuple[tuple[WorkerId, Count], ...]


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """Last write of a worker whose entry the store has removed.

    Parameters
    ----------
    id : str
        Id of the worker.
    born_ms, seq, draining, revision : int, int, bool, int
        As in its last `Endpoint`.
    removed_at : int
        Revision at which the entry was missing.
    age_ms : int
        Time since the removal was noticed, in milliseconds.
    """

    id: WorkerId
    born_ms: Count
    seq: Count
    draining: bool
    revision: Count
    removed_at: Count
    age_ms: Age = 0


class DepartureNotice(msgspec.Struct, frozen=True, tag=True):
    """Workers that have left, for a node that may never have had their entries.

    Parameters
    ----------
    departures : tuple of Departure
        One for each worker.
    """

    departures: tuple[Departure, ...]


class ProbeNotice(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
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
    body_bytes : int
        Bytes of the request body if it is large, else 0.
    is_trial : bool
        Whether the request is only explained and will not be sent. The answer then has
        further fields, and the probe changes nothing at the node.
    """

    probe: Count
    instance: str
    route: str
    priority: Priority
    objective_s: Seconds
    remaining_s: RemainingTime
    is_call: bool
    rate_limit: RateLimit = -1.0
    body_bytes: Count = 0
    is_trial: bool = False


class ProbeReply(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
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
    refused_by : str
        Decision that refuses the request; only in the reply to a trial.
    cold_starts : int
        Requests that may start now at a cold worker, negative if it is not cold; only
        in the reply to a trial.
    """

    probe: Count
    accepted: bool
    delay_s: Seconds
    work_s: Seconds
    failure_rate: Share
    pending: Load
    limit: Load
    refused_by: Annotated[str, Meta(max_length=MAX_NAME_CHARS)] = ""
    cold_starts: Annotated[int, Meta(ge=-1, le=MAX_INTEGER)] = -1


Notice = (
    StatusNotice
    | FetchNotice
    | StateNotice
    | ChangeNotice
    | CrashNotice
    | CompletionNotice
    | LeavingNotice
    | DepartureNotice
    | ProbeNotice
    | ProbeReply
)
