"""Tests of the parser, the comparison and the promotion of documents."""

from functools import cache

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mangowell_core.document import (
    MAX_DOCUMENT_BYTES,
    METHODS,
    diff_documents,
    parse_document,
    promote_document,
)
from mangowell_core.internal.schema import MAX_ERRORS

TEXT = """\
; trial of the shop
[document]
environment = trial
version = 3  ; raised by hand
[class payment]
priority = 0
[class browse]
priority = 5
deferrable = yes
[tenant web]
weight = 1.5
[service orders]
slots = 12
[service stock]
[route pay]
service = orders
path = /orders/pay
methods = POST
class = payment
idempotent = no
[route look]
service = stock
path = /stock
class = browse
idempotent = yes
hedge_after_ms = 20
"""


def parse_single_error(text):
    """Parse an invalid text and return its only error."""
    (error,) = parse_document(text, "x.ini").unwrap_err()
    assert error.file == "x.ini"
    return error


def test_values_and_defaults():
    """Values are converted, and missing optional keys get their defaults."""
    doc = parse_document(TEXT).unwrap()
    assert (doc.environment, doc.version) == ("trial", 3)
    assert doc.routes["pay"].methods == ("POST",)
    assert not doc.routes["pay"].idempotent
    assert doc.services["stock"].connections == 120
    assert doc.classes["browse"].deferrable
    assert doc.tenants["web"].weight == 1.5
    assert len(doc.digest) == 64


def test_route_without_idempotent_key_is_not_idempotent():
    """A route without the key must not run a payment twice."""
    text = TEXT.replace("idempotent = no\n", "")
    assert not parse_document(text).unwrap().routes["pay"].idempotent


# Old text | new text | line | section | key | value | part of the reason. A `~` is
# a line feed.
FAULTS = """\
[class browse] | [clas browse]   | 7  | clas browse    |         |         | unknown sec
slots          | slot            | 13 | service orders | slot    | 12      | unknown key
slots = 12     | slots = 1.5     | 13 | service orders | slots   | 1.5     | an integer
slots = 12     | slots = 1_0     | 13 | service orders | slots   | 1_0     | an integer
slots = 12     | slots = ٣       | 13 | service orders | slots   | ٣       | an integer
slots = 12     | slots = 0       | 13 | service orders | slots   | 0       | out of r
slots = 12     | slots           | 13 | service orders |         | slots   | key = value
slots = 12     | slots =         | 13 | service orders | slots   |         | an integer
slots = 12     | slots = 12 # x  | 13 | service orders | slots   | 12 # x  | an integer
slots = 12     | slots=1~slots=2 | 14 | service orders | slots   | 2       | on line 13
weight = 1.5   | weight = nan    | 11 | tenant web     | weight  | nan     | decimal
version = 3    | version = 0     | 4  | document       | version | 0       | out of r
version = 3    | version = -1    | 4  | document       | version | -1      | out of r
version = 3    | version = 3x    | 4  | document       | version | 3x      | an integer
priority = 0~  |                 | 5  | class payment  | priority |        | missing key
path = /stock  | path = stock    | 23 | route look     | path    | stock   | starts with
path = /stock  | path = /a?b     | 23 | route look     | path    | /a?b    | starts with
/stock         | /st;ck          | 23 | route look     | path    | /st;ck  | starts with
= POST         | = POTS          | 18 | route pay      | methods | POTS    | one of GET
= POST         | = GET,GET       | 18 | route pay      | methods | GET,GET | twice
= yes~hedge    | = on~hedge      | 25 | route look     | idempotent | on   | yes or no
= stock        | = stok          | 22 | route look     | service | stok    | no sect
class = browse | class = b       | 24 | route look     | class   | b       | [class b]
/stock         | /orders/pay     | 23 | route look     | path    | /orders/pay | same p
= no           | = no~retries=1  | 21 | route pay      | retries | 1       | no retries
= no     | = no~hedge_after_ms=9 | 21 | route pay      | hedge_after_ms | 9 | no hedging
[service stock] | [service stock]~[service stock] | 15 | service stock | | | on line 14
[tenant web]   | [tenant]~[tenant web] | 10 | tenant   |         |         | needs a
[document]     | [document x]    | 2  | document x     |         |         | no name
[class browse] | [class b c]     | 7  |                |         | [class b c] | malf
; trial        | a = b ; trial   | 1  |                | a       | b       | before
"""


