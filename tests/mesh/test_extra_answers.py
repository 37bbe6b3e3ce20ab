"""Guards against extra answers of a worker that are taken for those to other requests.

A faulty worker writes a refusal once more on a kept connection, with the id of an
earlier request or without an id. "Not run" may only be told to a caller if the
answer belongs to its request: the worker may run a request for which the node has
read such a copy.
"""

import asyncio
from collections import Counter

import pytest

from mesh.support_mesh import answer_with_id, run_mesh, until
from node.support_calls import make_answer

PROMISES = {400, 408, 421, 429, 503}
STATUSES = ("503 Full", "429 Many", "400 Bad", "421 Misdirected")


def make_refusal(request_id="", status="503 Full"):
    field = f"Request-Id: {request_id}\r\n" if request_id else ""
    return make_answer(b"", status, f"{field}Not-Executed: 1\r\n")


def make_chunked(request_id):
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
    ).encode()


class RepeatingWorker:
    """Refuses the first request of each connection, and writes that refusal again.

    Parameters
    ----------
    place : str
        Where the copy goes: before an answer, behind it, split around the next
        request, or into the idle time after it.
    bears_id : bool
        Whether the copy has the id of the refused request.
    status : str
        Status line of the refusal.
    """

    def __init__(self, place, bears_id=False, status="503 Full"):
        self.runs = Counter()
        self.copies = 0
        self._place = place
        self._bears_id = bears_id
        self._status = status
        self._copy_by_writer = {}
        self._rest_by_writer = {}

    async def __call__(self, request):
        request_id = request.headers["request-id"]
        writer = request.writer
        copy = self._copy_by_writer.get(writer)
        if copy is None:
            copy_id = request_id if self._bears_id else ""
            self._copy_by_writer[writer] = make_refusal(copy_id, self._status)
            return make_refusal(request_id, self._status)
        self.runs[request_id] += 1
        self.copies += 1
        answer = await answer_with_id()(request)
        match self._place:
            case "before":
                writer.write(copy)
                await asyncio.sleep(0.02)
            case "before-split":
                for start in range(0, len(copy), 20):
                    writer.write(copy[start : start + 20])
                    await asyncio.sleep(0.002)
            case "interim":
                hint = copy.replace(b"503 Full", b"103 Early Hints")
                writer.write(hint.replace(b"Content-Length: 0\r\n", b""))
                await asyncio.sleep(0.01)
            case "behind":
                return answer + copy
            case "behind-chunks":
                return make_chunked(request_id) + copy
            case "split":
                rest = self._rest_by_writer.pop(writer, b"")
                self._rest_by_writer[writer] = copy[30:]
                return rest + answer + copy[:30]
            case "split-behind-chunks":
                rest = self._rest_by_writer.pop(writer, b"")
                self._rest_by_writer[writer] = copy[30:]
                return rest + make_chunked(request_id) + copy[:30]
            case "idle":
                asyncio.get_running_loop().call_later(0.001, writer.write, copy)
        return answer


PLACES = (
    "before",
    "before-split",
    "interim",
    "behind",
    "behind-chunks",
    "split",
    "split-behind-chunks",
    "idle",
)


async def pay(machine, worker, count=16, body=b"x"):
    """Send payments one after the other; return status by request id."""
    statuses = {}
    for number in range(count):
        request_id = f"pay-{number}"
        answer = await machine.call("/pay/1", "POST", body, request_id)
        statuses[request_id] = answer.status
        await asyncio.sleep(0.002 * (number % 3))
    return statuses


def check_promises(worker, statuses):
    wrong = [n for n, status in statuses.items() if status in PROMISES]
    assert [n for n in wrong if worker.runs[n]] == []
    assert [n for n, runs in worker.runs.items() if runs > 1] == []


@pytest.mark.parametrize("bears_id", [False, True])
@pytest.mark.parametrize("place", PLACES)
async def test_copy_of_a_refusal_refuses_no_request_that_runs(place, bears_id):
    """Callers were told "not run", or the request was run by another worker too."""
    async with run_mesh(2) as (_, machines):
        worker = RepeatingWorker(place, bears_id)
        for machine in machines:
            machine.worker.handler = worker
        statuses = await pay(machines[0], worker)
        assert worker.copies
        check_promises(worker, statuses)
        # The worker is seen to echo ids in refusals, so no copy costs an answer.
        assert all(statuses[name] == 200 for name in worker.runs)


@pytest.mark.parametrize("status", STATUSES)
async def test_copy_of_any_refusal_refuses_no_request_that_runs(status):
    async with run_mesh(2) as (_, machines):
        worker = RepeatingWorker("before", status=status)
        for machine in machines:
            machine.worker.handler = worker
        statuses = await pay(machines[0], worker)
        assert worker.copies
        check_promises(worker, statuses)


