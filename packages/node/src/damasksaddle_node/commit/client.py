"""Appends records through the committer of their stream, and reads them back."""

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
from damasksaddle_node.commit.committer import HOLDERS_EVERY
from damasksaddle_node.commit.rows import Entry, EntryKind, load_row
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.peers import PeerPool
from damasksaddle_node.settings import Timing
from damasksaddle_protocol import Append, Appended

log = get_logger("commit")


class CommitClient:
    """
    Access to the commit streams of the fleet.

    `store_is_down` tells that the last append failed at the table, and not on its
    way to a committer that may have failed.
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
        """The VM that appends."""
        return self._peers.vm_id

    async def append(self, partition: int, records: list[str], opened_at: int) -> int:
        """
        Appends records and returns the position of their row.

        `opened_at` 0 opens the partition, no records close it. Raises the
        committer's `Refusal` if nothing was written, and `PeerTimeout` or
        `PeerUnreachable` with `sent` if that is not known.
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

    async def append_until_known(
        self, partition: int, records: list[str], opened_at: int, retry_s: float = 0.1
    ) -> int:
        """
        Appends and repeats until the records are durable.

        Records carry ids, so that a repeat after a lost answer is folded once.
        The table may be down meanwhile.
        Raises `NotOwner` if this VM does not hold the partition any more.
        """
        while True:
            try:
                position = await self.append(partition, records, opened_at)
                self.store_is_down = False
                return position
            except NotOwner as error:
                if error.detail != "not the committer":
                    raise
            except (PeerError, Refusal) as error:
                # Only `NotOwner` tells that the records cannot become durable.
                self.store_is_down = isinstance(error, StoreUnavailable)
                log.debug("An append is repeated.", partition=partition, reason=error)
            await asyncio.sleep(retry_s)

    async def snapshot_by(self, partition: int, opened_at: int) -> int:
        """
        Returns which holder wrote the newest snapshot before a position.

        It is named by the position at which it opened the partition; 0 if there is
        no snapshot. Reads the row with the holders and those after it.
        """
        rows = RowSequence(self._table, f"stream/{partition % self._streams}")
        checkpoint = (opened_at - 1) - (opened_at - 1) % HOLDERS_EVERY
        snapshot_by = 0
        row = await rows.read(checkpoint) if checkpoint else None
        if row is not None:
            holder = (load_row(row.value).holders or {}).get(partition)
            if holder is not None:
                snapshot_by = holder.snapshot_by
        after = max(checkpoint - 1, 0)
        async for entry in self.entries(partition, after, opened_at):
            if entry.kind is EntryKind.SNAPSHOT:
                snapshot_by = int(entry.records[1])
        return snapshot_by

    async def entries(
        self, partition: int, after: int, until: int
    ) -> AsyncGenerator[Entry, None]:
        """Yields a partition's entries after a position, before another."""
        rows = RowSequence(self._table, f"stream/{partition % self._streams}")
        position = after
        while position < until:
            found = await rows.read_after(position)
            if not found:
                return
            for row in found:
                position = rows.position(row)
                if position >= until:
                    return
                for entry in load_row(row.value).entries:
                    if entry.partition == partition:
                        yield entry
