"""Stand-in for a backend server.

Runs inside another process, or as ``python -m
mangowell_standins.backend_server``. The answer to a request carries the
request id, a payload and a checksum of both, so that a caller detects a
truncated answer and an answer to another request.

Query parameters select the behaviour of a request: ``id`` (request id),
``size`` (payload bytes), ``work_ms`` (mean service time) and ``poison=1``
(crashes the server).
"""

import argparse
import asyncio
import hashlib
import json
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass

from aiohttp import web

MAX_PAYLOAD_BYTES = 1 << 20


@dataclass(slots=True)
class BackendSettings:
    """Capacity and injected faults of a stand-in backend server.

    Parameters
    ----------
    slots : int
        Requests that run at once; others wait.
    queue_limit : int
        Requests that may wait; further ones are shed with 503.
    service_time_s : float
        Mean service time in seconds; the service time of a request is a fifth
        of the mean plus an exponentially distributed time.
    cold_start_s : float
        Time after a start in which health is ``starting`` and requests take
        `cold_factor` times as long, in seconds.
    cold_factor : float
        Factor on the service time during a cold start.
    restart_s : float
        Time from a crash until the server listens again, in seconds.
    late_share, truncated_share : float
        Share of answers that are delayed by `late_s`, or truncated in the
        middle of the body; 0 to 1.
    late_s : float
        Delay of a late answer in seconds.
    cancellable : bool
        Whether a request is cancelled when its connection closes.
    """

    slots: int = 12
    queue_limit: int = 108
    service_time_s: float = 0.01
    cold_start_s: float = 0.0
    cold_factor: float = 3.0
    restart_s: float = 1.0
    late_share: float = 0.0
    late_s: float = 2.0
    truncated_share: float = 0.0
    cancellable: bool = True


