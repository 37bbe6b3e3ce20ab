"""Stand-ins and a small deployment for the scripts of the second review.

Uses the standard library only. The nodes are the project's own program, started with
the command of the deploy file; store, workers and clients are small stand-ins.
"""

import asyncio
import base64
import contextlib
import json
import os
import re
import shutil
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
COMMAND = ("python3", "deploy/mangowell_node_launcher.py")
HEALTH_PATH = "/healthz"
HOST = "shop.example"
# Variables that the platform passes on to a process.
PASSED_VARIABLES = ("PATH", "HOME", "JAVA_HOME", "LANG")
START_TIMEOUT_S = 30.0
MIN_PORT, END_PORT = 12_000, 30_000
STATUS_BROKEN, STATUS_HELD, STATUS_NOT_RUN = 1, 0, 2


class NotRunError(Exception):
    """The case could not be set up."""


class Record:
    """File of what was sent, answered and run."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self._start = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start, in seconds."""
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()

    def conclude(self, text: str) -> None:
        """Write a line of the result, also to standard output."""
        self.write(text)
        # The exit status must not depend on a reader of the output.
        with contextlib.suppress(OSError):
            print(text, flush=True)


class Store:
    """Metadata store of the platform: reads, listings and watches."""

    def __init__(self):
        self._revision = 10
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def put(self, key: str, value: dict) -> None:
        """Write an item."""
        self._revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "mod-rev": self._revision,
            "created-rev": self._revision,
            "lease": 0,
        }
        self._items[key] = item
        self._events.append(item)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = urlsplit(head.decode().split(" ")[1])
                query = parse_qs(target.query, keep_blank_values=True)
                fields = {name: values[0] for name, values in query.items()}
                status, reply = await self._answer(target.path, fields)
                body = json.dumps(reply).encode()
                writer.write(
                    b"HTTP/1.1 %d OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (status, len(body), body)
                )
                await writer.drain()
        writer.close()

    async def _answer(self, path: str, fields: dict) -> tuple[int, dict]:
        if path == "/api/kv-key":
            item = self._items.get(fields["key"])
            return (200 if item else 404), {**(item or {}), "as-of": self._revision}
        if path == "/api/kv-range":
            prefix, after = fields["prefix"], fields.get("after", "")
            keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
            items = [self._items[key] for key in keys]
            return 200, {"items": items, "has-more": False, "as-of": self._revision}
        after, wait_s = int(fields["after"]), int(fields["wait-ms"]) / 1000
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._select_events(after):
                    await self._changed.wait()
        return 200, {"events": self._select_events(after), "as-of": self._revision}

    def _select_events(self, after: int) -> list[dict]:
        return [event for event in self._events if event["mod-rev"] > after]


class Request:
    """Request as a worker has received it."""

    def __init__(self, method, target, headers, body, writer):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.writer = writer
        self.id = headers.get("request-id", "")


def make_head(request_id: str, length: int) -> bytes:
    """Return the head of a worker's answer with a length."""
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
        f"Response-Stamp: stamp-of-{request_id}\r\nContent-Length: {length}\r\n\r\n"
    ).encode()


class Worker:
    """Application worker.

    Parameters
    ----------
    worker_id, service : str
        Id and service in its entry.
    handler : callable
        Takes a `Request`, writes the answer and returns when it is complete.
    record : Record
        Receives what runs.
    """

    def __init__(self, worker_id: str, service: str, handler, record: Record):
        self.id = worker_id
        self.service = service
        self._handler = handler
        self._record = record
        self.ran: list[str] = []
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen on a free port of a host."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                await self._serve_one(reader, writer)
        writer.close()

    async def _serve_one(self, reader, writer) -> None:
        method, target, headers = await read_head(reader)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if target == HEALTH_PATH:
            writer.write(
                b"HTTP/1.1 200 OK\r\nInstance-Id: %b\r\nServer-Load: 0,0,12\r\n"
                b"Content-Length: 0\r\n\r\n" % self.id.encode()
            )
            return
        request = Request(method, target, headers, body, writer)
        if headers.get("expected-instance", self.id) != self.id:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %b\r\n"
                b"Content-Length: 0\r\n\r\n" % self.id.encode()
            )
            return
        self.ran.append(request.id)
        self._record.write(f"worker {self.id} runs {short(request.id)} {short(target)}")
        await self._handler(request)
        await writer.drain()


