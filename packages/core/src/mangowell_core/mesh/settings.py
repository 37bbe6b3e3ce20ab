"""Settings of a node on the platform, read from an INI file.

The platform generates the file from a template in ``deploy/`` at each start and
whenever a value changes. Names and addresses are required. Any other value that
cannot be used is replaced by a default that keeps the platform's bounds, because a
fleet that does not start serves nothing.
"""

import configparser
import re

import msgspec
from result import Err, Ok, Result

from mangowell_core import formats
from mangowell_core.mesh.model import MAX_DURATION_S, MAX_RATE, Name, Port

# Replaces an unusable grace period, in seconds. A node that stops too early finishes
# fewer requests; one that stops too late is killed with all that are open.
DEFAULT_GRACE_S = 5.0
# Replaces an unusable window of the retry budget, in seconds.
DEFAULT_RETRY_WINDOW_S = 10.0
# Stands for an unknown report interval of the workers, in seconds. Their leases may
# then be short, so entries that are missing after any failed call are held.
DEFAULT_HEARTBEAT_S = 0.0
# Requests per second that a cold worker may get, as a multiple of what it states, and
# the number in addition, if the platform names no bounds.
DEFAULT_WARMUP_OVERAGE = 1.0
DEFAULT_WARMUP_SLACK = 0.0

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_PORT = re.compile(r"[1-9][0-9]{0,4}")
_UNIT_S = {"ms": 0.001, "s": 1.0}


class _SettingError(Exception):
    """A value of the settings file that cannot be used."""


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
    retry_floor : float
        Retries allowed to all nodes in each window in addition to that share.
    retry_window_s : float
        Length of the window, in seconds.
    heartbeat_s : float
        Interval at which workers renew their entries in the store, in seconds; 0 if
        it is unknown.
    warmup_overage : float
        Requests per second that a cold worker may get, as a multiple of the rate
        that its service states.
    warmup_slack : float
        Requests in one second that it may get in addition.
    evacuate_s : float
        Time after an evacuation order within which the workers of the failure domain
        get no further request, in seconds; 0 if there are no such orders.
    memory_mb : float
        Memory of the process, in megabytes; 0 if it is unknown.
    max_fds : float
        Number of descriptors of the process; 0 if it is unknown.
    warnings : tuple of str
        One message for each value that was replaced by its default.
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
    retry_floor: float
    retry_window_s: float
    heartbeat_s: float = DEFAULT_HEARTBEAT_S
    warmup_overage: float = DEFAULT_WARMUP_OVERAGE
    warmup_slack: float = DEFAULT_WARMUP_SLACK
    evacuate_s: float = 0.0
    memory_mb: float = 0.0
    max_fds: float = 0.0
    warnings: tuple[str, ...] = ()


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
        formats.decode(
            lambda text: parser.read_string(text, filename), text, _SettingError
        )
    except _SettingError as exc:
        return Err([f"{filename}: {exc}"])
    values = {}
    errors = []
    warnings = []
    for field, (section, parse, default) in _FIELDS.items():
        raw = parser.get(section, field, fallback="").strip()
        if not raw and field in _OPTIONAL_FIELDS:
            values[field] = default
            continue
        try:
            values[field] = formats.decode(parse, raw, _SettingError)
        except _SettingError as exc:
            shown = f"{field}={raw!r}: {exc}" if raw else f"{field}: missing"
            message = f"{filename}: [{section}] {shown}"
            if default is None:
                errors.append(message)
            else:
                values[field] = default
                warnings.append(f"{message}; {default} is used")
    if errors:
        return Err(errors)
    return Ok(MeshSettings(**values, warnings=tuple(warnings)))


def _parse_name(text: str) -> str:
    if not text:
        raise ValueError("must not be empty")
    return msgspec.convert(text, Name)


def _parse_address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not host:
        raise ValueError("expected host:port")
    # A value of several lines would be written to a header field.
    return Address(_parse_name(host), _parse_port(port))


def parse_duration(text: str) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s`` into seconds.

    Raises
    ------
    ValueError
        If the text is not a number followed by one of these units, or the time is
        longer than `MAX_DURATION_S`.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError("expected a number with the unit ms or s")
    duration_s = float(match[1]) * _UNIT_S[match[2]]
    if duration_s > MAX_DURATION_S:
        raise ValueError(f"must not be longer than {MAX_DURATION_S:.0f} s")
    return duration_s


def _parse_window(text: str) -> float:
    window_s = parse_duration(text)
    if not window_s:
        raise ValueError("must be longer than 0")
    return window_s


def _parse_port(text: str) -> int:
    if _PORT.fullmatch(text) is None:
        raise ValueError("expected a port")
    return msgspec.convert(int(text), Port)


def _parse_number(text: str) -> float:
    value = float(text)
    if not 0 <= value <= MAX_RATE:
        raise ValueError(f"must be a number from 0 to {MAX_RATE:.0f}")
    return value


# Section, parser and default of each field; a field without a default is required.
# Without a usable bound of the retries, none are made.
_FIELDS = {
    "instance": ("node", _parse_name, None),
    "failure_domain": ("node", _parse_name, None),
    "service": ("node", _parse_name, None),
    "callers": ("listen", _parse_address, None),
    "ready": ("listen", _parse_address, None),
    "link": ("listen", _parse_address, None),
    "metrics_port": ("listen", _parse_port, None),
    "link_mbps": ("node", _parse_number, 0.0),
    "worker": ("worker", _parse_address, None),
    "store": ("store", _parse_address, None),
    "heartbeat_s": ("store", parse_duration, DEFAULT_HEARTBEAT_S),
    "grace_s": ("bounds", parse_duration, DEFAULT_GRACE_S),
    "retry_ratio": ("retries", _parse_number, 0.0),
    "retry_floor": ("retries", _parse_number, 0.0),
    "retry_window_s": ("retries", _parse_window, DEFAULT_RETRY_WINDOW_S),
    "warmup_overage": ("warmup", _parse_number, DEFAULT_WARMUP_OVERAGE),
    "warmup_slack": ("warmup", _parse_number, DEFAULT_WARMUP_SLACK),
    "evacuate_s": ("evacuation", parse_duration, 0.0),
    "memory_mb": ("limits", _parse_number, 0.0),
    "max_fds": ("limits", _parse_number, 0.0),
}
# Fields that not every platform names; their defaults need no warning.
_OPTIONAL_FIELDS = frozenset(
    {"warmup_overage", "warmup_slack", "evacuate_s", "memory_mb", "max_fds"}
)
