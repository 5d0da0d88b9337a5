"""Commands for service documents: validate, apply, show and compare versions."""

import difflib
from typing import Any, BinaryIO

import click

from damasksaddle.config import decode_document, document_warnings, load_document
from damasksaddle.exceptions import AdminRefused, DocumentInvalid
from damasksaddle_cli.client import AdminClient, admin_path
from damasksaddle_cli.commands.changes import exit_with, report_change
from damasksaddle_cli.options import (
    EXIT_FAILED,
    format_option,
    pass_client,
    print_result,
)
from damasksaddle_cli.output import format_table, format_time

SERVICE = click.argument("service")


def check_document(data: bytes) -> dict[str, Any]:
    """Returns the service, problems and warnings of a document."""
    try:
        document = load_document(data)
    except DocumentInvalid as error:
        return {"service": None, "problems": error.problems, "warnings": []}
    return {
        "service": document.service,
        "problems": [],
        "warnings": document_warnings(document),
    }


def apply_document(
    client: AdminClient, data: bytes, expected_version: int | None
) -> dict[str, Any]:
    """Applies a document to its service; raises `DocumentInvalid` if it is invalid."""
    document = load_document(data)
    params = {}
    if expected_version is not None:
        params["expected_version"] = str(expected_version)
    path = admin_path("documents", document.service)
    return client.request("PUT", path, params=params, data=data)


def read_version(
    client: AdminClient, service: str, version: int | None = None
) -> dict[str, Any]:
    """Returns a version of a document, by default the one in force."""
    params = {} if version is None else {"version": str(version)}
    return client.request("GET", admin_path("documents", service), params=params)


def diff_versions(old: dict[str, Any], new: dict[str, Any]) -> str:
    """Returns a unified diff of two versions."""
    labels = [f"{v['service']} {_version_label(v)}" for v in (old, new)]
    lines = difflib.unified_diff(
        old["text"].splitlines(),
        new["text"].splitlines(),
        labels[0],
        labels[1],
        lineterm="",
    )
    return "\n".join(lines)


def _version_label(version: dict[str, Any]) -> str:
    number = version["version"]
    return f"version {number}" if isinstance(number, int) else str(number)


@click.command()
@click.argument("file", type=click.File("rb"))
@format_option
def validate(file: BinaryIO, as_format: str) -> None:
    """Validates the service document in FILE ("-" is standard input).

    Does not connect to the fleet. Exits with 1 if there is a problem; warnings name
    what another document must provide.
    """
    report = check_document(file.read())

    def format_report(value: dict[str, Any]) -> str:
        lines = [f"{file.name}: {line}" for line in value["problems"]]
        lines += [f"{file.name}: warning: {line}" for line in value["warnings"]]
        return "\n".join(lines + ([] if value["problems"] else [f"{file.name}: valid"]))

    print_result(report, as_format, format_report)
    exit_with(EXIT_FAILED if report["problems"] else 0)


@click.command()
@click.argument("file", type=click.File("rb"))
@click.option(
    "--expected-version",
    type=click.IntRange(min=0),
    help="Apply only if this version is in force; 0 means that none exists yet.",
)
@format_option
@pass_client
def apply(
    client: AdminClient, file: BinaryIO, expected_version: int | None, as_format: str
) -> None:
    """Applies the service document in FILE ("-" is standard input).

    Exit status: 0 accepted; 1 invalid or refused; 3 another version is in force; 4
    recorded, not yet in force everywhere; 5 the answer was lost.
    """
    data = file.read()
    answer = apply_document(client, data, expected_version)
    subject = f"{answer['service']} version {answer['version']}"
    exit_with(report_change(answer, subject, as_format))


@click.command()
@click.argument("service", required=False)
@click.option(
    "--version",
    type=click.IntRange(min=1),
    help="Version to show instead of the latest one.",
)
@format_option
@pass_client
def show_command(
    client: AdminClient, service: str | None, version: int | None, as_format: str
) -> None:
    """Shows the document of SERVICE, or lists all services if none is given."""
    if service is None:
        print_result(
            client.request("GET", admin_path("documents")), as_format, _versions_table
        )
        return
    document = read_version(client, service, version)
    print_result(document, as_format, lambda value: value["text"].rstrip("\n"))


@click.command()
@SERVICE
@format_option
@pass_client
def history(client: AdminClient, service: str, as_format: str) -> None:
    """Lists the versions of SERVICE's document."""
    versions = client.request("GET", admin_path("documents", service, "history"))
    if not versions:
        raise AdminRefused("document_not_found", f"there is no document {service}")
    print_result(versions, as_format, _versions_table)


def _versions_table(versions: list[dict[str, Any]]) -> str:
    return format_table(
        ["service", "version", "applied", "operator"],
        [
            [v["service"], v["version"], format_time(v["at_unix_s"]), v["operator"]]
            for v in versions
        ],
    )


@click.command()
@SERVICE
@click.argument("old", type=click.IntRange(min=1), required=False)
@click.argument("new", type=click.IntRange(min=1), required=False)
@click.option("--file", type=click.File("rb"), help="File to compare with.")
@pass_client
def diff(
    client: AdminClient,
    service: str,
    old: int | None,
    new: int | None,
    file: BinaryIO | None,
) -> None:
    """Compares versions of SERVICE's document.

    Without OLD and NEW, compares the version in force with the one before it, or
    with FILE.
    """
    if file is not None:
        before = read_version(client, service, old)
        text = decode_document(file.read())
        after = {"service": service, "version": file.name, "text": text}
    else:
        after = read_version(client, service, new)
        before = read_version(client, service, old or max(1, after["version"] - 1))
    click.echo(diff_versions(before, after) or "no difference")
