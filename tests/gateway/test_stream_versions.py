"""Which software version continues a stream, in fleets whose VMs and upstreams end."""

import asyncio
import json
import random

import pytest

from damasksaddle.platform import Put, row_key
from damasksaddle_gateway.version_splits import (
    LATE_WRITE_S,
    MAX_AGE_S,
    SHARDS,
    STREAM_REQUESTS,
    TABLE,
    VersionSplit,
    shard_of,
)
from damasksaddle_standins.version_fleet import ROUTE, SERVICE, VersionFleet

pytestmark = pytest.mark.looptime

SETTLE_S = MAX_AGE_S + LATE_WRITE_S + STREAM_REQUESTS * ROUTE.timeout_ms / 1000
# A release of five upstreams, one at a time.
RELEASE = [("v1",) * (5 - new) + ("v2",) * new for new in range(1, 6)]


@pytest.mark.parametrize("seed", range(4))
async def test_streams_are_not_joined_after_all_vms_were_killed(seed: int) -> None:
    """Guards against joining two versions when nothing but the store remembers."""
    rng = random.Random(seed)
    async with VersionFleet(9, seed) as fleet:
        fleet.set_upstreams(*["v1"] * 5)
        await asyncio.sleep(1.0)
        streams = await fleet.begin_many(20, 0.02)
        for versions in RELEASE:
            fleet.set_upstreams(*versions)
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            streams += await fleet.begin_many(20, 0.02)
            if rng.random() < 0.6:
                await fleet.restart_all()
                await fleet.take_up_all(streams[-40:])
        await fleet.restart_all()
        await fleet.take_up_all(streams[-40:])
        assert not fleet.joined


async def test_streams_go_on_after_all_vms_were_killed_between_releases() -> None:
    """Guards against refusing every stream that is taken up after a loss of all VMs."""
    async with VersionFleet(9) as fleet:
        fleet.set_upstreams("v1", "v1", "v1", "v2", "v2")
        await asyncio.sleep(1.0)
        streams = await fleet.begin_many(40, 0.02)
        await fleet.restart_all()
        await fleet.take_up_all(streams)
        assert (len(fleet.joined), fleet.refused, fleet.continued) == (0, 0, 40)


@pytest.mark.parametrize("vms", [9, 60])
async def test_streams_go_on_while_a_release_is_under_way(vms: int) -> None:
    """Guards against refusing streams of shards that have just been moved (LOST)."""
    async with VersionFleet(vms) as fleet:
        fleet.set_upstreams(*["v1"] * 5)
        await asyncio.sleep(1.0)
        for versions in RELEASE[:4]:
            fleet.set_upstreams(*versions)
            await asyncio.sleep(0.4)
            streams = await fleet.begin_many(30, 0.02)
            await fleet.start(fleet.random.choice(fleet.vms))
            await fleet.take_up_all(streams)
        assert (len(fleet.joined), fleet.refused) == (0, 0)


async def test_broken_connections_between_vms_do_not_hide_a_version() -> None:
    """Guards against refusing a stream because one message between VMs was lost."""
    async with VersionFleet(9) as fleet:
        fleet.set_upstreams("v1")
        await asyncio.sleep(1.0)
        fleet.set_upstreams("v1", "v2")
        await asyncio.sleep(1.0)
        streams = await fleet.begin_many(40, 0.02)
        for stream in streams:
            fleet.broken_connections = set(fleet.vms)
            await fleet.take_up(stream)
        assert (len(fleet.joined), fleet.refused) == (0, 0)


async def test_a_stream_costs_no_write_of_the_store() -> None:
    """Guards against store calls that grow with the number of streams."""
    async with VersionFleet(9) as fleet:
        fleet.set_upstreams("v1", "v1", "v2")
        await asyncio.sleep(1.0)
        await fleet.begin_many(500, 0.002)
        assert sum(table.commits for table in fleet.tables.values()) <= 2


