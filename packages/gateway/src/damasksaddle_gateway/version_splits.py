"""
Divides the programs of a service among the software versions of its upstreams.

Upstreams of several versions may serve side by side, and a stream may continue only at
the version that began it. Programs are therefore hashed to shards, and a row of the
store assigns each shard to one version. The row changes only when upstreams of a
version appear or leave, so any VM can tell the version of a stream from its program,
also after all VMs were lost, and a stream costs no write.

A shard that was moved lately may have streams of both versions. It is unsettled until
those that began before the move have ended; until then only a VM that remembers a
stream knows its version.
"""

import asyncio
import json
import math
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

import xxhash
from mode import Service

from damasksaddle.exceptions import NotFresh, ResponseLost, TableUnavailable
from damasksaddle.platform import Page, Row, row_key
from damasksaddle.utils import boottime_s, get_logger
from damasksaddle_gateway.background import background_task
from damasksaddle_gateway.config_watcher import ConfigWatcher
from damasksaddle_gateway.coordinators import Coordinators
from damasksaddle_gateway.eligibility import available_upstreams
from damasksaddle_gateway.feeds import TableFeed, decode
from damasksaddle_gateway.routing_config import is_resumable
from damasksaddle_gateway.rows import CachedRow, update_row
from damasksaddle_gateway.store import StoreCircuitBreaker

log = get_logger("versions")

TABLE = "version_splits"
SHARDS = 128
# Shards that a version may lack or exceed before any are moved, so that single
# upstreams that come and go in a large service do not move shards.
TOLERATED_SHARDS = 1
# A shard that was just moved is moved again only if no upstream serves it.
HOLD_S = 5.0
FEED_WAIT_S = 5.0
POLL_S = 0.5
# A VM assigns streams by a split that was current within `MAX_AGE_S`, and reads it
# again after `REFRESH_S`.
REFRESH_S = 4.0
MAX_AGE_S = 8.0
# A write without a response may be applied this long after it was sent.
LATE_WRITE_S = 5.0
# The requests that begin and continue a stream together take at most as long as this
# number of requests.
STREAM_REQUESTS = 4
RETRY_S = 0.5


def shard_of(key: str) -> int:
    """Returns the shard of a program or stream."""
    return xxhash.xxh32_intdigest(key.encode()) % SHARDS


def _apportion(slots: Mapping[str, int]) -> dict[str, int]:
    """Divides the shards in proportion to the slots, by largest remainders."""
    total = sum(slots.values())
    quotas = {version: count * SHARDS / total for version, count in slots.items()}
    shards = {version: int(quota) for version, quota in quotas.items()}
    by_remainder = sorted(
        quotas, key=lambda version: (shards[version] - quotas[version], version)
    )
    for version in by_remainder[: SHARDS - sum(shards.values())]:
        shards[version] += 1
    return shards


@dataclass(frozen=True, slots=True)
class VersionSplit:
    """The version of each shard, and when it was last moved, on the store's clock."""

    versions: tuple[str, ...]
    moved_ms: tuple[float, ...]

    @classmethod
    def initial(cls, slots: Mapping[str, int]) -> "VersionSplit":
        """Returns the split of a service that had none, and so has no streams yet."""
        versions: list[str] = []
        for version, count in _apportion(slots).items():
            versions += [version] * count
        return cls(tuple(versions), (-math.inf,) * SHARDS)

    def rebalanced(self, slots: Mapping[str, int], now_ms: float) -> "VersionSplit":
        """
        Moves as few shards as the slots of each version's upstreams require.

        Returns the same split if none has to move.
        """
        if not sum(slots.values()):
            return self
        targets = Counter(_apportion(slots))
        counts = Counter(self.versions)
        excess = counts - targets
        unserved = {version for version in counts if not slots.get(version)}
        if not unserved and max(excess.values(), default=0) <= TOLERATED_SHARDS:
            return self
        lacking = [*(targets - counts).elements()]
        moves = {}
        for shard, version in enumerate(self.versions):
            held = now_ms - self.moved_ms[shard] < HOLD_S * 1000
            if not lacking or (held and version not in unserved):
                continue
            if excess[version] > 0:
                excess[version] -= 1
                moves[shard] = lacking.pop()
        return self._with(moves, now_ms)

    def seen_after(self, earlier: "VersionSplit", now_ms: float) -> "VersionSplit":
        """
        Counts shards that differ from an earlier split as moved now.

        The VM that moved them may have been paused before its write was sent.
        """
        changed = {
            shard: version
            for shard, version in enumerate(self.versions)
            if version != earlier.versions[shard]
        }
        return self._with(changed, now_ms)

    def moved(self, shard: int, version: str, now_ms: float) -> "VersionSplit":
        """Moves one shard to another version."""
        return self._with({shard: version}, now_ms)

    def _with(self, moves: Mapping[int, str], now_ms: float) -> "VersionSplit":
        if not moves:
            return self
        return VersionSplit(
            tuple(moves.get(shard, old) for shard, old in enumerate(self.versions)),
            tuple(
                now_ms if shard in moves else moved_ms
                for shard, moved_ms in enumerate(self.moved_ms)
            ),
        )

    def to_value(self) -> dict[str, Any]:
        """Returns the JSON value of the row."""
        moved_ms = [None if math.isinf(time) else round(time) for time in self.moved_ms]
        return {"versions": list(self.versions), "moved_ms": moved_ms}

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "VersionSplit":
        moved_ms = (-math.inf if time is None else time for time in value["moved_ms"])
        return cls(tuple(value["versions"]), tuple(moved_ms))


