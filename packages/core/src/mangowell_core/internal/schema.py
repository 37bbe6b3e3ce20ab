"""Table-driven schema of an INI text.

A schema is a table of sections, each a table of keys with a converter. The
engine reports every error instead of stopping at the first one, and never raises
for any text.
"""

import ipaddress
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from mangowell_core.internal.ini import Chunk, read_entries, split_chunks

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
        """Return line, section, key and value of a key, as errors show them."""
        chunk = self.chunks[kind, name]
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
        self, text: str, errors: ErrorList, reuse: Mapping[str, Any] | None = None
    ) -> Parsed:
        """Read all sections and report every error to `errors`.

        Parameters
        ----------
        text : str
        errors : ErrorList
        reuse : mapping of str to object, optional
            Values of valid sections by their text, header included.

        Returns
        -------
        Parsed
        """
        reuse = reuse or {}
        values: dict[str, dict[str, Any]] = {kind: {} for kind in self.sections}
        chunks: dict[tuple[str, str], Chunk] = {}
        for chunk in split_chunks(text):
            kind = chunk.kind
            section = self.sections.get(kind)
            if section is None or not self._check_header(
                section, chunk, chunks, errors
            ):
                if section is None and kind:
                    reason = f"unknown section, expected {', '.join(self.sections)}"
                    errors.add(chunk.line, chunk.section, "", "", reason)
                elif section is None:
                    self._check_stray(chunk, errors)
                continue
            chunks[kind, chunk.name] = chunk
            value = reuse.get(chunk.text)
            if value is None:
                value = section.read(chunk, errors)
            values[kind][chunk.name] = value
        for kind, section in self.sections.items():
            if section.required and not values[kind]:
                header = f"{kind} <name>" if section.named else kind
                errors.add(1, kind, "", "", f"missing section [{header}]")
        return Parsed(values, chunks)

    @staticmethod
    def _check_header(section, chunk, chunks, errors) -> bool:
        """Return whether the header fits; report it otherwise."""
        first = chunks.get((chunk.kind, chunk.name))
        if first is not None:
            reason = f"duplicate section, first on line {first.line}"
        elif section.named and not chunk.name:
            reason = f"section needs a name, expected [{chunk.kind} <name>]"
        elif chunk.name and not section.named:
            reason = f"section takes no name, expected [{chunk.kind}]"
        elif chunk.name and not NAME_PATTERN.fullmatch(chunk.name):
            reason = f"expected a name ({NAME_RULE})"
        else:
            return True
        errors.add(chunk.line, chunk.section, "", "", reason)
        return False

    @staticmethod
    def _check_stray(chunk, errors) -> None:
        """Report a malformed header, or keys before the first section."""
        entries = read_entries(chunk, errors.add)
        if chunk.text.lstrip(" \t").startswith("["):
            return
        for key, (value, line) in entries.items():
            errors.add(line, "", key, value, "key before the first section")
