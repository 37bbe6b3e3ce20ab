"""Documents and calls of a small deployment, in the manner of Ventilaris."""

import hashlib
from dataclasses import dataclass

from mangowell_standins.callers import CallKind

ENVIRONMENT = "production"
SERVICES = ("catalogue", "orders", "tracking", "stock")


@dataclass(slots=True, frozen=True)
class DocumentPlan:
    """What `make_document` puts into a document.

    Parameters
    ----------
    environment : str
    slots, queue_limit : int
        Of every service.
    retries : int
        Of idempotent routes.
    extra_routes : int
        Routes without calls, which make the document larger.
    broken : bool
        Adds a route to a service that does not exist.
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
    plan : DocumentPlan or None
    note : str
        Name of a route that marks this version, for changes that differ.
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
    lines += _route("browse", "catalogue", "/catalogue", "browsing", plan.retries)
    lines += _route("export", "catalogue", "/export", "overnight", plan.retries)
    lines += _route("track", "tracking", "/tracking", "interactive", plan.retries)
    lines += _route("check", "stock", "/stock", "interactive", plan.retries)
    lines += _route("order", "orders", "/orders", "payment", 0, "POST", "no")
    for number in range(plan.extra_routes):
        # Names that do not compress much better than those of real routes.
        word = hashlib.sha256(b"%d" % number).hexdigest()[:12]
        path = f"/extra/{word}"
        lines += _route(f"extra-{word}", "catalogue", path, "browsing", 1)
    if note:
        lines += _route(f"note-{note}", "catalogue", f"/note/{note}", "browsing", 0)
    if plan.broken:
        lines += _route("broken", "no-such-service", "/broken", "browsing", 0)
    return "\n".join(lines) + "\n"


def _route(
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
