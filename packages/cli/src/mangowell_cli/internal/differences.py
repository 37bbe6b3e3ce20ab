"""Comparison of two documents, printed as text or JSON."""

from typing import Any

from mangowell_cli.internal.errors import ExitCode
from mangowell_cli.internal.files import load_document
from mangowell_cli.internal.output import escape_control_chars, print_json
from mangowell_core.document import Change, DocumentDiff, diff_documents

# Keys of the document whose names differ from the attributes.
_DOCUMENT_KEYS = {"traffic_class": "class"}
_ACTION_SIGNS = {"added": "+", "removed": "-", "changed": "~"}


def describe_value(value: Any) -> Any:
    """Return a value in the notation of the document."""
    match value:
        case bool():
            return "yes" if value else "no"
        case tuple():
            return ", ".join(value)
        case _:
            return value


def describe_change(change: Change) -> dict[str, Any]:
    """Return the JSON form of a change."""
    return {
        "section": f"{change.kind} {change.name}",
        "action": change.action,
        "services": list(change.services),
        "values": {
            _DOCUMENT_KEYS.get(name, name): {
                "old": describe_value(old),
                "new": describe_value(new),
            }
            for name, (old, new) in change.values.items()
        },
    }


def describe_diff(diff: DocumentDiff) -> dict[str, Any]:
    """Return the JSON form of all differences; see ``docs/command.md``."""
    return {
        "environments": list(diff.environments),
        "versions": list(diff.versions),
        "services": list(diff.services),
        "changes": [describe_change(change) for change in diff.changes],
    }


def format_diff(diff: DocumentDiff) -> list[str]:
    """Return the lines that show all differences."""
    (old_environment, new_environment), (old, new) = diff.environments, diff.versions
    lines = []
    if old_environment != new_environment:
        lines.append(f"environment: {old_environment} -> {new_environment}")
    if old != new:
        lines.append(f"version: {old} -> {new}")
    if diff.changes and old_environment == new_environment and new <= old:
        lines.append(f"warning: nodes that run version {old} ignore version {new}")
    for entry in map(describe_change, diff.changes):
        services = ", ".join(entry["services"]) or "none"
        lines.append(
            f"{_ACTION_SIGNS[entry['action']]} [{entry['section']}] {entry['action']}; "
            f"services: {services}"
        )
        for key, values in entry["values"].items():
            lines.append(f"    {key}: {values['old']} -> {values['new']}")
    if not diff.changes:
        lines.append("no differences in effect")
    return [escape_control_chars(line) for line in lines]


def show_diff(old: str, new: str, as_json: bool) -> ExitCode:
    """Compare two document files and print the differences."""
    diff = diff_documents(load_document(old), load_document(new))
    if as_json:
        print_json(describe_diff(diff))
    else:
        print("\n".join(format_diff(diff)))
    same = diff.environments[0] == diff.environments[1]
    same = same and diff.versions[0] == diff.versions[1] and not diff.changes
    return ExitCode.SUCCESS if same else ExitCode.FINDING
