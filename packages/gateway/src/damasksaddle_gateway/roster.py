"""
The VMs of the fleet, and which of them callers should use.

Each VM writes a row with a counter that grows. A VM whose row has not changed while
the others could read the table is taken as dead: it is not listed to callers, and
nothing is asked of it.
"""

import json
import math
from collections.abc import Callable
from dataclasses import dataclass

from mode import Service

from damasksaddle.exceptions import AnswerLost, TableUnavailable
from damasksaddle.platform import Put, Row, VersionedTable, row_key
from damasksaddle.utils import elapsed_s, get_log
from damasksaddle_gateway.settings import GatewaySettings

log = get_log("roster")

TABLE = "vms"
# How often a VM renews its row and reads those of the others.
BEAT_S = 1.0
# A VM is listed while its row changed within this time: two beats may fail.
DEAD_AFTER_S = 2.6
# Rows of VMs that were dead for so long are removed.
REMOVE_AFTER_S = 60.0
# Callers of a failure domain get only its own VMs if there are at least this many.
MIN_LOCAL_VMS = 2
MAX_ADDRESSES = 64


@dataclass(slots=True)
class Member:
    """A VM as its row tells; `seen_s` is when the row was last seen to change."""

    vm: str
    address: str
    peers: str
    failure_domain: str
    leaving: bool
    version: int
    seen_s: float


class Roster(Service):
    """Registers this VM and follows the others."""

    def __init__(self, table: VersionedTable, settings: GatewaySettings) -> None:
        super().__init__()
        self._table = table
        self._settings = settings
        self._members: dict[str, Member] = {}
        self._beats = 0
        self._leaving = False
        # Callers are not sent to this VM while it cannot serve them.
        self.is_ready: Callable[[], bool] = lambda: True
        self._read_s = -math.inf

    def is_known(self) -> bool:
        """Tells whether the VMs were ever read."""
        return self._read_s > -math.inf

    def alive(self) -> list[str]:
        """Returns the VMs that are alive and stay, this one among them."""
        alive = [m.vm for m in self._members.values() if self._is_listed(m)]
        return alive or [self._settings.vm]

    def peer_address(self, vm: str) -> str | None:
        """Returns where a VM listens for the others, or None if it is unknown."""
        member = self._members.get(vm)
        return None if member is None else member.peers

    def addresses(self, failure_domain: str) -> list[str]:
        """Returns the addresses for callers of a failure domain, nearest first."""
        alive = [m for m in self._members.values() if self._is_listed(m)]
        if not self.is_ready():
            alive = [m for m in alive if m.vm != self._settings.vm]
        near = [m.address for m in alive if m.failure_domain == failure_domain]
        if len(near) >= MIN_LOCAL_VMS:
            return near[:MAX_ADDRESSES]
        far = [m.address for m in alive if m.failure_domain != failure_domain]
        return (near + far)[:MAX_ADDRESSES]

    def _is_listed(self, member: Member) -> bool:
        if member.leaving:
            return False
        if member.vm == self._settings.vm:
            return not self._leaving
        # Ages count up to the last good read: a table that is away makes no VM dead.
        return self._read_s - member.seen_s < DEAD_AFTER_S

    async def leave(self) -> None:
        """Tells the other VMs that callers should not come here any more."""
        self._leaving = True
        await self._beat()

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            await self._beat()
            await self._read()
            await self.sleep(BEAT_S)

    async def _beat(self) -> None:
        self._beats += 1
        settings = self._settings
        value = {
            "callers": str(settings.callers),
            "peers": str(settings.peers),
            "failure_domain": settings.failure_domain,
            "leaving": self._leaving,
            "beats": self._beats,
        }
        key = row_key(TABLE, "", settings.vm)
        try:
            await self._table.commit([Put(key, json.dumps(value))])
        except (TableUnavailable, AnswerLost) as error:
            log.debug("A heartbeat was not written.", error=repr(error))

    async def _read(self) -> None:
        sent_s = elapsed_s()
        try:
            page = await self._table.page(row_key(TABLE, "", ""))
        except (TableUnavailable, AnswerLost) as error:
            log.debug("The VMs were not read.", error=repr(error))
            return
        if sent_s - self._read_s > DEAD_AFTER_S:
            # Nobody could renew a row while the table was away.
            for member in self._members.values():
                member.seen_s = sent_s
        self._read_s = sent_s
        self._replace(page.rows, sent_s)
        await self._remove_dead(sent_s)

    def _replace(self, rows: list[Row], now_s: float) -> None:
        members = {}
        for row in rows:
            vm = row.key.rpartition("/")[2]
            known = self._members.get(vm)
            if known is not None and known.version == row.version:
                members[vm] = known
                continue
            value = json.loads(row.value)
            members[vm] = Member(
                vm,
                value["callers"],
                value["peers"],
                value["failure_domain"],
                value["leaving"],
                row.version,
                now_s,
            )
            if known is None or known.leaving != value["leaving"]:
                log.info("A VM joined or changed.", vm=vm, leaving=value["leaving"])
        for vm in self._members.keys() - members.keys():
            log.info("A VM's row is gone.", vm=vm)
        self._members = members

    async def _remove_dead(self, now_s: float) -> None:
        for member in list(self._members.values()):
            if member.vm == self._settings.vm:
                continue
            if now_s - member.seen_s < REMOVE_AFTER_S:
                continue
            key = row_key(TABLE, "", member.vm)
            try:
                await self._table.commit([Put(key, None, member.version)])
            except (TableUnavailable, AnswerLost) as error:
                log.debug("A dead VM's row stays.", vm=member.vm, error=repr(error))
