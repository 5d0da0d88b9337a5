"""The lease of this VM, and proof that its copy of the fleet log is fresh."""

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

    It counts from just before the renewal that succeeded was sent. Renewals are
    conditional on the row's version: a watcher that removes this VM deletes the
    row, and no later renewal can succeed.
    """

    def __init__(self, vm_id: str, table: Table, timing: Timing) -> None:
        self.valid_until_s = float("-inf")
        self.revoked = False
        self._key = lease_key(vm_id)
        self._table = table
        self._timing = timing
        self._version = 0
        # When the renewals were sent whose answers were lost, by write id.
        self._tried_s: dict[str, float] = {}

    def creation_put(self) -> Put:
        """Returns the write that creates the row together with `VmJoined`."""
        return Put(self._key, "1", expected_version=0)

    def mark_created(self, started_s: float) -> None:
        """Notes that the row was created by a write that began at `started_s`."""
        self._version = 1
        self.extend(started_s)

    def extend(self, started_s: float) -> None:
        """Extends the lease from the time at which its proof was asked for."""
        if not self.revoked:
            self.valid_until_s = max(
                self.valid_until_s, started_s + self._timing.lease_s
            )

    def revoke(self) -> None:
        """Ends the lease for good."""
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
            self._tried_s[write_id] = started_s
            await self._read_back()
        except WriteConflict:
            await self._read_back()

    async def _read_back(self) -> None:
        row = await self._table.get(self._key)
        if row is None:
            self.revoke()
            log.warning("Another VM ended this lease.")
            return
        # Only this VM writes the row, so a newer version is its own lost answer. The
        # lease counts from the try that wrote it, which watchers may have seen since.
        if row.version > self._version:
            self._version = row.version
            self.extend(self._tried_s.get(row.write_id, float("-inf")))
            self._tried_s.clear()

    async def renew_periodically(self) -> None:
        """Renews three times per lease until the lease is taken."""
        while not self.revoked:
            with suppress(TableUnavailable):
                await self.renew()
            await asyncio.sleep(self._timing.lease_s / 3)


class Freshness:
    """
    Proof that no newer key or document is in force.

    The proof is a read of the log that reached its end, or the vouches of a
    majority of the roster; it counts from when it was asked for.
    """

    def __init__(self, fleet: FleetLog, timing: Timing) -> None:
        self._fleet = fleet
        self._timing = timing
        self._vouched_s = float("-inf")

    @property
    def proof_s(self) -> float:
        """When the newest proof was asked for."""
        return max(self._fleet.read_started_s, self._vouched_s)

    def vouched(self, started_s: float) -> None:
        """Notes the vouches of a majority that were asked for at `started_s`."""
        self._vouched_s = max(self._vouched_s, started_s)

    def age_s(self) -> float:
        """Returns how old the newest proof is."""
        return asyncio.get_running_loop().time() - self.proof_s

    def check(self) -> None:
        """Raises `NotFresh` if the newest proof is too old."""
        if self.age_s() > self._timing.freshness_s:
            raise NotFresh(retry_after_s=1.0)
