"""
Seeded workloads of both deployments (design.md, section 1.4).

A program is a sequence of turns with pauses for tools; a turn may start sub-agents and
waits for them. For a while, one workspace sends several times its rate.
"""

import random
from dataclasses import dataclass, field
from enum import StrEnum

RATE_PER_S = 6.0
BURST = 12
ARRIVAL_PERIOD_S = 40.0
OVERLOAD_START_S = 10.0
OVERLOAD_END_S = 20.0


class Deployment(StrEnum):
    """A deployment that the benchmark simulates."""

    BALTGRANTS = "baltgrants"
    IMBUTO = "imbuto"


@dataclass(slots=True)
class Turn:
    """One call; `pause_s` is the time that a tool takes before it."""

    route: str
    text: str
    max_tokens: int
    pause_s: float = 0.0
    children: list["ProgramPlan"] = field(default_factory=list)


@dataclass(slots=True)
class ProgramPlan:
    """A program that a caller runs."""

    workspace: str
    program_id: str
    kind: str
    start_s: float
    turns: list[Turn]


@dataclass(slots=True)
class Workload:
    """The programs of one run, and the size of the deployment."""

    deployment: Deployment
    failure_domains: tuple[str, ...]
    model_engines: int
    tool_services: int
    workspaces: list[str]
    plans: list[ProgramPlan]


class _ProgramBuilder:
    """Builds programs of a workspace; each text has words that no other text uses."""

    def __init__(self, rng: random.Random, workspace: str) -> None:
        self.rng = rng
        self.workspace = workspace

    def make_text(self, label: str, min_words: int, max_words: int) -> str:
        word_count = self.rng.randint(min_words, max_words)
        return " ".join(f"{label}{number}" for number in range(word_count))

    def make_turn(
        self,
        route: str,
        label: str,
        words: tuple[int, int],
        max_tokens: tuple[int, int],
    ) -> Turn:
        return Turn(route, self.make_text(label, *words), self.rng.randint(*max_tokens))

    def make_instructions(self, route: str, words: int) -> str:
        """Returns instructions that all programs of a workspace and route share."""
        label = f"{self.workspace[-1]}{route[0]}r"
        return " ".join(f"{label}{number}" for number in range(words))

    def make_program(
        self,
        number: int,
        route: str,
        start_s: float,
        turns: tuple[int, int],
        first_words: tuple[int, int],
        later_words: tuple[int, int],
        max_tokens: tuple[int, int],
        pause_s: tuple[float, float],
        instruction_words: int,
        action: str = "",
    ) -> ProgramPlan:
        rng = self.rng
        name = f"{route}-{number}"
        label = f"{self.workspace[-1]}{number}"
        plan_turns: list[Turn] = []
        for turn in range(rng.randint(*turns)):
            words = later_words if turn else first_words
            current_turn = self.make_turn(route, f"{label}t{turn}w", words, max_tokens)
            if turn:
                current_turn.pause_s = rng.uniform(*pause_s)
            else:
                current_turn.text = (
                    f"{self.make_instructions(route, instruction_words)} "
                    f"{current_turn.text}"
                )
            plan_turns.append(current_turn)
        if action:
            plan_turns.append(Turn(action, name, 1, pause_s=0.2))
        return ProgramPlan(self.workspace, name, route, start_s, plan_turns)


def _make_digest(builder: _ProgramBuilder, number: int, start_s: float) -> ProgramPlan:
    return builder.make_program(
        number,
        "digest",
        start_s,
        turns=(3, 6),
        first_words=(300, 900),
        later_words=(20, 120),
        max_tokens=(20, 60),
        pause_s=(0.3, 2.0),
        instruction_words=400,
        action="alert",
    )


def _make_compliance(
    builder: _ProgramBuilder, number: int, start_s: float
) -> ProgramPlan:
    plan = builder.make_program(
        number,
        "compliance",
        start_s,
        turns=(2, 3),
        first_words=(800, 1800),
        later_words=(30, 80),
        max_tokens=(20, 50),
        pause_s=(0.2, 1.0),
        instruction_words=500,
        action="file",
    )
    for child in range(3):
        sub_agent = builder.make_program(
            number * 10 + child,
            "compliance",
            0.0,
            turns=(1, 2),
            first_words=(200, 600),
            later_words=(20, 60),
            max_tokens=(15, 40),
            pause_s=(0.2, 0.8),
            instruction_words=500,
        )
        sub_agent.program_id = f"{plan.program_id}/part-{child}"
        plan.turns[0].children.append(sub_agent)
    return plan


def _make_draft(builder: _ProgramBuilder, number: int, start_s: float) -> ProgramPlan:
    return builder.make_program(
        number,
        "draft",
        start_s,
        turns=(3, 5),
        first_words=(600, 1500),
        later_words=(30, 100),
        max_tokens=(30, 70),
        pause_s=(0.3, 1.5),
        instruction_words=400,
        action="schedule",
    )


def _make_negotiation(
    builder: _ProgramBuilder, number: int, start_s: float
) -> ProgramPlan:
    return builder.make_program(
        number,
        "negotiate",
        start_s,
        turns=(8, 24),
        first_words=(100, 300),
        later_words=(15, 60),
        max_tokens=(10, 30),
        pause_s=(0.5, 4.0),
        instruction_words=400,
        action="confirm",
    )


def make_workload(deployment: Deployment, seed: int) -> Workload:
    """Returns a workload; the same seed gives the same workload."""
    rng = random.Random(f"{deployment}/{seed}")
    if deployment is Deployment.BALTGRANTS:
        program_makers, weights = (_make_digest, _make_compliance), (0.65, 0.35)
        failure_domains: tuple[str, ...] = ("riga-a", "riga-b", "riga-c")
        programs_per_s, tool_services = 1.3, 3
    else:
        program_makers, weights = (_make_draft, _make_negotiation), (0.4, 0.6)
        failure_domains = ("central-a", "central-b", "central-c", "central-d")
        programs_per_s, tool_services = 1.2, 4
    workspaces = [f"ws-{number}" for number in range(1, 9)]
    # The two largest workspaces cause half of the load.
    shares = [4.0, 3.0, 1.5, 1.5, 1.0, 1.0, 1.0, 1.0]
    plans: list[ProgramPlan] = []

    def add_program(workspace: str, start_s: float) -> None:
        make_program = rng.choices(program_makers, weights)[0]
        plans.append(
            make_program(_ProgramBuilder(rng, workspace), len(plans) + 1, start_s)
        )

    arrival_s = 0.0
    while (arrival_s := arrival_s + rng.expovariate(programs_per_s)) < ARRIVAL_PERIOD_S:
        add_program(rng.choices(workspaces, shares)[0], arrival_s)
    arrival_s = OVERLOAD_START_S
    while (arrival_s := arrival_s + rng.expovariate(3.0)) < OVERLOAD_END_S:
        add_program("ws-3", arrival_s)
    plans.sort(key=lambda plan: plan.start_s)
    return Workload(deployment, failure_domains, 5, tool_services, workspaces, plans)
