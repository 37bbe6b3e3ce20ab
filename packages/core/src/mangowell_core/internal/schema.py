"""Table-driven schema of an INI text.

A schema is a table of sections, each a table of keys with a converter. The
engine reports every error instead of stopping at the first one, and never raises
for any text.
"""

import ipaddress
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from mangowell_core.internal.ini import Chunk, read_chunks, read_entries

# A text of 1 MB can hold half a million faulty lines; a node keeps only these.
MAX_ERRORS = 1000
# Longer values are cut in errors, so that the log and the events stay small.
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
        Empty where they do not apply. `value` is cut after 120 characters and
        hidden in sections that hold secrets.
    reason : str
    """

    file: str
    line: int
    section: str
    key: str
    value: str
    reason: str

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}:"
        if self.section:
            where += f" [{self.section}]"
        if self.key:
            where += f" {self.key}"
        if self.value:
            where += f" = {self.value!r}"
        return f"{where}: {self.reason}"


class ErrorList:
    """Collects the errors of one text.

    Parameters
    ----------
    file : str
        Name shown in each error.
    hidden : frozenset of str
        Kinds of sections, and names of keys, whose values are not shown.
    """

    __slots__ = ("_dropped", "_errors", "_file", "_hidden")

    def __init__(self, file: str, hidden: frozenset[str] = frozenset()):
        self._file = file
        self._hidden = hidden
        self._errors: list[SchemaError] = []
        self._dropped = 0

    def add(self, line: int, section: str, key: str, value: str, reason: str) -> None:
        """Record one error."""
        if len(self._errors) >= MAX_ERRORS:
            self._dropped += 1
            return
        if key in self._hidden or section.partition(" ")[0] in self._hidden:
            value = HIDDEN_VALUE if value else ""
        elif len(value) > MAX_VALUE_CHARS:
            value = value[:MAX_VALUE_CHARS] + "..."
        self._errors.append(SchemaError(self._file, line, section, key, value, reason))

    def sort(self) -> list[SchemaError]:
        """Return the errors in the order of their lines."""
        errors = sorted(self._errors, key=lambda error: error.line)
        if self._dropped:
            reason = f"{self._dropped} more errors are not listed"
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
    """Check a name."""
    if not NAME_PATTERN.fullmatch(value):
        raise ValueError(f"expected a name ({NAME_RULE})")
    return value


def choice(*allowed: str) -> Converter:
    """Return a converter for one of a few words."""

    def convert(value: str) -> str:
        if value not in allowed:
            raise ValueError(f"expected one of {', '.join(allowed)}")
        return value

    return convert


def pattern(expression: str, rule: str) -> Converter:
    """Return a converter for text that matches a regular expression in full."""
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
            converted = item(word)
            if converted in items:
                raise ValueError(f"{word} is listed twice")
            items.append(converted)
        return tuple(items)

    return convert


def host(value: str) -> str:
    """Check an IP address; names are not resolved anywhere in the system."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError("expected an IP address") from None
    if "%" in value:
        raise ValueError("expected an IP address without a zone")
    return value


port = integer(1, MAX_PORT)


def host_port(value: str) -> str:
    """Check ``host:port`` or ``[ipv6]:port``."""
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
        Takes the text of the value, returns the value or raises `ValueError`
        whose message is the reason.
    attribute : str
        Argument of the section's `build`; the key's name by default.
    required : bool
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
    build : callable
        Takes converted values by attribute, and `name` if `named`.
    keys : tuple of Key
    named : bool
        Whether the header has a name and the section may occur repeatedly.
    required : bool
        Whether at least one such section must be present.
    hidden : bool
        Whether errors must not show values.
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
        lookup = {
            key.name: (key.convert, key.attribute or key.name) for key in self.keys
        }
        object.__setattr__(self, "_lookup", lookup)
        required = tuple(key.name for key in self.keys if key.required)
        object.__setattr__(self, "_required_keys", required)

    def read(self, chunk: Chunk, errors: ErrorList) -> Any:
        """Build the value of one section; None if it has errors."""
        failed = False

        def report(*error):
            nonlocal failed
            failed = True
            errors.add(*error)

        entries = read_entries(chunk, report)
        values = {"name": chunk.name} if self.named else {}
        lookup = self._lookup
        for key, (value, line) in entries.items():
            found = lookup.get(key)
            if found is None:
                report(line, chunk.section, key, value, "unknown key")
                continue
            convert, attribute = found
            try:
                values[attribute] = convert(value)
            except ValueError as exc:
                report(line, chunk.section, key, value, str(exc))
        for key in self._required_keys:
            if key not in entries:
                report(chunk.line, chunk.section, key, "", "missing key")
        return None if failed else self.build(**values)


