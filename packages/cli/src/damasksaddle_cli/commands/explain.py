"""The command that explains the calls of a program, or where a request would go."""

import asyncio
import json
from typing import Any

import aiohttp
import click

from damasksaddle.exceptions import AdminRefused, AdminUnreachable, SettingsInvalid
from damasksaddle_cli.client import HTTP_BAD_REQUEST, AdminClient
from damasksaddle_cli.commands.programs import explain_calls, read_program
from damasksaddle_cli.options import format_option, pass_client, print_result
from damasksaddle_cli.output import format_table

EXPLAIN_PATH = "/explain"
MAX_PORT = 65535
PREDICTED = ("completion", "wait", "transit", "prefill", "decode", "failure")


def metrics_url(address: str) -> str:
    """Returns the URL of a metrics address; raises `SettingsInvalid`."""
    host, _, port = address.rpartition(":")
    is_port = port.isascii() and port.isdigit() and 0 < int(port[:6]) <= MAX_PORT
    if not host or not is_port or "/" in host:
        raise SettingsInvalid(f"--vm: {address!r} is not an address HOST:PORT")
    return f"http://{address}"


def read_explanation(
    address: str, parameters: list[tuple[str, str]], timeout_s: float
) -> dict[str, Any]:
    """
    Returns the explanation of the VM with a metrics address.

    Raises `AdminUnreachable`, or `AdminRefused` with the option that the VM does not
    accept.
    """
    url = metrics_url(address) + EXPLAIN_PATH
    return asyncio.run(_read_explanation(address, url, parameters, timeout_s))


async def _read_explanation(
    address: str, url: str, parameters: list[tuple[str, str]], timeout_s: float
) -> dict[str, Any]:
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url, params=parameters) as response,
        ):
            status, text = response.status, await response.text()
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        reason = str(error) or type(error).__name__
        raise AdminUnreachable(f"--vm: {address}: {reason}") from error
    try:
        body = json.loads(text)
    except ValueError:
        body = None
    if not isinstance(body, dict):
        raise AdminUnreachable(
            f"--vm: {address} does not explain requests; it is no metrics address of a "
            "gateway, or the VM runs an earlier build"
        )
    if status >= HTTP_BAD_REQUEST:
        detail = str(body.get("detail", text))
        raise AdminRefused(str(body.get("code", status)), detail)
    return body


@click.command()
@click.argument("of_workspace", metavar="[WORKSPACE", required=False)
@click.argument("of_program", metavar="PROGRAM]", required=False)
@click.option("--vm", help="Metrics address HOST:PORT of a VM; explains a request.")
@click.option("--host", help="Host of the request.")
@click.option("--path", help="Path of the request.")
@click.option("--workspace", help="Workspace of the request, by name.")
@click.option("--service", help="Service, if the route has several.")
@click.option("--program", help="Id of the request's program.")
@click.option("--previous-turn", help="Id of the turn that the request continues from.")
@click.option("--prompt-tokens", type=click.IntRange(min=0), help="Size of the prompt.")
@click.option(
    "--max-output-tokens",
    type=click.IntRange(min=0),
    help="Largest size of the output.",
)
@click.option(
    "--deadline-ms", type=click.IntRange(min=1), help="Time that it may take."
)
@click.option("--affinity-key", help="Affinity key of the request.")
@click.option(
    "--exclude", multiple=True, help="An upstream that may not get it; give several."
)
@format_option
@pass_client
@click.pass_context
def explain(
    context: click.Context,
    client: AdminClient,
    of_workspace: str | None,
    of_program: str | None,
    vm: str | None,
    as_format: str,
    **request: Any,
) -> None:
    """Explains the calls of PROGRAM in WORKSPACE, or where a request would go.

    With WORKSPACE and PROGRAM, for each call of the program: the upstream and why it
    was chosen, how long the call waited for the previous call, the rate and the queue,
    the time to its first token, and its cost in millionths.

    With --vm, --host and --path: where a gateway would send a request now, and why.
    Nothing is sent to an upstream, and no token or slot is taken. Neither a key nor
    --admin-url is needed.
    """
    given = {name: value for name, value in request.items() if value not in (None, ())}
    if vm is None:
        if given:
            option = "--" + next(iter(given)).replace("_", "-")
            raise SettingsInvalid(f"{option} needs --vm, the VM to ask")
        if of_workspace is None or of_program is None:
            raise SettingsInvalid("give WORKSPACE and PROGRAM, or --vm for a request")
        program = read_program(client, of_workspace, of_program)
        print_result(program, as_format, explain_calls)
        return
    if of_workspace is not None:
        raise SettingsInvalid("--vm explains a request, without WORKSPACE and PROGRAM")
    for name in ("host", "path"):
        if not given.get(name):
            raise SettingsInvalid(f"--{name} is not set; it is needed with --vm")
    timeout_s = context.find_root().params["timeout_s"]
    explanation = read_explanation(vm, _parameters(given), timeout_s)
    print_result(explanation, as_format, format_explanation)


def _parameters(given: dict[str, Any]) -> list[tuple[str, str]]:
    """Returns the parameters of the query, with the names of the options."""
    parameters = []
    for name, value in given.items():
        values = value if isinstance(value, tuple) else (value,)
        parameters += [(name.replace("_", "-"), str(item)) for item in values]
    return parameters


