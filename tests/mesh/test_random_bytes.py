"""Guards against bytes that are accepted at one stage and fail at a later one.

Values go the whole way that they take in a fleet: from an item of the store through
the decoder and the directory of one node, as a notice to another node, and into the
directory, the placement and the routes there.
"""

import asyncio
import json
import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from mangowell_core.mesh import Directory, Placement, RouteTable, parse_mesh_settings
from mangowell_core.mesh.changes import Publication
from mangowell_core.mesh.model import CrashNotice, ProbeNotice, ProbeReply, StatusNotice
from mangowell_core.mesh.routes import TrafficSplitter
from mangowell_node.exchange import AnswerHead, RequestHead
from mangowell_node.link import MAX_FRAME, LinkError
from mangowell_node.link.frames import (
    FRAME_HEADER,
    FrameType,
    decode_answer,
    decode_request,
    encoder,
)
from mangowell_node.link.server import LinkServer, ServerLink
from mangowell_node.mesh.notices import (
    NoticeFormatError,
    decode_notice,
    encode_notice,
)
from mangowell_node.platform import PlatformFormatError
from mangowell_node.platform.headers import PlatformDialect
from mangowell_node.platform.store import Item
from mangowell_standins.foreign_items import (
    make_foreign_document,
    make_foreign_entry,
    make_foreign_key,
    make_valid_document,
    make_valid_entry,
)
from mesh.test_mesh_settings import render_template

# The same examples at every run, as a failure of CI has to be repeatable.
repeatable = settings(
    max_examples=300,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
SEEDS = st.integers(0, 2**32)
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from((2**63, -(2**63), 10**20, 65_536, 0, -1))
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(("", "5s", "1" * 400 + "s", "10.0.0.1:0", "a\r\nX: y", "\x00")),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=4,
)


@st.composite
def change_json(draw, make):
    """Draw a valid object with one or two fields replaced, and maybe bytes too."""
    value = make(random.Random(draw(SEEDS)))
    for _ in range(draw(st.integers(0, 2))):
        part = value
        while True:
            keys = list(part) if isinstance(part, dict) else list(range(len(part)))
            if not keys:
                break
            key = draw(st.sampled_from(keys))
            if isinstance(part[key], dict | list) and draw(st.booleans()):
                part = part[key]
                continue
            part[key] = draw(VALUES)
            break
    return draw(mutate_bytes(json.dumps(value).encode()))


@st.composite
def mutate_bytes(draw, data):
    """Draw the bytes with at most two of them replaced, removed or added."""
    data = bytearray(data)
    for _ in range(draw(st.integers(0, 2))):
        start = draw(st.integers(0, len(data)))
        end = start + draw(st.integers(0, 3))
        data[start:end] = draw(st.binary(max_size=3))
    return bytes(data)


FOREIGN_ENTRIES = SEEDS.map(lambda seed: make_foreign_entry(random.Random(seed)))
FOREIGN_DOCUMENTS = SEEDS.map(lambda seed: make_foreign_document(random.Random(seed)))
KEYS = st.one_of(
    st.just("servers/i-1"),
    SEEDS.map(lambda seed: make_foreign_key(random.Random(seed))),
    st.text(max_size=20).map(lambda name: f"servers/{name}"),
)
ENTRIES = FOREIGN_ENTRIES | change_json(make_valid_entry)
DOCUMENTS = FOREIGN_DOCUMENTS | change_json(make_valid_document)


def use_state(directory):
    """Calculate with all that a directory holds, as a request does."""
    placement = Placement("127.0.0.1", "z", random.Random(1))
    workers = directory.get_workers()
    placement.sync(workers, 10.0)
    for worker in workers:
        assert 1 <= worker.port <= 65_535
        cost = placement.estimate_cost(worker, "r1", 0.5, 10.0)
        assert 0 <= cost < float("inf")
        head = AnswerHead(200, "", slots=worker.slots)
        decode_answer(encoder.encode(head))
        request = make_request_head(instance=worker.id)
        fields = PlatformDialect().write_fields(request, 100)
        assert fields.count(b"\r\n") == 3
    if directory.document is not None:
        use_document(directory.document)


