"""The pools that this VM owns: their schedulers and what keeps them informed."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from damasksaddle.config import Pool, RouteKind
from damasksaddle.exceptions import (
    NotOwner,
    PlatformError,
    UpstreamError,
    UpstreamUnavailable,
)
from damasksaddle.platform import VmList
from damasksaddle.utils import get_logger
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.fleet.records import FleetRecord
from damasksaddle_node.peers import Handlers, Sender
from damasksaddle_node.pools.client import PoolClient
from damasksaddle_node.pools.engines import UpstreamView
from damasksaddle_node.pools.listing import LeavingList
from damasksaddle_node.pools.orders import PoolOrders
from damasksaddle_node.pools.scheduler import PoolScheduler
from damasksaddle_node.pools.weights import WEIGHTS, pool_names, weights_pool
from damasksaddle_node.settings import Timing
from damasksaddle_node.upstreams import Upstreams
from damasksaddle_protocol import Finish, Ok, Place, Placed, Register

log = get_logger("pools")

TICK_S = 1.0
LOAD_PERIOD_S = 1.0
ORDER_PERIOD_S = 0.5
# Every node reads the list, so that a new owner of a pool knows what it showed even
# if it cannot be read any more. 390 nodes make 195 reads/s.
LIST_PERIOD_S = 2.0
# Above the fleet log's poll, within which every VM learns of the new owner.
REGISTER_WAIT_POLLS = 2.0


@dataclass(slots=True)
class _Gained:
    """A pool that this VM took over, and the VMs that have to register calls."""

    since_s: float
    missing: set[str]
    heard: set[str] = field(default_factory=set)


class PoolSchedulers:
    """The schedulers of the pools that this VM owns."""

    def __init__(
        self,
        vm_id: str,
        fleet: FleetLog,
        client: PoolClient,
        upstreams: Upstreams,
        vm_list: VmList,
        timing: Timing,
        guard: Callable[[], None],
    ) -> None:
        self._vm_id = vm_id
        self._fleet = fleet
        self._client = client
        self._upstreams = upstreams
        self._timing = timing
        self._guard = guard
        self._owners: dict[str, str | None] = {}
        self._gained: dict[str, _Gained] = {}
        self._owned_since_s: dict[str, float] = {}
        self._orders: dict[str, asyncio.Task[None]] = {}
        self.leaving = LeavingList(vm_list)
        self.schedulers: dict[str, PoolScheduler] = {}
        fleet.add_listener(self._on_record)

    def register(self, handlers: Handlers) -> None:
        """Registers the handlers of `Place`, `Finish` and `Register`."""
        handlers.add(Place, self.on_place)
        handlers.add(Finish, self.on_finish)
        handlers.add(Register, self.on_register)

    async def _owned(self, name: str, sender: Sender) -> PoolScheduler:
        await self._fleet.wait_for(sender.epoch, self._timing.peer_timeout_s)
        return self._scheduler(name)

    def _scheduler(self, name: str) -> PoolScheduler:
        if self._fleet.state.owners.pool(name) != self._vm_id:
            raise NotOwner(f"not the owner of pool {name}")
        pool = self._pool(name)
        if pool is None:
            raise UpstreamUnavailable(f"there is no pool {name}")
        scheduler = self.schedulers.get(name)
        if scheduler is None:
            scheduler = PoolScheduler(name, pool, self._domain_of)
            scheduler.held = name in self._gained
            self.schedulers[name] = scheduler
            self._mark_leaving(scheduler)
        return scheduler

    def _domain_of(self, vm_id: str) -> str:
        member = self._fleet.state.members.get(vm_id)
        return member.failure_domain if member else ""

    def _pool(self, name: str) -> Pool | None:
        if name == WEIGHTS:
            return weights_pool(self._fleet.state)
        service, _, pool = name.partition("/")
        document = self._fleet.state.document(service)
        return document.pools.get(pool) if document else None

    def _weight(self, workspace: str) -> float:
        limits = self._fleet.state.workspace(workspace)
        return limits.weight if limits else 1.0

    async def on_place(self, message: Place, sender: Sender) -> Placed:
        """Queues a call and returns its upstream; raises `Refusal`."""
        message.vm_id = sender.vm_id
        scheduler = await self._owned(message.pool, sender)
        return await scheduler.place(message, self._weight(message.workspace))

    async def on_finish(self, message: Finish, sender: Sender) -> Ok:
        """Notes the end of a placed call; raises `NotOwner`."""
        scheduler = await self._owned(message.pool, sender)
        scheduler.finish(message, self._weight)
        return Ok()

    async def on_register(self, message: Register, sender: Sender) -> Ok:
        """Takes over the calls that a VM has placed with the former owner."""
        scheduler = self._scheduler(message.pool)
        scheduler.register(sender.vm_id, message.calls)
        gained = self._gained.get(message.pool)
        if gained is not None:
            gained.heard.add(sender.vm_id)
            self._settle_gained(message.pool)
        return Ok()

    # Changes of the roster and of documents.

    def _on_record(self, record: FleetRecord) -> None:
        self._note_owners(record.kind == "document_applied")
        for name, scheduler in list(self.schedulers.items()):
            pool = self._pool(name)
            if self._fleet.state.owners.pool(name) != self._vm_id or pool is None:
                scheduler.fail_all(NotOwner(f"not the owner of pool {name}"))
                del self.schedulers[name]
                continue
            scheduler.view.update(pool)
            self._mark_leaving(scheduler)
            if record.kind in ("vm_left", "vm_removed"):
                scheduler.drop_vm(record.vm_id)
            scheduler.dispatch()

    def _note_owners(self, by_document: bool) -> None:
        """Notes the pools that this VM took over from another one."""
        state = self._fleet.state
        now_s = asyncio.get_running_loop().time()
        for pool in pool_names(state):
            owner, former = state.owners.pool(pool), self._owners.get(pool)
            self._owners[pool] = owner
            if owner == former:
                continue
            if owner != self._vm_id:
                self._gained.pop(pool, None)
                self._owned_since_s.pop(pool, None)
                continue
            # Nobody has given orders for a pool that a document just declared.
            new = by_document and former is None
            self._owned_since_s[pool] = float("-inf") if new else now_s
            if former is not None:
                self._gained[pool] = _Gained(now_s, set(state.members))
        for pool in list(self._gained):
            self._settle_gained(pool)

    def _settle_gained(self, pool: str) -> None:
        """Starts placement once all members have registered, or after a while."""
        gained = self._gained[pool]
        gained.missing &= set(self._fleet.state.members)
        now_s = asyncio.get_running_loop().time()
        waited_s = now_s - gained.since_s
        late = waited_s >= REGISTER_WAIT_POLLS * self._timing.poll_s
        if late or gained.missing <= gained.heard:
            del self._gained[pool]
            scheduler = self.schedulers.get(pool)
            if scheduler is not None:
                scheduler.held = False
                scheduler.dispatch()

    # What runs regularly.

    async def dispatch_periodically(self) -> None:
        """Dispatches regularly, for upstreams that have rested or became slow."""
        while True:
            await asyncio.sleep(TICK_S)
            now_s = asyncio.get_running_loop().time()
            for pool in list(self._gained):
                self._settle_gained(pool)
            for scheduler in list(self.schedulers.values()):
                scheduler.view.judge_running(now_s)
                scheduler.dispatch()

    async def poll_vm_list(self) -> None:
        """Marks the upstreams that the platform's VM list shows as leaving."""
        while True:
            try:
                async with asyncio.timeout(LIST_PERIOD_S):
                    await self.leaving.read()
            except (PlatformError, TimeoutError) as error:
                # What the list showed last stays in force.
                log.debug("The VM list cannot be read.", reason=error)
            for scheduler in self.schedulers.values():
                self._mark_leaving(scheduler)
            await asyncio.sleep(LIST_PERIOD_S)

    def _mark_leaving(self, scheduler: PoolScheduler) -> None:
        for view in scheduler.view.upstreams.values():
            view.listed_leaving = self.leaving.shows(view.upstream)

    async def poll_engine_load(self) -> None:
        """Reads the engines' load reports and cache events."""
        while True:
            await asyncio.sleep(LOAD_PERIOD_S)
            for name in self._own_pools():
                self._scheduler(name)
            await asyncio.gather(
                *(
                    self._read_engine(scheduler, view)
                    for scheduler in list(self.schedulers.values())
                    if scheduler.view.pool.kind is RouteKind.MODEL
                    for view in list(scheduler.view.upstreams.values())
                )
            )

    async def run_orders(self) -> None:
        """Runs one task per owned pool that gives its orders."""
        try:
            while True:
                self._start_orders()
                await asyncio.sleep(ORDER_PERIOD_S)
        finally:
            for task in self._orders.values():
                task.cancel()

    def _start_orders(self) -> None:
        for name, task in list(self._orders.items()):
            if task.done() or name not in self.schedulers:
                task.cancel()
                del self._orders[name]
        for name in self._own_pools():
            pool = self._pool(name)
            wanted = pool is not None and pool.kind is RouteKind.MODEL and pool.model
            if wanted and name not in self._orders:
                work = self._keep_orders(self._scheduler(name))
                self._orders[name] = asyncio.create_task(work)

    async def _keep_orders(self, scheduler: PoolScheduler) -> None:
        orders = PoolOrders(
            scheduler,
            self._fleet,
            self._client,
            self._upstreams,
            self._guard,
            self._owned_since_s.get(scheduler.name, float("-inf")),
            self._timing.order_timeout_s,
        )
        while self.schedulers.get(scheduler.name) is scheduler:
            await orders.round()
            await asyncio.sleep(ORDER_PERIOD_S)

    def _own_pools(self) -> list[str]:
        return [
            pool
            for pool, owner in self._owners.items()
            if owner == self._vm_id and self._pool(pool) is not None
        ]

    async def _read_engine(self, scheduler: PoolScheduler, view: UpstreamView) -> None:
        url = view.upstream.url
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(LOAD_PERIOD_S):
                events = await self._upstreams.cache_events(url, view.event_number)
                view.on_events(events, loop.time())
                wanted = view.sessions_wanted
                report = await self._upstreams.load(url, wanted)
            view.on_load(report, wanted, loop.time())
            scheduler.dispatch()
        except UpstreamError as error:
            log.debug("A load report failed.", upstream=url, reason=error)
            if not error.sent:
                view.fail(loop.time())
        except TimeoutError:
            log.debug("A load report is late.", upstream=url)
