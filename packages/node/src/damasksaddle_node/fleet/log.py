"""
The fleet log: one ordered log of roster, documents and keys.

A node tails it into its `FleetState`; the cursor moves only after a record has
been applied, and it never moves back.
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

READ_LIMIT = 500

RecordFactory = Callable[[FleetState], FleetRecord]
Listener = Callable[[FleetRecord], None]


class FleetLog:
    """
    The tail of the fleet log and the state that it folds into.

    `read_started_s` is when the last successful read that reached the end of the
    log was started; freshness counts from it.
    """

    def __init__(self, table: Table, poll_s: float, snapshots: FleetSnapshots) -> None:
        self.state = FleetState()
        self._snapshots = snapshots
        self.read_started_s = float("-inf")
        self._rows = RowSequence(table, "fleet")
        self._poll_s = poll_s
        self._listeners: list[Listener] = []
        self._hint = asyncio.Event()
        self._moved = asyncio.Condition()
        self._reading = asyncio.Lock()

    def add_listener(self, listener: Listener) -> None:
        """Calls the listener after each applied record."""
        self._listeners.append(listener)

    async def catch_up(self) -> None:
        """Reads and applies to the end of the log; raises `TableUnavailable`."""
        loop = asyncio.get_running_loop()
        async with self._reading:
            if not self.state.cursor:
                await self._start_from_snapshot()
            while True:
                started_s = loop.time()
                rows = await self._rows.read_after(self.state.cursor, READ_LIMIT)
                for row in rows:
                    self._apply(self._rows.position(row), load_record(row.value))
                if len(rows) < READ_LIMIT:
                    break
            self.read_started_s = started_s
        async with self._moved:
            self._moved.notify_all()

    async def _start_from_snapshot(self) -> None:
        snapshot = await self._snapshots.load()
        if snapshot is None:
            return
        for record in snapshot.records:
            self._fold(snapshot.cursor, record)
        self.state.epoch = snapshot.epoch

    async def write_snapshots(self) -> None:
        """Writes snapshots when this VM is the one that does so."""
        await self._snapshots.keep(self.state)

    def _apply(self, position: int, record: FleetRecord) -> None:
        if position != self.state.cursor + 1:
            raise TableUnavailable(f"fleet/{position}: an earlier row is not visible")
        self._fold(position, record)

    def _fold(self, position: int, record: FleetRecord) -> None:
        self.state.apply(position, record)
        for listener in self._listeners:
            listener(record)

    async def append(
        self, check: RecordFactory, extra_puts: tuple[Put, ...] = ()
    ) -> int:
        """
        Appends the record that `check` makes of the state at the log's end.

        `check` runs again whenever another writer took the position, and raises what
        the caller should see if the change no longer fits. `extra_puts` is written
        in the same transaction; a conflict there raises `WriteConflict`. Raises
        `TableUnavailable` if nothing was written.
        """
        while True:
            await self.catch_up()
            position = self.state.cursor + 1
            value = dump_record(check(self.state))
            if await self._rows.insert_with_retries(
                position, value, new_id("write"), extra_puts
            ):
                self.poll_now()
                return position

    def poll_now(self) -> None:
        """Makes the tail read now, because a peer has seen the log grow."""
        self._hint.set()

    async def wait_for(self, position: int, timeout_s: float) -> bool:
        """Waits until a position is applied; returns False on timeout."""
        if self.state.cursor >= position:
            return True
        self.poll_now()
        try:
            async with asyncio.timeout(timeout_s), self._moved:
                await self._moved.wait_for(lambda: self.state.cursor >= position)
        except TimeoutError:
            return False
        return True

    async def tail(self) -> None:
        """Reads the log at every poll or hint, for the life of the node."""
        while True:
            try:
                await self.catch_up()
            except TableUnavailable as error:
                log.warning("The table cannot be read.", reason=error)
            try:
                async with asyncio.timeout(self._poll_s):
                    await self._hint.wait()
            except TimeoutError:
                pass
            self._hint.clear()
