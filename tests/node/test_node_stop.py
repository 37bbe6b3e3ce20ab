"""Whole nodes that stop: what a node that has not heard of the stop is told."""

import asyncio
from time import monotonic

from mangowell_core.policy.types import Cause
from mangowell_node.exchange import AttemptError, RequestHead
from mangowell_node.link import LinkPool, derive_link_key
from mangowell_node.reach import AddressFilter
from mangowell_standins.documents import make_document
from mangowell_standins.fleet import Fleet, FleetConfig
from node.support_calls import until


def make_head(service, target):
    return RequestHead(
        "late-1", service, "GET", target, b"", "", "browsing", 2, False, 0.0, True
    )


async def stop_and_call(paused_s, limits_s):
    """Stop a node of a fleet; return the causes at which late requests end."""
    fleet = Fleet(FleetConfig(domains=1, nodes_per_domain=2, first_domain=40))
    links = None
    causes = []
    try:
        await fleet.start(make_document(1))
        member = next(iter(fleet.members.values()))
        node, address = member.node, member.instance
        node._driver._last_check_at -= paused_s
        stop = asyncio.ensure_future(fleet.stop_node(member, 1.0))
        await until(lambda: node.status()["draining"])
        key = derive_link_key(member.settings.security.curve_secret)
        links = LinkPool("late", key, AddressFilter(), lambda event: None)
        head = make_head(address.service, "/catalogue")
        for limit_s in limits_s:
            deadline = monotonic() + limit_s
            try:
                await links.call(address.host, address.link_port, head, None, deadline)
                causes.append(Cause.NONE)
            except AttemptError as exc:
                causes.append(exc.refusal.cause)
        await stop
    finally:
        if links is not None:
            links.close()
        await fleet.stop()
    assert not fleet.violations
    return causes


async def test_stopping_node_is_not_reported_as_not_ready():
    """A node that is not ready is tried again by each call of a late peer."""
    assert await stop_and_call(0.0, (0.3, 3.0)) == [Cause.NONE, Cause.LEAVING]


async def test_node_that_stops_after_a_pause_accepts_no_request():
    """The stop must not end the check that a paused process makes first."""
    assert await stop_and_call(5.0, (0.3,)) == [Cause.NOT_READY]
