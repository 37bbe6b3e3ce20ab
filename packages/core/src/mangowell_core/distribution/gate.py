"""Version gate: decides by one table which text replaces the running one."""

import re
from collections.abc import Callable
from dataclasses import replace
from enum import Enum

from result import Err

from mangowell_core.blackboard import RefusedVersion, Text
from mangowell_core.digest import MAX_TEXT_BYTES
from mangowell_core.distribution.context import INSTANCES_KEY, NEVER, Context
from mangowell_core.distribution.corroboration import Corroboration, Verdict
from mangowell_core.document import parse_document
from mangowell_core.events import EventCode
from mangowell_core.instances import parse_instances
from mangowell_core.messages import KeyVersion

# Texts kept for each key, so that deltas from the last few versions still apply
# when two readers coalesce a burst differently.
HISTORY_KEPT = 4
REFUSED_KEPT = 64
PENDING_KEPT = 4
PENDING_TTL_S = 30.0
REASON_LENGTH = 300

_DOCUMENT_VERSION = re.compile(rb"(?m)^\s*version\s*=\s*(\d{1,18})\s*(?:[;#].*)?$")
_LIST_REVISION = re.compile(rb"\A# revision (\d{1,18})\s*$", re.MULTILINE)


class Relation(Enum):
    """Candidate against the highest version run."""

    LOWER = "lower"
    SAME = "same"
    CONFLICT = "conflict"
    REFUSED = "refused"
    HIGHER = "higher"


def find_version(key: str, body: bytes) -> int:
    """Return the version that a text names, or 0, without validating the rest."""
    pattern = _LIST_REVISION if key == INSTANCES_KEY else _DOCUMENT_VERSION
    found = pattern.search(body)
    return int(found.group(1)) if found else 0


