"""Stand-in for the platform's metadata store, served over HTTP."""

import asyncio
import base64
from enum import Enum
from typing import NamedTuple
from weakref import WeakSet

from aiohttp import web

MAX_PAGE_ITEMS = 50
# Length of the values of a page, which ends with the item that exceeds it.
MAX_PAGE_CHARS = 1_000_000
# Length of the parts of an answer that is sent slowly.
SLOW_PART_BYTES = 8192
# Field of a kept item with the changes of its other fields in the answers.
_CHANGES = "changes"


class Marker(Enum):
    """Value of a changed field that is left out of the answers."""

    REMOVED = "removed"


REMOVED = Marker.REMOVED


class StoreCopy(NamedTuple):
    """Content of the store at one moment."""

    revision: int
    items: dict[str, dict]
    events: list[dict]


class PlatformStore:
    """Key-value store with one revision counter, range reads and watches.

    Attributes
    ----------
    refuse_status : int
        HTTP status of every answer, or 0 to serve normally.
    is_silent : bool
        Whether new calls are left unanswered.
    delay_s : float
        Time by which every answer is late, in seconds.
    bytes_per_s : float
        Rate at which the bodies of answers are sent, or 0 for no limit.
    calls : int
        Calls received so far, including refused and unanswered ones.
    era : int
        Number of restores so far, which every answer names.
    port : int
        TCP port, or 0 before `start`.
    """

    def __init__(self):
        self.refuse_status = 0
        self.is_silent = False
        self.delay_s = 0.0
        self.bytes_per_s = 0.0
        self.calls = 0
        self.era = 0
        self.port = 0
        self._revision = 10
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._compacted_revision = 0
        self._changed = asyncio.Event()
        self._watch_transports: set[asyncio.Transport] = set()
        self._transports: WeakSet[asyncio.Transport] = WeakSet()
        self._silent_transports: WeakSet[asyncio.Transport] = WeakSet()
        self._runner: web.AppRunner | None = None

    async def start(self) -> "PlatformStore":
        """Listen on a free port of the loopback address."""
        app = web.Application(middlewares=[self._answer_unless_silent])
        app.on_response_prepare.append(self._add_era)
        app.router.add_get("/api/kv-key", self._handle_get)
        app.router.add_get("/api/kv-range", self._handle_range)
        app.router.add_get("/api/kv-watch", self._handle_watch)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        await self._runner.cleanup()

    @property
    def watch_count(self) -> int:
        """Number of watches that wait for a change."""
        return len(self._watch_transports)

    def put(self, key: str, value: bytes, changes: dict | None = None) -> int:
        """Write an item and return its revision.

        Parameters
        ----------
        key : str
            Key of the item.
        value : bytes
            Its value.
        changes : dict, default=None
            Fields that all answers with this item have in place of the usual ones;
            fields with the value `REMOVED` are left out.
        """
        self._revision += 1
        created_revision = self._items.get(key, {}).get("created-rev", self._revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "mod-rev": self._revision,
            "created-rev": created_revision,
            "lease": 0,
            _CHANGES: changes or {},
        }
        self._items[key] = item
        self._record_event(item)
        return self._revision

    def delete(self, key: str) -> int:
        """Delete an item and return the revision of the deletion."""
        self._revision += 1
        del self._items[key]
        self._record_event({"key": key, "mod-rev": self._revision, "tombstone": True})
        return self._revision

    def discard_history(self) -> None:
        """Discard all recorded changes and abort the watches, as the platform does.

        A later watch from an older revision gets status 410.
        """
        self._events.clear()
        self._compacted_revision = self._revision
        for transport in list(self._watch_transports):
            transport.abort()

    def silence_open_connections(self) -> None:
        """Answer nothing more on the connections that are open now.

        They stay open, and new ones are served.
        """
        self._silent_transports.update(self._transports)

    def take_copy(self) -> StoreCopy:
        """Return a copy for `restore`."""
        return StoreCopy(self._revision, dict(self._items), list(self._events))

    def restore(self, copy: StoreCopy) -> None:
        """Replace the content by that of a copy, and cut the watches.

        All that was written since the copy is lost, and its revisions are given out
        again. A watch from a revision that does not exist yet gets status 410.
        """
        self._revision = copy.revision
        self._items, self._events = dict(copy.items), list(copy.events)
        self.era += 1
        for transport in list(self._watch_transports):
            transport.abort()

    def put_without_notification(self, key: str, value: bytes) -> None:
        """Write an item without waking the open watches."""
        changed, self._changed = self._changed, asyncio.Event()
        self.put(key, value)
        self._changed = changed

    def _record_event(self, event: dict) -> None:
        self._events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    @web.middleware
    async def _answer_unless_silent(self, request: web.Request, handler):
        self._transports.add(request.transport)
        response = await handler(request)
        await asyncio.sleep(self.delay_s)
        if request.transport in self._silent_transports:
            await asyncio.sleep(3600)
        return await self._send_slowly(request, response)

    async def _send_slowly(self, request: web.Request, response: web.Response):
        """Send an answer at the rate that is set."""
        if not self.bytes_per_s:
            return response
        slow = web.StreamResponse(status=response.status, headers=response.headers)
        await slow.prepare(request)
        for start in range(0, len(response.body), SLOW_PART_BYTES):
            part = response.body[start : start + SLOW_PART_BYTES]
            await asyncio.sleep(len(part) / self.bytes_per_s)
            await slow.write(part)
        return slow

    async def _add_era(self, request: web.Request, response: web.Response) -> None:
        response.headers["Store-Era"] = str(self.era)

    async def _simulate_fault(self) -> web.Response | None:
        """Count a call; return the refusal that is set, or None to serve the call."""
        self.calls += 1
        if self.is_silent:
            await asyncio.sleep(3600)
        if self.refuse_status:
            return web.json_response({"error": "no"}, status=self.refuse_status)
        return None

    async def _handle_get(self, request: web.Request) -> web.Response:
        refusal = await self._simulate_fault()
        if refusal is not None:
            return refusal
        item = self._items.get(request.query["key"])
        if item is None:
            return web.json_response({"as-of": self._revision}, status=404)
        return web.json_response({**_render(item), "as-of": self._revision})

    async def _handle_range(self, request: web.Request) -> web.Response:
        refusal = await self._simulate_fault()
        if refusal is not None:
            return refusal
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page, length = [], 0
        for key in keys[:MAX_PAGE_ITEMS]:
            page.append(_render(self._items[key]))
            length += len(self._items[key]["value"])
            if length > MAX_PAGE_CHARS:
                break
        has_more = len(keys) > len(page)
        return web.json_response(
            {"items": page, "has-more": has_more, "as-of": self._revision}
        )

    async def _handle_watch(self, request: web.Request) -> web.Response:
        refusal = await self._simulate_fault()
        if refusal is not None:
            return refusal
        after = int(request.query["after"])
        if after > self._revision:
            return web.json_response({"error": "gone"}, status=410)
        deadline = asyncio.get_running_loop().time() + (
            int(request.query["wait-ms"]) / 1000
        )
        transport = request.transport
        self._watch_transports.add(transport)
        try:
            while not any(e["mod-rev"] > after for e in self._events):
                changed = self._changed
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
        except TimeoutError:
            pass
        finally:
            self._watch_transports.discard(transport)
        if after < self._compacted_revision:
            return web.json_response({"error": "gone"}, status=410)
        events = [_render(e) for e in self._events if e["mod-rev"] > after]
        return web.json_response({"events": events, "as-of": self._revision})


def _render(item: dict) -> dict:
    """Return an item or a deletion as the answers have it."""
    fields = item | item.get(_CHANGES, {})
    fields.pop(_CHANGES, None)
    return {name: value for name, value in fields.items() if value is not REMOVED}
