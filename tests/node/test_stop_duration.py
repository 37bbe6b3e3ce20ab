"""Guards against stops that wait for connections on which nothing is due."""

import asyncio
import socket
from time import monotonic

from mangowell_node.exchange import Answer, AnswerHead
from mangowell_node.ingress import IngressServer
from mangowell_node.ingress.connection import CallerConnection
from node.support_calls import find_port
from node.test_link import make_head, run_link_pair


async def test_stop_does_not_wait_for_a_silent_peer_without_requests():
    """Its link carries no answer that could be lost by closing it."""

    async def handler(head, body, deadline):
        return Answer(AnswerHead(200, "OK", b"", b"ok"))

    async with run_link_pair(handler) as pair:
        await pair.call(make_head())
        (link,) = pair.pool.links
        link.transport.pause_reading()
        started = monotonic()
        await pair.server.stop(started + 3.0)
        assert monotonic() - started < 0.5


async def test_connection_accepted_while_the_listener_closes_is_closed():
    """The event loop may report a connection one pass after it was accepted.

    Such a connection is not among those that are told to close when the stop begins,
    so a caller that sends nothing on it holds up the stop.
    """

    async def serve(call):
        raise AssertionError("no request was sent")

    server = IngressServer(serve)
    await server.start("127.0.0.1", find_port())
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    with caller:
        loop = asyncio.get_running_loop()
        started = monotonic()
        held = asyncio.create_task(server.stop(2.0))
        # Keeps `stop` waiting, as a request in progress does.
        server.connections.add(busy := CallerConnection(server, loop))
        await asyncio.sleep(0)
        await loop.connect_accepted_socket(
            lambda: CallerConnection(server, loop), accepted
        )
        server.connections.discard(busy)
        await held
        assert monotonic() - started < 1.0
