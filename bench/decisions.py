"""Measures the traffic, processor time and memory of the distribution core.

Run with ``python -m bench.decisions``. The measurements use the design scale: one
failure domain of 194 cores runs with the instance list of the whole fleet. The
simulated network of ``tests/core/fleet.py`` connects the cores on a virtual clock,
and bytes and reads are counted there. Processor time and memory of one operation
are measured on single cores. The table shows each figure with its target and with
two baselines: every node watches the source, and whole documents are sent instead
of deltas. There are no sockets; `WIRE_BYTES` stands for their overhead per message.
"""

import gc
import statistics
import time
import tracemalloc
from collections import Counter
from random import Random

from tests.core.fleet import DOCUMENT, Fleet

from mangowell_core.digest import apply_delta, compress_text, compute_digest, make_delta
from mangowell_core.distribution import DistributionCore, gate
from mangowell_core.distribution.io import (
    Emit,
    Peer,
    PeerMessage,
    SourceValue,
    Started,
)
from mangowell_core.distribution.ranking import DisseminationTree, rank_instances
from mangowell_core.distribution.spread import DIGEST_EXCHANGE_INTERVAL_S
from mangowell_core.document import parse_document
from mangowell_core.instances import parse_instances, render_instances
from mangowell_core.messages import (
    Announce,
    DigestReply,
    Heartbeat,
    HeartbeatRelay,
    KeyVersion,
    encode_message,
)
from mangowell_core.model import InstanceList
from mangowell_core.settings import NodeSettings, SourceSettings

NODES = 3_100
SERVICES = 610
ROUTES = 1_220
DOMAINS = 16
DOMAIN_NODES = 194
READS_PER_S = 2_000
CHANGES_PER_DAY = 9_500
LIST_CHANGES_PER_DAY = 800
DAY_S = 86_400
BURST_PER_MINUTE = 100
# Per message: ZMTP framing and the CURVE message box, without TCP and IP headers.
WIRE_BYTES = 42
# Upper limit of the size of a digest reply; the table shows the actual size.
DIGEST_BYTES = 650


def make_document(version: int, changed_routes: int = 0) -> bytes:
    """Return a document at the design scale.

    The timeouts of the first `changed_routes` routes depend on `version`.
    """
    parts = [
        f"[document]\nenvironment = test\nversion = {version}\n\n"
        "[class payment]\npriority = 0\n\n[class normal]\npriority = 1\n\n"
        "[tenant cafes]\nweight = 1\n\n[service web]\nslots = 12\n\n"
    ]
    parts += [
        f"[service service-{i:03}]\nslots = 12\nconnections = 120\n"
        "queue_limit = 48\nretry_ratio = 0.1\nslow_start_s = 10\n\n"
        for i in range(SERVICES - 1)
    ]
    for i in range(ROUTES):
        timeout_ms = 1000 + (version if i < changed_routes else 0)
        parts.append(
            f"[route route-{i:04}]\nservice = service-{i % (SERVICES - 1):03}\n"
            f"path = /api/{i % 97}/resource-{i:04}\nmethods = GET\n"
            f"class = normal\nidempotent = yes\ntimeout_ms = {timeout_ms}\n"
            "retries = 1\nhedge_after_ms = 0\n\n"
        )
    return "".join(parts).encode()


