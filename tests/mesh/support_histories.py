"""Histories of a store, its readers and the notices between nodes, step by step.

The nodes run the real reader, gossip and directory. Each answer of the store and each
notice takes a step of its own to arrive, so that a history may have them in any order.
"""

import asyncio
import base64
import json
import random
from collections import deque
from http import HTTPStatus
from types import SimpleNamespace
from unittest.mock import patch
from urllib.parse import parse_qsl, urlsplit

from mangowell_core.mesh import Directory, MeshSettings
from mangowell_core.mesh.revisions import make_revision
from mangowell_core.mesh.settings import Address
from mangowell_node.mesh import gossip as gossip_module
from mangowell_node.mesh.feed import StateFeed, _ReadingStoppedError
from mangowell_node.mesh.gossip import CATCH_UP_DELAY_S, Gossip
from mangowell_node.mesh.notices import decode_notice, encode_notice
from mangowell_node.platform import HistoryGoneError, StoreClient, StoreError
from mangowell_standins.platform_values import make_entry

PAGE_ITEMS = 2
# Readers of the store; the other nodes are told what they read.
READERS, FOLLOWERS = 2, 2
WORKERS = 5
# Passes of the event loop in which a task gets from one call to the next.
LOOP_PASSES = 12


class ModelStore:
    """Content of the store, all its changes, and what it held at each revision."""

    def __init__(self):
        self.era, self.number = 0, 10
        self.items, self.events = {}, []
        self.listed_at = {}
        self.copy = None
        # Start, last write and state of each worker that runs, also while the store
        # does not list it.
        self.workers = {}
        self.starts = 0
        self._record()

    def put(self, key, value):
        self.number += 1
        encoded = base64.b64encode(value).decode()
        self.items[key] = {"key": key, "value": encoded, "mod-rev": self.number}
        self.events.append(self.items[key])
        self._record()

    def delete(self, key):
        if key not in self.items:
            return
        self.number += 1
        del self.items[key]
        self.events.append({"key": key, "mod-rev": self.number, "tombstone": True})
        self._record()

    def write_worker(self, number, drains=False):
        """Let a worker write its entry; one that has left starts again."""
        if number not in self.workers:
            self.starts += 1
            self.workers[number] = [self.starts, 0, "ready"]
        worker = self.workers[number]
        worker[1] += 1
        if drains:
            worker[2] = "draining"
        born, seq, state = worker
        entry = json.loads(make_entry(f"127.0.0.{number}", 80, state=state))
        entry["born"] = born
        entry["status"]["seq"] = seq
        self.put(f"servers/w{number}", json.dumps(entry).encode())

    def remove_worker(self, number):
        self.workers.pop(number, None)
        self.delete(f"servers/w{number}")

    def write_all(self):
        """Let all workers write again, and all entries of others lapse."""
        for number in range(1, WORKERS + 1):
            if number in self.workers:
                self.write_worker(number)
            else:
                self.remove_worker(number)

    def take_copy(self):
        self.copy = self.number, dict(self.items), list(self.events)

    def restore(self):
        if self.copy is None:
            return
        self.number, items, events = self.copy
        self.items, self.events = dict(items), list(events)
        self.era += 1
        self._record()

    @property
    def revision(self):
        return make_revision(self.era, self.number)

    @property
    def listed(self):
        return {
            key.removeprefix("servers/"): make_revision(self.era, item["mod-rev"])
            for key, item in self.items.items()
            if key.startswith("servers/")
        }

    def _record(self):
        self.listed_at[self.revision] = self.listed

    def answer(self, path):
        """Return era and body of the answer to a call."""
        url = urlsplit(path)
        query = dict(parse_qsl(url.query))
        fields = {"as-of": self.number}
        match url.path:
            case "kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return self.era, None
                fields |= item
            case "kv-range":
                after = query.get("after", "")
                prefix = query["prefix"]
                keys = [k for k in sorted(self.items) if k.startswith(prefix)]
                keys = [k for k in keys if k > after]
                page = [self.items[key] for key in keys[:PAGE_ITEMS]]
                fields |= {"items": page, "has-more": len(keys) > len(page)}
            case "kv-watch":
                after = int(query["after"])
                if after > self.number:
                    raise HistoryGoneError(f"status {HTTPStatus.GONE}")
                events = [e for e in self.events if e["mod-rev"] > after]
                fields["events"] = events
        return self.era, json.dumps(fields).encode()


