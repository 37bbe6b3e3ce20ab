"""State and rate limits of reads of the configuration service."""

from enum import Enum

from mangowell_core.blackboard import VersionedText
from mangowell_core.distribution.context import NEVER
from mangowell_core.messages import KeyVersion

# Token bucket for each key: bounds reads and announcements during a burst of
# changes or while the source flaps. Changes beyond the rate are coalesced.
RESPONSE_BURST = 5.0
RESPONSES_PER_S = 1.0
# The source sends whole values. At the design scale a document has 15 to 23 KB
# with gzip, so 9,500 changes a day need up to 2.5 KB/s of a reader's budget of
# 10 KB/s. The burst admits five changes at once, which keeps the 99th percentile
# of the wait below 0.2 s at that mean rate.
VALUE_BYTES_PER_S = 2_500.0
VALUE_BURST_BYTES = 80_000.0
# A change must be in force within 14 s. Detecting a failed reader and propagating
# the change take up to 6 s of that time.
MAX_PACE_DELAY_S = 8.0


class ReadState(Enum):
    """State of the read of one key."""

    IDLE = "idle"
    OPEN = "open"
    DELAYED = "delayed"


class KeyRead:
    """State of the read or watch of one key.

    An `immediate` read returns at once; a watch waits for a change. `due_at` is when
    an open read times out or a delayed read starts. `pending_offer` is a version
    received from peers whose digest the open read sends to the source.
    """

    __slots__ = (
        "confirmed_at",
        "digest",
        "due_at",
        "failures",
        "immediate",
        "key",
        "last_offered_digest",
        "pending_offer",
        "state",
        "tokens",
        "tokens_updated_at",
        "version",
    )

    def __init__(self, key: str):
        self.key = key
        self.state = ReadState.IDLE
        self.due_at = NEVER
        self.digest = ""
        self.pending_offer: KeyVersion | None = None
        self.last_offered_digest = ""
        self.failures = 0
        self.immediate = False
        self.tokens = RESPONSE_BURST
        self.tokens_updated_at = 0.0
        self.version = 0
        self.confirmed_at = -NEVER

    @property
    def known_digest(self) -> str:
        """Digest of the text that the source need not send."""
        return self.digest if self.pending_offer is None else self.pending_offer.digest

    def offer_text(self, text: VersionedText | None) -> bool:
        """Send the digest of `text` with the next read; return whether it is sent.

        Each digest is sent once, because a stale source responds to it at once with
        its whole value and would do so on every read.
        """
        self.pending_offer = None
        if (
            text is None
            or text.version <= self.version
            or text.digest == self.last_offered_digest
        ):
            return False
        self.last_offered_digest = text.digest
        self.pending_offer = text.to_key_version()
        return True

    def withdraw_offer(self) -> None:
        """Discard an offer without a response, so that it can be sent again."""
        if self.pending_offer is not None:
            self.pending_offer = None
            self.last_offered_digest = ""

    def consume_token(self, now: float) -> float:
        """Count a response; return the delay of the next read in seconds."""
        elapsed = max(0.0, now - self.tokens_updated_at)
        self.tokens = min(RESPONSE_BURST, self.tokens + elapsed * RESPONSES_PER_S) - 1
        self.tokens_updated_at = now
        return max(0.0, -self.tokens / RESPONSES_PER_S)


class SourceByteLimiter:
    """Limits the rate of bytes that a reader fetches from the source.

    The size of a value is known only after it has arrived, so it delays later reads.
    """

    __slots__ = ("_debt_bytes", "_updated_at")

    def __init__(self):
        self._debt_bytes = 0.0
        self._updated_at = 0.0

    def record_bytes(self, size: int, now: float) -> float:
        """Count the bytes of a value; return the delay of the next read in seconds.

        Parameters
        ----------
        size : int
            Bytes on the wire, which may be compressed.
        now : float
            Monotonic seconds.
        """
        elapsed = max(0.0, now - self._updated_at)
        self._debt_bytes = (
            max(0.0, self._debt_bytes - elapsed * VALUE_BYTES_PER_S) + size
        )
        self._updated_at = now
        excess_bytes = self._debt_bytes - VALUE_BURST_BYTES
        return min(MAX_PACE_DELAY_S, max(0.0, excess_bytes / VALUE_BYTES_PER_S))