class DomainFleet(Fleet):
    """Runs one failure domain; its instance list contains the whole fleet."""

    def __init__(self, seed: int):
        super().__init__(seed, domains=1, per_domain=DOMAIN_NODES)
        self.sent = Counter()  # bytes by instance
        self.received = Counter()  # bytes by instance
        self.bytes_by_type = Counter()  # bytes sent by message type
        add_other_domains(self)
        self.version = 2
        self.publish_list()
        self.publish(make_document(self.version))
        self.start(*[n for n in self.instances if n.startswith("d0n")])

    def _send(self, sender, peer, message):
        size = len(encode_message(message)) + WIRE_BYTES
        self.sent[sender.instance.name] += size
        self.received[peer.instance] += size
        self.bytes_by_type[type(message).__name__] += size
        super()._send(sender, peer, message)

    def reset_counters(self):
        """Set all counters to zero."""
        for counter in (self.sent, self.received, self.bytes_by_type):
            counter.clear()
        self.reads = 0

    def publish_route_change(self):
        """Publish a new version of the document in which one route changes."""
        self.version += 1
        self.publish(make_document(self.version, changed_routes=1))

    def measure_rates(self, seconds, changes=0):
        """Run with evenly spaced changes of the document.

        Returns
        -------
        dict
            Per second: ``mean`` and ``busiest``: bytes that a node sends and
            receives; ``reads`` of the source; ``processor``: processor time of one
            node; ``kinds``: bytes sent by message type.
        """
        self.reset_counters()
        started = time.process_time()
        for _ in range(changes):
            self.publish_route_change()
            self.run(seconds / changes)
        self.run(0 if changes else seconds)
        used = time.process_time() - started
        # The other domains do not run. Their part of the digest exchange between
        # readers is added: one reply, one query and its reply in each interval.
        digest_exchange_bytes_per_s = (
            3 * (DIGEST_BYTES + WIRE_BYTES) / DIGEST_EXCHANGE_INTERVAL_S
        )
        readers = self.readers("d0")
        node_bytes_per_s = [
            (self.sent[name] + self.received[name]) / seconds
            + (digest_exchange_bytes_per_s if name in readers else 0.0)
            for name in self.nodes
        ]
        return {
            "mean": statistics.fmean(node_bytes_per_s),
            "busiest": max(node_bytes_per_s),
            "reads": self.reads / seconds,
            "processor": used / seconds / DOMAIN_NODES,
            "kinds": {k: v / seconds for k, v in self.bytes_by_type.most_common()},
        }


def change_list(text: bytes, revision: int) -> bytes:
    """Return the next revision of an instance list, with one instance replaced."""
    old = b"# revision %d\n" % (revision - 1)
    new = text.replace(old, b"# revision %d\n" % revision)
    return new.replace(b"instance-%04d " % revision, b"replaced-%04d " % revision)


def time_call(call, repeats=20):
    """Return the median processor time of a call in milliseconds."""
    times = []
    for _ in range(repeats):
        start = time.process_time()
        call()
        times.append((time.process_time() - start) * 1000)
    return statistics.median(times)


def make_core(number=0, seeds=(), rng=None):
    settings = NodeSettings(
        instance=f"d0n{number:03}", service="web", failure_domain="d0",
        environment="test", host="10.0.0.1", control_port=1000 + number, link_port=1,
        call_port=1, admin_port=1, backend_port=1, seeds=seeds,
        source=SourceSettings("", expected_nodes=NODES, reads_per_second=READS_PER_S),
    )  # fmt: skip
    return DistributionCore.from_settings(settings, rng or Random(number), 1)


class SingleCore:
    """Runs one core that holds both keys and accepts announcements from a peer."""

    def __init__(self, instances: bytes):
        self.core = make_core(7)
        self.now = 100.0
        self.peer = Peer("d0n000", "10.0.0.1", 1000)
        self.sequence = 0
        self.held_versions = {}
        self.core.handle(Started(), self.now)
        for key, body in ((DOCUMENT, make_document(2)), ("instances", instances)):
            self.core._readers._start_read(
                self.core._readers._reads[key], self.now, True
            )
            self.core.handle(SourceValue(key, body, "", 1), self.now)
            version = 2 if key == DOCUMENT else 1
            self.held_versions[key] = KeyVersion(key, version, compute_digest(body))

    def make_heartbeat(self, reader):
        """Create the next heartbeat of a reader."""
        self.sequence += 1
        versions = list(self.held_versions.values())
        ages = [0] * len(versions)
        return Heartbeat("d0", reader, 1, self.sequence, "up", versions, 0, ages)

    def make_announcement(self, key, version, old, new):
        """Create the announcement of a change by the first reader."""
        base = compute_digest(old)
        self.held_versions[key] = KeyVersion(key, version, compute_digest(new))
        delta = make_delta(old, new)
        root = self.core.board.membership.ranking[0]
        return Announce(
            root, self.held_versions[key], self.make_heartbeat(root), base, delta
        )

    def handle_message(self, message):
        """Advance the clock by one second and let the core handle a message."""
        self.now += 1
        return self.core.handle(PeerMessage(self.peer, message), self.now)


