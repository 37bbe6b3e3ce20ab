"""Dissemination of versions and heartbeats over trees, and digest exchange."""

from mangowell_core.blackboard import NodeState, ReaderClaim, SourceState, VersionedText
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
from mangowell_core.distribution.readers import READERS_PER_DOMAIN, ReaderController
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
# While a child is suspected, its children receive every message directly. The next
# announcement, and heartbeats, which are not acknowledged, then reach its subtree.
SUSPICION_S = 5.0
DIGEST_EXCHANGE_INTERVAL_S = 2.0
EXCHANGE_INTERVAL_SOURCE_DOWN_S = 1.0
# Share of the interval that is randomized, so that the exchanges of a fleet whose
# nodes start together do not coincide.
EXCHANGE_JITTER = 0.1
HEARTBEATS_PER_DIGEST = 2
MAX_LAZY_DELTA_BYTES = 1024
MAX_RECEIVED_HEARTBEATS = 8
MAX_DELTA_BYTES = 65_536
MAX_SEEN_ANNOUNCEMENTS = 64
MAX_UNACKNOWLEDGED = 256
MAX_QUERIED_DOMAINS = 2
# The second reader waits this long for its own answer from the source, so that its
# announcement carries independent evidence.
LAZY_ANNOUNCEMENT_DELAY_S = 0.2