@dataclass(slots=True)
class Parsed:
    """Sections of a text.

    Parameters
    ----------
    values : dict
        Kind to name to value; None for a section with errors. The name of an
        unnamed section is empty.
    chunks : dict
        (kind, name) to chunk, for the position of errors found later.
    """

    values: dict[str, dict[str, Any]]
    chunks: dict[tuple[str, str], Chunk]

    def locate(self, kind: str, name: str, key: str) -> tuple[int, str, str, str]:
        """Return line, section, key and value of a key, as errors show them.

        Sections that were not read have no position; their line is 0.
        """
        chunk = self.chunks.get((kind, name))
        if chunk is None:
            return 0, f"{kind} {name}", key, ""
        entries = read_entries(chunk, lambda *error: None)
        value, line = entries.get(key, ("", chunk.line))
        return line, chunk.section, key, value


class Schema:
    """Table of the sections that a text may have.

    Parameters
    ----------
    sections : SectionSchema
    """

    __slots__ = ("hidden", "sections")

    def __init__(self, *sections: SectionSchema):
        self.sections = {section.kind: section for section in sections}
        # A secret may stand in the wrong section, so its key is hidden anywhere.
        hidden = [section for section in sections if section.hidden]
        self.hidden = frozenset(section.kind for section in hidden) | {
            key.name for section in hidden for key in section.keys
        }

    def read(
        self,
        parts: Iterable[str],
        errors: ErrorList,
        kept: dict[str, dict[str, Any]] | None = None,
    ) -> Parsed:
        """Read sections and report every error to `errors`.

        Parameters
        ----------
        parts : iterable of str
            From `split_sections`.
        errors : ErrorList
        kept : dict, optional
            Values of further valid sections, by kind and name. Updated.

        Returns
        -------
        Parsed
        """
        values = {kind: {} for kind in self.sections} if kept is None else kept
        chunks: dict[tuple[str, str], Chunk] = {}
        for chunk in read_chunks(parts):
            section = self.sections.get(chunk.kind)
            if section is not None:
                known = values[chunk.kind]
                reason = self._check_header(section, chunk, known, chunks)
                if not reason:
                    chunks[chunk.kind, chunk.name] = chunk
                    known[chunk.name] = section.read(chunk, errors)
                    continue
            elif chunk.kind:
                reason = f"unknown section, expected {', '.join(self.sections)}"
            else:
                self._check_stray(chunk, errors)
                continue
            errors.add(chunk.line, chunk.section, "", "", reason)
        for kind, section in self.sections.items():
            if section.required and not values[kind]:
                header = f"{kind} <name>" if section.named else kind
                errors.add(1, kind, "", "", f"missing section [{header}]")
        return Parsed(values, chunks)

    @staticmethod
    def _check_header(
        section: SectionSchema,
        chunk: Chunk,
        known: dict[str, Any],
        chunks: dict[tuple[str, str], Chunk],
    ) -> str:
        """Return why a header is not valid, or an empty string."""
        if chunk.name in known:
            first = chunks.get((chunk.kind, chunk.name))
            return f"duplicate section, first on line {first.line if first else '?'}"
        if section.named and not chunk.name:
            return f"section needs a name, expected [{chunk.kind} <name>]"
        if chunk.name and not section.named:
            return f"section takes no name, expected [{chunk.kind}]"
        if chunk.name and not NAME_PATTERN.fullmatch(chunk.name):
            return f"expected a name ({NAME_RULE})"
        return ""

    @staticmethod
    def _check_stray(chunk, errors) -> None:
        """Report a malformed header, or keys before the first section."""
        entries = read_entries(chunk, errors.add)
        if chunk.text.lstrip(" \t").startswith("["):
            return
        for key, (value, line) in entries.items():
            errors.add(line, "", key, value, "key before the first section")
