"""Bulk transfer of texts between nodes."""

from mangowell_core.blackboard import NodeState, Text
from mangowell_core.digest import (
    MAX_COMPRESSED_BYTES,
    DigestError,
    apply_delta,
    check_digest,
    compress_text,
    decompress_text,
    make_delta,
)
from mangowell_core.distribution.context import NEVER, Context, describe_peer
from mangowell_core.distribution.corroboration import Corroboration
from mangowell_core.distribution.gate import HISTORY_KEPT, Gate
from mangowell_core.distribution.io import Peer
from mangowell_core.events import EventCode
from mangowell_core.messages import Busy, Fetch, KeyVersion, Piece

PIECE_BYTES = 16_384
# The eager tree normally delivers within this time.
FETCH_DELAY_S = 0.3
# A peer that has not sent the next piece by then is replaced by another.
PIECE_TIMEOUT_S = 1.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5
MAX_RETRY_AFTER_MS = 5_000
# Bytes of a message besides its data, for the token bucket.
OVERHEAD_BYTES = 300
CACHED_DELTAS = 8


class TokenBucket:
    """Rate limit in bytes.

    Parameters
    ----------
    rate : float
        Bytes per second.
    burst : float
        Bytes that can be sent at once.
    """

    __slots__ = ("_at", "_burst", "_rate", "_tokens")

    def __init__(self, rate: float, burst: float):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = 0.0

    def take(self, size: int, now: float) -> float:
        """Take `size` bytes; return 0, or the seconds until they are available."""
        elapsed = max(0.0, now - self._at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._at = now
        missing = min(size, self._burst) - self._tokens
        if missing > 0:
            return missing / self._rate
        self._tokens -= size
        return 0.0


class Transfer:
    """Fetch of one key: its target, the peer asked, and the pieces so far."""

    __slots__ = ("bases", "data", "peer", "target", "tried", "until")

    def __init__(self, target: KeyVersion, now: float):
        self.target = target
        self.peer: Peer | None = None
        self.bases: tuple[str, ...] = ()
        self.data = bytearray()
        self.tried: set[Peer] = set()
        self.until = now

    def restart(self) -> None:
        """Forget the peer and its pieces."""
        self.peer = None
        self.data.clear()


class TransferController:
    """Controller that fetches missing versions and serves those held.

    At most one fetch per key is open, and its data is bounded by
    `MAX_COMPRESSED_BYTES`.
    """

    __slots__ = (
        "_bucket",
        "_compressed",
        "_corroboration",
        "_ctx",
        "_deltas",
        "_gate",
        "_transfers",
    )

    def __init__(self, ctx: Context, corroboration: Corroboration, gate: Gate):
        cfg = ctx.settings.distribution
        self._ctx = ctx
        self._corroboration = corroboration
        self._gate = gate
        self._bucket = TokenBucket(cfg.rate_bytes_per_s, cfg.burst_bytes)
        self._transfers: dict[str, Transfer] = {}
        self._compressed: dict[str, tuple[str, bytes]] = {}
        self._deltas: dict[tuple[str, str], bytes] = {}

    # Serving

    def on_fetch(self, sender: Peer, message: Fetch, now: float) -> None:
        """Answer a fetch with a difference, a piece, or a time to retry."""
        text = self._find_text(message.key, message.digest)
        if text is None:
            # The peer asks another node at once.
            self._ctx.send(sender, Busy(message.key, message.digest, 0))
            return
        base = self._find_base(message)
        delta = b""
        if base is not None and message.offset == 0:
            delta = self.find_delta(base, text)
        if delta:
            piece = self._make_piece(text, base.digest, 0, len(delta), delta)
        else:
            data = self._find_compressed(text)
            if not 0 <= message.offset < len(data):
                self._ctx.drop(sender, f"fetch at offset {message.offset}")
                return
            part = data[message.offset : message.offset + PIECE_BYTES]
            piece = self._make_piece(text, "", message.offset, len(data), part)
        wait = self._bucket.take(len(piece.data) + OVERHEAD_BYTES, now)
        if wait > 0:
            retry_ms = min(MAX_RETRY_AFTER_MS, round(wait * 1000) + 1)
            self._ctx.send(sender, Busy(message.key, message.digest, retry_ms))
            return
        self._ctx.send(sender, piece)

    @staticmethod
    def _make_piece(
        text: Text, base: str, offset: int, total: int, data: bytes
    ) -> Piece:
        return Piece(text.key, text.version, text.digest, base, offset, total, data)

    def _find_text(self, key: str, digest: str) -> Text | None:
        for text in self._ctx.board.configuration.history.get(key, ()):
            if text.digest == digest:
                return text
        return None

    def _find_base(self, message: Fetch) -> Text | None:
        for digest in (message.base, *message.older[:HISTORY_KEPT]):
            text = self._find_text(message.key, digest)
            if text is not None:
                return text
        return None

    def _find_compressed(self, text: Text) -> bytes:
        cached = self._compressed.get(text.key)
        if cached is None or cached[0] != text.digest:
            cached = (text.digest, compress_text(text.body))
            self._compressed[text.key] = cached
        return cached[1]

    def find_delta(self, old: Text, new: Text) -> bytes:
        """Return the difference between two texts, or nothing if it is large."""
        identity = (old.digest, new.digest)
        delta = self._deltas.get(identity)
        if delta is None:
            delta = make_delta(old.body, new.body)
            if len(delta) > PIECE_BYTES:
                delta = b""
            self._deltas[identity] = delta
            if len(self._deltas) > CACHED_DELTAS:
                del self._deltas[next(iter(self._deltas))]
        return delta

    def allow_relay(self, size: int, now: float) -> bool:
        """Return whether a peer's difference may be passed on at this rate."""
        return self._bucket.take(size, now) == 0

    def apply_announced(
        self, held: KeyVersion, base: str, delta: bytes
    ) -> bytes | None:
        """Return the text that a difference gives, or None without its base.

        Raises
        ------
        DigestError
            If the difference does not give the announced text.
        """
        text = self._find_text(held.key, base)
        return None if text is None else apply_delta(text.body, delta, held.digest)

    # Fetching

    def on_piece(self, sender: Peer, message: Piece, now: float) -> None:
        """Take a piece of the open fetch; others are late or not asked for."""
        transfer = self._transfers.get(message.key)
        if transfer is None or not self._matches(transfer, sender, message):
            return
        try:
            body = self._add_piece(transfer, message)
        except DigestError as exc:
            self._ctx.drop(sender, f"{message.key}: {exc}")
            transfer.restart()
            transfer.until = now + RETRY_MIN_S
            return
        if body is None:
            transfer.peer = sender
            self._request(transfer, now)
            return
        del self._transfers[message.key]
        self._gate.offer(transfer.target, body, describe_peer(sender), now)

    @staticmethod
    def _matches(transfer: Transfer, sender: Peer, message: Piece) -> bool:
        # A piece that comes after its time-out is as good as one in time; what a
        # peer sends is checked by its digest.
        asked = {(peer.host, peer.control_port) for peer in transfer.tried}
        return (
            (sender.host, sender.control_port) in asked
            and message.digest == transfer.target.digest
            and message.offset == len(transfer.data)
        )

    def _add_piece(self, transfer: Transfer, message: Piece) -> bytes | None:
        """Return the whole text, or None if pieces are missing."""
        if message.version != transfer.target.version:
            raise DigestError(f"piece of version {message.version}")
        if message.base:
            body = None
            if message.base in transfer.bases:
                body = self.apply_announced(transfer.target, message.base, message.data)
            if body is None:
                raise DigestError("difference from an unknown base")
            return body
        end = message.offset + len(message.data)
        if not message.data or not end <= message.total <= MAX_COMPRESSED_BYTES:
            raise DigestError(f"piece ends at {end} of {message.total} bytes")
        transfer.data += message.data
        if end < message.total:
            return None
        body = decompress_text(bytes(transfer.data))
        check_digest(body, message.digest)
        return body

    def on_busy(self, sender: Peer, message: Busy, now: float) -> None:
        """Try another peer, or this one again when it has time."""
        transfer = self._transfers.get(message.key)
        if (
            transfer is None
            or transfer.peer is None
            or transfer.target.digest != message.digest
            or (transfer.peer.host, transfer.peer.control_port)
            != (sender.host, sender.control_port)
        ):
            return
        retry_ms = min(max(0, message.retry_after_ms), MAX_RETRY_AFTER_MS)
        delay = RETRY_MIN_S
        if not self._find_provider(transfer):
            delay = max(retry_ms / 1000, RETRY_MIN_S)
        elif transfer.data:
            # The rest of a text is compressed alike everywhere, so another peer
            # can continue it.
            delay = 0.0
        transfer.peer = None
        transfer.until = now + delay * self._ctx.rng.uniform(1.0, 1.5)

    def on_unreachable(self, peer: Peer, now: float) -> None:
        """Ask another peer for what this one was to send."""
        for transfer in self._transfers.values():
            if transfer.peer == peer:
                transfer.peer = None
                transfer.until = now

    def run(self, now: float) -> None:
        """Start, restart and give up fetches."""
        for key in self._ctx.keys:
            self._run_key(key, now)

    def _run_key(self, key: str, now: float) -> None:
        target = self._corroboration.find_target(key, now)
        transfer = self._transfers.get(key)
        if target is None or self._gate.has_pending(target):
            self._transfers.pop(key, None)
            return
        if transfer is None or transfer.target != target:
            transfer = self._transfers[key] = Transfer(target, now)
            joining = self._ctx.board.configuration.state is not NodeState.RUNNING
            transfer.until += 0.0 if joining else FETCH_DELAY_S
        if now < transfer.until:
            return
        if transfer.peer is not None:
            self._ctx.emit(
                EventCode.REPAIR_FETCH,
                key=key,
                version=target.version,
                digest=target.digest,
                peer=describe_peer(transfer.peer),
                reason="no piece in time",
            )
            transfer.restart()
        self._ask(transfer, now)

    def _find_provider(self, transfer: Transfer) -> Peer | None:
        found = self._corroboration.find_holders(transfer.target)
        untried = [peer for peer in found if peer not in transfer.tried]
        return untried[0] if untried else None

    def _ask(self, transfer: Transfer, now: float) -> None:
        peer = self._find_provider(transfer)
        if peer is None:
            # Everyone has been asked: begin again a little later.
            transfer.tried.clear()
            transfer.until = now + self._ctx.rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
            return
        transfer.tried.add(peer)
        transfer.peer = peer
        history = self._ctx.board.configuration.history
        known = history.get(transfer.target.key, ())
        transfer.bases = tuple(text.digest for text in known)
        if not transfer.data:
            self._ctx.emit(
                EventCode.REPAIR_FETCH,
                key=transfer.target.key,
                version=transfer.target.version,
                digest=transfer.target.digest,
                peer=describe_peer(peer),
            )
        self._request(transfer, now)

    def _request(self, transfer: Transfer, now: float) -> None:
        transfer.until = now + PIECE_TIMEOUT_S
        target = transfer.target
        offset = len(transfer.data)
        base, *older = ("",) if offset else transfer.bases or ("",)
        fetch = Fetch(target.key, target.digest, base, offset, tuple(older))
        self._ctx.send(transfer.peer, fetch)

    def next_deadline(self) -> float:
        """Return when a fetch is due."""
        return min((t.until for t in self._transfers.values()), default=NEVER)
