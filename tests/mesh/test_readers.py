"""Tests which nodes read the store and which changes they publish."""

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
    FAILED_READER_PAUSE_S,
    READERS_PER_DOMAIN,
    REPORT_TTL_S,
    RESUME_DELAY_S,
    STEP_DOWN_DELAY_S,
)

STEP_S = 0.1
STATUS_INTERVAL_S = 0.5


class SimulatedDomain:
    """Nodes of one failure domain that exchange reports every `STATUS_INTERVAL_S`."""

    def __init__(self, link_speeds):
        self.nodes = {
            f"n{number}": ReaderElection(f"n{number}", speed)
            for number, speed in enumerate(link_speeds)
        }
        self.link_speeds = dict(zip(self.nodes, link_speeds, strict=True))
        self.crashed = set()
        self.rejected_by_store = set()
        self.failing = set()
        self.now = 0.0
        self.store_clients = set()

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now = round(self.now + STEP_S, 3)
            for name, election in self.nodes.items():
                if name not in self.crashed:
                    if name in self.failing:
                        election.record_failure(self.now)
                    is_store_up = name not in self.rejected_by_store | self.failing
                    if election.decide(self.now, is_store_up):
                        self.store_clients.add(name)
            if not round(self.now / STEP_S) % round(STATUS_INTERVAL_S / STEP_S):
                self.exchange_reports()

    def exchange_reports(self):
        for name, election in self.nodes.items():
            if name in self.crashed:
                continue
            unable = self.rejected_by_store | self.failing
            is_reading = election.is_reading and name not in unable
            report = ReaderReport(election.get_link_mbps(self.now), is_reading, False)
            for other, peer in self.nodes.items():
                if other != name:
                    peer.record_report(name, report, self.now)

    @property
    def serving(self):
        return {
            name
            for name, election in self.nodes.items()
            if election.is_reading
            and name not in self.crashed
            and name not in self.rejected_by_store | self.failing
        }


def test_two_nodes_with_the_fastest_links_read_after_the_start():
    domain = SimulatedDomain([5, 100, 5, 100, 5, 50])
    domain.run(REPORT_TTL_S + STEP_DOWN_DELAY_S + 1)
    assert domain.serving == {"n1", "n3"}


@pytest.mark.parametrize("crashed_readers", [1, 2])
def test_crashed_readers_are_replaced_within_two_seconds(crashed_readers):
    """A change must be applied within 2 s after the store has accepted it."""
    domain = SimulatedDomain([5] * 27)
    domain.run(5)
    domain.crashed = set(sorted(domain.serving)[:crashed_readers])
    domain.run(1.9)
    assert len(domain.serving) >= READERS_PER_DOMAIN


def test_readers_rejected_by_the_store_are_replaced():
    domain = SimulatedDomain([5] * 27)
    domain.run(5)
    domain.rejected_by_store = set(domain.serving)
    domain.run(1.5)
    assert domain.serving


def test_unavailable_store_is_not_read_by_all_nodes_at_once():
    domain = SimulatedDomain([5] * 27)
    domain.run(5)
    domain.rejected_by_store = set(domain.nodes)
    domain.store_clients.clear()
    domain.run(1.5)
    assert 2 <= len(domain.store_clients) <= 8


def test_substitutes_stop_after_the_preferred_readers_recover():
    domain = SimulatedDomain([100, 100, 5, 5, 5])
    domain.run(5)
    domain.rejected_by_store = {"n0", "n1"}
    domain.run(3)
    assert domain.serving <= {"n2", "n3", "n4"}
    domain.rejected_by_store = set()
    domain.run(RESUME_DELAY_S + STEP_DOWN_DELAY_S + 1)
    assert domain.serving == {"n0", "n1"}


def test_failing_reader_is_not_elected_again_at_once():
    """Its task may run for seconds before the input that ends it comes again."""
    domain = SimulatedDomain([100, 100, 5, 5, 5])
    domain.run(5)
    domain.failing = {"n0"}
    domain.run(1.9)
    assert len(domain.serving) >= READERS_PER_DOMAIN
    domain.run(2)
    domain.failing = set()
    domain.run(RESUME_DELAY_S + STEP_DOWN_DELAY_S + 1)
    assert "n0" not in domain.serving
    assert len(domain.serving) == READERS_PER_DOMAIN
    domain.run(FAILED_READER_PAUSE_S)
    assert domain.serving == {"n0", "n1"}


@pytest.mark.parametrize("nodes", [1, 2, 5])
def test_last_possible_readers_go_on_though_they_fail(nodes):
    domain = SimulatedDomain([5] * nodes)
    domain.run(5)
    domain.failing = set(domain.nodes)
    domain.run(5)
    assert sum(e.is_reading for e in domain.nodes.values()) >= min(2, nodes)
    domain.failing = set()
    domain.run(0.5)
    assert len(domain.serving) >= min(2, nodes)


