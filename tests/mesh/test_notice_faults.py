"""Guards against a notice that affects more than itself."""

import asyncio

from mangowell_core.mesh.model import CrashNotice, StateNotice
from mangowell_node.link import MAX_FRAME
from mangowell_node.mesh.notices import encode_notice
from mesh.support_mesh import make_document, make_route, run_mesh, until


async def get_link(sender, receiver):
    """Wait for the link from one machine to another and return it."""
    get = sender.node._links.get_link
    await until(lambda: get(receiver.host, receiver.link_port))
    return get(receiver.host, receiver.link_port)


async def test_fault_in_the_handling_of_a_notice_costs_only_the_notice(monkeypatch):
    """Guards against the loss of the link and of the requests on it."""
    async with run_mesh(2) as (store, (first, second)):
        link = await get_link(first, second)
        faults = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: faults.append(context["exception"])
        )
        monkeypatch.setattr(second.node._gossip, "_record_crash", lambda _: 1 / 0)
        link.send_notice(encode_notice(CrashNotice("w/1", ("f",))))
        await until(lambda: faults)
        assert isinstance(faults[0], ZeroDivisionError)
        store.put("op/config", make_document(7, {"r": make_route("/new/")}))
        await until(lambda: second.node.directory.document_version == 7)
        assert not link.closed
        assert (await second.call("/new/x")).status == 200


async def test_undecodable_notices_do_not_close_the_link():
    async with run_mesh(2) as (_, (first, second)):
        link = await get_link(first, second)
        for payload in (b"", b"\xc1x", b"\x91" * 6000, b"\xff" * 2000):
            link.send_notice(payload)
        await until(lambda: len(second.get_events("peer_message_dropped")) == 4)
        await asyncio.sleep(0.6)
        assert not link.closed


async def test_notice_larger_than_a_frame_does_not_close_the_link():
    """Guards against a state of many long entries, which was sent again and again."""
    async with run_mesh(2) as (_, (first, second)):
        link = await get_link(first, second)
        link.send_notice(bytes(MAX_FRAME + 1))
        link.send_notice(b"\xff")
        await until(lambda: second.get_events("peer_message_dropped"))
        assert not link.closed


async def test_state_with_a_malformed_entry_gives_the_other_workers():
    """Guards the start of a node beside a peer that holds such an entry."""
    async with run_mesh(2) as (_, (first, second)):
        link = await get_link(first, second)
        state = first.node.directory.export().state
        endpoints = (*state.endpoints, ("x", "orders", "name", 70_000))
        newer = type(state)(state.revision + 5, state.document, endpoints)
        link.send_notice(encode_notice(StateNotice(newer, None)))
        await until(lambda: second.node.directory.revision == newer.revision)
        assert set(second.node.directory.endpoints) == {"i-1", "i-2"}
        assert second.get_events("peer_message_dropped")
