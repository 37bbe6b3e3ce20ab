"""State of one request on the platform's request path."""

from enum import Enum
from http import HTTPStatus

from mangowell_core.mesh import Endpoint, MeshRoute
from mangowell_core.policy.outcome import Stage, refuse
from mangowell_core.policy.types import Cause, Outcome, Refusal
from mangowell_node.exchange import Answer, AttemptError, RequestHead
from mangowell_node.ingress import IncomingCall


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
        "deadline",
        "ended_by",
        "error",
        "excluded",
        "has_reset_exclusions",
        "head",
        "held_body_bytes",
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
        self.may_have_run = False
        self.ended_by = EndReason.NOT_STARTED
        self.answer: Answer | None = None
        self.error: AttemptError | None = None

    def make_refusal(self) -> Refusal:
        """Return the refusal for a request that no worker has answered."""
        if self.error is None:
            return refuse(Cause.CONNECTION_LOST, "outcome unknown", stage=Stage.SENT)
        refusal = self.error.refusal
        is_not_run = refusal.outcome is Outcome.NOT_RUN
        is_promise = refusal.status == HTTPStatus.SERVICE_UNAVAILABLE
        if self.may_have_run if is_not_run else is_promise:
            # This or an earlier attempt may have run, so the outcome is unknown, and
            # 503 would promise the caller that it has not.
            return refuse(Cause.CONNECTION_LOST, refusal.reason, stage=Stage.SENT)
        return refusal
