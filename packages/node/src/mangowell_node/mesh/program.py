"""Program of the node on the platform."""

import asyncio
import signal
import traceback
from pathlib import Path

import uvloop
from result import Err, Ok

from mangowell_core.events import Event, EventCode
from mangowell_core.mesh import MeshSettings, parse_mesh_settings
from mangowell_node.event_log import EventLog
from mangowell_node.mesh.node import MeshNode
from mangowell_node.mesh.tasks import start_loop
from mangowell_node.settings_file import load_settings
from mangowell_node.telemetry import Telemetry

EVENTS_KEPT = 200
SETTINGS_POLL_S = 1.0


class SettingsReloader:
    """Takes changes of the settings file, which may come without a signal.

    Parameters
    ----------
    path : Path
    settings : MeshSettings
        In force.
    node : MeshNode
    telemetry : Telemetry
    """

    __slots__ = ("_modified", "_node", "_path", "_settings", "_telemetry")

    def __init__(self, path: Path, settings: MeshSettings, node, telemetry):
        self._path = path
        self._settings = settings
        self._node = node
        self._telemetry = telemetry
        self._modified = self._read_modified()

    async def run(self) -> None:
        """Look for changes at intervals."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            if self._read_modified() != self._modified:
                self.reload()

    def reload(self) -> None:
        """Read the file again; keep what is in force if it is not valid."""
        self._modified = self._read_modified()
        try:
            text = self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            self._refuse(str(exc))
            return
        match parse_mesh_settings(text, str(self._path)):
            case Ok(settings) if settings != self._settings:
                self._settings = settings
                self._node.reload(settings)
            case Err(errors):
                self._refuse("; ".join(errors))

    def _refuse(self, reason: str) -> None:
        event = Event(EventCode.SETTINGS_REFUSED, {"reason": reason})
        self._telemetry.emit(event)

    def _read_modified(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            # Being replaced; the next look finds it.
            return 0


async def run(path: Path) -> None:
    """Run the node until SIGTERM."""
    settings = load_settings(path, parse_mesh_settings)
    log = EventLog(settings.instance)
    telemetry = Telemetry(settings.instance, EVENTS_KEPT, sink=log.write)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, ctx: _report_fault(telemetry, ctx))
    node = MeshNode.from_settings(settings, telemetry)
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    reloader = SettingsReloader(path, settings, node, telemetry)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    await node.start()
    watch = start_loop(reloader.run())
    await stopped.wait()
    watch.cancel()
    await node.stop()
    log.flush()


def _report_fault(telemetry: Telemetry, context: dict) -> None:
    """Log an exception that no part of the node has handled."""
    exc = context.get("exception")
    frames = traceback.extract_tb(exc.__traceback__) if exc is not None else []
    where = " < ".join(f"{f.name}:{f.lineno}" for f in reversed(frames[-4:]))
    fields = {"reason": context.get("message", ""), "fault": repr(exc), "where": where}
    telemetry.emit(Event(EventCode.INTERNAL_FAULT, fields))


def main(path: str) -> None:
    """Run the node with the settings file at `path`."""
    uvloop.run(run(Path(path)))
