"""HTTP interface for operators and monitoring."""

from aiohttp import web

from mangowell_node.telemetry import Telemetry

EVENT_FILTERS = ("version", "request", "backend")


class AdminServer:
    """Serves ``/status``, ``/events``, ``/ready`` and ``/metrics``.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on.
    telemetry : Telemetry
        Source of the events and metrics that are served.
    get_status : callable
        Returns the node's status as a dict; see ``docs/design.md``, section 10.
    """

    __slots__ = ("_get_status", "_host", "_port", "_runner", "_telemetry")

    def __init__(self, host: str, port: int, telemetry: Telemetry, get_status):
        self._host = host
        self._port = port
        self._telemetry = telemetry
        self._get_status = get_status
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Bind the port and serve requests."""
        app = web.Application()
        app.router.add_get("/status", self._handle_status)
        app.router.add_get("/events", self._handle_events)
        app.router.add_get("/ready", self._handle_ready)
        app.router.add_get("/metrics", self._handle_metrics)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()

    async def stop(self) -> None:
        """Stop serving and close the port."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _handle_status(self, req: web.Request) -> web.Response:
        return web.json_response(self._get_status())

    async def _handle_events(self, req: web.Request) -> web.Response:
        unknown = sorted(set(req.query) - set(EVENT_FILTERS))
        if unknown:
            return web.json_response(
                {"error": f"unknown filter {unknown[0]}; use {EVENT_FILTERS}"},
                status=400,
            )
        return web.json_response(self._telemetry.select_events(**req.query))

    async def _handle_ready(self, req: web.Request) -> web.Response:
        status = self._get_status()
        ready = status["ready"] and not status["draining"]
        return web.json_response(
            {"ready": ready, "version": status["version"]},
            status=200 if ready else 503,
        )

    async def _handle_metrics(self, req: web.Request) -> web.Response:
        return web.Response(body=self._telemetry.render(), content_type="text/plain")
