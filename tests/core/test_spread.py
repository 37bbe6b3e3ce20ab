"""Guards the dissemination trees and the digest exchange."""

import pytest
from tests.core.fleet import DOCUMENT, Fleet, make_document

from mangowell_core.digest import make_delta
from mangowell_core.distribution.io import Peer, PeerMessage, SendPeer
from mangowell_core.distribution.ranking import DisseminationTree, rank_instances
from mangowell_core.messages import (
    Acknowledge,
    Announce,
    DigestQuery,
    DigestReply,
    Heartbeat,
    HeartbeatRelay,
    KeyVersion,
)

CONVERGENCE_LIMIT_S = 14.0
# After this time, substitute readers read the source, which hides a tree that fails.
TAKEOVER_S = 2.9
UNLISTED_PEER = Peer("stranger", "10.0.0.9", 9)


def make_heartbeat(held=(), ages=(), sequence=1, **changes):
    fields = {
        "failure_domain": "d0",
        "reader": "stranger",
        "incarnation": 1,
        "sequence": sequence,
        "source": "up",
        "held": list(held),
        "confirmed_age_ms": 0,
        "held_ages_ms": list(ages),
    }
    return Heartbeat(**{**fields, **changes})


@pytest.mark.parametrize("size", [1, 2, 5, 6, 21, 194])
def test_tree_reaches_every_node_once(size):
    names = tuple(f"n{i}" for i in range(size))
    tree = DisseminationTree("n0", names, 4)
    level, reached, depth = ["n0"], ["n0"], 0
    while level := [child for name in level for child in tree.get_children(name)]:
        reached += level
        depth += 1
    assert sorted(reached) == sorted(names)
    assert depth <= 4


def test_ranking_is_stable_when_a_name_is_removed():
    names = tuple(f"n{i}" for i in range(50))
    remaining = tuple(name for name in names if name != "n7")
    ranked = rank_instances("d", names)
    assert rank_instances("d", remaining) == tuple(n for n in ranked if n != "n7")


def make_domain_without_repair(seed):
    """Return a domain of 40 nodes in which only announcements carry versions.

    Digests and heartbeats, which would repair a broken tree, are dropped. Also
    returns the names of the nodes that are not readers.
    """
    fleet = Fleet(seed, domains=1, per_domain=40)
    fleet.start()
    fleet.run(8, lambda: fleet.converged(1))
    fleet.run(2)
    send = fleet._send

    def send_without_repair(sender, peer, message):
        if not isinstance(message, DigestQuery | DigestReply | HeartbeatRelay):
            send(sender, peer, message)

    fleet._send = send_without_repair
    return fleet, sorted(set(fleet.nodes) - set(fleet.readers("d0")))


def test_announcement_reaches_subtrees_of_failed_nodes():
    """Nodes that failed must not cut off their subtrees while still in the list."""
    fleet, others = make_domain_without_repair(11)
    fleet.crash(*others[::2])
    fleet.publish(make_document(2))
    assert fleet.run(CONVERGENCE_LIMIT_S, lambda: fleet.converged(2)) < TAKEOVER_S
    assert "CHILD_SKIPPED" in fleet.codes()


def test_announcement_reaches_subtrees_of_paused_nodes():
    """A paused child accepts bytes, so only the missing acknowledgement shows it."""
    fleet, others = make_domain_without_repair(12)
    for name in others[::3]:
        fleet.pause(name, 60)
    fleet.publish(make_document(2))
    fleet.run(TAKEOVER_S)
    assert fleet.versions() == {2}


@pytest.mark.parametrize("drop", [0.3, 0.6, 0.95])
def test_lost_messages_are_repaired(fleet, drop):
    """The convergence limit counts from the end of the faults."""
    fleet.drop = drop
    fleet.publish(make_document(2))
    fleet.run(5)
    fleet.drop = 0.0
    assert (
        fleet.run(CONVERGENCE_LIMIT_S, lambda: fleet.converged(2)) < CONVERGENCE_LIMIT_S
    )


def test_late_and_duplicated_announcements_do_not_prevent_convergence(fleet):
    """An old announcement that is 2 s late must not replace a newer version."""
    fleet.delay_s, fleet.duplicate = 2.0, 0.5
    for version in range(2, 12):
        fleet.publish(make_document(version))
        fleet.run(0.5)
    assert (
        fleet.run(CONVERGENCE_LIMIT_S, lambda: fleet.converged(11))
        < CONVERGENCE_LIMIT_S
    )


def test_healed_partition_converges_on_the_highest_version(fleet):
    for ends in ("d0", "d1"), ("d0", "d2"):
        fleet.cuts.add(frozenset(ends))
    fleet.source_cuts.add("d0")
    fleet.set_source("up")
    fleet.run(12)
    fleet.publish(make_document(2))
    fleet.run(20)
    assert fleet.versions("d0") == {1}
    assert fleet.versions("d1") == fleet.versions("d2") == {2}
    assert all(node.core.serving() for node in fleet.nodes.values())
    fleet.cuts.clear()
    assert fleet.run(CONVERGENCE_LIMIT_S, lambda: fleet.converged(2)) < 5


