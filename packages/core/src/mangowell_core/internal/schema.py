"""Declarative schema of an INI text.

A schema is a table of sections, and a section is a table of keys with converters.
`Schema.read` reports every error instead of stopping at the first one, and raises
no exception for an invalid text.
"""

import ipaddress
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from mangowell_core.internal.ini import RawSection, parse_entries, parse_headers

# A text of 1 MB can have half a million invalid lines, so the list is bounded.
MAX_ERRORS = 1000
# Longer values are truncated in errors, to bound the size of log lines and events.
MAX_VALUE_CHARS = 120
HIDDEN_VALUE = "(hidden)"

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")
NAME_RULE = "letters, digits, '_', '.', '-', at most 63 characters"
_INTEGER = re.compile(r"-?[0-9]{1,15}")
_DECIMAL = re.compile(r"-?[0-9]{1,15}(?:\.[0-9]{1,15})?")
_BOOLEANS = {"yes": True, "no": False, "true": True, "false": False}
MAX_PORT = 65_535

Converter = Callable[[str], Any]


@dataclass(slots=True, frozen=True)
class SchemaError:
    """One error of a document, a settings file or an instance list.

    Parameters
    ----------
    file : str
    line : int
        Counted from 1. A missing section is reported at line 1 and a missing
        key at the line of its section.
    section, key, value : str
        Position and text of the invalid value, empty if not applicable. `value`
        is truncated to `MAX_VALUE_CHARS` and hidden in sections that hold
        secrets.
    reason : str
        What was expected, or what is wrong.
    """

    file: str
    line: int
    section: str
    key: str
    value: str
    reason: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}:"
        if self.section:
            location += f" [{self.section}]"
        if self.key:
            location += f" {self.key}"
        if self.value:
            location += f" = {self.value!r}"
        return f"{location}: {self.reason}"


class ErrorList:
    """Collects the errors of one text.

    Parameters
    ----------
    file : str
        Name shown in each error.
    hidden : frozenset of str
        Kinds of sections and names of keys whose values errors do not show.
    """

    __slots__ = ("_errors", "_file", "_hidden", "_unlisted_count")

    def __init__(self, file: str, hidden: frozenset[str] = frozenset()):
        self._file = file
        self._hidden = hidden
        self._errors: list[SchemaError] = []
        self._unlisted_count = 0

    def add(self, line: int, section: str, key: str, value: str, reason: str) -> None:
        """Add one error; beyond `MAX_ERRORS`, only count it."""
        if len(self._errors) >= MAX_ERRORS:
            self._unlisted_count += 1
            return
        if key in self._hidden or section.partition(" ")[0] in self._hidden:
            value = HIDDEN_VALUE if value else ""
        elif len(value) > MAX_VALUE_CHARS:
            value = value[:MAX_VALUE_CHARS] + "..."
        self._errors.append(SchemaError(self._file, line, section, key, value, reason))

    def to_sorted_list(self) -> list[SchemaError]:
        """Return the errors in the order of their lines.

        A last entry gives the number of errors that are not listed, if there are
        any.
        """
        errors = sorted(self._errors, key=lambda error: error.line)
        if self._unlisted_count:
            reason = f"{self._unlisted_count} more errors are not listed"
            last = errors[-1].line
            errors.append(SchemaError(self._file, last, "", "", "", reason))
        return errors

    def __bool__(self) -> bool:
        return bool(self._errors)


def integer(minimum: int, maximum: int) -> Converter:
    """Return a converter for integers within a range, ends included."""

    def convert(value: str) -> int:
        if not _INTEGER.fullmatch(value):
            raise ValueError("expected an integer")
        number = int(value)
        if not minimum <= number <= maximum:
            raise ValueError(f"out of range, expected {minimum} to {maximum}")
        return number

    return convert


def decimal(minimum: float, maximum: float) -> Converter:
    """Return a converter for decimal numbers within a range, ends included."""

    def convert(value: str) -> float:
        if not _DECIMAL.fullmatch(value):
            raise ValueError("expected a decimal number")
        number = float(value)
        if not minimum <= number <= maximum:
            raise ValueError(f"out of range, expected {minimum} to {maximum}")
        return number

    return convert


def boolean(value: str) -> bool:
    """Convert ``yes``, ``no``, ``true`` or ``false``."""
    try:
        return _BOOLEANS[value.lower()]
    except KeyError:
        raise ValueError("expected yes or no") from None


