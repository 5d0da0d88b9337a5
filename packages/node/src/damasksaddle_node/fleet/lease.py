"""The lease of this VM, and the freshness of its copy of the fleet log."""

import asyncio
from contextlib import suppress

from damasksaddle.exceptions import (
    LeaseLapsed,
    NotFresh,
    ResponseLost,
    TableUnavailable,
    WriteConflict,
)
from damasksaddle.platform import Put, Table
from damasksaddle.utils import get_logger, new_id
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.settings import Timing

log = get_logger("lease")


def lease_key(vm_id: str) -> str:
    """Returns the key of a VM's lease row."""
    return f"leases/{vm_id}"


class Lease:
    """
    The lease of this VM.

    It starts when the last successful renewal was sent. Renewals are conditional on
    the version of the lease row. A watcher that removes this VM deletes the row, so
    no renewal can succeed after that.
    """

    def __init__(self, vm_id: str, table: Table, timing: Timing) -> None:
        self.valid_until_s = float("-inf")
        self.revoked = False
        self._key = lease_key(vm_id)
        self._table = table
        self._timing = timing
        self._version = 0
        # Send times of renewals whose responses were lost, by write id.
        self._unconfirmed_sent_s: dict[str, float] = {}

    def creation_put(self) -> Put:
        """Returns the write that creates the lease row together with `VmJoined`."""
        return Put(self._key, "1", expected_version=0)

    def mark_created(self, started_s: float) -> None:
        """Records that a write sent at `started_s` created the lease row."""
        self._version = 1
        self.extend(started_s)

    def extend(self, started_s: float) -> None:
        """Extends the lease, counted from when its renewal was sent."""
        if not self.revoked:
            self.valid_until_s = max(
                self.valid_until_s, started_s + self._timing.lease_s
            )

    def revoke(self) -> None:
        """Ends the lease permanently."""
        self.revoked = True
        self.valid_until_s = float("-inf")

    def check(self) -> None:
        """Raises `LeaseLapsed` unless the lease is valid now."""
        if asyncio.get_running_loop().time() >= self.valid_until_s:
            raise LeaseLapsed

    async def renew(self) -> None:
        """Renews once; raises `TableUnavailable` if the table cannot be used."""
        started_s = asyncio.get_running_loop().time()
        write_id = new_id("lease")
        put = Put(self._key, write_id, expected_version=self._version)
        try:
            await self._table.write([put], write_id)
            self._version += 1
            self.extend(started_s)
        except ResponseLost:
            self._unconfirmed_sent_s[write_id] = started_s
            await self._read_back()
        except WriteConflict:
            await self._read_back()

    async def _read_back(self) -> None:
        row = await self._table.get(self._key)
        if row is None:
            self.revoke()
            log.warning("The lease of this VM was revoked by another VM.")
            return
        # Only this VM updates the row, so a newer version is its own write whose
        # response was lost. The lease counts from when that write was sent, because
        # watchers may have seen the new version since then.
        if row.version > self._version:
            self._version = row.version
            self.extend(self._unconfirmed_sent_s.get(row.write_id, float("-inf")))
            self._unconfirmed_sent_s.clear()

    async def renew_periodically(self) -> None:
        """Renews the lease three times per lease period until it is revoked."""
        while not self.revoked:
            with suppress(TableUnavailable):
                await self.renew()
            await asyncio.sleep(self._timing.lease_s / 3)


class Freshness:
    """
    Proof that this VM knows all accepted changes of keys and documents.

    The proof is a read up to the end of the fleet log, or vouches from a majority of
    the roster. Its age counts from when it was requested.
    """

    def __init__(self, fleet: FleetLog, timing: Timing) -> None:
        self._fleet = fleet
        self._timing = timing
        self._vouches_requested_s = float("-inf")

    @property
    def proven_at_s(self) -> float:
        """When the newest proof was requested."""
        return max(self._fleet.read_started_s, self._vouches_requested_s)

    def record_vouches(self, started_s: float) -> None:
        """Records vouches from a majority that were requested at `started_s`."""
        self._vouches_requested_s = max(self._vouches_requested_s, started_s)

    def age_s(self) -> float:
        """Returns the age of the newest proof."""
        return asyncio.get_running_loop().time() - self.proven_at_s

    def check(self) -> None:
        """Raises `NotFresh` if the newest proof is too old."""
        if self.age_s() > self._timing.freshness_s:
            raise NotFresh(retry_after_s=1.0)
