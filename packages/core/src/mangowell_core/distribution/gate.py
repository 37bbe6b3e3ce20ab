"""Version gate: decides which text replaces the running one of a key."""

import re
from collections.abc import Callable
from dataclasses import replace
from enum import Enum

from result import Err

from mangowell_core.blackboard import RefusedVersion, VersionedText
from mangowell_core.digest import MAX_TEXT_BYTES
from mangowell_core.distribution.context import INSTANCES_KEY, NEVER, Context
from mangowell_core.distribution.corroboration import (
    Corroboration,
    CorroborationDecision,
)
from mangowell_core.document import parse_document
from mangowell_core.events import EventCode
from mangowell_core.instances import parse_instances
from mangowell_core.messages import KeyVersion

# Two readers may coalesce a burst of changes differently, so a delta can be based
# on any of the last few versions.
MAX_HISTORY_PER_KEY = 4
# Bounds the refused versions and, separately, those already reported.
MAX_RECORDED_VERSIONS = 64
MAX_PENDING_PER_KEY = 4
PENDING_TTL_S = 30.0
MAX_REASON_CHARS = 300

_DOCUMENT_VERSION_PATTERN = re.compile(
    rb"(?m)^\s*version\s*=\s*(\d{1,18})\s*(?:[;#].*)?$"
)
_LIST_REVISION_PATTERN = re.compile(rb"\A# revision (\d{1,18})\s*$", re.MULTILINE)


class VersionComparison(Enum):
    """How an offered version compares with the running version of its key.

    `CONFLICT` is the running version number with another digest.
    """

    LOWER = "lower"
    SAME = "same"
    CONFLICT = "conflict"
    REFUSED = "refused"
    HIGHER = "higher"


def parse_version(key: str, body: bytes) -> int:
    """Return the version number in a text, or 0 if it has none.

    The rest of the text is not validated.
    """
    pattern = (
        _LIST_REVISION_PATTERN if key == INSTANCES_KEY else _DOCUMENT_VERSION_PATTERN
    )
    match = pattern.search(body)
    return int(match.group(1)) if match else 0


