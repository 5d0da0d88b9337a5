"""
Writes commit streams.

A stream has one committer at a time, but its correctness does not rest on that:
each position can be inserted once, and a committer that finds its next position
taken reads on before it writes again.
"""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field, replace

from damasksaddle.exceptions import (
    EpochStale,
    NotOwner,
    PartitionHeld,
    PeerError,
    PlatformError,
    Refusal,
    StoreUnavailable,
)
from damasksaddle.platform import ObjectStore, RowSequence, Table
from damasksaddle.utils import Counter, count, get_logger, measure, new_id
from damasksaddle.utils import Timing as Measured
from damasksaddle_node.commit.rows import (
    SNAPSHOT_MARK,
    Entry,
    EntryKind,
    Holder,
    StreamRow,
    dump_row,
    load_row,
)
from damasksaddle_node.commit.truncate import BLOCK_ROWS, Archive
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.peers import Handlers, PeerPool, Sender
from damasksaddle_node.settings import Timing
from damasksaddle_protocol import Append, Appended, ProgramQuery

log = get_logger("commit")

# Every n-th row carries the holders, so that a new committer reads at most n rows.
HOLDERS_EVERY = 256
MAX_ROW_BYTES = 1024 * 1024
# Holder of a partition that was closed.
NOBODY = ""
ORPHAN_PERIOD_S = 1.0
OPEN_TIMEOUT_S = 10.0


@dataclass(eq=False, slots=True)
class _Item:
    message: Append
    sender: Sender
    done: "asyncio.Future[int]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    @property
    def kind(self) -> EntryKind:
        if self.message.opened_at == 0:
            return EntryKind.OPENED
        if not self.message.records:
            return EntryKind.CLOSED
        if self.message.records[0] == SNAPSHOT_MARK:
            return EntryKind.SNAPSHOT
        return EntryKind.RECORDS

    @property
    def size_bytes(self) -> int:
        return sum(len(record) for record in self.message.records)

    def entry(self) -> Entry:
        return Entry(
            self.message.partition,
            self.message.vm_id,
            self.kind,
            self.message.records,
        )

    def fail(self, error: Refusal) -> None:
        if not self.done.done():
            self.done.set_exception(error)


