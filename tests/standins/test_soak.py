"""Runs programs under random faults, with fixed seeds."""

import pytest

from damasksaddle_standins.soak import run_soak


@pytest.mark.parametrize("seed", [1, 9])
async def test_invariants_hold_under_faults(seed):
    """Guards against invariants that break when two faults coincide."""
    report = await run_soak(seed, minutes=0.5)
    assert report.broken == []
    assert report.turns > 50 and len(report.faults) > 2
