"""Guards against request bodies that together take more memory than a node has."""

import asyncio
from time import monotonic

import pytest

from mangowell_core.mesh.caller_memory import CallerMemory
from mangowell_core.policy.types import Cause, Outcome
from mangowell_node.exchange import AttemptError, RequestHead
from mangowell_node.link import FrameType
from mangowell_node.link.frames import FRAME_HEADER
from mangowell_node.mesh import body_budget
from mangowell_node.mesh.body_budget import BodyBudget, BodyBudgetError
from mesh.support_mesh import fill_slots, make_request, run_mesh, until
from node.support_calls import read_response

SIZE = 400_000


def make_upload(request, is_chunked):
    body = b"x" * SIZE
    message = make_request("/pay/1", "POST", body, request)
    if not is_chunked:
        return message
    head = message[: -len(body)].replace(
        b"Content-Length: %d" % SIZE, b"Transfer-Encoding: chunked"
    )
    return head + b"%x\r\n%b\r\n0\r\n\r\n" % (SIZE, body)


@pytest.mark.parametrize("is_chunked", [False, True])
async def test_body_that_does_not_fit_beside_others_is_refused(monkeypatch, is_chunked):
    """Eight bodies of 30 MB took a node over its limit of 300 MB."""
    monkeypatch.setattr(body_budget, "MAX_HELD_BYTES", 2 * SIZE)
    async with run_mesh() as (_, (machine,)):
        writers = []
        for number in range(2):
            # All but the last byte, so that the body stays at the node.
            _, writer = await machine.connect()
            writer.write(make_upload(f"held-{number}", is_chunked)[:-10])
            writers.append(writer)
        budget = machine.node.gateway._body_budget
        await until(lambda: budget._held >= 2 * (SIZE - 100))
        reader, writer = await machine.connect()
        writer.write(make_upload("third", is_chunked))
        async with asyncio.timeout(0.5):
            answer = await read_response(reader)
        assert answer.status == 503
        assert "retry-after" in answer.headers
        # Small bodies do not count.
        assert (await machine.call("/pay/1", "POST", b"x" * 5000)).status == 200
        for held in (writer, *writers):
            held.transport.abort()
        await until(lambda: not budget._held)
        answer = await machine.call("/pay/1", "POST", b"x" * SIZE, "fourth")
        assert answer.status == 200
        ran = [r.headers["request-id"] for r in machine.worker.received]
        assert ran == ["id-1", "fourth"]
        await until(lambda: not budget._held)


def test_single_body_fits_at_any_size():
    budget = BodyBudget()
    size = 3 * body_budget.MAX_HELD_BYTES
    assert budget.hold(0, size // 2) == size // 2
    assert budget.hold(size // 2, size) == size
    with pytest.raises(BodyBudgetError):
        budget.hold(0, 100_000)
    assert budget.hold(0, body_budget.UNCOUNTED_BYTES) == 0
    budget.release(size)
    assert budget.hold(0, 100_000) == 100_000


async def test_bodies_of_other_nodes_that_do_not_fit_are_refused():
    """A node counted only what its own callers had sent.

    Each of 40 other nodes could send it bodies up to its own limit.
    """
    async with run_mesh(2) as (_, (first, second)):
        await until(lambda: first.node._links.links and second.node._links.links)
        fill_slots(first, waiting=100)
        finish = asyncio.Event()
        answer = second.worker.handler

        async def wait(request):
            await finish.wait()
            return await answer(request)

        second.worker.handler = wait
        memory, runner = second.node.caller_memory, second.node.runner
        memory.peer_limit = 2 * SIZE
        readers = []
        for number in range(2):
            reader, writer = await first.connect()
            writer.write(make_upload(f"held-{number}", False))
            readers.append((reader, writer))
        await until(lambda: memory.peer_bytes == 2 * SIZE)
        await until(lambda: len(second.worker.received) == 2)
        traffic = first.node._traffic
        sent = traffic.sum_by_kind(lambda host: True)["requests"]
        refused = await first.call("/pay/1", "POST", b"x" * SIZE, "third")
        assert (refused.status, "retry-after" in refused.headers) == (503, True)
        assert runner.bodies_refused > 0
        # The node is asked before the body is sent.
        assert traffic.sum_by_kind(lambda host: True)["requests"] == sent
        # It may also fit when the node is asked, but not when it arrives.
        with pytest.raises(AttemptError) as caught:
            fields = (
                "r",
                "orders",
                "POST",
                "/pay/1",
                b"",
                "",
                "",
                0,
                False,
                0.0,
                False,
            )
            head = RequestHead(*fields, body=b"x" * SIZE)
            await runner.run_remote(head, None, monotonic() + 1)
        assert caught.value.refusal.cause is Cause.OVERLOADED
        assert caught.value.refusal.outcome is Outcome.NOT_RUN
        assert caught.value.slots == 4
        finish.set()
        # Small bodies do not count, and callers of the node itself come first.
        small = await first.call("/pay/1", "POST", b"x" * 5000, "small")
        assert small.status == 200
        for reader, writer in readers:
            assert (await read_response(reader)).status == 200
            writer.close()
        await until(lambda: memory.peer_bytes == 0)
        memory.peer_bytes = 2 * SIZE
        own = await second.call("/pay/1", "POST", b"x" * SIZE, "own")
        assert own.status == 200
        memory.peer_bytes = 0
        received = {r.headers["request-id"] for r in second.worker.received}
        assert received == {"held-0", "held-1", "small", "own"}


async def test_message_of_another_node_that_arrives_slowly_counts():
    async with run_mesh(2) as (_, (first, second)):
        await until(lambda: first.node._links.links and second.node._links.links)
        memory = second.node.caller_memory
        (link,) = second.node._link_server.links
        link.data_received(
            FRAME_HEADER.pack(SIZE, FrameType.NOTICE, 0) + b"x" * 100_000
        )
        assert memory.peer_bytes == 100_000 + FRAME_HEADER.size
        link.close("malformed")
        assert memory.peer_bytes == 0


def test_bodies_of_other_nodes_have_no_bound_unless_the_memory_is_known():
    """Nodes whose settings name no memory took them all, and still do."""
    memory = CallerMemory()
    memory.peer_bytes = 10**12
    assert memory.has_room_for_peer(10**9)
    memory = CallerMemory.from_memory_mb(200)
    assert memory.has_room_for_peer(10**9)
    memory.body_bytes = 30_000_000
    assert memory.has_room_for_peer(1_000_000)
    assert not memory.has_room_for_peer(10_000_000)
