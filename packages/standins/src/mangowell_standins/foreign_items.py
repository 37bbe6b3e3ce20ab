"""Entries, documents and keys that another writer leaves in the platform's store.

All values follow from the random generator that is passed in, so that tests and
other programs that share a seed share the values.
"""

import json
from random import Random

# Deeper than the recursion limit of any JSON decoder in use.
NESTING_DEPTH = 6000
# Integers that do not fit into 64 bits, or not into the revision of a node.
LARGE_INTEGERS = (10**20, -(10**20), 2**63, 2**64, -(2**63) - 1, 10**400)
INVALID_PORTS = (0, -1, 65536, 70000, 10**20)
WRONG_TYPES = (None, True, 1.5, "text", [], {}, [1], {"a": 1}, -1)
# Characters that end a header field, and text that is no host name.
INVALID_HOSTS = (
    "",
    "256.1.1.1",
    "10.0.0",
    "worker.example",
    "10.0.0.1\r\nX: y",
    "10.0.0.1 ",
    "\ud800",
    "\u0661\u0660.0.0.1",
    "::1",
    "1" * 4000,
)
INVALID_DURATIONS = (
    "",
    "5",
    "-1ms",
    "1e400s",
    "nan s",
    "inf s",
    "1" * 400 + "s",
    "\u0661ms",
    "1 s",
    "1ms\n",
)


def make_foreign_key(rng: Random) -> str:
    """Return a key below the prefix of the workers, some of them unusual."""
    name = f"x-{rng.randrange(1 << 32):08x}"
    return "servers/" + rng.choice(
        (
            name,
            name,
            name,
            "",
            f"{name}/nested",
            f"{name} \u00e9\u4e16",
            f"{name}\r\nX: y",
            f"{name}\x00",
            name.ljust(192, "x"),
        )
    )


def make_foreign_entry(rng: Random) -> bytes:
    """Return the value of an entry that names no worker to use.

    Most are invalid. The others name a service that no route refers to.
    """
    make = rng.choice(_ENTRY_MAKERS)
    return make(rng)


def make_foreign_document(rng: Random) -> bytes:
    """Return the value of an invalid document of the operators."""
    make = rng.choice(_DOCUMENT_MAKERS)
    return make(rng)


def make_valid_entry(rng: Random) -> dict:
    """Return the fields of a valid entry of the service ``orders``."""
    return {
        "address": f"127.0.0.{rng.randrange(200, 250)}:{rng.randrange(1024, 65536)}",
        "node-info": {
            "service": "orders",
            "version": "v1",
            "zone": "z",
            "slots": rng.randrange(1, 64),
        },
        "status": {
            "state": rng.choice(("ready", "draining")),
            "seq": rng.randrange(1 << 31),
            "warmup-left": f"{rng.randrange(5000)}ms",
        },
        "born": 1_700_000_000_000 + rng.randrange(1 << 31),
    }


def make_valid_document(rng: Random) -> dict:
    """Return the fields of a valid document with one route to ``orders``."""
    return {
        "version": rng.randrange(1, 1 << 31),
        "routes": {
            "columns": [
                "name",
                "hostname",
                "prefix",
                "route-type",
                "timeout",
                "target-latency",
                "priority",
                "max-attempts",
                "service",
                "traffic-split",
            ],
            "rows": [
                [
                    "r1",
                    "shop.example",
                    "/",
                    rng.choice(("safe", "unsafe")),
                    "2000ms",
                    "0.5s",
                    rng.randrange(4),
                    rng.randrange(1, 4),
                    None,
                    [{"service": "orders", "weight": rng.randrange(1, 100)}],
                ]
            ],
        },
        "services": {
            "columns": [
                "name",
                "health-path",
                "max-connections",
                "warmup",
                "warmup-per-s",
            ],
            "rows": [["orders", "/healthz", 60, "3s", 0.0]],
        },
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1_000_000,
            "header-timeout": "3000ms",
            "idle-timeout": "15s",
        },
    }


def make_nested_json(rng: Random) -> bytes:
    """Return JSON text that is nested too deep for any decoder."""
    opening, closing = rng.choice(((b"[", b"]"), (b'{"a":', b"}")))
    depth = NESTING_DEPTH + rng.randrange(1000)
    nested = opening * depth + b"1" + closing * depth
    if rng.random() < 0.5:
        return nested
    # As the value of a field that a decoder skips, or of one that it reads.
    name = rng.choice(("extra", "born", "status", "version", "routes"))
    fields = rng.choice((make_valid_entry, make_valid_document))(rng)
    fields[name] = "@"
    return json.dumps(fields).encode().replace(b'"@"', nested, 1)


