"""Setup that all tests share."""

import gc

import pytest

# Imported before any test leaves objects to finalize; see `pytest_collection`.
import hypothesis  # noqa: F401


@pytest.hookimpl(wrapper=True)
def pytest_collection():
    """Run no finalizers while test files are parsed.

    In Python 3.11, `ast.parse` raises SystemError if the garbage collector runs a
    finalizer meanwhile whose traceback is printed, as that parses source as well
    (https://github.com/python/cpython/issues/106905).
    """
    gc.disable()
    try:
        return (yield)
    finally:
        gc.enable()
