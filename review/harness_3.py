"""Small deployment for the scripts of the third review, on loopback addresses.

The nodes are the project's own processes, started with the command of the deploy file.
The store, the workers and the callers are stand-ins that follow the users' pages.
"""

import asyncio
import base64
import contextlib
import json
import os
import re
import signal
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
ROLE = "mangowell-node"
HOST_NAME = "shop.example"
CALLER_PORT, READY_PORT, WORKER_PORT, LINK_PORT = 8304, 8302, 8301, 7620
GRACE_S = 6.0
STORE_DELAY_S = 0.004
PAGE_ITEMS = 50
START_LIMIT_S = 25.0
LINE_LIMIT = 4_194_304
BROKEN, HELD, NOT_RUN = 1, 0, 2
HEAD_END = b"\r\n\r\n"


class CaseError(Exception):
    """The case could not run."""


# Messages


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its fields by lower-case name."""
    lines = (await reader.readuntil(HEAD_END)).decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
    return lines[0], fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Return a whole body; raises `IncompleteReadError` if it is cut off."""
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if fields.get("transfer-encoding") != "chunked":
        return b""
    body = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line.split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


async def read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Return status, fields and the whole body of one answer."""
    line, fields = await read_head(reader)
    return int(line.split()[1]), fields, await read_body(reader, fields)


def make_request(request: str, path: str, timeout_ms: int, method="GET") -> bytes:
    """Return a request without a body as a caller sends it."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: {request}\r\n"
        f"Timeout-Ms: {timeout_ms}\r\n\r\n"
    ).encode()


async def ask(host: str, port: int, data: bytes, limit_s: float):
    """Send a request on a connection of its own and return the answer."""
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(host, port, limit=LINE_LIMIT)
        try:
            writer.write(data)
            return await read_answer(reader)
        finally:
            writer.close()


# The operator's document


def make_table(items: dict[str, dict]) -> dict:
    """Return the table that stores items by their names."""
    columns = ["name"]
    for item in items.values():
        columns += [field for field in item if field not in columns]
    rows = [
        [name, *(item.get(column) for column in columns[1:])]
        for name, item in items.items()
    ]
    return {"columns": columns, "rows": rows}


def make_route(prefix: str, service: str | None, **fields) -> dict:
    """Return a route for safe requests, with `fields` replaced."""
    return {
        "hostname": HOST_NAME,
        "prefix": prefix,
        "route-type": "safe",
        "timeout": "3000ms",
        "target-latency": "600ms",
        "priority": 1,
        "traffic-split": None,
        "max-attempts": 2,
        "service": service,
        **fields,
    }


def make_document(version: int, routes: dict[str, dict], services) -> bytes:
    """Return the operator's document."""
    return json.dumps(
        {
            "version": version,
            "routes": make_table(routes),
            "services": make_table(
                {
                    s: {"health-path": "/healthz", "max-connections": 120}
                    for s in services
                }
            ),
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 67108864,
                "header-timeout": "3000ms",
                "idle-timeout": "15000ms",
            },
        }
    ).encode()


# Stand-ins


class Store:
    """The platform's store: reads, pages and watches, one revision counter."""

    def __init__(self):
        self.revision = 10
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key: str, value: bytes) -> float:
        """Write an item; return the time of its acknowledgement."""
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "mod-rev": self.revision,
            "created-rev": self.items.get(key, {}).get("created-rev", self.revision),
            "lease": 0,
        }
        self.items[key] = item
        return self._record(item)

    def delete(self, key: str) -> float:
        """Remove an item; return the time of the acknowledgement."""
        self.revision += 1
        del self.items[key]
        return self._record({"key": key, "mod-rev": self.revision, "tombstone": True})

    def _record(self, event: dict) -> float:
        self.events.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return time.monotonic()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                line, _ = await read_head(reader)
                status, reply = await self._answer(line.split(" ")[1])
                await asyncio.sleep(STORE_DELAY_S)
                body = json.dumps(reply).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (status, len(body), body)
                )
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> tuple[int, dict]:
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, True).items()}
        match url.path:
            case "/api/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"as-of": self.revision}
                return 200, item | {"as-of": self.revision}
            case "/api/kv-range":
                prefix, after = query["prefix"], query.get("after", "")
                keys = sorted(
                    k for k in self.items if k.startswith(prefix) and k > after
                )
                page = [self.items[key] for key in keys[:PAGE_ITEMS]]
                has_more = len(keys) > len(page)
                as_of = self.revision
                return 200, {"items": page, "has-more": has_more, "as-of": as_of}
            case "/api/kv-watch":
                return 200, await self._watch(query)
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> dict:
        after = int(query["after"])
        end = asyncio.get_running_loop().time() + int(query["wait-ms"]) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(end):
                while self.revision <= after:
                    await self.changed.wait()
        events = [e for e in self.events if e["mod-rev"] > after]
        return {"events": events, "as-of": self.revision}


