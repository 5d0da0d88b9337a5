"""The command that lists programs, and what `explain` shows of their calls."""

from typing import Any

import click

from damasksaddle_cli.client import AdminClient, admin_path
from damasksaddle_cli.options import format_option, pass_client, print_result
from damasksaddle_cli.output import format_table


def read_program(
    client: AdminClient, workspace: str, program_id: str
) -> dict[str, Any]:
    """Returns a program with the traces of its calls."""
    path = admin_path("programs", workspace, program_id)
    return client.request("GET", path)


@click.command()
@click.option("--workspace", help="Show only the programs of this workspace.")
@format_option
@pass_client
def programs(client: AdminClient, workspace: str | None, as_format: str) -> None:
    """Lists the programs that their owners hold in memory."""
    params = {"workspace": workspace} if workspace else {}
    items = client.request("GET", admin_path("programs"), params=params)

    def format_text(items: list[dict[str, Any]]) -> str:
        columns = ["workspace", "program_id", "service", "turns", "spent_micros"]
        columns += ["budget_micros", "partition", "ended"]
        items = sorted(items, key=lambda p: (p["workspace"], p["program_id"]))
        return format_table(
            [name.replace("_", " ") for name in columns],
            [[item[name] for name in columns] for item in items],
        )

    print_result(items, as_format, format_text)


def explain_calls(program: dict[str, Any]) -> str:
    """Returns a summary of a program, followed by a table of its calls."""
    summary = (
        f"program {program['workspace']}/{program['program_id']} of "
        f"{program['service']}: {program['ended'] or 'in progress'}\n"
        f"spent {program['spent_micros']} of {program['budget_micros']} micros, "
        f"{program['reserved_micros']} reserved\n"
    )
    calls = program["calls"]
    rows = [
        [
            number,
            call["route"],
            call["upstream"],
            call["reason"],
            call["outcome"],
            call["tries"],
            call["order_wait_ms"],
            call["rate_wait_ms"],
            call["queue_wait_ms"],
            call["first_token_ms"],
            call["total_ms"],
            f"{call['cached_tokens']}/{call['prompt_tokens']}",
            call["output_tokens"],
            call["charge_micros"],
            call["owner_vm"],
        ]
        for number, call in enumerate(calls, 1)
    ]
    columns = ["#", "route", "upstream", "why", "outcome", "tries", "order ms"]
    columns += ["rate ms", "queue ms", "first ms", "total ms", "cached", "out"]
    columns += ["micros", "owner"]
    totals = [
        f"{name.removesuffix('_ms').replace('_', ' ')} "
        f"{sum(call[name] for call in calls)} ms"
        for name in ("order_wait_ms", "rate_wait_ms", "queue_wait_ms", "total_ms")
    ]
    return f"{summary}{format_table(columns, rows)}\nsums: {', '.join(totals)}"
