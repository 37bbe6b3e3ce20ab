"""A worker that has left goes on getting requests after a reader was suspended."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import harness_3 as harness  # noqa: E402

# Machines 1 and 2 read the store for zone a; machine 5 is the one whose worker comes
# and goes, machine 4 the one whose requests are counted.
SPEC = (
    ("a", "stock"),
    ("a", "orders"),
    ("a", "stock"),
    ("a", "stock"),
    ("a", "orders"),
    ("b", "orders"),
    ("c", "orders"),
)
READER, SENDER, LEAVER = 0, 3, 4
DRAIN_S, CONTACT_S, RESTART_S = 2.0, 3.0, 0.3
WORK_S = 0.6
ROUNDS, LIMIT_S = 4, 112.0
# Times within a round, in seconds from the start of the suspension, which lasts for
# `SUSPENDED_S`.
REMOVED_S, SUSPENDED_S = 4.95, 5.0
# Times at which the worker writes its entry, as it warms up, and for how much longer it
# is slow. The first is its registration.
WRITES = ((1.95, 3000), (3.4, 1550), (4.85, 100))
STAYS_S = 6.0
CALLERS = ((READER, 16), (SENDER, 12))


def make_prefix(node: harness.Node) -> str:
    """Return how the ids of the requests begin that a machine sends."""
    return f"machine{node.number}-"


class Case:
    """Rounds in which one reader is suspended while a worker comes and goes."""

    def __init__(self, deployment: harness.Deployment, has_trouble: bool):
        self.deployment = deployment
        self.has_trouble = has_trouble
        self.sent = 0
        self.is_held = True

    def configure(self) -> None:
        """Write the document."""
        routes = {"orders": harness.make_route("/orders/", "orders")}
        document = harness.make_document(1, routes, ("orders", "stock"))
        self.deployment.store.put("op/config", document)

    async def call(self, node: harness.Node) -> None:
        """Send safe requests, one after another."""
        while True:
            self.sent += 1
            request = f"{make_prefix(node)}{self.sent}"
            data = harness.make_request(request, f"/orders/{self.sent}", 3000)
            try:
                status, _, _ = await harness.ask(
                    node.host, harness.CALLER_PORT, data, 4.0
                )
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
                status = type(exc).__name__
            self.deployment.note(f"{request}: {status}")
            await asyncio.sleep(0.03)

    async def restart_node(self, directory: Path) -> None:
        """Stop the node whose worker has ended, and start it for the next worker."""
        deployment, node = self.deployment, self.deployment.nodes[LEAVER]
        deployment.workers[LEAVER].end()
        node.send_signal(signal.SIGTERM)
        await node.process.wait()
        await asyncio.sleep(RESTART_S)
        await node.start(directory, deployment.store_address)
        while not await node.is_ready():
            await asyncio.sleep(0.1)
        deployment.note(f"node of machine {node.number} was restarted")

    async def play_round(self, number: int) -> None:
        """Suspend the reader; its zone gets a worker, which then leaves."""
        deployment, store = self.deployment, self.deployment.store
        worker, reader = deployment.workers[LEAVER], deployment.nodes[READER]
        worker.restart(f"i-5-{number}")
        begin = time.monotonic()

        async def wait_until(seconds: float) -> None:
            await asyncio.sleep(max(0.0, begin + seconds - time.monotonic()))

        if self.has_trouble:
            reader.send_signal(signal.SIGSTOP)
            deployment.note(f"round {number}: machine 1 is suspended")
        for at, warmup_ms in WRITES:
            await wait_until(at)
            if (at, warmup_ms) == WRITES[0]:
                await worker.start()
            worker.warmup_ms = warmup_ms
            worker.work_s = 2 * WORK_S if warmup_ms > 1000 else WORK_S
            store.put(worker.key, worker.make_entry())
            deployment.note(f"worker {worker.id} writes its entry")
        await wait_until(REMOVED_S)
        removed_at = store.delete(worker.key)
        worker.is_leaving = True
        deployment.note(f"entry of worker {worker.id} is removed")
        await wait_until(SUSPENDED_S)
        if self.has_trouble:
            reader.send_signal(signal.SIGCONT)
            deployment.note("machine 1 goes on")
        await asyncio.sleep(STAYS_S)
        ran = [run for run in worker.runs if run[0] > begin]
        # Only machine 4 sends: machine 1 is out of touch.
        prefix = make_prefix(deployment.nodes[SENDER])
        late = [
            run
            for run in ran
            if run[0] > removed_at + DRAIN_S and run[1].startswith(prefix)
        ]
        for reached_at, request in ran:
            seconds = reached_at - removed_at
            deployment.note(f"{worker.id} ran {request} {seconds:+.3f} s from removal")
        deployment.note(f"round {number}: {len(ran)} runs, {len(late)} too late")
        print(f"round {number}: {len(ran)} requests on {worker.id}, {len(late)} late")
        self.is_held = not late

    async def play(self) -> bool:
        """Return whether the rule held in all rounds."""
        deployment, store = self.deployment, self.deployment.store
        began = time.monotonic()
        for worker in deployment.workers:
            worker.work_s = WORK_S
            store.put(worker.key, worker.make_entry())
        self.configure()
        with harness.make_directory() as directory:
            await deployment.start(Path(directory))
            await asyncio.sleep(CONTACT_S)
            for number, count in CALLERS:
                for _ in range(count):
                    deployment.spawn(self.call(deployment.nodes[number]))
            round_s = harness.GRACE_S + SUSPENDED_S + STAYS_S + 3 * CONTACT_S
            # The first worker of machine 5 leaves in calm, as any worker does.
            leaver = deployment.workers[LEAVER]
            store.put(leaver.key, leaver.make_entry("draining"))
            leaver.is_leaving = True
            await asyncio.sleep(DRAIN_S + 0.5)
            store.delete(leaver.key)
            for number in range(ROUNDS):
                await self.restart_node(Path(directory))
                await asyncio.sleep(2 * CONTACT_S)
                await self.play_round(number)
                if not self.is_held or time.monotonic() - began + round_s > LIMIT_S:
                    break
            await deployment.end()
        return self.is_held


if __name__ == "__main__":
    harness.run_case(FOLDER, SPEC, lambda d, trouble: Case(d, trouble).play())