def test_node_without_reports_from_others_reads():
    """An isolated failure domain, or a single node, has to read by itself."""
    election = ReaderElection("n1", 5)
    now = 0.0

    def record_two_reader_reports():
        for number in range(2):
            report = ReaderReport(100, True, False)
            election.record_report(f"n{number + 2}", report, now)

    record_two_reader_reports()
    assert election.decide(now, True)
    now += STEP_DOWN_DELAY_S
    record_two_reader_reports()
    assert not election.decide(now, True)
    now += REPORT_TTL_S + 0.1
    assert election.decide(now, True)


def test_exactly_one_reader_publishes_changes():
    domain = SimulatedDomain([5, 100, 100, 5])
    domain.run(5)
    publishers = [n for n, e in domain.nodes.items() if e.is_publisher(domain.now)]
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
def test_applied_delta_reproduces_the_new_document(old, new):
    first = make_document(1, [make_route(str(n), t) for n, t in old.items()])
    second = make_document(2, [make_route(str(n), t) for n, t in new.items()])
    result = apply_delta(first, compute_delta(first, second))
    assert result.version == 2
    assert set(result.routes) == set(second.routes)


def test_delta_for_another_version_is_rejected():
    first, second = make_document(1, []), make_document(2, [make_route("a")])
    with pytest.raises(ValueError, match="version 1"):
        apply_delta(make_document(3, []), compute_delta(first, second))


def test_delta_contains_only_the_changed_route():
    """A document of 1,600 routes occupies a 5 Mbit/s link for half a second."""
    directory, publication = Directory(), Publication()
    routes = [make_route(str(n)) for n in range(1600)]
    directory.apply_document(make_document(1, routes))
    directory.revision = 4
    collect_changes(directory, publication)
    routes[7] = make_route("7", 9.0)
    directory.apply_document(
        make_document(2, [make_route(r.name, r.timeout_s) for r in routes])
    )
    directory.revision = 5
    delta = collect_changes(directory, publication).delta
    assert [route.name for route in delta.routes] == ["7"]
    assert not delta.removed
    assert delta.services is None


def collect_changes(directory, publication):
    return publication.collect(
        directory.revision,
        directory.document,
        directory.history,
        directory.endpoints,
    )


def test_repeated_changes_are_not_published_again():
    """Two nodes that both published answered each other's changes without end."""
    directory, publication = Directory(), Publication()
    directory.load([make_endpoint("1", 3)], 3, 0.0)
    collect_changes(directory, publication)
    changes = ChangeNotice(3, 3, 0, None, (make_endpoint("1", 3),), ())
    epoch = directory.epoch
    assert directory.apply_changes(changes, 1.0)
    assert directory.epoch == epoch
    assert collect_changes(directory, publication) is None


@pytest.mark.parametrize("seed", range(20))
def test_follower_converges_to_the_state_of_the_reader(seed):
    """Notices are lost, come from two readers and are older than fetched states."""
    rng = random.Random(seed)
    readers = [Directory(), Directory()]
    publications = [Publication(), Publication()]
    follower = Directory()
    routes = {str(n): make_route(str(n)) for n in range(8)}
    revision = version = 1
    endpoints = {}

    def follow(notice, source):
        before = follower.revision, follower.document and follower.document.version
        if notice is not None and not follower.apply_changes(notice, 99.0):
            known = follower.document.version if follower.document else 0
            if rng.random() < 0.7:
                follower.apply_state(source.export(known), 99.0)
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
            reader.apply_document(make_document(version, routes.values()))
            reader.load(endpoints.values(), revision, 99.0)
            notice = collect_changes(reader, publication)
            if rng.random() < 0.8:
                follow(notice, reader)
    reader, publication = readers[0], publications[0]
    reader.apply_document(make_document(version, routes.values()))
    reader.load(endpoints.values(), revision, 99.0)
    notice = collect_changes(reader, publication)
    if notice is None or not follower.apply_changes(notice, 99.0):
        follower.apply_state(reader.export(0), 99.0)
    assert follower.revision == revision
    assert follower.document.version == version
    assert set(follower.document.routes) == set(routes.values())
    assert follower.endpoints == endpoints


def test_version_dropped_from_the_history_gets_the_whole_document():
    directory = Directory()
    for version in range(1, MAX_KEPT_DOCUMENTS + 3):
        directory.apply_document(make_document(version, [make_route("a")]))
    assert directory.export(1).delta is None
    assert directory.export(1).state.document is directory.document
    recent = directory.export(MAX_KEPT_DOCUMENTS)
    assert recent.delta is not None
    assert recent.state.document is None
