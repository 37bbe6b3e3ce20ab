"""Ledger of idempotency keys: a request with a key runs at most once.

The ledger of the owner is the only place that knows whether a key has run.
It is lost with its process, so whatever it cannot know is told as unknown.
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
    split_pinned,
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
MAX_ANSWER_BYTES = 65_536  # a longer answer is not kept, only that it was given
ENTRY_BYTES = 400  # entry, heap item and dictionary slot, without key and answer
FENCE_WAIT_S = 2.0  # promises that come later count as missing
# Routes allow timeouts of a day, and a deferrable request may wait as long. A
# key forgotten before its request ends would run a second time.
MAX_RUN_S = 90_000.0
MAX_RIVALS = 32  # promises that one call may ask for


class KeyState(Enum):
    """State of a key in the ledger; a key without an entry is absent."""

    ABSENT = "absent"
    ASKING = "asking"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    FENCED = "fenced"


# State and event to next state. A pair that is missing is refused and changes
# nothing. "fence" asks for a promise, which is given only if it leads to FENCED.
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
    # A run whose end is never told must not block its key for ever.
    (KeyState.RUNNING, "expire"): KeyState.UNKNOWN,
    (KeyState.DONE, "expire"): KeyState.ABSENT,
    (KeyState.UNKNOWN, "expire"): KeyState.ABSENT,
    (KeyState.FENCED, "expire"): KeyState.ABSENT,
}

# How long a state is kept. A promise outlives the run that it allowed.
KEPT_S = {
    KeyState.ASKING: FENCE_WAIT_S,
    KeyState.RUNNING: MAX_RUN_S,
    KeyState.DONE: RETENTION_S,
    KeyState.UNKNOWN: RETENTION_S,
    KeyState.FENCED: RETENTION_S + LIST_LAG_S,
}


class _Entry:
    __slots__ = (
        "answer",
        "ceded_to",
        "fingerprint",
        "size",
        "state",
        "until",
        "waiting",
    )

    def __init__(self):
        self.state = KeyState.ABSENT
        self.until = 0.0
        self.fingerprint = ""
        self.answer: StoredAnswer | None = None
        self.size = 0
        self.waiting: set[str] = set()
        self.ceded_to = ""  # who got the promise


class KeyLedger:
    """Ledger of one node for its own instance.

    Parameters
    ----------
    board : TrafficBoard
        Reads `started_at`.
    ownership : Ownership
    own, incarnation : str
        Instance and process, which pinned keys name.
    rng : random.Random
    max_entries, max_bytes : int
        When they are reached, new keys are refused; no entry is forgotten
        within its retention time.
    """

    __slots__ = (
        "_board",
        "_bytes",
        "_entries",
        "_expiries",
        "_incarnation",
        "_max_bytes",
        "_max_entries",
        "_own",
        "_ownership",
        "_rng",
    )

    def __init__(
        self,
        board,
        ownership: Ownership,
        own: str,
        incarnation: str,
        rng,
        max_entries: int = MAX_ENTRIES,
        max_bytes: int = MAX_BYTES,
    ):
        self._board = board
        self._ownership = ownership
        self._own = own
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
    def held_bytes(self) -> int:
        """Estimated size of all entries, with room reserved for running ones."""
        return self._bytes

    def find_state(self, service: str, key: str) -> KeyState:
        """Return the state of a key."""
        entry = self._entries.get((service, key))
        return KeyState.ABSENT if entry is None else entry.state

    def mint(self, now: float) -> str:
        """Issue a pinned key, valid for `RETENTION_S`.

        It carries the time of issue, so that a key that is used again after
        its entry has expired is refused instead of run a second time.
        """
        issued_ms = int(now * 1000)
        random = f"{issued_ms:x}-{self._rng.getrandbits(128):032x}"
        return f"{PINNED_PREFIX}{self._own}.{self._incarnation}.{random}"

    def begin(
        self, service: str, key: str, fingerprint: str, now: float
    ) -> KeyDecision:
        """Decide whether a key may run now."""
        self._expire(now)
        entry = self._entries.get((service, key))
        if entry is not None:
            return self._repeat(entry, fingerprint)
        if key.startswith(PINNED_PREFIX):
            refusal = self._check_pinned(key, now)
            return refusal or self._open(service, key, fingerprint, (), now)
        refusal = self._check_owner(service, key, now)
        if refusal is not None:
            return refusal
        rivals, lost = self._ownership.find_rivals(service, key, now)
        if lost:
            return refuse(
                Cause.KEY_UNKNOWN,
                f"{lost}, which may have run the key, has left; "
                "a key from /.mangowell/keys avoids this",
                retry_after_s=RETENTION_S,
            )
        if len(rivals) > MAX_RIVALS:
            return refuse(
                Cause.KEY_UNKNOWN,
                f"{len(rivals)} instances may have run the key, limit {MAX_RIVALS}",
                retry_after_s=RETENTION_S,
            )
        return self._open(service, key, fingerprint, rivals, now)

    def _repeat(self, entry: _Entry, fingerprint: str) -> KeyDecision:
        """Answer a call whose key has an entry."""
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
                    "the key has run; its answer was too long to be kept",
                )
            case KeyState.RUNNING | KeyState.ASKING:
                return refuse(Cause.KEY_IN_PROGRESS, "the key is in progress")
            case KeyState.FENCED:
                return refuse(
                    Cause.KEY_UNKNOWN, "the key was ceded to another instance"
                )
        return refuse(Cause.KEY_UNKNOWN, "the key's run had no known end")

    def _check_pinned(self, key: str, now: float) -> Refusal | None:
        parts = split_pinned(key)
        if parts is None or parts[0] != self._own or parts[1] != self._incarnation:
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
        owner = self._ownership.find_owner(service, key, now)
        if owner is None or owner.name != self._own:
            return refuse(
                Cause.KEY_OWNER_LOST,
                f"the key belongs to {owner.name if owner else 'no instance'}",
                retry_after_s=1.0,
            )
        wait_s = self._ownership.find_hold_end(service) - now
        if wait_s > 0.0:
            return refuse(
                Cause.KEY_UNKNOWN,
                "the owner started or was listed a short time ago; "
                "a key from /.mangowell/keys runs at once",
                retry_after_s=wait_s,
            )
        return None

    def _open(self, service, key, fingerprint, rivals, now: float) -> KeyDecision:
        size = ENTRY_BYTES + len(key) + len(fingerprint) + MAX_ANSWER_BYTES
        refusal = self._check_room(size, now, is_sure=not rivals)
        if refusal is not None:
            return refusal
        entry = _Entry()
        entry.fingerprint = fingerprint
        entry.size = size
        entry.waiting = {item.name for item in rivals}
        self._bytes += size
        self._entries[service, key] = entry
        self._step(service, key, entry, "ask" if rivals else "run", now)
        return AskFences(rivals) if rivals else RunKey()

    def _check_room(self, size: int, now: float, is_sure: bool) -> Refusal | None:
        full = len(self._entries) >= self._max_entries
        if not full and self._bytes + size <= self._max_bytes:
            return None
        wait_s = self._expiries[0][0] - now if self._expiries else 1.0
        return refuse(
            Cause.OVERLOADED,
            "the ledger of keys is full",
            retry_after_s=max(1.0, wait_s),
            outcome=None if is_sure else Outcome.UNKNOWN,
        )

    def take_promise(
        self, service: str, key: str, instance: str, promised: bool, now: float
    ) -> KeyDecision | None:
        """Take a reply; return the decision once it is certain.

        A late, duplicate or unasked reply changes nothing. The caller passes
        only replies to the queries of the present round.
        """
        self._expire(now)
        entry = self._entries.get((service, key))
        if entry is None or entry.state is not KeyState.ASKING:
            return None
        if instance not in entry.waiting:
            return None
        if not promised:
            self._step(service, key, entry, "withdraw", now)
            return refuse(
                Cause.KEY_UNKNOWN,
                f"{instance} may have run the key",
                retry_after_s=1.0,
            )
        entry.waiting.discard(instance)
        if entry.waiting:
            return None
        self._step(service, key, entry, "run", now)
        return RunKey()

    def finish(
        self, service: str, key: str, answer: StoredAnswer | None, now: float
    ) -> None:
        """Record the end of a run; without an answer its outcome is unknown."""
        entry = self._entries.get((service, key))
        if entry is None:
            return
        event = "lose" if answer is None else "answer"
        if not self._step(service, key, entry, event, now):
            return
        size = ENTRY_BYTES + len(key) + len(entry.fingerprint)
        if answer is not None:
            answer_size = measure_answer(answer)
            if answer_size <= MAX_ANSWER_BYTES:
                entry.answer = answer
                size += answer_size
        self._bytes += size - entry.size
        entry.size = size

    def withdraw(self, service: str, key: str, now: float) -> None:
        """Undo `begin`: no byte of the request reached the backend server."""
        entry = self._entries.get((service, key))
        if entry is not None:
            self._step(service, key, entry, "withdraw", now)

    def promise(self, query: FenceQuery, sender: str, now: float) -> FenceReply:
        """Promise never to run a key, if it certainly has not run here.

        A promise is given to one instance only: after it, that one may have
        run the key, so another one that asks is denied.
        """
        self._expire(now)
        service, key = query.service, query.idempotency_key
        promised = self._cede(service, key, sender, now)
        return FenceReply(service, key, query.request, promised)

    def _cede(self, service: str, key: str, sender: str, now: float) -> bool:
        if now - self._board.started_at < RETENTION_S:
            # An earlier process of this name may have run it.
            return False
        entry = self._entries.get((service, key))
        if entry is not None:
            if entry.ceded_to != sender:
                return False
            return self._step(service, key, entry, "fence", now)
        size = ENTRY_BYTES + len(key)
        if self._check_room(size, now, is_sure=True) is not None:
            return False
        entry = _Entry()
        entry.size = size
        entry.ceded_to = sender
        self._bytes += size
        self._entries[service, key] = entry
        return self._step(service, key, entry, "fence", now)

    def _step(self, service, key, entry: _Entry, event: str, now: float) -> bool:
        state = TRANSITIONS.get((entry.state, event))
        if state is None:
            return False
        entry.state = state
        if state is KeyState.ABSENT:
            del self._entries[service, key]
            self._bytes -= entry.size
            return True
        entry.until = now + KEPT_S[state]
        heappush(self._expiries, (entry.until, (service, key)))
        return True

    def _expire(self, now: float) -> None:
        expiries = self._expiries
        while expiries and expiries[0][0] <= now:
            until, name = heappop(expiries)
            entry = self._entries.get(name)
            if entry is not None and entry.until == until:
                self._step(*name, entry, "expire", now)


def measure_answer(answer: StoredAnswer) -> int:
    """Return the size of an answer in bytes, with an estimate for its headers."""
    headers = sum(len(name) + len(value) + 100 for name, value in answer.headers)
    return len(answer.body) + headers + 100
