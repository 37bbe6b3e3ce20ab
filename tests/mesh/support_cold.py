"""Nodes beside cold workers."""

import asyncio
import contextlib
import json
from time import monotonic

import msgspec

from mesh.support_mesh import answer_with_id, make_document, run_mesh, until

PER_S, OVERAGE, SLACK = 6.0, 1.5, 8.0


def make_cold_document():
    document = json.loads(make_document())
    table = document["services"]
    table["columns"] += ["warmup", "warmup-per-s"]
    table["rows"] = [[*row, "3000ms", PER_S] for row in table["rows"]]
    return json.dumps(document).encode()


class ColdWorker:
    """Answers health requests with its cold time, and notes all arrivals."""

    def __init__(self, machine):
        self.worker = machine.worker
        self.warmup_ms = 0
        self.health = 0
        self.arrivals = []
        self.work_s = 0.01
        machine.worker.handler = self.handle

    async def handle(self, request):
        if request.target == "/healthz":
            self.health += 1
            assert "expected-instance" not in request.headers
            return (
                f"HTTP/1.1 200 OK\r\nWarmup-Ms: {self.warmup_ms}\r\n"
                "Content-Length: 0\r\n\r\n"
            ).encode()
        self.arrivals.append(monotonic())
        await asyncio.sleep(self.work_s)
        return await answer_with_id()(request)


async def restart_worker(machine):
    port = machine.worker.port
    machine.worker.crash()
    await asyncio.sleep(0.2)
    await machine.worker.start(port=port, host=machine.host)


@contextlib.asynccontextmanager
async def run_cold_mesh():
    """Run two nodes whose workers are warm, of a service that bounds cold ones."""
    async with run_mesh(2, document=make_cold_document()) as (store, machines):
        for machine in machines:
            runner = machine.node.runner
            runner._settings = msgspec.structs.replace(
                machine.settings, warmup_overage=OVERAGE, warmup_slack=SLACK
            )
            runner.sync()
            await until(lambda r=runner: not r.slow_start.is_asking and not r.is_cold)
        yield store, machines
