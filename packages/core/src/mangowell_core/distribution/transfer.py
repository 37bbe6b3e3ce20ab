"""Transfer of texts between nodes, in pieces or as deltas."""

from mangowell_core.blackboard import NodeState, VersionedText
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
from mangowell_core.distribution.gate import MAX_HISTORY_PER_KEY, Gate
from mangowell_core.distribution.io import Peer
from mangowell_core.events import EventCode
from mangowell_core.messages import Busy, Fetch, KeyVersion, Piece

PIECE_BYTES = 16_384
# The tree of the eager reader normally delivers within this time.
FETCH_DELAY_S = 0.3
# Another peer is asked if the next piece has not arrived within this time.
PIECE_TIMEOUT_S = 1.0
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.5
MAX_RETRY_AFTER_MS = 5_000
# Bytes that the token bucket counts for a message besides its data.
MESSAGE_OVERHEAD_BYTES = 300
MAX_CACHED_DELTAS = 8


class TokenBucket:
    """Rate limiter for sent bytes.

    Parameters
    ----------
    rate : float
        Bytes per second.
    burst : float
        Bytes that can be sent at once after an idle period.
    """

    __slots__ = ("_burst", "_rate", "_tokens", "_updated_at")

    def __init__(self, rate: float, burst: float):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated_at = 0.0

    def take(self, size: int, now: float) -> float:
        """Take `size` bytes; return 0, or the seconds until they are available.

        A size above the burst is granted when the bucket is full.
        """
        elapsed = max(0.0, now - self._updated_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._updated_at = now
        missing_bytes = min(size, self._burst) - self._tokens
        if missing_bytes > 0:
            return missing_bytes / self._rate
        self._tokens -= size
        return 0.0


class Transfer:
    """State of the fetch of one key.

    `due_at` is when the fetch starts, is retried or times out, in monotonic
    seconds; `tried_peers` are the peers asked since the last full round.
    """

    __slots__ = ("base_digests", "data", "due_at", "peer", "target", "tried_peers")

    def __init__(self, target: KeyVersion, now: float):
        self.target = target
        self.peer: Peer | None = None
        self.base_digests: tuple[str, ...] = ()
        self.data = bytearray()
        self.tried_peers: set[Peer] = set()
        self.due_at = now

    def discard_progress(self) -> None:
        """Discard the peer and the pieces received so far."""
        self.peer = None
        self.data.clear()


class TransferController:
    """Controller that fetches missing versions and serves held ones.

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
        """Reply to a fetch with a delta, a piece, or the time until a retry."""
        text = self._look_up_text(message.key, message.digest)
        if text is None:
            # With a retry time of 0 the peer asks another node at once.
            self._ctx.send(sender, Busy(message.key, message.digest, 0))
            return
        base = self._look_up_base(message)
        delta = b""
        if base is not None and message.offset == 0:
            delta = self.get_delta(base, text)
        if delta:
            piece = self._make_piece(text, base.digest, 0, len(delta), delta)
        else:
            data = self._get_compressed(text)
            if not 0 <= message.offset < len(data):
                self._ctx.record_dropped_message(
                    sender, f"fetch at invalid offset {message.offset}"
                )
                return
            chunk = data[message.offset : message.offset + PIECE_BYTES]
            piece = self._make_piece(text, "", message.offset, len(data), chunk)
        wait_s = self._bucket.take(len(piece.data) + MESSAGE_OVERHEAD_BYTES, now)
        if wait_s > 0:
            retry_ms = min(MAX_RETRY_AFTER_MS, round(wait_s * 1000) + 1)
            self._ctx.send(sender, Busy(message.key, message.digest, retry_ms))
            return
        self._ctx.send(sender, piece)

    @staticmethod
    def _make_piece(
        text: VersionedText, base: str, offset: int, total: int, data: bytes
    ) -> Piece:
        return Piece(text.key, text.version, text.digest, base, offset, total, data)

    def _look_up_text(self, key: str, digest: str) -> VersionedText | None:
        for text in self._ctx.board.configuration.history.get(key, ()):
            if text.digest == digest:
                return text
        return None

    def _look_up_base(self, message: Fetch) -> VersionedText | None:
        for digest in (message.base, *message.older[:MAX_HISTORY_PER_KEY]):
            text = self._look_up_text(message.key, digest)
            if text is not None:
                return text
        return None

    def _get_compressed(self, text: VersionedText) -> bytes:
        cached = self._compressed.get(text.key)
        if cached is None or cached[0] != text.digest:
            cached = (text.digest, compress_text(text.body))
            self._compressed[text.key] = cached
        return cached[1]

    def get_delta(self, old: VersionedText, new: VersionedText) -> bytes:
        """Return the delta between two texts, or ``b""`` if it exceeds one piece."""
        digests = (old.digest, new.digest)
        delta = self._deltas.get(digests)
        if delta is None:
            delta = make_delta(old.body, new.body)
            if len(delta) > PIECE_BYTES:
                delta = b""
            self._deltas[digests] = delta
            if len(self._deltas) > MAX_CACHED_DELTAS:
                del self._deltas[next(iter(self._deltas))]
        return delta

    def try_reserve_relay(self, size: int, now: float) -> bool:
        """Reserve bytes to relay a peer's delta; return whether the rate allows it."""
        return self._bucket.take(size, now) == 0

    def apply_announced_delta(
        self, key_version: KeyVersion, base: str, delta: bytes
    ) -> bytes | None:
        """Return the text that a delta produces, or None if its base is not held.

        Raises
        ------
        DigestError
            If the delta does not produce the announced text.
        """
        text = self._look_up_text(key_version.key, base)
        return (
            None if text is None else apply_delta(text.body, delta, key_version.digest)
        )

    # Fetching

    def on_piece(self, sender: Peer, message: Piece, now: float) -> None:
        """Handle a piece; those that no open fetch expects are ignored."""
        transfer = self._transfers.get(message.key)
        if transfer is None or not self._is_expected(transfer, sender, message):
            return
        try:
            body = self._add_piece(transfer, message)
        except DigestError as exc:
            self._ctx.record_dropped_message(sender, f"{message.key}: {exc}")
            transfer.discard_progress()
            transfer.due_at = now + MIN_RETRY_DELAY_S
            return
        if body is None:
            transfer.peer = sender
            self._send_fetch(transfer, now)
            return
        del self._transfers[message.key]
        self._gate.handle_text(transfer.target, body, describe_peer(sender), now)

    @staticmethod
    def _is_expected(transfer: Transfer, sender: Peer, message: Piece) -> bool:
        # The digest verifies the content, so a piece that arrives after its time-out
        # is accepted as well.
        tried_addresses = {
            (peer.host, peer.control_port) for peer in transfer.tried_peers
        }
        return (
            (sender.host, sender.control_port) in tried_addresses
            and message.digest == transfer.target.digest
            and message.offset == len(transfer.data)
        )

    def _add_piece(self, transfer: Transfer, message: Piece) -> bytes | None:
        """Add a piece; return the whole text, or None if pieces are missing.

        Raises
        ------
        DigestError
            If the piece is malformed or the text does not match its digest.
        """
        if message.version != transfer.target.version:
            raise DigestError(f"piece has wrong version {message.version}")
        if message.base:
            body = None
            if message.base in transfer.base_digests:
                body = self.apply_announced_delta(
                    transfer.target, message.base, message.data
                )
            if body is None:
                raise DigestError("delta has an unknown base")
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
        """Schedule a fetch from another peer, or from this one after its retry time."""
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
        delay_s = MIN_RETRY_DELAY_S
        if not self._select_provider(transfer):
            delay_s = max(retry_ms / 1000, MIN_RETRY_DELAY_S)
        elif transfer.data:
            # Compression is deterministic, so another peer can send the remaining
            # pieces.
            delay_s = 0.0
        transfer.peer = None
        transfer.due_at = now + delay_s * self._ctx.rng.uniform(1.0, 1.5)

    def on_unreachable(self, peer: Peer, now: float) -> None:
        """Schedule the fetches from an unreachable peer to go to another one."""
        for transfer in self._transfers.values():
            if transfer.peer == peer:
                transfer.peer = None
                transfer.due_at = now

    def run(self, now: float) -> None:
        """Start, retry and abandon fetches."""
        for key in self._ctx.keys:
            self._update_transfer(key, now)

    def _update_transfer(self, key: str, now: float) -> None:
        target = self._corroboration.select_target(key, now)
        transfer = self._transfers.get(key)
        if target is None or self._gate.has_pending(target):
            self._transfers.pop(key, None)
            return
        if transfer is None or transfer.target != target:
            transfer = self._transfers[key] = Transfer(target, now)
            is_joining = self._ctx.board.configuration.state is not NodeState.RUNNING
            transfer.due_at += 0.0 if is_joining else FETCH_DELAY_S
        if now < transfer.due_at:
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
            transfer.discard_progress()
        self._start_fetch(transfer, now)

    def _select_provider(self, transfer: Transfer) -> Peer | None:
        providers = self._corroboration.get_holders(transfer.target)
        untried = [peer for peer in providers if peer not in transfer.tried_peers]
        return untried[0] if untried else None

    def _start_fetch(self, transfer: Transfer, now: float) -> None:
        peer = self._select_provider(transfer)
        if peer is None:
            # Every holder has been asked; the next round starts after a delay.
            transfer.tried_peers.clear()
            transfer.due_at = now + self._ctx.rng.uniform(
                MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S
            )
            return
        transfer.tried_peers.add(peer)
        transfer.peer = peer
        history = self._ctx.board.configuration.history
        known_texts = history.get(transfer.target.key, ())
        transfer.base_digests = tuple(text.digest for text in known_texts)
        if not transfer.data:
            self._ctx.emit(
                EventCode.REPAIR_FETCH,
                key=transfer.target.key,
                version=transfer.target.version,
                digest=transfer.target.digest,
                peer=describe_peer(peer),
            )
        self._send_fetch(transfer, now)

    def _send_fetch(self, transfer: Transfer, now: float) -> None:
        transfer.due_at = now + PIECE_TIMEOUT_S
        target = transfer.target
        offset = len(transfer.data)
        base, *older = ("",) if offset else transfer.base_digests or ("",)
        fetch = Fetch(target.key, target.digest, base, offset, tuple(older))
        self._ctx.send(transfer.peer, fetch)

    def next_deadline(self) -> float:
        """Return when a fetch starts, is retried or times out, in monotonic seconds."""
        return min((t.due_at for t in self._transfers.values()), default=NEVER)