@dataclass(slots=True)
class _KnownSplit:
    row: CachedRow
    split: VersionSplit | None = None
    verified_s: float = -math.inf


class VersionSplits(Service):
    """The splits of all services, as stored."""

    def __init__(
        self,
        table: StoreCircuitBreaker,
        config_watcher: ConfigWatcher,
        coordinators: Coordinators,
    ) -> None:
        super().__init__()
        self._table = table
        self._config_watcher = config_watcher
        self._coordinators = coordinators
        # Called with the service whose split has changed.
        self.on_moved: Callable[[str], None] = lambda service: None
        self._known: dict[str, _KnownSplit] = {}
        self._next_reads: dict[str, asyncio.Task[None]] = {}
        self._read_lock = asyncio.Lock()
        self._write_lock = asyncio.Lock()
        self._feed = TableFeed(
            table, TABLE, "", FEED_WAIT_S, self._on_snapshot, self._on_changes
        )

    async def assigned_version(self, service: str, key: str) -> str:
        """
        Returns the version at which a stream of a program begins.

        Raises `NotFresh` if the split may be outdated and cannot be read.
        """
        known = self._get(service)
        age_s = boottime_s() - known.verified_s
        if age_s > REFRESH_S:
            read = self._read(service)
            if age_s > MAX_AGE_S or known.split is None:
                await self._verify(read)
        if known.split is None:
            await self._create(service)
        if known.split is None:
            raise NotFresh(f"{service}: no version split", retry_after_s=RETRY_S)
        return known.split.versions[shard_of(key)]

    def known_version(self, service: str, key: str) -> str | None:
        """Returns the version of a program's streams, without a read of the store."""
        known = self._known.get(service)
        split = None if known is None else known.split
        return None if split is None else split.versions[shard_of(key)]

    async def verified_version(self, service: str, key: str) -> str | None:
        """
        Returns the version at which any stream of a program began.

        Returns None if the shard is unsettled. The split is read from the store,
        because a VM that knows an older one would continue streams that began after a
        move. With an empty key, all shards must agree. Raises `NotFresh`.
        """
        await self._verify(self._read(service))
        split = self._get(service).split
        if split is None:
            return None
        shards = [shard_of(key)] if key else range(SHARDS)
        versions = {
            split.versions[shard] if self._is_settled(split, shard) else None
            for shard in shards
        }
        return versions.pop() if len(versions) == 1 else None

    def is_settled(self, service: str, key: str) -> bool:
        """Tells whether all streams of a program have the same version."""
        split = self._get(service).split
        return split is not None and self._is_settled(split, shard_of(key))

    def _is_settled(self, split: VersionSplit, shard: int) -> bool:
        return self._table.clock.now_ms() - split.moved_ms[shard] > self._settle_ms()

    def _settle_ms(self) -> float:
        return (self.max_stream_s() + MAX_AGE_S + LATE_WRITE_S) * 1000

    def max_stream_s(self) -> float:
        """Returns how long after its beginning a stream may be continued."""
        config = self._config_watcher.config
        longest_ms = config.longest_timeout_ms() if config is not None else 0.0
        return STREAM_REQUESTS * longest_ms / 1000

    async def move_shard(self, service: str, key: str, version: str) -> None:
        """
        Moves the shard of a program to a version whose upstreams can serve it.

        Does nothing if the shard has just been moved or the store is unavailable.
        """
        shard = shard_of(key)

        def move(split: VersionSplit, now_ms: float) -> VersionSplit:
            if now_ms - split.moved_ms[shard] < HOLD_S * 1000:
                return split
            return split.moved(shard, version, now_ms)

        await self._update(service, move)

    async def rebalance(self, service: str) -> None:
        """Adapts a split to the listed upstreams, unless the store is unavailable."""
        slots = self._slots(service)
        await self._update(
            service, lambda split, now_ms: split.rebalanced(slots, now_ms)
        )

    def _slots(self, service: str) -> dict[str, int]:
        slots: Counter[str] = Counter()
        for upstream in available_upstreams(self._config_watcher, service):
            slots[upstream.software_version] += max(1, upstream.slots)
        return dict(slots)

    async def _create(self, service: str) -> None:
        slots = self._slots(service)
        if slots:
            await self._update(service, lambda split, now_ms: split, slots)

    async def _update(
        self,
        service: str,
        change: Callable[[VersionSplit, float], VersionSplit],
        initial_slots: Mapping[str, int] | None = None,
    ) -> None:
        def new_value(value: dict[str, Any] | None) -> dict[str, Any] | None:
            if value is None:
                if initial_slots is None:
                    return None
                return VersionSplit.initial(initial_slots).to_value()
            now_ms = self._table.clock.now_ms()
            if not now_ms:
                return None
            split = VersionSplit.from_value(value)
            changed = change(split, now_ms)
            return None if changed == split else changed.to_value()

        known = self._get(service)
        async with self._write_lock:
            row = replace(known.row)
            try:
                written = await update_row(self._table, row, new_value)
            except (TableUnavailable, ResponseLost) as error:
                log.info("Could not write a split.", service=service, error=repr(error))
                return
            self._adopt(service, row.version, row.value)
            if written:
                log.info(
                    "Moved shards between software versions.",
                    service=service,
                    shards=dict(Counter(known.split.versions)) if known.split else {},
                )

    def _get(self, service: str) -> _KnownSplit:
        key = row_key(TABLE, "", service)
        return self._known.setdefault(service, _KnownSplit(CachedRow(key)))

    def _read(self, service: str) -> asyncio.Task[None]:
        """Reads a split once for all requests that arrive before the read starts."""
        task = self._next_reads.get(service)
        if task is None:
            task = asyncio.create_task(self._read_row(service))
            self._next_reads[service] = task
            # A read that nobody waits for may fail.
            task.add_done_callback(lambda done: done.cancelled() or done.exception())
        return task

    async def _read_row(self, service: str) -> None:
        async with self._read_lock:
            del self._next_reads[service]
            requested_s = boottime_s()
            known = self._get(service)
            row = await self._table.row(known.row.key)
        if row is not None:
            self._adopt_row(service, row)
        known.verified_s = requested_s

    @staticmethod
    async def _verify(read: asyncio.Task[None]) -> None:
        try:
            await asyncio.shield(read)
        except (TableUnavailable, ResponseLost) as error:
            raise NotFresh(
                f"a version split cannot be read: {error!r}", retry_after_s=RETRY_S
            ) from error

    def _on_snapshot(self, page: Page, requested_s: float) -> None:
        self._on_changes(page)

    def _on_changes(self, page: Page) -> None:
        for row in page.rows:
            if not row.deleted:
                decode(lambda row: self._adopt_row(row.name, row), row)

    def _adopt_row(self, service: str, row: Row) -> None:
        self._adopt(service, row.version, json.loads(row.value))

    def _adopt(self, service: str, version: int, value: dict[str, Any] | None) -> None:
        known = self._get(service)
        if value is None or version <= known.row.version:
            return
        known.row.version, known.row.value = version, value
        split = VersionSplit.from_value(value)
        if known.split is not None:
            split = split.seen_after(known.split, self._table.clock.now_ms())
        known.split = split
        self.on_moved(service)

    @background_task
    async def _follow(self) -> None:
        await self._feed.follow(lambda: self.should_stop)

    @background_task
    async def _rebalance_all(self) -> None:
        """Adapts the splits that this VM coordinates when the upstreams change."""
        while not self.should_stop:
            await self.sleep(POLL_S)
            for service in self._streaming_services():
                split = self._get(service).split
                if split is not None and self._is_balanced(split, service):
                    continue
                if not self._coordinators.is_coordinator(f"{TABLE}/{service}"):
                    continue
                if split is None:
                    await self._create(service)
                else:
                    await self.rebalance(service)

    def _is_balanced(self, split: VersionSplit, service: str) -> bool:
        now_ms = self._table.clock.now_ms()
        return split.rebalanced(self._slots(service), now_ms) is split

    def _streaming_services(self) -> set[str]:
        config = self._config_watcher.config
        return {
            target.service
            for route in (config.routes if config else ())
            if is_resumable(route.kind)
            for target in route.targets
        }
