"""The command that runs a soak on a range of seeds."""

import ast

from bench import soak_range
from bench.soak_range import parse_range, run_range

# Soak that fails on seed 2, and on seed 3 does not end and leaves a process behind.
SOAK = """
import subprocess, sys, time
seed = int(sys.argv[sys.argv.index("--seed") + 1])
if seed == 3:
    subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])
    time.sleep(60)
print(f"seed {seed}: by status {{200: 7}}")
if seed == 2:
    print("3 problems (DRAIN 2, FAULT 1); the first 10:")
sys.exit(seed == 2)
"""


def test_seeds_of_an_argument():
    assert list(parse_range("7-9")) == [7, 8, 9]
    assert list(parse_range("7")) == [7]


def test_range_reports_failures_and_ends_what_does_not_end(
    tmp_path, monkeypatch, capfd
):
    """Guards against a failed or hanging seed that the summary leaves out."""
    (tmp_path / "scripted_soak.py").write_text(SOAK)
    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr(soak_range, "MAX_EXTRA_S", 1.0)
    assert run_range("scripted_soak", range(1, 4), 3, 1.0, 6) == 1
    first, *lines = sorted(capfd.readouterr().out.splitlines())
    assert first.startswith("1 of 3 seeds passed; problems: ")
    problems = first.partition("problems: ")[2].rpartition(", reports")[0]
    assert ast.literal_eval(problems) == {"DRAIN": 2, "FAULT": 1, "no report": 1}
    assert lines[0].endswith("passed, by status {200: 7}")
    assert lines[1].endswith("failed, exit code 1: DRAIN 2, FAULT 1")
    assert lines[2].endswith("failed, not ended in time: no report 1")
    names = {path.name for path in (tmp_path / "build/soaks").iterdir()}
    assert names == {"scripted_soak-2.txt", "scripted_soak-3.txt"}
    assert run_range("scripted_soak", range(1, 2), 1, 1.0, 6) == 0
