"""Settings of a node on the platform, read from an INI file.

The platform generates the file from a template in ``deploy/`` at each start and
whenever a value changes.
"""

import configparser
import re

import msgspec
from result import Err, Ok, Result

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_UNIT_S = {"ms": 0.001, "s": 1.0}


class Address(msgspec.Struct, frozen=True):
    """Network address as a host and a port."""

    host: str
    port: int


class MeshSettings(msgspec.Struct, frozen=True):
    """Validated settings of one node.

    Parameters
    ----------
    instance : str
        Name of the node.
    failure_domain : str
        Failure domain of the node.
    service : str
        Service of the worker.
    callers, ready, link : Address
        Listening addresses for callers, readiness checks and other nodes.
    worker, store : Address
        Addresses of the worker and the store.
    metrics_port : int
        Listening port for metrics.
    link_mbps : float
        Speed of the machine's link, in megabits per second.
    grace_s : float
        Time between SIGTERM and SIGKILL, in seconds.
    retry_ratio : float
        Retries allowed to all nodes, as a share of the requests.
    retry_floor : int
        Retries allowed to all nodes in each window in addition to that share.
    retry_window_s : float
        Length of the window, in seconds.
    """

    instance: str
    failure_domain: str
    service: str
    callers: Address
    ready: Address
    worker: Address
    store: Address
    link: Address
    metrics_port: int
    link_mbps: float
    grace_s: float
    retry_ratio: float
    retry_floor: int
    retry_window_s: float


def parse_mesh_settings(text: str, filename: str) -> Result[MeshSettings, list[str]]:
    """Parse and validate settings.

    Parameters
    ----------
    text : str
        Content of the INI file.
    filename : str
        Name of the file, for error messages.

    Returns
    -------
    Result
        The settings, or one message for each error.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, filename)
    except configparser.Error as exc:
        return Err([f"{filename}: {exc}"])
    values = {}
    errors = []
    for field, (section, parse) in _FIELDS.items():
        raw = parser.get(section, field, fallback=None)
        if raw is None or not raw.strip():
            errors.append(f"{filename}: [{section}] {field}: missing")
            continue
        try:
            values[field] = parse(raw.strip())
        except ValueError as exc:
            errors.append(f"{filename}: [{section}] {field}={raw!r}: {exc}")
    if errors:
        return Err(errors)
    return Ok(MeshSettings(**values))


def _parse_address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not host:
        raise ValueError("expected host:port")
    return Address(host, _parse_count(port))


def parse_duration(text: str) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s`` into seconds.

    Raises
    ------
    ValueError
        If the text is not a number followed by one of these units.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError("expected a number with the unit ms or s")
    return float(match[1]) * _UNIT_S[match[2]]


def _parse_count(text: str) -> int:
    value = int(text)
    if value < 0:
        raise ValueError("must not be negative")
    return value


def _parse_number(text: str) -> float:
    value = float(text)
    if not 0 <= value < float("inf"):
        raise ValueError("must be a finite number of at least 0")
    return value


_FIELDS = {
    "instance": ("node", str),
    "failure_domain": ("node", str),
    "service": ("node", str),
    "callers": ("listen", _parse_address),
    "ready": ("listen", _parse_address),
    "link": ("listen", _parse_address),
    "metrics_port": ("listen", _parse_count),
    "link_mbps": ("node", _parse_number),
    "worker": ("worker", _parse_address),
    "store": ("store", _parse_address),
    "grace_s": ("bounds", parse_duration),
    "retry_ratio": ("retries", _parse_number),
    "retry_floor": ("retries", _parse_count),
    "retry_window_s": ("retries", parse_duration),
}
