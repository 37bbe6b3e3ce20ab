"""Limits that workers name, and workers that leave, as stated in their answers."""

import asyncio
import contextlib
from time import monotonic

import pytest

from mangowell_standins.platform_worker import PlatformWorker
from mesh.support_mesh import make_document, make_route, restart, run_mesh, until

WINDOW_S = 4.0
# Requests that a worker may get in a window, as a multiple of its limit, and more.
MAX_EXCESS, MAX_EXTRA = 1.5, 5
# Time after the first answer with a limit from which it has to be kept.
SETTLING_S = 3.0
# Time after an answer with it from which a leaving worker gets no request.
LEAVING_S = 2.0


async def call_often(machine, name, until_time, statuses):
    """Send one request after the other, without a pause after refusals."""
    number = 0
    while monotonic() < until_time:
        number += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            answer = await machine.call(request=f"{name}-{number}")
            statuses.append(answer.status)
        await asyncio.sleep(0.002)


def set_workers(machines, work_s=0.02):
    """Let the workers answer as on the platform, and return them."""
    workers = [PlatformWorker(work_s) for _ in machines]
    for machine, worker in zip(machines, workers, strict=True):
        machine.worker.handler = worker
    return workers


async def load(machines, seconds, callers=8):
    """Let callers of each node send requests; return the statuses."""
    statuses = []
    end = monotonic() + seconds
    await asyncio.gather(
        *(
            call_often(machine, f"{machine.number}-{n}", end, statuses)
            for machine in machines
            for n in range(callers)
        )
    )
    return statuses


async def test_worker_gets_its_limit_from_all_nodes_together():
    """Guards against a limit that is ignored, or applied by each sender."""
    async with run_mesh(3) as (_, machines):
        workers = set_workers(machines)
        limits = (20.0, 10.0, 15.0)
        for worker, limit in zip(workers, limits, strict=True):
            worker.rate_limit = limit
        started = monotonic()
        statuses = await load(machines, SETTLING_S + WINDOW_S)
        for worker, limit in zip(workers, limits, strict=True):
            busiest = worker.find_busiest_window(started + SETTLING_S, WINDOW_S)
            assert busiest <= MAX_EXCESS * limit * WINDOW_S + MAX_EXTRA
            used = worker.count_arrivals(started + SETTLING_S)
            assert used >= 0.8 * limit * WINDOW_S
        assert set(statuses) == {200, 503}


async def test_requests_beyond_the_limit_are_rejected_at_once_with_a_time():
    """Guards against requests that wait for a limited worker until their deadline."""
    async with run_mesh() as (_, (machine,)):
        (worker,) = set_workers([machine])
        worker.rate_limit = 2.0
        await machine.call(request="first")
        started = monotonic()
        calls = (machine.call(request=f"r{n}") for n in range(12))
        answers = await asyncio.gather(*calls)
        refused = [answer for answer in answers if answer.status == 503]
        assert len(refused) >= 10
        assert all(float(a.headers["retry-after"]) > 0 for a in refused)
        assert monotonic() - started < 1.0


async def test_waiting_requests_count_against_a_limit_that_appears():
    """Guards against a queue that is sent at once although the worker is in need."""
    routes = {"r": make_route(**{"target-latency": "2000ms", "timeout": "4000ms"})}
    async with run_mesh(document=make_document(1, routes)) as (_, (machine,)):
        (worker,) = set_workers([machine], work_s=0.3)
        worker.rate_limit = 3.0
        calls = [
            asyncio.create_task(machine.call(request=f"r{n}", timeout_ms=4000))
            for n in range(16)
        ]
        await until(lambda: len(worker.arrivals) >= 4)
        started = monotonic() + 0.4
        await asyncio.gather(*calls)
        assert worker.count_arrivals(started) <= 3.0 * (monotonic() - started) + 2


async def test_limit_ends_with_the_first_answer_without_it():
    """Guards against a limit that outlasts the need of the worker."""
    async with run_mesh() as (_, (machine,)):
        (worker,) = set_workers([machine], work_s=0.01)
        worker.rate_limit = 4.0
        await load([machine], 0.6, callers=2)
        worker.rate_limit = None
        await asyncio.sleep(0.3)
        await machine.call(request="last-limited")
        worker.arrivals.clear()
        statuses = await load([machine], 1.0, callers=2)
        assert statuses.count(200) > 40
        assert machine.get_events("backend_unlimited")


@pytest.mark.parametrize("limit", ("0", "0.0"))
async def test_end_of_a_limit_of_zero_is_noticed(limit):
    """Guards against a worker that is left idle because no answer can tell its end."""
    async with run_mesh() as (_, (machine,)):
        (worker,) = set_workers([machine], work_s=0.01)
        worker.rate_limit = limit
        await machine.call(request="first")
        assert (await machine.call(request="second")).status == 503
        worker.rate_limit = None

        async def is_served():
            return (await machine.call(request="again")).status == 200

        async with asyncio.timeout(6.0):
            while not await is_served():
                await asyncio.sleep(0.2)


async def test_restarted_node_learns_the_limit_with_the_first_request():
    """Guards against a burst from a node that has had no answer of its worker yet."""
    async with run_mesh(2) as (store, machines):
        beside, sender = machines
        workers = set_workers(machines, work_s=0.4)
        worker = workers[0]
        store.delete(f"servers/{sender.id}")
        await until(lambda: len(sender.node.directory) == 1)
        worker.rate_limit = 1.0
        answer = await sender.call(request="first")
        assert answer.status == 200
        await restart(beside)
        await until(lambda: len(beside.node.directory) == 1)
        await asyncio.sleep(0.5)
        worker.arrivals.clear()
        await asyncio.gather(
            *(sender.call(request=f"r{n}", timeout_ms=900) for n in range(12))
        )
        assert len(worker.arrivals) <= 3


