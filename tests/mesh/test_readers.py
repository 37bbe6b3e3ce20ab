"""Guards who reads the store, and what the others are told."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mangowell_core.mesh import (
    CallerLimits,
    Directory,
    Endpoint,
    MeshDocument,
    MeshRoute,
    Publication,
    ReaderElection,
    ReaderReport,
)
from mangowell_core.mesh.changes import MAX_KEPT_DOCUMENTS, apply_delta, compute_delta
from mangowell_core.mesh.model import ChangeNotice
from mangowell_core.mesh.readers import (
    READERS_PER_DOMAIN,
    REPORT_TTL_S,
    RESUME_DELAY_S,
    STEP_DOWN_DELAY_S,
)

STEP_S = 0.1
STATUS_S = 0.5


class Fleet:
    """Nodes of one failure domain that hear each other every `STATUS_S`."""

    def __init__(self, speeds):
        self.nodes = {
            f"n{number}": ReaderElection(f"n{number}", speed)
            for number, speed in enumerate(speeds)
        }
        self.speeds = dict(zip(self.nodes, speeds, strict=True))
        self.dead = set()
        self.turned_away = set()
        self.now = 0.0
        self.asked = set()

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now = round(self.now + STEP_S, 3)
            for name, election in self.nodes.items():
                if name not in self.dead:
                    is_up = name not in self.turned_away
                    if election.decide(self.now, is_up):
                        self.asked.add(name)
            if not round(self.now / STEP_S) % round(STATUS_S / STEP_S):
                self.exchange()

    def exchange(self):
        for name, election in self.nodes.items():
            if name in self.dead:
                continue
            reads = election.is_reading and name not in self.turned_away
            report = ReaderReport(self.speeds[name], reads, False)
            for other, peer in self.nodes.items():
                if other != name:
                    peer.note(name, report, self.now)

    @property
    def serving(self):
        return {
            name
            for name, election in self.nodes.items()
            if election.is_reading
            and name not in self.dead
            and name not in self.turned_away
        }


def test_the_fastest_two_read_after_the_start():
    fleet = Fleet([5, 100, 5, 100, 5, 50])
    fleet.run(REPORT_TTL_S + STEP_DOWN_DELAY_S + 1)
    assert fleet.serving == {"n1", "n3"}


@pytest.mark.parametrize("lost", [1, 2])
def test_lost_readers_are_replaced_within_the_time_of_a_change(lost):
    """Changes have to be in force 2 s after the store has taken them."""
    fleet = Fleet([5] * 27)
    fleet.run(5)
    fleet.dead = set(sorted(fleet.serving)[:lost])
    fleet.run(1.9)
    assert len(fleet.serving) >= READERS_PER_DOMAIN


def test_readers_that_the_store_turns_away_are_replaced():
    fleet = Fleet([5] * 27)
    fleet.run(5)
    fleet.turned_away = set(fleet.serving)
    fleet.run(1.5)
    assert fleet.serving


def test_store_that_is_away_is_not_asked_by_all_nodes_at_once():
    fleet = Fleet([5] * 27)
    fleet.run(5)
    fleet.turned_away = set(fleet.nodes)
    fleet.asked.clear()
    fleet.run(1.5)
    assert 2 <= len(fleet.asked) <= 8


def test_substitutes_stop_once_the_readers_are_back():
    fleet = Fleet([100, 100, 5, 5, 5])
    fleet.run(5)
    fleet.turned_away = {"n0", "n1"}
    fleet.run(3)
    assert fleet.serving <= {"n2", "n3", "n4"}
    fleet.turned_away = set()
    fleet.run(RESUME_DELAY_S + STEP_DOWN_DELAY_S + 1)
    assert fleet.serving == {"n0", "n1"}


def test_node_that_hears_nobody_reads():
    """A failure domain goes on alone, and so does a node."""
    election = ReaderElection("n1", 5)
    now = 0.0

    def hear_two_readers():
        for number in range(2):
            report = ReaderReport(100, True, False)
            election.note(f"n{number + 2}", report, now)

    hear_two_readers()
    assert election.decide(now, True)
    now += STEP_DOWN_DELAY_S
    hear_two_readers()
    assert not election.decide(now, True)
    now += REPORT_TTL_S + 0.1
    assert election.decide(now, True)


def test_one_of_the_readers_tells_the_others():
    fleet = Fleet([5, 100, 100, 5])
    fleet.run(5)
    publishers = [n for n, e in fleet.nodes.items() if e.is_publisher(fleet.now)]
    assert publishers == ["n1"]


# Changes


def make_route(name, timeout_s=1.0):
    parts = (("s", 1.0),)
    return MeshRoute(name, "h", f"/{name}/", True, timeout_s, 0.5, 1, 2, parts)


def make_document(version, routes):
    return MeshDocument(version, tuple(routes), (), CallerLimits())


def make_endpoint(name, revision, draining=False):
    return Endpoint(name, "s", f"10.0.0.{name}", 80, "z", 4, draining, 0.0, 1, revision)


@given(
    old=st.dictionaries(st.integers(0, 9), st.integers(1, 3)),
    new=st.dictionaries(st.integers(0, 9), st.integers(1, 3)),
)
def test_delta_leads_from_any_document_to_any_other(old, new):
    first = make_document(1, [make_route(str(n), t) for n, t in old.items()])
    second = make_document(2, [make_route(str(n), t) for n, t in new.items()])
    reached = apply_delta(first, compute_delta(first, second))
    assert reached.version == 2
    assert set(reached.routes) == set(second.routes)


def test_delta_is_not_applied_to_another_version():
    first, second = make_document(1, []), make_document(2, [make_route("a")])
    with pytest.raises(ValueError, match="version 1"):
        apply_delta(make_document(3, []), compute_delta(first, second))


def test_one_changed_route_of_many_costs_one_route():
    """A document of 1,600 routes takes half a second of a 5 Mbit/s link."""
    directory, publication = Directory(), Publication()
    routes = [make_route(str(n)) for n in range(1600)]
    directory.take_document(make_document(1, routes))
    directory.revision = 4
    collect(directory, publication)
    routes[7] = make_route("7", 9.0)
    directory.take_document(
        make_document(2, [make_route(r.name, r.timeout_s) for r in routes])
    )
    directory.revision = 5
    delta = collect(directory, publication).delta
    assert [route.name for route in delta.routes] == ["7"]
    assert not delta.removed
    assert delta.services is None


def collect(directory, publication):
    return publication.collect(
        directory.revision,
        directory.document,
        directory.history,
        directory.endpoints,
    )


def test_repeated_changes_are_no_news():
    """Two nodes that both told the others answered each other without end."""
    directory, publication = Directory(), Publication()
    directory.load([make_endpoint("1", 3)], 3, 0.0)
    collect(directory, publication)
    changes = ChangeNotice(3, 3, 0, None, (make_endpoint("1", 3),), ())
    epoch = directory.epoch
    assert directory.take_changes(changes, 1.0)
    assert directory.epoch == epoch
    assert collect(directory, publication) is None


@pytest.mark.parametrize("seed", range(20))
def test_follower_ends_with_the_state_of_the_reader(seed):
    """Notices get lost, come from two readers and lag behind fetched states."""
    rng = random.Random(seed)
    readers = [Directory(), Directory()]
    publications = [Publication(), Publication()]
    follower = Directory()
    routes = {str(n): make_route(str(n)) for n in range(8)}
    revision = version = 1
    endpoints = {}

    def follow(notice, source):
        before = follower.revision, follower.document and follower.document.version
        if notice is not None and not follower.take_changes(notice, 99.0):
            known = follower.document.version if follower.document else 0
            if rng.random() < 0.7:
                follower.adopt(source.export(known), 99.0)
        after = follower.revision, follower.document and follower.document.version
        assert before <= after or before[1] is None

    for _ in range(200):
        revision += rng.randint(1, 3)
        if rng.random() < 0.5:
            version += 1
            name = str(rng.randint(0, 12))
            if rng.random() < 0.3:
                routes.pop(name, None)
            else:
                routes[name] = make_route(name, rng.randint(1, 5))
        else:
            name = str(rng.randint(1, 6))
            if endpoints.pop(name, None) is None or rng.random() < 0.5:
                endpoints[name] = make_endpoint(name, revision, rng.random() < 0.3)
        for reader, publication in zip(readers, publications, strict=True):
            if rng.random() < 0.5:
                continue
            reader.take_document(make_document(version, routes.values()))
            reader.load(endpoints.values(), revision, 99.0)
            notice = collect(reader, publication)
            if rng.random() < 0.8:
                follow(notice, reader)
    reader, publication = readers[0], publications[0]
    reader.take_document(make_document(version, routes.values()))
    reader.load(endpoints.values(), revision, 99.0)
    notice = collect(reader, publication)
    if notice is None or not follower.take_changes(notice, 99.0):
        follower.adopt(reader.export(0), 99.0)
    assert follower.revision == revision
    assert follower.document.version == version
    assert set(follower.document.routes) == set(routes.values())
    assert follower.endpoints == endpoints


def test_history_is_bounded_and_a_whole_document_replaces_what_is_forgotten():
    directory = Directory()
    for version in range(1, MAX_KEPT_DOCUMENTS + 3):
        directory.take_document(make_document(version, [make_route("a")]))
    assert directory.export(1).delta is None
    assert directory.export(1).state.document is directory.document
    recent = directory.export(MAX_KEPT_DOCUMENTS)
    assert recent.delta is not None
    assert recent.state.document is None
