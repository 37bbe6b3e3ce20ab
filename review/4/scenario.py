"""Restarted nodes forget which request crashes the workers."""

import asyncio
import itertools
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import CONTACT_S, GRACE_S, Case, Node, Worker, answer, main, make_route

SERVICES = ["checkout", "catalogue"]
NODES = 12
WORK_S = 0.2
# Time after which a worker that has crashed is back.
DOWN_S = 2.0
RETRY_INTERVAL_S = 1.1
# Pause between the restarts of two nodes.
GAP_S = 1.0
CRASHING_PATH = "/pay/crashes"
RETRIES_ALLOWED = 3


async def restart(case: Case, worker: Worker) -> None:
    """Start a crashed worker again, under its id."""
    await asyncio.sleep(DOWN_S)
    worker.born_ms = int(time.time() * 1000)
    await worker.start()
    case.store.put(worker.key, worker.make_entry())


def make_behaviour(case: Case, crashes: list[float]):
    """Return the behaviour of a worker that one request crashes."""

    async def behave(worker, reader, writer, run, number) -> bool:
        await asyncio.sleep(WORK_S)
        if run.head.start[1] == CRASHING_PATH:
            crashes.append(time.monotonic())
            worker.crash()
            case.spawn(restart(case, worker))
            return False
        answer(writer, worker, run)
        return True

    return behave


class Touch:
    """Tells when each node was in touch."""

    def __init__(self):
        self._began: dict[str, float] = {}
        self._ended: dict[str, float] = {}

    def begin(self, node: Node, at: float) -> None:
        """Record the begin of the disruption of a node, which has only one."""
        self._began[node.name] = at

    def end(self, node: Node, at: float) -> None:
        """Record its end."""
        self._ended[node.name] = at

    def is_in_touch(self, name: str, at: float) -> bool:
        """Return whether a node had no disruption in the last `contact`."""
        began = self._began.get(name, float("inf"))
        return at < began or at > self._ended.get(name, float("inf")) + CONTACT_S


async def repeat_crashing_request(case: Case) -> None:
    """Send the request that crashes workers again and again, at any machine."""
    for node in itertools.cycle(case.nodes):
        if not node.takes_work:
            await asyncio.sleep(0.01)
            continue
        request = case.request(
            node, "pay.example", CRASHING_PATH, "POST", 1500, b"the same body"
        )
        case.spawn(request)
        await asyncio.sleep(RETRY_INTERVAL_S)


async def restart_in_turn(case: Case, touch: Touch) -> None:
    """Stop and start the nodes one after the other, as planned work."""
    for node in case.nodes:
        began = time.monotonic()
        touch.begin(node, began)
        node.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(node.process.wait(), GRACE_S)
        except TimeoutError:
            await node.end()
        await node.start()
        await node.wait_until_ready()
        touch.end(node, time.monotonic())
        await asyncio.sleep(GAP_S)


async def run(case: Case) -> bool:
    """Return whether too many retries reached workers."""
    crashes: list[float] = []
    touch = Touch()
    for _ in range(NODES):
        node = await case.add("checkout")
        node.worker.behaviour = make_behaviour(case, crashes)
    case.put_config([make_route("pay", "checkout", "unsafe")], SERVICES)
    await case.start_all()
    for node in case.nodes:
        stream = {"host": "pay.example", "path": "/pay/1", "method": "POST"}
        case.spawn(case.send_stream(5, node, **stream))
    await asyncio.sleep(2.0)
    case.spawn(repeat_crashing_request(case))
    await asyncio.sleep(8.0)
    if case.has_trouble:
        await restart_in_turn(case, touch)
        await asyncio.sleep(NODES * RETRY_INTERVAL_S)
    else:
        await asyncio.sleep(60.0)

    sent = {reply.request: reply for reply in case.replies}
    counted_from = crashes[2] + CONTACT_S if len(crashes) > 2 else float("inf")
    late = sorted(
        run.arrived - case.record.started
        for node in case.nodes
        for run in node.worker.runs
        if run.head.start[1] == CRASHING_PATH
        and run.arrived > counted_from
        and touch.is_in_touch(sent[run.request].node, run.arrived)
    )
    runs = {
        run.request
        for node in case.nodes
        for run in node.worker.runs
        if run.head.start[1] != CRASHING_PATH
    }
    lost = [
        r
        for r in case.replies
        if r.request in runs and r.ended and r.status in (0, 502)
    ]
    times = " ".join(f"{at - case.record.started:.1f}" for at in crashes)
    case.record.write(f"workers crashed {len(crashes)} times, at {times}")
    case.record.write(
        f"{len(late)} retries reached workers later than contact after the third "
        f"crash, at {' '.join(f'{at:.1f}' for at in late)}"
    )
    case.record.write(f"{len(lost)} payments were lost that ran at these workers")
    return len(late) > RETRIES_ALLOWED


if __name__ == "__main__":
    main(__file__, run, os.environ.get("TROUBLE"))
