"""
Checks that this build and an earlier one work side by side and on the same data.

    python tools/mixed_builds.py OLD_TREE OLD_PYTHON

`OLD_TREE` is a working tree of the earlier build, `OLD_PYTHON` an interpreter with its
dependencies. The stand-ins are always those of this build. Three runs are made:

- the demo, in which every second node process is of the earlier build and one is killed
  midway;
- an upgrade: nodes of the earlier build write documents, keys and programs, all are
  killed, and nodes of this build must serve the same keys and go on with the programs;
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

import aiohttp
import click

from damasksaddle_standins.demo import run_demo
from damasksaddle_standins.faults import run_fault_injection
from damasksaddle_standins.processes import Process, Processes

PACKAGES = ("protocol", "core", "node", "gateway", "cli", "standins")
NODE_MODULE = "damasksaddle_node"
GATEWAY_MODULE = "damasksaddle_platform"
STANDINS = "damasksaddle_standins"
OPERATOR = {"Authorization": "Bearer upgrade-operator"}
SECRETS = {
    "DAMASKSADDLE_FLEET_SECRET": "secret of the upgrade",
    "DAMASKSADDLE_OPERATOR_TOKEN": "upgrade-operator",
}
FLEET_SIZE = 3
PROGRAMS = 12
TURNS = 3
# More changes than a snapshot of the fleet log waits for.
DOCUMENT_VERSIONS = 520
RETRY_S = 0.3
SERVE_WITHIN_S = 60.0
FAULT_SEEDS = (9101, 9102, 9103, 9104)
FAULT_TIME_S = 25.0
FAULT_VMS = 4

_start_process = asyncio.create_subprocess_exec


class Builds:
    """Starts daemons with the earlier or this build, as `is_old` says by name."""

    def __init__(
        self, tree: Path, python: Path, is_old: Callable[[str, int], bool]
    ) -> None:
        sources = [tree / "packages" / name / "src" for name in PACKAGES]
        sources.append(tree / "platform" / "src")
        self._old_path = os.pathsep.join(map(str, sources))
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


class Upgrade:
    """A fleet whose nodes are all replaced by nodes of another build."""

    def __init__(self, processes: Processes) -> None:
        self._processes = processes
        self._platform = ""
        self._engine = ""
        self._nodes: list[Process] = []
        self._keys: dict[str, str] = {}
        self.problems: list[str] = []

    async def start_world(self) -> None:
        """Starts the platform and an engine, which outlive the nodes."""
        platform = await self._processes.start(STANDINS, "platform")
        engine = await self._processes.start(STANDINS, "engine", "--name", "run-1")
        self._platform, self._engine = platform.ready[0], engine.ready[0]

    async def start_nodes(self) -> None:
        """Starts all nodes."""
        self._nodes = [
            await self._processes.start(
                NODE_MODULE,
                *("--name", f"vm{number}", "--failure-domain", "abc"[number]),
                *("--table-url", self._platform, "--objects-url", self._platform),
                *("--vm-list-url", self._platform, "--log-level", "warning"),
                *("--lease-s", "3", "--freshness-s", "1.5"),
                env=SECRETS,
            )
            for number in range(FLEET_SIZE)
        ]

    async def kill_nodes(self) -> None:
        """Kills all nodes at once."""
        for node in self._nodes:
            node.signal(signal.SIGKILL)
        for node in self._nodes:
            await node.wait()

    def _document(self, version: int) -> dict[str, Any]:
        return {
            "service": "desk",
            "pools": {
                "writer": {
                    "kind": "model",
                    "model": "agent-model",
                    "prompt_micros_per_ktoken": 500,
                    "max_tokens": 100 + version,
                    "upstreams": [
                        {"name": "run-1", "url": self._engine, "failure_domain": "a"}
                    ],
                }
            },
            "routes": {"chat": {"pool": "writer"}},
            "workspaces": {
                name: {"rate_per_s": 50, "burst": 100} for name in ("ws-1", "ws-2")
            },
        }

    async def _admin(self, method: str, path: str, body: Any = None) -> Any:
        url = f"{self._nodes[0].ready[2]}/admin/{path}"
        async with (
            aiohttp.ClientSession(headers=OPERATOR) as session,
            session.request(method, url, json=body) as response,
        ):
            return await response.json()

    async def write(self) -> None:
        """Writes documents and keys, and runs programs."""
        for version in range(1, DOCUMENT_VERSIONS + 1):
            await self._admin("PUT", "documents/desk", self._document(version))
        for workspace in ("ws-1", "ws-2", "ws-2"):
            body = await self._admin("POST", "keys", {"workspace": workspace})
            self._keys[f"{workspace}-{len(self._keys)}"] = body["key"]
        withdrawn = body["key_id"]
        await self._admin("DELETE", f"keys/{withdrawn}")
        # The snapshot of the fleet log is written within ten seconds.
        for turn in range(TURNS):
            await self._turns(turn)
        await asyncio.sleep(12.0)

    async def _turns(self, turn: int) -> list[Any]:
        key = self._keys["ws-1-0"]
        return await asyncio.gather(
            *(self._turn(key, f"p{number}", turn) for number in range(PROGRAMS))
        )

    async def _turn(self, key: str, program: str, turn: int) -> Any:
        headers = {
            "Authorization": f"Bearer {key}",
            "X-Damasksaddle-Program": program,
            "X-Damasksaddle-Idempotency-Key": f"turn-{turn}",
        }
        body = {
            "model": "desk/chat",
            "messages": [{"role": "user", "content": f"turn {turn} of {program}"}],
            "max_tokens": 6,
        }
        problem = ""
        async with aiohttp.ClientSession(headers=headers) as session:
            for _ in range(int(SERVE_WITHIN_S / RETRY_S)):
                url = f"{self._nodes[turn % FLEET_SIZE].ready[1]}/v1/chat/completions"
                async with session.post(url, json=body) as response:
                    if response.status == 200:
                        return await response.json()
                    problem = await response.text()
                await asyncio.sleep(RETRY_S)
        self.problems.append(f"{program} turn {turn}: {problem}")
        return None

    async def state(self) -> dict[str, Any]:
        """Returns what operators and callers read of documents, keys and programs."""
        key = self._keys["ws-1-0"]
        programs = {}
        async with aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {key}"}
        ) as session:
            for number in range(PROGRAMS):
                url = f"{self._nodes[0].ready[1]}/v1/programs/p{number}"
                for _ in range(int(SERVE_WITHIN_S / RETRY_S)):
                    async with session.get(url) as response:
                        programs[f"p{number}"] = await response.json()
                        if response.status == 200:
                            break
                    await asyncio.sleep(RETRY_S)
        return {
            "documents": await self._admin("GET", "documents"),
            "history": len(await self._admin("GET", "documents/desk/history")),
            "keys": await self._admin("GET", "keys"),
            "programs": programs,
        }

    async def run(self) -> list[str]:
        """Returns what differs after the upgrade."""
        await self.start_world()
        await self.start_nodes()
        await self.write()
        before, repeated = await self.state(), await self._turns(0)
        await self.kill_nodes()
        await self.start_nodes()
        after, again = await self.state(), await self._turns(0)
        for part, value in before.items():
            if value != after[part]:
                self.problems.append(f"{part}: {value} became {after[part]}")
        contents = [
            [answer["choices"] for answer in found] for found in (repeated, again)
        ]
        if contents[0] != contents[1]:
            self.problems.append("a repeated call got another answer")
        await self._turns(TURNS)
        grown = await self.state()
        for name, program in grown["programs"].items():
            if program["turns"] != TURNS + 1:
                self.problems.append(f"{name} has {program['turns']} turns")
        return self.problems


async def run_upgrade(log_path: Path) -> list[str]:
    """Runs the upgrade and returns its problems."""
    async with Processes(log_path) as processes:
        return await Upgrade(processes).run()


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
