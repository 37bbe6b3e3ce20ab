"""Read-only client of the metadata store of the platform."""

import asyncio
import base64
import socket
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Annotated, Any
from urllib.parse import quote

import aiohttp
import msgspec
from aiohttp.client_proto import ResponseHandler
from msgspec import Meta

from mangowell_core import formats
from mangowell_core.mesh.model import Endpoint, MeshDocument, Name
from mangowell_core.mesh.revisions import (
    MAX_ERA,
    MAX_NUMBER,
    get_era,
    get_number,
    make_revision,
)
from mangowell_core.mesh.settings import Address
from mangowell_node.platform.document import (
    DOCUMENT_KEY,
    ENDPOINT_PREFIX,
    EVACUATION_PREFIX,
    decode_document,
    decode_endpoint,
    ignore_warning,
)

# Statuses with which the store answers a call; all others mean that it has failed.
_STATUSES = frozenset({HTTPStatus.OK, HTTPStatus.NOT_FOUND, HTTPStatus.GONE})
# Counts how often the store has been restored from an older copy.
_ERA_FIELD = "Store-Era"
# Time that the store may hold a watch open. A connection may be silent from the pause
# before a watch on, and what was missed must be in force within 3 s of that: pause,
# wait, margin and the repeated call take 2.5 s. The store accepts up to 30 s.
WATCH_WAIT_MS = 1400
# Time that the answer to a watch may arrive after the end of its wait, in seconds.
WATCH_MARGIN_S = 0.5
# Wait of the call that repeats a lost watch, the shortest that the store accepts: it
# only has to tell what was missed.
REPEAT_WAIT_MS = 1
# Time limit of that call, in seconds.
REPEAT_TIMEOUT_S = 0.8
# Longest time of a watch with its repetition, in seconds.
MAX_WATCH_S = WATCH_WAIT_MS / 1000 + WATCH_MARGIN_S + REPEAT_TIMEOUT_S
# Time limit of a read, in seconds: many times the usual 4 ms, so that an outage that
# slows the store down is not taken for one that stops it.
READ_TIMEOUT_S = 1.5
# Time within which the next bytes of an answer arrive once it has begun, and within
# which all of it does, in seconds. A long document takes its time on a slow link.
STALL_TIMEOUT_S = 0.5
MAX_ANSWER_S = 10.0
# Longest body of an answer and longest listing of all pages, in bytes. Nodes send each
# other no longer documents either.
MAX_ANSWER_BYTES = 16_777_216
# Pause after a small part of a body, in seconds, so that a body in chunks of one byte
# is not parsed as fast as it arrives. A slow link fills it with more bytes.
SMALL_PART_BYTES = 4096
SMALL_PART_PAUSE_S = 0.02
# Bytes that are parsed at once, and heads that may wait to be read on one connection:
# the library keeps interim answers without a limit.
PARSED_PIECE_BYTES = 4096
MAX_WAITING_HEADS = 16
# TCP keepalive probes detect a dead connection to the store, as a watch may be
# silent for its whole wait.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2500


# Value of an item whose text is not valid base64.
UNREADABLE = b""
MAX_KEY_BYTES = 200
MAX_ERA_DIGITS = 9
_Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]


class StoreError(Exception):
    """A call that the store did not answer, refused or answered unreadably."""


class ConnectionLostError(StoreError):
    """A call whose connection failed or stayed silent."""


class HistoryGoneError(StoreError):
    """The store lacks changes after a revision, so all items must be listed.

    It has dropped its history, or was restored from a copy.
    """


