"""Stops of the link server and links that are accepted as they begin."""

import asyncio
import contextlib
import socket
from time import monotonic

from mangowell_core.policy.types import Outcome
from mangowell_node.exchange import Answer, AnswerHead, AttemptError, RequestHead
from mangowell_node.link import LinkPool, LinkServer, derive_link_key
from mangowell_node.link import server as server_module
from mangowell_node.reach import AddressFilter
from node.support_calls import find_port


def make_head(target):
    return RequestHead("r", "s", "GET", target, b"", "", "c", 0, False, 0.0, True)


async def test_link_accepted_as_the_stop_begins_runs_no_request(monkeypatch):
    """An accepted link is registered one step later than it is accepted."""
    entered, gate, accepted = asyncio.Event(), asyncio.Event(), asyncio.Event()
    ran = []

    async def handler(head, body, deadline):
        ran.append(head.target)
        entered.set()
        await gate.wait()
        return Answer(AnswerHead(200, "OK", body=b"ok"))

    class ReportingLink(server_module.ServerLink):
        def __init__(self, *args):
            super().__init__(*args)
            accepted.set()

    key = derive_link_key("secret")
    server = LinkServer(key, handler, lambda: 0.5, lambda event: None)
    port = find_port()
    await server.start("127.0.0.1", port)
    pools = [LinkPool(n, key, AddressFilter(), lambda event: None) for n in "ab"]

    async def call(pool, target):
        head = make_head(target)
        return await pool.call("127.0.0.1", port, head, None, monotonic() + 3)

    try:
        first = asyncio.ensure_future(call(pools[0], "/first"))
        await entered.wait()
        monkeypatch.setattr(server_module, "ServerLink", ReportingLink)
        late = asyncio.ensure_future(call(pools[1], "/late"))
        await accepted.wait()
        assert len(server.links) == 1
        asyncio.get_running_loop().call_later(0.5, gate.set)
        # Not in a task of its own, which would start one step later.
        await server.stop(monotonic() + 10)
        assert (await first).head.status == 200
        await asyncio.wait([late])
        assert ran == ["/first"]
        assert isinstance(late.exception(), AttemptError)
        assert late.exception().refusal.outcome is Outcome.NOT_RUN
    finally:
        for pool in pools:
            pool.close()
        await server.stop(0.0)


@contextlib.asynccontextmanager
async def start_paused_call(body):
    """Call a server that answers with `body`, and stop reading before the answer.

    Yields the server, the link and the task of the call.
    """

    async def handler(head, body_stream, deadline):
        return Answer(AnswerHead(200, "OK", body=body))

    key = derive_link_key("secret")
    server = LinkServer(key, handler, lambda: 0.5, lambda event: None)
    port = find_port()
    await server.start("127.0.0.1", port)
    pool = LinkPool("a", key, AddressFilter(), lambda event: None)
    try:
        await pool.connect("127.0.0.1", port, monotonic() + 1)
        (link,) = pool.links
        sock = link.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        call = asyncio.ensure_future(
            pool.call(
                *("127.0.0.1", port, make_head("/"), None, monotonic() + 5),
                on_silence=lambda give_up: None,
            )
        )
        await asyncio.sleep(0)
        link.transport.pause_reading()
        await asyncio.sleep(0.1)
        yield server, link, call
    finally:
        pool.close()


async def test_answer_that_a_slow_peer_has_yet_to_read_arrives():
    """Its bytes were in the kernel, and a notice of the peer met a closed socket."""
    body = b"x" * 900_000
    async with start_paused_call(body) as (server, link, call):
        loop = asyncio.get_running_loop()
        loop.call_later(0.8, link.transport.resume_reading)
        # The peer goes on sending, such as its status.
        for number in range(1, 10):
            loop.call_later(number / 10, link.send_notice, b"status")
        await server.stop(monotonic() + 5)
        assert (await call).head.body == body


async def test_peer_that_takes_no_bytes_does_not_hold_up_the_stop_to_its_deadline():
    async with start_paused_call(b"x" * 900_000) as (server, _, call):
        started = monotonic()
        await server.stop(started + 9)
        assert monotonic() - started < 3.0
        call.cancel()
