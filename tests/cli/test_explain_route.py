"""Guards `mangowell explain route` against answers that it cannot use."""

import asyncio
import json

import pytest

from mesh.support_mesh import HOST, run_mesh

ROUTE = ("--host", "shop.example", "--path", "/x")
EXPLANATION = json.loads("""{"format": 1, "unready": ["stopping"], "version": 7,
 "node": {"instance": "n-1", "failure_domain": "a", "service": "orders"},
 "route": {"name": "r1", "prefix": "/", "priority": 1, "idempotent": true,
  "objective_s": 0.5, "timeout_s": 2.0, "max_attempts": 2},
 "services": [{"service": "orders", "share": 1.0, "selected": null,
  "candidates": [{"worker": "i-1\\u001b[2J", "failure_domain": "a", "running": 6,
   "slots": 4, "speed": 0.5, "warmup_left_s": 1.5, "is_evacuated": false,
   "failure_rate": 0.25, "cost_s": 0.31, "leaving_cost_s": 0.02, "accepts": false,
   "wait_s": null, "retry_after_s": 0.12, "is_selected": false, "decision": "left"}],
  "answer": {"status": 503, "cause": "overloaded", "reason": "2 workers are full",
   "retry_after_s": [0.1, 0.2]}}],
 "answer": null}""")


@pytest.fixture
def explain(run, serve):
    """Return a function that asks nodes that give these answers."""

    def explain(answers, *options, **kwargs):
        ports = [serve(None, path_answers={"/explain": a}, **kwargs) for a in answers]
        nodes = ",".join(port.address for port in ports)
        return (*run("explain", "route", *ROUTE, "--nodes", nodes, *options), ports)

    return explain


def change(**changes):
    return EXPLANATION | changes


def test_refusal_is_shown_with_its_time_and_is_a_finding(explain):
    code, out, err, (port,) = explain([EXPLANATION], "--method", "POST")
    assert (code, err) == (1, "")
    assert "not ready for callers: stopping" in out
    assert "answer: 503 (overloaded: 2 workers are full), Retry-After 0.100" in out
    assert all(text in out for text in ("6/4", "0.50", "1500ms", "retry 120ms"))
    assert "\x1b" not in out
    query = {"host": "shop.example", "path": "/x", "method": "POST"}
    assert port.queries == [query]


def test_json_has_the_answers_as_the_nodes_gave_them(explain):
    code, out, _, (port,) = explain([EXPLANATION], "--json")
    (found,) = json.loads(out)["explanations"]
    assert (code, found) == (1, EXPLANATION | {"address": port.address})


def test_only_nodes_of_the_callers_domain_explain(explain):
    node = {"instance": "n-2", "failure_domain": "b", "service": "orders"}
    options = ("--failure-domain", "b")
    code, out, err, _ = explain([EXPLANATION, change(node=node)], *options)
    assert ("n-2 in b" in out, "n-1" in out) == (True, False)
    assert "is in failure domain a" in err
    code, out, _, _ = explain([EXPLANATION], *options)
    assert (code, out) == (1, "")


@pytest.mark.parametrize(
    "answer", [change(format=2), change(services=[{}]), {}, [], {"ready": True}]
)
def test_node_of_another_version_is_an_error(explain, answer):
    code, out, err, _ = explain([answer])
    assert (code, out) == (3, "")
    assert "another version" in err


def test_node_without_the_path_or_a_connection_is_an_error(run, explain):
    code, _, err, _ = explain([{}], http_status=404)
    assert (code, "another version: HTTP status 404" in err) == (3, True)
    code, _, err = run("explain", "route", *ROUTE, "--nodes", "127.0.0.1:1")
    assert (code, "no connection" in err) == (3, True)


def test_node_that_ignores_the_size_of_the_body_is_an_error(explain):
    """Nodes of an earlier version explain a request without a body instead."""
    code, out, err, _ = explain([EXPLANATION], "--body-bytes", "60000")
    assert (code, out) == (3, "")
    assert "another version: does not take the size of the body" in err
    request = {"host": "shop.example", "path": "/x", "body_bytes": 60_000}
    answer = change(request=request)
    code, _, err, (port,) = explain([answer], "--body-bytes", "60000")
    assert (code, err) == (1, "")
    assert port.queries[0]["body_bytes"] == "60000"


@pytest.mark.parametrize("size", ["-1", "x", "1.5", "", "1000000000000"])
def test_size_of_the_body_that_is_no_number_of_bytes_is_invalid(run, size):
    words = (*ROUTE, f"--body-bytes={size}", "--nodes", "127.0.0.1:1")
    code, out, err = run("explain", "route", *words)
    assert (code, out) == (2, "")
    assert "--body-bytes" in err


def test_some_node_without_a_usable_answer_is_a_finding(run, explain):
    """An operator would take the answers of the others for those of all nodes."""
    part = EXPLANATION["services"][0] | {"answer": None, "selected": "i-1"}
    code, out, err, _ = explain([change(services=[part]), change(format=2)])
    assert (code, "goes to i-1" in out) == (1, True)
    assert "another version: format 2, expected 1" in err
    assert explain([change(services=[part])])[0] == 0


def test_full_service_cold_and_suspected_workers_are_shown(explain):
    part = EXPLANATION["services"][0]
    worker = part["candidates"][0] | {"cold_starts": 2, "is_suspect": True}
    fields = {"counts_as_full": True, "asks_every": 4, "ended_by": "service-full"}
    part = part | {"candidates": [worker]} | fields
    _, out, _, _ = explain([change(services=[part])])
    assert "counts as full: asks workers for one request in 4" in out
    assert all(text in out for text in ("6/4?", "1500ms (2 now)"))


@pytest.mark.parametrize("words", [(), ("--host", "x"), ("--host", "x", "--path", "y")])
def test_missing_host_or_path_is_invalid(run, words):
    code, _, err = run("explain", "route", *words, "--nodes", "127.0.0.1:1")
    assert (code, "--path" in err) == (2, True)


async def test_running_node_explains(run):
    """Guards against an answer of the node that the command does not read."""
    async with run_mesh() as (_, (machine,)):
        node = f"{machine.host}:{machine.settings.metrics_port}"
        words = ("--host", HOST, "--path", "/pay/1", "--nodes", node)
        code, out, err = await asyncio.to_thread(run, "explain", "route", *words)
        assert (code, err) == (0, "")
        assert "route r2" in out
        assert f"goes to {machine.id}" in out


async def test_running_node_explains_a_request_with_a_body(run):
    """Guards against a size that the command sends and the node does not read."""
    async with run_mesh() as (_, (machine,)):
        node = f"{machine.host}:{machine.settings.metrics_port}"
        words = ("--host", HOST, "--path", "/x", "--nodes", node, "--json")
        for size, code in ((60_000, 0), (1_000_001, 1)):
            found, out, err = await asyncio.to_thread(
                run, "explain", "route", *words, "--body-bytes", str(size)
            )
            assert (found, err) == (code, "")
            (explanation,) = json.loads(out)["explanations"]
            assert explanation["request"]["body_bytes"] == size
        (part,) = explanation["services"]
        assert part["answer"]["status"] == 413
