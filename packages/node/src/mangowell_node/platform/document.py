"""Decoding of the values that operators and workers write to the store."""

import re
from collections.abc import Callable
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from mangowell_core import formats
from mangowell_core.mesh.model import (
    MAX_INTEGER,
    CallerLimits,
    Count,
    Endpoint,
    HealthPath,
    Host,
    MeshDocument,
    MeshRoute,
    MeshService,
    Name,
    Port,
    Prefix,
    Priority,
    Rate,
    Slots,
    Weight,
    WorkerId,
)
from mangowell_core.mesh.settings import parse_duration

DOCUMENT_KEY = "op/config"
ENDPOINT_PREFIX = "servers/"
# Followed by the name of a failure domain, whose workers get nothing new.
EVACUATION_PREFIX = "op/evacuate/"
# Whether a worker is draining, by its state.
_DRAINING_BY_STATE = {"ready": False, "draining": True}
# Whether requests are idempotent, by the type of their route. A route of another type
# counts as not idempotent: a repeat may do harm, and without the route the whole
# document could not be applied.
_IDEMPOTENT_BY_ROUTE_TYPE = {"safe": True, "unsafe": False, "upload": False}
_PORT = re.compile(r"[1-9][0-9]{0,4}")
Positive = Annotated[int, Meta(ge=1, le=MAX_INTEGER)]


class PlatformFormatError(Exception):
    """A value of the store that cannot be decoded; the message names the value."""


class _Part(msgspec.Struct):
    service: Name
    weight: Weight


class _Route(msgspec.Struct, rename="kebab"):
    name: Name
    hostname: Name
    prefix: Prefix
    route_type: Name  # `safe`, `unsafe` or `upload`: whether a request may be repeated
    timeout: str
    target_latency: str  # an answer within this time has its full value
    priority: Priority
    max_attempts: Positive  # including the first attempt
    service: Name | None = None
    traffic_split: list[_Part] | None = None


class _Service(msgspec.Struct, rename="kebab"):
    name: Name
    max_connections: Count  # at one worker
    health_path: str | None = None
    warmup: str | None = None  # how long a worker is cold after its start
    warmup_per_s: Rate | None = None  # requests that a cold worker takes


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout: str
    idle_timeout: str


class _Table(msgspec.Struct):
    columns: list[str]  # field names, among them `name`
    rows: list[list[Any]]

    def convert(self, row_type: type) -> list[Any]:
        """Return the rows as values of `row_type`, which have different names."""
        if len(set(self.columns)) < len(self.columns):
            raise ValueError("duplicate columns")
        rows = [
            msgspec.convert(dict(zip(self.columns, row, strict=True)), row_type)
            for row in self.rows
        ]
        if len({row.name for row in rows}) < len(rows):
            raise ValueError("duplicate names")
        return rows


class _Document(msgspec.Struct):
    version: Count
    routes: _Table
    services: _Table
    limits: _Limits


class _Info(msgspec.Struct):
    service: Name
    zone: Name
    slots: Slots


class _Status(msgspec.Struct, rename="kebab"):
    state: str
    warmup_left: str = "0ms"
    seq: Count = 0  # counts the worker's writes since its start


class _Entry(msgspec.Struct, rename="kebab"):
    address: str
    node_info: _Info  # of the worker; the platform lists no nodes
    status: _Status
    born: Count = 0  # Unix ms


_document_decoder = msgspec.json.Decoder(_Document)
_entry_decoder = msgspec.json.Decoder(_Entry)


def ignore_warning(message: str) -> None:
    """Do nothing; the default of `decode_document`."""


def decode_document(
    value: bytes, warn: Callable[[str], None] = ignore_warning
) -> MeshDocument:
    """Decode the operators' document.

    Parameters
    ----------
    value : bytes
        JSON text.
    warn : callable, optional
        Called with a message for each route of an unknown type.

    Raises
    ------
    PlatformFormatError
        If any part of the document is invalid.
    """
    return formats.decode(
        lambda value: _read_document(value, warn),
        value,
        PlatformFormatError,
        "document",
    )


def _read_document(value: bytes, warn: Callable[[str], None]) -> MeshDocument:
    raw = _document_decoder.decode(value)
    raw_routes = raw.routes.convert(_Route)
    routes = tuple(_make_route(route) for route in raw_routes)
    for route in raw_routes:
        if route.route_type not in _IDEMPOTENT_BY_ROUTE_TYPE:
            route_type = formats.quote(route.route_type)
            warn(f"route {route.name} has the unknown type {route_type}")
    services = tuple(
        MeshService(
            service.name,
            service.max_connections,
            msgspec.convert(service.health_path or "", HealthPath),
            0.0 if service.warmup is None else parse_duration(service.warmup),
            service.warmup_per_s or 0.0,
        )
        for service in raw.services.convert(_Service)
    )
    limits = CallerLimits(
        raw.limits.max_header_bytes,
        raw.limits.max_body_bytes,
        parse_duration(raw.limits.header_timeout),
        parse_duration(raw.limits.idle_timeout),
    )
    return MeshDocument(raw.version, routes, services, limits)


def _make_route(raw: _Route) -> MeshRoute:
    if raw.traffic_split:
        parts = tuple((part.service, part.weight) for part in raw.traffic_split)
        if not any(weight for _, weight in parts):
            raise ValueError(f"route {raw.name} gives no service a weight")
    elif raw.service:
        parts = ((raw.service, 1.0),)
    else:
        raise ValueError(f"route {raw.name} names no service")
    return MeshRoute(
        raw.name,
        # The lower case of a letter may be longer.
        msgspec.convert(raw.hostname.lower(), Name),
        raw.prefix,
        _IDEMPOTENT_BY_ROUTE_TYPE.get(raw.route_type, False),
        parse_duration(raw.timeout),
        parse_duration(raw.target_latency),
        raw.priority,
        raw.max_attempts,
        parts,
    )


def decode_endpoint(key: str, value: bytes, revision: int) -> Endpoint:
    """Decode the entry of a worker.

    Parameters
    ----------
    key : str
        Key in the store, which ends with the worker's id.
    value : bytes
        JSON text.
    revision : int
        Revision of the last change of the entry.

    Raises
    ------
    PlatformFormatError
        If the entry does not describe a worker that can be used.
    """
    return formats.decode(
        lambda value: _read_endpoint(key, value, revision),
        value,
        PlatformFormatError,
        formats.quote(key),
    )


def _read_endpoint(key: str, value: bytes, revision: int) -> Endpoint:
    raw = _entry_decoder.decode(value)
    host, _, port = raw.address.rpartition(":")
    if _PORT.fullmatch(port) is None:
        raise ValueError("expected an address with a port")
    return Endpoint(
        msgspec.convert(key.removeprefix(ENDPOINT_PREFIX), WorkerId),
        raw.node_info.service,
        msgspec.convert(host, Host),
        msgspec.convert(int(port), Port),
        raw.node_info.zone,
        raw.node_info.slots,
        _DRAINING_BY_STATE[raw.status.state],
        parse_duration(raw.status.warmup_left),
        raw.born,
        revision,
        raw.status.seq,
    )
