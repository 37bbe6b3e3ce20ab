"""A single faulty peer must not spread a version that the source never gave."""

from tests.core.fleet import DOCUMENT, make_document

from mangowell_core.digest import compute_digest, make_delta
from mangowell_core.distribution.corroboration import CorroborationDecision
from mangowell_core.distribution.io import Peer, PeerMessage
from mangowell_core.messages import (
    Announce,
    DigestQuery,
    Fetch,
    Heartbeat,
    KeyVersion,
    Piece,
)

FORGED_TEXT = make_document(999, "forged")
FORGED_VERSION = KeyVersion(DOCUMENT, 999, compute_digest(FORGED_TEXT))


def announce_forged_version(fleet, faulty, seconds):
    """Announce a forged version to d0 once a second in the name of `faulty`."""
    base = make_document(1)
    delta = make_delta(base, FORGED_TEXT)
    sender = fleet.instances[faulty]
    board = fleet.nodes["d1n000"].core.board.configuration
    listed = board.running_texts["instances"].to_key_version()
    peer = Peer(faulty, sender.host, sender.control_port)
    for _ in range(seconds):
        sequence = round(fleet.now * 1000)
        held = [FORGED_VERSION, listed]
        heartbeat = Heartbeat("d0", faulty, 10**9, sequence, "up", held, 0, [0, 0])
        message = Announce(
            faulty, FORGED_VERSION, heartbeat, compute_digest(base), delta
        )
        for name, node in fleet.nodes.items():
            if name.startswith("d0") and name != faulty:
                fleet.push(node, PeerMessage(peer, message))
        fleet.run(1)
        assert fleet.versions() == {1}


def test_claim_of_one_faulty_reader_is_held(fleet):
    """The other reader reads the source and contradicts within the grace time."""
    faulty = fleet.readers("d0")[0]
    fleet.crash(faulty)
    announce_forged_version(fleet, faulty, 60)
    assert "VERSION_HELD" in fleet.codes()
    fleet.run(20)
    fleet.publish(make_document(1000))
    assert fleet.run(14, lambda: fleet.converged(1000)) < 14


def test_version_held_only_by_a_non_reader_is_not_accepted(fleet):
    """A non-reader has no evidence of its own, so no node may run a text it serves."""
    faulty = next(n for n in fleet.nodes if n not in fleet.readers("d0"))
    peer = fleet.nodes[faulty].peer
    fleet.crash(faulty)
    base = compute_digest(make_document(1))
    delta = make_delta(make_document(1), FORGED_TEXT)
    piece = Piece(DOCUMENT, 999, FORGED_VERSION.digest, base, 0, len(delta), delta)
    send = fleet._send

    def serve_forged(sender, target, message):
        if isinstance(message, Fetch) and message.digest == FORGED_VERSION.digest:
            fleet.push(sender, PeerMessage(peer, piece))
        else:
            send(sender, target, message)

    fleet._send = serve_forged
    for _ in range(60):
        for node in fleet.nodes.values():
            fleet.push(node, PeerMessage(peer, DigestQuery([FORGED_VERSION], [], [0])))
        fleet.run(0.5)
        assert fleet.versions() == {1}


def test_old_confirmation_stops_contradicting(fleet):
    """A confirmation of an old version must not block a newer one permanently.

    The source flaps to version 1 and then has an invalid version. Nothing renews or
    withdraws the confirmation of version 1, and the node that got version 999
    before is not a reader.
    """
    faulty = next(iter(fleet.readers("d1")))
    node = fleet.nodes["d0n004"]
    node.core.board.configuration.reader_claims.clear()
    old = KeyVersion(DOCUMENT, 1, compute_digest(make_document(1)))
    start, decisions = fleet.now, []
    for second in range(20):
        now, age = start + second, 1000 * second
        heartbeat = Heartbeat("d1", faulty, 10**9, second + 1, "up", [old], age, [age])
        corroboration = node.core._corroboration
        corroboration.record_heartbeat(heartbeat, node.peer, now)
        corroboration.record_holder(FORGED_VERSION, node.peer, start - 1, now)
        decisions.append(corroboration.evaluate_version(FORGED_VERSION, now))
    assert decisions[:9] == [CorroborationDecision.HOLD] * 9
    assert decisions[12:] == [CorroborationDecision.ACCEPT] * 8


def test_contradiction_adds_at_most_two_readers(fleet):
    """A contradiction must be resolved without ever more nodes reading."""
    first, second = fleet.readers("d0")
    announce_forged_version(fleet, first, 7)
    assert len(fleet.readers("d0")) in (3, 4)
    announce_forged_version(fleet, first, 60)
    fleet.reads = 0
    announce_forged_version(fleet, first, 60)
    # Twice the steady state of 6 readers with 2 watches of 6 s.
    assert fleet.reads / 60 <= 4
    assert second in fleet.readers("d0")
