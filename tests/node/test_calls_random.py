"""Tests invariants I4, I5 and I6 under random concurrent faults of every kind."""

import asyncio
import random
from collections import Counter

import pytest

from node.support_calls import ScriptedBackend, call, make_answer, run_nodes

CALLS = 400
CONCURRENCY = 20


class FaultyBackend(ScriptedBackend):
    """Backend server whose answers fail at random; bodies repeat the request's name."""

    def __init__(self, rng):
        super().__init__(self.answer)
        self.rng = rng

    async def answer(self, request):
        request_name = request.target.rpartition("/")[2].encode()
        body = request_name * self.rng.choice((1, 100, 20_000))
        whole = make_answer(body)
        match self.rng.choices(
            ("ok", "slow", "die", "cut", "hang", "busy"), (60, 15, 8, 8, 4, 5)
        )[0]:
            case "slow":
                await asyncio.sleep(self.rng.random() * 0.05)
            case "die":
                request.writer.transport.abort()
                return None
            case "cut":
                request.writer.write(whole[: self.rng.randrange(1, len(whole))])
                return None
            case "hang":
                await asyncio.sleep(60)
            case "busy":
                return make_answer(b"busy", "503 Busy")
        return whole


async def inject_faults(nodes, rng):
    while True:
        await asyncio.sleep(rng.random() * 0.06)
        node = rng.choice(nodes)
        links = list(node.calls._link_server.links)
        match rng.choice(("cut", "silent", "crash", "unreachable", "leaving")):
            case "cut" if links:
                rng.choice(links).transport.abort()
            case "silent" if links:
                rng.choice(links).transport.pause_reading()
            case "crash":
                node.backend.crash()
                await asyncio.sleep(0.02)
                await node.backend.start(node.backend.port)
            case "unreachable":
                port = node.settings.link_port
                for other in nodes:
                    other.reach.cut.add(port)
                await asyncio.sleep(0.1)
                for other in nodes:
                    other.reach.cut.discard(port)
            case "leaving":
                node.backend.health = "failing"
                await asyncio.sleep(0.1)
                node.backend.health = "ok"


async def make_call(node, number, rng):
    """Make one call.

    Returns
    -------
    tuple of (str, str, Response or None)
        Kind, name and answer; None if the call was cut off.
    """
    kind = rng.choice(("browse", "pay", "keyed"))
    request_name = f"q{number}"
    deadline = f"Mangowell-Deadline-Ms: {rng.choice((100, 600, 2500))}\r\n"
    method, target = (
        ("GET", f"/{request_name}")
        if kind == "browse"
        else ("POST", f"/pay/{request_name}")
    )
    headers = deadline
    if kind == "keyed":
        headers += f"Idempotency-Key: {request_name}\r\n"
    port = node.settings.call_port
    try:
        async with asyncio.timeout(rng.choice((0.05, 30, 30, 30))):
            answer = await call(port, method, target, headers)
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        return kind, request_name, None
    return kind, request_name, answer


@pytest.mark.parametrize("seed", [1, 2])
async def test_random_faults_break_no_request_invariant(seed):
    rng = random.Random(seed)
    backends = [await FaultyBackend(rng).start() for _ in range(3)]
    numbers = iter(range(CALLS))
    results = []

    async def run_caller(nodes):
        for number in numbers:
            results.append(await make_call(rng.choice(nodes), number, rng))

    async with run_nodes(*backends) as nodes:
        faults = asyncio.ensure_future(inject_faults(nodes, rng))
        try:
            async with asyncio.timeout(60):
                await asyncio.gather(*(run_caller(nodes) for _ in range(CONCURRENCY)))
        finally:
            faults.cancel()
            await asyncio.gather(faults, return_exceptions=True)
        # Requests that still run after their call has ended must end too.
        async with asyncio.timeout(15):
            while any(s.policy.in_flight() or s.calls._active_calls for s in nodes):
                await asyncio.sleep(0.02)

    runs = Counter(
        r.target.rpartition("/")[2] for backend in backends for r in backend.received
    )
    for kind, request_name, answer in results:
        if kind != "browse":
            assert runs[request_name] <= 1, request_name
        if answer is None:
            continue
        assert answer.outcome is not None
        if answer.outcome == "not-run":
            assert runs[request_name] == 0, (request_name, answer)
        if answer.status == 200 and answer.complete:
            assert answer.outcome == "done" and runs[request_name] >= 1
            count = len(answer.body) // len(request_name)
            assert count and answer.body == request_name.encode() * count
    assert sum(a is not None and a.status == 200 for _, _, a in results) > CALLS / 4
