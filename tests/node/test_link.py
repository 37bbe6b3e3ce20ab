"""Tests of the link protocol: faulty peers, order of frames and silent links."""

import asyncio
import contextlib
import hashlib
import hmac
import socket
import struct
from time import monotonic

import msgspec
import pytest

from mangowell_core.events import EventCode
from mangowell_core.policy.outcome import refuse
from mangowell_core.policy.types import Cause, Outcome
from mangowell_node import link as link_module
from mangowell_node.exchange import Answer, AnswerHead, AttemptError, RequestHead
from mangowell_node.link import (
    MAX_FRAME,
    WINDOW_BYTES,
    FrameType,
    LinkPool,
    LinkServer,
    Traffic,
    derive_link_key,
)
from mangowell_node.link.frames import (
    MAGIC,
    NONCE_BYTES,
    PING_INTERVAL_S,
    REPEATABLE_SILENT_AFTER_S,
    compute_proof,
)
from node.support_calls import CutReach, find_port, until

KEY = derive_link_key("secret")
FRAME = struct.Struct(">IBI")


def make_head(target="/", **fields):
    base = {
        "request": "r",
        "service": "s",
        "method": "GET",
        "target": target,
        "headers": b"",
        "tenant": "",
        "traffic_class": "c",
        "priority": 0,
        "deferrable": False,
        "remaining_ms": 5000,
        "idempotent": True,
    }
    return RequestHead(**{**base, **fields})


def frame(frame_type, stream=0, payload=b""):
    return FRAME.pack(len(payload), frame_type, stream) + payload


async def echo(head, body, deadline):
    return Answer(AnswerHead(200, "OK", body=head.target.encode()))


