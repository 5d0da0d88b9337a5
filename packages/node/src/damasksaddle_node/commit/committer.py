"""
Writes commit streams by group commit.

A stream usually has one committer, but correctness does not depend on that: each
position can be inserted only once, and a committer whose next position is taken reads
the new rows before it writes again. It also reads them before it rejects an append,
because the row that opened the partition may be another committer's.
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
from damasksaddle.utils import Timing as MetricTiming
from damasksaddle_node.commit.archive import BLOCK_ROWS, StreamArchive
from damasksaddle_node.commit.rows import (
    SNAPSHOT_TAG,
    Entry,
    EntryKind,
    Holder,
    StreamRow,
    dump_row,
    load_row,
)
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.fleet.records import FleetRecord
from damasksaddle_node.peers import Handlers, PeerPool, Sender
from damasksaddle_node.settings import Timing
from damasksaddle_protocol import Append, Appended, ProgramQuery

log = get_logger("commit")

# Every n-th row is a checkpoint that contains the holders, so that a new committer
# reads at most n rows.
CHECKPOINT_INTERVAL_ROWS = 256
MAX_ROW_BYTES = 1024 * 1024
# The detail of a refusal that a client retries; VMs of other builds compare it.
NOT_COMMITTER = "not the committer"
# The holder of a closed partition.
NO_HOLDER = ""
MAINTENANCE_PERIOD_S = 1.0
OPEN_TIMEOUT_S = 10.0


@dataclass(eq=False, slots=True)
class _PendingAppend:
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
        if self.message.records[0] == SNAPSHOT_TAG:
            return EntryKind.SNAPSHOT
        return EntryKind.RECORDS

    @property
    def size_bytes(self) -> int:
        return sum(len(record.encode()) for record in self.message.records)

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


class _StreamWriter:
    """Writes one stream while this VM is its committer."""

    def __init__(
        self,
        vm_id: str,
        stream: int,
        table: Table,
        objects: ObjectStore,
        fleet: FleetLog,
        timing: Timing,
    ) -> None:
        self._archive = StreamArchive(table, objects, stream)
        self.number = stream
        self.position: int | None = None
        self.holders: dict[int, Holder] = {}
        self.rows_written = 0
        self._vm_id = vm_id
        self._rows = RowSequence(table, f"stream/{stream}")
        self._fleet = fleet
        self._timing = timing
        self._queue: list[_PendingAppend] = []
        self._next_block_end = BLOCK_ROWS
        # Another VM has been the committer since `position` was read.
        self._outdated = False
        self._wake = asyncio.Event()

    def enqueue(self, append: _PendingAppend) -> None:
        self._queue.append(append)
        self._wake.set()

    def request_load(self) -> None:
        """Loads the stream's state if this VM has just become its committer."""
        self._wake.set()

    def on_roster_change(self) -> None:
        """Has the stream's state loaded again if another VM is its committer now."""
        self._outdated |= not self.is_owned()

    def orphaned_partitions(self) -> list[int]:
        """Returns the partitions whose holder is no longer a member of the fleet."""
        if not self._is_loaded():
            return []
        members = self._fleet.state.members
        return [
            partition
            for partition, holder in self.holders.items()
            if holder.vm_id not in members
        ]

    async def truncate(self) -> None:
        """Moves a block of rows that no takeover needs to the object store."""
        if not self._is_loaded():
            return
        assert self.position is not None
        # A new committer reads the stream from the last checkpoint row.
        truncation_end = self.position - 2 * CHECKPOINT_INTERVAL_ROWS
        for holder in self.holders.values():
            if holder.last > holder.covered:
                truncation_end = min(truncation_end, holder.covered)
        if truncation_end < self._next_block_end:
            return
        try:
            if not await self._archive.archive_next_block(truncation_end):
                block_count, _ = await self._archive.archived_blocks()
                self._next_block_end = (block_count + 1) * BLOCK_ROWS
        except PlatformError as error:
            log.debug("Truncating a stream failed.", stream=self.number, reason=error)

    def is_owned(self) -> bool:
        return self._fleet.state.owners.stream(self.number) == self._vm_id

    def _is_loaded(self) -> bool:
        return self.position is not None and not self._outdated and self.is_owned()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._wake.wait()
            self._wake.clear()
            started_s = loop.time()
            await self._commit_queue()
            if self._queue:
                self._wake.set()
            elapsed_s = loop.time() - started_s
            await asyncio.sleep(max(0.0, self._timing.commit_interval_s - elapsed_s))

    async def _commit_queue(self) -> None:
        if not self.is_owned():
            self._fail_all(self._pop_all(), NotOwner(NOT_COMMITTER))
            return
        if self._outdated:
            self._outdated, self.position = False, None
        if self.position is None and not await self._load_state():
            self._fail_all(self._pop_all(), StoreUnavailable(retry_after_s=1.0))
            return
        batch, rejected = self._next_batch()
        if rejected and await self._read_new_rows(list(rejected)):
            self._queue = [*batch, *rejected, *self._queue]
            return
        for append, error in rejected.items():
            append.fail(error)
        if batch:
            await self._write_row(batch)

    async def _read_new_rows(self, rejected: list[_PendingAppend]) -> bool:
        """Returns whether there are new rows; fails the appends if they are unknown."""
        assert self.position is not None
        position = self.position
        try:
            await self._read_rows_after(position)
        except PlatformError as error:
            log.warning("Reading a stream failed.", stream=self.number, reason=error)
            self._fail_all(rejected, StoreUnavailable(retry_after_s=1.0))
        return self.position != position

    def _pop_all(self) -> list[_PendingAppend]:
        taken, self._queue = self._queue, []
        return taken

    def _fail_all(self, appends: list[_PendingAppend], error: Refusal) -> None:
        for append in appends:
            append.fail(error)

    async def _load_state(self) -> bool:
        try:
            block_count, _ = await self._archive.archived_blocks()
            last = await self._rows.last_position(block_count * BLOCK_ROWS)
            checkpoint_position = last - last % CHECKPOINT_INTERVAL_ROWS
            self.holders = {}
            await self._read_rows_after(max(checkpoint_position - 1, 0))
        except PlatformError as error:
            log.warning("Reading a stream failed.", stream=self.number, reason=error)
            return False
        count(Counter.STREAM_TAKEOVERS)
        log.info("Stream taken over.", stream=self.number, position=self.position)
        return True

    async def _read_rows_after(self, position: int) -> None:
        while True:
            rows = await self._rows.read_after(position)
            if not rows:
                break
            for row in rows:
                position = self._rows.position(row)
                self._apply_row(position, load_row(row.value))
        self.position = position

    def _apply_row(self, position: int, row: StreamRow) -> None:
        if row.holders is not None:
            self.holders = dict(row.holders)
        for entry in row.entries:
            current = self.holders.get(entry.partition)
            holder = current or Holder(NO_HOLDER, 0)
            match entry.kind:
                case EntryKind.OPENED:
                    holder = replace(holder, vm_id=entry.vm_id, opened_at=position)
                case EntryKind.CLOSED:
                    holder = replace(holder, vm_id=NO_HOLDER, opened_at=position)
                case EntryKind.SNAPSHOT:
                    writer, covered = map(int, entry.records[1:])
                    holder = replace(holder, snapshot_by=writer, covered=covered)
                case EntryKind.RECORDS:
                    holder = replace(holder, last=position)
            self.holders[entry.partition] = holder

    def _next_batch(
        self,
    ) -> tuple[list[_PendingAppend], dict[_PendingAppend, Refusal]]:
        """Returns the appends of the next row, and those that must not be written."""
        batch: list[_PendingAppend] = []
        rejected: dict[_PendingAppend, Refusal] = {}
        changed_partitions: set[int] = set()
        size_bytes = 0
        while self._queue and size_bytes < MAX_ROW_BYTES:
            # Appends to a partition that this row opens or closes must wait for the
            # next row, because this one changes the partition's holder.
            if self._queue[0].message.partition in changed_partitions:
                break
            append = self._queue.pop(0)
            if append.done.done():
                continue
            try:
                self._check_append(append)
            except Refusal as error:
                rejected[append] = error
                continue
            if append.kind in (EntryKind.OPENED, EntryKind.CLOSED):
                changed_partitions.add(append.message.partition)
            size_bytes += append.size_bytes
            batch.append(append)
        return batch, rejected

    def _check_append(self, append: _PendingAppend) -> None:
        """Raises `Refusal` unless the sender may append to the partition."""
        partition = append.message.partition
        holder = self.holders.get(partition)
        state = self._fleet.state
        if append.kind is EntryKind.OPENED:
            if append.sender.epoch != state.epoch:
                raise EpochStale
            if holder is not None and holder.vm_id == append.sender.vm_id:
                # The sender opened the partition before, and the answer was lost.
                return
            if state.owners.partition(partition) != append.sender.vm_id:
                raise NotOwner
            if holder is not None and holder.vm_id in state.members:
                raise PartitionHeld(holder.vm_id)
        elif holder is None or (holder.vm_id, holder.opened_at) != (
            append.sender.vm_id,
            append.message.opened_at,
        ):
            raise NotOwner

    async def _write_row(self, batch: list[_PendingAppend]) -> None:
        assert self.position is not None
        started_s = asyncio.get_running_loop().time()
        position = self.position + 1
        holders = self.holders if position % CHECKPOINT_INTERVAL_ROWS == 0 else None
        entries = [append.entry() for append in batch]
        row = StreamRow(self._vm_id, entries, holders)
        try:
            inserted = await self._rows.insert_with_retries(
                position, dump_row(row), new_id("write")
            )
            if not inserted:
                await self._read_rows_after(self.position)
        except PlatformError as error:
            log.warning(
                "Writing a row to a stream failed.", stream=self.number, reason=error
            )
            self._fail_all(batch, StoreUnavailable(retry_after_s=1.0))
            return
        if not inserted:
            self._queue = batch + self._queue
            return
        self.position = position
        self.rows_written += 1
        count(Counter.COMMIT_ROWS)
        count(Counter.COMMIT_RECORDS, number=len(batch))
        measure(
            MetricTiming.COMMIT, (asyncio.get_running_loop().time() - started_s) * 1000
        )
        self._apply_row(position, row)
        for append in batch:
            if not append.done.done():
                append.done.set_result(position)


