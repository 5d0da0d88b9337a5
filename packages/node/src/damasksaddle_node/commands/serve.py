"""The command that runs one node."""

import asyncio
import json
import signal
import sys
from collections.abc import Callable
from typing import Any

import aiohttp
import click
from pydantic_core import PydanticUndefined

from damasksaddle import __version__
from damasksaddle.exceptions import SettingsInvalid
from damasksaddle.platform import HttpObjectStore, HttpTable, HttpVmList
from damasksaddle.utils import configure_logging, get_logger
from damasksaddle.utils.connections import BoundedConnector
from damasksaddle.utils.metrics_server import serve_metrics
from damasksaddle_node.dump import dump_state
from damasksaddle_node.node import Node
from damasksaddle_node.peers import TcpNetwork
from damasksaddle_node.settings import Settings
from damasksaddle_node.settings_input import (
    SettingsInput,
    check_settings,
    environment_variable,
)
from damasksaddle_node.tls import Tls, load_tls
from damasksaddle_node.upstreams import HttpUpstreams

log = get_logger("node")

# Exit status with which a supervisor restarts the process as a new member.
EXIT_REMOVED = 75
EXIT_SETTINGS = 2
# Used only inside `serve`: a second signal aborted the graceful shutdown.
EXIT_FORCED = -1
EXIT_FAILED = 1
METAVARS: dict[Any, str] = {int: "INTEGER", float: "FLOAT"}
PROGRAM_NAME = "damasksaddled"


async def serve(settings: Settings, tls: Tls) -> int:
    """Runs a node until it is stopped or removed; returns the exit status."""
    platform_timeout_s = settings.timing.peer_timeout_s
    async with aiohttp.ClientSession(
        connector=BoundedConnector(limit=0, ssl=tls.outgoing or True),
        # A cookie set in the response to one workspace must not be sent in a request
        # of another.
        cookie_jar=aiohttp.DummyCookieJar(),
    ) as session:
        node = Node(
            settings,
            HttpTable(session, settings.table_url, platform_timeout_s),
            HttpObjectStore(session, settings.objects_url, platform_timeout_s),
            HttpVmList(session, settings.vm_list_url, platform_timeout_s),
            HttpUpstreams(session),
            TcpNetwork(tls.peer_server, tls.peer_client),
            tls=tls,
        )
        await node.start()
        metrics = await serve_metrics(settings.metrics_host, settings.metrics_port)
        log.info("Metrics are served.", address=metrics.addresses[0])
        print(f"ready {node.vm_id} {node.http_url} {node.admin_url}", flush=True)
        status = await _wait_for_stop(node)
        await node.stop()
        await metrics.cleanup()
        if status == EXIT_FORCED:
            # All components have stopped, so other VMs need not wait until the lease
            # of this one expires.
            await node.record_left()
            status = 0
        return status


async def _wait_for_stop(node: Node) -> int:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    forced = asyncio.Event()

    def on_signal() -> None:
        # The second signal stops the process without waiting for open requests.
        (forced if stopping.is_set() else stopping).set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, on_signal)
    loop.add_signal_handler(signal.SIGUSR1, log_state, node)
    if await _first_completed(stopping.wait(), node.removed.wait()) == 1:
        return EXIT_REMOVED
    completed = await _first_completed(node.leave(), forced.wait(), node.removed.wait())
    return EXIT_FORCED if completed == 1 else 0


async def _first_completed(*awaitables: Any) -> int:
    """Returns the index of the first awaitable to complete; cancels the others."""
    tasks = [asyncio.ensure_future(awaitable) for awaitable in awaitables]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    completed = next(index for index, task in enumerate(tasks) if task.done())
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return completed


def log_state(node: Node) -> None:
    """Writes the state of the node to the log as one line of JSON."""
    log.info("State of this VM.", state=json.dumps(dump_state(node)))


def setting_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds one option per field of `SettingsInput` to a command."""
    for name, field in reversed(SettingsInput.model_fields.items()):
        # The model validates the values, because it defines ranges and constraints.
        command = click.option(
            "--" + name.replace("_", "-"),
            default=None,
            metavar=METAVARS.get(field.annotation, "TEXT"),
            show_default=_default_text(field.default),
            envvar=environment_variable(name),
            show_envvar=True,
            help=field.description,
        )(command)
    return command


def _default_text(default: Any) -> str | bool:
    text = str(default)
    return text if default is not PydanticUndefined and text else False


@click.command()
@setting_options
@click.version_option(__version__, prog_name=PROGRAM_NAME)
def command(**options: str | None) -> int:
    """Runs one node of damasksaddle.

    SIGTERM starts a graceful shutdown that interrupts no request; a second one stops
    the process at once. SIGUSR1 writes the state to the log. Exit status: 0 after a
    graceful shutdown, 2 for invalid settings, 75 after this VM was removed from the
    fleet.
    """
    provided = {name: value for name, value in options.items() if value is not None}
    settings = check_settings(provided)
    tls = load_tls(settings.tls)
    configure_logging(settings.log_level, settings.log_format)
    return asyncio.run(serve(settings, tls))


def run(arguments: list[str] | None = None) -> int:
    """Runs the daemon and returns its exit status."""
    try:
        status = command.main(arguments, prog_name=PROGRAM_NAME, standalone_mode=False)
    except (click.ClickException, SettingsInvalid) as error:
        reason = (
            error.format_message() if isinstance(error, click.ClickException) else error
        )
        click.echo(f"{PROGRAM_NAME}: {reason}", err=True)
        return EXIT_SETTINGS
    except OSError as error:
        # The port is in use, or the host is not an address of this machine.
        click.echo(f"{PROGRAM_NAME}: {error}", err=True)
        return EXIT_FAILED
    return status if isinstance(status, int) else 0


def main() -> None:
    """Runs the daemon and exits with its status."""
    sys.exit(run())
