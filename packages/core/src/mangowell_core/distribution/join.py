"""Node state: joining, running, paused and stopping.

Only a running node accepts calls.
"""

from mangowell_core.blackboard import NodeState
from mangowell_core.distribution.context import NEVER, Context, to_peer
from mangowell_core.distribution.corroboration import Corroboration
from mangowell_core.distribution.io import Peer
from mangowell_core.distribution.ranking import rank_instances
from mangowell_core.distribution.readers import READERS_PER_DOMAIN, ReaderController
from mangowell_core.distribution.spread import Dissemination
from mangowell_core.events import EventCode
from mangowell_core.messages import DigestReply

JOIN_TIMEOUT_S = 5.0
# Share of the source's read rate that the reads of a joining fleet use.
JOIN_READ_RATE_SHARE = 0.25
READS_PER_JOIN = 2
# Running seeds normally reply within this time, so no read of the source is needed.
FIRST_READ_DELAY_S = 0.25
MIN_QUERY_INTERVAL_S = 0.25
MAX_QUERY_INTERVAL_S = 2.0
QUERIED_LOCAL_PEERS = 3
# A watch and its renewal together take no longer than this, so the confirmation of a
# reader that reaches the source is younger.
MAX_CONFIRMATION_AGE_S = 15.0
ISOLATION_TIMEOUT_S = 2.0
# After this time a paused node accepts calls again, even if it cannot fetch a version
# that a peer reported.
MAX_PAUSED_S = 5.0


