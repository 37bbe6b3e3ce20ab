"""Order of what nodes know of the workers, across restores of the store."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangowell_core.mesh import Directory, Endpoint
from mangowell_core.mesh.directory import WITHHELD_S
from mangowell_core.mesh.model import ChangeNotice, Departure
from mangowell_core.mesh.revisions import (
    get_era,
    get_number,
    is_copy_of_departed,
    is_later_write,
    make_revision,
)
from mangowell_core.mesh.uptime import UptimeReport

WORKERS, NODES = 2, 2


def make_worker(number=1, seq=1, revision=1, draining=False, born_ms=1):
    host = f"10.0.0.{number}"
    return Endpoint(
        f"w{number}", "s", host, 80, "a", 4, draining, 0.0, born_ms, revision, seq
    )


class ModelStore:
    """Store of workers that can be restored, and the workers that write to it."""

    def __init__(self):
        self.era, self.number, self.now = 1, 0, 100.0
        self.entries = {}
        self.seqs = {}
        self.draining, self.gone = set(), set()
        self.copy = (0, {})

    def write(self, number):
        """Let a worker write its state, or remove it once it has drained."""
        if number in self.gone:
            return
        self.number += 1
        self.seqs[number] = self.seqs.get(number, 0) + 1
        self.entries[number] = make_worker(
            number,
            self.seqs[number],
            make_revision(self.era, self.number),
            number in self.draining,
        )

    def drain(self, number):
        self.draining.add(number)
        self.write(number)

    def leave(self, number):
        self.draining.add(number)
        self.gone.add(number)
        self.number += 1
        self.entries.pop(number, None)

    def take_copy(self):
        self.copy = (self.number, dict(self.entries))

    def restore(self):
        number, entries = self.copy
        self.era, self.number = self.era + 1, number
        self.entries = dict(entries)
        self.copy = (self.number, dict(self.entries))

    def read(self, directory):
        """Let a node list all entries; those of the copy have their old number."""
        revision = make_revision(self.era, self.number)
        entries = [
            make_worker(
                number,
                entry.seq,
                make_revision(self.era, get_number(entry.revision)),
                entry.draining,
            )
            for number, entry in self.entries.items()
        ]
        directory.load(entries, revision, self.now)


def take_step(store, nodes, step):
    """Take one step of a drawn history."""
    action, number, node, other = step
    match action:
        case "write" | "drain" | "leave":
            getattr(store, action)(number)
        case "copy":
            store.take_copy()
        case "restore":
            store.restore()
        case "read":
            store.read(nodes[node])
        case "tell":
            nodes[node].apply_state(nodes[other].export(), store.now)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ("write", "write", "drain", "leave", "copy", "restore", "read", "tell")
        ),
        st.integers(1, WORKERS),
        st.integers(0, NODES - 1),
        st.integers(0, NODES - 1),
    ),
    min_size=20,
    max_size=60,
)


def find_known_departures(store, seen):
    """Return the workers that a node knows to have left, once it is up to date.

    It has listed the last write, or no restore lies between the write that it has
    listed and the removal. Otherwise a live worker may give it the same lists.

    Parameters
    ----------
    store : ModelStore
        Store that the node has read.
    seen : dict of str to (int, int)
        Write that the node has listed last, and its era, by worker.
    """
    departed = {f"w{number}": store.seqs.get(number) for number in store.gone}
    return {
        name
        for name, (seq, era) in seen.items()
        if name in departed and (seq == departed[name] or era == store.era)
    }


@settings(max_examples=400)
@given(STEPS)
def test_no_node_uses_a_worker_again_that_it_knew_to_drain_or_gone(steps):
    """Guards against a copy, or a node that is behind, that brings a worker back."""
    store = ModelStore()
    nodes = [Directory() for _ in range(NODES)]
    listed = [{} for _ in nodes]
    unusable = [set() for _ in nodes]
    for step in steps:
        take_step(store, nodes, step)
        for directory, seen, known in zip(nodes, listed, unusable, strict=True):
            used = {e.id for e in directory.get_workers() if not e.draining}
            assert not used & known
            known |= {e.id for e in directory.get_workers() if e.draining}
            if directory.revision == make_revision(store.era, store.number):
                ended = find_known_departures(store, seen)
                known |= ended - set(directory.endpoints)
            for entry in directory.endpoints.values():
                seen[entry.id] = entry.seq, get_era(entry.revision)


def test_lists_that_a_departed_and_a_live_worker_share():
    """Guards against a check that asks a node for what it cannot know."""

    def read_lists(history):
        store, lists = ModelStore(), []
        for action, *number in history:
            if action == "read":
                entries = {
                    e.id: (e.seq, get_number(e.revision))
                    for e in store.entries.values()
                }
                revision = make_revision(store.era, store.number)
                lists.append((revision, entries))
            else:
                getattr(store, action)(*number)
        return lists, 1 in store.gone

    write, read, copy, restore = ("write", 1), ("read",), ("take_copy",), ("restore",)
    writes = [write] * 12
    departed = [*writes, read, write, copy, restore, ("leave", 1), read, restore, read]
    others = [("write", 2), ("leave", 2)]
    live = [*writes, read, restore, *others, *[("write", 3)] * 9, ("leave", 3)]
    live += [copy, ("write", 4), ("leave", 4), read, restore, write, read]
    (first, has_left), (second, is_gone) = read_lists(departed), read_lists(live)
    assert first == second
    assert (has_left, is_gone) == (True, False)


def tell_departures(nodes, node, other, now):
    """Let one node tell another which workers have left, as far as it knows."""
    departures = nodes[other].export_departures(now)
    nodes[node].record_departures(departures, now)
    return {d.id for d in departures} - set(nodes[node].endpoints)


# On a busy machine, a pause of the process takes longer than the usual 200 ms.
@settings(max_examples=400, deadline=None)
@given(STEPS)
def test_no_node_uses_a_worker_again_that_it_was_told_has_left(steps):
    """Guards against a copy that brings back a worker to a node that never had it."""
    store = ModelStore()
    nodes = [Directory() for _ in range(NODES)]
    # Last writes that each node has had.
    seen = [set() for _ in nodes]
    unusable = [set() for _ in nodes]
    for step in steps:
        if step[0] == "tell":
            told = tell_departures(nodes, step[2], step[3], store.now)
            unusable[step[2]] |= told & unusable[step[3]]
        take_step(store, nodes, step)
        for directory, ids, known in zip(nodes, seen, unusable, strict=True):
            used = {e.id for e in directory.get_workers() if not e.draining}
            assert not used & known
            ids |= {(e.id, e.seq) for e in directory.get_workers()}
            known |= {e.id for e in directory.get_workers() if e.draining}
            if directory.revision == make_revision(store.era, store.number):
                known |= {
                    f"w{n}" for n in store.gone if (f"w{n}", store.seqs.get(n)) in ids
                } - set(directory.endpoints)


@settings(max_examples=400)
@given(STEPS)
def test_nodes_agree_with_the_store_once_all_workers_have_written_again(steps):
    """Guards against a worker that is kept out, or kept, for good."""
    store = ModelStore()
    nodes = [Directory() for _ in range(NODES)]
    for step in steps:
        take_step(store, nodes, step)
    for number in list(store.entries):
        if number in store.gone:
            store.leave(number)
    for number in range(1, WORKERS + 1):
        store.write(number)
    store.read(nodes[0])
    for directory in nodes[1:]:
        directory.apply_state(nodes[0].export(), store.now)
    for directory in nodes:
        listed = {e.id: (e.seq, e.draining) for e in directory.get_workers()}
        assert listed == {e.id: (e.seq, e.draining) for e in store.entries.values()}


def test_revision_orders_by_era_then_number():
    assert make_revision(0, 26) == 26
    assert make_revision(1, 999) < make_revision(2, 3)
    assert (get_era(make_revision(2, 3)), get_number(make_revision(2, 3))) == (2, 3)


def test_entry_of_the_copy_is_compared_by_the_order_of_the_worker():
    known = make_worker(seq=7, revision=make_revision(1, 30))
    through = make_revision(2, 24)
    older = make_worker(seq=3, revision=make_revision(2, 20))
    newer = make_worker(seq=8, revision=make_revision(2, 24))
    assert not is_later_write(older, known, through)
    assert is_later_write(newer, known, through)
    # The store alone orders what was written after the first state that was read.
    after = make_worker(seq=1, revision=make_revision(2, 25), born_ms=0)
    assert is_later_write(after, known, through)


def test_worker_of_the_copy_does_not_stop_draining():
    known = make_worker(seq=7, draining=True, revision=make_revision(1, 30))
    same = make_worker(seq=7, revision=make_revision(2, 24))
    assert not is_later_write(same, known, make_revision(2, 24))


def test_worker_that_registers_again_is_no_copy():
    departed = Departure("w1", 1, 7, False, make_revision(1, 30), make_revision(1, 31))
    through = make_revision(2, 24)
    copied = make_worker(seq=7, revision=make_revision(2, 20))
    again = make_worker(seq=8, revision=make_revision(2, 20))
    assert is_copy_of_departed(copied, departed, through)
    assert not is_copy_of_departed(again, departed, through)


def test_copy_of_a_last_write_that_was_never_read_is_not_used():
    """Guards against the entry of a copy taken between that write and the removal."""
    directory = Directory()
    directory.load([make_worker(seq=13, revision=13)], make_revision(0, 13), 0.0)
    directory.load([], make_revision(0, 15), 1.0)
    copied = make_worker(seq=14, revision=make_revision(1, 14))
    directory.load([copied], make_revision(1, 14), 2.0)
    assert not directory.endpoints
    restarted = make_worker(seq=1, revision=make_revision(1, 14), born_ms=2)
    directory.load([restarted], make_revision(1, 14), 3.0)
    assert set(directory.endpoints) == {"w1"}


def test_removed_worker_that_stays_listed_is_used_in_the_end():
    """Guards against a live worker whose entry needs no further write."""
    directory = Directory()
    directory.load([make_worker(1), make_worker(2)], make_revision(1, 10), 0.0)
    directory.load([make_worker(2)], make_revision(1, 12), 1.0)
    listed = [make_worker(1, revision=make_revision(2, 1)), make_worker(2)]
    directory.load(listed, make_revision(2, 8), 20.0)
    assert set(directory.endpoints) == {"w2"}
    directory.expire(20.0 + WITHHELD_S - 0.1)
    assert set(directory.endpoints) == {"w2"}
    directory.expire(20.0 + WITHHELD_S)
    assert set(directory.endpoints) == {"w1", "w2"}


@pytest.mark.parametrize("number", [0, 2**40, 2**40 + 7, 2**53 - 1])
@pytest.mark.parametrize("era", [0, 3, 1023])
def test_revision_keeps_era_and_number_and_fits_into_64_bits(era, number):
    """Guards against revisions of 41 bits and more, whose upper bits were dropped."""
    revision = make_revision(era, number)
    assert (get_era(revision), get_number(revision)) == (era, number)
    assert revision < 2**63


@pytest.mark.parametrize(("era", "number"), [(0, 2**53), (1024, 1), (-1, 1), (0, -1)])
def test_revision_out_of_range_is_an_error(era, number):
    with pytest.raises(ValueError, match="range"):
        make_revision(era, number)


def test_worker_missing_in_the_copy_is_held_though_a_peer_saw_the_restore_first():
    """Guards against dropping workers that registered after the copy was taken."""
    directory = Directory(heartbeat_s=1.5)
    worker = make_worker(revision=make_revision(0, 20))
    directory.record_store_recovery(100.0)
    directory.load([worker], worker.revision, 100.0)
    first = ChangeNotice(
        worker.revision,
        make_revision(1, 12),
        0,
        None,
        (make_worker(2),),
        (),
        UptimeReport(5000, 0, restored_ms=0),
    )
    directory.uptime.merge(first.store_uptime, 105.0)
    assert directory.apply_changes(first, 105.0)
    directory.load([make_worker(2)], make_revision(1, 13), 105.1)
    directory.expire(105.2)
    assert worker.id in directory.endpoints
    directory.expire(108.0)
    assert worker.id not in directory.endpoints
