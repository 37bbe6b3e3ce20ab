"""Stops of the link server and links that are accepted as they begin."""

import asyncio
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
