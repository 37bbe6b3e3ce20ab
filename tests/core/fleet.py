"""Simulated fleet: node cores, network and source on a virtual clock."""

import heapq
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random

from mangowell_core.digest import compute_digest
from mangowell_core.distribution import DistributionCore, io
from mangowell_core.instances import render_instances
from mangowell_core.messages import decode_message, encode_message
from mangowell_core.model import Instance, InstanceList
from mangowell_core.settings import NodeSettings, SourceSettings

DOCUMENT = "documents/test"
NEVER = float("inf")
MAX_TRACE_LINES = 400


def make_document(version: int, note: str = "", service: str = "web") -> bytes:
    """Return a valid document, whose digest changes with `note`."""
    return (
        f"[document]\nenvironment = test\nversion = {version}\n"
        f"[class normal]\npriority = 1\n[service web]\n"
        + (f"[service {service}]\n" if service != "web" else "")
        + f"[route r]\nservice = {service}\npath = /{note}\nclass = normal\n"
    ).encode()


@dataclass
class Node:
    """Simulated process of one node."""

    instance: Instance
    core: DistributionCore
    peer: io.Peer
    paused: bool = False
    tick_at: float = NEVER
    reads: dict = field(default_factory=dict)
    backlog: list = field(default_factory=list)
    snapshots: list = field(default_factory=list)


