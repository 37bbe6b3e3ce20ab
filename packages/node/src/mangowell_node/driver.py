"""Runs the distribution core: passes events to it and executes its effects."""

import asyncio
from collections.abc import Callable

from mangowell_core.distribution import io
from mangowell_core.model import Snapshot
from mangowell_node.control import ControlSocket
from mangowell_node.source import SourceClient
from mangowell_node.telemetry import Telemetry

# After a pause of this length the node's state may be outdated: another node may
# have become the reader, or a newer version may have been distributed.
PAUSE_THRESHOLD_S = 2.0
PAUSE_CHECK_INTERVAL_S = 0.25
MIN_TICK_DELAY_S = 0.005


class DistributionDriver:
    """Connects `DistributionCore` to its sockets.

    Parameters
    ----------
    core : DistributionCore
        Started by `start`.
    control : ControlSocket
        Sends messages to peers.
    source : SourceClient
        Reads keys of the configuration service.
    telemetry : Telemetry
        Records the events that the core emits.
    on_snapshot : callable
        Called with each `Snapshot` that the node is to run.
    on_serving_changed : callable
        Called with True when the node may start to accept calls, and with False
        when it must stop.
    """

    __slots__ = (
        "_control",
        "_core",
        "_is_serving",
        "_last_check_at",
        "_loop",
        "_on_serving_changed",
        "_on_snapshot",
        "_pause_check_timer",
        "_source",
        "_telemetry",
        "_tick_timer",
    )

    def __init__(
        self,
        core,
        control: ControlSocket,
        source: SourceClient,
        telemetry: Telemetry,
        on_snapshot: Callable[[Snapshot], None],
        on_serving_changed: Callable[[bool], None],
    ):
        self._core = core
        self._control = control
        self._source = source
        self._telemetry = telemetry
        self._on_snapshot = on_snapshot
        self._on_serving_changed = on_serving_changed
        self._is_serving = False
        self._tick_timer: asyncio.TimerHandle | None = None
        self._pause_check_timer: asyncio.TimerHandle | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._last_check_at = 0.0

    def start(self) -> None:
        """Start the core and the checks for pauses."""
        self._loop = asyncio.get_running_loop()
        self._last_check_at = self._loop.time()
        self._run_pause_checks()
        self.handle_event(io.Started())

    def handle_event(self, event: io.InputEvent) -> None:
        """Pass an event to the core and execute the resulting effects."""
        if self._loop is None:
            return
        self.report_pause()
        self._process_event(event)

    def report_pause(self) -> None:
        """Report a pause of the process to the core.

        Called before any use of the core's state, because after a pause the
        event loop may run other callbacks before the timer of this check.
        """
        if self._loop is None:
            return
        now = self._loop.time()
        paused_s = now - self._last_check_at
        self._last_check_at = now
        if paused_s > PAUSE_THRESHOLD_S:
            self._process_event(io.Resumed(paused_s))

    def stop(self) -> None:
        """Cancel all timers and ignore later events."""
        for timer in (self._tick_timer, self._pause_check_timer):
            if timer is not None:
                timer.cancel()
        self._loop = None

    def _run_pause_checks(self) -> None:
        self.report_pause()
        self._pause_check_timer = self._loop.call_later(
            PAUSE_CHECK_INTERVAL_S, self._run_pause_checks
        )

    def _process_event(self, event: io.InputEvent) -> None:
        for effect in self._core.handle(event, self._loop.time()):
            self._execute_effect(effect)
        serving = self._core.serving()
        if serving != self._is_serving:
            self._is_serving = serving
            self._on_serving_changed(serving)
        self._schedule_tick()

    def _execute_effect(self, effect: io.Effect) -> None:
        match effect:
            case io.SendPeer(peer, message):
                if not self._control.send(peer, message):
                    self._loop.call_soon(self.handle_event, io.PeerUnreachable(peer))
            case io.ReadSource():
                self._source.read(effect)
            case io.CancelRead(key):
                self._source.cancel(key)
            case io.SnapshotReady(snapshot):
                self._on_snapshot(snapshot)
            case io.Emit(event):
                self._telemetry.emit(event)

    def _schedule_tick(self) -> None:
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        earliest = self._loop.time() + MIN_TICK_DELAY_S
        deadline = max(self._core.next_deadline(), earliest)
        self._tick_timer = self._loop.call_at(deadline, self.handle_event, io.Tick())
