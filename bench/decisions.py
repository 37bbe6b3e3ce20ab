"""Cost of the distribution core's own decisions at the design scale.

Run with ``python -m bench.decisions``. One failure domain of 194 cores runs with
the instance list of the whole fleet, joined by the message queue of
``tests/core/fleet.py`` with a virtual clock. Bytes and reads are counted there;
processor time and memory are measured on single cores. Each figure stands beside
its target and beside two baselines: every node watches the source, and whole
documents instead of deltas. No sockets are involved; `WIRE_BYTES` stands for them.
"""

import gc
import statistics
import time
import tracemalloc
from collections import Counter
from random import Random

from tests.core.fleet import DOCUMENT, Fleet

from mangowell_core.digest import apply_delta, compress_text, content_digest, make_delta
from mangowell_core.distribution import DistributionCore, gate
from mangowell_core.distribution.io import (
    Emit,
    Peer,
    PeerMessage,
    SourceValue,
    Started,
)
from mangowell_core.distribution.ranking import Tree, rank_instances
from mangowell_core.distribution.spread import EXCHANGE_INTERVAL_S
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
# ZMTP framing and the CURVE message box; TCP and IP headers are not counted.
WIRE_BYTES = 42
# Upper limit of a digest reply's size; the measured one is in the table.
DIGEST_BYTES = 650


def make_document(version: int, changed: int = 0) -> bytes:
    """Return a document at the design scale; `changed` routes differ."""
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
        timeout_ms = 1000 + (version if i < changed else 0)
        parts.append(
            f"[route route-{i:04}]\nservice = service-{i % (SERVICES - 1):03}\n"
            f"path = /api/{i % 97}/resource-{i:04}\nmethods = GET\n"
            f"class = normal\nidempotent = yes\ntimeout_ms = {timeout_ms}\n"
            "retries = 1\nhedge_after_ms = 0\n\n"
        )
    return "".join(parts).encode()


class DomainFleet(Fleet):
    """One running domain of a fleet that the list shows in full."""

    def __init__(self, seed: int):
        super().__init__(seed, domains=1, per_domain=DOMAIN_NODES)
        self.sent = Counter()
        self.received = Counter()
        self.kinds = Counter()
        add_other_domains(self)
        self.version = 2
        self.publish_list()
        self.publish(make_document(self.version))
        self.start(*[n for n in self.instances if n.startswith("d0n")])

    def _send(self, sender, peer, message):
        size = len(encode_message(message)) + WIRE_BYTES
        self.sent[sender.instance.name] += size
        self.received[peer.instance] += size
        self.kinds[type(message).__name__] += size
        super()._send(sender, peer, message)

    def reset(self):
        """Set all counters to zero."""
        for counter in (self.sent, self.received, self.kinds):
            counter.clear()
        self.reads = 0

    def change(self):
        """Publish a change of one route."""
        self.version += 1
        self.publish(make_document(self.version, changed=1))

    def measure(self, seconds, changes=0):
        """Run with evenly spaced changes; return rates per second."""
        self.reset()
        started = time.process_time()
        for _ in range(changes):
            self.change()
            self.run(seconds / changes)
        self.run(0 if changes else seconds)
        used = time.process_time() - started
        # The other domains do not run here. Their share of the exchange between
        # readers is one answer, one query and its answer in each interval.
        missing = 3 * (DIGEST_BYTES + WIRE_BYTES) / EXCHANGE_INTERVAL_S
        readers = self.readers("d0")
        loads = [
            (self.sent[name] + self.received[name]) / seconds
            + (missing if name in readers else 0.0)
            for name in self.nodes
        ]
        return {
            "mean": statistics.fmean(loads),
            "busiest": max(loads),
            "reads": self.reads / seconds,
            "processor": used / seconds / DOMAIN_NODES,
            "kinds": {k: v / seconds for k, v in self.kinds.most_common()},
        }


def change_list(text: bytes, revision: int) -> bytes:
    """Return the next revision of a list, with one instance replaced."""
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
    """One core that has joined from a peer and takes announcements."""

    def __init__(self, instances: bytes):
        self.core = make_core(7)
        self.now = 100.0
        self.peer = Peer("d0n000", "10.0.0.1", 1000)
        self.sequence = 0
        self.held = {}
        self.core.handle(Started(), self.now)
        for key, body in ((DOCUMENT, make_document(2)), ("instances", instances)):
            self.core._readers._open(self.core._readers._reads[key], self.now, True)
            self.core.handle(SourceValue(key, body, "", 1), self.now)
            version = 2 if key == DOCUMENT else 1
            self.held[key] = KeyVersion(key, version, content_digest(body))

    def beat(self, reader):
        """Return the next heartbeat of a reader."""
        self.sequence += 1
        held = list(self.held.values())
        ages = [0] * len(held)
        return Heartbeat("d0", reader, 1, self.sequence, "up", held, 0, ages)

    def announce(self, key, version, old, new):
        """Return the announcement of a change by the first reader."""
        base = content_digest(old)
        self.held[key] = KeyVersion(key, version, content_digest(new))
        delta = make_delta(old, new)
        root = self.core.board.membership.ranking[0]
        return Announce(root, self.held[key], self.beat(root), base, delta)

    def take(self, message):
        """Let the core handle a message one second later."""
        self.now += 1
        return self.core.handle(PeerMessage(self.peer, message), self.now)


