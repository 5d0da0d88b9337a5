"""Commit streams: durable records of many partitions, grouped into rows."""

from damasksaddle_node.commit.archive import Archive
from damasksaddle_node.commit.client import CommitClient
from damasksaddle_node.commit.committer import Committers
from damasksaddle_node.commit.rows import (
    SNAPSHOT_MARK,
    Entry,
    EntryKind,
    StreamRow,
    load_row,
)

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