class SteppedClient(StoreClient):
    """Client whose calls take two steps: to the store, and back."""

    __slots__ = ("_store", "gate")

    def __init__(self, store):
        super().__init__(Address("127.0.0.1", 1))
        self._store = store
        self.gate = None

    async def _get(self, path, timeout_s):
        await self._wait_for_step()
        answer = self._store.answer(path)
        await self._wait_for_step()
        self.era = answer[0]
        return answer

    async def _wait_for_step(self):
        self.gate = asyncio.get_running_loop().create_future()
        await self.gate


class ModelLink:
    """What one node sends to another, in order."""

    is_authenticated, closed, leaving, last_received_at = True, False, False, 0.0

    def __init__(self, sender, receiver):
        self.sender, self.receiver = sender, receiver
        self.address = receiver.host, 1
        self.payloads = deque()

    def send_notice(self, payload, kind=""):
        self.payloads.append(payload)


class ModelGossip(Gossip):
    """Gossip of nodes whose failure domain is known without their workers."""

    def _is_same_domain(self, link):
        return True


class ModelFeed(StateFeed):
    """Reader that runs without a supervised task."""

    @property
    def is_up(self):
        return bool(self._is_up) and self.is_elected


class ModelNode:
    """Directory, reader and gossip of one node; a follower does not read at first."""

    def __init__(self, number, store, reads):
        self.name, self.host = f"n{number}", f"127.0.1.{number + 1}"
        self.is_publisher = False
        self.events = []
        self.directory = Directory()
        self.client = SteppedClient(store)
        self.feed = ModelFeed(
            self.client,
            self.directory,
            self.events.append,
            self.publish,
            random.Random(number),
            reads_evacuations=True,
        )
        self.feed.set_reading(reads)
        self.server = SimpleNamespace(links=[])
        runner = SimpleNamespace(
            compute_load=lambda: SimpleNamespace(pending=0, limit=1),
            leaving_worker=None,
        )
        budget = SimpleNamespace(
            compute_demand=lambda now: {}, record_peer_demand=lambda *args: None
        )
        self.gossip = ModelGossip(
            make_settings(self.name, self.host),
            self.directory,
            runner,
            SimpleNamespace(record_load=lambda *args: None),
            SimpleNamespace(stopping_peers=SimpleNamespace(forget=lambda host: None)),
            budget,
            SimpleNamespace(links=[]),
            self.server,
            self.feed,
            SimpleNamespace(),
            SimpleNamespace(),
            self.events.append,
            self.publish,
        )
        self.gossip._election = SimpleNamespace(
            is_publisher=lambda now: self.is_publisher and self.feed.is_elected,
            record_report=lambda *args: None,
            get_link_mbps=lambda now: 100.0,
        )
        self.task = None

    def publish(self):
        self.gossip.publish()

    async def read(self):
        """Take one step of the reader: to the store with a call, or back from it."""
        if self.task is None or self.task.done():
            if not self.feed.is_elected:
                return
            self.task = asyncio.ensure_future(self._read_next())
        elif self.client.gate is not None and not self.client.gate.done():
            self.client.gate.set_result(None)
        for _ in range(LOOP_PASSES):
            await asyncio.sleep(0)

    async def _read_next(self):
        try:
            await self.feed._read_next()
        except StoreError:
            # As `StateFeed` does, which pauses before it reads again.
            self.feed._revision = 0
        except _ReadingStoppedError:
            pass

    async def stop(self):
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    @property
    def listed(self):
        return {e.id: e.revision for e in self.directory.listed.values()}


def make_settings(instance, host):
    address = Address(host, 1)
    return MeshSettings(
        instance=instance,
        failure_domain="z",
        service="orders",
        callers=address,
        ready=address,
        worker=address,
        store=address,
        link=address,
        metrics_port=1,
        link_mbps=100.0,
        grace_s=3.0,
        retry_ratio=1.0,
        retry_floor=100,
        retry_window_s=10.0,
        evacuate_s=2.0,
    )


