"""Fixtures of all tests. The loop's clock is paused by `looptime`."""

import pytest

from damasksaddle.utils import seed_ids

ID_SEED = 20261204


def pytest_collection_modifyitems(items):
    """Runs async tests on a paused clock unless they start real processes."""
    for item in items:
        if "processes" not in item.keywords:
            item.add_marker(pytest.mark.looptime)


@pytest.fixture(autouse=True)
def deterministic_ids():
    """Makes ids, and with them the owners, the same in every run."""
    seed_ids(ID_SEED)
    yield
    seed_ids(None)
