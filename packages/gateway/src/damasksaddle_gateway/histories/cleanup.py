"""
Removes turns after their retention.

One VM reads the rows that record when turns end, each of them once, and keeps in memory
which turn continues from which. A turn is removed once neither it nor a later turn of
its chain is within retention.

No turn is removed too early: a coordinator finds a turn only until `GRACE_MS` after its
retention, so whatever continues from it ends within the route's timeout after that. By
the time at which it may be removed, these later turns have been read.
"""

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field
from typing import Protocol

from mode import Service

from damasksaddle.exceptions import PlatformError
from damasksaddle.platform import Put, VersionedTable, row_key
from damasksaddle.utils import Counter, count, get_logger, rendezvous
from damasksaddle_gateway.background import background_task
from damasksaddle_gateway.feeds import decode
from damasksaddle_gateway.histories.coordinator import GRACE_MS
from damasksaddle_gateway.histories.turn_rows import (
    ENDS_TABLE,
    PARTS,
    TurnEnd,
    decode_end,
    delete_turn,
    part_of,
)
from damasksaddle_gateway.histories.turn_writer import split_by_size
from damasksaddle_gateway.routing_config import RoutingConfig

log = get_logger("histories")

# Interval of the reads. Rows that are too recent are read again the next time.
INTERVAL_S = 30.0
# Rows are read at the earliest this long after their turn ended, and later if the
# longest timeout of a route demands it: a write whose outcome is unknown may be
# repeated until the request's deadline, and take effect 5 s later.
MIN_READ_DELAY_MS = 30_000
LATE_WRITE_MS = 10_000
# Time for an unnoticed pause of the coordinator between its check and its write.
MARGIN_MS = 30_000
PAGE_ROWS = 200
# Delay between pages and between transactions, so that many of them do not load the VM
# or delay the writes of turns.
PAUSE_S = 0.05
# Turns with two rows each that fit a transaction.
REMOVED_TOGETHER = 40


class _Configuration(Protocol):
    @property
    def config(self) -> RoutingConfig | None: ...


class _LiveVms(Protocol):
    def live_vms(self) -> list[str]: ...


@dataclass(slots=True)
class TurnIndex:
    """
    The ends of the turns that the store holds, and until when each one is needed.

    It does no I/O and takes all times as arguments.
    """

    ends: dict[str, TurnEnd] = field(default_factory=dict)
    _needed_until_ms: dict[str, int] = field(default_factory=dict)
    # Turns by a time until which they are needed at least.
    _queue: list[tuple[int, str]] = field(default_factory=list)

    def add(self, end: TurnEnd) -> TurnEnd | None:
        """
        Adds a turn; returns a spare record if it has two, as after a repeated write.
        """
        known = self.ends.get(end.name)
        if known is not None and known.key == end.key:
            return None
        if known is not None and known.retained_until_ms > end.retained_until_ms:
            return end
        self.ends[end.name] = end
        self._extend(end)
        return known

    def _extend(self, end: TurnEnd) -> None:
        """Has a turn and its chain retained for as long as it needs."""
        needed_ms = self._needed_until_ms
        until_ms = max(end.retained_until_ms, needed_ms.get(end.name, 0))
        needed_ms[end.name] = until_ms
        heapq.heappush(self._queue, (until_ms, end.name))
        name = end.previous
        while name and needed_ms.get(name, 0) < until_ms:
            needed_ms[name] = until_ms
            previous = self.ends.get(name)
            # A turn that has not been read yet extends its own chain when it is.
            name = previous.previous if previous is not None else ""

    def take_removable(self, before_ms: float) -> list[TurnEnd]:
        """Returns and forgets the turns that were needed until before a time."""
        removable = []
        while self._queue and self._queue[0][0] < before_ms:
            _, name = heapq.heappop(self._queue)
            if name not in self.ends:
                continue
            if self._needed_until_ms[name] >= before_ms:
                heapq.heappush(self._queue, (self._needed_until_ms[name], name))
                continue
            del self._needed_until_ms[name]
            removable.append(self.ends.pop(name))
        return removable


