"""Commands that show the fleet: VMs, partitions, upstreams and state dumps."""

from collections import defaultdict
from typing import Any

import click

from damasksaddle_cli.client import AdminClient, admin_path
from damasksaddle_cli.options import format_option, pass_client, print_result
from damasksaddle_cli.output import echo_json, format_table


def partitions_by_owner(items: list[dict[str, Any]]) -> list[list[Any]]:
    """Returns one row per owner: its id, the number of partitions and their list."""
    owners: dict[str, list[int]] = defaultdict(list)
    for item in items:
        owners[item["owner"] or ""].append(item["partition"])
    return [[owner, len(owners[owner]), owners[owner]] for owner in sorted(owners)]


def summarize_vms(items: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Returns the number of VMs of each failure domain, and of those that leave."""
    domains: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for vm in items:
        domains[vm["failure_domain"]].append(vm)
    return [
        {
            "failure_domain": domain,
            "vms": len(domains[domain]),
            "leaving": sum(bool(vm["leaving"]) for vm in domains[domain]),
        }
        for domain in sorted(domains)
    ]


@click.command()
@click.option("--failure-domain", help="Show only the VMs of this failure domain.")
@click.option("--leaving", is_flag=True, help="Show only VMs that are leaving.")
@click.option("--summary", is_flag=True, help="Count the VMs of each failure domain.")
@format_option
@pass_client
def vms(
    client: AdminClient,
    failure_domain: str | None,
    leaving: bool,
    summary: bool,
    as_format: str,
) -> None:
    """Lists the VMs of the fleet."""
    selected = [
        vm
        for vm in client.request("GET", admin_path("vms"))
        if failure_domain in (None, vm["failure_domain"])
        and (vm["leaving"] or not leaving)
    ]

    def format_summary(items: list[dict[str, Any]]) -> str:
        return format_table(
            ["failure domain", "vms", "leaving"],
            [list(item.values()) for item in items],
        )

    def format_text(items: list[dict[str, Any]]) -> str:
        return format_table(
            ["vm", "failure domain", "callers", "peers", "leaving"],
            [
                [
                    vm["vm"],
                    vm["failure_domain"],
                    vm["http_url"],
                    vm["peer_address"],
                    vm["leaving"],
                ]
                for vm in items
            ],
        )

    if summary:
        print_result(summarize_vms(selected), as_format, format_summary)
    else:
        print_result(selected, as_format, format_text)


@click.command()
@click.option("--owner", help="Show only this VM and list its partitions.")
@format_option
@pass_client
def partitions(client: AdminClient, owner: str | None, as_format: str) -> None:
    """Shows how many partitions each VM owns."""
    items = client.request("GET", admin_path("partitions"))
    if owner is not None:
        items = [item for item in items if item["owner"] == owner]

    def format_text(items: list[dict[str, Any]]) -> str:
        rows = partitions_by_owner(items)
        lines = [format_table(["owner", "partitions"], [row[:2] for row in rows])]
        if owner is not None:
            lines += [" ".join(map(str, row[2])) for row in rows]
        return "\n".join(lines)

    print_result(items, as_format, format_text)


@click.command()
@click.option("--service", help="Show only the upstreams of this service.")
@format_option
@pass_client
def upstreams(client: AdminClient, service: str | None, as_format: str) -> None:
    """Lists upstreams with the VM that schedules their pool."""
    items = [
        item
        for item in client.request("GET", admin_path("upstreams"))
        if service in (None, item["service"])
    ]

    def format_text(items: list[dict[str, Any]]) -> str:
        names = ["name", "url", "failure_domain", "slots", "leaving", "scheduler"]
        return format_table(
            ["pool", *(name.replace("_", " ") for name in names)],
            [
                [f"{item['service']}/{item['pool']}", *(item[name] for name in names)]
                for item in items
            ],
        )

    print_result(items, as_format, format_text)


@click.command()
@pass_client
def dump(client: AdminClient) -> None:
    """Prints the state of one node as JSON.

    It is the node at the first --admin-url that responds. The state contains no keys
    and no bodies.
    """
    echo_json(client.request("GET", admin_path("dump")))
