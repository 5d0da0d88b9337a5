"""Reporting of the outcome of a change."""

from typing import Any

import click

from damasksaddle_cli.options import EXIT_NOT_IN_FORCE, print_result


def report_change(
    answer: dict[str, Any], subject: str, as_format: str, err: bool = False
) -> int:
    """
    Prints the outcome of a change and returns the exit status.

    A change is "accepted" only if the admin API confirms that a majority of the fleet
    has applied it. `err` keeps standard output free for another result.
    """
    print_result(answer, as_format, lambda value: _change_text(value, subject), err=err)
    return 0 if answer.get("accepted") is True else EXIT_NOT_IN_FORCE


def _change_text(answer: dict[str, Any], subject: str) -> str:
    if answer.get("accepted") is True:
        return f"{subject}: accepted"
    unconfirmed = ", ".join(answer.get("not_confirmed_by", [])) or "unknown"
    return (
        f"{subject}: recorded, not yet in force everywhere\n"
        f"not confirmed by: {unconfirmed}"
    )


def exit_with(status: int) -> None:
    """Ends the command with an exit status."""
    click.get_current_context().exit(status)