class Item(msgspec.Struct, frozen=True):
    """One item of the store as it was written, or its deletion.

    Parameters
    ----------
    key : str
        Key in the store.
    value : bytes or None
        Value as written; None if the item was deleted.
    revision : int
        Revision of the write or deletion.
    """

    key: str
    value: bytes | None
    revision: int

    @property
    def is_document(self) -> bool:
        """Whether the item is the operators' document."""
        return self.key == DOCUMENT_KEY

    @property
    def endpoint_id(self) -> str:
        """Id of the worker that the item describes, or an empty string."""
        if not self.key.startswith(ENDPOINT_PREFIX):
            return ""
        return self.key.removeprefix(ENDPOINT_PREFIX)

    @property
    def evacuated_domain(self) -> str:
        """Failure domain that the item orders to evacuate, or an empty string.

        Also empty if no failure domain can have that name: other nodes would drop
        each message that contains it.
        """
        if not self.key.startswith(EVACUATION_PREFIX):
            return ""
        try:
            return msgspec.convert(self.key.removeprefix(EVACUATION_PREFIX), Name)
        except msgspec.ValidationError:
            return ""

    def read_document(
        self, warn: Callable[[str], None] = ignore_warning
    ) -> MeshDocument:
        """Decode the value; see `decode_document`."""
        return decode_document(self.value, warn)

    def read_endpoint(self) -> Endpoint:
        """Decode the value; raises `PlatformFormatError`."""
        return decode_endpoint(self.key, self.value, self.revision)


class Listing(msgspec.Struct, frozen=True):
    """Items of a prefix.

    Parameters
    ----------
    items : list of Item
        Items of all pages.
    revision : int
        Revision at which the first page was read.
    through : int
        Revision at which the last page was read. If it is later, the items are those
        of no revision, and all changes between the two have to be applied to them.
    refused : tuple of str
        Reasons, one for each item that could not be decoded.
    """

    items: list[Item]
    revision: int
    through: int
    refused: tuple[str, ...] = ()


class Changes(msgspec.Struct, frozen=True):
    """Changes up to a revision, oldest first.

    Parameters
    ----------
    items : list of Item
        Items as they were written or deleted.
    revision : int
        Revision through which they are complete.
    sent_at : float
        Time at which the answered call was sent, in seconds of the event loop.
    refused : tuple of str
        Reasons, one for each change that could not be decoded.
    """

    items: list[Item]
    revision: int
    sent_at: float
    refused: tuple[str, ...] = ()


class _RawItem(msgspec.Struct, rename="kebab"):
    key: Annotated[str, Meta(min_length=1, max_length=MAX_KEY_BYTES)]
    mod_rev: _Number  # revision of the last change
    value: Any = ""  # base64 text; a decoder refuses all else
    tombstone: bool = False


class _KeyReply(_RawItem, rename="kebab"):
    as_of: _Number = 0  # revision of the store, not of the item


class _RangeReply(msgspec.Struct, rename="kebab"):
    items: list[msgspec.Raw]
    has_more: bool
    as_of: _Number


class _WatchReply(msgspec.Struct, rename="kebab"):
    events: list[msgspec.Raw]
    as_of: _Number


_item_decoder = msgspec.json.Decoder(_RawItem)


