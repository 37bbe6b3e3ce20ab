"""Tests of the parser of node settings."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mangowell_core.settings import parse_settings

KEY = "#" + "=" * 39
TEXT = f"""\
[node]
instance = orders-1
service = orders
failure_domain = d1
environment = trial
host = 10.0.0.1
control_port = 7001
link_port = 7002
call_port = 7003
admin_port = 7004
backend_port = 7001
seeds = 10.0.0.2:7001, [::1]:7001
[source]
url = http://10.0.0.2:8500
[security]
curve_public = {KEY}
curve_secret = {KEY}
[log]
"""


def test_values_and_defaults():
    """Values are converted, and missing optional keys get their defaults."""
    settings = parse_settings(TEXT).unwrap()
    assert settings.seeds == ("10.0.0.2:7001", "[::1]:7001")
    assert settings.invariants == "cheap"
    assert settings.distribution.coalesce_ms == 200
    assert settings.log.events_kept == 5000


def test_curve_key_that_starts_with_a_comment_sign_is_kept():
    """A key that is read as a comment would turn encryption off without an error."""
    assert parse_settings(TEXT).unwrap().security.curve_public == KEY


def test_secret_is_in_no_representation_and_no_error():
    """A secret must not reach the log, even if its key or section is wrong."""
    assert "curve_secret" not in repr(parse_settings(TEXT).unwrap())
    wrong = TEXT.replace("curve_secret = #", "curve_secret = ;")
    misplaced = TEXT.replace("[source]", "curve_secret = #====\n[source]")
    misspelt = TEXT.replace("curve_secret", "curve_sekret")
    for text in (wrong, misplaced, misspelt):
        errors = parse_settings(text).unwrap_err()
        assert errors
        assert "====" not in "".join(map(str, errors))


@pytest.mark.parametrize(
    ("old", "new", "line", "section", "key", "reason"),
    [
        ("host = 10.0.0.1", "host = a.example", 6, "node", "host", "IP address"),
        ("= 7002", "= 65536", 8, "node", "link_port", "1 to 65535"),
        ("= 7002", "= 7003", 9, "node", "call_port", "same port as link_port"),
        ("backend_port = 7001", "backend_host = 10.0.0.1\nbackend_port = 7001", 12)
        + ("node", "backend_port", "same port as control_port"),
        ("[::1]", "::1", 12, "node", "seeds", "in brackets"),
        ("10.0.0.2:7001", "10.0.0.2", 12, "node", "seeds", "host:port"),
        ("10.0.0.2:7001", "10.0.0.2:0", 12, "node", "seeds", "port '0'"),
        ("http://10.0.0.2:8500", "ftp://10.0.0.2", 14, "source", "url", "http://"),
        ("http://10.0.0.2:8500", "http://10.0.0", 14, "source", "url", "IP address"),
        ("http://10.0.0.2:8500", "http://10.0.0.2:0", 14, "source", "url", "range"),
        (f"curve_secret = {KEY}\n", "", 15, "security", "curve_secret", "together"),
        ("[log]", "[log]\nlevel = loud", 19, "log", "level", "one of debug"),
        ("[log]", "[log]\nlevels = info", 19, "log", "levels", "unknown key"),
        ("[log]", "[logs]", 18, "logs", "", "unknown section"),
        ("url = http://10.0.0.2:8500\n", "", 13, "source", "url", "missing key"),
        ("[log]", "[distribution]\nfanout = 0", 19, "distribution", "fanout", "1 to"),
    ],
)
def test_error_names_line_section_and_key(old, new, line, section, key, reason):
    """Operators need the exact position and the reason of each error."""
    assert old in TEXT
    (error,) = parse_settings(TEXT.replace(old, new, 1), "node.ini").unwrap_err()
    assert (error.line, error.section, error.key) == (line, section, key)
    assert reason in error.reason


@given(st.integers(0, len(TEXT)), st.integers(0, 30), st.text(max_size=5))
def test_mutated_settings_never_raise(at, size, piece):
    """Invalid settings must give errors and no exception."""
    result = parse_settings(TEXT[:at] + piece + TEXT[at + size :])
    assert result.is_ok() or result.unwrap_err()
