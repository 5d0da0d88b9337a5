"""Commit streams: durable records of many partitions, written by group commit."""

from damasksaddle_node.commit.archive import StreamArchive
from damasksaddle_node.commit.client import CommitClient
from damasksaddle_node.commit.committer import Committers
from damasksaddle_node.commit.rows import (
    SNAPSHOT_TAG,
    Entry,
    EntryKind,
    StreamRow,
    load_row,
)

__all__ = [
    "StreamArchive",
    "SNAPSHOT_TAG",
    "CommitClient",
    "Committers",
    "Entry",
    "EntryKind",
    "StreamRow",
    "load_row",
]
