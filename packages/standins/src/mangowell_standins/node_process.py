"""Node on the platform as a process of its own, on one loopback address."""

import asyncio
import os
import re
import signal
import sys
from pathlib import Path

TEMPLATE = Path(__file__).parents[4] / "deploy/settings.ini.template"
CALLER_PORT, READY_PORT, WORKER_PORT, LINK_PORT = 8304, 8302, 8301, 7620
NODE_CODE = (
    "import sys; from mangowell_node.mesh.launch import launch; launch(sys.argv[1])"
)


class NodeProcess:
    """Process of one node, which can be started again after its end.

    Parameters
    ----------
    number : int
        Number of the node. All nodes have the same ports; the hosts differ, also
        from those of other processes that run a mesh.
    directory : Path
        Takes the settings file, and a log for each start.
    fields : dict
        Values of the settings template: `zone`, `service`, `platform.address`
        and `bounds` of the platform.
    code : str
        Code that the process runs, with the path of the settings file as its argument.
    """

    __slots__ = ("_code", "_process", "fields", "host", "logs", "path")

    def __init__(
        self,
        number: int,
        directory: Path,
        fields: dict[str, str],
        code: str = NODE_CODE,
    ):
        self._code = code
        high, low = divmod(os.getpid() % 62_500, 250)
        self.host = f"127.{high + 1}.{low + 1}.{number}"
        self.fields = {
            "node-name": f"node-{number}",
            "ip": self.host,
            "listen.outbound": f"{self.host}:{CALLER_PORT}",
            "listen.ready": f"{self.host}:{READY_PORT}",
            "app-addr": f"{self.host}:{WORKER_PORT}",
            "internal-ports.0": str(LINK_PORT),
            "limits.link-mbps": "1000.0",
            "heartbeat": "1500ms",
            **fields,
        }
        self.path = directory / f"node-{number}.ini"
        self.logs: list[Path] = []
        self._process: asyncio.subprocess.Process | None = None

    @property
    def handles_signals(self) -> bool:
        """Whether the process runs and has written to its log."""
        is_running = self._process is not None and self._process.returncode is None
        return is_running and self.logs[-1].stat().st_size > 0

    @property
    def pid(self) -> int:
        """Id of the process that was started last."""
        return self._process.pid

    def write_settings(self) -> None:
        """Replace the settings file at once, as the platform does."""
        fields = self.fields
        # The platform writes nothing for a value that it does not have.
        text = re.sub("{{(.*?)}}", lambda m: fields.get(m[1], ""), TEMPLATE.read_text())
        new = self.path.with_suffix(".new")
        new.write_text(text)
        os.replace(new, self.path)

    async def start(self) -> None:
        """Start the process; its log goes to a new file."""
        self.write_settings()
        self.logs.append(self.path.with_suffix(f".{len(self.logs) + 1}.log"))
        environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
        command = (sys.executable, "-c", self._code, str(self.path))
        with self.logs[-1].open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log, env=environment
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it has not ended."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self, timeout_s: float | None = None) -> int | None:
        """Wait for the end; return the exit code, or None after `timeout_s`."""
        if self._process is None:
            return None
        try:
            async with asyncio.timeout(timeout_s):
                return await self._process.wait()
        except TimeoutError:
            return None
