"""Control traffic between the nodes of the platform.

Nodes exchange their load and demand, crashes, changes of the store and, if the
store fails, their whole state.
"""

import asyncio
import itertools
import math
from collections import deque
from collections.abc import Callable
from time import monotonic

import msgspec

from mangowell_core.events import Event, EventCode
from mangowell_core.mesh import (
    CrashCounter,
    Directory,
    MeshSettings,
    Publication,
    ReaderElection,
    ReaderReport,
    RetryBudget,
    WorkerStates,
)
from mangowell_core.mesh.crashes import CRASH_TTL_S
from mangowell_core.mesh.model import (
    ChangeNotice,
    CompletionNotice,
    CrashNotice,
    DepartureNotice,
    FetchNotice,
    LeavingNotice,
    Notice,
    ProbeNotice,
    ProbeReply,
    StateNotice,
    StatusNotice,
)
from mangowell_core.mesh.placement import LoadReport, Placement
from mangowell_core.mesh.retry_budget import ServiceDemand
from mangowell_core.mesh.revisions import get_number
from mangowell_node.exchange import AttemptError
from mangowell_node.link import LinkPool, LinkServer
from mangowell_node.link.connection import Link
from mangowell_node.mesh.call_group import CallGroup
from mangowell_node.mesh.feed import StateFeed, make_evacuation_events
from mangowell_node.mesh.notices import (
    NoticeFormatError,
    decode_notice,
    encode_notice,
)
from mangowell_node.mesh.prober import Prober
from mangowell_node.mesh.runner import WorkerRunner
from mangowell_node.mesh.tasks import TaskSupervisor, start_loop

# Names of the supervised tasks.
STATUS_TASK = "gossip-status"
LINKS_TASK = "gossip-links"
# Interval of status notices in a fleet of up to `FULL_MESH_NODES`, in seconds.
STATUS_INTERVAL_S = 0.5
# In a larger fleet the interval grows in proportion to the number of nodes, so that
# the cost of each node does not grow.
FULL_MESH_NODES = 24
CONNECT_TIMEOUT_S = 1.0
# First and longest wait before a lost link is opened again, in seconds. The first
# is also the interval of the link checks.
RECONNECT_INTERVAL_S = 0.1
MAX_RECONNECT_INTERVAL_S = 0.8
# Interval of the link checks while nothing changes, in seconds. It finds idle links.
UNCHANGED_CHECK_INTERVAL_S = 1.0
# Shortest time between two statuses to other domains after changes of entries, in
# seconds. It is below `CATCH_UP_DELAY_S`; new documents and evacuations do not wait.
OTHER_DOMAIN_CHANGE_INTERVAL_S = 0.5
# Time for which another node may be ahead before this node asks it for its state,
# in seconds. The local watch usually delivers the change in that time.
CATCH_UP_DELAY_S = 0.6
# The status goes to other failure domains once in this many intervals: traffic
# between domains is expensive, and answers report the load as well.
OTHER_DOMAIN_INTERVALS = 4
# Number of nodes of other domains that get the status each time. More take turns: with
# 71 nodes in three domains, statuses to all of them are a third of the bytes between
# domains.
OTHER_DOMAIN_PEERS = 10
# Rates are sent as integers, in tenths of a request per second.
DEMAND_SCALE = 10
# A node counts as isolated if it has heard from no other node for this time, in
# seconds. It is longer than the interval of the status to other domains.
ISOLATION_TIMEOUT_S = 2.6
# Silence of one node after which its worker is used last, in seconds. The first value
# is for nodes of the local failure domain, the second for all others.
SAME_DOMAIN_SILENCE_S = 1.3
OTHER_DOMAIN_SILENCE_S = 2.6
# Time for which a crash is sent again, in seconds, to reach nodes whose links open
# later.
CRASH_REPEAT_S = 4.0
# Shortest time between two fetches of a state, in seconds.
FETCH_INTERVAL_S = 0.5
# Shortest time between two repairs of a state that differs from that of a reader at the
# same revision, in seconds. A reader then lists all entries again.
REPAIR_INTERVAL_S = 5.0