@pytest.mark.parametrize("fault", FAULTS.splitlines())
def test_error_names_line_section_key_and_value(fault):
    """Operators need the exact position and value of each error."""
    cells = [cell.strip().replace("~", "\n") for cell in fault.split("|")]
    old, new, line, section, key, value, reason = cells
    assert old in TEXT
    errors = parse_document(TEXT.replace(old, new, 1), "x.ini").unwrap_err()
    assert {error.file for error in errors} == {"x.ini"}
    found = [e for e in errors if e.line == int(line) and reason in e.reason]
    assert [(e.section, e.key, e.value) for e in found] == [(section, key, value)]


def test_every_error_is_reported_in_line_order():
    """The parser must not stop at the first error."""
    text = TEXT.replace("= 12", "= a").replace("= 1.5", "= b").replace("= 5", "= c")
    errors = parse_document(text).unwrap_err()
    assert [error.value for error in errors] == ["c", "b", "a"]


def test_empty_text_misses_each_required_section():
    """An empty value in the source must not become a valid document."""
    errors = parse_document("").unwrap_err()
    sections = [error.section for error in errors]
    assert sections == ["document", "class", "service", "route"]


def test_document_over_1_mb_is_refused():
    """The configuration service cannot store a larger document."""
    assert "1000000" in parse_single_error(TEXT + ";" * MAX_DOCUMENT_BYTES).reason
    fill = ";" * (MAX_DOCUMENT_BYTES - len(TEXT.encode()))
    assert parse_document(TEXT + fill).is_ok()


def test_lone_surrogate_is_an_error_not_an_exception():
    """Text that cannot be encoded as UTF-8 must not raise an exception."""
    assert "Unicode" in parse_single_error(TEXT + "\ud800").reason


def test_errors_of_a_huge_faulty_text_are_bounded():
    """An error for each of 400,000 lines would fill the memory of a node."""
    errors = parse_document("x\n" * 400_000).unwrap_err()
    assert len(errors) == MAX_ERRORS + 1
    assert "399004 more" in errors[-1].reason


def test_diff_lists_the_affected_services():
    """Operators see which services a changed class or service section affects."""
    old = parse_document(TEXT).unwrap()
    new = TEXT.replace("slots = 12", "slots = 9").replace(
        "priority = 5", "priority = 6"
    )
    diff = diff_documents(old, parse_document(new).unwrap())
    found = [(c.kind, c.name, c.action, c.values, c.services) for c in diff.changes]
    assert found == [
        ("class", "browse", "changed", {"priority": (5, 6)}, ("stock",)),
        ("service", "orders", "changed", {"slots": (12, 9)}, ("orders",)),
    ]
    assert diff.services == ("orders", "stock")


def test_diff_ignores_comments_and_order():
    """Changes without effect must not be listed as changes."""
    old = parse_document(TEXT).unwrap()
    start = TEXT.index("[route pay]")
    middle = TEXT.index("[route look]")
    moved = TEXT[:start] + "; x\n" + TEXT[middle:] + TEXT[start:middle]
    assert diff_documents(old, parse_document(moved).unwrap()).changes == ()


def test_promotion_keeps_comments():
    """Promotion must replace only the values of environment and version."""
    text = promote_document(parse_document(TEXT).unwrap(), 41, "production")
    expected = TEXT.replace("= trial", "= production").replace("= 3", "= 41")
    assert text == expected


@pytest.mark.parametrize(
    ("version", "environment"), [(0, "a"), (True, "a"), (1, ""), (1, "a\n[x]")]
)
def test_promotion_checks_its_arguments(version, environment):
    """An invalid argument must not add sections or lines to the document."""
    with pytest.raises(ValueError, match=r"version|environment"):
        promote_document(parse_document(TEXT).unwrap(), version, environment)


NAMES = st.from_regex(r"\A[A-Za-z0-9][A-Za-z0-9_.-]{0,8}\Z")
COMMENTS = st.sampled_from(["", " ; 1 = [x]", "\t;x", "\n", "\n# [service z]", "\r"])


