"""Snapshots of the fleet log."""

from damasksaddle_node.fleet import snapshot
from damasksaddle_node.fleet.records import KeyGiven, KeyWithdrawn
from damasksaddle_standins.fleet import LocalFleet

DOCUMENT = """
service: desk
pools:
  apps:
    kind: plain
    upstreams: [{name: app-1, url: "http://app-1", failure_domain: a}]
routes:
  act: {pool: apps}
workspaces:
  ngo: {rate_per_s: 10, burst: 10}
"""


async def test_start_reads_only_snapshot_and_later_records(monkeypatch):
    """Guards against a start that reads the whole log or ends with an old state."""
    monkeypatch.setattr(snapshot, "SNAPSHOT_INTERVAL_RECORDS", 20)
    async with LocalFleet(3) as fleet:
        await fleet.apply("desk", DOCUMENT)
        log = fleet.any().fleet
        for number in range(30):
            key = KeyGiven(f"k{number}", "ngo", "d", "op", number)
            await log.append(lambda state, key=key: key)
        await log.append(lambda state: KeyWithdrawn("k7", "op", 99))
        await fleet.sleep(25)
        snapshot_cursor = int(fleet.table.rows[snapshot.POINTER_KEY].value)
        assert snapshot_cursor > 30
        await log.append(lambda state: KeyWithdrawn("k8", "op", 99))
        await log.catch_up()
        for name in list(fleet.table.rows):
            if name.startswith("fleet/") and int(name[6:]) <= snapshot_cursor:
                del fleet.table.rows[name]
        scans_before = fleet.table.counts["scan"]
        started = (await fleet.start("vm3")).fleet.state
        await fleet.settle()
        assert fleet.table.counts["scan"] - scans_before < 30
        expected = fleet.any().fleet.state
        assert started.records() == expected.records()
        assert (started.cursor, started.epoch) == (expected.cursor, expected.epoch)
        assert [key for key in started.keys if not started.key_is_valid(key)] == [
            "k7",
            "k8",
        ]


async def test_start_without_the_object_store():
    """Guards against a node that cannot start without the object store."""
    async with LocalFleet(2) as fleet:
        fleet.objects.down = True
        node = await fleet.start("vm2")
        assert len(node.fleet.state.members) == 3
