"""The rows of a commit stream."""

from enum import StrEnum

from pydantic import TypeAdapter
from pydantic.dataclasses import dataclass


class EntryKind(StrEnum):
    """The effect of an entry on its partition."""

    OPENED = "opened"
    CLOSED = "closed"
    RECORDS = "records"
    SNAPSHOT = "snapshot"


@dataclass(frozen=True, slots=True)
class Entry:
    """The records that one VM appended to one partition, as JSON texts."""

    partition: int
    vm_id: str
    kind: EntryKind
    records: list[str]


# The first record of an entry that refers to a snapshot of its partition. The other two
# records are the position at which the snapshot's writer opened the partition, and the
# position that the snapshot covers.
SNAPSHOT_TAG = "snapshot"


@dataclass(frozen=True, slots=True)
class Holder:
    """
    The VM that may append to a partition, and the position at which it opened it.

    `snapshot_by` is the opening position of the holder that wrote the partition's
    newest snapshot, or 0 if there is none. `covered` is the position that the snapshot
    covers, and `last` the position of the partition's last record.
    """

    vm_id: str
    opened_at: int
    snapshot_by: int = 0
    covered: int = 0
    last: int = 0


@dataclass(frozen=True, slots=True)
class StreamRow:
    """One group commit; only every 256th row, a checkpoint, contains `holders`."""

    committer: str
    entries: list[Entry]
    holders: dict[int, Holder] | None = None


_ADAPTER: TypeAdapter[StreamRow] = TypeAdapter(StreamRow)


def dump_row(row: StreamRow) -> str:
    """Returns a row as JSON."""
    return _ADAPTER.dump_json(row, exclude_none=True).decode()


def load_row(text: str) -> StreamRow:
    """Returns the row that a JSON text encodes."""
    return _ADAPTER.validate_json(text)
