"""Guards against an explanation that changes decisions, or differs from a request."""

import asyncio
import contextlib
import random
from collections import deque
from time import monotonic

import msgspec
import pytest

from mangowell_core.mesh import service_room
from mangowell_node.exchange import Answer, AnswerHead
from mangowell_node.mesh import prober
from mesh.support_mesh import run_mesh, until
from mesh.test_explanation import explain

SEEDS = range(60)
# Objects whose attributes are not state of a decision: they belong to the event loop,
# to connections, or to the telemetry.
_FOREIGN = ("asyncio", "mangowell_node.link", "mangowell_node.telemetry")


@contextlib.asynccontextmanager
async def run_quiet_mesh(count, zones=("z",)):
    """Run nodes that send nothing by themselves and read no store."""
    async with run_mesh(count, zones=zones) as (_, machines):
        pools = [machine.node._links for machine in machines]
        await until(lambda: all(len(pool.links) == count - 1 for pool in pools))
        for machine in machines:
            await machine.node.supervisor.stop()
            for link in machine.node._links.links:
                link.on_round_trip = None
        await asyncio.sleep(0.1)
        yield machines


def capture(value, known=None):
    """Return the state of an object as nested tuples of plain values."""
    known = {} if known is None else known
    match value:
        case random.Random():
            return value.getstate()
        case None | bool() | int() | float() | str() | bytes():
            return repr(value)
        case msgspec.Struct():
            return repr(value)
    if id(value) in known:
        return known[id(value)]
    known[id(value)] = f"seen-{len(known)}"
    match value:
        case dict():
            items = value.items()
            return tuple((capture(k, known), capture(v, known)) for k, v in items)
        case list() | tuple() | deque():
            return tuple(capture(item, known) for item in value)
        case set() | frozenset():
            return tuple(sorted(map(repr, (capture(item, known) for item in value))))
    kind = type(value)
    if not kind.__module__.startswith("mangowell") or kind.__module__.startswith(
        _FOREIGN
    ):
        return kind.__name__
    names = [*getattr(value, "__dict__", ())]
    for base in kind.__mro__:
        names += [name for name in getattr(base, "__slots__", ()) if name[:2] != "__"]
    return kind.__name__, tuple(
        (name, capture(getattr(value, name, None), known)) for name in names
    )


def capture_decisions(machines):
    states = []
    for machine in machines:
        node = machine.node
        states.append(
            capture((node.gateway, node.runner, node.directory, node.caller_memory))
        )
    return states


def load_workers(machines, rng):
    """Bring the decisions of all nodes into one of many states."""
    now = monotonic()
    gateway = machines[0].node.gateway
    attempts = gateway.attempts
    evacuated = frozenset(rng.sample(("a", "b"), rng.choice((0, 0, 0, 1))))
    for machine in machines:
        machine.node.directory.evacuated = evacuated
        admission = machine.node.runner.admission
        admission.clear()
        for ticket in list(admission._running):
            admission.finish(ticket, True, now - rng.uniform(-0.3, 0.0))
        for number in range(rng.choice((0, 2, 4, 4, 5, 6, 10, 40))):
            admission.offer(f"fill-{number}", "r1", rng.randrange(2), 0.5, now + 9, now)
        stats = attempts.placement._stats_by_id[machine.id]
        stats.slowness = rng.uniform(0.5, 2.0)
        stats.backoff_until = now + rng.choice((0.0, 0.0, 0.0, 60.0))
        stats.warmup_ends_at = now + rng.choice((0.0, 0.0, 60.0))
        attempts.placement.round_trips.record(machine.zone, rng.uniform(0, 0.01), now)
        leaving = machine.node._gossip._worker_states
        leaving._states.clear()
        if rng.random() < 0.1:
            leaving.record_leaving(machine.id, 1_700_000_000_000)
        until = now + 60.0 if rng.random() < 0.1 else 0.0
        machine.node.runner._misplaced_until = until
        attempts.prober.stopping_peers.forget(machine.host)
        if rng.random() < 0.1:
            end = rng.choice((now + 1.0, now + 60.0, None))
            attempts.prober.stopping_peers.record(machine.host, end)
    attempts.prober._warmup_rates = {"orders": rng.choice((0.0, 6.0))}
    attempts.prober._document = machines[0].node.directory.document
    attempts.prober._spillover._needs["orders", 1] = rng.random()
    attempts.prober._remote_probing._useful_shares["orders"] = rng.random()
    attempts.room._rooms.clear()
    if rng.random() < 0.3:
        for _ in range(rng.randrange(5)):
            attempts.room.schedule_retry("orders", 1, 0.5, 0.1, 0.2, 2.0, now)
        attempts.room.record_full("orders", 1, 0.5, 20.0, now)
        for _ in range(rng.randrange(5)):
            attempts.room.is_full("orders", 1, 0.5, now)
    gateway._rng.seed(rng.random())


