"""Random orders of writes, answers of the store and notices between the nodes."""

from itertools import pairwise

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangowell_core.events import EventCode
from mangowell_core.mesh import Directory, Endpoint, Publication
from mangowell_core.mesh.model import ChangeNotice, MeshState, StateNotice
from mangowell_core.mesh.revisions import make_revision
from mesh.support_histories import FOLLOWERS, READERS, WORKERS, Model

ACTIONS = (
    "wait",  # to which histories shrink
    *["write"] * 3,
    "drain",
    *["leave"] * 3,
    "order",
    "end order",
    *["read"] * 12,
    *["read too"] * 4,
    "read again",
    "elect",
    "step down",
    "take over",
    "stand in",
    *["deliver"] * 12,
    "lose",
    *["tell"] * 2,
    "catch up",
)


def draw_histories(actions):
    numbers = st.integers(0, 4 * WORKERS - 1)
    peers = st.integers(0, READERS + FOLLOWERS - 1)
    steps = st.tuples(st.sampled_from(actions), numbers, peers)
    return st.lists(steps, min_size=40, max_size=160)


def check_revisions(model):
    """Check that each node lists the workers that the store had at its revision.

    Those that it was told to have left by a later revision may be missing.
    """
    for node in model.nodes:
        directory = node.directory
        if revision := directory.revision:
            listed = model.store.listed_at[revision]
            gone = {
                departure.id
                for departure in directory.export_departures(model.now)
                if departure.removed_at > revision
            }
            assert node.listed.items() <= listed.items(), node.name
            assert listed.keys() - node.listed.keys() <= gone, node.name


@settings(max_examples=400, deadline=None)
@given(draw_histories(ACTIONS))
def test_each_node_lists_the_workers_of_its_revision(steps):
    """Guards against a worker that has left, but is kept or comes back."""
    model = Model()
    model.run(steps, check_revisions)
    for node in model.nodes:
        assert node.listed == model.store.listed, node.name


@settings(max_examples=200, deadline=None)
@given(draw_histories((*ACTIONS, *["copy", "restore"] * 2)))
def test_nodes_agree_with_a_store_that_was_restored(steps):
    """Guards against a worker that a restore brings back, or keeps out, for good."""
    model = Model()
    model.run(steps)
    for node in model.nodes:
        assert node.listed == model.store.listed, node.name


REGISTERED = [("write", number, 0) for number in range(WORKERS)]


def spoil_states(model, spoilt):
    """Give nodes a worker that has left and take a live one, at their revision."""
    for number in spoilt:
        gossip, directory = model.nodes[number].gossip, model.nodes[number].directory
        (live, *_) = directory.get_workers()
        directory._drop(live.id, directory.revision, model.now)
        ghost = msgspec.structs.replace(live, id="ghost")
        directory.put(ghost, directory.revision)
        # Only what changes from now on is published.
        gossip._publication.mark(directory.revision, None, directory.listed)


@pytest.mark.parametrize("spoilt", [(2,), (0,), (1, 3), (0, 2, 3)])
def test_node_that_differs_from_a_reader_reports_it_and_heals(spoilt):
    """Guards against nodes that differ at one revision, unnoticed and for good."""
    model = Model()
    model.run(REGISTERED)
    spoil_states(model, spoilt)
    model.run([])
    for node in model.nodes:
        assert node.listed == model.store.listed, node.name
    reports = [
        event
        for number in spoilt
        for event in model.nodes[number].events
        if event.code == EventCode.STATE_DIFFERS
    ]
    assert len(reports) >= len(spoilt)


def test_nodes_that_agree_report_no_difference():
    """Guards against a digest that depends on more than the store's entries."""
    model = Model()
    model.run([*REGISTERED, *[("read", n % 2, 0) for n in range(40)]])
    assert not any(node.gossip.differences for node in model.nodes)
    assert len({node.directory.compute_digest() for node in model.nodes}) == 1


def test_worker_that_registers_again_after_a_restore_is_used_at_all_nodes():
    """Guards against an entry that is withheld as a copy from before the removal.

    A node that was only told of the removal did not know of the last write before it.
    """
    hear = [("deliver", 0, 2), ("deliver", 2, 0)] * 5
    read = [("read", 0, 0)] * 20
    model = Model()
    used = []
    steps = [
        ("take over", 0, 0),
        *read,
        ("write", 0, 0),
        *read,
        *hear,
        ("copy", 0, 0),
        ("write", 0, 0),
        ("lapse", 0, 0),
        *read,
        *hear,
        ("restore", 0, 0),
        ("write", 0, 0),
        *read,
        *hear,
    ]
    model.run(steps, lambda model: used.append("w1" in model.nodes[2].listed))
    changes = [after for before, after in pairwise(used) if before != after]
    assert changes == [True, False, True]


