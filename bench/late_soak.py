"""Work that ends late in the grace periods of stops: ``python -m bench.late_soak``.

As in `bench.stop_soak`, the seed alone determines the schedule, here only of stops that
overlap, and also the grace period. Work often ends about when its time does, bodies
arrive slowly, answers are streamed, and callers are slow to read them.
"""

import asyncio
import random
from functools import partial
from time import monotonic

from bench.stop_soak import StopSoak, run_command, run_stop_soak
from bench.stop_soak_checks import Problem
from bench.stop_soak_traffic import (
    RECONNECT_PAUSE_S,
    Caller,
    Journal,
    Sent,
    SoakWorker,
)

GRACES_S = (1.0, 2.0, 4.0, 6.0)
LATE_SHARE, STREAM_SHARE = 0.4, 0.3
# Range of late work as a share of the time that is left for it.
LATE_WORK = (0.7, 1.02)
# Time in which an answer is streamed, a body is sent, and a caller does not read.
MAX_STREAM_S, MAX_UPLOAD_S, MAX_UNREAD_S = 1.0, 2.0, 1.0
STREAM_PARTS = UPLOAD_PARTS = 5
MAX_UPLOAD_BYTES = 200_000
MIN_TIMEOUT_MS, MAX_TIMEOUT_MS = 300, 6000
# Time after which a request that was sent whole must have been read or refused.
LOST_SLACK_S = 0.2


class LateJournal(Journal):
    """Record of a soak that tells when each upload was complete."""

    __slots__ = ("whole_at",)

    def __init__(self):
        super().__init__()
        self.whole_at: dict[str, float] = {}


class LateWorker(SoakWorker):
    """Worker that often needs about all the time that it has, and streams answers."""

    def draw_work(self, remaining_s: float) -> float:
        """Return how long the worker runs a request that has `remaining_s` left."""
        if self.rng.random() < LATE_SHARE:
            return remaining_s * self.rng.uniform(*LATE_WORK)
        return super().draw_work(remaining_s)

    async def _handle(self, request) -> bytes:
        answer = await super()._handle(request)
        head, _, body = answer.partition(b"\r\n\r\n")
        if b" 200 " not in head[:20] or self.rng.random() >= STREAM_SHARE:
            return answer
        lines = [
            line for line in head.split(b"\r\n") if not line.startswith(b"Content-")
        ]
        head = b"\r\n".join([*lines, b"Transfer-Encoding: chunked"])
        request.writer.write(head + b"\r\n\r\n")
        # The worker runs the request until its answer is whole.
        run = self.journal.runs[request.headers["request-id"]][-1]
        run.was_cut = True
        size = -(-len(body) // STREAM_PARTS)
        pause_s = self.rng.uniform(0.0, MAX_STREAM_S) / STREAM_PARTS
        try:
            for start in range(0, len(body), size):
                part = body[start : start + size]
                request.writer.write(b"%x\r\n%b\r\n" % (len(part), part))
                await request.writer.drain()
                await asyncio.sleep(pause_s)
            run.was_cut = False
        finally:
            run.ended_at = monotonic()
        return b"0\r\n\r\n"


class LateCaller(Caller):
    """Caller that sends uploads slowly or reads its answers late."""

    async def run(self, size: int, keeps_connection: bool, is_over) -> None:
        """Send requests until `is_over` is true, each kind of them in turn."""
        if size > 1 or keeps_connection:
            await super().run(size, keeps_connection, is_over)
            return
        kinds = (self._upload, self._read_late)
        while not is_over():
            await asyncio.sleep(self._rng.uniform(0.0, RECONNECT_PAUSE_S))
            try:
                await self.connect()
                await self._rng.choice(kinds)()
            except OSError:
                await asyncio.sleep(RECONNECT_PAUSE_S)
            finally:
                self.close()

    def _draw_timeout(self) -> float:
        return self._rng.randint(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS) / 1000

    async def _read_late(self) -> None:
        path = self._rng.choice(("/", "/pay/", "/stock/"))
        request = self.send(path, 1, self._draw_timeout())
        transport = self._writer.transport
        transport.pause_reading()
        await asyncio.sleep(self._rng.uniform(0.0, MAX_UNREAD_S))
        transport.resume_reading()
        await self.read(request)

    async def _upload(self) -> None:
        rng = self._rng
        path = rng.choice(("/", "/pay/"))
        body = b"x" * rng.randint(1, MAX_UPLOAD_BYTES)
        request = self.send(path, 1, self._draw_timeout(), body_bytes=len(body))
        pause_s = rng.uniform(0.0, MAX_UPLOAD_S) / UPLOAD_PARTS
        size = -(-len(body) // UPLOAD_PARTS)
        for start in range(0, len(body), size):
            await asyncio.sleep(pause_s)
            if self._reader.at_eof() or self._writer.is_closing():
                break
            self._writer.write(body[start : start + size])
        else:
            self._journal.whole_at[request.id] = monotonic()
        await self.read(request)


class LateSoak(StopSoak):
    """Runs one schedule of stops that overlap."""

    series = ("roll", "pair", "pair", "publish")
    journal_type = LateJournal
    worker_type = LateWorker
    caller_type = LateCaller

    def __init__(self, seed: int, seconds: float, count: int):
        super().__init__(seed, seconds, count)
        self.grace_s = random.Random(f"grace {seed}").choice(GRACES_S)


def find_unanswered(journal: LateJournal) -> list[Problem]:
    """Return the requests that were sent whole and got no answer, unless excused."""
    return [
        Problem("UNANSWERED", "connection closed without an answer", request)
        for request in journal.requests
        if _is_unanswered(request, journal.whole_at)
    ]


def _is_unanswered(request: Sent, whole_at: dict[str, float]) -> bool:
    """Return whether a node has read a request and closed without an answer.

    Requests behind an answer that closes the connection count as unread, so only
    uploads are judged, which are alone on their connections.
    """
    sent_at = whole_at.get(request.id)
    if sent_at is None or request.status or request.has_left:
        return False
    is_in_time = request.ended_at < request.sent_at + request.timeout_s
    return is_in_time and request.ended_at - sent_at > LOST_SLACK_S


run_late_soak = partial(
    run_stop_soak, soak_type=LateSoak, find_more_problems=find_unanswered
)

if __name__ == "__main__":
    run_command("bench.late_soak", run_late_soak)
