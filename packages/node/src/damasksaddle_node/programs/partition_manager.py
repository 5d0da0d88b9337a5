"""Opens, maintains and hands over the partitions that this VM holds."""

import asyncio
import itertools
from contextlib import suppress
from typing import Any

from damasksaddle.exceptions import (
    EpochStale,
    NotOwner,
    OutcomeUnknown,
    OwnerUnreachable,
    PartitionHeld,
    PeerError,
    PlatformError,
    Refusal,
    Stopping,
    StoreUnavailable,
)
from damasksaddle.platform import ObjectStore
from damasksaddle.utils import Counter, count, get_logger, new_id, unix_s
from damasksaddle_node.commit import SNAPSHOT_TAG, CommitClient, EntryKind
from damasksaddle_node.peers import Handlers, PeerPool, Sender
from damasksaddle_node.programs.context import CallDependencies
from damasksaddle_node.programs.engine_memory import EngineMemoryManager
from damasksaddle_node.programs.outcome_resolver import OutcomeResolver
from damasksaddle_node.programs.partition import Partition
from damasksaddle_node.programs.records import (
    CallFinished,
    CallIntended,
    Outcome,
    Trace,
    load_program_record,
)
from damasksaddle_node.programs.snapshot import (
    dump_snapshot,
    load_snapshot,
    snapshot_is_due,
    snapshot_key,
)
from damasksaddle_node.programs.state import PartitionState
from damasksaddle_protocol import Handover, Ok

log = get_logger("programs")

OPEN_RETRY_S = 0.1
# Attempts to open a partition while the table cannot be written.
MAX_STORE_ATTEMPTS = 20
HANDOVER_TIMEOUT_S = 120.0
MAINTENANCE_PERIOD_S = 1.0
# Expiry scans all stored answers, so it runs only once in this many rounds.
EXPIRY_INTERVAL_ROUNDS = 10