def measure_processor(instances: bytes) -> dict:
    """Return processor times in milliseconds."""
    single = SingleCore(instances)
    document, times = make_document(2), []
    for version in range(3, 23):
        new = make_document(version, changed=1)
        message = single.announce(DOCUMENT, version, document, new)
        start = time.process_time()
        single.take(message)
        times.append((time.process_time() - start) * 1000)
        assert single.core.status(single.now)["version"] == version
        document = new
    lists, text = [], instances
    for revision in range(2, 12):
        new = change_list(text, revision)
        message = single.announce("instances", revision, text, new)
        start = time.process_time()
        single.take(message)
        lists.append((time.process_time() - start) * 1000)
        assert single.core.board.membership.revision == revision
        text = new
    root = single.core.board.membership.ranking[1]
    beats = [HeartbeatRelay(single.beat(root)) for _ in range(200)]
    start = time.process_time()
    for message in beats:
        single.take(message)
    beat_ms = (time.process_time() - start) * 1000 / len(beats)
    old, new = make_document(2), make_document(3, changed=1)
    delta = make_delta(old, new)
    parsed = parse_document(old.decode(), "old").ok_value
    return {
        "document": statistics.median(times),
        "list": statistics.median(lists),
        "heartbeat": beat_ms,
        "make_delta": time_call(lambda: make_delta(old, new)),
        "apply_delta": time_call(lambda: apply_delta(old, delta, content_digest(new))),
        "parse": time_call(lambda: parse_document(new.decode(), "new"), 5),
        "parse_reuse": time_call(
            lambda: parse_document(new.decode(), "new", parsed), 5
        ),
    }


def measure_memory(instances: bytes) -> float:
    """Return megabytes that one core holds after ten changes."""
    gc.collect()
    tracemalloc.start()
    single = SingleCore(instances)
    document = make_document(2)
    for version in range(3, 13):
        new = make_document(version, changed=1)
        single.take(single.announce(DOCUMENT, version, document, new))
        document = new
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return held


def measure_restart() -> float:
    """Return the most reads in any second if all nodes join from the source."""
    slots = []
    for number in range(NODES):
        for effect in make_core(number % 900, rng=Random(number)).handle(
            Started(), 0.0
        ):
            if isinstance(effect, Emit) and "read_after_ms" in effect.event.fields:
                slots.append(effect.event.fields["read_after_ms"] / 1000)
    slots.sort()
    first = most = 0
    for last, slot in enumerate(slots):
        while slot - slots[first] > 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most * 2 + DOMAINS * 2 * 2


def share_parsing():
    """Let the cores of one process share parsed values, which saves memory."""
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
    instances = render_list()
    result = {
        "rank_ms": time_call(lambda: rank_instances("d0", names)),
        "tree_ms": time_call(lambda: Tree(names[0], names, 4)),
        "degree": max(len(Tree(names[0], names, 4).find_children(n)) for n in names),
        "depth": find_depth(Tree(names[0], names, 4), names[0]),
        "document_bytes": len(make_document(2)),
        "document_compressed": len(compress_text(make_document(2))),
        "list_bytes": len(instances),
        "list_compressed": len(compress_text(instances)),
        "delta_one": len(make_delta(make_document(2), make_document(3, 1))),
        "delta_100": len(make_delta(make_document(2), make_document(102, 100))),
        "delta_list": len(make_delta(instances, change_list(instances, 2))),
        "processor": measure_processor(instances),
        "memory_mb": measure_memory(instances),
        "restart_reads": measure_restart(),
    }
    share_parsing()
    fleet = DomainFleet(1)
    result["join_s"] = fleet.run(30, lambda: fleet.converged(2))
    fleet.run(10)
    result["steady"] = fleet.measure(60)
    fleet.reset()
    fleet.change()
    result["change_s"] = fleet.run(14, lambda: fleet.converged(fleet.version))
    fleet.run(1)
    # The answered watches were opened before the change; the platform counts them.
    result["change_reads"] = fleet.reads + len(fleet.readers("d0"))
    result["change_kinds"] = dict(fleet.kinds)
    fleet.run(10)
    result["mean"] = fleet.measure(90, changes=10)
    fleet.run(10)
    result["burst"] = fleet.measure(60, changes=BURST_PER_MINUTE)
    result["burst_s"] = fleet.run(14, lambda: fleet.converged(fleet.version))
    reader = fleet.nodes[fleet.readers("d0")[0]].core
    heartbeat = reader._readers.last_heartbeat(fleet.now)
    result["heartbeat_bytes"] = len(encode_message(HeartbeatRelay(heartbeat)))
    held = [text.to_key_version() for text in reader.board.configuration.held.values()]
    reply = DigestReply(held, [heartbeat] * 2, True, [1000, 1000])
    result["digest_bytes"] = len(encode_message(reply))
    return result


