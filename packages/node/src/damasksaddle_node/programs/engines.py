"""The engine memory that programs hold, and how it is given back."""

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
from damasksaddle_node.programs.state import Program, root_of

log = get_logger("programs")

MAX_RELEASES = 32
# For how long after a takeover a new program may be one whose first call was lost;
# entry VMs and callers have repeated that call by then.
RECENT_S = 60.0


def finished(program: Program, reason: str) -> ProgramFinished:
    """Returns the record of a program's end."""
    return ProgramFinished(
        new_id("record"), program.workspace, program.program_id, reason, unix_s()
    )


class EngineMemory:
    """Ends idle programs, and releases ended programs on all engines."""

    def __init__(self, services: CallDependencies) -> None:
        self._services = services
        self._releases = asyncio.Semaphore(MAX_RELEASES)

    def _engine_urls(self, service: str) -> dict[str, str]:
        document = self._services.fleet.state.document(service)
        return {
            upstream.name: upstream.url
            for pool in (document.pools.values() if document else ())
            if pool.kind is RouteKind.MODEL
            for upstream in pool.upstreams
        }

    def is_recent(self, partition: Partition) -> bool:
        """Tells whether the partition was opened a short time ago."""
        now_s = asyncio.get_running_loop().time()
        return now_s - partition.since_s < RECENT_S

    def suspect(self, partition: Partition, program: Program) -> None:
        """Notes that any engine may hold memory for a program."""
        engines = sorted(self._engine_urls(program.service))
        if not program.ended and not program.engines.issuperset(engines):
            partition.add(
                EnginesSuspected(
                    new_id("record"), program.workspace, program.program_id, engines
                )
            )

    def end_idle(self, partition: Partition) -> None:
        """Ends root programs that are idle, together with their sub-agents."""
        now_s = asyncio.get_running_loop().time()
        families: dict[tuple[str, str], list[Program]] = {}
        for program in partition.state.programs.values():
            root = (program.workspace, root_of(program.program_id))
            families.setdefault(root, []).append(program)
        for family in families.values():
            document = self._services.fleet.state.document(family[0].service)
            if document is None or any(program.lock.locked() for program in family):
                continue
            touched_s = max(program.touched_s for program in family)
            idle_s = now_s - max(touched_s, partition.since_s)
            if idle_s > document.program.idle_timeout_s:
                for program in family:
                    if not program.ended:
                        partition.add(finished(program, "idle"))

    async def release(self, partitions: list[Partition]) -> None:
        """Tries once to free what engines hold for ended programs."""
        tries = [
            self._release(partition, program, name)
            for partition in partitions
            for program in partition.state.programs.values()
            if program.ended
            for name in sorted(program.engines)
        ]
        await asyncio.gather(*tries)

    async def _release(self, partition: Partition, program: Program, name: str) -> None:
        url = self._engine_urls(program.service).get(name)
        session = f"{program.workspace}/{program.program_id}"
        try:
            # An engine that is in no pool any more is not ours to release.
            if url is not None:
                async with self._releases:
                    await self._services.upstreams.release(url, session)
        except UpstreamError as error:
            log.debug("A release failed.", upstream=name, reason=error)
            return
        if partition.orphaned and self.is_recent(partition):
            # A call of the former holder may still run there and keep memory when it
            # ends, so the release is repeated for a while.
            return
        partition.add(
            EngineReleased(
                new_id("record"), program.workspace, program.program_id, name
            )
        )
