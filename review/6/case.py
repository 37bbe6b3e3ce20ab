"""A client is told that a payment has not run although it has."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness_2 import (
    Deployment,
    Record,
    make_head,
    make_request,
    make_route,
    read_answer,
    run_case,
)

PAYMENTS = 40
TIMEOUT_MS = 1500
ORDER = b"one clue pack"
PAID = b"paid"
# Statuses that promise that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
# The worker in trouble fails this share of its requests, after it has run them.
FAILED_SHARE = 0.45
FAILURE = (
    "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\n"
    "Response-Stamp: stamp-of-{id}\r\nContent-Length: 0\r\n\r\n"
)


class CheckoutWorker:
    """Charges for each order that it runs; it may fail when it is about to answer.

    Its failure bears no `Not-Executed`, as it has run the request.
    """

    def __init__(self, is_in_trouble: bool):
        self._is_in_trouble = is_in_trouble
        self._due = 0.0
        self.charges: dict[str, list[str]] = {}

    async def __call__(self, request) -> None:
        """Charge, then answer."""
        order = request.target.rpartition("/")[2]
        self.charges.setdefault(order, []).append(request.id)
        await asyncio.sleep(0.02)
        self._due += FAILED_SHARE if self._is_in_trouble else 0.0
        if self._due >= 1:
            self._due -= 1
            request.writer.write(FAILURE.format(id=request.id).encode())
            return
        request.writer.write(make_head(request.id, len(PAID)) + PAID)


async def answer_page(request) -> None:
    """Answer a page."""
    request.writer.write(make_head(request.id, 2) + b"ok")


async def pay(node, record: Record, order: str, attempt: int) -> tuple[str, int]:
    """Send one attempt of a payment; return its id and the status of its answer."""
    request_id = f"{order}-attempt-{attempt}"
    reader, writer = await node.connect()
    fields = f"Content-Length: {len(ORDER)}\r\n"
    target = f"/orders/{order}"
    writer.write(make_request(request_id, target, TIMEOUT_MS, "POST", fields) + ORDER)
    status, headers, _ = await read_answer(reader)
    writer.close()
    stamp = headers.get("response-stamp", "none")
    record.write(f"client: {request_id} gets {status}, stamp {stamp}")
    return request_id, status


async def case(record: Record, has_trouble: bool) -> bool:
    """Return whether a request that is not idempotent got a promise and has run."""
    deployment = Deployment(record)
    worker = CheckoutWorker(has_trouble)
    try:
        beside = await deployment.add("checkout", "a", worker)
        other = await deployment.add("catalogue", "a", answer_page)
        deployment.configure(
            {
                "r-1": make_route("/orders/", "checkout", "unsafe", TIMEOUT_MS),
                "r-2": make_route("/pages/", "catalogue"),
            }
        )
        await deployment.wait_until_ready()
        false_promises = 0
        for number in range(PAYMENTS):
            node = (beside, other)[number % 2]
            order = f"order-{number}"
            request_id, status = await pay(node, record, order, 1)
            if status not in PROMISES:
                continue
            has_run = request_id in worker.charges.get(order, ())
            false_promises += has_run
            # The pages tell a client to send such a request again, with another id.
            await pay(node, record, order, 2)
        twice = sum(len(ids) > 1 for ids in worker.charges.values())
        record.conclude(
            f"{PAYMENTS} payments: {false_promises} answered with a status that "
            f"promises that they have not run although they have; {twice} orders "
            "charged twice"
        )
        return false_promises > 0
    finally:
        await deployment.stop()


run_case(case)
