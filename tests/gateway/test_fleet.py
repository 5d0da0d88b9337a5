"""What VMs know of each other, and when holders may act without the store."""

import asyncio
import json
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from damasksaddle.exceptions import PeerUnreachable, StoreUnavailable
from damasksaddle.platform import Put
from damasksaddle.utils import rendezvous
from damasksaddle_gateway.holders import Holders
from damasksaddle_gateway.peers import Peers
from damasksaddle_gateway.reach import Reach
from damasksaddle_gateway.roster import Roster
from damasksaddle_gateway.settings import Address
from damasksaddle_gateway.store import StoreGate
from damasksaddle_node.peers import Handlers
from damasksaddle_protocol import Ok, StoreReach, StoreReached
from damasksaddle_standins.versioned import VersionedRows, VersionedStandin
from tests.gateway.conftest import make_settings

pytestmark = pytest.mark.looptime


def _join(rows: VersionedRows, vm: str, **changes: object) -> None:
    value = {
        "callers": f"{vm}:80",
        "peers": f"{vm}:81",
        "failure_domain": "a",
        "leaving": False,
        "cores": 1.0,
        **changes,
    }
    rows.apply([Put(f"vms/vms/{vm}", json.dumps(value))])


def _beat(rows: VersionedRows, vm: str, beats: int) -> None:
    rows.apply([Put(f"beats/vms/{vm}", str(beats))])


def _roster(table: VersionedStandin) -> Roster:
    return Roster(
        StoreGate(table), make_settings("vm-a", caller_address=Address("vm-a", 80))
    )


async def test_dead_and_leaving_vms_are_not_listed(
    rows: VersionedRows, table: VersionedStandin
) -> None:
    """Guards against callers that are sent to a VM that is gone."""
    async with _roster(table) as roster:
        for vm in ("vm-b", "vm-c", "vm-d"):
            _join(rows, vm)
        _join(rows, "vm-e", leaving=True)
        for beats in range(8):
            for vm in ("vm-b", "vm-c", "vm-e"):
                _beat(rows, vm, beats)
            if beats == 0:
                _beat(rows, "vm-d", beats)
            await asyncio.sleep(0.5)
        assert set(roster.addresses("a")) == {"vm-a:80", "vm-b:80", "vm-c:80"}
        assert set(roster.alive()) == {"vm-a", "vm-b", "vm-c"}
        await roster.leave()
        assert "vm-a:80" not in roster.addresses("a")


async def test_an_outage_makes_no_vm_dead(
    rows: VersionedRows, table: VersionedStandin
) -> None:
    """Guards against a fleet that lists nobody because nobody can beat."""
    async with _roster(table) as roster:
        _join(rows, "vm-b")
        _beat(rows, "vm-b", 0)
        await asyncio.sleep(1.5)
        table.down = True
        await asyncio.sleep(10)
        assert set(roster.alive()) == {"vm-a", "vm-b"}
        table.down = False
        await asyncio.sleep(1.5)
        assert set(roster.alive()) == {"vm-a", "vm-b"}
        await asyncio.sleep(4)
        assert set(roster.alive()) == {"vm-a"}


async def test_callers_get_their_own_failure_domain_first(
    rows: VersionedRows, table: VersionedStandin
) -> None:
    """Guards against answers that cross failure domains without need."""
    for vm in ("vm-b", "vm-c"):
        _join(rows, vm, failure_domain="b")
    async with _roster(table) as roster:
        await asyncio.sleep(1.2)
        assert set(roster.addresses("b")) == {"vm-b:80", "vm-c:80"}
        # One VM of its own is too few to be alone.
        assert roster.addresses("a")[0] == "vm-a:80"
        assert len(roster.addresses("a")) == 3


async def test_a_vm_that_leaves_is_known_at_once(
    rows: VersionedRows, table: VersionedStandin
) -> None:
    """Guards against callers that are sent to a VM until the next beat is read."""
    async with _roster(table) as roster:
        _join(rows, "vm-b")
        await asyncio.sleep(1.2)
        assert "vm-b" in roster.alive()
        _join(rows, "vm-b", leaving=True)
        await asyncio.sleep(0.05)
        assert "vm-b" not in roster.alive()


