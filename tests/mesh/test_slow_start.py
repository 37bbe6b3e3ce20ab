"""Bound on the requests to cold workers, as the node beside each enforces it."""

import asyncio
from time import monotonic

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mangowell_core.mesh import Admission, AdmissionDecision
from mangowell_core.mesh.warmup import WarmupGate
from mesh.support_cold import (
    OVERAGE,
    PER_S,
    SLACK,
    ColdWorker,
    restart_worker,
    run_cold_mesh,
)
from mesh.support_mesh import make_entry, restart, until

BOUND = PER_S * OVERAGE + SLACK
WINDOW_S = 1.0


def make_gate(per_s=PER_S, overage=OVERAGE, slack=SLACK):
    gate = WarmupGate()
    gate.set_bound(per_s, overage, slack)
    return gate


def send_all(gate, now, until_time, starts):
    """Send a request whenever the gate allows one, in steps of 10 ms."""
    while now < until_time:
        while not gate.estimate_delay(0, now) and gate.may_send(now):
            gate.take(now)
            gate.record_sent(now)
            starts.append(now)
            if not gate.is_cold(now):
                break
        now += 0.01


def count_most(starts):
    return max(sum(t <= s < t + WINDOW_S for s in starts) for t in starts)


@given(
    st.sampled_from(((6.0, 1.5, 8.0), (6.0, 1.0, 0.0), (40.0, 1.2, 3.0))),
    st.floats(0.0, 3.0),
    st.floats(0.05, 2.0),
)
def test_no_window_exceeds_the_bound_across_a_restart_of_the_node(bound, until_s, gap):
    """The new process does not know what the earlier one has sent."""
    starts = []
    for begin, end in ((10.0, 10.0 + until_s), (10.0 + until_s, 14.0)):
        gate = make_gate(*bound)
        gate.record_entry(9.0, begin)
        send_all(gate, begin, end, starts)
    per_s, overage, slack = bound
    assert count_most(starts) <= per_s * overage + slack
    # The bound is used: a rate far below it would cost capacity.
    assert len(starts) >= 0.5 * 4 * min(per_s, per_s * overage + slack - 2)
    assert not make_gate(0.0).is_cold(10.0)


def test_requests_before_a_worker_was_known_to_be_cold_count():
    """Its entry tells up to 1.5 s later, and tokens would be saved until then."""
    gate = make_gate()
    starts = []
    send_all(gate, 10.0, 10.05, starts)
    for _ in range(20):
        gate.record_sent(10.1)
    gate.record_entry(3.0, 10.1)
    assert not gate.may_send(10.2)
    assert gate.estimate_delay(0, 10.2) > 0.5
    assert gate.estimate_delay(0, 13.2) == 0.0


def test_health_answer_ends_an_assumption_and_not_what_the_entry_says():
    gate = make_gate()
    gate.assume_cold(3.0, 10.0)
    gate.record_health(None, 10.1)
    assert not gate.is_cold(10.1)
    gate.assume_cold(3.0, 11.0)
    gate.record_health(1.0, 11.0)
    assert gate.is_cold(11.9)
    assert not gate.is_cold(12.0)
    gate.record_entry(2.0, 12.0)
    gate.record_health(0.0, 12.1)
    assert gate.is_cold(13.9)


def test_calls_and_urgent_requests_go_first_while_a_service_is_cold():
    """Requests were started in the order of their arrival at a cold worker."""
    admission = Admission(6)
    admission.warmup.set_bound(PER_S, OVERAGE, SLACK)
    admission.warmup.record_entry(30.0, 1.0)
    offers = ((2, 2.0), (1, 2.0), (0, 2.0), (-1, 0.0))
    for rank, objective_s in offers:
        decision, _, _ = admission.offer(
            str(rank), str(rank), rank, objective_s, 9.0, 1.0
        )
        assert decision is AdmissionDecision.WAIT
    now, started = 1.0, []
    while len(started) < len(offers):
        started += [t.request for t in admission.start_waiting(now)]
        now += 0.01
    assert started == ["-1", "0", "1", "2"]
    assert now < 1.0 + len(offers) / PER_S
    # Probes see what the next request would wait for.
    assert admission.predict("2", 2, 2.0, 9.0, now)[1] > 0


@pytest.fixture
async def cold_mesh():
    async with run_cold_mesh() as mesh:
        yield mesh


async def test_restarted_worker_gets_no_more_than_the_bound(cold_mesh):
    """All callers repeat their requests as soon as the worker accepts connections."""
    _, (machine, other) = cold_mesh
    cold = ColdWorker(machine)
    assert (await machine.call("/x", request="before")).status == 200
    other.worker.crash()
    cold.warmup_ms = 1500
    await restart_worker(machine)
    cold.arrivals.clear()
    end = monotonic() + 1.2

    async def repeat(number):
        while monotonic() < end:
            await machine.call("/x", request=f"r-{number}", timeout_ms=400)
            await asyncio.sleep(0.02)

    await asyncio.gather(*(repeat(n) for n in range(20)))
    assert cold.health
    assert machine.node.runner.is_cold
    assert machine.get_events("backend_cold")
    assert len(cold.arrivals) >= 4
    assert count_most(cold.arrivals) <= BOUND
    await until(lambda: machine.get_events("backend_warm"))


async def test_warm_worker_is_not_slowed_by_the_close_of_idle_connections(cold_mesh):
    """A closed connection looks like a restart until the worker is asked."""
    _, (machine, _) = cold_mesh
    cold = ColdWorker(machine)
    runner = machine.node.runner
    await machine.call("/x", request="first")
    for conn in list(runner.pool.open_connections):
        conn.abort()
    asked = cold.health
    await machine.call("/x", request="second")
    await until(lambda: cold.health > asked and not runner.is_cold)
    assert not machine.get_events("backend_cold")


async def test_worker_is_asked_after_an_evacuation_and_another_start(cold_mesh):
    """Its entry tells up to 1.5 s later that it is cold."""
    store, (machine, _) = cold_mesh
    cold = ColdWorker(machine)
    runner = machine.node.runner
    store.put("op/evacuate/z", b"")
    await until(lambda: runner._is_evacuated)
    cold.warmup_ms = 700
    asked = cold.health
    store.delete("op/evacuate/z")
    await until(lambda: cold.health > asked and runner.is_cold)
    await until(lambda: not runner.is_cold)
    asked = cold.health
    entry = make_entry(machine.host, machine.worker.port, born=1_700_000_000_001)
    store.put(f"servers/{machine.id}", entry)
    await until(lambda: cold.health > asked and runner.is_cold)


async def test_restarted_node_does_not_exceed_the_bound(cold_mesh):
    """It does not know what was sent before, nor yet that the worker is cold."""
    _, (machine, other) = cold_mesh
    cold = ColdWorker(machine)
    other.worker.crash()
    runner = machine.node.runner
    runner._warmup.record_entry(5.0, monotonic())
    cold.warmup_ms = 5000

    async def send(count, prefix):
        await asyncio.gather(
            *(machine.call("/x", request=f"{prefix}{n}") for n in range(count)),
            return_exceptions=True,
        )

    await send(20, "a")
    assert len(cold.arrivals) >= 2
    await restart(machine)
    restarted = machine.node.runner
    restarted._settings = msgspec.structs.replace(
        machine.settings, warmup_overage=OVERAGE, warmup_slack=SLACK
    )
    await until(lambda: restarted.local_worker and restarted.is_cold)
    await send(30, "b")
    assert count_most(cold.arrivals) <= BOUND
