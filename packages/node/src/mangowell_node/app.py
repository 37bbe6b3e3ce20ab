"""Entry point of the program ``mangowell-node``."""

import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import aiomisc
import cappa
import logbook

from mangowell_core.settings import parse_settings
from mangowell_node.control import ControlError
from mangowell_node.node import Node
from mangowell_node.settings_file import load_settings

EXIT_CANNOT_START = 3
# Longer than any route's timeout, so that a planned stop interrupts no call.
STOP_GRACE_S = 30.0
SHUTDOWN_MARGIN_S = 5.0  # closes the sockets after the grace period


@dataclass(slots=True)
class Arguments:
    """Run one node beside its backend server.

    Parameters
    ----------
    settings
        INI file; see docs/settings.md.
    """

    settings: Annotated[Path, cappa.Arg()]


class NodeService(aiomisc.Service):
    """Runs a `Node` under the aiomisc entrypoint, which handles SIGTERM."""

    __required__ = ("settings",)

    async def start(self) -> None:
        """Start the node."""
        self.node = Node.from_settings(self.settings)
        await self.node.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the node gracefully."""
        # aiomisc has restored the default action, which would end the process.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        await self.node.stop(STOP_GRACE_S)


def main() -> None:
    """Read the settings and run the node until SIGTERM or SIGINT."""
    settings = load_settings(cappa.parse(Arguments).settings, parse_settings)
    # The node reads no settings again; the default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    handler = logbook.StreamHandler(sys.stderr, level=settings.log.level.upper())
    with handler.applicationbound():
        try:
            with aiomisc.entrypoint(
                NodeService(settings=settings),
                log_config=False,
                shutdown_timeout=STOP_GRACE_S + SHUTDOWN_MARGIN_S,
            ) as loop:
                loop.run_forever()
        except (ControlError, OSError) as exc:
            print(f"mangowell-node: {exc}", file=sys.stderr)
            sys.exit(EXIT_CANNOT_START)
