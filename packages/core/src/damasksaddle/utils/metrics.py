"""
Metrics by statsd over UDP: counters and timings.

Names are fixed, apart from the code of a refusal, so that no key, token, body or name
of a workspace can get into one. Until `set_up_metrics` is called nothing is sent.
"""

import socket
from enum import StrEnum
from typing import Protocol

from statsd import StatsClient

from damasksaddle.exceptions import SettingsInvalid


class Counter(StrEnum):
    """Events that are counted."""

    REQUESTS = "requests"
    REFUSALS = "refusals"
    COMMIT_ROWS = "commit.rows"
    COMMIT_RECORDS = "commit.records"
    TABLE_ERRORS = "table.errors"
    TABLE_ANSWERS_LOST = "table.answers_lost"
    PARTITIONS_TAKEN = "takeovers.partitions"
    STREAMS_TAKEN = "takeovers.streams"
    REMOVALS = "removals"


class Timing(StrEnum):
    """Times that are measured, in milliseconds."""

    RATE_WAIT = "rate_wait"
    QUEUE_WAIT = "queue_wait"
    FIRST_TOKEN = "first_token"
    CALL = "call"
    COMMIT = "commit.time"


MEANINGS: dict[str, str] = {
    Counter.REQUESTS: "calls that an entry VM admitted to a route",
    Counter.REFUSALS: "refusals, with the code as last part of the name",
    Counter.COMMIT_ROWS: "rows written to commit streams",
    Counter.COMMIT_RECORDS: "entries in those rows; there is one per append",
    Counter.TABLE_ERRORS: "requests that the table did not take",
    Counter.TABLE_ANSWERS_LOST: "writes whose answer did not arrive",
    Counter.PARTITIONS_TAKEN: "partitions opened by a new holder",
    Counter.STREAMS_TAKEN: "commit streams taken over by a new committer",
    Counter.REMOVALS: "members that this VM removed after their lease ran out",
    Timing.RATE_WAIT: "wait for the workspace's rate",
    Timing.QUEUE_WAIT: "wait in the queue of a pool",
    Timing.FIRST_TOKEN: "from a call's start at its owner to its first token",
    Timing.CALL: "whole calls at their owner that ended with an outcome",
    Timing.COMMIT: "writing one row of a commit stream",
}


class Sink(Protocol):
    """Where metrics go; `statsd.StatsClient` is one."""

    def incr(self, stat: str, count: int = 1) -> None: ...

    def timing(self, stat: str, delta: float) -> None: ...


_sink: Sink | None = None


def set_up_metrics(host: str, port: int, prefix: str) -> None:
    """
    Sends metrics to a statsd server from now on; nothing needs to listen there.

    The address is looked up here and never again, because a lookup blocks. Raises
    `SettingsInvalid` if there is none.
    """
    try:
        found = socket.getaddrinfo(host, port, type=socket.SOCK_DGRAM)
    except OSError as error:
        raise SettingsInvalid(f"--statsd-host: {host}: {error.strerror}") from error
    family, _, _, _, address = found[0]
    client = StatsClient(
        str(address[0]), port, prefix=prefix, ipv6=family == socket.AF_INET6
    )
    use_sink(client)


def use_sink(sink: Sink | None) -> None:
    """Sends metrics to a sink; None drops them."""
    global _sink
    _sink = sink


def count(name: Counter, detail: str = "", number: int = 1) -> None:
    """Counts events; `detail` is a code that extends the name."""
    if _sink is not None:
        _sink.incr(f"{name}.{detail}" if detail else str(name), number)


def measure(name: Timing, duration_ms: float) -> None:
    """Reports how long something took."""
    if _sink is not None:
        _sink.timing(str(name), duration_ms)