def use_document(document):
    splitter = TrafficSplitter(random.Random(1))
    routes = RouteTable(document)
    for route in document.routes:
        routes.match(route.host, route.prefix)
        services = {name for name, _ in route.parts}
        assert {splitter.select_service(route) for _ in range(4)} <= services
        head = make_request_head(
            service=route.parts[0][0],
            route=route.name,
            priority=route.priority,
            objective_s=route.objective_s,
            remaining_ms=route.timeout_s * 1000,
        )
        assert decode_request(encoder.encode(head)).priority == route.priority


def make_request_head(**fields):
    values = {
        "request": "id",
        "service": "orders",
        "method": "GET",
        "target": "/",
        "headers": b"",
        "tenant": "",
        "traffic_class": "",
        "priority": 1,
        "deferrable": False,
        "remaining_ms": 100.0,
        "idempotent": True,
        "caller_service": "orders",
    }
    return RequestHead(**values | fields)


def send(notice):
    """Return a notice as another node receives it."""
    payload = encode_notice(notice)
    assert len(payload) <= MAX_FRAME
    reasons = []
    received = decode_notice(payload, reasons.append)
    assert received == notice
    assert not reasons
    return received


@repeatable
@given(st.lists(st.tuples(KEYS, ENTRIES), max_size=4), st.none() | DOCUMENTS)
def test_accepted_items_are_carried_through_all_stages(entries, document):
    reader, peer, late = Directory(), Directory(), Directory()
    publication = Publication()
    publication.mark(1, None, {})
    reader.revision = peer.revision = 1
    for number, (key, value) in enumerate(entries, 2):
        try:
            endpoint = Item(key, value, number).read_endpoint()
        except PlatformFormatError as exc:
            assert str(exc).isascii()
            continue
        reader.put(endpoint)
    if document is not None:
        try:
            reader.apply_document(Item("op/config", document, 9).read_document())
        except PlatformFormatError as exc:
            assert str(exc).isascii()
    reader.revision = 9
    late.apply_state(send(reader.export()), 10.0)
    state = reader.revision, reader.document, reader.history, reader.endpoints
    changes = publication.collect(*state)
    if not peer.apply_changes(send(changes), 10.0):
        # It has no document that the change could start from, so it asks for all.
        peer.apply_state(send(reader.export()), 10.0)
    assert late.endpoints == peer.endpoints == reader.endpoints
    for directory in (reader, late):
        use_state(directory)


@repeatable
@given(FOREIGN_ENTRIES, st.binary(max_size=100), KEYS)
def test_bytes_that_are_no_entry_name_no_worker(value, noise, key):
    with pytest.raises(PlatformFormatError):
        Item(key, noise, 1).read_endpoint()
    try:
        endpoint = Item(key, value, 1).read_endpoint()
    except PlatformFormatError:
        return
    assert endpoint.service.startswith("unknown-")


def make_notices(seed):
    """Return one valid notice of each kind."""
    rng = random.Random(seed)
    directory = Directory()
    revision = 1 + rng.randrange(2**40)
    for number in range(3):
        value = json.dumps(make_valid_entry(rng)).encode()
        directory.put(Item(f"servers/i-{number}", value, revision).read_endpoint())
    value = json.dumps(make_valid_document(rng)).encode()
    directory.apply_document(Item("op/config", value, 1).read_document())
    directory.revision = revision
    publication = Publication()
    publication.mark(1, None, {})
    state = revision, directory.document, directory.history, directory.endpoints
    return [
        directory.export(),
        publication.collect(*state),
        StatusNotice("n", revision, True, 3, 4, True, True, 10.0, {"orders": (1, 2)}),
        CrashNotice("i-1/5", ("f1", "f2")),
        ProbeNotice(1, "i-1", "r1", 1, 0.5, 1.0, False, float("inf")),
        ProbeReply(1, True, 0.0, 0.1, 0.5, 3, 4),
        ProbeNotice(2, "i-1", "r1", 1, 0.5, 1.0, False, is_trial=True),
        ProbeReply(2, False, 0.0, 0.1, 0.5, 3, 4, "worker leaves", 3),
    ]


