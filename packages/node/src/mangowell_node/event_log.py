"""Structured log on standard output, bounded and never blocking."""

import os
import time
from collections import Counter
from collections.abc import Callable

import msgspec

from mangowell_core.events import Event, EventCode

# Lines a second of one kind of event; the rest is counted. A failed request
# has more room than one that only took a second attempt.
DEFAULT_RATE = 20
RATES: dict[EventCode, int] = {
    EventCode.CALL_UNKNOWN: 50,
    EventCode.CALL_REFUSED: 30,
    EventCode.CALL_RETRIED: 10,
    EventCode.INSTANCES_APPLIED: 40,
}
# Bytes that wait for a reader of the pipe; further lines are counted.
MAX_PENDING_BYTES = 262_144
WINDOW_S = 1.0


class EventLog:
    """Writes events as one JSON object a line.

    Parameters
    ----------
    instance : str
        Named in each line.
    fd : int
        File descriptor; it is made non-blocking.
    clock : callable
        Gives Unix time in seconds.
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
        self._written: Counter[EventCode] = Counter()
        self._omitted: Counter[str] = Counter()
        self._encode = msgspec.json.Encoder().encode

    @property
    def pending_bytes(self) -> int:
        """Bytes that no reader has taken yet."""
        return len(self._pending)

    def write(self, event: Event) -> None:
        """Write an event, or count it if there is no room for it."""
        now = self._clock()
        if now >= self._window_end:
            self._start_window(now)
        code = event.code
        if self._written[code] >= RATES.get(code, DEFAULT_RATE):
            self._omitted[code.name.lower()] += 1
            return
        self._written[code] += 1
        self._write_line(now, int(code), code.name.lower(), event.fields)

    def flush(self) -> None:
        """Write what is pending, as far as the pipe takes it."""
        while self._pending:
            try:
                count = os.write(self._fd, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read it.
                self._pending.clear()
                return
            del self._pending[:count]

    def _start_window(self, now: float) -> None:
        self._window_end = now + WINDOW_S
        self._written.clear()
        if self._omitted:
            omitted = dict(self._omitted)
            self._omitted.clear()
            code = EventCode.EVENTS_OMITTED
            self._write_line(now, int(code), code.name.lower(), omitted)

    def _write_line(self, now: float, code: int, name: str, fields: dict) -> None:
        line = self._encode(
            {
                "time": round(now, 3),
                "code": code,
                "event": name,
                "instance": self._instance,
                **fields,
            }
        )
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._omitted[name] += 1
            return
        self._pending += line
        self._pending += b"\n"
        self.flush()
