"""The operators' command line, `damasksaddle`."""

import getpass
import sys

import click

from damasksaddle import __version__
from damasksaddle.exceptions import (
    AdminError,
    AdminOutcomeUnknown,
    AdminRefused,
    DamasksaddleError,
    DocumentInvalid,
    SettingsInvalid,
)
from damasksaddle_cli.client import AdminClient
from damasksaddle_cli.commands.completion import PROGRAM, completion
from damasksaddle_cli.commands.documents import (
    apply,
    diff,
    history,
    show_command,
    validate,
)
from damasksaddle_cli.commands.fleet import dump, partitions, upstreams, vms
from damasksaddle_cli.commands.keys import keys
from damasksaddle_cli.commands.programs import explain, programs
from damasksaddle_cli.options import (
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_SETTINGS,
    EXIT_UNKNOWN,
)

EXIT_INTERRUPTED = 130


def _user() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "unknown"


@click.group(context_settings={"auto_envvar_prefix": "DAMASKSADDLE"})
@click.option(
    "--admin-url",
    multiple=True,
    show_envvar=True,
    help="Operators' interface of a VM. Give several; they are tried in order "
    "(separated by spaces in the variable).",
)
@click.option("--operator-token", default="", show_envvar=True, help="Grants access.")
@click.option(
    "--operator",
    default=_user,
    show_default="the user's name",
    show_envvar=True,
    help="Name that is recorded with each change.",
)
@click.option(
    "--timeout-s",
    type=click.FloatRange(min=0.1, max=600),
    default=15.0,
    show_default=True,
    show_envvar=True,
    help="How long one request may take.",
)
@click.option(
    "--ca-file",
    type=click.Path(dir_okay=False),
    show_envvar=True,
    help="Certificates that HTTPS interfaces are checked with.",
)
@click.version_option(__version__, prog_name=PROGRAM)
@click.pass_context
def cli(
    context: click.Context,
    admin_url: tuple[str, ...],
    operator_token: str,
    operator: str,
    timeout_s: float,
    ca_file: str | None,
) -> None:
    """Operates a damasksaddle fleet: documents, keys, and looking at programs.

    Exit status: 0 done; 1 refused or not reachable; 2 wrong settings; 3 another
    version is in force; 4 recorded, not yet in force everywhere; 5 the answer was
    lost, so the change may have been recorded.
    """
    context.obj = AdminClient(
        admin_url, operator_token, operator, timeout_s=timeout_s, ca_file=ca_file
    )


for command in (
    validate,
    apply,
    history,
    diff,
    keys,
    vms,
    partitions,
    upstreams,
    programs,
    dump,
    explain,
    completion,
):
    cli.add_command(command)
cli.add_command(show_command, "show")


def _lines(error: DamasksaddleError) -> list[str]:
    match error:
        case DocumentInvalid():
            return error.problems
        case AdminRefused(code="version_conflict"):
            return [
                str(error),
                f"version {error.in_force} is in force; compare with "
                f"`{PROGRAM} diff SERVICE --file FILE`, then apply again",
            ]
        case AdminRefused() if error.problems:
            return error.problems
        case AdminOutcomeUnknown():
            return [str(error), "look with `history` or `keys list` before repeating"]
    return [str(error)]


def _status(error: DamasksaddleError) -> int:
    match error:
        case SettingsInvalid():
            return EXIT_SETTINGS
        case AdminRefused(code="version_conflict"):
            return EXIT_CONFLICT
        case AdminOutcomeUnknown():
            return EXIT_UNKNOWN
    return EXIT_FAILED


def run(arguments: list[str] | None = None) -> int:
    """Runs the command line and returns its exit status."""
    try:
        status = cli.main(arguments, prog_name=PROGRAM, standalone_mode=False)
    except click.exceptions.NoArgsIsHelpError as error:
        click.echo(error.format_message())
        return 0
    except click.ClickException as error:
        click.echo(f"{PROGRAM}: {error.format_message()}", err=True)
        return EXIT_SETTINGS
    except click.Abort:
        return EXIT_INTERRUPTED
    except (AdminError, DocumentInvalid, SettingsInvalid) as error:
        for line in _lines(error):
            click.echo(f"{PROGRAM}: {line}", err=True)
        return _status(error)
    return status if isinstance(status, int) else 0


def main() -> None:
    """Runs the command line as a program."""
    sys.exit(run())


__all__ = ["cli", "main", "run"]

if __name__ == "__main__":
    main()
