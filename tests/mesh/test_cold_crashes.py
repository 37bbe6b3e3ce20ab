"""Guards against popular requests that are refused as ones that crash workers."""

import asyncio
import random
from time import monotonic

from mangowell_core.mesh import CrashCounter
from mangowell_node.exchange import RequestHead
from mesh.support_cold import ColdWorker, run_cold_mesh
from mesh.support_mesh import until


def test_popular_request_is_not_refused_because_cold_workers_crash_under_load():
    """1,371 requests were refused at all nodes, as they had run at such crashes."""
    counter = CrashCounter()
    for number in range(8):
        assert counter.record_crash("popular", f"w{number}/1", 1.0, True)
    assert not counter.is_refused("popular", 2.0)
    assert counter.is_refused_by_cold("popular", 2.0)
    assert counter.record_completion("popular", 2.0)
    assert not counter.is_refused_by_cold("popular", 2.0)


def test_request_that_crashes_every_worker_reaches_three_more_at_most():
    """Its crashes of cold workers must not hide it."""
    rng = random.Random(5)
    counter = CrashCounter()
    crashes = 0
    for number in range(200):
        now = 1.0 + number / 10
        is_cold = rng.random() < 0.7
        if counter.is_refused("poison", now):
            break
        if is_cold and counter.is_refused_by_cold("poison", now):
            continue
        counter.record_crash("poison", f"w{number}/1", now, is_cold)
        crashes += 1
    assert counter.is_refused("poison", now)
    assert crashes <= 3 + 3


async def test_crash_of_a_cold_worker_under_load_is_told_as_such():
    """The popular request was refused by all nodes after the second such crash."""
    async with run_cold_mesh() as (_, machines):
        await crash_cold_workers(machines)


def make_head(machine, path):
    return RequestHead(
        f"{path}-{machine.id}",
        "orders",
        "GET",
        path,
        b"Host: x\r\n",
        "",
        "",
        1,
        False,
        0,
        True,
        instance=machine.id,
        route="r1",
    )


async def crash_cold_workers(machines):
    """Crash two cold workers that run the same requests, and check what is told."""
    for machine in machines:
        cold = ColdWorker(machine)
        cold.work_s = 5.0
        machine.node.runner._warmup.record_entry(5.0, monotonic())
    # Sent to each worker by the node beside it, as others would place them unevenly.
    calls = [
        asyncio.create_task(
            machine.node.runner.run(make_head(machine, path), None, monotonic() + 4)
        )
        for machine in machines
        for path in ("/x/popular", "/x/other")
    ]
    await until(
        lambda: all(
            sum(r.target.startswith("/x/") for r in m.worker.received) == 2
            for m in machines
        )
    )
    for machine in machines:
        machine.worker.crash()
    await asyncio.gather(*calls, return_exceptions=True)
    counters = [m.node.gateway._crash_counter for m in machines]
    await until(lambda: all(len(c.export(monotonic())) == 2 for c in counters))
    for counter in counters:
        for _, _, fingerprints in counter.export(monotonic()):
            assert len(fingerprints) == 2
            for fingerprint in fingerprints:
                assert not counter.is_refused(fingerprint, monotonic())
                assert counter.is_refused_by_cold(fingerprint, monotonic())