def render_list() -> bytes:
    """Return the instance list at the design scale."""
    fleet = Fleet(1, domains=1, per_domain=DOMAIN_NODES)
    add_other_domains(fleet)
    listed = InstanceList(1, fleet.instances, text="", digest="")
    return render_instances(listed).encode()


def add_other_domains(fleet: Fleet) -> None:
    """Add the instances that are listed and do not run here."""
    for number in range(NODES - DOMAIN_NODES):
        domain = f"d{1 + number % (DOMAINS - 1)}"
        service = f"service-{number % (SERVICES - 1):03}"
        fleet.add_instance(domain, f"{domain}-instance-{number:04}", service)


def find_depth(tree: Tree, root: str) -> int:
    depth, level = 0, [root]
    while level := [child for name in level for child in tree.find_children(name)]:
        depth += 1
    return depth


def make_rows(r: dict) -> list[tuple[str, str, str, str, str]]:
    """Return rows of figure, measured, target, and both baselines."""
    rate = CHANGES_PER_DAY / DAY_S
    burst = BURST_PER_MINUTE / 60
    whole = r["document_compressed"] + WIRE_BYTES
    cpu = r["processor"]
    list_rate = LIST_CHANGES_PER_DAY / DAY_S
    # The domain's run includes the message queue and parses each text once for all
    # nodes, so the parsers' time is added.
    load = r["mean"]["processor"] * 1000 + cpu["document"] * rate
    load += cpu["list"] * list_rate
    burst_load = r["burst"]["processor"] * 1000 + cpu["document"] * min(burst, 1.0)
    steady = DOMAINS * (4 + r["steady"]["reads"])
    watch_all = NODES * 2 * (1 + 1 / 30)
    return [
        ("waiting watches + reads/s, steady", f"{steady:.0f} ({steady / 20:.1f}%)",
         "100 (5%)", f"{watch_all:.0f} ({watch_all / 20:.0f}%)", "same"),
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
         f"{r['mean']['busiest'] + 5 * whole * rate:.0f}"),
        ("mean node, 9,500 changes/day, bytes/s", f"{r['mean']['mean']:.0f}", "-",
         f"{r['document_bytes'] * rate:.0f}",
         f"{r['mean']['mean'] + 2 * whole * rate:.0f}"),
        ("busiest node, burst of 100/min, bytes/s", f"{r['burst']['busiest']:.0f}",
         "10000", f"{r['document_bytes'] * burst:.0f}",
         f"{r['burst']['busiest'] + 5 * whole * 1.0:.0f}"),
        ("rank / tree of 194, ms", f"{r['rank_ms']:.2f} / {r['tree_ms']:.2f}", "-",
         "none, better", "same"),
        ("apply a document change, ms", f"{cpu['document']:.1f}", "-",
         f"{cpu['parse']:.1f} or less", f"{cpu['document']:.1f}"),
        ("apply a list change, ms", f"{cpu['list']:.1f}", "-", "-", "same"),
        ("handle a heartbeat as a reader, ms", f"{cpu['heartbeat']:.3f}", "-",
         "none, better", "same"),
        ("core's share of one processor, mean", f"{load / 10:.2f}%", "3.5%",
         f"{cpu['parse_reuse'] * rate / 10:.2f}%", "same"),
        ("core's share of one processor, burst", f"{burst_load / 10:.2f}%", "3.5%",
         f"{cpu['parse_reuse'] * burst / 10:.2f}%", "same"),
        ("memory of one core, MB", f"{r['memory_mb']:.1f}", "256", "-", "same"),
    ]  # fmt: skip


def main() -> None:
    """Print the table."""
    result = measure()
    rows = make_rows(result)
    head = ("figure", "measured", "target", "all nodes watch", "whole documents")
    widths = [max(len(row[i]) for row in [head, *rows]) for i in range(5)]
    for row in [head, tuple("-" * width for width in widths), *rows]:
        print("  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True)))
    for name in ("steady", "mean", "burst"):
        kinds = ", ".join(
            f"{kind} {size / DOMAIN_NODES:.0f}"
            for kind, size in result[name]["kinds"].items()
        )
        print(f"bytes/s sent by a mean node, {name}: {kinds}")
    print({k: round(v, 2) for k, v in result["processor"].items()})


if __name__ == "__main__":
    main()
