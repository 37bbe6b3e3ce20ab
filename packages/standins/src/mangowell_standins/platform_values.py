"""Documents and entries of workers, as the platform's store holds them."""

import json

HOST = "shop.example"


def make_document(
    version=1, routes=None, services=("orders",), limits=None, service_fields=None
):
    """Return the operators' document as bytes; all services have `service_fields`."""
    return json.dumps(
        {
            "version": version,
            "routes": make_table(
                routes or {"r1": make_route(), "r2": make_route("/pay/", "unsafe")}
            ),
            "services": make_table(
                {
                    name: {
                        "health-path": "/healthz",
                        "max-connections": 60,
                        **(service_fields or {}),
                    }
                    for name in services
                }
            ),
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 1_000_000,
                "header-timeout": "3000ms",
                "idle-timeout": "15000ms",
                **(limits or {}),
            },
        }
    ).encode()


def make_table(items):
    """Return a table with one row for each item of a dict."""
    columns = ["name"]
    for item in items.values():
        columns += [field for field in item if field not in columns]
    rows = [
        [name, *(item.get(field) for field in columns[1:])]
        for name, item in items.items()
    ]
    return {"columns": columns, "rows": rows}


def make_route(prefix="/", kind="safe", **fields):
    """Return a route to the service `orders`, with `fields` replaced."""
    return {
        "hostname": HOST,
        "prefix": prefix,
        "route-type": kind,
        "timeout": "2000ms",
        "target-latency": "500ms",
        "priority": 1,
        "max-attempts": 2,
        "service": "orders",
        **fields,
    }


def make_entry(host, port, service="orders", state="ready", zone="z", **fields):
    """Return the entry of a worker with four slots, as bytes."""
    return json.dumps(
        {
            "address": f"{host}:{port}",
            "node-info": {
                "service": service,
                "version": "v1",
                "zone": zone,
                "slots": 4,
            },
            "status": {"state": state, "seq": 1, "warmup-left": "0ms"},
            "born": 1_700_000_000_000,
            **fields,
        }
    ).encode()
