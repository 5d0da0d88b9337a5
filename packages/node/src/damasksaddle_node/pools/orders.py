"""Orders to engines to load the model, adapter and version of the document."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from damasksaddle.config import Pool
from damasksaddle.exceptions import OrderRefused, Refusal, UpstreamError
from damasksaddle.utils import get_logger, new_id
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.pools.client import PoolClient
from damasksaddle_node.pools.scheduler import PoolScheduler
from damasksaddle_node.pools.views import UpstreamView
from damasksaddle_node.pools.weights import WEIGHT_STORE
from damasksaddle_node.upstreams import EngineHoldings, EngineOrder, Upstreams
from damasksaddle_protocol import Finish, Place

log = get_logger("orders")

READ_TIMEOUT_S = 2.0
# A restarted engine has no weights loaded; this is detected within this time.
CHECK_PERIOD_S = 10.0
# Maximum time to wait for running calls before an engine loads other weights.
DRAIN_TIMEOUT_S = 120.0
DRAIN_POLL_S = 0.2
# Bounds of the exponential backoff after failed orders. A random jitter of 50 % keeps
# the owners of several pools from accessing the store at the same time.
INITIAL_RETRY_S = 1.0
MAX_RETRY_S = 60.0
# Maximum wait for a slot of the weight store before the engine is checked again.
PERMIT_TIMEOUT_S = 600.0


@dataclass(slots=True)
class _OrderState:
    """The last confirmed weights of an upstream, and the time of its next check."""

    confirmed_weights: tuple[str, str, str] | None = None
    failures: int = 0
    next_check_s: float = 0.0


def _weights_of(source: Pool | EngineHoldings) -> tuple[str, str, str]:
    return source.model, source.adapter, source.version


class PoolOrders:
    """
    Sends the orders of one pool while this VM owns it.

    `owned_since_s` is the time at which this VM took over the pool. A load first
    acquires a slot of the weight store through `client`, because the store refuses
    loads above its rate.
    """

    def __init__(
        self,
        scheduler: PoolScheduler,
        fleet: FleetLog,
        client: PoolClient,
        upstreams: Upstreams,
        check_authority: Callable[[], None],
        owned_since_s: float,
        order_timeout_s: float,
    ) -> None:
        self._scheduler = scheduler
        self._fleet = fleet
        self._client = client
        self._upstreams = upstreams
        self._check_authority = check_authority
        self._former_orders_end_s = owned_since_s + order_timeout_s
        self._order_timeout_s = order_timeout_s
        self._states: dict[str, _OrderState] = {}
        self._random = random.Random(scheduler.name)

    async def check_upstreams(self) -> None:
        """Checks every upstream that is due, one after the other."""
        pool = self._scheduler.view.pool
        for view in list(self._scheduler.view.upstreams.values()):
            now_s = asyncio.get_running_loop().time()
            state = self._states.setdefault(view.upstream.name, _OrderState())
            changed = state.confirmed_weights not in (None, _weights_of(pool))
            if view.leaving or (state.next_check_s > now_s and not changed):
                continue
            if not view.upstream.checks_fencing and now_s < self._former_orders_end_s:
                # An order of the former owner may still take effect on this engine.
                continue
            try:
                await self._reconcile(view, pool, state)
                state.failures = 0
                state.next_check_s = now_s + CHECK_PERIOD_S
            except OrderRefused as error:
                log.warning("An engine refused an order.", upstream=view.upstream.name)
                self._fleet.poll_now()
                self._back_off(state, error)
            except (UpstreamError, Refusal, TimeoutError) as error:
                self._back_off(state, error)

    def _back_off(self, state: _OrderState, error: Exception) -> None:
        wait_s = min(MAX_RETRY_S, INITIAL_RETRY_S * 2**state.failures)
        state.failures += 1
        state.confirmed_weights = None
        now_s = asyncio.get_running_loop().time()
        state.next_check_s = now_s + wait_s * self._random.uniform(0.5, 1.5)
        log.info("An order failed and will be retried.", reason=repr(error))

    async def _reconcile(
        self, view: UpstreamView, pool: Pool, state: _OrderState
    ) -> None:
        async with asyncio.timeout(READ_TIMEOUT_S):
            holdings = await self._upstreams.holdings(view.upstream.url)
        target_weights = _weights_of(pool)
        # An engine with another version serves until its load starts. An engine with
        # another model cannot serve.
        view.loading = holdings.model not in ("", pool.model)
        if _weights_of(holdings) == target_weights:
            # The order raises the fencing number, which fences off former owners.
            if view.upstream.checks_fencing and state.confirmed_weights is None:
                await self._send_order(view, pool)
        else:
            await self._load_weights(view, pool)
        state.confirmed_weights = target_weights

    async def _load_weights(self, view: UpstreamView, pool: Pool) -> None:
        permit = Place(new_id("load"), WEIGHT_STORE, "", view.upstream.name, 0, 0)
        placed = await self._client.place(permit, PERMIT_TIMEOUT_S)
        view.loading = True
        try:
            await self._wait_until_idle(view)
            await self._send_order(view, pool)
        finally:
            view.loading = False
            self._client.finish(Finish(permit.call_id, WEIGHT_STORE, placed.upstream))
            self._scheduler.dispatch()

    async def _wait_until_idle(self, view: UpstreamView) -> None:
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                while view.running:
                    await asyncio.sleep(DRAIN_POLL_S)
        except TimeoutError:
            log.warning(
                "A load of weights interrupts running calls.",
                upstream=view.upstream.name,
            )

    async def _send_order(self, view: UpstreamView, pool: Pool) -> None:
        self._check_authority()
        order = EngineOrder(
            self._fleet.state.epoch, pool.model, pool.adapter, pool.version
        )
        async with asyncio.timeout(self._order_timeout_s):
            await self._upstreams.order(view.upstream.url, order)
        log.info("An engine completed an order.", upstream=view.upstream.name)
