"""Program of a node on the platform whose long-lived tasks can be made to fail."""

import asyncio
import os
import signal
from collections.abc import Callable, Coroutine
from contextlib import suppress
from functools import partial
from pathlib import Path

from mangowell_node.mesh.launch import launch
from mangowell_node.mesh.node import MeshNode
from mangowell_node.mesh.tasks import TaskSupervisor

FAILURE_SIGNAL = signal.SIGUSR1
# Code of a `NodeProcess` that runs this module.
FAILING_NODE_CODE = (
    "import sys; from mangowell_standins.failing_node import main; main(sys.argv[1])"
)


class InjectedTaskError(Exception):
    """Failure of a task that was ordered from outside."""


class FailingSupervisor(TaskSupervisor):
    """Supervisor that lets a task fail at each `FAILURE_SIGNAL`.

    The file at `order_path` has the place of the task among the names in order; it
    may be any whole number, as the names begin again after the last one.
    """

    order_path: Path

    def __init__(self, *args):
        super().__init__(*args)
        self._triggers: dict[str, asyncio.Future] = {}
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(FAILURE_SIGNAL, self._fail_ordered)

    def start(self, name: str, make_coroutine: Callable[[], Coroutine]) -> None:
        """Start a task as usual, which can be made to fail."""
        super().start(name, partial(self._run, name, make_coroutine))

    def fail(self, name: str) -> None:
        """Let a task fail, if it runs."""
        trigger = self._triggers.get(name)
        if trigger is not None and not trigger.done():
            trigger.set_result(None)

    def _fail_ordered(self) -> None:
        names = sorted(self.tasks)
        if names:
            self.fail(names[int(self.order_path.read_text()) % len(names)])

    async def _run(self, name: str, make_coroutine) -> None:
        trigger = asyncio.get_running_loop().create_future()
        self._triggers[name] = trigger
        running = asyncio.ensure_future(make_coroutine())
        try:
            waits_for = {running, trigger}
            await asyncio.wait(waits_for, return_when=asyncio.FIRST_COMPLETED)
            if running.done():
                # A failure of its own is raised as it is.
                return running.result()
        finally:
            # On a cancellation of this task, too, the other one ends first.
            running.cancel()
            with suppress(asyncio.CancelledError):
                await running
        raise InjectedTaskError(name)


def get_order_path(settings_path: Path) -> Path:
    """Return the path of the file that tells which task is to fail."""
    return settings_path.with_suffix(".order")


def order_failure(settings_path: Path, place: int) -> None:
    """Tell which task is to fail at the next signal; replaces the file at once."""
    path = get_order_path(settings_path)
    new = path.with_suffix(".new-order")
    new.write_text(str(place))
    os.replace(new, path)


def main(path: str) -> None:
    """Run the node with the settings file at `path`."""
    # Until the node handles the signal, it must not end the process.
    signal.signal(FAILURE_SIGNAL, signal.SIG_IGN)
    FailingSupervisor.order_path = get_order_path(Path(path))
    MeshNode.supervisor_type = FailingSupervisor
    launch(path)
