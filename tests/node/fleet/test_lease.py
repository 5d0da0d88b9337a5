"""The lease of a VM (R19, R20)."""

import asyncio

import pytest

from damasksaddle.exceptions import ResponseLost, TableUnavailable
from damasksaddle_node.fleet.lease import Lease
from damasksaddle_node.settings import Timing
from damasksaddle_standins.platform import MemoryTable


class LossyTable:
    """A table that can lose the responses of writes and refuse reads."""

    def __init__(self, table: MemoryTable) -> None:
        self.table = table
        self.losing_responses = False

    async def get(self, key):
        if self.losing_responses:
            raise TableUnavailable("injected fault: the table is unavailable")
        return await self.table.get(key)

    async def write(self, puts, write_id):
        await self.table.write(puts, write_id)
        if self.losing_responses:
            raise ResponseLost("injected fault: the response was dropped")


async def test_renewal_with_lost_response_counts_from_its_send_time():
    """
    Guards against a lease that lasts longer than watchers wait.

    A renewal whose response was lost changed the row when it was written. The lease
    must count from that renewal and not from the later attempt that reads the row.
    """
    table = LossyTable(MemoryTable())
    lease = Lease("vm-1", table, Timing())
    loop = asyncio.get_running_loop()
    await table.write([lease.creation_put()], "w0")
    lease.mark_created(loop.time())
    await asyncio.sleep(1)
    table.losing_responses, sent_s = True, loop.time()
    with pytest.raises(TableUnavailable):
        await lease.renew()
    table.losing_responses = False
    await asyncio.sleep(4)
    await lease.renew()
    assert lease.valid_until_s <= sent_s + Timing().lease_s
    await lease.renew()
    assert lease.valid_until_s == loop.time() + Timing().lease_s