class Gate:
    """Controller that owns the accepted texts and the rejected versions."""

    __slots__ = ("_actions", "_corroboration", "_ctx", "_pending", "_reported")

    def __init__(self, ctx: Context, corroboration: Corroboration):
        self._ctx = ctx
        self._corroboration = corroboration
        self._pending: dict[str, dict[str, tuple[Text, float]]] = {}
        self._reported: dict[tuple[str, int, str], None] = {}
        self._actions: dict[Relation, Callable[[Text, float], None]] = {
            Relation.LOWER: self._report_stale,
            Relation.SAME: self._ignore,
            Relation.CONFLICT: self._report_conflict,
            Relation.REFUSED: self._ignore,
            Relation.HIGHER: self._consider,
        }

    def relate(self, held: KeyVersion) -> Relation:
        """Compare a version with the highest one run."""
        board = self._ctx.board.configuration
        running = board.held.get(held.key)
        if running is not None:
            if held.version < running.version:
                return Relation.LOWER
            if held.version == running.version:
                same = held.digest == running.digest
                return Relation.SAME if same else Relation.CONFLICT
        if (held.key, held.version, held.digest) in board.refused:
            return Relation.REFUSED
        return Relation.HIGHER

    def offer(
        self, held: KeyVersion, body: bytes, learned_from: str, now: float
    ) -> Relation:
        """Consider a text whose digest has been checked.

        Returns
        -------
        Relation
            How it compared with the running version before it was considered.
        """
        relation = self.relate(held)
        read_at = self._corroboration.find_first_read(held)
        if not -NEVER < read_at <= now:
            read_at = now
        text = Text(
            held.key, held.version, held.digest, body, None, learned_from, read_at
        )
        if relation is Relation.HIGHER:
            self._corroboration.report_seen(held, learned_from)
            pending = self._pending.get(held.key, {})
            if held.digest in pending:
                self.run(now)
                return relation
            text = self._parse(text)
            if text is None:
                return Relation.REFUSED
        self._actions[relation](text, now)
        return relation

    def _parse(self, text: Text) -> Text | None:
        value, reason = self._validate(text)
        if value is None:
            self.refuse(text.to_key_version(), reason, text.learned_from)
            return None
        return replace(text, value=value)

    def _validate(self, text: Text):
        if len(text.body) > MAX_TEXT_BYTES:
            return None, f"text of {len(text.body)} bytes, limit {MAX_TEXT_BYTES}"
        try:
            content = text.body.decode()
        except UnicodeDecodeError as exc:
            return None, f"not UTF-8: {exc}"
        running = self._ctx.board.configuration.held.get(text.key)
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
            return None, f"announced as version {text.version}, text says {version}"
        return value, ""

    def refuse(self, held: KeyVersion, reason: str, learned_from: str) -> None:
        """Record a version that must never run."""
        refused = self._ctx.board.configuration.refused
        identity = (held.key, held.version, held.digest)
        if identity in refused:
            return
        reason = reason[:REASON_LENGTH]
        refused[identity] = RefusedVersion(held.version, held.digest, reason)
        if len(refused) > REFUSED_KEPT:
            del refused[next(iter(refused))]
        self._ctx.emit(
            EventCode.VERSION_REFUSED,
            key=held.key,
            version=held.version,
            digest=held.digest,
            peer=learned_from,
            reason=reason,
        )

    def _ignore(self, text: Text, now: float) -> None:
        """Take no action: the text is known."""

    def _report_stale(self, text: Text, now: float) -> None:
        self._report_once(EventCode.VERSION_STALE, text, "older than the running one")

    def _report_conflict(self, text: Text, now: float) -> None:
        running = self._ctx.board.configuration.held[text.key]
        self._report_once(
            EventCode.VERSION_CONFLICT, text, f"running digest {running.digest}"
        )

    def _report_once(self, code: EventCode, text: Text, reason: str) -> None:
        identity = (code.name, text.version, text.digest)
        if identity in self._reported:
            return
        self._reported[identity] = None
        if len(self._reported) > REFUSED_KEPT:
            del self._reported[next(iter(self._reported))]
        self._ctx.emit(
            code,
            key=text.key,
            version=text.version,
            digest=text.digest,
            peer=text.learned_from,
            reason=reason,
        )

    def _consider(self, text: Text, now: float) -> None:
        pending = self._pending.setdefault(text.key, {})
        pending[text.digest] = (text, now)
        while len(pending) > PENDING_KEPT:
            lowest = min(pending, key=lambda digest: pending[digest][0].version)
            del pending[lowest]
        self.run(now)

    def has_pending(self, held: KeyVersion) -> bool:
        """Return whether a text is known and waits for corroboration."""
        return held.digest in self._pending.get(held.key, ())

    def find_newest(self, key: str) -> Text | None:
        """Return the highest valid text known, running or pending."""
        running = self._ctx.board.configuration.held.get(key)
        known = [text for text, _ in self._pending.get(key, {}).values()]
        if running is not None:
            known.append(running)
        return max(known, key=lambda text: text.version, default=None)

    def run(self, now: float) -> None:
        """Apply the highest pending text that is corroborated."""
        for key, pending in self._pending.items():
            if pending or key in self._ctx.board.configuration.contradicted_since:
                self._run_key(key, pending, now)

    def _run_key(self, key: str, pending: dict, now: float) -> None:
        running = self._ctx.board.configuration.held.get(key)
        lowest = 0 if running is None else running.version
        contradicted = False
        ordered = sorted(pending.values(), key=lambda entry: -entry[0].version)
        for text, since in ordered:
            if text.version <= lowest or now - since > PENDING_TTL_S:
                del pending[text.digest]
                continue
            verdict = self._corroboration.judge(text.to_key_version(), now)
            if verdict is Verdict.ACCEPT:
                del pending[text.digest]
                self._accept(text, now)
                lowest = text.version
            elif verdict is Verdict.HOLD:
                contradicted = True
                self._report_once(
                    EventCode.VERSION_HELD, text, "contradicted by another reader"
                )
        self._corroboration.set_contradicted(key, contradicted, now)

    def _accept(self, text: Text, now: float) -> None:
        board = self._ctx.board.configuration
        running = board.held.get(text.key)
        highest = 0 if running is None else running.version
        self._ctx.checker.check_accepted(
            text.key, text.version, text.digest, text.body, highest
        )
        board.held[text.key] = text
        kept = board.history.get(text.key, ())
        board.history[text.key] = (text, *kept)[:HISTORY_KEPT]

    def next_deadline(self, now: float) -> float:
        """Return when a pending text may become acceptable."""
        return now + 0.1 if any(self._pending.values()) else NEVER
