"""
Remembers which requests upstreams left unanswered, until the fate of these is known.

An upstream may crash without closing its connections. Its requests then end at their
deadlines or with their callers, and the crash shows later, in the list of upstreams:
another process has taken the upstream's id or address, or its entry has expired.
Silence alone proves nothing, because a link may have been cut or the request may be
slow. The code only decides: it neither sends nor waits.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from damasksaddle.utils import Gauge, set_gauge
from damasksaddle_gateway.routing_config import Upstream

# An upstream may still run a request for this time after the connection was closed, but
# not beyond the request's deadline.
RUNS_ON_S = 3.0
# An attempt that ended without an answer is remembered for this time; entries expire
# after a few seconds, and later if the store is away.
REMEMBERED_S = 60.0
# Bounds the memory to about 2 MB; the oldest attempts are dropped.
MAX_UNANSWERED = 4096
# Processes that are known to have ended, and may be listed for some seconds more.
MAX_ENDED_PROCESSES = 1024

Incarnation = tuple[str, str, int]


@dataclass(slots=True, eq=False)
class Attempt:
    """
    A request at an upstream.

    The upstream may run it until `until_s`, as far as this VM knows.
    """

    upstream: Upstream
    fingerprints: tuple[str, ...]
    until_s: float


@dataclass(slots=True)
class _Process:
    """
    An upstream process with the attempts that it has not answered.

    `sequence_number` is that of its entry when the list was last read, at `read_s`.
    """

    upstream: Upstream
    attempts: set[Attempt] = field(default_factory=set)
    is_leaving: bool = False
    is_missing: bool = False
    sequence_number: int | None = None
    read_s: float = 0.0


class _State(Enum):
    LISTED = auto()
    # Another process has its id or its address.
    REPLACED = auto()
    MISSING = auto()


@dataclass(frozen=True, slots=True)
class Crash:
    """An upstream process that crashed, and the requests that it left unanswered."""

    upstream: Upstream
    fingerprints: frozenset[str]


@dataclass(slots=True)
class Findings:
    """
    What a read of the list tells of upstreams with unanswered requests.

    `missing` are those whose entries have expired, which may still serve.
    """

    crashes: list[Crash] = field(default_factory=list)
    missing: list[Upstream] = field(default_factory=list)


class UnansweredRequests:
    """
    The attempts of this VM that have no answer, by the process of their upstream.

    An attempt is dropped when it is answered, when its upstream has proved to have
    survived it, and when its upstream has left as announced::

        requests = UnansweredRequests()
        attempt = requests.start(upstream, ("f1",), deadline_s=12.0)
        requests.finish(attempt, answered=False, now_s=12.0)
        requests.observe({}, 15.0, lambda upstream: False).missing  # [upstream]
        requests.take(upstream)  # {"f1"}
    """

    def __init__(self) -> None:
        self._processes: dict[Incarnation, _Process] = {}
        # Attempts that have ended without an answer, the oldest first.
        self._unanswered: OrderedDict[Attempt, float] = OrderedDict()
        self._ended_processes: OrderedDict[Incarnation, None] = OrderedDict()

    def start(
        self, upstream: Upstream, fingerprints: tuple[str, ...], deadline_s: float
    ) -> Attempt:
        """Records that a request is about to be sent."""
        attempt = Attempt(upstream, fingerprints, deadline_s)
        incarnation = upstream.incarnation
        if incarnation not in self._ended_processes:
            process = self._processes.setdefault(incarnation, _Process(upstream))
            process.attempts.add(attempt)
        return attempt

    def finish(self, attempt: Attempt, answered: bool, now_s: float) -> None:
        """Records that an attempt has ended."""
        process = self._processes.get(attempt.upstream.incarnation)
        if process is None or attempt not in process.attempts:
            # The fate of the process is known, and the attempt was reported.
            return
        if answered:
            self._drop([attempt])
            return
        attempt.until_s = min(attempt.until_s, now_s + RUNS_ON_S)
        self._unanswered[attempt] = now_s
        if len(self._unanswered) > MAX_UNANSWERED:
            self._drop([next(iter(self._unanswered))])

    def observe(
        self,
        listed: dict[str, Upstream],
        requested_s: float,
        is_leaving: Callable[[Upstream], bool],
    ) -> Findings:
        """
        Compares the processes with a list of upstreams that was read at a time.

        `is_leaving` tells whether an upstream said in a response that it leaves.
        """
        self._drop(
            attempt
            for attempt, ended_s in list(self._unanswered.items())
            if ended_s < requested_s - REMEMBERED_S
        )
        findings = Findings()
        by_address: dict[str, Upstream] = {}
        if self._processes:
            for upstream in sorted(
                listed.values(), key=lambda upstream: upstream.started_at_ms
            ):
                by_address[upstream.address] = upstream
        for process in list(self._processes.values()):
            upstream = process.upstream
            state = _find_state(upstream, listed, by_address)
            process.is_leaving |= is_leaving(upstream)
            if state is _State.LISTED:
                entry = listed[upstream.id]
                process.is_leaving |= entry.draining
                process.is_missing = False
                self._record_renewal(process, entry, requested_s)
            elif process.is_leaving:
                # It ended as planned, with the requests that it still had.
                self.take(upstream)
            elif state is _State.REPLACED:
                findings.crashes.append(Crash(upstream, self.take(upstream)))
            elif not process.is_missing:
                process.is_missing = True
                findings.missing.append(upstream)
        set_gauge(Gauge.UNANSWERED_REQUESTS, len(self._unanswered))
        return findings

    def _record_renewal(
        self, process: _Process, entry: Upstream, requested_s: float
    ) -> None:
        """Drops the attempts that a process survived, as its renewed entry proves."""
        known, process.sequence_number = process.sequence_number, entry.sequence_number
        # A renewal that is new in this read was written after the read before it.
        alive_s, process.read_s = process.read_s, requested_s
        if known is not None and entry.sequence_number > known:
            self._drop(
                attempt
                for attempt in list(process.attempts)
                if attempt in self._unanswered and attempt.until_s < alive_s
            )

    def is_missing(self, upstream: Upstream) -> bool:
        """Tells whether a process with unanswered requests is not listed any more."""
        process = self._processes.get(upstream.incarnation)
        return process is not None and process.is_missing

    def forget(self, upstream: Upstream) -> None:
        """Drops the attempts at a process that is known to run."""
        process = self._processes.pop(upstream.incarnation, None)
        for attempt in process.attempts if process is not None else ():
            self._unanswered.pop(attempt, None)

    def take(self, upstream: Upstream) -> frozenset[str]:
        """Returns the requests that a process left unanswered when it ended."""
        process = self._processes.get(upstream.incarnation)
        self.forget(upstream)
        self._ended_processes[upstream.incarnation] = None
        if len(self._ended_processes) > MAX_ENDED_PROCESSES:
            self._ended_processes.popitem(last=False)
        return frozenset(
            fingerprint
            for attempt in (process.attempts if process is not None else ())
            for fingerprint in attempt.fingerprints
        )

    def _drop(self, attempts: Iterable[Attempt]) -> None:
        for attempt in attempts:
            self._unanswered.pop(attempt, None)
            process = self._processes[attempt.upstream.incarnation]
            process.attempts.discard(attempt)
            if not process.attempts:
                del self._processes[attempt.upstream.incarnation]


def _find_state(
    upstream: Upstream, listed: dict[str, Upstream], by_address: dict[str, Upstream]
) -> _State:
    """Returns the state of a process; `by_address` holds the last one to start."""
    entry = listed.get(upstream.id)
    is_listed = entry is not None and entry.incarnation == upstream.incarnation
    if entry is not None and entry.started_at_ms > upstream.started_at_ms:
        return _State.REPLACED
    there = by_address.get(upstream.address)
    if (
        there is not None
        and there.id != upstream.id
        # Without the time of a start, it is unknown which of two entries is older.
        and (not is_listed or there.started_at_ms > upstream.started_at_ms)
    ):
        return _State.REPLACED
    return _State.LISTED if is_listed else _State.MISSING
