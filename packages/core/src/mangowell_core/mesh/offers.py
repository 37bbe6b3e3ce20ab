"""How often a request is offered to workers that refuse it.

Load pattern: more requests than all workers of a large service can take. A
refusal says that the request has not run, so it may be offered elsewhere, but
where one worker is full the others are too: going round 31 of them took until
the time limit, filled the links with offers, and turned a refusal with a time
to return into an answer that promises nothing.
"""

# Workers that may refuse one request: all of a small service.
MAX_REFUSALS = 4
# Part of the objective after which an offer would come too late to be served
# in time.
OFFER_SHARE = 0.5


def may_offer(refusals: int, elapsed_s: float, objective_s: float) -> bool:
    """Tell whether a request is to be offered to one more worker.

    Parameters
    ----------
    refusals : int
        Workers that were too busy for it so far.
    elapsed_s : float
        Since its arrival, in seconds.
    objective_s : float
        Time within which an answer has its full worth, in seconds.
    """
    if not refusals:
        return True
    return refusals < MAX_REFUSALS and elapsed_s < OFFER_SHARE * objective_s
