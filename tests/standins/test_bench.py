"""The benchmark: its results are repeatable and come from the stand-ins' records."""

import pytest

from damasksaddle.config import Policy
from damasksaddle_standins.bench.report import compute_metrics
from damasksaddle_standins.bench.scenario import Case, Fault, run_case
from damasksaddle_standins.bench.workloads import Deployment


@pytest.mark.parametrize("fault", [Fault.NONE, Fault.VM_KILLED])
def test_case_is_repeatable(fault):
    """Guards against results that differ between runs with the same seed."""
    case = Case(Deployment.IMBUTO, Policy.PROGRAM_FAIR, fault, 1, only_workspace="ws-4")
    first, second = run_case(case), run_case(case)
    assert first == second
    assert first.unfinished == 0
    metrics = compute_metrics(first, first.mean_by_workspace())
    assert metrics.worst_slowdown == 1
    assert 0 < metrics.p50_s <= metrics.p95_s <= metrics.p99_s
