"""The programs that this VM owns."""

import asyncio
import itertools
import json
from collections.abc import AsyncGenerator
from contextlib import aclosing, suppress
from dataclasses import asdict
from typing import Any

from damasksaddle.exceptions import (
    BadRequest,
    CallNotFound,
    EpochStale,
    FateUnknown,
    KeyRejected,
    NotOwner,
    NotRun,
    OwnerUnreachable,
    PartitionHeld,
    PeerError,
    PlatformError,
    ProgramEnded,
    ProgramExists,
    ProgramNotFound,
    Refusal,
    RouteNotFound,
    Stopping,
    StoreUnavailable,
)
from damasksaddle.platform import Objects
from damasksaddle.utils import Counter, count, get_log, new_id, partition_of, unix_s
from damasksaddle_node.commit import SNAPSHOT_MARK, CommitClient, EntryKind
from damasksaddle_node.fleet.records import FleetRecord, KeyWithdrawn
from damasksaddle_node.peers import Handlers, PeerPool, Sender
from damasksaddle_node.programs.context import CallContext, Services
from damasksaddle_node.programs.engines import EngineMemory, finished
from damasksaddle_node.programs.partition import Partition
from damasksaddle_node.programs.records import (
    CallFinished,
    CallIntended,
    Outcome,
    ProgramRecord,
    ProgramStarted,
    Trace,
    load_program_record,
)
from damasksaddle_node.programs.run import CallRun
from damasksaddle_node.programs.settle import Settler
from damasksaddle_node.programs.snapshot import (
    dump_snapshot,
    is_due,
    load_snapshot,
    snapshot_key,
)
from damasksaddle_node.programs.state import (
    ANSWER_RETENTION_S,
    SINGLE_CALL,
    PartitionState,
    Program,
    root_of,
)
from damasksaddle_protocol import (
    CallChunk,
    CallEnd,
    CallRequest,
    Handover,
    Ok,
    ProgramAnswer,
    ProgramQuery,
)

log = get_log("programs")

OPEN_RETRY_S = 0.1
OPEN_TRIES = 20
HANDOVER_TIMEOUT_S = 120.0
TEND_PERIOD_S = 1.0
# Expiry looks at every stored answer, so it runs less often.
EXPIRE_EVERY = 10
# A query for one call; the call id or idempotency key follows.
CALL_ACTION = "call:"