class Model:
    """A store, its readers and followers, and a link from each node to each other."""

    def __init__(self):
        self.now = 100.0
        self.store = ModelStore()
        self.nodes = [
            ModelNode(n, self.store, n < READERS) for n in range(READERS + FOLLOWERS)
        ]
        self.links = {}
        for sender in self.nodes:
            for receiver in self.nodes:
                if sender is not receiver:
                    link = ModelLink(sender, receiver)
                    self.links[sender.name, receiver.name] = link
                    sender.server.links.append(link)

    def run(self, steps, check=lambda model: None):
        """Take all steps, each followed by `check`; then let all nodes catch up."""
        asyncio.run(self._run(steps, check))

    async def _run(self, steps, check):
        loop = asyncio.get_running_loop()
        loop.time = lambda: self.now
        with patch.object(gossip_module, "monotonic", lambda: self.now):
            try:
                for step in steps:
                    await self.take_step(*step)
                    check(self)
                await self.settle()
            finally:
                for node in self.nodes:
                    await node.stop()

    async def take_step(self, action, number, other):
        """Take one step of a history."""
        node, peer = self.nodes[number % len(self.nodes)], self.nodes[other]
        reader = self.nodes[number % READERS]
        worker = 1 + number % WORKERS
        match action:
            case "write":
                self.store.write_worker(worker)
            case "drain":
                self.store.write_worker(worker, drains=True)
            case "leave":
                self.store.remove_worker(worker)
            case "lapse":
                self.store.delete(f"servers/w{worker}")
            case "order":
                self.store.put(f"op/evacuate/d{other % 2}", b"{}")
            case "end order":
                self.store.delete(f"op/evacuate/d{other % 2}")
            case "copy":
                self.store.take_copy()
            case "restore":
                self.store.restore()
            case "read":
                await reader.read()
            case "read too":
                await node.read()
            case "read again":
                # The task was restarted, or the store has dropped its history.
                await reader.stop()
                reader.feed._revision = 0
            case "take over":
                for each in self.nodes[:READERS]:
                    each.is_publisher = each is reader
            case "elect":
                # Also a follower, which reads on from its revision.
                node.feed.set_reading(True)
            case "step down":
                node.feed.set_reading(False)
            case "stand in":
                # Both publish until they know of each other.
                reader.is_publisher = True
            case "deliver" if node is not peer:
                self.deliver(self.links[node.name, peer.name])
            case "lose" if node is not peer:
                self.links[node.name, peer.name].payloads.clear()
            case "tell" if node is not peer:
                self.tell_status(node, peer)
            case "catch up":
                self.catch_up(node)

    def deliver(self, link):
        """Let the oldest notice of a link arrive."""
        if link.payloads:
            receiver = link.receiver
            back = self.links[receiver.name, link.sender.name]
            receiver.gossip._fetched_at = float("-inf")
            notice = decode_notice(link.payloads.popleft())
            receiver.gossip._dispatch_notice(back, notice)

    def tell_status(self, node, peer):
        """Send the status of a node to another one."""
        link = self.links[node.name, peer.name]
        link.send_notice(encode_notice(node.gossip._make_status()))

    def catch_up(self, node):
        """Let a node fetch what it has missed, if another is ahead."""
        self.now += CATCH_UP_DELAY_S
        node.gossip._fetched_at = float("-inf")
        node.gossip._catch_up()

    async def settle(self):
        """Let all readers read, all notices arrive and all nodes catch up."""
        if self.store.era:
            self.store.write_all()
        for _ in range(4):
            self.now += 5.0
            for reader in self.nodes[:READERS]:
                reader.feed.set_reading(True)
                reader.is_publisher = reader is self.nodes[0]
                for _ in range(60):
                    await reader.read()
            self.deliver_all()
            for node in self.nodes:
                for peer in self.nodes:
                    if node is not peer:
                        self.tell_status(node, peer)
                self.deliver_all()
            for node in self.nodes:
                self.catch_up(node)
            self.deliver_all()
            for node in self.nodes:
                before = node.directory.generation
                node.directory.expire(self.now)
                if node.directory.generation != before:
                    node.publish()

    def deliver_all(self):
        while waiting := [link for link in self.links.values() if link.payloads]:
            for link in waiting:
                self.deliver(link)
