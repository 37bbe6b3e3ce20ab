"""Tests that the checker raises for each broken invariant."""

from dataclasses import replace

import pytest
from tests.core.fleet import make_document

from mangowell_core.document import parse_document
from mangowell_core.invariants import InvariantChecker, InvariantViolation
from mangowell_core.model import Route, Snapshot


def make_snapshot(version: int, note: str = "", revision: int = 1) -> Snapshot:
    """Return a snapshot of a small document; `note` changes the digest."""
    document = parse_document(make_document(version, note).decode(), "t").ok_value
    return Snapshot(document, revision, {"web": ()})


def make_snapshot_with_route(**changes) -> Snapshot:
    """Return a snapshot at version 3 whose route has other attributes."""
    snapshot = make_snapshot(3)
    route = replace(snapshot.document.routes["r"], **changes)
    assert isinstance(route, Route)
    return replace(snapshot, document=replace(snapshot.document, routes={"r": route}))


@pytest.mark.parametrize(
    "new",
    [
        make_snapshot(1),
        make_snapshot(2, "other"),
        make_snapshot(3, revision=0),
        make_snapshot_with_route(service="gone"),
        make_snapshot_with_route(traffic_class="gone"),
        replace(make_snapshot(3), instances={}),
    ],
    ids=["older", "conflict", "older-list", "service", "class", "instances"],
)
@pytest.mark.parametrize("level", ["cheap", "full"])
def test_broken_snapshot_is_a_violation(new, level):
    """A node must not run a snapshot that breaks an invariant; `off` checks nothing."""
    with pytest.raises(InvariantViolation):
        InvariantChecker.from_level(level).check_snapshot(new, make_snapshot(2))
    InvariantChecker.from_level("off").check_snapshot(new, make_snapshot(2))


def test_text_with_wrong_digest_or_old_version_is_a_violation():
    """A text with a wrong digest or an old version must not be accepted."""
    checker = InvariantChecker.from_level("full")
    with pytest.raises(InvariantViolation, match="I3"):
        checker.check_accepted("k", 2, "0" * 64, b"part", 1)
    with pytest.raises(InvariantViolation, match="I1"):
        checker.check_accepted("k", 1, "0" * 64, b"part", 1)


def test_unknown_level_names_the_value():
    """A misspelt level must be an error and not turn the checks off."""
    with pytest.raises(ValueError, match="'most'"):
        InvariantChecker.from_level("most")