class _Stream:
    """One stream while this VM writes it."""

    def __init__(
        self,
        vm_id: str,
        stream: int,
        table: Table,
        objects: ObjectStore,
        fleet: FleetLog,
        timing: Timing,
    ) -> None:
        self._archive = Archive(table, objects, stream)
        self.number = stream
        self.position: int | None = None
        self.holders: dict[int, Holder] = {}
        self.rows_written = 0
        self._vm_id = vm_id
        self._rows = RowSequence(table, f"stream/{stream}")
        self._fleet = fleet
        self._timing = timing
        self._queue: list[_Item] = []
        self._truncate_from = BLOCK_ROWS
        self._wake = asyncio.Event()

    def add(self, item: _Item) -> None:
        self._queue.append(item)
        self._wake.set()

    def wake(self) -> None:
        """Makes the stream load itself if it was taken over."""
        self._wake.set()

    def orphans(self) -> list[int]:
        """Returns the partitions whose holder is not a member any more."""
        if self.position is None or not self.is_mine():
            return []
        members = self._fleet.state.members
        return [
            partition
            for partition, holder in self.holders.items()
            if holder.vm_id not in members
        ]

    async def truncate(self) -> None:
        """Moves a block of rows that no takeover needs out of the table."""
        if self.position is None or not self.is_mine():
            return
        # A new committer reads from the last row with the holders on.
        until = self.position - 2 * HOLDERS_EVERY
        for holder in self.holders.values():
            if holder.last > holder.covered:
                until = min(until, holder.covered)
        if until < self._truncate_from:
            return
        try:
            if not await self._archive.move(until):
                blocks, _ = await self._archive.blocks()
                self._truncate_from = (blocks + 1) * BLOCK_ROWS
        except PlatformError as error:
            log.debug("A stream was not truncated.", stream=self.number, reason=error)

    def is_mine(self) -> bool:
        return self._fleet.state.owners.stream(self.number) == self._vm_id

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._wake.wait()
            self._wake.clear()
            started_s = loop.time()
            await self._commit_queue()
            if self._queue:
                self._wake.set()
            spent_s = loop.time() - started_s
            await asyncio.sleep(max(0.0, self._timing.commit_interval_s - spent_s))

    async def _commit_queue(self) -> None:
        if not self.is_mine():
            self.position = None
            self._fail_all(self._take_all(), NotOwner("not the committer"))
            return
        if self.position is None and not await self._load():
            self._fail_all(self._take_all(), StoreUnavailable(retry_after_s=1.0))
            return
        batch = self._admit()
        if batch:
            await self._write(batch)

    def _take_all(self) -> list[_Item]:
        taken, self._queue = self._queue, []
        return taken

    def _fail_all(self, items: list[_Item], error: Refusal) -> None:
        for item in items:
            item.fail(error)

    async def _load(self) -> bool:
        try:
            blocks, _ = await self._archive.blocks()
            last = await self._rows.last_position(blocks * BLOCK_ROWS)
            checkpoint = last - last % HOLDERS_EVERY
            self.holders = {}
            await self._read_from(max(checkpoint - 1, 0))
        except PlatformError as error:
            log.warning("A stream cannot be read.", stream=self.number, reason=error)
            return False
        count(Counter.STREAM_TAKEOVERS)
        log.info("Stream taken over.", stream=self.number, position=self.position)
        return True

    async def _read_from(self, position: int) -> None:
        while True:
            rows = await self._rows.read_after(position)
            if not rows:
                break
            for row in rows:
                position = self._rows.position(row)
                self._follow(position, load_row(row.value))
        self.position = position

    def _follow(self, position: int, row: StreamRow) -> None:
        if row.holders is not None:
            self.holders = dict(row.holders)
        for entry in row.entries:
            known = self.holders.get(entry.partition)
            holder = known or Holder(NOBODY, 0)
            match entry.kind:
                case EntryKind.OPENED:
                    holder = replace(holder, vm_id=entry.vm_id, opened_at=position)
                case EntryKind.CLOSED:
                    holder = replace(holder, vm_id=NOBODY, opened_at=position)
                case EntryKind.SNAPSHOT:
                    writer, covered = map(int, entry.records[1:])
                    holder = replace(holder, snapshot_by=writer, covered=covered)
                case EntryKind.RECORDS:
                    holder = replace(holder, last=position)
            self.holders[entry.partition] = holder

    def _admit(self) -> list[_Item]:
        batch: list[_Item] = []
        opened: set[int] = set()
        size_bytes = 0
        while self._queue and size_bytes < MAX_ROW_BYTES:
            # Items for a partition that is opened or closed in this row must wait,
            # because its holder changes with the row.
            if self._queue[0].message.partition in opened:
                break
            item = self._queue.pop(0)
            if item.done.done():
                continue
            try:
                self._check(item)
            except Refusal as error:
                item.fail(error)
                continue
            if item.kind in (EntryKind.OPENED, EntryKind.CLOSED):
                opened.add(item.message.partition)
            size_bytes += item.size_bytes
            batch.append(item)
        return batch

    def _check(self, item: _Item) -> None:
        """Raises `Refusal` unless the item's sender may append it."""
        partition = item.message.partition
        holder = self.holders.get(partition)
        state = self._fleet.state
        if item.kind is EntryKind.OPENED:
            if item.sender.epoch != state.epoch:
                raise EpochStale
            if holder is not None and holder.vm_id == item.sender.vm_id:
                # It opened the partition before, and the answer was lost.
                return
            if state.owners.partition(partition) != item.sender.vm_id:
                raise NotOwner
            if holder is not None and holder.vm_id in state.members:
                raise PartitionHeld(holder.vm_id)
        elif holder is None or (holder.vm_id, holder.opened_at) != (
            item.sender.vm_id,
            item.message.opened_at,
        ):
            raise NotOwner

    async def _write(self, batch: list[_Item]) -> None:
        assert self.position is not None
        started_s = asyncio.get_running_loop().time()
        position = self.position + 1
        holders = self.holders if position % HOLDERS_EVERY == 0 else None
        entries = [item.entry() for item in batch]
        row = StreamRow(self._vm_id, entries, holders)
        try:
            ours = await self._rows.insert_with_retries(
                position, dump_row(row), new_id("write")
            )
            if not ours:
                await self._read_from(self.position)
        except PlatformError as error:
            log.warning("A row was not written.", stream=self.number, reason=error)
            self._fail_all(batch, StoreUnavailable(retry_after_s=1.0))
            return
        if not ours:
            self._queue = batch + self._queue
            return
        self.position = position
        self.rows_written += 1
        count(Counter.COMMIT_ROWS)
        count(Counter.COMMIT_RECORDS, number=len(batch))
        measure(Measured.COMMIT, (asyncio.get_running_loop().time() - started_s) * 1000)
        self._follow(position, row)
        for item in batch:
            if not item.done.done():
                item.done.set_result(position)


class Committers:
    """The streams of this VM: one task for each stream of the fleet."""

    def __init__(
        self,
        vm_id: str,
        streams: int,
        table: Table,
        objects: ObjectStore,
        fleet: FleetLog,
        peers: PeerPool,
        timing: Timing,
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self._timing = timing
        self.streams = [
            _Stream(vm_id, stream, table, objects, fleet, timing)
            for stream in range(streams)
        ]

    def register(self, handlers: Handlers) -> None:
        """Registers the handler of `Append`."""
        handlers.add(Append, self.on_append)

    async def on_append(self, message: Append, sender: Sender) -> Appended:
        """Appends records of one partition; raises `Refusal` if not written."""
        await self._fleet.wait_for(sender.epoch, self._timing.peer_timeout_s)
        stream = self.streams[message.partition % len(self.streams)]
        if not stream.is_mine():
            raise NotOwner("not the committer")
        item = _Item(message, sender)
        stream.add(item)
        return Appended(stream.number, await item.done)

    async def run_maintenance(self) -> None:
        """
        Asks the owners of partitions without a holder to open them; truncates.

        No call may ever come for such a partition, but its programs may still hold
        engine memory, and calls of unknown outcome wait for being settled.
        """
        while True:
            await asyncio.sleep(ORPHAN_PERIOD_S)
            for stream in self.streams:
                if stream.is_mine():
                    stream.wake()
            await asyncio.gather(*(stream.truncate() for stream in self.streams))
            orphans = [p for stream in self.streams for p in stream.orphans()]
            await asyncio.gather(*(self._ask_to_open(p) for p in orphans))

    async def _ask_to_open(self, partition: int) -> None:
        owner = self._fleet.state.owners.partition(partition)
        if owner is None:
            return
        message = ProgramQuery("", str(partition), "open")
        try:
            await self._peers.request(owner, message, OPEN_TIMEOUT_S)
        except (PeerError, Refusal) as error:
            log.debug("A partition was not opened.", partition=partition, reason=error)

    async def run(self) -> None:
        """Runs all streams until cancelled."""
        with suppress(asyncio.CancelledError):
            await asyncio.gather(*(stream.run() for stream in self.streams))
