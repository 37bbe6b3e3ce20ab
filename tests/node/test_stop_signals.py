"""Signals to the program ``mangowell-node`` during a planned stop."""

import asyncio
import signal

import pytest

from mangowell_standins.documents import make_document
from mangowell_standins.fleet import Fleet, FleetConfig


@pytest.mark.parametrize(
    "number", [None, signal.SIGTERM, signal.SIGHUP], ids=["none", "SIGTERM", "SIGHUP"]
)
async def test_signal_during_a_stop_cuts_no_request(number):
    """The default action of both signals ends a process at once."""
    fleet = Fleet(FleetConfig(domains=1, nodes_per_domain=2, processes=True))
    try:
        await fleet.start(make_document(1))
        member = next(iter(fleet.members.values()))
        instance = member.instance
        reader, writer = await asyncio.open_connection(
            instance.host, instance.call_port
        )
        writer.write(b"GET /catalogue?work_ms=1500 HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.3)
        member.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        if number is not None:
            member.process.send_signal(number)
        async with asyncio.timeout(10):
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
        writer.close()
    finally:
        await fleet.stop()
    assert not fleet.violations
