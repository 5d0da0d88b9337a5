"""Clients of the platform services: table, object store and VM list."""

from damasksaddle.platform.http import HttpObjectStore, HttpTable, HttpVmList
from damasksaddle.platform.instrumented import InstrumentedTable
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
    "InstrumentedTable",
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
