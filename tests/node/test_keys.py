"""Tests that a request with an idempotency key runs at most once (I6)."""

import asyncio
import json

import pytest

from mangowell_core.model import Service
from node.support_calls import (
    ASKING_S,
    PINNED_KEY,
    ScriptedBackend,
    apply_members,
    make_answer,
    open_call,
    run_nodes,
    select_owned_key,
    until,
)


async def start_backends(count, handler=None):
    return [await ScriptedBackend(handler).start() for _ in range(count)]


def pay(node, key, body=b"10"):
    return node.call("POST", "/pay", headers=f"Idempotency-Key: {key}\r\n", body=body)


def count_runs(backends):
    return sum(backend.executions for backend in backends)


async def test_repeated_key_gets_the_first_answer_at_every_node():
    async def handler(request):
        return make_answer(b"receipt 7", "201 Created", "X-Receipt: 7\r\n")

    backends = await start_backends(3, handler)
    async with run_nodes(*backends) as nodes:
        for node in nodes + nodes:
            answer = await pay(node, "key-1")
            assert (answer.status, answer.body) == (201, b"receipt 7")
            assert answer.headers["x-receipt"] == "7"
            assert answer.outcome == "done"
        assert count_runs(backends) == 1


async def test_concurrent_calls_with_one_key_run_once():
    gate = asyncio.Event()

    async def handler(request):
        await gate.wait()
        return make_answer(b"receipt")

    backends = await start_backends(2, handler)
    async with run_nodes(*backends) as nodes:
        calls = [asyncio.ensure_future(pay(s, "key")) for s in nodes]
        await until(lambda: count_runs(backends) == 1)
        done, _ = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        early = done.pop().result()
        assert (early.status, early.outcome) == (409, "unknown")
        gate.set()
        answers = await asyncio.gather(*calls)
        assert sorted(a.status for a in answers) == [200, 409]
        assert (await pay(nodes[0], "key")).body == b"receipt"
        assert count_runs(backends) == 1


async def test_key_whose_run_was_cut_off_stays_unknown():
    """A request that ended without an answer may have run and must not run again."""

    async def handler(request):
        request.writer.transport.abort()

    backends = await start_backends(2, handler)
    async with run_nodes(*backends) as nodes:
        for node in nodes + nodes:
            assert (await pay(node, "key")).outcome == "unknown"
        assert count_runs(backends) == 1


async def test_owner_without_promises_runs_nothing():
    """Another instance, whose node does not reply, may have run the key."""
    backends = await start_backends(2)
    async with run_nodes(*backends, quiet_s=ASKING_S) as nodes:
        nodes[1].drops_control = True
        answer = await pay(nodes[1], select_owned_key(nodes, nodes[0]))
        assert answer.outcome == "unknown"
        assert nodes[0].sent and count_runs(backends) == 0


async def test_owner_runs_a_key_that_the_others_cede():
    backends = await start_backends(3)
    async with run_nodes(*backends, quiet_s=ASKING_S) as nodes:
        key = select_owned_key(nodes, nodes[0])
        for node in nodes:
            assert (await pay(node, key)).status == 200
        assert len(nodes[0].sent) == 2
        assert backends[0].executions == count_runs(backends) == 1


async def test_key_that_moved_to_another_owner_is_not_run_again():
    """A node whose view lacks the owner must not run a key that the owner has run."""
    backends = await start_backends(2)
    async with run_nodes(*backends) as nodes:
        key = select_owned_key(nodes, nodes[0])
        assert (await pay(nodes[0], key)).status == 200
        apply_members(nodes[1:], nodes[1:])
        assert (await pay(nodes[1], key)).outcome == "unknown"
        assert count_runs(backends) == 1


