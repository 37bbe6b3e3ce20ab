"""Guards against an explanation that tells another story than the request path."""

import asyncio
import json
from time import monotonic
from urllib.parse import urlencode

from mangowell_core.mesh import StoppingPeers
from mangowell_core.mesh.model import ProbeNotice
from mangowell_standins.scripted_http import read_response
from mesh.support_mesh import HOST, fill_slots, make_entry, run_mesh, until


def make_probe(machine):
    return ProbeNotice(1, machine.id, "r1", 1, 0.5, 2.0, False, -1.0)


def fill_one(machine):
    """Let one more request wait for a worker."""
    admission, now = machine.node.runner.admission, monotonic()
    admission.offer("more", "r1", 1, 0.5, now + 2.0, now)


async def explain(
    machine, path="/x", method="GET", host=HOST, verb="GET", **parameters
):
    """Ask a node; return status and the decoded answer."""
    settings = machine.settings
    address = settings.ready.host, settings.metrics_port
    reader, writer = await asyncio.open_connection(*address)
    query = urlencode({"host": host, "path": path, "method": method, **parameters})
    writer.write(f"{verb} /explain?{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    answer = await read_response(reader)
    writer.close()
    return answer.status, json.loads(answer.body)


async def explain_service(machine, path="/x", **parameters):
    """Return the part of the only service, and its candidates by worker."""
    status, answer = await explain(machine, path, **parameters)
    assert status == 200
    (part,) = answer["services"]
    return part, {view["worker"]: view for view in part["candidates"]}


async def test_explained_worker_is_that_of_the_request_and_nothing_is_sent():
    async with run_mesh(2) as (_, machines):
        status, answer = await explain(machines[0], "/pay/1?a=b", "POST")
        assert status == 200
        assert answer["route"]["name"] == "r2"
        assert answer["route"]["idempotent"] is False
        (part,) = answer["services"]
        assert part["selected"] == machines[0].id
        assert sum(machine.worker.executions for machine in machines) == 0
        await machines[0].call("/pay/1?a=b", "POST", b"x")
        assert machines[0].worker.executions == 1


async def test_full_workers_are_explained_by_the_answer_that_callers_get():
    async with run_mesh(2) as (_, machines):
        for machine in machines:
            fill_slots(machine)
            while machine.node.runner.predict(make_probe(machine)).accepted:
                fill_one(machine)
        get_link = machines[0].node._links.get_link
        await until(lambda: get_link(machines[1].host, machines[1].link_port))
        part, views = await explain_service(machines[0])
        assert part["selected"] is None
        assert [view["accepts"] for view in views.values()] == [False, False]
        assert all("admission" in view["decision"] for view in views.values())
        answer = await machines[0].call("/x")
        shortest, longest = part["answer"]["retry_after_s"]
        assert answer.status == part["answer"]["status"] == 503
        # Both refusals are of slightly different moments.
        assert shortest * 0.5 <= float(answer.headers["retry-after"]) <= longest * 2


async def test_excluded_workers_are_explained_by_the_filter_that_excludes_them():
    zones = ("a", "b", "c")
    async with run_mesh(3, zones=zones) as (store, machines):
        store.put("op/evacuate/b", b"{}")
        third = machines[2]
        entry = make_entry(third.host, third.worker.port, state="draining", zone="c")
        store.put(f"servers/{third.id}", entry)
        directory = machines[0].node.directory
        await until(lambda: directory.evacuated == frozenset("b"))
        await until(lambda: directory.endpoints[third.id].draining)
        part, views = await explain_service(machines[0])
        assert part["selected"] == machines[0].id
        assert views[machines[1].id]["excluded_by"] == "failure domain is evacuated"
        assert views[third.id]["excluded_by"] == "entry is draining"
        assert views[third.id]["leaving_cost_s"] > 0
        assert views[machines[0].id]["leaving_cost_s"] == 0


async def test_request_without_a_route_or_a_node_without_workers_is_a_refusal():
    async with run_mesh() as (store, (machine,)):
        _, answer = await explain(machine, host="other.example")
        assert (answer["route"], answer["answer"]["status"]) == (None, 404)
        store.delete(f"servers/{machine.id}")
        await until(lambda: not len(machine.node.directory))
        part, views = await explain_service(machine)
        assert part["answer"]["cause"] == "no-instance"
        ((worker, view),) = views.items()
        assert (worker, view["cost_s"], view["is_selected"]) == (
            machine.id,
            None,
            False,
        )
        assert view["excluded_by"] == "entry was removed: the worker has left"


async def test_explanation_that_cannot_be_given_is_an_error():
    async with run_mesh() as (_, (machine,)):
        assert (await explain(machine, path="x"))[0] == 400
        assert (await explain(machine, verb="POST"))[0] == 405


async def test_explanation_does_not_count_as_a_request_of_its_route():
    """Explained uploads of no bytes made real ones seem too large to leave a domain."""
    async with run_mesh(2, zones=("a", "b")) as (_, (machine, _)):
        for number in range(3):
            await machine.call("/x", "POST", b"x" * 60_000, f"id-{number}")
        fill_slots(machine)
        sizes = machine.node.gateway.attempts.placement.sizes
        before = sizes.estimate("r1", 60_000)
        for _ in range(5):
            await explain_service(machine)
        assert sizes.estimate("r1", 60_000) == before


async def test_worker_that_is_left_out_is_shown_with_the_decision_that_does_it(
    monkeypatch,
):
    # The node runs on, and says so to the others.
    monkeypatch.setattr(StoppingPeers, "forget", lambda *_: None)
    async with run_mesh(6) as (store, machines):
        first, leaving, stopping, misplaced, replaced, suspect = machines
        node = first.node
        prober = node.gateway.attempts.prober
        await until(lambda: len(node._links.links) == 5)
        leaver = node.directory.endpoints[leaving.id]
        node._gossip._worker_states.record_leaving(leaver.id, leaver.born_ms)
        prober.stopping_peers.record(stopping.host, None)
        misplaced.node.runner._misplaced_until = monotonic() + 9
        entry = make_entry(replaced.host, replaced.worker.port, born=1_800_000_000_000)
        store.put("servers/i-new", entry)
        await until(lambda: "i-new" in node.directory.endpoints)
        get_suspicion = prober._get_suspicion
        known = {suspect.host: True}
        prober._get_suspicion = lambda host: known.get(host, get_suspicion(host))
        _, views = await explain_service(first)
        excluded = {worker: view["excluded_by"] for worker, view in views.items()}
        assert excluded == {
            first.id: "",
            leaving.id: "worker states that it leaves",
            stopping.id: "its node stops too soon",
            misplaced.id: "",
            replaced.id: "another worker has started at its address",
            "i-new": "",
            suspect.id: "",
        }
        view = views[misplaced.id]
        reason = "left: its node refuses: another worker has answered at its address"
        assert (view["accepts"], view["decision"]) == (False, reason)
        assert [name for name, view in views.items() if view["is_suspect"]] == [
            suspect.id
        ]
        known[suspect.host] = None
        store.delete("servers/i-new")
        await until(lambda: "i-new" not in node.directory.endpoints)
        _, views = await explain_service(first)
        reason = "excluded: its node cannot be reached"
        assert views[suspect.id]["decision"] == reason
        reason = "excluded: entry was removed: the worker has left"
        assert views["i-new"]["decision"] == reason


async def test_cold_worker_is_shown_with_the_requests_that_it_may_start_now():
    async with run_mesh(2) as (_, (first, second)):
        await until(lambda: first.node._links.links)
        fill_slots(first)
        now = monotonic()
        warmup = second.node.runner.admission.warmup
        warmup.set_bound(6.0, 1.5, 8.0)
        warmup.record_entry(9.0, now)
        warmup._tokens, warmup._updated_at = 2.0, now + 9
        _, views = await explain_service(first)
        assert views[first.id]["cold_starts"] is None
        assert views[second.id]["cold_starts"] == 2
        attempts = first.node.gateway.attempts
        attempts.placement._stats_by_id[second.id].warmup_ends_at = now + 9
        prober = attempts.prober
        prober._document = first.node.directory.document
        prober._warmup_rates = {"orders": 1e-9}
        _, views = await explain_service(first)
        assert views[second.id]["was_spared"]
        reason = "left: cold, spared at random to stay within its rate"
        assert views[second.id]["decision"] == reason
        warmup._tokens = 0.0
        for number in range(99):
            second.node.runner.admission.offer(
                str(number), "r1", 1, 0.5, now + 2.0, monotonic()
            )
        prober._warmup_rates = {}
        _, views = await explain_service(first)
        assert views[second.id]["cold_starts"] == 0
        reason = "left: its node refuses: admission, worker is cold"
        assert views[second.id]["decision"] == reason


async def test_service_that_counts_as_full_is_explained_without_asking_workers():
    """The explanation showed a worker, and the request was refused at once."""
    async with run_mesh(2) as (_, (first, second)):
        await until(lambda: first.node._links.links)
        fill_slots(first)
        room = first.node.gateway.attempts.room
        room.record_full("orders", 1, 0.5, 0.25, monotonic())
        part, views = await explain_service(first)
        assert (part["selected"], part["ended_by"]) == (None, "service-full")
        assert part["counts_as_full"]
        answer = part["answer"]
        assert (answer["status"], answer["reason"]) == (503, "orders is full")
        # The wait of 0.25 s with the random factor, but early enough for a retry.
        shortest, longest = answer["retry_after_s"]
        assert 0.1 < shortest < longest <= 0.35
        assert views[second.id]["accepts"] is True
        reason = "left: not asked, as the service counts as full"
        assert {view["decision"] for view in views.values()} == {reason}
        assert room.refused_at_once == 0
        # Of the requests of a class that counts as full, each fourth asks all the same.
        room.record_full("orders", 1, 0.5, 0.25, monotonic())
        for _ in range(3):
            assert room.is_full("orders", 1, 0.5, monotonic())
        part, _ = await explain_service(first)
        assert part["counts_as_full"]
        assert part["selected"] == second.id


async def test_size_of_the_body_counts_for_the_transfer_the_links_and_the_limit():
    async with run_mesh(2, zones=("a", "b")) as (_, (first, second)):
        await until(lambda: first.node._links.links)
        fill_slots(first, waiting=40)
        _, small = await explain_service(first, "/pay/1")
        second.node.runner.count_incoming_bytes = lambda: 10**9
        _, large = await explain_service(first, "/pay/1", body_bytes=60_000)
        views = small[second.id], large[second.id]
        assert views[0]["leaving_cost_s"] < views[1]["leaving_cost_s"]
        assert [view["accepts"] for view in views] == [True, False]
        assert "link is too full for the body" in views[1]["decision"]
        part, views = await explain_service(first, "/pay/1", body_bytes=1_000_001)
        assert (part["answer"]["status"], views) == (413, {})
        assert first.node.caller_memory.body_bytes == 0


async def test_size_of_the_body_is_checked():
    async with run_mesh() as (_, (machine,)):
        for size in ("-1", "+1", "1e3", "1.0", "x", "", " 1", "\u0663", "9" * 13):
            status, answer = await explain(machine, body_bytes=size)
            assert (status, "body_bytes" in answer["error"]) == (400, True), size


async def test_node_that_no_longer_serves_callers_explains_that():
    async with run_mesh() as (_, (machine,)):
        machine.node.gateway.refuse_callers()
        _, answer = await explain(machine)
        assert (answer["answer"]["cause"], answer["services"]) == ("leaving", [])
        shortest, longest = answer["answer"]["retry_after_s"]
        assert (shortest, longest) == (2.0 * 0.8, 2.0 * 1.6)
