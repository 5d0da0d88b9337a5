"""Interfaces of the platform services."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Row:
    """
    A row of the table; `version` increases with each write.

    `deleted` is set only in a `Page` of changes, for deleted rows.
    """

    key: str
    value: str
    version: int
    write_id: str = ""
    deleted: bool = False

    @property
    def table(self) -> str:
        """The first field of a key that `row_key` built."""
        return self.key.split("/", 1)[0]

    @property
    def name(self) -> str:
        """The last field of a key that `row_key` built; it may contain slashes."""
        return self.key.split("/", 2)[2]


@dataclass(frozen=True, slots=True)
class Page:
    """
    A consistent snapshot of rows.

    `version` is the latest version in the whole table service, `now_ms` is its
    monotonic clock, and `complete` is False if rows of the range are left out. The next
    page then starts after `last_key`, which may belong to a row that cannot be read and
    is not in `rows`.
    """

    rows: list[Row]
    version: int
    now_ms: int
    complete: bool = True
    last_key: str = ""


@dataclass(frozen=True, slots=True)
class Put:
    """
    One write of a transaction.

    An `expected_version` of 0 requires that the row does not exist; None accepts any
    version. A `value` of None deletes the row.
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

    All methods raise `TableUnavailable` if the request was not accepted. `write`
    raises `WriteConflict` if a row has another version than expected, and
    `ResponseLost` if the write may or may not have taken effect.
    """

    async def get(self, key: str) -> Row | None: ...

    async def scan(self, prefix: str, after: str = "", limit: int = 500) -> list[Row]:
        """Returns rows with the prefix and a key after `after`, in key order."""
        ...

    async def write(self, puts: list[Put], write_id: str) -> None: ...


class VersionedTable(Protocol):
    """
    A transactional table with a global version counter and a change feed.

    Keys have the form `TABLE/PART/KEY`, as `row_key` builds them; all rows of a write
    share a part. All methods raise `TableUnavailable` if the request was not accepted.
    """

    async def row(self, key: str) -> Row | None: ...

    async def page(self, prefix: str, after: str = "", limit: int = 500) -> Page:
        """Returns rows of a `TABLE/PART/` prefix with a key after `after`."""
        ...

    async def changes(self, table: str, after_version: int, wait_s: float) -> Page:
        """
        Returns the changes of a table after a version, waiting if there are none.

        Raises `ChangesExpired` if the changes are no longer retained.
        """
        ...

    async def commit(self, puts: list[Put]) -> Page:
        """
        Applies all puts atomically and returns a page without rows.

        Raises `WriteConflict` with the current rows if a row has another version than
        expected, and `ResponseLost` if the write may or may not have taken effect.
        """
        ...


def row_key(table: str, part: str, key: str) -> str:
    """Builds the key of a row in a `VersionedTable`."""
    return f"{table}/{part}/{key}"


class ObjectStore(Protocol):
    """The platform's object store; raises `TableUnavailable` or `ObjectNotFound`."""

    async def put(self, key: str, data: bytes) -> None: ...

    async def get(self, key: str) -> bytes: ...


class VmList(Protocol):
    """The platform's list of VMs, which lags behind; raises `TableUnavailable`."""

    async def read(self) -> list[ListedVm]: ...
