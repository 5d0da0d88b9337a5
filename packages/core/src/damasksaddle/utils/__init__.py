"""Small helpers without state."""

from damasksaddle.utils.clock import elapsed_s, unix_s
from damasksaddle.utils.hashing import PARTITIONS, digest_of, partition_of, rendezvous
from damasksaddle.utils.ids import new_id, seed_ids
from damasksaddle.utils.logs import get_log, set_up_logs
from damasksaddle.utils.metrics import (
    Counter,
    Timing,
    count,
    measure,
    set_up_metrics,
    use_sink,
)

__all__ = [
    "Counter",
    "PARTITIONS",
    "Timing",
    "count",
    "digest_of",
    "elapsed_s",
    "get_log",
    "measure",
    "new_id",
    "partition_of",
    "rendezvous",
    "seed_ids",
    "set_up_logs",
    "set_up_metrics",
    "unix_s",
    "use_sink",
]