def test_readers_query_domains_without_the_source(fleet):
    """A domain without the source must not depend on its own queries alone."""
    fleet.source_cuts.add("d0")
    fleet.set_source("up")
    fleet.run(5)
    for node in fleet.nodes.values():
        node.core._dissemination._cross_domain_at = float("inf")
    fleet.publish(make_document(2))
    assert fleet.run(CONVERGENCE_LIMIT_S, lambda: fleet.converged(2)) < 2


HELD = KeyVersion(DOCUMENT, 9, "a" * 64)
MALFORMED = [
    HeartbeatRelay(make_heartbeat(source="sideways")),
    HeartbeatRelay(make_heartbeat(sequence=0)),
    HeartbeatRelay(make_heartbeat(incarnation=-1)),
    HeartbeatRelay(make_heartbeat([HELD], [])),
    HeartbeatRelay(make_heartbeat([HELD], [-5])),
    HeartbeatRelay(make_heartbeat([KeyVersion("secrets", 9, "a" * 64)], [0])),
    HeartbeatRelay(make_heartbeat([HELD] * 3, [0] * 3)),
    DigestQuery([KeyVersion(DOCUMENT, -1, "a" * 64)], [], [0]),
    DigestQuery([KeyVersion(DOCUMENT, 2**80 % 2**63, "a" * 64)], [], []),
    DigestQuery([KeyVersion(DOCUMENT, 2**63 - 1, "a" * 64)], [], [0]),
    DigestQuery([KeyVersion(DOCUMENT, 9, "a" * 5000)], [], [0]),
    DigestQuery([HELD] * 9, [], [0] * 9),
    DigestQuery([], [make_heartbeat()] * 9),
    Announce("other", HELD, make_heartbeat([HELD], [0])),
    Announce("stranger", HELD, make_heartbeat([HELD], [0]), "b" * 64, bytes(70_000)),
]


@pytest.mark.parametrize("message", MALFORMED, ids=range(len(MALFORMED)))
def test_malformed_message_is_counted_and_dropped(fleet, message):
    """A faulty peer can hold the fleet's key, so the content is checked as well."""
    node = fleet.nodes["d0n000"]
    fleet.handle(node, PeerMessage(UNLISTED_PEER, message))
    assert fleet.events[-1][2].code.name == "PEER_MESSAGE_DROPPED"
    assert "stranger" not in node.core.board.configuration.reader_claims
    fleet.run(3)
    assert fleet.converged(1)


@pytest.mark.parametrize(
    "delta",
    [b"junk", make_delta(make_document(1), make_document(8))],
    ids=["junk", "other-text"],
)
def test_delta_with_another_digest_is_dropped_and_not_relayed(fleet, delta):
    node = fleet.nodes["d0n000"]
    text = node.core.board.configuration.running_texts[DOCUMENT]
    message = Announce(
        "stranger", HELD, make_heartbeat([HELD], [0]), text.digest, delta
    )
    effects = node.core.handle(PeerMessage(UNLISTED_PEER, message), fleet.now)
    sent = [e.message for e in effects if isinstance(e, SendPeer)]
    assert not any(isinstance(found, Announce) for found in sent)
    assert node.core._context.dropped == 1


def test_state_is_bounded_under_forged_messages(fleet):
    node = fleet.nodes["d0n000"]
    for number in range(2000):
        held = KeyVersion(DOCUMENT, 10 + number, f"{number:064}")
        forged = make_heartbeat([held], [0], reader=f"r{number}")
        for message in (
            Announce(f"r{number}", held, forged),
            DigestQuery([held], [], [0]),
            Acknowledge(f"r{number}", held),
        ):
            fleet.handle(node, PeerMessage(UNLISTED_PEER, message))
    core = node.core
    assert len(core.board.configuration.reader_claims) <= 128
    assert len(core._corroboration._holders) <= 64
    assert len(core._dissemination._seen_announcements) <= 64
    assert len(core._dissemination._unacknowledged) <= 256
    assert len(core._transfer._transfers) <= 2
    fleet.run(60)
    assert not [n for n in core.board.configuration.reader_claims if n.startswith("r")]
    assert fleet.converged(1)


def test_replayed_heartbeat_is_not_relayed(fleet):
    node = fleet.nodes["d0n000"]
    message = PeerMessage(
        UNLISTED_PEER, HeartbeatRelay(make_heartbeat([], [], sequence=5))
    )
    old = PeerMessage(UNLISTED_PEER, HeartbeatRelay(make_heartbeat([], [], sequence=4)))
    node.core.handle(message, fleet.now)
    for replayed in (message, old):
        effects = node.core.handle(replayed, fleet.now)
        assert not any(isinstance(e, SendPeer) for e in effects)
