"""State of the reads of the configuration service, and their pace."""

from enum import Enum

from mangowell_core.blackboard import Text
from mangowell_core.distribution.context import NEVER
from mangowell_core.messages import KeyVersion

# Answers beyond this rate are coalesced further. It bounds reads and
# announcements in a burst of changes and when the source flaps.
ANSWER_BURST = 5.0
ANSWERS_PER_S = 1.0
# The source sends whole values. At the design scale a document is 15 to 23 KB
# under gzip, so 9,500 changes a day are up to 2.5 KB/s for a reader, of the
# 10 KB/s that it may spend. The burst lets five changes through at once,
# which keeps the 99th percentile of the wait at that mean rate below 0.2 s.
VALUE_BYTES_PER_S = 2_500.0
VALUE_BURST_BYTES = 80_000.0
# A change must be in force within 14 s; detecting a failed reader and passing
# the change on take up to 6 s of it.
MAX_PACE_DELAY_S = 8.0


class ReadState(Enum):
    """State of the read of one key."""

    IDLE = "idle"
    OPEN = "open"
    DELAYED = "delayed"


class KeyRead:
    """Read or watch of one key.

    `due` is when an open read is given up, or a delayed one starts. `expected`
    is a version that peers have passed on and that the open read offers to the
    source by its digest.
    """

    __slots__ = (
        "confirmed_at",
        "digest",
        "due",
        "expected",
        "failures",
        "key",
        "offered",
        "plain",
        "state",
        "tokens",
        "tokens_at",
        "version",
    )

    def __init__(self, key: str):
        self.key = key
        self.state = ReadState.IDLE
        self.due = NEVER
        self.digest = ""
        self.expected: KeyVersion | None = None
        self.offered = ""
        self.failures = 0
        self.plain = False
        self.tokens = ANSWER_BURST
        self.tokens_at = 0.0
        self.version = 0
        self.confirmed_at = -NEVER

    @property
    def after(self) -> str:
        """Digest that the source need not send."""
        return self.digest if self.expected is None else self.expected.digest

    def expect(self, text: Text | None) -> bool:
        """Offer a text to the source; return whether it is offered now.

        Each digest is offered once: a source that is stale answers an offer at
        once with its whole value, and would do so again and again.
        """
        self.expected = None
        if text is None or text.version <= self.version or text.digest == self.offered:
            return False
        self.offered = text.digest
        self.expected = text.to_key_version()
        return True

    def forget_expected(self) -> None:
        """Take back an offer that the source has not answered."""
        if self.expected is not None:
            self.expected = None
            self.offered = ""

    def take_token(self, now: float) -> float:
        """Count an answer; return how long the next read must wait, in seconds."""
        elapsed = max(0.0, now - self.tokens_at)
        self.tokens = min(ANSWER_BURST, self.tokens + elapsed * ANSWERS_PER_S) - 1
        self.tokens_at = now
        return max(0.0, -self.tokens / ANSWERS_PER_S)


class SourcePace:
    """Bounds the bytes that a reader takes from the source.

    A value's size is known only once it has arrived, so it is owed afterwards.
    """

    __slots__ = ("_at", "_owed")

    def __init__(self):
        self._owed = 0.0
        self._at = 0.0

    def take(self, size: int, now: float) -> float:
        """Count a value; return how long the next read must wait, in seconds."""
        elapsed = max(0.0, now - self._at)
        self._owed = max(0.0, self._owed - elapsed * VALUE_BYTES_PER_S) + size
        self._at = now
        excess = self._owed - VALUE_BURST_BYTES
        return min(MAX_PACE_DELAY_S, max(0.0, excess / VALUE_BYTES_PER_S))