async def test_limit_ends_with_the_start_that_named_it():
    """Guards against a limit of a former start under the same id."""
    async with run_mesh() as (store, (machine,)):
        (worker,) = set_workers([machine], work_s=0.01)
        worker.rate_limit = 0.5
        await machine.call(request="first")
        worker.rate_limit = None
        born = 1_700_000_000_001
        entry = machine.entry.replace(b"1700000000000", str(born).encode())
        store.put(f"servers/{machine.id}", entry)
        await until(lambda: machine.node.runner.local_worker.born_ms == born)
        statuses = await load([machine], 0.5, callers=2)
        assert statuses.count(200) > 20
        assert 503 not in statuses


@pytest.mark.parametrize("is_store_silent", (False, True))
async def test_worker_that_leaves_by_its_answers_gets_no_further_request(
    is_store_silent,
):
    """Guards against requests to a leaving worker that the store lists as ready."""
    async with run_mesh(3) as (store, machines):
        workers = set_workers(machines)
        await load(machines, 0.3, callers=2)
        store.is_silent = is_store_silent
        workers[0].is_leaving = True
        await load(machines, 0.3, callers=4)
        left_at = monotonic()
        seconds = 0.5 + (LEAVING_S if is_store_silent else 0)
        # Fewer callers than the other two workers have slots, so that none is refused
        # for overload.
        statuses = await load(machines, seconds, callers=2)
        assert workers[0].count_arrivals(left_at) == 0
        assert set(statuses) == {200}


async def test_waiting_requests_leave_a_worker_that_leaves_by_its_answers():
    """Guards against waiting requests that start after the worker's answer."""
    async with run_mesh(2) as (store, machines):
        workers = set_workers(machines, work_s=0.2)
        store.delete(f"servers/{machines[1].id}")
        await until(lambda: all(len(m.node.directory) == 1 for m in machines))
        workers[0].is_leaving = True
        calls = (machines[1].call(request=f"r{n}") for n in range(10))
        answers = await asyncio.gather(*calls)
        assert len(workers[0].arrivals) == 4
        assert sorted(answer.status for answer in answers) == [200] * 4 + [503] * 6


async def test_statement_holds_if_the_entry_of_the_worker_has_changed_meanwhile():
    """Guards against an answer that is taken for that of another worker."""
    routes = {"r": make_route(**{"target-latency": "3000ms", "timeout": "4000ms"})}
    async with run_mesh(2, make_document(1, routes)) as (store, machines):
        workers = set_workers(machines, work_s=1.0)
        store.delete(f"servers/{machines[1].id}")
        await until(lambda: all(len(m.node.directory) == 1 for m in machines))
        runner = machines[0].node.runner
        revision = runner.local_worker.revision
        workers[0].is_leaving, workers[0].rate_limit = True, 5.0
        calls = [
            asyncio.create_task(machines[1].call(request=f"r{n}", timeout_ms=4000))
            for n in range(6)
        ]
        await until(lambda: len(workers[0].arrivals) == 4)
        store.put(f"servers/{machines[0].id}", machines[0].entry)
        await until(lambda: runner.local_worker.revision > revision, 0.9)
        await asyncio.gather(*calls)
        assert len(workers[0].arrivals) == 4
        assert runner.admission.rate_limit.per_s == 5.0


async def test_restarted_node_beside_a_leaving_worker_gets_no_requests_for_it():
    """Guards against a sender that forgets what an answer told it."""
    async with run_mesh(3) as (_, machines):
        workers = set_workers(machines)
        await load(machines, 0.3, callers=2)
        workers[0].is_leaving = True
        await load(machines, 0.3, callers=4)
        await restart(machines[0])
        await until(lambda: len(machines[0].node.directory) == 3)
        left_at = monotonic()
        await load(machines[1:], 1.0, callers=4)
        assert workers[0].count_arrivals(left_at) == 0


async def test_worker_that_leaves_is_not_forgotten_while_nodes_restart():
    """Only the node beside the worker told others, until it restarted itself."""
    async with run_mesh(3) as (_, machines):
        workers = set_workers(machines)
        await load(machines, 0.3, callers=2)
        workers[0].is_leaving = True
        await load(machines, 0.3, callers=4)
        for machine in machines[:2]:
            await restart(machine)
            await until(lambda machine=machine: len(machine.node.directory) == 3)
            await until(lambda machine=machine: len(machine.node._links.links) == 2)
        left_at = monotonic()
        statuses = await load(machines[:2], 1.0, callers=4)
        assert workers[0].count_arrivals(left_at) == 0
        assert 200 in statuses


async def test_new_start_of_a_worker_that_had_left_gets_requests():
    """Guards against a worker that is left idle for what its former start said."""
    async with run_mesh() as (store, (machine,)):
        (worker,) = set_workers([machine])
        worker.is_leaving = True
        assert (await machine.call(request="first")).status == 200
        assert (await machine.call(request="second")).status == 503
        worker.is_leaving = False
        entry = machine.entry.replace(b"1700000000000", b"1700000000001")
        store.put(f"servers/{machine.id}", entry)
        await until(lambda: machine.node.runner.local_worker.born_ms % 10 == 1)
        assert (await machine.call(request="third")).status == 200
