"""Fleet of nodes on loopback addresses, in this process or in one process each."""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path

import aiohttp

from mangowell_core.events import EventCode
from mangowell_core.model import Instance, InstanceState
from mangowell_core.settings import (
    DistributionSettings,
    LogSettings,
    NodeSettings,
    SecuritySettings,
    SourceSettings,
)
from mangowell_node.node import Node
from mangowell_standins.backend_server import BackendServer, BackendSettings
from mangowell_standins.config_service import ConfigService
from mangowell_standins.documents import ENVIRONMENT, SERVICES
from mangowell_standins.instance_list import InstanceListPublisher
from mangowell_standins.link_relay import LinkRelay
from mangowell_standins.reach import PLATFORM_DOMAIN, DomainReach, Partition, address_of

STATUS_TIMEOUT_S = 2.0
STOP_TIMEOUT_S = 15.0
# An exchange that starts up to this long after a crash may fail because of it.
CRASH_WINDOW_S = 5.0
MAX_RECORDED_VIOLATIONS = 50
LOG_TAIL_CHARS = 2000

NODE_SETTING_KEYS = (
    "instance",
    "service",
    "failure_domain",
    "region",
    "environment",
    "host",
    "control_port",
    "link_port",
    "call_port",
    "admin_port",
    "backend_host",
    "backend_port",
    "invariants",
)


class FleetError(Exception):
    """The fleet could not be set up or did not reach a state in time."""


MIN_PORT = 12_000
END_PORT = 30_000
MAX_PORT_ATTEMPTS = 2_000
# Processes that start fleets at the same time search from different ports.
_first_candidate = MIN_PORT + os.getpid() % 1000 * 17
_port_candidates = itertools.cycle(
    (*range(_first_candidate, END_PORT), *range(MIN_PORT, _first_candidate))
)


@dataclass(slots=True, frozen=True)
class FleetConfig:
    """Size and settings of a fleet.

    Parameters
    ----------
    domains : int
        Number of failure domains.
    nodes_per_domain : int
        Nodes in each failure domain; services are assigned to them in turn.
    processes : bool
        Whether each node runs in its own process instead of this one.
    backends : bool
        Whether backend servers are started.
    environment : str
        Environment of the document that the nodes read.
    services : tuple of str
        Services to assign to the nodes.
    relays : bool
        Whether request links between nodes pass through a `LinkRelay`, which
        can make them go silent.
    list_lag_s : float
        Time from a change until the instance list shows it, in seconds.
    reads_per_second : int
        Load limit of the configuration service.
    expected_nodes : int
        Number of nodes that each node expects; 0 takes the size of the fleet.
    invariants : str
        Level of the run-time invariant checks.
    command : tuple of str
        Module and arguments that a node process runs; the path of the settings
        file follows them.
    first_domain : int
        Number of the first failure domain. Fleets that run at the same time take
        different numbers, because the numbers determine the addresses.
    distribution : DistributionSettings
        Distribution settings of every node.
    security : SecuritySettings
        Security settings of every node.
    log_level : str
        Log level of every node.
    backend : BackendSettings
        Settings of every backend server.
    seed : int
        Seed of the random numbers of the stand-ins.
    """

    domains: int = 3
    nodes_per_domain: int = 4
    processes: bool = False
    backends: bool = True
    environment: str = ENVIRONMENT
    services: tuple[str, ...] = SERVICES
    relays: bool = False
    list_lag_s: float = 1.0
    reads_per_second: int = 2000
    expected_nodes: int = 0
    invariants: str = "full"
    command: tuple[str, ...] = ("mangowell_node",)
    first_domain: int = 1
    distribution: DistributionSettings = field(default_factory=DistributionSettings)
    security: SecuritySettings = field(default_factory=SecuritySettings)
    log_level: str = "warning"
    backend: BackendSettings = field(default_factory=BackendSettings)
    seed: int = 0

    @property
    def size(self) -> int:
        """Number of nodes in the whole fleet."""
        return self.domains * self.nodes_per_domain


