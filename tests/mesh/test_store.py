"""Guards the client of the platform's store against what the store may answer."""

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


async def test_document_that_is_not_written_yet_is_an_empty_listing(client):
    assert (await client.read_document()).items == []


async def test_document_is_read(store, client):
    revision = store.put("op/config", make_document(4))
    (item,) = (await client.read_document()).items
    assert (item.revision, item.read_document().version) == (revision, 4)


async def test_list_of_many_pages_is_read_whole(store, client):
    for number in range(120):
        store.put(f"servers/i-{number:03}", make_entry("10.0.0.1", number + 1))
    listing = await client.list_endpoints()
    assert len({item.endpoint_id for item in listing.items}) == 120


async def test_watch_gives_changes_and_ends_of_items(store, client):
    revision = store.put("servers/i-1", make_entry("10.0.0.1", 1))
    store.put("servers/i-2", make_entry("10.0.0.2", 1))
    store.delete("servers/i-1")
    changes = await client.watch(revision)
    assert [(i.endpoint_id, i.value is None) for i in changes.items] == [
        ("i-2", False),
        ("i-1", True),
    ]
    assert changes.revision == revision + 2


async def test_history_that_is_gone_is_told_apart(store, client):
    revision = store.put("servers/i-1", make_entry("10.0.0.1", 1))
    store.put("servers/i-2", make_entry("10.0.0.2", 1))
    store.drop_history()
    store.put("servers/i-3", make_entry("10.0.0.2", 1))
    with pytest.raises(HistoryGoneError):
        await client.watch(revision)


@pytest.mark.parametrize("status", [429, 500, 503])
async def test_refusal_is_an_error(store, client, status):
    store.refuse_status = status
    with pytest.raises(StoreError, match=str(status)):
        await client.list_endpoints()


async def test_silent_store_is_an_error(store, client, monkeypatch):
    monkeypatch.setattr("mangowell_node.platform.store.READ_TIMEOUT_S", 0.2)
    store.is_silent = True
    with pytest.raises(StoreError, match="Timeout"):
        await client.read_document()


@pytest.mark.parametrize("body", [b"", b"[]", b'{"items": 5}', b"\xff"])
async def test_unreadable_answer_is_an_error(body):
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
