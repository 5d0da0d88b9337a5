"""Connections to peers that respond late or not at all."""

import asyncio

import pytest

from damasksaddle.exceptions import PeerTimeout
from damasksaddle_node.peers import Handlers, PeerPool
from damasksaddle_protocol import Acquire, Acquired
from tests.node.peers.test_server import SECRET, ServerHarness

pytestmark = pytest.mark.looptime


def _pool(harness: ServerHarness) -> PeerPool:
    network = harness.network.as_node("peer")
    address = harness.server.address
    return PeerPool(
        "peer-1", SECRET, network, Handlers(), lambda _: address, lambda: 1, 1.0
    )


async def _request(pool: PeerPool, wait_ms: int, timeout_s: float) -> object:
    return await pool.request("server-1", Acquire("ws", wait_ms), timeout_s)


async def test_late_response_does_not_fail_other_requests():
    """
    Guards against a request timeout that closes a connection which is still in use.

    Seen on quiet-1 of both users' deployments: each late response failed all other
    pending requests to the same VM.
    """
    async with ServerHarness() as harness:
        pool = _pool(harness)
        slow = asyncio.create_task(_request(pool, 1500, 2.0))
        late = asyncio.create_task(_request(pool, 1500, 0.5))
        await asyncio.sleep(0.2)
        assert await _request(pool, 0, 0.5) == Acquired(0)
        with pytest.raises(PeerTimeout):
            await late
        pool.disconnect_if_silent("server-1", 0.5)
        assert await slow == Acquired(1500)
        pool.close()


async def test_silent_connection_is_replaced():
    """Guards against endless use of a connection that was lost without an error."""
    async with ServerHarness() as harness:
        pool = _pool(harness)
        assert await _request(pool, 0, 0.5) == Acquired(0)
        await asyncio.sleep(1.0)
        harness.network.cut_off("peer", ["server"])
        with pytest.raises(PeerTimeout):
            await _request(pool, 0, 0.5)
        harness.network.heal()
        pool.disconnect_if_silent("server-1", 0.5)
        assert await _request(pool, 0, 0.5) == Acquired(0)
        pool.close()