def _make_bytes(rng: Random) -> bytes:
    return rng.randbytes(rng.randrange(200))


def _make_no_object(rng: Random) -> bytes:
    return rng.choice(
        (
            b"",
            b" ",
            b"null",
            b"[]",
            b"0",
            b'"x"',
            b"NaN",
            b"\xff\xfe",
            b"\xef\xbb\xbf{}",
        )
    )


def _make_huge_string(rng: Random) -> bytes:
    return b'"' + b"x" * rng.randrange(100_000, 700_000) + b'"'


def _truncate(rng: Random, value: bytes) -> bytes:
    return value[: rng.randrange(len(value))]


def _break_utf8(rng: Random, value: bytes) -> bytes:
    """Replace a character of the first string that a decoder has to read."""
    before, quote, after = value.partition(b'orders"')
    return before + b"\xff\xc0" + quote + after


def _make_truncated_entry(rng: Random) -> bytes:
    return _truncate(rng, _encode(make_valid_entry(rng)))


def _make_entry_with_invalid_utf8(rng: Random) -> bytes:
    return _break_utf8(rng, _encode(make_valid_entry(rng)))


def _make_entry_without_a_field(rng: Random) -> bytes:
    entry = make_valid_entry(rng)
    parent, name = rng.choice(
        (
            (entry, "address"),
            (entry, "node-info"),
            (entry, "status"),
            (entry["node-info"], "service"),
            (entry["node-info"], "zone"),
            (entry["node-info"], "slots"),
            (entry["status"], "state"),
        )
    )
    del parent[name]
    return _encode(entry)


def _make_entry_of_wrong_type(rng: Random) -> bytes:
    entry = make_valid_entry(rng)
    parent, name, valid_types = rng.choice(
        (
            (entry, "address", ()),
            (entry, "node-info", ()),
            (entry, "status", ()),
            (entry["node-info"], "service", (str,)),
            (entry["node-info"], "zone", (str,)),
            (entry["node-info"], "slots", ()),
            (entry["status"], "state", ()),
            (entry["status"], "warmup-left", ()),
            (entry["status"], "seq", ()),
            (entry, "born", ()),
        )
    )
    parent[name] = rng.choice(
        [value for value in WRONG_TYPES if type(value) not in valid_types]
    )
    return _encode(entry)


def _make_entry_with_invalid_number(rng: Random) -> bytes:
    entry = make_valid_entry(rng)
    match rng.randrange(4):
        case 0:
            entry["born"] = rng.choice((*LARGE_INTEGERS, -1))
        case 1:
            entry["status"]["seq"] = rng.choice((*LARGE_INTEGERS, -1))
        case 2:
            entry["node-info"]["slots"] = rng.choice((*LARGE_INTEGERS, 0, -1))
        case 3:
            port = rng.choice(INVALID_PORTS)
            entry["address"] = f"127.0.0.200:{port}"
    return _encode(entry)


def _make_entry_with_nan(rng: Random) -> bytes:
    entry = make_valid_entry(rng)
    parent, name = rng.choice(
        (
            (entry, "born"),
            (entry["status"], "seq"),
            (entry["node-info"], "slots"),
        )
    )
    parent[name] = rng.choice((float("nan"), float("inf"), float("-inf")))
    return _encode(entry)


def _make_entry_with_invalid_text(rng: Random) -> bytes:
    entry = make_valid_entry(rng)
    match rng.randrange(5):
        case 0:
            entry["address"] = f"{rng.choice(INVALID_HOSTS)}:8080"
        case 1:
            entry["address"] = rng.choice(
                (
                    "",
                    ":",
                    "127.0.0.200",
                    "127.0.0.200:",
                    "127.0.0.200:80x",
                    "127.0.0.200:+80",
                    "127.0.0.200: 80",
                    "127.0.0.200:8_0",
                )
            )
        case 2:
            entry["status"]["warmup-left"] = rng.choice(INVALID_DURATIONS)
        case 3:
            entry["status"]["state"] = rng.choice(("", "READY", "gone", "\ud800"))
        case 4:
            name = rng.choice(("service", "zone"))
            entry["node-info"][name] = rng.choice(
                ("", "\ud800", "a\r\nX: y", "a\x00b", "x" * 300_000)
            )
    return _encode(entry)


