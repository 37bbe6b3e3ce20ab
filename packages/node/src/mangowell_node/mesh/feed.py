"""Follows the store and keeps the directory up to date."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from mangowell_core.events import Event, EventCode
from mangowell_core.mesh import Directory
from mangowell_node.mesh.tasks import start_loop
from mangowell_node.platform import (
    HistoryGoneError,
    Item,
    PlatformFormatError,
    StoreClient,
    StoreError,
)

# Pause between two watches, in which further changes gather: each call to the
# store is paid for, and a change may take 2 s to be in force.
GATHER_S = 0.4
FIRST_BACKOFF_S = 0.2
# Below the contact time of 3 s, in which a machine must notice the store's return.
MAX_BACKOFF_S = 0.8


class _ReadingStoppedError(Exception):
    """The open watch was ended because other nodes read."""


class StateFeed:
    """Reads the store: a list at the start, then changes.

    Parameters
    ----------
    store : StoreClient
    directory : Directory
    emit : callable
        Takes an `Event`.
    on_change : callable
        Called without arguments after each change of the directory.
    rng : random.Random
    """

    def __init__(
        self,
        store: StoreClient,
        directory: Directory,
        emit: Callable[[Event], None],
        on_change: Callable[[], None],
        rng: random.Random,
    ):
        self._store = store
        self._directory = directory
        self._emit = emit
        self._on_change = on_change
        self._rng = rng
        self._revision = 0
        self._backoff_s = FIRST_BACKOFF_S
        self._is_up: bool | None = None
        self._task: asyncio.Task | None = None
        self._call: asyncio.Task | None = None
        self._may_read = asyncio.Event()
        self._may_read.set()

    def start(self) -> None:
        """Start to follow the store."""
        self._task = start_loop(self._run())

    async def stop(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    @property
    def is_up(self) -> bool:
        """Whether the store is read and has answered the last call."""
        return self._may_read.is_set() and bool(self._is_up)

    def set_reading(self, is_reading: bool) -> None:
        """Start or stop to read; others tell what changes in between."""
        if is_reading == self._may_read.is_set():
            return
        fields = {"revision": self._directory.revision}
        if is_reading:
            self._emit(Event(EventCode.READER_STARTED, fields))
            self._revision = self._directory.revision
            self._is_up = None
            self._may_read.set()
            return
        self._emit(Event(EventCode.READER_STOPPED, fields))
        self._may_read.clear()
        self._directory.regain_store(asyncio.get_running_loop().time())
        if self._call is not None:
            self._call.cancel()

    def restart_call(self) -> None:
        """Give up the open watch, which seems to be silent."""
        if self._call is not None:
            self._call.cancel()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._may_read.wait()
            try:
                await self._step()
            except _ReadingStoppedError:
                continue
            except HistoryGoneError:
                self._revision = 0
                self._emit(Event(EventCode.SOURCE_STALE, {"reason": "history is gone"}))
            except StoreError as exc:
                # Changes may have been missed, so everything is read again.
                self._revision = 0
                self._note_down(str(exc))
                delay = self._backoff_s * (0.75 + 0.5 * self._rng.random())
                self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)
                await asyncio.sleep(delay)
            else:
                self._note_up(loop.time())
                # Nodes that were woken together do not ask together.
                await asyncio.sleep(GATHER_S * (0.6 + 0.8 * self._rng.random()))

    async def _step(self) -> None:
        if not self._revision:
            await self._load()
            return
        changes = await self._interruptible(self._store.watch(self._revision))
        self._note_up(asyncio.get_running_loop().time())
        for item in changes.items:
            self._apply(item)
        self._advance(changes.revision)

    async def _interruptible(self, call):
        self._call = asyncio.ensure_future(call)
        try:
            return await self._call
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            if not self._may_read.is_set():
                raise _ReadingStoppedError from None
            raise StoreError("watch given up: other nodes know more") from None
        finally:
            self._call = None

    async def _load(self) -> None:
        # In this order, what changes in between is part of the next watch.
        listing = await self._store.list_endpoints()
        document = await self._store.read_document()
        now = asyncio.get_running_loop().time()
        self._note_up(now)
        for item in document.items:
            self._apply(item)
        endpoints = []
        for item in listing.items:
            with contextlib.suppress(PlatformFormatError):
                endpoints.append(self._read_endpoint(item))
        self._directory.load(endpoints, listing.revision, now)
        self._advance(listing.revision)

    def _advance(self, revision: int) -> None:
        self._revision = max(1, revision)
        directory = self._directory
        directory.revision = max(directory.revision, revision)
        self._on_change()

    def _apply(self, item: Item) -> None:
        if item.is_document:
            self._apply_document(item)
        elif item.endpoint_id:
            self._apply_endpoint(item)

    def _apply_document(self, item: Item) -> None:
        if item.value is None:
            self._refuse("document removed; the last one stays", item)
            return
        try:
            document = item.read_document()
        except PlatformFormatError as exc:
            self._refuse(str(exc), item)
            return
        if self._directory.take_document(document):
            fields = {"version": document.version, "revision": item.revision}
            self._emit(Event(EventCode.VERSION_APPLIED, fields))

    def _refuse(self, reason: str, item: Item) -> None:
        fields = {"reason": reason, "revision": item.revision}
        self._emit(Event(EventCode.VERSION_REFUSED, fields))

    def _apply_endpoint(self, item: Item) -> None:
        now = asyncio.get_running_loop().time()
        if item.value is not None:
            try:
                endpoint = self._read_endpoint(item)
            except PlatformFormatError:
                # What cannot be read names no worker.
                pass
            else:
                self._directory.put(endpoint)
                fields = {
                    "backend": endpoint.id,
                    "service": endpoint.service,
                    "draining": endpoint.draining,
                    "revision": item.revision,
                }
                self._emit(Event(EventCode.INSTANCES_APPLIED, fields))
                return
        self._directory.remove(item.endpoint_id, item.revision, now)
        fields = {"backend": item.endpoint_id, "revision": item.revision}
        self._emit(Event(EventCode.INSTANCE_REMOVED, fields))

    def _read_endpoint(self, item: Item):
        try:
            return item.read_endpoint()
        except PlatformFormatError as exc:
            fields = {"backend": item.endpoint_id, "reason": str(exc)}
            self._emit(Event(EventCode.INSTANCES_DOUBTED, fields))
            raise

    def _note_up(self, now: float) -> None:
        self._backoff_s = FIRST_BACKOFF_S
        if self._is_up:
            return
        self._is_up = True
        self._directory.regain_store(now)
        self._emit(Event(EventCode.SOURCE_UP, {"revision": self._directory.revision}))

    def _note_down(self, reason: str) -> None:
        if self._is_up is False:
            return
        self._is_up = False
        self._directory.lose_store()
        fields = {"reason": reason, "revision": self._directory.revision}
        self._emit(Event(EventCode.SOURCE_DOWN, fields))