def measure_processor(instances: bytes) -> dict:
    """Return the processor time of each operation in milliseconds."""
    single = SingleCore(instances)
    document, times = make_document(2), []
    for version in range(3, 23):
        new = make_document(version, changed_routes=1)
        message = single.make_announcement(DOCUMENT, version, document, new)
        start = time.process_time()
        single.handle_message(message)
        times.append((time.process_time() - start) * 1000)
        assert single.core.status(single.now)["version"] == version
        document = new
    list_times, text = [], instances
    for revision in range(2, 12):
        new = change_list(text, revision)
        message = single.make_announcement("instances", revision, text, new)
        start = time.process_time()
        single.handle_message(message)
        list_times.append((time.process_time() - start) * 1000)
        assert single.core.board.membership.revision == revision
        text = new
    root = single.core.board.membership.ranking[1]
    heartbeats = [HeartbeatRelay(single.make_heartbeat(root)) for _ in range(200)]
    start = time.process_time()
    for message in heartbeats:
        single.handle_message(message)
    heartbeat_ms = (time.process_time() - start) * 1000 / len(heartbeats)
    old, new = make_document(2), make_document(3, changed_routes=1)
    delta = make_delta(old, new)
    parsed = parse_document(old.decode(), "old").ok_value
    return {
        "document": statistics.median(times),
        "list": statistics.median(list_times),
        "heartbeat": heartbeat_ms,
        "make_delta": time_call(lambda: make_delta(old, new)),
        "apply_delta": time_call(lambda: apply_delta(old, delta, compute_digest(new))),
        "parse": time_call(lambda: parse_document(new.decode(), "new"), 5),
        "parse_reuse": time_call(
            lambda: parse_document(new.decode(), "new", parsed), 5
        ),
    }


def measure_memory(instances: bytes) -> float:
    """Return the memory in megabytes that one core holds after ten changes."""
    gc.collect()
    tracemalloc.start()
    single = SingleCore(instances)
    document = make_document(2)
    for version in range(3, 13):
        new = make_document(version, changed_routes=1)
        single.handle_message(
            single.make_announcement(DOCUMENT, version, document, new)
        )
        document = new
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return held


def compute_restart_reads() -> float:
    """Return the most reads in any second if all nodes read the source at start."""
    read_times_s = []
    for number in range(NODES):
        for effect in make_core(number % 900, rng=Random(number)).handle(
            Started(), 0.0
        ):
            if isinstance(effect, Emit) and "read_after_ms" in effect.event.fields:
                read_times_s.append(effect.event.fields["read_after_ms"] / 1000)
    read_times_s.sort()
    first = max_reads = 0
    for last, read_time_s in enumerate(read_times_s):
        while read_time_s - read_times_s[first] > 1.0:
            first += 1
        max_reads = max(max_reads, last - first + 1)
    return max_reads * 2 + DOMAINS * 2 * 2


def cache_parsed_texts():
    """Patch the parsers so that the cores share parsed values, to save memory."""
    cache = {}

    def wrap(parse):
        def cached(text, filename, previous=None):
            if (filename, text) not in cache:
                cache.clear() if len(cache) > 16 else None
                cache[filename, text] = parse(text, filename, previous)
            return cache[filename, text]

        return cached

    gate.parse_document = wrap(parse_document)
    gate.parse_instances = wrap(parse_instances)


