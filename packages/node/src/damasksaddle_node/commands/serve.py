"""Runs one node."""

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

# Ends the process so that its supervisor starts it as a new member.
EXIT_REMOVED = 75
EXIT_SETTINGS = 2
# Inside of `serve` only: a second signal ended the planned stop.
EXIT_HURRIED = -1
EXIT_FAILED = 1
METAVARS: dict[Any, str] = {int: "INTEGER", float: "FLOAT"}
PROGRAM = "damasksaddled"


async def serve(settings: Settings, tls: Tls) -> int:
    """Runs a node until it is stopped or removed; returns the exit status."""
    platform_timeout_s = settings.timing.peer_timeout_s
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, ssl=tls.outgoing or True),
        # A cookie that one workspace's call brings must not go out with another's.
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
        status = await _until_stopped(node)
        await node.stop()
        await metrics.cleanup()
        if status == EXIT_HURRIED:
            # Nothing of it runs any more, so its successors need not wait for its
            # lease to run out.
            await node.left()
            status = 0
        return status


async def _until_stopped(node: Node) -> int:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    hurried = asyncio.Event()

    def on_signal() -> None:
        # The second signal ends the process without waiting for requests.
        (hurried if stopping.is_set() else stopping).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    loop.add_signal_handler(signal.SIGUSR1, dump_to_log, node)
    if await _first(stopping.wait(), node.removed.wait()) == 1:
        return EXIT_REMOVED
    ended = await _first(node.leave(), hurried.wait(), node.removed.wait())
    return EXIT_HURRIED if ended == 1 else 0


async def _first(*waits: Any) -> int:
    """Waits for the first of several coroutines and returns its number."""
    tasks = [asyncio.ensure_future(wait) for wait in waits]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    done = next(number for number, task in enumerate(tasks) if task.done())
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return done


def dump_to_log(node: Node) -> None:
    """Writes the node's state to the log, as one line of JSON."""
    log.info("State of this VM.", state=json.dumps(dump_state(node)))


def setting_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Gives a command one option per field of `SettingsInput`."""
    for name, field in reversed(SettingsInput.model_fields.items()):
        # Values are checked by the model, which knows the ranges and relations.
        command = click.option(
            "--" + name.replace("_", "-"),
            default=None,
            metavar=METAVARS.get(field.annotation, "TEXT"),
            show_default=_shown_default(field.default),
            envvar=environment_variable(name),
            show_envvar=True,
            help=field.description,
        )(command)
    return command


def _shown_default(default: Any) -> str | bool:
    text = str(default)
    return text if default is not PydanticUndefined and text else False


@click.command()
@setting_options
@click.version_option(__version__, prog_name=PROGRAM)
def command(**options: str | None) -> int:
    """Runs one node of damasksaddle.

    SIGTERM starts a planned stop that interrupts no request, a second one ends the
    process at once. SIGUSR1 writes the state to the log. Exit status: 0 after a
    planned stop, 2 with wrong settings, 75 after this VM was removed from the fleet.
    """
    given = {name: value for name, value in options.items() if value is not None}
    settings = check_settings(given)
    tls = load_tls(settings.tls)
    configure_logging(settings.log_level)
    return asyncio.run(serve(settings, tls))


def run(arguments: list[str] | None = None) -> int:
    """Runs the daemon and returns its exit status."""
    try:
        status = command.main(arguments, prog_name=PROGRAM, standalone_mode=False)
    except (click.ClickException, SettingsInvalid) as error:
        reason = (
            error.format_message() if isinstance(error, click.ClickException) else error
        )
        click.echo(f"{PROGRAM}: {reason}", err=True)
        return EXIT_SETTINGS
    except OSError as error:
        # A port that is taken, or a host name that is not this machine's.
        click.echo(f"{PROGRAM}: {error}", err=True)
        return EXIT_FAILED
    return status if isinstance(status, int) else 0


def main() -> None:
    """Runs the daemon as a program."""
    sys.exit(run())
