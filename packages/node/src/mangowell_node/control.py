"""Control messages between nodes over ZeroMQ.

Each node binds one ROUTER socket and opens a DEALER socket to each peer that
it sends to. Traffic on a DEALER goes in one direction only, so a silent peer
cannot block messages from others. A reply is sent on the replier's own DEALER.
"""

import asyncio
import zlib
from collections import OrderedDict
from collections.abc import Callable

import msgspec
import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from mangowell_core.distribution.io import Peer
from mangowell_core.events import Event, EventCode
from mangowell_core.messages import (
    MAX_MESSAGE_BYTES,
    Message,
    MessageError,
    decode_message,
    encode_message,
)
from mangowell_node.reach import AddressFilter
from mangowell_node.telemetry import Telemetry

MAX_ENVELOPE_BYTES = MAX_MESSAGE_BYTES + 1024
SEND_QUEUE_MESSAGES = 64
# Parents and children in two trees, 16 digest exchange partners, and for a reader
# 3 instances in each of 15 other failure domains.
MAX_OPEN_PEERS = 96
RECONNECT_MIN_MS = 200
RECONNECT_MAX_MS = 5000
# A connection on which the peer's host has acknowledged no data for this long is
# replaced by a new one. This needs no probes: with 32 open connections, a probe
# every 5 s would cost 2 KB/s of the 10 KB/s budget for control traffic.
MAX_UNACKNOWLEDGED_MS = 4000
# The receiving end of a connection sends no data, so only the kernel's keepalive
# probes detect that the peer is gone.
KEEPALIVE_IDLE_S = 60
# Bytes on the wire besides the payload: TCP/IP headers and CURVE framing for each
# message, and the CURVE handshake (`HANDSHAKE_BYTES`) for each connection.
MESSAGE_OVERHEAD_BYTES = 85
# Longer messages contain data that is already compressed.
MAX_DEFLATE_BYTES = 4096
DEFLATE_WINDOW_BITS = -12
HANDSHAKE_BYTES = 1100


