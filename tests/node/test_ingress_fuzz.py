"""Random heads and framing at the ingress of a node.

Bytes that a node reads as other requests than a strict reader does let a caller smuggle
a request past whatever stands before the node.
"""

import asyncio
import re

from hypothesis import example, given, settings
from hypothesis import strategies as st

from mangowell_core.mesh.caller_memory import CallerMemory
from mangowell_node.ingress import CallerConnection, IngressServer, Reply

MAX_HEADER_BYTES = 16_384
# 32 requests, each with the largest head and a small body.
MAX_HELD_BYTES = 32 * (8192 + 4 * MAX_HEADER_BYTES)
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
REQUEST_LINE = re.compile(rb"([A-Z]+) (/[!-~]*) HTTP/1\.[01]")
CHUNK = re.compile(rb"([0-9a-fA-F]{1,8})[ \t]*(?:;.*)?")


class ScriptedTransport(asyncio.Transport):
    """Transport that keeps what is written, and takes note of a pause."""

    def __init__(self):
        super().__init__()
        self.is_paused = self.is_closed = False
        self.written = b""

    def get_extra_info(self, name, default=None):
        return default

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.is_closed

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def write(self, data):
        self.written += data

    def write_eof(self):
        pass

    def close(self):
        self.is_closed = True

    abort = close


class StrictReader:
    """Reads requests as RFC 9112 defines them, up to the first deviation."""

    def __init__(self, data):
        self._data = data
        self.requests = []
        self.max_head_bytes = 0

    @property
    def is_complete(self):
        """Whether all bytes belong to requests."""
        return not self._data

    def read(self):
        while self._data and self._read_one():
            pass
        return self.requests

    def _take_line(self):
        line, end, rest = self._data.partition(b"\r\n")
        if not end:
            return None
        self._data = rest
        return line

    def _read_one(self):
        # Empty lines before a request mean nothing, whatever ends them.
        self._data = self._data.lstrip(b"\r\n")
        before = len(self._data)
        match = REQUEST_LINE.fullmatch(self._take_line() or b"")
        if match is None:
            return False
        fields = {}
        while line := self._take_line():
            name, colon, value = line.partition(b":")
            if not colon or not TOKEN.fullmatch(name):
                return False
            fields.setdefault(name.lower(), []).append(value.strip(b" \t"))
        if line is None:
            return False
        self.max_head_bytes = max(self.max_head_bytes, before - len(self._data))
        body = self._read_body(fields)
        if body is None:
            return False
        self.requests.append((match[1], match[2], body))
        return True

    def _read_body(self, fields):
        lengths = fields.get(b"content-length", [])
        codings = fields.get(b"transfer-encoding", [])
        if (lengths and codings) or len(lengths) > 1 or len(codings) > 1:
            return None
        if codings:
            return self._read_chunks() if codings[0].lower() == b"chunked" else None
        if not lengths:
            return b""
        if not re.fullmatch(rb"[0-9]{1,18}", lengths[0]):
            return None
        return self._take(int(lengths[0]))

    def _take(self, size):
        if len(self._data) < size:
            return None
        taken, self._data = self._data[:size], self._data[size:]
        return taken

    def _read_chunks(self):
        body = b""
        while match := CHUNK.fullmatch(self._take_line() or b""):
            size = int(match[1], 16)
            if not size:
                while line := self._take_line():
                    pass
                return None if line is None else body
            chunk = self._take(size)
            if chunk is None or self._take(2) != b"\r\n":
                return None
            body += chunk
        return None


async def feed(segments):
    """Return the requests that a connection has served whole."""
    served = []

    async def serve(call):
        body = await call.read_body()
        if type(body) is bytes:
            served.append((call.method.encode(), call.target.encode(), body))
        return Reply(200, "OK", b"", b"ok")

    def refuse(call):
        return Reply(503, "Service Unavailable", b"")

    loop = asyncio.get_running_loop()
    faults = []
    loop.set_exception_handler(lambda _, context: faults.append(context))
    memory = CallerMemory(10 * MAX_HELD_BYTES)
    server = IngressServer(serve, refuse, memory)
    server.max_header_bytes = MAX_HEADER_BYTES
    server.header_timeout_s = 3.0
    connection = CallerConnection(server, loop)
    transport = ScriptedTransport()
    connection.connection_made(transport)
    for segment in segments:
        # A paused transport delivers nothing.
        for _ in range(2000):
            if transport.is_closed or not transport.is_paused:
                break
            await asyncio.sleep(0)
        if transport.is_closed:
            break
        connection.data_received(segment)
        assert memory.total <= MAX_HELD_BYTES
        await asyncio.sleep(0)
    for _ in range(200):
        await asyncio.sleep(0)
    connection.connection_lost(None)
    for _ in range(5):
        await asyncio.sleep(0)
    assert memory.total == 0
    assert not server.connections
    assert not faults
    return served


