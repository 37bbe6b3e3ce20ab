"""Entry point of a node on the platform."""

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
from mangowell_node.settings_file import load_settings
from mangowell_node.telemetry import Telemetry

EVENTS_KEPT = 200
RELOAD_TASK = "settings-reload"
SETTINGS_POLL_S = 1.0


class SettingsReloader:
    """Applies changes of the settings file, also those made without a signal.

    Parameters
    ----------
    path : Path
        Settings file.
    settings : MeshSettings
        Settings in force.
    node : MeshNode
        Receives changed settings.
    telemetry : Telemetry
        Receives refusals of invalid settings.
    """

    __slots__ = ("_mtime_ns", "_node", "_path", "_settings", "_telemetry")

    def __init__(self, path: Path, settings: MeshSettings, node, telemetry):
        self._path = path
        self._settings = settings
        self._node = node
        self._telemetry = telemetry
        self._mtime_ns = self._read_mtime_ns()

    async def run(self) -> None:
        """Reload the file whenever its modification time changes."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            if self._read_mtime_ns() != self._mtime_ns:
                self.reload()

    def reload(self) -> None:
        """Read the file again; if it is invalid, the settings in force stay."""
        self._mtime_ns = self._read_mtime_ns()
        try:
            text = self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            self._emit_refused(str(exc))
            return
        match parse_mesh_settings(text, str(self._path)):
            case Ok(settings) if settings != self._settings:
                self._settings = settings
                emit_replaced_settings(settings, self._telemetry)
                self._node.reload(settings)
            case Err(errors):
                self._emit_refused("; ".join(errors))

    def _emit_refused(self, reason: str) -> None:
        event = Event(EventCode.SETTINGS_REFUSED, {"reason": reason})
        self._telemetry.emit(event)

    def _read_mtime_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            # The file may be being replaced; the next check finds the new one.
            return 0


def emit_replaced_settings(settings: MeshSettings, telemetry: Telemetry) -> None:
    """Emit an event for each value that was replaced by its default."""
    for reason in settings.warnings:
        telemetry.emit(Event(EventCode.SETTING_REPLACED, {"reason": reason}))


async def run(path: Path) -> None:
    """Run the node until SIGTERM or SIGINT."""
    settings = load_settings(path, parse_mesh_settings)
    log = EventLog(settings.instance)
    telemetry = Telemetry(settings.instance, EVENTS_KEPT, sink=log.write)
    emit_replaced_settings(settings, telemetry)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, ctx: _emit_fault(telemetry, ctx))
    node = MeshNode.from_settings(settings, telemetry)
    stop_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    reloader = SettingsReloader(path, settings, node, telemetry)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    await node.start()
    node.supervisor.start(RELOAD_TASK, reloader.run)
    await stop_requested.wait()
    await node.stop()
    log.flush()


def _emit_fault(telemetry: Telemetry, context: dict) -> None:
    """Emit an event for an exception that no part of the node has handled."""
    exc = context.get("exception")
    frames = traceback.extract_tb(exc.__traceback__) if exc is not None else []
    where = " < ".join(f"{f.name}:{f.lineno}" for f in reversed(frames[-4:]))
    fields = {"reason": context.get("message", ""), "fault": repr(exc), "where": where}
    telemetry.emit(Event(EventCode.INTERNAL_FAULT, fields))


def main(path: str) -> None:
    """Run the node with the settings file at `path`."""
    uvloop.run(run(Path(path)))