def make_answer(request_id: str, size: int) -> bytes:
    """Return the answer body: request id, payload and checksum, one per line."""
    payload = (hashlib.sha256(request_id.encode()).hexdigest() * (size // 64 + 1))[
        :size
    ]
    head = f"{request_id}\n{payload}\n"
    return (head + hashlib.sha256(head.encode()).hexdigest()).encode()


def find_answer_defect(request_id: str, body: bytes) -> str:
    """Return the defect of an answer body, or an empty string if it is intact.

    A body that does not have three lines or fails its checksum is ``truncated``;
    an intact body that carries another request id is ``foreign``.
    """
    lines = body.decode("utf-8", "replace").split("\n")
    if len(lines) != 3:
        return "truncated"
    head = f"{lines[0]}\n{lines[1]}\n"
    if hashlib.sha256(head.encode()).hexdigest() != lines[2]:
        return "truncated"
    return "" if lines[0] == request_id else "foreign"


class BackendServer:
    """HTTP server with bounded concurrency, fault injection and execution counts.

    Parameters
    ----------
    name : str
        Sent in the ``X-Backend`` header of each answer.
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 takes a free port at the first `start`.
    settings : BackendSettings or None
        None takes the defaults.
    rng : random.Random or None
        Source of service times and of the choice of late and truncated answers.

    Attributes
    ----------
    executions : Counter
        Started executions by request id. An execution counts when it starts,
        because an execution that a crash interrupts may already have had an
        effect.
    key_executions : Counter
        Started executions by idempotency key.
    crashes : list of str
        Request ids of the poison requests, one for each crash that they caused.
    completed, shed : int
        Requests that ran to their end, and requests shed with 503.
    running, waiting : int
        Requests that hold a slot, and requests that wait for one.
    forced_status : str
        Health status to report instead of the actual one, if not empty.
    """

    def __init__(
        self,
        name: str = "backend",
        host: str = "127.0.0.1",
        port: int = 0,
        settings: BackendSettings | None = None,
        rng: random.Random | None = None,
    ):
        self.name = name
        self.host = host
        self.port = port
        self.settings = settings or BackendSettings()
        self.executions: Counter[str] = Counter()
        self.key_executions: Counter[str] = Counter()
        self.crashes: list[str] = []
        self.completed = 0
        self.shed = 0
        self.running = 0
        self.waiting = 0
        self.forced_status = ""
        self._rng = rng or random.Random(0)
        self._is_draining = False
        self._started_at = 0.0
        self._slot_semaphore = asyncio.Semaphore(self.settings.slots)
        self._http: web.Server | None = None
        self._server: asyncio.Server | None = None
        self._silent_connections: set[object] = set()
        self._restart_task: asyncio.Task | None = None

    @property
    def listening(self) -> bool:
        """Whether the server accepts connections."""
        return self._server is not None

    async def start(self) -> None:
        """Start to listen; a restart keeps the port and the execution counts."""
        if self._server is not None:
            return
        self._slot_semaphore = asyncio.Semaphore(self.settings.slots)
        self.running = self.waiting = 0
        self._is_draining = False
        self._silent_connections.clear()
        self._http = web.Server(
            self._handle_request,
            handler_cancellation=self.settings.cancellable,
            access_log=None,
        )
        self._server = await asyncio.get_running_loop().create_server(
            self._http, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._started_at = time.monotonic()

    def start_drain(self) -> None:
        """Report ``leaving`` as health status; requests are still served."""
        self._is_draining = True

    def stop_drain(self) -> None:
        """Report the ordinary health status again."""
        self._is_draining = False

    def crash(self) -> None:
        """Abort all connections and stop listening for ``restart_s`` seconds."""
        self._close()
        loop = asyncio.get_running_loop()
        self._restart_task = loop.create_task(self._restart_after_delay())

    def silence_connections(self) -> int:
        """Send no more answers on the open connections; new ones work.

        Returns
        -------
        int
            Number of connections that went silent.
        """
        self._silent_connections = set(self._http.connections) if self._http else set()
        return len(self._silent_connections)

    async def stop(self) -> None:
        """Abort all connections, stop listening and cancel a pending restart."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        self._close()

    def get_health(self) -> dict[str, str | float]:
        """Return the body of the answer to ``GET /health``."""
        status = self.forced_status
        if not status and self._is_draining:
            status = "leaving"
        if not status and self._is_cold():
            status = "starting"
        capacity = self.settings.slots
        load = min(1.0, (self.running + self.waiting) / capacity)
        return {"status": status or "ok", "load": round(load, 3)}

    def counts(self) -> dict[str, object]:
        """Return the body of the answer to ``GET /.standin/counts``."""
        return {
            "name": self.name,
            "completed": self.completed,
            "shed": self.shed,
            "executions": sum(self.executions.values()),
            "doubled_keys": [k for k, n in self.key_executions.items() if n > 1],
            "keys": dict(self.key_executions),
            "crashes": self.crashes,
        }

    def _is_cold(self) -> bool:
        return time.monotonic() < self._started_at + self.settings.cold_start_s

    def _close(self) -> None:
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for conn in list(self._http.connections):
            if conn.transport is not None:
                conn.transport.abort()

    async def _restart_after_delay(self) -> None:
        await asyncio.sleep(self.settings.restart_s)
        await self.start()

    async def _handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/health":
            return await self._respond_unless_silent(
                request, web.json_response(self.get_health())
            )
        if request.path == "/.standin/counts":
            return web.json_response(self.counts())
        body = await request.read()
        query = request.query
        if query.get("poison"):
            self._record_execution(request)
            self.crashes.append(query.get("id", ""))
            self.crash()
            await asyncio.Event().wait()
        cfg = self.settings
        if self.running >= cfg.slots and self.waiting >= cfg.queue_limit:
            self.shed += 1
            return await self._respond_unless_silent(
                request, web.Response(status=503, headers={"Retry-After": "1"})
            )
        return await self._execute_request(request, body)

    async def _execute_request(
        self, request: web.BaseRequest, body: bytes
    ) -> web.StreamResponse:
        # A restart after a crash replaces the semaphore. A request from before
        # the crash releases the old one and leaves the new counters alone.
        semaphore = self._slot_semaphore
        self.waiting += 1
        try:
            await semaphore.acquire()
        finally:
            if semaphore is self._slot_semaphore:
                self.waiting -= 1
        self.running += 1
        self._record_execution(request)
        try:
            await asyncio.sleep(self._sample_service_time(request))
        finally:
            semaphore.release()
            if semaphore is self._slot_semaphore:
                self.running -= 1
        self.completed += 1
        if self._rng.random() < self.settings.late_share:
            await asyncio.sleep(self.settings.late_s)
        size = min(int(request.query.get("size", "64")), MAX_PAYLOAD_BYTES)
        request_id = request.query.get("id", "")
        answer = web.Response(
            body=make_answer(request_id, size),
            headers={"X-Request-Id": request_id, "X-Backend": self.name},
        )
        if self._rng.random() < self.settings.truncated_share:
            return await self._send_truncated(request, answer)
        return await self._respond_unless_silent(request, answer)

    def _record_execution(self, request: web.BaseRequest) -> None:
        self.executions[request.query.get("id", "")] += 1
        key = request.headers.get("Idempotency-Key", "")
        if key:
            self.key_executions[key] += 1

    def _sample_service_time(self, request: web.BaseRequest) -> float:
        requested_ms = request.query.get("work_ms")
        if requested_ms is not None:
            mean = float(requested_ms) / 1000.0
        else:
            mean = self.settings.service_time_s
        factor = self.settings.cold_factor if self._is_cold() else 1.0
        floor = mean / 5.0
        return factor * (floor + self._rng.expovariate(1.0) * (mean - floor))

    async def _respond_unless_silent(
        self, request: web.BaseRequest, response: web.Response
    ) -> web.Response:
        if request.protocol in self._silent_connections:
            await asyncio.Event().wait()
        return response

    async def _send_truncated(
        self, request: web.BaseRequest, answer: web.Response
    ) -> web.StreamResponse:
        partial_response = web.StreamResponse(headers=answer.headers)
        partial_response.content_length = len(answer.body)
        await partial_response.prepare(request)
        await partial_response.write(answer.body[: len(answer.body) // 2])
        if request.transport is not None:
            request.transport.close()
        return partial_response


async def _run_server(args: argparse.Namespace) -> None:
    server = BackendServer(
        args.name,
        args.host,
        args.port,
        BackendSettings(
            slots=args.slots,
            queue_limit=args.queue_limit,
            service_time_s=args.service_time_ms / 1000.0,
            cold_start_s=args.cold_start_ms / 1000.0,
        ),
        random.Random(args.seed),
    )
    await server.start()
    print(json.dumps({"name": args.name, "port": server.port}), flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    try:
        async with asyncio.timeout(args.seconds):
            await stop.wait()
    except TimeoutError:
        pass
    await server.stop()


def main() -> None:
    """Run one backend server until SIGTERM or SIGINT, or for ``--seconds``."""
    parser = argparse.ArgumentParser(prog="mangowell_standins.backend_server")
    parser.add_argument("--name", default="backend")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=12)
    parser.add_argument("--queue-limit", type=int, default=108)
    parser.add_argument("--service-time-ms", type=float, default=10.0)
    parser.add_argument("--cold-start-ms", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=3600.0)
    asyncio.run(_run_server(parser.parse_args()))


if __name__ == "__main__":
    main()