# Notices and states of nodes of the version before, which may be of no revision


def make_endpoint(name, revision, **fields):
    host = f"10.0.0.{name[1:]}"
    values = {"draining": False, "warmup_s": 0.0, "born_ms": 1} | fields
    return Endpoint(name, "s", host, 80, "z", 4, revision=revision, **values)


def make_notice(since, revision, endpoints=(), removed=()):
    return ChangeNotice(since, revision, 0, None, tuple(endpoints), tuple(removed))


def test_live_worker_that_a_notice_leaves_out_is_kept():
    """Guards against removals by `since`: a node had published the worker before.

    It had found it in a later page of its first list.
    """
    directory = Directory()
    directory.load([make_endpoint("w1", 5), make_endpoint("w2", 12)], 13, 1.0)
    assert not directory.apply_changes(make_notice(10, 14), 2.0)
    assert set(directory.endpoints) == {"w1", "w2"}
    assert directory.revision == 13
    endpoints = tuple(directory.endpoints.values())
    assert directory.apply_state(StateNotice(MeshState(14, None, endpoints), None), 3.0)
    assert set(directory.endpoints) == {"w1", "w2"}


def test_worker_that_left_between_two_notices_is_dropped_with_the_state():
    """Guards against the fault of a reader that was suspended meanwhile."""
    directory = Directory()
    directory.load([make_endpoint("w1", 5), make_endpoint("w2", 12)], 13, 1.0)
    assert not directory.apply_changes(make_notice(10, 14), 2.0)
    state = MeshState(14, None, (make_endpoint("w1", 5),))
    assert directory.apply_state(StateNotice(state, None), 3.0)
    assert set(directory.endpoints) == {"w1"}


@pytest.mark.parametrize(
    ("known", "told"),
    [
        (make_endpoint("w2", 11), make_endpoint("w2", 14, draining=True)),
        (make_endpoint("w2", 11), make_endpoint("w2", 14, born_ms=2)),
    ],
)
def test_worker_that_drains_or_starts_again_is_applied_with_the_notice(known, told):
    """Guards against a whole state where the notice tells all."""
    directory = Directory()
    directory.load([known], 13, 1.0)
    assert directory.apply_changes(make_notice(10, 14, [told]), 2.0)
    assert directory.endpoints == {"w2": told}


def test_worker_that_has_left_and_come_back_is_used_again():
    """Guards against a departure that keeps a later entry out."""
    directory = Directory()
    directory.load([make_endpoint("w2", 11)], 12, 1.0)
    assert directory.apply_changes(make_notice(12, 13, (), ["w2"]), 2.0)
    back = make_endpoint("w2", 14, born_ms=2)
    assert directory.apply_changes(make_notice(10, 15, [back]), 3.0)
    assert directory.endpoints == {"w2": back}


def test_write_that_is_read_late_brings_no_worker_back():
    """Guards against an answer of the store on its way while another node is ahead."""
    directory = Directory()
    directory.load([make_endpoint("w1", 5)], 13, 1.0)
    directory.put(make_endpoint("w2", 11))
    assert set(directory.endpoints) == {"w1"}
    directory.put(make_endpoint("w2", 14))
    assert set(directory.endpoints) == {"w1", "w2"}


def test_held_entry_is_no_reason_to_fetch_the_state():
    """Guards against a state for each notice after an outage of the store."""
    directory = Directory()
    directory.load([make_endpoint("w1", 5), make_endpoint("w2", 12)], 12, 1.0)
    directory.record_store_outage()
    directory.record_store_recovery(2.0)
    directory.remove("w2", 13, 2.1)
    assert set(directory.endpoints) == {"w1", "w2"}
    directory.revision = 13
    assert directory.apply_changes(make_notice(10, 14), 2.2)


def test_changes_from_before_a_restore_are_completed_by_the_state():
    """Guards against workers of the copy that a node behind the restore lacks."""
    directory = Directory()
    directory.load([make_endpoint("w1", 5)], 13, 1.0)
    copied = make_endpoint("w2", make_revision(1, 8), born_ms=2)
    directory.load([copied], make_revision(1, 9), 2.0)
    notice = make_notice(13, make_revision(1, 10))
    assert not directory.apply_changes(notice, 3.0)
    state = MeshState(make_revision(1, 10), None, (copied,))
    assert directory.apply_state(StateNotice(state, None), 3.1)
    assert directory.listed == {"w2": copied}


def test_publisher_names_what_was_written_after_its_last_notice():
    """Guards against receivers that ask for the state although nothing is missing."""
    publication, endpoint = Publication(), make_endpoint("w1", 12)
    publication.mark(10, None, {"w1": endpoint})
    history = Directory().history
    changes = publication.collect(13, None, history, {"w1": endpoint})
    assert changes.endpoints == (endpoint,)
