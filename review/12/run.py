"""After new weights, a split goes on with requests to a service that gets none."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import harness_3 as harness  # noqa: E402

SPEC = tuple((zone, service) for zone in "abc" for service in ("stable", "canary"))
BEFORE = {"stable": 90, "canary": 10}
EQUAL, WITHDRAWN = {"stable": 1, "canary": 1}, {"stable": 1, "canary": 0}
# Requests of each machine on the new route, with equal weights, and after those.
FEW, MANY, LAST = 5, 40, 10
# The rule needs 200 requests, and allows a share to be this far off its weight's.
LEAST_REQUESTS, ALLOWED_OFF = 200, 0.2
CONFIG_APPLY_S, CONTACT_S = 2.0, 3.0


class Case:
    """One change of the weights, after each machine has sent a few requests."""

    def __init__(self, deployment: harness.Deployment, has_trouble: bool):
        self.deployment = deployment
        self.has_trouble = has_trouble
        self.sent = 0

    def configure(self, version: int, weights: dict[str, int]) -> None:
        """Write the document with one route, which is split."""
        split = [{"service": name, "weight": weights[name]} for name in weights]
        route = harness.make_route("/shop/", None, **{"traffic-split": split})
        document = harness.make_document(version, {"shop": route}, list(weights))
        self.deployment.store.put("op/config", document)
        self.deployment.note(f"version {version}: weights {weights}")

    async def send(self, count: int) -> None:
        """Send a number of requests to each machine."""
        for _ in range(count):
            for node in self.deployment.nodes:
                self.sent += 1
                request = f"q{self.sent}"
                data = harness.make_request(request, f"/shop/{self.sent}", 3000)
                status, _, _ = await harness.ask(
                    node.host, harness.CALLER_PORT, data, 4.0
                )
                self.deployment.note(f"machine {node.number} {request}: {status}")
                if status != 200:
                    raise harness.CaseError(f"{request} is answered with {status}")
            await asyncio.sleep(0.02)

    def count_runs(self, since: float) -> dict[str, int]:
        """Return the requests that each service has run since a time."""
        counts = dict.fromkeys(BEFORE, 0)
        for worker in self.deployment.workers:
            for reached_at, request in worker.runs:
                if reached_at > since:
                    counts[worker.service] += 1
                    self.deployment.note(f"{worker.service} ran {request}")
        return counts

    async def send_and_count(self, count: int) -> dict[str, int]:
        """Send requests to each machine once the last version is in force."""
        await asyncio.sleep(CONFIG_APPLY_S + CONTACT_S)
        since = time.monotonic()
        await self.send(count)
        return self.count_runs(since)

    async def play(self) -> bool:
        """Return whether each service gets its share, and none without a weight."""
        deployment = self.deployment
        for worker in deployment.workers:
            worker.work_s = 0.0
            deployment.store.put(worker.key, worker.make_entry())
        self.configure(1, BEFORE)
        weights = EQUAL if self.has_trouble else BEFORE
        with harness.make_directory() as directory:
            await deployment.start(Path(directory))
            await asyncio.sleep(CONTACT_S)
            await self.send(FEW)
            if self.has_trouble:
                self.configure(2, EQUAL)
            counts = await self.send_and_count(MANY)
            withdrawn = 0
            if self.has_trouble:
                self.configure(3, WITHDRAWN)
                withdrawn = (await self.send_and_count(LAST))["canary"]
            await deployment.end()
        total = sum(counts.values())
        if total < LEAST_REQUESTS:
            raise harness.CaseError(f"only {total} requests")
        off = max(
            abs(counts[name] / total - weights[name] / sum(weights.values()))
            for name in counts
        )
        print(f"weights {weights}, requests run {counts}, off by {off:.2f}")
        print(f"{withdrawn} requests run by the service with weight 0")
        return off <= ALLOWED_OFF and not withdrawn


if __name__ == "__main__":
    harness.run_case(FOLDER, SPEC, lambda d, trouble: Case(d, trouble).play())
