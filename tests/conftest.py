"""Fixtures of all tests. The loop's clock is paused by `looptime`."""

import pytest


def pytest_collection_modifyitems(items):
    """Runs async tests on a paused clock unless they start real processes."""
    for item in items:
        if "processes" not in item.keywords:
            item.add_marker(pytest.mark.looptime)
