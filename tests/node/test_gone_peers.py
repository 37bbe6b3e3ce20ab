"""Guards against exceptions for a peer that has already gone."""

import asyncio

import pytest

from mangowell_node.ingress.connection import CallerConnection
from mangowell_node.ingress.server import IngressServer
from mangowell_node.link import LinkServer, derive_link_key
from mangowell_node.link.server import ServerLink


class GoneTransport(asyncio.Transport):
    """Transport whose peer has reset the connection: it has no address."""

    def get_extra_info(self, name, default=None):
        return default

    def is_closing(self):
        return False

    def write(self, data):
        pass

    def abort(self):
        pass


async def answer(call):
    raise AssertionError("no request was sent")


@pytest.mark.parametrize("kind", ("caller", "link"))
async def test_peer_that_has_already_gone_raises_no_exception(kind):
    """The address of the peer was taken from None, which was logged as a fault."""
    if kind == "caller":
        loop = asyncio.get_running_loop()
        conn = CallerConnection(IngressServer(answer), loop)
    else:
        key = derive_link_key("")
        conn = ServerLink(LinkServer(key, answer, lambda: -1.0, print), key)
    conn.connection_made(GoneTransport())
    conn.connection_lost(ConnectionResetError())
