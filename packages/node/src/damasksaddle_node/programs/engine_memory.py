"""Releases the engine memory that programs hold."""

import asyncio

from damasksaddle.config import RouteKind
from damasksaddle.exceptions import UpstreamError
from damasksaddle.utils import get_logger, new_id, unix_s
from damasksaddle_node.programs.context import CallDependencies
from damasksaddle_node.programs.partition import Partition
from damasksaddle_node.programs.records import (
    EngineReleased,
    EnginesSuspected,
    ProgramFinished,
)
from damasksaddle_node.programs.state import Program, root_program_id

log = get_logger("programs")

MAX_CONCURRENT_RELEASES = 32
# For this time after a takeover, a program that looks new may have run its first call
# at the former holder, without a durable record. Entry VMs and callers have retried
# such a call by then.
RECENT_TAKEOVER_S = 60.0


def program_finished_record(program: Program, reason: str) -> ProgramFinished:
    """Returns the record that ends a program."""
    return ProgramFinished(
        new_id("record"), program.workspace, program.program_id, reason, unix_s()
    )


class EngineMemoryManager:
    """Ends idle programs, and releases the engine memory of ended programs."""

    def __init__(self, dependencies: CallDependencies) -> None:
        self._dependencies = dependencies
        self._release_slots = asyncio.Semaphore(MAX_CONCURRENT_RELEASES)

    def _engine_urls(self, service: str) -> dict[str, str]:
        document = self._dependencies.fleet.state.document(service)
        return {
            upstream.name: upstream.url
            for pool in (document.pools.values() if document else ())
            if pool.kind is RouteKind.MODEL
            for upstream in pool.upstreams
        }

    def was_opened_recently(self, partition: Partition) -> bool:
        """Returns whether this VM opened the partition within `RECENT_TAKEOVER_S`."""
        now_s = asyncio.get_running_loop().time()
        return now_s - partition.opened_time_s < RECENT_TAKEOVER_S

    def record_suspected_engines(self, partition: Partition, program: Program) -> None:
        """Records that any engine of the service may hold memory for a program."""
        engines = sorted(self._engine_urls(program.service))
        if not program.end_reason and not program.engines.issuperset(engines):
            partition.add(
                EnginesSuspected(
                    new_id("record"), program.workspace, program.program_id, engines
                )
            )

    def end_idle_programs(self, partition: Partition) -> None:
        """Ends idle root programs together with their sub-agents."""
        now_s = asyncio.get_running_loop().time()
        trees: dict[tuple[str, str], list[Program]] = {}
        for program in partition.state.programs.values():
            root_key = (program.workspace, root_program_id(program.program_id))
            trees.setdefault(root_key, []).append(program)
        for tree in trees.values():
            document = self._dependencies.fleet.state.document(tree[0].service)
            if document is None or any(program.lock.locked() for program in tree):
                continue
            last_used_s = max(program.last_used_s for program in tree)
            idle_s = now_s - max(last_used_s, partition.opened_time_s)
            if idle_s > document.program.idle_timeout_s:
                for program in tree:
                    if not program.end_reason:
                        partition.add(program_finished_record(program, "idle"))

    async def release_ended_programs(self, partitions: list[Partition]) -> None:
        """Tries once to release the engine memory of all ended programs."""
        releases = [
            self._release_session(partition, program, engine)
            for partition in partitions
            for program in partition.state.programs.values()
            if program.end_reason
            for engine in sorted(program.engines)
        ]
        await asyncio.gather(*releases)

    async def _release_session(
        self, partition: Partition, program: Program, engine: str
    ) -> None:
        url = self._engine_urls(program.service).get(engine)
        session = f"{program.workspace}/{program.program_id}"
        try:
            # An engine that is in no pool any more is not contacted, and counts as
            # released.
            if url is not None:
                async with self._release_slots:
                    await self._dependencies.upstreams.release(url, session)
        except UpstreamError as error:
            log.debug(
                "Releasing engine memory failed; it will be retried.",
                upstream=engine,
                reason=error,
            )
            return
        if partition.orphaned and self.was_opened_recently(partition):
            # A call of the former holder may still run on the engine and keep memory
            # when it ends, so the release is repeated for `RECENT_TAKEOVER_S`.
            return
        partition.add(
            EngineReleased(
                new_id("record"), program.workspace, program.program_id, engine
            )
        )
