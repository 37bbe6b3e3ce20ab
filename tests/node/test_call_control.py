"""Tests that control messages about requests reach the policy and other nodes."""

from mangowell_core.distribution.io import Peer
from mangowell_core.messages import CrashReport, FenceQuery, FenceReply
from mangowell_core.policy import make_fingerprint
from node.support_calls import ScriptedBackend, make_answer, run_nodes, until


async def answer_ok(request):
    return make_answer(b"ok")


async def start_backends(count):
    return [await ScriptedBackend(answer_ok).start() for _ in range(count)]


async def test_fence_promise_is_given_to_one_instance_only():
    """Two nodes that each see themselves as the owner must not both get the promise."""
    async with run_nodes(*await start_backends(3)) as nodes:
        node = nodes[0]
        for requester in ("n1", "n2", "n1"):
            query = FenceQuery("orders", "key", 1)
            node.calls.handle_control_message(Peer(requester, "127.0.0.1", 1), query)
        replies = [(n, m.promised) for n, m in node.sent if type(m) is FenceReply]
        assert replies == [("n1", True), ("n2", False), ("n1", True)]


async def test_completed_suspect_is_cleared_at_other_nodes():
    """A request suspected because of another request's crash must not stay suspect."""
    suspect = make_fingerprint("GET", "/item", "", b"")
    async with run_nodes(*await start_backends(3)) as nodes:
        for node in nodes:
            await until(lambda s=node: s.calls._egress.health == "ok")
            report = CrashReport("orders", "d1", suspect, 1, "n9")
            node.calls.handle_control_message(Peer("n9", "127.0.0.1", 1), report)
            assert suspect in node.policy.board.suspects
        assert (await nodes[0].call(target="/item")).status == 200
        for node in nodes:
            await until(lambda s=node: suspect not in s.policy.board.suspects)
