"""What nodes tell each other: their load, and their state when the store fails."""

import asyncio
import contextlib
import itertools
from collections import deque
from collections.abc import Callable
from time import monotonic

from mangowell_core.events import Event, EventCode
from mangowell_core.mesh import (
    CrashLedger,
    Directory,
    MeshSettings,
    Publication,
    ReaderElection,
    ReaderReport,
    RetryBudget,
)
from mangowell_core.mesh.model import (
    ChangeNotice,
    CrashNotice,
    FetchNotice,
    StateNotice,
    StatusNotice,
)
from mangowell_core.mesh.placement import LoadReport, Placement
from mangowell_core.mesh.retry_budget import ServiceDemand
from mangowell_node.exchange import AttemptError
from mangowell_node.link import LinkPool, LinkServer
from mangowell_node.link.connection import Link
from mangowell_node.mesh.feed import StateFeed
from mangowell_node.mesh.notices import (
    NoticeFormatError,
    decode_notice,
    encode_notice,
)
from mangowell_node.mesh.runner import WorkerRunner
from mangowell_node.mesh.tasks import start_loop

# Interval of status notices in a fleet of up to `FULL_MESH_NODES`, seconds.
STATUS_INTERVAL_S = 0.5
# Beyond this the interval grows with the fleet, so that the cost of a node does
# not.
FULL_MESH_NODES = 24
CONNECT_TIMEOUT_S = 1.0
# Interval at which lost links are opened again, and its limit, seconds.
RECONNECT_S = 0.1
MAX_RECONNECT_S = 0.8
# Time for which another node may be ahead before this node asks it, seconds:
# the own watch usually delivers the change in that time.
BEHIND_S = 0.6
# Other failure domains hear the status at every so many intervals, as bytes
# between domains are dear and answers report the load as well.
FAR_INTERVALS = 4
# Rates are sent as whole numbers of tenths a second.
DEMAND_SCALE = 10
# Time without a word from any other node after which this one counts as cut
# off, seconds: longer than the interval of the status to other domains.
ISOLATED_S = 2.6
# The same for one node, whose worker is then used last.
QUIET_NEAR_S = 1.3
QUIET_FAR_S = 2.6
# Time for which a crash is repeated to nodes that link up late, seconds.
CRASH_REPEAT_S = 4.0
# Time between two fetches of a state, seconds.
FETCH_INTERVAL_S = 0.5