def name(value: str) -> str:
    """Return a name of an object, such as a service, if it is valid."""
    if not NAME_PATTERN.fullmatch(value):
        raise ValueError(f"expected a name ({NAME_RULE})")
    return value


def choice(*allowed: str) -> Converter:
    """Return a converter that accepts one of the words in `allowed`."""

    def convert(value: str) -> str:
        if value not in allowed:
            raise ValueError(f"expected one of {', '.join(allowed)}")
        return value

    return convert


def pattern(expression: str, rule: str) -> Converter:
    """Return a converter for text that matches a regular expression entirely."""
    compiled = re.compile(expression)

    def convert(value: str) -> str:
        if not compiled.fullmatch(value):
            raise ValueError(f"expected {rule}")
        return value

    return convert


def sequence(item: Converter) -> Converter:
    """Return a converter for a list separated by commas or white space."""

    def convert(value: str) -> tuple[Any, ...]:
        items = []
        for word in value.replace(",", " ").split():
            parsed_item = item(word)
            if parsed_item in items:
                raise ValueError(f"{word} is listed twice")
            items.append(parsed_item)
        return tuple(items)

    return convert


def host(value: str) -> str:
    """Return an IP address if it is valid; host names are never resolved."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError("expected an IP address") from None
    if "%" in value:
        raise ValueError("expected an IP address without a zone")
    return value


port = integer(1, MAX_PORT)


def host_port(value: str) -> str:
    """Return ``host:port`` or ``[ipv6]:port`` if it is valid."""
    address, colon, number = value.rpartition(":")
    if address.startswith("[") and address.endswith("]"):
        address = address[1:-1]
    elif ":" in address:
        raise ValueError("expected host:port, with an IPv6 address in brackets")
    if not colon:
        raise ValueError("expected host:port")
    host(address)
    try:
        port(number)
    except ValueError as exc:
        raise ValueError(f"port {number!r}: {exc}") from None
    return value


@dataclass(slots=True, frozen=True)
class Key:
    """One key of a section.

    Parameters
    ----------
    name : str
    convert : callable
        Takes the text of the value and returns the value, or raises a
        `ValueError` whose message becomes the reason of the error.
    attribute : str
        Argument of the section's `build`; the name of the key by default.
    required : bool
        Whether the key must be present.
    """

    name: str
    convert: Converter
    attribute: str = ""
    required: bool = False


@dataclass(slots=True, frozen=True)
class SectionSchema:
    """One kind of section.

    Parameters
    ----------
    kind : str
        First word of the header.
    build : callable
        Takes the converted values by attribute, and `name` if `named`.
    keys : tuple of Key
        Keys that the section may have.
    named : bool
        Whether the header has a name and several sections may be present.
    required : bool
        Whether at least one such section must be present.
    hidden : bool
        Whether errors omit the values, because they are secret.
    """

    kind: str
    build: Callable[..., Any]
    keys: tuple[Key, ...]
    named: bool = False
    required: bool = False
    hidden: bool = False
    _lookup: dict[str, tuple[Converter, str]] = field(init=False)
    _required_keys: tuple[str, ...] = field(init=False)

    def __post_init__(self):
        converters = {
            key.name: (key.convert, key.attribute or key.name) for key in self.keys
        }
        object.__setattr__(self, "_lookup", converters)
        required = tuple(key.name for key in self.keys if key.required)
        object.__setattr__(self, "_required_keys", required)

    def read(self, raw_section: RawSection, errors: ErrorList) -> Any:
        """Return the value of one section, or None if it has errors."""
        failed = False

        def report(*error):
            nonlocal failed
            failed = True
            errors.add(*error)

        entries = parse_entries(raw_section, report)
        values = {"name": raw_section.name} if self.named else {}
        converters = self._lookup
        for key, (value, line) in entries.items():
            entry_schema = converters.get(key)
            if entry_schema is None:
                report(line, raw_section.section, key, value, "unknown key")
                continue
            convert, attribute = entry_schema
            try:
                values[attribute] = convert(value)
            except ValueError as exc:
                report(line, raw_section.section, key, value, str(exc))
        for key in self._required_keys:
            if key not in entries:
                report(raw_section.line, raw_section.section, key, "", "missing key")
        return None if failed else self.build(**values)


@dataclass(slots=True)
class ParsedSections:
    """Values of the parsed sections of a text.

    Parameters
    ----------
    values : dict
        Value by kind and name; None for a section with errors. The name of an
        unnamed section is empty.
    raw_sections : dict
        Unparsed section by (kind, name), to locate errors that are found later.
    """

    values: dict[str, dict[str, Any]]
    raw_sections: dict[tuple[str, str], RawSection]

    def locate(self, kind: str, name: str, key: str) -> tuple[int, str, str, str]:
        """Return line, section, key and value of a key, as errors show them.

        The line is 0 for a section that this call of `Schema.read` did not read.
        """
        raw_section = self.raw_sections.get((kind, name))
        if raw_section is None:
            return 0, f"{kind} {name}", key, ""
        entries = parse_entries(raw_section, lambda *error: None)
        value, line = entries.get(key, ("", raw_section.line))
        return line, raw_section.section, key, value


class Schema:
    """Table of the sections that a text may have.

    Parameters
    ----------
    *sections : SectionSchema
        Kinds of sections, each given once.
    """

    __slots__ = ("hidden", "sections")

    def __init__(self, *sections: SectionSchema):
        self.sections = {section.kind: section for section in sections}
        # An operator may put a secret into the wrong section, so the values of
        # these keys are hidden in every section.
        hidden = [section for section in sections if section.hidden]
        self.hidden = frozenset(section.kind for section in hidden) | {
            key.name for section in hidden for key in section.keys
        }

    def read(
        self,
        section_texts: Iterable[str],
        errors: ErrorList,
        unchanged: dict[str, dict[str, Any]] | None = None,
    ) -> ParsedSections:
        """Parse sections and add every error to `errors`.

        Parameters
        ----------
        section_texts : iterable of str
            Results of `split_sections`.
        errors : ErrorList
        unchanged : dict, optional
            Values of valid sections that are not in `section_texts`, by kind and
            name. The new values are added to it.

        Returns
        -------
        ParsedSections
        """
        values = (
            {kind: {} for kind in self.sections} if unchanged is None else unchanged
        )
        raw_sections: dict[tuple[str, str], RawSection] = {}
        for raw_section in parse_headers(section_texts):
            section = self.sections.get(raw_section.kind)
            if section is not None:
                sections_by_name = values[raw_section.kind]
                reason = self._check_header(
                    section, raw_section, sections_by_name, raw_sections
                )
                if not reason:
                    raw_sections[raw_section.kind, raw_section.name] = raw_section
                    sections_by_name[raw_section.name] = section.read(
                        raw_section, errors
                    )
                    continue
            elif raw_section.kind:
                reason = f"unknown section, expected one of {', '.join(self.sections)}"
            else:
                self._report_headerless_text(raw_section, errors)
                continue
            errors.add(raw_section.line, raw_section.section, "", "", reason)
        for kind, section in self.sections.items():
            if section.required and not values[kind]:
                header = f"{kind} <name>" if section.named else kind
                errors.add(1, kind, "", "", f"missing section [{header}]")
        return ParsedSections(values, raw_sections)

    @staticmethod
    def _check_header(
        section: SectionSchema,
        raw_section: RawSection,
        sections_by_name: dict[str, Any],
        raw_sections: dict[tuple[str, str], RawSection],
    ) -> str:
        """Return the reason why a header is invalid, or an empty string."""
        if raw_section.name in sections_by_name:
            first = raw_sections.get((raw_section.kind, raw_section.name))
            return f"duplicate section, first on line {first.line if first else '?'}"
        if section.named and not raw_section.name:
            return f"section needs a name, expected [{raw_section.kind} <name>]"
        if raw_section.name and not section.named:
            return f"section takes no name, expected [{raw_section.kind}]"
        if raw_section.name and not NAME_PATTERN.fullmatch(raw_section.name):
            return f"expected a name ({NAME_RULE})"
        return ""

    @staticmethod
    def _report_headerless_text(raw_section, errors) -> None:
        """Report a malformed header or keys before the first section."""
        entries = parse_entries(raw_section, errors.add)
        if raw_section.text.lstrip(" \t").startswith("["):
            return
        for key, (value, line) in entries.items():
            errors.add(line, "", key, value, "key before the first section")
