"""Node on the platform as a process of its own, on one loopback address."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from mangowell_standins.ports import find_port

_COMMAND = "import sys; from mangowell_node.mesh.program import main; main(sys.argv[1])"
_SETTINGS = """\
[node]
instance = {name}
failure_domain = {zone}
service = {service}
link_mbps = 1000.0

[listen]
callers = {host}:{ports.callers}
ready = {host}:{ports.ready}
link = {host}:{ports.link}
metrics_port = {ports.metrics}

[worker]
worker = {host}:{ports.worker}

[store]
store = {store}

[bounds]
grace_s = {grace_s}s

[retries]
retry_ratio = 0.2
retry_floor = {retry_floor}
retry_window_s = 10s
"""


class MeshPorts:
    """Ports of the nodes and workers of a mesh, the same on every host."""

    __slots__ = ("callers", "link", "metrics", "ready", "worker")

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, find_port())


class NodeProcess:
    """Process of one node, which can be started again after its end.

    Parameters
    ----------
    number : int
        Number of the node, which gives its host.
    ports : MeshPorts
        Ports of the mesh.
    directory : Path
        Takes the settings file, and a log for each start.
    settings : dict
        Values of `zone`, `service`, `store`, `grace_s` and `retry_floor`.
    """

    __slots__ = ("_process", "host", "logs", "path", "ports", "settings", "starts")

    def __init__(self, number: int, ports: MeshPorts, directory: Path, settings: dict):
        self.host = f"127.0.{1 + number // 200}.{1 + number % 200}"
        self.ports = ports
        self.settings = {"name": f"node-{number}", "host": self.host, **settings}
        self.path = directory / f"node-{number}.ini"
        self.starts = 0
        self.logs: list[Path] = []
        self._process: asyncio.subprocess.Process | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def has_logged(self) -> bool:
        """Whether the process has written to its log, so that it handles signals."""
        return self.is_running and self.logs[-1].stat().st_size > 0

    def write_settings(self) -> None:
        """Replace the settings file at once, as the platform does."""
        new = self.path.with_suffix(".new")
        new.write_text(_SETTINGS.format(ports=self.ports, **self.settings))
        os.replace(new, self.path)

    async def start(self) -> None:
        """Start the process; its log goes to a new file."""
        self.write_settings()
        self.starts += 1
        self.logs.append(self.path.with_suffix(f".{self.starts}.log"))
        with self.logs[-1].open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                _COMMAND,
                str(self.path),
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self, timeout_s: float | None = None) -> int | None:
        """Wait for the end; return the exit code, or None after `timeout_s`."""
        process = self._process
        try:
            async with asyncio.timeout(timeout_s):
                return await process.wait()
        except TimeoutError:
            return None

    async def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
