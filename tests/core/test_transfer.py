"""Guards the transfer of texts: pieces, rate limit, and malformed replies."""

from random import Random

import pytest
from tests.core.fleet import DOCUMENT, Fleet, make_document

from mangowell_core.digest import compress_text, compute_digest
from mangowell_core.distribution.io import PeerMessage, SendPeer
from mangowell_core.distribution.transfer import PIECE_BYTES, TokenBucket
from mangowell_core.messages import Busy, Fetch, Piece
from mangowell_core.settings import DistributionSettings


def make_large_document(version, seed=1):
    """Return a valid document whose compressed text takes several pieces."""
    rng = Random(seed)
    paths = [f"{rng.getrandbits(400):x}" for _ in range(600)]
    routes = [
        f"[route r{i}]\nservice = web\npath = /{p}\nclass = normal\n"
        for i, p in enumerate(paths)
    ]
    return make_document(version) + "".join(routes).encode()


def test_large_document_reaches_a_domain_without_the_source(fleet):
    body = make_large_document(2)
    assert len(compress_text(body)) > 2 * PIECE_BYTES
    fleet.source_cuts.add("d0")
    fleet.set_source("up")
    fleet.publish(body)
    assert fleet.run(14, lambda: fleet.converged(2)) < 14


def test_served_bytes_stay_within_the_rate_limit(fleet):
    cfg = DistributionSettings(rate_bytes_per_s=10_000, burst_bytes=50_000)
    fleet = Fleet(4, domains=1, per_domain=1, distribution=cfg)
    fleet.publish(make_large_document(2))
    fleet.start()
    fleet.run(3)
    node = fleet.nodes["d0n000"]
    digest = node.core.status(0)["digest"]
    sent = 0
    for _ in range(100):
        event = PeerMessage(node.peer, Fetch(DOCUMENT, digest))
        for effect in node.core.handle(event, fleet.now):
            if isinstance(effect, SendPeer) and isinstance(effect.message, Piece):
                sent += len(effect.message.data)
        fleet.now += 0.1
    assert sent <= 50_000 + 10 * 10_000


def test_token_bucket_grants_a_size_above_its_burst():
    """A piece larger than the burst must not be refused when the bucket is full."""
    bucket = TokenBucket(100, 10)
    assert bucket.take(50, 0.0) == 0
    assert bucket.take(1, 0.0) > 0
    assert bucket.take(1, 10.0) == 0


@pytest.mark.parametrize(
    "damage",
    [
        lambda p: replace_piece(p, data=b"junk"),
        lambda p: replace_piece(p, version=p.version + 1),
        lambda p: replace_piece(p, total=2**40),
        lambda p: replace_piece(p, data=b"", base=""),
        lambda p: replace_piece(p, base="f" * 64),
        lambda p: Busy(p.key, p.digest, 2**40),
        lambda p: Busy(p.key, p.digest, -5),
    ],
    ids=["junk", "version", "total", "empty", "base", "busy", "negative"],
)
def test_fetch_succeeds_although_some_servers_are_faulty(fleet, damage):
    """A fetch must succeed although the readers of one domain send damaged replies."""
    fleet.source_cuts.add("d0")
    fleet.set_source("up")
    send = fleet._send
    faulty_servers = set(fleet.readers("d1"))

    def send_with_damage(sender, peer, message):
        if sender.instance.name in faulty_servers and isinstance(message, Piece):
            message = damage(message)
        send(sender, peer, message)

    fleet._send = send_with_damage
    fleet.publish(make_large_document(2))
    assert fleet.run(14, lambda: fleet.converged(2)) < 14


def replace_piece(piece, **changes):
    fields = {name: getattr(piece, name) for name in piece.__struct_fields__}
    return Piece(**{**fields, **changes})


def test_piece_without_a_fetch_is_ignored(fleet):
    node = fleet.nodes["d0n000"]
    body = make_document(50)
    piece = Piece(DOCUMENT, 50, compute_digest(body), "", 0, 9, compress_text(body))
    assert not [
        effect
        for effect in node.core.handle(PeerMessage(node.peer, piece), fleet.now)
        if isinstance(effect, SendPeer) and isinstance(effect.message, Piece)
    ]
    assert node.core.status(fleet.now)["version"] == 1


def test_fetch_beyond_the_end_is_dropped(fleet):
    node = fleet.nodes["d0n000"]
    digest = node.core.status(0)["digest"]
    for offset in (-1, 10**12):
        event = PeerMessage(node.peer, Fetch(DOCUMENT, digest, "", offset))
        effects = node.core.handle(event, fleet.now)
        assert not any(isinstance(e, SendPeer) for e in effects)
    assert node.core._context.dropped == 2