class StoreClient:
    """Reads the store of the platform over HTTP.

    Parameters
    ----------
    address : Address
        Address of the store.

    Attributes
    ----------
    calls : int
        Number of calls so far.
    era : int
        Number of times that the store has been restored from an older copy, by its
        latest answer.
    """

    __slots__ = ("_base_url", "_session", "calls", "era", "on_progress")

    def __init__(self, address: Address):
        # Called whenever bytes of an answer have arrived.
        self.on_progress: Callable[[], None] = _ignore_progress
        self._base_url = f"http://{address.host}:{address.port}/api/"
        self._session: aiohttp.ClientSession | None = None
        self.calls = 0
        self.era = 0

    async def start(self) -> None:
        """Open the client session."""
        connector = aiohttp.TCPConnector(
            limit=4, keepalive_timeout=10.0, socket_factory=_make_socket
        )
        # The library has no public way to replace its protocol.
        connector._factory = partial(_StoreConnection, asyncio.get_running_loop())
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            middlewares=(_fail_on_disconnect,),
        )

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def read_document(self) -> Listing:
        """Read the document; the listing is empty if there is none yet."""
        path = f"kv-key?key={quote(DOCUMENT_KEY)}"
        era, body = await self._get(path, READ_TIMEOUT_S)
        if body is None:
            return Listing([], 0, 0)
        reply = _decode(_KeyReply, body)
        revision = make_revision(era, reply.as_of)
        return Listing([_make_item(reply, era)], revision, revision)

    async def list_endpoints(self) -> Listing:
        """List the entries of all workers; see `_list`."""
        return await self._list(ENDPOINT_PREFIX)

    async def list_evacuations(self) -> Listing:
        """List the orders to evacuate failure domains; see `_list`."""
        return await self._list(EVACUATION_PREFIX)

    async def _list(self, prefix: str) -> Listing:
        """List the items whose keys begin with a prefix."""
        items: list[Item] = []
        refused: list[str] = []
        keys: set[str] = set()
        revision = 0
        size = 0
        after = ""
        while True:
            path = f"kv-range?prefix={quote(prefix, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            era, body = await self._get(path, READ_TIMEOUT_S)
            if body is None:
                raise StoreError("list refused: 404")
            size += len(body)
            if size > MAX_ANSWER_BYTES:
                raise StoreError(f"listing of more than {MAX_ANSWER_BYTES} bytes")
            reply = _decode(_RangeReply, body)
            through = make_revision(era, reply.as_of)
            revision = revision or through
            if era != get_era(revision):
                raise StoreError("store was restored between two pages")
            page = _read_items(reply.items, era, refused)
            items += page
            if not reply.has_more or not reply.items:
                return Listing(items, revision, through, tuple(refused))
            if not page or page[-1].key in keys:
                # What follows is unknown, so no worker may be taken for removed.
                raise StoreError("unreadable answer: page does not advance")
            after = page[-1].key
            keys.update(item.key for item in page)

    async def watch(self, revision: int) -> Changes:
        """Wait for changes of any key after a revision.

        If the connection is lost, the call is repeated once on a new one.

        Parameters
        ----------
        revision : int
            Last revision that is known.

        Raises
        ------
        HistoryGoneError
            If the store has dropped some of the changes, or was restored from a
            copy: it may then have given out the revision again.
        """
        sent_at = asyncio.get_running_loop().time()
        try:
            return await self._watch(
                revision, WATCH_WAIT_MS, WATCH_WAIT_MS / 1000 + WATCH_MARGIN_S
            )
        except ConnectionLostError:
            # Connections go silent or are cut while the store serves new ones. The
            # lost one is closed, so this call opens another.
            changes = await self._watch(revision, REPEAT_WAIT_MS, REPEAT_TIMEOUT_S)
        if not changes.items and changes.revision != revision:
            raise HistoryGoneError("store has dropped changes since the lost watch")
        # As the new connection was served at once, only the old one was lost: the
        # store counts as up since the first call.
        return msgspec.structs.replace(changes, sent_at=sent_at)

    async def _watch(self, revision: int, wait_ms: int, timeout_s: float) -> Changes:
        after = get_number(revision)
        path = f"kv-watch?prefix=&after={after}&wait-ms={wait_ms}"
        sent_at = asyncio.get_running_loop().time()
        era, body = await self._get(path, timeout_s)
        if body is None:
            raise StoreError("watch refused: 404")
        reply = _decode(_WatchReply, body)
        if era != get_era(revision):
            raise HistoryGoneError("store was restored from a copy")
        refused: list[str] = []
        items = _read_items(reply.events, era, refused)
        revision = make_revision(era, reply.as_of)
        return Changes(items, revision, sent_at, tuple(refused))

    async def _get(self, path: str, timeout_s: float) -> tuple[int, bytes | None]:
        """Return era and body of an answer; the body is None if its status is 404."""
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=READ_TIMEOUT_S)
        try:
            async with (
                asyncio.timeout(timeout_s) as limit,
                self._session.get(
                    self._base_url + path, timeout=timeout, allow_redirects=False
                ) as resp,
            ):
                body = await self._read_body(resp, limit)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise ConnectionLostError(f"{type(exc).__name__}: {exc}") from exc
        if resp.status not in _STATUSES:
            # Not an answer of the store, so its fields are no statements either.
            raise StoreError(f"status {resp.status:03}")
        era = self.era = _read_era(resp.headers)
        if resp.status == HTTPStatus.GONE:
            raise HistoryGoneError("status 410: history is gone")
        return era, body if resp.status == HTTPStatus.OK else None

    async def _read_body(
        self, resp: aiohttp.ClientResponse, limit: asyncio.Timeout
    ) -> bytes:
        """Read a body; its time limit is extended while it arrives."""
        loop = asyncio.get_running_loop()
        end = loop.time() + MAX_ANSWER_S
        chunks = []
        size = 0
        while chunk := await resp.content.readany():
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_ANSWER_BYTES:
                raise StoreError(f"answer of more than {MAX_ANSWER_BYTES} bytes")
            limit.reschedule(min(end, max(limit.when(), loop.time() + STALL_TIMEOUT_S)))
            self.on_progress()
            if len(chunk) <= SMALL_PART_BYTES and not resp.content.at_eof():
                await asyncio.sleep(SMALL_PART_PAUSE_S)
        return b"".join(chunks)


