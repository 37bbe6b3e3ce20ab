"""Egress side of a request: admission, idempotency keys and crash detection."""

import asyncio
from collections.abc import Awaitable, Callable
from time import monotonic

from mangowell_core.events import Event, EventCode
from mangowell_core.messages import CrashReport, FenceQuery, FenceReply, Message
from mangowell_core.model import Instance, TrafficClass
from mangowell_core.policy import RequestPolicy
from mangowell_core.policy.outcome import Stage, refuse
from mangowell_core.policy.types import (
    Admitted,
    AskFences,
    AttemptResult,
    Cause,
    Dispatch,
    Expired,
    Outcome,
    Refusal,
    ReplayKey,
    RunKey,
    StoredAnswer,
    Work,
)
from mangowell_node.backend import BackendConnection, BackendPool
from mangowell_node.exchange import (
    MAX_BUFFERED_BODY,
    Answer,
    AnswerHead,
    AttemptError,
    Body,
    RequestHead,
    compute_fingerprint,
)

KEYS_TARGET = "/.mangowell/keys"
# A crash closes all connections of the process within this time.
CRASH_WINDOW_S = 0.02
FENCE_TIMEOUT_S = 1.0

SendControl = Callable[[Instance, Message], object]


class _PrefixedBody:
    """Body whose first chunks have already been read."""

    __slots__ = ("_body", "_prefix", "length")

    def __init__(self, prefix: list[bytes], body: Body) -> None:
        self._prefix = prefix
        self._body = body
        self.length = body.length

    async def read(self) -> bytes:
        if self._prefix:
            return self._prefix.pop(0)
        return await self._body.read()

    def close(self) -> None:
        self._body.close()


class _KeyedRun:
    """State of a request with an idempotency key.

    Attributes
    ----------
    is_sent : bool
        Whether the request may have been written to the backend server.
    """

    __slots__ = ("is_sent",)

    def __init__(self) -> None:
        self.is_sent = False


class _Slot:
    """Slot at the backend server, released exactly once."""

    __slots__ = ("_egress", "_head", "_is_open", "_policy", "_started", "_ticket")

    def __init__(
        self, egress: "Egress", policy: RequestPolicy, ticket: int, head: RequestHead
    ) -> None:
        self._egress = egress
        self._policy = policy
        self._ticket = ticket
        self._head = head
        self._started = monotonic()
        self._is_open = True
        egress.running.add(head.request)

    async def run(self, exchange: Awaitable[Answer]) -> Answer:
        """Await an exchange in this slot.

        A streamed answer keeps the slot until `end` is called.
        """
        try:
            answer = await exchange
        except AttemptError as exc:
            self.end(exc)
            exc.backend_load = self._policy.load()
            raise
        except BaseException:
            self.end(AttemptError.at(Cause.CANCELLED, Stage.SENT, "cancelled"))
            raise
        if answer.stream is None:
            self.end(None, answer.head.status)
        answer.head.backend_load = self._policy.load()
        return answer

    def end(self, error: AttemptError | None, status: int = 200) -> None:
        """Release the slot, unless it has been released.

        Parameters
        ----------
        error : AttemptError or None
            Why the exchange failed; None if it is complete.
        status : int
            HTTP status of a complete answer.
        """
        if not self._is_open:
            return
        self._is_open = False
        self._egress.running.discard(self._head.request)
        now = monotonic()
        if error is not None:
            refusal = error.refusal
            result = AttemptResult(
                refusal.outcome, refusal.cause, refusal.status, now - self._started
            )
        else:
            if self._policy.board.suspects:
                self._clear_suspect(now)
            result = AttemptResult(
                Outcome.DONE, Cause.NONE, status, now - self._started
            )
        self._egress.release(self._ticket, result)

    def _clear_suspect(self, now: float) -> None:
        head = self._head
        if not head.streaming:
            head.fingerprint = head.fingerprint or compute_fingerprint(head)
            for report in self._policy.record_suspect_completion(head.fingerprint, now):
                self._egress.send_to_members(report)


