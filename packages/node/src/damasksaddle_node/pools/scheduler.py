"""The scheduler of a pool, at the VM that owns the pool."""

import asyncio
from dataclasses import dataclass, field

from damasksaddle.config import Pool
from damasksaddle.exceptions import NotOwner, UpstreamUnavailable
from damasksaddle.utils import get_log
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.fleet.records import FleetRecord
from damasksaddle_node.peers import Handlers, Sender
from damasksaddle_node.pools.engines import PoolView, Running, UpstreamView
from damasksaddle_node.pools.policy import (
    FairShare,
    Queued,
    choose,
    next_call,
    session_of,
)
from damasksaddle_protocol import Finish, Ok, Place, Placed

log = get_log("pools")

MS = 1000


@dataclass(eq=False, slots=True)
class _Waiter:
    queued: Queued
    done: "asyncio.Future[Placed]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class PoolScheduler:
    """Queues the calls of one pool and places them on its upstreams."""

    def __init__(self, name: str, pool: Pool) -> None:
        self.name = name
        self.view = PoolView(pool)
        self.shares = FairShare()
        self._queue: list[_Waiter] = []
        self._number = 0

    async def place(self, place: Place, weight: float) -> Placed:
        """Returns the upstream for a call, once one has a free slot."""
        if len(self._queue) >= self.view.pool.max_queue:
            raise UpstreamUnavailable("the pool's queue is full", retry_after_s=1.0)
        now_s = asyncio.get_running_loop().time()
        self._number += 1
        waiter = _Waiter(Queued(place, now_s, weight, self._number))
        self._queue.append(waiter)
        self.dispatch()
        try:
            return await waiter.done
        except asyncio.CancelledError:
            if waiter in self._queue:
                self._queue.remove(waiter)
            elif waiter.done.done() and not waiter.done.cancelled():
                self._forget(place.call_id, waiter.done.result().upstream)
            raise

    def dispatch(self) -> None:
        """Places queued calls for as long as one can be placed."""
        now_s = asyncio.get_running_loop().time()
        blocked: list[_Waiter] = []
        while self._queue and self.view.usable(now_s, []):
            calls = [waiter.queued for waiter in self._queue]
            queued = next_call(self.view.pool.policy, calls, self.shares, now_s)
            waiter = next(w for w in self._queue if w.queued is queued)
            self._queue.remove(waiter)
            views = self.view.usable(now_s, queued.place.excluded)
            if not views:
                # All upstreams that are free have failed this call already.
                blocked.append(waiter)
                continue
            self._assign(waiter, views, now_s)
        self._queue.extend(blocked)

    def _assign(self, waiter: _Waiter, views: list[UpstreamView], now_s: float) -> None:
        place = waiter.queued.place
        choice = choose(self.view.pool.policy, place, views, waiter.queued.number)
        choice.view.running[place.call_id] = Running(place, now_s)
        tokens = place.prompt_tokens + place.max_tokens
        self.shares.charge(place.workspace, tokens, waiter.queued.weight)
        waited_ms = int((now_s - waiter.queued.since_s) * MS)
        upstream = choice.view.upstream
        if not waiter.done.done():
            waiter.done.set_result(
                Placed(upstream.name, upstream.url, waited_ms, choice.reason)
            )

    def _forget(self, call_id: str, upstream: str) -> None:
        view = self.view.upstreams.get(upstream)
        if view is not None:
            view.running.pop(call_id, None)
        self.dispatch()

    def finish(self, message: Finish) -> None:
        """Frees the call's slot and learns from how it went."""
        view = self.view.upstreams.get(message.upstream)
        if view is None:
            return
        running = view.running.pop(message.call_id, None)
        now_s = asyncio.get_running_loop().time()
        if message.failed:
            view.fail(now_s)
        elif running is not None:
            self._learn(view, running.place, message)
        self.dispatch()

    def _learn(self, view: UpstreamView, place: Place, message: Finish) -> None:
        output_ms = max(0, message.total_ms - message.first_token_ms)
        token_ms = output_ms / max(1, message.served_tokens)
        view.observe(message.first_token_ms, token_ms)
        session = session_of(place)
        if message.program_ended:
            for other in self.view.upstreams.values():
                other.cached_tokens.pop(session, None)
        else:
            view.cached_tokens[session] = place.prompt_tokens + message.served_tokens

    def drop_vm(self, vm_id: str) -> None:
        """Frees the slots of calls whose owner was removed from the fleet."""
        for view in self.view.upstreams.values():
            for call_id, running in list(view.running.items()):
                if running.place.vm_id == vm_id:
                    del view.running[call_id]
        self.dispatch()

    def fail_all(self, error: Exception) -> None:
        """Fails the queue, because this VM does not own the pool any more."""
        for waiter in self._queue:
            if not waiter.done.done():
                waiter.done.set_exception(error)
        self._queue.clear()

    @property
    def queued(self) -> int:
        """How many calls wait."""
        return len(self._queue)


class PoolSchedulers:
    """The schedulers of the pools that this VM owns."""

    def __init__(self, vm_id: str, fleet: FleetLog) -> None:
        self._vm_id = vm_id
        self._fleet = fleet
        self.schedulers: dict[str, PoolScheduler] = {}
        fleet.listen(self._on_record)

    def register(self, handlers: Handlers) -> None:
        """Registers the handlers of `Place` and `Finish`."""
        handlers.add(Place, self.on_place)
        handlers.add(Finish, self.on_finish)

    def _scheduler(self, name: str) -> PoolScheduler:
        if self._fleet.state.owners.pool(name) != self._vm_id:
            raise NotOwner(f"not the owner of pool {name}")
        pool = self._pool(name)
        if pool is None:
            raise UpstreamUnavailable(f"there is no pool {name}")
        if name not in self.schedulers:
            self.schedulers[name] = PoolScheduler(name, pool)
        return self.schedulers[name]

    def _pool(self, name: str) -> Pool | None:
        service, _, pool = name.partition("/")
        document = self._fleet.state.document(service)
        return document.pools.get(pool) if document else None

    async def on_place(self, message: Place, sender: Sender) -> Placed:
        """Queues a call and returns its upstream; raises `Refusal`."""
        message.vm_id = sender.vm_id
        limits = self._fleet.state.workspace(message.workspace)
        weight = limits.weight if limits else 1.0
        return await self._scheduler(message.pool).place(message, weight)

    async def on_finish(self, message: Finish, sender: Sender) -> Ok:
        """Notes the end of a placed call."""
        scheduler = self.schedulers.get(message.pool)
        if scheduler is not None:
            scheduler.finish(message)
        return Ok()

    def _on_record(self, record: FleetRecord) -> None:
        for name, scheduler in list(self.schedulers.items()):
            pool = self._pool(name)
            if self._fleet.state.owners.pool(name) != self._vm_id or pool is None:
                scheduler.fail_all(NotOwner(f"not the owner of pool {name}"))
                del self.schedulers[name]
                continue
            scheduler.view.update(pool)
            if record.kind in ("vm_left", "vm_removed"):
                scheduler.drop_vm(record.vm_id)
            scheduler.dispatch()

    async def tick(self) -> None:
        """Dispatches regularly, for upstreams that have rested."""
        while True:
            await asyncio.sleep(1.0)
            for scheduler in list(self.schedulers.values()):
                scheduler.dispatch()