class _StoreConnection(ResponseHandler):
    """Connection that ends if the store sends heads without end."""

    def data_received(self, data: bytes) -> None:
        """Parse bytes in pieces."""
        if len(data) <= PARSED_PIECE_BYTES:
            super().data_received(data)
            return
        for start in range(0, len(data), PARSED_PIECE_BYTES):
            super().data_received(data[start : start + PARSED_PIECE_BYTES])
            if len(self._buffer) > MAX_WAITING_HEADS:
                self.abort()
                return


def _ignore_progress() -> None:
    """Do nothing; replaced by the reader of the store."""


async def _fail_on_disconnect(req, handler):
    """Raise an error for a lost connection, where aiohttp would repeat the call.

    The store closes the connection of a watch when it drops its history. If the
    watch is repeated from the same revision, the store reports the dropped history
    only after the next change.
    """
    try:
        return await handler(req)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise ConnectionLostError(
            f"connection cut: {type(exc).__name__}: {exc}"
        ) from exc


def _read_era(headers) -> int:
    """Return the era of the store; 0 if the answer does not state it."""
    text = headers.get(_ERA_FIELD, "").strip()
    if not (text.isascii() and text.isdecimal()):
        return 0
    era = int(text[:MAX_ERA_DIGITS])
    if len(text) > MAX_ERA_DIGITS or era > MAX_ERA:
        raise StoreError(f"unreadable answer: era of {len(text)} digits")
    return era


def _decode(kind: type, body: bytes):
    return formats.decode(
        lambda body: msgspec.json.decode(body, type=kind),
        body,
        StoreError,
        "unreadable answer",
    )


def _read_items(
    raw_items: list[msgspec.Raw], era: int, refused: list[str]
) -> list[Item]:
    """Decode each item on its own; add the reasons of undecodable ones to `refused`."""
    items = []
    for raw in raw_items:
        try:
            item = formats.decode(_item_decoder.decode, raw, StoreError, "item")
        except StoreError as exc:
            refused.append(str(exc))
        else:
            items.append(_make_item(item, era))
    return items


def _make_item(raw: _RawItem, era: int) -> Item:
    revision = make_revision(era, raw.mod_rev)
    if raw.tombstone:
        return Item(raw.key, None, revision)
    try:
        value = formats.decode(_decode_base64, raw.value, StoreError)
    except StoreError:
        # No decoder accepts this value, so each reports an error with the key.
        value = UNREADABLE
    return Item(raw.key, value, revision)


def _decode_base64(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def _make_socket(address_info) -> socket.socket:
    """Return a socket with TCP keepalive probes."""
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return sock
