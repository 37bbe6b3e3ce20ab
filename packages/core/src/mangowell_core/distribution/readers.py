"""Reader selection, reads of the configuration service, and reader heartbeats."""

from mangowell_core.blackboard import (
    NodeState,
    ReportedVersion,
    SourceState,
    VersionedText,
)
from mangowell_core.digest import MAX_TEXT_BYTES, compute_digest
from mangowell_core.distribution.context import (
    NEVER,
    SOURCE_NAME,
    Context,
)
from mangowell_core.distribution.corroboration import add_age
from mangowell_core.distribution.gate import Gate, VersionComparison, parse_version
from mangowell_core.distribution.io import (
    CancelRead,
    ReadSource,
    SourceFailed,
    SourceUnchanged,
    SourceValue,
)
from mangowell_core.distribution.ranking import rank_instances
from mangowell_core.distribution.reads import KeyRead, ReadState, SourceByteLimiter
from mangowell_core.events import EventCode
from mangowell_core.messages import Heartbeat, KeyVersion

READERS_PER_DOMAIN = 2
HEARTBEAT_INTERVAL_S = 1.0
TAKEOVER_DELAY_S = 3.0
TAKEOVER_STEP_S = 0.5
MAX_TAKEOVER_DELAY_S = 6.0
# A substitute stops reading once two lower ranks were heard within this time.
RECENT_CONTACT_S = 2.0
# During a contradiction the next two ranks read too; more readers add no evidence.
MAX_EXTRA_READERS = 2
LAG_LIMIT_S = 3.0
# Connections to the configuration service can go silent for all readers at once.
# Watches end within 8 s, so a change during such an outage still arrives within
# 14 s. At 64 watches this costs 10 calls/s.
WATCH_MIN_S = 5.0
WATCH_MAX_S = 8.0
# A read without a response is cancelled this long after its deadline.
RESPONSE_GRACE_S = 1.0
BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 10.0
# When another reader claims a newer version, the local watch may be silent, so the
# key is read again.
VERIFY_DELAY_S = 0.2
VERIFY_INTERVAL_S = 2.0
VERIFY_INTERVAL_MAX_S = 32.0

_SOURCE_EVENTS = {
    SourceState.UP: EventCode.SOURCE_UP,
    SourceState.DOWN: EventCode.SOURCE_DOWN,
    SourceState.STALE: EventCode.SOURCE_STALE,
}
# Source states as heartbeats carry them. A reader without a response so far sends
# "down": like a reader whose source is down, it must not cause others to read.
_HEARTBEAT_STATES = {
    SourceState.UNKNOWN: "down",
    SourceState.UP: "up",
    SourceState.DOWN: "down",
    SourceState.STALE: "stale",
}


