"""Stand-ins for the platform, its workers and requesters, for the review's scripts.

All of them run in one process on loopback addresses and follow the users' pages.
The nodes are processes of their own, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
NODE_COMMAND = ("python3", "deploy/mangowell_node_launcher.py")
NODE_VARIABLES = ("PATH", "HOME", "JAVA_HOME", "LANG")
READY_TIMEOUT_S = 20.0
# Bounds of the rules, with the values of the users' smallest site.
DRAIN_S = 2.0
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
GRACE_S = 6.0
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run; it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path):
        self.started = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self._file.flush()


class Head:
    """Start line and header fields of a message; field names are in lower case."""

    def __init__(self, start: list[str], fields: dict[str, str]):
        self.start = start
        self.fields = fields


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read the head of a message; None at the end of the connection."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = block.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Head(lines[0].split(" ", 2), fields)


def write_answer(
    writer: asyncio.StreamWriter, status: str, fields: dict[str, str], body: bytes
) -> None:
    """Write an answer with a length."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)


class Store:
    """Read-only side of the platform's store, with one listener for each node."""

    def __init__(self, record: Record):
        self._record = record
        self._revision = 100
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Event()
        self._writers: dict[str, set[asyncio.StreamWriter]] = {}
        self._silent: set[asyncio.StreamWriter] = set()
        self._servers: list[asyncio.Server] = []

    async def listen(self, node: str) -> int:
        """Open the listener of a node and return its port."""

        async def serve(reader, writer):
            await self._serve(node, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def put(self, key: str, value: bytes) -> float:
        """Write an item and return the time of the ack, in monotonic seconds."""
        self._revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "mod-rev": self._revision,
            "created-rev": self._revision,
            "lease": 0,
        }
        self._items[key] = item
        return self._publish(item, f"put {key} {len(value)} bytes")

    def delete(self, key: str) -> float:
        """Delete an item and return the time of the ack, in monotonic seconds."""
        self._revision += 1
        del self._items[key]
        item = {"key": key, "mod-rev": self._revision, "tombstone": True}
        return self._publish(item, f"delete {key}")

    def _publish(self, event: dict, text: str) -> float:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()
        self._record.write(f"store: {text}, revision {self._revision}")
        return time.monotonic()

    def silence_open_connections(self) -> None:
        """Answer nothing more on the connections that are open now."""
        for writers in self._writers.values():
            self._silent |= writers
        self._record.write(f"store: {len(self._silent)} connections are silent")

    async def _serve(self, node, reader, writer) -> None:
        writers = self._writers.setdefault(node, set())
        writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                url = urlsplit(head.start[1])
                query = {k: unquote(v[0]) for k, v in parse_qs(url.query).items()}
                status, body = await self._answer(url.path, query)
                while writer in self._silent:
                    await asyncio.sleep(3600)
                fields = {"Content-Type": "application/json"}
                write_answer(writer, status, fields, json.dumps(body).encode())
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writers.discard(writer)
            writer.close()

    async def _answer(self, path: str, query: dict) -> tuple[str, dict]:
        await asyncio.sleep(0.004)
        match path:
            case "/api/kv-key":
                item = self._items.get(query["key"])
                if item is None:
                    return "404 Not Found", {}
                return "200 OK", item | {"as-of": self._revision}
            case "/api/kv-range":
                prefix = query.get("prefix", "")
                items = [i for k, i in sorted(self._items.items()) if _in(k, prefix)]
                reply = {"items": items, "has-more": False, "as-of": self._revision}
                return "200 OK", reply
            case "/api/kv-watch":
                return "200 OK", await self._watch(query)
        return "404 Not Found", {}

    async def _watch(self, query: dict) -> dict:
        after, prefix = int(query["after"]), query.get("prefix", "")
        deadline = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["mod-rev"] > after and _in(event["key"], prefix)
            ]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                return {"events": events, "as-of": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining_s)

    def close(self) -> None:
        """Close the listeners."""
        for server in self._servers:
            server.close()


def _in(key: str, prefix: str) -> bool:
    return key.startswith(prefix)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Run:
    """One request that has reached a worker."""

    def __init__(self, request: str, arrived: float, head: Head, body: bytes):
        self.request = request
        self.arrived = arrived
        self.head = head
        self.body = body
        self.is_complete = False


