"""Guards I4, I5 and I6 while faults of every kind coincide at random."""

import asyncio
import random
from collections import Counter

import pytest

from node.support_calls import ScriptedBackend, call, make_answer, run_stations

CALLS = 400
CONCURRENCY = 20


class FaultyBackend(ScriptedBackend):
    """Backend server whose answers fail at random; bodies name the request."""

    def __init__(self, rng):
        super().__init__(self.answer)
        self.rng = rng

    async def answer(self, request):
        name = request.target.rpartition("/")[2].encode()
        body = name * self.rng.choice((1, 100, 20_000))
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


async def inject_faults(stations, rng):
    while True:
        await asyncio.sleep(rng.random() * 0.06)
        station = rng.choice(stations)
        links = list(station.calls._link_server.links)
        match rng.choice(("cut", "silent", "crash", "unreachable", "leaving")):
            case "cut" if links:
                rng.choice(links).transport.abort()
            case "silent" if links:
                rng.choice(links).transport.pause_reading()
            case "crash":
                station.backend.crash()
                await asyncio.sleep(0.02)
                await station.backend.start(station.backend.port)
            case "unreachable":
                port = station.settings.link_port
                for other in stations:
                    other.reach.cut.add(port)
                await asyncio.sleep(0.1)
                for other in stations:
                    other.reach.cut.discard(port)
            case "leaving":
                station.backend.health = "failing"
                await asyncio.sleep(0.1)
                station.backend.health = "ok"


async def make_call(station, number, rng):
    """Make one call; return its kind, name and answer, or None if it was cut."""
    kind = rng.choice(("browse", "pay", "keyed"))
    name = f"q{number}"
    deadline = f"Mangowell-Deadline-Ms: {rng.choice((100, 600, 2500))}\r\n"
    method, target = (
        ("GET", f"/{name}") if kind == "browse" else ("POST", f"/pay/{name}")
    )
    headers = deadline
    if kind == "keyed":
        headers += f"Idempotency-Key: {name}\r\n"
    port = station.settings.call_port
    try:
        async with asyncio.timeout(rng.choice((0.05, 30, 30, 30))):
            answer = await call(port, method, target, headers)
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        return kind, name, None
    return kind, name, answer


@pytest.mark.parametrize("seed", [1, 2])
async def test_faults_that_coincide_break_no_promise(seed):
    rng = random.Random(seed)
    backends = [await FaultyBackend(rng).start() for _ in range(3)]
    numbers = iter(range(CALLS))
    results = []

    async def work(stations):
        for number in numbers:
            results.append(await make_call(rng.choice(stations), number, rng))

    async with run_stations(*backends) as stations:
        faults = asyncio.ensure_future(inject_faults(stations, rng))
        try:
            async with asyncio.timeout(60):
                await asyncio.gather(*(work(stations) for _ in range(CONCURRENCY)))
        finally:
            faults.cancel()
            await asyncio.gather(faults, return_exceptions=True)
        # Work that a call has left behind has to end as well.
        async with asyncio.timeout(15):
            while any(s.policy.in_flight() or s.calls._active for s in stations):
                await asyncio.sleep(0.02)

    runs = Counter(
        r.target.rpartition("/")[2] for backend in backends for r in backend.received
    )
    for kind, name, answer in results:
        if kind != "browse":
            assert runs[name] <= 1, name
        if answer is None:
            continue
        assert answer.outcome is not None
        if answer.outcome == "not-run":
            assert runs[name] == 0, (name, answer)
        if answer.status == 200 and answer.complete:
            assert answer.outcome == "done" and runs[name] >= 1
            count = len(answer.body) // len(name)
            assert count and answer.body == name.encode() * count
    assert sum(a is not None and a.status == 200 for _, _, a in results) > CALLS / 4
