"""What a VM believes of configuration and upstreams, and for how long."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from damasksaddle.platform import Put, Row
from damasksaddle_gateway.routing_config import RoutingConfig, Upstream
from damasksaddle_gateway.store import StoreGate
from damasksaddle_gateway.view import FEED_WAIT_S, View
from damasksaddle_standins.versioned import VersionedRows, VersionedStandin

pytestmark = pytest.mark.looptime

CONFIG = "op//config"


class PlainDecoder:
    """Rows hold a version, or an upstream's name and whether it drains."""

    config_table = "op"
    upstream_table = "servers"

    def decode_config(self, row: Row) -> RoutingConfig | None:
        return RoutingConfig(int(row.value), (), {}, {}, {})

    def decode_upstream(self, row: Row) -> Upstream | None:
        name = row.key.rpartition("/")[2]
        return Upstream(name, "llm", "10.0.0.1:80", "a", 4, json.loads(row.value))


@asynccontextmanager
async def followed(table: VersionedStandin) -> AsyncIterator[View]:
    view = View(StoreGate(table), PlainDecoder(), drain_ms=2000.0)
    async with view:
        await asyncio.sleep(2)
        yield view


def set_version(rows: VersionedRows, version: int) -> None:
    rows.apply([Put(CONFIG, str(version))])


def beat(rows: VersionedRows, upstream: str, draining: bool = False) -> None:
    rows.apply([Put(f"servers//{upstream}", json.dumps(draining))])


async def test_changes_arrive_and_never_go_back(
    rows: VersionedRows, table: VersionedStandin
) -> None:
    """Guards against an older configuration that follows a newer one."""
    set_version(rows, 7)
    async with followed(table) as view:
        for version, expected in ((9, 9), (8, 9), (12, 12)):
            set_version(rows, version)
            await asyncio.sleep(0.5)
            assert view.catalogue is not None
            assert view.catalogue.version == expected


async def test_a_forgotten_history_is_read_whole(
    rows: VersionedRows, table: VersionedStandin
) -> None:
    """Guards against missing a change that the feed never told."""
    set_version(rows, 1)
    async with followed(table) as view:
        table.silent = True
        set_version(rows, 2)
        await asyncio.sleep(0.3)
        rows.compact()
        table.silent = False
        await asyncio.sleep(1.5)
        assert view.catalogue is not None
        assert view.catalogue.version == 2


async def test_age_grows_while_the_store_is_away(
    rows: VersionedRows, table: VersionedStandin
) -> None:
    """Guards against serving keys on a configuration that nobody can confirm."""
    set_version(rows, 1)
    async with followed(table) as view:
        assert view.config_age_s() < 1.5
        table.down = True
        await asyncio.sleep(5)
        assert view.config_age_s() > 4.9
        table.down = False
        await asyncio.sleep(2)
        assert view.config_age_s() < 1.5


async def test_a_feed_that_falls_behind_proves_nothing(
    rows: VersionedRows, table: VersionedStandin
) -> None:
    """Guards against a withdrawn key that a silent feed did not tell of."""
    set_version(rows, 1)
    async with followed(table) as view:
        table.silent = True
        set_version(rows, 2)
        await asyncio.sleep(4)
        assert view.config_age_s() > 3.9


async def test_draining_upstreams_get_nothing_new_in_time(
    rows: VersionedRows, table: VersionedStandin
) -> None:
    """Guards against new requests for an upstream that said it leaves."""
    beat(rows, "u1")
    beat(rows, "u2")
    async with followed(table) as view:
        assert {u.id for u in view.of_service("llm")} == {"u1", "u2"}
        beat(rows, "u1", draining=True)
        await asyncio.sleep(1.0)
        assert {u.id for u in view.of_service("llm")} == {"u2"}


async def test_entries_that_expired_in_an_outage_may_come_back(
    rows: VersionedRows, table: VersionedStandin
) -> None:
    """Guards against dropping all upstreams because the store was away."""
    beat(rows, "u1")
    beat(rows, "u2")
    async with followed(table) as view:
        table.down = True
        await asyncio.sleep(6)
        for upstream in ("u1", "u2"):
            rows.apply([Put(f"servers//{upstream}", None)])
        table.down = False
        await asyncio.sleep(1)
        assert len(view.of_service("llm")) == 2
        beat(rows, "u2")
        await asyncio.sleep(2.5)
        assert {u.id for u in view.of_service("llm")} == {"u2"}


async def test_each_answer_of_the_store_keeps_the_proof_young(
    rows: VersionedRows, table: VersionedStandin
) -> None:
    """Guards against an outage that begins with a proof which is older than it must."""
    set_version(rows, 1)
    gate = StoreGate(table)
    # Upstreams are read once in 20 s.
    async with View(gate, PlainDecoder(), drain_ms=60_000.0) as view:
        ages_s = []
        for number in range(100):
            await gate.commit([Put("rates//bucket", str(number))])
            await asyncio.sleep(0.05)
            ages_s.append(view.config_age_s())
        # One read of the feed, and what lies between two notes.
        assert max(ages_s[20:]) < FEED_WAIT_S + 0.15
