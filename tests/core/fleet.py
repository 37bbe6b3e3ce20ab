"""Cores of several nodes joined by a message queue with a virtual clock."""

import heapq
from dataclasses import replace
from itertools import count
from random import Random

from mangowell_core.digest import content_digest
from mangowell_core.distribution import DistributionCore
from mangowell_core.distribution.io import (
    CancelRead,
    Emit,
    Peer,
    PeerMessage,
    PeerUnreachable,
    ReadSource,
    Resumed,
    SendPeer,
    SnapshotReady,
    SourceFailed,
    SourceUnchanged,
    SourceValue,
    Started,
    Tick,
)
from mangowell_core.instances import render_instances
from mangowell_core.messages import decode_message, encode_message
from mangowell_core.model import Instance, InstanceList
from mangowell_core.settings import NodeSettings, SourceSettings

DOCUMENT = "documents/test"
TRACE_LINES = 400


def make_document(version: int, note: str = "", service: str = "web") -> bytes:
    """Return a valid document; texts with other notes have other digests."""
    return (
        f"[document]\nenvironment = test\nversion = {version}\n"
        f"[class normal]\npriority = 1\n[service web]\n"
        + (f"[service {service}]\n" if service != "web" else "")
        + f"[route r]\nservice = {service}\npath = /{note}\nclass = normal\n"
    ).encode()


class Node:
    """One running process."""

    def __init__(self, instance: Instance, core: DistributionCore):
        self.instance = instance
        self.core = core
        self.peer = Peer(instance.name, instance.host, instance.control_port)
        self.reads: dict[str, ReadSource] = {}
        self.paused = False
        self.backlog: list = []
        self.tick_at = float("inf")
        self.snapshots: list = []


