"""Runs all cases of the bench and writes their table and figure."""

import statistics
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from damasksaddle.config import Policy
from damasksaddle_standins.bench.scenario import Case, Fault, Record, run_case
from damasksaddle_standins.bench.workloads import Deployment, make_workload

THOUSAND = 1000


@dataclass(frozen=True, slots=True)
class Measures:
    """The measures R23 to R26 of one run."""

    p50_s: float
    p95_s: float
    p99_s: float
    wasted_ktokens: float
    worst_slowdown: float
    wrongful: float
    unfinished: float


COLUMNS: dict[str, Callable[[Measures], float]] = {
    "p50 s": lambda m: m.p50_s,
    "p95 s": lambda m: m.p95_s,
    "p99 s": lambda m: m.p99_s,
    "wasted ktokens": lambda m: m.wasted_ktokens,
    "worst slowdown": lambda m: m.worst_slowdown,
    "wrongful refusals": lambda m: m.wrongful,
    "unfinished": lambda m: m.unfinished,
}
Row = tuple[Deployment, Fault, Policy]


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def measure(record: Record, alone_s: dict[str, float]) -> Measures:
    """Returns a run's measures; `alone_s` is each workspace's latency alone."""
    latencies = list(record.latencies_s.values())
    slowdowns = [
        mean_s / alone_s[workspace]
        for workspace, mean_s in record.mean_by_workspace().items()
    ]
    wasted = record.ledger.recomputed + record.ledger.unused
    return Measures(
        _percentile(latencies, 0.50),
        _percentile(latencies, 0.95),
        _percentile(latencies, 0.99),
        wasted / THOUSAND,
        max(slowdowns),
        record.wrongful,
        record.unfinished,
    )


def _alone_cases(seeds: list[int]) -> list[Case]:
    return [
        Case(deployment, Policy.PROGRAM_FAIR, Fault.NONE, seed, workspace)
        for deployment in Deployment
        for seed in seeds
        for workspace in make_workload(deployment, seed).workspaces
    ]


def run_all(
    seeds: list[int],
    workers: int,
    policies: Iterable[Policy] = Policy,
    faults: Iterable[Fault] = Fault,
) -> dict[Row, list[Measures]]:
    """Plays every case and returns the measures of each row, one per seed."""
    alone_cases = _alone_cases(seeds)
    cases = [
        Case(deployment, policy, fault, seed)
        for deployment in Deployment
        for fault in faults
        for policy in policies
        for seed in seeds
    ]
    with ProcessPoolExecutor(workers) as pool:
        records = list(pool.map(run_case, alone_cases + cases))
    alone: dict[tuple[Deployment, int], dict[str, float]] = {}
    for case, record in zip(alone_cases, records, strict=False):
        known = alone.setdefault((case.deployment, case.seed), {})
        known.update(record.mean_by_workspace())
    rows: dict[Row, list[Measures]] = {}
    for case, record in zip(cases, records[len(alone_cases) :], strict=True):
        measures = measure(record, alone[(case.deployment, case.seed)])
        row = (case.deployment, case.fault, case.policy)
        rows.setdefault(row, []).append(measures)
    return rows


def _cell(values: list[float]) -> str:
    mean = statistics.fmean(values)
    if min(values) == max(values):
        return f"{mean:.4g}"
    return f"{mean:.4g} ({min(values):.4g} to {max(values):.4g})"


def markdown(rows: dict[Row, list[Measures]]) -> str:
    """Returns the table: mean over seeds, with least and greatest."""
    header = ["deployment", "fault", "policy", *COLUMNS]
    lines = [f"| {' | '.join(header)} |", f"|{'---|' * len(header)}"]
    for row, measures in rows.items():
        cells = [_cell([get(m) for m in measures]) for get in COLUMNS.values()]
        lines.append(f"| {' | '.join([*row, *cells])} |")
    return "\n".join(lines) + "\n"


def figure(rows: dict[Row, list[Measures]], path: Path) -> None:
    """Draws the four measures by policy, one bar per fault, as a PNG."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    shown = ("p95 s", "wasted ktokens", "worst slowdown", "wrongful refusals")
    deployments = list(dict.fromkeys(row[0] for row in rows))
    faults = list(dict.fromkeys(row[1] for row in rows))
    policies = list(dict.fromkeys(row[2] for row in rows))
    drawing, axes = pyplot.subplots(
        len(deployments), len(shown), figsize=(20, 9), squeeze=False
    )
    width = 0.8 / len(faults)
    for line, deployment in zip(axes, deployments, strict=True):
        for axis, column in zip(line, shown, strict=True):
            for number, fault in enumerate(faults):
                values = [
                    [COLUMNS[column](m) for m in rows[(deployment, fault, policy)]]
                    for policy in policies
                ]
                means = [statistics.fmean(found) for found in values]
                spread = [
                    [mean - min(v) for mean, v in zip(means, values, strict=True)],
                    [max(v) - mean for mean, v in zip(means, values, strict=True)],
                ]
                places = [place + number * width for place in range(len(policies))]
                axis.bar(places, means, width, yerr=spread, label=fault)
            axis.set_xticks(range(len(policies)), policies, rotation=15, fontsize=7)
            axis.set_title(f"{deployment}: {column}")
    axes[0][0].legend(fontsize=7)
    drawing.tight_layout()
    drawing.savefig(path)


def run_bench(directory: Path, seeds: list[int], workers: int) -> str:
    """Runs the bench, writes `bench.md` and `bench.png`, and returns the table."""
    rows = run_all(seeds, workers)
    table = markdown(rows)
    directory.mkdir(parents=True, exist_ok=True)
    (directory / "bench.md").write_text(table)
    figure(rows, directory / "bench.png")
    return table
