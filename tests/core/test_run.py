"""Guards against a test run that passes over more tests than the listed ones."""

import subprocess
import sys
from pathlib import Path

RUN = Path(__file__).parents[1] / "run.py"
MODULE = """
import pytest

def test_a(): pass
def test_a_longer(): pass
def test_c(): pass
def test_d(): assert False

@pytest.mark.parametrize("name", ["x", "x y", "x'y", 'x"y', "x$y", "x[1]", "x\\\\y"])
def test_b(name): pass
"""
KNOWN = """CI passes over lines that begin with "test:".
case:    test_names.py::test_c
 test:   test_names.py::test_c
see test: test_names.py::test_c
test:    test_names.py::test_a
test:test_names.py::test_b[x y]
test:    test_names.py::test_b[x'y]
test:    test_names.py::test_b[x"y]
test:    test_names.py::test_b[x$y]
test:    test_names.py::test_b[x[1]]  \t
test:    test_names.py::test_b[x\\\\y]
test:    test_names.py
test:    test_names.py::test_
test:
"""
LEFT = ["test_a_longer", "test_c", "test_d", "test_b[x]"]


def run(path, *args, known=KNOWN):
    (path / "test_names.py").write_text(MODULE)
    if known is not None:
        (path / "KNOWN-RED.txt").write_text(known)
    command = (sys.executable, RUN, "--rootdir", ".", "-p", "no:cacheprovider", *args)
    return subprocess.run(command, cwd=path, capture_output=True, text=True, timeout=60)


def test_run_passes_over_exactly_the_listed_tests(tmp_path):
    """`--deselect` takes prefixes; a quote or a space in a name could end it early."""
    out = run(tmp_path, "-q", "--collect-only").stdout
    found = [line for line in out.splitlines() if line.startswith("test_names.py::")]
    assert found == [f"test_names.py::{name}" for name in LEFT]


def test_run_prints_the_listed_tests_before_it_starts(tmp_path):
    out = run(tmp_path, "--collect-only").stdout
    assert out.startswith("Passed over for known faults, see KNOWN-RED.txt: 9 tests\n")
    listed = out.partition("=== test session starts")[0].splitlines()[1:]
    assert listed[0] == "  test_names.py::test_a"
    assert "  test_names.py::test_b[x y]" in listed
    assert not any("test_c" in line for line in listed)


def test_run_fails_if_another_test_fails(tmp_path):
    assert run(tmp_path).returncode == 1
    known = "test: test_names.py::test_d\n"
    assert run(tmp_path, known=known).returncode == 0


def test_run_without_a_list_runs_all_tests(tmp_path):
    out = run(tmp_path, "-q", "--collect-only", known=None).stdout
    assert "11 tests collected" in out
