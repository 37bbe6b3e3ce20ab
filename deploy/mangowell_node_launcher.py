"""Starts the node from a checkout, as the platform does."""

import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SETTINGS_VARIABLE = "MANGOWELL_CONFIG"

# The build has copied and compiled the packages, as the checkout is read-only.
sys.path[:0] = [str(ROOT / "target/src"), str(ROOT / "target/deps")]
# The HTTP library loads the certificates of all authorities when it is
# imported, which takes a fifth of the start; the node uses no TLS.
os.environ["SSL_CERT_FILE"] = os.devnull

if __name__ == "__main__":
    from mangowell_node.mesh.program import main

    main(os.environ[SETTINGS_VARIABLE])