class Egress:
    """Runs requests on the local backend server.

    Parameters
    ----------
    instance : str
        Id of the local instance.
    service : str
        Name of its service.
    policy : RequestPolicy
    pool : BackendPool
    emit : callable
        Takes an `Event`.
    send_control : callable
        Sends a control message; takes an `Instance` and a `Message`.

    Attributes
    ----------
    members : tuple of Instance
        Instances of the service, including the local one.
    running : set of str
        Ids of the requests that the backend server runs.
    health : str
        Last known health status of the backend server.
    has_open_connection : callable
        Returns whether the health poller has an open connection.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        policy: RequestPolicy,
        pool: BackendPool,
        emit: Callable[[Event], None],
        send_control: SendControl,
    ) -> None:
        self._instance = instance
        self._service = service
        self._policy = policy
        self._pool = pool
        self._emit = emit
        self._send_control = send_control
        self._loop = asyncio.get_running_loop()
        self._slot_waiters: dict[int, asyncio.Future] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._traffic_classes: dict[tuple[str, int, bool], TrafficClass] = {}
        self._lost_fingerprints: list[str] = []
        self._crash_check: asyncio.Task | None = None
        self._pending_fences: dict[int, tuple[str, asyncio.Queue]] = {}
        self._last_fence_number = 0
        self._keyed_tasks: set[asyncio.Task] = set()
        self.members: tuple[Instance, ...] = ()
        self.running: set[str] = set()
        self.health = "starting"
        self.has_open_connection: Callable[[], bool] = lambda: True

    async def run(
        self, head: RequestHead, body: Body | None, deadline: float
    ) -> Answer:
        """Run a request.

        Parameters
        ----------
        head : RequestHead
        body : Body or None
            Body of a streaming request.
        deadline : float
            In monotonic seconds.

        Raises
        ------
        AttemptError
            If there is no answer from the backend server.
        """
        if head.target == KEYS_TARGET:
            return Answer(self.issue_pinned_key())
        if head.service != self._service:
            reason = f"{self._instance} is not an instance of {head.service}"
            raise AttemptError.at(Cause.NO_INSTANCE, Stage.UNSENT, reason)
        if head.idempotent or not head.idempotency_key:
            slot = await self._admit(head, deadline)
            return await slot.run(self._exchange(head, body, deadline, slot.end))
        run = _KeyedRun()
        task = self._loop.create_task(self._run_keyed(run, head, body, deadline))
        self._keyed_tasks.add(task)
        task.add_done_callback(self._keyed_tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # A request that has been written keeps running, so that the ledger
            # stores its answer for repeated calls with the same key.
            if run.is_sent:
                task.add_done_callback(discard_answer)
            else:
                task.cancel()
            raise

    async def stop(self) -> None:
        """Cancel what still runs or waits; call it once no more requests arrive.

        A request with a key outlives the connection it came on. After the stop it
        would wait forever for a slot.
        """
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        tasks = set(self._keyed_tasks)
        if self._crash_check is not None:
            tasks.add(self._crash_check)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _get_traffic_class(self, head: RequestHead) -> TrafficClass:
        key = (head.traffic_class, head.priority, head.deferrable)
        cached = self._traffic_classes.get(key)
        if cached is None:
            cached = self._traffic_classes[key] = TrafficClass(*key)
        return cached

    def issue_pinned_key(self) -> AnswerHead:
        """Issue a pinned key, an idempotency key that this instance owns."""
        key = self._policy.issue_pinned_key(monotonic())
        headers = f"Content-Type: application/json\r\nIdempotency-Key: {key}\r\n"
        body = b'{"key": "%b"}' % key.encode()
        return AnswerHead(201, "Created", headers.encode(), body)

    # Admission

    async def _admit(self, head: RequestHead, deadline: float) -> "_Slot":
        """Wait for a slot at the backend server.

        Raises
        ------
        AttemptError
            If the policy refuses the request, or its deadline passes in the queue.
        """
        if self._policy.board.suspects and not head.streaming:
            head.fingerprint = head.fingerprint or compute_fingerprint(head)
        work = Work(
            head.request,
            head.service,
            self._get_traffic_class(head),
            head.tenant,
            deadline,
            head.idempotent,
            head.idempotency_key,
            head.fingerprint,
        )
        decision = self._policy.offer(work, monotonic())
        if type(decision) is Refusal:
            raise AttemptError(decision, self._policy.load())
        ticket = decision.ticket
        if type(decision) is not Admitted:
            await self._wait_for_slot(ticket)
        return _Slot(self, self._policy, ticket, head)

    async def _wait_for_slot(self, ticket: int) -> None:
        waiter = self._slot_waiters[ticket] = self._loop.create_future()
        self._schedule_expiry()
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled() and not waiter.exception():
                self.release(ticket, AttemptResult(Outcome.NOT_RUN, Cause.CANCELLED))
            else:
                self._policy.cancel(ticket, monotonic())
            raise
        finally:
            del self._slot_waiters[ticket]

    def _schedule_expiry(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._slot_waiters:
            delay = self._policy.next_deadline() - monotonic()
            # The upper bound is needed because the next deadline may be infinite.
            self._timer = self._loop.call_later(
                min(max(0.001, delay), 60.0), self._on_expiry_timer
            )

    def _on_expiry_timer(self) -> None:
        self._timer = None
        self._apply_decisions(self._policy.expire(monotonic()))
        self._schedule_expiry()

    def _apply_decisions(self, decisions: list[Dispatch | Expired]) -> None:
        for decision in decisions:
            ticket = decision.ticket
            waiter = self._slot_waiters.get(ticket)
            is_awaited = waiter is not None and not waiter.done()
            match decision:
                case Dispatch() if is_awaited:
                    waiter.set_result(None)
                case Dispatch():
                    result = AttemptResult(Outcome.NOT_RUN, Cause.CANCELLED)
                    self.release(ticket, result)
                case Expired(_, refusal) if is_awaited:
                    waiter.set_exception(AttemptError(refusal, self._policy.load()))

    def release(self, ticket: int, result: AttemptResult) -> None:
        """Release a slot and start the requests that the policy admits next."""
        decisions = self._policy.release(ticket, result, monotonic())
        if decisions:
            self._apply_decisions(decisions)
            self._schedule_expiry()

    # One admitted request

    async def _exchange(
        self,
        head: RequestHead,
        body: Body | None,
        deadline: float,
        on_end: Callable[[AttemptError | None], None],
    ) -> Answer:
        conn = None
        if head.idempotent:
            conn = self._pool.take_idle()
        was_idle = conn is not None
        # A request that is not idempotent always gets a new connection. If the
        # backend server closed an idle one at the moment of the write, it would
        # be unknown whether the request has run.
        if conn is None:
            conn = await self._pool.open(deadline)
        try:
            return await self._send(conn, head, body, deadline, on_end)
        except AttemptError as exc:
            refusal = exc.refusal
            if refusal.cause is not Cause.CONNECTION_LOST:
                raise
            is_stale = was_idle and not conn.has_received
            if await self._has_crashed(head):
                reason = "backend server crashed"
                raise AttemptError.at(
                    Cause.BACKEND_CRASHED, Stage.SENT, reason
                ) from exc
            if not (is_stale and body is None):
                raise
        try:
            conn = await self._pool.open(deadline)
            return await self._send(conn, head, None, deadline, on_end)
        except AttemptError as exc:
            if exc.refusal.outcome is not Outcome.NOT_RUN:
                raise
            # The request may have run when it was sent on the first connection.
            raise AttemptError.at(
                Cause.CONNECTION_LOST, Stage.SENT, "backend server closed"
            ) from exc

    async def _send(
        self,
        conn: BackendConnection,
        head: RequestHead,
        body: Body | None,
        deadline: float,
        on_end: Callable[[AttemptError | None], None],
    ) -> Answer:
        if not conn.is_open:
            raise AttemptError.at(
                Cause.CONNECT_FAILED, Stage.UNSENT, "backend server closed"
            )
        upload = None
        try:
            waiter = conn.start(head, deadline)
            if body is not None:
                upload = self._loop.create_task(conn.send_body(body))
                done, _ = await asyncio.wait(
                    (waiter, upload), return_when=asyncio.FIRST_COMPLETED
                )
                if waiter not in done:
                    upload.result()
            await waiter
            if upload is not None and not upload.done():
                # The answer arrived before the end of the upload, so the
                # connection cannot be used for another request.
                conn.prevent_reuse()
                upload.cancel()
            return await self._pool.read_answer(conn, head, on_end)
        except BaseException:
            conn.abort()
            raise
        finally:
            if upload is not None:
                upload.cancel()
                await asyncio.gather(upload, return_exceptions=True)

    # Keys

    async def _run_keyed(
        self, run: "_KeyedRun", head: RequestHead, body: Body | None, deadline: float
    ) -> Answer:
        service, key = head.service, head.idempotency_key
        decision = self._policy.key_begin(service, key, monotonic(), head.fingerprint)
        if type(decision) is AskFences:
            decision = await self._ask_fences(decision, head, deadline)
        if type(decision) is ReplayKey:
            return Answer(_from_stored_answer(decision.answer))
        if type(decision) is Refusal:
            raise AttemptError(decision, self._policy.load())
        try:
            slot = await self._admit(head, deadline)
            return await slot.run(
                self._exchange_keyed(run, head, body, deadline, slot.end)
            )
        except BaseException:
            if not run.is_sent:
                self._policy.key_withdraw(service, key, monotonic())
            raise

    async def _exchange_keyed(
        self,
        run: "_KeyedRun",
        head: RequestHead,
        body: Body | None,
        deadline: float,
        on_end: Callable[[AttemptError | None], None],
    ) -> Answer:
        conn = await self._pool.open(deadline)
        run.is_sent = conn.is_open
        stored = None
        try:
            answer = await self._send_keyed(conn, head, body, deadline, on_end)
            if answer.stream is None:
                stored = _to_stored_answer(answer.head)
            return answer
        finally:
            if run.is_sent:
                self._policy.key_finish(
                    head.service, head.idempotency_key, stored, monotonic()
                )

    async def _send_keyed(
        self,
        conn: BackendConnection,
        head: RequestHead,
        body: Body | None,
        deadline: float,
        on_end: Callable[[AttemptError | None], None],
    ) -> Answer:
        try:
            answer = await self._send(conn, head, body, deadline, on_end)
        except AttemptError as exc:
            if exc.refusal.cause is Cause.CONNECTION_LOST and await self._has_crashed(
                head
            ):
                reason = "backend server crashed"
                raise AttemptError.at(
                    Cause.BACKEND_CRASHED, Stage.SENT, reason
                ) from exc
            raise
        if answer.stream is None:
            return answer
        # The ledger stores only whole answers.
        chunks: list[bytes] = []
        size = 0
        while chunk := await answer.stream.read():
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_BODY:
                answer.stream = _PrefixedBody(chunks, answer.stream)
                return answer
        answer.stream = None
        answer.head.streaming = False
        answer.head.body = b"".join(chunks)
        return answer

    async def _ask_fences(
        self, ask: AskFences, head: RequestHead, deadline: float
    ) -> RunKey | ReplayKey | Refusal:
        """Ask every other possible owner of a key for a promise.

        The owner promises that it has not run the key and never will. One
        that does not reply in time counts as having refused.
        """
        key = head.idempotency_key
        self._last_fence_number += 1
        number = self._last_fence_number
        replies: asyncio.Queue = asyncio.Queue()
        self._pending_fences[number] = (key, replies)
        silent = {instance.name for instance in ask.instances}
        for instance in ask.instances:
            self._send_control(instance, FenceQuery(head.service, key, number))
        try:
            async with asyncio.timeout(
                min(FENCE_TIMEOUT_S, max(0, deadline - monotonic()))
            ):
                while silent:
                    sender, promised = await replies.get()
                    if sender not in silent:
                        continue
                    silent.discard(sender)
                    decision = self._policy.handle_fence_reply(
                        head.service, key, sender, promised, monotonic()
                    )
                    if decision is not None:
                        return decision
        except TimeoutError:
            for sender in silent:
                decision = self._policy.handle_fence_reply(
                    head.service, key, sender, False, monotonic()
                )
                if decision is not None:
                    return decision
        except BaseException:
            self._policy.key_withdraw(head.service, key, monotonic())
            raise
        finally:
            del self._pending_fences[number]
        return refuse(Cause.KEY_UNKNOWN, "other instances gave no promise for the key")

    def on_fence_reply(self, sender: str, reply: FenceReply) -> None:
        """Handle the reply to a pending fence query; ignore other replies."""
        key, replies = self._pending_fences.get(reply.request, ("", None))
        if replies is not None and key == reply.idempotency_key:
            replies.put_nowait((sender, reply.promised))

    # Crashes

    async def _has_crashed(self, head: RequestHead) -> bool:
        """Return whether the backend server crashed while it had this request.

        It has crashed if it accepts no more connections, or if every connection
        that was open when this one was lost has been closed.
        """
        if not head.streaming:
            head.fingerprint = head.fingerprint or compute_fingerprint(head)
            self._lost_fingerprints.append(head.fingerprint)
        if self._crash_check is None:
            self._crash_check = self._loop.create_task(self._detect_crash())
        return await asyncio.shield(self._crash_check)

    async def _detect_crash(self) -> bool:
        noticed_at = monotonic()
        had_poller_connection = self.has_open_connection()
        is_refused = False
        try:
            probe = await self._pool.open(noticed_at + CRASH_WINDOW_S * 10)
            probe.release()
        except AttemptError:
            is_refused = True
        await asyncio.sleep(CRASH_WINDOW_S)
        # If only one connection was lost, the backend server may have closed it
        # because of its request. The health poller's connection, if there was
        # one, shows the difference: a crash closes it as well.
        lost_connections = self._pool.count_losses(noticed_at - CRASH_WINDOW_S)
        are_all_lost = (
            lost_connections > 1 or not had_poller_connection
        ) and not self._pool.has_older_connection(noticed_at)
        self._crash_check = None
        lost_fingerprints, self._lost_fingerprints = self._lost_fingerprints, []
        if self.health == "leaving" or not (is_refused or are_all_lost):
            return False
        reports = self._policy.record_backend_crash(
            self._service, lost_fingerprints, monotonic()
        )
        for report in reports:
            self.send_to_members(report)
        self._emit(
            Event(
                EventCode.BACKEND_DOWN,
                {
                    "backend": self._instance,
                    "reason": "crashed",
                    "lost": len(lost_fingerprints),
                },
            )
        )
        return True

    def send_to_members(self, message: CrashReport) -> None:
        """Send a crash report to the other instances of the service."""
        for instance in self.members:
            if instance.name != self._instance:
                self._send_control(instance, message)


def discard_answer(task: asyncio.Task) -> None:
    """Close the body of an answer that is no longer awaited."""
    if not task.cancelled() and task.exception() is None:
        stream = task.result().stream
        if stream is not None:
            stream.close()


def _to_stored_answer(head: AnswerHead) -> StoredAnswer:
    lines = head.headers.decode("utf-8", "surrogateescape").split("\r\n")
    pairs = [line.partition(": ") for line in lines if line]
    headers = tuple((name, value) for name, _, value in pairs)
    return StoredAnswer(head.status, headers, head.body)


def _from_stored_answer(answer: StoredAnswer) -> AnswerHead:
    lines = [f"{name}: {value}\r\n" for name, value in answer.headers]
    block = "".join(lines).encode("utf-8", "surrogateescape")
    return AnswerHead(answer.status, "", block, answer.body)
