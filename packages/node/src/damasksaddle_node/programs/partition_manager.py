"""The partitions that this VM holds: taken over, tended, and handed over."""

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
from damasksaddle_node.commit import SNAPSHOT_MARK, CommitClient, EntryKind
from damasksaddle_node.peers import Handlers, PeerPool, Sender
from damasksaddle_node.programs.context import CallDependencies
from damasksaddle_node.programs.engines import EngineMemory
from damasksaddle_node.programs.partition import Partition
from damasksaddle_node.programs.records import (
    CallFinished,
    CallIntended,
    Outcome,
    Trace,
    load_program_record,
)
from damasksaddle_node.programs.settle import Settler
from damasksaddle_node.programs.snapshot import (
    dump_snapshot,
    is_due,
    load_snapshot,
    snapshot_key,
)
from damasksaddle_node.programs.state import PartitionState
from damasksaddle_protocol import Handover, Ok

log = get_logger("programs")

OPEN_RETRY_S = 0.1
# Tries while the table cannot be written.
OPEN_TRIES = 20
HANDOVER_TIMEOUT_S = 120.0
TEND_PERIOD_S = 1.0
# Expiry looks at every stored answer, so it runs less often.
EXPIRE_EVERY = 10


class PartitionManager:
    """The partitions of this VM, by number."""

    def __init__(
        self,
        services: CallDependencies,
        peers: PeerPool,
        commits: CommitClient,
        objects: ObjectStore,
    ) -> None:
        self.partitions: dict[int, Partition] = {}
        self.engines = EngineMemory(services)
        self._services = services
        self._fleet = services.fleet
        self._peers = peers
        self._commits = commits
        self._objects = objects
        self._settler = Settler(services)
        self._opening: dict[int, asyncio.Lock] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def register(self, handlers: Handlers) -> None:
        """Registers the handler of handovers."""
        handlers.add(Handover, self.on_handover)

    async def opened(self, number: int) -> Partition:
        """Returns a partition that this VM owns, opened; raises `NotOwner`."""
        if self._fleet.state.owners.partition(number) != self._peers.vm_id:
            raise NotOwner
        async with self._opening.setdefault(number, asyncio.Lock()):
            known = self.partitions.get(number)
            if known is not None and not known.lost:
                if known.draining:
                    raise Stopping(retry_after_s=1.0)
                return known
            partition = await self._open(number)
            self.partitions[number] = partition
            self._spawn(partition.flush())
            return partition

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, number: int) -> Partition:
        opened_at = await self._append_opened(number)
        state, position, tail = PartitionState(), 0, 0
        try:
            writer = await self._commits.snapshot_by(number, opened_at)
            if writer:
                data = await self._objects.get(snapshot_key(number, writer))
                position, state = load_snapshot(data)
            orphaned = writer > 0
            async for entry in self._commits.entries(number, position, opened_at):
                orphaned = entry.kind is not EntryKind.CLOSED
                if entry.kind is not EntryKind.RECORDS:
                    continue
                tail += len(entry.records)
                for text in entry.records:
                    state.apply(load_program_record(text))
        except PlatformError as error:
            raise StoreUnavailable(retry_after_s=1.0) from error
        partition = Partition(number, opened_at, state, self._commits, orphaned)
        partition.position, partition.tail_records = opened_at, tail
        for intent in list(state.intents.values()):
            partition.add(_unknown(intent, state))
        if orphaned:
            for program in state.programs.values():
                self.engines.suspect(partition, program)
        count(Counter.PARTITION_TAKEOVERS)
        log.info("Partition opened.", partition=number, programs=len(state.programs))
        return partition

    async def _append_opened(self, number: int) -> int:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self._services.settings.timing.failover_timeout_s
        store_tries = OPEN_TRIES
        while loop.time() < until_s and store_tries:
            try:
                return await self._commits.append(number, [], 0)
            except StoreUnavailable:
                store_tries -= 1
            except PartitionHeld as error:
                await self._ask_handover(number, error.detail)
            except (EpochStale, NotOwner):
                self._fleet.poll_now()
                if self._fleet.state.owners.partition(number) != self._peers.vm_id:
                    raise
            except (PeerError, OwnerUnreachable) as error:
                # The committer or the former holder may have failed, too.
                log.debug("A partition is not open yet.", number=number, reason=error)
            await asyncio.sleep(OPEN_RETRY_S)
        raise StoreUnavailable("the partition cannot be opened", retry_after_s=1.0)

    async def _ask_handover(self, number: int, holder: str) -> None:
        try:
            await self._peers.request(holder, Handover(number), HANDOVER_TIMEOUT_S)
        except (PeerError, Refusal) as error:
            log.debug("A handover failed.", partition=number, reason=error)

    async def on_handover(self, message: Handover, sender: Sender) -> Ok:
        """Finishes a partition's calls and closes it for its new owner."""
        await self._fleet.wait_for(
            sender.epoch, self._services.settings.timing.peer_timeout_s
        )
        if self._fleet.state.owners.partition(message.partition) == self._peers.vm_id:
            raise EpochStale
        await self.close(message.partition)
        return Ok()

    async def close(self, number: int) -> None:
        """Lets running calls of a partition finish, and gives it up."""
        partition = self.partitions.get(number)
        if partition is None:
            await self._close_unknown(number)
            return
        if not partition.lost:
            partition.draining = True
            await partition.idle()
        # It is closed as well if an earlier try closed it and its answer was lost, or
        # if another holder opened it meanwhile. One that was lost here may still be
        # held in the stream, and nobody else could open it.
        with suppress(NotOwner):
            await self._commits.append_until_known(number, [], partition.opened_at)
        if not partition.lost:
            partition.lose(NotOwner())
        self.partitions.pop(number, None)
        log.info("Partition handed over.", partition=number)

    async def _close_unknown(self, number: int) -> None:
        """
        Closes a partition that the stream may hold for this VM without its knowledge.

        That is so if an answer to `PartitionOpened` was lost and the owner changed
        before it was repeated. A holder may open again, which tells the position.
        """
        async with self._opening.setdefault(number, asyncio.Lock()):
            if number in self.partitions:
                return
            with suppress(NotOwner):
                opened_at = await self._commits.append(number, [], 0)
                await self._commits.append_until_known(number, [], opened_at)

    async def close_all(self) -> None:
        """Gives up all partitions, in a planned stop."""
        await asyncio.gather(*(self.close(number) for number in list(self.partitions)))

    def cancel_tasks(self) -> None:
        """Ends the background tasks; what is not durable yet is lost."""
        for task in list(self._tasks):
            task.cancel()

    async def _snapshot(self, partition: Partition) -> None:
        """Writes a snapshot, unless records are on their way."""
        if partition.snapshotting or partition.pending_records or partition.lost:
            return
        partition.snapshotting = True
        covered = partition.tail_records
        position = partition.position
        data = dump_snapshot(partition.state, position)
        key = snapshot_key(partition.number, partition.opened_at)
        try:
            await self._objects.put(key, data)
            await self._commits.append_until_known(
                partition.number,
                [SNAPSHOT_MARK, str(partition.opened_at), str(position)],
                partition.opened_at,
            )
            partition.tail_records -= covered
            partition.snapshot_s = asyncio.get_running_loop().time()
        except (PlatformError, NotOwner) as error:
            log.warning(
                "A snapshot was not written.", partition=partition.number, reason=error
            )
        finally:
            partition.snapshotting = False

    async def run_maintenance(self) -> None:
        """Ends idle programs and frees the engine memory of ended ones."""
        for number in itertools.count():
            await asyncio.sleep(TEND_PERIOD_S)
            expire = number % EXPIRE_EVERY == 0
            held = [p for p in self.partitions.values() if not p.lost]
            for partition in held:
                if expire and not partition.draining:
                    self.engines.end_idle(partition)
                if self._settler.is_due(partition):
                    self._spawn(self._settler.run(partition))
                if is_due(partition):
                    self._spawn(self._snapshot(partition))
                # Records on their way are told from durable ones by identity.
                if expire and not partition.pending_records:
                    partition.state.expire(unix_s())
            await self.engines.release(held)


def _unknown(intent: CallIntended, state: PartitionState) -> CallFinished:
    """Returns the record of a call whose sender died before it knew the outcome."""
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