def find_free_ports(host: str, count: int) -> list[int]:
    """Return TCP ports that are currently free at an address.

    The ports lie below the range from which the system takes the local ports of
    outgoing connections. Otherwise an outgoing connection could take a port
    before its node binds it.

    Raises
    ------
    FleetError
        If fewer than `count` free ports are found.
    """
    free_ports: list[int] = []
    for port in itertools.islice(_port_candidates, MAX_PORT_ATTEMPTS):
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((host, port))
            free_ports.append(port)
        if len(free_ports) == count:
            return free_ports
    raise FleetError(f"found {len(free_ports)} of {count} free ports at {host}")


def render_settings(settings: NodeSettings) -> str:
    """Return the INI text of a node's settings."""
    lines = ["[node]"]
    for key in NODE_SETTING_KEYS:
        value = getattr(settings, key)
        if value != "":
            lines.append(f"{key} = {value}")
    if settings.seeds:
        lines.append(f"seeds = {', '.join(settings.seeds)}")
    for section in ("source", "distribution", "security", "log"):
        section_settings = getattr(settings, section)
        lines.append(f"[{section}]")
        for key in section_settings.__slots__:
            value = getattr(section_settings, key)
            if value != "":
                lines.append(f"{key} = {value}")
    return "\n".join(lines) + "\n"


class Member:
    """Node of a fleet with its settings, backend server and link relay.

    Parameters
    ----------
    domain : int
        Number of the failure domain.
    instance : Instance
        Entry of the node in the instance list.
    settings : NodeSettings
        Settings with which the node is started.

    Attributes
    ----------
    node : Node or None
        Running node of this process.
    process : subprocess.Popen or None
        Running node process, if each node has its own process.
    crashed_at, stopped_at : float
        Monotonic time of the last crash and of the last planned stop.
    is_leaving : bool
        Whether a planned stop has begun, so that callers avoid the node.
    highest_version : int
        Highest document version that a `VersionMonitor` has recorded.
    """

    def __init__(self, domain: int, instance: Instance, settings: NodeSettings):
        self.domain = domain
        self.instance = instance
        self.settings = settings
        self.backend: BackendServer | None = None
        self.relay: LinkRelay | None = None
        self.node: Node | None = None
        self.process: subprocess.Popen | None = None
        self.crashed_at = float("-inf")
        self.stopped_at = float("-inf")
        self.is_leaving = False
        self.highest_version = 0

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.instance.name

    @property
    def running(self) -> bool:
        """Whether the node has been started and has neither crashed nor stopped."""
        return self.node is not None or self.process is not None

    @property
    def call_address(self) -> str:
        """``host:port`` to which callers send calls."""
        return f"{self.instance.host}:{self.instance.call_port}"


