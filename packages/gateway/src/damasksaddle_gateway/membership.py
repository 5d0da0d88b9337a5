"""
Tracks the VMs of the fleet and selects the addresses given to callers.

Each VM writes a row when it joins or leaves, and the other VMs follow these changes.
Separately, each VM writes an increasing heartbeat counter. A VM whose counter does not
change while others can read the table is considered dead: it is not listed to callers
and gets no requests from other VMs. The heartbeat interval grows with the number of
VMs, so that the bytes read by each VM and the writes of all VMs stay bounded.
"""

import json
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from mode import Service

from damasksaddle.exceptions import PlatformError
from damasksaddle.platform import Page, Put, Row, row_key
from damasksaddle.utils import boottime_s, get_logger, rendezvous
from damasksaddle_gateway.background import background_task
from damasksaddle_gateway.feeds import TableFeed, decode, read_all
from damasksaddle_gateway.settings import GatewaySettings
from damasksaddle_gateway.store import StoreCircuitBreaker

log = get_logger("roster")

TABLE = "vms"
HEARTBEATS_TABLE = "beats"
# A separate partition, so that heartbeats are not queued behind other writes.
PART = "vms"
# Minimum interval at which a VM writes its heartbeat and reads those of the others.
HEARTBEAT_S = 1.0
# Maximum rate of heartbeats of all VMs together: half of the write capacity of one
# table partition, and 100 rows of 90 bytes per second for each VM to read.
MAX_HEARTBEATS_PER_S = 100.0
# Share of a write's duration for which the partition cannot process another one. A slow
# store gets fewer heartbeats, so that they do not queue up there.
PARTITION_SHARE = 0.6
# The longest of the recent heartbeat intervals counts for the others, because a VM may
# have chosen its interval before this one noticed that the store is fast again.
INTERVAL_DECAY = 0.8
# A VM is live if its counter changed within this many heartbeat intervals, so two
# heartbeats may fail.
DEAD_AFTER_HEARTBEATS = 2.6
# A VM that was silent for longer than this loses the rights that it held, because the
# others give up waiting for it `SILENT_HEARTBEATS` after they last saw it.
MAX_GAP_HEARTBEATS = 8
SILENT_HEARTBEATS = 10
# Maximum age of a VM's view when the store became unavailable to the last VM. A VM that
# joined or returned holds rights after the same time, so all valid views contain it.
SETTLE_HEARTBEATS = 4
# Number of changes of the registered VMs that are remembered.
MAX_REGISTERED_CHANGES = 16
# Rows of VMs that have been dead for this time are removed.
REMOVE_AFTER_S = 60.0
# Long-poll time of one read of the change feed.
FEED_WAIT_S = 5.0
# Callers get only VMs of their own failure domain if it has at least this many.
MIN_LOCAL_VMS = 2
# VMs with less than this share of the cores of the largest VM are not listed to callers
# while their failure domain has at least `MIN_LARGE_VMS` larger ones. They still
# coordinate rates and budgets, and serve callers if the larger ones are lost.
SMALL_VM_SHARE = 0.5
MIN_LARGE_VMS = 3
MAX_ADDRESSES = 64
# Callers get the address of another VM only if something proved within this time that
# its process runs. The addresses of VMs that are gone have to be forgotten within 7 s
# (a bound of the deployments); callers keep what they were told for the rest.
MAX_PROOF_AGE_S = 5.5