class Fleet:
    """Nodes, their network and the configuration service.

    `drop`, `duplicate` and `delay_s` apply to each message; `cuts` holds pairs of
    failure domains that cannot reach each other, `source_cuts` domains that
    cannot reach the source. `source` is ``up``, ``down``, ``stale``, ``flapping``
    or ``silent``.
    """

    def __init__(self, seed: int, domains: int = 3, per_domain: int = 4, **settings):
        self.rng = Random(seed)
        self.settings = settings
        self.now = 100.0
        self.drop = self.duplicate = 0.0
        self.delay_s = 0.002
        self.cuts: set[frozenset] = set()
        self.source_cuts: set[str] = set()
        self.source = "up"
        self.reads = 0
        self.bytes = 0
        self.trace: list[str] = []
        self.events: list[tuple[float, str, object]] = []
        self.nodes: dict[str, Node] = {}
        self.instances: dict[str, Instance] = {}
        self.values: dict[str, list[bytes]] = {DOCUMENT: [], "instances": []}
        self.shown: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self._queue: list = []
        self._order = count()
        self._starts = count(1)
        self.revision = 0
        for domain in range(domains):
            for number in range(per_domain):
                self.add_instance(f"d{domain}", f"d{domain}n{number:03}")
        self.seeds = [i for i in self.instances if i.endswith(("n000", "n001"))]
        self.publish_list()
        self.publish(make_document(1))

    def add_instance(self, domain: str, name: str, service: str = "web") -> None:
        port = 1000 + len(self.instances)
        self._names[port] = name
        self.instances[name] = Instance(
            name, service, domain, "10.0.0.1", port, port, port, port, port
        )

    def publish(self, body: bytes, key: str = DOCUMENT) -> None:
        self.values[key].append(body)
        self.trace.append(f"{self.now:.3f} publish {key} {content_digest(body)[:8]}")
        for node in list(self.nodes.values()):
            if key in node.reads:
                self._read(node, node.reads[key])

    def publish_list(self, without: tuple[str, ...] = ()) -> None:
        self.revision += 1
        shown = {n: i for n, i in self.instances.items() if n not in without}
        listed = InstanceList(self.revision, shown, text="", digest="")
        self.publish(render_instances(listed).encode(), "instances")

    def start(self, *names: str) -> None:
        for name in names or tuple(self.instances):
            instance = self.instances[name]
            seeds = tuple(
                f"{self.instances[s].host}:{self.instances[s].control_port}"
                for s in self.seeds
                if s in self.instances
            )
            cfg = NodeSettings(
                instance=name, service=instance.service, environment="test",
                failure_domain=instance.failure_domain, host=instance.host,
                control_port=instance.control_port, link_port=1, call_port=1,
                admin_port=1, backend_port=1, seeds=seeds, invariants="full",
                source=SourceSettings("", expected_nodes=len(self.instances)),
            )  # fmt: skip
            cfg = replace(cfg, **self.settings)
            rng = Random(self.rng.random())
            core = DistributionCore.from_settings(cfg, rng, 1000 * next(self._starts))
            self.nodes[name] = Node(instance, core)
            self._handle(self.nodes[name], Started())

    def crash(self, *names: str) -> None:
        for name in names:
            self.trace.append(f"{self.now:.3f} crash {name}")
            self.nodes.pop(name, None)

    def pause(self, name: str, seconds: float) -> None:
        node = self.nodes[name]
        node.paused = True
        self._push(self.now + seconds, node, Resumed(seconds))

    def set_source(self, state: str) -> None:
        self.source = state
        self.trace.append(f"{self.now:.3f} source {state}")
        self.shown = {k: max(0, len(v) - 1) for k, v in self.values.items()}
        for node in list(self.nodes.values()):
            for read in list(node.reads.values()):
                self._read(node, read)

    def run(self, seconds: float, until=None) -> float:
        """Run for a time or until a condition holds; return the time it took."""
        start, end = self.now, self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            if until is not None and until():
                return self.now - start
            self.now, _, node, event = heapq.heappop(self._queue)
            if self.nodes.get(node.instance.name) is node:
                self._deliver(node, event)
        self.now = end
        return seconds if until is None or until() else float("inf")

    def converged(self, version: int, revision: int | None = None) -> bool:
        revision = self.revision if revision is None else revision
        return all(
            n.snapshots
            and n.snapshots[-1].document.version == version
            and n.snapshots[-1].instances_revision >= revision
            and n.core.serving()
            for n in self.nodes.values()
        )

    def readers(self, domain: str) -> list[str]:
        return sorted(
            name
            for name, node in self.nodes.items()
            if node.instance.failure_domain == domain and self._is_reader(node)
        )

    @staticmethod
    def _is_reader(node: Node) -> bool:
        return node.core.board.membership.is_reader

    def codes(self) -> set[str]:
        return {event.code.name for _, _, event in self.events}

    def explain(self) -> str:
        """Return state and trace for the message of a failed test."""
        state = [
            f"{name} {n.core.board.configuration.state.value} {n.core.status(self.now)}"
            for name, n in sorted(self.nodes.items())
        ]
        return "\n".join([*self.trace[-TRACE_LINES:], f"now {self.now:.3f}", *state])

    def _push(self, at: float, node: Node, event) -> None:
        heapq.heappush(self._queue, (at, next(self._order), node, event))

    def _deliver(self, node: Node, event) -> None:
        if isinstance(event, Resumed):
            node.paused = False
            self._handle(node, event)
            backlog, node.backlog = node.backlog, []
            for late in backlog:
                self._handle(node, late)
        elif node.paused:
            node.backlog.append(event)
        elif not isinstance(event, Tick) or self.now >= node.tick_at:
            self._handle(node, event)

    def _handle(self, node: Node, event) -> None:
        if isinstance(event, _Answer):
            event = event.take()
            if event is None:
                return
        for effect in node.core.handle(event, self.now):
            match effect:
                case SendPeer(peer, message):
                    self._send(node, peer, message)
                case ReadSource(key):
                    assert key not in node.reads, "second read of a key"
                    node.reads[key] = effect
                    self.reads += 1
                    self._read(node, effect)
                case CancelRead(key):
                    node.reads.pop(key, None)
                case SnapshotReady(snapshot):
                    last = node.snapshots[-1:]
                    for old in last:
                        assert snapshot.document.version >= old.document.version
                    node.snapshots = [*node.snapshots[-1:], snapshot]
                case Emit(emitted):
                    name = node.instance.name
                    self.events.append((self.now, name, emitted))
                    line = f"{self.now:.3f} {name} {emitted.code.name} {emitted.fields}"
                    self.trace.append(line)
        node.tick_at = max(node.core.next_deadline(), self.now + 0.0001)
        if node.tick_at < float("inf"):
            self._push(node.tick_at, node, Tick())

    def _send(self, sender: Node, peer: Peer, message) -> None:
        data = encode_message(message)
        self.bytes += len(data)
        target = self.nodes.get(self._names.get(peer.control_port))
        if target is None:
            self._push(self.now + 0.001, sender, PeerUnreachable(peer))
            return
        ends = (sender.instance.failure_domain, target.instance.failure_domain)
        if frozenset(ends) in self.cuts:
            return
        copies = 1 + (self.rng.random() < self.duplicate)
        for _ in range(copies if self.rng.random() >= self.drop else 0):
            at = self.now + self.rng.uniform(0.0005, self.delay_s)
            event = PeerMessage(sender.peer, decode_message(data))
            self._push(at, target, event)

    def _read(self, node: Node, read: ReadSource) -> None:
        """Answer a read now if the source has an answer, or end it later."""
        values = self.values[read.key]
        cut = node.instance.failure_domain in self.source_cuts
        if self.source == "silent":
            return
        if self.source == "down" or cut or not values:
            self._answer(node, read, SourceFailed(read.key, "503"), 0.001)
            return
        index = len(values) - 1
        if self.source == "stale":
            index = self.shown[read.key]
        elif self.source == "flapping":
            index = max(0, index - self.rng.choice((0, 0, 1, 2)))
        body = values[index]
        digest = content_digest(body)
        if digest != read.after:
            value = SourceValue(read.key, body, digest, index)
            self._answer(node, read, value, 0.002)
        else:
            wait = max(0.002, read.wait_deadline - self.now)
            self._answer(node, read, SourceUnchanged(read.key), wait)

    def _answer(self, node: Node, read: ReadSource, event, delay: float) -> None:
        def answer():
            if node.reads.get(read.key) is read:
                del node.reads[read.key]
                return event
            return None

        self._push(self.now + delay, node, _Answer(answer))


class _Answer:
    """Answer of the source that is dropped if its read has been given up."""

    def __init__(self, take):
        self.take = take
