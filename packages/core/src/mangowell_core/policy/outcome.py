"""One table from cause and stage to what a caller is told.

`not-run` appears only at stage ``UNSENT``: no byte of the request can have
reached a backend server (invariant I5).
"""

from enum import Enum

from mangowell_core.policy.types import AttemptResult, Cause, Outcome, Refusal


class Stage(Enum):
    """How far a request had come when its attempt ended."""

    UNSENT = "unsent"
    SENT = "sent"
    ANSWERED = "answered"


_NOT_RUN, _UNKNOWN = Outcome.NOT_RUN, Outcome.UNKNOWN

# (outcome, HTTP status, Retry-After in seconds; 0 means a retry is no use)
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
    retry_after_s : float, optional
        Replaces the table's value, in seconds.
    outcome : Outcome, optional
        Replaces the table's value; it may only be a weaker statement
        (``unknown`` instead of ``not-run``).
    """
    told, status, table_retry_s = _find(cause, stage)
    if outcome is not None and outcome is not told:
        if outcome is not Outcome.UNKNOWN:
            raise ValueError(f"outcome {outcome} is stronger than {told} for {cause}")
        told = outcome
    if retry_after_s is None:
        retry_after_s = table_retry_s
    return Refusal(told, cause, status, retry_after_s, reason)


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
        Status of the backend server's answer; 0 takes the table's value.
    """
    told, table_status, _ = _find(cause, stage)
    return AttemptResult(
        told, cause, status or table_status, latency_s, retried, backend_load
    )


def _find(cause: Cause, stage: Stage) -> tuple[Outcome, int, float]:
    row = OUTCOMES.get((cause, stage))
    if row is None:
        # A pair outside the table means that the node cannot know what ran.
        return Outcome.UNKNOWN, 502, 0.0
    return row
