"""Two simple ways to distribute configuration, as processes to measure against.

``python -m bench.baseline watch SETTINGS``: every node watches the source.
``python -m bench.baseline whole SETTINGS``: two readers in each failure domain
watch the source; whole documents go down the tree of the first reader, digests
and heartbeats down both trees, as mangowell sends differences.

Both take the settings file of a node and answer ``/status`` and ``/events`` on
the admin port as a node does. They leave out joining, anti-entropy, validation
against peers and encryption, so their cost is a lower bound.
"""

import argparse
import asyncio
import gzip
import hashlib
import json
import signal
import sys
import time
import zlib
from pathlib import Path

import aiohttp
import uvloop
from aiohttp import web
from result import Ok

from mangowell_core.document import parse_document
from mangowell_core.events import EventCode
from mangowell_core.instances import parse_instances
from mangowell_core.settings import NodeSettings, parse_settings

WATCH_S = 30.0
RETRY_S = 0.5
HEARTBEAT_S = 1.0
READERS = 2
# As `mangowell_node.source` counts a read.
READ_OVERHEAD_BYTES = 500
# TCP/IP headers of one frame.
FRAME_OVERHEAD_BYTES = 60


class BaselineNode:
    """Base of both: watches keys, keeps documents, answers status."""

    def __init__(self, settings: NodeSettings):
        self.settings = settings
        self.texts: dict[str, bytes] = {}
        self.versions: dict[str, int] = {}
        self.applied: list[tuple[float, int]] = []
        self.control_bytes = 0
        self.source_reads = 0
        self.documents_key = f"documents/{settings.environment}"

    async def watch(self, key: str) -> None:
        """Watch a key of the source for ever."""
        url = f"{self.settings.source.url}/v1/values/{key}"
        digest = ""
        headers = {
            "User-Agent": f"baseline/{self.settings.instance}",
            "Accept-Encoding": "gzip",
        }
        async with aiohttp.ClientSession(
            headers=headers, auto_decompress=False
        ) as session:
            while True:
                params = {"after": digest, "wait_ms": str(int(WATCH_S * 1000))}
                self.source_reads += 1
                try:
                    async with session.get(url, params=params) as response:
                        body = await response.read()
                        self.control_bytes += len(body) + READ_OVERHEAD_BYTES
                        if response.headers.get("Content-Encoding") == "gzip":
                            body = gzip.decompress(body)
                        if response.status == 200:
                            digest = response.headers["ETag"].strip('"')
                            self.take(key, body)
                        elif response.status != 304:
                            await asyncio.sleep(RETRY_S)
                except (aiohttp.ClientError, OSError):
                    await asyncio.sleep(RETRY_S)

    def take(self, key: str, body: bytes) -> bool:
        """Apply a value; return whether it is new."""
        text = body.decode()
        if key == self.documents_key:
            parsed = parse_document(text, key)
            version = parsed.ok_value.version if isinstance(parsed, Ok) else 0
        else:
            parsed = parse_instances(text)
            version = parsed.ok_value.revision if isinstance(parsed, Ok) else 0
        if version <= self.versions.get(key, 0):
            return False
        self.versions[key] = version
        self.texts[key] = body
        if key == self.documents_key:
            self.applied.append((time.time(), version))
        return True

    async def run(self) -> None:
        """Run until SIGTERM."""
        app = web.Application()
        app.router.add_get("/status", self._status)
        app.router.add_get("/events", self._events)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        settings = self.settings
        await web.TCPSite(runner, settings.host, settings.admin_port).start()
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(job) for job in await self.jobs()]
            await stop.wait()
            for task in tasks:
                task.cancel()
        await runner.cleanup()

    async def jobs(self) -> list:
        """Return the coroutines of this node."""
        return [self.watch(self.documents_key), self.watch("instances")]

    async def _status(self, request: web.Request) -> web.Response:
        version = self.versions.get(self.documents_key, 0)
        return web.json_response(
            {
                "instance": self.settings.instance,
                "ready": len(self.versions) == 2,
                "version": version,
                "since": self.applied[-1][0] if self.applied else 0.0,
                "control_bytes": self.control_bytes,
                "source_reads": self.source_reads,
            }
        )

    async def _events(self, request: web.Request) -> web.Response:
        code = int(EventCode.VERSION_APPLIED)
        return web.json_response(
            [
                {"time": at, "code": code, "fields": {"version": version}}
                for at, version in self.applied
            ]
        )