async def read_head(reader) -> tuple[str, str, dict[str, str]]:
    """Read a request line and its fields, or a status line and its fields."""
    block = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = block.split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    left, middle, *_ = first.split(" ")
    return left, middle, headers


async def read_answer(reader) -> tuple[int, dict[str, str], bytes]:
    """Read one answer; interim answers before it are skipped."""
    status = 100
    while status < 200:
        _, text, headers = await read_head(reader)
        status = int(text)
    if headers.get("transfer-encoding") != "chunked":
        length = int(headers.get("content-length", 0))
        return status, headers, await reader.readexactly(length)
    body = b""
    while True:
        size = int(await reader.readline(), 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return status, headers, body


def make_request(
    request_id: str,
    target: str,
    timeout_ms: int,
    method: str = "GET",
    fields: str = "",
) -> bytes:
    """Return the head of a client's request; `fields` are lines that end in CRLF."""
    return (
        f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        f"Timeout-Ms: {timeout_ms}\r\n{fields}\r\n"
    ).encode()


def short(text: str) -> str:
    """Return the start of a text and its length."""
    return text if len(text) <= 40 else f"{text[:20]}... ({len(text)} bytes)"


def find_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free on all hosts.

    They are below the range from which the system gives ports to connections and to
    listeners that ask for any port.
    """
    ports: list[int] = []
    first = MIN_PORT + os.getpid() * 7 % (END_PORT - MIN_PORT)
    for port in (*range(first, END_PORT), *range(MIN_PORT, first)):
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for host in hosts:
                sock = stack.enter_context(socket.socket())
                sock.bind((host, port))
            ports.append(port)
        if len(ports) == count:
            return ports
    raise NotRunError("no free ports")


class Node:
    """Process of one node beside a worker."""

    def __init__(self, name: str, host: str, ports: list[int], settings: Path, log):
        self.name = name
        self.host = host
        self.caller_port, self.ready_port, self.link_port = ports
        self._settings = settings
        self._log = log
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process as the platform does."""
        env = {k: os.environ[k] for k in PASSED_VARIABLES if k in os.environ}
        env["MANGOWELL_CONFIG"] = str(self._settings)
        self.process = await asyncio.create_subprocess_exec(
            *COMMAND, cwd=ROOT, env=env, stdout=self._log, stderr=self._log
        )

    async def connect(self, limit: int = 2**20):
        """Open a connection of a client."""
        return await asyncio.open_connection(self.host, self.caller_port, limit=limit)

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready_port)
        except OSError:
            return False
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: node\r\n\r\n")
        try:
            return (await read_answer(reader))[0] == 200
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def read_memory_mb(self) -> float:
        """Return the resident memory, in megabytes."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) / 1024


class Deployment:
    """Store, workers and nodes on loopback addresses.

    Parameters
    ----------
    record : Record
        Receives what the workers run.
    fields : dict
        Values of the settings template in place of the usual ones.
    """

    def __init__(self, record: Record, **fields: str):
        high, low = divmod(os.getpid() % 62_500, 250)
        self._network = f"127.{high + 1}.{low + 1}"
        self._record = record
        self._fields = fields
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._ports: list[int] = []
        self.store = Store()
        self.workers: list[Worker] = []
        self.nodes: list[Node] = []

    async def add(self, service: str, zone: str, handler, slots: int = 12) -> Node:
        """Start a machine: a worker, its entry in the store, and its node."""
        if not self.store.address:
            await self.store.start()
            hosts = [f"{self._network}.{n}" for n in range(1, 16)]
            self._ports = find_ports(hosts, 3)
        number = len(self.nodes) + 1
        host = f"{self._network}.{number}"
        worker = Worker(f"i-{number}", service, handler, self._record)
        await worker.start(host)
        self.workers.append(worker)
        self.store.put(f"servers/{worker.id}", _make_entry(worker, zone, slots))
        name = f"sidecar-{zone}-{number}"
        settings = self._folder / f"{name}.ini"
        fields = self._make_fields(name, host, zone, worker)
        template = (ROOT / "deploy/settings.ini.template").read_text()
        settings.write_text(
            re.sub(r"{{(.*?)}}", lambda m: fields.get(m[1], ""), template)
        )
        with (self._folder / f"{name}.log").open("wb") as log:
            node = Node(name, host, self._ports, settings, log)
            await node.start()
        self.nodes.append(node)
        return node

    def _make_fields(self, name: str, host: str, zone: str, worker: Worker) -> dict:
        callers, ready, link = self._ports
        return {
            "node-name": name,
            "zone": zone,
            "service": worker.service,
            "ip": host,
            "listen.outbound": f"{host}:{callers}",
            "listen.ready": f"{host}:{ready}",
            "internal-ports.0": str(link),
            "app-addr": worker.address,
            "platform.address": self.store.address,
            "heartbeat": "1500ms",
            "limits.link-mbps": "1000.0",
            "limits.memory-mb": "300",
            "limits.max-fds": "4100",
            "bounds.grace": "6s",
            "bounds.retry-budget-ratio": "0.2",
            "bounds.budget-min-retries": "60",
            "bounds.budget-window": "10s",
            **self._fields,
        }

    def configure(self, routes: dict[str, dict], max_connections: int = 120) -> None:
        """Write the operator's configuration."""
        services = {route["service"] for route in routes.values()}
        table = {
            name: {
                "health-path": HEALTH_PATH,
                "max-connections": max_connections,
                "protocol": "h1",
                "tls": False,
            }
            for name in sorted(services)
        }
        limits = {
            "max-header-bytes": 16_384,
            "max-body-bytes": 67_108_864,
            "header-timeout": "3000ms",
            "idle-timeout": "15000ms",
        }
        self.store.put(
            "op/config",
            {
                "version": 1,
                "routes": _make_table(routes),
                "services": _make_table(table),
                "limits": limits,
            },
        )

    async def wait_until_ready(self) -> None:
        """Wait until the platform would send callers to all nodes."""
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                for node in self.nodes:
                    while not await node.is_ready():
                        if node.process.returncode is not None:
                            log = (self._folder / f"{node.name}.log").read_text()
                            raise NotRunError(f"{node.name} has ended: {log[-600:]}")
                        await asyncio.sleep(0.1)
        except TimeoutError:
            raise NotRunError("nodes do not become ready") from None
        # The links between the nodes open meanwhile.
        await asyncio.sleep(1.5)

    async def stop(self) -> None:
        """End all processes and remove their files."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)


def make_route(
    prefix: str, service: str, kind: str = "safe", timeout_ms: int = 1200
) -> dict:
    """Return a route of the operator's configuration."""
    return {
        "hostname": HOST,
        "prefix": prefix,
        "route-type": kind,
        "timeout": f"{timeout_ms}ms",
        "target-latency": "300ms",
        "priority": 1,
        "max-attempts": 2,
        "traffic-split": None,
        "service": service,
    }


