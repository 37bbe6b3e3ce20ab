"""The structured log is bounded, never blocks, and has one line for each event."""

import json
import os

from mangowell_core.events import Event, EventCode
from mangowell_node.event_log import LINES_PER_WINDOW, MAX_PENDING_BYTES, EventLog


class ManualClock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def make_log():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    clock = ManualClock()
    return EventLog("node-1", writer, clock), reader, clock


def read_all(reader):
    data = b""
    while True:
        try:
            chunk = os.read(reader, 65_536)
        except BlockingIOError:
            return data
        if not chunk:
            return data
        data += chunk


def make_refused_event(number=0):
    return Event(EventCode.CALL_REFUSED, {"request": f"r{number}", "reason": "full"})


def test_event_is_one_json_object_a_line():
    log, reader, _ = make_log()
    log.write(make_refused_event(7))
    (line,) = read_all(reader).splitlines()
    assert json.loads(line) == {
        "time": 1000.0,
        "code": 501,
        "event": "call_refused",
        "instance": "node-1",
        "request": "r7",
        "reason": "full",
    }


def test_events_above_the_rate_limit_are_counted_not_written():
    log, reader, clock = make_log()
    for number in range(1000):
        log.write(make_refused_event(number))
    log.write(Event(EventCode.SOURCE_DOWN, {"reason": "x"}))
    clock.now += 1.5
    log.write(Event(EventCode.SOURCE_UP, {}))
    lines = [json.loads(line) for line in read_all(reader).splitlines()]
    names = [line["event"] for line in lines]
    limit = LINES_PER_WINDOW[EventCode.CALL_REFUSED]
    assert names.count("call_refused") == limit
    assert "source_down" in names
    (omitted,) = [line for line in lines if line["event"] == "events_omitted"]
    assert omitted["call_refused"] == 1000 - limit


def test_stalled_reader_loses_lines_but_memory_stays_bounded():
    log, reader, clock = make_log()
    for number in range(200_000):
        clock.now += 0.1
        log.write(make_refused_event(number))
    assert log.pending_bytes <= MAX_PENDING_BYTES
    assert len(read_all(reader)) > 0
    while log.pending_bytes:
        read_all(reader)
        log.flush()
    read_all(reader)
    clock.now += 2.0
    log.write(make_refused_event())
    assert b"events_omitted" in read_all(reader)


def test_closed_pipe_raises_no_error():
    log, reader, _ = make_log()
    os.close(reader)
    log.write(make_refused_event())
    assert log.pending_bytes == 0


def test_newline_in_a_field_cannot_inject_a_log_line():
    log, reader, _ = make_log()
    text = 'x"}\n{"code": 1, "event": "forged"}'
    log.write(Event(EventCode.CALL_REFUSED, {"request": text}))
    (line,) = read_all(reader).splitlines()
    assert json.loads(line)["request"] == text
