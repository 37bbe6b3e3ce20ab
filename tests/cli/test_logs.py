"""``explain`` works from logs alone, without reachable nodes."""

import json

from mangowell_cli.internal.logs import decode_lines, show_logs


def make_line(time, event, **fields):
    head = {"time": time, "code": 501, "event": event, "instance": "n1"}
    return json.dumps({**head, **fields}) + "\n"


def test_request_is_shown_with_its_calls_in_order(tmp_path, capsys):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text(
        make_line(3.0, "call_unknown", request="r1", cause="connection-lost")
        + make_line(2.0, "call_refused", request="r2")
    )
    second.write_text(make_line(1.0, "call_refused", request="r1.c1", cause="x"))
    assert show_logs([str(first), str(second)], {"request": "r1"}, True) == 0
    events = json.loads(capsys.readouterr().out)["events"]
    assert [event["fields"]["request"] for event in events] == ["r1.c1", "r1"]


def test_request_without_lines_is_a_finding(tmp_path, capsys):
    path = tmp_path / "a.log"
    path.write_text(make_line(1.0, "call_refused", request="r1"))
    assert show_logs([str(path)], {"request": "r9"}, False) == 1
    assert "no events" in capsys.readouterr().out


def test_lines_of_other_programs_are_skipped():
    lines = [
        b"\xff\xfe",
        b"plain text",
        b'{"half": ',
        b"2026-12-04 n1 " + make_line(1.0, "call_refused", request="r1").encode(),
    ]
    ((head, fields),) = decode_lines(lines)
    assert (head.event, fields["request"]) == ("call_refused", "r1")
