"""Document of an environment: parsing, comparison and promotion.

The schema is the one table that every node and the command use. Whether a text
is valid depends on nothing but the text.
"""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any

from result import Err, Ok, Result

from mangowell_core.internal.ini import read_chunks, split_sections, strip_comment
from mangowell_core.internal.schema import (
    NAME_PATTERN,
    ErrorList,
    Key,
    Parsed,
    Schema,
    SchemaError,
    SectionSchema,
    boolean,
    choice,
    decimal,
    integer,
    name,
    pattern,
    sequence,
)
from mangowell_core.model import Document, Route, Service, Tenant, TrafficClass

# Largest value of the configuration service.
MAX_DOCUMENT_BYTES = 1_000_000
# Fits the 15 digits of the schema's integers and a signed 64-bit integer.
MAX_VERSION = 999_999_999_999_999
# A deferrable request may wait overnight, so a timeout may last a day.
MAX_TIMEOUT_MS = 86_400_000
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


def _build_route(idempotent: bool = False, **values: Any) -> Route:
    """Build a route that is non-idempotent unless the document says otherwise.

    A forgotten key must not allow a payment to run twice.
    """
    return Route(idempotent=idempotent, **values)


DOCUMENT_SCHEMA = Schema(
    SectionSchema(
        "document",
        dict,
        (
            Key("environment", name, required=True),
            Key("version", integer(1, MAX_VERSION), required=True),
        ),
        required=True,
    ),
    SectionSchema(
        "class",
        TrafficClass,
        (
            Key("priority", integer(0, 1000), required=True),
            Key("deferrable", boolean),
        ),
        named=True,
        required=True,
    ),
    SectionSchema("tenant", Tenant, (Key("weight", decimal(0.001, 1000)),), named=True),
    SectionSchema(
        "service",
        Service,
        (
            Key("slots", integer(1, 10_000)),
            Key("connections", integer(1, 100_000)),
            Key("queue_limit", integer(0, 100_000)),
            Key("retry_ratio", decimal(0, 1)),
            Key("slow_start_s", decimal(0, 3600)),
        ),
        named=True,
        required=True,
    ),
    SectionSchema(
        "route",
        _build_route,
        (
            Key("service", name, required=True),
            Key(
                "path",
                pattern(
                    r"/[!\"$-:<->@-~]{0,1023}",
                    "a path that starts with '/', of visible ASCII characters "
                    "without '?', '#' and ';'",
                ),
                required=True,
            ),
            Key("methods", sequence(choice(*METHODS))),
            Key("class", name, attribute="traffic_class", required=True),
            Key("idempotent", boolean),
            Key("timeout_ms", integer(1, MAX_TIMEOUT_MS)),
            Key("retries", integer(0, 10)),
            Key("hedge_after_ms", integer(0, MAX_TIMEOUT_MS)),
        ),
        named=True,
        required=True,
    ),
)


def parse_document(
    text: str, filename: str = "document", previous: Document | None = None
) -> Result[Document, list[SchemaError]]:
    """Parse and validate a document.

    Parameters
    ----------
    text : str
    filename : str
        Name shown in errors.
    previous : Document, optional
        Result of an earlier call. Sections whose text is unchanged are taken
        from it. The result is the same as without it.

    Returns
    -------
    Ok of Document, or Err of list of SchemaError
        Errors in the order of their lines. No text makes this function raise.
    """
    errors = ErrorList(filename)
    try:
        body = text.encode()
    except UnicodeEncodeError as exc:
        line = text.count("\n", 0, exc.start) + 1
        errors.add(line, "", "", "", "text is not valid Unicode")
        return Err(errors.sort())
    if len(body) > MAX_DOCUMENT_BYTES:
        reason = f"document has {len(body)} bytes, at most {MAX_DOCUMENT_BYTES}"
        errors.add(1, "", "", "", reason)
        return Err(errors.sort())
    parts = split_sections(text)
    values = None
    if previous is not None:
        values = _read_changes(previous, parts)
    if values is None:
        parsed = DOCUMENT_SCHEMA.read(parts, errors)
        _check_routes(parsed, errors)
        if errors:
            return Err(errors.sort())
        values = parsed.values
    return Ok(
        Document(
            environment=values["document"][""]["environment"],
            version=values["document"][""]["version"],
            classes=values["class"],
            tenants=values["tenant"],
            services=values["service"],
            routes=values["route"],
            text=text,
            digest=hashlib.sha256(body).hexdigest(),
        )
    )


def _read_changes(
    previous: Document, parts: list[str]
) -> dict[str, dict[str, Any]] | None:
    """Read only the sections that differ from a valid document.

    Returns
    -------
    dict or None
        Values by kind and name. None if the text needs a full read: it has
        errors, whose lines only a full read gives, or equal sections.
    """
    old_parts = split_sections(previous.text)
    old, new = set(old_parts), set(parts)
    if len(new) != len(parts):
        return None
    head = {"environment": previous.environment, "version": previous.version}
    values: dict[str, dict[str, Any]] = {
        "document": {"": head},
        "class": dict(previous.classes),
        "tenant": dict(previous.tenants),
        "service": dict(previous.services),
        "route": dict(previous.routes),
    }
    for chunk in read_chunks(part for part in old_parts if part not in new):
        if chunk.kind:
            del values[chunk.kind][chunk.name]
    errors = ErrorList("")
    changed = [part for part in parts if part not in old]
    parsed = DOCUMENT_SCHEMA.read(changed, errors, values)
    if not errors:
        _check_routes(parsed, errors)
    return None if errors else values


