"""Program of the node on the platform."""

import asyncio
import signal
import sys
import traceback
from pathlib import Path

import uvloop
from result import Err, Ok

from mangowell_core.events import Event, EventCode
from mangowell_core.mesh import MeshSettings, parse_mesh_settings
from mangowell_node.event_log import EventLog
from mangowell_node.mesh.node import MeshNode
from mangowell_node.telemetry import Telemetry

EXIT_INVALID_SETTINGS = 2
EVENTS_KEPT = 200


def load_settings(path: Path) -> MeshSettings:
    """Read settings from `path`; on errors print each and exit with code 2."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        print(f"mangowell-node: cannot read {path}: {exc}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    match parse_mesh_settings(text, str(path)):
        case Ok(settings):
            return settings
        case Err(errors):
            for error in errors:
                print(error, file=sys.stderr)
            sys.exit(EXIT_INVALID_SETTINGS)


async def run(path: Path) -> None:
    """Run the node until SIGTERM."""
    settings = load_settings(path)
    log = EventLog(settings.instance)
    telemetry = Telemetry(settings.instance, EVENTS_KEPT, sink=log.write)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, ctx: _report_fault(telemetry, ctx))
    node = MeshNode.from_settings(settings, telemetry)
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await node.start()
    await stopped.wait()
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
