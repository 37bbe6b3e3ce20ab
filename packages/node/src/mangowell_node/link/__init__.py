"""Multiplexed connections between nodes on the request path.

A frame is a 9-byte header (payload length, type, stream id) and a payload. The
node that opens a link also opens its streams, one per request. Stream ids start at
1, increase and are never reused on a connection, so that a late frame of a
cancelled request cannot be taken for part of another request.
"""

from mangowell_node.link.client import ClientLink, Contact, LinkPool
from mangowell_node.link.frames import (
    MAX_FRAME,
    SILENT_AFTER_S,
    WINDOW_BYTES,
    FrameType,
    LinkAuthenticationError,
    LinkError,
    derive_link_key,
)
from mangowell_node.link.server import LinkServer, ServerLink
from mangowell_node.link.traffic import Traffic

__all__ = [
    "MAX_FRAME",
    "SILENT_AFTER_S",
    "WINDOW_BYTES",
    "ClientLink",
    "Contact",
    "FrameType",
    "LinkAuthenticationError",
    "LinkError",
    "LinkPool",
    "LinkServer",
    "ServerLink",
    "Traffic",
    "derive_link_key",
]
