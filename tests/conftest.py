"""Fixtures shared by all tests. `looptime` simulates the clock of the event loop."""

import pytest

from damasksaddle.utils import seed_ids

ID_SEED = 20261204


def pytest_collection_modifyitems(items):
    """Runs async tests with a simulated clock unless they start real processes."""
    for item in items:
        if "processes" not in item.keywords:
            item.add_marker(pytest.mark.looptime)


@pytest.fixture(autouse=True)
def deterministic_ids():
    """Makes ids, and therefore the owners of programs, the same in every run."""
    seed_ids(ID_SEED)
    yield
    seed_ids(None)
