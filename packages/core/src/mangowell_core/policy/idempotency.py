"""Ledger of idempotency keys: a request with a key runs at most once.

Only the ledger of a key's owner knows whether the key has run. The ledger is
lost with its process, so an outcome that the ledger cannot know is reported as
unknown.
"""

from enum import Enum
from heapq import heappop, heappush

from mangowell_core.messages import FenceQuery, FenceReply
from mangowell_core.policy.outcome import refuse
from mangowell_core.policy.ownership import (
    LIST_LAG_S,
    PINNED_PREFIX,
    RETENTION_S,
    Ownership,
    parse_pinned_key,
)
from mangowell_core.policy.types import (
    AskFences,
    Cause,
    KeyDecision,
    Outcome,
    Refusal,
    ReplayKey,
    RunKey,
    StoredAnswer,
)

MAX_ENTRIES = 65_536  # 109 keys/s over the retention time
MAX_BYTES = 64 * 1024 * 1024
MAX_ANSWER_BYTES = 65_536  # of a longer answer, only its existence is recorded
ENTRY_BYTES = 400  # entry, heap item and dictionary slot, without key and answer
FENCE_TIMEOUT_S = 2.0  # a later promise counts as missing
# Routes allow timeouts of a day, and a deferrable request may wait as long. A
# key that is removed before its request ends could run a second time.
MAX_RUN_S = 90_000.0
MAX_POSSIBLE_RUNNERS = 32  # instances that one call may ask for a promise


class KeyState(Enum):
    """State of a key in the ledger; a key without an entry is absent."""

    ABSENT = "absent"
    ASKING = "asking"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    FENCED = "fenced"


# Maps (state, event) to the next state. A pair that is missing is refused and
# changes nothing. The event "fence" asks for a promise, which is given only if
# the next state is FENCED.
TRANSITIONS = {
    (KeyState.ABSENT, "ask"): KeyState.ASKING,
    (KeyState.ABSENT, "run"): KeyState.RUNNING,
    (KeyState.ABSENT, "fence"): KeyState.FENCED,
    (KeyState.ASKING, "run"): KeyState.RUNNING,
    (KeyState.ASKING, "withdraw"): KeyState.ABSENT,
    (KeyState.RUNNING, "withdraw"): KeyState.ABSENT,
    (KeyState.RUNNING, "answer"): KeyState.DONE,
    (KeyState.RUNNING, "lose"): KeyState.UNKNOWN,
    (KeyState.UNKNOWN, "answer"): KeyState.DONE,
    (KeyState.FENCED, "fence"): KeyState.FENCED,
    (KeyState.ASKING, "expire"): KeyState.ABSENT,
    # A run whose end is never reported must not block its key for ever.
    (KeyState.RUNNING, "expire"): KeyState.UNKNOWN,
    (KeyState.DONE, "expire"): KeyState.ABSENT,
    (KeyState.UNKNOWN, "expire"): KeyState.ABSENT,
    (KeyState.FENCED, "expire"): KeyState.ABSENT,
}

# How long a key stays in a state. A promise outlives the run that it allowed.
STATE_LIFETIME_S = {
    KeyState.ASKING: FENCE_TIMEOUT_S,
    KeyState.RUNNING: MAX_RUN_S,
    KeyState.DONE: RETENTION_S,
    KeyState.UNKNOWN: RETENTION_S,
    KeyState.FENCED: RETENTION_S + LIST_LAG_S,
}


class _Entry:
    """State of one key."""

    __slots__ = (
        "answer",
        "expires_at",
        "fenced_for",
        "fingerprint",
        "pending_replies",
        "size",
        "state",
    )

    def __init__(self):
        self.state = KeyState.ABSENT
        self.expires_at = 0.0
        self.fingerprint = ""
        self.answer: StoredAnswer | None = None
        self.size = 0
        self.pending_replies: set[str] = set()
        self.fenced_for = ""  # instance that received the promise


