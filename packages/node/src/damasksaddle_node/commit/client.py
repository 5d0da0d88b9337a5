"""Appends records through the committer of their stream, and reads streams."""

import asyncio
from collections.abc import AsyncGenerator

from damasksaddle.exceptions import (
    NotOwner,
    OwnerUnreachable,
    PeerError,
    Refusal,
    StoreUnavailable,
)
from damasksaddle.platform import RowSequence, Table
from damasksaddle.utils import get_logger
from damasksaddle_node.commit.committer import CHECKPOINT_INTERVAL_ROWS, NOT_COMMITTER
from damasksaddle_node.commit.rows import Entry, EntryKind, load_row
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.peers import PeerPool
from damasksaddle_node.settings import Timing
from damasksaddle_protocol import Append, Appended

log = get_logger("commit")


class CommitClient:
    """
    A client of the fleet's commit streams.

    `store_is_down` is True if the last append failed because of the table, and not
    because the committer was unreachable.
    """

    def __init__(
        self,
        table: Table,
        fleet: FleetLog,
        peers: PeerPool,
        streams: int,
        timing: Timing,
    ) -> None:
        self.store_is_down = False
        self._table = table
        self._fleet = fleet
        self._peers = peers
        self._streams = streams
        self._timing = timing

    @property
    def vm_id(self) -> str:
        """The id of this VM."""
        return self._peers.vm_id

    async def append(self, partition: int, records: list[str], opened_at: int) -> int:
        """
        Appends records and returns the position of their row.

        An `opened_at` of 0 opens the partition, and an empty list of records closes it.
        Raises the committer's `Refusal` if nothing was written. Raises `PeerTimeout`
        or `PeerUnreachable` with `sent` if the records may have been written.
        """
        committer = self._fleet.state.owners.stream(partition % self._streams)
        if committer is None:
            raise OwnerUnreachable("the fleet has no members")
        message = Append(partition, self._peers.vm_id, records, opened_at)
        answer = await self._peers.request(
            committer, message, self._timing.peer_timeout_s
        )
        assert isinstance(answer, Appended)
        return answer.position

    async def append_with_retry(
        self, partition: int, records: list[str], opened_at: int, retry_s: float = 0.1
    ) -> int:
        """
        Appends records, and retries until they are durable.

        Retries continue while the table is down. Records carry ids, so that a record
        that was written twice because of a lost answer is applied once. Raises
        `NotOwner` if this VM does not hold the partition any more.
        """
        while True:
            try:
                position = await self.append(partition, records, opened_at)
                self.store_is_down = False
                return position
            except NotOwner as error:
                if error.detail != NOT_COMMITTER:
                    raise
            except (PeerError, Refusal) as error:
                # Only `NotOwner` means that the records cannot become durable.
                self.store_is_down = isinstance(error, StoreUnavailable)
                log.debug(
                    "An append failed; retrying.", partition=partition, reason=error
                )
            await asyncio.sleep(retry_s)

    async def latest_snapshot_writer(self, partition: int, opened_at: int) -> int:
        """
        Returns the holder that wrote the newest snapshot before a position.

        The holder is identified by the position at which it opened the partition; 0
        means that there is no snapshot. Reads the last checkpoint row and the rows
        after it.
        """
        rows = RowSequence(self._table, f"stream/{partition % self._streams}")
        checkpoint_position = (opened_at - 1) - (
            opened_at - 1
        ) % CHECKPOINT_INTERVAL_ROWS
        writer = 0
        row = await rows.read(checkpoint_position) if checkpoint_position else None
        if row is not None:
            holder = (load_row(row.value).holders or {}).get(partition)
            if holder is not None:
                writer = holder.snapshot_by
        after = max(checkpoint_position - 1, 0)
        async for entry in self.read_entries(partition, after, opened_at):
            if entry.kind is EntryKind.SNAPSHOT:
                writer = int(entry.records[1])
        return writer

    async def read_entries(
        self, partition: int, after: int, until: int
    ) -> AsyncGenerator[Entry, None]:
        """Yields a partition's entries after one position and before another."""
        rows = RowSequence(self._table, f"stream/{partition % self._streams}")
        position = after
        while position < until:
            rows_read = await rows.read_after(position)
            if not rows_read:
                return
            for row in rows_read:
                position = rows.position(row)
                if position >= until:
                    return
                for entry in load_row(row.value).entries:
                    if entry.partition == partition:
                        yield entry
