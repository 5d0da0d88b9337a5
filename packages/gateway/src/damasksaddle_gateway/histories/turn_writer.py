"""
Writes the rows of turns, many in one transaction.

While a transaction of a partition is in flight, new writes wait for the next one. A
slow store therefore gets larger transactions, and not more of them.
"""

import asyncio
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from damasksaddle.exceptions import (
    ResponseLost,
    StoreUnavailable,
    TableUnavailable,
)
from damasksaddle.platform import Page, Put
from damasksaddle.utils import Counter, count, get_logger
from damasksaddle_gateway.coordinators import STORE_RETRY_S
from damasksaddle_gateway.store import StoreCircuitBreaker

log = get_logger("histories")

# The store takes 100 entries and 1 MB in one transaction.
MAX_ENTRIES = 96
MAX_TRANSACTION_BYTES = 900_000
# Bytes of an entry beside its key and its value.
ENTRY_OVERHEAD_BYTES = 64
# Number of writes of one transaction that may be without an answer.
MAX_UNANSWERED = 2
# Delay before a transaction is repeated; it doubles up to the maximum.
MIN_RETRY_S = 0.01
MAX_RETRY_S = 0.2


@dataclass(slots=True, eq=False)
class _Write:
    """Entries that go into the same transaction."""

    puts: list[Put]
    size_bytes: int
    done: asyncio.Future[None]


def _entry_bytes(put: Put) -> int:
    """Returns the size of an entry, whose value is sent in base64."""
    value_bytes = len(put.value.encode()) if put.value is not None else 0
    return len(put.key) + (value_bytes + 2) // 3 * 4 + ENTRY_OVERHEAD_BYTES


def split_by_size(puts: Iterable[Put]) -> Iterator[list[Put]]:
    """Yields writes in groups that each fit a transaction, one group at a time."""
    group: list[Put] = []
    size_bytes = 0
    for put in puts:
        put_bytes = _entry_bytes(put)
        is_full = len(group) == MAX_ENTRIES
        if group and (is_full or size_bytes + put_bytes > MAX_TRANSACTION_BYTES):
            yield group
            group, size_bytes = [], 0
        group.append(put)
        size_bytes += put_bytes
    if group:
        yield group


class TurnWriter:
    """Commits writes; each partition has at most one transaction in flight."""

    def __init__(self, table: StoreCircuitBreaker) -> None:
        self._table = table
        self._waiting: dict[str, deque[_Write]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def write(self, part: str, puts: list[Put]) -> None:
        """
        Returns once the store has acknowledged the writes, which fit a transaction.

        Raises `StoreUnavailable` if it is unavailable; they may still have been
        applied, or be applied later.
        """
        size_bytes = sum(map(_entry_bytes, puts))
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting = self._waiting.setdefault(part, deque())
        waiting.append(_Write(puts, size_bytes, done))
        if part not in self._tasks:
            task = asyncio.create_task(self._commit_all(part, waiting))
            self._tasks[part] = task
        await done

    async def _commit_all(self, part: str, waiting: deque[_Write]) -> None:
        try:
            while waiting:
                batch = _next_batch(waiting)
                if batch:
                    await self._commit_batch(part, batch)
        finally:
            del self._tasks[part]

    async def _commit_batch(self, part: str, batch: list[_Write]) -> None:
        puts = [put for write in batch for put in write.puts]
        refusal: StoreUnavailable | None = None
        try:
            await self._commit(batch, puts)
        except Exception as error:
            log.info(
                "Could not store turns.",
                part=part,
                entries=len(puts),
                error=repr(error),
            )
            refusal = StoreUnavailable(repr(error), retry_after_s=STORE_RETRY_S)
        else:
            count(Counter.TURN_TRANSACTIONS)
            count(Counter.TURN_ENTRIES, number=len(puts))
        for write in batch:
            if write.done.done():
                continue
            if refusal is None:
                write.done.set_result(None)
            else:
                write.done.set_exception(refusal)

    async def _commit(self, batch: list[_Write], puts: list[Put]) -> None:
        """
        Repeats a transaction until it is acknowledged or nobody waits for it any more.

        Raises `TableUnavailable` in an outage.
        """
        unanswered: list[asyncio.Task[Page]] = []
        retry_s = MIN_RETRY_S
        while True:
            try:
                if await self._commit_or_wait(puts, unanswered) is not None:
                    return
            except (ResponseLost, TableUnavailable) as error:
                log.debug("A transaction was not acknowledged.", error=repr(error))
            if not self._table.is_available():
                if await self._late_answer(unanswered) is not None:
                    return
                raise TableUnavailable("the store became unavailable")
            if all(write.done.done() for write in batch):
                raise TableUnavailable("nobody waits for the transaction any more")
            await asyncio.sleep(retry_s)
            retry_s = min(2 * retry_s, MAX_RETRY_S)

    async def _commit_or_wait(
        self, puts: list[Put], unanswered: list[asyncio.Task[Page]]
    ) -> Page | None:
        in_flight = sum(not task.done() for task in unanswered)
        if in_flight < MAX_UNANSWERED:
            return await self._table.commit(puts, unanswered)
        return await self._late_answer(unanswered)

    async def _late_answer(self, unanswered: list[asyncio.Task[Page]]) -> Page | None:
        return await self._table.late_answer(unanswered) if unanswered else None


def _next_batch(waiting: deque[_Write]) -> list[_Write]:
    """Takes as many writes as fit a transaction, without those that were cancelled."""
    batch: list[_Write] = []
    entries = size_bytes = 0
    while waiting:
        write = waiting[0]
        if not write.done.done():
            entries += len(write.puts)
            size_bytes += write.size_bytes
            is_full = entries > MAX_ENTRIES or size_bytes > MAX_TRANSACTION_BYTES
            if batch and is_full:
                break
            batch.append(write)
        waiting.popleft()
    return batch
