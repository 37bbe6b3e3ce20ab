import io
import json
import socket
import sys
import threading
import types
from pathlib import Path

import pytest

from mangowell_cli.internal.output import Progress
from mangowell_core.document import parse_document

EXAMPLES = Path(__file__).parents[2] / "examples"
TRIAL = EXAMPLES / "ventilaris/trial.ini"
PRODUCTION = EXAMPLES / "ventilaris/production.ini"
DOC = parse_document(TRIAL.read_text()).unwrap()
REFUSED = {"version": 27, "digest": DOC.digest, "reason": "no such class"}


@pytest.fixture
def closed_port():
    """Yield the address of a port that refuses connections."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{sock.getsockname()[1]}"


def promote(run, nodes, *more):
    addresses = ",".join(nodes)
    common = ("--to", "production", "--current", PRODUCTION)
    return run("promote", TRIAL, *common, "--nodes", addresses, *more)


def test_promotion_raises_the_production_version(run, serve, make_status, tmp_path):
    nodes = [serve(make_status(DOC)).address for _ in range(2)]
    output = tmp_path / "out.ini"
    code, out, err = promote(run, nodes, "--output", output)
    assert (code, out) == (0, "")
    assert "version: 63 -> 64" in err
    promoted = parse_document(output.read_text()).unwrap()
    assert (promoted.environment, promoted.version) == ("production", 64)
    assert promoted.routes == DOC.routes
    assert list(tmp_path.iterdir()) == [output]


def test_promotion_to_standard_output(run, serve, make_status):
    node = serve(make_status(DOC)).address
    _, text, _ = promote(run, [node])
    code, out, _ = promote(run, [node], "--json")
    report = json.loads(out)
    assert (code, report["promoted"], report["document"]) == (0, True, text)
    assert report["digest"] == parse_document(text).unwrap().digest


@pytest.mark.parametrize(
    "changes",
    [
        *({"version": version} for version in (26, None, "27")),
        *({"digest": digest} for digest in ("0" * 64, None)),
        {"environment": "production"},
        {"ready": False},
    ],
)
def test_promotion_is_refused_if_one_node_runs_something_else(
    run, serve, make_status, tmp_path, changes
):
    nodes = [serve(make_status(DOC)).address]
    nodes.append(serve(make_status(DOC, **changes)).address)
    code, out, err = promote(run, nodes, "--output", tmp_path / "out.ini")
    assert (code, out) == (1, "")
    assert nodes[1] in err
    assert nodes[0] not in err
    assert not list(tmp_path.iterdir())


def test_promotion_is_refused_if_a_node_is_unreachable(
    run, serve, make_status, closed_port
):
    node = serve(make_status(DOC)).address
    code, out, _ = promote(run, [node, closed_port], "--json")
    assert (code, json.loads(out)["promoted"]) == (1, False)
    assert promote(run, [closed_port])[0] == 3


@pytest.mark.parametrize("nodes", ["", "127.0.0.1", "127.0.0.1:0", "http://a:1"])
def test_promotion_needs_valid_nodes(run, nodes):
    code, _, err = promote(run, [nodes])
    assert code == 2
    assert "nodes" in err


def test_promotion_is_refused_for_wrong_environments_or_output(
    run, serve, make_status, tmp_path
):
    common = ("--nodes", "127.0.0.1:1", "--current", PRODUCTION)
    assert run("promote", TRIAL, "--to", "staging", *common)[0] == 2
    assert run("promote", PRODUCTION, "--to", "production", *common)[0] == 2
    assert promote(run, ["127.0.0.1:1"], "--output", TRIAL)[0] == 2


def test_failed_write_leaves_the_old_file(run, serve, make_status, tmp_path):
    node = serve(make_status(DOC)).address
    code, _, err = promote(run, [node], "--output", tmp_path / "none" / "out.ini")
    assert code == 2
    assert "cannot be written" in err


def show_status(run, *argv):
    code, out, _ = run("status", "--json", *argv)
    report = json.loads(out)
    return code, {n["node"]: (n["state"], n["reason"]) for n in report["nodes"]}


@pytest.mark.parametrize(
    ("changes", "state", "reason"),
    [
        ({"version": 26, "source": "down"}, "behind", "source down"),
        ({"digest": "0"}, "conflict", "another digest"),
        ({"ready": False}, "not-ready", "accepts no calls"),
        ({"version": 0, "digest": ""}, "behind", "has not learned"),
        ({"version": 26, "refused": [REFUSED]}, "refused", "no such class"),
    ],
)
def test_status_says_why_a_node_is_not_current(
    run, serve, make_status, changes, state, reason
):
    good = [serve(make_status(DOC)).address for _ in range(2)]
    bad = serve(make_status(DOC, **changes)).address
    code, nodes = show_status(run, "--nodes", ",".join([*good, bad]))
    assert code == 1
    assert [nodes[address][0] for address in good] == ["current", "current"]
    assert nodes[bad][0] == state
    assert reason in nodes[bad][1]


def test_status_of_a_healthy_fleet(run, serve, make_status):
    nodes = [serve(make_status(DOC)), serve(make_status(DOC, draining=True))]
    code, out, _ = run("status", "--nodes", ",".join(n.address for n in nodes))
    assert code == 0
    assert "1 current, 1 draining" in out
    assert "2023-11-14 22:13:20Z" in out


def test_status_shows_a_version_that_every_node_refuses(run, serve, make_status):
    """A fleet that keeps its last valid version must not be shown as current."""
    refused = [{"version": DOC.version + 1, "digest": "f" * 64, "reason": "no class"}]
    node = serve(make_status(DOC, refused=refused)).address
    code, nodes = show_status(run, "--nodes", node)
    assert code == 1
    assert nodes[node] == ("refused", "no class")


def test_status_against_a_document(run, serve, make_status, tmp_path):
    node = serve(make_status(DOC)).address
    newer = tmp_path / "newer.ini"
    newer.write_text(TRIAL.read_text().replace("= 27", "= 28"))
    for path, state in ((newer, "behind"), (TRIAL, "current")):
        code, nodes = show_status(run, "--nodes", node, "--document", path)
        assert (code, nodes[node][0]) == (int(state == "behind"), state)


def test_status_takes_nodes_from_an_instance_list(
    run, serve, make_status, closed_port, tmp_path
):
    node = serve(make_status(DOC)).address
    ports = [address.rpartition(":")[2] for address in (node, closed_port)]
    path = tmp_path / "instances"
    path.write_text(
        "# revision 1\n"
        f"a stock d1 127.0.0.1 1 2 3 {ports[0]} 4 live\n"
        f"b stock d1 127.0.0.1 1 2 3 {ports[1]} 4 leaving\n"
    )
    code, nodes = show_status(run, "--instances", path)
    # A leaving instance may have stopped already, so this is no finding.
    assert (code, nodes[closed_port][0]) == (0, "leaving")
    code, nodes = show_status(run, "--instances", path, "--findings")
    assert nodes == {}


@pytest.mark.parametrize(
    ("status", "http_status", "reason"),
    [
        (b"<html>", 200, "answer is not JSON"),
        (b"[" * 100_000, 200, "answer is not JSON"),
        (b"\xff", 200, "answer is not JSON"),
        ([], 200, "unexpected answer"),
        ({}, 200, "unexpected answer"),
        ({}, 500, "HTTP status 500"),
        (b" " * 8_000_001, 200, "above 8000000 bytes"),
    ],
)
def test_faulty_answer_counts_as_unreachable(run, serve, status, http_status, reason):
    node = serve(status, http_status=http_status).address
    code, nodes = show_status(run, "--nodes", node)
    assert (code, nodes[node][0]) == (3, "unreachable")
    assert reason in nodes[node][1]


def test_node_without_answer_does_not_delay_the_others(run, serve, make_status):
    release = threading.Event()
    silent = serve(make_status(DOC), release=release).address
    node = serve(make_status(DOC)).address
    common = ("--nodes", f"{silent},{node}")
    code, nodes = show_status(run, *common, "--timeout-s", "0.3")
    assert (code, nodes[silent][1], nodes[node][0]) == (
        1,
        "no answer in time",
        "current",
    )
    code, nodes = show_status(run, *common, "--deadline-s", "0.3")
    assert nodes[silent][1] == "no answer before the deadline"
    release.set()


def test_answer_cannot_send_control_characters_to_the_terminal(run, serve, make_status):
    node = serve(make_status(DOC, instance="\x1b[2J")).address
    assert "\x1b" not in run("status", "--nodes", node)[1]


def make_event(time, name, **fields):
    return {"time": time, "code": 202, "name": name, "fields": fields}


def test_explain_merges_nodes_in_the_order_of_time(run, serve):
    first = serve({}, events=[make_event(3, "c"), make_event(1, "a", version=41)])
    second = serve({}, events=[make_event(2.25, "b")])
    nodes = ("--nodes", f"{first.address},{second.address}")
    code, out, _ = run("explain", "--version", "41", *nodes)
    assert code == 0
    assert first.queries == [{"version": "41"}]
    rows = [line.split()[4] for line in out.splitlines()[1:]]
    assert rows == ["a", "b", "c"]
    assert "1970-01-01 00:00:02.250Z" in out
    code, out, _ = run("explain", "--request", "r", "--backend", "b", "--json", *nodes)
    assert second.queries[-1] == {"request": "r", "backend": "b"}
    assert [event["name"] for event in json.loads(out)["events"]] == ["a", "b", "c"]


def test_explain_exit_codes(run, serve, closed_port):
    node = serve({}).address
    assert run("explain", "--nodes", node)[:2] == (1, "no events\n")
    assert run("explain", "--nodes", closed_port)[0] == 3
    other = serve({}, events=[make_event(1, "a")]).address
    assert run("explain", "--nodes", f"{other},{closed_port}")[0] == 1
    assert run("explain", "--nodes", serve({}, events=[{"time": "x"}]).address)[0] == 3


def test_demo_without_its_package_says_what_to_install(run, monkeypatch):
    monkeypatch.setitem(sys.modules, "mangowell_standins.demo", None)
    code, _, err = run("demo")
    assert code == 2
    assert "pip install 'mangowell[demo]'" in err


def test_demo_returns_the_exit_code_of_the_scenario(run, monkeypatch):
    module = types.ModuleType("mangowell_standins.demo")
    module.run_demo = lambda json: 1 if json else 0
    monkeypatch.setitem(sys.modules, "mangowell_standins.demo", module)
    assert (run("demo")[0], run("demo", "--json")[0]) == (0, 1)


@pytest.mark.parametrize(("terminal", "shown"), [(True, True), (False, False)])
def test_progress_is_shown_only_on_a_terminal(terminal, shown):
    stream = io.StringIO()
    stream.isatty = lambda: terminal
    progress = Progress("nodes asked", 2, stream)
    progress.advance()
    progress.close()
    assert ("nodes asked: 1 of 2" in stream.getvalue()) == shown
