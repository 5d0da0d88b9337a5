"""Vouches, which prove freshness while the table is down (R19)."""

import asyncio

import pytest

from damasksaddle_node.settings import Timing
from damasksaddle_protocol import Vouch
from damasksaddle_standins.fleet import LocalFleet


@pytest.mark.parametrize("start_s", [3.2, 3.5, 3.8])
async def test_freshness_survives_a_failed_round_of_vouches(start_s):
    """
    Guards against calls refused as `not_fresh` in an outage on a busy machine.

    The first request for vouches came so late that there was no time for a second.
    """
    async with LocalFleet(3, Timing(lease_s=3.0, freshness_s=1.5)) as fleet:
        node = fleet.nodes["vm0"]
        # Longer than a round.
        delays_s = {"vm1": [0.4], "vm2": [0.4]}

        def answer_first_late(peer):
            handlers = fleet.nodes[peer].handlers
            on_vouch = handlers.unary[Vouch]

            async def answer(message, sender):
                if message.vm_id == node.vm_id and delays_s[peer]:
                    await asyncio.sleep(delays_s[peer].pop())
                return await on_vouch(message, sender)

            handlers.unary[Vouch] = answer

        await fleet.sleep(start_s)
        fleet.table.faults.down = True
        for peer in delays_s:
            answer_first_late(peer)
        for _ in range(300):
            node.freshness.check()
            await fleet.sleep(0.01)
        assert delays_s == {"vm1": [], "vm2": []}
