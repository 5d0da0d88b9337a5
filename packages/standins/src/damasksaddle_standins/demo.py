"""
A demo that runs programs of two deployments on real node processes.

Each deployment has its own platform, nodes, engines and services. One VM of each is
killed midway; every program still ends, and no filing or payout is executed twice.
"""

import asyncio
import json
import random
import signal
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import click

from damasksaddle_standins.processes import Process, Processes

OPERATOR_TOKEN = "demo-operator"
FLEET_SECRET = "demo-fleet-secret"
LEASE_S = 3.0
FRESHNESS_S = 1.5
CALL_TIMEOUT_S = 40.0
MAX_RETRIES = 60


@dataclass(frozen=True, slots=True)
class Deployment:
    """The size and names of one deployment."""

    name: str
    failure_domains: tuple[str, ...]
    engines: int
    tools: int
    workspaces: tuple[str, ...]
    chat_route: str
    action_route: str
    turns: int


BALTGRANTS = Deployment(
    "baltgrants",
    ("riga-a", "riga-b", "riga-c"),
    engines=5,
    tools=3,
    workspaces=tuple(f"ngo-{n}" for n in range(1, 9)),
    chat_route="digest",
    action_route="file-report",
    turns=4,
)
IMBUTO = Deployment(
    "imbuto",
    ("central-a", "central-b", "central-c", "central-d"),
    engines=5,
    tools=4,
    workspaces=tuple(f"survey-{n}" for n in range(1, 9)),
    chat_route="negotiate",
    action_route="confirm",
    turns=6,
)


@dataclass(slots=True)
class ProgramResult:
    """The result of one program."""

    program: str
    turns: int = 0
    latency_s: float = 0.0
    cost_micros: int = 0
    retries: int = 0
    unknown: bool = False
    node: int = 0
    owners: list[str] = field(default_factory=list)
    upstreams: list[str] = field(default_factory=list)


class UnknownOutcome(Exception):
    """A call was sent, but its VM failed before the outcome was recorded."""


