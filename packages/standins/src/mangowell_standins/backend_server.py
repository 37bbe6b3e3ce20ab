"""Stand-in for a backend server.

Run in process, or as ``python -m mangowell_standins.backend_server``. The
answer to a request carries the request's id, a payload and a checksum of
both, so that a caller can tell a truncated or foreign answer from its own.

A request chooses its behaviour by query parameters: ``id`` (request id),
``size`` (payload bytes), ``work_ms`` (service time) and ``poison=1``
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
    """How a stand-in backend server behaves.

    Parameters
    ----------
    slots : int
        Requests that run at once; others wait.
    queue_limit : int
        Waiting requests; above it, requests are shed with 503.
    service_time_s : float
        Mean time of one request, drawn from an exponential distribution
        with a floor of a fifth of the mean.
    cold_start_s : float
        Time after a start in which health is ``starting`` and requests take
        `cold_factor` times as long.
    cold_factor : float
    restart_s : float
        Time from a crash until the server listens again.
    late_share, truncated_share : float
        Share of answers that are delayed by `late_s`, or cut in the middle.
    late_s : float
    cancellable : bool
        Whether a request ends when its connection closes.
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
    """Return the body for a request id: id, payload and checksum, by line."""
    payload = (hashlib.sha256(request_id.encode()).hexdigest() * (size // 64 + 1))[
        :size
    ]
    head = f"{request_id}\n{payload}\n"
    return (head + hashlib.sha256(head.encode()).hexdigest()).encode()


def check_answer(request_id: str, body: bytes) -> str:
    """Return what is wrong with an answer, or an empty string.

    The results are ``truncated`` and ``foreign``.
    """
    lines = body.decode("utf-8", "replace").split("\n")
    if len(lines) != 3:
        return "truncated"
    head = f"{lines[0]}\n{lines[1]}\n"
    if hashlib.sha256(head.encode()).hexdigest() != lines[2]:
        return "truncated"
    return "" if lines[0] == request_id else "foreign"


class BackendServer:
    """HTTP server with slots, faults and execution counts.

    Parameters
    ----------
    name : str
    host : str
    port : int
        0 takes a free port at the first `start`.
    settings : BackendSettings or None
    rng : random.Random or None

    Attributes
    ----------
    executions : Counter
        Started executions by request id. An execution counts when it
        starts, since a crash in its middle may leave its effect behind.
    key_executions : Counter
        Started executions by idempotency key.
    crashes : list of str
        Request id of the poison request for each crash.
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
        self._draining = False
        self._started_at = 0.0
        self._slots = asyncio.Semaphore(self.settings.slots)
        self._http: web.Server | None = None
        self._server: asyncio.Server | None = None
        self._silent: set[object] = set()
        self._restart: asyncio.Task | None = None

    @property
    def listening(self) -> bool:
        """Whether the server accepts connections."""
        return self._server is not None

    async def start(self) -> None:
        """Listen; a restart keeps the port and the execution counts."""
        if self._server is not None:
            return
        self._slots = asyncio.Semaphore(self.settings.slots)
        self.running = self.waiting = 0
        self._draining = False
        self._silent.clear()
        self._http = web.Server(
            self._handle,
            handler_cancellation=self.settings.cancellable,
            access_log=None,
        )
        self._server = await asyncio.get_running_loop().create_server(
            self._http, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._started_at = time.monotonic()

    def start_drain(self) -> None:
        """Report ``leaving``; requests are still served."""
        self._draining = True

    def stop_drain(self) -> None:
        """Report ``ok`` again."""
        self._draining = False

    def crash(self) -> None:
        """Abort all connections and stop listening for the restart time."""
        self._close()
        loop = asyncio.get_running_loop()
        self._restart = loop.create_task(self._restart_later())

    def silence_connections(self) -> int:
        """Let all open connections go silent; new ones work.

        Returns
        -------
        int
            Connections that went silent.
        """
        self._silent = set(self._http.connections) if self._http else set()
        return len(self._silent)

    async def stop(self) -> None:
        """Stop at once."""
        if self._restart is not None:
            self._restart.cancel()
        self._close()

    def health(self) -> dict[str, str | float]:
        """Return the answer of ``GET /health``."""
        status = self.forced_status
        if not status and self._draining:
            status = "leaving"
        if not status and self._is_cold():
            status = "starting"
        capacity = self.settings.slots
        load = min(1.0, (self.running + self.waiting) / capacity)
        return {"status": status or "ok", "load": round(load, 3)}

    def counts(self) -> dict[str, object]:
        """Return execution counts, as ``GET /.standin/counts`` shows them."""
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

    async def _restart_later(self) -> None:
        await asyncio.sleep(self.settings.restart_s)
        await self.start()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/health":
            return await self._finish(request, web.json_response(self.health()))
        if request.path == "/.standin/counts":
            return web.json_response(self.counts())
        body = await request.read()
        query = request.query
        if query.get("poison"):
            self._count(request)
            self.crashes.append(query.get("id", ""))
            self.crash()
            await asyncio.Event().wait()
        cfg = self.settings
        if self.running >= cfg.slots and self.waiting >= cfg.queue_limit:
            self.shed += 1
            return await self._finish(
                request, web.Response(status=503, headers={"Retry-After": "1"})
            )
        return await self._run(request, body)

    async def _run(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        # A crash replaces the semaphore; the slot goes back to the old one.
        slots = self._slots
        self.waiting += 1
        try:
            await slots.acquire()
        finally:
            if slots is self._slots:
                self.waiting -= 1
        self.running += 1
        self._count(request)
        try:
            await asyncio.sleep(self._service_time(request))
        finally:
            slots.release()
            if slots is self._slots:
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
            return await self._truncate(request, answer)
        return await self._finish(request, answer)

    def _count(self, request: web.BaseRequest) -> None:
        self.executions[request.query.get("id", "")] += 1
        key = request.headers.get("Idempotency-Key", "")
        if key:
            self.key_executions[key] += 1

    def _service_time(self, request: web.BaseRequest) -> float:
        given = request.query.get("work_ms")
        if given is not None:
            mean = float(given) / 1000.0
        else:
            mean = self.settings.service_time_s
        factor = self.settings.cold_factor if self._is_cold() else 1.0
        floor = mean / 5.0
        return factor * (floor + self._rng.expovariate(1.0) * (mean - floor))

    async def _finish(
        self, request: web.BaseRequest, response: web.Response
    ) -> web.Response:
        if request.protocol in self._silent:
            await asyncio.Event().wait()
        return response

    async def _truncate(
        self, request: web.BaseRequest, answer: web.Response
    ) -> web.StreamResponse:
        cut = web.StreamResponse(headers=answer.headers)
        cut.content_length = len(answer.body)
        await cut.prepare(request)
        await cut.write(answer.body[: len(answer.body) // 2])
        if request.transport is not None:
            request.transport.close()
        return cut


async def _serve(args: argparse.Namespace) -> None:
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
    """Run one backend server until SIGTERM or for ``--seconds``."""
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
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
