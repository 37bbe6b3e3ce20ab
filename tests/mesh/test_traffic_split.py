"""Guards the shares of a split over any series of documents."""

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from mangowell_core.mesh import MeshRoute
from mangowell_core.mesh.routes import TrafficSplitter

# The platform allows a share of 200 requests or more to be this far off its weight's.
ALLOWED_OFF = 0.2


def make_route(**weights):
    return MeshRoute("r", "h", "/", True, 1, 1, 1, 2, tuple(weights.items()))


def count_choices(splitters, route, count):
    """Return the services of a number of requests, sent to the nodes in turn."""
    return Counter(
        splitters[number % len(splitters)].select_service(route)
        for number in range(count)
    )


def make_nodes(count, seed=1):
    return [TrafficSplitter(random.Random(f"{seed}-{n}")) for n in range(count)]


def assert_shares(counts, weights):
    total = sum(weights.values())
    for name, weight in weights.items():
        share = counts[name] / counts.total()
        assert abs(share - weight / total) <= ALLOWED_OFF, (name, counts)


def test_new_weights_of_another_scale_are_in_force_at_once():
    """Guards against an account in the units of the old weights.

    After 90 to 10, equal weights of 1 gave 240 of 240 requests to one service.
    """
    nodes = make_nodes(6)
    count_choices(nodes, make_route(a=90, b=10), 30)
    weights = {"a": 1, "b": 1}
    assert_shares(count_choices(nodes, make_route(**weights), 240), weights)
    assert count_choices(nodes, make_route(a=1, b=0), 60) == {"a": 60}
    assert count_choices(nodes, make_route(a=0, b=1e-9), 60) == {"b": 60}


def test_document_before_each_request_keeps_the_shares():
    """Guards against an account that starts anew with each document."""
    node = TrafficSplitter(random.Random(1))
    counts = Counter(
        node.select_service(make_route(a=scale, b=scale)) for scale in range(1, 201)
    )
    assert counts == {"a": 100, "b": 100}


def test_few_requests_at_each_of_many_nodes_keep_the_shares():
    """Guards against nodes that all begin a split with the same service."""
    nodes = make_nodes(195)
    for weights in (
        {"a": 1, "b": 1, "c": 1},
        {"b": 1, "c": 1, "d": 1},
        {"a": 5, "b": 5, "c": 5, "d": 5},
        {"a": 5, "d": 15},
    ):
        assert_shares(count_choices(nodes, make_route(**weights), 200), weights)


NAMES = "abcd"
WEIGHTS = st.one_of(
    st.just(0.0),
    st.floats(0, 1e12, allow_subnormal=True),
    st.integers(0, 100).map(float),
)
SPLITS = st.dictionaries(st.sampled_from(NAMES), WEIGHTS, min_size=2, max_size=4)


@given(
    st.lists(
        st.tuples(SPLITS.filter(lambda s: sum(s.values())), st.integers(1, 40)),
        min_size=1,
        max_size=8,
    ),
    st.integers(0, 9),
)
def test_any_series_of_splits_keeps_the_stated_bound(series, seed):
    """Guards against weights of 0 that get requests, and shares that drift."""
    node = TrafficSplitter(random.Random(seed))
    for weights, count in series:
        counts = count_choices([node], make_route(**weights), count)
        assert all(weights[name] for name in counts)
        total = sum(weights.values())
        for position, name in enumerate(sorted(weights), 1):
            expected = count * (weights[name] / total)
            assert abs(counts[name] - expected) < position + 1e-9


@given(st.lists(SPLITS, min_size=1, max_size=4), st.randoms(use_true_random=False))
def test_each_request_has_the_probability_of_its_share(series, rng):
    """Guards against a service that all nodes prefer after a series of documents."""
    series = [split for split in series if sum(split.values())]
    nodes = make_nodes(1000, rng.random())
    for split in series:
        counts = count_choices(nodes, make_route(**split), 1000)
        total = sum(split.values())
        for name, weight in split.items():
            # Six standard deviations of independent draws.
            assert abs(counts[name] / 1000 - weight / total) < 6 * 0.5 / 1000**0.5
