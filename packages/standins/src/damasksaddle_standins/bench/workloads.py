"""
Seeded workloads of both deployments (design.md, section 1.4).

A program is a chain of turns with tool pauses; a turn may start sub-agents and
waits for them. One workspace sends several times its rate for a while.
"""

import random
from dataclasses import dataclass, field
from enum import StrEnum

RATE_PER_S = 6.0
BURST = 12
RUN_S = 40.0
BURST_FROM_S = 10.0
BURST_UNTIL_S = 20.0


class Deployment(StrEnum):
    """A deployment that the bench plays."""

    BALTGRANTS = "baltgrants"
    IMBUTO = "imbuto"


@dataclass(slots=True)
class Turn:
    """One call; `pause_s` is the tool pause before it."""

    route: str
    text: str
    max_tokens: int
    pause_s: float = 0.0
    children: list["Plan"] = field(default_factory=list)


@dataclass(slots=True)
class Plan:
    """One program that a caller runs."""

    workspace: str
    program_id: str
    kind: str
    start_s: float
    turns: list[Turn]


@dataclass(slots=True)
class Workload:
    """The programs of one run, and the sizes of the deployment."""

    deployment: Deployment
    failure_domains: tuple[str, ...]
    model_engines: int
    tools: int
    workspaces: list[str]
    plans: list[Plan]


class _Writer:
    """Writes programs of one workspace; words are unique to what they belong to."""

    def __init__(self, rng: random.Random, workspace: str) -> None:
        self.rng = rng
        self.workspace = workspace

    def text(self, label: str, low: int, high: int) -> str:
        count = self.rng.randint(low, high)
        return " ".join(f"{label}{number}" for number in range(count))

    def turn(
        self, route: str, label: str, words: tuple[int, int], tokens: tuple[int, int]
    ) -> Turn:
        return Turn(route, self.text(label, *words), self.rng.randint(*tokens))

    def rules(self, route: str, words: int) -> str:
        """Returns instructions that all programs of a workspace and route share."""
        label = f"{self.workspace[-1]}{route[0]}r"
        return " ".join(f"{label}{number}" for number in range(words))

    def chain(
        self,
        number: int,
        route: str,
        start_s: float,
        turns: tuple[int, int],
        first: tuple[int, int],
        later: tuple[int, int],
        tokens: tuple[int, int],
        pause_s: tuple[float, float],
        rules: int,
        action: str = "",
    ) -> Plan:
        rng = self.rng
        name = f"{route}-{number}"
        label = f"{self.workspace[-1]}{number}"
        made: list[Turn] = []
        for turn in range(rng.randint(*turns)):
            words = later if turn else first
            step = self.turn(route, f"{label}t{turn}w", words, tokens)
            if turn:
                step.pause_s = rng.uniform(*pause_s)
            else:
                step.text = f"{self.rules(route, rules)} {step.text}"
            made.append(step)
        if action:
            made.append(Turn(action, name, 1, pause_s=0.2))
        return Plan(self.workspace, name, route, start_s, made)


def _digest(writer: _Writer, number: int, start_s: float) -> Plan:
    return writer.chain(
        number,
        "digest",
        start_s,
        turns=(3, 6),
        first=(300, 900),
        later=(20, 120),
        tokens=(20, 60),
        pause_s=(0.3, 2.0),
        rules=400,
        action="alert",
    )


def _compliance(writer: _Writer, number: int, start_s: float) -> Plan:
    plan = writer.chain(
        number,
        "compliance",
        start_s,
        turns=(2, 3),
        first=(800, 1800),
        later=(30, 80),
        tokens=(20, 50),
        pause_s=(0.2, 1.0),
        rules=500,
        action="file",
    )
    for child in range(3):
        part = writer.chain(
            number * 10 + child,
            "compliance",
            0.0,
            turns=(1, 2),
            first=(200, 600),
            later=(20, 60),
            tokens=(15, 40),
            pause_s=(0.2, 0.8),
            rules=500,
        )
        part.program_id = f"{plan.program_id}/part-{child}"
        plan.turns[0].children.append(part)
    return plan


def _routes(writer: _Writer, number: int, start_s: float) -> Plan:
    return writer.chain(
        number,
        "draft",
        start_s,
        turns=(3, 5),
        first=(600, 1500),
        later=(30, 100),
        tokens=(30, 70),
        pause_s=(0.3, 1.5),
        rules=400,
        action="schedule",
    )


def _negotiation(writer: _Writer, number: int, start_s: float) -> Plan:
    return writer.chain(
        number,
        "negotiate",
        start_s,
        turns=(8, 24),
        first=(100, 300),
        later=(15, 60),
        tokens=(10, 30),
        pause_s=(0.5, 4.0),
        rules=400,
        action="confirm",
    )


def make_workload(deployment: Deployment, seed: int) -> Workload:
    """Returns the same workload for the same seed."""
    rng = random.Random(f"{deployment}/{seed}")
    if deployment is Deployment.BALTGRANTS:
        makers, weights = (_digest, _compliance), (0.65, 0.35)
        domains: tuple[str, ...] = ("riga-a", "riga-b", "riga-c")
        starts_per_s, tools = 1.3, 3
    else:
        makers, weights = (_routes, _negotiation), (0.4, 0.6)
        domains = ("central-a", "central-b", "central-c", "central-d")
        starts_per_s, tools = 1.2, 4
    workspaces = [f"ws-{number}" for number in range(1, 9)]
    # Two large workspaces make half of the load.
    shares = [4.0, 3.0, 1.5, 1.5, 1.0, 1.0, 1.0, 1.0]
    plans: list[Plan] = []

    def add(workspace: str, start_s: float) -> None:
        maker = rng.choices(makers, weights)[0]
        plans.append(maker(_Writer(rng, workspace), len(plans) + 1, start_s))

    at_s = 0.0
    while (at_s := at_s + rng.expovariate(starts_per_s)) < RUN_S:
        add(rng.choices(workspaces, shares)[0], at_s)
    at_s = BURST_FROM_S
    while (at_s := at_s + rng.expovariate(3.0)) < BURST_UNTIL_S:
        add("ws-3", at_s)
    plans.sort(key=lambda plan: plan.start_s)
    return Workload(deployment, domains, 5, tools, workspaces, plans)