class ControlError(Exception):
    """Raised by `ControlSocket.start` if the socket cannot be opened."""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Encoded message with the sender's address.

    Most of a message consists of repeated digests, so compression reduces it to a
    half or less.

    Parameters
    ----------
    instance : str
        Id of the sender.
    host : str
    control_port : int
        Address of the sender's ROUTER socket.
    payload : bytes
        Encoded message.
    deflated : bool
        Whether `payload` is a raw deflate stream.
    """

    instance: str
    host: str
    control_port: int
    payload: bytes
    deflated: bool


def pack_payload(data: bytes) -> tuple[bytes, bool]:
    """Compress an encoded message, unless it is too long or would not get shorter.

    Returns
    -------
    tuple of (bytes, bool)
        Payload and whether it is compressed.
    """
    if len(data) > MAX_DEFLATE_BYTES:
        return data, False
    deflater = zlib.compressobj(6, zlib.DEFLATED, DEFLATE_WINDOW_BITS, 5)
    packed = deflater.compress(data) + deflater.flush()
    return (packed, True) if len(packed) < len(data) else (data, False)


def unpack_payload(envelope: Envelope) -> bytes:
    """Return the encoded message of an envelope.

    Raises
    ------
    MessageError
        If the payload is not a valid deflate stream or expands beyond
        `MAX_DEFLATE_BYTES`.
    """
    if not envelope.deflated:
        return envelope.payload
    inflater = zlib.decompressobj(-zlib.MAX_WBITS)
    try:
        data = inflater.decompress(envelope.payload, MAX_DEFLATE_BYTES)
    except zlib.error as exc:
        raise MessageError(f"malformed deflate stream: {exc}") from exc
    if not inflater.eof:
        raise MessageError(
            f"deflate stream exceeds {MAX_DEFLATE_BYTES} bytes or is truncated"
        )
    return data


class _FleetKeyAuthenticator:
    """Accepts peers that have the fleet's CURVE key.

    pyzmq calls `callback` for each new connection.
    """

    __slots__ = ("_on_refused", "_public")

    def __init__(self, public: str, on_refused: Callable[[], None]):
        self._public = public.encode()
        self._on_refused = on_refused

    def callback(self, domain: str, key: bytes) -> bool:
        if key == self._public:
            return True
        self._on_refused()
        return False


class ControlSocket:
    """Sends and receives control messages of one node.

    Parameters
    ----------
    settings : NodeSettings
    telemetry : Telemetry
    reach : AddressFilter
    on_message : callable
        Called with the sender's `Peer` and each `Message` that arrives.
    """

    __slots__ = (
        "_authenticator",
        "_context",
        "_decoder",
        "_encoder",
        "_local_peer",
        "_on_message",
        "_peer_sockets",
        "_reach",
        "_receiver",
        "_router",
        "_security",
        "_telemetry",
    )

    def __init__(
        self,
        settings,
        telemetry: Telemetry,
        reach: AddressFilter,
        on_message: Callable[[Peer, Message], None],
    ):
        self._local_peer = Peer(settings.instance, settings.host, settings.control_port)
        self._security = settings.security
        self._telemetry = telemetry
        self._reach = reach
        self._on_message = on_message
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self._peer_sockets: OrderedDict[tuple[str, int], zmq.Socket] = OrderedDict()
        self._context: zmq.asyncio.Context | None = None
        self._authenticator: AsyncioAuthenticator | None = None
        self._router: zmq.asyncio.Socket | None = None
        self._receiver: asyncio.Task | None = None

    async def start(self) -> None:
        """Bind the socket and start receiving.

        Raises
        ------
        ControlError
            If the address cannot be bound.
        """
        self._context = zmq.asyncio.Context()
        if self._security.curve_public:
            self._authenticator = AsyncioAuthenticator(self._context)
            self._authenticator.start()
            self._authenticator.configure_curve_callback(
                credentials_provider=_FleetKeyAuthenticator(
                    self._security.curve_public, self._on_refused_peer
                )
            )
        self._router = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.setsockopt(zmq.MAXMSGSIZE, MAX_ENVELOPE_BYTES)
        self._router.setsockopt(zmq.TCP_KEEPALIVE, 1)
        self._router.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)
        if self._security.curve_public:
            self._router.curve_server = True
            self._set_keys(self._router)
        address = f"tcp://{self._local_peer.host}:{self._local_peer.control_port}"
        try:
            self._router.bind(address)
        except zmq.ZMQError as exc:
            self.close()
            raise ControlError(f"cannot bind {address}: {exc}") from exc
        self._receiver = asyncio.create_task(self._receive())

    def send(self, peer: Peer, message: Message) -> bool:
        """Send without waiting; return whether the message was queued."""
        if self._context is None or not self._reach.is_allowed(
            peer.host, peer.control_port
        ):
            return False
        local = self._local_peer
        payload, deflated = pack_payload(encode_message(message))
        data = self._encoder.encode(
            Envelope(local.instance, local.host, local.control_port, payload, deflated)
        )
        try:
            self._get_socket(peer).send(data, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        self._record_traffic("out", message, len(data))
        return True

    def close(self) -> None:
        """Close all sockets; queued messages are dropped."""
        if self._receiver is not None:
            self._receiver.cancel()
            self._receiver = None
        if self._authenticator is not None:
            self._authenticator.stop()
            self._authenticator = None
        for socket in self._peer_sockets.values():
            socket.close(0)
        self._peer_sockets.clear()
        if self._router is not None:
            self._router.close(0)
            self._router = None
        if self._context is not None:
            self._context.destroy(0)
            self._context = None

    async def _receive(self) -> None:
        while True:
            frames = await self._router.recv_multipart()
            try:
                envelope = self._decoder.decode(frames[-1])
                message = decode_message(unpack_payload(envelope))
            except (MessageError, msgspec.DecodeError) as exc:
                self._record_dropped(frames, str(exc))
                continue
            if not self._reach.is_allowed(envelope.host, envelope.control_port):
                continue
            self._record_traffic("in", message, len(frames[-1]))
            sender = Peer(envelope.instance, envelope.host, envelope.control_port)
            self._on_message(sender, message)

    def _get_socket(self, peer: Peer) -> zmq.Socket:
        address = (peer.host, peer.control_port)
        socket = self._peer_sockets.get(address)
        if socket is not None:
            self._peer_sockets.move_to_end(address)
            return socket
        if len(self._peer_sockets) >= MAX_OPEN_PEERS:
            _, least_recent = self._peer_sockets.popitem(last=False)
            least_recent.close(0)
        # Sends do not block, so a plain socket without an event loop is enough.
        socket = zmq.Socket(self._context, zmq.DEALER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.setsockopt(zmq.TCP_MAXRT, MAX_UNACKNOWLEDGED_MS)
        if self._security.curve_public:
            socket.curve_serverkey = self._security.curve_public.encode()
            self._set_keys(socket)
        socket.connect(f"tcp://{peer.host}:{peer.control_port}")
        self._peer_sockets[address] = socket
        self._telemetry.record_control_message("out", "handshake", HANDSHAKE_BYTES)
        return socket

    def _set_keys(self, socket: zmq.Socket) -> None:
        socket.curve_publickey = self._security.curve_public.encode()
        socket.curve_secretkey = self._security.curve_secret.encode()

    def _record_traffic(self, direction: str, message: Message, size: int) -> None:
        kind = message.__struct_config__.tag
        self._telemetry.record_control_message(
            direction, kind, size + MESSAGE_OVERHEAD_BYTES
        )

    def _record_dropped(self, frames: list[bytes], reason: str) -> None:
        size = sum(map(len, frames))
        self._telemetry.record_control_message("in", "dropped", size)
        self._telemetry.emit(
            Event(
                EventCode.PEER_MESSAGE_DROPPED,
                {"reason": reason, "size_bytes": size},
            )
        )

    def _on_refused_peer(self) -> None:
        self._telemetry.emit(
            Event(EventCode.PEER_REFUSED, {"reason": "peer lacks the fleet's key"})
        )