TARGETS = st.text("ab/?=%1", max_size=12).map(lambda text: "/" + text)
BODIES = st.binary(max_size=40)


@st.composite
def make_request_bytes(draw):
    method = draw(st.sampled_from(["GET", "POST", "PUT", "DELETE"]))
    head = f"{method} {draw(TARGETS)} HTTP/1.1\r\nHost: x\r\n".encode()
    for number in range(draw(st.integers(0, 3))):
        value = b"v" * draw(st.sampled_from([0, 1, 10, 5000, 16_300]))
        head += b"A%d: %b\r\n" % (number, value)
    body = draw(BODIES)
    match draw(st.sampled_from(["none", "length", "chunked", "both", "two"])):
        case "none":
            return head + b"\r\n"
        case "length":
            return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        case "chunked":
            head += b"Transfer-Encoding: chunked\r\n\r\n"
            if body:
                extension = draw(st.sampled_from([b"", b";a=b", b";" + b"e" * 9000]))
                head += b"%x%b\r\n%b\r\n" % (len(body), extension, body)
            return head + b"0\r\n" + draw(st.sampled_from([b"", b"T: u\r\n"])) + b"\r\n"
        case "both":
            length = b"Content-Length: %d\r\n" % len(body)
            coding = b"Transfer-Encoding: chunked\r\n\r\n"
            return head + length + coding + b"0\r\n\r\n" + body
        case "two":
            lengths = b"Content-Length: %d\r\nContent-Length: %d\r\n\r\n"
            return head + lengths % (len(body), len(body) + 1) + body


NOISE = st.sampled_from(
    [b"\r\n", b"\n", b"\r", b" ", b"\t", b":", b"\x00", b"0", b";", b"\r\n" * 9000]
) | st.binary(max_size=4)
# Where a change begins, as a share of all bytes, how many bytes it removes, and what it
# puts in their place.
CHANGES = st.lists(
    st.tuples(st.floats(0, 1), st.integers(0, 4), NOISE),
    max_size=3,
)
CUTS = st.lists(st.floats(0, 1), max_size=6)


def change(data, changes):
    for position, removed, added in changes:
        start = int(position * len(data))
        data = data[:start] + added + data[start + removed :]
    return data


def cut(data, cuts):
    ends = sorted(int(position * len(data)) for position in cuts)
    starts = [0, *ends]
    return [data[a:b] for a, b in zip(starts, [*ends, len(data)], strict=True)]


@settings(max_examples=400, deadline=None)
@given(st.lists(make_request_bytes(), max_size=30), CHANGES, CUTS)
@example([b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"] * 60, [], [])
@example([b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"] * 5000, [], [0.5])
@example([b"GET /a\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n"], [], [])
@example([b"GET /a HTTP/2.0\r\nHost: x\r\n\r\n"], [], [])
@example([b"\r\n" * 40_000 + b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"], [], [])
def test_no_request_is_smuggled_through_random_framing(requests, changes, cuts):
    data = change(b"".join(requests), changes)
    served = asyncio.run(feed(cut(data, cuts)))
    expected = StrictReader(data).read()
    assert served == expected[: len(served)]


@settings(max_examples=100, deadline=None)
@given(st.lists(make_request_bytes(), max_size=20), st.integers(1, 40))
def test_small_segments_change_no_request(requests, size):
    data = b"".join(requests)[:20_000]
    segments = [data[n : n + size] for n in range(0, len(data), size)]
    served = asyncio.run(feed(segments))
    reader = StrictReader(data)
    expected = reader.read()
    if reader.is_complete and reader.max_head_bytes <= MAX_HEADER_BYTES:
        assert served == expected
    assert served == expected[: len(served)]