class Committers:
    """Runs one stream writer for each stream of the fleet."""

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
            _StreamWriter(vm_id, stream, table, objects, fleet, timing)
            for stream in range(streams)
        ]

    def register(self, handlers: Handlers) -> None:
        """Registers the handler of `Append` messages."""
        handlers.add(Append, self.on_append)
        self._fleet.add_listener(self._on_fleet_record)

    def _on_fleet_record(self, record: FleetRecord) -> None:
        if record.kind.startswith("vm_"):
            for stream in self.streams:
                stream.on_roster_change()

    async def on_append(self, message: Append, sender: Sender) -> Appended:
        """Appends records of a partition; raises `Refusal` if they were not written."""
        await self._fleet.wait_for(sender.epoch, self._timing.peer_timeout_s)
        stream = self.streams[message.partition % len(self.streams)]
        if not stream.is_owned():
            raise NotOwner(NOT_COMMITTER)
        append = _PendingAppend(message, sender)
        stream.enqueue(append)
        return Appended(stream.number, await append.done)

    async def run_maintenance(self) -> None:
        """
        Truncates streams, and asks owners to open orphaned partitions.

        Calls alone do not suffice to open an orphaned partition, because there may
        never be another call for it. But its programs may still hold engine memory,
        and its calls of unknown outcome must be resolved.
        """
        while True:
            await asyncio.sleep(MAINTENANCE_PERIOD_S)
            for stream in self.streams:
                if stream.is_owned():
                    stream.request_load()
            await asyncio.gather(*(stream.truncate() for stream in self.streams))
            orphaned_partitions = [
                p for stream in self.streams for p in stream.orphaned_partitions()
            ]
            await asyncio.gather(*(self._request_open(p) for p in orphaned_partitions))

    async def _request_open(self, partition: int) -> None:
        owner = self._fleet.state.owners.partition(partition)
        if owner is None:
            return
        message = ProgramQuery("", str(partition), "open")
        try:
            await self._peers.request(owner, message, OPEN_TIMEOUT_S)
        except (PeerError, Refusal) as error:
            log.debug(
                "Asking a VM to open an orphaned partition failed.",
                partition=partition,
                reason=error,
            )

    async def run(self) -> None:
        """Runs all stream writers until cancelled."""
        with suppress(asyncio.CancelledError):
            await asyncio.gather(*(stream.run() for stream in self.streams))
