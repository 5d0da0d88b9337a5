"""A partition that this VM holds: its state and its pending records."""

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

# A record contains at most one request body and one answer, so a batch stays well
# below the largest frame (8 MiB), even after a long outage.
MAX_BATCH_BYTES = 1024 * 1024


@dataclass(eq=False, slots=True)
class PendingRecord:
    """A record that is not durable yet; `done` resolves to its stream position."""

    record: ProgramRecord
    text: str
    done: "asyncio.Future[int]"
    sent: bool = False
    size_bytes: int = field(init=False)

    def __post_init__(self) -> None:
        self.size_bytes = len(self.text.encode())


@dataclass(eq=False, slots=True)
class Partition:
    """
    A partition that this VM holds.

    Records are applied to the state immediately and become durable in order, in the
    background. `opened_at` is the fencing number of the appends. `orphaned` is True if
    the former holder did not close the partition; `opened_time_s` is when this VM
    opened it. `durable_position` is the position of the last durable record, and
    `records_since_snapshot` counts the durable records that no snapshot covers.
    `calls_not_seen` contains the calls of unknown outcome that their upstream has not
    seen and can no longer receive.
    """

    number: int
    opened_at: int
    state: PartitionState
    commit_client: CommitClient
    orphaned: bool = False
    lost: bool = False
    draining: bool = False
    running_calls: int = 0
    durable_position: int = 0
    records_since_snapshot: int = 0
    snapshot_in_progress: bool = False
    resolving_outcomes: bool = False
    calls_not_seen: set[str] = field(default_factory=set)
    last_snapshot_s: float = field(
        default_factory=lambda: asyncio.get_running_loop().time()
    )
    opened_time_s: float = field(
        default_factory=lambda: asyncio.get_running_loop().time()
    )
    pending_records: list[PendingRecord] = field(default_factory=list)
    _retry_key_locks: WeakValueDictionary[tuple[str, ...], asyncio.Lock] = field(
        default_factory=WeakValueDictionary
    )
    _records_queued: asyncio.Event = field(default_factory=asyncio.Event)
    _no_running_calls: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, record: ProgramRecord) -> PendingRecord:
        """Applies a record and queues it to become durable."""
        self.state.apply(record)
        return self.queue(record)

    def replay(self, record: ProgramRecord) -> None:
        """Applies and queues a record unless it was applied before."""
        if self.state.apply(record):
            self.queue(record)

    def queue(self, record: ProgramRecord) -> PendingRecord:
        """Queues a record without applying it."""
        done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        done.add_done_callback(_consume_exception)
        pending = PendingRecord(record, dump_program_record(record), done)
        self.pending_records.append(pending)
        self._records_queued.set()
        if self.lost:
            pending.done.set_exception(NotOwner())
        return pending

    def find_pending(self, record: ProgramRecord) -> PendingRecord | None:
        """Returns the pending entry of a record, or None if the record is durable."""
        return next(
            (pending for pending in self.pending_records if pending.record is record),
            None,
        )

    def retry_key_lock(self, key: tuple[str, ...]) -> asyncio.Lock:
        """
        Returns the lock that serializes the calls with the same retry key.

        A program's own lock does not suffice: a root program and its sub-agents share
        their keys but run concurrently.
        """
        lock = self._retry_key_locks.get(key)
        if lock is None:
            lock = self._retry_key_locks[key] = asyncio.Lock()
        return lock

    def cancel_pending(self, pending: PendingRecord) -> bool:
        """Removes a record from the queue; returns False if it was already sent."""
        if pending.sent or pending not in self.pending_records:
            return False
        self.pending_records.remove(pending)
        return True

    def pending_bytes(self) -> int:
        """Returns the size of the records that are not durable yet."""
        return sum(pending.size_bytes for pending in self.pending_records)

    def undurable_charge_micros(self) -> int:
        """Returns the charges that are not durable yet."""
        return sum(
            pending.record.charge_micros
            for pending in self.pending_records
            if isinstance(pending.record, CallFinished)
        )

    async def flush(self) -> None:
        """Makes pending records durable, in order, until the partition is lost."""
        while not self.lost:
            await self._records_queued.wait()
            self._records_queued.clear()
            batch = self._next_batch()
            if not batch:
                continue
            for pending in batch:
                pending.sent = True
            try:
                durable_position = await self.commit_client.append_with_retry(
                    self.number, [pending.text for pending in batch], self.opened_at
                )
            except Refusal as error:
                log.warning(
                    "This VM no longer holds the partition.", partition=self.number
                )
                self.mark_lost(error)
                return
            del self.pending_records[: len(batch)]
            self.durable_position = durable_position
            self.records_since_snapshot += len(batch)
            for pending in batch:
                if not pending.done.done():
                    pending.done.set_result(durable_position)
            if self.pending_records:
                self._records_queued.set()

    def _next_batch(self) -> list[PendingRecord]:
        """Returns the first pending records whose total size fits into a frame."""
        size_bytes = 0
        for index, pending in enumerate(self.pending_records):
            size_bytes += pending.size_bytes
            if size_bytes > MAX_BATCH_BYTES and index:
                return self.pending_records[:index]
        return list(self.pending_records)

    def mark_lost(self, error: Refusal) -> None:
        """Marks the partition as lost and fails its pending records."""
        self.lost = True
        for pending in self.pending_records:
            if not pending.done.done():
                pending.done.set_exception(error)
        self._records_queued.set()

    def call_started(self) -> None:
        """Counts a call as running."""
        self.running_calls += 1

    def call_ended(self) -> None:
        """Counts a call as finished."""
        self.running_calls -= 1
        if self.running_calls == 0:
            self._no_running_calls.set()

    async def wait_until_idle(self) -> None:
        """Waits until no call is running and all records are durable or failed."""
        while self.running_calls:
            self._no_running_calls.clear()
            await self._no_running_calls.wait()
        for pending in list(self.pending_records):
            await asyncio.wait([pending.done])


def _consume_exception(future: "asyncio.Future[int]") -> None:
    # Avoids the warning about an exception that was never retrieved: no task may be
    # waiting for a record that was queued in the background.
    if not future.cancelled():
        future.exception()