@dataclass(slots=True)
class Member:
    """
    A VM as described by its row.

    `last_seen_s` is when its heartbeat counter was last seen to change, or when it was
    presumed alive because no change could be seen.
    """

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
    """Registers this VM and tracks the others."""

    def __init__(self, table: StoreCircuitBreaker, settings: GatewaySettings) -> None:
        super().__init__()
        self._table = table
        self.settings = settings
        self._members: dict[str, Member] = {}
        # Cached live members that are not leaving; None after a read that may change
        # them.
        self._live_cache: list[Member] | None = None
        # Likewise for the larger ones of them.
        self._large_cache: list[str] | None = None
        self._heartbeat_count = 0
        self._longest_interval_s = HEARTBEAT_S
        self._leaving = False
        # This VM is not listed to callers while it is not ready.
        self.is_ready: Callable[[], bool] = lambda: True
        self._last_read_s = -math.inf
        # Since when this VM has read and written heartbeats without a long gap.
        self._steady_since_s = math.inf
        # The registered VMs, and since when they were these.
        self.registered_history: deque[tuple[float, list[str]]] = deque(
            maxlen=MAX_REGISTERED_CHANGES
        )
        # Versions of all heartbeats as last read; None before the first read.
        self._heartbeat_versions: dict[str, int] | None = None
        # The latest times at which the processes of other VMs certainly ran.
        self._proofs_s: dict[str, float] = {}
        # When callers of each failure domain last asked for addresses.
        self._queries_s: dict[str, float] = {}
        # Versions of the heartbeats of VMs without a row.
        self._unknown_heartbeats: dict[str, int] = {}
        self._feed = TableFeed(
            table, TABLE, PART, FEED_WAIT_S, self._on_snapshot, self._on_changes
        )

    def is_loaded(self) -> bool:
        """Tells whether the VMs have been read at least once."""
        return self._last_read_s > -math.inf

    def live_vms(self) -> list[str]:
        """Returns the live VMs that are not leaving, including this one."""
        return [member.vm for member in self._live_members()] or [self.settings.vm]

    def large_vms(self) -> list[str]:
        """Returns the live VMs with enough cores for the work of the whole fleet."""
        if self._large_cache is None:
            live = self._live_members()
            large = _large_vms(live) if live else []
            self._large_cache = [member.vm for member in large]
        return self._large_cache or [self.settings.vm]

    def failure_domain(self, vm: str) -> str:
        """Returns the failure domain of a VM, or an empty string if it is unknown."""
        member = self._members.get(vm)
        return "" if member is None else member.failure_domain

    def is_present(self, vm: str) -> bool:
        """Tells whether a VM is live, also if it is leaving."""
        member = self._members.get(vm)
        if vm == self.settings.vm:
            return True
        return member is not None and self._is_alive(member)

    def registered_vms(self) -> list[str]:
        """
        Returns the VMs that may hold rights for which all views have to agree.

        VMs that were lost a short time ago are among them, so the views of a VM that
        was away and of the others are the same.
        """
        max_silence_s = SILENT_HEARTBEATS * self._longest_interval_s
        return [
            member.vm
            for member in self._members.values()
            if not member.leaving
            and self._last_read_s - member.last_seen_s < max_silence_s
        ]

    def is_settled(self, outage_began_s: float) -> bool:
        """
        Tells whether this VM may hold a right that only one VM has at a time.

        It may not if it has just started or returned, since others may not have seen
        it yet, or if its view was outdated when the outage began for the last VM.
        """
        interval_s = self._longest_interval_s
        view_age_s = outage_began_s - self._last_read_s
        return (
            not self._leaving
            and view_age_s <= SETTLE_HEARTBEATS * interval_s
            and self._last_read_s - self._steady_since_s
            >= SETTLE_HEARTBEATS * interval_s
        )

    def steady_since_s(self) -> float:
        """Returns since when this VM has followed the store without a long gap."""
        return self._steady_since_s

    def peer_address(self, vm: str) -> str | None:
        """
        Returns the address on which a VM accepts peer connections, or None if unknown.
        """
        member = self._members.get(vm)
        return None if member is None else member.peer_address

    def addresses(self, failure_domain: str) -> list[str]:
        """
        Returns the addresses for callers in a failure domain, local ones first.

        With `verified_directory`, another VM is among them only while there is proof
        that it runs: its row alone proves nothing, and neither does a heartbeat that
        was never seen to change.
        """
        live = self._live_members()
        if any(member.failure_domain == failure_domain for member in live):
            self._queries_s[failure_domain] = boottime_s()
        proven = [member for member in live if self._is_listable(member)]
        listed = _listed_members(proven, failure_domain)
        return [member.caller_address for member in listed]

    def _is_listable(self, member: Member) -> bool:
        """Tells whether callers may get the address of a live member."""
        if member.vm == self.settings.vm:
            return self.is_ready()
        if not self.settings.verified_directory:
            return True
        return boottime_s() - self.last_proof_s(member.vm) < MAX_PROOF_AGE_S

    def directory_candidates(self, retention_s: float) -> set[str]:
        """
        Returns the VMs that callers may be told of, if there is proof that they run.

        These are the ones for callers of this VM's failure domain, and of others that
        asked within `retention_s`. No proof is needed without `verified_directory`.
        """
        if not self.settings.verified_directory:
            return set()
        now_s = boottime_s()
        self._queries_s[self.settings.failure_domain] = now_s
        self._queries_s = {
            failure_domain: asked_s
            for failure_domain, asked_s in self._queries_s.items()
            if now_s - asked_s <= retention_s
        }
        live = self._live_members()
        return {
            member.vm
            for failure_domain in self._queries_s
            for member in _listed_members(live, failure_domain)
        }

    def last_proof_s(self, vm: str) -> float:
        """Returns the latest time at which another VM certainly ran."""
        return self._proofs_s.get(vm, -math.inf)

    def record_proof(self, vm: str, at_s: float) -> None:
        """Records that the process of another VM ran at a time or later."""
        if vm in self._members:
            self._proofs_s[vm] = max(at_s, self.last_proof_s(vm))

    def large_local_vms(self) -> list[str]:
        """
        Returns the larger live VMs of this VM's failure domain, or none if it has none.
        """
        local = [
            member
            for member in self._live_members()
            if member.failure_domain == self.settings.failure_domain
        ]
        return [member.vm for member in _large_vms(local)] if local else []

    def heartbeat_interval_s(self) -> float:
        """Returns the heartbeat interval for the current number of VMs."""
        return max(
            HEARTBEAT_S,
            len(self._members) / MAX_HEARTBEATS_PER_S,
            len(self._members) * self._table.latency.write_s() * PARTITION_SHARE,
        )

    def _clear_caches(self) -> None:
        self._live_cache = None
        self._large_cache = None

    def _live_members(self) -> list[Member]:
        # Each request needs this list several times, and it changes only after a read.
        if self._live_cache is None:
            members = self._members.values()
            self._live_cache = [member for member in members if self._is_live(member)]
        return self._live_cache

    def _is_live(self, member: Member) -> bool:
        if member.leaving:
            return False
        if member.vm == self.settings.vm:
            return not self._leaving
        return self._is_alive(member)

    def _is_alive(self, member: Member) -> bool:
        # Ages are relative to the last successful read, so an unavailable table does
        # not make VMs look dead.
        return self._last_read_s - member.last_seen_s < self._dead_after_s()

    def _dead_after_s(self) -> float:
        interval_s = max(self.heartbeat_interval_s(), self._longest_interval_s)
        return DEAD_AFTER_HEARTBEATS * interval_s

    async def leave(self) -> None:
        """Tells the other VMs that this VM no longer accepts callers."""
        self._leaving = True
        self._clear_caches()
        await self._register()

    @background_task
    async def _follow_vms(self) -> None:
        await self._feed.follow(lambda: self.should_stop)

    @background_task
    async def _send_heartbeats(self) -> None:
        while not self.should_stop:
            if not self._is_registered():
                await self._register()
            await self._write_heartbeat()
            await self._read_heartbeats()
            interval_s = self.heartbeat_interval_s()
            self._longest_interval_s = max(
                interval_s, self._longest_interval_s * INTERVAL_DECAY
            )
            await self.sleep(interval_s)

    def _is_registered(self) -> bool:
        """Tells whether this VM's row, as last read, is up to date."""
        settings = self.settings
        known = self._members.get(settings.vm)
        return (
            known is not None
            and known.leaving == self._leaving
            and known.caller_address == str(settings.caller_address)
            and known.peer_address == str(settings.peer_address)
            and known.cores == settings.cores
        )

    async def _register(self) -> None:
        settings = self.settings
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
        key = row_key(table, PART, self.settings.vm)
        try:
            await self._table.commit([Put(key, value)])
        except PlatformError as error:
            log.debug("Could not write a row of this VM.", key=key, error=repr(error))

    def _on_snapshot(self, page: Page, requested_s: float) -> None:
        members = {}
        for row in page.rows:
            member = decode(self._member, row)
            if member is not None:
                members[member.vm] = member
        for vm in self._members.keys() - members.keys():
            log.info("A VM's row was removed.", vm=vm)
        self._members = members
        self._clear_caches()
        if not self.is_loaded():
            self._last_read_s = requested_s

    def _on_changes(self, page: Page) -> None:
        for row in page.rows:
            if row.deleted:
                removed = self._members.pop(row.name, None)
                if removed is not None:
                    log.info("A VM's row was removed.", vm=removed.vm)
            elif (member := decode(self._member, row)) is not None:
                self._members[member.vm] = member
        self._clear_caches()

    def _member(self, row: Row) -> Member:
        vm = row.name
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
            boottime_s(),
            0 if known is None else known.heartbeat_version,
        )

    async def _read_heartbeats(self) -> None:
        requested_s = boottime_s()
        try:
            page = await read_all(self._table, row_key(HEARTBEATS_TABLE, PART, ""))
        except PlatformError as error:
            log.debug("Could not read the heartbeats.", error=repr(error))
            return
        self._record_proofs(page.rows)
        self._update_steady_time(page.rows, requested_s)
        if requested_s - self._last_read_s > self._dead_after_s():
            # No VM could write heartbeats while the table was unavailable.
            for member in self._members.values():
                member.last_seen_s = requested_s
        self._last_read_s = requested_s
        self._record_heartbeats(page.rows, requested_s)
        self._record_registered(requested_s)
        self._clear_caches()
        await self._remove_dead(requested_s)

    def _record_proofs(self, heartbeats: list[Row]) -> None:
        """
        Records the VMs whose heartbeats changed since the last read.

        They ran after that read was requested; its time is a lower bound.
        """
        versions = {row.name: row.version for row in heartbeats}
        if self._heartbeat_versions is not None:
            for vm, version in versions.items():
                if self._heartbeat_versions.get(vm) != version:
                    self.record_proof(vm, self._last_read_s)
        self._heartbeat_versions = versions
        self._proofs_s = {
            vm: proof_s for vm, proof_s in self._proofs_s.items() if vm in self._members
        }

    def _record_registered(self, now_s: float) -> None:
        vms = sorted(self.registered_vms())
        if not self.registered_history or self.registered_history[-1][1] != vms:
            self.registered_history.append((now_s, vms))

    def _update_steady_time(self, heartbeats: list[Row], now_s: float) -> None:
        own = self._members.get(self.settings.vm)
        max_gap_s = MAX_GAP_HEARTBEATS * self._longest_interval_s
        unknown = {
            row.name: row.version for row in heartbeats if row.name not in self._members
        }
        # The feed lags if a VM sends heartbeats and its row has not been delivered.
        missed_rows = any(
            self._unknown_heartbeats.get(vm, version) != version
            for vm, version in unknown.items()
        )
        self._unknown_heartbeats = unknown
        if (
            own is None
            or missed_rows
            or math.isinf(self._steady_since_s)
            or now_s - own.last_seen_s > max_gap_s
            or now_s - self._last_read_s > max_gap_s
        ):
            self._steady_since_s = now_s

    def _record_heartbeats(self, rows: list[Row], now_s: float) -> None:
        for row in rows:
            member = self._members.get(row.name)
            if member is not None and member.heartbeat_version != row.version:
                member.heartbeat_version = row.version
                member.last_seen_s = now_s

    async def _remove_dead(self, now_s: float) -> None:
        """
        Removes the rows of VMs that have been dead for long.

        The rendezvous order selects one live VM to remove each row.
        """
        for member in list(self._members.values()):
            if now_s - member.last_seen_s < REMOVE_AFTER_S:
                continue
            if rendezvous(member.vm, self.live_vms())[0] != self.settings.vm:
                continue
            deletes = [
                Put(row_key(TABLE, PART, member.vm), None, member.version),
                Put(row_key(HEARTBEATS_TABLE, PART, member.vm), None),
            ]
            try:
                await self._table.commit(deletes)
            except PlatformError as error:
                log.debug(
                    "Could not remove the row of a dead VM.",
                    vm=member.vm,
                    error=repr(error),
                )


def _listed_members(members: list[Member], failure_domain: str) -> list[Member]:
    """Returns the members to list to callers of a failure domain, local ones first."""
    local = [member for member in members if member.failure_domain == failure_domain]
    if len(local) >= MIN_LOCAL_VMS:
        listed = _large_vms(local)
    else:
        listed = local + [member for member in members if member not in local]
    return listed[:MAX_ADDRESSES]


def _large_vms(members: list[Member]) -> list[Member]:
    """Returns the VMs with enough cores, or all VMs if too few have enough."""
    min_cores = SMALL_VM_SHARE * max(member.cores for member in members)
    large = [member for member in members if member.cores >= min_cores]
    return large if len(large) >= MIN_LARGE_VMS else members