async def test_many_vms_beat_more_slowly(
    rows: VersionedRows, table: VersionedStandin
) -> None:
    """Guards against reads and writes that grow with the square of the VMs."""
    for number in range(399):
        _join(rows, f"vm-{number}")
    async with _roster(table) as roster:
        await asyncio.sleep(1.0)
        before = table.calls
        await asyncio.sleep(24.0)
        # A write and a read for each beat of 4 s, and a feed that waits for 5 s.
        assert table.calls - before <= 6 * 2 + 5
        assert len(roster.alive()) == 1


async def test_rows_of_long_dead_vms_are_removed(
    rows: VersionedRows, table: VersionedStandin
) -> None:
    """Guards against a roster that ends because another VM removed the row first."""
    async with _roster(table) as roster:
        _join(rows, "vm-b")
        _beat(rows, "vm-b", 0)
        await asyncio.sleep(55)
        # A write that the roster has not been told of yet.
        rows.rows["vms/vms/vm-b"] = replace(rows.rows["vms/vms/vm-b"], version=10**6)
        await asyncio.sleep(10)
        assert "vms/vms/vm-b" in rows.rows
        _join(rows, "vm-b")
        await asyncio.sleep(70)
        assert "vms/vms/vm-b" not in rows.rows
        assert roster.alive() == ["vm-a"]


async def test_a_vm_whose_row_was_removed_joins_again(
    rows: VersionedRows, table: VersionedStandin
) -> None:
    """Guards against a VM that was suspended for long and stays unknown."""
    async with _roster(table):
        await asyncio.sleep(1.5)
        rows.apply([Put("vms/vms/vm-a", None)])
        await asyncio.sleep(1.5)
        assert "vms/vms/vm-a" in rows.rows


async def test_small_vms_are_listed_only_when_larger_ones_are_lost(
    rows: VersionedRows, table: VersionedStandin
) -> None:
    """Guards against callers that wait for a VM with a quarter of the processor."""
    for number in range(5):
        _join(rows, f"large-{number}", cores=4.0)
        _join(rows, f"small-{number}", cores=0.9)
    async with _roster(table) as roster:
        await asyncio.sleep(1.2)
        listed = roster.addresses("a")
        assert sorted(listed) == [f"large-{number}:80" for number in range(5)]
        assert len(roster.alive()) == 11
        for number in range(3):
            _join(rows, f"large-{number}", cores=4.0, leaving=True)
        await asyncio.sleep(0.1)
        assert len(roster.addresses("a")) == 8


class FakePeers:
    """Answers for other VMs; None stands for one that does not answer."""

    def __init__(self, answers: dict[str, Any]) -> None:
        self.handlers = Handlers()
        self.answers = answers
        self.asked: list[str] = []

    async def request(self, vm: str, message: object, timeout_s: float) -> Any:
        self.asked.append(vm)
        answer = self.answers.get(vm)
        if answer is None:
            raise PeerUnreachable(vm)
        if isinstance(answer, Exception):
            raise answer
        return answer


def _fleet(*vms: str, known: bool = True) -> Any:
    return SimpleNamespace(alive=lambda: list(vms), is_known=lambda: known)


async def _confirmed(
    table: VersionedStandin, fleet: Any, answers: dict[str, Any]
) -> bool:
    gate = StoreGate(table)
    table.down = True
    for _ in range(3):
        with pytest.raises(Exception, match="down"):
            await gate.page("servers//")
    peers = FakePeers(answers)
    async with Reach("vm-a", gate, fleet, peers) as reach:  # type: ignore[arg-type]
        return await reach.confirm()


AWAY, THERE = StoreReached(False), StoreReached(True)


@pytest.mark.parametrize(
    ("answers", "confirmed"),
    [
        ({"vm-b": AWAY, "vm-c": AWAY, "vm-d": AWAY}, True),
        ({"vm-b": AWAY, "vm-c": AWAY}, True),
        ({"vm-b": AWAY, "vm-c": THERE, "vm-d": AWAY}, False),
        ({"vm-b": AWAY}, False),
        ({}, False),
    ],
)
async def test_an_outage_counts_only_if_others_see_it(
    table: VersionedStandin, answers: dict[str, Any], confirmed: bool
) -> None:
    """Guards against a VM that is cut off and hands out what others hand out too."""
    fleet = _fleet("vm-a", "vm-b", "vm-c", "vm-d")
    assert await _confirmed(table, fleet, answers) is confirmed