class RunningDeployment:
    """The processes of one deployment."""

    def __init__(self, deployment: Deployment, processes: Processes) -> None:
        self.deployment = deployment
        self.nodes: list[Process] = []
        self.tools: list[Process] = []
        self._processes = processes
        self._keys: dict[str, str] = {}

    async def start(self) -> None:
        """Starts the platform, the upstreams and one node per failure domain."""
        deployment = self.deployment
        standins = "damasksaddle_standins"
        platform = await self._processes.start(standins, "platform")
        engines = await asyncio.gather(
            *(
                self._processes.start(standins, "engine", "--name", f"run-{n}")
                for n in range(1, deployment.engines + 1)
            )
        )
        self.tools = await asyncio.gather(
            *(
                self._processes.start(standins, "tool", "--name", f"app-{n}")
                for n in range(1, deployment.tools + 1)
            )
        )
        self.nodes = await asyncio.gather(
            *(
                self._start_node(number, domain, platform.ready[0])
                for number, domain in enumerate(deployment.failure_domains, 1)
            )
        )
        await self._apply_configuration([p.ready[0] for p in engines])

    async def _start_node(self, number: int, domain: str, platform: str) -> Process:
        env = {
            "DAMASKSADDLE_FLEET_SECRET": FLEET_SECRET,
            "DAMASKSADDLE_OPERATOR_TOKEN": OPERATOR_TOKEN,
        }
        return await self._processes.start(
            "damasksaddle_node",
            *("--name", f"{self.deployment.name}-{number}"),
            *("--failure-domain", domain),
            *("--table-url", platform, "--objects-url", platform),
            *("--vm-list-url", platform, "--log-level", "warning"),
            *("--lease-s", str(LEASE_S), "--freshness-s", str(FRESHNESS_S)),
            env=env,
        )

    async def _apply_configuration(self, engine_urls: list[str]) -> None:
        text = json.dumps(self._document(engine_urls))
        name = self.deployment.name
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        admin = self.nodes[0].ready[2]
        async with aiohttp.ClientSession(headers=headers) as session:
            url = f"{admin}/admin/documents/{name}"
            async with session.put(url, data=text) as response:
                assert response.status == 200, await response.text()
            for workspace in self.deployment.workspaces:
                body = {"workspace": workspace}
                async with session.post(f"{admin}/admin/keys", json=body) as response:
                    assert response.status == 200, await response.text()
                    self._keys[workspace] = (await response.json())["key"]

    def _document(self, engine_urls: list[str]) -> dict[str, Any]:
        deployment = self.deployment
        domains = deployment.failure_domains

        def upstreams(kind: str, urls: list[str]) -> list[dict[str, Any]]:
            return [
                {
                    "name": f"{kind}-{number}",
                    "url": url,
                    "failure_domain": domains[number % len(domains)],
                }
                for number, url in enumerate(urls, 1)
            ]

        return {
            "service": deployment.name,
            "pools": {
                "writer": {
                    "kind": "model",
                    "model": "agent-model",
                    "prompt_micros_per_ktoken": 500,
                    "output_micros_per_ktoken": 1500,
                    "upstreams": upstreams("run", engine_urls),
                },
                "apps": {
                    "kind": "plain",
                    "call_micros": 100,
                    "upstreams": upstreams("app", [p.ready[0] for p in self.tools]),
                },
            },
            "routes": {
                deployment.chat_route: {"pool": "writer"},
                deployment.action_route: {
                    "pool": "apps",
                    "path": "/act",
                    "repeat": "never",
                },
            },
            "workspaces": {
                name: {"rate_per_s": 20, "burst": 40, "max_wait_ms": 10000}
                for name in deployment.workspaces
            },
        }

    async def run_programs(self, seed: int) -> list[ProgramResult]:
        """Runs two programs per workspace and kills one VM midway."""
        rng = random.Random(seed)
        async with aiohttp.ClientSession() as session:
            tasks = [
                asyncio.create_task(
                    self._run_program(
                        session, workspace, f"agent-{number}", rng.random()
                    )
                )
                for workspace in self.deployment.workspaces
                for number in (1, 2)
            ]
            await asyncio.sleep(1.0)
            killed_node = self.nodes[-1]
            killed_node.signal(signal.SIGKILL)
            click.echo(f"  killed VM {killed_node.ready[0]}")
            return await asyncio.gather(*tasks)

    async def _run_program(
        self, session: aiohttp.ClientSession, workspace: str, name: str, delay_s: float
    ) -> ProgramResult:
        result = ProgramResult(f"{workspace}/{name}")
        result.node = self.deployment.workspaces.index(workspace) % len(self.nodes)
        started_s = time.monotonic()
        await asyncio.sleep(delay_s)
        for turn in range(1, self.deployment.turns + 1):
            body = {
                "model": f"{self.deployment.name}/{self.deployment.chat_route}",
                "messages": [{"role": "user", "content": f"turn {turn} of {name}"}],
                "max_tokens": 12,
            }
            answer = await self._post(
                session,
                "/v1/chat/completions",
                workspace,
                name,
                f"turn-{turn}",
                body,
                result,
            )
            details = answer["damasksaddle"]
            result.turns += 1
            result.cost_micros += details["charge_micros"]
            result.upstreams.append(details["upstream"])
            result.owners.append(details["owner"])
            await asyncio.sleep(0.1)
        path = f"/v1/services/{self.deployment.name}/{self.deployment.action_route}"
        filing = {"program": f"{workspace}/{name}"}
        try:
            await self._post(session, path, workspace, name, "filing", filing, result)
            result.cost_micros += 100
        except UnknownOutcome:
            # The system does not retry the call; an agent would query its outcome.
            result.unknown = True
        path = f"/v1/programs/{name}/end"
        await self._post(session, path, workspace, name, "", {}, result)
        result.latency_s = time.monotonic() - started_s
        return result

    async def _post(
        self,
        session: aiohttp.ClientSession,
        path: str,
        workspace: str,
        program: str,
        idempotency_key: str,
        body: dict[str, Any],
        result: ProgramResult,
    ) -> dict[str, Any]:
        """Posts to the last working node, then to the others, until one answers."""
        headers = {
            "Authorization": f"Bearer {self._keys[workspace]}",
            "X-Damasksaddle-Program": program,
            "X-Damasksaddle-Idempotency-Key": idempotency_key,
        }
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        last_error = ""
        for _ in range(MAX_RETRIES):
            node = self.nodes[result.node]
            try:
                async with session.post(
                    node.ready[1] + path, json=body, headers=headers, timeout=timeout
                ) as response:
                    if response.status == 200:
                        return await response.json()
                    last_error = await response.text()
                    if response.status == 502:
                        raise UnknownOutcome(last_error)
            except (aiohttp.ClientError, TimeoutError) as error:
                last_error = repr(error)
            result.retries += 1
            result.node = (result.node + 1) % len(self.nodes)
            await asyncio.sleep(0.25)
        raise RuntimeError(f"{workspace}/{program} {path}: {last_error}")

    async def filings(self) -> list[str]:
        """Returns the request bodies that the plain services recorded."""
        bodies: list[str] = []
        async with aiohttp.ClientSession() as session:
            for tool in self.tools:
                async with session.get(f"{tool.ready[0]}/seen") as response:
                    seen = await response.json()
                    bodies.extend(body for _, _, body in seen["calls"])
        return bodies


def _print_results(results: list[ProgramResult]) -> None:
    click.echo(
        f"  {'program':<20}{'turns':>6}{'latency':>9}{'cost':>7}{'retries':>8}  ran on"
    )
    for result in results:
        owners = " -> ".join(dict.fromkeys(result.owners))
        upstreams = ",".join(dict.fromkeys(result.upstreams))
        click.echo(
            f"  {result.program:<20}{result.turns:>6}{result.latency_s:>8.2f}s"
            f"{result.cost_micros:>7}{result.retries:>8}  {owners} ({upstreams})"
        )


def _count_violations(results: list[ProgramResult], filings: list[str]) -> int:
    """
    Compares reported outcomes with the calls that the services recorded.

    Returns the number of lost and duplicated actions.
    """
    recorded = [json.loads(body)["program"] for body in filings]
    confirmed = [result.program for result in results if not result.unknown]
    lost = len(set(confirmed) - set(recorded))
    duplicated = len(recorded) - len(set(recorded))
    unknown = len(results) - len(confirmed)
    click.echo(
        f"  {len(results)} programs ended; actions lost: {lost}, "
        f"duplicated: {duplicated}, reported as unknown: {unknown}"
    )
    return lost + duplicated


async def run_demo(seed: int) -> int:
    """Runs both deployments; returns 0 if no action was lost or duplicated."""
    log_path = Path(tempfile.mkdtemp(prefix="damasksaddle-")) / "demo.log"
    click.echo(f"logs: {log_path}")
    failures = 0
    async with Processes(log_path) as processes:
        for deployment in (BALTGRANTS, IMBUTO):
            running_deployment = RunningDeployment(deployment, processes)
            await running_deployment.start()
            click.echo(f"{deployment.name}: {len(running_deployment.nodes)} VMs")
            results = await running_deployment.run_programs(seed)
            _print_results(results)
            filings = await running_deployment.filings()
            failures += _count_violations(results, filings)
    return 1 if failures else 0
