"""Structured log on standard output with bounded memory and non-blocking writes."""

import os
import time
from collections import Counter
from collections.abc import Callable

import msgspec

from mangowell_core import formats
from mangowell_core.events import Event, EventCode

# Most lines of one event code in a window; further events are only counted.
# Failed requests have a higher limit than requests that succeeded on a retry.
DEFAULT_LINES_PER_WINDOW = 20
LINES_PER_WINDOW: dict[EventCode, int] = {
    EventCode.CALL_UNKNOWN: 50,
    EventCode.CALL_REFUSED: 30,
    EventCode.CALL_RETRIED: 10,
    EventCode.INSTANCES_APPLIED: 40,
}
# Most bytes buffered while the pipe is full; further lines are only counted.
MAX_PENDING_BYTES = 262_144
RATE_WINDOW_S = 1.0


class EventLog:
    """Writes each event as a JSON object on a line of its own.

    Parameters
    ----------
    instance : str
        Name of the instance, written in each line.
    fd : int
        File descriptor to write to; it is set to non-blocking mode.
    clock : callable
        Returns the Unix time in seconds.
    """

    def __init__(
        self, instance: str, fd: int = 1, clock: Callable[[], float] = time.time
    ):
        os.set_blocking(fd, False)
        self._instance = instance
        self._fd = fd
        self._clock = clock
        self._pending = bytearray()
        self._window_end = 0.0
        self._window_counts: Counter[EventCode] = Counter()
        self._omitted_counts: Counter[str] = Counter()
        self._encode = msgspec.json.Encoder().encode

    @property
    def pending_bytes(self) -> int:
        """Number of buffered bytes that are not written yet."""
        return len(self._pending)

    def write(self, event: Event) -> None:
        """Write an event, or count it as omitted if a limit is reached."""
        now = self._clock()
        if now >= self._window_end:
            self._start_window(now)
        code = event.code
        if self._window_counts[code] >= LINES_PER_WINDOW.get(
            code, DEFAULT_LINES_PER_WINDOW
        ):
            self._omitted_counts[code.name.lower()] += 1
            return
        self._window_counts[code] += 1
        self._write_line(now, int(code), code.name.lower(), event.fields)

    def flush(self) -> None:
        """Write as many of the buffered bytes as the pipe accepts."""
        while self._pending:
            try:
                count = os.write(self._fd, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; no later write can succeed.
                self._pending.clear()
                return
            del self._pending[:count]

    def _start_window(self, now: float) -> None:
        self._window_end = now + RATE_WINDOW_S
        self._window_counts.clear()
        if self._omitted_counts:
            omitted = dict(self._omitted_counts)
            self._omitted_counts.clear()
            code = EventCode.EVENTS_OMITTED
            self._write_line(now, int(code), code.name.lower(), omitted)

    def _write_line(self, now: float, code: int, name: str, fields: dict) -> None:
        head = {
            "time": round(now, 3),
            "code": code,
            "event": name,
            "instance": self._instance,
        }
        try:
            line = self._encode(head | fields)
        except (UnicodeEncodeError, OverflowError):
            # A field quotes bytes of a caller that are no text.
            quoted = {name: formats.quote(str(fields[name])) for name in fields}
            line = self._encode(head | quoted)
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._omitted_counts[name] += 1
            return
        self._pending += line
        self._pending += b"\n"
        self.flush()
