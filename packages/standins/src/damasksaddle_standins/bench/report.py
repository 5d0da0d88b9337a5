"""Runs all cases of the benchmark and writes a table and a figure of the results."""

import statistics
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from damasksaddle.config import Policy
from damasksaddle_standins.bench.scenario import Case, Fault, Record, run_case
from damasksaddle_standins.bench.workloads import Deployment, make_workload

TOKENS_PER_KTOKEN = 1000


@dataclass(frozen=True, slots=True)
class RunMetrics:
    """The metrics of one run (R23 to R26)."""

    p50_s: float
    p95_s: float
    p99_s: float
    wasted_ktokens: float
    worst_slowdown: float
    wrongful_refusals: float
    unfinished: float


COLUMNS: dict[str, Callable[[RunMetrics], float]] = {
    "p50 s": lambda m: m.p50_s,
    "p95 s": lambda m: m.p95_s,
    "p99 s": lambda m: m.p99_s,
    "wasted ktokens": lambda m: m.wasted_ktokens,
    "worst slowdown": lambda m: m.worst_slowdown,
    "wrongful refusals": lambda m: m.wrongful_refusals,
    "unfinished": lambda m: m.unfinished,
}
RowKey = tuple[Deployment, Fault, Policy]


def _percentile(values: list[float], fraction: float) -> float:
    sorted_values = sorted(values)
    return sorted_values[
        min(len(sorted_values) - 1, int(fraction * len(sorted_values)))
    ]


def compute_metrics(record: Record, isolated_latency_s: dict[str, float]) -> RunMetrics:
    """Computes metrics; `isolated_latency_s` is the latency of each workspace alone."""
    latencies = list(record.latencies_s.values())
    slowdowns = [
        mean_s / isolated_latency_s[workspace]
        for workspace, mean_s in record.mean_by_workspace().items()
    ]
    wasted = record.ledger.recomputed + record.ledger.unused
    return RunMetrics(
        _percentile(latencies, 0.50),
        _percentile(latencies, 0.95),
        _percentile(latencies, 0.99),
        wasted / TOKENS_PER_KTOKEN,
        max(slowdowns),
        record.wrongful_refusals,
        record.unfinished,
    )


def _make_isolated_cases(seeds: list[int]) -> list[Case]:
    return [
        Case(deployment, Policy.PROGRAM_FAIR, Fault.NONE, seed, workspace)
        for deployment in Deployment
        for seed in seeds
        for workspace in make_workload(deployment, seed).workspaces
    ]


def run_cases(
    seeds: list[int],
    workers: int,
    policies: Iterable[Policy] = Policy,
    faults: Iterable[Fault] = Fault,
) -> dict[RowKey, list[RunMetrics]]:
    """Runs every case and returns the metrics of each table row, one per seed."""
    isolated_cases = _make_isolated_cases(seeds)
    cases = [
        Case(deployment, policy, fault, seed)
        for deployment in Deployment
        for fault in faults
        for policy in policies
        for seed in seeds
    ]
    with ProcessPoolExecutor(workers) as pool:
        records = list(pool.map(run_case, isolated_cases + cases))
    isolated_latencies: dict[tuple[Deployment, int], dict[str, float]] = {}
    for case, record in zip(isolated_cases, records, strict=False):
        workspace_latencies = isolated_latencies.setdefault(
            (case.deployment, case.seed), {}
        )
        workspace_latencies.update(record.mean_by_workspace())
    rows: dict[RowKey, list[RunMetrics]] = {}
    for case, record in zip(cases, records[len(isolated_cases) :], strict=True):
        metrics = compute_metrics(
            record, isolated_latencies[(case.deployment, case.seed)]
        )
        row_key = (case.deployment, case.fault, case.policy)
        rows.setdefault(row_key, []).append(metrics)
    return rows


def _format_values(values: list[float]) -> str:
    mean = statistics.fmean(values)
    if min(values) == max(values):
        return f"{mean:.4g}"
    return f"{mean:.4g} ({min(values):.4g} to {max(values):.4g})"


def format_table(rows: dict[RowKey, list[RunMetrics]]) -> str:
    """Returns a Markdown table with mean, minimum and maximum over the seeds."""
    header = ["deployment", "fault", "policy", *COLUMNS]
    lines = [f"| {' | '.join(header)} |", f"|{'---|' * len(header)}"]
    for row_key, metrics in rows.items():
        cells = [
            _format_values([get_value(m) for m in metrics])
            for get_value in COLUMNS.values()
        ]
        lines.append(f"| {' | '.join([*row_key, *cells])} |")
    return "\n".join(lines) + "\n"


def draw_figure(rows: dict[RowKey, list[RunMetrics]], path: Path) -> None:
    """Draws four metrics by policy as a PNG, with one bar per fault."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    shown_columns = ("p95 s", "wasted ktokens", "worst slowdown", "wrongful refusals")
    deployments = list(dict.fromkeys(row_key[0] for row_key in rows))
    faults = list(dict.fromkeys(row_key[1] for row_key in rows))
    policies = list(dict.fromkeys(row_key[2] for row_key in rows))
    chart, axes = pyplot.subplots(
        len(deployments), len(shown_columns), figsize=(20, 9), squeeze=False
    )
    bar_width = 0.8 / len(faults)
    for axes_row, deployment in zip(axes, deployments, strict=True):
        for axis, column in zip(axes_row, shown_columns, strict=True):
            for number, fault in enumerate(faults):
                values = [
                    [COLUMNS[column](m) for m in rows[(deployment, fault, policy)]]
                    for policy in policies
                ]
                means = [statistics.fmean(seed_values) for seed_values in values]
                error_bars = [
                    [
                        mean - min(seed_values)
                        for mean, seed_values in zip(means, values, strict=True)
                    ],
                    [
                        max(seed_values) - mean
                        for mean, seed_values in zip(means, values, strict=True)
                    ],
                ]
                positions = [
                    position + number * bar_width for position in range(len(policies))
                ]
                axis.bar(positions, means, bar_width, yerr=error_bars, label=fault)
            axis.set_xticks(range(len(policies)), policies, rotation=15, fontsize=7)
            axis.set_title(f"{deployment}: {column}")
    axes[0][0].legend(fontsize=7)
    chart.tight_layout()
    chart.savefig(path)


def run_bench(directory: Path, seeds: list[int], workers: int) -> str:
    """Runs the benchmark, writes `bench.md` and `bench.png`, and returns the table."""
    rows = run_cases(seeds, workers)
    table = format_table(rows)
    directory.mkdir(parents=True, exist_ok=True)
    (directory / "bench.md").write_text(table)
    draw_figure(rows, directory / "bench.png")
    return table
