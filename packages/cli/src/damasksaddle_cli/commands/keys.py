"""Commands for workspace keys: give, withdraw and list."""

import json
from typing import Any

import click

from damasksaddle_cli.client import AdminClient, admin_path
from damasksaddle_cli.commands.changes import exit_with, report_change
from damasksaddle_cli.options import format_option, pass_client, print_result
from damasksaddle_cli.output import format_table, format_time


def give_key(client: AdminClient, workspace: str) -> dict[str, Any]:
    """Gives a workspace a new key; only this response contains the key."""
    data = json.dumps({"workspace": workspace}).encode()
    return client.request("POST", admin_path("keys"), data=data)


def withdraw_key(client: AdminClient, key_id: str) -> dict[str, Any]:
    """Withdraws a key by its id."""
    return client.request("DELETE", admin_path("keys", key_id))


def list_keys(client: AdminClient, workspace: str | None) -> list[dict[str, Any]]:
    """Returns the keys of a workspace, or of all workspaces."""
    params = {"workspace": workspace} if workspace else {}
    return client.request("GET", admin_path("keys"), params=params)


@click.group()
def keys() -> None:
    """Gives, withdraws and lists workspace keys."""


@keys.command()
@click.argument("workspace")
@format_option
@pass_client
def give(client: AdminClient, workspace: str, as_format: str) -> None:
    """Gives WORKSPACE a new key. The key is shown only once and is not stored."""
    answer = give_key(client, workspace)
    if as_format == "text":
        # Standard output contains only the key, so that a script can store it.
        click.echo(answer["key"])
        click.echo("Save this key now: it cannot be shown again.", err=True)
    subject = f"key {answer['key_id']} of {workspace}"
    exit_with(report_change(answer, subject, as_format, err=as_format == "text"))


@keys.command()
@click.argument("key_id")
@format_option
@pass_client
def withdraw(client: AdminClient, key_id: str, as_format: str) -> None:
    """Withdraws the key KEY_ID; it stops working within seconds."""
    answer = withdraw_key(client, key_id)
    exit_with(report_change(answer, f"withdrawal of key {key_id}", as_format))


@keys.command("list")
@click.option("--workspace", help="Show only the keys of this workspace.")
@format_option
@pass_client
def list_command(client: AdminClient, workspace: str | None, as_format: str) -> None:
    """Lists keys by id; their secrets are not stored."""
    print_result(list_keys(client, workspace), as_format, _keys_table)


def _keys_table(items: list[dict[str, Any]]) -> str:
    return format_table(
        ["key id", "workspace", "given", "withdrawn"],
        [
            [
                key["key_id"],
                key["workspace"],
                format_time(key["given_at_unix_s"]),
                format_time(key["withdrawn_at_unix_s"]),
            ]
            for key in items
        ],
    )