@pytest.fixture
def patient(monkeypatch):
    """Let no decision depend on how fast this machine is just now."""
    monkeypatch.setattr(prober, "MAX_REPLY_WAIT_S", 3.0)
    monkeypatch.setattr(prober, "MAX_REPLY_WAIT_WHEN_FREE_S", 3.0)
    monkeypatch.setattr(prober, "MAX_LARGE_REPLY_WAIT_S", 3.0)
    monkeypatch.setattr(service_room, "FULL_S", 30.0)


async def test_explanation_changes_no_decision_of_any_node(patient):
    """Explanations moved the averages of the spillover and counted as demand."""
    async with run_quiet_mesh(4, ("a", "b")) as machines:
        for size in (0, 60_000, 0, 500):
            assert (await machines[0].call("/x", "POST", b"x" * size)).status == 200
        for seed in SEEDS[:20]:
            load_workers(machines, random.Random(seed))
            before = capture_decisions(machines)
            for size in (0, 60_000, 2_000_000):
                status, _ = await explain(machines[0], "/x", "POST", body_bytes=size)
                assert status == 200
            assert capture_decisions(machines) == before


async def test_captured_state_shows_what_a_request_changes(patient):
    """The test above would pass without looking at the decisions."""
    async with run_quiet_mesh(2, ("a", "b")) as machines:
        before = capture_decisions(machines)
        assert capture_decisions(machines) == before
        load_workers(machines, random.Random(1))
        first = machines[0].node.gateway.attempts
        probes = [
            lambda: first.prober._spillover.record_free("orders", 1),
            lambda: first.prober._remote_probing.record("orders", False),
            lambda: first.room.schedule_retry("orders", 1, 0.5, 0.1, 0.2, 2.0, 1.0),
            lambda: first.placement.record_size("r1", 77),
            lambda: machines[1].node.runner.admission.predict("r1", 9, 0.1, 0.0, 0.0),
            lambda: machines[1].node.runner._body_flow.admit(60_000, 0, monotonic()),
            lambda: first._rng.random(),
        ]
        for change in probes:
            before = capture_decisions(machines)
            change()
            assert capture_decisions(machines) != before


async def test_request_goes_where_its_explanation_says(patient, monkeypatch):
    """Guards against a second copy of a decision that differs from the first."""
    chosen = []

    async def attempt(state, endpoint):
        chosen.append(endpoint.id)
        state.answer = Answer(AnswerHead(200, "OK"))
        return True

    outcomes = set()
    async with run_quiet_mesh(4, ("a", "b")) as machines:
        first = machines[0]
        for number in range(4):
            assert (await first.call("/x", "POST", b"x" * 900 * number)).status == 200
        monkeypatch.setattr(first.node.gateway.attempts, "_attempt", attempt)
        for seed in SEEDS:
            rng = random.Random(seed)
            load_workers(machines, rng)
            size = rng.choice((0, 0, 500, 60_000))
            _, explanation = await explain(first, "/x", "POST", body_bytes=size)
            (part,) = explanation["services"]
            chosen.clear()
            answer = await send(first, b"x" * size)
            selected = [part["selected"]] if part["selected"] else []
            assert (seed, chosen) == (seed, selected)
            if selected:
                outcomes.add(machines[0].id == selected[0] or "other")
                continue
            expected = part["answer"]
            assert (seed, answer.status) == (seed, expected["status"])
            assert answer.body.decode().strip() == expected["reason"]
            shortest, longest = expected["retry_after_s"]
            # The wait that workers tell, and the time left, go on between both.
            told = float(answer.headers["retry-after"])
            assert shortest * 0.9 <= told <= longest * 1.1, seed
            outcomes.add(part["ended_by"])
    assert outcomes >= {True, "other", "all-refuse", "service-full"}


async def send(machine, body):
    """Send a request whose time limit is that of the route."""
    return await machine.call("/x", "POST", body, timeout_ms=2000)
