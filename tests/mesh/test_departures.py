"""Workers that have left, as nodes remember them and tell each other."""

import pytest

from mangowell_core.mesh import Directory, Endpoint
from mangowell_core.mesh.departures import (
    DEPARTURE_KEEP_S,
    MAX_DEPARTURES,
    Departures,
)
from mangowell_core.mesh.directory import WITHHELD_S
from mangowell_core.mesh.model import DepartureNotice
from mangowell_core.mesh.revisions import make_revision
from mangowell_node.mesh.notices import encode_notice


def make_worker(name="w1", seq=1, era=1, number=1, host="10.0.0.1"):
    revision = make_revision(era, number)
    return Endpoint(name, "s", host, 80, "a", 4, False, 0.0, 1, revision, seq)


def make_departures():
    """Return what a node tells that has seen `w1` leave after its seventh write."""
    directory = Directory()
    directory.load([make_worker(seq=7, number=30)], make_revision(1, 30), 0.0)
    directory.load([], make_revision(1, 31), 1.0)
    return directory.export_departures(2.0)


def make_late_node():
    """Return a node that has read its first list after `w1` left."""
    directory = Directory()
    directory.load([], make_revision(1, 31), 2.0)
    return directory


def restore(directory, seq, number=20, through=24):
    """Let a node read a restored store that lists `w1`."""
    worker = make_worker(seq=seq, era=2, number=number)
    directory.load([worker], make_revision(2, through), 5.0)


def test_copy_of_a_worker_that_a_peer_saw_leave_is_not_used():
    """Guards against a node that takes an entry that it never had for a new one."""
    directory = make_late_node()
    directory.record_departures(make_departures(), 2.0)
    restore(directory, seq=6)
    assert not directory.endpoints


def test_copy_is_not_used_any_more_once_a_peer_tells_of_the_departure():
    """Guards against a link that opens only after the restored store was read."""
    directory = make_late_node()
    restore(directory, seq=6)
    assert set(directory.endpoints) == {"w1"}
    epoch = directory.epoch
    directory.record_departures(make_departures(), 6.0)
    assert not directory.endpoints
    assert directory.epoch > epoch


def test_node_started_after_the_restore_does_not_use_a_copy():
    """Guards against a first list that no era was known before."""
    directory = Directory()
    directory.record_departures(make_departures(), 4.0)
    restore(directory, seq=6)
    assert not directory.endpoints


def test_later_write_of_the_worker_is_used_in_spite_of_a_told_departure():
    """Guards against a live worker that is kept out by what a peer remembers."""
    directory = make_late_node()
    directory.record_departures(make_departures(), 2.0)
    restore(directory, seq=8)
    assert set(directory.endpoints) == {"w1"}
    # A departure that is told afterwards does not end its use either.
    directory = make_late_node()
    restore(directory, seq=8)
    directory.record_departures(make_departures(), 6.0)
    assert set(directory.endpoints) == {"w1"}


def test_withheld_worker_is_used_as_soon_as_it_writes():
    """Guards against a worker that waits for the end of a time limit."""
    directory = make_late_node()
    directory.record_departures(make_departures(), 2.0)
    restore(directory, seq=6)
    directory.put(make_worker(seq=8, era=2, number=25))
    assert set(directory.endpoints) == {"w1"}


def test_worker_that_stays_listed_is_used_in_the_end_in_spite_of_its_peers():
    """Guards against a live worker whose entry needs no further write."""
    directory = make_late_node()
    directory.record_departures(make_departures(), 2.0)
    restore(directory, seq=6)
    directory.expire(5.0 + WITHHELD_S)
    assert set(directory.endpoints) == {"w1"}


def test_departure_that_is_passed_on_keeps_its_age():
    """Guards against departures that nodes tell each other for good."""
    first, second = Departures(), Departures()
    first.record(make_worker(), make_revision(1, 2), 100.0)
    (told,) = first.export((), 100.0 + DEPARTURE_KEEP_S - 1)
    assert second.record_told(told, 500.0)
    assert len(second.export((), 500.9)) == 1
    assert not second.export((), 501.0)
    second.expire(501.0)
    assert len(second) == 0
    (told,) = first.export((), 100.0 + DEPARTURE_KEEP_S - 0.0001)
    assert not second.record_told(told, 600.0)


def test_later_of_two_last_writes_is_remembered():
    """Guards against the record of a node that missed the last write."""
    departures, reader = Departures(), Departures()
    departures.record(make_worker(seq=6, number=28), make_revision(1, 31), 0.0)
    reader.record(make_worker(seq=7, number=30), make_revision(1, 31), 0.0)
    (told,) = reader.export((), 0.0)
    assert departures.record_told(told, 0.0)
    assert departures.get("w1").seq == 7
    (earlier,) = departures.export((), 0.0)
    assert not reader.record_told(earlier, 0.0)


def test_workers_in_use_are_not_told_as_departed():
    departures = Departures()
    departures.record(make_worker("w1"), make_revision(1, 2), 0.0)
    departures.record(make_worker("w2"), make_revision(1, 2), 0.0)
    assert [d.id for d in departures.export({"w1"}, 1.0)] == ["w2"]


@pytest.mark.parametrize("count", [MAX_DEPARTURES, 4 * MAX_DEPARTURES])
def test_departures_are_bounded_in_number_and_bytes(count):
    """Guards against a record that grows with each start of a worker."""
    departures = Departures()
    for number in range(count):
        worker = make_worker(f"i-{number * 7919:08x}", 5, 1, 10**9 + number)
        departures.record(worker, make_revision(1, 10**9 + number), number / 100)
    assert len(departures) == MAX_DEPARTURES
    told = departures.export((), count / 100)
    assert len(encode_notice(DepartureNotice(told))) < 20_000
    assert told[-1].id == f"i-{(count - 1) * 7919:08x}"