class Fleet:
    """Simulates nodes, their network and the configuration service.

    `drop` and `duplicate` are probabilities for each message, `delay_s` is its
    maximum delay in seconds. `cuts` holds pairs of failure domains that cannot reach
    each other, and `source_cuts` holds domains that cannot reach the source.
    `source` is ``up``, ``down``, ``stale``, ``flapping`` or ``silent``.
    """

    def __init__(self, seed: int, domains: int = 3, per_domain: int = 4, **settings):
        self.rng, self.settings, self.now = Random(seed), settings, 100.0
        self.cuts, self.source_cuts, self.source = set(), set(), "up"
        self.end_losses()
        self.reads = self.revision = 0
        self.trace, self.events, self._queue = [], [], []
        self.nodes: dict[str, Node] = {}
        self.instances: dict[str, Instance] = {}
        self.values: dict[str, list[bytes]] = {DOCUMENT: [], "instances": []}
        self.shown: dict[str, int] = {}
        self._instance_by_port: dict[int, str] = {}
        self._event_order, self._start_numbers = count(), count(1)
        for domain in range(domains):
            for number in range(per_domain):
                self.add_instance(f"d{domain}", f"d{domain}n{number:03}")
        seeds = [i for n, i in self.instances.items() if n.endswith(("n000", "n001"))]
        self.seeds = tuple(f"{i.host}:{i.control_port}" for i in seeds)
        self.publish_list()
        self.publish(make_document(1))

    def end_losses(self):
        self.drop, self.duplicate, self.delay_s = 0.0, 0.0, 0.002

    def add_instance(self, domain: str, name: str, service: str = "web"):
        port = 1000 + len(self.instances)
        self._instance_by_port[port] = name
        ports = (port,) * 5
        self.instances[name] = Instance(name, service, domain, "10.0.0.1", *ports)

    def publish(self, body: bytes, key: str = DOCUMENT):
        self.values[key].append(body)
        self.trace.append(f"{self.now:.3f} publish {key} {compute_digest(body)[:8]}")
        for node in list(self.nodes.values()):
            if key in node.reads:
                self._read(node, node.reads[key])

    def publish_list(self, without: tuple[str, ...] = ()):
        self.revision += 1
        shown = {n: i for n, i in self.instances.items() if n not in without}
        listed = InstanceList(self.revision, shown, text="", digest="")
        self.publish(render_instances(listed).encode(), "instances")

    def start(self, *names: str):
        """Start the named processes, or all processes that are not running."""
        for name in names or [n for n in self.instances if n not in self.nodes]:
            instance = self.instances[name]
            source = SourceSettings("", expected_nodes=len(self.instances))
            cfg = NodeSettings(
                name, instance.service, instance.failure_domain, "test", instance.host,
                instance.control_port, 1, 1, 1, 1, source, seeds=self.seeds,
                invariants="full",
            )  # fmt: skip
            cfg = replace(cfg, **self.settings)
            rng, incarnation = (
                Random(self.rng.random()),
                1000 * next(self._start_numbers),
            )
            core = DistributionCore.from_settings(cfg, rng, incarnation)
            peer = io.Peer(name, instance.host, instance.control_port)
            self.nodes[name] = Node(instance, core, peer)
            self.handle(self.nodes[name], io.Started())

    def crash(self, *names: str):
        for name in names:
            self.trace.append(f"{self.now:.3f} crash {name}")
            self.nodes.pop(name, None)

    def pause(self, name: str, seconds: float):
        self.nodes[name].paused = True
        self.push(self.nodes[name], io.Resumed(seconds), seconds)

    def set_source(self, state: str):
        self.source = state
        self.trace.append(f"{self.now:.3f} source {state}")
        self.shown = {k: max(0, len(v) - 1) for k, v in self.values.items()}
        for node in list(self.nodes.values()):
            for read in list(node.reads.values()):
                self._read(node, read)

    def run(self, seconds: float, until=None) -> float:
        """Run for `seconds` or until a condition holds; return the time taken.

        If the condition does not hold in time, the result is infinity.
        """
        start, end = self.now, self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            if until is not None and until():
                return self.now - start
            self.now, _, node, event = heapq.heappop(self._queue)
            if self.nodes.get(node.instance.name) is node:
                self._deliver(node, event)
        self.now = end
        return seconds if until is None or until() else NEVER

    def converged(self, version: int) -> bool:
        return all(
            n.snapshots
            and n.snapshots[-1].document.version == version
            and n.snapshots[-1].instances_revision >= self.revision
            and n.core.serving()
            for n in self.nodes.values()
        )

    def readers(self, domain: str) -> list[str]:
        reader_names = {
            n for n, x in self.nodes.items() if x.core.board.membership.is_reader
        }
        return sorted(
            n for n in reader_names if self.instances[n].failure_domain == domain
        )

    def versions(self, prefix: str = "") -> set[int]:
        """Return the versions run by all nodes that are not paused."""
        return {
            node.core.status(self.now)["version"]
            for name, node in self.nodes.items()
            if name.startswith(prefix) and not node.paused
        }

    def codes(self) -> set[str]:
        return {event.code.name for _, _, event in self.events}

    def explain(self) -> str:
        """Return the node states and the trace, for the message of a failed test."""
        state = [
            f"{name} {n.core.board.configuration.state.value} {n.core.status(self.now)}"
            for name, n in sorted(self.nodes.items())
        ]
        return "\n".join(
            [*self.trace[-MAX_TRACE_LINES:], f"now {self.now:.3f}", *state]
        )

    def push(self, node: Node, event, delay: float = 0.0):
        """Deliver an event, or the result of a function, after `delay` seconds."""
        entry = (self.now + delay, next(self._event_order), node, event)
        heapq.heappush(self._queue, entry)

    def _deliver(self, node: Node, event):
        if isinstance(event, io.Resumed):
            node.paused = False
            for queued in [event, *node.backlog]:
                self.handle(node, queued)
            node.backlog.clear()
        elif node.paused:
            node.backlog.append(event)
        elif not isinstance(event, io.Tick) or self.now >= node.tick_at:
            self.handle(node, event)

    def handle(self, node: Node, event):
        event = event() if callable(event) else event
        for effect in node.core.handle(event, self.now) if event else ():
            match effect:
                case io.SendPeer(peer, message):
                    self._send(node, peer, message)
                case io.ReadSource(key):
                    assert key not in node.reads, "second read of a key"
                    node.reads[key] = effect
                    self.reads += 1
                    self._read(node, effect)
                case io.CancelRead(key):
                    node.reads.pop(key, None)
                case io.SnapshotReady(snapshot):
                    node.snapshots = [*node.snapshots[-1:], snapshot]
                    versions = [s.document.version for s in node.snapshots]
                    assert versions == sorted(versions), "I1"
                case io.Emit(emitted):
                    name = node.instance.name
                    self.events.append((self.now, name, emitted))
                    line = f"{self.now:.3f} {name} {emitted.code.name} {emitted.fields}"
                    self.trace.append(line)
        node.tick_at = max(node.core.next_deadline(), self.now + 0.0001)
        self.push(node, io.Tick(), node.tick_at - self.now)

    def _send(self, sender: Node, peer: io.Peer, message):
        target = self.nodes.get(self._instance_by_port.get(peer.control_port))
        if target is None:
            self.push(sender, io.PeerUnreachable(peer), 0.001)
            return
        failure_domains = {n.instance.failure_domain for n in (sender, target)}
        copies = 1 + (self.rng.random() < self.duplicate)
        if frozenset(failure_domains) in self.cuts or self.rng.random() < self.drop:
            return
        event = io.PeerMessage(sender.peer, decode_message(encode_message(message)))
        for _ in range(copies):
            self.push(target, event, self.rng.uniform(0.0005, self.delay_s))

    def _read(self, node: Node, read: io.ReadSource):
        """Respond at once with a value or failure, or when the watch ends."""
        values, index = self.values[read.key], len(self.values[read.key]) - 1
        cut = node.instance.failure_domain in self.source_cuts
        if self.source == "stale":
            index = self.shown[read.key]
        elif self.source == "flapping":
            index = max(0, index - self.rng.choice((0, 0, 1, 2)))
        delay, event = 0.002, None
        if self.source == "silent":
            return
        if self.source == "down" or cut or not values:
            event = io.SourceFailed(read.key, "503")
        elif compute_digest(values[index]) != read.after:
            digest = compute_digest(values[index])
            event = io.SourceValue(read.key, values[index], digest, index)
        else:
            event = io.SourceUnchanged(read.key)
            delay = max(0.002, read.wait_deadline - self.now)

        def respond():
            # Cancelled and completed reads get no response.
            if node.reads.get(read.key) is not read:
                return None
            del node.reads[read.key]
            return event

        self.push(node, respond, delay)
