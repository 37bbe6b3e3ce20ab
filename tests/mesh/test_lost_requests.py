"""Guards against requests that were lost and are not repeated though they could be."""

from mangowell_core.mesh import RetryBudget
from mesh.support_mesh import answer_with_id, fill_slots, run_mesh, until


class FixedRandom:
    """Random numbers that let no fraction of a token pass."""

    def random(self):
        return 0.999


async def test_attempt_that_reached_no_worker_uses_up_no_retry():
    """A cut request is offered to a full node, and then to none that is free.

    The first token of the budget went to the node that refused the request, though
    no worker counts such an offer as an arrival.
    """
    async with run_mesh(4) as (_, machines):
        first, losing, full, free = machines
        await until(lambda: len(first.node._links.links) == 3)

        async def lose(request):
            request.writer.transport.abort()

        losing.worker.handler = lose
        free.worker.handler = answer_with_id()
        fill_slots(full, waiting=200)
        attempts = first.node.gateway.attempts
        order = [losing.id, full.id, free.id]

        async def select_worker(state):
            workers = {e.id: e for e in first.node.directory.get_workers()}
            return workers[next(n for n in order if n not in state.excluded)]

        # A probe does not show that a worker is full if another request comes first.
        attempts.prober.select_worker = select_worker
        # At most 1.5 tokens.
        attempts.budget = RetryBudget(0.0, 1.5 / 0.62, 1.0, FixedRandom())
        answer = await first.call()
        assert answer.status == 200
        assert len(free.worker.received) == 1
