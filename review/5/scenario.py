"""After silent connections, a worker that has left is used for two more seconds."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import CONTACT_S, DRAIN_S, Case, main, make_route

SERVICES = ["catalogue", "checkout"]
RATE_PER_S = 10
# Time after a change of the configuration within which the nodes watch again.
WATCHING_AFTER_S = 0.7
# Time from the silence to the removal of the worker's entry.
REMOVED_AFTER_S = 0.3
# Time for which the worker serves beyond `drain`, before it ends.
LINGER_S = 1.5
WORK_S = 0.4


async def run(case: Case) -> bool:
    """Return whether a request reached the worker too late."""
    for service in ("checkout", "checkout", "checkout", "catalogue"):
        await case.add(service, work_s=WORK_S)
    routes = [
        make_route("browse", "catalogue"),
        make_route("pay", "checkout", "unsafe"),
    ]
    case.put_config(routes, SERVICES)
    await case.start_all()
    for node in case.nodes:
        stream = {"host": "pay.example", "path": "/pay/1", "method": "POST"}
        case.spawn(case.send_stream(RATE_PER_S, node, **stream))
    await asyncio.sleep(3.0)
    case.put_config(routes, SERVICES)
    await asyncio.sleep(WATCHING_AFTER_S)

    if case.has_trouble:
        case.store.silence_open_connections()
    silent_at = asyncio.get_running_loop().time()
    await asyncio.sleep(REMOVED_AFTER_S)
    leaving = case.nodes[0].worker
    leaving.is_leaving = True
    ack = case.store.delete(leaving.key)
    await asyncio.sleep(DRAIN_S + LINGER_S)
    leaving.crash()
    await asyncio.sleep(3.0)

    sent = {reply.request: reply for reply in case.replies}
    in_touch_from = silent_at + CONTACT_S
    late = [
        run
        for run in leaving.runs
        if run.arrived > ack + DRAIN_S and sent[run.request].sent > in_touch_from
    ]
    for late_run in late:
        case.record.write(
            f"{late_run.request} reached {leaving.id} "
            f"{late_run.arrived - ack:.2f} s after the ack, "
            f"{late_run.arrived - silent_at:.2f} s after the silence began, "
            f"by {sent[late_run.request].node}"
        )
    case.record.write(f"{len(late)} requests reached {leaving.id} too late")
    lost = [run for run in late if sent[run.request].status != 200]
    case.record.write(f"{len(lost)} of them were lost when the worker ended")
    return bool(late)


if __name__ == "__main__":
    main(__file__, run, os.environ.get("TROUBLE"))
