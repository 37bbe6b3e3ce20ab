"""Guards what the stand-in of the store answers, also with items of other writers."""

import aiohttp
import pytest

from mangowell_standins.platform_store import REMOVED, PlatformStore


@pytest.fixture
async def store():
    store = await PlatformStore().start()
    yield store
    await store.stop()


async def get(store, path):
    url = f"http://127.0.0.1:{store.port}/api/{path}"
    async with aiohttp.ClientSession() as session, session.get(url) as resp:
        return await resp.json()


async def test_changed_fields_are_in_all_answers_and_in_a_copy(store):
    """Guards against a soak whose unreadable items never reach a node."""
    first = store.put("servers/a", b"x", {"value": "%%", "lease": REMOVED})
    store.put("servers/b", b"x", {"mod-rev": "text"})
    store.restore(store.take_copy())
    item = {"key": "servers/a", "value": "%%", "mod-rev": first, "created-rev": first}
    listing = await get(store, "kv-range?prefix=servers/")
    watch = await get(store, f"kv-watch?prefix=&after={first - 1}&wait-ms=0")
    assert [len(listing["items"]), len(watch["events"])] == [2, 2]
    for answer in (listing["items"], watch["events"]):
        assert answer[0] == item
        assert answer[1]["mod-rev"] == "text"
    assert await get(store, "kv-key?key=servers/a") == item | {"as-of": first + 1}


async def test_page_ends_after_large_values(store):
    """Guards against a listing that is larger than the platform's."""
    for name in "abc":
        store.put(f"servers/{name}", b"x" * 600_000)
    page = await get(store, "kv-range?prefix=servers/")
    assert [len(page["items"]), page["has-more"]] == [2, True]
    page = await get(store, "kv-range?prefix=servers/&after=servers/b")
    assert [len(page["items"]), page["has-more"]] == [1, False]
