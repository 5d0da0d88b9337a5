"""Commit streams: durable records of many partitions, grouped into rows."""

from damasksaddle_node.commit.client import CommitClient
from damasksaddle_node.commit.committer import Committers
from damasksaddle_node.commit.rows import (
    SNAPSHOT_MARK,
    Entry,
    EntryKind,
    StreamRow,
    load_row,
)
from damasksaddle_node.commit.truncate import Archive

__all__ = [
    "Archive",
    "SNAPSHOT_MARK",
    "CommitClient",
    "Committers",
    "Entry",
    "EntryKind",
    "StreamRow",
    "load_row",
]