def _make_entry(worker: Worker, zone: str, slots: int) -> dict:
    return {
        "address": worker.address,
        "node-info": {
            "service": worker.service,
            "version": "v1",
            "zone": zone,
            "slots": slots,
        },
        "status": {"state": "ready", "seq": 1, "warmup-left": "0ms"},
        "born": int(time.time() * 1000),
    }


def _make_table(rows: dict[str, dict]) -> dict:
    columns = list(next(iter(rows.values())))
    return {
        "columns": ["name", *columns],
        "rows": [[name, *(row[c] for c in columns)] for name, row in rows.items()],
    }


def run_case(case) -> None:
    """Run a case and exit with its status.

    Parameters
    ----------
    case : callable
        Coroutine function that takes the deployment's `Record` and whether the
        disruption happens, and returns whether the rule was broken.
    """
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        is_broken = asyncio.run(case(record, has_trouble))
    except NotRunError as exc:
        record.conclude(f"not run: {exc}")
        sys.exit(STATUS_NOT_RUN)
    except Exception as exc:
        record.conclude(f"not run: {exc!r}")
        sys.exit(STATUS_NOT_RUN)
    record.conclude("rule broken" if is_broken else "rule held")
    sys.exit(STATUS_BROKEN if is_broken else STATUS_HELD)
