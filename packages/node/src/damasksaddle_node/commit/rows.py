"""Rows of a commit stream."""

from enum import StrEnum

from pydantic import TypeAdapter
from pydantic.dataclasses import dataclass


class EntryKind(StrEnum):
    """What an entry does to its partition."""

    OPENED = "opened"
    CLOSED = "closed"
    RECORDS = "records"
    SNAPSHOT = "snapshot"


@dataclass(frozen=True, slots=True)
class Entry:
    """What one VM appended for one partition; records are JSON texts."""

    partition: int
    vm_id: str
    kind: EntryKind
    records: list[str]


# The first record of an entry that points to a snapshot of its partition; the others
# are the position at which its writer opened the partition and the one it covers.
SNAPSHOT_TAG = "snapshot"


@dataclass(frozen=True, slots=True)
class Holder:
    """
    The VM that may append for a partition, and where it opened it.

    `snapshot_by` is the opening position of the holder that wrote the partition's
    newest snapshot, 0 if there is none; `covered` is the position that it covers.
    `last` is the position of the partition's last record.
    """

    vm_id: str
    opened_at: int
    snapshot_by: int = 0
    covered: int = 0
    last: int = 0


@dataclass(frozen=True, slots=True)
class StreamRow:
    """One group commit; `holders` is set on every 256th row only."""

    committer: str
    entries: list[Entry]
    holders: dict[int, Holder] | None = None


_ADAPTER: TypeAdapter[StreamRow] = TypeAdapter(StreamRow)


def dump_row(row: StreamRow) -> str:
    """Returns a row as JSON."""
    return _ADAPTER.dump_json(row, exclude_none=True).decode()


def load_row(text: str) -> StreamRow:
    """Returns the row of a JSON text."""
    return _ADAPTER.validate_json(text)
