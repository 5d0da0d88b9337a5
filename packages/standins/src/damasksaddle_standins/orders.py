"""Orders to an engine stand-in, and the weight store that loads draw on."""

import asyncio
from dataclasses import dataclass, field

from damasksaddle.exceptions import OrderRefused, UpstreamError
from damasksaddle_node.upstreams import EngineHoldings, EngineOrder


@dataclass(slots=True)
class WeightStore:
    """
    Weights of models; it serves `max_loads` at a time and refuses more.

    `refused` counts the loads that came above the rate.
    """

    load_s: float = 5.0
    max_loads: int = 2
    refused: int = 0
    peak_loads: int = 0
    served: list[str] = field(default_factory=list)
    _loading: int = 0

    async def fetch(self, engine: str) -> None:
        """Returns once the weights have arrived; raises `UpstreamError`."""
        if self._loading >= self.max_loads:
            self.refused += 1
            raise UpstreamError("the weight store is above its rate", sent=True)
        self._loading += 1
        self.peak_loads = max(self.peak_loads, self._loading)
        try:
            await asyncio.sleep(self.load_s)
        finally:
            self._loading -= 1
        self.served.append(engine)


@dataclass(slots=True)
class OrderHandler:
    """
    Carries out orders; `seen` records each with whether it took effect.

    An engine that does not check fencing numbers carries out any order.
    """

    engine: str
    checks_fencing: bool
    store: WeightStore | None = None
    delay_s: float = 0.0
    holdings: EngineHoldings = field(default_factory=EngineHoldings)
    loading: bool = False
    seen: list[tuple[int, str, str]] = field(default_factory=list)

    async def order(self, order: EngineOrder) -> bool:
        """
        Returns whether the order replaced other weights; raises `UpstreamError`.

        An engine without any order serves every model, so its first order
        replaces nothing.
        """
        await asyncio.sleep(self.delay_s)
        label = f"{order.model}:{order.adapter}:{order.version}:{order.role}"
        if self.checks_fencing and order.fence < self.holdings.fence:
            self.seen.append((order.fence, label, "refused"))
            raise OrderRefused(f"fencing number {order.fence} is old")
        previous = self.holdings
        new_holdings = EngineHoldings(
            order.model, order.adapter, order.version, order.role, order.fence
        )
        new_weights = (order.model, order.adapter, order.version)
        weights_changed = new_weights != (
            previous.model,
            previous.adapter,
            previous.version,
        )
        if weights_changed and self.store is not None:
            self.loading = True
            try:
                await self.store.fetch(self.engine)
            except UpstreamError:
                self.seen.append((order.fence, label, "not loaded"))
                raise
            finally:
                self.loading = False
        self.holdings = new_holdings
        self.seen.append((order.fence, label, "done"))
        return weights_changed and bool(previous.model)
