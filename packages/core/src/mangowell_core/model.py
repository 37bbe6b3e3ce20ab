"""Data classes of the document and the instance list.

The values are immutable, so that controllers can share a snapshot built from them
and replace it in one assignment.
"""

from dataclasses import dataclass
from enum import Enum


@dataclass(slots=True, frozen=True)
class TrafficClass:
    """Class of requests that share a priority.

    Parameters
    ----------
    name : str
    priority : int
        0 is served first; classes with larger numbers are shed first.
    deferrable : bool
        Whether requests may wait for hours instead of displacing other requests.
    """

    name: str
    priority: int
    deferrable: bool = False


@dataclass(slots=True, frozen=True)
class Tenant:
    """Group of callers that share capacity fairly with other groups.

    Parameters
    ----------
    name : str
    weight : float
        Share of capacity relative to other tenants of the same class.
    """

    name: str
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class Service:
    """Service that a group of backend servers runs.

    Parameters
    ----------
    name : str
    slots : int
        Requests that one backend server runs concurrently.
    connections : int
        Connections that one backend server accepts.
    queue_limit : int
        Requests that may wait at one node.
    retry_ratio : float
        Retries and hedges as a share of requests, 0 to 1.
    slow_start_s : float
        Time in seconds over which a new instance ramps up to its full share.
    """

    name: str
    slots: int = 12
    connections: int = 120
    queue_limit: int = 48
    retry_ratio: float = 0.1
    slow_start_s: float = 10.0


@dataclass(slots=True, frozen=True)
class Route:
    """Rule that sends requests to a service.

    Parameters
    ----------
    name : str
    service : str
    path : str
        Prefix of the request path; the longest match wins.
    methods : tuple of str
        HTTP methods in upper case; empty means every method.
    traffic_class : str
    idempotent : bool
        A request of a non-idempotent route runs at most once.
    timeout_ms : int
        Time limit of a call whose caller gives no deadline.
    retries : int
        Further attempts for one call; 0 for non-idempotent routes.
    hedge_after_ms : int
        Delay before a hedged second attempt; 0 turns hedging off.
    """

    name: str
    service: str
    path: str
    methods: tuple[str, ...] = ()
    traffic_class: str = ""
    idempotent: bool = True
    timeout_ms: int = 1000
    retries: int = 0
    hedge_after_ms: int = 0


@dataclass(slots=True, frozen=True)
class Document:
    """Accepted configuration of one environment.

    Parameters
    ----------
    environment : str
    version : int
        Positive; operators increase it with each change.
    classes, tenants, services, routes : dict
        Parsed sections by name.
    text : str
        Source text, byte for byte as published.
    digest : str
        SHA-256 of the UTF-8 text, in hexadecimal.
    """

    environment: str
    version: int
    classes: dict[str, TrafficClass]
    tenants: dict[str, Tenant]
    services: dict[str, Service]
    routes: dict[str, Route]
    text: str
    digest: str


class InstanceState(Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class Instance:
    """Instance of a service: a backend server and the node beside it.

    `host` is an IP address; the ports are TCP ports at `host`.
    """

    name: str
    service: str
    failure_domain: str
    host: str
    control_port: int
    link_port: int
    call_port: int
    admin_port: int
    backend_port: int
    state: InstanceState = InstanceState.LIVE


@dataclass(slots=True, frozen=True)
class InstanceList:
    """The platform's list of instances at one revision.

    Parameters
    ----------
    revision : int
        Increases with each change of the list.
    instances : dict of str to Instance
        Instances by name.
    text : str
        Source text.
    digest : str
        SHA-256 of the UTF-8 text, in hexadecimal.
    """

    revision: int
    instances: dict[str, Instance]
    text: str
    digest: str


@dataclass(slots=True, frozen=True)
class Snapshot:
    """What a node runs: one document joined with one view of the instances.

    Parameters
    ----------
    document : Document
    instances_revision : int
        Revision of the instance list that the view is based on.
    instances : dict of str to tuple of Instance
        Instances by service name. Every service of the document has an entry,
        which may be empty.
    """

    document: Document
    instances_revision: int
    instances: dict[str, tuple[Instance, ...]]
