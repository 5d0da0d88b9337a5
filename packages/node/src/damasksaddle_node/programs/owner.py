"""The programs that this VM owns, and the calls that it runs for them."""

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
from damasksaddle_node.programs.context import CallContext, CallDependencies
from damasksaddle_node.programs.partition import Partition
from damasksaddle_node.programs.partition_manager import PartitionManager
from damasksaddle_node.programs.queries import ProgramQueries
from damasksaddle_node.programs.records import (
    CallFinished,
    ProgramRecord,
    ProgramStarted,
)
from damasksaddle_node.programs.run import CallRun
from damasksaddle_node.programs.state import (
    ANSWER_RETENTION_S,
    SINGLE_CALL,
    PartitionState,
    Program,
    root_of,
)
from damasksaddle_protocol import CallChunk, CallEnd, CallRequest

log = get_logger("programs")


class ProgramOwner:
    """Runs the calls of the programs in the partitions that this VM owns."""

    def __init__(
        self,
        services: CallDependencies,
        peers: PeerPool,
        commits: CommitClient,
        objects: ObjectStore,
    ) -> None:
        self.partition_manager = PartitionManager(services, peers, commits, objects)
        self.runs: set[CallRun] = set()
        self._services = services
        self._fleet = services.fleet
        self._queries = ProgramQueries(services, self.partition_manager)
        services.fleet.add_listener(self._on_record)

    def register(self, handlers: Handlers) -> None:
        """Registers the handlers of calls, queries and handovers."""
        handlers.add_streaming(CallRequest, self.on_call)
        self._queries.register(handlers)
        self.partition_manager.register(handlers)

    async def on_call(
        self, call: CallRequest, sender: Sender
    ) -> AsyncGenerator[CallChunk | CallEnd, None]:
        """Yields the answer of a call; raises `Refusal`."""
        await self._fleet.wait_for(
            sender.epoch, self._services.settings.timing.peer_timeout_s
        )
        self._services.guard()
        route = self._fleet.state.route(call.service, call.route)
        document = self._fleet.state.document(call.service)
        if route is None or document is None:
            raise RouteNotFound(f"{call.service}/{call.route}")
        number = partition_of(call.workspace, call.program_id)
        partition = await self.partition_manager.opened(number)
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
            if partition.orphaned and self.partition_manager.engines.is_recent(
                partition
            ):
                # Its first call may have run at the holder that died.
                self.partition_manager.engines.suspect(partition, started_program)
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

    def cancel_calls(self, reason: Refusal) -> None:
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