def measure() -> dict:
    """Return all figures by name."""
    names = tuple(f"d0n{i:03}" for i in range(DOMAIN_NODES))
    instances = render_design_list()
    result = {
        "rank_ms": time_call(lambda: rank_instances("d0", names)),
        "tree_ms": time_call(lambda: DisseminationTree(names[0], names, 4)),
        "degree": max(
            len(DisseminationTree(names[0], names, 4).get_children(n)) for n in names
        ),
        "depth": compute_depth(DisseminationTree(names[0], names, 4), names[0]),
        "document_bytes": len(make_document(2)),
        "document_compressed": len(compress_text(make_document(2))),
        "list_bytes": len(instances),
        "list_compressed": len(compress_text(instances)),
        "delta_one": len(make_delta(make_document(2), make_document(3, 1))),
        "delta_100": len(make_delta(make_document(2), make_document(102, 100))),
        "delta_list": len(make_delta(instances, change_list(instances, 2))),
        "processor": measure_processor(instances),
        "memory_mb": measure_memory(instances),
        "restart_reads": compute_restart_reads(),
    }
    cache_parsed_texts()
    fleet = DomainFleet(1)
    result["join_s"] = fleet.run(30, lambda: fleet.converged(2))
    fleet.run(10)
    result["steady"] = fleet.measure_rates(60)
    fleet.reset_counters()
    fleet.publish_route_change()
    result["change_s"] = fleet.run(14, lambda: fleet.converged(fleet.version))
    fleet.run(1)
    # The source also counts the watches that the change answers, which were
    # opened before it.
    result["change_reads"] = fleet.reads + len(fleet.readers("d0"))
    result["change_kinds"] = dict(fleet.bytes_by_type)
    fleet.run(10)
    result["mean"] = fleet.measure_rates(90, changes=10)
    fleet.run(10)
    result["burst"] = fleet.measure_rates(60, changes=BURST_PER_MINUTE)
    result["burst_s"] = fleet.run(14, lambda: fleet.converged(fleet.version))
    reader = fleet.nodes[fleet.readers("d0")[0]].core
    heartbeat = reader._readers.get_last_heartbeat(fleet.now)
    result["heartbeat_bytes"] = len(encode_message(HeartbeatRelay(heartbeat)))
    held = [
        text.to_key_version()
        for text in reader.board.configuration.running_texts.values()
    ]
    reply = DigestReply(held, [heartbeat] * 2, True, [1000, 1000])
    result["digest_bytes"] = len(encode_message(reply))
    return result


def render_design_list() -> bytes:
    """Return the text of the instance list at the design scale."""
    fleet = Fleet(1, domains=1, per_domain=DOMAIN_NODES)
    add_other_domains(fleet)
    listed = InstanceList(1, fleet.instances, text="", digest="")
    return render_instances(listed).encode()


def add_other_domains(fleet: Fleet) -> None:
    """Add the instances of the other domains, which are listed but do not run."""
    for number in range(NODES - DOMAIN_NODES):
        domain = f"d{1 + number % (DOMAINS - 1)}"
        service = f"service-{number % (SERVICES - 1):03}"
        fleet.add_instance(domain, f"{domain}-instance-{number:04}", service)


def compute_depth(tree: DisseminationTree, root: str) -> int:
    depth, level = 0, [root]
    while level := [child for name in level for child in tree.get_children(name)]:
        depth += 1
    return depth


