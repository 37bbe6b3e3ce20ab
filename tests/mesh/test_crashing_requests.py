"""Guards against requests that crash workers and reach more of them."""

import asyncio
from time import monotonic

import pytest

from mangowell_core.mesh import CompletedRequests, CrashCounter
from mangowell_core.mesh.crashes import CRASH_TTL_S, MAX_COMPLETED
from mangowell_core.mesh.model import CrashNotice
from mangowell_core.policy.request_digest import make_fingerprint
from mangowell_node.mesh.notices import encode_notice
from mesh.support_mesh import (
    answer_with_id,
    fill_slots,
    make_entry,
    restart,
    run_mesh,
    until,
)

POISON = make_fingerprint("GET", "/x/poison", "", b"")
OTHER = make_fingerprint("GET", "/x/other", "", b"")


def report_crashes(machine):
    """Report two crashes during one request and one during another."""
    machine.node._gossip.report_crash("w1/1", (POISON, OTHER))
    machine.node._gossip.report_crash("w2/1", (POISON,))


def count_runs(machines):
    return sum(m.worker.executions for m in machines)


async def test_restarted_node_refuses_a_request_that_has_crashed_workers():
    """It passed the request on until it had heard of two more crashes itself."""
    async with run_mesh(3) as (_, machines):
        *_, last = machines
        await until(lambda: all(len(m.node._links.links) == 2 for m in machines))
        report_crashes(machines[0])
        # Crashes are repeated for 4 s, and this restart comes later.
        for machine in machines:
            machine.node._gossip._crashes.clear()
        await restart(last)
        await until(lambda: len(last.node.directory) == 3)
        counter = last.node.gateway._crash_counter
        await until(lambda: counter.is_refused(POISON, monotonic()))
        assert (await last.call("/x/poison")).status == 503
        assert count_runs(machines) == 0
        # One crash may have been that of another request.
        assert (await last.call("/x/other", request="other")).status == 200
        # The crashes of the past are not reported as new ones.
        assert not last.get_events("backend_down")


async def test_node_beside_a_worker_refuses_a_request_that_has_crashed_workers():
    """Only the node at which the request entered looked at the crashes."""
    async with run_mesh(2) as (_, (first, second)):
        await until(lambda: first.node._links.links)
        report_crashes(second)
        counter = first.node.gateway._crash_counter
        await until(lambda: counter.is_refused(POISON, monotonic()))
        second.node._gossip._crashes.clear()
        # As if the first node had started since.
        counter.clear(POISON)
        fill_slots(first, waiting=200)
        answer = await first.call("/x/poison")
        assert answer.status == 503
        assert b"crashed" in answer.body
        assert not second.worker.received
        (event,) = first.get_events("call_refused")
        assert event["fields"]["cause"] == "quarantined"


def test_crashes_that_are_passed_on_expire_as_early_as_the_known_ones():
    """Otherwise nodes that restart in turn would keep a crash alive."""
    known, started = CrashCounter(), CrashCounter()
    known.record_crash("r", "w1/1", 0.0)
    known.record_crash("r", "w2/1", 10.0)
    known.record_crash("s", "w2/1", 10.0)
    exported = known.export(50.0)
    assert sorted(exported) == [("w1/1", 50.0, ("r",)), ("w2/1", 40.0, ("r", "s"))]
    for crash, age_s, fingerprints in exported:
        for fingerprint in fingerprints:
            started.record_crash(fingerprint, crash, 50.0 - age_s)
    assert started.is_refused("r", 10.0 + CRASH_TTL_S - 0.1)
    assert not started.is_refused("r", 10.0 + CRASH_TTL_S)
    assert not known.export(10.0 + CRASH_TTL_S)


async def test_popular_request_is_served_after_the_crashes_of_others():
    """Two workers crashed while they ran it, and all nodes refused it for 120 s."""
    released = asyncio.Event()

    async def work(request):
        await released.wait()
        return await answer_with_id()(request)

    async with run_mesh(3) as (_, machines):
        first, second, last = machines
        await until(lambda: all(len(m.node._links.links) == 2 for m in machines))
        second.worker.handler = work
        running = asyncio.create_task(second.call("/x/poison", timeout_ms=4000))
        await until(lambda: second.worker.received)
        report_crashes(first)
        counters = [m.node.gateway._crash_counter for m in machines]
        await until(lambda: all(c.is_refused(POISON, monotonic()) for c in counters))
        released.set()
        assert (await running).status == 200
        await until(
            lambda: not any(c.is_refused(POISON, monotonic()) for c in counters)
        )
        # Crashes are sent again, and to nodes that start later.
        first.node._gossip._resend_crashes()
        await restart(last)
        await until(lambda: len(last.node.directory) == 3)
        await asyncio.sleep(0.3)
        for number, machine in enumerate(machines):
            answer = await machine.call("/x/poison", request=f"again-{number}")
            assert answer.status == 200


