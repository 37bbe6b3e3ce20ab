"""Lifecycle of a call: match a route, select an instance, send, retry, reply."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from time import monotonic
from urllib.parse import parse_qs

from multidict import istr

from mangowell_core.distribution.io import Peer
from mangowell_core.events import Event, EventCode
from mangowell_core.messages import (
    CrashReport,
    FenceQuery,
    FenceReply,
    Leaving,
    Message,
)
from mangowell_core.model import Instance, InstanceState, Snapshot
from mangowell_core.policy import RequestPolicy, with_fingerprint
from mangowell_core.policy.outcome import Stage, refuse, withdraw_promise
from mangowell_core.policy.types import (
    AttemptResult,
    Cause,
    Choice,
    Outcome,
    Plan,
    Refusal,
)
from mangowell_core.settings import NodeSettings
from mangowell_node.backend import BackendPool, HealthPoller
from mangowell_node.egress import KEYS_TARGET, Egress, SendControl, discard_answer
from mangowell_node.exchange import (
    DROPPED_REQUEST_HEADERS,
    Answer,
    AttemptError,
    Body,
    MessageFormatError,
    RequestHead,
    compute_fingerprint,
    join_headers,
)
from mangowell_node.ingress import CallerBody, IncomingCall, IngressServer, Reply
from mangowell_node.limited_events import LimitedEvents
from mangowell_node.link import LinkPool, LinkServer, derive_link_key
from mangowell_node.reach import AddressFilter
from mangowell_node.replies import HEADER_DONE, ReplyMaker
from mangowell_node.telemetry import Telemetry

HOUSEKEEPING_INTERVAL_S = 0.1
# Callers on open connections get the address of another node during this time.
DRAIN_LINGER_S = 0.5
# Below the limit of open control sockets of a node. At nodes that get no notice, the
# mark of a leaving instance expires by itself.
MAX_RETURN_NOTICES = 64
INTERNAL_PREFIX = "/.mangowell/"

# Failures after which the policy checks whether the request causes crashes.
_CRASH_CAUSES = frozenset({Cause.BACKEND_CRASHED, Cause.SUSPECTED})
_CONNECTION = istr("Connection")
_DEADLINE = istr("Mangowell-Deadline-Ms")
_REQUEST = istr("Mangowell-Request")
_TENANT = istr("Mangowell-Tenant")
_KEY = istr("Idempotency-Key")


class _MonitoredBody:
    """Answer body that reports the end of its attempt.

    Parameters
    ----------
    body : Body
    on_end : callable
        Called once, with None after the last chunk or with the error that cut
        the body off.
    """

    __slots__ = ("_body", "_on_end", "length")

    def __init__(
        self, body: Body, on_end: Callable[[AttemptError | None], None]
    ) -> None:
        self._body = body
        self._on_end = on_end
        self.length = body.length

    async def read(self) -> bytes:
        """Return the next chunk, or ``b""`` at the end."""
        try:
            chunk = await self._body.read()
        except AttemptError as exc:
            self._report_end(exc)
            raise
        if not chunk:
            self._report_end(None)
        return chunk

    def close(self) -> None:
        """Cancel what produces the body."""
        self._body.close()
        self._report_end(AttemptError(refuse(Cause.CANCELLED, "cancelled")))

    def _report_end(self, error: AttemptError | None) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(error)


class CallPath:
    """Forwards calls from callers and other nodes to backend servers.

    Parameters
    ----------
    settings : NodeSettings
    policy : RequestPolicy
    telemetry : Telemetry
    reach : AddressFilter
        Decides which addresses this node may contact.
    send_control : callable
        Sends a control message; takes an `Instance` and a `Message`.
    """

    def __init__(
        self,
        settings: NodeSettings,
        policy: RequestPolicy,
        telemetry: Telemetry,
        reach: AddressFilter,
        send_control: SendControl,
    ) -> None:
        self._settings = settings
        self._policy = policy
        self._telemetry = telemetry
        self._reach = reach
        self._send_control = send_control
        self._instances: dict[str, Instance] = {}
        self._limited_events = LimitedEvents(telemetry)
        self._replies = ReplyMaker(policy, telemetry, self._limited_events)
        self._snapshot: Snapshot | None = None
        self._pause_reason = ""
        self._has_announced_return = False
        self._report_pause: Callable[[], None] = _no_pause_report
        self._draining = False
        # End of the planned stop in monotonic seconds; infinite before it begins.
        self._stop_deadline = float("inf")
        self._stopped = asyncio.Event()
        self._active_calls = 0
        self._request_count = 0
        # The start time keeps request ids distinct across restarts of the process.
        self._request_prefix = f"{settings.instance}-{time.time_ns() // 1_000_000:x}-"
        self._ingress: IngressServer | None = None
        self._egress: Egress | None = None
        self._links: LinkPool | None = None
        self._link_server: LinkServer | None = None
        self._pool: BackendPool | None = None
        self._poller: HealthPoller | None = None
        self._housekeeping_task: asyncio.Task | None = None

    @classmethod
    def from_settings(
        cls,
        settings: NodeSettings,
        policy: RequestPolicy,
        telemetry: Telemetry,
        reach: AddressFilter,
        send_control: SendControl,
    ) -> "CallPath":
        """Build the request path of one node.

        Parameters
        ----------
        settings : NodeSettings
        policy : RequestPolicy
        telemetry : Telemetry
        reach : AddressFilter
            Decides which addresses this node may contact.
        send_control : callable
            Sends a control message; takes an `Instance` and a `Message`.
        """
        return cls(settings, policy, telemetry, reach, send_control)

    async def start(self) -> None:
        """Open the sockets and start the background tasks of the request path."""
        settings = self._settings
        emit = self._telemetry.emit
        self._pool = BackendPool(
            settings.backend_host, settings.backend_port, self._reach
        )
        self._egress = Egress(
            settings.instance,
            settings.service,
            self._policy,
            self._pool,
            emit,
            self._send_control,
        )
        self._apply_service()
        self._poller = poller = HealthPoller(self._pool, self._on_health)
        self._egress.has_open_connection = lambda: poller.has_open_connection
        key = derive_link_key(settings.security.curve_secret)
        self._links = LinkPool(settings.instance, key, self._reach, emit)
        self._link_server = LinkServer(key, self._run_remote, self._policy.load, emit)
        self._ingress = IngressServer(self.serve)
        await self._link_server.start(settings.host, settings.link_port)
        await self._ingress.start(settings.host, settings.call_port)
        self._poller.start()
        self._housekeeping_task = asyncio.create_task(self._run_housekeeping())

    async def stop(self, deadline: float) -> None:
        """Stop; calls in flight may finish until `deadline`.

        A second graceful stop waits for the end of the first one.

        Parameters
        ----------
        deadline : float
            Monotonic seconds. A time in the past stops at once, without a drain,
            as a crash would.
        """
        if self._ingress is None:
            return
        now = monotonic()
        graceful = deadline > now
        if graceful and self._draining:
            # Closing now would cut the requests that the first stop waits for.
            await self._stopped.wait()
            return
        if graceful:
            self._stop_deadline = deadline
            self._start_drain(now)
            linger_end = min(deadline, now + DRAIN_LINGER_S)
            await self._wait_idle(linger_end, deadline)
            await self._link_server.stop(deadline)
            # Requests with keys keep running after the link they came on has closed.
            await self._wait_idle(now, deadline)
        if self._housekeeping_task is not None:
            self._housekeeping_task.cancel()
        await self._poller.stop()
        await self._ingress.stop(max(0.0, deadline - monotonic()))
        if not graceful:
            await self._link_server.stop(now)
        await self._egress.stop()
        self._links.close()
        self._pool.close()
        self._emit_policy_events()
        self._stopped.set()

    async def _wait_idle(self, earliest: float, deadline: float) -> None:
        """Wait until no call is in flight.

        Parameters
        ----------
        earliest, deadline : float
            Earliest and latest time of return, in monotonic seconds.
        """
        while (now := monotonic()) < deadline:
            if now >= earliest and not (self._active_calls or self._policy.in_flight()):
                return
            await asyncio.sleep(0.01)

    def _start_drain(self, now: float) -> None:
        self._draining = self._ingress.draining = True
        self._policy.start_drain(now)
        self._announce_leaving()

    def _announce_leaving(self) -> None:
        """Tell the service's other instances and linked nodes that this one leaves."""
        message = Leaving(self._settings.instance)
        names = self._link_server.peers | {i.name for i in self._egress.members}
        for name in names - {self._settings.instance}:
            instance = self._instances.get(name)
            if instance is not None:
                self._send_control(instance, message)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Start using a new snapshot."""
        self._policy.apply(snapshot, monotonic())
        self._snapshot = snapshot
        self._instances = {
            instance.name: instance
            for members in snapshot.instances.values()
            for instance in members
        }
        others = [
            instance
            for instance in self._instances.values()
            if instance.name != self._settings.instance
            and instance.state is InstanceState.LIVE
        ]
        local_domain = self._settings.failure_domain
        same_domain = [
            instance for instance in others if instance.failure_domain == local_domain
        ]
        self._replies.alternates = tuple(same_domain or others)
        self._apply_service()

    def _apply_service(self) -> None:
        if self._snapshot is None or self._egress is None:
            return
        name = self._settings.service
        service = self._snapshot.document.services.get(name)
        if service is not None:
            self._pool.limit = service.connections
        self._egress.members = self._snapshot.instances.get(name, ())

    def handle_control_message(self, sender: Peer, message: Message) -> None:
        """Handle a control message about requests.

        Parameters
        ----------
        sender : Peer
        message : Message
            Messages of other kinds are ignored.
        """
        now = monotonic()
        match message:
            case CrashReport():
                self._policy.handle_crash_report(message, now)
            case Leaving(instance, True):
                self._policy.handle_peer_returned(instance)
            case Leaving(instance):
                self._policy.handle_peer_leaving(instance, now)
            case FenceQuery():
                reply = self._policy.handle_fence_query(message, now, sender.instance)
                requester = self._instances.get(sender.instance)
                if requester is not None:
                    self._send_control(requester, reply)
            case FenceReply():
                if self._egress is not None:
                    self._egress.on_fence_reply(sender.instance, message)

    def pause_calls(self, reason: str) -> None:
        """Refuse calls until `resume_calls`.

        Parameters
        ----------
        reason : str
            Text of the refusals; must not be empty.
        """
        self._pause_reason = reason

    def resume_calls(self) -> None:
        """Accept calls; the first time, also announce that this instance is back."""
        self._pause_reason = ""
        if not self._has_announced_return:
            self._has_announced_return = True
            self._announce_return()

    def _announce_return(self) -> None:
        """Tell other nodes that this instance is no longer leaving.

        They may still have marked it as leaving because of an earlier process of
        the same name. Instances of the service are notified first, then those of
        the failure domain.
        """
        settings = self._settings
        members = {i.name: i for i in self._egress.members} if self._egress else {}
        same_domain = {
            instance.name: instance
            for instance in self._instances.values()
            if instance.failure_domain == settings.failure_domain
        }
        message = Leaving(settings.instance, is_back=True)
        for name, instance in list((members | same_domain).items())[
            :MAX_RETURN_NOTICES
        ]:
            if name != settings.instance:
                self._send_control(instance, message)

    def set_pause_reporter(self, report_pause: Callable[[], None]) -> None:
        """Set the function that reports a pause of the process before each call.

        After a pause the event loop may accept calls before it runs the timer
        that detects the pause, so `report_pause` may call `pause_calls` itself.
        """
        self._report_pause = report_pause

    def _run_remote(
        self, head: RequestHead, body: Body | None, deadline: float
    ) -> Awaitable[Answer]:
        """Run a request from another node on the local backend server."""
        if deadline > self._stop_deadline:
            # The end of the stop could cut the request; another node has the time.
            reason = "node stops before the deadline"
            raise AttemptError.at(Cause.LEAVING, Stage.UNSENT, reason)
        self._report_pause()
        if self._pause_reason:
            raise AttemptError.at(Cause.NOT_READY, Stage.UNSENT, self._pause_reason)
        return self._egress.run(head, body, deadline)

    # Housekeeping

    async def _run_housekeeping(self) -> None:
        while True:
            self._links.check(monotonic())
            self._limited_events.start_interval()
            self._emit_policy_events()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)

    def _emit_policy_events(self) -> None:
        for event in self._policy.events():
            self._telemetry.emit(event)

    def _on_health(self, status: str, load: float) -> None:
        egress = self._egress
        instance = self._settings.instance
        now = monotonic()
        if status != egress.health:
            previous, egress.health = egress.health, status
            fields = {"backend": instance, "reason": status}
            if status == "leaving":
                self._telemetry.emit(Event(EventCode.BACKEND_LEAVING, fields))
                self._announce_leaving()
            elif status == "ok":
                self._telemetry.emit(Event(EventCode.BACKEND_UP, fields))
            elif previous == "ok":
                self._telemetry.emit(Event(EventCode.BACKEND_DOWN, fields))
        if status == "leaving":
            # Renewed at each poll, because the mark expires by itself.
            self._policy.handle_peer_leaving(instance, now)
        self._policy.record_backend_health(instance, status == "ok", load, now)

    # Calls

    async def serve(self, call: IncomingCall) -> Reply:
        """Answer a call; the ingress server cancels this if the caller disconnects."""
        self._active_calls += 1
        started = monotonic()
        self._request_count += 1
        request = f"{self._request_prefix}{self._request_count}"
        try:
            return await self._serve(call, request, started)
        finally:
            self._active_calls -= 1

    async def _serve(self, call: IncomingCall, request: str, now: float) -> Reply:
        is_inner = call.headers.get(_REQUEST) in self._egress.running
        if self._draining and not is_inner:
            refusal = refuse(Cause.LEAVING, "node is stopping")
            return self._replies.refuse(request, None, refusal, now)
        self._report_pause()
        if self._pause_reason:
            refusal = refuse(Cause.NOT_READY, self._pause_reason)
            return self._replies.refuse(request, None, refusal, now)
        headers = call.headers
        if call.method == "CONNECT" or not call.target.startswith("/"):
            refusal = Refusal(
                Outcome.NOT_RUN,
                Cause.NO_ROUTE,
                400,
                0.0,
                "no path in the request target",
            )
            return self._replies.refuse(request, None, refusal, now)
        path, _, query = call.target.partition("?")
        if path.startswith(INTERNAL_PREFIX):
            return await self._serve_internal(call, request, path, query, now)
        try:
            remaining_ms = _parse_remaining_ms(headers.get(_DEADLINE))
            block = join_headers(
                call.raw_headers, DROPPED_REQUEST_HEADERS, headers.get(_CONNECTION)
            )
        except (ValueError, MessageFormatError) as exc:
            refusal = Refusal(Outcome.NOT_RUN, Cause.NO_ROUTE, 400, 0.0, str(exc))
            return self._replies.refuse(request, None, refusal, now)
        plan = self._policy.match_route(
            request,
            call.method,
            path,
            headers.get(_TENANT, ""),
            remaining_ms,
            headers.get(_KEY, ""),
            now,
        )
        if type(plan) is Refusal:
            return self._replies.refuse(request, None, plan, now)
        if call.is_body_complete:
            body = call.get_complete_body()
        else:
            try:
                async with asyncio.timeout(plan.deadline - now):
                    body = await call.read_body()
            except TimeoutError:
                refusal = refuse(Cause.DEADLINE, "request body arrives too slowly")
                return self._replies.refuse(request, plan, refusal, now)
            except MessageFormatError as exc:
                refusal = Refusal(Outcome.NOT_RUN, Cause.NO_ROUTE, 400, 0.0, str(exc))
                return self._replies.refuse(request, plan, refusal, now)
        head = RequestHead(
            request,
            plan.service.name,
            call.method,
            call.target,
            block,
            plan.tenant,
            plan.traffic_class.name,
            plan.traffic_class.priority,
            plan.traffic_class.deferrable,
            0.0,
            plan.route.idempotent,
            plan.idempotency_key,
        )
        stream = None
        if type(body) is bytes:
            head.body = body
            # Only key ownership and the check of suspects need the fingerprint
            # now. After a crash it is computed when the crash is recorded.
            if plan.idempotency_key or self._policy.board.suspects:
                plan = self._add_fingerprint(plan, head)
                refusal = self._policy.check_quarantine(plan, now)
                if refusal is not None:
                    return self._replies.refuse(request, plan, refusal, now)
        else:
            stream = body
            head.streaming = True
            head.length = body.length
        return await self._run_attempts(plan, head, stream, now)

    def _add_fingerprint(self, plan: Plan, head: RequestHead) -> Plan:
        head.fingerprint = compute_fingerprint(head)
        return with_fingerprint(plan, head.fingerprint)

    async def _run_attempts(
        self, plan: Plan, head: RequestHead, body: CallerBody | None, started: float
    ) -> Reply:
        policy = self._policy
        excluded: set[str] = set()
        # Instances whose connection went silent. They are tried again, on a new
        # connection, when no other instance is left.
        silent_instances: set[str] = set()
        first_was_silent = False
        attempts = 0
        error: AttemptError | None = None
        answer: Answer | None = None
        has_run = False  # whether an attempt may have reached a backend server
        while True:
            now = monotonic()
            choice = policy.select_instance(plan, excluded, now)
            if type(choice) is Refusal and silent_instances and plan.route.idempotent:
                excluded -= silent_instances
                silent_instances.clear()
                choice = policy.select_instance(plan, excluded, now)
            if type(choice) is Refusal:
                if answer is not None:
                    return self._replies.answer(plan, answer, started, attempts)
                # The error of an earlier attempt says more than the lack of another
                # instance.
                refusal = choice if error is None else error.refusal
                if has_run:
                    refusal = withdraw_promise(refusal)
                return self._replies.refuse(
                    head.request, plan, refusal, started, attempts
                )
            attempts += 1
            hedge_at = policy.hedge_deadline(plan, now) if body is None else None
            try:
                if hedge_at is None:
                    answer = await self._run_attempt(plan, choice, head, body)
                else:
                    answer = await self._run_hedged(
                        plan, choice, head, excluded, hedge_at
                    )
            except AttemptError as exc:
                error = exc
                answer = None
                refusal = exc.refusal
                result = AttemptResult(
                    refusal.outcome,
                    refusal.cause,
                    refusal.status,
                    backend_load=exc.backend_load,
                )
            else:
                result = _make_result(answer)
                if result.cause is Cause.NONE or answer.stream is not None:
                    return self._replies.answer(plan, answer, started, attempts)
                error = None
            excluded.add(choice.instance.name)
            if result.cause is Cause.CONNECTION_SILENT:
                silent_instances.add(choice.instance.name)
                first_was_silent = first_was_silent or attempts == 1
            has_run = has_run or result.outcome is not Outcome.NOT_RUN
            is_retry_allowed = (
                plan.route.idempotent or result.outcome is Outcome.NOT_RUN
            )
            if body is not None and body.started:
                is_retry_allowed = False
            now = monotonic()
            if head.fingerprint and not plan.fingerprint:
                plan = with_fingerprint(plan, head.fingerprint)
            is_retry_allowed = (
                is_retry_allowed and policy.check_quarantine(plan, now) is None
            )
            is_retry_allowed = is_retry_allowed and policy.may_retry(
                plan, result, attempts, now, first_was_silent
            )
            if not is_retry_allowed:
                if error is None:
                    return self._replies.answer(plan, answer, started, attempts)
                refusal = withdraw_promise(error.refusal) if has_run else error.refusal
                return self._replies.refuse(
                    head.request, plan, refusal, started, attempts
                )
            self._limited_events.emit(
                EventCode.CALL_RETRIED,
                {
                    "request": head.request,
                    "backend": choice.instance.name,
                    "reason": result.cause.value,
                    "attempt": attempts,
                },
            )

    async def _run_attempt(
        self, plan: Plan, choice: Choice, head: RequestHead, body: Body | None
    ) -> Answer:
        started = monotonic()
        policy = self._policy
        policy.record_attempt_start(plan, choice, started)
        instance = choice.instance

        def record_end(error: AttemptError | None) -> None:
            now = monotonic()
            if error is None:
                result = _make_result(answer, now - started)
            else:
                refusal = error.refusal
                result = AttemptResult(
                    refusal.outcome,
                    refusal.cause,
                    refusal.status,
                    now - started,
                    False,
                    error.backend_load,
                )
            policy.record_attempt_end(plan, choice, result, now)

        try:
            if choice.is_local:
                answer = await self._egress.run(head, body, plan.deadline)
            else:
                answer = await self._links.call(
                    instance.host, instance.link_port, head, body, plan.deadline
                )
        except AttemptError as exc:
            if exc.refusal.cause in _CRASH_CAUSES and not head.streaming:
                plan = self._add_fingerprint(plan, head)
            record_end(exc)
            raise
        except BaseException:
            record_end(AttemptError(refuse(Cause.CANCELLED, "cancelled")))
            raise
        if answer.stream is None:
            record_end(None)
        else:
            answer.stream = _MonitoredBody(answer.stream, record_end)
        return answer

    async def _run_hedged(
        self,
        plan: Plan,
        choice: Choice,
        head: RequestHead,
        excluded: set[str],
        hedge_at: float,
    ) -> Answer:
        """Run an attempt, and a second one at another instance if the first is slow.

        The first answer that is not a server error is used, and the other attempt
        is cancelled.

        Parameters
        ----------
        excluded : set of str
            Names of instances that get no attempt; the second instance is added.
        hedge_at : float
            Earliest start of the second attempt, in monotonic seconds.
        """
        tasks = [asyncio.create_task(self._run_attempt(plan, choice, head, None))]
        winner: asyncio.Task | None = None
        try:
            await asyncio.wait(tasks, timeout=max(0, hedge_at - monotonic()))
            now = monotonic()
            if not tasks[0].done() and self._policy.may_hedge(plan, now):
                tried_instances = excluded | {choice.instance.name}
                second = self._policy.select_instance(plan, tried_instances, now)
                if type(second) is Choice:
                    excluded.add(second.instance.name)
                    attempt = self._run_attempt(plan, second, head, None)
                    tasks.append(asyncio.create_task(attempt))
            pending = set(tasks)
            while winner is None and pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    if task.exception() is None and task.result().head.status < 500:
                        winner = task
            winner = winner or max(tasks, key=_rank_failure)
            return winner.result()
        finally:
            for task in tasks:
                if task is not winner:
                    task.cancel()
                    task.add_done_callback(discard_answer)

    async def _serve_internal(
        self, call: IncomingCall, request: str, path: str, query: str, now: float
    ) -> Reply:
        """Issue a pinned key, owned by an instance that can run its request."""
        if path != KEYS_TARGET or call.method != "POST":
            refusal = Refusal(
                Outcome.NOT_RUN, Cause.NO_ROUTE, 404, 0.0, "no such internal path"
            )
            return self._replies.refuse(request, None, refusal, now)
        fields = parse_qs(query)
        target = fields.get("path", [""])[0]
        if not target:
            answer = self._egress.issue_pinned_key()
            return Reply(201, "Created", HEADER_DONE + answer.headers, answer.body)
        plan = self._policy.match_route(
            request, fields.get("method", ["POST"])[0], target, "", None, "", now
        )
        if type(plan) is Refusal:
            return self._replies.refuse(request, None, plan, now)
        head = RequestHead(
            request,
            plan.service.name,
            "POST",
            KEYS_TARGET,
            b"",
            "",
            plan.traffic_class.name,
            plan.traffic_class.priority,
            False,
            0.0,
            True,
        )
        return await self._run_attempts(plan, head, None, now)


def _no_pause_report() -> None:
    """Do nothing; used until `CallPath.set_pause_reporter` is called."""


def _make_result(answer: Answer, latency_s: float = 0.0) -> AttemptResult:
    head = answer.head
    if head.status >= 500:
        return AttemptResult(
            Outcome.FAILED,
            Cause.BACKEND_STATUS,
            head.status,
            latency_s,
            head.retried,
            head.backend_load,
        )
    return AttemptResult(
        Outcome.DONE, Cause.NONE, head.status, latency_s, False, head.backend_load
    )


def _rank_failure(task: asyncio.Task) -> int:
    """Return the rank of a failed attempt; the highest one decides the result.

    An answer ranks above an error, and an error after which the request may have
    run above one after which it has not.
    """
    error = task.exception()
    if error is None:
        return 2
    is_not_run = type(error) is AttemptError and (
        error.refusal.outcome is Outcome.NOT_RUN
    )
    return 0 if is_not_run else 1


def _parse_remaining_ms(value: str | None) -> int | None:
    if value is None:
        return None
    if not (value.isascii() and value.isdigit()) or len(value) > 9:
        raise ValueError(
            f"Mangowell-Deadline-Ms is not a number of milliseconds: {value!r}"
        )
    return int(value)
