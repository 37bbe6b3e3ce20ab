"""Evidence for versions: which reader got what from the source, and when.

A version is accepted when this node has read it from the source, when two
readers claim it, or when one claims it and no other reader contradicts. A reader
contradicts when the source confirmed a lower version to it after the claimed
version was first read. The first reading counts, not the latest confirmation, so
a faulty reader cannot end a contradiction by repeating its claim.
"""

from enum import Enum

import msgspec

from mangowell_core.blackboard import Claim, Sighting, SourceState
from mangowell_core.distribution.context import NEVER, Context, describe_peer
from mangowell_core.distribution.io import Peer
from mangowell_core.events import EventCode
from mangowell_core.messages import Heartbeat, KeyVersion

# Evidence is dropped after this time without a newer heartbeat. Ten watch
# periods of 3 s cover the slowest takeover (6 s) and one lost digest exchange.
CLAIM_TTL_S = 30.0
# A peer's statement that it holds a version; renewed by each digest exchange.
HOLDER_TTL_S = 10.0
# 16 domains with 2 readers each need 32; the rest covers takeovers.
MAX_CLAIMS = 128
MAX_HOLDERS = 64
SIGHTINGS_KEPT = 4
# Time given to the second reader to confirm or contradict. Its check of the
# source takes 0.2 s plus a round trip and the way down the tree.
LONE_CLAIM_GRACE_S = 0.5
# Readers do not check what only other nodes hold, but their watches end within
# 8 s, and the confirmation needs up to a second to arrive.
HOLDER_GRACE_S = 9.0
# A reader confirms what the source shows at least that often. An older
# confirmation is of a version that the source has replaced since, maybe by an
# invalid one that cannot be claimed, so it contradicts nothing any more.
CONTRADICTION_TTL_S = 9.5
# The time on the way is not part of an age, so a confirmation seems later than it
# was. A reader that checks a claim does so at least 0.2 s after it.
SKEW_S = 0.1
# A reader that has been silent for this long does not delay a lone claim.
READER_FRESH_S = 2.5
# Targets are evaluated at most this often, so that a peer that sends very many
# versions costs little processor time.
TARGET_INTERVAL_S = 0.05
MAX_VERSION = 2**62
STATES = frozenset(("up", "down", "stale"))


class Verdict(Enum):
    """Judgement of one version."""

    ACCEPT = "accept"
    WAIT = "wait"
    HOLD = "hold"


def check_key_version(held: KeyVersion, keys: tuple[str, ...]) -> str:
    """Return what is wrong with a peer's key, version and digest, or ``""``."""
    if held.key not in keys:
        return f"unknown key {held.key[:80]!r}"
    if not 1 <= held.version <= MAX_VERSION:
        return f"version {held.version} out of range"
    if len(held.digest) != 64:
        return "digest is not 64 characters long"
    return ""


def add_age(heartbeat: Heartbeat, seconds: float) -> Heartbeat:
    """Return a heartbeat as it must be passed on after some time."""
    age = round(seconds * 1000)
    return msgspec.structs.replace(
        heartbeat,
        confirmed_age_ms=heartbeat.confirmed_age_ms + age,
        held_ages_ms=[held_age + age for held_age in heartbeat.held_ages_ms],
    )


class Holders:
    """Peers that hold a version no reader may claim any more.

    `first_at` and `since` are fixed by the first peer, so that a faulty one
    cannot renew its claim.
    """

    __slots__ = ("first_at", "heard_at", "peers", "since")

    def __init__(self, first_at: float, now: float):
        self.first_at = first_at
        self.since = now
        self.heard_at = now
        self.peers: dict[Peer, float] = {}


