"""Frame types, limits and keys of the links between nodes."""

import hashlib
import hmac
import struct
from enum import IntEnum

import logbook
import msgspec

from mangowell_core import formats
from mangowell_node.exchange import (
    MAX_BUFFERED_BODY,
    MAX_HEADER_BLOCK,
    AnswerHead,
    RequestHead,
    parse_failed_head,
)

MAGIC = b"mangowell-link-1"
NONCE_BYTES = 32
# Silence after which a link with open streams is pinged. A ping without an answer
# for the same time makes the link suspect.
PING_INTERVAL_S = 0.2
SILENT_AFTER_S = 1.5
# Silence after which repeatable requests may be given up. It is below
# SILENT_AFTER_S, so that there may be time left to retry them on another path.
REPEATABLE_SILENT_AFTER_S = 0.8
CONNECT_TIMEOUT_S = 1.0
HANDSHAKE_TIMEOUT_S = 2.0
IDLE_CLOSE_S = 60.0
# Time for which a stopping server waits for its peers to close their links, after the
# last answer has been sent, in seconds.
PEER_CLOSE_TIMEOUT_S = 0.4
WINDOW_BYTES = 262_144  # unread body bytes that a node buffers for one stream
CHUNK_BYTES = 65_536
# A REQUEST or ANSWER frame may carry headers and a whole buffered body; the rest is
# space for its other fields.
MAX_FRAME = MAX_BUFFERED_BODY + MAX_HEADER_BLOCK + 32_768
MAX_HANDSHAKE_FRAME = 512
MAX_STREAM_ID = 2**32 - 1
MAX_STREAMS = 4096  # open at once on one link

FRAME_HEADER = struct.Struct(">IBI")
WINDOW_UPDATE = struct.Struct(">I")


class FrameType(IntEnum):
    """Type of a frame, encoded as one byte."""

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
_request_decoder = msgspec.msgpack.Decoder(RequestHead)
_answer_decoder = msgspec.msgpack.Decoder(AnswerHead)


class LinkError(Exception):
    """Protocol violation by the peer; the link is closed."""


class LinkAuthenticationError(LinkError):
    """Failed authentication: the peer does not know the fleet's secret."""


def decode_request(payload: bytes) -> RequestHead:
    """Decode the payload of a REQUEST frame; raises `LinkError`."""
    return formats.decode(_request_decoder.decode, payload, LinkError)


def decode_answer(payload: bytes) -> AnswerHead:
    """Decode the payload of an ANSWER or RESET frame; raises `LinkError`."""
    return formats.decode(_read_answer, payload, LinkError)


def _read_answer(payload: bytes) -> AnswerHead:
    head = _answer_decoder.decode(payload)
    if head.status == 0:
        # Names of an outcome and a cause that this version does not know.
        parse_failed_head(head)
    return head


def derive_link_key(secret: str) -> bytes:
    """Derive the key of the request links from the fleet's secret."""
    return hmac.digest(secret.encode(), b"mangowell request link", hashlib.sha256)


def compute_proof(
    key: bytes, role: bytes, first: bytes, second: bytes, name: bytes
) -> bytes:
    """Compute the proof that one side of a handshake knows the key.

    Parameters
    ----------
    key : bytes
        From `derive_link_key`.
    role : bytes
        ``client`` or ``server``: the side that sends the proof.
    first, second : bytes
        Nonce of the peer, then of the sender.
    name : bytes
        Instance name of the client; empty for the server.
    """
    return hmac.digest(key, role + first + second + name, hashlib.sha256)
