"""Fixtures shared by all tests. `looptime` simulates the clock of the event loop."""

from pathlib import Path

import pytest

from damasksaddle.utils import seed_ids

ID_SEED = 20261204
KNOWN_FAILURES = Path(__file__).parents[1] / "KNOWN-RED.txt"


def _known_failures():
    """Returns the node ids of the tests in KNOWN-RED.txt, if it exists."""
    if not KNOWN_FAILURES.exists():
        return set()
    lines = KNOWN_FAILURES.read_text().splitlines()
    prefix = "test: "
    return {line.removeprefix(prefix) for line in lines if line.startswith(prefix)}


def pytest_collection_modifyitems(items):
    """
    Runs async tests with a simulated clock unless they start real processes.

    Tests in KNOWN-RED.txt run and are reported, but their failures do not count.
    """
    known_failures = _known_failures()
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
        if "processes" not in item.keywords:
            item.add_marker(pytest.mark.looptime)


@pytest.fixture(autouse=True)
def deterministic_ids():
    """Makes ids, and therefore the owners of programs, the same in every run."""
    seed_ids(ID_SEED)
    yield
    seed_ids(None)
