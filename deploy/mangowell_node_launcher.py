"""Starts the node from a checkout, as the platform does."""

import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SETTINGS_VARIABLE = "MANGOWELL_CONFIG"

# The build copies and compiles the packages in advance, as the checkout is
# read-only when the node starts.
sys.path[:0] = [str(ROOT / "target/src"), str(ROOT / "target/deps")]
# On import, aiohttp loads all CA certificates, which takes a fifth of the start
# time. The node uses no TLS, so the file of certificates is replaced by an empty one.
os.environ["SSL_CERT_FILE"] = os.devnull

if __name__ == "__main__":
    from mangowell_node.mesh.launch import launch

    launch(os.environ[SETTINGS_VARIABLE])
