"""One partition that this VM holds: its state and the records on their way."""

import asyncio
from dataclasses import dataclass, field
from weakref import WeakValueDictionary

from damasksaddle.exceptions import NotOwner, Refusal
from damasksaddle.utils import get_logger
from damasksaddle_node.commit import CommitClient
from damasksaddle_node.programs.records import (
    CallFinished,
    ProgramRecord,
    dump_program_record,
)
from damasksaddle_node.programs.state import PartitionState

log = get_logger("programs")

# A record holds at most a body and an answer, so a batch stays well below the
# largest frame (8 MiB), also after a long outage.
MAX_BATCH_BYTES = 1024 * 1024


@dataclass(eq=False, slots=True)
class Waiting:
    """A record that is not durable yet; `done` holds its stream position."""

    record: ProgramRecord
    text: str
    done: "asyncio.Future[int]"
    sent: bool = False


@dataclass(eq=False, slots=True)
class Partition:
    """
    A partition that this VM holds.

    Records are applied to the state at once and become durable in order, in the
    background; `opened_at` fences them. `orphaned` tells that the holder before did
    not close the partition, and `since_s` when this VM opened it. `position` is that
    of the last durable record, and `tail_records` counts those since the snapshot.
    `not_seen` are calls of unknown outcome that their upstream has not seen.
    """

    number: int
    opened_at: int
    state: PartitionState
    commits: CommitClient
    orphaned: bool = False
    lost: bool = False
    draining: bool = False
    running_calls: int = 0
    position: int = 0
    tail_records: int = 0
    snapshotting: bool = False
    settling: bool = False
    not_seen: set[str] = field(default_factory=set)
    snapshot_s: float = field(default_factory=lambda: asyncio.get_running_loop().time())
    since_s: float = field(default_factory=lambda: asyncio.get_running_loop().time())
    pending_records: list[Waiting] = field(default_factory=list)
    _key_locks: WeakValueDictionary[tuple[str, ...], asyncio.Lock] = field(
        default_factory=WeakValueDictionary
    )
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _idle: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, record: ProgramRecord) -> Waiting:
        """Applies a record and queues it to become durable."""
        self.state.apply(record)
        return self.queue(record)

    def replay(self, record: ProgramRecord) -> None:
        """Applies and queues a record that is not known yet."""
        if self.state.apply(record):
            self.queue(record)

    def queue(self, record: ProgramRecord) -> Waiting:
        """Queues a record without applying it."""
        done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        done.add_done_callback(_retrieve)
        item = Waiting(record, dump_program_record(record), done)
        self.pending_records.append(item)
        self._wake.set()
        if self.lost:
            item.done.set_exception(NotOwner())
        return item

    def waiting_for(self, record: ProgramRecord) -> Waiting | None:
        """Returns the item of a record that is not durable yet."""
        return next(
            (item for item in self.pending_records if item.record is record), None
        )

    def key_lock(self, key: tuple[str, ...]) -> asyncio.Lock:
        """
        Returns the lock of a retry key.

        A root program and its sub-agents share their keys but run at the same time.
        """
        lock = self._key_locks.get(key)
        if lock is None:
            lock = self._key_locks[key] = asyncio.Lock()
        return lock

    def withdraw(self, item: Waiting) -> bool:
        """Takes back a record that was not sent yet; returns False if it was."""
        if item.sent or item not in self.pending_records:
            return False
        self.pending_records.remove(item)
        return True

    def pending_bytes(self) -> int:
        """Returns the size of the records that are not durable yet."""
        return sum(len(item.text) for item in self.pending_records)

    def undurable_micros(self) -> int:
        """Returns the charges that are not durable yet."""
        return sum(
            item.record.charge_micros
            for item in self.pending_records
            if isinstance(item.record, CallFinished)
        )

    async def flush(self) -> None:
        """Makes waiting records durable, in order, until the partition is lost."""
        while not self.lost:
            await self._wake.wait()
            self._wake.clear()
            batch = self._batch()
            if not batch:
                continue
            for item in batch:
                item.sent = True
            try:
                position = await self.commits.append_until_known(
                    self.number, [item.text for item in batch], self.opened_at
                )
            except Refusal as error:
                log.warning("A partition was lost.", partition=self.number)
                self.lose(error)
                return
            del self.pending_records[: len(batch)]
            self.position = position
            self.tail_records += len(batch)
            for item in batch:
                if not item.done.done():
                    item.done.set_result(position)
            if self.pending_records:
                self._wake.set()

    def _batch(self) -> list[Waiting]:
        """Returns the first waiting records, in a size that fits a frame."""
        size_bytes = 0
        for number, item in enumerate(self.pending_records):
            size_bytes += len(item.text)
            if size_bytes > MAX_BATCH_BYTES and number:
                return self.pending_records[:number]
        return list(self.pending_records)

    def lose(self, error: Refusal) -> None:
        """Ends the hold on this partition; records that wait will not be written."""
        self.lost = True
        for item in self.pending_records:
            if not item.done.done():
                item.done.set_exception(error)
        self._wake.set()

    def begin(self) -> None:
        """Counts a running call."""
        self.running_calls += 1

    def end(self) -> None:
        """Counts a running call's end."""
        self.running_calls -= 1
        if self.running_calls == 0:
            self._idle.set()

    async def idle(self) -> None:
        """Waits until no call runs and all records are durable."""
        while self.running_calls:
            self._idle.clear()
            await self._idle.wait()
        for item in list(self.pending_records):
            await asyncio.wait([item.done])


def _retrieve(future: "asyncio.Future[int]") -> None:
    # Nobody may be waiting for a record that was queued in the background.
    if not future.cancelled():
        future.exception()
