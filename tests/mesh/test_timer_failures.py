"""Guards against a failure in a timer that ends all later calls of it."""

import asyncio
from time import monotonic

import pytest

from mangowell_node.ingress import IngressServer, server
from mangowell_node.link.client import ClientLink
from mangowell_node.link.connection import REPEATABLE_SILENT_AFTER_S
from mesh.support_mesh import fill_slots, run_mesh, until


class FailingCall:
    """Counts its calls, which all raise."""

    count = 0

    def __call__(self, *args):
        self.count += 1
        raise ArithmeticError("planned")


def expect_faults():
    """Keep the planned exceptions of timers out of the log."""
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)


async def test_failing_sweep_of_idle_connections_is_repeated(monkeypatch):
    monkeypatch.setattr(server, "SWEEP_INTERVAL_S", 0.01)
    expect_faults()

    class Connection:
        is_idle = True
        idle_since = 0.0
        close_if_idle = FailingCall()

        def abort(self):
            pass

    connection = Connection()
    ingress = IngressServer(None)
    await ingress.start("127.0.0.1", 0)
    ingress.idle_timeout_s = 0.0
    ingress.connections.add(connection)
    try:
        await until(lambda: connection.close_if_idle.count >= 3, 1.0)
    finally:
        ingress.connections.clear()
        await ingress.stop(0.0)


async def test_failing_sweep_of_waiting_requests_is_repeated():
    """Requests that wait for a slot were neither started nor refused any more."""
    async with run_mesh() as (_, (machine,)):
        expect_faults()
        runner = machine.node.runner
        fill_slots(machine, waiting=1)
        runner._refuse_expired = failing = FailingCall()
        runner._schedule_sweep()
        await until(lambda: failing.count >= 3, 1.0)


async def test_failing_report_of_silence_does_not_end_the_checks_of_the_link():
    """A link that is silent for good was used until its last request gave up."""
    link = ClientLink(b"key", "n")
    link._streams = {1: None}
    link._report_silence = FailingCall()
    now = monotonic()
    link._last_check_at, link._last_ping_at = now, 0.0
    link._silent_since = now - REPEATABLE_SILENT_AFTER_S - 0.01
    with pytest.raises(ArithmeticError):
        link._check_silence()
    assert link._check_timer is not None
    link._check_timer.cancel()
