"""Takeovers that load a snapshot and the records after it."""

import asyncio

import pytest

from damasksaddle.utils import partition_of
from damasksaddle_node.commit import archive, client, committer
from damasksaddle_node.programs import snapshot
from damasksaddle_node.programs.charges import read_charges


@pytest.fixture(autouse=True)
def frequent_snapshots(monkeypatch):
    """Makes snapshots frequent to keep the sessions short."""
    monkeypatch.setattr(snapshot, "SNAPSHOT_RECORDS", 4)
    monkeypatch.setattr(snapshot, "SNAPSHOT_PERIOD_S", 5)
    for module in (client, committer):
        monkeypatch.setattr(module, "CHECKPOINT_INTERVAL_ROWS", 8)


async def make_program(session):
    """Creates a program with all kinds of state that a snapshot must contain."""
    await session.call("chat", "one", "p1", idempotency_key="k1")
    await session.call("file", "report", "p1", idempotency_key="k2")
    session.tool.lose_answers = 1
    await session.call("file", "lost", "p1", idempotency_key="k3")
    await session.call("chat", "sub", "p1/a")
    await session.call("chat", "two", "p1", tokens=40)
    await asyncio.sleep(8)


def covered_rows(session):
    """Returns the keys of the rows that the program's snapshot covers."""
    number = partition_of("ngo", "p1")
    rows = sorted(
        k for k in session.fleet.table.rows if k.startswith(f"stream/{number % 4}/")
    )
    snapshot_rows = [
        k for k in rows if '"snapshot"' in session.fleet.table.rows[k].value
    ]
    position, _ = snapshot.load_snapshot(
        max(session.fleet.objects.objects.items(), key=lambda item: len(item[1]))[1]
    )
    assert snapshot_rows
    return [k for k in rows if int(k[-12:]) <= position]


async def test_takeover_needs_only_snapshot_and_tail(start_session, snapshot):
    """Guards against a takeover that reads rows that its snapshot covers."""
    async with start_session(6) as session:
        await make_program(session)
        await session.call("chat", "three", "p1")
        before = await session.query_program("p1")
        covered = covered_rows(session)
        assert len(covered) > 4
        for key in covered:
            del session.fleet.table.rows[key]
        await session.fleet.kill(session.owner_name("p1"))
        await asyncio.sleep(15)
        after = await session.query_program("p1")
        for name in ("messages", "spent_micros", "reserved_micros", "turns"):
            assert after[name] == before[name], name
        await session.call("file", "report", "p1", idempotency_key="k2")
        await session.call("file", "lost", "p1", idempotency_key="k3")
        await session.call("file", "other", "p1", idempotency_key="k1")
        await session.call("chat", "four", "p1")
        assert session.transcript_text() == snapshot


async def test_object_store_is_down(start_session):
    """Guards against an empty history when the snapshot cannot be read."""
    async with start_session(6) as session:
        await make_program(session)
        session.fleet.objects.down = True
        await session.fleet.kill(session.owner_name("p1"))
        await asyncio.sleep(15)
        refused = await session.call("chat", "no snapshot", "p1")
        assert refused.code == "store_unavailable"
        session.fleet.objects.down = False
        await asyncio.sleep(3)
        await session.call("chat", "back", "p1")
        prompts = [c.prompt for e in session.engines for c in e.seen]
        assert any(p.startswith("one") and p.endswith("back") for p in prompts)


async def test_rows_are_truncated(start_session, monkeypatch):
    """Guards against streams that grow without limit, and against stale snapshots."""
    for module in (archive, committer):
        monkeypatch.setattr(module, "BLOCK_ROWS", 4)
    async with start_session(8) as session:
        await make_program(session)
        prefix = f"stream/{partition_of('ngo', 'p1') % 4}/"
        written = 0
        for number in range(4):
            for turn in range(15):
                await session.call("chat", f"round {number} turn {turn}", "p1")
            await asyncio.sleep(15)
            rows = sorted(
                key for key in session.fleet.table.rows if key.startswith(prefix)
            )
            assert len(rows) < 40
            written = int(rows[-1][-12:])
            before = await session.query_program("p1")
            if number < 3:
                for name in sorted(
                    {session.committer_name("p1"), session.owner_name("p1")}
                ):
                    await session.fleet.kill(name)
                await asyncio.sleep(15)
            after = await session.query_program("p1")
            assert after["messages"] == before["messages"]
            assert after["spent_micros"] == before["spent_micros"]
        assert written > 60
        charges = await read_charges(session.fleet.table, session.fleet.objects, 4)
        assert sum(c.charge_micros for c in charges) == after["spent_micros"]
        assert len(charges) == 5 + 60
