"""The platform's table, object store and VM list, in memory and with faults."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from damasksaddle.exceptions import (
    ObjectNotFound,
    ResponseLost,
    TableUnavailable,
    WriteConflict,
)
from damasksaddle.platform import ListedVm, Put, Row


@dataclass(slots=True)
class Faults:
    """
    What is wrong with a service at the moment.

    `lose_answers` writes are carried out although their answer is lost;
    `unreachable_for` names clients that are cut off. `answer_delay_s` passes
    between a write's effect and its answer.
    """

    down: bool = False
    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    lose_answers: int = 0
    unreachable_for: set[str] = field(default_factory=set)


class MemoryTable:
    """A transactional table; `view` gives a client that can be cut off by name."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.faults = Faults()
        self.counts: Counter[str] = Counter()

    def view(self, client: str) -> "TableView":
        """Returns the table as one client sees it."""
        return TableView(self, client)

    async def get(self, key: str, client: str = "") -> Row | None:
        await self._pass("get", client)
        return self.rows.get(key)

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500, client: str = ""
    ) -> list[Row]:
        await self._pass("scan", client)
        keys = sorted(
            key for key in self.rows if key.startswith(prefix) and key > after
        )
        return [self.rows[key] for key in keys[:limit]]

    async def write(self, puts: list[Put], write_id: str, client: str = "") -> None:
        await self._pass("write", client)
        for put in puts:
            row = self.rows.get(put.key)
            version = row.version if row else 0
            if put.expected_version not in (None, version):
                raise WriteConflict(put.key)
        for put in puts:
            self._put(put, write_id)
        if self.faults.answer_delay_s:
            await asyncio.sleep(self.faults.answer_delay_s)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ResponseLost("the answer was dropped")

    def _put(self, put: Put, write_id: str) -> None:
        if put.value is None:
            self.rows.pop(put.key, None)
            return
        row = self.rows.get(put.key)
        version = row.version + 1 if row else 1
        self.rows[put.key] = Row(put.key, put.value, version, write_id)

    async def _pass(self, operation: str, client: str) -> None:
        self.counts[operation] += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down or client in self.faults.unreachable_for:
            raise TableUnavailable("the table is down")


class TableView:
    """One client's view of a `MemoryTable`."""

    def __init__(self, table: MemoryTable, client: str) -> None:
        self.dead = False
        self._table = table
        self._client = client

    def _alive(self) -> None:
        if self.dead:
            raise TableUnavailable("the client was killed")

    async def get(self, key: str) -> Row | None:
        self._alive()
        return await self._table.get(key, self._client)

    async def scan(self, prefix: str, after: str = "", limit: int = 500) -> list[Row]:
        self._alive()
        return await self._table.scan(prefix, after, limit, self._client)

    async def write(self, puts: list[Put], write_id: str) -> None:
        self._alive()
        await self._table.write(puts, write_id, self._client)


class MemoryObjects:
    """An object store."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.down = False

    async def put(self, key: str, data: bytes) -> None:
        if self.down:
            raise TableUnavailable("the object store is down")
        self.objects[key] = data

    async def get(self, key: str) -> bytes:
        if self.down:
            raise TableUnavailable("the object store is down")
        if key not in self.objects:
            raise ObjectNotFound(key)
        return self.objects[key]


class MemoryVmList:
    """The platform's list of VMs; it lags by `lag_s`."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self.down = False
        self._changes: list[tuple[float, list[ListedVm]]] = []

    def set(self, vms: list[ListedVm]) -> None:
        """Sets the list; readers see it after the lag."""
        now_s = asyncio.get_running_loop().time()
        self._changes.append((now_s + self.lag_s, vms))

    async def read(self) -> list[ListedVm]:
        if self.down:
            raise TableUnavailable("the VM list is down")
        now_s = asyncio.get_running_loop().time()
        visible = [vms for at_s, vms in self._changes if at_s <= now_s]
        return visible[-1] if visible else []
