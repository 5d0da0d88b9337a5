"""Runs the calls of the programs that this VM owns."""

from collections.abc import AsyncGenerator
from contextlib import aclosing

from damasksaddle.exceptions import (
    BadRequest,
    KeyRejected,
    NotRun,
    ProgramEnded,
    Refusal,
    RouteNotFound,
)
from damasksaddle.platform import ObjectStore
from damasksaddle.utils import get_logger, new_id, partition_of, unix_s
from damasksaddle_node.commit import CommitClient
from damasksaddle_node.fleet.records import FleetRecord, KeyWithdrawn
from damasksaddle_node.peers import Handlers, PeerPool, Sender
from damasksaddle_node.programs.call_run import CallRun
from damasksaddle_node.programs.context import CallContext, CallDependencies
from damasksaddle_node.programs.partition import Partition
from damasksaddle_node.programs.partition_manager import PartitionManager
from damasksaddle_node.programs.queries import ProgramQueries
from damasksaddle_node.programs.records import (
    CallFinished,
    ProgramRecord,
    ProgramStarted,
)
from damasksaddle_node.programs.state import (
    ANSWER_RETENTION_S,
    SINGLE_CALL,
    PartitionState,
    Program,
    root_program_id,
)
from damasksaddle_protocol import CallChunk, CallEnd, CallRequest

log = get_logger("programs")


class ProgramOwner:
    """Runs the calls of the programs in the partitions that this VM owns."""

    def __init__(
        self,
        dependencies: CallDependencies,
        peers: PeerPool,
        commit_client: CommitClient,
        objects: ObjectStore,
    ) -> None:
        self.partition_manager = PartitionManager(
            dependencies, peers, commit_client, objects
        )
        self.runs: set[CallRun] = set()
        self._dependencies = dependencies
        self._fleet = dependencies.fleet
        self._queries = ProgramQueries(dependencies, self.partition_manager)
        dependencies.fleet.add_listener(self._on_fleet_record)

    def register(self, handlers: Handlers) -> None:
        """Registers the handlers of calls, queries and handovers."""
        handlers.add_streaming(CallRequest, self.on_call)
        self._queries.register(handlers)
        self.partition_manager.register(handlers)

    async def on_call(
        self, call: CallRequest, sender: Sender
    ) -> AsyncGenerator[CallChunk | CallEnd, None]:
        """Runs a call and yields its answer; raises `Refusal`."""
        await self._fleet.wait_for(
            sender.epoch, self._dependencies.settings.timing.peer_timeout_s
        )
        self._dependencies.check_lease_and_freshness()
        route = self._fleet.state.route(call.service, call.route)
        document = self._fleet.state.document(call.service)
        if route is None or document is None:
            raise RouteNotFound(f"{call.service}/{call.route}")
        partition_number = partition_of(call.workspace, call.program_id)
        partition = await self.partition_manager.open_partition(partition_number)
        sealed = self._open_sealed_records(call)
        program = self._find_or_start_program(partition, call, sealed)
        pool = document.pools[route.pool]
        run = CallRun(
            CallContext(
                self._dependencies, partition, program, call, route, pool, sealed=sealed
            )
        )
        self.runs.add(run)
        run.task.add_done_callback(lambda _: self.runs.discard(run))
        async with aclosing(run.events()) as events:
            async for event in events:
                yield event

    def _open_sealed_records(self, call: CallRequest) -> list[ProgramRecord]:
        """Returns the sealed records that came with a call; raises `BadRequest`."""
        if not call.sealed:
            return []
        records = self._dependencies.sealer.open(
            call.workspace, call.program_id, call.sealed
        )
        oldest_unix_s = unix_s() - ANSWER_RETENTION_S
        for record in records:
            # After the retention time a replayed call may no longer be recognized, and
            # would be charged twice.
            if isinstance(record, CallFinished) and record.at_unix_s < oldest_unix_s:
                raise BadRequest("the sealed record is too old")
        return records

    def _find_or_start_program(
        self, partition: Partition, call: CallRequest, sealed: list[ProgramRecord]
    ) -> Program:
        """Returns the program of a call, and starts it if this is its first call."""
        start_records = [
            record for record in sealed if isinstance(record, ProgramStarted)
        ]
        if start_records:
            partition.replay(start_records[0])
        key = (call.workspace, call.program_id)
        state = partition.state
        if key in state.ended_programs or key not in state.programs:
            dropped = self._find_dropped_program(state, call)
            if dropped is not None:
                return dropped
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
            if (
                partition.orphaned
                and self.partition_manager.engine_memory.was_opened_recently(partition)
            ):
                # Its first call may have run at the former holder, which failed.
                self.partition_manager.engine_memory.record_suspected_engines(
                    partition, started_program
                )
        program = partition.state.programs[key]
        root = partition.state.programs.get(
            (call.workspace, root_program_id(call.program_id))
        )
        if root is not None and root is not program and root.end_reason:
            raise ProgramEnded(f"the root program has ended: {root.end_reason}")
        return program

    def _find_dropped_program(
        self, state: PartitionState, call: CallRequest
    ) -> Program | None:
        """Returns a placeholder for a program that ended and was dropped, if any."""
        key = (call.workspace, call.program_id)
        retry_scope = (
            call.workspace,
            root_program_id(call.program_id),
            call.idempotency_key or call.call_id,
        )
        end_record = state.ended_programs.get(key)
        if end_record is None and not state.has_answer_for(retry_scope):
            return None
        program = Program(*key, call.service, 0)
        program.end_reason = end_record.reason if end_record else SINGLE_CALL
        return program

    def cancel_calls(self, reason: Refusal) -> None:
        """Cancels all running calls that may be interrupted."""
        for run in list(self.runs):
            run.cancel(reason)

    def _on_fleet_record(self, record: FleetRecord) -> None:
        if isinstance(record, KeyWithdrawn):
            for run in list(self.runs):
                if run.call.key_id == record.key_id:
                    run.cancel(
                        KeyRejected("the key was withdrawn", not_run=NotRun.UNKNOWN)
                    )
