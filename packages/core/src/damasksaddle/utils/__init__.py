"""Helpers for clocks, hashing, ids, logging and metrics."""

from damasksaddle.utils.clock import boottime_s, unix_s
from damasksaddle.utils.hashing import PARTITIONS, digest_of, partition_of, rendezvous
from damasksaddle.utils.ids import new_id, seed_ids
from damasksaddle.utils.logs import LogFormat, configure_logging, get_logger
from damasksaddle.utils.metrics import (
    Counter,
    Gauge,
    Timing,
    count,
    exposition,
    measure,
    reset_metrics,
    set_gauge,
)
from damasksaddle.utils.streams import read_limited

__all__ = [
    "Counter",
    "Gauge",
    "LogFormat",
    "PARTITIONS",
    "Timing",
    "count",
    "digest_of",
    "boottime_s",
    "exposition",
    "get_logger",
    "measure",
    "new_id",
    "partition_of",
    "read_limited",
    "rendezvous",
    "reset_metrics",
    "seed_ids",
    "set_gauge",
    "configure_logging",
    "unix_s",
]
