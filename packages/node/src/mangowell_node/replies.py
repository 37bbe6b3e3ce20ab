"""Builds replies to callers, with headers that state the outcome of the call."""

import json
import random
from time import monotonic

from mangowell_core.events import Event, EventCode
from mangowell_core.model import Instance
from mangowell_core.policy import RequestPolicy
from mangowell_core.policy.outcome import may_pass_on, refuse_promise
from mangowell_core.policy.types import Cause, Outcome, Plan, Refusal
from mangowell_node.exchange import Answer
from mangowell_node.ingress import REASON_PHRASES, Reply
from mangowell_node.limited_events import LimitedEvents
from mangowell_node.telemetry import Telemetry

HEADER_DONE = b"Mangowell-Outcome: done\r\n"
_HEADER_FAILED = b"Mangowell-Outcome: failed\r\n"
_HEADER_RETRIED = b"Mangowell-Retried: 1\r\n"


class ReplyMaker:
    """Builds replies and records finished calls in the telemetry.

    Parameters
    ----------
    policy : RequestPolicy
    telemetry : Telemetry
    limited : LimitedEvents

    Attributes
    ----------
    alternates : tuple of Instance
        Nodes that callers are referred to while this one takes no calls.
    """

    __slots__ = ("_limited_events", "_policy", "_telemetry", "alternates")

    def __init__(
        self, policy: RequestPolicy, telemetry: Telemetry, limited: LimitedEvents
    ) -> None:
        self._policy = policy
        self._telemetry = telemetry
        self._limited_events = limited
        self.alternates: tuple[Instance, ...] = ()

    def answer(
        self, plan: Plan, answer: Answer, started: float, attempts: int
    ) -> Reply:
        """Build the reply from a backend server's answer.

        Parameters
        ----------
        plan : Plan
        answer : Answer
        started : float
            Arrival of the call, in monotonic seconds.
        attempts : int
            Number of attempts made.
        """
        head = answer.head
        # A backend server has no field to state that it did not run a request.
        if not may_pass_on(
            head.status,
            idempotent=plan.route.idempotent,
            is_not_run=False,
            may_have_run=True,
        ):
            if answer.stream is not None:
                answer.stream.close()
            refusal = refuse_promise(head.status)
            return self.refuse(plan.request, plan, refusal, started, attempts)
        failed = head.status >= 500
        headers = (_HEADER_FAILED if failed else HEADER_DONE) + head.headers
        if (
            failed
            and not head.retried
            and self._policy.should_mark_retried(plan, attempts)
        ):
            headers += _HEADER_RETRIED
        self._telemetry.record_call(
            plan.tenant,
            plan.traffic_class.name,
            plan.route.name,
            "failed" if failed else "done",
            monotonic() - started,
        )
        return Reply(
            head.status, head.reason, headers, head.body, answer.stream, head.length
        )

    def refuse(
        self,
        request: str,
        plan: Plan | None,
        refusal: Refusal,
        started: float,
        attempts: int = 0,
    ) -> Reply:
        """Build the reply that states why there is no answer.

        Parameters
        ----------
        request : str
            Request id.
        plan : Plan or None
            None if no route was found.
        refusal : Refusal
        started : float
            Arrival of the call, in monotonic seconds.
        attempts : int
            Number of attempts made.
        """
        outcome = refusal.outcome
        code = EventCode.CALL_UNKNOWN
        if outcome is Outcome.NOT_RUN:
            code = EventCode.CALL_REFUSED
        fields = {
            "request": request,
            "cause": refusal.cause.value,
            "reason": refusal.reason,
        }
        lines = [f"Mangowell-Outcome: {outcome.value}\r\n"]
        if refusal.retry_after_s > 0:
            lines.append(f"Retry-After: {max(1, round(refusal.retry_after_s))}\r\n")
        if refusal.cause in (Cause.LEAVING, Cause.NOT_READY):
            alternate = self._select_alternate()
            if alternate:
                lines.append(f"Mangowell-Alternate: {alternate}\r\n")
        if attempts and self._policy.should_mark_retried(plan, attempts):
            lines.append("Mangowell-Retried: 1\r\n")
        lines.append("Content-Type: application/json\r\n")
        body = json.dumps({"outcome": outcome.value, **fields}) + "\n"
        if plan is not None:
            fields["route"] = plan.route.name
            self._telemetry.record_call(
                plan.tenant,
                plan.traffic_class.name,
                plan.route.name,
                outcome.value,
                monotonic() - started,
            )
        if code is EventCode.CALL_REFUSED:
            self._limited_events.emit(code, fields)
        else:
            self._telemetry.emit(Event(code, fields))
        return Reply(
            refusal.status,
            REASON_PHRASES.get(refusal.status, "Error"),
            "".join(lines).encode(),
            body.encode(),
        )

    def _select_alternate(self) -> str:
        leaving = self._policy.board.leaving
        others = [i for i in self.alternates if i.name not in leaving]
        if not others:
            return ""
        instance = random.choice(others)
        return f"{instance.host}:{instance.call_port}"
