"""Starts the node from a checkout, as the platform does."""

import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SETTINGS_VARIABLE = "MANGOWELL_CONFIG"

sys.path[:0] = [
    str(ROOT / "packages/core/src"),
    str(ROOT / "packages/node/src"),
    str(ROOT / "target/deps"),
]

if __name__ == "__main__":
    from mangowell_node.mesh.program import main

    main(os.environ[SETTINGS_VARIABLE])