class KeyLedger:
    """Records which idempotency keys have run at the local instance.

    Parameters
    ----------
    board : TrafficBoard
        Reads `started_at`.
    ownership : Ownership
        Selects the owner of a plain key and the instances that may have run it.
    local_instance, incarnation : str
        Instance and process that pinned keys name.
    rng : random.Random
        Source of the random part of pinned keys.
    max_entries, max_bytes : int
        Limits at which new keys are refused. No entry is removed within its
        retention time.
    """

    __slots__ = (
        "_board",
        "_bytes",
        "_entries",
        "_expiries",
        "_incarnation",
        "_local_instance",
        "_max_bytes",
        "_max_entries",
        "_ownership",
        "_rng",
    )

    def __init__(
        self,
        board,
        ownership: Ownership,
        local_instance: str,
        incarnation: str,
        rng,
        max_entries: int = MAX_ENTRIES,
        max_bytes: int = MAX_BYTES,
    ):
        self._board = board
        self._ownership = ownership
        self._local_instance = local_instance
        self._incarnation = incarnation
        self._rng = rng
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._bytes = 0
        self._entries: dict[tuple[str, str], _Entry] = {}
        self._expiries: list[tuple[float, tuple[str, str]]] = []

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def estimated_bytes(self) -> int:
        """Estimated size of all entries; reserves the answers of running keys."""
        return self._bytes

    def get_state(self, service: str, key: str) -> KeyState:
        """Return the state of a key, without applying expiry."""
        entry = self._entries.get((service, key))
        return KeyState.ABSENT if entry is None else entry.state

    def issue_pinned_key(self, now: float) -> str:
        """Issue a pinned key, valid for `RETENTION_S`.

        The key contains its time of issue, so that a key that is used again
        after its entry has expired is refused and does not run a second time.
        """
        issued_ms = int(now * 1000)
        random = f"{issued_ms:x}-{self._rng.getrandbits(128):032x}"
        return f"{PINNED_PREFIX}{self._local_instance}.{self._incarnation}.{random}"

    def begin(
        self, service: str, key: str, fingerprint: str, now: float
    ) -> KeyDecision:
        """Decide whether a key may run now."""
        self._expire(now)
        entry = self._entries.get((service, key))
        if entry is not None:
            return self._decide_known_key(entry, fingerprint)
        if key.startswith(PINNED_PREFIX):
            refusal = self._check_pinned(key, now)
            return refusal or self._admit_key(service, key, fingerprint, (), now)
        refusal = self._check_owner(service, key, now)
        if refusal is not None:
            return refusal
        possible_runners, lost_instance = self._ownership.select_possible_runners(
            service, key, now
        )
        if lost_instance:
            return refuse(
                Cause.KEY_UNKNOWN,
                f"instance {lost_instance}, which may have run the key, has left; "
                "a key from /.mangowell/keys avoids this",
                retry_after_s=RETENTION_S,
            )
        if len(possible_runners) > MAX_POSSIBLE_RUNNERS:
            return refuse(
                Cause.KEY_UNKNOWN,
                f"{len(possible_runners)} instances may have run the key, "
                f"limit {MAX_POSSIBLE_RUNNERS}",
                retry_after_s=RETENTION_S,
            )
        return self._admit_key(service, key, fingerprint, possible_runners, now)

    def _decide_known_key(self, entry: _Entry, fingerprint: str) -> KeyDecision:
        """Decide on a call whose key has an entry."""
        if fingerprint and entry.fingerprint and fingerprint != entry.fingerprint:
            return refuse(
                Cause.KEY_REUSED, "the key was used before for another request"
            )
        match entry.state:
            case KeyState.DONE if entry.answer is not None:
                return ReplayKey(entry.answer)
            case KeyState.DONE:
                return Refusal(
                    Outcome.DONE,
                    Cause.NONE,
                    409,
                    0.0,
                    "the key has run; its answer was too long to be stored",
                )
            case KeyState.RUNNING | KeyState.ASKING:
                return refuse(Cause.KEY_IN_PROGRESS, "the key is in progress")
            case KeyState.FENCED:
                return refuse(
                    Cause.KEY_UNKNOWN, "the key was ceded to another instance"
                )
        return refuse(Cause.KEY_UNKNOWN, "the key's run had no known end")

    def _check_pinned(self, key: str, now: float) -> Refusal | None:
        parts = parse_pinned_key(key)
        if (
            parts is None
            or parts[0] != self._local_instance
            or parts[1] != self._incarnation
        ):
            return refuse(
                Cause.KEY_OWNER_LOST, "the process that issued the key is gone"
            )
        issued, _, random = parts[2].partition("-")
        try:
            issued_s = int(issued, 16) / 1000 if random else float("inf")
        except ValueError:
            issued_s = float("inf")
        if not now - RETENTION_S < issued_s <= now:
            return refuse(Cause.KEY_UNKNOWN, "the key has expired")
        return None

    def _check_owner(self, service: str, key: str, now: float) -> Refusal | None:
        owner = self._ownership.select_owner(service, key, now)
        if owner is None or owner.name != self._local_instance:
            return refuse(
                Cause.KEY_OWNER_LOST,
                f"the key belongs to {owner.name if owner else 'no instance'}",
                retry_after_s=1.0,
            )
        wait_s = self._ownership.compute_hold_end(service) - now
        if wait_s > 0.0:
            return refuse(
                Cause.KEY_UNKNOWN,
                "the owner started or was listed a short time ago; "
                "a key from /.mangowell/keys runs at once",
                retry_after_s=wait_s,
            )
        return None

    def _admit_key(
        self, service, key, fingerprint, possible_runners, now: float
    ) -> KeyDecision:
        size = ENTRY_BYTES + len(key) + len(fingerprint) + MAX_ANSWER_BYTES
        refusal = self._check_capacity(size, now, is_known_not_run=not possible_runners)
        if refusal is not None:
            return refusal
        entry = _Entry()
        entry.fingerprint = fingerprint
        entry.size = size
        entry.pending_replies = {item.name for item in possible_runners}
        self._bytes += size
        self._entries[service, key] = entry
        self._apply_event(
            service, key, entry, "ask" if possible_runners else "run", now
        )
        return AskFences(possible_runners) if possible_runners else RunKey()

    def _check_capacity(
        self, size: int, now: float, is_known_not_run: bool
    ) -> Refusal | None:
        full = len(self._entries) >= self._max_entries
        if not full and self._bytes + size <= self._max_bytes:
            return None
        wait_s = self._expiries[0][0] - now if self._expiries else 1.0
        return refuse(
            Cause.OVERLOADED,
            "the ledger of keys is full",
            retry_after_s=max(1.0, wait_s),
            outcome=None if is_known_not_run else Outcome.UNKNOWN,
        )

    def handle_fence_reply(
        self, service: str, key: str, instance: str, promised: bool, now: float
    ) -> KeyDecision | None:
        """Handle a reply to a fence query; return the decision once it is certain.

        A late, duplicate or unsolicited reply changes nothing. The caller passes
        only replies to the queries of the current round.
        """
        self._expire(now)
        entry = self._entries.get((service, key))
        if entry is None or entry.state is not KeyState.ASKING:
            return None
        if instance not in entry.pending_replies:
            return None
        if not promised:
            self._apply_event(service, key, entry, "withdraw", now)
            return refuse(
                Cause.KEY_UNKNOWN,
                f"{instance} may have run the key",
                retry_after_s=1.0,
            )
        entry.pending_replies.discard(instance)
        if entry.pending_replies:
            return None
        self._apply_event(service, key, entry, "run", now)
        return RunKey()

    def finish(
        self, service: str, key: str, answer: StoredAnswer | None, now: float
    ) -> None:
        """Record the end of a run; without an answer the outcome is unknown."""
        entry = self._entries.get((service, key))
        if entry is None:
            return
        event = "lose" if answer is None else "answer"
        if not self._apply_event(service, key, entry, event, now):
            return
        size = ENTRY_BYTES + len(key) + len(entry.fingerprint)
        if answer is not None:
            answer_size = estimate_answer_bytes(answer)
            if answer_size <= MAX_ANSWER_BYTES:
                entry.answer = answer
                size += answer_size
        self._bytes += size - entry.size
        entry.size = size

    def withdraw(self, service: str, key: str, now: float) -> None:
        """Undo `begin`; no byte of the request may have reached the backend server."""
        entry = self._entries.get((service, key))
        if entry is not None:
            self._apply_event(service, key, entry, "withdraw", now)

    def handle_fence_query(
        self, query: FenceQuery, sender: str, now: float
    ) -> FenceReply:
        """Promise never to run a key if it certainly has not run here.

        A promise is given to one instance only. That instance may run the key
        afterwards, so any other instance that asks is denied.
        """
        self._expire(now)
        service, key = query.service, query.idempotency_key
        promised = self._grant_fence(service, key, sender, now)
        return FenceReply(service, key, query.request, promised)

    def _grant_fence(self, service: str, key: str, sender: str, now: float) -> bool:
        if now - self._board.started_at < RETENTION_S:
            # An earlier process of this instance may have run the key.
            return False
        entry = self._entries.get((service, key))
        if entry is not None:
            if entry.fenced_for != sender:
                return False
            return self._apply_event(service, key, entry, "fence", now)
        size = ENTRY_BYTES + len(key)
        if self._check_capacity(size, now, is_known_not_run=True) is not None:
            return False
        entry = _Entry()
        entry.size = size
        entry.fenced_for = sender
        self._bytes += size
        self._entries[service, key] = entry
        return self._apply_event(service, key, entry, "fence", now)

    def _apply_event(self, service, key, entry: _Entry, event: str, now: float) -> bool:
        """Move an entry to its next state; return whether there is one."""
        state = TRANSITIONS.get((entry.state, event))
        if state is None:
            return False
        entry.state = state
        if state is KeyState.ABSENT:
            del self._entries[service, key]
            self._bytes -= entry.size
            return True
        entry.expires_at = now + STATE_LIFETIME_S[state]
        heappush(self._expiries, (entry.expires_at, (service, key)))
        return True

    def _expire(self, now: float) -> None:
        expiries = self._expiries
        while expiries and expiries[0][0] <= now:
            expires_at, name = heappop(expiries)
            entry = self._entries.get(name)
            if entry is not None and entry.expires_at == expires_at:
                self._apply_event(*name, entry, "expire", now)


def estimate_answer_bytes(answer: StoredAnswer) -> int:
    """Return the size of an answer in bytes; the size of headers is estimated."""
    headers = sum(len(name) + len(value) + 100 for name, value in answer.headers)
    return len(answer.body) + headers + 100
