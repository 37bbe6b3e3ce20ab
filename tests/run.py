"""Runs pytest without the tests that KNOWN-RED.txt lists, for `make test` and CI.

Takes the arguments of pytest. Only a line that begins with "test:" lists a test, by its
whole node id. `--deselect` takes prefixes, and would also pass over tests whose names
begin like that of a listed one.
"""

import sys
from pathlib import Path

import pytest

KNOWN_RED = "KNOWN-RED.txt"
_PREFIX = "test:"


def read_known(path: Path) -> list[str]:
    """Return the node ids of the listed tests; none if there is no list."""
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    ids = [line.removeprefix(_PREFIX) for line in lines if line.startswith(_PREFIX)]
    return [test for test in map(str.strip, ids) if test]


class KnownFaults:
    """Pytest plugin that passes over the listed tests.

    Parameters
    ----------
    known : list of str
        Node ids of the tests.
    """

    def __init__(self, known: list[str]):
        self._known = frozenset(known)

    @pytest.hookimpl(trylast=True)
    def pytest_collection_modifyitems(self, config, items):
        passed_over = [item for item in items if item.nodeid in self._known]
        if passed_over:
            config.hook.pytest_deselected(items=passed_over)
            items[:] = [item for item in items if item.nodeid not in self._known]


def main(args: list[str]) -> int:
    """Print the listed tests and run the others; return the exit code of pytest."""
    known = read_known(Path(KNOWN_RED))
    print(f"Passed over for known faults, see {KNOWN_RED}: {len(known)} tests")
    for test in known:
        print(f"  {test}")
    sys.stdout.flush()
    return pytest.main(args, plugins=[KnownFaults(known)])


if __name__ == "__main__":
    # As `python -m pytest` does: tests import modules of the root.
    sys.path[0] = str(Path.cwd())
    sys.exit(main(sys.argv[1:]))
