"""Guards against heads within the limits that take work out of proportion."""

import random
from time import process_time

import pytest

from mangowell_core.mesh.routes import RouteTable
from mangowell_node.platform.document import decode_document
from mangowell_standins.platform_values import HOST, make_document, make_route
from mesh.support_mesh import run_mesh, until

# Work that is proportional to the length grows by 8, its square by 64.
LENGTHS = (15_000, 120_000)
MAX_GROWTH = 24
REPEATS = 5


def measure_growth(function, make_argument):
    """Return by how much the least processor time grows with the length."""
    times = []
    for length in LENGTHS:
        argument = make_argument(length)
        seconds = []
        for _ in range(REPEATS):
            started = process_time()
            for _ in range(20):
                function(argument)
            seconds.append(process_time() - started)
        # A call that takes next to nothing has no measurable growth.
        times.append(max(min(seconds), 1e-4))
    return times[1] / times[0]


def make_table(*prefixes):
    routes = {f"r{n}": make_route(prefix) for n, prefix in enumerate(prefixes)}
    return RouteTable(decode_document(make_document(routes=routes)))


@pytest.mark.parametrize("pattern", ["/", "a/", "/a", "//a"])
@pytest.mark.parametrize("prefixes", [("/a/",), ("/", "/a/", "/a/b/c/")])
def test_path_of_many_segments_takes_work_in_proportion(pattern, prefixes):
    """A path of 15,000 slashes took 29 ms, another one of its length 0.5 ms."""
    table = make_table(*prefixes)
    growth = measure_growth(
        lambda path: table.match(HOST, path),
        lambda length: "/" + (pattern * length)[:length],
    )
    assert growth < MAX_GROWTH


@pytest.mark.parametrize("pattern", [".", "a.", "running."])
async def test_id_of_many_parts_takes_work_in_proportion(pattern):
    """32 requests with ids of 15,000 dots kept a node from answering for seconds."""
    async with run_mesh() as (_, (machine,)):
        runner = machine.node.runner
        runner._running_priorities.update({"other": 1, "running": 2})
        growth = measure_growth(
            runner.find_parent_priority, lambda length: (pattern * length)[:length]
        )
        assert growth < MAX_GROWTH


async def test_parent_of_a_call_is_the_first_running_request_of_its_id():
    async with run_mesh() as (_, (machine,)):
        runner = machine.node.runner
        runner._running_priorities.update({"a": 1, "a.b": 2, "ab": 3, "": 4})
        find = runner.find_parent_priority
        assert [find(i) for i in ("a.x", "a.b.x", "ab.x", ".x")] == [1, 1, 3, 4]
        assert [find(i) for i in ("a", "a.b", "abc.x", "x.a", "b.x")] == [
            None,
            1,
            None,
            None,
            None,
        ]


def match_by_segments(routes, path):
    """Return the route of the longest prefix that ends with a segment of the path."""
    for end in range(len(path), 0, -1):
        if path[end - 1] == "/" and path[:end] in routes:
            return routes[path[:end]]
    return None


def test_routes_match_as_before_for_all_paths():
    """The longest prefix of whole segments matches, whatever others there are."""
    rng = random.Random(1)

    def make_path():
        return "/" + "".join(
            rng.choice(["a", "b", "/"]) for _ in range(rng.randrange(6))
        )

    for _ in range(500):
        prefixes = {f"{make_path()}/" for _ in range(rng.randrange(1, 6))}
        table = make_table(*prefixes)
        routes = table._hosts[HOST][0]
        for _ in range(10):
            path = make_path()
            assert table.match(HOST, path) is match_by_segments(routes, path)


async def test_ordinary_requests_go_on_beside_long_ids():
    async with run_mesh() as (_, (machine,)):
        answers = [
            await machine.call(request="." * 15_000),
            await machine.call("/" * 15_000),
            await machine.call("/x"),
        ]
        assert [answer.status for answer in answers] == [200] * 3
        await until(lambda: machine.node.gateway.in_flight == 0)
