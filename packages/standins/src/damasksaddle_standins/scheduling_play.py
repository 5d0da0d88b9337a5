"""
Programs, and simulated upstreams with a speed, around the scheduler of one service.

The play has no network and no clock of its own. Each grant is checked against the
slots, the memory and the start rate of its upstream.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from damasksaddle_gateway.routing_config import Engine, Service, Upstream
from damasksaddle_gateway.scheduling.requests import (
    Candidate,
    Granted,
    Outcome,
    OutcomeKind,
    PlaceRequest,
    Rejected,
)
from damasksaddle_gateway.scheduling.scheduler import (
    SchedulerSettings,
    ServiceScheduler,
)

# The engines of the smaller of the fleets with three speeds.
ENGINE = Engine(slots=6, kv_capacity_tokens=85_100, tokens_per_event=22)
STEP_S = 0.00187
PREFILL_S_PER_TOKEN = 1 / 164_000
BATCH_GROWTH = 0.05
TRANSIT_S = 0.003


@dataclass
class SimulatedUpstream:
    """An upstream whose speed, failures and delay may depend on the time."""

    upstream: Upstream
    speed: Callable[[float], float] = lambda now_s: 1.0
    failure_rate: Callable[[float], float] = lambda now_s: 0.0
    first_delay_s: Callable[[float], float] = lambda now_s: 0.0
    starts_s: list[float] = field(default_factory=list)
    running: int = 0
    tokens: int = 0
    held: set[str] = field(default_factory=set)


@dataclass
class Program:
    """A program, or a single call if it has one turn; `rest_s` is its idle time."""

    id: str
    workspace: str = "w"
    priority: int = 0
    turns: int = 4
    prompt_tokens: int = 1500
    events: int = 3
    call_s: float = 0.0
    route: str = "chat"
    affinity: str = ""
    retryable: bool = True
    time_factor: float = 1.3
    begun_s: float = 0.0
    ended_s: float = math.inf
    waited_s: float = 0.0
    state: str = "waiting"
    turn: int = 0
    returns: int = 0
    idle_speed: float = 1.0

    def idle_s(self, held: bool = False) -> float:
        """Returns the time of one turn on an idle upstream of speed 1."""
        if self.call_s:
            return self.call_s * (0.7 if held else 1.0)
        tokens = 500 if held else self.prompt_tokens + 500 * self.turn
        return tokens * PREFILL_S_PER_TOKEN + self.events * 22 * STEP_S

    def deadline_s(self) -> float:
        """Returns the time by which the program should finish."""
        turns_s = self.turns * (self.idle_s() / self.idle_speed + 0.046)
        return self.begun_s + self.time_factor * turns_s + 0.3


class Play:
    """Runs programs against a scheduler."""

    def __init__(
        self,
        upstreams: list[SimulatedUpstream],
        service: Service | None = None,
        settings: SchedulerSettings | None = None,
        seed: int = 1,
        connected: frozenset[str] = frozenset(),
    ) -> None:
        self.random = random.Random(seed)
        self.service = service or Service("s", 0, ENGINE)
        self.settings = settings or SchedulerSettings()
        self.scheduler = ServiceScheduler(self.service, self.settings, self.random)
        self.upstreams = {one.upstream.id: one for one in upstreams}
        self.connected = connected
        self.now_s = 0.0
        self.grants: list[tuple[float, str, PlaceRequest]] = []
        self.retry_after_s: list[float] = []
        self.decisions = 0
        self.programs: list[Program] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._by_request: dict[str, tuple[Program, float]] = {}
        self.list_upstreams()

    def list_upstreams(self) -> None:
        """Passes the current upstreams to the scheduler."""
        listed = [one.upstream for one in self.upstreams.values()]
        self.scheduler.set_upstreams(listed, self.now_s)

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        heapq.heappush(self._events, (time_s, next(self._numbers), action))

    def add(self, program: Program, begin_s: float) -> None:
        """Adds a program that begins at a time."""
        program.begun_s = begin_s
        self.programs.append(program)
        self.at(begin_s, lambda: self._send(program, frozenset()))

    def arrivals(
        self, per_s: float, until_s: float, make: Callable[[int], Program]
    ) -> None:
        """Adds programs that arrive independently of each other."""
        time_s, number = 0.0, 0
        while (time_s := time_s + self.random.expovariate(per_s)) < until_s:
            self.add(make(number), time_s)
            number += 1

    def run(self, until_s: float) -> None:
        """Runs all events until a time, and `advance` when it is due."""
        while self._events:
            due_s = self.scheduler.next_event_s()
            if due_s < self._events[0][0]:
                self.now_s = max(self.now_s, due_s)
                if due_s > until_s:
                    return
                self._advance()
                if self.scheduler.next_event_s() <= due_s:
                    # A probe that nobody may use stays due: wait for the next event.
                    self._step()
            elif self._events[0][0] > until_s:
                return
            else:
                self._step()

    def fail_from(self, vm: str, number: int, now_s: float) -> None:
        """Has a VM report that it did not reach the upstream of a grant."""
        request = PlaceRequest(f"{vm}/{number}", vm, "a", "w", max_output_tokens=66)
        decision = self.scheduler.submit(request, now_s)
        assert isinstance(decision, Granted)
        outcome = Outcome(OutcomeKind.NOT_REACHED)
        self.scheduler.finish(decision.lease, outcome, now_s)

    def explain(self, workspace: str) -> list[Candidate]:
        """Returns how the upstreams compare for a request now."""
        request = PlaceRequest("explained", "vm", "a", workspace, max_output_tokens=66)
        return self.scheduler.explain(request, self.now_s)

    def counts(self, since_s: float = 0.0, until_s: float = math.inf) -> Counter[str]:
        """Returns the number of grants for each upstream."""
        return Counter(
            upstream
            for granted_s, upstream, _ in self.grants
            if since_s <= granted_s < until_s
        )

    def _step(self) -> None:
        if self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def _advance(self) -> None:
        for request, decision in self.scheduler.advance(self.now_s):
            self._decide(request, decision)

    def _send(self, program: Program, excluded: frozenset[str]) -> None:
        begins = program.turn == 0
        left_s = program.deadline_s() - self.now_s
        request = PlaceRequest(
            id=f"{program.id}/{program.turn}/{next(self._numbers)}",
            vm="vm",
            failure_domain="a",
            workspace=program.workspace,
            program=program.id,
            in_progress=not begins,
            priority=program.priority,
            time_left_s=max(left_s, 0.0) + 5.0,
            program_time_left_s=left_s,
            prompt_tokens=0 if program.call_s else self._prompt(program),
            max_output_tokens=0 if program.call_s else 2 * 22 * program.events,
            affinity=program.affinity or program.id,
            connected=self.connected,
            excluded=excluded,
            route=program.route,
            retryable=program.retryable,
        )
        self._by_request[request.id] = program, self.now_s
        self.decisions += 1
        decision = self.scheduler.submit(request, self.now_s)
        if decision is not None:
            self._decide(request, decision)

    def _prompt(self, program: Program) -> int:
        return program.prompt_tokens + 500 * program.turn

    def _decide(self, request: PlaceRequest, decision: Granted | Rejected) -> None:
        program, asked_s = self._by_request.pop(request.id)
        if isinstance(decision, Rejected):
            self._reject(program, decision)
            return
        one = self.upstreams[decision.upstream.id]
        program.waited_s += self.now_s - asked_s
        self.grants.append((self.now_s, one.upstream.id, request))
        self._check(one, request)
        held = request.affinity in one.held
        speed = one.speed(self.now_s)
        batch = 1 + BATCH_GROWTH * (one.running - 1)
        run_s = program.idle_s(held) / speed * batch
        run_s *= self.random.uniform(0.9, 1.1)
        first_s = run_s - (program.events - 1) * 22 * STEP_S / speed * batch
        delay_s = one.first_delay_s(self.now_s)
        total_s = TRANSIT_S + delay_s + run_s
        outcome = Outcome(
            OutcomeKind.COMPLETED,
            first_event_ms=(TRANSIT_S + delay_s + max(first_s, 0.001)) * 1000,
            event_gap_ms=22 * STEP_S / speed * batch * 1000,
            total_ms=total_s * 1000,
            events=program.events,
        )
        if self.random.random() < one.failure_rate(self.now_s):
            outcome = Outcome(OutcomeKind.INTERRUPTED)
            total_s /= 2

        def end() -> None:
            one.running -= 1
            one.tokens -= request.prompt_tokens + request.max_output_tokens
            one.held.add(request.affinity)
            self.scheduler.finish(decision.lease, outcome, self.now_s)
            self._continue(program, outcome, one)
            self._advance()

        self.at(self.now_s + total_s, end)

    def _check(self, one: SimulatedUpstream, request: PlaceRequest) -> None:
        one.running += 1
        one.tokens += request.prompt_tokens + request.max_output_tokens
        if self.service.engine is not None:
            assert one.running <= one.upstream.slots
            assert one.tokens <= self.service.engine.kv_capacity_tokens
        one.starts_s.append(self.now_s)
        if self.service.cold_per_s > 0:
            bound = self.service.cold_per_s * self.settings.cold_overrun
            recent = [s for s in one.starts_s[-200:] if s > self.now_s - 1.0]
            assert len(recent) <= bound + self.settings.cold_slack

    def _continue(
        self, program: Program, outcome: Outcome, one: SimulatedUpstream
    ) -> None:
        if outcome.kind is OutcomeKind.INTERRUPTED:
            if program.retryable:
                self._send(program, frozenset({one.upstream.id}))
            else:
                program.state = "lost"
            return
        program.turn += 1
        if program.turn < program.turns:
            self._send(program, frozenset())
        else:
            program.ended_s = self.now_s
            in_time = self.now_s <= program.deadline_s()
            program.state = "finished" if in_time else "late"

    def _reject(self, program: Program, rejected: Rejected) -> None:
        self.retry_after_s.append(rejected.retry_after_s)
        left_s = program.deadline_s() - self.now_s
        if program.returns < 2 and rejected.retry_after_s <= left_s / 3:
            program.returns += 1
            self.at(
                self.now_s + rejected.retry_after_s,
                lambda: self._send(program, frozenset()),
            )
        else:
            program.state = "rejected" if program.turn == 0 else "cut"


def upstream(upstream_id: str, slots: int = 6, **properties: float) -> Upstream:
    """Returns an entry of a simulated upstream in failure domain a."""
    return Upstream(
        upstream_id,
        "s",
        f"127.0.0.1:{upstream_id}",
        "a",
        slots,
        False,
        started_at_ms=int(properties.get("started_at_ms", 0)),
        cold_remaining_ms=properties.get("cold_remaining_ms", 0.0),
    )


def upstreams(count: int, slots: int = 6) -> list[SimulatedUpstream]:
    """Returns equal upstreams of speed 1."""
    return [SimulatedUpstream(upstream(f"u{i}", slots)) for i in range(count)]
