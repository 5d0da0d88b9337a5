"""Commands that run stand-ins as processes, the demo and the measurements."""

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import click
import looptime
from aiohttp import web

from damasksaddle.utils import seed_ids
from damasksaddle_standins.costs import markdown_table, measure
from damasksaddle_standins.demo import run_demo
from damasksaddle_standins.engine import EngineSettings, ModelEngine
from damasksaddle_standins.faults import LOADS, run_fault_injection, run_stops
from damasksaddle_standins.gateway_load import run_store_bench
from damasksaddle_standins.history_fleet import run_history_bench
from damasksaddle_standins.platform import MemoryObjects, MemoryTable
from damasksaddle_standins.recording import Recorder
from damasksaddle_standins.scheduling_costs import measure_scheduling
from damasksaddle_standins.servers import engine_app, platform_app, tool_app
from damasksaddle_standins.slopes import markdown_report, run_slopes
from damasksaddle_standins.soak import run_soak
from damasksaddle_standins.streams import run_streams
from damasksaddle_standins.tool import ToolService


async def _serve_forever(app: web.Application, port: int) -> None:
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    host, bound_port = runner.addresses[0][:2]
    print(f"ready http://{host}:{bound_port}", flush=True)
    await asyncio.Event().wait()


def _new_simulated_loop() -> asyncio.AbstractEventLoop:
    """Returns an event loop with a simulated clock that advances without waiting."""
    return looptime.new_event_loop(start=0)


@click.group(context_settings={"auto_envvar_prefix": "STANDIN"})
def main() -> None:
    """Stand-ins for the services around damasksaddle, for development only."""


@main.command()
@click.option("--port", default=0)
def platform(port: int) -> None:
    """Runs the platform services: table, object store and VM list."""
    asyncio.run(_serve_forever(platform_app(MemoryTable(), MemoryObjects()), port))


@main.command()
@click.option("--port", default=0)
@click.option("--name", default="engine")
@click.option("--slots", default=8)
@click.option("--token-s", default=0.01)
@click.option("--batch-growth", default=0.05)
@click.option("--slowness", default=1.0)
@click.option("--load-lag-s", default=0.5)
@click.option("--event-loss", default=0.0)
@click.option("--checks-fencing/--ignores-fencing", default=True)
def engine(port: int, **options: Any) -> None:
    """Runs a model engine."""
    app = engine_app(ModelEngine(EngineSettings(**options)))
    asyncio.run(_serve_forever(Recorder().install(app), port))


@main.command()
@click.option("--port", default=0)
@click.option("--name", default="tool")
@click.option("--delay-s", default=0.02)
def tool(port: int, name: str, delay_s: float) -> None:
    """Runs a plain service."""
    app = tool_app(ToolService(name, delay_s))
    asyncio.run(_serve_forever(Recorder().install(app), port))


@main.command()
@click.option("--seed", default=1, show_default=True)
def demo(seed: int) -> None:
    """Runs agent programs on two deployments and kills one VM of each midway."""
    sys.exit(asyncio.run(run_demo(seed)))


@main.command()
def costs() -> None:
    """Measures CPU time and memory of single node operations."""
    click.echo(markdown_table(measure()))


@main.command()
@click.option("--seconds", default=8.0, show_default=True, help="Duration of a phase.")
@click.option(
    "--streams", default=55, show_default=True, help="Number of streams per node."
)
def streams(seconds: float, streams: int) -> None:
    """Measures the CPU time of node processes per call and per streamed token."""
    click.echo(json.dumps(asyncio.run(run_streams(seconds, streams)), indent=2))


@main.command()
@click.option("--directory", default="build/bench", type=click.Path(path_type=Path))
@click.option("--seed", "seeds", multiple=True, type=int, default=(1, 2, 3))
@click.option(
    "--workers", default=2, show_default=True, help="Number of worker processes."
)
def bench(directory: Path, seeds: tuple[int, ...], workers: int) -> None:
    """Compares the scheduling policies; writes a table and a figure to a directory."""
    # Imported here because only this command needs a plotting library.
    from damasksaddle_standins.bench.report import run_bench

    click.echo(run_bench(directory, list(seeds), workers))


@main.command("store-bench")
def store_bench() -> None:
    """Plays programs of a gateway before stores of several speeds."""
    click.echo(run_store_bench())


@main.command("history-bench")
def history_bench() -> None:
    """Shows what stored turns cost, with and without history coordinators."""
    click.echo(run_history_bench())


@main.command("scheduling-costs")
def scheduling_costs_command() -> None:
    """Measure the bytes and the processor time of a scheduled request."""
    click.echo(asyncio.run(measure_scheduling()))


@main.command("slopes")
@click.option("--nodes", multiple=True, default=(3, 6, 12, 24), type=int)
@click.option("--workspaces", multiple=True, default=(10, 100, 400), type=int)
@click.option("--programs", multiple=True, default=(100, 500, 2000), type=int)
@click.option(
    "--seconds", default=10.0, show_default=True, help="Duration of a measurement."
)
def slopes_command(
    nodes: tuple[int, ...],
    workspaces: tuple[int, ...],
    programs: tuple[int, ...],
    seconds: float,
) -> None:
    """Measures idle node processes for fleets of several sizes."""
    results = run_slopes(list(nodes), list(workspaces), list(programs), seconds)
    click.echo(markdown_report(asyncio.run(results)))


@main.command()
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--minutes", default=0.5, show_default=True, help="Minutes of fault injection."
)
@click.option("--vms", default=4, show_default=True)
def faults(seed: int, minutes: float, vms: int) -> None:
    """Injects faults into gateway processes and checks their guarantees."""
    report = asyncio.run(run_fault_injection(seed, minutes * 60, vms))
    click.echo(report.as_json())
    sys.exit(1 if report.has_failures() else 0)


@main.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--minutes", default=0.5, show_default=True, help="Minutes of traffic.")
@click.option("--vms", default=4, show_default=True)
@click.option(
    "--load",
    type=click.Choice(list(LOADS)),
    default="reserved",
    show_default=True,
    help="Callers and upstreams.",
)
@click.option("--busy", default=0, show_default=True, help="Processes that only load.")
@click.option(
    "--tree",
    type=click.Path(path_type=Path, file_okay=False, exists=True),
    help="Working tree of another build to run.",
)
def stops(
    seed: int, minutes: float, vms: int, load: str, busy: int, tree: Path | None
) -> None:
    """Stops gateway processes in turn and checks that no request is lost."""
    report = asyncio.run(run_stops(seed, minutes * 60, vms, LOADS[load], busy, tree))
    click.echo(report.as_json())
    sys.exit(1 if report.broken else 0)


@main.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--minutes", default=10.0, show_default=True, help="Simulated minutes.")
def soak(seed: int, minutes: float) -> None:
    """Runs programs under random faults, then checks invariants."""
    seed_ids(seed)
    # The runner ends the tasks of killed nodes before it closes the loop, so that any
    # output after this point comes from a real error in one of them.
    with asyncio.Runner(loop_factory=_new_simulated_loop) as runner:
        report = runner.run(run_soak(seed, minutes))
    click.echo(json.dumps(report.as_dict(), indent=2))
    sys.exit(1 if report.broken else 0)


if __name__ == "__main__":
    main()