class ReaderController:
    """Controller that reads the configuration service if this node is a reader.

    Each failure domain ranks its instances. The lowest two ranks read; higher ranks
    substitute for silent or lagging readers and help to resolve a contradiction.
    """

    __slots__ = (
        "_byte_limiter",
        "_ctx",
        "_epoch",
        "_gate",
        "_heartbeat_at",
        "_last_heartbeat",
        "_newer_claim_since",
        "_next_verify_at",
        "_rank",
        "_reads",
        "_role_deadline",
        "_sequence",
        "_silence_start",
        "_verify_interval",
    )

    def __init__(self, ctx: Context, gate: Gate):
        self._ctx = ctx
        self._gate = gate
        self._epoch = -1
        self._rank = -1
        self._sequence = 0
        self._heartbeat_at = NEVER
        self._last_heartbeat: tuple[float, Heartbeat] | None = None
        self._role_deadline = NEVER
        self._next_verify_at = -NEVER
        self._verify_interval = VERIFY_INTERVAL_S
        self._silence_start: dict[str, float] = {}
        self._newer_claim_since = NEVER
        self._byte_limiter = SourceByteLimiter()
        self._reads = {key: KeyRead(key) for key in ctx.keys}

    # Reader selection

    def _update_ranking(self, now: float) -> None:
        board = self._ctx.board.membership
        if self._epoch == board.epoch:
            return
        self._epoch = board.epoch
        domain = self._ctx.settings.failure_domain
        board.ranking = rank_instances(
            domain, board.instances_by_domain.get(domain, ())
        )
        self._rank = board.ranking.index(self._ctx.instance)
        lower = board.ranking[: self._rank]
        self._silence_start = {
            name: self._silence_start.get(name, now) for name in lower
        }

    def reset_silence_timers(self, now: float) -> None:
        """Restart the silence timers of lower ranks after this process was paused."""
        self._silence_start = dict.fromkeys(self._silence_start, now)

    def _compute_role(self, now: float) -> tuple[bool, float]:
        """Return whether this node should read, and when that may change."""
        if self._rank < READERS_PER_DOMAIN:
            return True, NEVER
        delay = TAKEOVER_DELAY_S + (self._rank - READERS_PER_DOMAIN) * TAKEOVER_STEP_S
        last_heard_at = self._compute_second_newest_contact(now)
        was_reader = self._ctx.board.membership.is_reader
        limit = RECENT_CONTACT_S if was_reader else min(delay, MAX_TAKEOVER_DELAY_S)
        silent = now - last_heard_at >= limit
        contradiction_at = NEVER
        if self._rank < READERS_PER_DOMAIN + MAX_EXTRA_READERS:
            since = self._ctx.board.configuration.contradiction_times
            contradiction_at = min(since.values(), default=NEVER) + delay
        deadline = min(
            last_heard_at + limit if not silent else NEVER,
            contradiction_at if contradiction_at > now else NEVER,
        )
        return silent or contradiction_at <= now, deadline

    def _compute_second_newest_contact(self, now: float) -> float:
        """Return the second latest time at which any lower rank was heard.

        A reader that has lagged for `LAG_LIMIT_S` counts as last heard when it began
        to lag.
        """
        claims = self._ctx.board.configuration.reader_claims
        newest = second = -NEVER
        for name, silence_start in self._silence_start.items():
            claim = claims.get(name)
            last_heard_at = (
                silence_start if claim is None else max(claim.heard_at, silence_start)
            )
            if claim is not None and now - claim.lagging_since >= LAG_LIMIT_S:
                last_heard_at = min(last_heard_at, claim.lagging_since)
            if last_heard_at > newest:
                newest, second = last_heard_at, newest
            elif last_heard_at > second:
                second = last_heard_at
        return second

    def _set_role(self, is_reader: bool, now: float) -> None:
        board = self._ctx.board.membership
        if board.is_reader == is_reader:
            return
        board.is_reader = is_reader
        code = EventCode.READER_STARTED if is_reader else EventCode.READER_STOPPED
        self._ctx.emit(
            code, rank=self._rank, failure_domain=self._ctx.settings.failure_domain
        )
        if is_reader:
            self._heartbeat_at = now + HEARTBEAT_INTERVAL_S
            # Values read while joining may no longer match the source.
            recent = all(
                now - read.confirmed_at < WATCH_MIN_S for read in self._reads.values()
            )
            if not recent:
                self._ctx.board.configuration.confirmed_by_source.clear()
                self._ctx.board.configuration.source = SourceState.UNKNOWN
            for read in self._reads.values():
                if read.state is not ReadState.OPEN:
                    self._start_read(read, now, immediate=not recent)
            return
        self._heartbeat_at = NEVER
        for read in self._reads.values():
            self._cancel_read(read)
        self._ctx.board.configuration.confirmed_by_source.clear()
        self._ctx.board.configuration.source = SourceState.UNKNOWN

    # Reads

    def read_once(self, now: float) -> None:
        """Read, while joining, the keys that this node has not got from the source."""
        confirmed = self._ctx.board.configuration.confirmed_by_source
        for read in self._reads.values():
            if read.key not in confirmed and read.state is ReadState.IDLE:
                self._start_read(read, now, immediate=True)

    def has_read_since(self, since: float) -> bool:
        """Return whether the source has confirmed a value of every key after `since`.

        Invalid and conflicting values count too, because no other node has newer
        information than the source.

        Parameters
        ----------
        since : float
            Monotonic seconds.
        """
        return all(read.confirmed_at > since for read in self._reads.values())

    def read_again(self, now: float) -> None:
        """Start immediate reads of all keys instead of waiting for open watches.

        A read that the rate limits delay stays delayed. Otherwise two readers that
        verify each other's versions would fetch every value of a burst.
        """
        for read in self._reads.values():
            is_paced = read.state is ReadState.DELAYED and not read.failures
            if not read.immediate and not is_paced:
                self._cancel_read(read)
                self._start_read(read, now, immediate=True)

    def _start_read(self, read: KeyRead, now: float, immediate: bool) -> None:
        # Sending the digest of a text received from peers lets the source confirm
        # that text without sending it again.
        has_offer = read.offer_text(self._gate.get_newest(read.key))
        immediate = immediate or has_offer
        wait = 0.0 if immediate else self._ctx.rng.uniform(WATCH_MIN_S, WATCH_MAX_S)
        read.state = ReadState.OPEN
        read.immediate = immediate
        timeout = self._ctx.settings.source.timeout_ms / 1000 if immediate else 0.0
        read.due_at = now + wait + timeout + RESPONSE_GRACE_S
        self._ctx.effects.append(ReadSource(read.key, read.known_digest, now + wait))

    def _cancel_read(self, read: KeyRead) -> None:
        if read.state is ReadState.OPEN:
            self._ctx.effects.append(CancelRead(read.key))
        read.state = ReadState.IDLE
        read.immediate = False
        read.due_at = NEVER

    def _schedule_read(self, read: KeyRead, now: float, delay: float) -> None:
        if not self._ctx.board.membership.is_reader:
            self._cancel_read(read)
            return
        if delay <= 0:
            self._start_read(read, now, immediate=False)
            return
        read.state = ReadState.DELAYED
        read.immediate = False
        read.due_at = now + delay

    def on_value(self, event: SourceValue, now: float) -> None:
        """Handle a value sent by the source."""
        read = self._reads.get(event.key)
        if read is None or read.state is not ReadState.OPEN:
            return
        read.state = ReadState.IDLE
        digest = compute_digest(event.body)
        problem = ""
        if event.digest and event.digest != digest:
            problem = f"value has digest {digest[:12]}, expected {event.digest[:12]}"
        elif len(event.body) > MAX_TEXT_BYTES:
            problem = f"value of {len(event.body)} bytes exceeds limit {MAX_TEXT_BYTES}"
        if problem:
            self._record_failure(read, problem, now)
            return
        read.digest = digest
        read.pending_offer = None
        read.failures = 0
        self._process_value(read, event.body, now)
        delay = max(
            self._ctx.settings.distribution.coalesce_ms / 1000,
            read.consume_token(now),
            self._byte_limiter.record_bytes(event.wire_bytes, now)
            * self._ctx.rng.uniform(0.5, 1.0),
        )
        self._schedule_read(read, now, delay)

    def _process_value(self, read: KeyRead, body: bytes, now: float) -> None:
        board = self._ctx.board.configuration
        held = KeyVersion(read.key, parse_version(read.key, body), read.digest)
        read.version = held.version
        if held.version < 1:
            self._gate.record_refused(
                held, "text contains no version number", SOURCE_NAME
            )
            self._record_confirmation(read, now)
            return
        known = board.confirmed_by_source.get(read.key)
        board.confirmed_by_source[read.key] = ReportedVersion(
            held.version, held.digest, now, now
        )
        comparison = self._gate.handle_text(held, body, SOURCE_NAME, now)
        if comparison in (
            VersionComparison.REFUSED,
            VersionComparison.LOWER,
            VersionComparison.CONFLICT,
        ):
            # No other node can run such a value, so it is not reported as evidence.
            if known is None:
                del board.confirmed_by_source[read.key]
            else:
                board.confirmed_by_source[read.key] = known
        else:
            self._heartbeat_at = min(self._heartbeat_at, now)
        self._record_confirmation(read, now)

    def _record_confirmation(self, read: KeyRead, now: float) -> None:
        """Record that the source still has the digest that was read last."""
        read.confirmed_at = now
        board = self._ctx.board.configuration
        confirmed = board.confirmed_by_source.get(read.key)
        text = board.running_texts.get(read.key)
        if confirmed is not None and confirmed.digest == read.digest:
            confirmed.confirmed_at = now
        elif text is not None and text.digest == read.digest:
            board.confirmed_by_source[read.key] = ReportedVersion(
                text.version, text.digest, now, now
            )
        self._update_source(now)

    def on_unchanged(self, event: SourceUnchanged, now: float) -> None:
        """Handle a response that confirms the digest sent with the read."""
        read = self._reads.get(event.key)
        if read is None or read.state is not ReadState.OPEN:
            return
        read.state = ReadState.IDLE
        read.failures = 0
        verified = read.immediate
        if read.pending_offer is not None:
            held, read.pending_offer = read.pending_offer, None
            read.digest, read.version = held.digest, held.version
            confirmed = self._ctx.board.configuration.confirmed_by_source
            confirmed[read.key] = ReportedVersion(held.version, held.digest, now, now)
        self._record_confirmation(read, now)
        self._schedule_read(read, now, 0.0)
        if verified and self._ctx.board.membership.is_reader:
            self._heartbeat_at = now

    def on_failed(self, event: SourceFailed, now: float) -> None:
        """Handle a failed read or watch."""
        read = self._reads.get(event.key)
        if read is not None and read.state is ReadState.OPEN:
            read.state = ReadState.IDLE
            self._record_failure(read, event.reason, now)

    def _record_failure(self, read: KeyRead, reason: str, now: float) -> None:
        read.withdraw_offer()
        read.failures = min(read.failures + 1, 16)
        limit = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**read.failures)
        self._update_source(now, reason=reason)
        self._schedule_read(read, now, max(0.001, self._ctx.rng.uniform(0, limit)))

    def _is_stale(self, read: KeyRead) -> bool:
        """Return whether the source confirmed an older version than this node runs."""
        text = self._ctx.board.configuration.running_texts.get(read.key)
        return (
            text is not None
            and 0 < read.version < text.version
            and read.confirmed_at > text.read_at
        )

    def _update_source(self, now: float, reason: str = "") -> None:
        board = self._ctx.board.configuration
        stale = [read for read in self._reads.values() if self._is_stale(read)]
        if any(read.failures for read in self._reads.values()):
            state = SourceState.DOWN
        else:
            state = SourceState.STALE if stale else SourceState.UP
        if board.source is state:
            return
        board.source = state
        fields: dict[str, str | int] = {}
        if state is SourceState.STALE:
            fields = {"key": stale[0].key, "version": stale[0].version}
        if reason:
            fields["reason"] = reason[:200]
        self._ctx.emit(_SOURCE_EVENTS[state], **fields)
        self._heartbeat_at = min(self._heartbeat_at, now)

    # Heartbeats

    def is_heartbeat_due(self, now: float) -> bool:
        """Return whether this reader must send a heartbeat now."""
        return self._ctx.board.membership.is_reader and now >= self._heartbeat_at

    def make_heartbeat(self, now: float) -> Heartbeat:
        """Create this reader's next heartbeat and schedule the one after it."""
        board = self._ctx.board.configuration
        self._sequence += 1
        self._heartbeat_at = now + HEARTBEAT_INTERVAL_S
        state = board.source
        if state is SourceState.UP and any(map(self._is_stale, self._reads.values())):
            state = SourceState.STALE
        held = []
        ages_ms = []
        for key in self._ctx.keys:
            entry = (
                board.confirmed_by_source.get(key) if state is SourceState.UP else None
            )
            text = board.running_texts.get(key)
            if entry is not None:
                confirmed_at = entry.confirmed_at
            elif text is not None:
                entry, confirmed_at = text, text.read_at
            else:
                continue
            held.append(KeyVersion(key, entry.version, entry.digest))
            ages_ms.append(max(0, round((now - confirmed_at) * 1000)))
        self._last_heartbeat = (
            now,
            Heartbeat(
                self._ctx.settings.failure_domain,
                self._ctx.instance,
                self._ctx.incarnation,
                self._sequence,
                _HEARTBEAT_STATES[state],
                held,
                max(ages_ms, default=0),
                ages_ms,
            ),
        )
        return self._last_heartbeat[1]

    def get_last_heartbeat(self, now: float) -> Heartbeat | None:
        """Return the heartbeat sent last, for use in a digest exchange.

        Creating a new one would delay the periodic heartbeat, and only periodic
        heartbeats are forwarded down the tree.
        """
        if self._last_heartbeat is None or not self._ctx.board.membership.is_reader:
            return None
        return add_age(self._last_heartbeat[1], now - self._last_heartbeat[0])

    def is_lowest_live_rank(self, now: float) -> bool:
        """Return whether no lower rank is able to push deltas."""
        board = self._ctx.board
        for name in board.membership.ranking[: max(self._rank, 0)]:
            claim = board.configuration.reader_claims.get(name)
            if (
                claim is not None
                and claim.heartbeat.source == "up"
                and now - claim.heard_at < RECENT_CONTACT_S
                and now - claim.lagging_since < LAG_LIMIT_S
            ):
                return False
        return True

    def is_claimed_by_other_reader(self, text: VersionedText, now: float) -> bool:
        """Return whether another reader of this failure domain claims the version."""
        held = text.to_key_version()
        domain = self._ctx.settings.failure_domain
        return any(
            claim.heartbeat.failure_domain == domain
            and now - claim.heard_at < RECENT_CONTACT_S
            and held in claim.heartbeat.held
            for claim in self._ctx.board.configuration.reader_claims.values()
        )

    def is_behind(self, key: str) -> bool:
        """Return whether the source last gave an older version than this node runs."""
        board = self._ctx.board.configuration
        confirmed = board.confirmed_by_source.get(key)
        return (
            board.source is SourceState.UP
            and confirmed is not None
            and confirmed.version < board.running_texts[key].version
        )

    def _check_watches(self, now: float) -> None:
        """Read all keys again if another reader claims a newer version."""
        board = self._ctx.board.configuration
        newest: dict[str, int] = {}
        for claim in board.reader_claims.values():
            for key, reported_versions in claim.reported_versions.items():
                newest[key] = max(newest.get(key, 0), reported_versions[0].version)
        ahead = any(
            key in board.confirmed_by_source
            and version > board.confirmed_by_source[key].version
            for key, version in newest.items()
        )
        if not ahead:
            self._newer_claim_since = NEVER
            self._verify_interval = VERIFY_INTERVAL_S
            return
        self._newer_claim_since = min(self._newer_claim_since, now)
        if now < max(self._newer_claim_since + VERIFY_DELAY_S, self._next_verify_at):
            return
        # The interval doubles to limit the reads for a claim that the source never
        # confirms.
        self._next_verify_at = now + self._verify_interval
        self._verify_interval = min(self._verify_interval * 2, VERIFY_INTERVAL_MAX_S)
        self.read_again(now)

    def run(self, now: float) -> None:
        """Update the reader role, and start or time out reads that are due."""
        if self._ctx.board.configuration.state is NodeState.STOPPING:
            self._set_role(False, now)
            return
        if self._ctx.board.membership.epoch:
            self._update_ranking(now)
            is_reader, self._role_deadline = self._compute_role(now)
            self._set_role(is_reader, now)
        if self._ctx.board.membership.is_reader:
            self._check_watches(now)
        for read in self._reads.values():
            if now < read.due_at:
                continue
            if read.state is ReadState.OPEN:
                self._ctx.effects.append(CancelRead(read.key))
                read.state = ReadState.IDLE
                self._record_failure(read, "no answer in time", now)
            elif read.state is ReadState.DELAYED:
                # After a failure an immediate read detects that the source has
                # recovered; a watch would return only when it ends.
                self._start_read(read, now, immediate=read.failures > 0)

    def next_deadline(self) -> float:
        """Return when the next read, heartbeat, verification or role change is due."""
        heartbeat_at = check_at = NEVER
        if self._ctx.board.membership.is_reader:
            heartbeat_at = self._heartbeat_at
            check_at = max(
                self._newer_claim_since + VERIFY_DELAY_S, self._next_verify_at
            )
        return min(
            heartbeat_at,
            self._role_deadline,
            check_at if self._newer_claim_since < NEVER else NEVER,
            *(read.due_at for read in self._reads.values()),
        )
