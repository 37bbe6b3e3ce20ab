"""Runs the distribution core: feeds events and carries out effects."""

import asyncio
from collections.abc import Callable

from mangowell_core.distribution import io
from mangowell_core.model import Snapshot
from mangowell_node.control import ControlSocket
from mangowell_node.source import SourceClient
from mangowell_node.telemetry import Telemetry

# A process that did not run for this long may hold beliefs that are no longer
# true, such as being a reader or running the latest version.
PAUSE_S = 2.0
BEAT_INTERVAL_S = 0.25
MIN_TIMER_S = 0.005


class DistributionDriver:
    """Connects `DistributionCore` to its sockets.

    Parameters
    ----------
    core : DistributionCore
    control : ControlSocket
    source : SourceClient
    telemetry : Telemetry
    on_snapshot : callable
        Called with each `Snapshot` to run.
    on_serving : callable
        Called with True when the node may take calls and False when not.
    """

    __slots__ = (
        "_beat_at",
        "_beat_timer",
        "_control",
        "_core",
        "_loop",
        "_on_serving",
        "_on_snapshot",
        "_serving",
        "_source",
        "_telemetry",
        "_timer",
    )

    def __init__(
        self,
        core,
        control: ControlSocket,
        source: SourceClient,
        telemetry: Telemetry,
        on_snapshot: Callable[[Snapshot], None],
        on_serving: Callable[[bool], None],
    ):
        self._core = core
        self._control = control
        self._source = source
        self._telemetry = telemetry
        self._on_snapshot = on_snapshot
        self._on_serving = on_serving
        self._serving = False
        self._timer: asyncio.TimerHandle | None = None
        self._beat_timer: asyncio.TimerHandle | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._beat_at = 0.0

    def start(self) -> None:
        """Start the core."""
        self._loop = asyncio.get_running_loop()
        self._beat_at = self._loop.time()
        self._beat()
        self.feed(io.Started())

    def feed(self, event: io.InputEvent) -> None:
        """Give an event to the core and carry out what follows."""
        if self._loop is None:
            return
        self.check_pause()
        self._handle(event)

    def check_pause(self) -> None:
        """Tell the core if the process has not run for a while.

        Called before anything that relies on current beliefs, because after
        a pause the event loop may run other callbacks before the timer.
        """
        if self._loop is None:
            return
        now = self._loop.time()
        paused_s = now - self._beat_at
        self._beat_at = now
        if paused_s > PAUSE_S:
            self._handle(io.Resumed(paused_s))

    def stop(self) -> None:
        """Stop timers; later events are ignored."""
        for timer in (self._timer, self._beat_timer):
            if timer is not None:
                timer.cancel()
        self._loop = None

    def _beat(self) -> None:
        self.check_pause()
        self._beat_timer = self._loop.call_later(BEAT_INTERVAL_S, self._beat)

    def _handle(self, event: io.InputEvent) -> None:
        for effect in self._core.handle(event, self._loop.time()):
            self._carry_out(effect)
        serving = self._core.serving()
        if serving != self._serving:
            self._serving = serving
            self._on_serving(serving)
        self._set_timer()

    def _carry_out(self, effect: io.Effect) -> None:
        match effect:
            case io.SendPeer(peer, message):
                if not self._control.send(peer, message):
                    self._loop.call_soon(self.feed, io.PeerUnreachable(peer))
            case io.ReadSource():
                self._source.read(effect)
            case io.CancelRead(key):
                self._source.cancel(key)
            case io.SnapshotReady(snapshot):
                self._on_snapshot(snapshot)
            case io.Emit(event):
                self._telemetry.emit(event)

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        earliest = self._loop.time() + MIN_TIMER_S
        deadline = max(self._core.next_deadline(), earliest)
        self._timer = self._loop.call_at(deadline, self.feed, io.Tick())
