"""Guards against bytes of other writers in the store that affect more than themselves.

Such bytes once ended the task that reads the store on every node, so that no later
document and no draining worker came into force.
"""

import asyncio
import contextlib
import json
from random import Random

import pytest

from mangowell_core.mesh import Directory
from mangowell_core.mesh.settings import parse_duration
from mangowell_node.platform import (
    PlatformFormatError,
    decode_document,
    decode_endpoint,
)
from mangowell_standins.foreign_items import (
    make_foreign_document,
    make_foreign_entry,
    make_valid_document,
    make_valid_entry,
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


def change_entry(**fields):
    """Return an entry with changed fields, also those of its parts."""
    entry = json.loads(make_entry("127.0.0.9", 1))
    for name, value in fields.items():
        parts = [entry, entry["node-info"], entry["status"]]
        part = next((part for part in parts if name in part), entry)
        part[name] = value
    return json.dumps(entry).encode()


LARGE_NUMBERS = {
    "born": change_entry(born=10**20),
    "seq": change_entry(seq=2**64),
    "slots": change_entry(slots=2**63),
}
INVALID_PORTS = [0, 70_000, 65_536, 10**20, -1, "8_0", " 80", "+80", "\u0661", ""]
INVALID_HOSTS = ["", "worker", "256.0.0.1", "10.0.0", "0.0.0.0", "::1", "10.0.0.1 "]


@pytest.mark.parametrize("value", LARGE_NUMBERS.values(), ids=LARGE_NUMBERS)
def test_number_too_large_in_an_entry_is_a_format_error(value):
    """Guards against numbers that are read but cannot be sent to other nodes."""
    with pytest.raises(PlatformFormatError):
        decode_endpoint("servers/x", value, 1)


@pytest.mark.parametrize("value", LARGE_NUMBERS.values(), ids=LARGE_NUMBERS)
async def test_number_too_large_in_an_entry_does_not_stop_the_reading(value):
    async with run_mesh_beside("servers/x", value) as (store, machines):
        await check_changes_are_applied(store, machines)


@pytest.mark.parametrize("number", [2**63, 10**20, -1])
@pytest.mark.parametrize(
    "column", ["version", "priority", "max-attempts", "max-connections"]
)
def test_number_too_large_in_the_document_is_a_format_error(column, number):
    document = make_valid_document(Random(1))
    if column == "version":
        document["version"] = number
    for table in (document["routes"], document["services"]):
        if column in table["columns"]:
            table["rows"][0][table["columns"].index(column)] = number
    with pytest.raises(PlatformFormatError):
        decode_document(json.dumps(document).encode())


@pytest.mark.parametrize("number", [10**20, 2**63])
async def test_number_too_large_in_the_document_does_not_stop_the_reading(number):
    value = make_document(4, {"r": make_route(priority=number)})
    async with run_mesh_beside("op/config", value) as (store, machines):
        await until(lambda: machines[0].get_events("version_refused"))
        await check_changes_are_applied(store, machines)


@pytest.mark.parametrize("port", INVALID_PORTS)
def test_port_out_of_range_names_no_worker(port):
    with pytest.raises(PlatformFormatError):
        decode_endpoint("servers/x", change_entry(address=f"10.0.0.1:{port}"), 1)


@pytest.mark.parametrize("port", [0, 70_000])
async def test_worker_with_a_port_out_of_range_gets_no_request(port):
    """Guards against requests that are offered to an address that cannot exist."""
    value = change_entry(address=f"127.0.0.9:{port}")
    async with run_mesh_beside("servers/x", value) as (store, machines):
        await until(lambda: all(len(m.node.directory) >= 2 for m in machines))
        for machine in machines:
            assert set(machine.node.directory.endpoints) == {"i-1", "i-2"}
        await check_changes_are_applied(store, machines)


@pytest.mark.parametrize("host", INVALID_HOSTS)
def test_host_that_is_no_ipv4_address_names_no_worker(host):
    """Guards against a lookup of a name, which blocks or raises UnicodeError."""
    with pytest.raises(PlatformFormatError):
        decode_endpoint("servers/x", change_entry(address=f"{host}:80"), 1)


@pytest.mark.parametrize("slots", [0, -1, 10**9, "4", 4.0, None, True])
def test_worker_without_usable_slots_names_no_worker(slots):
    with pytest.raises(PlatformFormatError):
        decode_endpoint("servers/x", change_entry(slots=slots), 1)


@pytest.mark.parametrize("name", ["", "a\r\nX: y", "a b", "\u4e16", "a\x00", "x" * 256])
def test_id_that_fits_into_no_header_field_names_no_worker(name):
    """Guards against header fields that another writer injects by a key."""
    with pytest.raises(PlatformFormatError):
        decode_endpoint(f"servers/{name}", make_entry("10.0.0.1", 80), 1)


@pytest.mark.parametrize("name", ["", "a\r\nX: y", "a\x00", "x" * 300_000])
@pytest.mark.parametrize("field", ["service", "zone"])
def test_name_that_cannot_be_sent_on_names_no_worker(field, name):
    """Guards against entries so long that a state exceeds the frame of a link."""
    with pytest.raises(PlatformFormatError):
        decode_endpoint("servers/x", change_entry(**{field: name}), 1)


@pytest.mark.parametrize("text", ["1" * 400 + "s", "1000000001s", "\u0661s", "1s\n"])
def test_duration_that_no_timer_takes_is_refused(text):
    """Guards against an infinite time: float() of 400 digits gives infinity."""
    with pytest.raises(ValueError, match=r"number|longer"):
        parse_duration(text)
    with pytest.raises(PlatformFormatError):
        decode_endpoint("servers/x", change_entry(**{"warmup-left": text}), 1)


@pytest.mark.parametrize("weights", [(0,), (0, 0), (5, -5), (-1,), (10**400, 1), ()])
def test_weights_that_distribute_nothing_refuse_the_document(weights):
    split = [{"service": "orders", "weight": weight} for weight in weights]
    routes = {"r": make_route(service=None, **{"traffic-split": split})}
    with pytest.raises(PlatformFormatError):
        decode_document(make_document(1, routes))


@pytest.mark.parametrize("prefix", ["", "x", "/x", "x/", "//x", "/a\n/"])
def test_prefix_without_its_slashes_refuses_the_document(prefix):
    with pytest.raises(PlatformFormatError):
        decode_document(make_document(1, {"r": make_route(prefix)}))


@pytest.mark.parametrize("table", ["routes", "services"])
@pytest.mark.parametrize("name", [5, None, [], {}, ""])
def test_row_without_a_usable_name_refuses_the_document(table, name):
    """Guards against a name that is no text, which other nodes cannot decode."""
    document = make_valid_document(Random(1))
    document[table]["rows"][0][0] = name
    with pytest.raises(PlatformFormatError):
        decode_document(json.dumps(document).encode())


@pytest.mark.parametrize("table", ["routes", "services"])
def test_duplicate_rows_and_columns_refuse_the_document(table):
    document = make_valid_document(Random(1))
    document[table]["rows"] *= 2
    with pytest.raises(PlatformFormatError, match="duplicate"):
        decode_document(json.dumps(document).encode())
    document = make_valid_document(Random(1))
    document[table]["columns"].append("name")
    document[table]["rows"][0].append("other")
    with pytest.raises(PlatformFormatError, match="duplicate"):
        decode_document(json.dumps(document).encode())


def test_valid_items_with_new_fields_are_accepted():
    """Guards against bounds that refuse what the platform writes."""
    for seed in range(300):
        rng = Random(seed)
        entry = make_valid_entry(rng) | {"new": [{"a": 10**30}]}
        entry["status"]["new"] = None
        assert decode_endpoint("servers/i-1", json.dumps(entry).encode(), 1)
        document = make_valid_document(rng) | {"new": 1.5}
        document["routes"]["columns"].append("new")
        document["routes"]["rows"][0].append({"a": []})
        document["limits"]["new"] = "1m"
        assert decode_document(json.dumps(document).encode())


def test_foreign_items_are_format_errors():
    for seed in range(1500):
        with pytest.raises(PlatformFormatError):
            decode_document(make_foreign_document(Random(seed)))
        try:
            endpoint = decode_endpoint("servers/x", make_foreign_entry(Random(seed)), 1)
        except PlatformFormatError:
            continue
        assert endpoint.service.startswith("unknown-")


def test_entry_of_an_unknown_service_does_not_take_the_address_of_a_worker():
    """Guards against a worker that gets no request for a later entry at its address."""
    directory = Directory()
    directory.apply_document(decode_document(make_document()))
    worker = decode_endpoint("servers/i-1", make_entry("10.0.0.1", 80), 5)
    foreign = make_entry("10.0.0.1", 80, service="nobody", born=1_800_000_000_000)
    directory.put(worker)
    directory.put(decode_endpoint("servers/x", foreign, 6))
    assert directory.look_up_service("orders") == (worker,)
    assert directory.look_up_address("10.0.0.1", 80) == worker
    document = make_document(2, services=("orders", "nobody"))
    directory.apply_document(decode_document(document))
    assert directory.look_up_service("orders") == ()
    assert directory.look_up_address("10.0.0.1", 80).id == "x"


async def test_worker_is_used_beside_an_entry_of_an_unknown_service():
    async with run_mesh() as (store, (machine,)):
        port = machine.worker.port
        foreign = make_entry(machine.host, port, service="nobody")
        store.put("servers/x", foreign)
        await until(lambda: len(machine.node.directory) == 2)
        assert (await machine.call()).status == 200


@pytest.mark.parametrize("value", (None, 5, ["YQ=="], {"a": "b"}))
async def test_worker_whose_entry_is_replaced_by_a_value_without_text_is_dropped(value):
    """Guards against an item that is refused without the worker that it names."""
    async with run_mesh(2) as (store, machines):
        name = machines[1].id
        store.put(f"servers/{name}", b"", {"value": value})
        await until(
            lambda: all(name not in m.node.directory.endpoints for m in machines)
        )
