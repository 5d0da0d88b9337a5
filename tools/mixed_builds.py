"""
Checks that this build and an earlier one work side by side and on the same data.

    python tools/mixed_builds.py OLD_TREE OLD_PYTHON

`OLD_TREE` is a working tree of the earlier build, `OLD_PYTHON` an interpreter with its
dependencies. The stand-ins are always those of this build. Three runs are made:

- the demo, in which every second node process is of the earlier build and one is killed
  midway;
- an upgrade: nodes of the earlier build write documents, keys and programs, all are
  killed, and nodes of this build must serve the same keys and continue the programs;
- the fault soak, in which each gateway process changes its build at every start.

Exits with status 1 if a run finds a program lost, doubled or changed.
"""

import asyncio
import json
import os
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from damasksaddle_standins.demo import run_demo
from damasksaddle_standins.faults import run_fault_injection
from damasksaddle_standins.process_fleet import ProcessFleet, upstream_entries
from damasksaddle_standins.processes import Processes, source_path
from damasksaddle_standins.sample_service import CHAT, chat_body, document

NODE_MODULE = "damasksaddle_node"
GATEWAY_MODULE = "damasksaddle_platform"
NODE_FLAGS = ("--lease-s", "3", "--freshness-s", "1.5")
FLEET_SIZE = 3
PROGRAMS = 12
TURNS = 3
# More records than the fleet log has between two snapshots.
DOCUMENT_VERSIONS = 520
# A snapshot that is due is written within ten seconds.
SNAPSHOT_WAIT_S = 12.0
RETRY_INTERVAL_S = 0.3
UPGRADE_TIMEOUT_S = 240.0
HTTP_OK, HTTP_UNAUTHORIZED = 200, 401
FAULT_SEEDS = (9101, 9102, 9103, 9104)
FAULT_TIME_S = 25.0
FAULT_VMS = 4

_start_process = asyncio.create_subprocess_exec


class Builds:
    """Starts daemons; `is_old` selects the build by their name and start number."""

    def __init__(
        self, tree: Path, python: Path, is_old: Callable[[str, int], bool]
    ) -> None:
        self._old_path = source_path(tree)
        self._python = python
        self._is_old = is_old
        self._starts: Counter[str] = Counter()
        self.started: Counter[str] = Counter()

    async def start(self, *words: str, **options: Any) -> asyncio.subprocess.Process:
        """Replaces `asyncio.create_subprocess_exec`."""
        if not {NODE_MODULE, GATEWAY_MODULE} & set(words):
            return await _start_process(*words, **options)
        flag = "--name" if NODE_MODULE in words else "--settings"
        name = words[words.index(flag) + 1]
        number = self._starts[name]
        self._starts[name] += 1
        if not self._is_old(name, number):
            self.started["this"] += 1
            return await _start_process(*words, **options)
        self.started["earlier"] += 1
        env = {**(options.pop("env", None) or os.environ), "PYTHONPATH": self._old_path}
        return await _start_process(str(self._python), *words[1:], env=env, **options)


def use(builds: Builds) -> None:
    """Makes the stand-ins start daemons through `builds`."""
    asyncio.create_subprocess_exec = builds.start  # type: ignore[assignment]


def _document(fleet: ProcessFleet, version: int) -> dict[str, Any]:
    """Returns the document of the sample service; versions differ in a limit."""
    service = document("", "")
    service["pools"]["writer"]["upstreams"] = upstream_entries(fleet.engines)
    service["pools"]["writer"]["max_tokens"] = 100 + version
    service["pools"]["filing"]["upstreams"] = upstream_entries(fleet.tools)
    return service


async def _run_turn(fleet: ProcessFleet, key: str, turn: int) -> list[Any]:
    """Runs one turn of all programs; returns their answers."""
    return await asyncio.gather(
        *(
            fleet.call_until_ok(
                f"vm{turn % FLEET_SIZE}",
                key,
                CHAT,
                chat_body(f"turn {turn}"),
                **{"program": f"p{number}", "idempotency-key": f"turn-{turn}"},
            )
            for number in range(PROGRAMS)
        )
    )


async def _read_program(fleet: ProcessFleet, key: str, program: str) -> Any:
    """Reads a program until its owner can serve it."""
    url = f"{fleet.url('vm0')}/v1/programs/{program}"
    headers = {"Authorization": f"Bearer {key}"}
    while True:
        async with fleet.session.get(url, headers=headers) as response:
            if response.status == HTTP_OK:
                return await response.json()
        await asyncio.sleep(RETRY_INTERVAL_S)


