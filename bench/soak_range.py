"""Runs a soak on a range of seeds, each in processes of its own."""

import asyncio
import os
import re
import signal
import sys
from collections import Counter
from contextlib import suppress
from pathlib import Path
from time import monotonic
from typing import NamedTuple

# Longest time of a run beyond the length of its schedule, in seconds: its start, the
# end of its last series, its recovery and the stops of its nodes take about 20 s.
MAX_EXTRA_S = 120.0
END_S, POLL_S = 15.0, 0.1  # time of a run to end its nodes
OUTPUT = Path("build/soaks")
_HEADER = re.compile(r"^\d+ problems \((.*?)\)", re.MULTILINE)


class Result(NamedTuple):
    """End of the run on one seed."""

    seed: int
    code: int | None  # None if it did not end in time
    seconds: float
    output: str

    @property
    def problems(self) -> Counter[str]:
        """Number of problems by rule, as the report of the run states them."""
        if self.code == 0:
            return Counter()
        if self.code is None or (header := _HEADER.search(self.output)) is None:
            return Counter({"no report": 1})
        pairs = (entry.split(" ") for entry in header[1].split(", "))
        return Counter({rule: int(count) for rule, count in pairs})

    def describe(self) -> str:
        """Return one line."""
        head = f"seed {self.seed}: {self.seconds:.0f} s, "
        if self.code == 0:
            _, _, statuses = self.output.partition("by status ")
            return f"{head}passed, by status {statuses.splitlines()[0]}"
        end = "not ended in time" if self.code is None else f"exit code {self.code}"
        found = ", ".join(f"{rule} {n}" for rule, n in sorted(self.problems.items()))
        return f"{head}failed, {end}: {found}"


def parse_range(text: str) -> range:
    """Return the seeds of an argument such as ``100-149`` or ``7``."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def run_range(module: str, seeds: range, jobs: int, seconds: float, nodes: int) -> int:
    """Run a soak on each seed; return the exit code, 1 if one of them has failed.

    Parameters
    ----------
    module : str
        Module of the soak, which is run as a command.
    seeds : range
        Seeds.
    jobs : int
        Number of runs at a time.
    seconds, nodes
        Length of each schedule, and number of nodes.
    """
    arguments = ("-m", module, "--seconds", f"{seconds:g}", "--nodes", str(nodes))
    OUTPUT.mkdir(parents=True, exist_ok=True)

    def report(result: Result) -> None:
        """Print a result; what a failed run has printed goes to a file at once."""
        print(result.describe(), flush=True)
        if result.code != 0:
            path = OUTPUT / f"{module}-{result.seed}.txt"
            path.write_text(result.output)

    limit_s = seconds + MAX_EXTRA_S
    results = asyncio.run(_run_all(arguments, seeds, jobs, limit_s, report))
    failed = [result for result in results if result.code != 0]
    problems = sum((result.problems for result in failed), Counter())
    print(f"{len(results) - len(failed)} of {len(seeds)} seeds passed", end="")
    print(f"; problems: {dict(problems)}, reports: {OUTPUT}" if failed else "")
    return 1 if failed else 0


async def _run_all(arguments, seeds, jobs, limit_s, report) -> list[Result]:
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    slots = asyncio.Semaphore(jobs)

    async def run_next(seed: int) -> Result:
        async with slots:
            result = await _run_one((*arguments, "--seed", str(seed)), seed, limit_s)
        report(result)
        return result

    return await asyncio.gather(*(run_next(seed) for seed in seeds))


async def _run_one(arguments, seed: int, limit_s: float) -> Result:
    """Run a command in a group of processes, all of which have ended afterwards."""
    began_at = monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        start_new_session=True,
    )
    reading = asyncio.ensure_future(process.stdout.read())
    try:
        await asyncio.wait({reading}, timeout=limit_s)
        code = await process.wait() if reading.done() else None
    finally:
        await _end(process)
    output = (await reading).decode(errors="replace")
    return Result(seed, code, monotonic() - began_at, output)


async def _end(process) -> None:
    """End the process and whatever it has left in its group."""
    if process.returncode is None:
        process.terminate()
        deadline = monotonic() + END_S
        # `wait` would also wait for processes of the group that hold the pipe open.
        while process.returncode is None and monotonic() < deadline:
            await asyncio.sleep(POLL_S)
    with suppress(ProcessLookupError):
        os.killpg(process.pid, signal.SIGKILL)
    await process.wait()
