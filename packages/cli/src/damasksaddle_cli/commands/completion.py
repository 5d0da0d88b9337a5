"""The command that prints shell completion scripts."""

import click
from click.shell_completion import ShellComplete, get_completion_class

PROGRAM_NAME = "damasksaddle"
COMPLETE_VARIABLE = "_DAMASKSADDLE_COMPLETE"


def completion_script(root: click.Command, shell: str) -> str:
    """Returns the script that enables completion in a shell."""
    shell_class = get_completion_class(shell)
    assert shell_class is not None
    # The override for bash would start a bash process to check its version.
    return ShellComplete.source(shell_class(root, {}, PROGRAM_NAME, COMPLETE_VARIABLE))


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Prints the completion script of SHELL.

    For example: eval "$(damasksaddle completion bash)"
    """
    click.echo(completion_script(context.find_root().command, shell))