class TurnCleanup(Service):
    """Removes turns if this VM is the one that does so."""

    def __init__(
        self,
        vm: str,
        table: VersionedTable,
        membership: _LiveVms,
        config_watcher: _Configuration,
    ) -> None:
        super().__init__()
        self._vm = vm
        self._table = table
        self._membership = membership
        self._config_watcher = config_watcher
        self._index = TurnIndex()
        # Rows of turns that have another one.
        self._spare: list[TurnEnd] = []
        # The last key that was read, by partition.
        self._read_until: dict[str, str] = {}

    @background_task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.sleep(INTERVAL_S)
            if not self._is_responsible():
                self._index = TurnIndex()
                self._spare = []
                self._read_until = {}
                continue
            try:
                await self.run_pass()
            except PlatformError as error:
                log.info("The cleanup was interrupted.", error=repr(error))

    def _is_responsible(self) -> bool:
        config = self._config_watcher.config
        if config is None or not any(route.keeps_history for route in config.routes):
            return False
        return rendezvous(ENDS_TABLE, self._membership.live_vms())[0] == self._vm

    async def run_pass(self) -> None:
        """Reads the new rows and removes the turns that are no longer retained."""
        now_ms = min([await self._read(str(part)) for part in range(PARTS)])
        ends: dict[str, list[TurnEnd]] = {}
        for end in self._index.take_removable(now_ms - self._delay_ms()):
            ends.setdefault(part_of(end.name), []).append(end)
        removed = 0
        try:
            for part_ends in ends.values():
                while part_ends:
                    await self._remove(part_ends[-REMOVED_TOGETHER:])
                    removed += len(part_ends[-REMOVED_TOGETHER:])
                    del part_ends[-REMOVED_TOGETHER:]
        finally:
            for end in itertools.chain(*ends.values()):
                self._index.add(end)
            if removed:
                count(Counter.TURNS_REMOVED, number=removed)
                log.info(
                    "Removed turns after their retention.",
                    turns=removed,
                    left=len(self._index.ends),
                )
        while self._spare:
            await self._table.commit([Put(self._spare[-1].key, None)])
            self._spare.pop()

    def _delay_ms(self) -> float:
        """Returns how long after its retention a turn is removed at the earliest."""
        return GRACE_MS + self._timeout_ms() + self._read_delay_ms() + MARGIN_MS

    def _read_delay_ms(self) -> float:
        """Returns how long after the end of a turn its row may still be written."""
        return max(MIN_READ_DELAY_MS, self._timeout_ms() + LATE_WRITE_MS)

    def _timeout_ms(self) -> float:
        config = self._config_watcher.config
        return config.longest_timeout_ms() if config is not None else 0.0

    async def _remove(self, ends: list[TurnEnd]) -> None:
        """Removes the rows of some turns of one partition."""
        for puts in split_by_size([put for end in ends for put in delete_turn(end)]):
            await self._table.commit(puts)
            await asyncio.sleep(PAUSE_S)

    async def _read(self, part: str) -> int:
        """Adds new rows of a partition to the index; returns the store's clock."""
        while True:
            page = await self._table.page(
                row_key(ENDS_TABLE, part, ""), self._read_until.get(part, ""), PAGE_ROWS
            )
            for row in page.rows:
                end = decode(decode_end, row)
                if end is not None:
                    if end.ended_ms > page.now_ms - self._read_delay_ms():
                        return page.now_ms
                    spare = self._index.add(end)
                    if spare is not None:
                        self._spare.append(spare)
                self._read_until[part] = row.key
            if page.complete or not page.last_key:
                return page.now_ms
            self._read_until[part] = page.last_key
            await asyncio.sleep(PAUSE_S)