@st.composite
def draw_changed_notice(draw):
    notices = make_notices(draw(st.integers(0, 20)))
    payload = encoder.encode(draw(st.sampled_from(notices)))
    return draw(mutate_bytes(payload))


@repeatable
@given(draw_changed_notice())
def test_changed_notices_are_refused_or_usable(payload):
    try:
        notice = decode_notice(payload)
    except NoticeFormatError as exc:
        assert str(exc).isascii()
        return
    assert decode_notice(encode_notice(notice)) == notice
    directory = Directory()
    match type(notice).__name__:
        case "StateNotice":
            directory.apply_state(notice, 10.0)
        case "ChangeNotice":
            directory.revision = 1
            directory.apply_changes(notice, 10.0)
    use_state(directory)


@repeatable
@given(st.data())
def test_changed_heads_are_refused_or_usable(data):
    head = data.draw(
        st.sampled_from((make_request_head(), AnswerHead(200, "OK"), AnswerHead(0, "")))
    )
    decode = decode_request if isinstance(head, RequestHead) else decode_answer
    try:
        changed = decode(data.draw(mutate_bytes(encoder.encode(head))))
    except LinkError as exc:
        assert str(exc).isascii()
    else:
        assert decode(encoder.encode(changed)) == changed


class FakeTransport:
    """Transport that discards what is written."""

    def get_extra_info(self, name):
        return "127.0.0.1", 1

    def write(self, data):
        """Discard the data."""

    def abort(self):
        """Do nothing."""


@st.composite
def draw_frames(draw):
    frames = []
    for _ in range(draw(st.integers(1, 4))):
        payload = draw(
            st.binary(max_size=20)
            | st.just(encoder.encode(make_request_head()))
            | draw_changed_notice()
        )
        frame_type = draw(st.sampled_from(FrameType) | st.integers(0, 255))
        stream_id = draw(st.integers(0, 3))
        frames.append(FRAME_HEADER.pack(len(payload), frame_type, stream_id) + payload)
    return draw(mutate_bytes(b"".join(frames)))


@repeatable
@given(draw_frames(), st.booleans(), st.integers(1, 50))
def test_any_bytes_on_a_link_close_it_at_most(data, is_authenticated, size):
    """Guards against an exception that leaves `data_received`."""

    async def run():
        async def handle(head, body, deadline):
            await asyncio.sleep(0)

        server = LinkServer(b"key", handle, lambda: 0.0, lambda _: None)
        server.on_notice = lambda _, payload: decode_or_drop(payload)
        link = ServerLink(server, b"key")
        link.connection_made(FakeTransport())
        if is_authenticated:
            link._end_handshake()
            link._handlers = {
                FrameType.REQUEST: link._on_request,
                FrameType.DATA: link._on_data,
                FrameType.END: link._on_end,
                FrameType.WINDOW: link._on_window,
                FrameType.CANCEL: link._on_cancel,
                FrameType.NOTICE: link._on_notice,
            }
            link.on_notice = server.on_notice
        for start in range(0, len(data), size):
            if not link.closed:
                link.data_received(data[start : start + size])
        link.close("test")

    asyncio.run(run())


def decode_or_drop(payload):
    try:
        decode_notice(payload)
    except NoticeFormatError:
        return


@repeatable
@given(mutate_bytes(render_template().encode()))
def test_changed_settings_are_refused_or_usable(data):
    text = data.decode("utf-8", "replace")
    result = parse_mesh_settings(text, "x")
    if result.is_err():
        return
    values = result.unwrap()
    for address in (values.callers, values.ready, values.link, values.worker):
        assert 1 <= address.port <= 65_535
    request = make_request_head(caller_service=values.service, instance="i-1")
    assert PlatformDialect().write_fields(request, 100).count(b"\r\n") == 3
    assert 0 <= values.grace_s < float("inf")