class Worker:
    """A worker: runs requests that are meant for it, and registers in the store."""

    def __init__(self, worker_id: str, host: str, service: str, zone: str):
        self.id = worker_id
        self.host = host
        self.service = service
        self.zone = zone
        self.born_ms = int(time.time() * 1000)
        self.seq = 0
        self.warmup_ms = 0
        # Whether it is about to end, which its answers tell by `Connection: close`.
        self.is_leaving = False
        self.work_s = 0.05
        # Each run: time at which the request has reached the worker, and its id.
        self.runs: list[tuple[float, str]] = []
        # What each of these has in its field `Caller-Service`, by id.
        self.callers: dict[str, str] = {}
        self.server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def restart(self, worker_id: str) -> None:
        """Become another incarnation with an id of its own."""
        self.id, self.seq, self.is_leaving = worker_id, 0, False
        self.born_ms = int(time.time() * 1000)

    @property
    def key(self) -> str:
        """Key of the worker's entry."""
        return f"servers/{self.id}"

    def make_entry(self, state: str = "ready") -> bytes:
        """Return what the worker writes to the store."""
        self.seq += 1
        info = {
            "service": self.service,
            "version": "v1",
            "zone": self.zone,
            "slots": 12,
        }
        warmup = f"{self.warmup_ms}ms"
        status = {"state": state, "seq": self.seq, "warmup-left": warmup}
        return json.dumps(
            {
                "address": f"{self.host}:{WORKER_PORT}",
                "node-info": info,
                "status": status,
                "born": self.born_ms,
            }
        ).encode()

    async def start(self) -> None:
        """Listen at the worker's address."""
        self.server = await asyncio.start_server(
            self._serve, self.host, WORKER_PORT, limit=LINE_LIMIT
        )

    def end(self) -> None:
        """End the worker: listen no more, and close its connections."""
        self.server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                line, fields = await read_head(reader)
                await read_body(reader, fields)
                if not await self._answer(line.split(" ")[1], fields, writer):
                    break
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, target: str, fields: dict[str, str], writer) -> bool:
        """Answer one request; return whether the connection stays open."""
        if target == "/healthz":
            status = "503 Leaving" if self.is_leaving else "200 OK"
            writer.write(self._make_answer(status, b"", f"Instance-Id: {self.id}"))
            return not self.is_leaving
        if fields.get("expected-instance", self.id) != self.id:
            lines = f"Not-Executed: 1\r\nInstance-Id: {self.id}"
            writer.write(self._make_answer("421 Misdirected Request", b"", lines))
            return True
        request = fields.get("request-id", "")
        self.runs.append((time.monotonic(), request))
        self.callers[request] = fields.get("caller-service", "")
        await asyncio.sleep(self.work_s)
        return self.send_result(target, request, writer)

    def send_result(self, target: str, request: str, writer) -> bool:
        """Send the answer to a request that has run."""
        lines = f"Request-Id: {request}\r\nResponse-Stamp: stamp-{self.id}"
        writer.write(self._make_answer("200 OK", b"done " + request.encode(), lines))
        return not self.is_leaving

    def _make_answer(self, status: str, body: bytes, lines: str) -> bytes:
        if self.is_leaving:
            lines += "\r\nConnection: close"
        head = f"HTTP/1.1 {status}\r\n{lines}\r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode() + body


def read_role() -> dict:
    """Return the role of the nodes in the deploy file."""
    return tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][ROLE]