async def _read_state(fleet: ProcessFleet, key: str) -> dict[str, Any]:
    """Returns what operators and callers read of documents, keys and programs."""
    state = {
        path: (await fleet.admin_request("vm0", "GET", path))[1]
        for path in ("documents", "documents/desk/history", "keys")
    }
    for number in range(PROGRAMS):
        state[f"p{number}"] = await _read_program(fleet, key, f"p{number}")
    return state


async def _check_upgrade(fleet: ProcessFleet) -> list[str]:
    """Lets new nodes replace the nodes that wrote the data; returns the problems."""
    await fleet.start_engine("run-1")
    await fleet.start_tool("tool-1")
    await fleet.start_nodes(FLEET_SIZE)
    for version in range(1, DOCUMENT_VERSIONS + 1):
        assert await fleet.apply("vm0", _document(fleet, version)) == HTTP_OK
    key = await fleet.give_key("vm0", "ngo")
    _, withdrawn = await fleet.admin_request(
        "vm0", "POST", "keys", {"workspace": "other"}
    )
    await fleet.admin_request("vm0", "DELETE", f"keys/{withdrawn['key_id']}")
    answers = [await _run_turn(fleet, key, turn) for turn in range(TURNS)]
    await asyncio.sleep(SNAPSHOT_WAIT_S)
    before = await _read_state(fleet, key)

    for node in fleet.nodes.values():
        node.signal(signal.SIGKILL)
        await node.wait()
    await fleet.start_nodes(FLEET_SIZE)

    after = await _read_state(fleet, key)
    problems = [
        f"{part}: {value} became {after[part]}"
        for part, value in before.items()
        if value != after[part]
    ]
    for first, repeated in zip(answers[0], await _run_turn(fleet, key, 0), strict=True):
        if first["choices"] != repeated["choices"]:
            problems.append(f"a repeated call got another answer: {repeated}")
    status, _ = await fleet.caller_request("vm0", withdrawn["key"], CHAT, chat_body())
    if status != HTTP_UNAUTHORIZED:
        problems.append(f"a withdrawn key got status {status}")
    await _run_turn(fleet, key, TURNS)
    grown = await _read_state(fleet, key)
    for number in range(PROGRAMS):
        if grown[f"p{number}"]["turns"] != TURNS + 1:
            problems.append(f"p{number} has {grown[f'p{number}']['turns']} turns")
    return problems


async def run_upgrade(log_path: Path) -> list[str]:
    """Replaces the nodes of a fleet by nodes of this build; returns the problems."""
    async with (
        asyncio.timeout(UPGRADE_TIMEOUT_S),
        ProcessFleet(Processes(log_path), NODE_FLAGS) as fleet,
    ):
        return await _check_upgrade(fleet)


@click.command()
@click.argument("tree", type=click.Path(path_type=Path, exists=True))
@click.argument("python", type=click.Path(path_type=Path, exists=True))
def main(tree: Path, python: Path) -> None:
    """Runs processes of an earlier build together with those of this one."""
    tree = tree.absolute()
    directory = Path(tempfile.mkdtemp(prefix="mixed-"))
    bad = 0

    builds = Builds(tree, python, lambda name, _: int(name.rpartition("-")[2]) % 2 == 0)
    use(builds)
    failures = asyncio.run(run_demo(1))
    click.echo(f"demo: {failures} failures; processes {dict(builds.started)}")
    bad += failures

    builds = Builds(tree, python, lambda _, number: number == 0)
    use(builds)
    problems = asyncio.run(run_upgrade(directory / "upgrade.log"))
    click.echo(f"upgrade: {problems or 'same'}; processes {dict(builds.started)}")
    bad += len(problems)

    for seed in FAULT_SEEDS:
        builds = Builds(
            tree,
            python,
            lambda name, number: (int(Path(name).stem[-1]) + number) % 2 == 0,
        )
        use(builds)
        report = asyncio.run(run_fault_injection(seed, FAULT_TIME_S, FAULT_VMS))
        click.echo(
            f"soak {seed}: {report.whole} of {report.programs} programs, broken "
            f"{report.broken}, calm failures {report.calm_failures}, faults "
            f"{json.dumps(report.faults[0])}; processes {dict(builds.started)}"
        )
        bad += report.has_failures()
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