class PartitionManager:
    """Holds the partitions of this VM, by number."""

    def __init__(
        self,
        dependencies: CallDependencies,
        peers: PeerPool,
        commit_client: CommitClient,
        objects: ObjectStore,
    ) -> None:
        self.partitions: dict[int, Partition] = {}
        self.engine_memory = EngineMemoryManager(dependencies)
        self._dependencies = dependencies
        self._fleet = dependencies.fleet
        self._peers = peers
        self._commit_client = commit_client
        self._objects = objects
        self._outcome_resolver = OutcomeResolver(dependencies)
        self._open_locks: dict[int, asyncio.Lock] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def register(self, handlers: Handlers) -> None:
        """Registers the handler of handover requests."""
        handlers.add(Handover, self.on_handover)

    async def open_partition(self, number: int) -> Partition:
        """
        Returns a partition that this VM owns, and opens it if necessary.

        Raises a `Refusal`, such as `NotOwner` or `StoreUnavailable`.
        """
        if self._fleet.state.owners.partition(number) != self._peers.vm_id:
            raise NotOwner
        async with self._open_locks.setdefault(number, asyncio.Lock()):
            current = self.partitions.get(number)
            if current is not None and not current.lost:
                if current.draining:
                    raise Stopping(retry_after_s=1.0)
                return current
            partition = await self._take_over(number)
            self.partitions[number] = partition
            self._start_task(partition.flush())
            return partition

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _take_over(self, number: int) -> Partition:
        opened_at = await self._append_opened_entry(number)
        state, position, records_since_snapshot = PartitionState(), 0, 0
        try:
            snapshot_writer = await self._commit_client.latest_snapshot_writer(
                number, opened_at
            )
            if snapshot_writer:
                data = await self._objects.get(snapshot_key(number, snapshot_writer))
                position, state = load_snapshot(data)
            orphaned = snapshot_writer > 0
            async for entry in self._commit_client.read_entries(
                number, position, opened_at
            ):
                orphaned = entry.kind is not EntryKind.CLOSED
                if entry.kind is not EntryKind.RECORDS:
                    continue
                records_since_snapshot += len(entry.records)
                for text in entry.records:
                    state.apply(load_program_record(text))
        except PlatformError as error:
            raise StoreUnavailable(retry_after_s=1.0) from error
        partition = Partition(number, opened_at, state, self._commit_client, orphaned)
        partition.durable_position, partition.records_since_snapshot = (
            opened_at,
            records_since_snapshot,
        )
        for intent in list(state.intents.values()):
            partition.add(_unknown_outcome_record(intent, state))
        if orphaned:
            for program in state.programs.values():
                self.engine_memory.record_suspected_engines(partition, program)
        count(Counter.PARTITION_TAKEOVERS)
        log.info("Partition opened.", partition=number, programs=len(state.programs))
        return partition

    async def _append_opened_entry(self, number: int) -> int:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._dependencies.settings.timing.failover_timeout_s
        attempts_left = MAX_STORE_ATTEMPTS
        while loop.time() < deadline_s and attempts_left:
            try:
                return await self._commit_client.append(number, [], 0)
            except StoreUnavailable:
                attempts_left -= 1
            except PartitionHeld as error:
                await self._request_handover(number, error.detail)
            except (EpochStale, NotOwner):
                self._fleet.poll_now()
                if self._fleet.state.owners.partition(number) != self._peers.vm_id:
                    raise
            except (PeerError, OwnerUnreachable) as error:
                # The committer or the former holder may have failed as well.
                log.debug(
                    "Opening a partition failed; retrying.",
                    partition=number,
                    reason=error,
                )
            await asyncio.sleep(OPEN_RETRY_S)
        raise StoreUnavailable("the partition could not be opened", retry_after_s=1.0)

    async def _request_handover(self, number: int, holder: str) -> None:
        try:
            await self._peers.request(holder, Handover(number), HANDOVER_TIMEOUT_S)
        except (PeerError, Refusal) as error:
            log.debug("A handover request failed.", partition=number, reason=error)

    async def on_handover(self, message: Handover, sender: Sender) -> Ok:
        """Drains a partition and closes it, so that its new owner can open it."""
        await self._fleet.wait_for(
            sender.epoch, self._dependencies.settings.timing.peer_timeout_s
        )
        if self._fleet.state.owners.partition(message.partition) == self._peers.vm_id:
            raise EpochStale
        await self.close(message.partition)
        return Ok()

    async def close(self, number: int) -> None:
        """Waits for the running calls of a partition, then closes it."""
        partition = self.partitions.get(number)
        if partition is None:
            await self._close_untracked(number)
            return
        if not partition.lost:
            partition.draining = True
            await partition.wait_until_idle()
        # `NotOwner` means that the partition is closed already: an earlier attempt
        # closed it and its answer was lost, or another holder has opened it. A
        # partition that this VM marked as lost may still be held by it in the stream,
        # where no other VM could open it, so it is closed too.
        with suppress(NotOwner):
            await self._commit_client.append_with_retry(number, [], partition.opened_at)
        if not partition.lost:
            partition.mark_lost(NotOwner())
        self.partitions.pop(number, None)
        log.info("Partition handed over.", partition=number)

    async def _close_untracked(self, number: int) -> None:
        """
        Closes a partition that this VM may hold in the stream without knowing it.

        This happens if the answer to the entry that opened the partition was lost,
        and the owner changed before the append was repeated. A holder may open its
        partition again, and the answer then contains the position that closing needs.
        """
        async with self._open_locks.setdefault(number, asyncio.Lock()):
            if number in self.partitions:
                return
            with suppress(NotOwner):
                opened_at = await self._commit_client.append(number, [], 0)
                await self._commit_client.append_with_retry(number, [], opened_at)

    async def close_all(self) -> None:
        """Closes all partitions, in a graceful shutdown."""
        await asyncio.gather(*(self.close(number) for number in list(self.partitions)))

    def cancel_tasks(self) -> None:
        """Cancels the background tasks; records that are not durable yet are lost."""
        for task in list(self._tasks):
            task.cancel()

    async def _write_snapshot(self, partition: Partition) -> None:
        """Writes a snapshot, unless records wait to become durable."""
        if (
            partition.snapshot_in_progress
            or partition.pending_records
            or partition.lost
        ):
            return
        partition.snapshot_in_progress = True
        covered_records = partition.records_since_snapshot
        position = partition.durable_position
        data = dump_snapshot(partition.state, position)
        key = snapshot_key(partition.number, partition.opened_at)
        try:
            await self._objects.put(key, data)
            await self._commit_client.append_with_retry(
                partition.number,
                [SNAPSHOT_TAG, str(partition.opened_at), str(position)],
                partition.opened_at,
            )
            partition.records_since_snapshot -= covered_records
            partition.last_snapshot_s = asyncio.get_running_loop().time()
        except (PlatformError, NotOwner) as error:
            log.warning(
                "Writing a partition snapshot failed.",
                partition=partition.number,
                reason=error,
            )
        finally:
            partition.snapshot_in_progress = False

    async def run_maintenance(self) -> None:
        """
        Runs the periodic work on all held partitions, until cancelled.

        Ends idle programs, releases engine memory, resolves unknown outcomes, writes
        snapshots and drops expired state.
        """
        for round_number in itertools.count():
            await asyncio.sleep(MAINTENANCE_PERIOD_S)
            expiry_due = round_number % EXPIRY_INTERVAL_ROUNDS == 0
            held_partitions = [p for p in self.partitions.values() if not p.lost]
            for partition in held_partitions:
                if expiry_due and not partition.draining:
                    self.engine_memory.end_idle_programs(partition)
                if self._outcome_resolver.has_calls_to_query(partition):
                    self._start_task(self._outcome_resolver.run(partition))
                if snapshot_is_due(partition):
                    self._start_task(self._write_snapshot(partition))
                # `find_pending` compares records by identity, and expiry replaces some
                # of them, so it runs only if no record is pending.
                if expiry_due and not partition.pending_records:
                    partition.state.drop_expired(unix_s())
            await self.engine_memory.release_ended_programs(held_partitions)


def _unknown_outcome_record(
    intent: CallIntended, state: PartitionState
) -> CallFinished:
    """Returns the record of a call whose sender failed before recording the outcome."""
    program = state.programs[(intent.workspace, intent.program_id)]
    return CallFinished(
        record_id=new_id("record"),
        workspace=intent.workspace,
        program_id=intent.program_id,
        call_id=intent.call_id,
        idempotency_key=intent.idempotency_key,
        body_digest=intent.body_digest,
        route=intent.route,
        upstream=intent.upstream,
        outcome=Outcome.UNKNOWN,
        http_status=OutcomeUnknown.status,
        content_type="application/json",
        body="",
        messages=[],
        charge_micros=0,
        prompt_tokens=0,
        output_tokens=0,
        cached_tokens=0,
        sequence=program.sequence,
        at_unix_s=unix_s(),
        reserved_micros=intent.reserved_micros,
        trace=Trace(reason="the owner died before the outcome was recorded"),
    )
