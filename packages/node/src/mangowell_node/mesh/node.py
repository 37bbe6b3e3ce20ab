"""Start, run and stop the parts of a node on the platform."""

import asyncio
import inspect
import random
from collections.abc import Callable
from http import HTTPStatus
from time import monotonic

import msgspec

from mangowell_core.events import Event, EventCode
from mangowell_core.mesh import CrashCounter, Directory, MeshSettings, StopSchedule
from mangowell_core.mesh.caller_memory import compute_max_connections
from mangowell_core.mesh.revisions import get_number
from mangowell_core.mesh.worker_states import WorkerStates
from mangowell_node.ingress import CallerReport, IncomingCall, IngressServer, Reply
from mangowell_node.link import LinkPool, LinkServer, Traffic, derive_link_key
from mangowell_node.mesh.body_budget import BodyBudget, make_caller_memory
from mangowell_node.mesh.call_group import CallGroup
from mangowell_node.mesh.explanation import EXPLAIN_PATH, RouteExplainer
from mangowell_node.mesh.feed import StateFeed
from mangowell_node.mesh.free_memory import FreeMemory
from mangowell_node.mesh.gateway import Gateway
from mangowell_node.mesh.gossip import Gossip
from mangowell_node.mesh.runner import WorkerRunner
from mangowell_node.mesh.tasks import TaskSupervisor, describe_fault
from mangowell_node.platform import (
    READY_PATH,
    StoreClient,
    read_caller_fields,
    write_refusal_fields,
)
from mangowell_node.reach import AddressFilter
from mangowell_node.telemetry import Telemetry

# The platform provides no secret. The handshake only distinguishes this protocol
# from others; docs/decisions/0008 describes the remaining risk.
LINK_SECRET = ""
METRICS_PATH = "/metrics"
EXPIRY_TASK = "expiry"
EXPIRE_INTERVAL_S = 0.25
# Retry-After value for a connection for which the node holds too much, in seconds.
MEMORY_RETRY_AFTER_S = 1.0
LINGER_POLL_S = 0.02
# Tasks and steps without which this node serves callers worse than others do. The
# reader of the store is not among them: other nodes of the domain read for this one.
NECESSARY_TASKS = frozenset(
    {
        "gossip-status",
        "announce",
        "gossip-links",
        "keep-links",
        "expiry",
        "runner-sync",
        "gateway-sync",
    }
)
# Time that a part has to close, and that a part with a deadline has after it, in
# seconds. Both are below the margin that `StopSchedule` leaves for closing.
CLOSE_TIMEOUT_S = 0.15
DEADLINE_SLACK_S = 0.05


