"""Settings of a node on the platform, an INI file.

The platform writes the file from a template in ``deploy/`` at each start and
whenever a value changes.
"""

import configparser
import re

import msgspec
from result import Err, Ok, Result

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_UNIT_S = {"ms": 0.001, "s": 1.0}


class Address(msgspec.Struct, frozen=True):
    """Host and port."""

    host: str
    port: int


class MeshSettings(msgspec.Struct, frozen=True):
    """Checked settings of one process.

    Parameters
    ----------
    instance, failure_domain, service : str
    callers, ready, worker, store, link : Address
        Listening addresses, and the addresses of the worker and the store.
    metrics_port : int
    link_mbps : float
        Speed of the machine's link.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    retry_ratio, retry_floor, retry_window_s : float, int, float
        Bound of the retries of all nodes.
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
    """Parse and check settings.

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
    for field, (section, read) in _FIELDS.items():
        raw = parser.get(section, field, fallback=None)
        if raw is None or not raw.strip():
            errors.append(f"{filename}: [{section}] {field}: missing")
            continue
        try:
            values[field] = read(raw.strip())
        except ValueError as exc:
            errors.append(f"{filename}: [{section}] {field}={raw!r}: {exc}")
    if errors:
        return Err(errors)
    return Ok(MeshSettings(**values))


def _read_address(text: str) -> Address:
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError("expected host:port")
    return Address(host, _read_count(port))


def parse_duration(text: str) -> float:
    """Return the seconds of a text such as ``1500ms`` or ``2.5s``.

    Raises
    ------
    ValueError
        If the text is no number with one of these units.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError("expected a number with the unit ms or s")
    return float(match[1]) * _UNIT_S[match[2]]


def _read_count(text: str) -> int:
    value = int(text)
    if value < 0:
        raise ValueError("must not be negative")
    return value


def _read_number(text: str) -> float:
    value = float(text)
    if not 0 <= value < float("inf"):
        raise ValueError("must be a finite number of at least 0")
    return value


_FIELDS = {
    "instance": ("node", str),
    "failure_domain": ("node", str),
    "service": ("node", str),
    "callers": ("listen", _read_address),
    "ready": ("listen", _read_address),
    "link": ("listen", _read_address),
    "metrics_port": ("listen", _read_count),
    "link_mbps": ("node", _read_number),
    "worker": ("worker", _read_address),
    "store": ("store", _read_address),
    "grace_s": ("bounds", parse_duration),
    "retry_ratio": ("retries", _read_number),
    "retry_floor": ("retries", _read_count),
    "retry_window_s": ("retries", parse_duration),
}