class Worker:
    """Application worker: runs up to `slots` requests and rejects what is above."""

    def __init__(self, record: Record, name: str, service: str, host: str, **options):
        self._record = record
        self.id = name
        self.service = service
        self.host = host
        self.port = pick_port(host)
        self.zone = options.get("zone", "zone-a")
        self.slots = options.get("slots", 12)
        self.work_s = options.get("work_s", 0.1)
        self.born_ms = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.running = 0
        # Whether the worker leaves; its answers then close their connections.
        self.is_leaving = False
        self._handlers: set[asyncio.Task] = set()
        # Replaces the answer of the worker, if it is set.
        self.behaviour: Callable[..., Awaitable[bool]] | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.connections = 0

    async def start(self) -> None:
        """Listen at a free port, or again at the known one."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def make_entry(self, state: str = "ready", seq: int = 1) -> bytes:
        """Return what the worker says of itself in the store."""
        entry = {
            "address": f"{self.host}:{self.port}",
            "node-info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": state, "seq": seq, "warmup-left": "0ms"},
            "born": self.born_ms,
        }
        return json.dumps(entry).encode()

    @property
    def key(self) -> str:
        """Key of the worker's entry."""
        return f"servers/{self.id}"

    def crash(self) -> None:
        """End at once: refuse connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)
        for task in self._handlers - {asyncio.current_task()}:
            task.cancel()
        self._record.write(f"worker {self.id}: ends with {self.running} requests")

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        self._handlers.add(asyncio.current_task())
        self.connections += 1
        number = 0
        try:
            while (head := await read_head(reader)) is not None:
                body = await reader.readexactly(
                    int(head.fields.get("content-length", 0))
                )
                number += 1
                if not await self._handle(reader, writer, head, body, number):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            self._handlers.discard(asyncio.current_task())
            writer.close()

    async def _handle(self, reader, writer, head, body, number) -> bool:
        request = head.fields.get("request-id", "")
        fields = {"Request-Id": request} if request else {}
        fields["Server-Load"] = f"{self.running},0,{self.slots}"
        if head.fields.get("expected-instance", self.id) != self.id:
            fields["Instance-Id"] = self.id
            write_answer(writer, "421 Misdirected Request", fields, b"")
            return True
        if self.running >= self.slots:
            fields["Not-Executed"] = "1"
            write_answer(writer, "503 Service Unavailable", fields, b"")
            return True
        run = Run(request, time.monotonic(), head, body)
        self.runs.append(run)
        caller = head.fields.get("caller-service", "")
        self._record.write(f"worker {self.id}: runs {request} of {caller}")
        self.running += 1
        try:
            if self.behaviour is not None:
                is_open = await self.behaviour(self, reader, writer, run, number)
            else:
                await asyncio.sleep(self.work_s)
                answer(writer, self, run)
                is_open = not self.is_leaving
            await writer.drain()
        finally:
            self.running -= 1
        run.is_complete = True
        return is_open

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


def answer(writer, worker: Worker, run: Run) -> None:
    """Write the sound answer of a worker."""
    fields = {
        "Request-Id": run.request,
        "Response-Stamp": f"stamp.{worker.id}.{run.request}",
        "Server-Load": f"{worker.running - 1},0,{worker.slots}",
    }
    if worker.is_leaving:
        fields["Connection"] = "close"
    write_answer(writer, "200 OK", fields, make_body(run.request))


def make_body(request: str) -> bytes:
    """Return the body that a worker answers to a request."""
    return f"answer to {request}\n".encode()


class Reply:
    """What a requester has got for one request."""

    def __init__(self, request: str, node: str, sent: float):
        self.request = request
        self.node = node
        self.sent = sent
        self.ended = 0.0
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        self.error = ""


class Node:
    """One process of the project, beside one worker."""

    def __init__(self, case: "Case", name: str, worker: Worker, link_port: int):
        self.case = case
        self.name = name
        self.worker = worker
        self.host = worker.host
        self.link_port = link_port
        self.callers_port = pick_port(self.host)
        self.ready_port = pick_port(self.host)
        self.metrics_port = pick_port(self.host)
        self.store_port = 0
        self.process: asyncio.subprocess.Process | None = None
        # Readiness checks in a row without a 200.
        self.misses = 0

    @property
    def takes_work(self) -> bool:
        """Whether requesters get new work; not after two missed checks in a row."""
        return self.misses < 2

    def write_settings(self) -> Path:
        """Write the settings file as the platform fills in the template."""
        path = self.case.folder / f"{self.name}.ini"
        path.write_text(
            f"""[node]