class LinkPair:
    """A link server and a client pool with links to it."""

    def __init__(self, handler, key):
        self.events = []
        self.reach = CutReach()
        self.server = LinkServer(KEY, handler, lambda: 0.5, self.events.append)
        self.pool = LinkPool("n1", key, self.reach, self.events.append)
        self.port = find_port()

    async def call(self, head, body=None, seconds=5.0):
        return await self.pool.call(
            "127.0.0.1", self.port, head, body, monotonic() + seconds
        )

    def event_codes(self):
        return [event.code for event in self.events]

    async def connect_raw(self):
        """Open an authenticated connection on which the test sends its own frames."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        _, _, hello = await read_frame(reader)
        nonce, client_nonce = hello[16:], b"n" * 32
        proof = hmac.digest(
            KEY, b"client" + nonce + client_nonce + b"raw", hashlib.sha256
        )
        writer.write(frame(FrameType.AUTHENTICATE, 0, client_nonce + proof + b"raw"))
        assert (await read_frame(reader))[0] == FrameType.WELCOME
        return reader, writer


async def read_frame(reader):
    length, frame_type, stream = FRAME.unpack(await reader.readexactly(FRAME.size))
    return frame_type, stream, await reader.readexactly(length)


@contextlib.asynccontextmanager
async def run_link_pair(handler=echo, key=KEY):
    pair = LinkPair(handler, key)
    await pair.server.start("127.0.0.1", pair.port)
    try:
        yield pair
    finally:
        pair.pool.close()
        await pair.server.stop(0.0)


async def test_peers_are_counted_once_they_are_authenticated():
    """Connections from many addresses filled the table, and kept real hosts out."""
    async with run_link_pair() as pair:
        traffic = pair.server.traffic = Traffic()
        for number in range(1, 4):
            address = (f"127.0.3.{number}", 0)
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", pair.port, local_addr=address
            )
            await read_frame(reader)
            writer.close()
        await until(lambda: not pair.server.links)
        assert traffic.sum_by_kind(lambda host: True)["pings"] == 0
        hosts = []
        _, writer = await pair.connect_raw()
        sent = traffic.sum_by_kind(lambda host: hosts.append(host) or True)
        assert hosts == ["127.0.0.1"]
        # What was sent before counts as well: the nonce and the proof.
        assert sent["pings"] == 2 * FRAME.size + len(MAGIC) + NONCE_BYTES + 32
        writer.close()


class _UncountedSet(set):
    """Set of links that must not be gone through."""

    def __iter__(self):
        raise AssertionError("all links were gone through")


async def test_incomplete_frames_of_all_links_are_counted_as_they_change():
    """Each probe of a large body went through all links."""
    async with run_link_pair() as pair:
        server, changes = pair.server, []
        server.on_buffered = changes.append
        head = make_head("/" + "x" * 50_000)
        data = frame(FrameType.REQUEST, 1, msgspec.msgpack.encode(head))
        writers = [(await pair.connect_raw())[1] for _ in range(3)]
        for part, writer in enumerate(writers, 1):
            writer.write(data[: part * 10_000])
        await until(lambda: sum(changes) == 60_000)
        links, server.links = server.links, _UncountedSet()
        assert server.count_incoming_bytes() == 3 * len(data) - 60_000
        server.links = links
        # A frame is completed, a link is lost, and one gets more of its frame.
        writers[0].write(data[10_000:])
        writers[1].transport.abort()
        writers[2].write(data[30_000:40_000])
        await until(lambda: sum(changes) == 40_000 and len(links) == 2)
        assert server.count_incoming_bytes() == len(data) - 40_000
        for writer in writers:
            writer.transport.abort()
        await until(lambda: not links)
        assert (server.count_incoming_bytes(), sum(changes)) == (0, 0)


async def test_request_of_a_peer_without_the_secret_does_not_run():
    ran = []

    async def handler(head, body, deadline):
        ran.append(head)

    async with run_link_pair(handler, derive_link_key("other")) as pair:
        with pytest.raises(AttemptError) as caught:
            await pair.call(make_head())
        assert caught.value.refusal.outcome is Outcome.NOT_RUN
        assert not ran
        assert EventCode.PEER_REFUSED in pair.event_codes()


REQUEST = msgspec.msgpack.encode(make_head())
STREAMING_REQUEST = msgspec.msgpack.encode(make_head(streaming=True))
BAD_FRAMES = {
    "garbage": b"\xff" * 64,
    "too-large": FRAME.pack(MAX_FRAME + 1, FrameType.REQUEST, 1),
    "unknown-type": frame(99),
    "undecodable": frame(FrameType.REQUEST, 1, b"\xc1"),
    "wrong-fields": frame(FrameType.REQUEST, 1, b"\x91\x01"),
    "no-id": frame(FrameType.REQUEST, 0, REQUEST),
    "id-again": frame(FrameType.REQUEST, 1, REQUEST) * 2,
    "id-falls": frame(FrameType.REQUEST, 9, REQUEST)
    + frame(FrameType.REQUEST, 8, REQUEST),
    "unopened": frame(FrameType.DATA, 7, b"x"),
    "no-body": frame(FrameType.REQUEST, 1, REQUEST) + frame(FrameType.DATA, 1, b"x"),
    "window": frame(FrameType.REQUEST, 1, REQUEST) + frame(FrameType.WINDOW, 1, b"x"),
    "data-without-bytes": frame(FrameType.REQUEST, 1, STREAMING_REQUEST)
    + frame(FrameType.DATA, 1),
    "answer-from-client": frame(FrameType.ANSWER, 1, b""),
}


@pytest.mark.parametrize("data", BAD_FRAMES.values(), ids=BAD_FRAMES)
async def test_malformed_frame_closes_only_its_link(data):
    async def handler(head, body, deadline):
        if head.target == "/":
            await asyncio.sleep(30)
        return await echo(head, body, deadline)

    async with run_link_pair(handler) as pair:
        reader, writer = await pair.connect_raw()
        writer.write(data)
        async with asyncio.timeout(5):
            with contextlib.suppress(ConnectionError):
                while await reader.read(1000):
                    pass
        writer.close()
        assert EventCode.PEER_REFUSED in pair.event_codes()
        assert (await pair.call(make_head("/ok"))).head.body == b"/ok"


async def test_unauthenticated_peer_may_not_send_large_frames():
    async with run_link_pair() as pair:
        reader, writer = await asyncio.open_connection("127.0.0.1", pair.port)
        writer.write(frame(FrameType.REQUEST, 1, b"x" * 1000))
        async with asyncio.timeout(5):
            with contextlib.suppress(ConnectionError):
                while await reader.read(1000):
                    pass
        writer.close()


async def test_peer_that_ignores_the_window_is_cut_off():
    """Otherwise, a peer could fill the memory of this node."""

    async def handler(head, body, deadline):
        await asyncio.sleep(30)

    async with run_link_pair(handler) as pair:
        _, writer = await pair.connect_raw()
        head = msgspec.msgpack.encode(make_head(streaming=True))
        writer.write(frame(FrameType.REQUEST, 1, head))
        for _ in range(WINDOW_BYTES // 65_536 + 1):
            writer.write(frame(FrameType.DATA, 1, b"x" * 65_536))
        await until(lambda: EventCode.PEER_REFUSED in pair.event_codes())
        writer.close()


async def test_pings_of_a_peer_that_does_not_read_fill_no_memory():
    """The answers to all of them were kept."""
    async with run_link_pair() as pair:
        _, writer = await pair.connect_raw()
        writer.transport.pause_reading()
        (link,) = pair.server.links
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                while True:
                    writer.write(frame(FrameType.PING) * 10_000)
                    await writer.drain()
                    await asyncio.sleep(0)
        assert link.transport.get_write_buffer_size() <= 262_144
        assert not link.closed
        writer.transport.abort()


async def test_frames_may_arrive_byte_by_byte():
    async with run_link_pair() as pair:
        reader, writer = await pair.connect_raw()
        data = frame(FrameType.REQUEST, 1, REQUEST) + frame(FrameType.PING)
        for index in range(len(data)):
            writer.write(data[index : index + 1])
            await asyncio.sleep(0)
        frame_types = {(await read_frame(reader))[0] for _ in range(2)}
        assert frame_types == {FrameType.ANSWER, FrameType.PONG}
        writer.close()


async def test_answers_out_of_order_reach_their_own_requests():
    gates = {f"/{i}": asyncio.Event() for i in range(20)}

    async def handler(head, body, deadline):
        await gates[head.target].wait()
        return await echo(head, body, deadline)

    async with run_link_pair(handler) as pair:
        calls = {t: asyncio.ensure_future(pair.call(make_head(t))) for t in gates}
        await asyncio.sleep(0)
        for target in reversed(gates):
            gates[target].set()
            assert (await calls[target]).head.body == target.encode()


async def test_late_answer_of_a_cancelled_request_is_dropped():
    cancelled = asyncio.Event()
    entered = asyncio.Event()

    async def handler(head, body, deadline):
        if head.target == "/late":
            entered.set()
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                cancelled.set()
                return Answer(AnswerHead(200, "OK", body=b"late"))
        return await echo(head, body, deadline)

    async with run_link_pair(handler) as pair:
        late = asyncio.ensure_future(pair.call(make_head("/late")))
        await entered.wait()
        late.cancel()
        answers = await asyncio.gather(
            *(pair.call(make_head(f"/{i}")) for i in range(10))
        )
        await cancelled.wait()
        again = await pair.call(make_head("/again"))
        bodies = [answer.head.body for answer in answers]
        assert bodies == [f"/{i}".encode() for i in range(10)]
        assert again.head.body == b"/again"


async def test_deadline_is_carried_and_cancels_the_work():
    cancelled = asyncio.Event()
    seen = []

    async def handler(head, body, deadline):
        seen.append(deadline - monotonic())
        try:
            await asyncio.sleep(30)
        finally:
            cancelled.set()

    async with run_link_pair(handler) as pair:
        with pytest.raises(AttemptError) as caught:
            await pair.call(make_head(), seconds=0.3)
        assert caught.value.refusal.cause is Cause.DEADLINE
        assert caught.value.refusal.outcome is Outcome.UNKNOWN
        await asyncio.wait_for(cancelled.wait(), 5)
        assert 0 < seen[0] <= 0.3


class CountedBody:
    """Body of equal chunks that counts the chunks not yet read."""

    def __init__(self, count, size=65_536):
        self.length = count * size
        self.left = count
        self.chunk = b"x" * size
        self.closed = False

    async def read(self):
        if not self.left:
            return b""
        self.left -= 1
        return self.chunk

    def close(self):
        self.closed = True


async def test_large_bodies_move_both_ways_within_the_window():
    """A slow reader must stop the sender instead of filling the memory."""
    download = CountedBody(160)
    gate = asyncio.Event()

    async def handler(head, body, deadline):
        await gate.wait()
        size = 0
        while chunk := await body.read():
            size += len(chunk)
        assert size == 160 * 65_536
        head = AnswerHead(200, "OK", streaming=True, length=download.length)
        return Answer(head, download)

    async with run_link_pair(handler) as pair:
        upload = CountedBody(160)
        head = make_head(streaming=True, length=upload.length)
        call = asyncio.ensure_future(pair.call(head, upload, 20))
        await until(lambda: upload.left < 160)
        await asyncio.sleep(0.1)
        assert (160 - upload.left) * 65_536 <= WINDOW_BYTES + 65_536
        gate.set()
        answer = await call
        await asyncio.sleep(0.1)
        assert (160 - download.left) * 65_536 <= WINDOW_BYTES + 65_536
        size = 0
        while chunk := await answer.stream.read():
            size += len(chunk)
        assert size == 160 * 65_536


async def test_body_cut_off_at_the_sender_is_an_error_at_the_receiver():
    class FailingBody(CountedBody):
        async def read(self):
            if self.left == 1:
                from mangowell_core.policy.outcome import Stage

                raise AttemptError.at(Cause.CONNECTION_LOST, Stage.SENT, "cut")
            return await super().read()

    async def handler(head, body, deadline):
        return Answer(
            AnswerHead(200, "OK", streaming=True, length=-1), FailingBody(3, 10)
        )

    async with run_link_pair(handler) as pair:
        answer = await pair.call(make_head())
        with pytest.raises(AttemptError):
            while await answer.stream.read():
                pass


async def test_closing_an_answer_closes_the_body_at_its_sender():
    body = CountedBody(10_000)

    async def handler(head, _, deadline):
        return Answer(AnswerHead(200, "OK", streaming=True, length=-1), body)

    async with run_link_pair(handler) as pair:
        answer = await pair.call(make_head())
        await answer.stream.read()
        answer.stream.close()
        await until(lambda: body.closed)


@pytest.mark.parametrize(
    ("idempotent", "after_s"),
    [(False, link_module.SILENT_AFTER_S), (True, REPEATABLE_SILENT_AFTER_S)],
)
async def test_silent_link_is_closed_and_a_new_one_works(idempotent, after_s):
    """The peer process is running, but its connection passes no bytes.

    A repeatable request fails earlier than the link, so that there is time left to
    retry it on another path.
    """
    async with run_link_pair() as pair:
        await pair.call(make_head("/first"))
        (server_link,) = pair.server.links
        server_link.transport.pause_reading()
        started = monotonic()
        with pytest.raises(AttemptError) as caught:
            await pair.call(make_head("/lost", idempotent=idempotent), seconds=20)
        assert caught.value.refusal.cause is Cause.CONNECTION_SILENT
        assert caught.value.refusal.outcome is Outcome.UNKNOWN
        assert after_s <= monotonic() - started < after_s + 0.6
        answer = await pair.call(make_head("/second"))
        assert answer.head.body == b"/second"
        pair.pool.check(monotonic())


async def test_silent_link_is_found_by_requests_with_short_deadlines():
    """Each request ends before the silence of the link reaches its limit.

    The check must therefore continue between the requests.
    """
    async with run_link_pair() as pair:
        await pair.call(make_head())
        (server_link,) = pair.server.links
        server_link.transport.pause_reading()
        async with asyncio.timeout(15):
            while True:
                try:
                    await pair.call(make_head("/ok"), seconds=0.2)
                    break
                except AttemptError:
                    pair.pool.check(monotonic())
            # The call used a new link while the old one was suspect.
            while EventCode.LINK_SILENT not in pair.event_codes():
                await asyncio.sleep(0.05)
                pair.pool.check(monotonic())


async def test_moved_requests_meet_no_other_silent_link():
    """All links of a node may go silent together, including idle links.

    A request that is retried elsewhere must not wait on a second silent link.
    """
    async with run_link_pair() as one, run_link_pair() as other:
        pool = one.pool

        async def call(port):
            deadline = monotonic() + 20
            head = make_head("/ok")
            return await pool.call("127.0.0.1", port, head, None, deadline)

        await call(one.port)
        await call(other.port)
        for server in (one.server, other.server):
            (server_link,) = server.links
            server_link.transport.pause_reading()
        with pytest.raises(AttemptError) as caught:
            await call(one.port)
        assert caught.value.refusal.cause is Cause.CONNECTION_SILENT
        assert (await call(other.port)).head.body == b"/ok"


@pytest.mark.parametrize(
    ("heard_after_s", "is_kept"),
    # All in the 0.8 s for which the first link has been silent.
    [(0.001, False), (PING_INTERVAL_S * 0.9, False), (PING_INTERVAL_S * 2, True)],
)
async def test_idle_link_is_kept_only_if_heard_of_after_the_silence_began(
    heard_after_s, is_kept
):
    """Links that go silent together were last heard of at different times.

    An idle link that was heard of after the silent one, but before the silence can
    have been noticed, used to be kept, and a moved request waited on it.
    """
    async with run_link_pair() as one, run_link_pair() as other:
        pool = one.pool
        for port in (one.port, other.port):
            await pool.connect("127.0.0.1", port, monotonic() + 5)
        silent = pool.get_link("127.0.0.1", one.port)
        idle = pool.get_link("127.0.0.1", other.port)
        silent.last_received_at = monotonic() - REPEATABLE_SILENT_AFTER_S
        idle.last_received_at = silent.last_received_at + heard_after_s
        pool._mark_suspect_links(silent)
        assert idle.closed is not is_kept


async def test_link_that_does_not_open_in_time_reports_that_nothing_was_sent():
    """The failure must not be reported as the deadline of the request.

    That cause would rule out a retry, although nothing was sent.
    """

    async def accept_silently(reader, writer):
        await reader.read()

    async with run_link_pair() as pair:
        port = find_port()
        server = await asyncio.start_server(accept_silently, "127.0.0.1", port)
        with pytest.raises(AttemptError) as caught:
            await pair.pool.connect("127.0.0.1", port, monotonic() + 0.1)
        refusal = caught.value.refusal
        assert (refusal.cause, refusal.status) == (Cause.CONNECT_FAILED, 503)
        assert refusal.outcome is Outcome.NOT_RUN
        server.close()


async def test_new_requests_avoid_a_suspect_link():
    """Requests sent on a suspect link would fail if it proves to be silent."""
    async with run_link_pair() as pair:
        await pair.call(make_head())
        (server_link,) = pair.server.links
        server_link.transport.pause_reading()
        waiting = asyncio.ensure_future(pair.call(make_head("/lost"), seconds=20))
        link = pair.pool._links["127.0.0.1", pair.port]
        await until(lambda: link.is_suspect or link.closed)
        assert (await pair.call(make_head("/ok"))).head.body == b"/ok"
        with pytest.raises(AttemptError):
            await waiting


async def test_slow_request_is_not_taken_for_a_silent_link():
    async def handler(head, body, deadline):
        await asyncio.sleep(link_module.SILENT_AFTER_S + 0.6)
        return await echo(head, body, deadline)

    async with run_link_pair(handler) as pair:
        assert (await pair.call(make_head("/slow"))).head.body == b"/slow"


@contextlib.asynccontextmanager
async def run_slow_peer(part_bytes, pause_s):
    """Run a peer that answers a request of 300 kB, which it reads in small parts."""

    async def serve(reader, writer):
        writer.write(frame(FrameType.HELLO, 0, MAGIC + b"s" * NONCE_BYTES))
        _, _, payload = await read_frame(reader)
        proof = compute_proof(
            KEY, b"server", payload[:NONCE_BYTES], b"s" * NONCE_BYTES, b""
        )
        writer.write(frame(FrameType.WELCOME, 0, proof))
        taken = 0
        while taken < 300_000:
            await asyncio.sleep(pause_s)
            taken += len(await reader.read(part_bytes))
        answer = msgspec.msgpack.encode(AnswerHead(200, "OK"))
        writer.write(frame(FrameType.ANSWER, 1, answer))

    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    sock.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve, sock=sock, limit=4096)
    try:
        yield sock.getsockname()[1]
    finally:
        server.close()


@pytest.mark.parametrize("idempotent", [True, False])
async def test_link_that_is_busy_with_a_large_body_is_not_taken_for_silent(idempotent):
    """Guards against an upload that is given up while a slow link carries it."""
    head = make_head(method="POST", body=b"x" * 300_000, idempotent=idempotent)
    async with run_slow_peer(4096, 0.03) as port:
        pool = LinkPool("n1", KEY, CutReach(), lambda event: None)
        try:
            answer = await pool.call("127.0.0.1", port, head, None, monotonic() + 20)
        finally:
            pool.close()
    assert answer.head.status == 200


async def test_peer_that_takes_no_more_bytes_is_found_silent():
    """Guards against a full link that hides the silence of its peer."""
    head = make_head(method="POST", body=b"x" * 300_000, idempotent=False)
    async with run_slow_peer(4096, 3600) as port:
        pool = LinkPool("n1", KEY, CutReach(), lambda event: None)
        with pytest.raises(AttemptError) as caught:
            await pool.call("127.0.0.1", port, head, None, monotonic() + 20)
        pool.close()
    assert caught.value.refusal.cause is Cause.CONNECTION_SILENT


async def test_cut_link_fails_its_requests_as_unknown():
    entered = asyncio.Event()

    async def handler(head, body, deadline):
        entered.set()
        await asyncio.sleep(30)

    async with run_link_pair(handler) as pair:
        call = asyncio.ensure_future(pair.call(make_head()))
        await entered.wait()
        for server_link in list(pair.server.links):
            server_link.transport.abort()
        with pytest.raises(AttemptError) as caught:
            await call
        assert caught.value.refusal.outcome is Outcome.UNKNOWN


async def test_unreachable_address_is_not_contacted_and_open_links_close():
    async with run_link_pair() as pair:
        await pair.call(make_head())
        pair.reach.cut.add(pair.port)
        pair.pool.check(monotonic())
        with pytest.raises(AttemptError) as caught:
            await pair.call(make_head())
        assert caught.value.refusal.outcome is Outcome.NOT_RUN
        await until(lambda: not pair.server.links)


async def test_stopping_server_finishes_streams_and_refuses_later_ones():
    """A request in progress is completed; a request sent later does not run."""
    entered, gate = asyncio.Event(), asyncio.Event()
    ran = []

    async def handler(head, body, deadline):
        ran.append(head.target)
        entered.set()
        await gate.wait()
        return await echo(head, body, deadline)

    async with run_link_pair(handler) as pair:
        first = asyncio.ensure_future(pair.call(make_head("/first")))
        await entered.wait()
        stop = asyncio.ensure_future(pair.server.stop(monotonic() + 10))
        await asyncio.sleep(0)
        late = asyncio.ensure_future(pair.call(make_head("/late")))
        with pytest.raises(AttemptError) as caught:
            await late
        assert caught.value.refusal.outcome is Outcome.NOT_RUN
        gate.set()
        assert (await first).head.body == b"/first"
        await stop
        assert ran == ["/first"]


@pytest.mark.parametrize("peer_is_silent", [False, True])
async def test_stop_waits_until_the_last_answer_has_been_read(peer_is_silent):
    """A link that is closed with bytes in its buffers loses the answer in them."""
    entered, gate = asyncio.Event(), asyncio.Event()
    body = b"x" * 400_000

    async def handler(head, body_, deadline):
        entered.set()
        await gate.wait()
        return Answer(AnswerHead(200, "OK", b"", body))

    async with run_link_pair(handler) as pair:
        call = asyncio.ensure_future(pair.call(make_head(idempotent=False)))
        await entered.wait()
        (link,) = pair.pool.links
        (server_link,) = pair.server.links
        for transport in (link.transport, server_link.transport):
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        link.transport.pause_reading()
        started = monotonic()
        stop = asyncio.ensure_future(pair.server.stop(started + 1.0))
        await asyncio.sleep(0)
        gate.set()
        if peer_is_silent:
            await stop
            assert monotonic() - started == pytest.approx(1.0, abs=0.3)
            with pytest.raises(AttemptError):
                link.transport.resume_reading()
                await call
            return
        await asyncio.sleep(0.2)
        assert not stop.done()
        link.transport.resume_reading()
        assert (await call).head.body == body
        await stop
        assert monotonic() - started < 0.8


async def test_refusal_carries_the_load_of_the_backend_server():
    """Guards against a full backend server that looks idle after each refusal."""

    async def refuse_as_full(head, body, deadline):
        raise AttemptError(refuse(Cause.OVERLOADED, "full"), 7.0, 3)

    async with run_link_pair(refuse_as_full) as pair:
        with pytest.raises(AttemptError) as caught:
            await pair.call(make_head())
        assert (caught.value.backend_load, caught.value.slots) == (7.0, 3)


async def test_refusal_without_a_load_carries_that_of_the_node():
    async def refuse_without_load(head, body, deadline):
        raise AttemptError(refuse(Cause.OVERLOADED, "full"))

    async with run_link_pair(refuse_without_load) as pair:
        with pytest.raises(AttemptError) as caught:
            await pair.call(make_head())
        assert caught.value.backend_load == 0.5
