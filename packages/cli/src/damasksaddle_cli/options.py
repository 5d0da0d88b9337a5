"""Shared by the commands: the client, the output format and exit statuses."""

from collections.abc import Callable
from typing import Any

import click

from damasksaddle_cli.client import AdminClient
from damasksaddle_cli.output import echo_json

EXIT_FAILED = 1
EXIT_SETTINGS = 2
EXIT_CONFLICT = 3
EXIT_NOT_IN_FORCE = 4
EXIT_OUTCOME_UNKNOWN = 5

pass_client = click.make_pass_decorator(AdminClient)

format_option = click.option(
    "--format",
    "as_format",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    envvar="DAMASKSADDLE_FORMAT",
    show_envvar=True,
    help="Output format; scripts should use json.",
)


def print_result(
    value: Any, as_format: str, as_text: Callable[[Any], str], *, err: bool = False
) -> None:
    """Prints a value in the given format; `err` sends text to standard error."""
    if as_format == "json":
        echo_json(value)
    else:
        click.echo(as_text(value), err=err)
