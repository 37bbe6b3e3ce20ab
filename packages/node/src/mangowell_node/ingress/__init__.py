"""HTTP server for callers, based on the request parser of aiohttp.

The server of aiohttp creates a request object and a second task, beside the one of
the connection, for each request. At 213 calls/s it took 178 to 225 us of processor
time per call, against 113 to 141 us for the parser with one task.
"""

from mangowell_node.ingress.caller_report import CallerReport
from mangowell_node.ingress.connection import CallerConnection
from mangowell_node.ingress.messages import (
    REASON_PHRASES,
    CallerBody,
    IncomingCall,
    Reply,
)
from mangowell_node.ingress.server import IngressServer

__all__ = [
    "REASON_PHRASES",
    "CallerBody",
    "CallerConnection",
    "CallerReport",
    "IncomingCall",
    "IngressServer",
    "Reply",
]
