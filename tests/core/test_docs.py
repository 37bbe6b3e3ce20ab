"""Tests that the reference pages agree with the code."""

import re
from pathlib import Path

import pytest

from mangowell_core.document import DOCUMENT_SCHEMA
from mangowell_core.events import EventCode
from mangowell_core.settings import SETTINGS_SCHEMA

DOCS = Path(__file__).parents[2] / "docs"


def test_event_catalogue_agrees_with_the_enum():
    """Operators look up events by the number and name in the catalogue."""
    rows = re.findall(
        r"^\| (\d+) \| `(\w+)` \|", (DOCS / "events.md").read_text(), re.M
    )
    assert rows == [(str(int(code)), code.name.lower()) for code in EventCode]


@pytest.mark.parametrize(
    ("name", "schema"),
    [("document.md", DOCUMENT_SCHEMA), ("settings.md", SETTINGS_SCHEMA)],
)
def test_reference_names_the_sections_and_keys_of_the_schema(name, schema):
    """A key that is missing from the reference page is unknown to operators."""
    parts = re.split(r"^###? `\[(\w+)", (DOCS / name).read_text(), flags=re.M)[1:]
    documented = {
        kind: re.findall(r"^\| `(\w+)` \|", text, re.M)
        for kind, text in zip(parts[::2], parts[1::2], strict=True)
    }
    keys = {k: [key.name for key in s.keys] for k, s in schema.sections.items()}
    assert documented == keys
