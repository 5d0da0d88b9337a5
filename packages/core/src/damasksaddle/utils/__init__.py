"""Small helpers without state."""

from damasksaddle.utils.clock import unix_s
from damasksaddle.utils.hashing import PARTITIONS, digest_of, partition_of, rendezvous
from damasksaddle.utils.ids import new_id, seed_ids
from damasksaddle.utils.logs import get_log, set_up_logs

__all__ = [
    "PARTITIONS",
    "digest_of",
    "get_log",
    "new_id",
    "partition_of",
    "rendezvous",
    "seed_ids",
    "set_up_logs",
    "unix_s",
]
