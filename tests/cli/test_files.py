import json
from pathlib import Path

import pytest

from mangowell_core.document import parse_document
from mangowell_core.settings import parse_settings

EXAMPLES = Path(__file__).parents[2] / "examples"
FILES = sorted(EXAMPLES.rglob("*.*"))


@pytest.fixture
def invalid_document(tmp_path):
    """Write a document with two errors."""
    text = (EXAMPLES / "ventilaris/trial.ini").read_text()
    path = tmp_path / "faulty.ini"
    path.write_text(text.replace("priority = 0", "priority = x").replace("= 27", "= 0"))
    return path


@pytest.mark.parametrize("path", FILES, ids=lambda p: f"{p.parent.name}-{p.name}")
def test_example_is_valid(run, path):
    code, out, _ = run("check", path)
    kind = "settings" if path.name == "node.ini" else "document"
    assert (code, out) == (0, f"{path}: valid {kind}\n")


def test_examples_include_all_three_files():
    names = ["node.ini", "production.ini", "trial.ini"]
    assert [path.name for path in FILES] == names * 2


@pytest.mark.parametrize("name", ["dar-el-lghaz", "ventilaris"])
def test_example_never_retries_payments_and_ranks_them_first(name):
    doc = parse_document((EXAMPLES / name / "production.ini").read_text()).unwrap()
    posts = [r for r in doc.routes.values() if r.methods == ("POST",)]
    assert posts
    assert not any(route.idempotent for route in posts)
    assert 0 in {doc.classes[route.traffic_class].priority for route in posts}


def test_examples_choose_between_convergence_and_control_bytes():
    texts = (path.read_text() for path in FILES if path.name == "node.ini")
    settings = [parse_settings(text).unwrap() for text in texts]
    dar_el_lghaz, ventilaris = (s.distribution.coalesce_ms for s in settings)
    assert dar_el_lghaz > ventilaris


def test_check_lists_every_error(run, invalid_document):
    code, out, _ = run("check", invalid_document)
    assert code == 2
    assert [line.split(": ", 1)[1] for line in out.splitlines()] == [
        "[document] version = '0': out of range, expected 1 to 999999999999999",
        "[class confirmation] priority = 'x': expected an integer",
    ]
    assert out.startswith(f"{invalid_document}:4: ")


def test_check_as_json(run, invalid_document):
    good = EXAMPLES / "ventilaris/trial.ini"
    code, out, _ = run("check", good, invalid_document, "--json")
    first, second = json.loads(out)["files"]
    assert code == 2
    assert (first["valid"], first["version"], first["errors"]) == (True, 27, [])
    where = {
        "file": str(invalid_document),
        "line": 4,
        "section": "document",
        "key": "version",
    }
    error = second["errors"][0]
    assert error.pop("reason").startswith("out of range")
    assert error == where | {"value": "0"}


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (None, ":1:: cannot be read"),
        (b"[document]\nenvironment = \xff\n", ":2:: text is not valid UTF-8"),
        (b"# revision x\n", ":1: revision = '# revision x'"),
    ],
)
def test_check_reports_an_unreadable_file(run, tmp_path, body, reason):
    path = tmp_path / "a.ini"
    if body is not None:
        path.write_bytes(body)
    code, out, _ = run("check", path)
    assert code == 2
    assert reason in out


def test_file_cannot_send_control_characters_to_the_terminal(run, tmp_path):
    path = tmp_path / "a.ini"
    path.write_text("[document]\n\x1b[2J = \x1b]0;title\x07\n")
    assert "\x1b" not in run("check", path)[1]


def test_diff_names_keys_as_the_document_writes_them(run, tmp_path):
    old = EXAMPLES / "ventilaris/trial.ini"
    text = old.read_text().replace("= 27", "= 28").replace("class = stock", "class = x")
    new = tmp_path / "new.ini"
    new.write_text(text.replace("[class stock]", "[class x]"))
    code, out, _ = run("diff", old, new)
    assert code == 1
    assert "    class: stock -> x\n" in out
    code, out, _ = run("diff", old, new, "--json")
    diff = json.loads(out)
    assert diff["versions"] == [27, 28]
    sections = [change["section"] for change in diff["changes"]]
    assert sections == ["class stock", "class x", "route stock-level"]
    assert diff["services"] == ["stock"]


def test_diff_warns_that_nodes_ignore_a_version_that_is_not_raised(run, tmp_path):
    old = EXAMPLES / "ventilaris/trial.ini"
    new = tmp_path / "new.ini"
    new.write_text(old.read_text().replace("queue_limit = 18 ", "queue_limit = 19 "))
    assert "warning: nodes that run version 27 ignore" in run("diff", old, new)[1]


def test_diff_exit_codes(run, invalid_document):
    good = EXAMPLES / "ventilaris/trial.ini"
    assert run("diff", good, good)[0] == 0
    assert run("diff", good, invalid_document)[0] == 2


@pytest.mark.parametrize("argv", [[], ["check"], ["diff", "a"], ["unknown"]])
def test_wrong_usage_gives_exit_code_2(run, argv):
    assert run(*argv)[0] == 2