async def test_a_vm_that_missed_a_release_does_not_join_versions() -> None:
    """Guards against continuing a stream by a split that is no longer in force."""
    async with VersionFleet(9) as fleet:
        fleet.set_upstreams("v1")
        await asyncio.sleep(1.0)
        outdated = fleet.vms[4]
        await fleet.begin_many(50, 0.002)
        fleet.tables[outdated].hide_changes = True
        fleet.set_upstreams("v2")
        await asyncio.sleep(1.0)
        streams = [
            stream
            for stream in await fleet.begin_many(100, 0.002)
            if fleet.begun[stream][1] == "v2"
        ]
        for vm in fleet.vms:
            if vm != outdated:
                await fleet.start(vm)
        for number, stream in enumerate(streams):
            fleet.tables[outdated].down = number >= len(streams) // 2
            await fleet.take_up(stream, outdated)
        assert (len(fleet.joined), fleet.refused > 50) == (0, True)


async def test_a_move_that_was_written_late_does_not_join_versions() -> None:
    """Guards against the old time of a move whose VM was paused before its write."""
    async with VersionFleet(3) as fleet:
        fleet.set_upstreams("v1")
        await asyncio.sleep(1.0)
        await fleet.begin("before", "program")
        fleet.set_upstreams("v2")
        late = VersionSplit(("v2",) * SHARDS, (-SETTLE_S * 2000,) * SHARDS)
        key = row_key(TABLE, "", SERVICE)
        fleet.rows.apply([Put(key, json.dumps(late.to_value()))])
        await asyncio.sleep(0.1)
        for vm in fleet.vms:
            await fleet.take_up("before", vm)
        assert not fleet.joined


async def test_a_vm_without_the_store_begins_no_streams_after_a_time() -> None:
    """Guards against streams of a VM that cannot know that their shard was moved."""
    async with VersionFleet(9) as fleet:
        fleet.set_upstreams("v1")
        await asyncio.sleep(1.0)
        await fleet.begin_many(100, 0.002)
        cut_off = fleet.vms[0]
        fleet.tables[cut_off].down = True
        await asyncio.sleep(MAX_AGE_S + 0.1)
        fleet.vms = [cut_off]
        with pytest.raises(Exception, match="cannot be read"):
            await fleet.begin("late", "program")


async def test_a_moved_shard_settles_after_its_last_streams_have_ended() -> None:
    """Guards against a shard that stays unsettled, or settles too early."""
    async with VersionFleet(9) as fleet:
        fleet.set_upstreams("v1")
        await asyncio.sleep(1.0)
        await fleet.begin("before", "program")
        fleet.set_upstreams("v2")
        await asyncio.sleep(SETTLE_S - 1.0)
        await fleet.restart_all()
        await fleet.take_up("before")
        assert (fleet.refused, fleet.joined) == (1, [])
        await fleet.begin("after", "program")
        await asyncio.sleep(2.0)
        await fleet.restart_all()
        await fleet.take_up("after")
        assert (fleet.continued, fleet.joined) == (1, [])


async def test_a_stream_without_program_or_name_goes_on_only_if_all_agree() -> None:
    """Guards against guessing the version of a stream that the caller does not name."""
    async with VersionFleet(3) as fleet:
        fleet.set_upstreams("v1", "v2")
        await asyncio.sleep(1.0)
        splits = fleet.streams[fleet.vms[0]].splits
        assert await splits.verified_version(SERVICE, "") is None
        assert await splits.verified_version(SERVICE, "program") in ("v1", "v2")


def test_a_rebalance_moves_no_more_shards_than_needed() -> None:
    """Guards against moving programs between versions without a reason."""
    split = VersionSplit.initial({"v1": 5})
    for step, versions in enumerate(RELEASE):
        slots = {version: versions.count(version) for version in versions}
        changed = split.rebalanced(slots, step * 400.0)
        moved = [
            (old, new)
            for old, new in zip(split.versions, changed.versions, strict=True)
            if old != new
        ]
        assert set(moved) <= {("v1", "v2")}
        assert len(moved) <= SHARDS // 5 + 1
        split = changed
    assert set(split.versions) == {"v2"}
    assert split.rebalanced({"v2": 4}, 9000.0) is split
    moved_one = split.moved(shard_of("p"), "v3", 9000.0)
    assert moved_one.versions.count("v3") == 1