class MeshNode:
    """Process-wide object that owns the parts of a node that serves the platform.

    Parameters
    ----------
    settings : MeshSettings
        Settings of the node.
    telemetry : Telemetry
        Receives events and metrics.
    rng : random.Random
        Source of random numbers.

    Attributes
    ----------
    supervisor : TaskSupervisor
        Runs all tasks that live as long as the node.
    """

    # Tests replace it to let tasks fail.
    supervisor_type = TaskSupervisor

    def __init__(self, settings: MeshSettings, telemetry: Telemetry, rng):
        self._settings = settings
        self._telemetry = telemetry
        emit = telemetry.emit
        self.supervisor = self.supervisor_type(emit, rng)
        self.caller_memory = make_caller_memory(settings.memory_mb)
        self.directory = directory = Directory(settings.heartbeat_s)
        self._store = StoreClient(settings.store)
        self._feed = StateFeed(
            self._store,
            directory,
            emit,
            self._on_directory_change,
            rng,
            reads_evacuations=settings.evacuate_s > 0,
        )
        crash_counter = CrashCounter()
        worker_states = WorkerStates()
        self.runner = WorkerRunner(
            settings, directory, crash_counter, worker_states, emit
        )
        key = derive_link_key(LINK_SECRET)
        self._traffic = Traffic()
        self._links = LinkPool(
            settings.instance,
            key,
            AddressFilter(),
            emit,
            settings.link.host,
            self._traffic,
        )
        self._link_server = LinkServer(
            key, self.runner.run_remote, lambda: -1.0, emit, self._traffic
        )
        self.runner.count_incoming_bytes = self._link_server.count_incoming_bytes
        self.runner.body_budget = BodyBudget(self.caller_memory)
        self._link_server.on_buffered = self.runner.body_budget.add_peer_bytes
        self.gateway = Gateway(
            settings,
            directory,
            self.runner,
            self._links,
            crash_counter,
            worker_states,
            emit,
            self._observe,
            rng,
            self.caller_memory,
        )
        self._explainer = RouteExplainer(
            settings,
            directory,
            self.gateway,
            worker_states,
            lambda: self._unready_reasons,
        )
        self._gossip = Gossip(
            settings,
            directory,
            self.runner,
            self.gateway.attempts.placement,
            self.gateway.attempts.prober,
            self.gateway.attempts.budget,
            self._links,
            self._link_server,
            self._feed,
            crash_counter,
            worker_states,
            emit,
            self._on_directory_change,
        )
        # The failure of one must neither keep a change from the others nor end the
        # task that has read it.
        self._consumers = CallGroup(
            emit,
            {
                "runner-sync": self.runner.sync,
                "gateway-sync": self.gateway.sync,
                "keep-links": self._gossip.keep_links,
                "publish": self._gossip.publish,
                "ingress-sync": self._sync_ingress,
            },
        )
        self._gossip.is_failing = lambda: not NECESSARY_TASKS.isdisjoint(self.failing)
        self._ingress = IngressServer(
            self.gateway.serve,
            self._refuse_for_memory,
            self.caller_memory,
            compute_max_connections(settings.max_fds),
            self.gateway.expects_stream,
        )
        self._free_memory = FreeMemory()
        self._caller_report = CallerReport(self._ingress, emit)
        self._ready_server = IngressServer(self._handle_ready)
        self._metrics_server = IngressServer(self._handle_metrics)
        self._draining = False

    @classmethod
    def from_settings(cls, settings: MeshSettings, telemetry: Telemetry) -> "MeshNode":
        """Build a node that is not started yet; needs a running loop."""
        return cls(settings, telemetry, random.Random())

    async def start(self) -> None:
        """Open the sockets and start reading the store.

        If it fails or is cancelled, all that is open is closed.
        """
        self._telemetry.emit(Event(EventCode.JOIN_STARTED, {"peers": 0}))
        try:
            await self._start_parts()
        except BaseException:
            await self.abort()
            raise

    async def _start_parts(self) -> None:
        settings = self._settings
        await self._store.start()
        await self._ready_server.start(settings.ready.host, settings.ready.port)
        await self._metrics_server.start(settings.ready.host, settings.metrics_port)
        await self._link_server.start(settings.link.host, settings.link.port)
        await self._ingress.start(settings.callers.host, settings.callers.port)
        self._feed.start(self.supervisor)
        self._gossip.start(self.supervisor)
        self.supervisor.start(EXPIRY_TASK, self._run_expiry)

    def reload(self, settings: MeshSettings) -> None:
        """Apply changed settings; addresses change only at the next start."""
        previous, self._settings = self._settings, settings
        changed = [
            field
            for field in settings.__struct_fields__
            if getattr(settings, field) != getattr(previous, field)
        ]
        self.gateway.reload(settings)
        fields = {"changed": ",".join(changed)}
        self._telemetry.emit(Event(EventCode.SETTINGS_RELOADED, fields))

    async def stop(self) -> None:
        """Stop gracefully: finish accepted requests and report not ready.

        A part that fails is logged and keeps no other from stopping.
        """
        started = monotonic()
        schedule = StopSchedule.from_grace(self._settings.grace_s, started)
        deadline = schedule.deadline
        self._draining = True
        self._telemetry.emit(Event(EventCode.STOP_STARTED, {"reason": "SIGTERM"}))
        self._ingress.draining = True
        caller_deadline = schedule.caller_deadline
        await self._try("gateway", self.gateway.limit_deadlines, caller_deadline)
        await self._try("runner", self.runner.limit_deadlines, deadline)
        await self._try("gossip", self._gossip.announce_stop, deadline)
        while monotonic() < schedule.linger_deadline:
            await asyncio.sleep(LINGER_POLL_S)
        await self._try("link server", self._link_server.refuse_new_streams)
        await self._try("gateway", self.gateway.refuse_callers)
        # Calls of running requests arrive like requests of callers, so the listener for
        # both stays open until no request is left that runs or may still start here.
        while self.runner.pending or self.gateway.in_flight:
            if monotonic() >= deadline:
                break
            await asyncio.sleep(LINGER_POLL_S)
        remaining_s = max(0.0, deadline - monotonic())
        limit_s = remaining_s + DEADLINE_SLACK_S
        await self._try("ingress", self._ingress.stop, remaining_s, limit_s=limit_s)
        limit_s = max(0.0, deadline - monotonic()) + DEADLINE_SLACK_S
        await self._try(
            "link server", self._link_server.stop, deadline, limit_s=limit_s
        )
        in_flight = self.gateway.in_flight + self.runner.pending
        fields = {
            "in_flight": in_flight,
            "duration_ms": round((monotonic() - started) * 1000),
        }
        self._telemetry.emit(Event(EventCode.STOP_COMPLETED, fields))
        await self._close()

    async def abort(self) -> None:
        """Close all connections at once, as a crash does."""
        await self._try("ingress", self._ingress.stop, 0.0)
        await self._try("link server", self._link_server.stop, 0.0)
        await self._close()

    async def _close(self) -> None:
        await self._try("supervisor", self.supervisor.stop)
        await self._try("gossip", self._gossip.stop)
        await self._try("store", self._store.close)
        await self._try("ready", self._ready_server.stop, 0.0)
        await self._try("metrics", self._metrics_server.stop, 0.0)
        await self._try("links", self._links.close)
        await self._try("runner", self.runner.stop)

    async def _try(
        self, part: str, stop: Callable, *args, limit_s: float = CLOSE_TIMEOUT_S
    ) -> None:
        """Call a function that stops a part; log its failure or a late end.

        Parameters
        ----------
        part : str
            Name of the part.
        stop : callable
            Function or coroutine function.
        args
            Arguments of `stop`.
        limit_s : float
            Time that the part may take, in seconds.
        """
        try:
            async with asyncio.timeout(limit_s):
                result = stop(*args)
                if inspect.isawaitable(result):
                    await result
        except Exception as exc:
            fields = {"reason": f"stop of {part} failed", **describe_fault(exc)}
            self._telemetry.emit(Event(EventCode.INTERNAL_FAULT, fields))

    @property
    def is_ready(self) -> bool:
        """Whether callers should send requests to this node."""
        return not self._unready_reasons

    @property
    def failing(self) -> frozenset[str]:
        """Names of the tasks and steps that fail again and again."""
        return (
            self.supervisor.lastingly_failing
            | self._consumers.lastingly_failing
            | self._gossip.lastingly_failing
        )

    @property
    def _unready_reasons(self) -> list[str]:
        """Why callers are served better elsewhere; see docs/decisions/0012.

        An outage of the store is no reason, nor is a failure that other nodes of the
        domain have as well: their callers would find no node at all.
        """
        directory = self.directory
        gossip = self._gossip
        reasons = {
            "stopping": self._draining,
            "no-document": directory.document is None,
            "no-workers": not len(directory),
            "isolated": gossip.is_isolated,
            "task-failing": gossip.is_failing()
            and gossip.has_sound_domain(monotonic()),
        }
        return [name for name, applies in reasons.items() if applies]

    async def _handle_ready(self, call: IncomingCall) -> Reply:
        reasons = self._unready_reasons
        status = HTTPStatus.NOT_FOUND
        if call.target.partition("?")[0] == READY_PATH:
            status = HTTPStatus.SERVICE_UNAVAILABLE if reasons else HTTPStatus.OK
        state = {
            "ready": not reasons,
            "reasons": reasons,
            "failing": sorted(self.failing),
            "reader": self._feed.state,
            "store_answer_age_s": round(self._feed.compute_answer_age(monotonic()), 1),
        }
        body = msgspec.json.encode(state) + b"\n"
        headers = b"Content-Type: application/json\r\n"
        return Reply(status.value, status.phrase, headers, body)

    async def _handle_metrics(self, call: IncomingCall) -> Reply:
        path = call.target.partition("?")[0]
        if path == EXPLAIN_PATH:
            return await self._explainer.serve(call)
        if path != METRICS_PATH:
            return Reply(HTTPStatus.NOT_FOUND.value, HTTPStatus.NOT_FOUND.phrase, b"")
        self._set_gauges()
        body = self._telemetry.render()
        headers = b"Content-Type: text/plain; version=0.0.4\r\n"
        return Reply(HTTPStatus.OK.value, HTTPStatus.OK.phrase, headers, body)

    def _set_gauges(self) -> None:
        directory = self.directory
        document = directory.document
        gauges = {
            "ready": self.is_ready,
            "document_version": document.version if document else 0,
            "state_revision": get_number(directory.revision),
            "state_digest": directory.compute_digest(),
            "state_differences": self._gossip.differences,
            "store_away": directory.is_store_away,
            "store_calls": self._store.calls,
            "reads_store": self._feed.is_up,
            "reader_elected": self._feed.is_elected,
            "reader_running": self._feed.is_running,
            "tasks_running": self.supervisor.count_running(),
            "failing_lastingly": len(self.failing),
            "tasks_failing": len(self.supervisor.failing),
            "store_answer_age_s": self._feed.compute_answer_age(monotonic()),
            "store_era": self._store.era,
            "endpoints": len(directory),
            "evacuated_domains": len(directory.evacuated),
            "requests_in_flight": self.gateway.in_flight,
            "requests_refused_at_once": self.gateway.attempts.room.refused_at_once,
            "classes_full": self.gateway.attempts.room.count_full(monotonic()),
            "worker_running": self.runner.admission.running,
            "worker_waiting": self.runner.admission.waiting,
            "bodies_refused": self.runner.bodies_refused,
            "worker_late_waiting": self.runner.admission.waiting_late,
            "worker_cold": self.runner.is_cold,
            "worker_cold_rate": self.runner.cold_rate,
            "worker_requests_per_s": self.runner.arrivals.compute_rate(monotonic()),
            "worker_rate_limit": self.runner.rate_limit,
            "caller_held_bytes": self.caller_memory.total,
            "peer_held_bytes": self.caller_memory.peer_bytes,
            "caller_connections": len(self._ingress.connections),
            "callers_refused_for_memory": self._ingress.refused,
            "worker_connections": len(self.runner.pool.open_connections),
            "worker_connections_opened": self.runner.pool.opened,
        }
        sent = self._traffic.sum_by_kind(self._gossip.is_in_other_domain)
        gauges |= {f"cross_domain_bytes_{kind}": sent[kind] for kind in sent}
        for reason, count in self._ingress.closed.items():
            gauges[f"connections_closed_{reason.replace('-', '_')}"] = count
        for name, value in gauges.items():
            self._telemetry.set_gauge(name, float(value))

    async def _run_expiry(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            self._consumers.repeat_failed()
            self._caller_report.emit_changes(monotonic())
            if self._settings.memory_mb:
                self._free_memory.update(self._ingress.limited, monotonic())
            epoch = self.directory.epoch
            self.directory.expire(monotonic())
            if self.directory.epoch != epoch:
                self._on_directory_change()

    def _on_directory_change(self) -> None:
        self._consumers.run_all()

    def _sync_ingress(self) -> None:
        document = self.directory.document
        if document is not None:
            limits = document.limits
            self._ingress.idle_timeout_s = limits.idle_timeout_s
            self._ingress.unread_timeout_s = limits.idle_timeout_s
            self._ingress.header_timeout_s = limits.header_timeout_s
            self._ingress.max_header_bytes = limits.max_header_bytes

    def _refuse_for_memory(self, call: IncomingCall) -> Reply | None:
        """Return the reply to a request that was passed on to no worker.

        Calls of requests that the local worker runs are served all the same: their
        number is bounded by its slots, and the work of those requests would be lost.
        """
        request = read_caller_fields(call.headers).request
        if self.gateway.is_call(request):
            return None
        status = HTTPStatus.SERVICE_UNAVAILABLE
        return Reply(
            status.value,
            status.phrase,
            write_refusal_fields(request, MEMORY_RETRY_AFTER_S),
            b"node holds too much for this connection\n",
        )

    def _observe(self, route: str, service: str, outcome: str, seconds: float) -> None:
        self._telemetry.record_call("", service, route, outcome, seconds)
