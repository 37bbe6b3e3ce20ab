"""HTTP server for callers, on the request parser of aiohttp.

The library's own server creates a request object and a task beside the one of
the connection for each request. At 213 calls/s that took 178 to 225 us of
processor time a call, against 113 to 141 us for the parser with one task.
"""

from mangowell_node.ingress.connection import CallerConnection
from mangowell_node.ingress.messages import REASONS, CallerBody, IncomingCall, Reply
from mangowell_node.ingress.server import IngressServer

__all__ = [
    "REASONS",
    "CallerBody",
    "CallerConnection",
    "IncomingCall",
    "IngressServer",
    "Reply",
]