class Fleet:
    """Runs a configuration service, an instance list, nodes and backend servers.

    Parameters
    ----------
    config : FleetConfig or None
        None takes the defaults.

    Attributes
    ----------
    members : dict of str to Member
        Members by instance name.
    violations : list of str
        Unhandled exceptions, and nodes that did not stop in time.
    """

    def __init__(self, config: FleetConfig | None = None):
        self.config = config or FleetConfig()
        self.rng = random.Random(self.config.seed)
        self.partition = Partition()
        self.source = ConfigService(self.config.reads_per_second, self.rng)
        self.instances = InstanceListPublisher(self.source, self.config.list_lag_s)
        self.members: dict[str, Member] = {}
        self.violations: list[str] = []
        self._settings_directory: tempfile.TemporaryDirectory | None = None
        self._session: aiohttp.ClientSession | None = None

    @property
    def domains(self) -> range:
        """Numbers of the failure domains."""
        first = self.config.first_domain
        return range(first, first + self.config.domains)

    @property
    def documents_key(self) -> str:
        """Key of the document at the configuration service."""
        return f"documents/{self.config.environment}"

    def publish(self, text: str) -> float:
        """Publish a document and return the Unix time of publication."""
        self.source.publish(self.documents_key, text)
        return time.time()

    async def start(self, document: str, ready_timeout_s: float = 30.0) -> None:
        """Start all services and nodes, and wait until all nodes are ready."""
        await self.prepare(document)
        await asyncio.gather(*(self.start_node(m) for m in self.members.values()))
        await self.wait_ready(ready_timeout_s)

    async def prepare(self, document: str) -> None:
        """Start the stand-ins of the platform and the backend servers, but no nodes."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._record_exception)
        self._settings_directory = tempfile.TemporaryDirectory(
            prefix="mangowell-fleet-"
        )
        timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=64)
        self._session = aiohttp.ClientSession(timeout=timeout, connector=connector)
        urls = {}
        for domain in self.domains:
            host = address_of(PLATFORM_DOMAIN, domain)
            urls[domain] = await self.source.listen(f"domain-{domain}", host)
        for domain, url in urls.items():
            for index in range(1, self.config.nodes_per_domain + 1):
                self._add_member(domain, index, url)
        self._assign_seeds()
        for member in self.members.values():
            if self.config.backends:
                await self._start_backend(member)
            if member.relay is not None:
                await member.relay.start()
        for member in self.members.values():
            self.instances.instances[member.name] = member.instance
        self.instances.publish_now()
        self.publish(document)

    def _record_exception(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        """Record an unhandled exception, such as an `InvariantViolation` of a node."""
        exc = context.get("exception")
        stack = "".join(traceback.format_exception(exc)[-3:]) if exc else ""
        task = context.get("task") or context.get("future") or ""
        text = f"{context['message']}: {exc!r} {stack}{task}".strip()
        if len(self.violations) < MAX_RECORDED_VIOLATIONS:
            self.violations.append(text)

    def _add_member(self, domain: int, index: int, url: str) -> None:
        cfg = self.config
        host = address_of(domain, index)
        ports = find_free_ports(host, 6)
        # Successive domains start at successive services, so that several domains
        # cover every service even if each has fewer nodes than services.
        service = cfg.services[(index - 1 + domain - 1) % len(cfg.services)]
        name = f"{service}-{domain}-{index}"
        instance = Instance(name, service, f"domain-{domain}", host, *ports[:5])
        settings = NodeSettings(
            instance=name,
            service=service,
            failure_domain=instance.failure_domain,
            region="region-1",
            environment=cfg.environment,
            host=host,
            control_port=ports[0],
            link_port=ports[1],
            call_port=ports[2],
            admin_port=ports[3],
            backend_host=host,
            backend_port=ports[4],
            invariants=cfg.invariants,
            source=SourceSettings(
                url=url,
                expected_nodes=cfg.expected_nodes or cfg.size,
                reads_per_second=cfg.reads_per_second,
            ),
            distribution=cfg.distribution,
            security=cfg.security,
            log=LogSettings(level=cfg.log_level),
        )
        member = Member(domain, instance, settings)
        if cfg.relays:
            # The list shows the port of the relay, which forwards to the node's own.
            member.relay = LinkRelay(host, ports[5], ports[1])
            member.instance = replace(instance, link_port=ports[5])
        self.members[name] = member

    def _assign_seeds(self) -> None:
        """Set the seeds of each node: two nodes of each of the first three domains.

        A node is not its own seed.
        """
        seeds = []
        for domain in self.domains[:3]:
            domain_members = [m for m in self.members.values() if m.domain == domain]
            seeds += [
                f"{m.instance.host}:{m.instance.control_port}"
                for m in domain_members[:2]
            ]
        for member in self.members.values():
            own_address = f"{member.instance.host}:{member.instance.control_port}"
            others = tuple(seed for seed in seeds if seed != own_address)
            member.settings = replace(member.settings, seeds=others)

    async def _start_backend(self, member: Member) -> None:
        instance = member.instance
        member.backend = BackendServer(
            member.name,
            instance.host,
            instance.backend_port,
            replace(self.config.backend),
            random.Random(self.rng.getrandbits(32)),
        )
        await member.backend.start()

    async def start_node(self, member: Member) -> None:
        """Start a node, or restart it after a crash or stop."""
        member.is_leaving = False
        if self.config.processes:
            path = Path(self._settings_directory.name) / f"{member.name}.ini"
            path.write_text(render_settings(member.settings))
            log_path = path.with_suffix(".log")
            with log_path.open("ab") as log:
                member.process = subprocess.Popen(
                    [sys.executable, "-m", *self.config.command, str(path)],
                    stdout=log,
                    stderr=log,
                )
            return
        reach = DomainReach(self.partition, member.domain)
        node = Node.from_settings(member.settings, reach=reach)
        await node.start()
        member.node = node

    async def crash_node(self, member: Member) -> None:
        """End a node abruptly, without notice to its peers."""
        member.crashed_at = time.monotonic()
        if member.process is not None:
            process, member.process = member.process, None
            process.kill()
            await asyncio.to_thread(process.wait)
        if member.node is not None:
            node, member.node = member.node, None
            await node.abort()
        member.crashed_at = time.monotonic()

    async def stop_node(self, member: Member, grace_s: float = 10.0) -> None:
        """Stop a node gracefully, with `grace_s` seconds for requests in flight."""
        member.is_leaving = True
        if member.process is not None:
            process, member.process = member.process, None
            process.terminate()
            try:
                await asyncio.to_thread(process.wait, grace_s + STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                await asyncio.to_thread(process.wait)
                self.violations.append(f"{member.name} did not stop in time")
        if member.node is not None:
            node, member.node = member.node, None
            await node.stop(grace_s)
        member.stopped_at = time.monotonic()

    async def stop(self) -> None:
        """Stop all nodes and services and remove the settings and log files."""
        self.instances.stop()
        members = self.members.values()
        results = await asyncio.gather(
            *(self.stop_node(m, grace_s=1.0) for m in members if m.running),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, BaseException):
                self.violations.append(f"stop failed: {result!r}")
        for member in members:
            if member.backend is not None:
                await member.backend.stop()
            if member.relay is not None:
                await member.relay.stop()
        await self.source.stop()
        if self._session is not None:
            await self._session.close()
        if self._settings_directory is not None:
            self._settings_directory.cleanup()

    def pause_node(self, member: Member) -> None:
        """Pause a node process; needs a fleet of separate processes."""
        member.process.send_signal(signal.SIGSTOP)

    def resume_node(self, member: Member) -> None:
        """Resume a paused node process."""
        member.process.send_signal(signal.SIGCONT)

    async def cut(self, domain: int) -> None:
        """Cut a failure domain off from the others and the platform."""
        self.partition.cut(domain)
        await self.source.cut(f"domain-{domain}")

    async def join(self, domain: int) -> None:
        """Reconnect a failure domain to the others and the platform."""
        self.partition.join(domain)
        await self.source.join(f"domain-{domain}")

    def set_listed_state(self, member: Member, state: InstanceState) -> None:
        """Set the state in which the instance list shows a member."""
        member.instance = replace(member.instance, state=state)
        self.instances.set_state(member.name, state)

    def targets(self) -> list[str]:
        """Return the call addresses of nodes that take calls."""
        return [
            m.call_address
            for m in self.members.values()
            if m.running and not m.is_leaving
        ]

    def crashed_since(self, address: str, since: float) -> bool:
        """Return whether the node at a call address has crashed since `since`.

        Parameters
        ----------
        address : str
            ``host:port`` for calls.
        since : float
            Monotonic time in seconds; a crash up to `CRASH_WINDOW_S` earlier
            counts as well.
        """
        for member in self.members.values():
            if member.call_address == address:
                return member.crashed_at >= since - CRASH_WINDOW_S
        return False

    async def status(self, member: Member) -> dict | None:
        """Return a node's status, or None if it does not answer."""
        if member.node is not None:
            return member.node.status()
        if member.process is None:
            return None
        instance = member.instance
        url = f"http://{instance.host}:{instance.admin_port}/status"
        try:
            async with self._session.get(url) as response:
                return json.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None

    async def get_statuses(
        self, members: Iterable[Member] | None = None
    ) -> dict[str, dict | None]:
        """Return the status of each running node by instance name."""
        selected = [m for m in members or self.members.values() if m.running]
        results = await asyncio.gather(*(self.status(m) for m in selected))
        return {m.name: s for m, s in zip(selected, results, strict=True)}

    async def get_applied_versions(self, member: Member) -> list[tuple[float, int]]:
        """Return the times at which a node applied document versions.

        Returns
        -------
        list of tuple
            (Unix time, version), oldest first; empty if the node does not answer.
        """
        if member.node is not None:
            events = member.node.telemetry.select_events()
        else:
            instance = member.instance
            url = f"http://{instance.host}:{instance.admin_port}/events"
            try:
                async with self._session.get(url) as response:
                    events = json.loads(await response.read())
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
                return []
        code = int(EventCode.VERSION_APPLIED)
        return [
            (e["time"], e["fields"]["version"]) for e in events if e["code"] == code
        ]

    async def compute_convergence_delays(
        self,
        published: dict[int, float],
        members: Iterable[Member] | None = None,
    ) -> list[float]:
        """Return the delay from publication to use of each version at each node.

        The delay of a version that a node skips ends when the node applies a later
        version.

        Parameters
        ----------
        published : dict of int to float
            Unix time of publication by version.
        members : iterable of Member, optional
            Members to ask; by default all. Only running nodes are asked.

        Returns
        -------
        list of float
            Delays in seconds.

        Raises
        ------
        FleetError
            If a node has applied neither a version nor a later one.
        """
        delays = []
        selected = [m for m in members or self.members.values() if m.running]
        histories = await asyncio.gather(
            *(self.get_applied_versions(m) for m in selected)
        )
        for member, history in zip(selected, histories, strict=True):
            for version, at in published.items():
                apply_times = [t for t, applied in history if applied >= version]
                if not apply_times:
                    raise FleetError(f"{member.name} has not run version {version}")
                delays.append(max(0.0, min(apply_times) - at))
        return delays

    async def wait_ready(
        self, timeout_s: float = 30.0, members: Iterable[Member] | None = None
    ) -> float:
        """Wait until nodes are ready and return the time that it took in seconds.

        Raises
        ------
        FleetError
            If a node is not ready in time.
        """
        return await self._wait_until(
            lambda status: bool(status["ready"]), timeout_s, members, "ready"
        )

    async def wait_version(
        self,
        version: int,
        timeout_s: float = 20.0,
        members: Iterable[Member] | None = None,
    ) -> None:
        """Wait until nodes run a version or a later one.

        Raises
        ------
        FleetError
            If a node does not run such a version in time.
        """
        await self._wait_until(
            lambda status: status["version"] >= version,
            timeout_s,
            members,
            f"version {version}",
        )

    async def _wait_until(self, condition, timeout_s, members, goal) -> float:
        started = time.monotonic()
        selected = list(members or self.members.values())
        waiting = [m for m in selected if m.running]
        while True:
            statuses = await self.get_statuses(waiting)
            waiting = [
                m
                for m in waiting
                if m.running and not ((s := statuses.get(m.name)) and condition(s))
            ]
            if not waiting:
                return time.monotonic() - started
            for member in waiting:
                self._raise_if_exited(member)
            if time.monotonic() - started > timeout_s:
                names = ", ".join(m.name for m in waiting[:8])
                raise FleetError(
                    f"{len(waiting)} of {len(selected)} nodes not at {goal} after"
                    f" {timeout_s:g} s: {names}"
                )
            await asyncio.sleep(0.05 if len(selected) < 50 else 0.25)

    def _raise_if_exited(self, member: Member) -> None:
        process = member.process
        if process is not None and process.poll() is not None:
            log = Path(self._settings_directory.name) / f"{member.name}.log"
            tail = log.read_text(errors="replace")[-LOG_TAIL_CHARS:]
            raise FleetError(f"{member.name} ended with {process.returncode}: {tail}")

    def count_executions(self, by_key: bool = False) -> Counter[str]:
        """Return the execution counts summed over all backend servers.

        Parameters
        ----------
        by_key : bool
            Whether to count by idempotency key instead of by request id.
        """
        total: Counter[str] = Counter()
        for member in self.members.values():
            if member.backend is not None:
                backend = member.backend
                total.update(backend.key_executions if by_key else backend.executions)
        return total

    def find_repeated_executions(self, non_idempotent_ids: Iterable[str]) -> list[str]:
        """Return the request ids and idempotency keys that ran more than once.

        Parameters
        ----------
        non_idempotent_ids : iterable of str
            Ids of the requests that may run once at most.
        """
        by_id = self.count_executions()
        by_key = self.count_executions(by_key=True)
        doubled = [name for name in non_idempotent_ids if by_id[name] > 1]
        return doubled + [key for key, count in by_key.items() if count > 1]