async def test_a_process_that_just_started_confirms_nothing(
    table: VersionedStandin,
) -> None:
    """Guards against a new process that takes itself for the whole fleet."""
    assert not await _confirmed(table, _fleet("vm-a", known=False), {})


async def test_a_vm_tells_whether_the_store_answers_it(
    table: VersionedStandin,
) -> None:
    """Guards against a VM that reports an outage which it does not have."""
    gate = StoreGate(table)
    peers = FakePeers({})
    Reach("vm-a", gate, _fleet("vm-a"), peers)  # type: ignore[arg-type]
    answer = await peers.handlers.unary[StoreReach](StoreReach(), None)
    assert answer == THERE


async def test_the_next_vm_is_asked_when_a_holder_cannot_answer(
    table: VersionedStandin,
) -> None:
    """Guards against refusing a request because one VM is dead or cut off."""
    order = rendezvous("ngo", ["vm-a", "vm-b", "vm-c", "vm-d"])
    others = [vm for vm in order if vm != "vm-a"]
    peers = FakePeers({others[0]: None, others[1]: StoreUnavailable(), others[2]: Ok()})
    holders = Holders(
        "vm-a",
        StoreGate(table),
        _fleet(*order),
        peers,  # type: ignore[arg-type]
    )

    async def local() -> Ok:
        return Ok()

    answered_by, _ = await holders.ask("ngo", Ok(), local, 0.0)
    assert answered_by in (order[2], "vm-a")
    assert holders.is_holder("ngo") == (order[0] == "vm-a")


async def test_a_holder_that_did_not_answer_is_not_asked_first_again(
    table: VersionedStandin,
) -> None:
    """Guards against requests that each wait for a holder that is gone."""
    vms = ["vm-a", "vm-b", "vm-c", "vm-d"]
    names = [n for n in map(str, range(99)) if "vm-a" not in rendezvous(n, vms)[:2]]
    first, second, *_ = rendezvous(names[0], vms)
    peers = FakePeers({second: Ok()})
    holders = Holders("vm-a", StoreGate(table), _fleet(*vms), peers)  # type: ignore[arg-type]

    async def local() -> Ok:
        return Ok()

    for _ in range(5):
        answered, _message = await holders.ask(names[0], Ok(), local, 0.0)
        assert answered == second
    assert peers.asked.count(first) == 1
    await asyncio.sleep(3)
    await holders.ask(names[0], Ok(), local, 0.0)
    assert peers.asked.count(first) == 2


async def test_the_holder_is_asked_first_while_the_store_is_away(
    table: VersionedStandin,
) -> None:
    """
    Guards against a holder that nobody asks, though only it may act without the store.

    Seen on trouble-3 of grantwatch-lv: holders that answered late as the store fell
    silent were asked last for 2 s, and their workspaces were refused.
    """
    vms = ["vm-a", "vm-b", "vm-c", "vm-d", "vm-e"]
    names = [n for n in map(str, range(99)) if "vm-a" not in rendezvous(n, vms)[:4]]
    first = rendezvous(names[0], vms)[0]
    peers = FakePeers({})
    gate = StoreGate(table)
    holders = Holders("vm-a", gate, _fleet(*vms), peers)  # type: ignore[arg-type]

    async def local() -> Ok:
        raise StoreUnavailable

    with pytest.raises(StoreUnavailable):
        await holders.ask(names[0], Ok(), local, 0.0)
    table.down = True
    for _ in range(3):
        with pytest.raises(Exception, match="down"):
            await gate.page("servers//")
    peers.answers[first] = Ok()
    answered, _message = await holders.ask(names[0], Ok(), local, 0.0)
    assert answered == first


async def test_vms_that_start_at_once_draw_one_secret_with_few_writes(
    rows: VersionedRows,
) -> None:
    """Guards against starts that choke the store, so that no VM knows the secret."""
    tables = [VersionedStandin(rows) for _ in range(80)]
    all_peers = [
        Peers(StoreGate(table), _fleet("vm-a"), make_settings("vm-a"))  # type: ignore[arg-type]
        for table in tables
    ]
    found = await asyncio.gather(*(peers._secret() for peers in all_peers))
    assert len(set(found)) == 1
    # Two reads each, and writes only from those that draw within one write.
    assert sum(table.calls for table in tables) <= 2 * 80 + 10
