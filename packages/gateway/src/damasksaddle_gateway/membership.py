"""
The VMs of the fleet, and which of them callers should use.

Each VM writes a row when it joins or leaves; the others follow these changes. Beside
it, each writes a counter that grows. A VM whose counter has not changed while the
others could read the table is taken as dead: it is not listed to callers, and nothing
is asked of it. The more VMs there are, the slower they beat, so that the bytes that
each reads and the writes of all stay bounded.
"""

import json
import math
from collections.abc import Callable
from dataclasses import dataclass

from mode import Service

from damasksaddle.exceptions import PlatformError
from damasksaddle.platform import Page, Put, Row, VersionedTable, row_key
from damasksaddle.utils import elapsed_s, get_log, rendezvous
from damasksaddle_gateway.feeds import TableFeed, read_all
from damasksaddle_gateway.settings import GatewaySettings

log = get_log("roster")

TABLE = "vms"
HEARTBEATS_TABLE = "beats"
# A part of its own, so that beats do not wait behind other writes.
PART = "vms"
# How often a VM beats and reads the beats of the others.
HEARTBEAT_S = 1.0
# All VMs together beat at most this often: half of what one part of the store takes,
# and 100 rows of 90 bytes a second for each VM to read.
MAX_HEARTBEATS_PER_S = 100.0
# A VM is listed while its counter changed within so many beats: two may fail.
DEAD_AFTER_HEARTBEATS = 2.6
# Rows of VMs that were dead for so long are removed.
REMOVE_AFTER_S = 60.0
# How long one read of the changes waits for one.
FEED_WAIT_S = 5.0
# Callers of a failure domain get only its own VMs if there are at least this many.
MIN_LOCAL_VMS = 2
# VMs with less than this part of the cores of the largest are not listed to callers
# while there are so many larger ones in the failure domain. They keep rates and
# budgets, and serve when the larger ones are lost.
SMALL_VM_SHARE = 0.5
MIN_LARGE_VMS = 3
MAX_ADDRESSES = 64


@dataclass(slots=True)
class Member:
    """A VM as its row tells; `seen_s` is when its counter was last seen to change."""

    vm: str
    caller_address: str
    peer_address: str
    failure_domain: str
    leaving: bool
    cores: float
    version: int
    last_seen_s: float
    heartbeat_version: int = 0


