"""Builders of documents, instances, plans and policies for request policy tests."""

from random import Random

from mangowell_core.model import (
    Document,
    Instance,
    InstanceState,
    Route,
    Service,
    Snapshot,
    Tenant,
    TrafficClass,
)
from mangowell_core.policy import RequestPolicy
from mangowell_core.policy.types import AttemptResult, Cause, Outcome, Work
from mangowell_core.settings import NodeSettings, SourceSettings

PAYMENT = TrafficClass("payment", 0)
BROWSE = TrafficClass("browse", 5)
DEFERRABLE = TrafficClass("sheets", 9, deferrable=True)
CLASSES = {c.name: c for c in (PAYMENT, BROWSE, DEFERRABLE)}
SETTLED_QUIET_S = 100_000.0  # quiet time after which key ownership is settled
OK = AttemptResult(Outcome.DONE, Cause.NONE, 200, 0.02)
REFUSED = AttemptResult(Outcome.NOT_RUN, Cause.CONNECT_FAILED)
LOST = AttemptResult(Outcome.UNKNOWN, Cause.CONNECTION_LOST)


def make_instance(name, domain="d1", state=InstanceState.LIVE, service="shop"):
    return Instance(name, service, domain, "127.0.0.1", 1, 2, 3, 4, 5, state)


def make_snapshot(*instances, revision=1, tenants=None, routes=None, **service):
    shop = Service("shop", **service)
    routes = routes or (
        Route("browse", "shop", "/", (), "browse", retries=2, hedge_after_ms=50),
        Route("pay", "shop", "/pay", ("POST",), "payment", idempotent=False),
        Route("sheets", "shop", "/sheets", (), "sheets"),
    )
    document = Document(
        "test",
        1,
        CLASSES,
        {name: Tenant(name, weight) for name, weight in (tenants or {}).items()},
        {"shop": shop},
        {route.name: route for route in routes},
        "",
        "",
    )
    return Snapshot(document, revision, {"shop": tuple(instances)})


def make_policy(name="a", domain="d1", seed=1, quiet_s=SETTLED_QUIET_S, incarnation=1):
    settings = NodeSettings(
        name,
        "shop",
        domain,
        "test",
        "127.0.0.1",
        1,
        2,
        3,
        4,
        5,
        SourceSettings("http://127.0.0.1"),
        invariants="full",
    )
    return RequestPolicy.from_settings(settings, Random(seed), incarnation, quiet_s)


def make_plan(policy, now, path="/x", method="GET", key="", remaining_ms=None):
    return policy.match_route("r1", method, path, "t1", remaining_ms, key, now)


def make_work(
    now, traffic_class=BROWSE, tenant="t1", time_s=1.0, key="", fingerprint=""
):
    return Work(
        "r1", "shop", traffic_class, tenant, now + time_s, True, key, fingerprint
    )


def run_attempt(policy, now, result=OK, excluded=(), path="/x", latency_s=None):
    """Select an instance and end the attempt at once; return the instance's name."""
    plan = make_plan(policy, now, path)
    choice = policy.select_instance(plan, excluded, now)
    policy.record_attempt_start(plan, choice, now)
    policy.record_attempt_end(plan, choice, result, now)
    return choice.instance.name
