"""HTTP backend servers whose answers a script gives, and a reader of answers."""

import asyncio
import contextlib
from dataclasses import dataclass, field


@dataclass
class ReceivedRequest:
    """Request as a backend server received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    cancelled: asyncio.Event = field(default_factory=asyncio.Event)


class ScriptedBackend:
    """Backend server whose answers are given by a test, byte for byte.

    Each request that has arrived whole counts as an execution.

    Parameters
    ----------
    handler : callable or None
        Takes a `ReceivedRequest` and returns the bytes to send, or None if it has
        written the answer or closed the connection itself.
    health : str
        Status that the health endpoint reports.
    """

    def __init__(self, handler=None, health="ok"):
        self.handler = handler
        self.raw = None  # if set, called with reader and writer after a head
        self.health = health
        self.health_delay_s = 0.0
        self.muted: set[asyncio.StreamWriter] = set()  # silent connections
        self.received: list[ReceivedRequest] = []
        self.arrived = asyncio.Event()
        self.connections = 0
        self.port = 0
        self._server = None
        self._writers = set()

    @property
    def executions(self) -> int:
        """Number of requests that have arrived whole."""
        return len(self.received)

    async def start(self, port=0, host="127.0.0.1"):
        """Listen; port 0 takes a free one."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=2**20)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def mute_connections(self):
        """Stop answering on all open connections; new ones work."""
        self.muted = set(self._writers)

    def crash(self):
        """Close the listener and every connection at once."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self.connections += 1
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while await self._serve_one(reader, writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _serve_one(self, reader, writer):
        block = await reader.readuntil(b"\r\n\r\n")
        first, *lines = block.decode("latin-1").split("\r\n")[:-2]
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(": ")
            headers[name.lower()] = value
        if writer in self.muted:
            return True
        if target == "/health":
            await asyncio.sleep(self.health_delay_s)
            if writer in self.muted:
                return True
            text = f'{{"status": "{self.health}", "load": 0.1}}'
            writer.write(make_answer(text.encode()))
            return True
        if self.raw is not None:
            await self.raw(reader, writer)
            return False
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
        request = ReceivedRequest(method, target, headers, body, writer)
        self.received.append(request)
        self.arrived.set()
        answer = make_answer(b"ok")
        if self.handler is not None:
            handling = asyncio.ensure_future(self.handler(request))
            early_read = asyncio.ensure_future(reader.read(1))
            await asyncio.wait(
                (handling, early_read), return_when=asyncio.FIRST_COMPLETED
            )
            if early_read.done() and not handling.done():
                request.cancelled.set()
                handling.cancel()
                return False
            early_read.cancel()
            await asyncio.gather(early_read, return_exceptions=True)
            if isinstance(handling.exception(), ConnectionError):
                request.cancelled.set()
            answer = handling.result()
        if answer is None or writer.is_closing():
            return False
        writer.write(answer)
        await writer.drain()
        return "connection: close" not in answer[:200].decode("latin-1").lower()


def make_answer(body=b"", status="200 OK", headers="") -> bytes:
    """Return the bytes of an answer with a length."""
    head = f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@dataclass
class Response:
    """Answer as a caller received it; `complete` tells if the body is whole."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool

    @property
    def outcome(self):
        """Outcome that a node of the product states, or None."""
        return self.headers.get("mangowell-outcome")


async def read_response(reader, method="GET") -> Response:
    """Read one answer; raises `IncompleteReadError` if its head is cut."""
    block = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = block.split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(": ")
        headers[name.lower()] = value
    status = int(first.split(" ")[1])
    body, complete = b"", True
    try:
        if method == "HEAD":
            pass
        elif headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline() or b"-1", 16):
                if size < 0:
                    raise ConnectionError
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (ConnectionError, asyncio.IncompleteReadError):
        complete = False
    return Response(status, headers, body, complete)
