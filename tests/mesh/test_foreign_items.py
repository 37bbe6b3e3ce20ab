"""Guards against bytes of other writers in the store that affect more than themselves.

Such bytes once ended the task that reads the store on every node, so that no later
document and no draining worker came into force.
"""

import asyncio
import contextlib

import pytest

from mangowell_node.platform import (
    PlatformFormatError,
    decode_document,
    decode_endpoint,
)
from mesh.support_mesh import (
    make_document,
    make_entry,
    make_route,
    restart,
    run_mesh,
    until,
)

DEPTH = 6000
NESTED = b"[" * DEPTH + b"]" * DEPTH


def nest(value, field):
    """Return a JSON object with a further field that is nested too deep."""
    return value[:-1] + b', "%b": ' % field + NESTED + b"}"


NESTED_ENTRIES = {
    "without other fields": b'{"extra": ' + NESTED + b"}",
    "in an unknown field": nest(make_entry("127.0.0.9", 1), b"extra"),
    "in a known field": nest(make_entry("127.0.0.9", 1), b"born"),
}


@contextlib.asynccontextmanager
async def run_mesh_beside(key, value):
    """Run two machines with an item of another writer in the store.

    One node reads it as a change, the other as it starts.
    """
    async with run_mesh(2) as (store, machines):
        store.put(key, value)
        await asyncio.sleep(0.3)
        await restart(machines[1])
        yield store, machines


async def check_changes_are_applied(store, machines, version=5):
    """Write a document, a new worker and its removal, and wait for each."""
    store.put("op/config", make_document(version, {"r": make_route("/new/")}))
    store.put("servers/i-8", make_entry("127.0.0.8", 1, state="draining"))
    nodes = [machine.node for machine in machines]
    await until(
        lambda: all(
            node.directory.document_version == version
            and set(node.directory.endpoints) == {"i-1", "i-2", "i-8"}
            for node in nodes
        ),
        4.0,
    )
    store.delete("servers/i-8")
    await until(lambda: all(len(n.directory) == 2 for n in nodes), 4.0)
    for machine in machines:
        assert (await machine.call("/new/x")).status == 200
        assert not machine.get_events("internal_fault")


@pytest.mark.parametrize("value", NESTED_ENTRIES.values(), ids=NESTED_ENTRIES)
def test_deep_nesting_in_an_entry_is_a_format_error(value):
    with pytest.raises(PlatformFormatError, match="servers/x"):
        decode_endpoint("servers/x", value, 1)


@pytest.mark.parametrize("field", [b"extra", b"routes", b"version"])
def test_deep_nesting_in_the_document_is_a_format_error(field):
    with pytest.raises(PlatformFormatError, match="document"):
        decode_document(nest(make_document(), field))


@pytest.mark.parametrize("value", NESTED_ENTRIES.values(), ids=NESTED_ENTRIES)
async def test_deep_nesting_in_an_entry_does_not_stop_the_reading(value):
    async with run_mesh_beside("servers/x", value) as (store, machines):
        await check_changes_are_applied(store, machines)


async def test_deep_nesting_in_the_document_does_not_stop_the_reading():
    value = nest(make_document(4), b"extra")
    async with run_mesh_beside("op/config", value) as (store, machines):
        await until(lambda: machines[0].get_events("version_refused"))
        assert machines[0].node.directory.document_version == 1
        await check_changes_are_applied(store, machines)
