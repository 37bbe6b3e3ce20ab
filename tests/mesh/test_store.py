"""Guards the store client against any answer of the store."""

import asyncio
import base64
import contextlib

import pytest
from aiohttp import web

from mangowell_core.mesh.revisions import get_era, get_number, make_revision
from mangowell_core.mesh.settings import Address
from mangowell_node.platform import (
    HistoryGoneError,
    PlatformFormatError,
    StoreClient,
    StoreError,
)
from mangowell_standins.platform_store import PlatformStore
from mangowell_standins.scripted_http import make_answer
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


class ScriptedStore:
    """Store that gives one prepared answer after the other.

    Parameters
    ----------
    answers : list of dict
        Bodies of the answers; the last one is repeated.
    era : str
        Value of the header field that names the era.
    """

    def __init__(self, answers, era="0"):
        self.answers = answers
        self.era = era
        self.queries = []

    async def answer(self, request):
        self.queries.append(dict(request.query))
        body = self.answers[min(len(self.queries), len(self.answers)) - 1]
        return web.json_response(body, headers={"Store-Era": self.era})


@contextlib.asynccontextmanager
async def open_client(scripted):
    app = web.Application()
    for name in ("kv-range", "kv-watch", "kv-key"):
        app.router.add_get(f"/api/{name}", scripted.answer)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    client = StoreClient(Address("127.0.0.1", site._server.sockets[0].getsockname()[1]))
    await client.start()
    try:
        yield client
    finally:
        await client.close()
        await runner.cleanup()


def make_item(key, **fields):
    value = base64.b64encode(make_entry("10.0.0.1", 80)).decode()
    return {"key": key, "mod-rev": 5, "value": value, **fields}


MALFORMED_ITEMS = [
    5,
    None,
    [],
    "servers/x",
    {},
    {"key": "servers/x"},
    {"mod-rev": 5},
    make_item("servers/x", **{"mod-rev": "five"}),
    make_item("servers/x", **{"mod-rev": 10**20}),
    make_item("servers/x", **{"mod-rev": -1}),
    make_item(""),
    make_item("x" * 201),
    make_item(["servers/x"]),
]
UNREADABLE_VALUES = [
    "\u4e16",
    "A",
    "====",
    "*",
    '{"address": "10.0.0.1:80"}',
    5,
    None,
    ["YQ=="],
    {"a": "b"},
]


@pytest.mark.parametrize("malformed", MALFORMED_ITEMS)
async def test_malformed_item_of_a_listing_costs_only_itself(malformed):
    items = [make_item("servers/i-1"), malformed, make_item("servers/i-2")]
    answer = {"items": items, "has-more": False, "as-of": 9}
    async with open_client(ScriptedStore([answer])) as client:
        listing = await client.list_endpoints()
    assert [item.endpoint_id for item in listing.items] == ["i-1", "i-2"]
    assert all(item.read_endpoint() for item in listing.items)
    assert (len(listing.refused), listing.revision) == (1, 9)


@pytest.mark.parametrize("malformed", MALFORMED_ITEMS)
async def test_malformed_item_of_a_watch_costs_only_itself(malformed):
    events = [
        malformed,
        {"key": "servers/i-1", "mod-rev": 8, "tombstone": True},
        make_item("op/config"),
    ]
    async with open_client(ScriptedStore([{"events": events, "as-of": 9}])) as client:
        changes = await client.watch(4)
    assert [item.key for item in changes.items] == ["servers/i-1", "op/config"]
    assert (len(changes.refused), changes.revision) == (1, 9)


@pytest.mark.parametrize("value", UNREADABLE_VALUES)
async def test_value_that_is_no_base64_costs_only_its_item(value):
    """Guards against ValueError for text that is not ASCII, and against its use."""
    items = [make_item("servers/i-1", value=value), make_item("servers/i-2")]
    answer = {"items": items, "has-more": False, "as-of": 9}
    async with open_client(ScriptedStore([answer])) as client:
        unreadable, readable = (await client.list_endpoints()).items
    with pytest.raises(PlatformFormatError):
        unreadable.read_endpoint()
    assert readable.read_endpoint()