def format_explanation(explanation: dict[str, Any]) -> str:
    """Returns the decision, what constrains it, the upstreams and how old this is."""
    sections = [
        _format_decision(explanation),
        _format_constraints(explanation["constraints"]),
        _format_candidates(explanation["candidates"]),
        _format_knowledge(explanation["knowledge"]),
    ]
    return "\n\n".join(sections)


def _ms(time_ms: float | None) -> str:
    return "unknown" if time_ms is None else f"{time_ms:.0f} ms"


def _lines(rows: list[tuple[str, str]]) -> str:
    width = max(len(name) for name, _ in rows)
    return "\n".join(f"{name.ljust(width)}  {text}" for name, text in rows)


def _format_decision(explanation: dict[str, Any]) -> str:
    route, decision = explanation["route"], explanation["decision"]
    match decision["outcome"]:
        case "send":
            text = f"sent to {decision['upstream']}"
        case "wait":
            text = f"waits: {decision['reason']}"
        case _:
            text = f"refused: {decision['reason']}"
    by = "this VM" if decision["by"] == "local" else f"scheduler {decision['by']}"
    rows = [
        ("decision", f"{text} (decided by {by})"),
        ("route", f"{route['name']} ({route['kind']}), {_ms(route['time_left_ms'])}"),
        ("service", route["service"]),
        ("vm", f"{explanation['vm']} in {explanation['failure_domain']}"),
    ]
    others = {k: v for k, v in route["services"].items() if k != route["service"]}
    if others:
        shares = ", ".join(f"{name} (weight {w:g})" for name, w in others.items())
        rows.append(("not shown", f"{shares}; choose by --service"))
    if route["software_version"] is not None:
        rows.append(("software", f"version {route['software_version']}"))
    return _lines(rows)


def _format_constraints(constraints: dict[str, Any]) -> str:
    limits = constraints["upstream_limits_per_s"]
    listed = [f"{name} {limit:g}/s" for name, limit in limits.items()]
    size = constraints["quarantine"]["size"]
    return _lines(
        [
            ("rate", _format_rate(constraints["rate"])),
            ("queue", _format_queue(constraints["queue"])),
            ("history", constraints["history"]),
            ("evacuated", ", ".join(constraints["evacuated"]) or "none"),
            ("quarantine", f"not checked without the body; {size} in quarantine"),
            ("upstream limits", ", ".join(listed) or "none"),
            ("this vm", "draining" if constraints["draining"] else "serving"),
        ]
    )


def _format_rate(rate: dict[str, Any] | None) -> str:
    if rate is None:
        return "no limit"
    limit = f"limit {rate['limit_per_s']:g}/s, burst {rate['burst']:g}"
    held = f"{rate['held_here']} tokens held here, coordinator {rate['coordinator']}"
    if rate["level"] is None:
        return f"{limit}; level unknown; {held}"
    return (
        f"{limit}; level {rate['level']:g} as of {_ms(rate['level_age_ms'])} ago, "
        f"{rate['waiting']} waiting, predicted wait {_ms(rate['wait_ms'])}; {held}"
    )


def _format_queue(queue: dict[str, Any] | None) -> str:
    if queue is None:
        return "none; requests are not scheduled for the fleet now"
    return (
        f"{queue['waiting']} waiting, {queue['ahead']} ahead; predicted wait "
        f"{_ms(queue['wait_ms'])} of at most {_ms(queue['longest_wait_ms'])}"
    )


def _format_candidates(candidates: list[dict[str, Any]]) -> str:
    rows = []
    for candidate in candidates:
        predicted = candidate["predicted_ms"] or {}
        times = [predicted.get(name) for name in PREDICTED]
        rows.append(
            [
                candidate["upstream"],
                candidate["failure_domain"],
                candidate["verdict"],
                *(None if time_ms is None else f"{time_ms:.1f}" for time_ms in times),
                candidate["slowness"],
                candidate["in_flight"],
                candidate["window"],
                candidate["reason"],
            ]
        )
    columns = ["upstream", "domain", "verdict", "ms", *PREDICTED[1:]]
    columns += ["slowness", "in flight", "window", "why not"]
    return format_table(columns, rows)


def _format_knowledge(knowledge: dict[str, Any]) -> str:
    config_age, max_age = knowledge["config_age_ms"], knowledge["config_max_age_ms"]
    rows = [
        (
            "configuration",
            f"version {knowledge['config_version']}, verified {_ms(config_age)} ago "
            f"(at most {_ms(max_age)})",
        ),
        ("upstream list", f"read {_ms(knowledge['upstreams_age_ms'])} ago"),
        ("scheduler", _format_scheduler(knowledge["scheduler"])),
    ]
    for vm, error in (knowledge["scheduler"] or {"errors": {}})["errors"].items():
        rows.append((f"scheduler {vm}", error))
    return _lines(rows)


def _format_scheduler(scheduler: dict[str, Any] | None) -> str:
    if scheduler is None:
        return "not used by the configuration; each VM decides for itself"
    if scheduler["generation"] is not None:
        return (
            f"{scheduler['vm']}, generation {scheduler['generation']}, "
            f"rank {scheduler['rank']}, asked just now"
        )
    interval_ms = scheduler["local_interval_ms"]
    bound = (
        f", one request in {_ms(interval_ms)} to each upstream" if interval_ms else ""
    )
    if scheduler["vm"] is not None:
        return (
            f"{scheduler['vm']} has had no request for this service yet; "
            "what follows from this VM's own counts is shown"
        )
    return f"none responded; this VM decides by its own counts{bound}"
