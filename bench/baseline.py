"""Baseline node processes that distribute configuration in two simple ways.

``python -m bench.baseline watch SETTINGS``: every node watches the source.
``python -m bench.baseline whole SETTINGS``: two readers in each failure domain
watch the source. The tree of the first reader carries full documents, where
mangowell sends differences; both trees carry digests and heartbeats.

Both modes take the settings file of a node and serve ``/status`` and ``/events``
on the admin port as a node does. They omit joining, anti-entropy, validation
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

WATCH_TIMEOUT_S = 30.0
RETRY_DELAY_S = 0.5
HEARTBEAT_INTERVAL_S = 1.0
READERS_PER_DOMAIN = 2
# Headers of a read, the same value as in `mangowell_node.source`.
READ_OVERHEAD_BYTES = 500
# TCP/IP headers of a frame.
FRAME_OVERHEAD_BYTES = 60


class BaselineNode:
    """Node that watches the source for every key; base class of both modes.

    It stores the newest value of each key and serves its status.
    """

    def __init__(self, settings: NodeSettings):
        self.settings = settings
        self.bodies: dict[str, bytes] = {}
        self.versions: dict[str, int] = {}
        self.applied_versions: list[tuple[float, int]] = []
        self.control_bytes = 0
        self.source_reads = 0
        self.documents_key = f"documents/{settings.environment}"

    async def watch(self, key: str) -> None:
        """Watch a key of the source until cancelled."""
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
                params = {"after": digest, "wait_ms": str(int(WATCH_TIMEOUT_S * 1000))}
                self.source_reads += 1
                try:
                    async with session.get(url, params=params) as response:
                        body = await response.read()
                        self.control_bytes += len(body) + READ_OVERHEAD_BYTES
                        if response.headers.get("Content-Encoding") == "gzip":
                            body = gzip.decompress(body)
                        if response.status == 200:
                            digest = response.headers["ETag"].strip('"')
                            self.apply_value(key, body)
                        elif response.status != 304:
                            await asyncio.sleep(RETRY_DELAY_S)
                except (aiohttp.ClientError, OSError):
                    await asyncio.sleep(RETRY_DELAY_S)

    def apply_value(self, key: str, body: bytes) -> bool:
        """Store a value if it is newer; return whether it is."""
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
        self.bodies[key] = body
        if key == self.documents_key:
            self.applied_versions.append((time.time(), version))
        return True

    async def run(self) -> None:
        """Serve the admin port and run the coroutines of this node until SIGTERM."""
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
            tasks = [
                group.create_task(coroutine)
                for coroutine in await self.make_coroutines()
            ]
            await stop.wait()
            for task in tasks:
                task.cancel()
        await runner.cleanup()

    async def make_coroutines(self) -> list:
        """Return the coroutines that this node runs."""
        return [self.watch(self.documents_key), self.watch("instances")]

    async def _status(self, request: web.Request) -> web.Response:
        version = self.versions.get(self.documents_key, 0)
        return web.json_response(
            {
                "instance": self.settings.instance,
                "ready": len(self.versions) == 2,
                "version": version,
                "since": self.applied_versions[-1][0] if self.applied_versions else 0.0,
                "control_bytes": self.control_bytes,
                "source_reads": self.source_reads,
            }
        )

    async def _events(self, request: web.Request) -> web.Response:
        code = int(EventCode.VERSION_APPLIED)
        return web.json_response(
            [
                {"time": applied_at, "code": code, "fields": {"version": version}}
                for applied_at, version in self.applied_versions
            ]
        )


class FullDocumentNode(BaselineNode):
    """Node of a failure domain whose readers push full values down a tree."""

    def __init__(self, settings: NodeSettings):
        super().__init__(settings)
        self._send_queues: dict[tuple[str, int], asyncio.Queue] = {}
        self._is_reader = int(settings.host.rsplit(".", 1)[1]) <= READERS_PER_DOMAIN
        self._readers: list[str] = []
        self._tasks: set[asyncio.Task] = set()

    async def make_coroutines(self) -> list:
        """Return the coroutines that this node runs."""
        settings = self.settings
        await asyncio.start_server(
            self._handle_connection, settings.host, settings.control_port
        )
        if not self._is_reader:
            return []
        return [*await super().make_coroutines(), self._send_heartbeats()]

    def apply_value(self, key: str, body: bytes) -> bool:
        """Store a value from the source and push it down the tree if it is newer."""
        is_new = super().apply_value(key, body)
        if is_new and self._is_reader and "instances" in self.bodies:
            # A new instance list may add children that lack the document, so
            # both values are pushed.
            keys = list(self.bodies) if key == "instances" else [key]
            self._create_task(self._push_values(keys))
        return is_new

    async def _push_values(self, keys: list[str]) -> None:
        for key in sorted(keys, reverse=True):
            await self._push_value(self.settings.instance, key)

    async def _push_value(self, root: str, key: str) -> None:
        body = self.bodies[key]
        header = {
            "root": root,
            "key": key,
            "digest": hashlib.sha256(body).hexdigest(),
            "version": self.versions[key],
        }
        # The second reader's tree is lazy: it carries the header alone.
        is_eager = self._compute_reader_rank(root) == 0
        await self._send_to_children(
            root, header, zlib.compress(body) if is_eager else b""
        )

    async def _send_heartbeats(self) -> None:
        sequence = 0
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            sequence += 1
            root = self.settings.instance
            header = {"root": root, "sequence": sequence, "held": self.versions}
            await self._send_to_children(root, header, b"")

    def _get_domain_peers(self) -> list:
        parsed = parse_instances(self.bodies["instances"].decode())
        domain = self.settings.failure_domain
        peers = parsed.ok_value.instances.values()
        return [i for i in peers if i.failure_domain == domain]

    def _compute_reader_rank(self, root: str) -> int:
        peers = sorted(
            self._get_domain_peers(), key=lambda i: int(i.host.rsplit(".", 1)[1])
        )
        return [i.name for i in peers].index(root)

    def _select_children(self, root: str) -> list:
        def compute_hash(instance) -> bytes:
            return hashlib.sha256(f"{root}|{instance.name}".encode()).digest()

        peers = self._get_domain_peers()
        ordered = [i for i in peers if i.name == root]
        ordered += sorted((i for i in peers if i.name != root), key=compute_hash)
        position = [i.name for i in ordered].index(self.settings.instance)
        fanout = self.settings.distribution.fanout
        return ordered[position * fanout + 1 : position * fanout + fanout + 1]

    async def _send_to_children(self, root: str, header: dict, data: bytes) -> None:
        if "instances" not in self.bodies:
            return
        line = json.dumps({**header, "size": len(data)}).encode() + b"\n"
        for child in self._select_children(root):
            address = (child.host, child.control_port)
            if address not in self._send_queues:
                self._send_queues[address] = asyncio.Queue()
                self._create_task(self._send_queued_frames(address))
            self._send_queues[address].put_nowait(line + data)

    def _create_task(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_queued_frames(self, address: tuple[str, int]) -> None:
        """Send the queued frames to a child in order.

        Retries until the connection opens: a child may start later than this
        node.
        """
        queue = self._send_queues[address]
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
                    await asyncio.sleep(RETRY_DELAY_S)
            self.control_bytes += len(frame) + FRAME_OVERHEAD_BYTES

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while line := await reader.readline():
            header = json.loads(line)
            data = await reader.readexactly(header["size"])
            self.control_bytes += len(line) + len(data) + FRAME_OVERHEAD_BYTES
            is_new = bool(data) and super().apply_value(
                header["key"], zlib.decompress(data)
            )
            # A reader that already has the value still forwards it, since nodes
            # of its subtree may lack it.
            if is_new or not data or self._is_reader:
                await self._send_to_children(header["root"], _remove_size(header), data)
        writer.close()


def _remove_size(header: dict) -> dict:
    return {key: value for key, value in header.items() if key != "size"}


def main() -> None:
    """Run a baseline node."""
    parser = argparse.ArgumentParser(prog="bench.baseline")
    parser.add_argument("mode", choices=("watch", "whole"))
    parser.add_argument("settings", type=Path)
    args = parser.parse_args()
    parsed = parse_settings(args.settings.read_text(), str(args.settings))
    if not isinstance(parsed, Ok):
        sys.exit(str(parsed.err_value[0]))
    node_classes = {"watch": BaselineNode, "whole": FullDocumentNode}
    uvloop.run(node_classes[args.mode](parsed.ok_value).run())


if __name__ == "__main__":
    main()
