"""
Checks what the system promises, from what callers and upstreams saw.

Nothing here asks the system. A promise that holds only for a VM that was left alone is
checked only if no fault touched that VM, its links, the store or an upstream for
`CONTACT_S` before.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from damasksaddle.utils import boottime_s
from damasksaddle_standins.faults.traffic import (
    BUDGET_TOKENS,
    DEADLINE_MS,
    EVENTS,
    TOKENS_PER_EVENT,
    TURN_TOKENS,
    Kind,
    event,
    plain_body,
)

# The bounds of the users' platform, which the settings of the gateways repeat.
CONTACT_S = 3.0
REVOKE_S = 3.0
DRAIN_S = 2.0
GRACE_S = 6.0
RATE_WINDOW_S = 5.0
RATE_OVERRUN = 0.1
RATE_SLACK = 20
# A deadline may be rounded, and read a moment after it was written.
DEADLINE_SLACK_MS = 500
# Statuses that say that a request did not run and never will.
NOT_RUN_STATUSES = frozenset((402, 408, 421, 429, 503))
# Refusals of requests that every configuration allows.
DENIALS = frozenset((400, 401, 403, 404, 413, 431))
# So many requests may fail though no fault was near: five and one of 500.
CALM_FAILURES, CALM_FAILURE_SHARE = 5, 1 / 500


@dataclass(slots=True)
class Sent:
    """One attempt of a caller."""

    id: str
    kind: Kind
    path: str
    workspace: str
    key: str
    vm: str
    sent_s: float
    program: str = ""
    first_event: int = 0
    # Whether the caller has a right to be served: not beyond its rate, and waiting.
    judged: bool = True


@dataclass(slots=True)
class Answered:
    """What the caller got; `status` is 0 if the connection ended before a head."""

    status: int
    body: bytes
    complete: bool


@dataclass(slots=True)
class Promises:
    """Collects broken promises as lines of text."""

    broken: list[str] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)
    sent: dict[str, Sent] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    calm_requests: int = 0
    calm_failures: list[str] = field(default_factory=list)
    # Keys of the first configuration.
    first_keys: set[str] = field(default_factory=set)
    # When the store took a configuration without a key.
    withdrawn_s: dict[str, float] = field(default_factory=dict)
    # When the store took an upstream's word that it is leaving.
    draining_s: dict[str, float] = field(default_factory=dict)
    rates: dict[str, tuple[float, float]] = field(default_factory=dict)
    _refused: dict[str, int] = field(default_factory=dict)
    _tokens: Counter[str] = field(default_factory=Counter)
    _ran: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _vm_faults_s: dict[str, float] = field(default_factory=dict)
    _common_fault_s: float = -math.inf

    def note_fault(self, vm: str | None) -> None:
        """Books that a VM, or what all of them use, is hit by a fault now."""
        if vm is None:
            self._common_fault_s = boottime_s()
        else:
            self._vm_faults_s[vm] = boottime_s()

    def was_calm(self, vm: str, since_s: float) -> bool:
        """Tells whether no fault was near a VM from `CONTACT_S` before a time on."""
        latest_s = max(self._common_fault_s, self._vm_faults_s.get(vm, -math.inf))
        return latest_s < since_s - CONTACT_S

    def _break(self, promise: str, sent: Sent | None, detail: object) -> None:
        request = "" if sent is None else f" {sent.kind.name} {sent.id} at {sent.vm}"
        self.broken.append(f"{promise}:{request} {detail}")

    def on_run(
        self,
        request_id: str,
        path: str,
        upstream: str,
        workspace: str,
        deadline_ms: float,
        shows_key: bool,
    ) -> None:
        """Checks a run that an upstream begins."""
        now_s = boottime_s()
        sent = self.sent.get(request_id)
        if sent is None or sent.path != path:
            self._break("nobody asked for this run", sent, f"{request_id} {path}")
            return
        self.runs[request_id] += 1
        if self.runs[request_id] > 1 and not sent.kind.may_run_again():
            self._break("ran twice", sent, upstream)
        if request_id in self._refused:
            self._break("ran after a refusal", sent, self._refused[request_id])
        if workspace != sent.workspace or shows_key:
            self._break("ran for another workspace or shows a key", sent, workspace)
        if deadline_ms > DEADLINE_MS + DEADLINE_SLACK_MS:
            self._break("was given more time than is left", sent, deadline_ms)
        withdrawn_s = self.withdrawn_s.get(sent.key, math.inf)
        if sent.sent_s > withdrawn_s + REVOKE_S:
            self._break("a withdrawn key", sent, f"{sent.sent_s - withdrawn_s:.2f} s")
        draining_s = self.draining_s.get(upstream, math.inf)
        if now_s > draining_s + DRAIN_S and self.was_calm(sent.vm, sent.sent_s):
            self._break("a leaving upstream", sent, f"{now_s - draining_s:.2f} s")
        self._ran[sent.workspace].append((sent.sent_s, now_s))

    def on_answer(self, sent: Sent, answer: Answered) -> None:
        """Checks what a caller got in the end."""
        self.statuses[str(answer.status) if answer.complete else "cut"] += 1
        if answer.status in NOT_RUN_STATUSES and answer.complete:
            self._refused[sent.id] = answer.status
            if self.runs[sent.id]:
                self._break("refused and has run", sent, answer.status)
        if answer.status in DENIALS and self._is_allowed_always(sent):
            self._break("denied", sent, answer.status)
        if answer.status // 100 == 2:
            self._check_body(sent, answer)
        self._check_calm(sent, answer)

    def _is_allowed_always(self, sent: Sent) -> bool:
        return sent.key in self.first_keys and sent.key not in self.withdrawn_s

    def _check_body(self, sent: Sent, answer: Answered) -> None:
        if not sent.kind.is_stream():
            expected = plain_body(sent.path, sent.id)
            if answer.complete and answer.body != expected:
                self._break("another body", sent, answer.body[:80])
            return
        whole = b"".join(event(sent.path, n) for n in range(sent.first_event, EVENTS))
        if not whole.startswith(answer.body):
            self._break("events out of order", sent, answer.body[:200])
        elif answer.complete and answer.body != whole:
            self._break("a cut stream that looks complete", sent, answer.body[-40:])
        self._tokens[sent.program] += answer.body.count(b"data:") * TOKENS_PER_EVENT
        if self._tokens[sent.program] > BUDGET_TOKENS + TURN_TOKENS:
            self._break("over the budget", sent, self._tokens[sent.program])

    def _check_calm(self, sent: Sent, answer: Answered) -> None:
        if not sent.judged or sent.key in self.withdrawn_s:
            return
        if not self.was_calm(sent.vm, sent.sent_s):
            return
        self.calm_requests += 1
        if (answer.status in (200, 402)) and answer.complete:
            return
        self.calm_failures.append(
            f"{sent.kind.name} {sent.id} at {sent.vm}: {answer.status}, "
            f"complete {answer.complete}, ran {self.runs[sent.id]}, "
            f"{boottime_s() - sent.sent_s:.2f} s"
        )

    def finish(self) -> None:
        """Checks what only the whole run can tell."""
        for workspace, (rate_per_s, burst) in self.rates.items():
            most = rate_per_s * RATE_WINDOW_S + burst
            most = most * (1 + RATE_OVERRUN) + RATE_SLACK
            for began_s, number in self._windows(workspace):
                if number > most:
                    detail = f"{workspace} {number} of {most:.0f} at {began_s:.1f}"
                    self._break("over the rate", None, detail)
                    break

    def failed_in_calm(self) -> bool:
        """Tells whether more requests failed than may though no fault was near."""
        most = CALM_FAILURES + self.calm_requests * CALM_FAILURE_SHARE
        return len(self.calm_failures) > most

    def _windows(self, workspace: str) -> Iterator[tuple[float, int]]:
        """Yields how many requests were sent and run within each window."""
        ran = sorted(self._ran[workspace])
        for index, (began_s, _) in enumerate(ran):
            ends_s = began_s + RATE_WINDOW_S
            yield began_s, sum(1 for _, run_s in ran[index:] if run_s <= ends_s)
