"""Runs one node."""

import asyncio
import signal
import sys
from typing import Any

import aiohttp
import click

from damasksaddle.exceptions import SettingsInvalid
from damasksaddle.platform import HttpObjects, HttpTable, HttpVmList
from damasksaddle.utils import get_log, set_up_logs
from damasksaddle_node.node import Node
from damasksaddle_node.peers import TcpNetwork
from damasksaddle_node.settings import Settings, Timing
from damasksaddle_node.upstreams import HttpUpstreams

log = get_log("node")

# Ends the process so that its supervisor starts it as a new member.
EXIT_REMOVED = 75
EXIT_SETTINGS = 2


async def serve(settings: Settings) -> int:
    """Runs a node until it is stopped or removed; returns the exit status."""
    platform_timeout_s = settings.timing.peer_timeout_s
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        # A cookie that one workspace's call brings must not go out with another's.
        cookie_jar=aiohttp.DummyCookieJar(),
    ) as session:
        node = Node(
            settings,
            HttpTable(session, settings.table_url, platform_timeout_s),
            HttpObjects(session, settings.objects_url, platform_timeout_s),
            HttpVmList(session, settings.vm_list_url, platform_timeout_s),
            HttpUpstreams(session),
            TcpNetwork(),
        )
        await node.start()
        print(f"ready {node.vm_id} {node.http_url} {node.admin_url}", flush=True)
        status = await _until_stopped(node)
        await node.stop()
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
    if await _first(stopping.wait(), node.removed.wait()) == 1:
        return EXIT_REMOVED
    await _first(node.leave(), hurried.wait(), node.removed.wait())
    return 0


async def _first(*waits: Any) -> int:
    """Waits for the first of several coroutines and returns its number."""
    tasks = [asyncio.ensure_future(wait) for wait in waits]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    done = next(number for number, task in enumerate(tasks) if task.done())
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return done


def check_settings(settings: Settings) -> None:
    """Raises `SettingsInvalid` if a node cannot run with these settings."""
    for name in ("table_url", "objects_url", "vm_list_url"):
        if not getattr(settings, name).startswith(("http://", "https://")):
            raise SettingsInvalid(f"--{name.replace('_', '-')} is not an HTTP URL")
    if not settings.fleet_secret:
        raise SettingsInvalid("DAMASKSADDLE_FLEET_SECRET is not set")
    if settings.timing.freshness_s >= settings.timing.lease_s:
        raise SettingsInvalid("--freshness-s must be shorter than --lease-s")


@click.command(context_settings={"auto_envvar_prefix": "DAMASKSADDLE"})
@click.option("--name", required=True, help="Name of this VM, unique in the fleet.")
@click.option("--failure-domain", required=True, help="Failure domain of this VM.")
@click.option("--http-host", default="127.0.0.1", show_default=True)
@click.option("--http-port", default=0, show_default=True, help="0 picks a free one.")
@click.option("--peer-host", default="127.0.0.1", show_default=True)
@click.option("--peer-port", default=0, show_default=True)
@click.option("--admin-host", default="127.0.0.1", show_default=True)
@click.option("--admin-port", default=0, show_default=True)
@click.option("--table-url", required=True, help="The platform's table service.")
@click.option("--objects-url", required=True, help="The platform's object store.")
@click.option("--vm-list-url", required=True, help="The platform's list of VMs.")
@click.option("--fleet-secret", default="", help="Shared by all nodes of the fleet.")
@click.option("--operator-token", default="", help="Grants the operators' interface.")
@click.option("--streams", default=4, show_default=True, help="Commit streams.")
@click.option("--lease-s", default=6.0, show_default=True)
@click.option("--freshness-s", default=3.0, show_default=True)
@click.option("--hold-s", default=30.0, show_default=True, help="Address hold time.")
@click.option("--stop-timeout-s", default=600.0, show_default=True)
@click.option("--statsd-host", default="127.0.0.1", show_default=True)
@click.option("--statsd-port", default=8125, show_default=True)
@click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    show_default=True,
)
def main(
    lease_s: float,
    freshness_s: float,
    hold_s: float,
    stop_timeout_s: float,
    **options: Any,
) -> None:
    """Runs one node of damasksaddle."""
    timing = Timing(
        lease_s=lease_s,
        freshness_s=freshness_s,
        hold_s=hold_s,
        stop_timeout_s=stop_timeout_s,
    )
    settings = Settings(timing=timing, **options)
    try:
        check_settings(settings)
    except SettingsInvalid as error:
        click.echo(f"damasksaddled: {error}", err=True)
        sys.exit(EXIT_SETTINGS)
    set_up_logs(settings.log_level)
    sys.exit(asyncio.run(serve(settings)))
