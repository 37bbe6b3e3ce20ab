"""Start of a node on the platform that handles signals from its first moment.

The imports of the node take several tenths of a second, so this module has none of
them.
"""

import os
import signal


def launch(path: str) -> None:
    """Run the node with the settings file at `path`, and exit with its exit code."""
    signal.signal(signal.SIGTERM, _exit)
    # The settings are read later, so there is nothing to read again.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from mangowell_node.mesh.program import main

    main(path)


def _exit(number: int, frame) -> None:
    """End the process, which has not begun any work.

    An exception would be raised within an import, which may handle it.
    """
    os._exit(0)
