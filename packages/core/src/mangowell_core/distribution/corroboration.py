"""Corroboration of versions by the readers that got them from the source.

A version is accepted when this node has read it from the source, when two
readers claim it, or when one claims it and no other reader contradicts. A reader
contradicts when the source confirmed a lower version to it after the claimed
version was first read. The first read counts, not the latest confirmation, so a
faulty reader cannot end a contradiction by repeating its claim.
"""

from enum import Enum

import msgspec

from mangowell_core.blackboard import ReaderClaim, ReportedVersion, SourceState
from mangowell_core.distribution.context import NEVER, Context, describe_peer
from mangowell_core.distribution.io import Peer
from mangowell_core.events import EventCode
from mangowell_core.messages import Heartbeat, KeyVersion

# A claim expires after this time without a newer heartbeat. Ten watch periods of
# 3 s cover the slowest takeover (6 s) and one lost digest exchange.
CLAIM_TTL_S = 30.0
# A peer's report that it holds a version expires after this time. Each digest
# exchange renews it.
HOLDER_TTL_S = 10.0
# 16 domains with 2 readers each need 32; the rest covers takeovers.
MAX_CLAIMS = 128
MAX_HOLDERS = 64
MAX_REPORTS = 4
# Time for the second reader to confirm or contradict. It reads the source after
# 0.2 s; a round trip and the propagation down the tree follow.
SINGLE_CLAIM_GRACE_S = 0.5
# Readers do not read again for a version that only other nodes hold. Their watches
# end within 8 s, and the confirmation arrives up to a second later.
HOLDER_GRACE_S = 9.0
# A reader confirms the source's version at least this often. An older confirmation
# no longer contradicts: the source has replaced that version since, possibly by an
# invalid one that cannot be claimed.
CONTRADICTION_TTL_S = 9.5
# Ages leave out the network delay, so a confirmation appears later than it was. A
# reader that verifies a claim reads at least 0.2 s after the claim.
CONFIRMATION_ERROR_S = 0.1
# A reader that is silent for this long does not delay a single claim.
READER_SILENCE_LIMIT_S = 2.5
# Minimum interval between evaluations of a target, which bounds the processor time
# that a peer can cause by sending many versions.
TARGET_INTERVAL_S = 0.05
MAX_VERSION = 2**62
SOURCE_STATES = frozenset(("up", "down", "stale"))


class CorroborationDecision(Enum):
    """Decision on one version.

    `ACCEPT` means that the version may run, and `WAIT` that the grace time of a claim
    still runs. `HOLD` means that a reader contradicts the version, or that no reader
    claims it and its grace time still runs.
    """

    ACCEPT = "accept"
    WAIT = "wait"
    HOLD = "hold"


def check_key_version(held: KeyVersion, keys: tuple[str, ...]) -> str:
    """Return why a peer's key, version or digest is invalid, or ``""``."""
    if held.key not in keys:
        return f"unknown key {held.key[:80]!r}"
    if not 1 <= held.version <= MAX_VERSION:
        return f"version {held.version} is outside the valid range"
    if len(held.digest) != 64:
        return "digest is not 64 characters long"
    return ""


def add_age(heartbeat: Heartbeat, seconds: float) -> Heartbeat:
    """Return a copy of a heartbeat whose ages are `seconds` higher."""
    age = round(seconds * 1000)
    return msgspec.structs.replace(
        heartbeat,
        confirmed_age_ms=heartbeat.confirmed_age_ms + age,
        held_ages_ms=[held_age + age for held_age in heartbeat.held_ages_ms],
    )


class HolderRecord:
    """Peers that report to hold a version that possibly no reader claims any more.

    `first_at`, when a reader first got the version, and `recorded_at`, when this
    node first heard of it, are set by the first report. A faulty peer cannot renew
    them.
    """

    __slots__ = ("first_at", "heard_at", "peers", "recorded_at")

    def __init__(self, first_at: float, now: float):
        self.first_at = first_at
        self.recorded_at = now
        self.heard_at = now
        self.peers: dict[Peer, float] = {}


