"""Dissemination trees and digest exchange."""

from mangowell_core.blackboard import Claim, NodeState, SourceState, Text
from mangowell_core.digest import DigestError
from mangowell_core.distribution.context import (
    NEVER,
    SOURCE_NAME,
    Context,
)
from mangowell_core.distribution.corroboration import (
    HOLDER_TTL_S,
    Corroboration,
    check_key_version,
)
from mangowell_core.distribution.gate import Gate
from mangowell_core.distribution.io import Peer
from mangowell_core.distribution.ranking import RankingCache
from mangowell_core.distribution.readers import READERS_PER_DOMAIN, Readers
from mangowell_core.distribution.transfer import TransferController
from mangowell_core.events import EventCode
from mangowell_core.messages import (
    Acknowledge,
    Announce,
    DigestQuery,
    DigestReply,
    Heartbeat,
    HeartbeatRelay,
    KeyVersion,
)

ACKNOWLEDGE_TIMEOUT_S = 0.5
# A child that was skipped is passed over at once for this time, so that the next
# announcement and the heartbeats, which are not acknowledged, reach its subtree.
SUSPECT_S = 5.0
EXCHANGE_INTERVAL_S = 2.0
EXCHANGE_SOURCE_DOWN_S = 1.0
# Spreads the exchanges of a fleet that starts at once.
EXCHANGE_JITTER = 0.1
EXCHANGED_HEARTBEATS = 2
SMALL_DELTA_BYTES = 1024
MAX_HEARTBEATS = 8
MAX_DELTA_BYTES = 65_536
SEEN_KEPT = 64
MAX_PENDING = 256
PUSHED_DOMAINS = 2
# The second reader's announcement waits this long for its own answer from the
# source, so that it carries evidence of its own.
LAZY_DELAY_S = 0.2