class Gate:
    """Controller that validates texts, accepts them and records refused versions.

    A valid text of a higher version is pending until it is corroborated.
    """

    __slots__ = ("_corroboration", "_ctx", "_handlers", "_pending", "_reported")

    def __init__(self, ctx: Context, corroboration: Corroboration):
        self._ctx = ctx
        self._corroboration = corroboration
        self._pending: dict[str, dict[str, tuple[VersionedText, float]]] = {}
        self._reported: dict[tuple[str, int, str], None] = {}
        self._handlers: dict[
            VersionComparison, Callable[[VersionedText, float], None]
        ] = {
            VersionComparison.LOWER: self._report_stale,
            VersionComparison.SAME: self._ignore,
            VersionComparison.CONFLICT: self._report_conflict,
            VersionComparison.REFUSED: self._ignore,
            VersionComparison.HIGHER: self._add_pending,
        }

    def compare_with_running(self, key_version: KeyVersion) -> VersionComparison:
        """Return how a version compares with the running one of its key."""
        board = self._ctx.board.configuration
        running = board.running_texts.get(key_version.key)
        if running is not None:
            if key_version.version < running.version:
                return VersionComparison.LOWER
            if key_version.version == running.version:
                is_same = key_version.digest == running.digest
                return VersionComparison.SAME if is_same else VersionComparison.CONFLICT
        if (
            key_version.key,
            key_version.version,
            key_version.digest,
        ) in board.refused_versions:
            return VersionComparison.REFUSED
        return VersionComparison.HIGHER

    def handle_text(
        self, key_version: KeyVersion, body: bytes, learned_from: str, now: float
    ) -> VersionComparison:
        """Handle a text from the source or from a peer.

        Parameters
        ----------
        key_version : KeyVersion
            Key, announced version, and digest that the caller has checked.
        body : bytes
            The text, not yet validated.
        learned_from : str
            Name of the peer, or `SOURCE_NAME`.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        VersionComparison
            Comparison with the version that ran before the call, or `REFUSED`
            if the text is invalid.
        """
        comparison = self.compare_with_running(key_version)
        read_at = self._corroboration.get_first_read_time(key_version)
        if not -NEVER < read_at <= now:
            read_at = now
        text = VersionedText(
            key_version.key,
            key_version.version,
            key_version.digest,
            body,
            None,
            learned_from,
            read_at,
        )
        if comparison is VersionComparison.HIGHER:
            self._corroboration.report_seen(key_version, learned_from)
            pending = self._pending.get(key_version.key, {})
            if key_version.digest in pending:
                self.run(now)
                return comparison
            text = self._parse(text)
            if text is None:
                return VersionComparison.REFUSED
        self._handlers[comparison](text, now)
        return comparison

    def _parse(self, text: VersionedText) -> VersionedText | None:
        """Return the text with its parsed value, or None after refusing it."""
        value, reason = self._validate(text)
        if value is None:
            self.record_refused(text.to_key_version(), reason, text.learned_from)
            return None
        return replace(text, value=value)

    def _validate(self, text: VersionedText):
        """Return the parsed value and ``""``, or None and the reason for refusal."""
        if len(text.body) > MAX_TEXT_BYTES:
            return None, f"text has {len(text.body)} bytes, limit is {MAX_TEXT_BYTES}"
        try:
            content = text.body.decode()
        except UnicodeDecodeError as exc:
            return None, f"text is not valid UTF-8: {exc}"
        running = self._ctx.board.configuration.running_texts.get(text.key)
        parse = parse_instances if text.key == INSTANCES_KEY else parse_document
        parsed = parse(content, text.key, running.value if running else None)
        if isinstance(parsed, Err):
            return None, "; ".join(str(error) for error in parsed.err_value[:3])
        value = parsed.ok_value
        if text.key == INSTANCES_KEY:
            version = value.revision
        else:
            version = value.version
            if value.environment != self._ctx.settings.environment:
                return None, f"document is for environment {value.environment!r}"
        if version != text.version:
            return (
                None,
                f"announced as version {text.version}, but text is version {version}",
            )
        return value, ""

    def record_refused(
        self, key_version: KeyVersion, reason: str, learned_from: str
    ) -> None:
        """Record and report a version that this node must not run."""
        refused = self._ctx.board.configuration.refused_versions
        identity = (key_version.key, key_version.version, key_version.digest)
        if identity in refused:
            return
        reason = reason[:MAX_REASON_CHARS]
        refused[identity] = RefusedVersion(
            key_version.version, key_version.digest, reason
        )
        if len(refused) > MAX_RECORDED_VERSIONS:
            del refused[next(iter(refused))]
        self._ctx.emit(
            EventCode.VERSION_REFUSED,
            key=key_version.key,
            version=key_version.version,
            digest=key_version.digest,
            peer=learned_from,
            reason=reason,
        )

    def _ignore(self, text: VersionedText, now: float) -> None:
        """Ignore a text that is running already or was refused."""

    def _report_stale(self, text: VersionedText, now: float) -> None:
        self._report_once(
            EventCode.VERSION_STALE, text, "older than the running version"
        )

    def _report_conflict(self, text: VersionedText, now: float) -> None:
        running = self._ctx.board.configuration.running_texts[text.key]
        self._report_once(
            EventCode.VERSION_CONFLICT, text, f"running digest {running.digest}"
        )

    def _report_once(self, code: EventCode, text: VersionedText, reason: str) -> None:
        identity = (code.name, text.version, text.digest)
        if identity in self._reported:
            return
        self._reported[identity] = None
        if len(self._reported) > MAX_RECORDED_VERSIONS:
            del self._reported[next(iter(self._reported))]
        self._ctx.emit(
            code,
            key=text.key,
            version=text.version,
            digest=text.digest,
            peer=text.learned_from,
            reason=reason,
        )

    def _add_pending(self, text: VersionedText, now: float) -> None:
        """Add a text to the pending ones; the lowest versions are evicted."""
        pending = self._pending.setdefault(text.key, {})
        pending[text.digest] = (text, now)
        while len(pending) > MAX_PENDING_PER_KEY:
            lowest_digest = min(pending, key=lambda digest: pending[digest][0].version)
            del pending[lowest_digest]
        self.run(now)

    def has_pending(self, key_version: KeyVersion) -> bool:
        """Return whether the text of a version is held and waits for corroboration."""
        return key_version.digest in self._pending.get(key_version.key, ())

    def get_newest(self, key: str) -> VersionedText | None:
        """Return the valid text with the highest version, running or pending."""
        running = self._ctx.board.configuration.running_texts.get(key)
        known = [text for text, _ in self._pending.get(key, {}).values()]
        if running is not None:
            known.append(running)
        return max(known, key=lambda text: text.version, default=None)

    def run(self, now: float) -> None:
        """Accept the highest corroborated text of each key; drop expired ones."""
        for key, pending in self._pending.items():
            if pending or key in self._ctx.board.configuration.contradiction_times:
                self._apply_pending(key, pending, now)

    def _apply_pending(self, key: str, pending: dict, now: float) -> None:
        running = self._ctx.board.configuration.running_texts.get(key)
        running_version = 0 if running is None else running.version
        is_contradicted = False
        highest_first = sorted(pending.values(), key=lambda entry: -entry[0].version)
        for text, received_at in highest_first:
            if text.version <= running_version or now - received_at > PENDING_TTL_S:
                del pending[text.digest]
                continue
            decision = self._corroboration.evaluate_version(text.to_key_version(), now)
            if decision is CorroborationDecision.ACCEPT:
                del pending[text.digest]
                self._accept(text, now)
                running_version = text.version
            elif decision is CorroborationDecision.HOLD:
                is_contradicted = True
                self._report_once(
                    EventCode.VERSION_HELD, text, "contradicted by another reader"
                )
        self._corroboration.set_contradicted(key, is_contradicted, now)

    def _accept(self, text: VersionedText, now: float) -> None:
        board = self._ctx.board.configuration
        running = board.running_texts.get(text.key)
        previous_version = 0 if running is None else running.version
        self._ctx.checker.check_accepted(
            text.key, text.version, text.digest, text.body, previous_version
        )
        board.running_texts[text.key] = text
        older_texts = board.history.get(text.key, ())
        board.history[text.key] = (text, *older_texts)[:MAX_HISTORY_PER_KEY]

    def next_deadline(self, now: float) -> float:
        """Return when to check pending texts again, in monotonic seconds."""
        return now + 0.1 if any(self._pending.values()) else NEVER
