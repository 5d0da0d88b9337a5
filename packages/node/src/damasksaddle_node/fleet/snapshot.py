"""
Snapshots of the fleet log, which shorten the part that a starting node must read.

A snapshot contains records that produce the state at its position. It is only an
optimization: a node always reads the log to its end after loading a snapshot, so an
old snapshot is safe to start from.
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
SNAPSHOT_INTERVAL_RECORDS = 500
CHECK_PERIOD_S = 10.0


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """The state of the fleet at a position of its log."""

    cursor: int
    epoch: int
    records: list[FleetRecord]


_SNAPSHOT_ADAPTER: TypeAdapter[FleetSnapshot] = TypeAdapter(FleetSnapshot)


def _object_key(cursor: int) -> str:
    return f"fleet/{cursor}"


class FleetSnapshots:
    """Loads the newest snapshot at startup and writes new ones when they are due."""

    def __init__(self, vm_id: str, table: Table, objects: ObjectStore) -> None:
        self._vm_id = vm_id
        self._table = table
        self._objects = objects
        self._last_cursor = 0

    async def load(self) -> FleetSnapshot | None:
        """Returns the newest snapshot, or None if it is missing or unreadable."""
        try:
            cursor = await self._newest_cursor()
            if not cursor:
                return None
            data = await self._objects.get(_object_key(cursor))
        except PlatformError as error:
            log.warning("The fleet snapshot could not be read.", reason=error)
            return None
        return _SNAPSHOT_ADAPTER.validate_json(data)

    async def _newest_cursor(self) -> int:
        row = await self._table.get(POINTER_KEY)
        self._last_cursor = int(row.value) if row else 0
        return self._last_cursor

    async def write_periodically(self, state: FleetState) -> None:
        """Writes snapshots that are due, while this VM owns that task."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            if state.owners.fleet_snapshot() != self._vm_id:
                continue
            try:
                await self._write_if_due(state)
            except PlatformError as error:
                log.warning("The fleet snapshot could not be written.", reason=error)

    async def _write_if_due(self, state: FleetState) -> None:
        if state.cursor - self._last_cursor < SNAPSHOT_INTERVAL_RECORDS:
            return
        # Another VM may have written a snapshot in the meantime.
        if state.cursor - await self._newest_cursor() < SNAPSHOT_INTERVAL_RECORDS:
            return
        snapshot = FleetSnapshot(state.cursor, state.epoch, state.records())
        data = _SNAPSHOT_ADAPTER.dump_json(snapshot)
        await self._objects.put(_object_key(snapshot.cursor), data)
        pointer = Put(POINTER_KEY, str(snapshot.cursor))
        await self._table.write([pointer], new_id("write"))
        self._last_cursor = snapshot.cursor
