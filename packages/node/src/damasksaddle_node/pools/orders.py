"""Orders to engines: each one holds the model, adapter and version of the document."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from damasksaddle.config import Pool
from damasksaddle.exceptions import OrderRefused, Refusal, UpstreamError
from damasksaddle.utils import get_logger, new_id
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.pools.client import PoolClient
from damasksaddle_node.pools.engines import UpstreamView
from damasksaddle_node.pools.scheduler import PoolScheduler
from damasksaddle_node.pools.weights import WEIGHTS
from damasksaddle_node.upstreams import EngineHoldings, EngineOrder, Upstreams
from damasksaddle_protocol import Finish, Place

log = get_logger("orders")

READ_TIMEOUT_S = 2.0
# An engine that was restarted holds nothing; it is noticed within this time.
CHECK_PERIOD_S = 10.0
# Running calls get this long to end before their engine loads other weights.
DRAIN_S = 120.0
DRAIN_POLL_S = 0.2
# The first wait after a failed order; it doubles up to the longest one. Waits vary
# by half, so that owners of several pools do not return to the store together.
RETRY_S = 1.0
RETRY_MOST_S = 60.0
# How long a load waits for its turn before its engine is looked at again.
PERMIT_WAIT_S = 600.0


@dataclass(slots=True)
class _Kept:
    """What was last ordered of an upstream, and when it is looked at next."""

    confirmed: tuple[str, str, str] | None = None
    failures: int = 0
    next_s: float = 0.0


def _weights(held: Pool | EngineHoldings) -> tuple[str, str, str]:
    return held.model, held.adapter, held.version


class PoolOrders:
    """
    Gives the orders of one pool while this VM owns it.

    `owned_since_s` is when this VM took the pool over. A load takes a slot of the
    weight store from `client`, because the store refuses loads above its rate.
    """

    def __init__(
        self,
        scheduler: PoolScheduler,
        fleet: FleetLog,
        client: PoolClient,
        upstreams: Upstreams,
        guard: Callable[[], None],
        owned_since_s: float,
        order_timeout_s: float,
    ) -> None:
        self._scheduler = scheduler
        self._fleet = fleet
        self._client = client
        self._upstreams = upstreams
        self._guard = guard
        self._settled_s = owned_since_s + order_timeout_s
        self._order_timeout_s = order_timeout_s
        self._kept: dict[str, _Kept] = {}
        self._random = random.Random(scheduler.name)

    async def round(self) -> None:
        """Looks at every upstream that is due, one after the other."""
        pool = self._scheduler.view.pool
        for view in list(self._scheduler.view.upstreams.values()):
            now_s = asyncio.get_running_loop().time()
            kept = self._kept.setdefault(view.upstream.name, _Kept())
            changed = kept.confirmed not in (None, _weights(pool))
            if view.leaving or (kept.next_s > now_s and not changed):
                continue
            if not view.upstream.checks_fencing and now_s < self._settled_s:
                # An order of the former owner may still take effect there.
                continue
            try:
                await self._ensure(view, pool, kept)
                kept.failures = 0
                kept.next_s = now_s + CHECK_PERIOD_S
            except OrderRefused as error:
                log.warning("An order was refused.", upstream=view.upstream.name)
                self._fleet.poll_now()
                self._back_off(kept, error)
            except (UpstreamError, Refusal, TimeoutError) as error:
                self._back_off(kept, error)

    def _back_off(self, kept: _Kept, error: Exception) -> None:
        wait_s = min(RETRY_MOST_S, RETRY_S * 2**kept.failures)
        kept.failures += 1
        kept.confirmed = None
        now_s = asyncio.get_running_loop().time()
        kept.next_s = now_s + wait_s * self._random.uniform(0.5, 1.5)
        log.info("An order failed; it is tried again.", reason=repr(error))

    async def _ensure(self, view: UpstreamView, pool: Pool, kept: _Kept) -> None:
        async with asyncio.timeout(READ_TIMEOUT_S):
            held = await self._upstreams.holdings(view.upstream.url)
        wanted = _weights(pool)
        # Another version serves on until its engine's turn; another model cannot.
        view.loading = held.model not in ("", pool.model)
        if _weights(held) == wanted:
            # The order raises the fencing number, which shuts out former owners.
            if view.upstream.checks_fencing and kept.confirmed is None:
                await self._order(view, pool)
        else:
            await self._load(view, pool)
        kept.confirmed = wanted

    async def _load(self, view: UpstreamView, pool: Pool) -> None:
        permit = Place(new_id("load"), WEIGHTS, "", view.upstream.name, 0, 0)
        placed = await self._client.place(permit, PERMIT_WAIT_S)
        view.loading = True
        try:
            await self._drain(view)
            await self._order(view, pool)
        finally:
            view.loading = False
            self._client.finish(Finish(permit.call_id, WEIGHTS, placed.upstream))
            self._scheduler.dispatch()

    async def _drain(self, view: UpstreamView) -> None:
        try:
            async with asyncio.timeout(DRAIN_S):
                while view.running:
                    await asyncio.sleep(DRAIN_POLL_S)
        except TimeoutError:
            log.warning("Calls are cut off by a load.", upstream=view.upstream.name)

    async def _order(self, view: UpstreamView, pool: Pool) -> None:
        self._guard()
        order = EngineOrder(
            self._fleet.state.epoch, pool.model, pool.adapter, pool.version
        )
        async with asyncio.timeout(self._order_timeout_s):
            await self._upstreams.order(view.upstream.url, order)
        log.info("An order was carried out.", upstream=view.upstream.name)
