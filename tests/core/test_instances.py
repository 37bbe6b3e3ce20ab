"""Tests of the parser and the renderer of instance lists."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mangowell_core.instances import parse_instances, render_instances
from mangowell_core.model import Instance, InstanceList, InstanceState

TEXT = """\
# revision 12
a1 orders d1 10.0.0.1 1 2 3 4 5 live
a2 stock d2 ::1 6001 6002 6003 6004 6005 leaving
"""


def test_values():
    """Each field is parsed into its attribute and rendered back."""
    found = parse_instances(TEXT).unwrap()
    assert found.revision == 12
    assert found.instances["a1"].backend_port == 5
    assert found.instances["a2"].state is InstanceState.LEAVING
    assert render_instances(found) == TEXT


def test_empty_list_is_valid_because_the_platform_may_send_one():
    """An empty list must not be reported as an error."""
    assert parse_instances("# revision 0\n").unwrap().instances == {}


@pytest.mark.parametrize(
    ("old", "new", "line", "key", "value"),
    [
        ("# revision 12", "# revision -1", 1, "revision", "# revision -1"),
        ("# revision 12\n", "", 1, "revision", "a1 orders d1 10.0.0.1 1 2 3 4 5 live"),
        ("10.0.0.1", "localhost", 2, "host", "localhost"),
        (" 6004 ", " 65536 ", 3, "admin_port", "65536"),
        (" 6004 ", " ", 3, "", "a2 stock d2 ::1 6001 6002 6003 6005 leaving"),
        ("live", "dead", 2, "state", "dead"),
        ("a2", "a1", 3, "instance", "a1"),
        ("orders", "or/ders", 2, "service", "or/ders"),
    ],
)
def test_error_names_line_field_and_value(old, new, line, key, value):
    """Operators need the exact position and value of each error."""
    (error,) = parse_instances(TEXT.replace(old, new, 1), "list").unwrap_err()
    assert (error.file, error.line) == ("list", line)
    assert (error.key, error.value) == (key, value)


def test_lone_surrogate_is_an_error_not_an_exception():
    """Text that cannot be encoded as UTF-8 must not raise an exception."""
    assert parse_instances(TEXT + "\ud800").unwrap_err()[0].line == 4


@pytest.mark.parametrize("revision", [-1, True, "3"])
def test_render_checks_the_revision(revision):
    """A rendered list with an invalid revision could not be parsed again."""
    with pytest.raises(ValueError, match="revision"):
        render_instances(InstanceList(revision, {}, "", ""))


NAMES = st.from_regex(r"\A[A-Za-z0-9][A-Za-z0-9_.-]{0,5}\Z")
PORTS = st.integers(1, 65535)
INSTANCES = st.builds(
    Instance,
    NAMES,
    NAMES,
    NAMES,
    st.ip_addresses().map(str),
    *[PORTS] * 5,
    state=st.sampled_from(InstanceState),
)


@given(st.integers(0, 10**15 - 1), st.lists(INSTANCES))
def test_rendered_list_parses_back_to_itself(revision, instances):
    """Rendering and parsing must neither lose nor alter an instance."""
    listed = {instance.name: instance for instance in instances}
    text = render_instances(InstanceList(revision, listed, "", ""))
    found = parse_instances(text).unwrap()
    assert (found.revision, found.instances, found.text) == (revision, listed, text)
    assert parse_instances(text, previous=found).unwrap() == found


@given(st.integers(0, len(TEXT)), st.integers(0, 30), st.text(max_size=5))
def test_mutated_list_never_raises(at, size, piece):
    """Invalid texts must give errors, with and without a previous list."""
    text = TEXT[:at] + piece + TEXT[at + size :]
    result = parse_instances(text)
    assert result.is_ok() or result.unwrap_err()
    assert parse_instances(text, previous=parse_instances(TEXT).unwrap()) == result


def test_previous_list_without_its_text_is_not_reused():
    """Instances must not be matched with lines of another text."""
    found = parse_instances(TEXT).unwrap()
    assert parse_instances(TEXT, previous=replace(found, text="")).unwrap() == found
