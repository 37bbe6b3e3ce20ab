"""Table from the cause and stage of a failure to the answer for the caller.

The outcome ``not-run`` appears only at stage ``UNSENT``, where no byte of the
request can have reached a backend server (invariant I5).
"""

from enum import Enum

from mangowell_core.policy.types import AttemptResult, Cause, Outcome, Refusal


class Stage(Enum):
    """Progress of a request at the end of its attempt."""

    UNSENT = "unsent"
    SENT = "sent"
    ANSWERED = "answered"


_NOT_RUN, _UNKNOWN = Outcome.NOT_RUN, Outcome.UNKNOWN

# Values: outcome, HTTP status, Retry-After in seconds (0 if a retry is useless).
OUTCOMES: dict[tuple[Cause, Stage], tuple[Outcome, int, float]] = {
    (Cause.NONE, Stage.ANSWERED): (Outcome.DONE, 200, 0.0),
    (Cause.NO_ROUTE, Stage.UNSENT): (_NOT_RUN, 404, 0.0),
    (Cause.NOT_READY, Stage.UNSENT): (_NOT_RUN, 503, 1.0),
    (Cause.NO_INSTANCE, Stage.UNSENT): (_NOT_RUN, 503, 1.0),
    (Cause.LEAVING, Stage.UNSENT): (_NOT_RUN, 503, 1.0),
    (Cause.OVERLOADED, Stage.UNSENT): (_NOT_RUN, 503, 1.0),
    (Cause.DEADLINE, Stage.UNSENT): (_NOT_RUN, 504, 0.0),
    (Cause.DEADLINE, Stage.SENT): (_UNKNOWN, 504, 0.0),
    (Cause.CONNECT_FAILED, Stage.UNSENT): (_NOT_RUN, 503, 1.0),
    (Cause.CONNECTION_LOST, Stage.UNSENT): (_NOT_RUN, 503, 1.0),
    (Cause.CONNECTION_LOST, Stage.SENT): (_UNKNOWN, 502, 0.0),
    (Cause.CONNECTION_SILENT, Stage.UNSENT): (_NOT_RUN, 503, 1.0),
    (Cause.CONNECTION_SILENT, Stage.SENT): (_UNKNOWN, 504, 0.0),
    (Cause.BACKEND_CRASHED, Stage.UNSENT): (_NOT_RUN, 503, 1.0),
    (Cause.BACKEND_CRASHED, Stage.SENT): (_UNKNOWN, 502, 0.0),
    (Cause.BACKEND_STATUS, Stage.ANSWERED): (Outcome.FAILED, 502, 0.0),
    (Cause.BAD_ANSWER, Stage.SENT): (_UNKNOWN, 502, 0.0),
    (Cause.BAD_ANSWER, Stage.ANSWERED): (_UNKNOWN, 502, 0.0),
    (Cause.QUARANTINED, Stage.UNSENT): (_NOT_RUN, 503, 600.0),
    (Cause.SUSPECTED, Stage.UNSENT): (_NOT_RUN, 503, 1.0),
    (Cause.KEY_IN_PROGRESS, Stage.UNSENT): (_UNKNOWN, 409, 1.0),
    (Cause.KEY_UNKNOWN, Stage.UNSENT): (_UNKNOWN, 409, 0.0),
    (Cause.KEY_OWNER_LOST, Stage.UNSENT): (_UNKNOWN, 503, 0.0),
    (Cause.KEY_REUSED, Stage.UNSENT): (_NOT_RUN, 422, 0.0),
    (Cause.CANCELLED, Stage.UNSENT): (_NOT_RUN, 499, 0.0),
    (Cause.CANCELLED, Stage.SENT): (_UNKNOWN, 499, 0.0),
}


def refuse(
    cause: Cause,
    reason: str,
    *,
    stage: Stage = Stage.UNSENT,
    retry_after_s: float | None = None,
    outcome: Outcome | None = None,
) -> Refusal:
    """Build the refusal for a cause at a stage.

    Parameters
    ----------
    reason : str
        Text for the body of the answer and for the event.
    retry_after_s : float, optional
        Replaces the value of the table, in seconds.
    outcome : Outcome, optional
        Replaces the value of the table. Only a weaker statement is allowed:
        ``unknown`` instead of another outcome.

    Raises
    ------
    ValueError
        If `outcome` is a stronger statement than the value of the table.
    """
    reported_outcome, status, table_retry_s = _look_up_row(cause, stage)
    if outcome is not None and outcome is not reported_outcome:
        if outcome is not Outcome.UNKNOWN:
            raise ValueError(
                f"outcome {outcome} is stronger than {reported_outcome} for {cause}"
            )
        reported_outcome = outcome
    if retry_after_s is None:
        retry_after_s = table_retry_s
    return Refusal(reported_outcome, cause, status, retry_after_s, reason)


def classify_attempt(
    cause: Cause,
    stage: Stage,
    *,
    status: int = 0,
    latency_s: float = 0.0,
    retried: bool = False,
    backend_load: float = -1.0,
) -> AttemptResult:
    """Build the result of an attempt from its cause and stage.

    Parameters
    ----------
    status : int
        HTTP status of the backend server's answer; 0 selects the value of the
        table.
    latency_s : float
        Duration of the attempt, seconds.
    retried : bool
        Whether a downstream hop has already spent retries on the request.
    backend_load : float
        Load that the egress node reported, 0 to 1; negative if unknown.
    """
    reported_outcome, table_status, _ = _look_up_row(cause, stage)
    return AttemptResult(
        reported_outcome,
        cause,
        status or table_status,
        latency_s,
        retried,
        backend_load,
    )


def _look_up_row(cause: Cause, stage: Stage) -> tuple[Outcome, int, float]:
    row = OUTCOMES.get((cause, stage))
    if row is None:
        # For a pair outside the table, the node cannot know whether the request ran.
        return Outcome.UNKNOWN, 502, 0.0
    return row