async def test_popular_request_is_not_suspected_if_its_worker_has_completed_it():
    """Workers that crash at once leave no run of it that could end the suspicion."""

    async def work(request):
        await asyncio.sleep(5)

    async with run_mesh(2) as (_, machines):
        await until(lambda: all(m.node._links.links for m in machines))
        for number, machine in enumerate(machines):
            assert (await machine.call("/x/other", request=f"{number}")).status == 200
            machine.worker.handler = work
        calls = [
            asyncio.create_task(machine.call(path, request=f"{path}-{number}"))
            for number, machine in enumerate(machines)
            for path in ("/x/other", "/x/poison")
        ]
        await until(lambda: all(m.worker.executions == 3 for m in machines))
        for machine in machines:
            machine.worker.crash()
        await asyncio.gather(*calls)
        counters = [m.node.gateway._crash_counter for m in machines]
        await until(lambda: all(c.is_refused(POISON, monotonic()) for c in counters))
        assert not any(c.is_refused(OTHER, monotonic()) for c in counters)
        # What one start has completed says nothing about the next one.
        runner = machines[0].node.runner
        assert not runner._completed.has("GET", "/x/other", b"")


def test_requests_that_were_completed_long_ago_are_forgotten():
    """Guards against a memory that grows with the requests."""
    completed = CompletedRequests()
    for number in range(MAX_COMPLETED + 1):
        completed.record("GET", f"/{number}", b"")
        completed.record("GET", "/1", b"")
    assert completed.has("GET", "/1", b"")
    assert not completed.has("GET", "/0", b"")
    assert len(completed._keys) == MAX_COMPLETED


def test_crash_after_a_completion_counts_and_earlier_ones_do_not():
    counter = CrashCounter()
    counter.record_crash("r", "w1/1", 1.0)
    counter.record_told_completion("r", 2.0)
    # Notices of both may arrive in any order.
    assert not counter.record_crash("r", "w2/1", 1.5)
    assert counter.record_crash("r", "w3/1", 3.0)
    assert not counter.record_completion("r", 2.5)
    assert not counter.is_refused("r", 3.0)
    assert counter.record_crash("r", "w4/1", 4.0)
    assert counter.is_refused("r", 4.0)
    assert counter.record_completion("r", 3.5)
    assert not counter.is_refused("r", 4.0)
    assert not counter.export_completions(3.5 + CRASH_TTL_S)


@pytest.mark.parametrize("age_s", [-1.0, CRASH_TTL_S, float("inf"), float("nan")])
async def test_crash_with_an_age_out_of_range_is_ignored(age_s):
    async with run_mesh(2) as (_, (first, second)):
        links = second.node._link_server.links
        # A link that is still in its handshake takes no notices.
        await until(lambda: links and all(link.is_authenticated for link in links))
        for link in second.node._link_server.links:
            link.send_notice(encode_notice(CrashNotice("w1/1", (POISON,), age_s)))
            link.send_notice(encode_notice(CrashNotice("w2/1", (POISON,), 1.0)))
        counter = first.node.gateway._crash_counter
        await until(lambda: counter)
        assert [n for n, *_ in counter.export(0.0)] == ["w2/1"]


async def test_lost_connection_of_a_worker_that_runs_is_no_crash():
    """All connections were in use, so the check whether it accepts one timed out."""
    async with run_mesh() as (_, (machine,)):

        async def work(request):
            if request.target == "/x/lost":
                await asyncio.sleep(0.1)
                request.writer.transport.abort()
                return None
            await asyncio.sleep(0.6)
            return await answer_with_id()(request)

        machine.worker.handler = work
        machine.node.runner.pool.limit = 1
        lost = asyncio.create_task(machine.call("/x/lost", "POST", request="lost"))
        await until(lambda: machine.worker.received)
        answer = await machine.call("/x/other", request="other")
        assert answer.status == 200
        assert (await lost).status >= 500
        assert not machine.node.gateway._crash_counter


@pytest.mark.parametrize(
    ("status", "headers", "is_known"),
    [
        ("503 Service Unavailable", "Not-Executed: 1\r\n", True),
        ("421 Misdirected Request", "", True),
        ("200 OK", "Response-Stamp: s\r\n", False),
    ],
)
async def test_refusal_of_a_worker_does_not_clear_a_request(status, headers, is_known):
    """It has not run the request, so the request may still be the one that crashes."""
    async with run_mesh() as (_, (machine,)):
        machine.node._gossip.report_crash("w1/1", (POISON,))
        machine.worker.handler = answer_with_id(b"", status, headers)
        await machine.call("/x/poison")
        assert machine.worker.received
        assert bool(machine.node.gateway._crash_counter) is is_known


@pytest.mark.parametrize("state", ["draining", "ready"])
async def test_end_of_a_worker_that_drains_is_no_crash(state):
    """What two of them ran at their end, such as a popular page, was refused."""
    async with run_mesh() as (store, (machine,)):

        async def work(request):
            await asyncio.sleep(5)

        machine.worker.handler = work
        call = asyncio.create_task(machine.call("/x/page"))
        await until(lambda: machine.worker.received)
        entry = make_entry(machine.host, machine.worker.port, state=state)
        store.put(f"servers/{machine.id}", entry)
        is_draining = state == "draining"
        runner = machine.node.runner
        await until(lambda: runner.local_worker.draining is is_draining)
        machine.worker.crash()
        assert (await call).status >= 500
        await asyncio.sleep(0.5)
        assert bool(machine.node.gateway._crash_counter) is not is_draining