class ProgramOwner:
    """Runs the calls of the programs in the partitions that this VM owns."""

    def __init__(
        self,
        services: Services,
        peers: PeerPool,
        commits: CommitClient,
        objects: Objects,
    ) -> None:
        self.partitions: dict[int, Partition] = {}
        self.runs: set[CallRun] = set()
        self._services = services
        self._fleet = services.fleet
        self._peers = peers
        self._commits = commits
        self._objects = objects
        self._settler = Settler(services)
        self._engines = EngineMemory(services)
        self._opening: dict[int, asyncio.Lock] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        services.fleet.listen(self._on_record)

    def register(self, handlers: Handlers) -> None:
        """Registers the handlers of calls, queries and handovers."""
        handlers.add_stream(CallRequest, self.on_call)
        handlers.add(ProgramQuery, self.on_query)
        handlers.add(Handover, self.on_handover)

    # Calls.

    async def on_call(
        self, call: CallRequest, sender: Sender
    ) -> AsyncGenerator[CallChunk | CallEnd, None]:
        """Yields the answer of a call; raises `Refusal`."""
        if sender.epoch > self._fleet.state.epoch:
            await self._fleet.wait_for(
                sender.epoch, self._services.settings.timing.peer_timeout_s
            )
        self._services.guard()
        route = self._fleet.state.route(call.service, call.route)
        document = self._fleet.state.document(call.service)
        if route is None or document is None:
            raise RouteNotFound(f"{call.service}/{call.route}")
        partition = await self.partition(call.workspace, call.program_id)
        sealed = self._sealed(call)
        program = self._program(partition, call, sealed)
        pool = document.pools[route.pool]
        run = CallRun(
            CallContext(
                self._services, partition, program, call, route, pool, sealed=sealed
            )
        )
        self.runs.add(run)
        run.task.add_done_callback(lambda _: self.runs.discard(run))
        async with aclosing(run.events()) as events:
            async for event in events:
                yield event

    def _sealed(self, call: CallRequest) -> list[ProgramRecord]:
        """Returns the records that the caller kept; raises `BadRequest`."""
        if not call.sealed:
            return []
        records = self._services.sealer.open(
            call.workspace, call.program_id, call.sealed
        )
        oldest_unix_s = unix_s() - ANSWER_RETENTION_S
        for record in records:
            # Its call ids may be forgotten, so that it could count twice.
            if isinstance(record, CallFinished) and record.at_unix_s < oldest_unix_s:
                raise BadRequest("the sealed record is too old")
        return records

    def _program(
        self, partition: Partition, call: CallRequest, sealed: list[ProgramRecord]
    ) -> Program:
        """Returns a call's program, and starts it if this is its first call."""
        started = [record for record in sealed if isinstance(record, ProgramStarted)]
        if started:
            partition.replay(started[0])
        key = (call.workspace, call.program_id)
        state = partition.state
        if key in state.ended or key not in state.programs:
            known = self._dropped(state, call)
            if known is not None:
                return known
        if key not in state.programs:
            document = self._fleet.state.document(call.service)
            assert document is not None
            budget = document.program.budget_micros
            if call.budget_micros >= 0:
                budget = min(budget, call.budget_micros)
            partition.add(
                ProgramStarted(
                    new_id("record"),
                    call.workspace,
                    call.program_id,
                    call.service,
                    budget,
                    unix_s(),
                )
            )
            started_program = partition.state.programs[key]
            if partition.orphaned and self._engines.is_recent(partition):
                # Its first call may have run at the holder that died.
                self._engines.suspect(partition, started_program)
        program = partition.state.programs[key]
        root = partition.state.programs.get((call.workspace, root_of(call.program_id)))
        if root is not None and root is not program and root.ended:
            raise ProgramEnded(f"the root program has ended: {root.ended}")
        return program

    def _dropped(self, state: PartitionState, call: CallRequest) -> Program | None:
        """Returns what stands for a program that ended and was dropped, if any."""
        key = (call.workspace, call.program_id)
        scope = (
            call.workspace,
            root_of(call.program_id),
            call.idempotency_key or call.call_id,
        )
        end = state.ended.get(key)
        if end is None and not state.knows_key(scope):
            return None
        program = Program(*key, call.service, 0)
        program.ended = end.reason if end else SINGLE_CALL
        return program

    # Partitions.

    async def partition(self, workspace: str, program_id: str) -> Partition:
        """Returns the partition of a program, opened; raises `NotOwner`."""
        return await self._opened(partition_of(workspace, program_id))

    async def _opened(self, number: int) -> Partition:
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
                self._engines.suspect(partition, program)
        count(Counter.PARTITIONS_TAKEN)
        log.info("Partition opened.", partition=number, programs=len(state.programs))
        return partition

    async def _append_opened(self, number: int) -> int:
        for _ in range(OPEN_TRIES):
            try:
                return await self._commits.append(number, [], 0)
            except PartitionHeld as error:
                await self._ask_handover(number, error.detail)
            except (EpochStale, NotOwner):
                self._fleet.hint()
                if self._fleet.state.owners.partition(number) != self._peers.vm_id:
                    raise
            except (PeerError, StoreUnavailable, OwnerUnreachable):
                pass
            await asyncio.sleep(OPEN_RETRY_S)
        raise StoreUnavailable("the partition cannot be opened", retry_after_s=1.0)

    async def _ask_handover(self, number: int, holder: str) -> None:
        try:
            await self._peers.request(holder, Handover(number), HANDOVER_TIMEOUT_S)
        except (PeerError, Refusal) as error:
            log.debug("A handover failed.", partition=number, reason=error)

    async def on_handover(self, message: Handover, sender: Sender) -> Ok:
        """Finishes a partition's calls and closes it for its new owner."""
        if sender.epoch > self._fleet.state.epoch:
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

    def abort(self) -> None:
        """Ends the background tasks; what is not durable yet is lost."""
        for task in list(self._tasks):
            task.cancel()

    def stop_all(self, reason: Refusal) -> None:
        """Ends all calls that may be interrupted."""
        for run in list(self.runs):
            run.stop(reason)

    def _on_record(self, record: FleetRecord) -> None:
        if isinstance(record, KeyWithdrawn):
            for run in list(self.runs):
                if run.call.key_id == record.key_id:
                    run.stop(
                        KeyRejected("the key was withdrawn", not_run=NotRun.UNKNOWN)
                    )

    # Queries.

    async def on_query(self, message: ProgramQuery, sender: Sender) -> ProgramAnswer:
        """Answers a query; raises `ProgramNotFound` or `CallNotFound`."""
        if message.action == "open":
            await self._opened(int(message.program_id))
            body: Any = {}
        elif message.action == "list":
            body = self._list(message.workspace)
        else:
            self._services.guard()
            partition = await self.partition(message.workspace, message.program_id)
            key = (message.workspace, message.program_id)
            if message.action.startswith(CALL_ACTION):
                reference = message.action.removeprefix(CALL_ACTION)
                call = _call(partition, key, reference)
                return ProgramAnswer(json.dumps(call).encode())
            if message.action == "start":
                await self._start(partition, message)
            program = partition.state.programs.get(key)
            if program is None:
                end = partition.state.ended.get(key)
                if end is None:
                    raise ProgramNotFound
                # Its history was dropped; that it ended is kept for longer.
                body = dict(zip(("workspace", "program_id"), key, strict=True))
                body |= {"ended": end.reason, "dropped": True}
                return ProgramAnswer(json.dumps(body).encode())
            if message.action == "end":
                body = await self._end(partition, program)
            else:
                body = describe(partition, program, message.action == "explain")
        return ProgramAnswer(json.dumps(body).encode())

    async def _start(self, partition: Partition, message: ProgramQuery) -> None:
        """Starts a program; a repeat with the same budget changes nothing."""
        document = self._fleet.state.document(message.service)
        if document is None:
            raise RouteNotFound(f"there is no service {message.service}")
        budget = document.program.budget_micros
        if message.budget_micros >= 0:
            budget = min(budget, message.budget_micros)
        state = partition.state
        known = state.programs.get((message.workspace, message.program_id))
        if known is not None:
            account = state.account(message.workspace, message.program_id)
            if known.ended or account.budget_micros != budget:
                raise ProgramExists
            return
        await self._services.limiter.acquire(message.workspace)
        record = ProgramStarted(
            new_id("record"),
            message.workspace,
            message.program_id,
            message.service,
            budget,
            unix_s(),
        )
        waiting = partition.add(record)
        wait_s = self._services.settings.timing.durable_wait_s
        await asyncio.wait([waiting.done], timeout=wait_s)

    def _list(self, workspace: str) -> list[dict[str, Any]]:
        return [
            describe(partition, program, explain=False)
            for partition in self.partitions.values()
            if not partition.lost
            for program in partition.state.programs.values()
            if workspace in ("", program.workspace)
        ]

    async def _end(self, partition: Partition, program: Program) -> dict[str, Any]:
        waiting = None
        for member in partition.state.family(program):
            async with member.lock:
                if not member.ended:
                    waiting = partition.add(finished(member, "ended by its caller"))
        if waiting is not None:
            wait_s = self._services.settings.timing.durable_wait_s
            await asyncio.wait([waiting.done], timeout=wait_s)
        return describe(partition, program, explain=False)

    async def _snapshot(self, partition: Partition) -> None:
        """Writes a snapshot, unless records are on their way."""
        if partition.snapshotting or partition.waiting or partition.lost:
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

    async def tend(self) -> None:
        """Ends idle programs and frees the engine memory of ended ones."""
        for number in itertools.count():
            await asyncio.sleep(TEND_PERIOD_S)
            expire = number % EXPIRE_EVERY == 0
            held = [p for p in self.partitions.values() if not p.lost]
            for partition in held:
                if expire and not partition.draining:
                    self._engines.end_idle(partition)
                if self._settler.is_due(partition):
                    self._spawn(self._settler.run(partition))
                if is_due(partition):
                    self._spawn(self._snapshot(partition))
                # Records on their way are told from durable ones by identity.
                if expire and not partition.waiting:
                    partition.state.expire(unix_s())
            await self._engines.release(held)


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
        http_status=FateUnknown.status,
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