class Gossip:
    """Keeps links to the other nodes and exchanges notices on them.

    Parameters
    ----------
    settings : MeshSettings
    directory : Directory
    runner : WorkerRunner
    placement : Placement
    budget : RetryBudget
    links : LinkPool
    server : LinkServer
    feed : StateFeed
    ledger : CrashLedger
    emit : callable
    on_change : callable
        Called without arguments after each change of the directory.
    """

    def __init__(
        self,
        settings: MeshSettings,
        directory: Directory,
        runner: WorkerRunner,
        placement: Placement,
        budget: RetryBudget,
        links: LinkPool,
        server: LinkServer,
        feed: StateFeed,
        ledger: CrashLedger,
        emit: Callable[[Event], None],
        on_change: Callable[[], None],
    ):
        self._settings = settings
        self._directory = directory
        self._runner = runner
        self._placement = placement
        self._budget = budget
        self._links = links
        self._server = server
        self._feed = feed
        self._ledger = ledger
        runner.on_crash = self.report_crash
        self._emit = emit
        self._on_change = on_change
        self._task: asyncio.Task | None = None
        self._links_task: asyncio.Task | None = None
        self._retry_at: dict[str, float] = {}
        self._waits: dict[str, float] = {}
        self._opening: dict[str, asyncio.Task] = {}
        # Failure domains by host, also of nodes whose worker is not listed.
        self._domains: dict[str, str] = {}
        # Highest revision that another node was seen at, by which link, and since
        # when this node has been behind.
        self._seen_revision = 0
        self._ahead: Link | None = None
        self._behind_since = 0.0
        self._fetched_at = float("-inf")
        # The own worker's crashes, each with the time until which it is repeated.
        self._crashes: deque[tuple[float, CrashNotice]] = deque()
        self.leaving = False
        self._started = monotonic()
        self._is_isolated = False
        self._election = ReaderElection(settings.instance, settings.link_mbps)
        self._publication = Publication()
        links.on_notice = self._receive
        server.on_notice = self._receive

    def start(self) -> None:
        """Start to keep links and to send notices."""
        self._task = start_loop(self._run())
        self._links_task = start_loop(self._run_links())

    async def stop(self) -> None:
        """Stop."""
        for task in (self._task, self._links_task, *self._opening.values()):
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task

    def announce(self, everywhere: bool = True) -> None:
        """Send the present status now.

        Parameters
        ----------
        everywhere : bool
            Also to other failure domains.
        """
        payload = encode_notice(self._make_status())
        for link in list(self._server.links):
            if not link.peer_is_known or link.closed:
                continue
            if everywhere or self._is_near(link):
                link.send_notice(payload)

    def _is_near(self, link: Link) -> bool:
        host = link.address[0]
        for endpoint in self._directory.find_host(host):
            # Kept, as the node is still there when its worker is gone.
            self._domains[host] = endpoint.failure_domain
        return self._domains.get(host) == self._settings.failure_domain

    def report_crash(self, crash: str, fingerprints: tuple[str, ...]) -> None:
        """Count a crash of the own worker and tell the other nodes."""
        notice = CrashNotice(crash, fingerprints)
        self._take_crash(notice)
        self._crashes.append((monotonic() + CRASH_REPEAT_S, notice))
        self._send_all(encode_notice(notice))

    def _send_all(self, payload: bytes) -> None:
        for link in (*self._links.links, *self._server.links):
            if link.peer_is_known and not link.closed:
                link.send_notice(payload)

    def _repeat_crashes(self) -> None:
        now = monotonic()
        while self._crashes and self._crashes[0][0] <= now:
            self._crashes.popleft()
        for _, notice in self._crashes:
            self._send_all(encode_notice(notice))

    def _take_crash(self, notice: CrashNotice) -> None:
        now = monotonic()
        news = [
            fingerprint
            for fingerprint in notice.fingerprints
            if self._ledger.note(fingerprint, notice.crash, now)
        ]
        if news:
            fields = {"backend": notice.crash, "reason": "crashed", "lost": len(news)}
            self._emit(Event(EventCode.BACKEND_DOWN, fields))

    async def _run(self) -> None:
        for tick in itertools.count():
            self.announce(everywhere=not tick % FAR_INTERVALS or not self._has_state)
            self._repeat_crashes()
            self._check_contact(monotonic())
            await self._wait_for_turn()

    async def _wait_for_turn(self) -> None:
        """Wait for the next status; that of a reader is due sooner."""
        nodes = len(self._directory.find_hosts())
        due = monotonic() + STATUS_INTERVAL_S * max(1.0, nodes / FULL_MESH_NODES)
        while (left := due - monotonic()) > 0:
            await asyncio.sleep(min(left, STATUS_INTERVAL_S))
            if self._feed.is_up and monotonic() < due:
                self.announce(everywhere=False)

    # Reading for the failure domain

    def _elect(self) -> None:
        now = monotonic()
        self._feed.set_reading(self._election.decide(now, self._feed.is_up))

    def publish(self) -> None:
        """Tell the nodes of the failure domain what has changed."""
        directory = self._directory
        state = directory.revision, directory.document
        if not self._election.is_publisher(monotonic()):
            self._publication.mark(*state, directory.endpoints)
            return
        changes = self._publication.collect(
            *state, directory.history, directory.endpoints
        )
        if changes is None:
            return
        payload = encode_notice(changes)
        # Other domains hear the revision only: both of their readers may follow
        # a store that is silent to them.
        status = encode_notice(self._make_status())
        for link in list(self._server.links):
            if link.peer_is_known and not link.closed:
                link.send_notice(payload if self._is_near(link) else status)

    def _take_changes(self, link: Link, changes: ChangeNotice) -> None:
        directory = self._directory
        before = directory.revision, directory.epoch
        if not directory.take_changes(changes, monotonic()):
            self._fetch(link)
            return
        # The sender tells the others as well.
        self._publication.mark(
            directory.revision, directory.document, directory.endpoints
        )
        if (directory.revision, directory.epoch) != before:
            self._report_changes(link, changes)
            self._on_change()

    def _report_changes(self, link: Link, changes: ChangeNotice) -> None:
        fields = {"revision": changes.revision, "peer": link.address[0]}
        if changes.delta is not None:
            version = {"version": changes.delta.version}
            self._emit(Event(EventCode.VERSION_APPLIED, version | fields))
        for endpoint in changes.endpoints:
            worker = {
                "backend": endpoint.id,
                "service": endpoint.service,
                "draining": endpoint.draining,
            }
            self._emit(Event(EventCode.INSTANCES_APPLIED, worker | fields))
        for name in changes.removed:
            self._emit(Event(EventCode.INSTANCE_REMOVED, {"backend": name} | fields))

    @property
    def is_isolated(self) -> bool:
        """Whether other nodes are listed and none has been heard of."""
        return self._is_isolated

    def _check_contact(self, now: float) -> None:
        """Look for nodes that have fallen silent."""
        directory = self._directory
        intervals = max(1.0, len(directory.find_hosts()) / FULL_MESH_NODES)
        heard_at = self._started
        for link in (*self._links.links, *self._server.links):
            heard_at = max(heard_at, link.heard_at)
        for link in self._links.links:
            quiet_s = QUIET_NEAR_S if self._is_near(link) else QUIET_FAR_S
            if 0 < link.heard_at < now - quiet_s * intervals:
                for endpoint in directory.find_host(link.address[0]):
                    self._placement.note_down(endpoint, now)
        has_others = bool(directory.find_hosts() - {self._settings.link.host})
        isolated = has_others and now - heard_at > ISOLATED_S * intervals
        if isolated != self._is_isolated:
            self._is_isolated = isolated
            code = EventCode.NODE_ISOLATED if isolated else EventCode.NODE_REJOINED
            fields = {"silent_s": round(now - heard_at, 2)}
            self._emit(Event(code, fields))

    async def _run_links(self) -> None:
        while True:
            await asyncio.sleep(RECONNECT_S)
            self._links.check(monotonic())
            self.keep_links()
            self._elect()
            self._catch_up(monotonic())

    def keep_links(self) -> None:
        """Open the links to listed nodes that are not open."""
        settings = self._settings
        port = settings.link.port
        deadline = monotonic() + CONNECT_TIMEOUT_S
        for host in self._directory.find_hosts():
            if host == settings.link.host or host in self._opening:
                continue
            if monotonic() < self._retry_at.get(host, 0.0):
                continue
            link = self._links.find(host, port)
            if link is not None and not link.leaving:
                continue
            task = asyncio.create_task(self._connect(host, port, deadline))
            self._opening[host] = task
            task.add_done_callback(lambda _, host=host: self._opening.pop(host, None))

    async def _connect(self, host: str, port: int, deadline: float) -> None:
        try:
            await self._links.connect(host, port, deadline)
        except AttemptError:
            # The pool knows that the node cannot be reached. One that restarts
            # refuses connections for about a second.
            now = monotonic()
            wait_s = min(MAX_RECONNECT_S, 2 * self._waits.get(host, RECONNECT_S / 2))
            self._waits[host] = wait_s
            self._retry_at[host] = now + wait_s
        else:
            self._waits.pop(host, None)
            self._retry_at.pop(host, None)

    @property
    def _has_state(self) -> bool:
        return self._directory.revision > 0 and not self._directory.is_away

    def _make_status(self) -> StatusNotice:
        directory = self._directory
        return StatusNotice(
            self._settings.instance,
            directory.revision,
            not self._has_state,
            self._runner.pending,
            self._runner.admission.limit,
            self.leaving,
            self._feed.is_up and not self.leaving,
            self._settings.link_mbps,
            {
                name: (
                    round(demand.requests_per_s * DEMAND_SCALE),
                    round(demand.retries_per_s * DEMAND_SCALE),
                )
                for name, demand in self._budget.find_demand(monotonic()).items()
            },
        )

    def _receive(self, link: Link, payload: bytes) -> None:
        try:
            notice = decode_notice(payload)
        except NoticeFormatError as exc:
            fields = {"peer": link.address[0], "reason": str(exc)}
            self._emit(Event(EventCode.PEER_MESSAGE_DROPPED, fields))
            return
        match notice:
            case StatusNotice():
                self._take_status(link, notice)
            case FetchNotice():
                state = self._directory.export(notice.version)
                link.send_notice(encode_notice(state))
            case StateNotice():
                self._take_state(link, notice)
            case ChangeNotice():
                self._take_changes(link, notice)
            case CrashNotice():
                self._take_crash(notice)

    def _take_status(self, link: Link, notice: StatusNotice) -> None:
        now = monotonic()
        host = link.address[0]
        self._retry_at.pop(host, None)
        for endpoint in self._directory.find_host(host):
            load = LoadReport(notice.pending, notice.limit)
            self._placement.note_load(endpoint, load, now)
        demand = {
            name: ServiceDemand(requests / DEMAND_SCALE, retries / DEMAND_SCALE)
            for name, (requests, retries) in notice.demand.items()
        }
        self._budget.note_peer(notice.instance, demand, now)
        if self._is_near(link):
            report = ReaderReport(notice.link_mbps, notice.reads, notice.leaving)
            self._election.note(notice.instance, report, now)
        own = self._directory.revision
        if notice.needs_state and notice.revision < own:
            # It asks for the state once it knows that there is a newer one.
            link.send_notice(encode_notice(self._make_status()))
        elif notice.revision > own:
            self._note_behind(link, notice.revision, now)

    def _note_behind(self, link: Link, revision: int, now: float) -> None:
        """Learn that another node knows more."""
        if self._directory.revision >= self._seen_revision:
            # This node had caught up with what was seen before.
            self._behind_since = now
        self._seen_revision = max(self._seen_revision, revision)
        self._ahead = link
        if not self._has_state:
            self._fetch(link)

    def _catch_up(self, now: float) -> None:
        """Ask the node that knows more, if no reader has told it in time."""
        if self._ahead is None or self._directory.revision >= self._seen_revision:
            return
        if now - self._behind_since >= BEHIND_S and not self._ahead.closed:
            self._fetch(self._ahead)

    def _fetch(self, link: Link) -> None:
        """Ask another node for the state, unless one was asked a moment ago."""
        now = monotonic()
        if now - self._fetched_at >= FETCH_INTERVAL_S:
            self._fetched_at = now
            document = self._directory.document
            version = 0 if document is None else document.version
            link.send_notice(encode_notice(FetchNotice(version)))

    def _take_state(self, link: Link, notice: StateNotice) -> None:
        now = monotonic()
        was_away = self._directory.is_away
        if not self._directory.adopt(notice, now):
            return
        fields = {"peer": link.address[0], "revision": notice.state.revision}
        self._emit(Event(EventCode.REPAIR_FETCH, fields))
        self._on_change()
        if not was_away:
            # The own watch should have delivered this.
            self._feed.restart_call()
