"""
Counters and latency histograms of this process, as `prometheus_client` keeps them.

Names are fixed, and labels hold only codes, so that no key, token, body or name of a
workspace can get into one. `exposition` returns the text that `/metrics` serves.
"""

from enum import StrEnum

from prometheus_client import (
    CollectorRegistry,
    Histogram,
    generate_latest,
)
from prometheus_client import (
    Counter as CounterMetric,
)


class Counter(StrEnum):
    """Events that are counted."""

    REQUESTS = "requests"
    REFUSALS = "refusals"
    COMMIT_ROWS = "commit.rows"
    COMMIT_RECORDS = "commit.records"
    TABLE_ERRORS = "table.errors"
    TABLE_RESPONSES_LOST = "table.answers_lost"
    PARTITION_TAKEOVERS = "takeovers.partitions"
    STREAM_TAKEOVERS = "takeovers.streams"
    MEMBER_REMOVALS = "removals"
    UPSTREAM_ATTEMPTS = "tries"
    STORE_OUTAGES = "store.lost"
    INTERRUPTED_RESPONSES = "answers.broken"
    CALLER_DISCONNECTS = "callers.left"


class Timing(StrEnum):
    """Times that are measured, in milliseconds."""

    RATE_WAIT = "rate_wait"
    QUEUE_WAIT = "queue_wait"
    FIRST_TOKEN = "first_token"
    CALL = "call"
    COMMIT = "commit.time"
    BUDGET_WAIT = "budget_wait"
    PLACEMENT_WAIT = "placement_wait"
    RESPONSE = "answer"
    STORE = "store.time"


MEANINGS: dict[str, str] = {
    Counter.REQUESTS: "calls that an entry VM admitted to a route",
    Counter.REFUSALS: "refusals, with the code as last part of the name",
    Counter.COMMIT_ROWS: "rows written to commit streams",
    Counter.COMMIT_RECORDS: "entries in those rows; there is one per append",
    Counter.TABLE_ERRORS: "requests that the table did not take",
    Counter.TABLE_RESPONSES_LOST: "writes whose answer did not arrive",
    Counter.PARTITION_TAKEOVERS: "partitions opened by a new holder",
    Counter.STREAM_TAKEOVERS: "commit streams taken over by a new committer",
    Counter.MEMBER_REMOVALS: "members that this VM removed after their lease ran out",
    Counter.UPSTREAM_ATTEMPTS: "requests sent to an upstream, by their outcome",
    Counter.STORE_OUTAGES: "times that the store stopped answering",
    Counter.INTERRUPTED_RESPONSES: "answers that were broken off midway, by reason",
    Counter.CALLER_DISCONNECTS: "callers that disconnected before the response",
    Timing.RATE_WAIT: "wait for the workspace's rate",
    Timing.QUEUE_WAIT: "wait in the queue of a pool",
    Timing.FIRST_TOKEN: "from a call's start at its owner to its first token",
    Timing.CALL: "whole calls at their owner that ended with an outcome",
    Timing.COMMIT: "writing one row of a commit stream",
    Timing.BUDGET_WAIT: "wait for a turn's part of its program's budget",
    Timing.PLACEMENT_WAIT: "wait for room at an upstream",
    Timing.RESPONSE: "from a request's arrival to the end of its answer",
    Timing.STORE: "one call of the platform's store",
}


# Upper bounds in milliseconds: from a call within a VM to a caller's deadline.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000)
PREFIX = "damasksaddle"


def _name(kind: StrEnum) -> str:
    return f"{PREFIX}_{kind.value.replace('.', '_')}"


class _Metrics:
    """All metrics of one process; each exists from the start with the value zero."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.counters = {
            kind: CounterMetric(
                _name(kind), MEANINGS[kind], ["detail"], registry=self.registry
            )
            for kind in Counter
        }
        self.timings = {
            kind: Histogram(
                f"{_name(kind)}_ms",
                MEANINGS[kind],
                buckets=BUCKETS_MS,
                registry=self.registry,
            )
            for kind in Timing
        }


_metrics = _Metrics()


def reset_metrics() -> None:
    """Sets all metrics back to zero, for tests."""
    global _metrics
    _metrics = _Metrics()


def count(name: Counter, detail: str = "", number: int = 1) -> None:
    """Counts events; `detail` is a code that becomes a label."""
    _metrics.counters[name].labels(detail).inc(number)


def measure(name: Timing, duration_ms: float) -> None:
    """Reports how long something took."""
    _metrics.timings[name].observe(duration_ms)


def counter_value(name: Counter, detail: str = "") -> int:
    """Returns how many events were counted."""
    return int(_metrics.counters[name].labels(detail)._value.get())


def exposition() -> bytes:
    """Returns all metrics as text."""
    return generate_latest(_metrics.registry)
