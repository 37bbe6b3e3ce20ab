"""Guards against a single faulty peer that claims what the source never gave."""

from tests.core.fleet import DOCUMENT, make_document

from mangowell_core.digest import content_digest, make_delta
from mangowell_core.distribution.corroboration import Verdict
from mangowell_core.distribution.io import Peer, PeerMessage
from mangowell_core.messages import (
    Announce,
    DigestQuery,
    Fetch,
    Heartbeat,
    KeyVersion,
    Piece,
)

FORGED = make_document(999, "forged")
HELD = KeyVersion(DOCUMENT, 999, content_digest(FORGED))


def claim_for(fleet, liar, seconds):
    """Let a reader of d0 announce each second what the source does not have."""
    base = make_document(1)
    delta = make_delta(base, FORGED)
    sender = fleet.instances[liar]
    board = fleet.nodes["d1n000"].core.board.configuration
    listed = board.held["instances"].to_key_version()
    peer = Peer(liar, sender.host, sender.control_port)
    for _ in range(seconds):
        sequence = round(fleet.now * 1000)
        held = [HELD, listed]
        heartbeat = Heartbeat("d0", liar, 10**9, sequence, "up", held, 0, [0, 0])
        message = Announce(liar, HELD, heartbeat, content_digest(base), delta)
        for name, node in fleet.nodes.items():
            if name.startswith("d0") and name != liar:
                fleet.push(node, PeerMessage(peer, message))
        fleet.run(1)
        assert fleet.versions() == {1}


def test_claim_of_one_faulty_reader_is_held(fleet):
    """The other reader checks the source and contradicts within the grace time."""
    liar = fleet.readers("d0")[0]
    fleet.crash(liar)
    claim_for(fleet, liar, 60)
    assert "VERSION_HELD" in fleet.codes()
    fleet.run(20)
    fleet.publish(make_document(1000))
    assert fleet.run(14, lambda: fleet.converged(1000)) < 14


def test_peer_that_says_it_holds_a_version_is_not_believed(fleet):
    """A node that is no reader has no evidence of its own, but serves its text."""
    liar = next(n for n in fleet.nodes if n not in fleet.readers("d0"))
    peer = fleet.nodes[liar].peer
    fleet.crash(liar)
    base = content_digest(make_document(1))
    delta = make_delta(make_document(1), FORGED)
    piece = Piece(DOCUMENT, 999, HELD.digest, base, 0, len(delta), delta)
    send = fleet._send

    def serve_forged(sender, target, message):
        if isinstance(message, Fetch) and message.digest == HELD.digest:
            fleet.push(sender, PeerMessage(peer, piece))
        else:
            send(sender, target, message)

    fleet._send = serve_forged
    for _ in range(60):
        for node in fleet.nodes.values():
            fleet.push(node, PeerMessage(peer, DigestQuery([HELD], [], [0])))
        fleet.run(0.5)
        assert fleet.versions() == {1}


def test_old_confirmation_does_not_contradict_for_ever(fleet):
    """The source flapped to version 1, then showed an invalid one.

    Nothing renews or takes back the confirmation of version 1, and the node that
    got version 999 before is no reader.
    """
    liar = next(iter(fleet.readers("d1")))
    node = fleet.nodes["d0n004"]
    node.core.board.configuration.claims.clear()
    old = KeyVersion(DOCUMENT, 1, content_digest(make_document(1)))
    start, verdicts = fleet.now, []
    for second in range(20):
        now, age = start + second, 1000 * second
        heartbeat = Heartbeat("d1", liar, 10**9, second + 1, "up", [old], age, [age])
        corroboration = node.core._corroboration
        corroboration.record(heartbeat, node.peer, now)
        corroboration.record_holder(HELD, node.peer, start - 1, now)
        verdicts.append(corroboration.judge(HELD, now))
    assert verdicts[:9] == [Verdict.HOLD] * 9
    assert verdicts[12:] == [Verdict.ACCEPT] * 8


def test_contradiction_makes_the_next_rank_read(fleet):
    """It must neither be left unresolved nor make ever more nodes read."""
    first, second = fleet.readers("d0")
    claim_for(fleet, first, 7)
    assert len(fleet.readers("d0")) in (3, 4)
    claim_for(fleet, first, 60)
    fleet.reads = 0
    claim_for(fleet, first, 60)
    # Twice the steady state of 6 readers with 2 watches of 6 s.
    assert fleet.reads / 60 <= 4
    assert second in fleet.readers("d0")
