"""Join, pause and stop: when the node accepts calls."""

from mangowell_core.blackboard import NodeState
from mangowell_core.distribution.context import NEVER, Context, to_peer
from mangowell_core.distribution.corroboration import Corroboration
from mangowell_core.distribution.io import Peer
from mangowell_core.distribution.ranking import rank_instances
from mangowell_core.distribution.readers import READERS_PER_DOMAIN, Readers
from mangowell_core.distribution.spread import Spread
from mangowell_core.events import EventCode
from mangowell_core.messages import DigestReply

JOIN_DEADLINE_S = 5.0
JOIN_READ_SHARE = 0.25
KEYS_PER_JOIN = 2
# Seeds that already run answer within this time, which saves the read.
ASK_FIRST_S = 0.25
ASK_MIN_S = 0.25
ASK_MAX_S = 2.0
ASKED_IN_DOMAIN = 3
# A confirmation by the source is fresh if it is younger than a watch and its
# renewal take together.
FRESH_CONFIRMATION_S = 15.0
PAUSE_DEADLINE_S = 2.0
# A node that cannot fetch what a peer reported after a pause accepts calls again.
PAUSE_LIMIT_S = 5.0


class Join:
    """Controller that owns the state of the node."""

    __slots__ = (
        "_ask_at",
        "_ask_interval",
        "_corroboration",
        "_ctx",
        "_fresh_reader",
        "_read_at",
        "_reader_reply",
        "_readers",
        "_replies",
        "_reported_alone",
        "_seeds",
        "_since",
        "_spread",
    )

    def __init__(
        self,
        ctx: Context,
        corroboration: Corroboration,
        readers: Readers,
        spread: Spread,
    ):
        self._ctx = ctx
        self._corroboration = corroboration
        self._readers = readers
        self._spread = spread
        self._seeds = tuple(parse_seed(seed) for seed in ctx.settings.seeds)
        self._since = 0.0
        self._ask_at = NEVER
        self._ask_interval = ASK_MIN_S
        self._read_at = NEVER
        self._replies = 0
        self._fresh_reader = False
        self._reported_alone = False

    def start(self, now: float) -> None:
        """Begin to join."""
        source = self._ctx.settings.source
        window = (
            source.expected_nodes
            * KEYS_PER_JOIN
            / (source.reads_per_second * JOIN_READ_SHARE)
        )
        self._since = now
        self._ask_at = now
        self._read_at = now + ASK_FIRST_S + self._ctx.rng.uniform(0, window)
        self._ctx.board.configuration.state = NodeState.JOINING
        self._ctx.emit(
            EventCode.JOIN_STARTED,
            seeds=len(self._seeds),
            read_after_ms=round((self._read_at - now) * 1000),
        )
        self._spread.start(now)

    def on_resumed(self, paused_s: float, now: float) -> None:
        """Stop accepting calls until the version is confirmed."""
        board = self._ctx.board.configuration
        self._readers.reset_clock(now)
        if board.state is not NodeState.RUNNING and board.state is not NodeState.PAUSED:
            return
        board.state = NodeState.PAUSED
        self._since = now
        self._replies = 0
        self._ask_at = now
        self._ask_interval = ASK_MIN_S
        self._ctx.emit(EventCode.PAUSE_DETECTED, paused_ms=round(paused_s * 1000))
        if self._ctx.board.membership.is_reader:
            self._readers.verify(now)

    def on_stopping(self, now: float) -> None:
        """Begin a planned stop."""
        board = self._ctx.board.configuration
        if board.state is not NodeState.STOPPING:
            board.state = NodeState.STOPPING
            self._ctx.emit(EventCode.STOP_STARTED)

    def on_reply(self, sender: Peer, message: DigestReply, now: float) -> None:
        """Count the answer of a peer that has joined."""
        if not message.running:
            return
        self._replies += 1
        for claim in self._ctx.board.configuration.claims.values():
            heartbeat = claim.heartbeat
            if (
                heartbeat.reader == sender.instance
                and heartbeat.source == "up"
                and heartbeat.confirmed_age_ms < FRESH_CONFIRMATION_S * 1000
            ):
                self._fresh_reader = True

    def run(self, now: float) -> None:
        """Ask peers, read the source in the slot, and complete."""
        step = {
            NodeState.JOINING: self._run_join,
            NodeState.PAUSED: self._run_pause,
        }.get(self._ctx.board.configuration.state)
        if step is not None:
            step(now)

    def _run_join(self, now: float) -> None:
        board = self._ctx.board.configuration
        if now >= self._read_at:
            self._read_at = self._read_again(now)
        complete = all(key in board.held for key in self._ctx.keys)
        if complete and not self._has_target(now):
            read = self._readers.has_read_since(self._since)
            expired = now >= self._since + JOIN_DEADLINE_S
            if read or self._fresh_reader or (expired and self._replies):
                self._complete(now, "source" if read else "peers")
                return
        if now >= self._since + JOIN_DEADLINE_S and not self._reported_alone:
            self._reported_alone = True
            if not self._replies:
                self._ctx.emit(EventCode.JOIN_ALONE, reason="no node responded")
        if now >= self._ask_at:
            self._ask(now)

    def _read_again(self, now: float) -> float:
        """Read what is missing; return when to try again."""
        held = self._ctx.board.configuration.held
        complete = all(key in held for key in self._ctx.keys)
        confirmed = self._fresh_reader or now < self._since + JOIN_DEADLINE_S
        if complete and confirmed:
            return now + 1.0
        self._readers.read_once(now)
        source = self._ctx.settings.source
        window = source.expected_nodes * KEYS_PER_JOIN
        window /= source.reads_per_second * JOIN_READ_SHARE
        return now + self._ctx.rng.uniform(0.5, 1.0) * max(1.0, window)

    def _has_target(self, now: float) -> bool:
        return any(
            self._corroboration.find_target(key, now, exact=True)
            for key in self._ctx.keys
        )

    def _complete(self, now: float, source: str) -> None:
        board = self._ctx.board.configuration
        board.state = NodeState.RUNNING
        document = board.held[self._ctx.document_key]
        self._ctx.emit(
            EventCode.JOIN_COMPLETED,
            version=document.version,
            digest=document.digest,
            replies=self._replies,
            source=source,
            delay_ms=round((now - self._since) * 1000),
        )

    def _run_pause(self, now: float) -> None:
        confirmed = self._replies > 0 or self._readers.has_read_since(self._since)
        reason = ""
        if confirmed and not self._has_target(now):
            reason = "confirmed"
        elif not confirmed and now >= self._since + PAUSE_DEADLINE_S:
            reason = "nobody reachable"
        elif now >= self._since + PAUSE_LIMIT_S:
            reason = "newer version not available"
        if reason:
            self._ctx.board.configuration.state = NodeState.RUNNING
            self._ctx.emit(
                EventCode.PAUSE_CLEARED,
                reason=reason,
                delay_ms=round((now - self._since) * 1000),
            )
        elif now >= self._ask_at:
            self._ask(now)

    def _ask(self, now: float) -> None:
        for peer in self._choose_peers():
            self._spread.query(peer, now)
        self._ask_at = now + self._ask_interval * self._ctx.rng.uniform(0.5, 1.0)
        self._ask_interval = min(self._ask_interval * 2, ASK_MAX_S)

    def _choose_peers(self) -> list[Peer]:
        """Return seeds, or peers of the own domain, its readers, and another."""
        board = self._ctx.board.membership
        chosen: dict[tuple[str, int], Peer] = {}
        if not board.view or not self._replies:
            for peer in self._seeds:
                chosen[peer.host, peer.control_port] = peer
        own = self._ctx.settings.failure_domain
        names = [n for n in board.domains.get(own, ()) if n != self._ctx.instance]
        picked = self._ctx.rng.sample(names, min(ASKED_IN_DOMAIN, len(names)))
        picked.extend(rank_instances(own, tuple(names))[:READERS_PER_DOMAIN])
        others = [name for name, i in board.view.items() if i.failure_domain != own]
        if others:
            picked.append(self._ctx.rng.choice(others))
        for name in picked:
            instance = board.view.get(name)
            if instance is not None:
                chosen[instance.host, instance.control_port] = to_peer(instance)
        settings = self._ctx.settings
        chosen.pop((settings.host, settings.control_port), None)
        return list(chosen.values())

    def next_deadline(self) -> float:
        """Return when to ask, read, or give up waiting."""
        state = self._ctx.board.configuration.state
        if state is NodeState.JOINING:
            deadline = self._since + JOIN_DEADLINE_S
            waiting = NEVER if self._reported_alone else deadline
            return min(self._ask_at, self._read_at, waiting)
        if state is NodeState.PAUSED:
            return min(self._ask_at, self._since + PAUSE_DEADLINE_S)
        return NEVER


def parse_seed(seed: str) -> Peer:
    """Return the address of a seed given as ``host:control_port``."""
    host, _, port = seed.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"seed must be host:control_port, got {seed!r}")
    return Peer("", host.strip("[]"), int(port))