class WholeNode(BaselineNode):
    """Readers push whole texts down a tree."""

    def __init__(self, settings: NodeSettings):
        super().__init__(settings)
        self._queues: dict[tuple[str, int], asyncio.Queue] = {}
        self._is_reader = int(settings.host.rsplit(".", 1)[1]) <= READERS
        self._readers: list[str] = []
        self._tasks: set[asyncio.Task] = set()

    async def jobs(self) -> list:
        """Return the coroutines of this node."""
        settings = self.settings
        await asyncio.start_server(self._serve, settings.host, settings.control_port)
        if not self._is_reader:
            return []
        return [*await super().jobs(), self._beat()]

    def take(self, key: str, body: bytes) -> bool:
        """Apply a value from the source and push it down the tree."""
        new = super().take(key, body)
        if new and self._is_reader and "instances" in self.texts:
            # A new list may bring new children, which lack the document too.
            keys = list(self.texts) if key == "instances" else [key]
            self._start(self._push_values(keys))
        return new

    async def _push_values(self, keys: list[str]) -> None:
        for key in sorted(keys, reverse=True):
            await self._push_value(self.settings.instance, key)

    async def _push_value(self, root: str, key: str) -> None:
        body = self.texts[key]
        head = {
            "root": root,
            "key": key,
            "digest": hashlib.sha256(body).hexdigest(),
            "version": self.versions[key],
        }
        # The second reader's tree carries the head only, as a lazy tree does.
        eager = self._root_rank(root) == 0
        await self._push(root, head, zlib.compress(body) if eager else b"")

    async def _beat(self) -> None:
        sequence = 0
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            sequence += 1
            root = self.settings.instance
            head = {"root": root, "sequence": sequence, "held": self.versions}
            await self._push(root, head, b"")

    def _peers(self) -> list:
        parsed = parse_instances(self.texts["instances"].decode())
        domain = self.settings.failure_domain
        peers = parsed.ok_value.instances.values()
        return [i for i in peers if i.failure_domain == domain]

    def _root_rank(self, root: str) -> int:
        peers = sorted(self._peers(), key=lambda i: int(i.host.rsplit(".", 1)[1]))
        return [i.name for i in peers].index(root)

    def _children(self, root: str) -> list:
        def weight(instance) -> bytes:
            return hashlib.sha256(f"{root}|{instance.name}".encode()).digest()

        peers = self._peers()
        ordered = [i for i in peers if i.name == root]
        ordered += sorted((i for i in peers if i.name != root), key=weight)
        position = [i.name for i in ordered].index(self.settings.instance)
        fanout = self.settings.distribution.fanout
        return ordered[position * fanout + 1 : position * fanout + fanout + 1]

    async def _push(self, root: str, head: dict, data: bytes) -> None:
        if "instances" not in self.texts:
            return
        line = json.dumps({**head, "size": len(data)}).encode() + b"\n"
        for child in self._children(root):
            address = (child.host, child.control_port)
            if address not in self._queues:
                self._queues[address] = asyncio.Queue()
                self._start(self._send(address))
            self._queues[address].put_nowait(line + data)

    def _start(self, job) -> None:
        task = asyncio.get_running_loop().create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, address: tuple[str, int]) -> None:
        """Send queued frames in order; a child may start later than this node."""
        queue = self._queues[address]
        writer = None
        while True:
            frame = await queue.get()
            while True:
                try:
                    if writer is None:
                        _, writer = await asyncio.open_connection(*address)
                    writer.write(frame)
                    await writer.drain()
                    break
                except OSError:
                    writer = None
                    await asyncio.sleep(RETRY_S)
            self.control_bytes += len(frame) + FRAME_OVERHEAD_BYTES

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while line := await reader.readline():
            head = json.loads(line)
            data = await reader.readexactly(head["size"])
            self.control_bytes += len(line) + len(data) + FRAME_OVERHEAD_BYTES
            new = bool(data) and super().take(head["key"], zlib.decompress(data))
            # A reader may hold the value already, but its subtree may not.
            if new or not data or self._is_reader:
                await self._push(head["root"], _without_size(head), data)
        writer.close()


def _without_size(head: dict) -> dict:
    return {key: value for key, value in head.items() if key != "size"}


def main() -> None:
    """Run one baseline node."""
    parser = argparse.ArgumentParser(prog="bench.baseline")
    parser.add_argument("mode", choices=("watch", "whole"))
    parser.add_argument("settings", type=Path)
    args = parser.parse_args()
    parsed = parse_settings(args.settings.read_text(), str(args.settings))
    if not isinstance(parsed, Ok):
        sys.exit(str(parsed.err_value[0]))
    kinds = {"watch": BaselineNode, "whole": WholeNode}
    uvloop.run(kinds[args.mode](parsed.ok_value).run())


if __name__ == "__main__":
    main()
