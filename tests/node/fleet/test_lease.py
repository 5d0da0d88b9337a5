"""The lease of a VM (R19, R20)."""

import asyncio

import pytest

from damasksaddle.exceptions import ResponseLost, TableUnavailable
from damasksaddle_node.fleet.lease import Lease
from damasksaddle_node.settings import Timing
from damasksaddle_standins.platform import MemoryTable


class LosingTable:
    """Carries out a write, loses its answer, and cannot be read for a while."""

    def __init__(self, table: MemoryTable) -> None:
        self.table = table
        self.lose = False

    async def get(self, key):
        if self.lose:
            raise TableUnavailable("the table is down")
        return await self.table.get(key)

    async def write(self, puts, write_id):
        await self.table.write(puts, write_id)
        if self.lose:
            raise ResponseLost("the answer was dropped")


async def test_lost_renewal_counts_from_when_it_was_sent():
    """
    Guards against a lease that is longer than watchers wait: the row changed with
    the renewal whose answer was lost, and not with the try that finds it.
    """
    table = LosingTable(MemoryTable())
    lease = Lease("vm-1", table, Timing())
    loop = asyncio.get_running_loop()
    await table.write([lease.creation_put()], "w0")
    lease.mark_created(loop.time())
    await asyncio.sleep(1)
    table.lose, sent_s = True, loop.time()
    with pytest.raises(TableUnavailable):
        await lease.renew()
    table.lose = False
    await asyncio.sleep(4)
    await lease.renew()
    assert lease.valid_until_s <= sent_s + Timing().lease_s
    await lease.renew()
    assert lease.valid_until_s == loop.time() + Timing().lease_s
