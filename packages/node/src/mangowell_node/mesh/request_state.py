"""State of one request on the platform's request path."""

from enum import Enum
from http import HTTPStatus

from mangowell_core.mesh import Endpoint, MeshRoute
from mangowell_core.policy.outcome import (
    PROMISING_STATUSES,
    Stage,
    may_pass_on,
    refuse,
    refuse_promise,
)
from mangowell_core.policy.types import Cause, Outcome, Refusal
from mangowell_node.exchange import Answer, AnswerHead, AttemptError, RequestHead
from mangowell_node.ingress import IncomingCall

# Retry-After value if workers have refused a request without naming one, in seconds:
# about the time in which a worker completes a request.
REFUSED_RETRY_AFTER_S = 0.3


class EndReason(Enum):
    """Reason why no further attempt was made; the values are those of the events."""

    NOT_STARTED = "not-started"
    ANSWERED = "answered"
    NOT_REPEATABLE = "not-repeatable"
    ATTEMPT_LIMIT = "attempt-limit"
    NO_TIME = "no-time"
    QUARANTINED = "quarantined"
    RETRY_BUDGET = "retry-budget"
    OFFER_LIMIT = "offer-limit"
    ALL_REFUSE = "all-refuse"
    SERVICE_FULL = "service-full"
    NO_WORKER = "no-worker"
    DEADLINE = "deadline"


class RequestState:
    """State of one request over all of its attempts.

    Parameters
    ----------
    call : IncomingCall
        Request as the caller sent it.
    route : MeshRoute
        Route that matches the request.
    service : str
        Service of the route that was selected for the request.
    """

    __slots__ = (
        "answer",
        "attempts",
        "call",
        "caller_deadline",
        "deadline",
        "ended_by",
        "error",
        "excluded",
        "has_reset_exclusions",
        "has_skipped_remote",
        "head",
        "held_body_bytes",
        "is_misdirected",
        "is_passed_on",
        "may_have_run",
        "next_worker",
        "refusals",
        "retry_granted",
        "route",
        "service",
    )

    def __init__(self, call: IncomingCall, route: MeshRoute, service: str):
        self.call = call
        self.route = route
        self.service = service
        self.head: RequestHead | None = None
        self.deadline = 0.0
        # Time until which the caller waits or repeats, which may be after `deadline`.
        self.caller_deadline = 0.0
        # Bytes that are reserved for the body in the budget of the node.
        self.held_body_bytes = 0
        self.excluded: set[str] = set()
        # Number of attempts that may have reached a worker.
        self.attempts = 0
        # Number of workers that refused the request because they were overloaded.
        self.refusals = 0
        # Decision of the retry budget on the next attempt, None if it was not asked.
        self.retry_granted: bool | None = None
        # Worker that was selected before the attempt on a silent link was given up.
        self.next_worker: Endpoint | None = None
        self.has_reset_exclusions = False
        # Whether workers of other failure domains were left out when it was probed.
        self.has_skipped_remote = False
        self.may_have_run = False
        # Whether the current attempt has left this node for a worker or another node.
        self.is_passed_on = False
        # Whether the last attempt has reached another worker than the one meant, which
        # the retry budget counts although the request was not run.
        self.is_misdirected = False
        self.ended_by = EndReason.NOT_STARTED
        self.answer: Answer | None = None
        self.error: AttemptError | None = None

    def pass_on(self) -> None:
        """Record that the current attempt leaves this node."""
        self.is_passed_on = True

    def set_answer(self, answer: Answer | None) -> None:
        """Record the answer of an attempt, and release that of an earlier one.

        The rest of a body that nobody reads would keep its connection and its slot at
        the worker until the deadline.
        """
        earlier, self.answer = self.answer, answer
        if earlier is not None and earlier.stream is not None:
            earlier.stream.close()

    @property
    def caller_answer(self) -> Answer | None:
        """Answer that the caller gets, or None if it gets a refusal of the node.

        If a worker is full and names no time to retry, the refusal of the node is more
        useful.
        """
        answer = self.answer
        if answer is None or not self._may_pass_on(answer.head):
            return None
        is_full = answer.head.is_not_run and (
            answer.head.status == HTTPStatus.SERVICE_UNAVAILABLE
        )
        names_retry = b"\nretry-after:" in b"\n" + answer.head.headers.lower()
        return None if is_full and not names_retry else answer

    def _may_pass_on(self, head: AnswerHead) -> bool:
        return may_pass_on(
            head.status,
            idempotent=self.route.idempotent,
            is_not_run=head.is_not_run,
            may_have_run=self.may_have_run,
        )

    def make_refusal(self) -> Refusal:
        """Return the refusal for a request whose caller gets no answer of a worker."""
        answer = self.answer
        if answer is not None and not answer.head.is_not_run:
            return refuse_promise(answer.head.status)
        if self.error is None and not self.may_have_run:
            return refuse(
                Cause.OVERLOADED,
                f"workers of {self.service} have refused the request",
                retry_after_s=REFUSED_RETRY_AFTER_S,
            )
        if self.error is None:
            return refuse(Cause.CONNECTION_LOST, "outcome unknown", stage=Stage.SENT)
        refusal = self.error.refusal
        if refusal.status == HTTPStatus.MISDIRECTED_REQUEST:
            # The caller has not chosen the worker.
            refusal = refuse(
                Cause.NO_INSTANCE, refusal.reason, retry_after_s=refusal.retry_after_s
            )
        is_not_run = refusal.outcome is Outcome.NOT_RUN
        is_promise = refusal.status in PROMISING_STATUSES
        if self.may_have_run if is_not_run else is_promise:
            # This or an earlier attempt may have run, so the outcome is unknown.
            return refuse(Cause.CONNECTION_LOST, refusal.reason, stage=Stage.SENT)
        if refusal.cause is Cause.DEADLINE and refusal.outcome is Outcome.NOT_RUN:
            return make_unsent_refusal(refusal.reason)
        return refusal


def make_unsent_refusal(reason: str) -> Refusal:
    """Return the refusal of a request whose time has passed before it left this node.

    504 would not tell that it was not run, and a caller may not repeat it then.
    """
    return Refusal(
        Outcome.NOT_RUN,
        Cause.DEADLINE,
        HTTPStatus.SERVICE_UNAVAILABLE.value,
        REFUSED_RETRY_AFTER_S,
        reason,
    )


def make_misdirected_refusal(retry_after_s: float = REFUSED_RETRY_AFTER_S) -> Refusal:
    """Return the refusal of a request that has arrived at another worker.

    The status tells the node at which the request entered that it has arrived; callers
    get 503.
    """
    return Refusal(
        Outcome.NOT_RUN,
        Cause.NO_INSTANCE,
        HTTPStatus.MISDIRECTED_REQUEST.value,
        retry_after_s,
        "another worker has answered here",
    )
