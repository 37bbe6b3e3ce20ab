"""The last answer of a node that is stopped is cut by a request behind it."""

import asyncio
import contextlib
import os
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import Case, Node, Reply, main, make_route, read_reply, reset, write_answer

SERVICES = ["catalogue"]
# The longest answer of the users' site files.
PAGE_BYTES = 30_000
WORK_S = 0.3
# One way between a requester and its machine, as on the site.
DELAY_S = 0.008
# Bytes that the link carries before the receiver has confirmed them.
WINDOW_BYTES = 12_000
CONNECTIONS = 12
# Time from SIGTERM to the first of the pages.
FIRST_PAGE_AFTER_S = 0.1
# With this interval, all requests are sent within 1 s of SIGTERM, before a platform
# that asks once a second can have missed two answers.
PAGE_INTERVAL_S = 0.05


async def answer_page(worker, reader, writer, run, number) -> bool:
    """Answer with a page, as a sound worker."""
    await asyncio.sleep(WORK_S)
    fields = {
        "Request-Id": run.request,
        "Response-Stamp": f"stamp.{worker.id}.{run.request}",
    }
    write_answer(writer, "200 OK", fields, bytes(PAGE_BYTES))
    return True


def deliver(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write bytes that have arrived unless the connection is closed."""
    if not writer.is_closing():
        writer.write(data)


class Link:
    """Carries one connection with the delay and window of a requester's link."""

    def __init__(self, node: Node):
        self._node = node
        # Bytes that have come from the node, and whether it reset the connection.
        self.received = 0
        self.is_reset = False
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen for the requester and return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        # The kernel doubles the value.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES // 2)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (self._node.host, self._node.callers_port))
        upstream = loop.create_task(self._carry_requests(reader, sock))
        try:
            carried = 0
            while data := await loop.sock_recv(sock, WINDOW_BYTES - carried):
                loop.call_later(DELAY_S, deliver, writer, data)
                carried += len(data)
                self.received += len(data)
                if carried == WINDOW_BYTES:
                    await asyncio.sleep(2 * DELAY_S)
                    carried = 0
            await asyncio.sleep(2 * DELAY_S)
            writer.close()
        except ConnectionError:
            self.is_reset = True
            await asyncio.sleep(2 * DELAY_S)
            reset(writer)
        finally:
            upstream.cancel()
            sock.close()

    async def _carry_requests(self, reader, sock) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                await asyncio.sleep(DELAY_S)
                await loop.sock_sendall(sock, data)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()


def make_request(request: str) -> bytes:
    """Return a request for a page."""
    return (
        "GET /pages/1 HTTP/1.1\r\nHost: pages.example\r\n"
        f"Request-Id: {request}\r\nTimeout-Ms: 3000\r\n\r\n"
    ).encode()


async def read_pages(case: Case, node: Node, number: int, start: float) -> list[Reply]:
    """Read a page, and send the next request before its answer can have arrived."""
    link = Link(node)
    port = await link.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2**21)
    replies = [Reply(f"c{number}-{name}", node.name, 0.0) for name in "ab"]
    case.replies += replies
    await asyncio.sleep(start - time.monotonic())
    replies[0].sent = time.monotonic()
    writer.write(make_request(replies[0].request))
    # The head of the answer arrives 2 * DELAY_S after the end of the work.
    await asyncio.sleep(WORK_S + (0.8 + 0.1 * (number % 10)) * DELAY_S)
    replies[1].sent = time.monotonic()
    writer.write(make_request(replies[1].request))
    try:
        async with asyncio.timeout(3.0):
            await read_reply(reader, replies[0])
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as exc:
        replies[0].error = repr(exc)[:80]
    replies[0].ended = time.monotonic()
    writer.close()
    link.close()
    reply = replies[0]
    case.record.write(
        f"requester: {reply.request} gets {reply.status} {reply.error} "
        f"(body of {len(reply.body)} bytes); the node sent {link.received} bytes"
        f"{', then a reset' * link.is_reset}"
    )
    return replies


async def run(case: Case) -> bool:
    """Return whether an answer was cut."""
    node = await case.add("catalogue", slots=40)
    await case.add("catalogue", slots=40)
    for other in case.nodes:
        other.worker.behaviour = answer_page
    case.put_config([make_route("pages", "catalogue", timeout="3000ms")], SERVICES)
    await case.start_all()
    start = time.monotonic() + 0.3 + FIRST_PAGE_AFTER_S
    pages = [
        case.spawn(read_pages(case, node, number, start + PAGE_INTERVAL_S * number))
        for number in range(CONNECTIONS)
    ]
    await asyncio.sleep(0.3)
    if case.has_trouble:
        node.send_signal(signal.SIGTERM)
    await asyncio.gather(*pages)
    runs = {run.request for other in case.nodes for run in other.worker.runs}
    cut = [r.request for r in case.replies if r.error and r.ended and r.request in runs]
    case.record.write(
        f"{len(cut)} of {CONNECTIONS} pages were passed on to a worker and cut: "
        f"{' '.join(cut)}"
    )
    return bool(cut)


if __name__ == "__main__":
    main(__file__, run, os.environ.get("TROUBLE"))
