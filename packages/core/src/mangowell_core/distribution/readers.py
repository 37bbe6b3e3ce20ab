"""Reader selection, reads of the configuration service, and heartbeats."""

from mangowell_core.blackboard import NodeState, Sighting, SourceState, Text
from mangowell_core.digest import MAX_TEXT_BYTES, content_digest
from mangowell_core.distribution.context import (
    NEVER,
    SOURCE_NAME,
    Context,
)
from mangowell_core.distribution.corroboration import add_age
from mangowell_core.distribution.gate import Gate, Relation, find_version
from mangowell_core.distribution.io import (
    CancelRead,
    ReadSource,
    SourceFailed,
    SourceUnchanged,
    SourceValue,
)
from mangowell_core.distribution.ranking import rank_instances
from mangowell_core.distribution.reads import KeyRead, ReadState, SourcePace
from mangowell_core.events import EventCode
from mangowell_core.messages import Heartbeat, KeyVersion

READERS_PER_DOMAIN = 2
HEARTBEAT_INTERVAL_S = 1.0
TAKEOVER_AFTER_S = 3.0
TAKEOVER_STEP_S = 0.5
TAKEOVER_LIMIT_S = 6.0
# Two lower ranks must have been heard within this time before a substitute stops.
RETURN_FRESH_S = 2.0
# A contradiction is settled by the next two ranks; more readers add no evidence.
CONTRADICTION_READERS = 2
LAG_LIMIT_S = 3.0
# A connection to the source can go silent for all readers at once. Watches end
# within 8 s, so that a change during such a time still arrives within 14 s. At
# 64 watches this costs 10 calls/s.
WATCH_MIN_S = 5.0
WATCH_MAX_S = 8.0
# A read without any answer is given up this long after its deadline.
ANSWER_SLACK_S = 1.0
BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 10.0
# A reader that hears of a newer version checks its own, possibly silent watch.
VERIFY_AFTER_S = 0.2
VERIFY_INTERVAL_S = 2.0
VERIFY_INTERVAL_MAX_S = 32.0

_SOURCE_EVENTS = {
    SourceState.UP: EventCode.SOURCE_UP,
    SourceState.DOWN: EventCode.SOURCE_DOWN,
    SourceState.STALE: EventCode.SOURCE_STALE,
}
# A reader without any answer yet keeps others from reading no less than one
# whose source is down.
_STATE_NAMES = {
    SourceState.UNKNOWN: "down",
    SourceState.UP: "up",
    SourceState.DOWN: "down",
    SourceState.STALE: "stale",
}


