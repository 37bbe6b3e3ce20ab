"""Guards the decoding of the values that operators and workers write."""

import json

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from mangowell_node.platform import (
    PlatformDialect,
    PlatformFormatError,
    decode_document,
    decode_endpoint,
)
from mesh.support_mesh import make_document, make_entry, make_route


def test_route_fields_are_decoded_with_their_units():
    document = decode_document(make_document(7))
    route = document.routes[1]
    assert (document.version, route.prefix, route.idempotent) == (7, "/pay/", False)
    assert (route.timeout_s, route.objective_s, route.max_attempts) == (2.0, 0.5, 2)
    assert route.parts == (("orders", 1.0),)
    assert document.limits.idle_timeout_s == 15.0


def test_traffic_split_is_decoded_with_its_weights():
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    routes = {"r": make_route(**{"traffic-split": split})}
    (route,) = decode_document(make_document(1, routes)).routes
    assert route.parts == (("a", 90), ("b", 10))


@pytest.mark.parametrize(
    "change",
    [
        {"timeout": "2000"},
        {"timeout": 2000},
        {"route-type": 7},
        {"priority": "high"},
        {"service": None},
    ],
)
def test_one_invalid_route_refuses_the_whole_document(change):
    routes = {"good": make_route(), "bad": make_route("/b/", **change)}
    with pytest.raises(PlatformFormatError):
        decode_document(make_document(1, routes))


@pytest.mark.parametrize(
    ("route_type", "warnings"),
    [
        ("upload", []),
        ("perhaps", ["route bad has the unknown type perhaps"]),
    ],
)
def test_route_of_another_type_stops_no_document_and_is_not_repeated(
    route_type, warnings
):
    """Guards against a fleet that serves nothing because of one new word."""
    routes = {"good": make_route(), "bad": make_route("/b/", route_type)}
    reported = []
    document = decode_document(make_document(1, routes), reported.append)
    assert [route.idempotent for route in document.routes] == [True, False]
    assert reported == warnings


def test_service_fields_are_decoded_and_default_to_no_bound():
    document = decode_document(make_document())
    assert (document.services[0].warmup_s, document.services[0].warmup_per_s) == (0, 0)
    raw = json.loads(make_document())
    raw["services"]["columns"] += ["warmup", "warmup-per-s"]
    raw["services"]["rows"][0] += ["3s", 6.0]
    (service,) = decode_document(json.dumps(raw).encode()).services
    assert (service.health_path, service.warmup_s) == ("/healthz", 3.0)
    assert service.warmup_per_s == 6.0


@pytest.mark.parametrize(
    ("text", "slots", "pace"),
    [
        ("3,0,8", 8, 0.0),
        ("3, 0, 8, 250", 8, 2.5),
        ("3,0,8,x", 8, 0.0),
        ("3,0", 0, 0.0),
        ("3,0,8,1,1", 0, 0.01),
    ],
)
def test_load_with_a_pace_is_not_dropped(text, slots, pace):
    headers = CIMultiDictProxy(CIMultiDict({"Server-Load": text}))
    dialect = PlatformDialect()
    assert (dialect.read_slots(headers), dialect.read_pace(headers)) == (slots, pace)


def test_endpoint_is_decoded():
    endpoint = decode_endpoint("servers/i-1", make_entry("10.0.0.1", 80), 44)
    assert (endpoint.id, endpoint.host, endpoint.port) == ("i-1", "10.0.0.1", 80)
    assert (endpoint.draining, endpoint.slots, endpoint.revision) == (False, 4, 44)
    assert endpoint.born_ms == 1_700_000_000_000


def change_entry(**fields):
    entry = json.loads(make_entry("10.0.0.1", 80))
    return json.dumps({**entry, **fields}).encode()


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        change_entry(address=5),
        change_entry(address="10.0.0.1"),
        change_entry(status={"state": "dancing"}),
        change_entry(status={}),
        change_entry(**{"node-info": {"service": "a", "zone": "z", "slots": "4"}}),
        change_entry(born="yesterday"),
    ],
)
def test_invalid_entry_is_refused(value):
    with pytest.raises(PlatformFormatError):
        decode_endpoint("servers/i-1", value, 1)


def test_host_that_is_too_long_in_lower_case_is_refused():
    """Guards against a document that other nodes cannot decode."""
    route = make_route(hostname="\u0130" * 200)
    with pytest.raises(PlatformFormatError):
        decode_document(make_document(1, {"r": route}))
