"""Entry point of a node on the platform."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import uvloop
from result import Err, Ok

from mangowell_core.events import Event, EventCode
from mangowell_core.mesh import MeshSettings, parse_mesh_settings
from mangowell_node.event_log import EventLog
from mangowell_node.mesh.node import MeshNode
from mangowell_node.mesh.tasks import describe_fault
from mangowell_node.settings_file import load_settings
from mangowell_node.telemetry import Telemetry

EVENTS_KEPT = 200
RELOAD_TASK = "settings-reload"
SETTINGS_POLL_S = 1.0
# Exit code of a node that could not start, for example as an address is taken.
EXIT_START_FAILED = 1


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

    __slots__ = (
        "_node",
        "_path",
        "_reason",
        "_seen_stamp",
        "_settings",
        "_stamp",
        "_telemetry",
    )

    def __init__(self, path: Path, settings: MeshSettings, node, telemetry):
        self._path = path
        self._settings = settings
        self._node = node
        self._telemetry = telemetry
        # State of the file that was read; None if it could not be used, and before the
        # first reload, as it may have changed since `settings` were read.
        self._stamp: tuple[int, int, int] | None = None
        # State of the file at the last reload, also of one that could not be used.
        self._seen_stamp: tuple[int, int, int] | None = None
        # Why the file was refused, so that it is reported once.
        self._reason = ""

    async def run(self) -> None:
        """Reload the file whenever it changes, and while it cannot be used.

        A file that is being written may change again without a new modification time.
        """
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            if self._stamp is None or self._read_stamp() != self._stamp:
                self.reload()

    def reload_if_changed(self) -> None:
        """Reload the file if it has changed since the last time that it was read.

        The platform changes it before a worker of another service starts, at times
        without a signal, so each request needs the service that it names by then.
        """
        if self._read_stamp() == self._seen_stamp:
            return
        try:
            self.reload()
        except Exception as exc:
            # A fault of this node, which does not concern the request. `run` retries.
            asyncio.get_running_loop().call_exception_handler(
                {"message": "settings not reloaded", "exception": exc}
            )

    def reload(self) -> None:
        """Read the file again; if it is invalid, the settings in force stay."""
        stamp, self._stamp = self._read_stamp(), None
        self._seen_stamp = stamp
        try:
            text = self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            self._refuse(str(exc))
            return
        match parse_mesh_settings(text, str(self._path)):
            case Ok(settings):
                if settings != self._settings:
                    emit_replaced_settings(settings, self._telemetry)
                    self._node.reload(settings)
                self._settings = settings
                self._stamp = stamp
                self._reason = ""
            case Err(errors):
                self._refuse("; ".join(errors))

    def _refuse(self, reason: str) -> None:
        if reason != self._reason:
            self._reason = reason
            event = Event(EventCode.SETTINGS_REFUSED, {"reason": reason})
            self._telemetry.emit(event)

    def _read_stamp(self) -> tuple[int, int, int] | None:
        """Return what differs after each change of the file; None if it is missing."""
        try:
            state = self._path.stat()
        except OSError:
            return None
        return state.st_mtime_ns, state.st_size, state.st_ino


def emit_replaced_settings(settings: MeshSettings, telemetry: Telemetry) -> None:
    """Emit an event for each value that was replaced by its default."""
    for reason in settings.warnings:
        telemetry.emit(Event(EventCode.SETTING_REPLACED, {"reason": reason}))


async def run(path: Path) -> int:
    """Run the node until SIGTERM or SIGINT; return the exit code."""
    loop = asyncio.get_running_loop()
    # Signals are handled before anything that takes time: without a handler they
    # would end the process.
    stop_requested, reload_requested = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    settings = load_settings(path, parse_mesh_settings)
    log = EventLog(settings.instance)
    telemetry = Telemetry(settings.instance, EVENTS_KEPT, sink=log.write)
    emit_replaced_settings(settings, telemetry)
    loop.set_exception_handler(lambda _, ctx: _emit_fault(telemetry, ctx))
    try:
        node = MeshNode.from_settings(settings, telemetry)
        reloader = SettingsReloader(path, settings, node, telemetry)
        node.gateway.refresh_settings = reloader.reload_if_changed
        loop.add_signal_handler(signal.SIGHUP, reloader.reload)
        if reload_requested.is_set():
            reloader.reload()
        return await _run_node(node, reloader, stop_requested, telemetry)
    finally:
        # A second signal must not change the exit code of a node that has stopped.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
        log.flush()


async def _run_node(
    node: MeshNode,
    reloader: SettingsReloader,
    stop_requested: asyncio.Event,
    telemetry: Telemetry,
) -> int:
    starting = asyncio.ensure_future(node.start())
    stopping = asyncio.ensure_future(stop_requested.wait())
    await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
    if not starting.done():
        # A node that has not started has no callers, so it stops at once.
        starting.cancel()
        await asyncio.wait((starting,))
        return 0
    if starting.exception() is not None:
        stopping.cancel()
        fault = describe_fault(starting.exception())
        fields = {"reason": "start failed", **fault}
        telemetry.emit(Event(EventCode.INTERNAL_FAULT, fields))
        return EXIT_START_FAILED
    node.supervisor.start(RELOAD_TASK, reloader.run)
    await stopping
    await node.stop()
    return 0


def _emit_fault(telemetry: Telemetry, context: dict) -> None:
    """Emit an event for an exception that no part of the node has handled."""
    fault = describe_fault(context.get("exception"))
    fields = {"reason": context.get("message", ""), **fault}
    telemetry.emit(Event(EventCode.INTERNAL_FAULT, fields))


def main(path: str) -> None:
    """Run the node with the settings file at `path`; exit with its exit code."""
    code = uvloop.run(run(Path(path)))
    sys.stdout.flush()
    sys.stderr.flush()
    # Freeing all objects takes longer than a short grace period leaves after the last
    # answer. All that has to be closed is closed.
    os._exit(code)
