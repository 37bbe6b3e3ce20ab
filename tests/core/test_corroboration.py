"""Guards against a single faulty peer that claims what the source never gave."""

from tests.core.fleet import DOCUMENT, make_document

from mangowell_core.digest import content_digest, make_delta
from mangowell_core.distribution.io import PeerMessage
from mangowell_core.messages import Announce, DigestQuery, Heartbeat, KeyVersion, Piece

FORGED = make_document(999, "forged")
HELD = KeyVersion(DOCUMENT, 999, content_digest(FORGED))


def forge(fleet, reader, sequence):
    """Return an announcement of a valid text that the source does not have."""
    real = fleet.nodes[reader].core
    held = [HELD, real.board.configuration.held["instances"].to_key_version()]
    heartbeat = Heartbeat("d0", reader, 10**9, sequence, "up", held, 0, [0, 0])
    base = real.board.configuration.held[DOCUMENT]
    delta = make_delta(base.body, FORGED)
    return Announce(reader, HELD, heartbeat, base.digest, delta)


def test_claim_of_one_faulty_reader_is_held(fleet):
    """The other reader checks the source and contradicts within the grace time."""
    liar = fleet.readers("d0")[0]
    sender = fleet.nodes[liar].peer
    message = forge(fleet, liar, 1)
    fleet.crash(liar)
    for sequence in range(1, 60):
        message = forge(fleet, fleet.readers("d0")[0], sequence)
        heartbeat = Heartbeat("d0", liar, 10**9, sequence, "up", [HELD], 0, [0])
        message = Announce(liar, HELD, heartbeat, message.base, message.delta)
        for name, node in fleet.nodes.items():
            if name.startswith("d0"):
                fleet.push(node, PeerMessage(sender, message))
        fleet.run(1)
        assert fleet.versions() == {1}
    assert "VERSION_HELD" in fleet.codes()
    fleet.reads = 0
    fleet.run(20)
    fleet.publish(make_document(1000))
    assert fleet.run(14, lambda: fleet.converged(1000)) < 14


def test_peer_that_says_it_holds_a_version_is_not_believed(fleet):
    """A node that is no reader has no evidence of its own."""
    liar = next(n for n in fleet.nodes if n not in fleet.readers("d0"))
    peer = fleet.nodes[liar].peer
    fleet.crash(liar)
    base = content_digest(make_document(1))
    delta = make_delta(make_document(1), FORGED)
    piece = Piece(DOCUMENT, 999, HELD.digest, base, 0, len(delta), delta)
    for _ in range(60):
        for node in fleet.nodes.values():
            for message in (DigestQuery([HELD], [], [0]), piece):
                fleet.push(node, PeerMessage(peer, message))
        fleet.run(0.5)
        assert fleet.versions() == {1}


def test_source_that_answers_crosswise(fleet):
    """Readers get different versions in turn; the order of versions decides."""
    fleet.publish(make_document(2))
    fleet.set_source("flapping")
    for version in range(3, 8):
        fleet.publish(make_document(version))
        fleet.run(2)
    fleet.set_source("up")
    assert fleet.run(14, lambda: fleet.converged(7)) < 14


def test_contradiction_makes_the_next_rank_read(fleet):
    """It must neither be left unresolved nor make ever more nodes read."""
    first, second = fleet.readers("d0")
    base = content_digest(make_document(1))
    delta = make_delta(make_document(1), FORGED)
    sender = fleet.nodes[first].peer

    def claim_for(seconds):
        for _ in range(seconds):
            sequence = round(fleet.now * 1000)
            heartbeat = Heartbeat("d0", first, 10**9, sequence, "up", [HELD], 0, [0])
            message = Announce(first, HELD, heartbeat, base, delta)
            for name, node in fleet.nodes.items():
                if name.startswith("d0") and name != first:
                    fleet.push(node, PeerMessage(sender, message))
            fleet.run(1)

    claim_for(7)
    assert len(fleet.readers("d0")) in (3, 4)
    claim_for(60)
    fleet.reads = 0
    claim_for(60)
    # Twice the steady state of 6 readers with 2 watches of 6 s.
    assert fleet.reads / 60 <= 4
    assert fleet.versions() == {1}
    assert second in fleet.readers("d0")
