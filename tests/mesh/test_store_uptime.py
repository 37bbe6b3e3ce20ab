"""Which missing entries may have expired in an outage of the store."""

import pytest

from mangowell_core.mesh import Directory, Endpoint, Publication
from mangowell_core.mesh.directory import LAPSED_ENTRY_HOLD_S
from mangowell_core.mesh.revisions import make_revision
from mangowell_core.mesh.uptime import StoreUptime

HEARTBEAT_S = 1.5
# A lease of three intervals, less the age of the last renewal before the outage.
MIN_GAP_S = 3.0


def make_endpoint(name, revision=1):
    return Endpoint(name, "s", "10.0.0.1", 80, "z", 4, False, 0.0, 1, revision)


def make_directory(heartbeat_s=HEARTBEAT_S):
    """Return the directory of a node whose last answer was sent and came at 10.0."""
    directory = Directory(heartbeat_s)
    directory.record_store_recovery(10.0)
    directory.load([make_endpoint("w1"), make_endpoint("w2")], 5, 10.0)
    return directory


def answer(directory, now):
    directory.record_store_recovery(now)


def fail(directory, now):
    directory.record_store_outage()


def stop_reading(directory, now):
    directory.uptime.stop_reading()


def hear_peer(since, until):
    """Return a step in which a peer reports the time of answers that it knows."""

    def step(directory, now):
        peer = StoreUptime(HEARTBEAT_S)
        peer.record_answer(since, until)
        directory.uptime.merge(peer.export(now), now)

    return step


@pytest.mark.parametrize(
    ("steps", "is_held"),
    [
        ([(answer, 11.0)], False),
        ([(fail, 11.0), (answer, 11.2)], False),
        ([(fail, 11.0), (answer, 12.9)], False),
        ([(fail, 11.0), (answer, 13.1)], True),
        # The first call of a node that takes over comes after the outage.
        ([(answer, 14.0)], True),
        # A node that stops reading learns nothing of the store.
        ([(fail, 11.0), (stop_reading, 12.0), (answer, 12.5)], False),
        ([(fail, 11.0), (stop_reading, 12.0), (answer, 14.0)], True),
        # Another node was answered while this one was not, heard before or after.
        ([(fail, 11.0), (hear_peer(5.0, 12.0), 12.5), (answer, 14.0)], False),
        ([(fail, 11.0), (answer, 14.0), (hear_peer(5.0, 14.0), 14.0)], False),
        # Another node saw the end of the same outage a little earlier.
        ([(fail, 11.0), (answer, 14.0), (hear_peer(13.6, 14.0), 14.0)], True),
        # A node that does not read hears of the outage from the reader only.
        ([(hear_peer(14.0, 14.1), 14.1)], True),
        ([(hear_peer(9.0, 14.1), 14.1)], False),
    ],
)
def test_missing_entry_is_held_only_after_an_outage_of_a_lease(steps, is_held):
    """Guards against a failed call that counts as an outage of the store."""
    directory = make_directory()
    for step, now in steps:
        step(directory, now)
    directory.load([make_endpoint("w2")], 9, now)
    directory.expire(now)
    assert ("w1" in directory.endpoints) == is_held
    directory.expire(now + LAPSED_ENTRY_HOLD_S)
    assert "w1" not in directory.endpoints


def test_any_failed_call_may_be_an_outage_if_the_lease_is_unknown():
    directory = make_directory(heartbeat_s=0.0)
    answer(directory, 19.0)
    directory.load([make_endpoint("w2")], 9, 19.0)
    assert "w1" not in directory.endpoints
    fail(directory, 20.0)
    answer(directory, 20.1)
    directory.load([], 10, 20.1)
    assert "w2" in directory.endpoints


def test_entry_missing_after_a_restore_is_held_by_nodes_that_hear_of_it():
    reader, follower = make_directory(), make_directory()
    reader.record_store_restore(11.0)
    answer(reader, 11.0)
    follower.uptime.merge(reader.uptime.export(11.1), 11.1)
    for directory in (reader, follower):
        directory.load([make_endpoint("w2")], make_revision(1, 3), 11.1)
        assert "w1" in directory.endpoints
        directory.expire(11.1 + LAPSED_ENTRY_HOLD_S)
        assert "w1" not in directory.endpoints


def hold_first(directory):
    fail(directory, 11.0)
    answer(directory, 15.0)
    directory.load([make_endpoint("w2")], 9, 15.0)
    assert "w1" in directory.endpoints


def test_held_entry_is_dropped_once_a_peer_shows_that_the_store_was_up():
    directory = make_directory()
    hold_first(directory)
    hear_peer(5.0, 15.0)(directory, 15.1)
    directory.expire(15.2)
    assert "w1" not in directory.endpoints


def test_state_of_a_node_that_holds_an_entry_does_not_contain_it():
    """Guards against a held entry that brings a worker back on other nodes."""
    holder, other = make_directory(), make_directory()
    hold_first(holder)
    other.remove("w1", 8, 11.0)
    assert "w1" not in other.endpoints
    assert other.apply_state(holder.export(), 15.0)
    assert "w1" not in other.endpoints


def test_removal_of_a_held_entry_is_published_with_its_revision():
    """Guards against nodes that believe to be up to date without the removal."""
    holder, publication = make_directory(), Publication()
    publication.mark(holder.revision, None, holder.listed)
    hold_first(holder)
    changes = publication.collect(holder.revision, None, holder.history, holder.listed)
    assert changes.removed == ("w1",)


def test_renewed_entry_of_a_held_worker_is_published_again():
    holder, publication = make_directory(), Publication()
    hold_first(holder)
    publication.mark(holder.revision, None, holder.listed)
    holder.put(make_endpoint("w1", revision=10))
    changes = publication.collect(holder.revision, None, holder.history, holder.listed)
    assert [endpoint.id for endpoint in changes.endpoints] == ["w1"]
    holder.expire(30.0)
    assert "w1" in holder.endpoints


@pytest.mark.parametrize("is_held", [False, True])
def test_late_write_from_before_the_removal_brings_no_worker_back(is_held):
    """Guards against an answer that comes after a later state of another node."""
    directory = make_directory()
    if is_held:
        hold_first(directory)
    else:
        directory.remove("w1", 9, 11.0)
    directory.put(make_endpoint("w1", revision=7))
    directory.expire(15.0 + LAPSED_ENTRY_HOLD_S)
    assert "w1" not in directory.endpoints
    directory.put(make_endpoint("w1", revision=11))
    assert "w1" in directory.endpoints


def test_unreadable_entry_is_dropped_at_once_after_an_outage():
    directory = make_directory()
    fail(directory, 11.0)
    answer(directory, 15.0)
    directory.discard("w1", 9, 15.0)
    assert "w1" not in directory.endpoints