class Readers:
    """Controller that decides whether this node reads, and reads."""

    __slots__ = (
        "_ahead_since",
        "_ctx",
        "_epoch",
        "_gate",
        "_heartbeat_at",
        "_last",
        "_listed_at",
        "_pace",
        "_rank",
        "_reads",
        "_role_deadline",
        "_sequence",
        "_verify_at",
        "_verify_interval",
    )

    def __init__(self, ctx: Context, gate: Gate):
        self._ctx = ctx
        self._gate = gate
        self._epoch = -1
        self._rank = -1
        self._sequence = 0
        self._heartbeat_at = NEVER
        self._last: tuple[float, Heartbeat] | None = None
        self._role_deadline = NEVER
        self._verify_at = -NEVER
        self._verify_interval = VERIFY_INTERVAL_S
        self._listed_at: dict[str, float] = {}
        self._ahead_since = NEVER
        self._pace = SourcePace()
        self._reads = {key: KeyRead(key) for key in ctx.keys}

    # Selection

    def _update_ranking(self, now: float) -> None:
        board = self._ctx.board.membership
        if self._epoch == board.epoch:
            return
        self._epoch = board.epoch
        domain = self._ctx.settings.failure_domain
        board.ranking = rank_instances(domain, board.domains.get(domain, ()))
        self._rank = board.ranking.index(self._ctx.instance)
        lower = board.ranking[: self._rank]
        self._listed_at = {name: self._listed_at.get(name, now) for name in lower}

    def reset_clock(self, now: float) -> None:
        """Forget how long lower ranks have been silent, after a pause."""
        self._listed_at = dict.fromkeys(self._listed_at, now)

    def _find_role_change(self, now: float) -> tuple[bool, float]:
        """Return whether this node is to read, and when that may change."""
        if self._rank < READERS_PER_DOMAIN:
            return True, NEVER
        delay = TAKEOVER_AFTER_S + (self._rank - READERS_PER_DOMAIN) * TAKEOVER_STEP_S
        heard = self._second_newest(now)
        reads_now = self._ctx.board.membership.is_reader
        limit = RETURN_FRESH_S if reads_now else min(delay, TAKEOVER_LIMIT_S)
        silent = now - heard >= limit
        contradiction_at = NEVER
        if self._rank < READERS_PER_DOMAIN + CONTRADICTION_READERS:
            since = self._ctx.board.configuration.contradicted_since
            contradiction_at = min(since.values(), default=NEVER) + delay
        deadline = min(
            heard + limit if not silent else NEVER,
            contradiction_at if contradiction_at > now else NEVER,
        )
        return silent or contradiction_at <= now, deadline

    def _second_newest(self, now: float) -> float:
        """Return when the second most recent of the lower ranks was heard."""
        claims = self._ctx.board.configuration.claims
        newest = second = -NEVER
        for name, listed_at in self._listed_at.items():
            claim = claims.get(name)
            heard = listed_at if claim is None else max(claim.heard_at, listed_at)
            if claim is not None and now - claim.lagging_since >= LAG_LIMIT_S:
                heard = min(heard, claim.lagging_since)
            if heard > newest:
                newest, second = heard, newest
            elif heard > second:
                second = heard
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
            # What a joining node read long ago is no evidence of today's source.
            recent = all(
                now - read.confirmed_at < WATCH_MIN_S for read in self._reads.values()
            )
            if not recent:
                self._ctx.board.configuration.given.clear()
                self._ctx.board.configuration.source = SourceState.UNKNOWN
            for read in self._reads.values():
                if read.state is not ReadState.OPEN:
                    self._open(read, now, plain=not recent)
            return
        self._heartbeat_at = NEVER
        for read in self._reads.values():
            self._close(read)
        self._ctx.board.configuration.given.clear()
        self._ctx.board.configuration.source = SourceState.UNKNOWN

    # Reads

    def read_once(self, now: float) -> None:
        """Read the keys that the source has not given to this joining node."""
        given = self._ctx.board.configuration.given
        for read in self._reads.values():
            if read.key not in given and read.state is ReadState.IDLE:
                self._open(read, now, plain=True)

    def has_read_since(self, since: float) -> bool:
        """Return whether the source has answered for all keys.

        What it gave may be invalid or conflict with what this node runs; nobody
        knows more than the source.
        """
        return all(read.confirmed_at > since for read in self._reads.values())

    def verify(self, now: float) -> None:
        """Read all keys again at once instead of waiting for open watches.

        A read that waits for its turn is left alone. In a burst two readers that
        verify each other's versions would otherwise take every value.
        """
        for read in self._reads.values():
            paced = read.state is ReadState.DELAYED and not read.failures
            if not read.plain and not paced:
                self._close(read)
                self._open(read, now, plain=True)

    def _open(self, read: KeyRead, now: float, plain: bool) -> None:
        # A text that peers have passed on is offered by its digest, so that the
        # source confirms it without sending it again.
        expected = read.expect(self._gate.find_newest(read.key))
        plain = plain or expected
        wait = 0.0 if plain else self._ctx.rng.uniform(WATCH_MIN_S, WATCH_MAX_S)
        read.state = ReadState.OPEN
        read.plain = plain
        timeout = self._ctx.settings.source.timeout_ms / 1000 if plain else 0.0
        read.due = now + wait + timeout + ANSWER_SLACK_S
        self._ctx.effects.append(ReadSource(read.key, read.after, now + wait))

    def _close(self, read: KeyRead) -> None:
        if read.state is ReadState.OPEN:
            self._ctx.effects.append(CancelRead(read.key))
        read.state = ReadState.IDLE
        read.plain = False
        read.due = NEVER

    def _continue(self, read: KeyRead, now: float, delay: float) -> None:
        if not self._ctx.board.membership.is_reader:
            self._close(read)
            return
        if delay <= 0:
            self._open(read, now, plain=False)
            return
        read.state = ReadState.DELAYED
        read.plain = False
        read.due = now + delay

    def on_value(self, event: SourceValue, now: float) -> None:
        """Take a value that the source gave."""
        read = self._reads.get(event.key)
        if read is None or read.state is not ReadState.OPEN:
            return
        read.state = ReadState.IDLE
        digest = content_digest(event.body)
        problem = ""
        if event.digest and event.digest != digest:
            problem = f"value has digest {digest[:12]}, announced {event.digest[:12]}"
        elif len(event.body) > MAX_TEXT_BYTES:
            problem = f"value of {len(event.body)} bytes, limit {MAX_TEXT_BYTES}"
        if problem:
            self._fail(read, problem, now)
            return
        read.digest = digest
        read.expected = None
        read.failures = 0
        self._take(read, event.body, now)
        delay = max(
            self._ctx.settings.distribution.coalesce_ms / 1000,
            read.take_token(now),
            self._pace.take(event.wire_bytes, now) * self._ctx.rng.uniform(0.5, 1.0),
        )
        self._continue(read, now, delay)

    def _take(self, read: KeyRead, body: bytes, now: float) -> None:
        board = self._ctx.board.configuration
        held = KeyVersion(read.key, find_version(read.key, body), read.digest)
        read.version = held.version
        if held.version < 1:
            self._gate.refuse(held, "no version found in the text", SOURCE_NAME)
            self._confirm(read, now)
            return
        known = board.given.get(read.key)
        board.given[read.key] = Sighting(held.version, held.digest, now, now)
        relation = self._gate.offer(held, body, SOURCE_NAME, now)
        if relation in (Relation.REFUSED, Relation.LOWER, Relation.CONFLICT):
            # Others cannot run such a value, so it is not evidence for them.
            if known is None:
                del board.given[read.key]
            else:
                board.given[read.key] = known
        else:
            self._heartbeat_at = min(self._heartbeat_at, now)
        self._confirm(read, now)

    def _confirm(self, read: KeyRead, now: float) -> None:
        """Record that the source holds what was read last."""
        read.confirmed_at = now
        board = self._ctx.board.configuration
        given = board.given.get(read.key)
        text = board.held.get(read.key)
        if given is not None and given.digest == read.digest:
            given.confirmed_at = now
        elif text is not None and text.digest == read.digest:
            board.given[read.key] = Sighting(text.version, text.digest, now, now)
        self._update_source(now)

    def on_unchanged(self, event: SourceUnchanged, now: float) -> None:
        """Take the source's confirmation of the value already held."""
        read = self._reads.get(event.key)
        if read is None or read.state is not ReadState.OPEN:
            return
        read.state = ReadState.IDLE
        read.failures = 0
        verified = read.plain
        if read.expected is not None:
            held, read.expected = read.expected, None
            read.digest, read.version = held.digest, held.version
            given = self._ctx.board.configuration.given
            given[read.key] = Sighting(held.version, held.digest, now, now)
        self._confirm(read, now)
        self._continue(read, now, 0.0)
        if verified and self._ctx.board.membership.is_reader:
            self._heartbeat_at = now

    def on_failed(self, event: SourceFailed, now: float) -> None:
        """Take the failure of a read."""
        read = self._reads.get(event.key)
        if read is not None and read.state is ReadState.OPEN:
            read.state = ReadState.IDLE
            self._fail(read, event.reason, now)

    def _fail(self, read: KeyRead, reason: str, now: float) -> None:
        read.forget_expected()
        read.failures = min(read.failures + 1, 16)
        limit = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**read.failures)
        self._update_source(now, reason=reason)
        self._continue(read, now, max(0.001, self._ctx.rng.uniform(0, limit)))

    def _is_stale(self, read: KeyRead) -> bool:
        """Return whether the source confirmed less than this node runs."""
        text = self._ctx.board.configuration.held.get(read.key)
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
        """Return whether a heartbeat must be sent now."""
        return self._ctx.board.membership.is_reader and now >= self._heartbeat_at

    def make_heartbeat(self, now: float) -> Heartbeat:
        """Return this reader's next heartbeat."""
        board = self._ctx.board.configuration
        self._sequence += 1
        self._heartbeat_at = now + HEARTBEAT_INTERVAL_S
        state = board.source
        if state is SourceState.UP and any(map(self._is_stale, self._reads.values())):
            state = SourceState.STALE
        held = []
        ages_ms = []
        for key in self._ctx.keys:
            entry = board.given.get(key) if state is SourceState.UP else None
            text = board.held.get(key)
            if entry is not None:
                confirmed_at = entry.confirmed_at
            elif text is not None:
                entry, confirmed_at = text, text.read_at
            else:
                continue
            held.append(KeyVersion(key, entry.version, entry.digest))
            ages_ms.append(max(0, round((now - confirmed_at) * 1000)))
        self._last = (
            now,
            Heartbeat(
                self._ctx.settings.failure_domain,
                self._ctx.instance,
                self._ctx.incarnation,
                self._sequence,
                _STATE_NAMES[state],
                held,
                max(ages_ms, default=0),
                ages_ms,
            ),
        )
        return self._last[1]

    def last_heartbeat(self, now: float) -> Heartbeat | None:
        """Return the heartbeat sent last, for digests.

        A new one would take the place of the periodic one, which alone goes down
        the tree.
        """
        if self._last is None or not self._ctx.board.membership.is_reader:
            return None
        return add_age(self._last[1], now - self._last[0])

    def is_eager(self, now: float) -> bool:
        """Return whether this reader is the lowest rank that can push deltas."""
        board = self._ctx.board
        for name in board.membership.ranking[: max(self._rank, 0)]:
            claim = board.configuration.claims.get(name)
            if (
                claim is not None
                and claim.heartbeat.source == "up"
                and now - claim.heard_at < RETURN_FRESH_S
                and now - claim.lagging_since < LAG_LIMIT_S
            ):
                return False
        return True

    def is_claimed(self, text: Text, now: float) -> bool:
        """Return whether another reader of this domain claims the version."""
        held = text.to_key_version()
        domain = self._ctx.settings.failure_domain
        return any(
            claim.heartbeat.failure_domain == domain
            and now - claim.heard_at < RETURN_FRESH_S
            and held in claim.heartbeat.held
            for claim in self._ctx.board.configuration.claims.values()
        )

    def is_behind(self, key: str) -> bool:
        """Return whether the source has not yet given what this node runs."""
        board = self._ctx.board.configuration
        given = board.given.get(key)
        return (
            board.source is SourceState.UP
            and given is not None
            and given.version < board.held[key].version
        )

    def _check_watches(self, now: float) -> None:
        """Verify the watches when another reader knows a newer version."""
        board = self._ctx.board.configuration
        newest: dict[str, int] = {}
        for claim in board.claims.values():
            for key, sightings in claim.sightings.items():
                newest[key] = max(newest.get(key, 0), sightings[0].version)
        ahead = any(
            key in board.given and version > board.given[key].version
            for key, version in newest.items()
        )
        if not ahead:
            self._ahead_since = NEVER
            self._verify_interval = VERIFY_INTERVAL_S
            return
        self._ahead_since = min(self._ahead_since, now)
        if now < max(self._ahead_since + VERIFY_AFTER_S, self._verify_at):
            return
        # A claim that the source never confirms must not cost reads for ever.
        self._verify_at = now + self._verify_interval
        self._verify_interval = min(self._verify_interval * 2, VERIFY_INTERVAL_MAX_S)
        self.verify(now)

    def run(self, now: float) -> None:
        """Update the role and continue reads that are due."""
        if self._ctx.board.configuration.state is NodeState.STOPPING:
            self._set_role(False, now)
            return
        if self._ctx.board.membership.epoch:
            self._update_ranking(now)
            is_reader, self._role_deadline = self._find_role_change(now)
            self._set_role(is_reader, now)
        if self._ctx.board.membership.is_reader:
            self._check_watches(now)
        for read in self._reads.values():
            if now < read.due:
                continue
            if read.state is ReadState.OPEN:
                self._ctx.effects.append(CancelRead(read.key))
                read.state = ReadState.IDLE
                self._fail(read, "no answer in time", now)
            elif read.state is ReadState.DELAYED:
                # After a failure the read must return at once, so that a
                # recovered source is noticed.
                self._open(read, now, plain=read.failures > 0)

    def next_deadline(self) -> float:
        """Return when a read, heartbeat or change of role is due."""
        heartbeat_at = check_at = NEVER
        if self._ctx.board.membership.is_reader:
            heartbeat_at = self._heartbeat_at
            check_at = max(self._ahead_since + VERIFY_AFTER_S, self._verify_at)
        return min(
            heartbeat_at,
            self._role_deadline,
            check_at if self._ahead_since < NEVER else NEVER,
            *(read.due for read in self._reads.values()),
        )
