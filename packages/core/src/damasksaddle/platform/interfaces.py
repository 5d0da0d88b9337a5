"""What the node expects of the platform."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table; `version` starts at 1 and grows by 1 with each write."""

    key: str
    value: str
    version: int
    write_id: str


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
    raises `RowTaken` on a conflict, and `AnswerLost` if the write may or may not
    have taken effect.
    """

    async def get(self, key: str) -> Row | None: ...

    async def scan(self, prefix: str, after: str = "", limit: int = 500) -> list[Row]:
        """Returns rows in key order whose key has the prefix and sorts after."""
        ...

    async def write(self, puts: list[Put], write_id: str) -> None: ...


class Objects(Protocol):
    """The platform's object store; raises `TableUnavailable` or `ObjectMissing`."""

    async def put(self, key: str, data: bytes) -> None: ...

    async def get(self, key: str) -> bytes: ...


class VmList(Protocol):
    """The platform's lagging list of VMs; raises `TableUnavailable`."""

    async def read(self) -> list[ListedVm]: ...
