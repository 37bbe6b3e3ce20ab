"""An entry of another writer that cannot be read stops the reading of the store."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import CONFIG_APPLY_S, DRAIN_S, Case, Worker, main, make_route

SERVICES = ["catalogue", "checkout"]
# Depth of the JSON text in the entry; the text has about 12 KB.
NESTED_ARRAYS = 6000
RATE_PER_S = 8
WORK_S = 0.3
# Time for which a worker that leaves serves after `drain`, before it ends.
LINGER_S = 1.0


def make_routes(pay_service: str) -> list[dict]:
    """Return the routes, of which one moves to another service."""
    return [
        make_route("browse", "catalogue"),
        make_route("pay", "checkout", "unsafe"),
        make_route("moved", pay_service),
    ]


def find_lost(case: Case, worker: Worker) -> list[str]:
    """Return the payments that began to run at a worker and got no answer of it."""
    runs = {run.request for run in worker.runs}
    return [
        reply.request
        for reply in case.replies
        if reply.request in runs and reply.ended and reply.status != 200
    ]


async def run(case: Case) -> bool:
    """Return whether a change that was acknowledged did not come into force."""
    for service in ("catalogue", "catalogue", "checkout", "checkout"):
        await case.add(service, work_s=WORK_S)
    case.put_config(make_routes("catalogue"), SERVICES)
    await case.start_all()
    for name, method in (("browse", "GET"), ("pay", "POST"), ("moved", "GET")):
        for node in case.nodes:
            stream = {"host": f"{name}.example", "path": f"/{name}/1", "method": method}
            case.spawn(case.send_stream(RATE_PER_S, node, **stream))
    await asyncio.sleep(2.0)
    if case.has_trouble:
        nested = b"[" * NESTED_ARRAYS + b"]" * NESTED_ARRAYS
        case.store.put("servers/other-writer", b'{"a":' + nested + b"}")
    await asyncio.sleep(4.0)

    # A route moves, and a worker of the other service drains.
    config_ack = case.put_config(make_routes("checkout"), SERVICES)
    leaving = case.nodes[2].worker
    leaving.is_leaving = True
    drain_ack = case.store.put(leaving.key, leaving.make_entry("draining", 2))
    await asyncio.sleep(DRAIN_S + LINGER_S)
    lost_before = len(find_lost(case, leaving))
    leaving.crash()
    case.store.delete(leaving.key)
    await asyncio.sleep(6.0)
    lost = find_lost(case, leaving)[lost_before:]

    sent = {reply.request: reply for reply in case.replies}
    old = [
        run.request
        for node in case.nodes[:2]
        for run in node.worker.runs
        if run.head.start[1].startswith("/moved/")
        and sent[run.request].sent > config_ack + CONFIG_APPLY_S
    ]
    late = [run.request for run in leaving.runs if run.arrived > drain_ack + DRAIN_S]
    case.record.write(
        f"{len(old)} requests sent later than config-apply were run by the old service"
    )
    case.record.write(f"{len(late)} requests reached {leaving.id} later than drain")
    case.record.write(f"{len(lost)} payments ran there and were lost as it ended")
    ready = [await node.is_ready() for node in case.nodes]
    case.record.write(f"ready: {ready}")
    return bool(old or late)


if __name__ == "__main__":
    main(__file__, run, os.environ.get("TROUBLE"))
