"""Takes requests from callers, and from the own worker, to a worker."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from time import monotonic

from multidict import istr

from mangowell_core.events import Event, EventCode
from mangowell_core.mesh import (
    CrashLedger,
    Directory,
    Endpoint,
    MeshDocument,
    MeshRoute,
    MeshSettings,
    Placement,
    RetryBudget,
    RouteTable,
)
from mangowell_core.mesh.placement import LoadReport
from mangowell_core.mesh.routes import PartChooser
from mangowell_core.policy.outcome import Stage, refuse
from mangowell_core.policy.types import Cause, Outcome, Refusal
from mangowell_node.exchange import (
    Answer,
    AttemptError,
    MessageFormatError,
    RequestHead,
    find_fingerprint,
    join_headers,
)
from mangowell_node.ingress import IncomingCall, Reply
from mangowell_node.link import Contact, LinkPool
from mangowell_node.mesh.runner import WorkerRunner
from mangowell_node.platform import (
    PlatformDialect,
    read_caller_fields,
    write_refusal_fields,
)

_HOST = istr("Host")
_CONNECTION = istr("Connection")
_LENGTH = istr("Content-Length")

# Time limit of a request whose caller and route state none, seconds.
DEFAULT_TIMEOUT_S = 10.0
# Callers are told to return within this range around the predicted time, so
# that those refused together do not come back together.
RETRY_SPREAD = (0.8, 1.6)
# Retry-After if no worker is known, seconds.
NO_WORKER_RETRY_S = 0.5
# The rest of the time limit that makes another attempt worth its while, as a
# share of the mean work.
MIN_WORK_SHARE = 0.6
# A worker puts the id of the request that it runs before the id of each call
# that it makes for it.
CALL_SEPARATOR = "."
# Time that a request waits for the first document, seconds.
DOCUMENT_WAIT_S = 0.25
# Time that a request waits for a link to open, seconds; the opening goes on
# for others. Links are kept open, so this is met behind a cut or a restart.
CONNECT_WAIT_S = 0.3
# Time by which an answer made here comes before the time limit, seconds.
EXPIRY_MARGIN_S = 0.003
_REASONS = {
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
_DOUBTS = {
    Contact.OPEN: False,
    Contact.DOUBTFUL: True,
    # The request waits a moment for the first link.
    Contact.UNKNOWN: False,
    Contact.LOST: None,
}
# Failures that say that the node beside the worker cannot be reached.
_UNREACHABLE = frozenset({Cause.CONNECT_FAILED, Cause.CONNECTION_SILENT})
# Failures of the worker itself; one that has crashed refuses the next connection.
_FAILED = frozenset({Cause.BAD_ANSWER, Cause.DEADLINE, Cause.CONNECTION_LOST})


class _Task:
    """State of one request over its attempts."""

    __slots__ = (
        "answer",
        "attempts",
        "call",
        "deadline",
        "error",
        "excluded",
        "has_cleared",
        "head",
        "may_have_run",
        "route",
        "service",
    )

    def __init__(self, call: IncomingCall, route: MeshRoute, service: str):
        self.call = call
        self.route = route
        self.service = service
        self.head: RequestHead | None = None
        self.deadline = 0.0
        self.excluded: set[str] = set()
        # Attempts that may have reached a worker.
        self.attempts = 0
        self.has_cleared = False
        self.may_have_run = False
        self.answer: Answer | None = None
        self.error: AttemptError | None = None


class Gateway:
    """Request path from the caller's connection to the answer.

    The service is chosen here and nowhere else: a second choice by a node with
    another version of the document could break the rule of both.

    Parameters
    ----------
    settings : MeshSettings
    directory : Directory
    runner : WorkerRunner
    links : LinkPool
    ledger : CrashLedger
    emit : callable
        Takes an `Event`.
    observe : callable
        Takes route, service, outcome and seconds of each request.
    rng : random.Random
    """

    def __init__(
        self,
        settings: MeshSettings,
        directory: Directory,
        runner: WorkerRunner,
        links: LinkPool,
        ledger: CrashLedger,
        emit: Callable[[Event], None],
        observe: Callable[[str, str, str, float], None],
        rng: random.Random,
    ):
        self._settings = settings
        self._directory = directory
        self._runner = runner
        self._links = links
        self._ledger = ledger
        self._emit = emit
        self._observe = observe
        self._rng = rng
        self._document: MeshDocument | None = None
        self._table: RouteTable | None = None
        self._has_document = asyncio.Event()
        self._parts = PartChooser()
        self.placement = Placement(settings.worker.host, settings.failure_domain, rng)
        self.budget = RetryBudget(
            settings.retry_ratio, settings.retry_floor, settings.retry_window_s, rng
        )
        self.in_flight = 0

    def reload(self, settings: MeshSettings) -> None:
        """Take changed settings."""
        self._settings = settings

    def sync(self) -> None:
        """Take a change of the directory."""
        directory = self._directory
        document = directory.document
        if document is not None and document is not self._document:
            self._document = document
            self._table = RouteTable(document)
            self._has_document.set()
            self._parts.keep({route.name for route in document.routes})
        now = monotonic()
        self.placement.sync(directory.find_all(), now)
        self.budget.set_nodes(len(directory.find_hosts()))

    async def serve(self, call: IncomingCall) -> Reply:
        """Answer one request."""
        self.in_flight += 1
        try:
            return await self._serve(call)
        finally:
            self.in_flight -= 1

    async def _serve(self, call: IncomingCall) -> Reply:
        fields = read_caller_fields(call.headers)
        request = fields.request
        if self._table is None:
            await self._wait_for_document()
        if self._table is None:
            refusal = refuse(Cause.NOT_READY, "no document yet", retry_after_s=0.5)
            return self._refuse(request, None, refusal, call.arrived)
        path = call.target.partition("?")[0]
        route = self._table.match(call.headers.get(_HOST, ""), path)
        if route is None:
            refusal = refuse(Cause.NO_ROUTE, "no route matches")
            return self._refuse(request, None, refusal, call.arrived)
        timeout_s = route.timeout_s or DEFAULT_TIMEOUT_S
        if fields.remaining_ms is not None:
            timeout_s = min(timeout_s, fields.remaining_ms / 1000)
        task = _Task(call, route, self._parts.choose(route))
        task.deadline = call.arrived + timeout_s
        refusal = await self._read(task, request)
        if refusal is not None:
            return self._refuse(request, task, refusal, call.arrived)
        if self._is_poisonous(task, monotonic()):
            reason = "the same request has crashed workers"
            refusal = refuse(Cause.QUARANTINED, reason)
            return self._refuse(request, task, refusal, call.arrived)
        if not task.head.is_call:
            self.budget.count_request(task.service, monotonic())
        try:
            async with asyncio.timeout(task.deadline - monotonic() - EXPIRY_MARGIN_S):
                await self._run(task)
        except TimeoutError:
            stage = Stage.SENT if task.attempts else Stage.UNSENT
            reason = "time limit of the route or the caller reached"
            task.answer = None
            task.error = AttemptError.at(Cause.DEADLINE, stage, reason)
        return self._reply(task, request)

    async def _wait_for_document(self) -> None:
        """Wait a moment after the start, as the store answers in milliseconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DOCUMENT_WAIT_S):
                await self._has_document.wait()

    async def _read(self, task: _Task, request: str) -> Refusal | None:
        """Read the body and prepare the head that goes to the worker."""
        call = task.call
        limits = self._directory.document.limits
        route = task.route
        try:
            block = join_headers(
                call.raw_headers,
                PlatformDialect.dropped,
                call.headers.get(_CONNECTION),
            )
            body = await self._read_body(task, limits.max_body_bytes)
        except (MessageFormatError, AttemptError) as exc:
            # Malformed, or cut off by the caller.
            return Refusal(Outcome.NOT_RUN, Cause.NO_ROUTE, 400, 0.0, str(exc))
        except TimeoutError:
            return refuse(Cause.DEADLINE, "request body arrives too slowly")
        if body is None:
            reason = f"body of more than {limits.max_body_bytes} bytes"
            return Refusal(Outcome.NOT_RUN, Cause.NO_ROUTE, 413, 0.0, reason)
        is_call = self._runner.is_running(request.partition(CALL_SEPARATOR)[0])
        objective_s = route.objective_s
        task.head = RequestHead(
            request,
            task.service,
            call.method,
            call.target,
            block,
            "",
            "",
            route.priority,
            False,
            0.0,
            route.idempotent,
            body=body,
            caller_service=self._settings.service,
            route=route.name,
            objective_s=objective_s,
            is_call=is_call,
        )
        return None

    async def _read_body(self, task: _Task, limit: int) -> bytes | None:
        call = task.call
        if call.has_arrived:
            body = call.take_body()
            return body if len(body) <= limit else None
        if int(call.headers.get(_LENGTH, 0)) > limit:
            return None
        async with asyncio.timeout(task.deadline - monotonic()):
            body = await call.read_body()
            if type(body) is bytes:
                return body if len(body) <= limit else None
            chunks = []
            size = 0
            while chunk := await body.read():
                chunks.append(chunk)
                size += len(chunk)
                if size > limit:
                    return None
            return b"".join(chunks)

    # Attempts

    async def _run(self, task: _Task) -> None:
        """Make attempts until there is an answer or no use in another one."""
        route = task.route
        while True:
            now = monotonic()
            endpoint = self.placement.choose(
                self._directory.find_service(task.service),
                route.name,
                route.objective_s,
                task.excluded,
                now,
                self._is_doubted,
            )
            if endpoint is None and self._may_return(task):
                # The only worker may have lost a connection and nothing else.
                task.excluded.clear()
                continue
            if endpoint is None:
                if task.error is None and task.answer is None:
                    task.error = AttemptError(
                        refuse(
                            Cause.NO_INSTANCE,
                            f"no worker of {task.service} can be reached",
                            retry_after_s=NO_WORKER_RETRY_S,
                        )
                    )
                return
            if task.may_have_run or task.attempts:
                if not self._may_repeat(task, now):
                    return
                self._emit(
                    Event(
                        EventCode.CALL_RETRIED,
                        {
                            "request": task.head.request,
                            "backend": endpoint.id,
                            "reason": _describe(task),
                            "attempt": task.attempts + 1,
                        },
                    )
                )
            task.excluded.add(endpoint.id)
            if await self._attempt(task, endpoint):
                return

    def _is_doubted(self, host: str) -> bool | None:
        """See `Placement.choose`."""
        if host == self._settings.worker.host:
            return False
        return _DOUBTS[self._links.find_contact(host, self._settings.link.port)]

    def _may_return(self, task: _Task) -> bool:
        """Tell whether the workers that were tried may be tried once more."""
        if task.has_cleared or not task.may_have_run:
            return False
        task.has_cleared = True
        return task.route.idempotent and task.error is not None

    def _may_repeat(self, task: _Task, now: float) -> bool:
        """Tell whether a request that reached a worker may go to another."""
        if task.may_have_run and not task.route.idempotent:
            return False
        if task.attempts >= max(1, task.route.max_attempts):
            return False
        work = self.placement.find_work(task.route.name, task.service)
        if task.deadline - now < work * MIN_WORK_SHARE:
            return False
        if self._is_poisonous(task, now):
            return False
        return self.budget.spend(task.service, now, task.head.is_call)

    def _is_poisonous(self, task: _Task, now: float) -> bool:
        """Tell whether the request has crashed the workers that ran it."""
        ledger = self._ledger
        return bool(ledger) and ledger.is_refused(find_fingerprint(task.head), now)

    async def _attempt(self, task: _Task, endpoint: Endpoint) -> bool:
        """Make one attempt; tell whether its result is final."""
        placement = self.placement
        head = task.head
        head.instance = endpoint.id
        now = monotonic()
        placement.start(endpoint, now)
        # Until it ends otherwise, the request may be at the worker.
        task.attempts += 1
        ran_before, task.may_have_run = task.may_have_run, True
        try:
            answer = await self._send(task, endpoint)
        except AttemptError as exc:
            self._learn_error(endpoint, exc)
            is_unsent = exc.refusal.outcome is Outcome.NOT_RUN
            if is_unsent:
                task.attempts -= 1
                task.may_have_run = ran_before
            if not (is_unsent and task.error is not None and task.may_have_run):
                task.error = _prefer(task.error, exc)
            return False
        finally:
            placement.finish(endpoint)
        now = monotonic()
        if answer.head.pending >= 0:
            load = LoadReport(answer.head.pending, endpoint.slots)
            placement.note_load(endpoint, load, now)
        if answer.head.is_not_run:
            placement.note_failure(endpoint, now)
            task.may_have_run = ran_before
            task.answer = answer
            return False
        task.answer = answer
        if answer.head.status >= 500:
            placement.note_failure(endpoint, now)
            # At its time limit a worker has no time left for another one.
            return answer.head.status == 504
        placement.note_answer(endpoint, task.route.name, answer.head.work_s, now)
        return True

    async def _send(self, task: _Task, endpoint: Endpoint) -> Answer:
        if endpoint.host == self._settings.worker.host:
            return await self._runner.run(task.head, None, task.deadline)
        port = self._settings.link.port
        deadline = min(task.deadline, monotonic() + CONNECT_WAIT_S)
        await self._links.connect(endpoint.host, port, deadline)
        return await self._links.call(
            endpoint.host, port, task.head, None, task.deadline
        )

    def _learn_error(self, endpoint: Endpoint, exc: AttemptError) -> None:
        now = monotonic()
        cause = exc.refusal.cause
        if cause in _UNREACHABLE:
            self.placement.note_down(endpoint, now)
        elif cause is Cause.OVERLOADED:
            load = LoadReport(int(exc.backend_load), endpoint.slots)
            self.placement.note_load(endpoint, load, now)
        elif cause in _FAILED:
            self.placement.note_failure(endpoint, now)

    # Replies

    def _reply(self, task: _Task, request: str) -> Reply:
        answer = task.answer
        if answer is not None and answer.head.is_not_run and task.may_have_run:
            # The worker speaks for itself, not for another that was tried.
            answer = None
        if answer is None:
            refusal = _find_refusal(task)
            return self._refuse(request, task, refusal, task.call.arrived)
        head = answer.head
        outcome = "failed" if head.status >= 500 else "done"
        seconds = monotonic() - task.call.arrived
        self._observe(task.route.name, task.service, outcome, seconds)
        if seconds > task.route.objective_s and not task.head.is_call:
            self._report_late(task, seconds)
        return Reply(
            head.status,
            head.reason,
            head.headers,
            head.body,
            answer.stream,
            head.length,
        )

    def _report_late(self, task: _Task, seconds: float) -> None:
        fields = {
            "request": task.head.request,
            "route": task.route.name,
            "service": task.service,
            "backend": task.head.instance,
            "attempts": task.attempts,
            "total_ms": round(seconds * 1000),
            "work_ms": round(task.answer.head.work_s * 1000),
            "objective_ms": round(task.route.objective_s * 1000),
            "status": task.answer.head.status,
            "version": self._directory.document.version,
        }
        self._emit(Event(EventCode.CALL_LATE, fields))

    def _refuse(
        self, request: str, task: _Task | None, refusal: Refusal, started: float
    ) -> Reply:
        retry_after_s = 0.0
        if refusal.status == 503 and refusal.retry_after_s:
            retry_after_s = refusal.retry_after_s * self._rng.uniform(*RETRY_SPREAD)
        fields = {
            "request": request,
            "cause": refusal.cause.value,
            "reason": refusal.reason,
            "status": refusal.status,
            "retry_after_s": round(retry_after_s, 3),
            "held_ms": round((monotonic() - started) * 1000),
        }
        route = service = ""
        if task is not None:
            route, service = task.route.name, task.service
            fields |= {
                "route": route,
                "service": service,
                "call": task.head is not None and task.head.is_call,
                "attempts": task.attempts,
                "tried": ",".join(sorted(task.excluded)),
                "version": self._directory.document.version,
            }
        code = EventCode.CALL_UNKNOWN
        if refusal.outcome is Outcome.NOT_RUN:
            code = EventCode.CALL_REFUSED
        self._emit(Event(code, fields))
        self._observe(route, service, refusal.cause.value, monotonic() - started)
        return Reply(
            refusal.status,
            _REASONS.get(refusal.status, "Error"),
            write_refusal_fields(request, retry_after_s),
            refusal.reason.encode() + b"\n",
        )


def _find_refusal(task: _Task) -> Refusal:
    """Return what the caller is told without an answer of a worker."""
    if task.error is None:
        return refuse(Cause.CONNECTION_LOST, "outcome unknown", stage=Stage.SENT)
    refusal = task.error.refusal
    if task.may_have_run and refusal.outcome is Outcome.NOT_RUN:
        # An earlier attempt may have run, so no promise can be made.
        return refuse(Cause.CONNECTION_LOST, refusal.reason, stage=Stage.SENT)
    return refusal


def _prefer(known: AttemptError | None, new: AttemptError) -> AttemptError:
    """Return the error that tells the caller more."""
    if known is None:
        return new
    if new.refusal.outcome is not Outcome.NOT_RUN:
        return new
    if known.refusal.outcome is not Outcome.NOT_RUN:
        return known
    # Of two refusals, the one that lets the caller return sooner.
    if new.refusal.retry_after_s < known.refusal.retry_after_s:
        return new
    return known


def _describe(task: _Task) -> str:
    if task.error is not None:
        return task.error.refusal.cause.value
    if task.answer is not None:
        return f"status {task.answer.head.status}"
    return ""
