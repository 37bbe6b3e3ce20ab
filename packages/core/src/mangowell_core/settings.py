"""Settings of a node: data classes, schema and parser."""

import re
from dataclasses import dataclass, field

from result import Err, Ok, Result

from mangowell_core.internal.ini import split_sections
from mangowell_core.internal.schema import (
    ErrorList,
    Key,
    Schema,
    SchemaError,
    SectionSchema,
    choice,
    host,
    host_port,
    integer,
    name,
    pattern,
    port,
    sequence,
)

# A curve key is 32 bytes, which Z85 writes as 40 characters.
_CURVE_KEY = r"(?:[0-9A-Za-z.\-:+=^!/*?&<>()\[\]{}@%$#]{40})?"
_URL = re.compile(r"https?://([0-9.]+|\[[0-9A-Fa-f:.]+\])(?::([0-9]{1,5}))?(/[!-~]*)?")


@dataclass(slots=True, frozen=True)
class SourceSettings:
    """Access to the configuration service.

    Parameters
    ----------
    url : str
        Base URL of the service, such as ``http://10.0.0.2:8500``.
    timeout_ms : int
        Longest time for a read that does not watch for changes, in ms.
    expected_nodes : int
        Number of nodes in the fleet. It determines the time window over which
        joining nodes spread their reads.
    reads_per_second : int
        Rate that the configuration service allows to all readers together.
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
        Time in ms in which a reader combines changes into one announcement. A
        larger value saves control bytes and delays convergence.
    fanout : int
        Number of children of a node in a spreading tree.
    rate_bytes_per_s, burst_bytes : int
        Rate and size of the token bucket that limits the bulk transfers which a
        node serves.
    """

    coalesce_ms: int = 200
    fanout: int = 4
    rate_bytes_per_s: int = 10_000
    burst_bytes: int = 524_288


@dataclass(slots=True, frozen=True)
class SecuritySettings:
    """CURVE key pair of the fleet, in Z85; empty strings turn encryption off."""

    curve_public: str = ""
    curve_secret: str = field(default="", repr=False)


@dataclass(slots=True, frozen=True)
class LogSettings:
    """Logging and the in-memory event history.

    Parameters
    ----------
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    events_kept : int
        Number of events that are kept in memory for ``mangowell explain``.
    """

    level: str = "info"
    events_kept: int = 5000


@dataclass(slots=True, frozen=True)
class NodeSettings:
    """All settings of one node.

    Parameters
    ----------
    instance, service, failure_domain, region, environment : str
        Names that identify the node and its place in the fleet.
    host : str
        IP address that the node binds and at which other nodes reach it.
    control_port, link_port, call_port, admin_port : int
        TCP ports that the node listens on at `host`.
    backend_host : str
        IP address of the node's backend server.
    backend_port : int
        TCP port of the node's backend server.
    seeds : tuple of str
        ``host:control_port`` of the nodes that a joining node asks.
    invariants : str
        Level of the run-time checks: ``off``, ``cheap`` or ``full``.
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


def _url(value: str) -> str:
    """Return the base URL of the configuration service if it is valid."""
    match = _URL.fullmatch(value)
    if match is None:
        raise ValueError(
            "expected http://host:port or https://host:port with an IP address"
        )
    host(match[1].strip("[]"))
    if match[2] is not None:
        port(match[2])
    return value


SETTINGS_SCHEMA = Schema(
    SectionSchema(
        "node",
        dict,
        (
            Key("instance", name, required=True),
            Key("service", name, required=True),
            Key("failure_domain", name, required=True),
            Key("region", name),
            Key("environment", name, required=True),
            Key("host", host, required=True),
            Key("control_port", port, required=True),
            Key("link_port", port, required=True),
            Key("call_port", port, required=True),
            Key("admin_port", port, required=True),
            Key("backend_host", host),
            Key("backend_port", port, required=True),
            Key("seeds", sequence(host_port)),
            Key("invariants", choice("off", "cheap", "full")),
        ),
        required=True,
    ),
    SectionSchema(
        "source",
        SourceSettings,
        (
            Key("url", _url, required=True),
            Key("timeout_ms", integer(10, 60_000)),
            Key("expected_nodes", integer(1, 100_000)),
            Key("reads_per_second", integer(1, 1_000_000)),
        ),
        required=True,
    ),
    SectionSchema(
        "distribution",
        DistributionSettings,
        (
            # A change must be active within 14 s; the wait at the reader may take
            # only a part of that.
            Key("coalesce_ms", integer(0, 5000)),
            Key("fanout", integer(1, 32)),
            Key("rate_bytes_per_s", integer(1000, 100_000_000)),
            # The bucket must hold one piece of a bulk transfer, which is 16 KB.
            Key("burst_bytes", integer(16_384, 100_000_000)),
        ),
    ),
    SectionSchema(
        "security",
        SecuritySettings,
        (
            Key("curve_public", pattern(_CURVE_KEY, "40 characters of Z85")),
            Key("curve_secret", pattern(_CURVE_KEY, "40 characters of Z85")),
        ),
        hidden=True,
    ),
    SectionSchema(
        "log",
        LogSettings,
        (
            Key("level", choice("debug", "info", "warning", "error")),
            Key("events_kept", integer(0, 1_000_000)),
        ),
    ),
)
_PORTS = ("control_port", "link_port", "call_port", "admin_port")


def parse_settings(
    text: str, filename: str = "settings"
) -> Result[NodeSettings, list[SchemaError]]:
    """Parse and validate the settings of a node.

    Parameters
    ----------
    text : str
    filename : str
        Name shown in errors.

    Returns
    -------
    Ok of NodeSettings, or Err of list of SchemaError
        Errors in the order of their lines, without the values of
        ``[security]``. An invalid text never raises an exception.
    """
    errors = ErrorList(filename, SETTINGS_SCHEMA.hidden)
    parsed = SETTINGS_SCHEMA.read(split_sections(text), errors)
    node = parsed.values["node"].get("")
    if node is not None:
        key_by_address: dict[tuple[str, int], str] = {}
        ports = [(key, node["host"]) for key in _PORTS]
        ports.append(("backend_port", node.get("backend_host", "127.0.0.1")))
        for key, address in ports:
            other = key_by_address.setdefault((address, node[key]), key)
            if other != key:
                errors.add(*parsed.locate("node", "", key), f"same port as {other}")
    security = parsed.values["security"].get("")
    if security and bool(security.curve_public) != bool(security.curve_secret):
        key = "curve_secret" if security.curve_public else "curve_public"
        reason = "curve_public and curve_secret must be set together"
        errors.add(*parsed.locate("security", "", key), reason)
    if errors:
        return Err(errors.to_sorted_list())
    kinds = ("source", "distribution", "security", "log")
    sections = {k: parsed.values[k][""] for k in kinds if parsed.values[k]}
    return Ok(NodeSettings(**node, **sections))
