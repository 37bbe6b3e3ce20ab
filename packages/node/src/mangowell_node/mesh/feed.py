"""Keeps the directory up to date with the store of the platform."""

import asyncio
import math
import random
from collections.abc import Callable, Iterable, Iterator
from enum import StrEnum
from time import monotonic

from mangowell_core import formats
from mangowell_core.events import Event, EventCode
from mangowell_core.mesh import Directory
from mangowell_core.mesh.revisions import get_era, get_number
from mangowell_node.mesh.tasks import TaskSupervisor
from mangowell_node.platform import (
    Changes,
    HistoryGoneError,
    Item,
    Listing,
    PlatformFormatError,
    StoreClient,
    StoreError,
)
from mangowell_node.platform.store import MAX_WATCH_S

# Name of the supervised task.
READER_TASK = "store-reader"
# Mean pause between two watches, in seconds. Further changes collect meanwhile:
# each call to the store has a cost, and a change may take 2 s to be in force.
COALESCE_S = 0.4
# Backoff between failed calls, in seconds.
FIRST_BACKOFF_S = 0.2
# Less than the 3 s within which a machine must notice that the store is back.
MAX_BACKOFF_S = 0.8
# Margin of a busy node for the end of a pause, and for the end of a watch, in seconds.
PROGRESS_MARGIN_S = 1.0
WATCH_MARGIN_S = 0.5
# Time within which a watch ends with its repetition, and time within which all pages
# of a slow store are read, in seconds. A reader that takes longer is stuck.
WATCH_LIMIT_S = MAX_WATCH_S + WATCH_MARGIN_S
LISTING_LIMIT_S = 15.0
# Time between two checks of the reader above which the process was paused, in seconds.
PAUSE_S = 1.0


class ReaderState(StrEnum):
    """What the reader of the store does, for operators."""

    IDLE = "idle"  # other nodes read for this one
    STARTING = "starting"  # no answer of the store yet
    READING = "reading"
    SILENT = "silent"  # running, but without progress for too long
    STORE_AWAY = "store-away"  # the last call was not answered
    FAILED = "failed"  # the task has ended


class _ReadingStoppedError(Exception):
    """The open watch was cancelled, and nothing follows from that."""


class _WatchRestartedError(StoreError):
    """The open watch was cancelled because it seems to be silent."""


