"""INI parser that keeps line numbers.

`configparser` drops line numbers and stops at the first duplicate key, but an
operator needs every error of a file with its line.

The dialect has ``[kind]`` or ``[kind name]`` headers, ``key = value`` lines, comment
lines that start with ``;`` or ``#``, and inline comments that start with a ``;``
after white space. ``#`` starts no inline comment, because a Z85 key may begin with
it. There are no continuation lines and no quotes.
"""

import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

# `report(line, section, key, value, reason)` receives each syntax error.
ReportError = Callable[[int, str, str, str, str], None]

_SECTION_START = re.compile(r"\n(?=[ \t]*\[)")
_HEADER = re.compile(
    r"[ \t]*\[[ \t]*([A-Za-z0-9_.-]+)(?:[ \t]+([A-Za-z0-9_.-]+))?[ \t]*\]"
    r"[ \t\r]*(?:[;#].*)?$"
)
_INLINE_COMMENT = re.compile(r"(?:^|\s);")


# Not frozen, because creating a frozen data class takes three times as long and a
# document at the design scale has 1,850 sections.
@dataclass(slots=True)
class RawSection:
    """Header and unparsed text of one section.

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
        """Words of the header, as errors show them."""
        return f"{self.kind} {self.name}" if self.name else self.kind


def split_sections(text: str) -> list[str]:
    """Split a text before each section header.

    Joining the results with a line feed gives `text` again. Only the first result
    may lack a header.
    """
    return _SECTION_START.split(text)


def parse_headers(section_texts: Iterable[str]) -> Iterator[RawSection]:
    """Parse the headers of sections.

    Parameters
    ----------
    section_texts : iterable of str
        Results of `split_sections`.

    Yields
    ------
    RawSection
    """
    line = 1
    for section_text in section_texts:
        match = _HEADER.match(section_text.partition("\n")[0])
        if match is None:
            yield RawSection("", "", line, section_text)
        else:
            yield RawSection(match[1], match[2] or "", line, section_text)
        line += section_text.count("\n") + 1


def strip_comment(line: str) -> str:
    """Remove a comment and surrounding white space from a line."""
    if ";" in line:
        match = _INLINE_COMMENT.search(line)
        if match is not None:
            line = line[: match.start()]
    line = line.strip()
    return "" if line.startswith("#") else line


def parse_entries(
    raw_section: RawSection, report: ReportError
) -> dict[str, tuple[str, int]]:
    """Parse the keys of one section.

    Parameters
    ----------
    raw_section : RawSection
    report : callable
        Called for malformed headers, duplicate keys and lines other than
        ``key = value``.

    Returns
    -------
    dict of str to (str, int)
        Value and line number by key. Of duplicate keys the first is kept.
    """
    entries: dict[str, tuple[str, int]] = {}
    lines = raw_section.text.split("\n")
    line_number = raw_section.line
    if lines[0].lstrip(" \t").startswith("["):
        if not raw_section.kind:
            reason = "malformed section header, expected [kind] or [kind name]"
            report(line_number, "", "", lines[0].strip(), reason)
        del lines[0]
    else:
        line_number -= 1
    for raw_line in lines:
        line_number += 1
        line = strip_comment(raw_line)
        if not line:
            continue
        key, separator, value = line.partition("=")
        key = key.rstrip()
        if not separator or not key:
            report(line_number, raw_section.section, "", line, "expected key = value")
            continue
        value = value.lstrip()
        if key in entries:
            first_line = entries[key][1]
            reason = f"duplicate key, first on line {first_line}"
            report(line_number, raw_section.section, key, value, reason)
            continue
        entries[key] = (value, line_number)
    return entries