class Join:
    """Controller that decides the state of the node."""

    __slots__ = (
        "_corroboration",
        "_ctx",
        "_dissemination",
        "_has_fresh_reader",
        "_has_reported_alone",
        "_query_at",
        "_query_interval",
        "_read_at",
        "_reader_reply",
        "_readers",
        "_reply_count",
        "_seeds",
        "_state_entered_at",
    )

    def __init__(
        self,
        ctx: Context,
        corroboration: Corroboration,
        readers: ReaderController,
        dissemination: Dissemination,
    ):
        self._ctx = ctx
        self._corroboration = corroboration
        self._readers = readers
        self._dissemination = dissemination
        self._seeds = tuple(parse_seed(seed) for seed in ctx.settings.seeds)
        self._state_entered_at = 0.0
        self._query_at = NEVER
        self._query_interval = MIN_QUERY_INTERVAL_S
        self._read_at = NEVER
        self._reply_count = 0
        self._has_fresh_reader = False
        self._has_reported_alone = False

    def start(self, now: float) -> None:
        """Enter the joining state and schedule the first queries and reads."""
        source = self._ctx.settings.source
        read_window_s = (
            source.expected_nodes
            * READS_PER_JOIN
            / (source.reads_per_second * JOIN_READ_RATE_SHARE)
        )
        self._state_entered_at = now
        self._query_at = now
        self._read_at = (
            now + FIRST_READ_DELAY_S + self._ctx.rng.uniform(0, read_window_s)
        )
        self._ctx.board.configuration.state = NodeState.JOINING
        self._ctx.emit(
            EventCode.JOIN_STARTED,
            seeds=len(self._seeds),
            read_after_ms=round((self._read_at - now) * 1000),
        )
        self._dissemination.start(now)

    def on_resumed(self, paused_s: float, now: float) -> None:
        """Enter the paused state until the running version is confirmed.

        Nodes that are joining or stopping keep their state.
        """
        board = self._ctx.board.configuration
        self._readers.reset_silence_timers(now)
        if board.state is not NodeState.RUNNING and board.state is not NodeState.PAUSED:
            return
        board.state = NodeState.PAUSED
        self._state_entered_at = now
        self._reply_count = 0
        self._query_at = now
        self._query_interval = MIN_QUERY_INTERVAL_S
        self._ctx.emit(EventCode.PAUSE_DETECTED, paused_ms=round(paused_s * 1000))
        if self._ctx.board.membership.is_reader:
            self._readers.read_again(now)

    def on_stopping(self, now: float) -> None:
        """Enter the stopping state for a planned stop."""
        board = self._ctx.board.configuration
        if board.state is not NodeState.STOPPING:
            board.state = NodeState.STOPPING
            self._ctx.emit(EventCode.STOP_STARTED)

    def on_reply(self, sender: Peer, message: DigestReply, now: float) -> None:
        """Record the reply of a running peer; others are ignored."""
        if not message.running:
            return
        self._reply_count += 1
        for claim in self._ctx.board.configuration.reader_claims.values():
            heartbeat = claim.heartbeat
            if (
                heartbeat.reader == sender.instance
                and heartbeat.source == "up"
                and heartbeat.confirmed_age_ms < MAX_CONFIRMATION_AGE_S * 1000
            ):
                self._has_fresh_reader = True

    def run(self, now: float) -> None:
        """Query peers, read the source when due, and complete a join or a pause."""
        run_state = {
            NodeState.JOINING: self._run_join,
            NodeState.PAUSED: self._run_pause,
        }.get(self._ctx.board.configuration.state)
        if run_state is not None:
            run_state(now)

    def _run_join(self, now: float) -> None:
        board = self._ctx.board.configuration
        if now >= self._read_at:
            self._read_at = self._read_missing_keys(now)
        has_all_keys = all(key in board.running_texts for key in self._ctx.keys)
        if has_all_keys and not self._has_target(now):
            has_read = self._readers.has_read_since(self._state_entered_at)
            is_expired = now >= self._state_entered_at + JOIN_TIMEOUT_S
            if has_read or self._has_fresh_reader or (is_expired and self._reply_count):
                self._complete_join(now, "source" if has_read else "peers")
                return
        if (
            now >= self._state_entered_at + JOIN_TIMEOUT_S
            and not self._has_reported_alone
        ):
            self._has_reported_alone = True
            if not self._reply_count:
                self._ctx.emit(EventCode.JOIN_ALONE, reason="no running node replied")
        if now >= self._query_at:
            self._query_peers(now)

    def _read_missing_keys(self, now: float) -> float:
        """Read the source if a key or a confirmation is missing.

        Returns the time of the next attempt in monotonic seconds.
        """
        running_texts = self._ctx.board.configuration.running_texts
        has_all_keys = all(key in running_texts for key in self._ctx.keys)
        is_confirmed = (
            self._has_fresh_reader or now < self._state_entered_at + JOIN_TIMEOUT_S
        )
        if has_all_keys and is_confirmed:
            return now + 1.0
        self._readers.read_once(now)
        source = self._ctx.settings.source
        read_window_s = source.expected_nodes * READS_PER_JOIN
        read_window_s /= source.reads_per_second * JOIN_READ_RATE_SHARE
        return now + self._ctx.rng.uniform(0.5, 1.0) * max(1.0, read_window_s)

    def _has_target(self, now: float) -> bool:
        """Return whether a version of any key is known that is worth fetching."""
        return any(
            self._corroboration.select_target(key, now, exact=True)
            for key in self._ctx.keys
        )

    def _complete_join(self, now: float, source: str) -> None:
        board = self._ctx.board.configuration
        board.state = NodeState.RUNNING
        document = board.running_texts[self._ctx.document_key]
        self._ctx.emit(
            EventCode.JOIN_COMPLETED,
            version=document.version,
            digest=document.digest,
            replies=self._reply_count,
            source=source,
            delay_ms=round((now - self._state_entered_at) * 1000),
        )

    def _run_pause(self, now: float) -> None:
        is_confirmed = self._reply_count > 0 or self._readers.has_read_since(
            self._state_entered_at
        )
        reason = ""
        if is_confirmed and not self._has_target(now):
            reason = "confirmed"
        elif not is_confirmed and now >= self._state_entered_at + ISOLATION_TIMEOUT_S:
            reason = "nobody reachable"
        elif now >= self._state_entered_at + MAX_PAUSED_S:
            reason = "newer version not available"
        if reason:
            self._ctx.board.configuration.state = NodeState.RUNNING
            self._ctx.emit(
                EventCode.PAUSE_CLEARED,
                reason=reason,
                delay_ms=round((now - self._state_entered_at) * 1000),
            )
        elif now >= self._query_at:
            self._query_peers(now)

    def _query_peers(self, now: float) -> None:
        for peer in self._select_peers():
            self._dissemination.send_digest_query(peer, now)
        self._query_at = now + self._query_interval * self._ctx.rng.uniform(0.5, 1.0)
        self._query_interval = min(self._query_interval * 2, MAX_QUERY_INTERVAL_S)

    def _select_peers(self) -> list[Peer]:
        """Return the peers to query.

        These are a sample of the local domain, its readers, and one instance of
        another domain; also the seeds, while no peer has replied or none is known.
        """
        board = self._ctx.board.membership
        peers_by_address: dict[tuple[str, int], Peer] = {}
        if not board.view or not self._reply_count:
            for peer in self._seeds:
                peers_by_address[peer.host, peer.control_port] = peer
        local_domain = self._ctx.settings.failure_domain
        names = [
            n
            for n in board.instances_by_domain.get(local_domain, ())
            if n != self._ctx.instance
        ]
        selected = self._ctx.rng.sample(names, min(QUERIED_LOCAL_PEERS, len(names)))
        selected.extend(rank_instances(local_domain, tuple(names))[:READERS_PER_DOMAIN])
        others = [
            name for name, i in board.view.items() if i.failure_domain != local_domain
        ]
        if others:
            selected.append(self._ctx.rng.choice(others))
        for name in selected:
            instance = board.view.get(name)
            if instance is not None:
                peers_by_address[instance.host, instance.control_port] = to_peer(
                    instance
                )
        settings = self._ctx.settings
        peers_by_address.pop((settings.host, settings.control_port), None)
        return list(peers_by_address.values())

    def next_deadline(self) -> float:
        """Return when a query, a read or a time-out is due, in monotonic seconds."""
        state = self._ctx.board.configuration.state
        if state is NodeState.JOINING:
            deadline = self._state_entered_at + JOIN_TIMEOUT_S
            report_at = NEVER if self._has_reported_alone else deadline
            return min(self._query_at, self._read_at, report_at)
        if state is NodeState.PAUSED:
            return min(self._query_at, self._state_entered_at + ISOLATION_TIMEOUT_S)
        return NEVER


def parse_seed(seed: str) -> Peer:
    """Return the address of a seed given as ``host:control_port``.

    Raises
    ------
    ValueError
        If the host or a numeric port is missing.
    """
    host, _, port = seed.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"seed must be host:control_port, got {seed!r}")
    return Peer("", host.strip("[]"), int(port))