class StateFeed:
    """Reads the store of the platform: all items first, then their changes.

    Parameters
    ----------
    store : StoreClient
        Client with an open session.
    directory : Directory
        Receives the document and the endpoints.
    emit : callable
        Takes an `Event`.
    on_change : callable
        Called without arguments after each change of the directory.
    rng : random.Random
        Source of random numbers for pauses.
    reads_evacuations : bool
        Whether operators may order failure domains to be evacuated.
    """

    def __init__(
        self,
        store: StoreClient,
        directory: Directory,
        emit: Callable[[Event], None],
        on_change: Callable[[], None],
        rng: random.Random,
        reads_evacuations: bool = False,
    ):
        self._reads_evacuations = reads_evacuations
        self._store = store
        store.on_progress = self._extend_progress
        self._directory = directory
        self._emit = emit
        self._on_change = on_change
        self._rng = rng
        self._revision = 0
        self._backoff_s = FIRST_BACKOFF_S
        self._is_up: bool | None = None
        # Monotonic time of the last check whether the task is stuck.
        self._checked_at = monotonic()
        # Monotonic time by which the task has to take its next step.
        self._progress_deadline = math.inf
        # Monotonic time of the last answer of the store.
        self._answered_at: float | None = None
        self._supervisor: TaskSupervisor | None = None
        self._watch_task: asyncio.Task | None = None
        self._reading_enabled = asyncio.Event()
        self._reading_enabled.set()

    def start(self, supervisor: TaskSupervisor) -> None:
        """Start the task that reads the store."""
        self._supervisor = supervisor
        supervisor.start(READER_TASK, self._run)

    async def stop(self) -> None:
        """Cancel the task and wait for its end."""
        if self._supervisor is not None:
            await self._supervisor.end(READER_TASK)

    @property
    def is_up(self) -> bool:
        """Whether this node reads the store and the last call was answered.

        Other nodes take over if not. The task may have ended, be stuck, or fail again
        each time that it is started.
        """
        return (
            bool(self._is_up)
            and self.is_elected
            and self.is_running
            and not self.is_stuck(monotonic())
            and not self.is_failing
        )

    @property
    def is_failing(self) -> bool:
        """Whether the task has failed repeatedly and was not healthy since."""
        supervisor = self._supervisor
        return supervisor is not None and READER_TASK in supervisor.lastingly_failing

    def is_stuck(self, now: float) -> bool:
        """Return whether the task has not taken its next step in time."""
        return self.is_elected and now > self._progress_deadline

    def restart_if_stuck(self, now: float) -> None:
        """Start the task again if it has not taken its next step in time."""
        pause_s = now - self._checked_at
        self._checked_at = now
        if pause_s > PAUSE_S:
            # The store may have answered while the process was paused.
            self._progress_deadline += pause_s
        if self.is_running and self.is_stuck(now):
            # Until the new task runs, other nodes read.
            self._is_up = None
            self._progress_deadline = math.inf
            self._supervisor.restart(READER_TASK, "no progress")

    @property
    def is_running(self) -> bool:
        """Whether the task that reads the store has been started and not ended."""
        if self._supervisor is None:
            return False
        task = self._supervisor.tasks.get(READER_TASK)
        return task is not None and not task.done()

    @property
    def is_elected(self) -> bool:
        """Whether this node has to read the store for its failure domain."""
        return self._reading_enabled.is_set()

    @property
    def state(self) -> ReaderState:
        """What the reader does now."""
        if not self.is_running or self.is_failing:
            return ReaderState.FAILED
        if not self.is_elected:
            return ReaderState.IDLE
        match self._is_up:
            case None:
                return ReaderState.STARTING
            case False if not self.is_stuck(monotonic()):
                return ReaderState.STORE_AWAY
        return ReaderState.READING if self.is_up else ReaderState.SILENT

    def compute_answer_age(self, now: float) -> float:
        """Return the seconds since the last answer of the store; -1 for none yet."""
        return -1.0 if self._answered_at is None else now - self._answered_at

    def set_reading(self, is_reading: bool) -> None:
        """Start or stop reading; while stopped, other nodes send the changes."""
        if is_reading == self._reading_enabled.is_set():
            return
        fields = {"revision": get_number(self._directory.revision)}
        if is_reading:
            self._emit(Event(EventCode.READER_STARTED, fields))
            directory = self._directory
            # A watch tells only of later orders. If nodes that know none have sent the
            # last changes, all items are read again.
            is_complete = directory.knows_evacuations or not self._reads_evacuations
            self._revision = directory.revision if is_complete else 0
            self._is_up = None
            self._reading_enabled.set()
            return
        self._emit(Event(EventCode.READER_STOPPED, fields))
        self._reading_enabled.clear()
        # Other nodes read from now on. That shows nothing about the store.
        self._directory.uptime.stop_reading()
        if self._watch_task is not None:
            self._watch_task.cancel()

    def restart_watch(self) -> None:
        """Cancel the open watch, which seems to be silent: other nodes are ahead."""
        if self._watch_task is not None:
            self._watch_task.cancel()

    def read_again(self) -> None:
        """Read all items again, as a node that reads the store knows others."""
        self._revision = 0
        self.restart_watch()

    async def _run(self) -> None:
        # A task that ended may have missed changes, so all items are read again.
        self._revision = 0
        try:
            await self._read_forever()
        finally:
            self._is_up = None
            self._progress_deadline = math.inf

    async def _read_forever(self) -> None:
        while True:
            await self._reading_enabled.wait()
            self._expect_progress(WATCH_LIMIT_S if self._revision else LISTING_LIMIT_S)
            try:
                await self._read_next()
            except _ReadingStoppedError:
                continue
            except HistoryGoneError as exc:
                was_listing = not self._revision
                self._revision = 0
                self._emit(Event(EventCode.SOURCE_STALE, {"reason": str(exc)}))
                if was_listing:
                    await self._pause(COALESCE_S)
            except StoreError as exc:
                # Changes may have been missed, so all items are read again.
                self._revision = 0
                self._record_down(str(exc))
                delay_s = self._backoff_s * (0.75 + 0.5 * self._rng.random())
                self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)
                await self._pause(delay_s)
            else:
                # Jitter keeps nodes that got a change together from calling together.
                await self._pause(COALESCE_S * (0.6 + 0.8 * self._rng.random()))

    async def _pause(self, delay_s: float) -> None:
        self._expect_progress(delay_s + PROGRESS_MARGIN_S)
        await asyncio.sleep(delay_s)

    def _expect_progress(self, limit_s: float) -> None:
        self._progress_deadline = monotonic() + limit_s

    def _extend_progress(self) -> None:
        """Expect the next step later, as an answer of the store is arriving."""
        self._progress_deadline = max(
            self._progress_deadline, monotonic() + WATCH_LIMIT_S
        )

    async def _read_next(self) -> None:
        """Read all items, or wait for changes if they have been read."""
        if not self._revision:
            await self._read_all()
            return
        changes = await self._watch()
        self._record_up(asyncio.get_running_loop().time(), changes.sent_at)
        self._emit_refused_items(changes.refused)
        for item in changes.items:
            self._apply(item)
        self._advance_revision(changes.revision)

    async def _watch(self) -> Changes:
        """Wait for changes; a watch that seems to be silent is repeated once."""
        try:
            return await self._run_interruptible(self._store.watch(self._revision))
        except _WatchRestartedError:
            if not self._revision:
                raise _ReadingStoppedError from None
            self._expect_progress(WATCH_LIMIT_S)
            return await self._run_interruptible(self._store.watch(self._revision))

    async def _run_interruptible(self, watch_call):
        """Await a watch that `set_reading` and `restart_watch` can cancel."""
        self._expect_progress(WATCH_LIMIT_S)
        self._watch_task = asyncio.ensure_future(watch_call)
        try:
            return await self._watch_task
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            if not self._reading_enabled.is_set():
                raise _ReadingStoppedError from None
            raise _WatchRestartedError("another node is ahead") from None
        finally:
            self._watch_task = None

    async def _read_all(self) -> None:
        sent_at = asyncio.get_running_loop().time()
        listings = [
            await self._store.list_endpoints(),
            await self._store.read_document(),
        ]
        if self._reads_evacuations:
            listings.append(await self._store.list_evacuations())
        items, revision = await self._complete(listings)
        now = asyncio.get_running_loop().time()
        self._record_era(revision, now)
        self._record_up(now, sent_at)
        endpoints = []
        unreadable = []
        domains = set()
        for item in items:
            if item.is_document:
                self._apply_document(item)
            elif item.endpoint_id:
                try:
                    endpoints.append(self._read_endpoint(item))
                except PlatformFormatError:
                    unreadable.append(item)
            else:
                domains.add(item.evacuated_domain)
        known = self._directory.evacuated
        evacuated = domains - {""} if self._reads_evacuations else None
        self._directory.load(endpoints, revision, now, evacuated)
        self._emit_evacuations(known, revision)
        for item in unreadable:
            self._directory.discard(item.endpoint_id, item.revision, now)
        self._advance_revision(revision)

    async def _complete(self, listings: list[Listing]) -> tuple[list[Item], int]:
        """Return the items that were read, as they are at one revision.

        Pages and lists are read one after the other, while the store changes. The
        changes since the first page are applied, so that other nodes can be told what
        the store contains at a revision.

        Parameters
        ----------
        listings : list of Listing
            Results of the calls, in their order.

        Raises
        ------
        HistoryGoneError
            If the store no longer has these changes, or was restored meanwhile.
        """
        items = {}
        for listing in listings:
            items.update((item.key, item) for item in listing.items)
            self._emit_refused_items(listing.refused)
        revision = listings[0].revision
        through = max(listing.through for listing in listings)
        while revision < through:
            changes = await self._store.watch(revision)
            if changes.revision <= revision:
                raise StoreError("store does not tell what changed while it was read")
            self._emit_refused_items(changes.refused)
            for item in changes.items:
                if item.is_document and item.value is None:
                    self._apply_document(item)
                elif item.value is None:
                    items.pop(item.key, None)
                else:
                    items[item.key] = item
            revision = changes.revision
        return list(items.values()), revision

    def _record_era(self, revision: int, now: float) -> None:
        """Notice that the store was restored since the state that is known here."""
        known = self._directory.revision
        if not known or get_era(revision) <= get_era(known):
            return
        self._directory.record_store_restore(now)
        fields = {
            "era": get_era(revision),
            "revision": get_number(revision),
            "known_revision": get_number(known),
        }
        self._emit(Event(EventCode.SOURCE_RESTORED, fields))

    def _advance_revision(self, revision: int) -> None:
        self._revision = max(1, revision)
        directory = self._directory
        directory.revision = max(directory.revision, revision)
        if self._reads_evacuations:
            directory.confirm_evacuations(revision)
        self._on_change()

    def _emit_refused_items(self, reasons: Iterable[str]) -> None:
        for reason in reasons:
            self._emit(Event(EventCode.INSTANCES_DOUBTED, {"reason": reason}))

    def _apply(self, item: Item) -> None:
        if item.is_document:
            self._apply_document(item)
        elif item.endpoint_id:
            self._apply_endpoint(item)
        elif item.evacuated_domain and self._reads_evacuations:
            self._apply_evacuation(item)

    def _apply_evacuation(self, item: Item) -> None:
        """Apply an order, whatever its value is, or the end of one."""
        domain = item.evacuated_domain
        known = self._directory.evacuated
        if item.value is None:
            self._directory.end_evacuation(domain, item.revision)
        else:
            self._directory.evacuate(domain, item.revision)
        self._emit_evacuations(known, item.revision)

    def _emit_evacuations(self, known: frozenset[str], revision: int) -> None:
        """Emit an event for each failure domain whose evacuation began or ended."""
        evacuated = self._directory.evacuated
        for event in make_evacuation_events(known, evacuated, revision):
            self._emit(event)

    def _apply_document(self, item: Item) -> None:
        if item.value is None:
            self._emit_refused_document(
                "document removed; the last one stays in force", item
            )
            return
        try:
            document = item.read_document(self._make_route_warning(item))
        except PlatformFormatError as exc:
            self._emit_refused_document(str(exc), item)
            return
        if self._directory.apply_document(document):
            fields = {
                "version": document.version,
                "revision": get_number(item.revision),
            }
            self._emit(Event(EventCode.VERSION_APPLIED, fields))

    def _make_route_warning(self, item: Item) -> Callable[[str], None]:
        """Return a function that reports a route that is applied with assumptions."""

        def warn(reason: str) -> None:
            fields = {"reason": reason, "revision": get_number(item.revision)}
            self._emit(Event(EventCode.ROUTE_ASSUMED, fields))

        return warn

    def _emit_refused_document(self, reason: str, item: Item) -> None:
        fields = {"reason": reason, "revision": get_number(item.revision)}
        self._emit(Event(EventCode.VERSION_REFUSED, fields))

    def _apply_endpoint(self, item: Item) -> None:
        now = asyncio.get_running_loop().time()
        remove = self._directory.remove
        if item.value is not None:
            try:
                endpoint = self._read_endpoint(item)
            except PlatformFormatError:
                remove = self._directory.discard
            else:
                self._directory.put(endpoint)
                fields = {
                    "backend": endpoint.id,
                    "service": endpoint.service,
                    "draining": endpoint.draining,
                    "seq": endpoint.seq,
                    "revision": get_number(item.revision),
                }
                self._emit(Event(EventCode.INSTANCES_APPLIED, fields))
                return
        remove(item.endpoint_id, item.revision, now)
        fields = {
            "backend": formats.quote(item.endpoint_id),
            "revision": get_number(item.revision),
        }
        self._emit(Event(EventCode.INSTANCE_REMOVED, fields))

    def _read_endpoint(self, item: Item):
        try:
            return item.read_endpoint()
        except PlatformFormatError as exc:
            fields = {"backend": formats.quote(item.endpoint_id), "reason": str(exc)}
            self._emit(Event(EventCode.INSTANCES_DOUBTED, fields))
            raise

    def _record_up(self, now: float, sent_at: float) -> None:
        self._backoff_s = FIRST_BACKOFF_S
        self._answered_at = monotonic()
        self._expect_progress(WATCH_LIMIT_S)
        self._directory.record_store_recovery(now, sent_at)
        if self._is_up:
            return
        self._is_up = True
        self._emit(
            Event(
                EventCode.SOURCE_UP, {"revision": get_number(self._directory.revision)}
            )
        )

    def _record_down(self, reason: str) -> None:
        if self._is_up is False:
            return
        self._is_up = False
        self._directory.record_store_outage()
        fields = {"reason": reason, "revision": get_number(self._directory.revision)}
        self._emit(Event(EventCode.SOURCE_DOWN, fields))


def make_evacuation_events(
    known: frozenset[str], evacuated: frozenset[str], revision: int, **fields
) -> Iterator[Event]:
    """Make an event for each failure domain whose evacuation began or ended.

    Parameters
    ----------
    known, evacuated : frozenset of str
        Evacuated failure domains before and after a change.
    revision : int
        Revision of the change.
    **fields
        Further fields of the events.
    """
    codes = {
        EventCode.EVACUATION_STARTED: evacuated - known,
        EventCode.EVACUATION_ENDED: known - evacuated,
    }
    for code, domains in codes.items():
        for domain in sorted(domains):
            names = {"domain": formats.quote(domain), "revision": get_number(revision)}
            yield Event(code, names | fields)
