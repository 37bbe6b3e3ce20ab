"""Refusal of requests that crash the workers that run them.

Callers repeat such a request at any node. After a crash, every request that ran
on the worker is suspected. A request that was running at a second crash is
refused by all nodes, so that it crashes two workers and not all of them.

A popular request also runs at most crashes. One that a worker completes does not crash
workers, so its earlier crashes no longer count, at any node.

A cold worker may crash because of its load, whatever it runs. When several cold workers
do, each popular request has run at most of the crashes, and none has been completed
since. Such a crash counts less: cold workers do not run its requests any more, and a
warm worker shows whether one of them crashes workers.
"""

import math

# Number of crashes after which a request that was running is refused.
CRASHES_UNTIL_REFUSAL = 2
# Time for which crashes are remembered, seconds; it exceeds the time for which a
# caller repeats a request.
CRASH_TTL_S = 120.0
MAX_FINGERPRINTS = 4096
# Number of completed requests that are remembered.
MAX_COMPLETED = 2048


class CompletedRequests:
    """Remembers which requests one start of a worker has completed lately.

    If the worker crashes, another request has crashed it. A popular request is
    therefore not suspected, even if it runs on several workers that crash at once.
    """

    __slots__ = ("_keys",)

    def __init__(self):
        # Hashes of the requests, the latest last.
        self._keys: dict[int, None] = {}

    def record(self, method: str, target: str, body: bytes) -> None:
        """Record a request that the worker has completed."""
        key = hash((method, target, body))
        self._keys.pop(key, None)
        self._keys[key] = None
        if len(self._keys) > MAX_COMPLETED:
            del self._keys[next(iter(self._keys))]

    def has(self, method: str, target: str, body: bytes) -> bool:
        """Return whether the worker has completed the request."""
        return hash((method, target, body)) in self._keys

    def clear(self) -> None:
        """Forget all requests; another start of the worker may crash on them."""
        self._keys.clear()


class CrashCounter:
    """Counts crashes of workers by request, on the platform's request path.

    A crash counts for each request that was running on the worker.
    A crash is identified by the worker's id and start time, so that a repeated
    notice of the same crash is not counted again.
    """

    __slots__ = ("_cold_crashes", "_completed_at", "_crashes")

    def __init__(self):
        self._crashes: dict[str, dict[str, float]] = {}
        # Crashes of cold workers that ran several requests, each with its time.
        self._cold_crashes: dict[str, float] = {}
        # Latest completion of each request that was running at a crash.
        self._completed_at: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._crashes)

    def record_crash(
        self, fingerprint: str, crash_id: str, now: float, is_cold: bool = False
    ) -> bool:
        """Record a crash during a request.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        crash_id : str
            Id and start time of the worker.
        now : float
            Monotonic time, in seconds.
        is_cold : bool, optional
            Whether the worker was cold and ran several requests.

        Returns
        -------
        bool
            Whether the crash is new; False also if the counter is full or the request
            has been completed since.
        """
        self._expire(now)
        if now <= self._completed_at.get(fingerprint, -math.inf):
            return False
        if fingerprint not in self._crashes and len(self._crashes) >= MAX_FINGERPRINTS:
            return False
        crash_times = self._crashes.setdefault(fingerprint, {})
        if crash_id in crash_times:
            return False
        crash_times[crash_id] = now
        if is_cold:
            self._cold_crashes[crash_id] = now
        return True

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is refused because of its crashes."""
        self._expire(now)
        crash_ids = self._crashes.get(fingerprint, {})
        if len(crash_ids) < CRASHES_UNTIL_REFUSAL:
            return False
        warm_count = sum(not self.is_cold_crash(crash_id) for crash_id in crash_ids)
        return warm_count >= CRASHES_UNTIL_REFUSAL

    def is_refused_by_cold(self, fingerprint: str, now: float) -> bool:
        """Return whether cold workers refuse a request because of its crashes."""
        self._expire(now)
        return len(self._crashes.get(fingerprint, ())) >= CRASHES_UNTIL_REFUSAL

    def is_cold_crash(self, crash_id: str) -> bool:
        """Return whether a crash was that of a cold worker with several requests."""
        return crash_id in self._cold_crashes

    def export(self, now: float) -> list[tuple[str, float, tuple[str, ...]]]:
        """Return all crashes, for a node that has not heard of them.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of (str, float, tuple of str)
            For each crash its id, the seconds since then, and the fingerprints of
            the requests that were running.
        """
        self._expire(now)
        fingerprints: dict[tuple[str, float], list[str]] = {}
        for fingerprint, crash_times in self._crashes.items():
            for crash_time in crash_times.items():
                fingerprints.setdefault(crash_time, []).append(fingerprint)
        return [
            (crash_id, now - time, tuple(names))
            for (crash_id, time), names in fingerprints.items()
        ]

    def record_completion(self, fingerprint: str, now: float) -> bool:
        """Drop the crashes of a request that a worker has completed.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        now : float
            Monotonic time of the completion, in seconds.

        Returns
        -------
        bool
            Whether an earlier crash was known, so that other nodes know it too.
        """
        crash_times = self._crashes.get(fingerprint, {})
        later = {name: at for name, at in crash_times.items() if at > now}
        if len(later) == len(crash_times):
            return False
        self._record_completed(fingerprint, now)
        self.clear(fingerprint)
        if later:
            self._crashes[fingerprint] = later
        return True

    def record_told_completion(self, fingerprint: str, now: float) -> None:
        """Record a completion at another node; its crash may be told later.

        Takes the parameters of `record_completion`.
        """
        self._expire(now)
        if not self.record_completion(fingerprint, now):
            self._record_completed(fingerprint, now)

    def export_completions(self, now: float) -> tuple[tuple[str, float], ...]:
        """Return all completions, for a node that has not heard of them.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        tuple of (str, float)
            Fingerprint of each request, and the seconds since its latest completion.
        """
        self._expire(now)
        return tuple((name, now - at) for name, at in self._completed_at.items())

    def clear(self, fingerprint: str) -> None:
        """Drop the crashes of a request."""
        self._crashes.pop(fingerprint, None)

    def _record_completed(self, fingerprint: str, now: float) -> None:
        completed_at = self._completed_at
        if fingerprint in completed_at or len(completed_at) < MAX_FINGERPRINTS:
            completed_at[fingerprint] = max(now, completed_at.get(fingerprint, now))

    def _expire(self, now: float) -> None:
        for crash_id, crashed_at in list(self._cold_crashes.items()):
            if crashed_at + 2 * CRASH_TTL_S <= now:
                del self._cold_crashes[crash_id]
        for fingerprint, completed_at in list(self._completed_at.items()):
            if completed_at + CRASH_TTL_S <= now:
                del self._completed_at[fingerprint]
        for fingerprint, crash_times in list(self._crashes.items()):
            if max(crash_times.values()) + CRASH_TTL_S <= now:
                del self._crashes[fingerprint]
