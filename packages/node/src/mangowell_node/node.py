"""One node: creates, connects, starts and stops the core and its adapters."""

import asyncio
import random
import time

from mangowell_core.distribution import DistributionCore
from mangowell_core.distribution.io import Peer, PeerMessage, Stopping
from mangowell_core.events import Event, EventCode
from mangowell_core.invariants import InvariantViolation
from mangowell_core.messages import (
    CrashReport,
    FenceQuery,
    FenceReply,
    Leaving,
    Message,
)
from mangowell_core.model import Instance, Snapshot
from mangowell_core.policy import RequestPolicy
from mangowell_core.settings import NodeSettings
from mangowell_node.admin import AdminServer
from mangowell_node.calls import CallPath
from mangowell_node.control import ControlSocket
from mangowell_node.driver import DistributionDriver
from mangowell_node.reach import AddressFilter
from mangowell_node.source import SourceClient
from mangowell_node.telemetry import Telemetry

# Control messages for the call path; all others go to the distribution core.
CALL_PATH_MESSAGES = (CrashReport, FenceQuery, FenceReply, Leaving)


class Node:
    """Owns the core and every adapter of one node.

    Several nodes may run in one process, because they share no state.

    Parameters
    ----------
    settings : NodeSettings
    reach : AddressFilter
        Addresses that the node may contact.
    rng : random.Random
        Source of all random choices of the node.
    """

    __slots__ = (
        "_admin",
        "_calls",
        "_control",
        "_core",
        "_draining",
        "_driver",
        "_policy",
        "_ready",
        "_settings",
        "_source",
        "_telemetry",
    )

    def __init__(
        self, settings: NodeSettings, reach: AddressFilter, rng: random.Random
    ):
        incarnation = time.time_ns() // 1_000_000
        self._settings = settings
        self._ready = False
        self._draining = False
        self._telemetry = telemetry = Telemetry.from_settings(settings)
        self._core = DistributionCore.from_settings(settings, rng, incarnation)
        self._policy = RequestPolicy.from_settings(settings, rng, incarnation)
        self._control = ControlSocket(
            settings, telemetry, reach, self._handle_control_message
        )
        self._source = SourceClient(
            settings, telemetry, reach, self._handle_source_event
        )
        self._driver = DistributionDriver(
            self._core,
            self._control,
            self._source,
            telemetry,
            on_snapshot=self._apply_snapshot,
            on_serving_changed=self._set_ready,
        )
        self._calls = CallPath.from_settings(
            settings, self._policy, telemetry, reach, self._send_control
        )
        self._calls.set_pause_reporter(self._driver.report_pause)
        self._admin = AdminServer(
            settings.host, settings.admin_port, telemetry, self.status
        )

    @classmethod
    def from_settings(
        cls,
        settings: NodeSettings,
        reach: AddressFilter | None = None,
        rng: random.Random | None = None,
    ) -> "Node":
        """Create a node without starting it.

        Parameters
        ----------
        settings : NodeSettings
        reach : AddressFilter, optional
            Addresses that the node may contact; all by default.
        rng : random.Random, optional
            Source of all random choices; seeded in runs that must be repeatable.
        """
        return cls(settings, reach or AddressFilter(), rng or random.Random())

    async def start(self) -> None:
        """Open the sockets and join; calls are accepted once the join completes."""
        await self._control.start()
        await self._source.start()
        await self._admin.start()
        self._calls.pause_calls("joining")
        await self._calls.start()
        self._driver.start()

    async def stop(self, grace_s: float) -> None:
        """Stop gracefully.

        Parameters
        ----------
        grace_s : float
            Longest time in seconds for which calls in flight may still run.

        Raises
        ------
        InvariantViolation
            If a call in flight was interrupted before `grace_s` had passed (I8).
        """
        loop = asyncio.get_running_loop()
        # After a pause of the process, calls stay refused during the stop too.
        self._driver.report_pause()
        self._draining = True
        self._driver.handle_event(Stopping())
        deadline = loop.time() + grace_s
        await self._calls.stop(deadline)
        in_flight = self._policy.in_flight()
        self._telemetry.emit(Event(EventCode.STOP_COMPLETED, {"in_flight": in_flight}))
        await self._close()
        checks_enabled = self._settings.invariants != "off"
        if checks_enabled and in_flight and loop.time() < deadline:
            raise InvariantViolation(f"I8: {in_flight} calls cut by a planned stop")

    async def abort(self) -> None:
        """Stop at once, as in a crash; calls in flight are interrupted."""
        await self._calls.stop(asyncio.get_running_loop().time())
        await self._close()

    def status(self) -> dict:
        """Return the answer of ``/status``: what the node runs and since when."""
        now = asyncio.get_running_loop().time()
        settings = self._settings
        return {
            "instance": settings.instance,
            "failure_domain": settings.failure_domain,
            "environment": settings.environment,
            "ready": self._ready,
            **self._core.status(now),
            "control_bytes": self._telemetry.control_bytes,
            "source_reads": self._telemetry.source_reads,
            "in_flight": self._policy.in_flight(),
            "draining": self._draining,
        }

    @property
    def telemetry(self) -> Telemetry:
        """Metrics and events of the node."""
        return self._telemetry

    async def _close(self) -> None:
        self._driver.stop()
        await self._source.close()
        self._control.close()
        await self._admin.stop()

    def _handle_source_event(self, event) -> None:
        self._driver.handle_event(event)

    def _handle_control_message(self, sender: Peer, message: Message) -> None:
        if isinstance(message, CALL_PATH_MESSAGES):
            self._calls.handle_control_message(sender, message)
        else:
            self._driver.handle_event(PeerMessage(sender, message))

    def _send_control(self, instance: Instance, message: Message) -> bool:
        peer = Peer(instance.name, instance.host, instance.control_port)
        return self._control.send(peer, message)

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        self._calls.apply_snapshot(snapshot)
        self._telemetry.set_gauge("document_version", snapshot.document.version)

    def _set_ready(self, serving: bool) -> None:
        self._ready = serving
        self._telemetry.set_gauge("ready", float(serving))
        if serving:
            self._calls.resume_calls()
        elif not self._draining:
            # During a stop, the call path itself decides what it still accepts.
            self._calls.pause_calls("configuration not confirmed")
