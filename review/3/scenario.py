"""Bodies within the operator's limit drive a node over its memory limit."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import Case, Node, NotRunError, main, make_route

SERVICES = ["checkout", "catalogue"]
MEMORY_MB = 300
RESTART_DELAY_S = 0.5
UPLOADS = 8
UPLOAD_BYTES = 30_000_000
SMALL_UPLOAD_BYTES = 4_000
WORK_S = 0.8
KEPT_CONNECTIONS = 16
LOST_ALLOWED = 3


def read_memory_mb(node: Node) -> float:
    """Return the resident memory of a node's process."""
    pages = int(Path(f"/proc/{node.process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1_000_000


async def watch_memory(case: Case, node: Node, ends: list[float]) -> None:
    """Kill the process above its memory limit and start it again, as the platform."""
    peak_mb = 0.0
    while True:
        memory_mb = read_memory_mb(node)
        if memory_mb > peak_mb + 20:
            peak_mb = memory_mb
            case.record.write(f"node {node.name}: {memory_mb:.0f} MB")
        if memory_mb > MEMORY_MB:
            ends.append(time.monotonic())
            node.send_signal(signal.SIGKILL)
            await node.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            await node.start()
            peak_mb = 0.0
        await asyncio.sleep(0.005)


async def run(case: Case) -> bool:
    """Return whether requests that had been passed on were lost."""
    node = await case.add("checkout", work_s=WORK_S, slots=30)
    await case.add("catalogue")
    await case.add("checkout", work_s=WORK_S, slots=30)
    case.put_config(
        [
            make_route("pay", "checkout", "unsafe", timeout="3000ms"),
            make_route("upload", "checkout", "unsafe", timeout="8000ms"),
        ],
        SERVICES,
    )
    await case.start_all()
    ends: list[float] = []
    case.spawn(watch_memory(case, node, ends))
    for _ in range(KEPT_CONNECTIONS):
        stream = case.send_on_kept_connection(
            node, "pay.example", "/pay/1", "POST", 0.05
        )
        case.spawn(stream)
        await asyncio.sleep(WORK_S / KEPT_CONNECTIONS)
    await asyncio.sleep(4.0)
    if ends:
        raise NotRunError("the node was over its limit before the uploads")

    size = UPLOAD_BYTES if case.has_trouble else SMALL_UPLOAD_BYTES
    body = bytes(size)
    uploads = [
        case.request(node, "upload.example", "/upload/1", "POST", 8000, body)
        for _ in range(UPLOADS)
    ]
    await asyncio.gather(*uploads)
    await asyncio.sleep(4.0)

    runs = {run.request for other in case.nodes for run in other.worker.runs}
    lost = [
        reply
        for reply in case.replies
        if reply.position > 1 and reply.error and reply.request in runs
    ]
    case.record.write(f"the process was over {MEMORY_MB} MB {len(ends)} times")
    case.record.write(
        f"{len(lost)} requests from kept connections were passed on to a worker and "
        f"got no answer: {' '.join(reply.request for reply in lost)}"
    )
    return len(lost) > LOST_ALLOWED


if __name__ == "__main__":
    main(__file__, run)
