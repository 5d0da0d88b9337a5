"""Announcements to all VMs of a fleet."""

import asyncio
from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest

from damasksaddle.exceptions import PeerUnreachable
from damasksaddle_gateway.announcements import MAX_TRIES, Announcements
from damasksaddle_node.peers import Handlers
from damasksaddle_protocol import AnnounceLimit, Ok, RequestAnnouncements

pytestmark = pytest.mark.looptime

MESSAGE = AnnounceLimit("u0", 4.0, 0)


class ScriptedPeers:
    """Records requests; VMs of an old build close the connection."""

    def __init__(self) -> None:
        self.handlers = Handlers()
        self.old_vms: set[str] = set()
        self.sent: list[tuple[str, type]] = []

    async def request(self, vm: str, message: Any, timeout_s: float) -> Any:
        self.sent.append((vm, type(message)))
        if vm in self.old_vms:
            raise PeerUnreachable(vm)
        return Ok()


def _announcements(peers: Any, vms: list[str]) -> Announcements:
    membership: Any = SimpleNamespace(live_vms=lambda: vms, is_loaded=lambda: True)
    return Announcements("vm-0", membership, peers)


async def test_vms_of_an_old_build_are_not_asked_again_and_again() -> None:
    """Guards against closing the connections of a mixed fleet without end."""
    peers = ScriptedPeers()
    peers.old_vms = {"vm-1", "vm-2"}
    async with _announcements(peers, ["vm-0", "vm-1", "vm-2", "vm-3"]) as announcements:
        announcements.publish("u0", lambda: MESSAGE)
        await asyncio.sleep(60.0)
    announced = Counter(vm for vm, kind in peers.sent if kind is AnnounceLimit)
    assert announced == {"vm-1": MAX_TRIES, "vm-2": MAX_TRIES, "vm-3": 1}
    asked = Counter(vm for vm, kind in peers.sent if kind is RequestAnnouncements)
    assert asked["vm-1"] <= 3


async def test_vms_that_join_are_told() -> None:
    """Guards against a VM that joins later and knows nothing."""
    peers = ScriptedPeers()
    vms = ["vm-0", "vm-1"]
    async with _announcements(peers, vms) as announcements:
        announcements.publish("u0", lambda: MESSAGE)
        await asyncio.sleep(5.0)
        vms.append("vm-9")
        await asyncio.sleep(1.0)
    assert peers.sent.count(("vm-9", AnnounceLimit)) == 1
