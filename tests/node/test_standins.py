"""The simulated services behave correctly.

A fault in them could hide a fault of the nodes.
"""

import asyncio
import random
import socket

import aiohttp

from mangowell_standins import ports as ports_module
from mangowell_standins.backend_server import (
    BackendServer,
    BackendSettings,
    find_answer_defect,
    make_answer,
)
from mangowell_standins.callers import Callers, CallKind
from mangowell_standins.config_service import ConfigService, RateLimit, SourceFault
from mangowell_standins.ports import find_port
from mangowell_standins.reach import DomainReach, Partition, address_of


async def read(session, url, key="documents/test", after="", wait_ms=0):
    params = {"after": after, "wait_ms": str(wait_ms)}
    async with session.get(f"{url}/v1/values/{key}", params=params) as response:
        return response.status, response.headers, await response.read()


def test_waiting_watches_count_against_the_rate_limit():
    limit = RateLimit(3)
    limit.waiting = 2
    assert limit.admit(0.0)
    assert not limit.admit(0.5)
    assert limit.admit(1.1)


async def test_reads_are_counted_by_kind_and_reader():
    service = ConfigService(reads_per_second=100)
    url = await service.listen()
    first = service.publish("documents/test", "one")
    headers = {"User-Agent": "mangowell-node/node-a", "Accept-Encoding": "identity"}
    async with aiohttp.ClientSession(headers=headers) as session:
        assert (await read(session, url))[2] == b"one"
        watch = asyncio.create_task(
            read(session, url, "documents/test", first.digest, 5000)
        )
        while service.limit.waiting == 0:
            await asyncio.sleep(0)
        second = service.publish("documents/test", "two")
        status, headers, body = await watch
        assert (status, body) == (200, b"two")
        assert headers["ETag"] == f'"{second.digest}"'
        status, _, _ = await read(session, url, after=second.digest, wait_ms=1)
        assert status == 304
    assert service.counts.by_kind == {"read": 1, "watch": 2}
    assert service.counts.by_reader == {("platform", "node-a"): 3}
    assert service.counts.bytes_by_reader == {("platform", "node-a"): 6}
    assert service.limit.waiting == 0
    await service.stop()


async def test_configuration_service_simulates_faults():
    service = ConfigService()
    url = await service.listen()
    service.publish("documents/test", "one")
    service.publish("documents/test", "two")
    service.publish("instances", "list")
    async with aiohttp.ClientSession() as session:
        service.set_fault(SourceFault.STALE)
        assert (await read(session, url))[2] == b"one"
        service.set_fault(SourceFault.FLAPPING)
        bodies = {(await read(session, url))[2] for _ in range(2)}
        assert bodies == {b"one", b"two"}
        service.set_fault(SourceFault.CROSSED)
        assert (await read(session, url))[2] == b"list"
        service.set_fault(SourceFault.DOWN)
        assert (await read(session, url))[0] == 503
    await service.stop()


async def test_executions_of_a_key_are_counted_across_a_crash():
    server = BackendServer(settings=BackendSettings(restart_s=0.01))
    await server.start()
    base = f"http://127.0.0.1:{server.port}/work"
    async with aiohttp.ClientSession() as session:
        headers = {"Idempotency-Key": "k1"}
        url = f"{base}?id=r1&work_ms=0"
        async with session.post(url, headers=headers) as response:
            assert find_answer_defect("r1", await response.read()) == ""
        connection_lost = False
        try:
            await session.post(f"{base}?id=bad&poison=1")
        except aiohttp.ClientError:
            connection_lost = True
        assert connection_lost
        while not server.listening:
            await asyncio.sleep(0.01)
        async with session.post(url, headers=headers) as response:
            assert response.status == 200
    assert server.key_executions["k1"] == 2
    assert server.executions["bad"] == 1
    assert server.counts()["doubled_keys"] == ["k1"]
    await server.stop()


async def test_callers_detect_truncated_answers():
    server = BackendServer(settings=BackendSettings(truncated_share=1.0))
    await server.start()
    kind = CallKind("browse", "GET", "/", work_ms=0.0)
    callers = Callers(lambda: [f"127.0.0.1:{server.port}"], [kind], rate=1.0)
    await callers.start()
    assert await callers.call(kind, "r1") == "cut"
    await server.stop()
    await callers.stop()
    assert callers.counts.cut >= 1


def test_answer_of_another_request_is_detected():
    assert find_answer_defect("r1", make_answer("r1", 100)) == ""
    assert find_answer_defect("r1", make_answer("r2", 100)) == "foreign"
    assert find_answer_defect("r1", make_answer("r1", 100)[:-1]) == "truncated"


def test_partitioned_domain_reaches_only_itself():
    partition = Partition()
    reach = {n: DomainReach(partition, n) for n in (1, 2)}
    partition.cut(2)
    assert reach[1].is_allowed(address_of(0, 1), 80)
    assert not reach[1].is_allowed(address_of(2, 1), 80)
    assert not reach[2].is_allowed(address_of(0, 1), 80)
    assert reach[2].is_allowed(address_of(2, 9), 80)
    partition.join(2)
    assert reach[2].is_allowed(address_of(0, 1), 80)


async def test_silent_connections_stay_open_and_new_ones_work():
    server = BackendServer(rng=random.Random(1))
    await server.start()
    url = f"http://127.0.0.1:{server.port}/health"
    short_timeout = aiohttp.ClientTimeout(total=0.2)
    async with aiohttp.ClientSession() as old, aiohttp.ClientSession() as new:
        async with old.get(url) as response:
            assert (await response.json())["status"] == "ok"
        assert server.silence_connections() == 1
        timed_out = False
        try:
            await old.get(url, timeout=short_timeout)
        except TimeoutError:
            timed_out = True
        assert timed_out
        async with new.get(url) as response:
            assert response.status == 200
    await server.stop()


def test_find_port_skips_ports_in_use_on_another_loopback_address(monkeypatch):
    """Parallel test runs failed with "address already in use" on 127.0.0.2."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.2", 0))
        listener.listen()
        port = listener.getsockname()[1]
        monkeypatch.setattr(ports_module, "_ports", iter([port, find_port()]))
        assert find_port() != port


def test_parallel_test_runs_claim_different_ports():
    """Two test runs tried the same ports in the same order.

    Both found a port free before either of them had bound it.
    """
    claim, ports = ports_module.claim_ports()
    with claim:
        others = {next(ports) for _ in range(ports_module.BLOCK)}
    own = {next(ports_module._ports) for _ in range(ports_module.BLOCK)}
    assert not own & others
