"""
Checks the invariants of the system from what callers and upstreams observed.

The checks never query the system itself. An invariant that holds only without faults is
checked only if no fault affected the VM, its connections, the store or an upstream
during the preceding `RECOVERY_S`.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from http import HTTPStatus

from damasksaddle.utils import boottime_s
from damasksaddle_standins.faults.traffic import (
    BUDGET_TOKENS,
    DEADLINE_MS,
    EVENTS_PER_TURN,
    RETENTION_S,
    TOKENS_PER_EVENT,
    TURN_TOKENS,
    RequestKind,
    make_event,
    make_output,
    make_plain_body,
)

# Limits of the users' platform, which the gateway settings repeat.
RECOVERY_S = 3.0
REVOKE_S = 3.0
DRAIN_S = 2.0
EVACUATE_S = 3.0
GRACE_S = 6.0
RATE_WINDOW_S = 5.0
RATE_OVERRUN = 0.1
RATE_SLACK = 20
# Allows for rounding, and for the delay between writing and reading a deadline.
DEADLINE_SLACK_MS = 500
# Statuses which mean that a request did not run and will not run later.
NOT_RUN_STATUSES = frozenset((402, 408, 421, 429, 503))
# Statuses that reject a request; a request that every configuration allows must not
# get them.
DENIAL_STATUSES = frozenset((400, 401, 403, 404, 413, 431))
# Up to five requests plus one in 500 may fail without a fault nearby.
MAX_FAULT_FREE_FAILURES, MAX_FAULT_FREE_FAILURE_RATIO = 5, 1 / 500


@dataclass(slots=True)
class Attempt:
    """One attempt of a caller to send a request."""

    id: str
    kind: RequestKind
    path: str
    workspace: str
    key: str
    vm_name: str
    sent_s: float
    program_id: str = ""
    first_event: int = 0
    # Whether the request must be served: the caller is within its rate and has not
    # disconnected.
    must_succeed: bool = True
    new_input: bytes = b""
    # The turn that a turn continues from.
    previous_id: str = ""
    # The attempt that brought the first event of the stream to continue.
    stream_id: str = ""


@dataclass(frozen=True, slots=True)
class AnsweredTurn:
    """A turn whose response ended at the caller, so that others may continue it."""

    workspace: str
    content: bytes
    previous_id: str
    answered_s: float


@dataclass(slots=True)
class ReceivedResponse:
    """What the caller received; `status` is 0 if no response header arrived."""

    status: int
    body: bytes
    complete: bool


@dataclass(slots=True)
class InvariantChecker:
    """Checks runs and responses, and collects violations as lines of text."""

    violations: list[str] = field(default_factory=list)
    status_counts: Counter[str] = field(default_factory=Counter)
    attempts: dict[str, Attempt] = field(default_factory=dict)
    run_counts: Counter[str] = field(default_factory=Counter)
    fault_free_requests: int = 0
    fault_free_failures: list[str] = field(default_factory=list)
    # Keys of the first configuration.
    initial_keys: set[str] = field(default_factory=set)
    # When the store accepted a configuration without the key, by key.
    key_withdrawn_s: dict[str, float] = field(default_factory=dict)
    # When the store accepted the row that marks an upstream as draining, by upstream.
    drain_started_s: dict[str, float] = field(default_factory=dict)
    # When an upstream first said to a VM that it leaves, by upstream and VM.
    leaving_said_s: dict[tuple[str, str], float] = field(default_factory=dict)
    # When the store accepted the evacuation, by evacuated failure domain.
    evacuated_s: dict[str, float] = field(default_factory=dict)
    # Answered turns of routes that keep histories, by request id.
    turns: dict[str, AnsweredTurn] = field(default_factory=dict)
    rates: dict[str, tuple[float, float]] = field(default_factory=dict)
    _refusal_statuses: dict[str, int] = field(default_factory=dict)
    _tokens_by_program: Counter[str] = field(default_factory=Counter)
    _run_times: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _vm_fault_s: dict[str, float] = field(default_factory=dict)
    _shared_fault_s: float = -math.inf

    def record_fault(self, vm_name: str | None) -> None:
        """Records that a fault now affects a VM, or all VMs if `vm_name` is None."""
        if vm_name is None:
            self._shared_fault_s = boottime_s()
        else:
            self._vm_fault_s[vm_name] = boottime_s()

    def was_fault_free(self, vm_name: str, since_s: float) -> bool:
        """Returns whether no fault affected a VM from `since_s - RECOVERY_S` on."""
        latest_s = max(self._shared_fault_s, self._vm_fault_s.get(vm_name, -math.inf))
        return latest_s < since_s - RECOVERY_S

    def record_leaving(self, upstream_id: str, request_id: str) -> None:
        """Records that an upstream says to the VM of a request that it leaves."""
        attempt = self.attempts.get(request_id)
        if attempt is not None:
            key = upstream_id, attempt.vm_name
            self.leaving_said_s.setdefault(key, boottime_s())

    def _check_leaving(self, attempt: Attempt, upstream_id: str) -> None:
        """Checks a run on an upstream that may have said that it leaves."""
        vm_name = attempt.vm_name
        said_s = self.leaving_said_s.get((upstream_id, vm_name), math.inf)
        # A VM that was restarted does not know what the upstream said before.
        knows = self._vm_fault_s.get(vm_name, -math.inf) < said_s
        if knows and attempt.sent_s > said_s + DRAIN_S:
            self._report_violation(
                "ran on an upstream that said that it leaves",
                attempt,
                f"{attempt.sent_s - said_s:.2f} s",
            )

    def _report_violation(
        self, invariant: str, attempt: Attempt | None, detail: object
    ) -> None:
        request_text = (
            ""
            if attempt is None
            else f" {attempt.kind.name} {attempt.id} at {attempt.vm_name}"
        )
        self.violations.append(f"{invariant}:{request_text} {detail}")

    def check_run(
        self,
        request_id: str,
        path: str,
        upstream_id: str,
        workspace: str,
        deadline_ms: float,
        exposes_key: bool,
        body: bytes | None = None,
    ) -> None:
        """Checks a run that an upstream starts."""
        now_s = boottime_s()
        attempt = self.attempts.get(request_id)
        if attempt is None or attempt.path != path:
            self._report_violation(
                "run without a matching request", attempt, f"{request_id} {path}"
            )
            return
        self.run_counts[request_id] += 1
        if self.run_counts[request_id] > 1 and not attempt.kind.may_rerun():
            self._report_violation(
                "non-repeatable request ran twice", attempt, upstream_id
            )
        if request_id in self._refusal_statuses:
            self._report_violation(
                "ran after a refusal", attempt, self._refusal_statuses[request_id]
            )
        if workspace != attempt.workspace or exposes_key:
            self._report_violation(
                "ran for another workspace or exposed a key", attempt, workspace
            )
        if deadline_ms > DEADLINE_MS + DEADLINE_SLACK_MS:
            self._report_violation("deadline was extended", attempt, deadline_ms)
        withdrawn_s = self.key_withdrawn_s.get(attempt.key, math.inf)
        if attempt.sent_s > withdrawn_s + REVOKE_S:
            self._report_violation(
                "ran with a withdrawn key",
                attempt,
                f"{attempt.sent_s - withdrawn_s:.2f} s",
            )
        draining_s = self.drain_started_s.get(upstream_id, math.inf)
        if now_s > draining_s + DRAIN_S and self.was_fault_free(
            attempt.vm_name, attempt.sent_s
        ):
            self._report_violation(
                "ran on a draining upstream", attempt, f"{now_s - draining_s:.2f} s"
            )
        self._check_leaving(attempt, upstream_id)
        self._check_request_body(attempt, body)
        self._run_times[attempt.workspace].append((attempt.sent_s, now_s))

    def check_evacuation(self, request_id: str, failure_domain: str) -> None:
        """Checks a request that an upstream of a failure domain gets."""
        evacuated_s = self.evacuated_s.get(failure_domain, math.inf)
        elapsed_s = boottime_s() - evacuated_s
        if elapsed_s > EVACUATE_S:
            self._report_violation(
                "request to an evacuated failure domain",
                self.attempts.get(request_id),
                f"{failure_domain} {elapsed_s:.2f} s",
            )

    def _is_foreign(self, attempt: Attempt) -> bool:
        """Tells whether an attempt names a turn of another workspace."""
        turn = self.turns.get(attempt.previous_id)
        return turn is not None and turn.workspace != attempt.workspace

    def _check_request_body(self, attempt: Attempt, body: bytes | None) -> None:
        if self._is_foreign(attempt):
            self._report_violation(
                "ran with a history of another workspace", attempt, attempt.previous_id
            )
            return
        expected = attempt.new_input
        previous_id = attempt.previous_id
        while previous_id:
            turn = self.turns[previous_id]
            expected = turn.content + expected
            previous_id = turn.previous_id
        if body is not None and body != expected:
            self._report_violation(
                "body is not the history and the new input",
                attempt,
                f"{len(body)} of {len(expected)} bytes after {attempt.previous_id}",
            )

    def _record_turn(self, attempt: Attempt, response: ReceivedResponse) -> None:
        if not attempt.kind.keeps_history or not response.complete:
            return
        content = attempt.new_input + make_output(attempt.path)
        turn = AnsweredTurn(
            attempt.workspace, content, attempt.previous_id, boottime_s()
        )
        # A resumed turn can be named by either request.
        for turn_id in filter(None, (attempt.id, attempt.stream_id)):
            self.turns[turn_id] = turn

    def continuable_turns(self, workspace: str, own: bool = True) -> list[str]:
        """Returns answered turns in retention, of a workspace or of the others."""
        since_s = boottime_s() - RETENTION_S
        return [
            turn_id
            for turn_id, turn in self.turns.items()
            if turn.answered_s > since_s and (turn.workspace == workspace) == own
        ]

    def _check_not_found(self, attempt: Attempt) -> None:
        """Checks a response which says that the previous turn does not exist."""
        answered_s = self.turns[attempt.previous_id].answered_s
        age_s = boottime_s() - answered_s
        if age_s <= RETENTION_S and not self._is_foreign(attempt):
            self._report_violation(
                "answered turn was not found", attempt, f"age {age_s:.2f} s"
            )

    def check_response(self, attempt: Attempt, response: ReceivedResponse) -> None:
        """Checks the response, or the part of it, that a caller received."""
        self.status_counts[str(response.status) if response.complete else "cut"] += 1
        if response.status in NOT_RUN_STATUSES and response.complete:
            self._refusal_statuses[attempt.id] = response.status
            if self.run_counts[attempt.id]:
                self._report_violation(
                    "refused although it ran", attempt, response.status
                )
        if response.status == HTTPStatus.NOT_FOUND and attempt.previous_id:
            self._check_not_found(attempt)
        elif response.status in DENIAL_STATUSES and self._has_permanent_key(attempt):
            self._report_violation(
                "allowed request was denied", attempt, response.status
            )
        if response.status // 100 == 2:
            self._check_body(attempt, response)
            self._record_turn(attempt, response)
        self._check_fault_free(attempt, response)

    def _has_permanent_key(self, attempt: Attempt) -> bool:
        return (
            attempt.key in self.initial_keys and attempt.key not in self.key_withdrawn_s
        )

    def _check_body(self, attempt: Attempt, response: ReceivedResponse) -> None:
        if not attempt.kind.is_stream():
            expected = make_plain_body(attempt.path, attempt.id)
            if response.complete and response.body != expected:
                self._report_violation(
                    "unexpected response body", attempt, response.body[:80]
                )
            return
        expected_events = b"".join(
            make_event(attempt.path, number)
            for number in range(attempt.first_event, EVENTS_PER_TURN)
        )
        if not expected_events.startswith(response.body):
            self._report_violation(
                "events missing or out of order", attempt, response.body[:200]
            )
        elif response.complete and response.body != expected_events:
            self._report_violation(
                "truncated stream looks complete", attempt, response.body[-40:]
            )
        self._tokens_by_program[attempt.program_id] += (
            response.body.count(b"data:") * TOKENS_PER_EVENT
        )
        if self._tokens_by_program[attempt.program_id] > BUDGET_TOKENS + TURN_TOKENS:
            self._report_violation(
                "token budget exceeded",
                attempt,
                self._tokens_by_program[attempt.program_id],
            )

    def _check_fault_free(self, attempt: Attempt, response: ReceivedResponse) -> None:
        if not attempt.must_succeed or attempt.key in self.key_withdrawn_s:
            return
        if not self.was_fault_free(attempt.vm_name, attempt.sent_s):
            return
        self.fault_free_requests += 1
        expected = (404,) if self._is_foreign(attempt) else (200, 402)
        if response.status in expected and response.complete:
            return
        self.fault_free_failures.append(
            f"{attempt.kind.name} {attempt.id} at {attempt.vm_name}: "
            f"{response.status}, complete {response.complete}, "
            f"ran {self.run_counts[attempt.id]}, "
            f"{boottime_s() - attempt.sent_s:.2f} s"
        )

    def finish(self) -> None:
        """Checks the rates, which requires the data of the whole test run."""
        for workspace, (rate_per_s, burst) in self.rates.items():
            limit = rate_per_s * RATE_WINDOW_S + burst
            limit = limit * (1 + RATE_OVERRUN) + RATE_SLACK
            for start_s, count in self._requests_per_window(workspace):
                if count > limit:
                    detail = f"{workspace} {count} of {limit:.0f} at {start_s:.1f}"
                    self._report_violation("rate limit exceeded", None, detail)
                    break

    def has_excess_failures(self) -> bool:
        """Returns whether more requests than allowed failed without a fault nearby."""
        limit = (
            MAX_FAULT_FREE_FAILURES
            + self.fault_free_requests * MAX_FAULT_FREE_FAILURE_RATIO
        )
        return len(self.fault_free_failures) > limit

    def _requests_per_window(self, workspace: str) -> Iterator[tuple[float, int]]:
        """Yields each window's start and the count of requests sent and run in it."""
        run_times = sorted(self._run_times[workspace])
        for index, (start_s, _) in enumerate(run_times):
            end_s = start_s + RATE_WINDOW_S
            yield (
                start_s,
                sum(1 for _, run_start_s in run_times[index:] if run_start_s <= end_s),
            )
