"""Frames, limits and keys of the links between nodes."""

import hashlib
import hmac
import struct
from enum import IntEnum

import logbook
import msgspec

from mangowell_node.exchange import (
    MAX_BUFFERED_BODY,
    MAX_HEADER_BLOCK,
    AnswerHead,
    RequestHead,
)

MAGIC = b"mangowell-link-1"
NONCE_BYTES = 32
# Silence after which a link with open streams is pinged. A ping that has no
# answer for as long makes the link doubtful.
PING_INTERVAL_S = 0.2
SILENT_AFTER_S = 1.5
# Silence after which requests that may be repeated are given up, as there may
# be time left for another way.
REPEAT_AFTER_S = 0.8
CONNECT_TIMEOUT_S = 1.0
HANDSHAKE_TIMEOUT_S = 2.0
IDLE_CLOSE_S = 60.0
WINDOW_BYTES = 262_144  # unread body bytes of one stream that a node holds
CHUNK_BYTES = 65_536
# A head carries headers and a whole body; the rest is room for its other fields.
MAX_FRAME = MAX_BUFFERED_BODY + MAX_HEADER_BLOCK + 32_768
MAX_HANDSHAKE_FRAME = 512
MAX_STREAM = 2**32 - 1
MAX_STREAMS = 4096  # open at once on one link

FRAME_HEADER = struct.Struct(">IBI")
WINDOW_UPDATE = struct.Struct(">I")


class FrameType(IntEnum):
    """Type of a frame."""

    HELLO = 1
    AUTHENTICATE = 2
    WELCOME = 3
    REQUEST = 4
    ANSWER = 5
    DATA = 6
    END = 7
    WINDOW = 8
    CANCEL = 9
    RESET = 10
    PING = 11
    PONG = 12
    GOAWAY = 13
    NOTICE = 14


REQUEST_FRAME = int(FrameType.REQUEST)
ANSWER_FRAME = int(FrameType.ANSWER)
NO_PAYLOAD = b""

log = logbook.Logger(__name__)
encoder = msgspec.msgpack.Encoder()
request_decoder = msgspec.msgpack.Decoder(RequestHead)
answer_decoder = msgspec.msgpack.Decoder(AnswerHead)


class LinkError(Exception):
    """Bytes or frames that break the protocol; the link is closed."""


class LinkAuthenticationError(LinkError):
    """The peer does not hold the fleet's secret."""


def derive_link_key(secret: str) -> bytes:
    """Derive the key of the request links from the fleet's secret."""
    return hmac.digest(secret.encode(), b"mangowell request link", hashlib.sha256)


def prove(key: bytes, role: bytes, first: bytes, second: bytes, name: bytes) -> bytes:
    """Return the proof that one side of a handshake holds the key."""
    return hmac.digest(key, role + first + second + name, hashlib.sha256)