class Membership(Service):
    """Registers this VM and follows the others."""

    def __init__(self, table: VersionedTable, settings: GatewaySettings) -> None:
        super().__init__()
        self._table = table
        self._settings = settings
        self._members: dict[str, Member] = {}
        # Members that are alive and stay, until something is read that may change it.
        self._live_cache: list[Member] | None = None
        self._heartbeat_count = 0
        self._leaving = False
        # Callers are not sent to this VM while it cannot serve them.
        self.is_ready: Callable[[], bool] = lambda: True
        self._last_read_s = -math.inf
        self._feed = TableFeed(
            table, TABLE, PART, FEED_WAIT_S, self._on_snapshot, self._on_changes
        )

    def is_loaded(self) -> bool:
        """Tells whether the VMs were ever read."""
        return self._last_read_s > -math.inf

    def live_vms(self) -> list[str]:
        """Returns the VMs that are alive and stay, this one among them."""
        return [member.vm for member in self._live_members()] or [self._settings.vm]

    def peer_address(self, vm: str) -> str | None:
        """Returns where a VM listens for the others, or None if it is unknown."""
        member = self._members.get(vm)
        return None if member is None else member.peer_address

    def addresses(self, failure_domain: str) -> list[str]:
        """Returns the addresses for callers of a failure domain, nearest first."""
        live = self._live_members()
        if not self.is_ready():
            live = [member for member in live if member.vm != self._settings.vm]
        local = [member for member in live if member.failure_domain == failure_domain]
        if len(local) >= MIN_LOCAL_VMS:
            listed = _large_vms(local)
        else:
            listed = local + [member for member in live if member not in local]
        return [member.caller_address for member in listed][:MAX_ADDRESSES]

    def heartbeat_interval_s(self) -> float:
        """Returns how often each VM beats, at the present number of VMs."""
        return max(HEARTBEAT_S, len(self._members) / MAX_HEARTBEATS_PER_S)

    def _live_members(self) -> list[Member]:
        # Asked for several times by each request; it changes only with what is read.
        if self._live_cache is None:
            members = self._members.values()
            self._live_cache = [member for member in members if self._is_live(member)]
        return self._live_cache

    def _is_live(self, member: Member) -> bool:
        if member.leaving:
            return False
        if member.vm == self._settings.vm:
            return not self._leaving
        # Ages count up to the last good read: a table that is away makes no VM dead.
        return self._last_read_s - member.last_seen_s < self._dead_after_s()

    def _dead_after_s(self) -> float:
        return DEAD_AFTER_HEARTBEATS * self.heartbeat_interval_s()

    async def leave(self) -> None:
        """Tells the other VMs that callers should not come here any more."""
        self._leaving = True
        self._live_cache = None
        await self._register()

    @Service.task
    async def _follow_vms(self) -> None:
        await self._feed.follow(lambda: self.should_stop)

    @Service.task
    async def _send_heartbeats(self) -> None:
        while not self.should_stop:
            if not self._is_registered():
                await self._register()
            await self._write_heartbeat()
            await self._read_heartbeats()
            await self.sleep(self.heartbeat_interval_s())

    def _is_registered(self) -> bool:
        """Tells whether this VM's row, as last told, says what it should."""
        settings = self._settings
        known = self._members.get(settings.vm)
        return (
            known is not None
            and known.leaving == self._leaving
            and known.caller_address == str(settings.caller_address)
            and known.peer_address == str(settings.peer_address)
            and known.cores == settings.cores
        )

    async def _register(self) -> None:
        settings = self._settings
        value = {
            "callers": str(settings.caller_address),
            "peers": str(settings.peer_address),
            "failure_domain": settings.failure_domain,
            "leaving": self._leaving,
            "cores": settings.cores,
        }
        await self._write(TABLE, json.dumps(value))

    async def _write_heartbeat(self) -> None:
        self._heartbeat_count += 1
        await self._write(HEARTBEATS_TABLE, str(self._heartbeat_count))

    async def _write(self, table: str, value: str) -> None:
        key = row_key(table, PART, self._settings.vm)
        try:
            await self._table.commit([Put(key, value)])
        except PlatformError as error:
            log.debug("A row of this VM is not written.", key=key, error=repr(error))

    def _on_snapshot(self, page: Page, requested_s: float) -> None:
        members = {}
        for row in page.rows:
            member = self._member(row)
            members[member.vm] = member
        for vm in self._members.keys() - members.keys():
            log.info("A VM's row is gone.", vm=vm)
        self._members = members
        self._live_cache = None
        if not self.is_loaded():
            self._last_read_s = requested_s

    def _on_changes(self, page: Page) -> None:
        for row in page.rows:
            if row.deleted:
                removed = self._members.pop(_vm_of_row(row), None)
                if removed is not None:
                    log.info("A VM's row is gone.", vm=removed.vm)
            else:
                member = self._member(row)
                self._members[member.vm] = member
        self._live_cache = None

    def _member(self, row: Row) -> Member:
        vm = _vm_of_row(row)
        known = self._members.get(vm)
        if known is not None and known.version == row.version:
            return known
        value = json.loads(row.value)
        log.info("A VM joined or changed.", vm=vm, leaving=value["leaving"])
        return Member(
            vm,
            value["callers"],
            value["peers"],
            value["failure_domain"],
            value["leaving"],
            value["cores"],
            row.version,
            elapsed_s(),
            0 if known is None else known.heartbeat_version,
        )

    async def _read_heartbeats(self) -> None:
        requested_s = elapsed_s()
        try:
            page = await read_all(self._table, row_key(HEARTBEATS_TABLE, PART, ""))
        except PlatformError as error:
            log.debug("The beats were not read.", error=repr(error))
            return
        if requested_s - self._last_read_s > self._dead_after_s():
            # Nobody could beat while the table was away.
            for member in self._members.values():
                member.last_seen_s = requested_s
        self._last_read_s = requested_s
        self._record_heartbeats(page.rows, requested_s)
        self._live_cache = None
        await self._remove_dead(requested_s)

    def _record_heartbeats(self, rows: list[Row], now_s: float) -> None:
        for row in rows:
            member = self._members.get(_vm_of_row(row))
            if member is not None and member.heartbeat_version != row.version:
                member.heartbeat_version = row.version
                member.last_seen_s = now_s

    async def _remove_dead(self, now_s: float) -> None:
        """Removes rows of VMs that are long dead; one VM does it for each."""
        for member in list(self._members.values()):
            if now_s - member.last_seen_s < REMOVE_AFTER_S:
                continue
            if rendezvous(member.vm, self.live_vms())[0] != self._settings.vm:
                continue
            deletes = [
                Put(row_key(TABLE, PART, member.vm), None, member.version),
                Put(row_key(HEARTBEATS_TABLE, PART, member.vm), None),
            ]
            try:
                await self._table.commit(deletes)
            except PlatformError as error:
                log.debug("A dead VM's row stays.", vm=member.vm, error=repr(error))


def _large_vms(members: list[Member]) -> list[Member]:
    """Returns the larger VMs if there are enough of them, else all."""
    min_cores = SMALL_VM_SHARE * max(member.cores for member in members)
    large = [member for member in members if member.cores >= min_cores]
    return large if len(large) >= MIN_LARGE_VMS else members


def _vm_of_row(row: Row) -> str:
    return row.key.rpartition("/")[2]
