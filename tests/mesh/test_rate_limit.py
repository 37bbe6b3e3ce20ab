"""Rate limit of a worker, as the admission applies it."""

import math

from hypothesis import given
from hypothesis import strategies as st

from mangowell_core.mesh import Admission, AdmissionDecision, Endpoint
from mangowell_core.mesh.rate_limit import BURST_S, MIN_RATE_PER_S, RateLimit
from mangowell_core.mesh.worker_states import MAX_STARTS, ArrivalCounter, WorkerStates

WINDOW_S = 4.0
OBJECTIVE_S = 0.3
# A day of requests to one worker: pauses between them, and their work.
ARRIVALS = st.lists(
    st.tuples(
        st.floats(0.0, 0.2),
        st.floats(0.001, 0.5),
        st.sampled_from((-1, 0, 1)),
    ),
    min_size=1,
    max_size=300,
)


def make_worker(born_ms=1):
    return Endpoint("i-1", "s", "10.0.0.1", 80, "a", 12, False, 0.0, born_ms, 1)


def replay(admission, arrivals):
    """Offer requests, let them run, and return the times at which they started."""
    now = 1.0
    starts, ends = [], []

    def start(ticket, at, work_s):
        starts.append(at)
        ends.append((at + work_s, ticket))

    def advance(until_time):
        nonlocal now
        while now < until_time:
            now = min(until_time, now + 0.01)
            for end, ticket in sorted(ends, key=lambda pair: pair[0]):
                if end <= now:
                    ends.remove((end, ticket))
                    for started in admission.finish(ticket, True, now):
                        start(started, now, 0.05)
            for started in admission.start_waiting(now):
                start(started, now, 0.05)
            admission.expire(now)

    for pause_s, work_s, rank in arrivals:
        advance(now + pause_s)
        objective_s = 0.0 if rank < 0 else OBJECTIVE_S
        decision, ticket, _ = admission.offer(
            "r", "r", rank, objective_s, now + 1.0, now
        )
        if decision is AdmissionDecision.RUN:
            start(ticket, now, work_s)
    advance(now + 1.0)
    return starts


@given(ARRIVALS, st.floats(0.5, 80.0), st.integers(1, 12))
def test_no_window_has_more_starts_than_the_limit_and_a_burst(arrivals, limit, slots):
    """Guards against starts past the limit: on arrival, from the queue, of calls."""
    admission = Admission(slots)
    admission.rate_limit.set_rate(limit, 1.0)
    starts = replay(admission, arrivals)
    bound = limit * WINDOW_S + max(1.0, limit * BURST_S)
    for first in starts:
        count = sum(first <= at < first + WINDOW_S for at in starts)
        assert count <= math.ceil(bound) + 1


def test_limited_worker_uses_its_limit():
    """Guards against a limit that costs more capacity than it names."""
    admission = Admission(12)
    admission.rate_limit.set_rate(30.0, 1.0)
    starts = replay(admission, [(0.01, 0.05, 1)] * 800)
    assert len(starts) >= 0.9 * 30.0 * 8.0


def test_refusal_names_a_time_at_which_the_request_could_start():
    """Guards against callers that come back before the limit takes them."""
    admission = Admission(12)
    admission.rate_limit.set_rate(2.0, 1.0)
    decision, _, retry_after_s = admission.offer("r", "r", 1, OBJECTIVE_S, 3.0, 1.0)
    assert decision is AdmissionDecision.REFUSED
    assert 0.3 < retry_after_s < 0.5
    back = 1.0 + retry_after_s
    decision, _, _ = admission.offer("r", "r", 1, OBJECTIVE_S, back + 1.0, back)
    assert decision is not AdmissionDecision.REFUSED


def test_calls_of_running_requests_precede_others_within_the_limit():
    """Guards against work that is wasted because its call is rejected."""
    admission = Admission(12)
    admission.rate_limit.set_rate(10.0, 1.0)
    assert admission.offer("a", "r", 1, 0.0, 2.0, 1.0)[0] is AdmissionDecision.WAIT
    assert admission.offer("b", "r", -1, 0.0, 2.0, 1.0)[0] is AdmissionDecision.WAIT
    assert [t.request for t in admission.start_waiting(1.1)] == ["b"]
    assert [t.request for t in admission.start_waiting(1.2)] == ["a"]


def test_exhausted_limit_is_reported_as_full_load():
    """Guards against a capped worker that looks idle to all other nodes."""
    admission = Admission(12)
    for number in range(20):
        _, ticket, _ = admission.offer("r", "r", 1, 0.0, 9.0, 1.0 + number)
        admission.finish(ticket, True, 1.1 + number)
    idle = admission.compute_load(40.0)
    assert (idle.pending, idle.limit) == (0, 12)
    admission.rate_limit.set_rate(20.0, 40.0)
    full = admission.compute_load(40.0)
    assert full.limit == full.pending == 2


def test_lower_limit_takes_saved_requests_away():
    """Guards against a burst that an earlier, higher limit had allowed."""
    limit = RateLimit()
    limit.set_rate(100.0, 1.0)
    assert not limit.estimate_delay(24, 2.0)
    limit.set_rate(4.0, 2.0)
    assert limit.estimate_delay(0, 2.0) == 0.0
    limit.take(2.0)
    assert limit.estimate_delay(0, 2.0) == 0.25


def test_limit_of_zero_lets_a_request_pass_now_and_then():
    """Guards against a worker whose answers can no longer tell that its need ended."""
    limit = RateLimit()
    limit.set_rate(0.0, 1.0)
    assert limit.estimate_delay(0, 1.0) == 1.0 / MIN_RATE_PER_S


def test_end_of_a_limit_starts_all_that_waits():
    """Guards against requests that wait for a limit that has ended."""
    admission = Admission(4)
    admission.rate_limit.set_rate(1.0, 1.0)
    for _ in range(3):
        admission.offer("r", "r", 1, 0.0, 9.0, 1.0)
    assert admission.waiting == 3
    admission.rate_limit.set_rate(math.inf, 1.1)
    assert len(admission.start_waiting(1.1)) == 3


def test_statements_belong_to_one_start_of_a_worker():
    """Guards against a new start that inherits the limit or the end of a former one."""
    states = WorkerStates()
    states.record(make_worker(1), 5.0, True)
    assert states.get(make_worker(1)) == (5.0, True)
    assert states.get(make_worker(2)) == (-1.0, False)
    states.record(make_worker(1), math.inf, False)
    assert states.get(make_worker(1)) == (math.inf, True)
    states.record(make_worker(1), -1.0, False)
    assert states.get(make_worker(1)) == (math.inf, True)


def test_statements_of_many_starts_take_bounded_memory():
    states = WorkerStates()
    for born_ms in range(MAX_STARTS + 10):
        states.record(make_worker(born_ms), 5.0, False)
    assert states.get(make_worker(9)).rate_limit < 0
    assert states.get(make_worker(10)).rate_limit == 5.0


def test_arrivals_are_counted_in_a_window():
    counter = ArrivalCounter()
    for number in range(40):
        counter.record(number * 0.1)
    assert counter.compute_rate(3.95) == 10.0
    assert counter.compute_rate(20.0) == 0.0
