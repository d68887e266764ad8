"""Collects the garbage of each test after it, and none inside of reports.

CPython 3.11 ends with a SystemError ("AST constructor recursion depth
mismatch") if a finalizer writes a traceback while other source is parsed, as
pytest and hypothesis do at any time.
"""

import gc

import pytest


def pytest_collection_finish():
    """Leave what was imported out of the collections of each test."""
    gc.freeze()


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport():
    """Let a report of a failure parse source without finalizers."""
    gc.disable()
    yield
    gc.enable()


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_teardown():
    """Run the finalizers of what a test has left behind."""
    yield
    gc.collect()