class VersionMonitor:
    """Checks that no node returns to an older version, and counts control bytes.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose running nodes are polled.
    interval_s : float
        Pause between two polls of the fleet in seconds.

    Attributes
    ----------
    violations : list of str
        Changes of a node to an older version, and a failure of the polling.
    """

    def __init__(self, fleet: Fleet, interval_s: float = 0.05):
        self.violations: list[str] = []
        self._fleet = fleet
        self._interval_s = interval_s
        self._poll_task: asyncio.Task | None = None
        self._started_at = 0.0
        self._ended_at = 0.0
        self._last_control_bytes: dict[str, int] = {}
        self._control_bytes: dict[str, int] = {}

    def compute_control_rates(self) -> dict[str, float]:
        """Return the control bytes per second of each node from `start` to `stop`."""
        seconds = (self._ended_at or time.monotonic()) - self._started_at
        return {name: count / seconds for name, count in self._control_bytes.items()}

    def start(self) -> None:
        """Start to poll the fleet."""
        self._started_at = time.monotonic()
        self._poll_task = asyncio.get_running_loop().create_task(self._poll_statuses())

    async def stop(self) -> None:
        """Stop polling and record a failure of the poll."""
        self._ended_at = self._ended_at or time.monotonic()
        if self._poll_task is not None:
            self._poll_task.cancel()
            await asyncio.gather(self._poll_task, return_exceptions=True)
            if not self._poll_task.cancelled() and self._poll_task.exception():
                self.violations.append(f"watch failed: {self._poll_task.exception()!r}")

    def record_status(self, member: Member, status: dict) -> None:
        """Record one status of a member.

        A node that is not ready has run no document since its start, so the
        version is checked only for a ready node.
        """
        # The counter restarts at zero with the process, so a lower total counts
        # as a whole.
        total = status["control_bytes"]
        last = self._last_control_bytes.get(member.name, total)
        increment = total - last if total >= last else total
        self._control_bytes[member.name] = (
            self._control_bytes.get(member.name, 0) + increment
        )
        self._last_control_bytes[member.name] = total
        version = status["version"]
        if not status["ready"] or not version:
            return
        if version < member.highest_version:
            self.violations.append(
                f"{member.name} runs version {version} after {member.highest_version}"
            )
        member.highest_version = max(member.highest_version, version)

    async def _poll_statuses(self) -> None:
        while True:
            for member in self._fleet.members.values():
                if not member.running:
                    continue
                status = await self._fleet.status(member)
                if status is not None:
                    self.record_status(member, status)
            await asyncio.sleep(self._interval_s)