class Corroboration:
    """Controller that records evidence and judges versions by it."""

    __slots__ = (
        "_changed",
        "_ctx",
        "_holders",
        "_next_prune",
        "_reported",
        "_targets",
    )

    def __init__(self, ctx: Context):
        self._ctx = ctx
        self._holders: dict[KeyVersion, Holders] = {}
        self._reported: dict[KeyVersion, None] = {}
        self._targets: dict[str, tuple[float, KeyVersion | None]] = {}
        self._changed: set[str] = set()
        self._next_prune = 0.0

    def check_heartbeat(self, heartbeat: Heartbeat) -> str:
        """Return what is wrong with a heartbeat's content, or ``""``."""
        if heartbeat.source not in STATES:
            return f"unknown source state {heartbeat.source[:80]!r}"
        if heartbeat.sequence < 1:
            return "sequence out of range"
        if min(heartbeat.confirmed_age_ms, *heartbeat.held_ages_ms, 0) < 0:
            return "negative age"
        if len(heartbeat.held_ages_ms) != len(heartbeat.held):
            return "ages do not match the keys of a heartbeat"
        if not 0 < heartbeat.incarnation <= MAX_VERSION:
            return "incarnation out of range"
        if len(heartbeat.held) > len(self._ctx.keys):
            return "too many keys in a heartbeat"
        for held in heartbeat.held:
            problem = check_key_version(held, self._ctx.keys)
            if problem:
                return problem
        return ""

    def record(self, heartbeat: Heartbeat, sender: Peer, now: float) -> bool:
        """Record a heartbeat; return whether it is newer than those known."""
        problem = self.check_heartbeat(heartbeat)
        if problem:
            self._ctx.drop(sender, problem)
            return False
        if heartbeat.reader == self._ctx.instance:
            return False
        claims = self._ctx.board.configuration.claims
        claim = claims.get(heartbeat.reader)
        if claim is None:
            self._evict_claim()
            claim = claims[heartbeat.reader] = Claim(heartbeat, now, "")
        else:
            known = claim.heartbeat
            order = (heartbeat.incarnation, heartbeat.sequence)
            if order <= (known.incarnation, known.sequence):
                return False
        claim.heartbeat = heartbeat
        claim.heard_at = now
        claim.via = describe_peer(sender)
        for held, age_ms in zip(heartbeat.held, heartbeat.held_ages_ms, strict=True):
            self._record_sighting(claim, held, now - age_ms / 1000)
            self._changed.add(held.key)
            self.report_seen(held, heartbeat.reader)
        self._update_lag(claim, now)
        return True

    def _record_sighting(
        self, claim: Claim, held: KeyVersion, confirmed_at: float
    ) -> None:
        sightings = claim.sightings.setdefault(held.key, [])
        for index, sighting in enumerate(sightings):
            if (sighting.version, sighting.digest) == (held.version, held.digest):
                sighting.confirmed_at = max(sighting.confirmed_at, confirmed_at)
                sightings.insert(0, sightings.pop(index))
                return
        sightings.insert(
            0, Sighting(held.version, held.digest, confirmed_at, confirmed_at)
        )
        del sightings[SIGHTINGS_KEPT:]

    def _update_lag(self, claim: Claim, now: float) -> None:
        held = self._ctx.board.configuration.held
        versions = {entry.key: entry.version for entry in claim.heartbeat.held}
        lags = any(versions.get(key, 0) < text.version for key, text in held.items())
        claim.lagging_since = min(claim.lagging_since, now) if lags else NEVER

    def _evict_claim(self) -> None:
        claims = self._ctx.board.configuration.claims
        if len(claims) < MAX_CLAIMS:
            return
        view = self._ctx.board.membership.view
        oldest = min(claims, key=lambda name: (name in view, claims[name].heard_at))
        del claims[oldest]

    def record_holder(
        self, held: KeyVersion, peer: Peer, first_at: float, now: float
    ) -> None:
        """Record that a peer holds a version, which alone is weak evidence.

        Parameters
        ----------
        held : KeyVersion
        peer : Peer
        first_at : float
            When a reader first got the version, by the peer's account.
        now : float
        """
        running = self._ctx.board.configuration.held.get(held.key)
        if running is not None and held.version <= running.version:
            return
        if held not in self._holders and len(self._holders) >= MAX_HOLDERS:
            oldest = min(self._holders, key=lambda k: self._holders[k].heard_at)
            del self._holders[oldest]
        holders = self._holders.setdefault(held, Holders(first_at, now))
        holders.heard_at = now
        self._changed.add(held.key)
        peers = holders.peers
        self.report_seen(held, describe_peer(peer))
        peers[peer] = now
        if len(peers) > SIGHTINGS_KEPT:
            del peers[min(peers, key=peers.__getitem__)]

    def report_seen(self, held: KeyVersion, peer: str) -> None:
        """Report a version above the running one when it is first heard of."""
        running = self._ctx.board.configuration.held.get(held.key)
        lowest = 0 if running is None else running.version
        if held.version <= lowest or held in self._reported:
            return
        self._reported[held] = None
        if len(self._reported) > MAX_HOLDERS:
            del self._reported[next(iter(self._reported))]
        self._ctx.emit(
            EventCode.VERSION_SEEN,
            key=held.key,
            version=held.version,
            digest=held.digest,
            peer=peer,
        )

    def find_holders(self, held: KeyVersion) -> list[Peer]:
        """Return peers that hold a version, those heard last first."""
        holders = self._holders.get(held)
        peers = {} if holders is None else holders.peers
        found = sorted(peers, key=peers.__getitem__, reverse=True)
        known = {peer.instance for peer in found}
        for name, claim in self._ctx.board.configuration.claims.items():
            if held in claim.heartbeat.held and name not in known:
                peer = self._ctx.find_peer(name)
                if peer is not None:
                    found.append(peer)
        return found

    def _claimed(self, key: str) -> set[KeyVersion]:
        return {
            held
            for claim in self._ctx.board.configuration.claims.values()
            for held in claim.heartbeat.held
            if held.key == key
        }

    def find_target(
        self, key: str, now: float, exact: bool = False
    ) -> KeyVersion | None:
        """Return the highest version that is worth fetching, if any.

        Unless `exact` is set, the result may be `TARGET_INTERVAL_S` old.
        """
        running = self._ctx.board.configuration.held.get(key)
        lowest = 0 if running is None else running.version
        at, target = self._targets.get(key, (-NEVER, None))
        is_current = target is None or target.version > lowest
        if exact or now - at >= TARGET_INTERVAL_S or not is_current:
            target = self._choose_target(key, lowest, now)
            self._targets[key] = now, target
            self._changed.discard(key)
        return target

    def _choose_target(self, key: str, lowest: int, now: float) -> KeyVersion | None:
        refused = self._ctx.board.configuration.refused
        versions: dict[int, list[KeyVersion]] = {}
        for held in self._claimed(key) | {h for h in self._holders if h.key == key}:
            if (
                held.version > lowest
                and (key, held.version, held.digest) not in refused
            ):
                versions.setdefault(held.version, []).append(held)
        for version in sorted(versions, reverse=True):
            found = versions[version]
            if len(found) > 1:
                # One version can have two digests; the one that more nodes hold
                # is easier to get.
                found.sort(key=lambda h: (-len(self.find_holders(h)), h.digest))
            for held in found:
                if self.judge(held, now) is not Verdict.HOLD:
                    return held
        return None

    def judge(self, held: KeyVersion, now: float) -> Verdict:
        """Judge whether a version is corroborated."""
        board = self._ctx.board.configuration
        own = board.given.get(held.key)
        if own is not None and (own.version, own.digest) == (held.version, held.digest):
            return Verdict.ACCEPT
        supporters = self._find_supporters(held)
        if len(supporters) >= 2 and len({c.via for c, _ in supporters}) >= 2:
            return Verdict.ACCEPT
        first_at, grace_until = self._find_start(held, supporters)
        names = {claim.heartbeat.reader for claim, _ in supporters}
        if (
            own is not None
            and own.version < held.version
            and own.confirmed_at > max(first_at + SKEW_S, now - CONTRADICTION_TTL_S)
        ):
            return Verdict.HOLD
        verdict = Verdict.ACCEPT
        if (
            own is not None
            and board.source is SourceState.UP
            and self._ctx.board.membership.is_reader
            and now < grace_until
        ):
            # This node is itself the second reader and checks the source first.
            verdict = Verdict.WAIT if supporters else Verdict.HOLD
        for claim in board.claims.values():
            if claim.heartbeat.source != "up" or claim.heartbeat.reader in names:
                continue
            sightings = claim.sightings.get(held.key)
            if not sightings or sightings[0].version >= held.version:
                continue
            earliest = max(first_at + SKEW_S, now - CONTRADICTION_TTL_S)
            if sightings[0].confirmed_at > earliest:
                return Verdict.HOLD
            if now < grace_until and self._is_present(claim, now):
                verdict = Verdict.WAIT if supporters else Verdict.HOLD
        return verdict

    def _find_start(
        self, held: KeyVersion, supporters: list[tuple[Claim, Sighting]]
    ) -> tuple[float, float]:
        """Return when a version was first read, and how long others may object."""
        if supporters:
            first_at = min(sighting.first_at for _, sighting in supporters)
            return first_at, first_at + LONE_CLAIM_GRACE_S
        holders = self._holders.get(held)
        if holders is None:
            return -NEVER, NEVER
        return holders.first_at, holders.since + HOLDER_GRACE_S

    def _find_supporters(self, held: KeyVersion) -> list[tuple[Claim, Sighting]]:
        return [
            (claim, sighting)
            for claim in self._ctx.board.configuration.claims.values()
            for sighting in claim.sightings.get(held.key, ())
            if (sighting.version, sighting.digest) == (held.version, held.digest)
        ]

    def find_first_read(self, held: KeyVersion) -> float:
        """Return when a reader first got a version, or infinity if unknown."""
        return self._find_start(held, self._find_supporters(held))[0]

    def _is_present(self, claim: Claim, now: float) -> bool:
        """Return whether a reader of this domain is expected to react."""
        return (
            claim.heartbeat.failure_domain == self._ctx.settings.failure_domain
            and now - claim.heard_at < READER_FRESH_S
        )

    def find_source_state(self, now: float) -> str:
        """Return what the readers of this domain last said of the source."""
        domain = self._ctx.settings.failure_domain
        claims = [
            claim
            for claim in self._ctx.board.configuration.claims.values()
            if claim.heartbeat.failure_domain == domain
            and now - claim.heard_at < HOLDER_TTL_S
        ]
        newest = max(claims, key=lambda claim: claim.heard_at, default=None)
        return "unknown" if newest is None else newest.heartbeat.source

    def set_contradicted(self, key: str, contradicted: bool, now: float) -> None:
        """Record whether a version of `key` is held because readers disagree."""
        since = self._ctx.board.configuration.contradicted_since
        if contradicted:
            since.setdefault(key, now)
        else:
            since.pop(key, None)

    def find_heartbeats(self, limit: int, now: float) -> list[Heartbeat]:
        """Return the newest heartbeats, those of the own domain first."""
        domain = self._ctx.settings.failure_domain
        fresh = [
            claim
            for claim in self._ctx.board.configuration.claims.values()
            if now - claim.heard_at < HOLDER_TTL_S
        ]
        fresh.sort(
            key=lambda c: (c.heartbeat.failure_domain != domain, -c.heard_at),
        )
        return [add_age(c.heartbeat, now - c.heard_at) for c in fresh[:limit]]

    def run(self, now: float) -> None:
        """Drop old evidence and update which readers lag behind."""
        if now < self._next_prune:
            return
        self._next_prune = now + 1.0
        claims = self._ctx.board.configuration.claims
        for name in [n for n, c in claims.items() if now - c.heard_at > CLAIM_TTL_S]:
            del claims[name]
        for claim in claims.values():
            self._update_lag(claim, now)
        running = self._ctx.board.configuration.held
        for held, holders in list(self._holders.items()):
            peers = holders.peers
            text = running.get(held.key)
            for peer in [p for p, at in peers.items() if now - at > HOLDER_TTL_S]:
                del peers[peer]
            if not peers or (text is not None and held.version <= text.version):
                del self._holders[held]

    def next_deadline(self) -> float:
        """Return when `run` has work to do."""
        evaluated = (self._targets.get(key, (NEVER,))[0] for key in self._changed)
        return min(self._next_prune, min(evaluated, default=NEVER) + TARGET_INTERVAL_S)
