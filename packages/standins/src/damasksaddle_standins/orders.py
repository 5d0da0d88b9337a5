"""Order handling of an engine stand-in, and the weight store that it loads from."""

import asyncio
from dataclasses import dataclass, field

from damasksaddle.exceptions import OrderRefused, UpstreamError
from damasksaddle_node.upstreams import EngineHoldings, EngineOrder


@dataclass(slots=True)
class WeightStore:
    """
    A store of model weights that serves at most `max_loads` loads at a time.

    `refused` counts the refused loads; `peak_loads` is the highest number of concurrent
    loads.
    """

    load_s: float = 5.0
    max_loads: int = 2
    refused: int = 0
    peak_loads: int = 0
    served: list[str] = field(default_factory=list)
    _loading: int = 0

    async def fetch(self, engine: str) -> None:
        """Waits until the weights are loaded; raises `UpstreamError` if refused."""
        if self._loading >= self.max_loads:
            self.refused += 1
            raise UpstreamError(
                "the weight store refused the load: too many concurrent loads",
                sent=True,
            )
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
    Executes orders; `seen` records each order and its result.

    An engine that does not check fencing numbers executes any order.
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
        Executes an order and returns whether it replaced other weights.

        An engine that has received no order serves every model, so its first order
        replaces nothing. Raises `OrderRefused` for an old fencing number and
        `UpstreamError` if the weights cannot be loaded.
        """
        await asyncio.sleep(self.delay_s)
        label = f"{order.model}:{order.adapter}:{order.version}:{order.role}"
        if self.checks_fencing and order.fence < self.holdings.fence:
            self.seen.append((order.fence, label, "refused"))
            raise OrderRefused(f"fencing number {order.fence} is outdated")
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
