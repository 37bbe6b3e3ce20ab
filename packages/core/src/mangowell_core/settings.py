"""Settings of a node."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class SourceSettings:
    """Access to the configuration service.

    Parameters
    ----------
    url : str
        Base URL, such as ``http://10.0.0.2:8500``.
    timeout_ms : int
        Longest time for a plain read.
    expected_nodes : int
        Size of the fleet, which sets the window for reads while joining.
    reads_per_second : int
        Rate that the configuration service grants to all readers.
    """

    url: str
    timeout_ms: int = 1000
    expected_nodes: int = 3100
    reads_per_second: int = 2000


@dataclass(slots=True, frozen=True)
class DistributionSettings:
    """Spreading of configuration between nodes.

    Parameters
    ----------
    coalesce_ms : int
        Changes within this time leave a reader as one announcement. A
        larger value saves control bytes and delays convergence.
    fanout : int
        Children of one node in a spreading tree.
    rate_bytes_per_s, burst_bytes : int
        Token bucket for bulk transfers that a node serves.
    """

    coalesce_ms: int = 200
    fanout: int = 4
    rate_bytes_per_s: int = 10_000
    burst_bytes: int = 524_288


@dataclass(slots=True, frozen=True)
class SecuritySettings:
    """CURVE key pair of the fleet, Z85 encoded; empty strings turn it off."""

    curve_public: str = ""
    curve_secret: str = ""


@dataclass(slots=True, frozen=True)
class LogSettings:
    """Logging.

    Parameters
    ----------
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    events_kept : int
        Numbered events kept in memory for ``mangowell explain``.
    """

    level: str = "info"
    events_kept: int = 5000


@dataclass(slots=True, frozen=True)
class NodeSettings:
    """All settings of one node.

    Parameters
    ----------
    instance, service, failure_domain, region, environment : str
    host : str
        IP number that the node binds and that others reach it at.
    control_port, link_port, call_port, admin_port : int
    backend_host : str
    backend_port : int
    seeds : tuple of str
        ``host:control_port`` of nodes to ask when joining.
    invariants : str
        ``off``, ``cheap`` or ``full``.
    """

    instance: str
    service: str
    failure_domain: str
    environment: str
    host: str
    control_port: int
    link_port: int
    call_port: int
    admin_port: int
    backend_port: int
    source: SourceSettings
    region: str = ""
    backend_host: str = "127.0.0.1"
    seeds: tuple[str, ...] = ()
    invariants: str = "cheap"
    distribution: DistributionSettings = field(default_factory=DistributionSettings)
    security: SecuritySettings = field(default_factory=SecuritySettings)
    log: LogSettings = field(default_factory=LogSettings)