@st.composite
def documents(draw):
    """Generate a document as its text and its expected sections."""
    names = st.lists(NAMES, min_size=1, max_size=4, unique=True)
    services, classes = draw(names), draw(names)
    sections = [("document", "", {"environment": draw(NAMES), "version": 7})]
    sections += [("class", n, {"priority": draw(st.integers(0, 9))}) for n in classes]
    for name in services:
        sections.append(("service", name, {"slots": draw(st.integers(1, 99))}))
    for number, name in enumerate(draw(names)):
        idempotent = draw(st.booleans())
        route = {
            "service": draw(st.sampled_from(services)),
            "path": f"/{number}",
            "methods": tuple(draw(st.sets(st.sampled_from(METHODS)))),
            "class": draw(st.sampled_from(classes)),
            "idempotent": idempotent,
            "retries": draw(st.integers(0, 3)) if idempotent else 0,
        }
        sections.append(("route", name, route))
    lines = []
    for kind, name, values in draw(st.permutations(sections)):
        lines.append(f"[{kind} {name}]".replace(" ]", "]") + draw(COMMENTS))
        for key, value in values.items():
            match value:
                case bool():
                    value = "yes" if value else "no"
                case tuple():
                    value = ", ".join(value)
            lines.append(f"{key} = {value}{draw(COMMENTS)}")
    return "\n".join(lines), sections


@given(documents())
def test_generated_document_parses_back_to_itself(generated):
    """The parser must neither lose nor alter a value of a valid document."""
    text, sections = generated
    doc = parse_document(text).unwrap()
    kinds = {"class": doc.classes, "service": doc.services, "route": doc.routes}
    assert sum(map(len, kinds.values())) + 1 == len(sections)
    for kind, name, values in sections:
        found = doc if kind == "document" else kinds[kind][name]
        for key, value in values.items():
            attribute = "traffic_class" if key == "class" else key
            assert getattr(found, attribute) == value


@cache
def parse_example():
    return parse_document(TEXT).unwrap()


PIECES = st.one_of(
    st.text(max_size=5),
    st.sampled_from(TEXT.splitlines(keepends=True)),
    st.sampled_from(["[", "]", "=", "\n", ";", " ;", "#", "\0", "\r", "9" * 5000, "-"]),
)


@given(st.lists(st.tuples(st.integers(0, len(TEXT)), st.integers(0, 30), PIECES)))
def test_mutated_document_returns_errors_and_matches_its_full_parse(edits):
    """Invalid texts must give errors, with and without a previous document."""
    text = TEXT
    for at, size, piece in edits:
        text = text[:at] + piece + text[at + size :]
    result = parse_document(text)
    assert result.is_ok() or result.unwrap_err()
    # Parsing only the changed sections must give the same result.
    assert parse_document(text, previous=parse_example()) == result


@pytest.mark.parametrize(
    "text",
    [
        TEXT + "[tenant web]\nweight = 1.5",
        TEXT.replace("[service stock]\n", ""),
        TEXT + "[route copy]\nservice = stock\npath = /stock\nclass = browse",
    ],
    ids=["verbatim copy of a section", "service still in use", "route that exists"],
)
def test_reparse_checks_changes_against_unchanged_sections(text):
    """A changed section may be invalid only together with unchanged ones."""
    result = parse_document(text, previous=parse_example())
    assert result == parse_document(text)
    assert result.is_err()


def test_reparse_takes_unchanged_sections_from_the_previous_document():
    """Parsing unchanged sections again would waste time at each change."""
    text = TEXT.replace("version = 3", "version = 4").replace("slots = 12", "slots = 9")
    found = parse_document(text, previous=parse_example()).unwrap()
    assert found.routes["pay"] is parse_example().routes["pay"]
    assert found.services["orders"].slots == 9


@given(documents(), documents())
def test_reparse_of_changed_sections_equals_the_full_parse(old, new):
    """A node with a previous document must get the same result as one without."""
    previous = parse_document(old[0]).unwrap()
    assert parse_document(new[0], previous=previous) == parse_document(new[0])


@given(documents(), st.integers(1, 10**15 - 1), NAMES)
def test_promotion_keeps_all_but_environment_and_version(generated, version, name):
    """Promotion to an environment and back must restore the text."""
    trial = parse_document(generated[0]).unwrap()
    made = parse_document(promote_document(trial, version, name)).unwrap()
    assert (made.version, made.environment) == (version, name)
    assert diff_documents(trial, made).changes == ()
    back = promote_document(made, trial.version, trial.environment)
    assert back == trial.text
