"""
Counters, gauges and latency histograms of this process, kept in `prometheus_client`.

Metric names are fixed and labels hold only codes, so that no key, token, request body
or workspace name can leak into them. `exposition` returns the text for `/metrics`.
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
from prometheus_client import (
    Gauge as GaugeMetric,
)


class Counter(StrEnum):
    """Counted events."""

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
    STORE_SLOWDOWNS = "store.slow"
    INTERRUPTED_RESPONSES = "answers.broken"
    CALLER_DISCONNECTS = "callers.left"
    REQUESTS_CUT = "requests.cut"
    RATE_TOKENS = "rate.tokens"
    UPSTREAM_LIMITS = "upstream_limits"
    QUARANTINES = "quarantines"
    SILENT_CRASHES = "upstreams.silent_crashes"
    CONTINUED_STREAMS = "streams.continued"
    TASK_FAILURES = "tasks.failed"
    INVALID_ROWS = "rows.invalid"
    TURNS_KEPT = "turns.kept"
    TURN_TRANSACTIONS = "turns.transactions"
    TURN_ENTRIES = "turns.entries"
    TURN_CACHE = "turns.cache"
    TURNS_REMOVED = "turns.removed"
    EVENT_COPIES = "turns.event_copies"
    RESUMED_TURNS = "turns.resumed"
    PLACES = "places"
    LOCAL_PLACES = "places.local"
    EXPIRED_LEASES = "leases.expired"
    MEMORY_REFUSALS = "memory.refusals"
    CONNECTIONS_CLOSED = "connections.closed"


class Gauge(StrEnum):
    """Values that rise and fall."""

    EVACUATED_DOMAINS = "evacuated.domains"
    UNANSWERED_REQUESTS = "requests.unanswered"
    TURN_CACHE_BYTES = "turns.cache_bytes"
    WAITING_REQUESTS = "scheduler.waiting"
    LEASES = "scheduler.leases"
    WINDOWS = "scheduler.windows"
    MEMORY_HELD = "memory.held_bytes"
    CONNECTIONS = "connections.open"


class Timing(StrEnum):
    """Measured durations, in milliseconds."""

    RATE_WAIT = "rate_wait"
    QUEUE_WAIT = "queue_wait"
    FIRST_TOKEN = "first_token"
    CALL = "call"
    COMMIT = "commit.time"
    BUDGET_WAIT = "budget_wait"
    PLACEMENT_WAIT = "placement_wait"
    SCHEDULER_WAIT = "scheduler_wait"
    RESPONSE = "answer"
    STORE = "store.time"
    TURN_FIND = "turns.find"
    TURN_KEEP = "turns.keep"


DESCRIPTIONS: dict[str, str] = {
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
    Counter.STORE_SLOWDOWNS: "times that the store's writes became slow",
    Counter.INTERRUPTED_RESPONSES: "answers that were broken off midway, by reason",
    Counter.CALLER_DISCONNECTS: (
        "callers that closed their connection before the answer"
    ),
    Counter.REQUESTS_CUT: (
        "requests that the end of the process left without a response, by how far they "
        "had come"
    ),
    Counter.RATE_TOKENS: (
        "tokens of workspaces' rates: drawn from the store, returned to it unused, "
        "granted to VMs, used and expired there, and left in the row because a lost VM "
        "may have granted them (unknown)"
    ),
    Counter.UPSTREAM_LIMITS: (
        "answers of upstreams that named a rate limit, and limits that ended"
    ),
    Counter.QUARANTINES: "requests that were quarantined for crashing upstreams",
    Counter.SILENT_CRASHES: (
        "upstreams that crashed without closing their connections, by how this VM "
        "found it: replaced by another process, gone, or silent"
    ),
    Counter.CONTINUED_STREAMS: "requests that continue a stream",
    Counter.TASK_FAILURES: "background tasks that failed and were started again",
    Counter.INVALID_ROWS: "rows of the store that were skipped, by table",
    Counter.PLACES: (
        "decisions of schedulers that this VM got: granted, given back, or the reason "
        "of a rejection"
    ),
    Counter.LOCAL_PLACES: "upstreams that this VM chose because no scheduler responded",
    Counter.EXPIRED_LEASES: "slots that no VM gave back to the scheduler on this VM",
    Gauge.WAITING_REQUESTS: "requests that wait at the schedulers on this VM",
    Gauge.LEASES: "slots in use, as the schedulers on this VM know",
    Gauge.WINDOWS: "requests that may be in flight, by upstream of a scheduler here",
    Gauge.UNANSWERED_REQUESTS: (
        "requests that ended without an answer of upstreams that may have crashed"
    ),
    Gauge.EVACUATED_DOMAINS: "failure domains whose upstreams get no new requests",
    Counter.TURNS_KEPT: "turns whose rows the store acknowledged, on their coordinator",
    Counter.TURN_TRANSACTIONS: "transactions with rows of turns that were acknowledged",
    Counter.TURN_ENTRIES: "entries in those transactions",
    Counter.TURN_CACHE: "turns looked up in a coordinator's memory: hits and misses",
    Counter.TURNS_REMOVED: "turns removed from the store after their retention",
    Counter.EVENT_COPIES: (
        "copies of events sent to other VMs, and events without any copy (missing)"
    ),
    Counter.RESUMED_TURNS: (
        "requests that take up a kept turn: its events were found, or are unknown"
    ),
    Gauge.TURN_CACHE_BYTES: "bytes of turns in this VM's memory",
    Timing.TURN_FIND: "wait for the turns that a turn continues from",
    Timing.TURN_KEEP: "time that the end of a turn waited until the turn was stored",
    Counter.MEMORY_REFUSALS: (
        "times that the memory budget had no room, by what it was needed for"
    ),
    Counter.CONNECTIONS_CLOSED: (
        "connections of callers that were closed to bound memory and descriptors, by "
        "what they were doing"
    ),
    Gauge.MEMORY_HELD: "bytes of the memory budget in use, by what they are used for",
    Gauge.CONNECTIONS: "open connections of callers",
    Timing.RATE_WAIT: "wait for the workspace's rate",
    Timing.QUEUE_WAIT: "wait in the queue of a pool",
    Timing.FIRST_TOKEN: "from a call's start at its owner to its first token",
    Timing.CALL: "whole calls at their owner that ended with an outcome",
    Timing.COMMIT: "writing one row of a commit stream",
    Timing.BUDGET_WAIT: "wait for a turn's part of its program's budget",
    Timing.PLACEMENT_WAIT: "wait for room at an upstream",
    Timing.SCHEDULER_WAIT: "wait until the scheduler of a service granted a slot",
    Timing.RESPONSE: "from a request's arrival to the end of its answer",
    Timing.STORE: "one call of the platform's store",
}


# Bucket upper bounds, from a call within a VM to a caller's deadline.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000)
PREFIX = "damasksaddle"


def _metric_name(metric: StrEnum) -> str:
    return f"{PREFIX}_{metric.value.replace('.', '_')}"


class _Metrics:
    """All metrics of the process; each is registered from the start."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.counters = {
            metric: CounterMetric(
                _metric_name(metric),
                DESCRIPTIONS[metric],
                ["detail"],
                registry=self.registry,
            )
            for metric in Counter
        }
        self.gauges = {
            metric: GaugeMetric(
                _metric_name(metric),
                DESCRIPTIONS[metric],
                ["detail"],
                registry=self.registry,
            )
            for metric in Gauge
        }
        self.timings = {
            metric: Histogram(
                f"{_metric_name(metric)}_ms",
                DESCRIPTIONS[metric],
                buckets=BUCKETS_MS,
                registry=self.registry,
            )
            for metric in Timing
        }


_metrics = _Metrics()


def reset_metrics() -> None:
    """Resets all metrics to zero, for tests."""
    global _metrics
    _metrics = _Metrics()


def count(name: Counter, detail: str = "", number: int = 1) -> None:
    """Increments a counter; `detail` is a code that becomes a label."""
    _metrics.counters[name].labels(detail).inc(number)


def set_gauge(name: Gauge, value: float, detail: str = "") -> None:
    """Sets a gauge; `detail` is a code that becomes a label."""
    _metrics.gauges[name].labels(detail).set(value)


def measure(name: Timing, duration_ms: float) -> None:
    """Records a duration."""
    _metrics.timings[name].observe(duration_ms)


def counter_value(name: Counter, detail: str = "") -> int:
    """Returns the value of a counter."""
    return int(_metrics.counters[name].labels(detail)._value.get())


def gauge_value(name: Gauge, detail: str = "") -> float:
    """Returns the value of a gauge."""
    return float(_metrics.gauges[name].labels(detail)._value.get())


def exposition() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return generate_latest(_metrics.registry)
