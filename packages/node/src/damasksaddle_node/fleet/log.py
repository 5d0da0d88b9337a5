"""
The fleet log: one ordered log of changes to the roster, documents and keys.

Each node follows the log and applies its records to a `FleetState`. The cursor
advances only after a record has been applied, and never moves back.
"""

import asyncio
from collections.abc import Callable

from damasksaddle.exceptions import TableUnavailable
from damasksaddle.platform import Put, RowSequence, Table
from damasksaddle.utils import get_logger, new_id
from damasksaddle_node.fleet.records import FleetRecord, dump_record, load_record
from damasksaddle_node.fleet.snapshot import FleetSnapshots
from damasksaddle_node.fleet.state import FleetState

log = get_logger("fleet")

READ_BATCH_SIZE = 500

RecordFactory = Callable[[FleetState], FleetRecord]
Listener = Callable[[FleetRecord], None]


class FleetLog:
    """
    A reader and writer of the fleet log, with the state at its cursor.

    `read_started_s` is the start time of the last read that reached the end of the
    log; freshness counts from it.
    """

    def __init__(self, table: Table, poll_s: float, snapshots: FleetSnapshots) -> None:
        self.state = FleetState()
        self._snapshots = snapshots
        self.read_started_s = float("-inf")
        self._rows = RowSequence(table, "fleet")
        self._poll_s = poll_s
        self._listeners: list[Listener] = []
        self._poll_event = asyncio.Event()
        self._cursor_moved = asyncio.Condition()
        self._read_lock = asyncio.Lock()

    def add_listener(self, listener: Listener) -> None:
        """Registers a function that is called after each applied record."""
        self._listeners.append(listener)

    async def catch_up(self) -> None:
        """Applies all records up to the end of the log; raises `TableUnavailable`."""
        loop = asyncio.get_running_loop()
        async with self._read_lock:
            if not self.state.cursor:
                await self._start_from_snapshot()
            while True:
                started_s = loop.time()
                rows = await self._rows.read_after(self.state.cursor, READ_BATCH_SIZE)
                for row in rows:
                    self._apply_next(self._rows.position(row), load_record(row.value))
                if len(rows) < READ_BATCH_SIZE:
                    break
            self.read_started_s = started_s
        async with self._cursor_moved:
            self._cursor_moved.notify_all()

    async def _start_from_snapshot(self) -> None:
        snapshot = await self._snapshots.load()
        if snapshot is None:
            return
        for record in snapshot.records:
            self._apply_to_state(snapshot.cursor, record)
        self.state.epoch = snapshot.epoch

    async def write_snapshots(self) -> None:
        """Writes snapshots while this VM owns that task."""
        await self._snapshots.write_periodically(self.state)

    def _apply_next(self, position: int, record: FleetRecord) -> None:
        if position != self.state.cursor + 1:
            raise TableUnavailable(f"fleet/{position}: a preceding row is missing")
        self._apply_to_state(position, record)

    def _apply_to_state(self, position: int, record: FleetRecord) -> None:
        self.state.apply(position, record)
        for listener in self._listeners:
            listener(record)

    async def append(
        self, make_record: RecordFactory, extra_puts: tuple[Put, ...] = ()
    ) -> int:
        """
        Appends the record that `make_record` returns for the state at the log's end.

        `make_record` is called again if another writer took the position. It raises
        an exception if the change is no longer valid, which is passed on to the
        caller. `extra_puts` are written in the same transaction; a conflict there
        raises `WriteConflict`. Raises `TableUnavailable` if nothing was written.
        """
        while True:
            await self.catch_up()
            position = self.state.cursor + 1
            value = dump_record(make_record(self.state))
            if await self._rows.insert_with_retries(
                position, value, new_id("write"), extra_puts
            ):
                self.poll_now()
                return position

    def poll_now(self) -> None:
        """Makes `tail` read the log without waiting for the next poll."""
        self._poll_event.set()

    async def wait_for(self, position: int, timeout_s: float) -> bool:
        """Waits until a position is applied; returns False on a timeout."""
        if self.state.cursor >= position:
            return True
        self.poll_now()
        try:
            async with asyncio.timeout(timeout_s), self._cursor_moved:
                await self._cursor_moved.wait_for(lambda: self.state.cursor >= position)
        except TimeoutError:
            return False
        return True

    async def tail(self) -> None:
        """Reads the log at every poll interval and on `poll_now`, until cancelled."""
        while True:
            try:
                await self.catch_up()
            except TableUnavailable as error:
                log.warning("The fleet log could not be read.", reason=error)
            try:
                async with asyncio.timeout(self._poll_s):
                    await self._poll_event.wait()
            except TimeoutError:
                pass
            self._poll_event.clear()