def make_rows(r: dict) -> list[tuple[str, str, str, str, str]]:
    """Return the rows of the table: figure, measured, target and both baselines."""
    rate = CHANGES_PER_DAY / DAY_S
    burst_rate = BURST_PER_MINUTE / 60
    document_message_bytes = r["document_compressed"] + WIRE_BYTES
    processor_ms = r["processor"]
    list_rate = LIST_CHANGES_PER_DAY / DAY_S
    # The measured run includes the message queue, but parses each text only once for
    # all nodes. The time of applying changes, with parsing, is therefore added.
    mean_ms_per_s = r["mean"]["processor"] * 1000 + processor_ms["document"] * rate
    mean_ms_per_s += processor_ms["list"] * list_rate
    burst_ms_per_s = r["burst"]["processor"] * 1000 + processor_ms["document"] * min(
        burst_rate, 1.0
    )
    steady = DOMAINS * (4 + r["steady"]["reads"])
    watch_all_load = NODES * 2 * (1 + 1 / 30)
    return [
        ("waiting watches + reads/s, steady", f"{steady:.0f} ({steady / 20:.1f}%)",
         "100 (5%)", f"{watch_all_load:.0f} ({watch_all_load / 20:.0f}%)", "same"),
        ("reads per change and domain", f"{r['change_reads']}", "4",
         f"{2 * DOMAIN_NODES}", "same"),
        ("reads in the worst second of a restart", f"{r['restart_reads']:.0f}",
         "1000 (50%)", f"{NODES * 2} at once", "same"),
        ("one change on all nodes of a domain, s", f"{r['change_s']:.3f}", "2 (p99)",
         "1 hop, better", "same"),
        ("last of a burst on all nodes, s", f"{r['burst_s']:.3f}", "14",
         "1 hop, better", "same"),
        ("join of a whole domain at once, s", f"{r['join_s']:.1f}", "-", "-", "same"),
        ("tree degree / depth", f"{r['degree']} / {r['depth']}", "4 / 4", "-", "same"),
        ("heartbeat / digest reply, bytes",
         f"{r['heartbeat_bytes']} / {r['digest_bytes']}", "-", "none, better", "same"),
        ("delta of one change, bytes", f"{r['delta_one']}", "-",
         f"{r['document_bytes']}", f"{r['document_compressed']}"),
        ("delta of 100 changes, bytes", f"{r['delta_100']}", "-",
         f"{r['document_bytes']}", f"{r['document_compressed']}"),
        ("delta of one list change, bytes", f"{r['delta_list']}", "-",
         f"{r['list_bytes']}", f"{r['list_compressed']}"),
        ("busiest node, steady, bytes/s", f"{r['steady']['busiest']:.0f}", "10000",
         "0, better", "same"),
        ("busiest node, 9,500 changes/day, bytes/s", f"{r['mean']['busiest']:.0f}",
         "10000", f"{r['document_bytes'] * rate:.0f}",
         f"{r['mean']['busiest'] + 5 * document_message_bytes * rate:.0f}"),
        ("mean node, 9,500 changes/day, bytes/s", f"{r['mean']['mean']:.0f}", "-",
         f"{r['document_bytes'] * rate:.0f}",
         f"{r['mean']['mean'] + 2 * document_message_bytes * rate:.0f}"),
        ("busiest node, burst of 100/min, bytes/s", f"{r['burst']['busiest']:.0f}",
         "10000", f"{r['document_bytes'] * burst_rate:.0f}",
         f"{r['burst']['busiest'] + 5 * document_message_bytes * 1.0:.0f}"),
        ("rank / tree of 194, ms", f"{r['rank_ms']:.2f} / {r['tree_ms']:.2f}", "-",
         "none, better", "same"),
        ("apply a document change, ms", f"{processor_ms['document']:.1f}", "-",
         f"{processor_ms['parse']:.1f} or less", f"{processor_ms['document']:.1f}"),
        ("apply a list change, ms", f"{processor_ms['list']:.1f}", "-", "-", "same"),
        ("handle a heartbeat as a reader, ms", f"{processor_ms['heartbeat']:.3f}", "-",
         "none, better", "same"),
        ("core's share of one processor, mean", f"{mean_ms_per_s / 10:.2f}%", "3.5%",
         f"{processor_ms['parse_reuse'] * rate / 10:.2f}%", "same"),
        ("core's share of one processor, burst", f"{burst_ms_per_s / 10:.2f}%", "3.5%",
         f"{processor_ms['parse_reuse'] * burst_rate / 10:.2f}%", "same"),
        ("memory of one core, MB", f"{r['memory_mb']:.1f}", "256", "-", "same"),
    ]  # fmt: skip


def main() -> None:
    """Run all measurements and print the table."""
    result = measure()
    rows = make_rows(result)
    head = ("figure", "measured", "target", "all nodes watch", "whole documents")
    widths = [max(len(row[i]) for row in [head, *rows]) for i in range(5)]
    for row in [head, tuple("-" * width for width in widths), *rows]:
        print("  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True)))
    for name in ("steady", "mean", "burst"):
        bytes_by_type = ", ".join(
            f"{kind} {size / DOMAIN_NODES:.0f}"
            for kind, size in result[name]["kinds"].items()
        )
        print(f"bytes/s sent by a mean node, {name}: {bytes_by_type}")
    print({k: round(v, 2) for k, v in result["processor"].items()})


if __name__ == "__main__":
    main()