class Dissemination:
    """Controller that relays versions and heartbeats to other nodes.

    Announcements and heartbeats go down one tree per reader within the failure
    domain. Digest exchanges repair what the trees lose, and cross domains.
    """

    __slots__ = (
        "_announce_at",
        "_announced_digests",
        "_corroboration",
        "_cross_domain_at",
        "_ctx",
        "_gate",
        "_local_exchange_at",
        "_rankings",
        "_readers",
        "_seen_announcements",
        "_suspected_until",
        "_transfer",
        "_unacknowledged",
    )

    def __init__(
        self,
        ctx: Context,
        corroboration: Corroboration,
        gate: Gate,
        readers: ReaderController,
        transfer: TransferController,
    ):
        self._ctx = ctx
        self._corroboration = corroboration
        self._gate = gate
        self._readers = readers
        self._transfer = transfer
        self._rankings = RankingCache(ctx.settings.distribution.fanout)
        self._seen_announcements: dict[tuple[str, KeyVersion], None] = {}
        self._unacknowledged: dict[
            tuple[str, KeyVersion, str], tuple[float, Announce]
        ] = {}
        self._suspected_until: dict[str, float] = {}
        self._announced_digests: dict[str, str] = {}
        self._announce_at: dict[str, float] = {}
        self._local_exchange_at = NEVER
        self._cross_domain_at = NEVER

    def start(self, now: float) -> None:
        """Schedule the first digest exchanges at random times."""
        self._local_exchange_at = now + self._ctx.rng.uniform(
            0, DIGEST_EXCHANGE_INTERVAL_S
        )
        self._cross_domain_at = now + self._ctx.rng.uniform(
            0, DIGEST_EXCHANGE_INTERVAL_S
        )

    def get_held_versions(self) -> list[KeyVersion]:
        """Return the accepted version of each key."""
        held_texts = self._ctx.board.configuration.running_texts.values()
        return [text.to_key_version() for text in held_texts]

    def _compute_ages_ms(self, now: float) -> list[int]:
        """Return the age of each held version in milliseconds, in the same order."""
        held_texts = self._ctx.board.configuration.running_texts.values()
        return [max(0, round((now - text.read_at) * 1000)) for text in held_texts]

    # Dissemination trees

    def _select_recipients(self, root: str, parent: str, now: float) -> list[str]:
        """Return the children of `parent` and the children of suspected children."""
        board = self._ctx.board.membership
        tree = self._rankings.find_tree(root, self._ctx.settings.failure_domain, board)
        recipients = []
        queue = list(tree.get_children(parent))
        while queue:
            child = queue.pop(0)
            recipients.append(child)
            if self._suspected_until.get(child, -NEVER) > now:
                queue.extend(tree.get_children(child))
        return recipients

    def record_contact(self, sender: Peer) -> None:
        """Clear the suspicion of a peer that has sent a message."""
        self._suspected_until.pop(sender.instance, None)

    def on_unreachable(self, peer: Peer, now: float) -> None:
        """Suspect a peer whose connection failed and send to its children instead."""
        if peer.instance in self._ctx.board.membership.view:
            self._suspected_until[peer.instance] = now + SUSPICION_S
        for root, held, child in [
            k for k in self._unacknowledged if k[2] == peer.instance
        ]:
            entry = self._unacknowledged.pop((root, held, child), None)
            if entry is not None:
                self._skip_child(root, held, child, entry[1], now)

    def on_acknowledge(self, sender: Peer, message: Acknowledge, now: float) -> None:
        """Stop waiting for the acknowledgement of a child."""
        self._unacknowledged.pop((message.root, message.held, sender.instance), None)

    def on_announce(self, sender: Peer, message: Announce, now: float) -> None:
        """Check an announcement, relay it down the tree, and offer its text."""
        reason = check_key_version(message.held, self._ctx.keys)
        if not reason and message.root != message.heartbeat.reader:
            reason = "heartbeat of an announcement is not from its root"
        if not reason and len(message.delta) > MAX_DELTA_BYTES:
            reason = f"delta has {len(message.delta)} bytes, limit is {MAX_DELTA_BYTES}"
        reason = reason or self._corroboration.check_heartbeat(message.heartbeat)
        if reason:
            self._ctx.record_dropped_message(sender, reason)
            return
        self._ctx.send(sender, Acknowledge(message.root, message.held))
        is_new = self._corroboration.record_heartbeat(message.heartbeat, sender, now)
        announcement = (message.root, message.held)
        if (
            announcement in self._seen_announcements
            or message.root == self._ctx.instance
        ):
            return
        self._seen_announcements[announcement] = None
        if len(self._seen_announcements) > MAX_SEEN_ANNOUNCEMENTS:
            del self._seen_announcements[next(iter(self._seen_announcements))]
        try:
            body = self._apply_delta(message)
        except DigestError as exc:
            self._ctx.record_dropped_message(sender, f"{message.held.key}: {exc}")
            return
        if is_new and message.heartbeat.failure_domain == (
            self._ctx.settings.failure_domain
        ):
            if message.delta and not self._transfer.try_reserve_relay(
                len(message.delta), now
            ):
                message = Announce(message.root, message.held, message.heartbeat)
            self._forward(message, self._ctx.instance, now)
        self._corroboration.record_holder(message.held, sender, now, now)
        if body is not None:
            self._gate.handle_text(message.held, body, sender.instance, now)

    def _apply_delta(self, message: Announce) -> bytes | None:
        """Return the announced text, or None if it cannot or need not be built.

        The result is None without a delta, without the text that the delta applies
        to, or if the version is not newer than the running one.
        """
        running = self._ctx.board.configuration.running_texts.get(message.held.key)
        if not message.delta or (
            running is not None and message.held.version <= running.version
        ):
            return None
        return self._transfer.apply_announced_delta(
            message.held, message.base, message.delta
        )

    def _forward(self, message: Announce, parent: str, now: float) -> None:
        """Send an announcement to the children of `parent` in its tree."""
        for child in self._select_recipients(message.root, parent, now):
            peer = self._ctx.look_up_peer(child)
            if peer is None or child == self._ctx.instance:
                continue
            self._ctx.send(peer, message)
            if self._suspected_until.get(child, -NEVER) <= now:
                self._expect_acknowledgement(message, child, now)

    def _expect_acknowledgement(
        self, message: Announce, child: str, now: float
    ) -> None:
        if len(self._unacknowledged) >= MAX_UNACKNOWLEDGED:
            del self._unacknowledged[next(iter(self._unacknowledged))]
        identity = (message.root, message.held, child)
        self._unacknowledged[identity] = (now + ACKNOWLEDGE_TIMEOUT_S, message)

    def _skip_child(
        self,
        root: str,
        key_version: KeyVersion,
        child: str,
        message: Announce,
        now: float,
    ) -> None:
        """Suspect a child and send its announcement to the children below it."""
        self._suspected_until[child] = now + SUSPICION_S
        self._ctx.emit(
            EventCode.CHILD_SKIPPED,
            peer=child,
            root=root,
            key=key_version.key,
            version=key_version.version,
        )
        self._forward(message, child, now)

    def on_heartbeat(self, sender: Peer, message: HeartbeatRelay, now: float) -> None:
        """Record a heartbeat and relay it within its failure domain if it is new."""
        heartbeat = message.heartbeat
        if not self._corroboration.record_heartbeat(heartbeat, sender, now):
            return
        if heartbeat.failure_domain == self._ctx.settings.failure_domain:
            self._send_heartbeat(message, now)

    def _send_heartbeat(self, message: HeartbeatRelay, now: float) -> None:
        root = message.heartbeat.reader
        for child in self._select_recipients(root, self._ctx.instance, now):
            peer = self._ctx.look_up_peer(child)
            if peer is not None and child != self._ctx.instance:
                self._ctx.send(peer, message)

    # Announcements of the local node

    def _announce_accepted(self, now: float) -> None:
        """Announce the versions accepted since the last call, if this is a reader."""
        board = self._ctx.board
        if not board.membership.is_reader:
            self._announce_at.clear()
            return
        for key, text in board.configuration.running_texts.items():
            if self._announced_digests.get(key) == text.digest:
                continue
            is_eager = self._readers.is_lowest_live_rank(now)
            is_first_hand = is_eager and text.learned_from == SOURCE_NAME
            already_claimed = (
                not is_first_hand
                and self._readers.is_claimed_by_other_reader(text, now)
            )
            should_wait = not already_claimed or self._readers.is_behind(key)
            if not is_eager and should_wait:
                self._announce_at.setdefault(key, now + LAZY_ANNOUNCEMENT_DELAY_S)
                if now < self._announce_at[key]:
                    continue
            self._announce_at.pop(key, None)
            self._announced_digests[key] = text.digest
            if already_claimed:
                # Another reader's tree carries the version already. A heartbeat
                # adds the second claim with a quarter of an announcement's bytes.
                heartbeat = self._readers.make_heartbeat(now)
                self._send_heartbeat(HeartbeatRelay(heartbeat), now)
            else:
                self._announce_text(text, is_eager, now)

    def _announce_text(self, text: VersionedText, is_eager: bool, now: float) -> None:
        """Send an announcement down the local node's tree, if possible with a delta."""
        key_version = text.to_key_version()
        heartbeat = self._readers.make_heartbeat(now)
        history = self._ctx.board.configuration.history[text.key]
        base, delta = "", b""
        # In a burst each reader receives versions that the other misses. Sending a
        # small delta on both trees costs less than a fetch.
        from_source = text.learned_from == SOURCE_NAME
        if len(history) > 1 and (is_eager or from_source):
            delta = self._transfer.get_delta(history[1], text)
            if not is_eager and len(delta) > MAX_LAZY_DELTA_BYTES:
                delta = b""
            base = history[1].digest if delta else ""
        root = self._ctx.instance
        self._forward(Announce(root, key_version, heartbeat, base, delta), root, now)
        if self._ctx.board.configuration.source is SourceState.UP:
            self._query_domains_without_source(now)

    def _query_domains_without_source(self, now: float) -> None:
        """Query readers of domains that cannot reach the source.

        The query contains the versions held here.
        """
        claims_by_domain: dict[str, ReaderClaim] = {}
        for claim in self._ctx.board.configuration.reader_claims.values():
            heartbeat = claim.heartbeat
            if (
                heartbeat.source != "up"
                and heartbeat.failure_domain != self._ctx.settings.failure_domain
                and now - claim.heard_at < HOLDER_TTL_S
            ):
                claims_by_domain.setdefault(heartbeat.failure_domain, claim)
        domains = sorted(claims_by_domain)
        self._ctx.rng.shuffle(domains)
        for domain in domains[:MAX_QUERIED_DOMAINS]:
            peer = self._ctx.look_up_peer(claims_by_domain[domain].heartbeat.reader)
            if peer is not None:
                self.send_digest_query(peer, now)

    # Digest exchange

    def send_digest_query(
        self, peer: Peer, now: float, heartbeats: bool = True
    ) -> None:
        """Send the held versions to a peer and ask for those of the peer.

        Parameters
        ----------
        peer : Peer
            Node to query.
        now : float
            Monotonic time in seconds.
        heartbeats : bool
            Whether to include heartbeats. Nodes of the local failure domain get
            them down the trees and in the replies to their own queries.
        """
        heartbeats = self._select_heartbeats(now) if heartbeats else []
        self._ctx.send(
            peer,
            DigestQuery(
                self.get_held_versions(), heartbeats, self._compute_ages_ms(now)
            ),
        )

    def _select_heartbeats(self, now: float) -> list[Heartbeat]:
        known = self._corroboration.get_recent_heartbeats(HEARTBEATS_PER_DIGEST, now)
        local_heartbeat = self._readers.get_last_heartbeat(now)
        return [local_heartbeat, *known] if local_heartbeat is not None else known

    def on_query(self, sender: Peer, message: DigestQuery, now: float) -> None:
        """Record the digest of a peer and reply with the versions held here."""
        if self._record_digest(sender, message, now):
            is_running = self._ctx.board.configuration.state in (
                NodeState.RUNNING,
                NodeState.STOPPING,
            )
            heartbeats = self._select_heartbeats(now)
            self._ctx.send(
                sender,
                DigestReply(
                    self.get_held_versions(),
                    heartbeats,
                    is_running,
                    self._compute_ages_ms(now),
                ),
            )

    def on_reply(self, sender: Peer, message: DigestReply, now: float) -> bool:
        """Record the digest in a reply; return whether its content is valid."""
        return self._record_digest(sender, message, now)

    def _record_digest(
        self, sender: Peer, message: DigestQuery | DigestReply, now: float
    ) -> bool:
        reason = ""
        if len(message.held) > len(self._ctx.keys):
            reason = "too many keys in a digest"
        elif len(message.heartbeats) > MAX_RECEIVED_HEARTBEATS:
            reason = "too many heartbeats in a digest"
        elif len(message.ages_ms) != len(message.held):
            reason = "ages do not match the keys of a digest"
        elif min(message.ages_ms, default=0) < 0:
            reason = "negative age in a digest"
        for held in message.held:
            reason = reason or check_key_version(held, self._ctx.keys)
        if reason:
            self._ctx.record_dropped_message(sender, reason)
            return False
        for heartbeat in message.heartbeats:
            self._corroboration.record_heartbeat(heartbeat, sender, now)
        for held, age_ms in zip(message.held, message.ages_ms, strict=True):
            first_at = now - age_ms / 1000
            self._corroboration.record_holder(held, sender, first_at, now)
        return True

    def _run_exchanges(self, now: float) -> None:
        settings = self._ctx.settings
        board = self._ctx.board.membership
        if now >= self._local_exchange_at:
            self._local_exchange_at = now + self._compute_jittered(
                DIGEST_EXCHANGE_INTERVAL_S
            )
            self._query_local_domain(settings.failure_domain, now)
        if now >= self._cross_domain_at:
            source_is_down = self._ctx.board.configuration.source is not SourceState.UP
            interval = (
                EXCHANGE_INTERVAL_SOURCE_DOWN_S
                if source_is_down
                else DIGEST_EXCHANGE_INTERVAL_S
            )
            self._cross_domain_at = now + self._compute_jittered(interval)
            if board.is_reader:
                self._query_other_domain(now)

    def _compute_jittered(self, interval: float) -> float:
        return interval * self._ctx.rng.uniform(1 - EXCHANGE_JITTER, 1.0)

    def _query_local_domain(self, domain: str, now: float) -> None:
        """Query the local-domain instance that is a random power of two ranks away.

        Versions spread as fast over these log2(n) partners as over random ones.
        The connections to them stay open; a handshake costs more than a digest.
        """
        ranking = self._rankings.find_ranking(domain, self._ctx.board.membership)
        if len(ranking) < 2 or self._ctx.instance not in ranking:
            return
        exponents = (len(ranking) - 1).bit_length()
        offset = 1 << self._ctx.rng.randrange(exponents)
        index = ranking.index(self._ctx.instance)
        peer = self._ctx.look_up_peer(ranking[(index + offset) % len(ranking)])
        if peer is not None:
            self.send_digest_query(peer, now, heartbeats=False)

    def _query_random_instance(self, names: tuple[str, ...], now: float) -> None:
        if not names:
            return
        name = names[self._ctx.rng.randrange(len(names))]
        if name == self._ctx.instance and len(names) > 1:
            name = names[(names.index(name) + 1) % len(names)]
        peer = self._ctx.look_up_peer(name)
        if peer is not None and name != self._ctx.instance:
            self.send_digest_query(peer, now)

    def _query_other_domain(self, now: float) -> None:
        """Query one instance of a random other failure domain, preferably a reader."""
        board = self._ctx.board
        local_domain = self._ctx.settings.failure_domain
        domains = sorted(
            d for d in board.membership.instances_by_domain if d != local_domain
        )
        if not domains:
            return
        domain = self._ctx.rng.choice(domains)
        candidates = [
            name
            for name, claim in board.configuration.reader_claims.items()
            if claim.heartbeat.failure_domain == domain
            and now - claim.heard_at < HOLDER_TTL_S
            and name in board.membership.view
        ]
        if not candidates or self._ctx.rng.random() < 0.5:
            # Known readers may have failed, so half of the queries use the ranking.
            ranking = self._rankings.find_ranking(domain, board.membership)
            candidates = list(ranking[: READERS_PER_DOMAIN + 1])
        self._query_random_instance(tuple(candidates), now)

    def run(self, now: float) -> None:
        """Skip children without acknowledgement, announce, and exchange digests."""
        for identity in [k for k, v in self._unacknowledged.items() if v[0] <= now]:
            # Skipping a child adds entries for the children below it, which can
            # evict other entries from the bounded table.
            entry = self._unacknowledged.pop(identity, None)
            if entry is not None:
                self._skip_child(*identity, entry[1], now)
        for name in [n for n, until in self._suspected_until.items() if until <= now]:
            del self._suspected_until[name]
        if self._ctx.board.configuration.state is NodeState.STOPPING:
            return
        self._announce_accepted(now)
        if self._readers.is_heartbeat_due(now):
            heartbeat = self._readers.make_heartbeat(now)
            self._send_heartbeat(HeartbeatRelay(heartbeat), now)
        self._run_exchanges(now)

    def next_deadline(self) -> float:
        """Return when an acknowledgement, announcement or exchange is due.

        The time is in monotonic seconds.
        """
        return min(
            self._local_exchange_at,
            self._cross_domain_at,
            min(self._announce_at.values(), default=NEVER),
            min((until for until, _ in self._unacknowledged.values()), default=NEVER),
        )