class Corroboration:
    """Controller that records claims of readers and decides on versions by them."""

    __slots__ = (
        "_cached_targets",
        "_changed_keys",
        "_ctx",
        "_holders",
        "_next_prune",
        "_reported_versions",
    )

    def __init__(self, ctx: Context):
        self._ctx = ctx
        self._holders: dict[KeyVersion, HolderRecord] = {}
        self._reported_versions: dict[KeyVersion, None] = {}
        self._cached_targets: dict[str, tuple[float, KeyVersion | None]] = {}
        self._changed_keys: set[str] = set()
        self._next_prune = 0.0

    def check_heartbeat(self, heartbeat: Heartbeat) -> str:
        """Return why the content of a heartbeat is invalid, or ``""``."""
        if heartbeat.source not in SOURCE_STATES:
            return f"unknown source state {heartbeat.source[:80]!r}"
        if heartbeat.sequence < 1:
            return "sequence number is less than 1"
        if min(heartbeat.confirmed_age_ms, *heartbeat.held_ages_ms, 0) < 0:
            return "heartbeat contains a negative age"
        if len(heartbeat.held_ages_ms) != len(heartbeat.held):
            return "heartbeat has a different number of ages and keys"
        if not 0 < heartbeat.incarnation <= MAX_VERSION:
            return "incarnation is outside the valid range"
        if len(heartbeat.held) > len(self._ctx.keys):
            return "heartbeat contains more keys than the node knows"
        for held in heartbeat.held:
            problem = check_key_version(held, self._ctx.keys)
            if problem:
                return problem
        return ""

    def record_heartbeat(self, heartbeat: Heartbeat, sender: Peer, now: float) -> bool:
        """Record a heartbeat; return whether it is valid and new."""
        problem = self.check_heartbeat(heartbeat)
        if problem:
            self._ctx.record_dropped_message(sender, problem)
            return False
        if heartbeat.reader == self._ctx.instance:
            return False
        claims = self._ctx.board.configuration.reader_claims
        claim = claims.get(heartbeat.reader)
        if claim is None:
            self._evict_claim()
            claim = claims[heartbeat.reader] = ReaderClaim(heartbeat, now, "")
        else:
            known = claim.heartbeat
            order = (heartbeat.incarnation, heartbeat.sequence)
            if order <= (known.incarnation, known.sequence):
                return False
        claim.heartbeat = heartbeat
        claim.heard_at = now
        claim.relayed_by = describe_peer(sender)
        for held, age_ms in zip(heartbeat.held, heartbeat.held_ages_ms, strict=True):
            self._record_reported_version(claim, held, now - age_ms / 1000)
            self._changed_keys.add(held.key)
            self.report_seen(held, heartbeat.reader)
        self._update_lag(claim, now)
        return True

    def _record_reported_version(
        self, claim: ReaderClaim, held: KeyVersion, confirmed_at: float
    ) -> None:
        reported_versions = claim.reported_versions.setdefault(held.key, [])
        for index, reported in enumerate(reported_versions):
            if (reported.version, reported.digest) == (held.version, held.digest):
                reported.confirmed_at = max(reported.confirmed_at, confirmed_at)
                reported_versions.insert(0, reported_versions.pop(index))
                return
        reported_versions.insert(
            0, ReportedVersion(held.version, held.digest, confirmed_at, confirmed_at)
        )
        del reported_versions[MAX_REPORTS:]

    def _update_lag(self, claim: ReaderClaim, now: float) -> None:
        running_texts = self._ctx.board.configuration.running_texts
        versions = {entry.key: entry.version for entry in claim.heartbeat.held}
        lags = any(
            versions.get(key, 0) < text.version for key, text in running_texts.items()
        )
        claim.lagging_since = min(claim.lagging_since, now) if lags else NEVER

    def _evict_claim(self) -> None:
        claims = self._ctx.board.configuration.reader_claims
        if len(claims) < MAX_CLAIMS:
            return
        view = self._ctx.board.membership.view
        oldest = min(claims, key=lambda name: (name in view, claims[name].heard_at))
        del claims[oldest]

    def record_holder(
        self, held: KeyVersion, peer: Peer, first_at: float, now: float
    ) -> None:
        """Record that a peer reports to hold a version; weaker than a reader's claim.

        Parameters
        ----------
        held : KeyVersion
            Version that the peer reports.
        peer : Peer
            Node that sent the report.
        first_at : float
            When a reader first got the version, according to the peer, in monotonic
            seconds of this node.
        now : float
            Monotonic seconds.
        """
        running = self._ctx.board.configuration.running_texts.get(held.key)
        if running is not None and held.version <= running.version:
            return
        if held not in self._holders and len(self._holders) >= MAX_HOLDERS:
            oldest = min(self._holders, key=lambda k: self._holders[k].heard_at)
            del self._holders[oldest]
        holders = self._holders.setdefault(held, HolderRecord(first_at, now))
        holders.heard_at = now
        self._changed_keys.add(held.key)
        peers = holders.peers
        self.report_seen(held, describe_peer(peer))
        peers[peer] = now
        if len(peers) > MAX_REPORTS:
            del peers[min(peers, key=peers.__getitem__)]

    def report_seen(self, held: KeyVersion, peer: str) -> None:
        """Emit an event for the first report of a version above the running one."""
        running = self._ctx.board.configuration.running_texts.get(held.key)
        running_version = 0 if running is None else running.version
        if held.version <= running_version or held in self._reported_versions:
            return
        self._reported_versions[held] = None
        if len(self._reported_versions) > MAX_HOLDERS:
            del self._reported_versions[next(iter(self._reported_versions))]
        self._ctx.emit(
            EventCode.VERSION_SEEN,
            key=held.key,
            version=held.version,
            digest=held.digest,
            peer=peer,
        )

    def get_holders(self, held: KeyVersion) -> list[Peer]:
        """Return the peers that hold a version.

        Peers that reported it come first, latest report first, then readers that
        claim it.
        """
        holders = self._holders.get(held)
        peers = {} if holders is None else holders.peers
        found = sorted(peers, key=peers.__getitem__, reverse=True)
        known = {peer.instance for peer in found}
        for name, claim in self._ctx.board.configuration.reader_claims.items():
            if held in claim.heartbeat.held and name not in known:
                peer = self._ctx.look_up_peer(name)
                if peer is not None:
                    found.append(peer)
        return found

    def _get_claimed_versions(self, key: str) -> set[KeyVersion]:
        return {
            held
            for claim in self._ctx.board.configuration.reader_claims.values()
            for held in claim.heartbeat.held
            if held.key == key
        }

    def select_target(
        self, key: str, now: float, exact: bool = False
    ) -> KeyVersion | None:
        """Return the highest version that may be fetched, if any.

        Unless `exact` is set, the result may be `TARGET_INTERVAL_S` old.
        """
        running = self._ctx.board.configuration.running_texts.get(key)
        running_version = 0 if running is None else running.version
        evaluated_at, target = self._cached_targets.get(key, (-NEVER, None))
        is_current = target is None or target.version > running_version
        if exact or now - evaluated_at >= TARGET_INTERVAL_S or not is_current:
            target = self._select_target(key, running_version, now)
            self._cached_targets[key] = now, target
            self._changed_keys.discard(key)
        return target

    def _select_target(
        self, key: str, running_version: int, now: float
    ) -> KeyVersion | None:
        refused = self._ctx.board.configuration.refused_versions
        versions: dict[int, list[KeyVersion]] = {}
        for held in self._get_claimed_versions(key) | {
            h for h in self._holders if h.key == key
        }:
            if (
                held.version > running_version
                and (key, held.version, held.digest) not in refused
            ):
                versions.setdefault(held.version, []).append(held)
        for version in sorted(versions, reverse=True):
            found = versions[version]
            if len(found) > 1:
                # One version can have two digests. The digest held by more nodes is
                # easier to fetch.
                found.sort(key=lambda h: (-len(self.get_holders(h)), h.digest))
            for held in found:
                if self.evaluate_version(held, now) is not CorroborationDecision.HOLD:
                    return held
        return None

    def evaluate_version(self, held: KeyVersion, now: float) -> CorroborationDecision:
        """Decide whether a version is corroborated.

        Parameters
        ----------
        held : KeyVersion
            Version that is claimed or held elsewhere.
        now : float
            Monotonic seconds.
        """
        board = self._ctx.board.configuration
        confirmed = board.confirmed_by_source.get(held.key)
        if confirmed is not None and (
            confirmed.version,
            confirmed.digest,
        ) == (held.version, held.digest):
            return CorroborationDecision.ACCEPT
        matching_claims = self._get_matching_claims(held)
        if (
            len(matching_claims) >= 2
            and len({c.relayed_by for c, _ in matching_claims}) >= 2
        ):
            return CorroborationDecision.ACCEPT
        first_at, grace_until = self._compute_grace_period(held, matching_claims)
        matching_readers = {claim.heartbeat.reader for claim, _ in matching_claims}
        if (
            confirmed is not None
            and confirmed.version < held.version
            and confirmed.confirmed_at
            > max(first_at + CONFIRMATION_ERROR_S, now - CONTRADICTION_TTL_S)
        ):
            return CorroborationDecision.HOLD
        decision = CorroborationDecision.ACCEPT
        if (
            confirmed is not None
            and board.source is SourceState.UP
            and self._ctx.board.membership.is_reader
            and now < grace_until
        ):
            # This node is the second reader and reads the source again first.
            decision = (
                CorroborationDecision.WAIT
                if matching_claims
                else CorroborationDecision.HOLD
            )
        for claim in board.reader_claims.values():
            if (
                claim.heartbeat.source != "up"
                or claim.heartbeat.reader in matching_readers
            ):
                continue
            reported_versions = claim.reported_versions.get(held.key)
            if not reported_versions or reported_versions[0].version >= held.version:
                continue
            earliest = max(first_at + CONFIRMATION_ERROR_S, now - CONTRADICTION_TTL_S)
            if reported_versions[0].confirmed_at > earliest:
                return CorroborationDecision.HOLD
            if now < grace_until and self._is_responsive(claim, now):
                decision = (
                    CorroborationDecision.WAIT
                    if matching_claims
                    else CorroborationDecision.HOLD
                )
        return decision

    def _compute_grace_period(
        self,
        held: KeyVersion,
        matching_claims: list[tuple[ReaderClaim, ReportedVersion]],
    ) -> tuple[float, float]:
        """Return when a version was first read, and when the grace time ends."""
        if matching_claims:
            first_at = min(reported.first_at for _, reported in matching_claims)
            return first_at, first_at + SINGLE_CLAIM_GRACE_S
        holders = self._holders.get(held)
        if holders is None:
            return -NEVER, NEVER
        return holders.first_at, holders.recorded_at + HOLDER_GRACE_S

    def _get_matching_claims(
        self, held: KeyVersion
    ) -> list[tuple[ReaderClaim, ReportedVersion]]:
        return [
            (claim, reported)
            for claim in self._ctx.board.configuration.reader_claims.values()
            for reported in claim.reported_versions.get(held.key, ())
            if (reported.version, reported.digest) == (held.version, held.digest)
        ]

    def get_first_read_time(self, held: KeyVersion) -> float:
        """Return when a reader first got a version, or minus infinity if unknown."""
        return self._compute_grace_period(held, self._get_matching_claims(held))[0]

    def _is_responsive(self, claim: ReaderClaim, now: float) -> bool:
        """Return whether a claim is from a reader of this domain heard recently."""
        return (
            claim.heartbeat.failure_domain == self._ctx.settings.failure_domain
            and now - claim.heard_at < READER_SILENCE_LIMIT_S
        )

    def get_source_state(self, now: float) -> str:
        """Return the source state in the latest heartbeat of this failure domain."""
        domain = self._ctx.settings.failure_domain
        claims = [
            claim
            for claim in self._ctx.board.configuration.reader_claims.values()
            if claim.heartbeat.failure_domain == domain
            and now - claim.heard_at < HOLDER_TTL_S
        ]
        newest = max(claims, key=lambda claim: claim.heard_at, default=None)
        return "unknown" if newest is None else newest.heartbeat.source

    def set_contradicted(self, key: str, contradicted: bool, now: float) -> None:
        """Record whether a version of `key` is on hold because readers disagree."""
        since = self._ctx.board.configuration.contradiction_times
        if contradicted:
            since.setdefault(key, now)
        else:
            since.pop(key, None)

    def get_recent_heartbeats(self, limit: int, now: float) -> list[Heartbeat]:
        """Return the newest heartbeats, those of this failure domain first."""
        domain = self._ctx.settings.failure_domain
        fresh = [
            claim
            for claim in self._ctx.board.configuration.reader_claims.values()
            if now - claim.heard_at < HOLDER_TTL_S
        ]
        fresh.sort(
            key=lambda c: (c.heartbeat.failure_domain != domain, -c.heard_at),
        )
        return [add_age(c.heartbeat, now - c.heard_at) for c in fresh[:limit]]

    def run(self, now: float) -> None:
        """Remove expired claims and reports, and update which readers lag."""
        if now < self._next_prune:
            return
        self._next_prune = now + 1.0
        claims = self._ctx.board.configuration.reader_claims
        for name in [n for n, c in claims.items() if now - c.heard_at > CLAIM_TTL_S]:
            del claims[name]
        for claim in claims.values():
            self._update_lag(claim, now)
        running = self._ctx.board.configuration.running_texts
        for held, holders in list(self._holders.items()):
            peers = holders.peers
            text = running.get(held.key)
            for peer in [p for p, at in peers.items() if now - at > HOLDER_TTL_S]:
                del peers[peer]
            if not peers or (text is not None and held.version <= text.version):
                del self._holders[held]

    def next_deadline(self) -> float:
        """Return when `run` has work to do."""
        evaluation_times = (
            self._cached_targets.get(key, (NEVER,))[0] for key in self._changed_keys
        )
        return min(
            self._next_prune, min(evaluation_times, default=NEVER) + TARGET_INTERVAL_S
        )
