"""Document of an environment: parsing, comparison and promotion.

Every node and the command line validate documents with the same schema. Whether a
text is valid depends on the text alone.
"""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any

from result import Err, Ok, Result

from mangowell_core.internal.ini import parse_headers, split_sections, strip_comment
from mangowell_core.internal.schema import (
    NAME_PATTERN,
    ErrorList,
    Key,
    ParsedSections,
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

# The configuration service stores values up to this size.
MAX_DOCUMENT_BYTES = 1_000_000
# Fits the 15 digits of the schema's integers and a signed 64-bit integer.
MAX_VERSION = 999_999_999_999_999
# A deferrable request may wait overnight, so a timeout may last a day.
MAX_TIMEOUT_MS = 86_400_000
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


def _build_route(idempotent: bool = False, **values: Any) -> Route:
    """Build a route, which is non-idempotent unless the document sets the key.

    Otherwise a route without the key could run a payment twice.
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
        from it, which saves time; the result is the same as without it.

    Returns
    -------
    Ok of Document, or Err of list of SchemaError
        Errors in the order of their lines. An invalid text never raises an
        exception.
    """
    errors = ErrorList(filename)
    try:
        body = text.encode()
    except UnicodeEncodeError as exc:
        line = text.count("\n", 0, exc.start) + 1
        errors.add(line, "", "", "", "text is not valid Unicode")
        return Err(errors.to_sorted_list())
    if len(body) > MAX_DOCUMENT_BYTES:
        reason = (
            f"document has {len(body)} bytes, expected at most {MAX_DOCUMENT_BYTES}"
        )
        errors.add(1, "", "", "", reason)
        return Err(errors.to_sorted_list())
    section_texts = split_sections(text)
    values = None
    if previous is not None:
        values = _parse_changed_sections(previous, section_texts)
    if values is None:
        parsed = DOCUMENT_SCHEMA.read(section_texts, errors)
        _check_routes(parsed, errors)
        if errors:
            return Err(errors.to_sorted_list())
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


def _parse_changed_sections(
    previous: Document, section_texts: list[str]
) -> dict[str, dict[str, Any]] | None:
    """Parse only the sections that differ from those of a valid document.

    Returns
    -------
    dict or None
        Values by kind and name. None if the whole text has to be parsed, because
        it has errors, whose line numbers only a full parse gives, or two sections
        with the same text.
    """
    old_section_texts = split_sections(previous.text)
    old, new = set(old_section_texts), set(section_texts)
    if len(new) != len(section_texts):
        return None
    document_values = {"environment": previous.environment, "version": previous.version}
    values: dict[str, dict[str, Any]] = {
        "document": {"": document_values},
        "class": dict(previous.classes),
        "tenant": dict(previous.tenants),
        "service": dict(previous.services),
        "route": dict(previous.routes),
    }
    for raw_section in parse_headers(
        section_text for section_text in old_section_texts if section_text not in new
    ):
        if raw_section.kind:
            del values[raw_section.kind][raw_section.name]
    errors = ErrorList("")
    changed = [
        section_text for section_text in section_texts if section_text not in old
    ]
    parsed = DOCUMENT_SCHEMA.read(changed, errors, values)
    if not errors:
        _check_routes(parsed, errors)
    return None if errors else values


def _check_routes(parsed: ParsedSections, errors: ErrorList) -> None:
    """Check the rules on routes that involve several keys or sections."""
    services, classes = parsed.values["service"], parsed.values["class"]
    route_by_path_and_method: dict[tuple[str, str], str] = {}
    for route in parsed.values["route"].values():
        if route is None:
            continue

        def report(key: str, reason: str, route: Route = route) -> None:
            errors.add(*parsed.locate("route", route.name, key), reason)

        if route.service not in services:
            report("service", f"no section [service {route.service}] in the document")
        if route.traffic_class not in classes:
            report("class", f"no section [class {route.traffic_class}] in the document")
        if not route.idempotent and route.hedge_after_ms:
            report("hedge_after_ms", "a non-idempotent route has no hedging")
        if not route.idempotent and route.retries:
            report("retries", "a non-idempotent route has no retries")
        for method in route.methods or METHODS:
            other = route_by_path_and_method.setdefault(
                (route.path, method), route.name
            )
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
        Words of the section header, such as ``route`` and ``pay``.
    action : str
        ``added``, ``removed`` or ``changed``.
    values : dict of str to (object, object)
        Old and new value by attribute; empty unless `action` is ``changed``.
    services : tuple of str
        Names of the services that the change affects, sorted.
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
        Empty if both documents have the same effect. Comments and the order of
        sections have no effect.
    """

    environments: tuple[str, str]
    versions: tuple[int, int]
    changes: tuple[Change, ...]

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all affected services, sorted."""
        return tuple(sorted({s for change in self.changes for s in change.services}))


def diff_documents(old: Document, new: Document) -> DocumentDiff:
    """Compare two documents by effect.

    A change of a route affects its old and new service, a change of a class the
    services of the routes in it, and a change of a tenant every service, because
    tenants share all services.

    Parameters
    ----------
    old, new : Document

    Returns
    -------
    DocumentDiff
    """
    changes: list[Change] = []

    def compare(
        kind: str,
        old_sections: dict,
        new_sections: dict,
        get_affected_services: Callable,
    ) -> None:
        for key in sorted(old_sections.keys() | new_sections.keys()):
            old_value, new_value = old_sections.get(key), new_sections.get(key)
            if old_value == new_value:
                continue
            values = {}
            if old_value is None:
                action = "added"
            elif new_value is None:
                action = "removed"
            else:
                action = "changed"
                values = {
                    f.name: (getattr(old_value, f.name), getattr(new_value, f.name))
                    for f in fields(old_value)
                    if getattr(old_value, f.name) != getattr(new_value, f.name)
                }
            services = get_affected_services(key, old_value, new_value)
            changes.append(Change(kind, key, action, values, tuple(sorted(services))))

    all_services = old.services.keys() | new.services.keys()
    all_routes = [*old.routes.values(), *new.routes.values()]

    def get_class_services(key: str, old_value: Any, new_value: Any) -> set[str]:
        return {r.service for r in all_routes if r.traffic_class == key}

    def get_route_services(key: str, old_value: Any, new_value: Any) -> set[str]:
        return {route.service for route in (old_value, new_value) if route is not None}

    compare("class", old.classes, new.classes, get_class_services)
    compare("tenant", old.tenants, new.tenants, lambda *_: all_services)
    compare("service", old.services, new.services, lambda key, *_: {key})
    compare("route", old.routes, new.routes, get_route_services)
    return DocumentDiff(
        (old.environment, new.environment), (old.version, new.version), tuple(changes)
    )


def check_version(version: int) -> None:
    """Raise `ValueError` unless `version` is an integer from 1 to `MAX_VERSION`."""
    if type(version) is not int or not 1 <= version <= MAX_VERSION:
        raise ValueError(
            f"version must be an integer from 1 to {MAX_VERSION}, got {version!r}"
        )


def check_environment(environment: str) -> None:
    """Raise `ValueError` unless `environment` is a valid name."""
    if not isinstance(environment, str) or not NAME_PATTERN.fullmatch(environment):
        raise ValueError(f"environment must be a valid name, got {environment!r}")


def promote_document(original: Document, version: int, environment: str) -> str:
    """Return the text of a document for another environment.

    Only the values of `environment` and `version` differ from the text of
    `original`; comments, order and line ends are kept.

    Parameters
    ----------
    original : Document
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
    replacements = {"environment": environment, "version": str(version)}

    def replace_value(line: str) -> str:
        key, separator, value = strip_comment(line).partition("=")
        if not separator or key.strip() not in replacements:
            return line
        before, _, after = line.partition("=")
        return f"{before}={after.replace(value.strip(), replacements[key.strip()], 1)}"

    return "\n".join(
        "\n".join(map(replace_value, raw_section.text.split("\n")))
        if raw_section.kind == "document"
        else raw_section.text
        for raw_section in parse_headers(split_sections(original.text))
    )