class Gossip:
    """Serves the platform: keeps links to the other nodes and exchanges notices.

    Parameters
    ----------
    settings : MeshSettings
        Settings of the local node.
    directory : Directory
        Listed workers and the document.
    runner : WorkerRunner
        Reports the load and the crashes of the local worker.
    placement : Placement
        Receives the load of other workers.
    prober : Prober
        Receives probes and their replies.
    budget : RetryBudget
        Receives the demand of other nodes.
    links : LinkPool
        Links that this node opens.
    server : LinkServer
        Links that other nodes have opened.
    feed : StateFeed
        Reads the store if this node is elected.
    crash_counter : CrashCounter
        Crashes by the fingerprint of the request.
    worker_states : WorkerStates
        Receives which workers are leaving.
    emit : callable
        Takes an `Event`.
    on_change : callable
        Called without arguments after each change of the directory.
    """

    def __init__(
        self,
        settings: MeshSettings,
        directory: Directory,
        runner: WorkerRunner,
        placement: Placement,
        prober: Prober,
        budget: RetryBudget,
        links: LinkPool,
        server: LinkServer,
        feed: StateFeed,
        crash_counter: CrashCounter,
        worker_states: WorkerStates,
        emit: Callable[[Event], None],
        on_change: Callable[[], None],
    ):
        self._settings = settings
        self._directory = directory
        self._runner = runner
        self._placement = placement
        self._prober = prober
        self._budget = budget
        self._links = links
        self._server = server
        self._feed = feed
        self._crash_counter = crash_counter
        self._worker_states = worker_states
        runner.on_crash = self.report_crash
        runner.on_completion = self._report_completion
        runner.on_worker_leaving = self.announce
        self._emit = emit
        self._on_change = on_change
        self._supervisor: TaskSupervisor | None = None
        self._reconnect_at: dict[str, float] = {}
        self._reconnect_waits_s: dict[str, float] = {}
        self._connect_tasks: dict[str, asyncio.Task] = {}
        # Failure domain of each host, also of hosts whose worker is no longer listed.
        self._domains: dict[str, str] = {}
        # Highest revision and version reported by other nodes, the link of the latest
        # such report, and the time since when this node has been behind.
        self._highest_seen_revision = 0
        self._highest_seen_version = 0
        self._ahead_link: Link | None = None
        self._behind_since = 0.0
        self._fetched_at = float("-inf")
        # Revisions at which a reader has been found to have other workers, the latest
        # of them, and the one at which the state of a reader has been asked for.
        self.differences = 0
        self._differing_revision = 0
        self._repaired_revision = 0
        self._repair_due_at = float("-inf")
        # Crashes of the local worker, each with its time.
        self._crashes: deque[tuple[float, CrashNotice]] = deque()
        # Time at which this node ends, in monotonic seconds; infinite unless it stops.
        self._end_deadline = math.inf
        self._started_at = monotonic()
        # Whether other domains have not been told of the latest changes, and when they
        # may be told next.
        self._owes_status = False
        self._other_domains_due_at = 0.0
        self._told_evacuated: frozenset[str] = frozenset()
        # Changes of the links and the list that both were checked with, and the time
        # at which they are checked again without a change.
        self._checked_changes = -1
        self._kept_state: tuple | None = None
        self._check_links_at = self._keep_links_at = 0.0
        self._is_isolated = False
        self._election = ReaderElection(settings.instance, settings.link_mbps)
        self._publication = Publication()
        # Returns whether a part that callers need fails again and again here.
        self.is_failing: Callable[[], bool] = _report_sound
        # Time of the last status of each other node of the domain, and what it said.
        self._peer_failing: dict[str, tuple[float, bool]] = {}
        # Whether the last status has said that this node reads the store.
        self._announced_reads = False
        # Steps of both tasks. Each is called even if one before it fails.
        self._ticks = itertools.count()
        self._turns = itertools.count()
        self._status_steps = CallGroup(
            emit,
            {
                "announce": self._announce_status,
                "resend-crashes": self._resend_crashes,
                "check-silence": self._check_silence,
                "expire-stopping": self._expire_stopping_peers,
            },
        )
        self._links_steps = CallGroup(
            emit,
            {
                "check-links": self._check_links,
                "keep-links": self._keep_links_if_due,
                "announce-changes": lambda: self._announce_to_other_domains(
                    monotonic()
                ),
                "update-reading": self._update_reading,
                "catch-up": self._catch_up,
            },
        )
        links.on_notice = self._handle_notice
        server.on_notice = self._handle_notice
        server.on_authenticated = self._send_status

    def start(self, supervisor: TaskSupervisor) -> None:
        """Start the tasks that keep links open and send notices."""
        self._supervisor = supervisor
        supervisor.start(STATUS_TASK, self._run_status)
        supervisor.start(LINKS_TASK, self._run_links)

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        if self._supervisor is not None:
            await self._supervisor.end(STATUS_TASK)
            await self._supervisor.end(LINKS_TASK)
        tasks = list(self._connect_tasks.values())
        for task in tasks:
            task.cancel()
        # Failures were reported when they occurred.
        await asyncio.gather(*tasks, return_exceptions=True)

    def announce_stop(self, deadline: float) -> None:
        """Tell the other nodes that this one ends at `deadline` (monotonic seconds)."""
        self._end_deadline = deadline
        self.announce()

    @property
    def _is_leaving(self) -> bool:
        return self._end_deadline < math.inf

    def announce(self, to_all_domains: bool = True) -> None:
        """Send the current status now.

        Parameters
        ----------
        to_all_domains : bool
            Whether to send it to other failure domains as well.
        """
        local, others = self._split_links()
        payload = encode_notice(self._make_status())
        for link in (*local, *others) if to_all_domains else local:
            _send(link, payload, "status")

    def _announce_in_turn(self) -> None:
        """Send the current status to the own domain and to a part of the others."""
        local, others = self._split_links()
        others.sort(key=lambda link: link.address)
        turn, turns = next(self._turns), _count_turns(len(others))
        payload = encode_notice(self._make_status())
        for link in (*local, *others[turn % turns :: turns]):
            _send(link, payload, "status")

    def _split_links(self) -> tuple[list[Link], list[Link]]:
        """Return the open links of nodes of the own domain, and of the others."""
        local, others = [], []
        for link in self._server.links:
            if link.is_authenticated and not link.closed:
                (local if self._is_same_domain(link) else others).append(link)
        return local, others

    def _announce_to_other_domains(self, now: float) -> None:
        """Send the status to other domains after changes, if it is due."""
        if not self._owes_status or now < self._other_domains_due_at:
            return
        payload = encode_notice(self._make_status())
        _, others = self._split_links()
        for link in others:
            _send(link, payload, "status")
        self._owes_status = False
        self._other_domains_due_at = now + OTHER_DOMAIN_CHANGE_INTERVAL_S

    def _send_status(self, link: Link) -> None:
        """Tell the peer of a new link whether this node runs or stops.

        The peer may have started since workers crashed or stated that they leave, and
        the nodes beside them too, so it is told what is known here.
        """
        link.send_notice(encode_notice(self._make_status()), "status")
        completions = self._crash_counter.export_completions(monotonic())
        if completions:
            link.send_notice(encode_notice(CompletionNotice(completions)))
        for crash, age_s, fingerprints in self._crash_counter.export(monotonic()):
            is_cold = self._crash_counter.is_cold_crash(crash)
            notice = CrashNotice(crash, fingerprints, age_s, is_cold)
            link.send_notice(encode_notice(notice))
        leaving = tuple(
            (worker.id, worker.born_ms)
            for worker in self._directory.get_workers()
            if self._worker_states.get(worker).is_leaving
        )
        if leaving:
            link.send_notice(encode_notice(LeavingNotice(leaving)))
        if self._is_same_domain(link) or self._feed.is_up:
            # Traffic between domains is expensive, so that only readers tell others.
            self._send_departures(link)

    def _send_departures(self, link: Link) -> None:
        departures = self._directory.export_departures(monotonic())
        if departures:
            link.send_notice(encode_notice(DepartureNotice(departures)), "states")

    def _is_same_domain(self, link: Link) -> bool:
        host = link.address[0]
        for endpoint in self._directory.look_up_host(host):
            # Kept after the worker is removed, as its node may go on running.
            self._domains[host] = endpoint.failure_domain
        return self._domains.get(host) == self._settings.failure_domain

    def is_in_other_domain(self, host: str) -> bool:
        """Return whether a host is known to be in another failure domain."""
        domain = next(
            (e.failure_domain for e in self._directory.look_up_host(host)),
            self._domains.get(host),
        )
        return domain is not None and domain != self._settings.failure_domain

    def report_crash(
        self, crash: str, fingerprints: tuple[str, ...], is_cold: bool = False
    ) -> None:
        """Record a crash of the local worker and tell the other nodes."""
        notice = CrashNotice(crash, fingerprints, is_cold=is_cold)
        self._record_crash(notice)
        self._crashes.append((monotonic(), notice))
        self._send_all(encode_notice(notice))

    def _send_all(self, payload: bytes) -> None:
        # Between two nodes there is a link in each direction; one is enough.
        links = {}
        for link in (*self._links.links, *self._server.links):
            if link.is_authenticated and not link.closed:
                links[link.address[0]] = link
        for link in links.values():
            _send(link, payload)

    def _resend_crashes(self) -> None:
        now = monotonic()
        while self._crashes and self._crashes[0][0] + CRASH_REPEAT_S <= now:
            self._crashes.popleft()
        for crashed_at, notice in self._crashes:
            aged = msgspec.structs.replace(notice, age_s=now - crashed_at)
            self._send_all(encode_notice(aged))

    def _record_crash(self, notice: CrashNotice) -> None:
        if not 0 <= notice.age_s < CRASH_TTL_S:
            return
        crashed_at = monotonic() - notice.age_s
        new_fingerprints = [
            fingerprint
            for fingerprint in notice.fingerprints
            if self._crash_counter.record_crash(
                fingerprint, notice.crash, crashed_at, notice.is_cold
            )
        ]
        if new_fingerprints and not notice.age_s:
            fields = {
                "backend": notice.crash,
                "reason": "crashed",
                "lost": len(new_fingerprints),
            }
            self._emit(Event(EventCode.BACKEND_DOWN, fields))

    def _report_completion(self, fingerprint: str) -> None:
        """Tell the other nodes that a request does not crash workers."""
        self._send_all(encode_notice(CompletionNotice(((fingerprint, 0.0),))))

    def _record_completions(self, notice: CompletionNotice) -> None:
        now = monotonic()
        for fingerprint, age_s in notice.completions:
            if 0 <= age_s < CRASH_TTL_S:
                self._crash_counter.record_told_completion(fingerprint, now - age_s)

    async def _run_status(self) -> None:
        while True:
            self._status_steps.run_due()
            await self._wait_for_next_status()

    def _announce_status(self) -> None:
        if not self._has_state:
            self.announce()
        elif next(self._ticks) % OTHER_DOMAIN_INTERVALS:
            self.announce(to_all_domains=False)
        else:
            self._announce_in_turn()

    def _expire_stopping_peers(self) -> None:
        self._prober.stopping_peers.expire(monotonic())

    async def _wait_for_next_status(self) -> None:
        """Wait until the next status is due.

        In a large fleet, a reader of the store sends its status to its own failure
        domain sooner.
        """
        nodes = len(self._directory.get_hosts())
        due = monotonic() + STATUS_INTERVAL_S * max(1.0, nodes / FULL_MESH_NODES)
        while (remaining_s := due - monotonic()) > 0:
            await asyncio.sleep(min(remaining_s, STATUS_INTERVAL_S))
            if self._feed.is_up and monotonic() < due:
                self.announce(to_all_domains=False)

    # Reading for the failure domain

    def _update_reading(self) -> None:
        now = monotonic()
        feed = self._feed
        feed.restart_if_stuck(now)
        if feed.is_failing:
            self._election.record_failure(now)
        feed.set_reading(self._election.decide(now, feed.is_up))
        if feed.is_up != self._announced_reads and not self._is_leaving:
            # Other nodes take over, or stop, as soon as they know.
            self.announce(to_all_domains=False)

    def publish(self) -> None:
        """Send changes to the nodes of the failure domain, if this node publishes."""
        directory = self._directory
        state = directory.revision, directory.document
        evacuated = directory.export_evacuations()
        published = self._publication.state
        if not self._election.is_publisher(monotonic()):
            self._publication.mark(*state, directory.listed, evacuated)
            return
        try:
            changes = self._publication.collect(
                *state, directory.history, directory.listed, evacuated
            )
            if changes is None:
                return
            payload = encode_notice(self._add_store_uptime(changes))
            departures = self._encode_departures(changes.removed)
        except Exception:
            # The next call sends these changes too. Until then, other nodes learn of
            # them by the revision in the status and fetch the whole state.
            self._publication.restore(published)
            raise
        for link in list(self._server.links):
            is_open = link.is_authenticated and not link.closed
            if is_open and self._is_same_domain(link):
                _send(link, payload, "changes")
                if departures:
                    _send(link, departures, "changes")
        # Other domains get only the revision, by which they notice changes even if the
        # store is silent to both of their readers.
        now = monotonic()
        # Other domains notice workers that are added or become warm themselves.
        self._owes_status |= bool(changes.removed) or any(
            endpoint.draining for endpoint in changes.endpoints
        )
        if changes.delta is not None or directory.evacuated != self._told_evacuated:
            self._owes_status = True
            self._told_evacuated = directory.evacuated
            self._other_domains_due_at = now
        self._announce_to_other_domains(now)

    def _encode_departures(self, removed: tuple[str, ...]) -> bytes:
        """Return a notice of the last writes of removed workers, or no bytes.

        Other nodes may have been told only of earlier writes. After a restore of the
        store they would take what the worker writes next for one that they missed.
        """
        known = self._directory.export_departures(monotonic()) if removed else ()
        departures = tuple(d for d in known if d.id in removed)
        return encode_notice(DepartureNotice(departures)) if departures else b""

    def _handle_changes(self, link: Link, changes: ChangeNotice) -> None:
        directory = self._directory
        before, evacuated = directory.generation, directory.evacuated
        if not directory.apply_changes(changes, monotonic()):
            self._fetch_state(link)
            return
        # The sender sends the changes to the other nodes too, so this node does not.
        self._publication.mark(
            directory.revision,
            directory.document,
            directory.listed,
            directory.export_evacuations(),
        )
        if directory.generation != before:
            self._emit_changes(link, changes)
            self._emit_evacuations(link, evacuated)
            self._on_change()

    def _emit_changes(self, link: Link, changes: ChangeNotice) -> None:
        fields = {"revision": get_number(changes.revision), "peer": link.address[0]}
        if changes.delta is not None:
            version = {"version": changes.delta.version}
            self._emit(Event(EventCode.VERSION_APPLIED, version | fields))
        for endpoint in changes.endpoints:
            worker = {
                "backend": endpoint.id,
                "service": endpoint.service,
                "draining": endpoint.draining,
                "seq": endpoint.seq,
            }
            self._emit(Event(EventCode.INSTANCES_APPLIED, worker | fields))
        for name in changes.removed:
            self._emit(Event(EventCode.INSTANCE_REMOVED, {"backend": name} | fields))

    def _emit_evacuations(self, link: Link, known: frozenset[str]) -> None:
        """Emit the evacuations that began or ended with a notice of another node."""
        directory = self._directory
        for event in make_evacuation_events(
            known, directory.evacuated, directory.revision, peer=link.address[0]
        ):
            self._emit(event)

    @property
    def lastingly_failing(self) -> frozenset[str]:
        """Names of the steps that have failed several times in a row."""
        return (
            self._status_steps.lastingly_failing | self._links_steps.lastingly_failing
        )

    def has_sound_domain(self, now: float) -> bool:
        """Return whether most other nodes of the domain are heard of and sound."""
        intervals = max(1.0, len(self._directory.get_hosts()) / FULL_MESH_NODES)
        heard_after = now - OTHER_DOMAIN_SILENCE_S * intervals
        states = [
            failing
            for received_at, failing in self._peer_failing.values()
            if received_at > heard_after
        ]
        return bool(states) and 2 * sum(states) < len(states)

    @property
    def is_isolated(self) -> bool:
        """Whether other nodes are listed and all of them are silent."""
        return self._is_isolated

    def _check_silence(self) -> None:
        """Find silent nodes and determine whether this node is isolated."""
        now = monotonic()
        directory = self._directory
        intervals = max(1.0, len(directory.get_hosts()) / FULL_MESH_NODES)
        last_received_at = self._started_at
        for link in (*self._links.links, *self._server.links):
            last_received_at = max(last_received_at, link.last_received_at)
        others = sum(not self._is_same_domain(link) for link in self._links.links)
        for link in self._links.links:
            max_silence_s = (
                SAME_DOMAIN_SILENCE_S
                if self._is_same_domain(link)
                else OTHER_DOMAIN_SILENCE_S * _count_turns(others)
            )
            if 0 < link.last_received_at < now - max_silence_s * intervals:
                for endpoint in directory.look_up_host(link.address[0]):
                    self._placement.record_unreachable(endpoint, now)
        has_others = bool(directory.get_hosts() - {self._settings.link.host})
        # In a larger fleet each node sends less often, but more nodes send, so that
        # something arrives as often as in a small one.
        isolated = has_others and now - last_received_at > ISOLATION_TIMEOUT_S
        if isolated != self._is_isolated:
            self._is_isolated = isolated
            code = EventCode.NODE_ISOLATED if isolated else EventCode.NODE_REJOINED
            fields = {"silent_s": round(now - last_received_at, 2)}
            self._emit(Event(code, fields))

    async def _run_links(self) -> None:
        while True:
            await asyncio.sleep(RECONNECT_INTERVAL_S)
            self._links_steps.run_due()

    def _check_links(self) -> None:
        """Check the links after a change, or after a while for idle ones."""
        now = monotonic()
        changes = self._links.changes
        if changes == self._checked_changes and now < self._check_links_at:
            return
        self._links.check(now)
        # Links that `check` has closed itself are removed by it.
        self._checked_changes = self._links.changes
        self._check_links_at = now + UNCHANGED_CHECK_INTERVAL_S

    def _keep_links_if_due(self) -> None:
        """Open missing links after a change, or when a host may be tried again."""
        now = monotonic()
        if now >= self._keep_links_at or self._get_kept_state() != self._kept_state:
            self.keep_links()

    def _get_kept_state(self) -> tuple:
        return self._links.changes, self._directory.generation

    def keep_links(self) -> None:
        """Open the missing links to listed nodes."""
        settings = self._settings
        port = settings.link.port
        now = monotonic()
        deadline = now + CONNECT_TIMEOUT_S
        self._kept_state = None
        due_at = now + UNCHANGED_CHECK_INTERVAL_S
        state = self._get_kept_state()
        for host in self._directory.get_hosts():
            if host == settings.link.host or host in self._connect_tasks:
                continue
            if now < (reconnect_at := self._reconnect_at.get(host, 0.0)):
                due_at = min(due_at, reconnect_at)
                continue
            link = self._links.get_link(host, port)
            if link is not None and not link.leaving:
                continue
            task = start_loop(self._connect(host, port, deadline))
            self._connect_tasks[host] = task
            task.add_done_callback(lambda _, host=host: self._end_connect(host))
        self._kept_state = state
        self._keep_links_at = due_at

    def _end_connect(self, host: str) -> None:
        self._connect_tasks.pop(host, None)
        self._kept_state = None

    async def _connect(self, host: str, port: int, deadline: float) -> None:
        try:
            await self._links.connect(host, port, deadline)
        except Exception as exc:
            # The pool has recorded that the node cannot be reached. A node that
            # restarts refuses connections for about a second.
            now = monotonic()
            wait_s = min(
                MAX_RECONNECT_INTERVAL_S,
                2 * self._reconnect_waits_s.get(host, RECONNECT_INTERVAL_S / 2),
            )
            self._reconnect_waits_s[host] = wait_s
            self._reconnect_at[host] = now + wait_s
            if not isinstance(exc, AttemptError):
                raise
        else:
            self._reconnect_waits_s.pop(host, None)
            self._reconnect_at.pop(host, None)

    @property
    def _has_state(self) -> bool:
        return self._directory.revision > 0 and not self._directory.is_store_away

    def _make_status(self) -> StatusNotice:
        directory = self._directory
        self._announced_reads = reads = self._feed.is_up and not self._is_leaving
        load = self._runner.compute_load()
        return StatusNotice(
            self._settings.instance,
            directory.revision,
            not self._has_state,
            load.pending,
            load.limit,
            self._is_leaving,
            reads,
            self._election.get_link_mbps(monotonic()),
            {
                name: (
                    round(demand.requests_per_s * DEMAND_SCALE),
                    round(demand.retries_per_s * DEMAND_SCALE),
                )
                for name, demand in self._budget.compute_demand(monotonic()).items()
            },
            max(0.0, self._end_deadline - monotonic()) if self._is_leaving else None,
            self._runner.leaving_worker,
            directory.document_version,
            directory.uptime.export(monotonic()) if self._feed.is_up else None,
            self.is_failing(),
            directory.compute_digest() if reads else None,
        )

    def _add_store_uptime(self, notice):
        """Return the notice with what a receiver needs to judge missing entries."""
        uptime = self._directory.uptime.export(monotonic())
        return msgspec.structs.replace(notice, store_uptime=uptime)

    def _handle_notice(self, link: Link, payload: bytes) -> None:
        """Handle one notice; whatever fails costs only this notice."""

        def report(reason: str) -> None:
            fields = {"peer": link.address[0], "reason": reason}
            self._emit(Event(EventCode.PEER_MESSAGE_DROPPED, fields))

        try:
            notice = decode_notice(payload, report)
        except NoticeFormatError as exc:
            report(str(exc))
            return
        try:
            self._dispatch_notice(link, notice)
        except Exception as exc:
            # A fault of this node. The link also carries requests, which go on.
            asyncio.get_running_loop().call_exception_handler(
                {
                    "message": f"{type(notice).__name__} not handled",
                    "exception": exc,
                }
            )

    def _dispatch_notice(self, link: Link, notice: Notice) -> None:
        match notice:
            case ProbeNotice():
                self._prober.answer_probe(link, notice)
            case ProbeReply():
                self._prober.record_reply(notice)
            case StatusNotice():
                self._handle_status(link, notice)
            case FetchNotice():
                self._send_departures(link)
                state = self._directory.export(notice.version)
                link.send_notice(encode_notice(self._add_store_uptime(state)), "states")
            case StateNotice():
                self._handle_state(link, notice)
            case ChangeNotice():
                self._handle_changes(link, notice)
            case CrashNotice():
                self._record_crash(notice)
            case CompletionNotice():
                self._record_completions(notice)
            case DepartureNotice():
                self._handle_departures(notice)
            case LeavingNotice():
                for worker in notice.workers:
                    self._worker_states.record_leaving(*worker)
                # One of them may be the worker beside this node.
                self._runner.sync()

    def _handle_departures(self, notice: DepartureNotice) -> None:
        before = self._directory.generation
        self._directory.record_departures(notice.departures, monotonic())
        if self._directory.generation != before:
            self._on_change()

    def _handle_status(self, link: Link, notice: StatusNotice) -> None:
        now = monotonic()
        host = link.address[0]
        if self._reconnect_at.pop(host, None) is not None:
            self._kept_state = None
        if notice.leaving:
            ends_in_s = notice.ends_in_s
            end = None if ends_in_s is None else now + ends_in_s
            self._prober.stopping_peers.record(host, end)
        else:
            self._prober.stopping_peers.forget(host)
        if notice.leaving_worker is not None:
            self._worker_states.record_leaving(*notice.leaving_worker)
        for endpoint in self._directory.look_up_host(host):
            load = LoadReport(notice.pending, notice.limit)
            self._placement.record_load(endpoint, load, now)
        demand = {
            name: ServiceDemand(requests / DEMAND_SCALE, retries / DEMAND_SCALE)
            for name, (requests, retries) in notice.demand.items()
        }
        self._budget.record_peer_demand(notice.instance, demand, now)
        if self._is_same_domain(link):
            report = ReaderReport(notice.link_mbps, notice.reads, notice.leaving)
            self._election.record_report(notice.instance, report, now)
            if notice.leaving:
                self._peer_failing.pop(notice.instance, None)
            else:
                self._peer_failing[notice.instance] = now, notice.failing
        directory = self._directory
        if notice.store_uptime is not None:
            directory.uptime.merge(notice.store_uptime, now)
        if notice.needs_state and notice.revision < directory.revision:
            # The peer fetches the state when it learns that a newer one exists.
            link.send_notice(encode_notice(self._make_status()), "status")
        elif (
            notice.revision > directory.revision
            or notice.version > directory.document_version
        ):
            self._record_behind(link, notice, now)
        elif notice.digest is not None and notice.revision == directory.revision:
            self._compare_digest(link, notice.digest, now)

    def _compare_digest(self, link: Link, digest: int, now: float) -> None:
        """Repair the state if a reader of the store differs at the same revision.

        A reader lists all entries again, as either of the two may be wrong. Other nodes
        take the state of the reader.
        """
        directory = self._directory
        if digest == directory.compute_digest():
            return
        if directory.revision != self._differing_revision:
            self._differing_revision = directory.revision
            self.differences += 1
            fields = {
                "peer": link.address[0],
                "revision": get_number(directory.revision),
                "workers": len(directory.listed),
                "digest": f"{directory.compute_digest():08x}",
                "peer_digest": f"{digest:08x}",
            }
            self._emit(Event(EventCode.STATE_DIFFERS, fields))
        if now < self._repair_due_at:
            return
        self._repair_due_at = now + REPAIR_INTERVAL_S
        if self._feed.is_up:
            self._feed.read_again()
        else:
            self._repaired_revision = directory.revision
            self._fetched_at = float("-inf")
            self._fetch_state(link)

    @property
    def _is_behind(self) -> bool:
        """Whether another node has reported a higher revision or a newer document.

        After a restore of the store, nodes may know a document that it has lost.
        """
        directory = self._directory
        return (
            directory.revision < self._highest_seen_revision
            or directory.document_version < self._highest_seen_version
        )

    def _record_behind(self, link: Link, notice: StatusNotice, now: float) -> None:
        """Record that another node has a higher revision or a newer document."""
        if not self._is_behind:
            # This node was up to date until now.
            self._behind_since = now
        self._highest_seen_revision = max(self._highest_seen_revision, notice.revision)
        self._highest_seen_version = max(self._highest_seen_version, notice.version)
        self._ahead_link = link
        if not self._has_state:
            self._fetch_state(link)

    def _catch_up(self) -> None:
        """Fetch the state from the node ahead if no reader has sent it in time."""
        now = monotonic()
        if self._ahead_link is None or not self._is_behind:
            return
        if now - self._behind_since >= CATCH_UP_DELAY_S and not self._ahead_link.closed:
            self._fetch_state(self._ahead_link)

    def _fetch_state(self, link: Link) -> None:
        """Ask another node for the state, at most once per `FETCH_INTERVAL_S`."""
        now = monotonic()
        if now - self._fetched_at >= FETCH_INTERVAL_S:
            self._fetched_at = now
            version = self._directory.document_version
            link.send_notice(encode_notice(FetchNotice(version)), "states")

    def _handle_state(self, link: Link, notice: StateNotice) -> None:
        directory = self._directory
        was_store_away = directory.is_store_away
        before, evacuated = directory.generation, directory.evacuated
        is_repair = notice.state.revision == self._repaired_revision
        self._repaired_revision = 0
        is_newer = directory.apply_state(notice, monotonic(), is_repair)
        if directory.generation == before:
            return
        revision = get_number(notice.state.revision)
        fields = {"peer": link.address[0], "revision": revision}
        self._emit(Event(EventCode.REPAIR_FETCH, fields))
        self._emit_evacuations(link, evacuated)
        self._on_change()
        if is_newer and not was_store_away:
            # The local watch should have delivered this state, so it may be silent.
            self._feed.restart_watch()


def _send(link: Link, payload: bytes, kind: str = "") -> None:
    """Send a notice; a link that cannot send is closed, so that it is replaced.

    The new link begins with a status, by which the peer notices what it has missed.
    """
    try:
        link.send_notice(payload, kind)
    except Exception as exc:
        link.close(f"send failed: {exc!r}")


def _count_turns(others: int) -> int:
    """Return in how many turns the nodes of other domains get the status."""
    return max(1, math.ceil(others / OTHER_DOMAIN_PEERS))


def _report_sound() -> bool:
    """Return that nothing fails; replaced by `MeshNode`."""
    return False