def _check_routes(parsed: Parsed, errors: ErrorList) -> None:
    """Check the rules that span several keys or sections."""
    services, classes = parsed.values["service"], parsed.values["class"]
    taken: dict[tuple[str, str], str] = {}
    for route in parsed.values["route"].values():
        if route is None:
            continue

        def report(key: str, reason: str, route: Route = route) -> None:
            errors.add(*parsed.locate("route", route.name, key), reason)

        if route.service not in services:
            report("service", f"no section [service {route.service}]")
        if route.traffic_class not in classes:
            report("class", f"no section [class {route.traffic_class}]")
        if not route.idempotent and route.hedge_after_ms:
            report("hedge_after_ms", "a non-idempotent route has no hedging")
        if not route.idempotent and route.retries:
            report("retries", "a non-idempotent route has no retries")
        for method in route.methods or METHODS:
            other = taken.setdefault((route.path, method), route.name)
            if other != route.name:
                reason = f"[route {other}] has the same path and method {method}"
                report("path", reason)
                break


@dataclass(slots=True, frozen=True)
class Change:
    """Difference of one section.

    Parameters
    ----------
    kind, name : str
        Header of the section, such as ``route`` and ``pay``.
    action : str
        ``added``, ``removed`` or ``changed``.
    values : dict of str to (object, object)
        Old and new value by attribute, for changed sections.
    services : tuple of str
        Names of the services that the change concerns, sorted.
    """

    kind: str
    name: str
    action: str
    values: dict[str, tuple[Any, Any]]
    services: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class DocumentDiff:
    """Differences between two documents.

    Parameters
    ----------
    environments, versions : tuple
        Old and new.
    changes : tuple of Change
        Empty if both have the same effect; comments and order have none.
    """

    environments: tuple[str, str]
    versions: tuple[int, int]
    changes: tuple[Change, ...]

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all services concerned, sorted."""
        return tuple(sorted({s for change in self.changes for s in change.services}))


def diff_documents(old: Document, new: Document) -> DocumentDiff:
    """Compare two documents by effect.

    A route concerns its services, a class the services of its routes, and a
    tenant every service, because tenants share all of them.

    Parameters
    ----------
    old, new : Document

    Returns
    -------
    DocumentDiff
    """
    changes: list[Change] = []

    def compare(kind: str, before: dict, after: dict, concerns: Callable) -> None:
        for key in sorted(before.keys() | after.keys()):
            first, second = before.get(key), after.get(key)
            if first == second:
                continue
            values = {}
            if first is None:
                action = "added"
            elif second is None:
                action = "removed"
            else:
                action = "changed"
                values = {
                    f.name: (getattr(first, f.name), getattr(second, f.name))
                    for f in fields(first)
                    if getattr(first, f.name) != getattr(second, f.name)
                }
            services = concerns(key, first, second)
            changes.append(Change(kind, key, action, values, tuple(sorted(services))))

    everything = old.services.keys() | new.services.keys()
    all_routes = [*old.routes.values(), *new.routes.values()]

    def of_class(key: str, first: Any, second: Any) -> set[str]:
        return {r.service for r in all_routes if r.traffic_class == key}

    def of_route(key: str, first: Any, second: Any) -> set[str]:
        return {route.service for route in (first, second) if route is not None}

    compare("class", old.classes, new.classes, of_class)
    compare("tenant", old.tenants, new.tenants, lambda *_: everything)
    compare("service", old.services, new.services, lambda key, *_: {key})
    compare("route", old.routes, new.routes, of_route)
    return DocumentDiff(
        (old.environment, new.environment), (old.version, new.version), tuple(changes)
    )


def check_version(version: int) -> None:
    """Raise `ValueError` unless `version` is an integer from 1 to 10^15 - 1."""
    if type(version) is not int or not 1 <= version <= MAX_VERSION:
        raise ValueError(f"version must be 1 to {MAX_VERSION}, got {version!r}")


def check_environment(environment: str) -> None:
    """Raise `ValueError` unless `environment` is a valid name."""
    if not isinstance(environment, str) or not NAME_PATTERN.fullmatch(environment):
        raise ValueError(f"environment must be a name, got {environment!r}")


def promote_document(trial: Document, version: int, environment: str) -> str:
    """Make the text of a document for another environment.

    Only the values of `environment` and `version` differ from the text of
    `trial`; comments, order and line ends are kept.

    Parameters
    ----------
    trial : Document
    version : int
        Must be higher than the running version of that environment.
    environment : str

    Returns
    -------
    str

    Raises
    ------
    ValueError
        If `version` or `environment` is not valid.
    """
    check_version(version)
    check_environment(environment)
    replaced = {"environment": environment, "version": str(version)}

    def replace(line: str) -> str:
        key, equals, value = strip_comment(line).partition("=")
        if not equals or key.strip() not in replaced:
            return line
        head, _, tail = line.partition("=")
        return f"{head}={tail.replace(value.strip(), replaced[key.strip()], 1)}"

    return "\n".join(
        "\n".join(map(replace, chunk.text.split("\n")))
        if chunk.kind == "document"
        else chunk.text
        for chunk in read_chunks(split_sections(trial.text))
    )