async def test_keyed_request_keeps_running_after_its_caller_disconnects():
    """A repeated call must get the answer of the run that its caller did not await."""
    gate = asyncio.Event()

    async def handler(request):
        await gate.wait()
        return make_answer(b"receipt")

    backends = await start_backends(2, handler)
    async with run_nodes(*backends) as nodes:
        _, writer = await open_call(
            nodes[0].settings.call_port,
            "POST",
            "/pay",
            headers="Idempotency-Key: key\r\n",
        )
        await until(lambda: count_runs(backends) == 1)
        writer.close()
        owner = next(s for s in nodes if s.backend.executions)
        await until(lambda: nodes[0].calls._active_calls == 0)
        gate.set()
        await until(lambda: owner.policy.in_flight() == 0)
        assert (await pay(nodes[1], "key", b"")).body == b"receipt"
        assert count_runs(backends) == 1


@pytest.mark.parametrize("is_local", [True, False])
async def test_stop_at_once_ends_keyed_requests(is_local):
    """A request that waits for a slot would stay pending after its node has stopped."""

    async def handler(request):
        await asyncio.Event().wait()

    backends = await start_backends(2, handler)
    service = Service("orders", slots=1, connections=16, retry_ratio=1.0)
    async with run_nodes(*backends, service=service) as nodes:
        owner = nodes[0]
        ingress = owner if is_local else nodes[1]
        keys = [select_owned_key(nodes, owner, prefix) for prefix in "abc"]
        calls = [asyncio.create_task(pay(ingress, key)) for key in keys]
        await until(lambda: owner.policy.in_flight() == 3 and count_runs(backends))
        await owner.calls.stop(0.0)
        names = [task.get_coro().__qualname__ for task in asyncio.all_tasks()]
        assert "Egress._run_keyed" not in names
        assert owner.policy.in_flight() == 0
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        assert count_runs(backends) == 1


async def test_refused_connection_leaves_the_key_unused():
    """A key whose request was never written must not block a repeated call."""
    backends = await start_backends(1)
    async with run_nodes(*backends) as (node,):
        port = backends[0].port
        backends[0].crash()
        answer = await pay(node, "key")
        assert (answer.status, answer.outcome) == (503, "not-run")
        await backends[0].start(port)
        assert (await pay(node, "key")).status == 200
        assert count_runs(backends) == 1


async def test_pinned_key_runs_at_the_node_that_issued_it():
    backends = await start_backends(3)
    async with run_nodes(*backends) as nodes:
        for node in nodes:
            issued = await node.call("POST", "/.mangowell/keys?path=/pay")
            assert issued.status == 201
            key = json.loads(issued.body)["key"]
            assert (
                PINNED_KEY.fullmatch(key) and issued.headers["idempotency-key"] == key
            )
            owner = next(s for s in nodes if s.settings.instance in key.split("."))
            before = owner.backend.executions
            for other in nodes:
                assert (await pay(other, key)).status == 200
            assert owner.backend.executions == before + 1


async def test_pinned_key_of_an_instance_that_is_gone_is_unknown():
    backends = await start_backends(2)
    async with run_nodes(*backends) as nodes:
        issued = await nodes[0].call("POST", "/.mangowell/keys")
        key = json.loads(issued.body)["key"]
        apply_members(nodes[1:], nodes[1:])
        answer = await pay(nodes[1], key)
        assert answer.outcome == "unknown"
        assert count_runs(backends) == 0


async def test_key_of_another_request_is_refused():
    """The stored answer to one request must not be given to another one."""
    backends = await start_backends(2)
    async with run_nodes(*backends) as nodes:
        assert (await pay(nodes[0], "key", b"10")).status == 200
        answer = await pay(nodes[1], "key", b"99")
        assert (answer.status, answer.outcome) == (422, "not-run")
        assert count_runs(backends) == 1


async def test_key_is_replayed_while_every_slot_is_taken():
    """A stored answer needs no slot and must not be refused for lack of one."""
    gate = asyncio.Event()

    async def handler(request):
        if request.body == b"slow":
            await gate.wait()
        return make_answer(b"receipt")

    backends = await start_backends(1, handler)
    async with run_nodes(
        *backends, service=Service("orders", slots=1, queue_limit=1)
    ) as (node,):
        assert (await pay(node, "key")).status == 200
        slow = asyncio.ensure_future(pay(node, "other", b"slow"))
        await until(lambda: count_runs(backends) == 2)
        assert (await pay(node, "key")).body == b"receipt"
        gate.set()
        assert (await slow).status == 200