class Spread:
    """Controller that passes versions and heartbeats on."""

    __slots__ = (
        "_announced",
        "_corroboration",
        "_cross_at",
        "_ctx",
        "_delayed",
        "_exchange_at",
        "_gate",
        "_pending",
        "_rankings",
        "_readers",
        "_seen",
        "_suspects",
        "_transfer",
    )

    def __init__(
        self,
        ctx: Context,
        corroboration: Corroboration,
        gate: Gate,
        readers: Readers,
        transfer: TransferController,
    ):
        self._ctx = ctx
        self._corroboration = corroboration
        self._gate = gate
        self._readers = readers
        self._transfer = transfer
        self._rankings = RankingCache(ctx.settings.distribution.fanout)
        self._seen: dict[tuple[str, KeyVersion], None] = {}
        self._pending: dict[tuple[str, KeyVersion, str], tuple[float, Announce]] = {}
        self._suspects: dict[str, float] = {}
        self._announced: dict[str, str] = {}
        self._delayed: dict[str, float] = {}
        self._exchange_at = NEVER
        self._cross_at = NEVER

    def start(self, now: float) -> None:
        """Begin the exchange of digests."""
        self._exchange_at = now + self._ctx.rng.uniform(0, EXCHANGE_INTERVAL_S)
        self._cross_at = now + self._ctx.rng.uniform(0, EXCHANGE_INTERVAL_S)

    def held(self) -> list[KeyVersion]:
        """Return what this node holds."""
        texts = self._ctx.board.configuration.held.values()
        return [text.to_key_version() for text in texts]

    def _ages(self, now: float) -> list[int]:
        texts = self._ctx.board.configuration.held.values()
        return [max(0, round((now - text.read_at) * 1000)) for text in texts]

    # Trees

    def _find_children(self, root: str, name: str, now: float) -> list[str]:
        """Return whom to send to: children, and children of silent ones."""
        board = self._ctx.board.membership
        tree = self._rankings.find_tree(root, self._ctx.settings.failure_domain, board)
        found = []
        waiting = list(tree.find_children(name))
        while waiting:
            child = waiting.pop(0)
            found.append(child)
            if self._suspects.get(child, -NEVER) > now:
                waiting.extend(tree.find_children(child))
        return found

    def record_contact(self, sender: Peer) -> None:
        """Record that a peer is alive."""
        self._suspects.pop(sender.instance, None)

    def on_unreachable(self, peer: Peer, now: float) -> None:
        """Pass over a child whose connection failed."""
        if peer.instance in self._ctx.board.membership.view:
            self._suspects[peer.instance] = now + SUSPECT_S
        for root, held, child in [k for k in self._pending if k[2] == peer.instance]:
            entry = self._pending.pop((root, held, child), None)
            if entry is not None:
                self._skip(root, held, child, entry[1], now)

    def on_acknowledge(self, sender: Peer, message: Acknowledge, now: float) -> None:
        """Record that a child has the announcement."""
        self._pending.pop((message.root, message.held, sender.instance), None)

    def on_announce(self, sender: Peer, message: Announce, now: float) -> None:
        """Take an announcement and pass it on."""
        problem = check_key_version(message.held, self._ctx.keys)
        if not problem and message.root != message.heartbeat.reader:
            problem = "heartbeat is not from the root"
        if not problem and len(message.delta) > MAX_DELTA_BYTES:
            problem = f"delta of {len(message.delta)} bytes, limit {MAX_DELTA_BYTES}"
        problem = problem or self._corroboration.check_heartbeat(message.heartbeat)
        if problem:
            self._ctx.drop(sender, problem)
            return
        self._ctx.send(sender, Acknowledge(message.root, message.held))
        fresh = self._corroboration.record(message.heartbeat, sender, now)
        identity = (message.root, message.held)
        if identity in self._seen or message.root == self._ctx.instance:
            return
        self._seen[identity] = None
        if len(self._seen) > SEEN_KEPT:
            del self._seen[next(iter(self._seen))]
        try:
            body = self._apply_delta(message)
        except DigestError as exc:
            self._ctx.drop(sender, f"{message.held.key}: {exc}")
            return
        if fresh and message.heartbeat.failure_domain == (
            self._ctx.settings.failure_domain
        ):
            if message.delta and not self._transfer.allow_relay(
                len(message.delta), now
            ):
                message = Announce(message.root, message.held, message.heartbeat)
            self._forward(message, self._ctx.instance, now)
        self._corroboration.record_holder(message.held, sender, now, now)
        if body is not None:
            self._gate.offer(message.held, body, sender.instance, now)

    def _apply_delta(self, message: Announce) -> bytes | None:
        """Return the announced text if its base is held and it is newer."""
        running = self._ctx.board.configuration.held.get(message.held.key)
        if not message.delta or (
            running is not None and message.held.version <= running.version
        ):
            return None
        return self._transfer.apply_announced(message.held, message.base, message.delta)

    def _forward(self, message: Announce, name: str, now: float) -> None:
        for child in self._find_children(message.root, name, now):
            peer = self._ctx.find_peer(child)
            if peer is None or child == self._ctx.instance:
                continue
            self._ctx.send(peer, message)
            if self._suspects.get(child, -NEVER) <= now:
                self._await(message, child, now)

    def _await(self, message: Announce, child: str, now: float) -> None:
        if len(self._pending) >= MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        identity = (message.root, message.held, child)
        self._pending[identity] = (now + ACKNOWLEDGE_TIMEOUT_S, message)

    def _skip(
        self, root: str, held: KeyVersion, child: str, message: Announce, now: float
    ) -> None:
        self._suspects[child] = now + SUSPECT_S
        self._ctx.emit(
            EventCode.CHILD_SKIPPED,
            peer=child,
            root=root,
            key=held.key,
            version=held.version,
        )
        self._forward(message, child, now)

    def on_heartbeat(self, sender: Peer, message: HeartbeatRelay, now: float) -> None:
        """Take a heartbeat and pass it on if it is new."""
        heartbeat = message.heartbeat
        if not self._corroboration.record(heartbeat, sender, now):
            return
        if heartbeat.failure_domain == self._ctx.settings.failure_domain:
            self._send_heartbeat(message, now)

    def _send_heartbeat(self, message: HeartbeatRelay, now: float) -> None:
        root = message.heartbeat.reader
        for child in self._find_children(root, self._ctx.instance, now):
            peer = self._ctx.find_peer(child)
            if peer is not None and child != self._ctx.instance:
                self._ctx.send(peer, message)

    # Announcements of this node's own

    def _announce(self, now: float) -> None:
        """Announce versions that this reader has newly accepted."""
        board = self._ctx.board
        if not board.membership.is_reader:
            self._delayed.clear()
            return
        for key, text in board.configuration.held.items():
            if self._announced.get(key) == text.digest:
                continue
            eager = self._readers.is_eager(now)
            first = eager and text.learned_from == SOURCE_NAME
            shared = not first and self._readers.is_claimed(text, now)
            waits = not shared or self._readers.is_behind(key)
            if not eager and waits:
                self._delayed.setdefault(key, now + LAZY_DELAY_S)
                if now < self._delayed[key]:
                    continue
            self._delayed.pop(key, None)
            self._announced[key] = text.digest
            if shared:
                # The other tree carries the version already. A heartbeat adds
                # the second claim for a quarter of an announcement's bytes.
                heartbeat = self._readers.make_heartbeat(now)
                self._send_heartbeat(HeartbeatRelay(heartbeat), now)
            else:
                self._push(text, eager, now)

    def _push(self, text: Text, eager: bool, now: float) -> None:
        held = text.to_key_version()
        heartbeat = self._readers.make_heartbeat(now)
        history = self._ctx.board.configuration.history[text.key]
        base, delta = "", b""
        # In a burst each reader takes versions that the other misses. A fetch
        # costs more than a small delta on both trees.
        own = text.learned_from == SOURCE_NAME
        if len(history) > 1 and (eager or own):
            delta = self._transfer.find_delta(history[1], text)
            if not eager and len(delta) > SMALL_DELTA_BYTES:
                delta = b""
            base = history[1].digest if delta else ""
        root = self._ctx.instance
        self._forward(Announce(root, held, heartbeat, base, delta), root, now)
        if self._ctx.board.configuration.source is SourceState.UP:
            self._push_to_domains(now)

    def _push_to_domains(self, now: float) -> None:
        """Tell domains whose readers cannot reach the source."""
        domains: dict[str, Claim] = {}
        for claim in self._ctx.board.configuration.claims.values():
            heartbeat = claim.heartbeat
            if (
                heartbeat.source != "up"
                and heartbeat.failure_domain != self._ctx.settings.failure_domain
                and now - claim.heard_at < HOLDER_TTL_S
            ):
                domains.setdefault(heartbeat.failure_domain, claim)
        names = sorted(domains)
        self._ctx.rng.shuffle(names)
        for name in names[:PUSHED_DOMAINS]:
            peer = self._ctx.find_peer(domains[name].heartbeat.reader)
            if peer is not None:
                self.query(peer, now)

    # Digest exchange

    def query(self, peer: Peer, now: float, heartbeats: bool = True) -> None:
        """Ask a peer what it holds, and tell it the same.

        Parameters
        ----------
        peer : Peer
        now : float
        heartbeats : bool
            Whether the peer needs heartbeats. Nodes of the own failure domain
            get them down the trees and with the replies to their own queries.
        """
        heartbeats = self._heartbeats(now) if heartbeats else []
        self._ctx.send(peer, DigestQuery(self.held(), heartbeats, self._ages(now)))

    def _heartbeats(self, now: float) -> list[Heartbeat]:
        found = self._corroboration.find_heartbeats(EXCHANGED_HEARTBEATS, now)
        own = self._readers.last_heartbeat(now)
        return [own, *found] if own is not None else found

    def on_query(self, sender: Peer, message: DigestQuery, now: float) -> None:
        """Answer with what this node holds."""
        if self._record_digest(sender, message, now):
            running = self._ctx.board.configuration.state in (
                NodeState.RUNNING,
                NodeState.STOPPING,
            )
            heartbeats = self._heartbeats(now)
            self._ctx.send(
                sender,
                DigestReply(self.held(), heartbeats, running, self._ages(now)),
            )

    def on_reply(self, sender: Peer, message: DigestReply, now: float) -> bool:
        """Take a peer's digest; return whether its content is valid."""
        return self._record_digest(sender, message, now)

    def _record_digest(
        self, sender: Peer, message: DigestQuery | DigestReply, now: float
    ) -> bool:
        problem = ""
        if len(message.held) > len(self._ctx.keys):
            problem = "too many keys in a digest"
        elif len(message.heartbeats) > MAX_HEARTBEATS:
            problem = "too many heartbeats in a digest"
        elif len(message.ages_ms) != len(message.held):
            problem = "ages do not match the keys of a digest"
        elif min(message.ages_ms, default=0) < 0:
            problem = "negative age"
        for held in message.held:
            problem = problem or check_key_version(held, self._ctx.keys)
        if problem:
            self._ctx.drop(sender, problem)
            return False
        for heartbeat in message.heartbeats:
            self._corroboration.record(heartbeat, sender, now)
        for held, age_ms in zip(message.held, message.ages_ms, strict=True):
            first_at = now - age_ms / 1000
            self._corroboration.record_holder(held, sender, first_at, now)
        return True

    def _exchange(self, now: float) -> None:
        settings = self._ctx.settings
        board = self._ctx.board.membership
        if now >= self._exchange_at:
            self._exchange_at = now + self._jitter(EXCHANGE_INTERVAL_S)
            self._query_partner(settings.failure_domain, now)
        if now >= self._cross_at:
            down = self._ctx.board.configuration.source is not SourceState.UP
            interval = EXCHANGE_SOURCE_DOWN_S if down else EXCHANGE_INTERVAL_S
            self._cross_at = now + self._jitter(interval)
            if board.is_reader:
                self._query_domain(now)

    def _jitter(self, interval: float) -> float:
        return interval * self._ctx.rng.uniform(1 - EXCHANGE_JITTER, 1.0)

    def _query_partner(self, domain: str, now: float) -> None:
        """Query the instance that is a random power of two of ranks away.

        Over log2(n) partners news spreads as fast as over random ones, and the
        connections to them stay open: a handshake costs more than a digest.
        """
        ranking = self._rankings.find_ranking(domain, self._ctx.board.membership)
        if len(ranking) < 2 or self._ctx.instance not in ranking:
            return
        exponents = (len(ranking) - 1).bit_length()
        offset = 1 << self._ctx.rng.randrange(exponents)
        index = ranking.index(self._ctx.instance)
        peer = self._ctx.find_peer(ranking[(index + offset) % len(ranking)])
        if peer is not None:
            self.query(peer, now, heartbeats=False)

    def _query_random(self, names: tuple[str, ...], now: float) -> None:
        if not names:
            return
        name = names[self._ctx.rng.randrange(len(names))]
        if name == self._ctx.instance and len(names) > 1:
            name = names[(names.index(name) + 1) % len(names)]
        peer = self._ctx.find_peer(name)
        if peer is not None and name != self._ctx.instance:
            self.query(peer, now)

    def _query_domain(self, now: float) -> None:
        """Query one reader of another failure domain."""
        board = self._ctx.board
        own = self._ctx.settings.failure_domain
        domains = sorted(d for d in board.membership.domains if d != own)
        if not domains:
            return
        domain = self._ctx.rng.choice(domains)
        names = [
            name
            for name, claim in board.configuration.claims.items()
            if claim.heartbeat.failure_domain == domain
            and now - claim.heard_at < HOLDER_TTL_S
            and name in board.membership.view
        ]
        if not names or self._ctx.rng.random() < 0.5:
            # Known readers may have failed, so the ranking is used as well.
            ranked = self._rankings.find_ranking(domain, board.membership)
            names = list(ranked[: READERS_PER_DOMAIN + 1])
        self._query_random(tuple(names), now)

    def run(self, now: float) -> None:
        """Announce, skip silent children, and exchange digests."""
        for identity in [k for k, v in self._pending.items() if v[0] <= now]:
            # Skipping one child can push others out of the bounded table.
            entry = self._pending.pop(identity, None)
            if entry is not None:
                self._skip(*identity, entry[1], now)
        for name in [n for n, until in self._suspects.items() if until <= now]:
            del self._suspects[name]
        if self._ctx.board.configuration.state is NodeState.STOPPING:
            return
        self._announce(now)
        if self._readers.is_heartbeat_due(now):
            heartbeat = self._readers.make_heartbeat(now)
            self._send_heartbeat(HeartbeatRelay(heartbeat), now)
        self._exchange(now)

    def next_deadline(self) -> float:
        """Return when an acknowledgement, announcement or exchange is due."""
        return min(
            self._exchange_at,
            self._cross_at,
            min(self._delayed.values(), default=NEVER),
            min((until for until, _ in self._pending.values()), default=NEVER),
        )