def _make_entry_of_unknown_service(rng: Random) -> bytes:
    entry = make_valid_entry(rng)
    entry["node-info"]["service"] = f"unknown-{rng.randrange(1 << 16)}"
    return _encode(entry)


def _make_truncated_document(rng: Random) -> bytes:
    return _truncate(rng, _encode(make_valid_document(rng)))


def _make_document_with_invalid_utf8(rng: Random) -> bytes:
    return _break_utf8(rng, _encode(make_valid_document(rng)))


def _make_document_without_a_field(rng: Random) -> bytes:
    document = make_valid_document(rng)
    parent, name = rng.choice(
        (
            (document, "version"),
            (document, "routes"),
            (document, "services"),
            (document, "limits"),
            (document["limits"], "max-header-bytes"),
            (document["limits"], "idle-timeout"),
            (document["routes"], "rows"),
            (document["services"], "columns"),
        )
    )
    del parent[name]
    return _encode(document)


def _make_document_with_invalid_table(rng: Random) -> bytes:
    document = make_valid_document(rng)
    table = document["routes"]
    match rng.randrange(5):
        case 0:
            table["rows"].append(list(table["rows"][0]))
        case 1:
            table["rows"][0].pop()
        case 2:
            table["rows"][0][0] = rng.choice(({}, [], None, 5, ""))
        case 3:
            table["columns"][0] = "hostname"
        case 4:
            table["rows"][0].append("more")
    return _encode(document)


def _make_document_with_invalid_route(rng: Random) -> bytes:
    document = make_valid_document(rng)
    table = document["routes"]
    column, values = rng.choice(
        (
            ("hostname", ("", "\ud800", 5, None)),
            ("prefix", ("", "x", "/x", "x/", None)),
            ("route-type", ("", "un\nsafe", 5, None)),
            ("timeout", (*INVALID_DURATIONS, 5, None)),
            ("target-latency", (*INVALID_DURATIONS, 5, None)),
            ("priority", (*LARGE_INTEGERS, -1, "high", float("nan"))),
            ("max-attempts", (*LARGE_INTEGERS, 0, -1, "2")),
            ("traffic-split", (None, [], "orders", [{}])),
        )
    )
    table["rows"][0][table["columns"].index(column)] = rng.choice(values)
    return _encode(document)


def _make_document_with_invalid_weight(rng: Random) -> bytes:
    document = make_valid_document(rng)
    weights = rng.choice(
        (
            (0,),
            (-1,),
            (0, 0),
            (5, -5),
            (float("nan"),),
            (float("inf"), 1),
            (10**400,),
            ("1",),
        )
    )
    document["routes"]["rows"][0][-1] = [
        {"service": "orders", "weight": weight} for weight in weights
    ]
    return _encode(document)


def _make_document_with_invalid_number(rng: Random) -> bytes:
    document = make_valid_document(rng)
    match rng.randrange(6):
        case 0:
            document["version"] = rng.choice((*LARGE_INTEGERS, -1, 1.5))
        case 1:
            document["limits"]["max-body-bytes"] = rng.choice((*LARGE_INTEGERS, -1))
        case 2:
            document["limits"]["header-timeout"] = rng.choice(INVALID_DURATIONS)
        case 3:
            document["services"]["rows"][0][2] = rng.choice((*LARGE_INTEGERS, -1))
        case 4:
            document["services"]["rows"][0][3] = rng.choice((*INVALID_DURATIONS, 5))
        case 5:
            rates = (*LARGE_INTEGERS, -1, "6", float("nan"))
            document["services"]["rows"][0][4] = rng.choice(rates)
    return _encode(document)


def _encode(value: dict) -> bytes:
    return json.dumps(value).encode()


_ENTRY_MAKERS = (
    make_nested_json,
    _make_bytes,
    _make_no_object,
    _make_huge_string,
    _make_truncated_entry,
    _make_entry_with_invalid_utf8,
    _make_entry_without_a_field,
    _make_entry_of_wrong_type,
    _make_entry_with_invalid_number,
    _make_entry_with_nan,
    _make_entry_with_invalid_text,
    _make_entry_of_unknown_service,
)
_DOCUMENT_MAKERS = (
    make_nested_json,
    _make_bytes,
    _make_no_object,
    _make_huge_string,
    _make_truncated_document,
    _make_document_with_invalid_utf8,
    _make_document_without_a_field,
    _make_document_with_invalid_table,
    _make_document_with_invalid_route,
    _make_document_with_invalid_weight,
    _make_document_with_invalid_number,
)
