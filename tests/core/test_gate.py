"""Guards I1 and I3: which texts from the source or a peer one node accepts."""

import pytest
from tests.core.fleet import DOCUMENT, make_document

from mangowell_core.events import EventCode
from mangowell_core.messages import KeyVersion


def get_node(fleet):
    return next(iter(fleet.nodes.values()))


def get_versions(fleet):
    status = get_node(fleet).core.status(fleet.now)
    return status["version"], [entry["version"] for entry in status["refused"]]


@pytest.mark.parametrize(
    ("bodies", "version", "refused", "code"),
    [
        ([make_document(5), make_document(4)], 5, [], "VERSION_STALE"),
        ([make_document(5), make_document(5, "x")], 5, [], "VERSION_CONFLICT"),
        ([make_document(5), make_document(6) + b"x"], 5, [6], "VERSION_REFUSED"),
        ([make_document(5), b"\xff"], 5, [0], "VERSION_REFUSED"),
        ([make_document(5), bytes(1_000_001)], 5, [], "SOURCE_DOWN"),
        ([make_document(5).replace(b"test", b"other")], 1, [5], "VERSION_REFUSED"),
        ([make_document(5) + b"x", make_document(6)], 6, [5], "VERSION_APPLIED"),
        ([make_document(5), make_document(5)], 5, [], "VERSION_APPLIED"),
    ],
    ids=["lower", "conflict", "invalid", "binary", "oversized", "environment",
         "after-invalid", "same"],
)  # fmt: skip
def test_published_texts_are_accepted_or_refused(
    single_node_fleet, bodies, version, refused, code
):
    for body in bodies:
        single_node_fleet.publish(body)
        single_node_fleet.run(12)
    assert get_versions(single_node_fleet) == (version, refused)
    assert code in single_node_fleet.codes()


def test_invalid_text_published_again_is_reported_once(single_node_fleet):
    """A source that alternates between two texts must not flood the log."""
    for _ in range(5):
        single_node_fleet.publish(make_document(5) + b"x")
        single_node_fleet.run(3)
        single_node_fleet.publish(make_document(1))
        single_node_fleet.run(3)
    codes = [event.code for _, _, event in single_node_fleet.events]
    assert codes.count(EventCode.VERSION_REFUSED) == 1


def test_refused_versions_are_bounded(single_node_fleet):
    for version in range(2, 100):
        single_node_fleet.publish(make_document(version) + b"x")
        single_node_fleet.run(1.3)
    assert (
        len(get_node(single_node_fleet).core.board.configuration.refused_versions) == 64
    )


def test_version_that_differs_from_the_announced_one_is_refused(single_node_fleet):
    """A peer must not announce a valid text under a version that it does not have."""
    node = get_node(single_node_fleet)
    body = make_document(9)
    key_version = KeyVersion(DOCUMENT, 10, "0" * 64)
    node.core._gate.handle_text(key_version, body, "peer", single_node_fleet.now)
    assert get_versions(single_node_fleet) == (1, [10])
    single_node_fleet.publish(body)
    single_node_fleet.run(1)
    assert get_versions(single_node_fleet)[0] == 9
