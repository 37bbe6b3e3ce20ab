"""Tests that the core does no I/O, which would break replay from a seed."""

import ast
from pathlib import Path

import mangowell_core

FORBIDDEN = {
    "aiohttp",
    "aiomisc",
    "asyncio",
    "mangowell_cli",
    "mangowell_node",
    "mangowell_standins",
    "os",
    "socket",
    "subprocess",
    "threading",
    "time",
    "zmq",
}
# The core gets clocks and random sources as arguments, so it may import
# only their types.
RANDOM_NAMES = {"Random"}


def find_imports(path):
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Import(names):
                yield from ((alias.name.partition(".")[0], "") for alias in names)
            case ast.ImportFrom(module, names):
                yield from ((module.partition(".")[0], alias.name) for alias in names)


def test_core_imports_no_clock_no_io_and_nothing_of_the_node():
    """An import of a forbidden module would let real time or I/O into the core."""
    root = Path(mangowell_core.__file__).parent
    found = [
        (path.relative_to(root), module, name)
        for path in root.rglob("*.py")
        for module, name in find_imports(path)
        if module in FORBIDDEN or (module == "random" and name not in RANDOM_NAMES)
    ]
    assert found == []