def _call(partition: Partition, key: tuple[str, str], reference: str) -> dict[str, Any]:
    """Returns a call as JSON, by its call id or retry key; raises `CallNotFound`."""
    workspace, program_id = key
    state = partition.state
    scope = (workspace, root_of(program_id), reference)
    call_id = state.by_idempotency_key.get(scope, reference)
    record = state.finished.get(call_id) or state.intents.get(call_id)
    if record is None or (record.workspace, root_of(record.program_id)) != scope[:2]:
        raise CallNotFound
    body: dict[str, Any] = {
        "call_id": record.call_id,
        "program_id": record.program_id,
        "route": record.route,
        "upstream": record.upstream,
        "outcome": "running",
        "durable": partition.waiting_for(record) is None,
    }
    if isinstance(record, CallFinished):
        body["outcome"] = record.outcome
        body["charge_micros"] = record.charge_micros
        if record.outcome is not Outcome.UNKNOWN:
            body["http_status"] = record.http_status
            body["content_type"] = record.content_type
            body["body"] = record.body
    return body


def describe(partition: Partition, program: Program, explain: bool) -> dict[str, Any]:
    """Returns a program as JSON; `explain` adds why each call went where it went."""
    account = partition.state.account(program.workspace, program.program_id)
    body: dict[str, Any] = {
        "program_id": program.program_id,
        "workspace": program.workspace,
        "service": program.service,
        "turns": len(program.calls),
        "ended": program.ended,
        "budget_micros": account.budget_micros,
        "spent_micros": account.spent_micros,
        "reserved_micros": account.reserved_micros,
        "history_bytes": program.history_bytes,
        "engines": sorted(program.engines),
        "partition": partition.number,
    }
    if explain:
        body["calls"] = [
            {
                "call_id": call.call_id,
                "route": call.route,
                "upstream": call.upstream,
                "outcome": call.outcome,
                "charge_micros": call.charge_micros,
                "prompt_tokens": call.prompt_tokens,
                "cached_tokens": call.cached_tokens,
                "output_tokens": call.output_tokens,
                **asdict(call.trace),
            }
            for call in program.calls
        ]
    else:
        body["messages"] = [json.loads(message) for message in program.messages]
    return body
