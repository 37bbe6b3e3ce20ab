"""Guards calls against large bodies that fill the link of a machine for seconds."""

import random

import pytest

from mangowell_core.mesh.body_flow import LARGE_BODY_BYTES, BodyFlow
from mangowell_core.mesh.model import ProbeNotice
from mesh.support_mesh import fill_slots, run_mesh, until

LINK_MBPS = 5.0
BYTES_PER_S = LINK_MBPS * 125_000


def replay_uploads(is_limited, seed, uploads_per_s=22.0, seconds=20.0):
    """Let uploads and calls share one link; return waits of calls and bytes carried.

    The link carries messages in the order of their arrival.
    """
    rng = random.Random(seed)
    flow = BodyFlow(LINK_MBPS)
    now, free_at, carried, waits = 0.0, 0.0, 0, []
    while now < seconds:
        now += rng.expovariate(uploads_per_s + 20.0)
        if rng.random() < 20.0 / (uploads_per_s + 20.0):
            waits.append(max(0.0, free_at - now))
            continue
        size = int(min(360_000, rng.lognormvariate(10.8, 0.6)))
        incoming = int(max(0.0, free_at - now) * BYTES_PER_S)
        if is_limited and not flow.admit(size, incoming, now)[0]:
            continue
        free_at = max(now, free_at) + size / BYTES_PER_S
        carried += size
    return sorted(waits), carried / (seconds * BYTES_PER_S)


@pytest.mark.parametrize("seed", range(4))
def test_calls_do_not_wait_for_their_whole_time_behind_uploads(seed):
    """A burst of 2.5 times the usual uploads meets two thirds of the workers."""
    waits, _ = replay_uploads(False, seed)
    assert waits[len(waits) // 2] > 0.838
    waits, share = replay_uploads(True, seed)
    assert waits[-len(waits) // 20] < 0.838
    assert waits[len(waits) // 2] < 0.279
    # What the link carries is not thrown away for that.
    assert share > 0.5


@pytest.mark.parametrize("seed", range(4))
def test_uploads_at_the_usual_rate_are_not_refused(seed):
    _, unlimited = replay_uploads(False, seed, uploads_per_s=2.0)
    _, limited = replay_uploads(True, seed, uploads_per_s=2.0)
    assert limited > 0.8 * unlimited


def test_body_that_is_alone_is_accepted_at_any_size():
    assert BodyFlow(LINK_MBPS).admit(67_000_000, 0, 0.0)[0]


def test_small_bodies_and_unknown_links_have_no_limit():
    assert BodyFlow(LINK_MBPS).admit(LARGE_BODY_BYTES - 1, 10**9, 0.0) == (True, 0.0)
    assert BodyFlow(0.0).admit(10**6, 10**9, 0.0) == (True, 0.0)


def test_bodies_that_were_accepted_together_do_not_all_count_as_alone():
    flow = BodyFlow(LINK_MBPS)
    decisions = [flow.admit(60_000, 0, 0.0)[0] for _ in range(40)]
    assert 1 < sum(decisions) < 20
    assert flow.admit(60_000, 0, 1.0)[0]


async def test_large_upload_goes_to_the_machine_whose_link_has_room():
    async with run_mesh(3) as (_, machines):
        await until(lambda: all(len(m.node._links.links) == 2 for m in machines))
        full = machines[1].node.runner
        full.count_incoming_bytes = lambda: 10**8
        fill_slots(machines[0], waiting=100)
        for number in range(6):
            reply = await machines[0].call(
                method="POST", body=b"x" * 50_000, request=f"r-{number}"
            )
            assert reply.status == 200
        assert machines[1].worker.executions == 0
        assert full.bodies_refused > 0
        # The same worker takes small requests.
        probe = ProbeNotice(1, "i-2", "r1", 1, 0.5, 1.0, False)
        assert full.predict_remote(probe).accepted


async def test_large_upload_is_not_sent_to_a_machine_that_does_not_reply(monkeypatch):
    """Guards against bodies that are sent blindly because the link is full."""
    async with run_mesh(2) as (_, machines):
        first, second = machines
        await until(lambda: all(len(m.node._links.links) == 1 for m in machines))
        fill_slots(first, waiting=100)
        prober = second.node.gateway.attempts.prober
        monkeypatch.setattr(prober, "answer_probe", lambda link, probe: None)
        reply = await first.call(method="POST", body=b"x" * 50_000, request="large")
        assert (reply.status, "retry-after" in reply.headers) == (503, True)
        assert second.worker.executions == 0
        assert (await first.call(request="small")).status == 200
