"""What the node expects of the platform."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Row:
    """
    A row of the table; `version` grows with each write.

    `deleted` is set only in `Page`s of changes, for rows that are gone.
    """

    key: str
    value: str
    version: int
    write_id: str = ""
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Page:
    """
    Rows as of one moment.

    `version` is the newest version of the whole table service, `now_ms` its steady
    clock, and `complete` is false if rows of the range are left out.
    """

    rows: list[Row]
    version: int
    now_ms: int
    complete: bool = True


@dataclass(frozen=True, slots=True)
class Put:
    """
    One write of a transaction.

    `expected_version` 0 means that the row must be absent, None that any version
    will do. A `value` of None deletes the row.
    """

    key: str
    value: str | None
    expected_version: int | None = None


@dataclass(frozen=True, slots=True)
class ListedVm:
    """An entry of the platform's VM list."""

    name: str
    address: str
    leaving: bool


class Table(Protocol):
    """
    The platform's transactional table.

    All methods raise `TableUnavailable` if the request was not taken. `write`
    raises `WriteConflict` on a conflict, and `ResponseLost` if the write may or may not
    have taken effect.
    """

    async def get(self, key: str) -> Row | None: ...

    async def scan(self, prefix: str, after: str = "", limit: int = 500) -> list[Row]:
        """Returns rows in key order whose key has the prefix and sorts after."""
        ...

    async def write(self, puts: list[Put], write_id: str) -> None: ...


class VersionedTable(Protocol):
    """
    A transactional table with one version counter and a feed of changes.

    Keys are `TABLE/PART/KEY`, as `row_key` builds them; all rows of one write share
    a part. All methods raise `TableUnavailable` if the request was not taken.
    """

    async def row(self, key: str) -> Row | None: ...

    async def page(self, prefix: str, after: str = "", limit: int = 500) -> Page:
        """Returns the rows of a `TABLE/PART/` whose key sorts after `after`."""
        ...

    async def changes(self, table: str, after_version: int, wait_s: float) -> Page:
        """
        Returns what changed in a table, waiting until something does.

        Raises `ChangesExpired` if the changes are no longer known.
        """
        ...

    async def commit(self, puts: list[Put]) -> Page:
        """
        Applies all puts or none, and returns a page without rows.

        Raises `WriteConflict` with the current rows on a conflict, and `ResponseLost`
        if the write may or may not have taken effect.
        """
        ...


def row_key(table: str, part: str, key: str) -> str:
    """Returns the key of a row of a `VersionedTable`."""
    return f"{table}/{part}/{key}"


class ObjectStore(Protocol):
    """The platform's object store; raises `TableUnavailable` or `ObjectNotFound`."""

    async def put(self, key: str, data: bytes) -> None: ...

    async def get(self, key: str) -> bytes: ...


class VmList(Protocol):
    """The platform's lagging list of VMs; raises `TableUnavailable`."""

    async def read(self) -> list[ListedVm]: ...
