"""Tests control sockets with foreign, faulty, unreachable and hostile peers."""

import asyncio
import random
import socket
import zlib
from dataclasses import replace

import pytest
import zmq
import zmq.asyncio

from mangowell_core.distribution.io import Peer
from mangowell_core.events import EventCode
from mangowell_core.messages import (
    DigestQuery,
    Heartbeat,
    KeyVersion,
    Leaving,
    MessageError,
    encode_message,
)
from mangowell_core.settings import NodeSettings, SecuritySettings, SourceSettings
from mangowell_node.control import (
    MAX_ENVELOPE_BYTES,
    ControlError,
    ControlSocket,
    Envelope,
    pack_payload,
    unpack_payload,
)
from mangowell_node.reach import AddressFilter
from mangowell_node.telemetry import Telemetry

FLEET_KEY = tuple(key.decode() for key in zmq.curve_keypair())
OTHER_KEY = tuple(key.decode() for key in zmq.curve_keypair())
QUERY = DigestQuery([KeyVersion("instances", 3, "d" * 64)], [])
ARRIVAL_S = 10  # time limit for the arrival of a message or event


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def make_settings(name, key=FLEET_KEY):
    return NodeSettings(
        instance=name,
        service="stock",
        failure_domain="a",
        environment="test",
        host="127.0.0.1",
        control_port=free_port(),
        link_port=1,
        call_port=2,
        admin_port=3,
        backend_port=4,
        source=SourceSettings("http://127.0.0.1:1"),
        security=SecuritySettings(*key),
    )


class Endpoint:
    """Control socket that stores the messages it receives."""

    def __init__(self, name, key=FLEET_KEY, reach=None):
        self.settings = make_settings(name, key)
        self.peer = Peer(name, "127.0.0.1", self.settings.control_port)
        self.telemetry = Telemetry(name, level="critical")
        self.received = asyncio.Queue()
        self.socket = ControlSocket(
            self.settings,
            self.telemetry,
            reach or AddressFilter(),
            lambda sender, message: self.received.put_nowait((sender, message)),
        )

    def events(self, code):
        return [e for e in self.telemetry.select_events() if e["code"] == code]

    async def wait_event(self, code):
        async with asyncio.timeout(ARRIVAL_S):
            while not self.events(code):
                await asyncio.sleep(0.02)


@pytest.fixture
async def endpoints():
    opened = []

    async def open_endpoint(*args, **kwargs):
        endpoint = Endpoint(*args, **kwargs)
        await endpoint.socket.start()
        opened.append(endpoint)
        return endpoint

    yield open_endpoint
    for endpoint in opened:
        endpoint.socket.close()


async def test_message_arrives_with_its_sender(endpoints):
    one, two = await endpoints("one"), await endpoints("two")
    assert one.socket.send(two.peer, QUERY)
    sender, message = await asyncio.wait_for(two.received.get(), ARRIVAL_S)
    assert (sender, message) == (one.peer, QUERY)
    assert two.telemetry.control_bytes > 0


@pytest.mark.parametrize("key", [OTHER_KEY, ("", "")], ids=["other-key", "no-key"])
async def test_peer_without_fleet_key_changes_nothing(endpoints, key):
    """A process outside the fleet must not be able to inject a message."""
    foreign, node = await endpoints("foreign", key), await endpoints("node")
    member = await endpoints("member")
    foreign.socket.send(node.peer, Leaving("node"))
    member.socket.send(node.peer, QUERY)
    sender, message = await asyncio.wait_for(node.received.get(), ARRIVAL_S)
    assert (sender, message) == (member.peer, QUERY)
    node.socket.send(foreign.peer, QUERY)
    member.socket.send(node.peer, QUERY)
    await asyncio.wait_for(node.received.get(), ARRIVAL_S)
    assert node.received.empty()
    assert foreign.received.empty()


async def test_malformed_messages_are_dropped(endpoints):
    """Random bytes from a faulty peer must not stop the receiver."""
    node, member = await endpoints("node"), await endpoints("member")
    public, secret = (key.encode() for key in FLEET_KEY)
    context = zmq.asyncio.Context()
    raw = context.socket(zmq.DEALER)
    raw.curve_serverkey, raw.curve_publickey = public, public
    raw.curve_secretkey = secret
    raw.connect(f"tcp://127.0.0.1:{node.peer.control_port}")
    rng = random.Random(11)
    for size in (0, 1, 40, 5000):
        await raw.send(rng.randbytes(size))
    await node.wait_event(EventCode.PEER_MESSAGE_DROPPED)
    member.socket.send(node.peer, QUERY)
    assert (await asyncio.wait_for(node.received.get(), ARRIVAL_S))[1] == QUERY
    # ZeroMQ closes the connection of a peer that sends an oversized message.
    await raw.send(bytes(MAX_ENVELOPE_BYTES + 1))
    member.socket.send(node.peer, QUERY)
    assert (await asyncio.wait_for(node.received.get(), ARRIVAL_S))[1] == QUERY
    raw.close(0)
    context.destroy(0)


@pytest.mark.parametrize(
    "payload",
    [
        b"junk",
        zlib.compress(bytes(10**8), wbits=-15),
        zlib.compress(encode_message(QUERY), wbits=-15)[:-2],
    ],
    ids=["malformed", "expanding", "truncated"],
)
def test_invalid_deflate_stream_is_refused(payload):
    """A malformed payload must be refused and must not expand without limit."""
    with pytest.raises(MessageError):
        unpack_payload(Envelope("one", "127.0.0.1", 1, payload, True))


def test_message_of_repeated_digests_shrinks():
    held = [KeyVersion("instances", 3, f"{random.Random(1).getrandbits(256):064x}")]
    beat = Heartbeat("d1", "one", 1, 1, "up", held, 5, [5])
    data = encode_message(DigestQuery(held, [beat, beat], [0]))
    packed, deflated = pack_payload(data)
    assert deflated and len(packed) < 0.6 * len(data)
    assert unpack_payload(Envelope("one", "127.0.0.1", 1, packed, True)) == data


async def test_partition_blocks_both_directions(endpoints):
    """A partition that blocks only sends would let messages of peers through."""

    class Cut(AddressFilter):
        def is_allowed(self, host, port):
            return False

    cut, other = await endpoints("cut", reach=Cut()), await endpoints("other")
    assert not cut.socket.send(other.peer, QUERY)
    other.socket.send(cut.peer, QUERY)
    third = await endpoints("third")
    third.socket.send(other.peer, QUERY)
    await asyncio.wait_for(other.received.get(), ARRIVAL_S)
    assert other.received.empty() and cut.received.empty()


async def test_full_queue_is_reported(endpoints):
    """Messages to an unreachable peer must not be queued without bound."""
    node = await endpoints("node")
    unreachable = Peer("unreachable", "127.0.0.1", free_port())
    assert not all(node.socket.send(unreachable, QUERY) for _ in range(200))


async def test_taken_address_is_refused(endpoints):
    node = await endpoints("node")
    second = Endpoint("second")
    settings = replace(second.settings, control_port=node.peer.control_port)
    duplicate = ControlSocket(
        settings, second.telemetry, AddressFilter(), lambda *_: None
    )
    with pytest.raises(ControlError, match="cannot bind"):
        await duplicate.start()