@pytest.mark.parametrize("bears_id", [False, True])
async def test_copy_of_a_refusal_during_an_upload_refuses_no_request(bears_id):
    """The copy arrives while the body of the next request is being written."""
    body = b"x" * 900_000
    async with run_mesh() as (_, (machine,)):
        worker = RepeatingWorker("before", bears_id)
        copies = 0

        async def serve(reader, writer):
            # Called after the head of the first request on a connection.
            nonlocal copies
            await reader.readexactly(1)
            writer.write(make_refusal("pay-0"))
            block = (await reader.readuntil(b"\r\n\r\n")).decode()
            request_id = block.split("Request-Id: ")[1].split("\r\n")[0]
            await reader.readexactly(1000)
            writer.write(make_refusal("pay-0" if bears_id else ""))
            copies += 1
            await asyncio.sleep(0.02)
            await reader.readexactly(len(body) - 1000)
            worker.runs[request_id] += 1
            writer.write(make_answer(b"ok", headers=f"Request-Id: {request_id}\r\n"))

        machine.worker.raw = serve
        first = await machine.call("/pay/1", "POST", b"x", "pay-0")
        assert (first.status, worker.runs) == (503, Counter())
        answer = await machine.call("/pay/1", "POST", body, "pay-1")
        assert copies == 1
        check_promises(worker, {"pay-1": answer.status})
        assert answer.status == 200


async def test_failure_without_id_is_passed_on_to_no_other_request():
    """A copy of a failure bears the stamp of another request's answer."""
    async with run_mesh() as (_, (machine,)):
        failure = make_answer(b"bad", "500 Error", "Response-Stamp: other\r\n")
        kept = set()
        copies = 0

        async def handle(request):
            nonlocal copies
            if request.writer in kept:
                copies += 1
                request.writer.write(failure)
                await asyncio.sleep(0.02)
            kept.add(request.writer)
            return await answer_with_id()(request)

        machine.worker.handler = handle
        for number in range(4):
            answer = await machine.call("/pay/1", "POST", b"x", f"pay-{number}")
            assert "response-stamp" not in answer.headers
        assert copies


async def test_request_without_id_gets_no_answer_that_has_one():
    async with run_mesh() as (_, (machine,)):

        async def handle(request):
            if "request-id" in request.headers:
                return await answer_with_id()(request)
            request.writer.write(make_answer(b"other", headers="Request-Id: old\r\n"))
            await asyncio.sleep(0.02)
            return make_refusal(status="400 Bad")

        machine.worker.handler = handle
        for _ in range(2):
            assert (await machine.call()).status == 200
            reader, writer = await machine.connect()
            writer.write(b"GET /x HTTP/1.1\r\nHost: shop.example\r\n\r\n")
            block = await reader.readuntil(b"\r\n\r\n")
            assert block.startswith((b"HTTP/1.1 400", b"HTTP/1.1 502"))
            writer.close()


@pytest.mark.parametrize("target", ["/x", "/pay/1"])
async def test_refusals_without_id_of_a_sound_worker_cost_few_requests(target):
    """Such a refusal proves nothing on a kept connection, but does on a new one.

    The worker that is full may not cost all requests that are offered to it.
    """
    async with run_mesh(2) as (_, machines):
        first = machines[0]
        is_full = False

        async def handle(request):
            if is_full:
                return make_refusal()
            return await answer_with_id()(request)

        first.worker.handler = handle
        for number in range(8):
            request_id = f"warm-{number}"
            assert (await first.call(target, "POST", b"x", request_id)).status == 200
        is_full = True
        statuses = Counter()
        for number in range(30):
            answer = await first.call(target, "POST", b"x", f"r-{number}")
            statuses[answer.status] += 1
            await asyncio.sleep(0.01)
        assert statuses[200] >= 29
        assert statuses[200] + statuses[502] == 30


async def test_worker_that_omits_ids_only_in_some_refusals_costs_one_request():
    """It is first seen to echo ids, so that its next refusal looks like a copy."""
    async with run_mesh() as (_, (machine,)):
        kinds = iter([True, None, *[False] * 20])

        async def handle(request):
            match next(kinds):
                case None:
                    return await answer_with_id()(request)
                case bears_id:
                    name = request.headers["request-id"]
                    return make_refusal(name if bears_id else "")

        machine.worker.handler = handle
        statuses = []
        for number in range(8):
            answer = await machine.call(
                "/pay/1", "POST", b"x", f"pay-{number}", timeout_ms=300
            )
            statuses.append(answer.status)
        assert statuses[:2] == [503, 200]
        assert statuses[2] in (502, 504)
        assert statuses[3:] == [503] * 5
        await until(lambda: not machine.node.runner.admission.running)
