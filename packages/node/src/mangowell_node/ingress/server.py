"""Listener for connections of callers."""

import asyncio
from collections.abc import Awaitable, Callable
from time import monotonic

from mangowell_node.ingress.connection import CallerConnection
from mangowell_node.ingress.messages import IncomingCall, Reply

IDLE_CLOSE_S = 75.0
SWEEP_INTERVAL_S = 5.0

RequestHandler = Callable[[IncomingCall], Awaitable[Reply]]


class IngressServer:
    """HTTP server for callers on one port.

    Parameters
    ----------
    serve : callable
        Takes an `IncomingCall` and returns its `Reply`; cancelled when the caller
        disconnects.
    """

    def __init__(self, serve: RequestHandler) -> None:
        self.serve = serve
        self.idle_timeout_s = IDLE_CLOSE_S
        self.connections: set[CallerConnection] = set()
        self.draining = False
        # Connections ask for this, because the event loop may register one that it
        # has accepted only after `stop` has gone through `connections`.
        self.is_stopping = False
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self, loop), host, port
        )
        self._sweep()

    def _sweep(self) -> None:
        """Close connections that have been idle for `idle_timeout_s`."""
        # The next sweep is scheduled first, so that a failure of this one does not
        # end all later ones.
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        cutoff = monotonic() - self.idle_timeout_s
        for connection in list(self.connections):
            if connection.is_idle and connection.idle_since < cutoff:
                connection.close_if_idle()

    def close_idle(self) -> None:
        """Close every connection on which no request is in progress."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close_if_idle()

    async def stop(self, timeout: float) -> None:
        """Close the listener and every connection.

        Parameters
        ----------
        timeout : float
            Seconds to wait for replies that are still being written.
        """
        if self._server is None:
            return
        self.is_stopping = True
        self._server.close()
        self._sweeper.cancel()
        for connection in list(self.connections):
            connection.close_if_idle()
        deadline = monotonic() + timeout
        while self.connections and monotonic() < deadline:
            await asyncio.sleep(0.005)
        for connection in list(self.connections):
            connection.abort()
