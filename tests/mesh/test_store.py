"""Guards the store client against any answer of the store."""

import pytest
from aiohttp import web

from mangowell_core.mesh.settings import Address
from mangowell_node.platform import HistoryGoneError, StoreClient, StoreError
from mangowell_standins.platform_store import PlatformStore
from mesh.support_mesh import make_document, make_entry


@pytest.fixture
async def store():
    store = await PlatformStore().start()
    yield store
    await store.stop()


@pytest.fixture
async def client(store):
    client = StoreClient(Address("127.0.0.1", store.port))
    await client.start()
    yield client
    await client.close()


async def test_missing_document_gives_an_empty_listing(client):
    assert (await client.read_document()).items == []


async def test_document_is_read_with_its_revision(store, client):
    revision = store.put("op/config", make_document(4))
    (item,) = (await client.read_document()).items
    assert (item.revision, item.read_document().version) == (revision, 4)


async def test_listing_of_many_pages_is_complete(store, client):
    for number in range(120):
        store.put(f"servers/i-{number:03}", make_entry("10.0.0.1", number + 1))
    listing = await client.list_endpoints()
    assert len({item.endpoint_id for item in listing.items}) == 120


async def test_watch_returns_writes_and_deletions(store, client):
    revision = store.put("servers/i-1", make_entry("10.0.0.1", 1))
    store.put("servers/i-2", make_entry("10.0.0.2", 1))
    store.delete("servers/i-1")
    changes = await client.watch(revision)
    assert [(i.endpoint_id, i.value is None) for i in changes.items] == [
        ("i-2", False),
        ("i-1", True),
    ]
    assert changes.revision == revision + 2


async def test_dropped_history_raises_its_own_error(store, client):
    revision = store.put("servers/i-1", make_entry("10.0.0.1", 1))
    store.put("servers/i-2", make_entry("10.0.0.2", 1))
    store.discard_history()
    store.put("servers/i-3", make_entry("10.0.0.2", 1))
    with pytest.raises(HistoryGoneError):
        await client.watch(revision)


@pytest.mark.parametrize("status", [429, 500, 503])
async def test_refused_call_raises_an_error(store, client, status):
    store.refuse_status = status
    with pytest.raises(StoreError, match=str(status)):
        await client.list_endpoints()


async def test_silent_store_raises_a_timeout_error(store, client, monkeypatch):
    monkeypatch.setattr("mangowell_node.platform.store.READ_TIMEOUT_S", 0.2)
    store.is_silent = True
    with pytest.raises(StoreError, match="Timeout"):
        await client.read_document()


@pytest.mark.parametrize("body", [b"", b"[]", b'{"items": 5}', b"\xff"])
async def test_undecodable_answer_raises_an_error(body):
    async def answer(request):
        return web.Response(body=body)

    app = web.Application()
    app.router.add_get("/api/kv-range", answer)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    client = StoreClient(Address("127.0.0.1", port))
    await client.start()
    try:
        with pytest.raises(StoreError, match="unreadable"):
            await client.list_endpoints()
    finally:
        await client.close()
        await runner.cleanup()
