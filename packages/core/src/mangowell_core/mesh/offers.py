"""Limit on the number of workers that a refused request is offered to.

A refusal means that the request has not run, so another worker may be tried.
When a large service is overloaded, though, all its workers are usually full.
Offering a request to each of 31 workers took until its timeout and filled the
links with offers. The caller then got an answer that guarantees nothing instead
of a refusal with the time after which to retry.
"""

# Maximum number of workers that may refuse one request; it covers all workers of
# a small service.
MAX_REFUSALS = 4
# Share of the objective after which a further offer would be too late for an
# answer in time.
MAX_OFFER_TIME_SHARE = 0.5


def may_offer_again(refusals: int, elapsed_s: float, objective_s: float) -> bool:
    """Return whether a request may be offered to one more worker.

    Parameters
    ----------
    refusals : int
        Number of workers that have refused the request as overloaded.
    elapsed_s : float
        Time since the arrival of the request, in seconds.
    objective_s : float
        Time within which an answer has its full value, in seconds.
    """
    if not refusals:
        return True
    return refusals < MAX_REFUSALS and elapsed_s < MAX_OFFER_TIME_SHARE * objective_s
