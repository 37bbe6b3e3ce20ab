"""INI reader that keeps line numbers.

`configparser` drops line numbers and stops at the first duplicate, while an
operator needs every error of a file with its line, so the text is read here.

The dialect: ``[kind]`` or ``[kind name]`` headers, ``key = value`` lines, whole
lines of comment that start with ``;`` or ``#``, and inline comments that start
with a ``;`` after white space. ``#`` starts no inline comment, because a Z85 key
may begin with it. There are no continuation lines and no quotes.
"""

import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

# `report(line, section, key, value, reason)` receives each syntax error.
Report = Callable[[int, str, str, str, str], None]

_SECTION_START = re.compile(r"\n(?=[ \t]*\[)")
_HEADER = re.compile(
    r"[ \t]*\[[ \t]*([A-Za-z0-9_.-]+)(?:[ \t]+([A-Za-z0-9_.-]+))?[ \t]*\]"
    r"[ \t\r]*(?:[;#].*)?$"
)
_INLINE_COMMENT = re.compile(r"(?:^|\s);")


# Not frozen: a frozen data class takes three times as long to make, and a
# document at the design scale has 1,850 sections.
@dataclass(slots=True)
class Chunk:
    """Text of one section.

    Parameters
    ----------
    kind, name : str
        Words of the header. `kind` is empty for text before the first header
        and for a malformed header; `name` is empty in ``[kind]``.
    line : int
        Line of the header, counted from 1.
    text : str
        Header and all lines up to the next header, without the last line end.
    """

    kind: str
    name: str
    line: int
    text: str

    @property
    def section(self) -> str:
        """Words of the header as an error shows them."""
        return f"{self.kind} {self.name}" if self.name else self.kind


def split_sections(text: str) -> list[str]:
    """Split a text before each section header.

    Joining the parts with a line end gives `text` again. Only the first part
    may have no header.
    """
    return _SECTION_START.split(text)


def read_chunks(parts: Iterable[str]) -> Iterator[Chunk]:
    """Read the headers of sections.

    Parameters
    ----------
    parts : iterable of str
        From `split_sections`.

    Yields
    ------
    Chunk
    """
    line = 1
    for part in parts:
        match = _HEADER.match(part.partition("\n")[0])
        if match is None:
            yield Chunk("", "", line, part)
        else:
            yield Chunk(match[1], match[2] or "", line, part)
        line += part.count("\n") + 1


def strip_comment(line: str) -> str:
    """Remove a comment and surrounding white space from a line."""
    if ";" in line:
        match = _INLINE_COMMENT.search(line)
        if match is not None:
            line = line[: match.start()]
    line = line.strip()
    return "" if line.startswith("#") else line


def read_entries(chunk: Chunk, report: Report) -> dict[str, tuple[str, int]]:
    """Read the keys of one section.

    Parameters
    ----------
    chunk : Chunk
    report : callable
        Receives duplicate keys and lines that are no ``key = value``.

    Returns
    -------
    dict of str to (str, int)
        Value and line by key. The first of duplicate keys is kept.
    """
    entries: dict[str, tuple[str, int]] = {}
    lines = chunk.text.split("\n")
    number = chunk.line
    if lines[0].lstrip(" \t").startswith("["):
        if not chunk.kind:
            reason = "malformed section header, expected [kind] or [kind name]"
            report(number, "", "", lines[0].strip(), reason)
        del lines[0]
    else:
        number -= 1
    for raw in lines:
        number += 1
        line = strip_comment(raw)
        if not line:
            continue
        key, equals, value = line.partition("=")
        key = key.rstrip()
        if not equals or not key:
            report(number, chunk.section, "", line, "expected key = value")
            continue
        value = value.lstrip()
        if key in entries:
            first = entries[key][1]
            reason = f"duplicate key, first on line {first}"
            report(number, chunk.section, key, value, reason)
            continue
        entries[key] = (value, number)
    return entries
