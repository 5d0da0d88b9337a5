"""
Snapshots of the fleet log, so that a node that starts reads a short tail.

A snapshot holds the records that fold into the state at its position. It only saves
reading: whatever snapshot a node starts from, it then reads the log to its end.
"""

import asyncio

from pydantic import TypeAdapter
from pydantic.dataclasses import dataclass

from damasksaddle.exceptions import PlatformError
from damasksaddle.platform import ObjectStore, Put, Table
from damasksaddle.utils import get_logger, new_id
from damasksaddle_node.fleet.records import FleetRecord
from damasksaddle_node.fleet.state import FleetState

log = get_logger("fleet")

POINTER_KEY = "snapshots/fleet"
SNAPSHOT_RECORDS = 500
PERIOD_S = 10.0


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """The state of the fleet at a position of its log."""

    cursor: int
    epoch: int
    records: list[FleetRecord]


_ADAPTER: TypeAdapter[FleetSnapshot] = TypeAdapter(FleetSnapshot)


def _object_key(cursor: int) -> str:
    return f"fleet/{cursor}"


class FleetSnapshots:
    """Reads the newest snapshot at the start, and writes one when it is due."""

    def __init__(self, vm_id: str, table: Table, objects: ObjectStore) -> None:
        self._vm_id = vm_id
        self._table = table
        self._objects = objects
        self._written_at = 0

    async def load(self) -> FleetSnapshot | None:
        """Returns the newest snapshot, or None if there is none that can be read."""
        try:
            cursor = await self._newest()
            if not cursor:
                return None
            data = await self._objects.get(_object_key(cursor))
        except PlatformError as error:
            log.warning("The fleet's snapshot cannot be read.", reason=error)
            return None
        return _ADAPTER.validate_json(data)

    async def _newest(self) -> int:
        row = await self._table.get(POINTER_KEY)
        self._written_at = int(row.value) if row else 0
        return self._written_at

    async def keep(self, state: FleetState) -> None:
        """Writes snapshots for as long as this VM is the one that does so."""
        while True:
            await asyncio.sleep(PERIOD_S)
            if state.owners.fleet_snapshot() != self._vm_id:
                continue
            try:
                await self._write_if_due(state)
            except PlatformError as error:
                log.warning("The fleet's snapshot was not written.", reason=error)

    async def _write_if_due(self, state: FleetState) -> None:
        if state.cursor - self._written_at < SNAPSHOT_RECORDS:
            return
        # Another VM may have written one meanwhile.
        if state.cursor - await self._newest() < SNAPSHOT_RECORDS:
            return
        snapshot = FleetSnapshot(state.cursor, state.epoch, state.records())
        data = _ADAPTER.dump_json(snapshot)
        await self._objects.put(_object_key(snapshot.cursor), data)
        pointer = Put(POINTER_KEY, str(snapshot.cursor))
        await self._table.write([pointer], new_id("write"))
        self._written_at = snapshot.cursor
