"""Documents and calls of a small deployment modelled on Ventilaris."""

import hashlib
from dataclasses import dataclass

from mangowell_standins.callers import CallKind

ENVIRONMENT = "production"
SERVICES = ("catalogue", "orders", "tracking", "stock")


@dataclass(slots=True, frozen=True)
class DocumentPlan:
    """Parameters of a document that `make_document` renders.

    Parameters
    ----------
    environment : str
        Environment for which the document is valid.
    slots : int
        Requests that a backend server of any service runs at once.
    queue_limit : int
        Requests to any service that wait at one node.
    retry_ratio : float
        Retries and hedges as a share of the requests to any service, 0 to 1.
    retries : int
        Retries of a request to an idempotent route.
    slow_start_s : float
        Time in which a new instance ramps up to its full share, in seconds.
    extra_routes : int
        Number of routes without calls, which make the document larger.
    broken : bool
        Whether to add a route to a service that does not exist, which makes the
        document invalid.
    """

    environment: str = ENVIRONMENT
    slots: int = 18
    queue_limit: int = 48
    retry_ratio: float = 0.2
    retries: int = 2
    slow_start_s: float = 2.0
    extra_routes: int = 0
    broken: bool = False


def make_document(
    version: int, plan: DocumentPlan | None = None, note: str = ""
) -> str:
    """Return the text of a document.

    Parameters
    ----------
    version : int
        Version number of the document.
    plan : DocumentPlan or None
        None takes the defaults.
    note : str
        Text that names an additional route, so that versions differ in content;
        empty for no such route.
    """
    plan = plan or DocumentPlan()
    lines = [
        "[document]",
        f"environment = {plan.environment}",
        f"version = {version}",
    ]
    for name, priority, deferrable in (
        ("payment", 0, "no"),
        ("interactive", 1, "no"),
        ("browsing", 2, "no"),
        ("overnight", 3, "yes"),
    ):
        lines += [
            f"[class {name}]",
            f"priority = {priority}",
            f"deferrable = {deferrable}",
        ]
    for tenant in ("dealers", "shops", "partners"):
        lines += [f"[tenant {tenant}]", "weight = 1"]
    for service in SERVICES:
        lines += [
            f"[service {service}]",
            f"slots = {plan.slots}",
            "connections = 110",
            f"queue_limit = {plan.queue_limit}",
            f"retry_ratio = {plan.retry_ratio}",
            f"slow_start_s = {plan.slow_start_s:g}",
        ]
    lines += _render_route(
        "browse", "catalogue", "/catalogue", "browsing", plan.retries
    )
    lines += _render_route("export", "catalogue", "/export", "overnight", plan.retries)
    lines += _render_route(
        "track", "tracking", "/tracking", "interactive", plan.retries
    )
    lines += _render_route("check", "stock", "/stock", "interactive", plan.retries)
    lines += _render_route("order", "orders", "/orders", "payment", 0, "POST", "no")
    for number in range(plan.extra_routes):
        # Hashed names compress about as badly as the names of real routes.
        word = hashlib.sha256(b"%d" % number).hexdigest()[:12]
        path = f"/extra/{word}"
        lines += _render_route(f"extra-{word}", "catalogue", path, "browsing", 1)
    if note:
        lines += _render_route(
            f"note-{note}", "catalogue", f"/note/{note}", "browsing", 0
        )
    if plan.broken:
        lines += _render_route("broken", "no-such-service", "/broken", "browsing", 0)
    return "\n".join(lines) + "\n"


def _render_route(
    name: str,
    service: str,
    path: str,
    traffic_class: str,
    retries: int,
    method: str = "GET",
    idempotent: str = "yes",
) -> list[str]:
    return [
        f"[route {name}]",
        f"service = {service}",
        f"path = {path}",
        f"methods = {method}",
        f"class = {traffic_class}",
        f"idempotent = {idempotent}",
        "timeout_ms = 3000",
        f"retries = {retries}",
    ]


CALL_KINDS = (
    CallKind("browsing", "GET", "/catalogue", "dealers", weight=4.0, size=2000),
    CallKind("interactive", "GET", "/tracking", "shops", weight=2.0),
    CallKind("interactive", "GET", "/stock", "dealers", weight=2.0),
    CallKind("payment", "POST", "/orders", "dealers", idempotent=False, keyed=True),
    CallKind("overnight", "GET", "/export", "partners", weight=0.5, size=20_000),
)
