"""Small stand-in for the platform's metadata store."""

import asyncio
import base64

from aiohttp import web

PAGE_ITEMS = 50


class PlatformStore:
    """Key-value store with one revision counter, range reads and watches.

    Attributes
    ----------
    refuse_status : int
        Status of every answer, or 0 to serve.
    is_silent : bool
        Calls get no answer.
    calls : int
        Calls so far, refused ones included.
    """

    def __init__(self):
        self.refuse_status = 0
        self.is_silent = False
        self.calls = 0
        self.port = 0
        self._revision = 10
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._oldest = 0
        self._changed = asyncio.Event()
        self._watchers: set[asyncio.Transport] = set()
        self._runner: web.AppRunner | None = None

    async def start(self) -> "PlatformStore":
        """Listen on a free port of the loopback address."""
        app = web.Application()
        app.router.add_get("/api/kv-key", self._serve_key)
        app.router.add_get("/api/kv-range", self._serve_range)
        app.router.add_get("/api/kv-watch", self._serve_watch)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Close every connection."""
        await self._runner.cleanup()

    @property
    def watchers(self) -> int:
        """Watches that wait."""
        return len(self._watchers)

    def put(self, key: str, value: bytes) -> int:
        """Write an item; return its revision."""
        self._revision += 1
        made = self._items.get(key, {}).get("created-rev", self._revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "mod-rev": self._revision,
            "created-rev": made,
            "lease": 0,
        }
        self._items[key] = item
        self._record(item)
        return self._revision

    def delete(self, key: str) -> int:
        """End an item; return the revision."""
        self._revision += 1
        del self._items[key]
        self._record({"key": key, "mod-rev": self._revision, "tombstone": True})
        return self._revision

    def drop_history(self) -> None:
        """Forget all changes and cut the watches, as the platform does."""
        self._events.clear()
        self._oldest = self._revision
        for transport in list(self._watchers):
            transport.abort()

    def put_unseen(self, key: str, value: bytes) -> None:
        """Write an item of which no open watch hears."""
        changed, self._changed = self._changed, asyncio.Event()
        self.put(key, value)
        self._changed = changed

    def _record(self, event: dict) -> None:
        self._events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _refuse(self) -> web.Response | None:
        self.calls += 1
        if self.is_silent:
            await asyncio.sleep(3600)
        if self.refuse_status:
            return web.json_response({"error": "no"}, status=self.refuse_status)
        return None

    async def _serve_key(self, request: web.Request) -> web.Response:
        refusal = await self._refuse()
        if refusal is not None:
            return refusal
        item = self._items.get(request.query["key"])
        if item is None:
            return web.json_response({"as-of": self._revision}, status=404)
        return web.json_response({**item, "as-of": self._revision})

    async def _serve_range(self, request: web.Request) -> web.Response:
        refusal = await self._refuse()
        if refusal is not None:
            return refusal
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = [self._items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return web.json_response(
            {"items": page, "has-more": more, "as-of": self._revision}
        )

    async def _serve_watch(self, request: web.Request) -> web.Response:
        refusal = await self._refuse()
        if refusal is not None:
            return refusal
        after = int(request.query["after"])
        deadline = asyncio.get_running_loop().time() + (
            int(request.query["wait-ms"]) / 1000
        )
        transport = request.transport
        self._watchers.add(transport)
        try:
            while not any(e["mod-rev"] > after for e in self._events):
                changed = self._changed
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
        except TimeoutError:
            pass
        finally:
            self._watchers.discard(transport)
        if after < self._oldest:
            return web.json_response({"error": "gone"}, status=410)
        events = [e for e in self._events if e["mod-rev"] > after]
        return web.json_response({"events": events, "as-of": self._revision})
