"""Setup that all tests share."""

import contextlib
import gc

# Imported before any test leaves objects to finalize; see `_without_finalizers`.
import hypothesis  # noqa: F401
import pytest


@contextlib.contextmanager
def _without_finalizers():
    """Run no finalizers while source is parsed.

    In Python 3.11, `ast.parse` raises SystemError if the garbage collector runs a
    finalizer meanwhile whose traceback is printed, as that parses source as well
    (issue 106905 of CPython).
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


@pytest.hookimpl(wrapper=True)
def pytest_collection():
    with _without_finalizers():
        return (yield)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport():
    with _without_finalizers():
        return (yield)