async def test_paging_goes_on_after_a_malformed_last_item():
    pages = [
        {"items": [make_item("servers/a"), 5], "has-more": True, "as-of": 9},
        {"items": [5, make_item("servers/b\u4e16")], "has-more": True, "as-of": 9},
        {"items": [make_item("servers/c")], "has-more": False, "as-of": 9},
    ]
    store = ScriptedStore(pages)
    async with open_client(store) as client:
        listing = await client.list_endpoints()
    afters = [query.get("after", "") for query in store.queries]
    assert afters == ["", "servers/a", "servers/b\u4e16"]
    assert len(listing.items) == 3


@pytest.mark.parametrize("items", [[make_item("servers/a")], [5]])
async def test_page_that_does_not_advance_ends_the_listing(items):
    """Guards against a listing that reads the same page without end."""
    store = ScriptedStore([{"items": items, "has-more": True, "as-of": 9}])
    async with open_client(store) as client:
        with pytest.raises(StoreError, match="advance"):
            async with asyncio.timeout(3):
                await client.list_endpoints()
    assert len(store.queries) <= 2


@pytest.mark.parametrize("number", [2**40 + 5, 2**53 - 1])
async def test_large_revision_is_kept_in_full(number):
    """Guards against a revision that loses its upper bits.

    A watch from the rest would return all changes again, or none.
    """
    event = make_item("servers/i-1", **{"mod-rev": number})
    store = ScriptedStore([{"events": [event], "as-of": number}], era="3")
    async with open_client(store) as client:
        changes = await client.watch(make_revision(3, number))
    (item,) = changes.items
    assert changes.revision == item.revision == make_revision(3, number)
    assert store.queries[0]["after"] == str(number)
    assert (get_era(item.revision), get_number(item.revision)) == (3, number)


@pytest.mark.parametrize("number", [2**53, 10**20, -1, "9", None, 1.5])
async def test_unusable_revision_of_the_store_is_a_store_error(number):
    store = ScriptedStore([{"events": [], "items": [], "as-of": number}])
    async with open_client(store) as client:
        for call in (client.watch(4), client.list_endpoints(), client.read_document()):
            with pytest.raises(StoreError, match="unreadable"):
                await call


@pytest.mark.parametrize("era", ["1024", "9" * 30, "9" * 5000])
async def test_era_out_of_range_is_a_store_error(era):
    store = ScriptedStore([{"events": [], "as-of": 9}], era)
    async with open_client(store) as client:
        with pytest.raises(StoreError, match="era"):
            await client.watch(4)


async def test_answer_nested_too_deep_is_a_store_error():
    store = ScriptedStore([])

    async def answer(request):
        nested = "[" * 6000 + "]" * 6000
        return web.Response(text=f'{{"events": [], "as-of": 9, "x": {nested}}}')

    store.answer = answer
    async with open_client(store) as client:
        with pytest.raises(StoreError, match="unreadable"):
            await client.watch(4)


@contextlib.asynccontextmanager
async def run_scripted_store(status, fields=""):
    """Run a store that gives the same answer to all calls, and a client of it."""
    body = b'{"items": [], "events": [], "has-more": false, "as-of": 12}'

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(make_answer(body, status, f"Store-Era: 3\r\n{fields}"))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    client = StoreClient(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
    await client.start()
    try:
        yield client
    finally:
        await client.close()
        server.close()


@pytest.mark.parametrize(
    "status",
    ("000 X", "099 X", "99 X", "0200 X", "600 X", "101 X", "204 N", "304 N", "503 X"),
)
async def test_status_that_the_store_does_not_use_states_nothing(status):
    """Its era was recorded like that of an answer."""
    async with run_scripted_store(status) as client:
        for call in (client.read_document, client.list_endpoints):
            with pytest.raises(StoreError):
                await call()
        with pytest.raises(StoreError):
            await client.watch(11)
        assert client.era == 0


async def test_interim_answer_of_the_store_is_skipped():
    interim = "103 Early\r\n\r\nHTTP/1.1 200 OK"
    async with run_scripted_store(interim) as client:
        assert (await client.list_endpoints()).items == []


async def test_redirection_is_not_followed_to_another_store(store):
    """Items of any server that a redirection named were taken for the store's."""
    store.put("servers/i-1", make_entry("10.0.0.1", 1))
    target = f"http://127.0.0.1:{store.port}/api/kv-range?prefix=servers/"
    async with run_scripted_store("302 Found", f"Location: {target}\r\n") as client:
        with pytest.raises(StoreError):
            await client.list_endpoints()
    assert store.calls == 0