instance = {self.name}
failure_domain = {self.worker.zone}
service = {self.worker.service}
link_mbps = 1000.0

[listen]
callers = {self.host}:{self.callers_port}
ready = {self.host}:{self.ready_port}
link = {self.host}:{self.link_port}
metrics_port = {self.metrics_port}

[worker]
worker = {self.host}:{self.worker.port}

[store]
store = 127.0.0.1:{self.store_port}

[bounds]
grace_s = {GRACE_S:g}s

[retries]
retry_ratio = 0.2
retry_floor = 60
retry_window_s = 10s
"""
        )
        return path

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.write_settings()
        env = {k: os.environ[k] for k in NODE_VARIABLES if k in os.environ}
        env["MANGOWELL_CONFIG"] = str(path)
        with (self.case.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *NODE_COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.case.record.write(f"node {self.name}: started")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)
        self.case.record.write(f"node {self.name}: {number.name}")

    async def is_ready(self) -> bool:
        """Ask the node as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, self.ready_port
                )
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: node\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head is not None and head.start[1] == "200"
        except (OSError, TimeoutError):
            return False

    async def wait_until_ready(self) -> None:
        """Wait until the node is ready.

        Raises
        ------
        NotRunError
            If it does not become ready.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > deadline:
                log = (self.case.folder / f"{self.name}.log").read_text()
                ended = self.process.returncode
                raise NotRunError(f"{self.name} is not ready ({ended}): {log[-600:]}")
            await asyncio.sleep(0.1)

    async def end(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


# Ports below those that the system gives to outgoing connections.
FIRST_PORT, LAST_PORT = 20_000, 29_999
_picked_ports: set[int] = set()


def pick_port(host: str) -> int:
    """Return a port that is free on a host and was not returned before."""
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port in _picked_ports:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
            _picked_ports.add(port)
            return port


class Case:
    """One run of a script: the store, the nodes and their workers."""

    def __init__(self, folder: Path, has_trouble: bool):
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="mangowell-review-"))
        self.has_trouble = has_trouble
        self.store = Store(self.record)
        self.nodes: list[Node] = []
        self.replies: list[Reply] = []
        self._request_count = 0
        self._link_port = pick_port("127.0.0.1")
        self._version = 0
        self.tasks: list[asyncio.Task] = []

    async def add(self, service: str, zone: str = "zone-a", **options) -> Node:
        """Add a worker and the node beside it; neither is started or listed yet."""
        number = len(self.nodes) + 1
        worker = Worker(
            self.record,
            f"i-{service}-{number}",
            service,
            f"127.{1 + os.getpid() % 250}.0.{10 + number}",
            zone=zone,
            **options,
        )
        await worker.start()
        node = Node(self, f"sidecar-{number}", worker, self._link_port)
        node.store_port = await self.store.listen(node.name)
        self.nodes.append(node)
        return node

    def put_config(self, routes: list[dict], services: list[str]) -> float:
        """Write a new version of the configuration and return the time of the ack."""
        self._version += 3
        columns = [
            *("name", "hostname", "prefix", "route-type", "timeout"),
            *("target-latency", "priority", "traffic-split", "max-attempts"),
            "service",
        ]
        names = ["name", "health-path", "max-connections", "protocol", "tls"]
        document = {
            "version": self._version,
            "routes": {
                "columns": columns,
                "rows": [[route.get(name) for name in columns] for route in routes],
            },
            "services": {
                "columns": names,
                "rows": [[name, "/healthz", 120, "h1", False] for name in services],
            },
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 67108864,
                "header-timeout": "3000ms",
                "idle-timeout": "15000ms",
            },
        }
        return self.store.put("op/config", json.dumps(document).encode())

    async def start_all(self) -> None:
        """List all workers, start all nodes and wait until they are ready."""
        if not (ROOT / "target/src/mangowell_node").is_dir():
            raise NotRunError("the build of the deploy file has not run")
        for node in self.nodes:
            self.store.put(node.worker.key, node.worker.make_entry())
        await asyncio.gather(*(node.start() for node in self.nodes))
        for node in self.nodes:
            await node.wait_until_ready()
        for node in self.nodes:
            self.spawn(self._check_readiness(node))
        # The nodes open their links and elect the readers of the store.
        await asyncio.sleep(3.0)

    async def _check_readiness(self, node: Node) -> None:
        """Ask a node once a second whether it is ready."""
        while True:
            node.misses = 0 if await node.is_ready() else node.misses + 1
            await asyncio.sleep(1.0)

    async def request(
        self,
        node: Node,
        host: str,
        path: str,
        method: str = "GET",
        timeout_ms: int = 1500,
        body: bytes = b"",
    ) -> Reply:
        """Send one request to a node and wait for the answer."""
        self._request_count += 1
        request = f"r{self._request_count:06d}"
        reply = Reply(request, node.name, time.monotonic())
        self.replies.append(reply)
        self.record.write(f"requester: {request} {method} {host}{path} to {node.name}")
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"Request-Id: {request}",
            f"Timeout-Ms: {timeout_ms}",
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        payload = "\r\n".join([*lines, "", ""]).encode() + body
        writer = None
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                reader, writer = await asyncio.open_connection(
                    node.host, node.callers_port
                )
                writer.write(payload)
                await read_reply(reader, reply)
        except TimeoutError:
            reply.error = "time budget has passed"
        except (OSError, asyncio.IncompleteReadError) as exc:
            reply.error = f"connection: {exc!r}"
        finally:
            if writer is not None:
                writer.close()
        reply.ended = time.monotonic()
        self.record.write(f"requester: {request} gets {reply.status} {reply.error}")
        return reply

    def spawn(self, coroutine) -> asyncio.Task:
        """Start a background task of the case."""
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def send_stream(self, rate: float, node: Node, **request) -> None:
        """Send requests at a steady rate until cancelled."""
        while True:
            if node.takes_work:
                self.spawn(self.request(node, **request))
            await asyncio.sleep(1 / rate)

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.gather(*(node.end() for node in self.nodes))
        for node in self.nodes:
            node.worker.close()
        self.store.close()
        # The transports close in the next rounds of the loop.
        await asyncio.sleep(0.1)
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_reply(reader: asyncio.StreamReader, reply: Reply) -> None:
    """Read an answer with a length, in chunks, or up to the end."""
    head = await read_head(reader)
    if head is None:
        raise ConnectionResetError("closed without an answer")
    fields = head.fields
    if "content-length" in fields:
        reply.body = await reader.readexactly(int(fields["content-length"]))
    elif "chunked" in fields.get("transfer-encoding", ""):
        while size := int(await reader.readuntil(b"\r\n"), 16):
            reply.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        reply.body = await reader.read()
    reply.fields = fields
    reply.status = int(head.start[1])


def make_route(name: str, service: str, route_type: str = "safe", **fields) -> dict:
    """Return a route of its own host."""
    route = {
        "name": name,
        "hostname": f"{name}.example",
        "prefix": f"/{name}/",
        "route-type": route_type,
        "timeout": "1500ms",
        "target-latency": "400ms",
        "priority": 1,
        "max-attempts": 2,
        "service": service,
    }
    return route | fields


def main(
    file: str, scenario: Callable[[Case], Awaitable[bool]], trouble: str | None
) -> None:
    """Run a scenario, which returns whether the rule was broken, and exit.

    `trouble` is the value of TROUBLE; "0" leaves the disruption out.
    """

    async def run() -> int:
        case = Case(Path(file).resolve().parent, trouble != "0")
        code = EXIT_NOT_RUN
        try:
            async with asyncio.timeout(110):
                is_broken = await scenario(case)
            code = EXIT_BROKEN if is_broken else EXIT_HELD
            case.record.write("the rule was broken" if is_broken else "the rule held")
        except (NotRunError, TimeoutError, OSError) as exc:
            case.record.write(f"not run: {exc!r}")
        except Exception:
            case.record.write(f"not run: {traceback.format_exc()}")
        finally:
            await case.close()
        return code

    sys.exit(asyncio.run(run()))
