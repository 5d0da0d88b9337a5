"""Entry point of the command line for operators, `damasksaddle`."""

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
from damasksaddle_cli.commands.completion import PROGRAM_NAME, completion
from damasksaddle_cli.commands.documents import (
    apply,
    diff,
    history,
    show_command,
    validate,
)
from damasksaddle_cli.commands.explain import explain
from damasksaddle_cli.commands.fleet import dump, partitions, upstreams, vms
from damasksaddle_cli.commands.keys import keys
from damasksaddle_cli.commands.programs import programs
from damasksaddle_cli.options import (
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_OUTCOME_UNKNOWN,
    EXIT_SETTINGS,
)

EXIT_INTERRUPTED = 130


def _current_user() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "unknown"


@click.group(context_settings={"auto_envvar_prefix": "DAMASKSADDLE"})
@click.option(
    "--admin-url",
    multiple=True,
    show_envvar=True,
    help="URL of the admin API of a VM. Give several to have them tried in order "
    "(separated by spaces in the variable).",
)
@click.option(
    "--operator-token", default="", show_envvar=True, help="Token of the admin API."
)
@click.option(
    "--operator",
    default=_current_user,
    show_default="the user's name",
    show_envvar=True,
    help="Name recorded with each change.",
)
@click.option(
    "--timeout-s",
    type=click.FloatRange(min=0.1, max=600),
    default=15.0,
    show_default=True,
    show_envvar=True,
    help="Timeout of one request.",
)
@click.option(
    "--ca-file",
    type=click.Path(dir_okay=False),
    show_envvar=True,
    help="CA certificates for HTTPS.",
)
@click.version_option(__version__, prog_name=PROGRAM_NAME)
@click.pass_context
def cli(
    context: click.Context,
    admin_url: tuple[str, ...],
    operator_token: str,
    operator: str,
    timeout_s: float,
    ca_file: str | None,
) -> None:
    """Operates a damasksaddle fleet: documents, keys, VMs and programs.

    Exit status: 0 success; 1 refused or unreachable; 2 invalid settings; 3 another
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


def _error_lines(error: DamasksaddleError) -> list[str]:
    match error:
        case DocumentInvalid():
            return error.problems
        case AdminRefused(code="version_conflict"):
            return [
                str(error),
                f"version {error.in_force} is in force; compare with "
                f"`{PROGRAM_NAME} diff SERVICE --file FILE`, then apply again",
            ]
        case AdminRefused() if error.problems:
            return error.problems
        case AdminOutcomeUnknown():
            return [
                str(error),
                "check with `history` or `keys list` before repeating the command",
            ]
    return [str(error)]


def _exit_status(error: DamasksaddleError) -> int:
    match error:
        case SettingsInvalid():
            return EXIT_SETTINGS
        case AdminRefused(code="version_conflict"):
            return EXIT_CONFLICT
        case AdminOutcomeUnknown():
            return EXIT_OUTCOME_UNKNOWN
    return EXIT_FAILED


def run(arguments: list[str] | None = None) -> int:
    """Runs the command line and returns its exit status."""
    try:
        status = cli.main(arguments, prog_name=PROGRAM_NAME, standalone_mode=False)
    except click.exceptions.NoArgsIsHelpError as error:
        click.echo(error.format_message())
        return 0
    except click.ClickException as error:
        click.echo(f"{PROGRAM_NAME}: {error.format_message()}", err=True)
        return EXIT_SETTINGS
    except click.Abort:
        return EXIT_INTERRUPTED
    except (AdminError, DocumentInvalid, SettingsInvalid) as error:
        for line in _error_lines(error):
            click.echo(f"{PROGRAM_NAME}: {line}", err=True)
        return _exit_status(error)
    return status if isinstance(status, int) else 0


def main() -> None:
    """Runs the command line and exits with its status."""
    sys.exit(run())


__all__ = ["cli", "main", "run"]

if __name__ == "__main__":
    main()
