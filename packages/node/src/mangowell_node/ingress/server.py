"""Listener for connections of callers."""

import asyncio
import contextlib
import select
from collections import Counter
from collections.abc import Awaitable, Callable
from time import monotonic

from mangowell_core.mesh.caller_memory import CallerMemory
from mangowell_core.mesh.framing_budget import FramingBudget
from mangowell_node.ingress.connection import CallerConnection
from mangowell_node.ingress.messages import IncomingCall, Reply

IDLE_CLOSE_S = 75.0
SWEEP_INTERVAL_S = 5.0
# Interval at which callers that have gone, or do not read, are looked for. A request of
# a caller that has gone reaches no worker after 0.5 s.
CHECK_INTERVAL_S = 0.2
# Bytes of a head without a document: what the parser accepts.
DEFAULT_MAX_HEADER_BYTES = 128 * 16_384
# Bound of the memory that connections take, if the server has no account: none.
UNLIMITED_BYTES = 2**62

RequestHandler = Callable[[IncomingCall], Awaitable[Reply]]


def _expect_no_stream(call: IncomingCall) -> bool:
    """Return that a reply comes whole."""
    return False


class IngressServer:
    """HTTP server for callers on one port.

    Parameters
    ----------
    serve : callable
        Takes an `IncomingCall` and returns its `Reply`; cancelled when the caller
        disconnects.
    refuse : callable, optional
        Takes an `IncomingCall` and returns the `Reply` that it is not run, for lack of
        memory, or None if it must be served. Without it, no request is refused here.
    memory : CallerMemory, optional
        Account of the bytes that are held for callers; without it, there is no bound.
    max_connections : int
        Number of connections of callers, or 0 for no bound.
    expects_stream : callable
        Takes an `IncomingCall` and returns whether its reply will probably stream.

    Attributes
    ----------
    header_timeout_s : float
        Time for a head from its first byte, in seconds; 0 for no limit.
    unread_timeout_s : float
        Time after which a caller that takes no byte of a reply is closed, in seconds.
    max_header_bytes : int
        Bytes of a head, including empty lines before it.
    closed : Counter
        Number of connections that were closed for a limit, by reason.
    refused : int
        Number of requests that were refused for lack of memory.
    held_back : int
        Number of times that reading from a connection stopped for lack of memory.
    """

    def __init__(
        self,
        serve: RequestHandler,
        refuse: Callable[[IncomingCall], Reply | None] | None = None,
        memory: CallerMemory | None = None,
        max_connections: int = 0,
        expects_stream: Callable[[IncomingCall], bool] = _expect_no_stream,
    ) -> None:
        self.serve = serve
        self.expects_stream = expects_stream
        self._refuse = refuse
        self.memory = memory or CallerMemory(UNLIMITED_BYTES)
        self._max_connections = max_connections
        self.framing_budget = FramingBudget()
        self.header_timeout_s = 0.0
        self.unread_timeout_s = float("inf")
        self.max_header_bytes = DEFAULT_MAX_HEADER_BYTES
        self.closed: Counter[str] = Counter()
        self.refused = 0
        self.held_back = 0
        self._held_back: set[CallerConnection] = set()
        # Tells the event loop of callers that have gone while it does not read from
        # them; the connections by descriptor.
        self._ends: select.epoll | None = None
        self._watched: dict[int, CallerConnection] = {}
        self._checker: asyncio.TimerHandle | None = None
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
        self._ends = select.epoll()
        loop.add_reader(self._ends.fileno(), self._drop_gone)
        self._sweep()
        self._check()

    # Limits

    def count_closing(self, reason: str) -> None:
        """Count a connection that is closed for a limit."""
        self.closed[reason] += 1

    @property
    def limited(self) -> int:
        """How often callers have met a limit so far."""
        return self.held_back + self.refused + self.closed.total()

    def forget(self, connection: CallerConnection) -> None:
        """Release what is held for a connection that is lost."""
        self.connections.discard(connection)
        self._held_back.discard(connection)
        self.memory.release(connection)
        if connection.watched_fd >= 0:
            self._stop_watching(connection.watched_fd, connection)

    def watch_end(self, connection: CallerConnection) -> None:
        """Notice the end of a connection although reading from it is paused."""
        fd = connection.fileno()
        if fd < 0 or self._ends is None or self._watched.get(fd) is connection:
            return
        with contextlib.suppress(OSError):
            self._ends.register(fd, select.EPOLLRDHUP)
            self._watched[fd] = connection
            connection.watched_fd = fd

    def _stop_watching(self, fd: int, connection: CallerConnection) -> None:
        connection.watched_fd = -1
        # A closed descriptor is no longer registered, and may be that of another one.
        if self._watched.get(fd) is connection:
            del self._watched[fd]
            if self._ends is not None:
                with contextlib.suppress(OSError):
                    self._ends.unregister(fd)

    def _drop_gone(self) -> None:
        """Drop connections whose caller has gone while they were not read."""
        for fd, _ in self._ends.poll(0):
            connection = self._watched.get(fd)
            if connection is None:
                with contextlib.suppress(OSError):
                    self._ends.unregister(fd)
                continue
            self._stop_watching(fd, connection)
            # Otherwise, the event loop reads the end itself.
            if connection.is_reading_paused:
                connection.drop()

    def limit_connections(self, added: CallerConnection) -> None:
        """Close the connection that has been idle longest if there are too many.

        A connection with a request is not closed, so the new one is if all have one.
        """
        if not self._max_connections or len(self.connections) <= self._max_connections:
            return
        idle = (c for c in self.connections if c.is_idle and c is not added)
        closing = min(idle, key=lambda c: c.idle_since, default=added)
        self.connections.discard(closing)
        self.count_closing("descriptors")
        closing.drop()

    def update_account(self, connection: CallerConnection, held: int) -> None:
        """Record the bytes that are held for a connection, and keep the bound.

        Parameters
        ----------
        connection : CallerConnection
            The connection.
        held : int
            All bytes that are held for it now.
        """
        memory = self.memory
        memory.set_held(connection, held)
        if not memory.may_read(connection):
            if connection not in self._held_back:
                self.held_back += 1
                self._held_back.add(connection)
            connection.hold_back()
        if memory.is_over:
            for closing in memory.select_closing():
                self.count_closing("memory")
                closing.drop()

    def refuse(self, connection: CallerConnection, call: IncomingCall) -> Reply | None:
        """Return the reply to a request if it is refused for lack of memory."""
        if self._refuse is None or self.memory.may_start(connection):
            return None
        reply = self._refuse(call)
        self.refused += reply is not None
        return reply

    def _check(self) -> None:
        """Close connections whose caller has gone or does not read its replies.

        While reading is paused, the event loop does not notice the end of a
        connection.
        """
        loop = asyncio.get_running_loop()
        self._checker = loop.call_later(CHECK_INTERVAL_S, self._check)
        now = monotonic()
        poll, paused = select.poll(), {}
        for connection in list(self.connections):
            if connection.is_idle and not self.memory.get_held(connection):
                continue
            if not connection.check_progress(now):
                self.count_closing("unread")
                connection.drop()
            elif connection.is_reading_paused:
                fd = connection.fileno()
                if fd >= 0:
                    paused[fd] = connection
                    poll.register(fd, select.POLLRDHUP)
        for fd, _ in poll.poll(0):
            paused[fd].drop()
        for connection in list(self._held_back):
            if self.memory.may_read(connection):
                self._held_back.discard(connection)
                connection.release_reading()

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
        self._checker.cancel()
        ends, self._ends = self._ends, None
        if ends is not None:
            asyncio.get_running_loop().remove_reader(ends.fileno())
            ends.close()
        for connection in list(self.connections):
            connection.close_if_idle()
        deadline = monotonic() + timeout
        while self.connections and monotonic() < deadline:
            await asyncio.sleep(0.005)
        for connection in list(self.connections):
            connection.abort()
