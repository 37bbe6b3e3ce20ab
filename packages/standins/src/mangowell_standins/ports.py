"""Free ports for processes that run side by side on one machine."""

import contextlib
import itertools
import socket
from collections.abc import Iterator

# Below the ephemeral ports, which the system gives to outgoing connections.
PORTS = range(12_000, 30_000)
BLOCK = 1800  # ports of one process; allows about ten concurrent test runs


def claim_ports() -> tuple[socket.socket, Iterator[int]]:
    """Claim a block of ports that no other test run uses.

    The claim is a Unix socket in the abstract namespace, which the system
    releases when the process ends.
    """
    for first in PORTS[::BLOCK]:
        claim = socket.socket(socket.AF_UNIX)
        try:
            claim.bind(f"\0mangowell-tests-{first}")
        except OSError:
            claim.close()
            continue
        return claim, itertools.cycle(range(first, first + BLOCK))
    raise AssertionError("every block of ports is claimed by another test run")


_claim, _ports = claim_ports()


def find_port() -> int:
    """Return a port that is free on every address."""
    for port in _ports:
        with socket.socket() as sock, contextlib.suppress(OSError):
            # All addresses: nodes of a mesh listen on several loopback addresses.
            sock.bind(("", port))
            return port
    raise AssertionError("no free port")
