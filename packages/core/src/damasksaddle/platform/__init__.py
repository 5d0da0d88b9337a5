"""Clients of what the platform gives: table, object store and VM list."""

from damasksaddle.platform.counted import CountedTable
from damasksaddle.platform.http import HttpObjectStore, HttpTable, HttpVmList
from damasksaddle.platform.interfaces import (
    ListedVm,
    ObjectStore,
    Page,
    Put,
    Row,
    Table,
    VersionedTable,
    VmList,
    row_key,
)
from damasksaddle.platform.sequence import RowSequence

__all__ = [
    "CountedTable",
    "HttpObjectStore",
    "HttpTable",
    "HttpVmList",
    "ListedVm",
    "ObjectStore",
    "Page",
    "Put",
    "Row",
    "RowSequence",
    "Table",
    "VersionedTable",
    "VmList",
    "row_key",
]