class Node:
    """Process of one node, started with the command of the deploy file."""

    def __init__(self, number: int, host: str, zone: str, service: str):
        self.number = number
        self.host = host
        self.zone = zone
        self.service = service
        self.process: asyncio.subprocess.Process | None = None
        self.settings = Path()

    def write_settings(self, directory: Path, store: str) -> None:
        """Write the settings as the platform does, all at once."""
        fields = {
            "node-name": f"sidecar-{self.zone}-{self.number}",
            "ip": self.host,
            "zone": self.zone,
            "service": self.service,
            "listen.outbound": f"{self.host}:{CALLER_PORT}",
            "listen.ready": f"{self.host}:{READY_PORT}",
            "app-addr": f"{self.host}:{WORKER_PORT}",
            "internal-ports.0": str(LINK_PORT),
            "platform.address": store,
            "heartbeat": "1500ms",
            "limits.link-mbps": "1000.0",
            "limits.memory-mb": "300",
            "limits.max-fds": "4100",
            "bounds.grace": f"{GRACE_S:.0f}s",
            "bounds.retry-budget-ratio": "0.2",
            "bounds.budget-min-retries": "60",
            "bounds.budget-window": "10s",
        }
        text = (ROOT / read_role()["template"]).read_text()
        self.settings = directory / f"node-{self.number}.ini"
        new = self.settings.with_suffix(".new")
        new.write_text(
            re.sub("{{(.*?)}}", lambda match: fields.get(match[1], ""), text)
        )
        new.replace(self.settings)

    async def start(self, directory: Path, store: str) -> None:
        """Write the settings, and start the process."""
        self.write_settings(directory, store)
        command = read_role()["run"].split()
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["MANGOWELL_CONFIG"] = str(self.settings)
        with (directory / f"node-{self.number}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the node answers the readiness check with 200."""
        data = b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"
        try:
            status, _, _ = await ask(self.host, READY_PORT, data, 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


class Deployment:
    """Nodes with their workers, one on each loopback address, and the store.

    Parameters
    ----------
    spec : sequence of (str, str)
        Zone and service of each machine.
    folder : Path
        Folder of the case, which takes `record.txt`.
    worker_type : type
        Class of the workers.
    """

    def __init__(self, spec, folder: Path, worker_type: type = Worker):
        high, low = divmod(os.getpid() % 50_000, 250)
        base = f"127.{high + 20}.{low + 1}"
        self.store_host = f"{base}.250"
        self.store = Store()
        self.nodes, self.workers = [], []
        for number, (zone, service) in enumerate(spec, 1):
            host = f"{base}.{number}"
            self.nodes.append(Node(number, host, zone, service))
            worker_id = f"i-{number}"
            self.workers.append(worker_type(worker_id, host, service, zone))
        self.started_at = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self._tasks: set[asyncio.Task] = set()

    @property
    def store_address(self) -> str:
        """Address of the store."""
        return f"{self.store_host}:{self.store.port}"

    def note(self, text: str) -> None:
        """Write a line to `record.txt`."""
        self._record.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self._record.flush()

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a coroutine until the deployment ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        return task

    async def start(self, directory: Path) -> None:
        """Start everything and wait until all nodes are ready."""
        await self.store.start(self.store_host)
        for worker in self.workers:
            await worker.start()
        for node in self.nodes:
            await node.start(directory, self.store_address)
        limit = time.monotonic() + START_LIMIT_S
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > limit:
                    raise CaseError(f"node {node.number} does not get ready")
                await asyncio.sleep(0.1)

    async def end(self) -> None:
        """End all processes and tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes:
            await node.end()
        self._record.close()


def run_case(
    folder: Path,
    spec,
    play: Callable[[Deployment, bool], Awaitable[bool]],
    worker_type: type = Worker,
) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    spec : sequence of (str, str)
        Zone and service of each machine.
    play : callable
        Takes the deployment, which is not started, and whether to bring the
        disruption about; returns whether the rule held.
    worker_type : type
        Class of the workers.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> bool:
        deployment = Deployment(spec, folder, worker_type)
        try:
            return await play(deployment, has_trouble)
        finally:
            await deployment.end()

    if not (ROOT / "target/src").is_dir():
        print("the build of the deploy file is missing")
        sys.exit(NOT_RUN)
    try:
        is_held = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        sys.exit(NOT_RUN)
    print("the rule held" if is_held else "the rule was broken")
    sys.exit(HELD if is_held else BROKEN)


def make_directory() -> tempfile.TemporaryDirectory:
    """Return a temporary folder for settings and logs."""
    return tempfile.TemporaryDirectory(prefix="review-3-")
