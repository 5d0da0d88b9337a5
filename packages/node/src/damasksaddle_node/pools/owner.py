"""The pools that this VM owns: their schedulers, polling and engine orders."""

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
from damasksaddle_node.pools.leaving import LeavingUpstreams
from damasksaddle_node.pools.orders import PoolOrders
from damasksaddle_node.pools.scheduler import PoolScheduler
from damasksaddle_node.pools.views import UpstreamView
from damasksaddle_node.pools.weights import WEIGHT_STORE, pool_names, weight_store_pool
from damasksaddle_node.settings import Timing
from damasksaddle_node.upstreams import Upstreams
from damasksaddle_protocol import Finish, Ok, Place, Placed, Register

log = get_logger("pools")

DISPATCH_PERIOD_S = 1.0
LOAD_PERIOD_S = 1.0
ORDER_PERIOD_S = 0.5
# Every node reads the VM list, so that a new owner of a pool knows its last content
# even if the list cannot be read any more. 390 nodes cause 195 reads/s.
VM_LIST_PERIOD_S = 2.0
# In poll intervals of the fleet log; every VM learns of a new owner within one.
REGISTER_WAIT_POLLS = 2.0


@dataclass(slots=True)
class _Takeover:
    """The takeover of a pool; all expected VMs must register their calls."""

    started_s: float
    expected: set[str]
    registered: set[str] = field(default_factory=set)


class PoolSchedulers:
    """Runs the schedulers of the pools that this VM owns."""

    def __init__(
        self,
        vm_id: str,
        fleet: FleetLog,
        client: PoolClient,
        upstreams: Upstreams,
        vm_list: VmList,
        timing: Timing,
        check_authority: Callable[[], None],
    ) -> None:
        self._vm_id = vm_id
        self._fleet = fleet
        self._client = client
        self._upstreams = upstreams
        self._timing = timing
        self._check_authority = check_authority
        self._owners: dict[str, str | None] = {}
        self._takeovers: dict[str, _Takeover] = {}
        self._owned_since_s: dict[str, float] = {}
        self._order_tasks: dict[str, asyncio.Task[None]] = {}
        self.leaving = LeavingUpstreams(vm_list)
        self.schedulers: dict[str, PoolScheduler] = {}
        fleet.add_listener(self._on_record)

    def register(self, handlers: Handlers) -> None:
        """Registers the handlers for `Place`, `Finish` and `Register`."""
        handlers.add(Place, self.on_place)
        handlers.add(Finish, self.on_finish)
        handlers.add(Register, self.on_register)

    async def _owned_scheduler(self, name: str, sender: Sender) -> PoolScheduler:
        await self._fleet.wait_for(sender.epoch, self._timing.peer_timeout_s)
        return self._scheduler(name)

    def _scheduler(self, name: str) -> PoolScheduler:
        if self._fleet.state.owners.pool(name) != self._vm_id:
            raise NotOwner(f"not the owner of pool {name}")
        pool = self._find_pool(name)
        if pool is None:
            raise UpstreamUnavailable(f"there is no pool {name}")
        scheduler = self.schedulers.get(name)
        if scheduler is None:
            scheduler = PoolScheduler(name, pool, self._failure_domain_of)
            scheduler.paused = name in self._takeovers
            self.schedulers[name] = scheduler
            self._mark_leaving(scheduler)
        return scheduler

    def _failure_domain_of(self, vm_id: str) -> str:
        member = self._fleet.state.members.get(vm_id)
        return member.failure_domain if member else ""

    def _find_pool(self, name: str) -> Pool | None:
        if name == WEIGHT_STORE:
            return weight_store_pool(self._fleet.state)
        service, _, pool = name.partition("/")
        document = self._fleet.state.document(service)
        return document.pools.get(pool) if document else None

    def _workspace_weight(self, workspace: str) -> float:
        limits = self._fleet.state.workspace(workspace)
        return limits.weight if limits else 1.0

    async def on_place(self, message: Place, sender: Sender) -> Placed:
        """Queues a call and returns its upstream; raises `Refusal`."""
        message.vm_id = sender.vm_id
        scheduler = await self._owned_scheduler(message.pool, sender)
        return await scheduler.place(message, self._workspace_weight(message.workspace))

    async def on_finish(self, message: Finish, sender: Sender) -> Ok:
        """Records the end of a placed call; raises `NotOwner`."""
        scheduler = await self._owned_scheduler(message.pool, sender)
        scheduler.finish(message, self._workspace_weight)
        return Ok()

    async def on_register(self, message: Register, sender: Sender) -> Ok:
        """Adds the calls that the former owner placed for the sender."""
        scheduler = self._scheduler(message.pool)
        scheduler.register_calls(sender.vm_id, message.calls)
        takeover = self._takeovers.get(message.pool)
        if takeover is not None:
            takeover.registered.add(sender.vm_id)
            self._finish_takeover_if_ready(message.pool)
        return Ok()

    # Changes of the roster and documents.

    def _on_record(self, record: FleetRecord) -> None:
        self._update_owners(record.kind == "document_applied")
        for name, scheduler in list(self.schedulers.items()):
            pool = self._find_pool(name)
            if self._fleet.state.owners.pool(name) != self._vm_id or pool is None:
                scheduler.fail_queued(NotOwner(f"not the owner of pool {name}"))
                del self.schedulers[name]
                continue
            scheduler.view.update(pool)
            self._mark_leaving(scheduler)
            if record.kind in ("vm_left", "vm_removed"):
                scheduler.remove_vm(record.vm_id)
            scheduler.dispatch()

    def _update_owners(self, document_changed: bool) -> None:
        """Tracks the owners of pools and starts takeovers."""
        state = self._fleet.state
        now_s = asyncio.get_running_loop().time()
        for pool in pool_names(state):
            owner, former = state.owners.pool(pool), self._owners.get(pool)
            self._owners[pool] = owner
            if owner == former:
                continue
            if owner != self._vm_id:
                self._takeovers.pop(pool, None)
                self._owned_since_s.pop(pool, None)
                continue
            # A newly declared pool has no former owner with orders in flight.
            newly_declared = document_changed and former is None
            self._owned_since_s[pool] = float("-inf") if newly_declared else now_s
            if former is not None:
                self._takeovers[pool] = _Takeover(now_s, set(state.members))
        for pool in list(self._takeovers):
            self._finish_takeover_if_ready(pool)

    def _finish_takeover_if_ready(self, pool: str) -> None:
        """Resumes placement once all members have registered or after a timeout."""
        takeover = self._takeovers[pool]
        takeover.expected &= set(self._fleet.state.members)
        now_s = asyncio.get_running_loop().time()
        waited_s = now_s - takeover.started_s
        timed_out = waited_s >= REGISTER_WAIT_POLLS * self._timing.poll_s
        if timed_out or takeover.expected <= takeover.registered:
            del self._takeovers[pool]
            scheduler = self.schedulers.get(pool)
            if scheduler is not None:
                scheduler.paused = False
                scheduler.dispatch()

    # Background loops.

    async def dispatch_periodically(self) -> None:
        """Detects slow upstreams, and retries placement when suspensions end."""
        while True:
            await asyncio.sleep(DISPATCH_PERIOD_S)
            now_s = asyncio.get_running_loop().time()
            for pool in list(self._takeovers):
                self._finish_takeover_if_ready(pool)
            for scheduler in list(self.schedulers.values()):
                scheduler.view.drain_overdue(now_s)
                scheduler.dispatch()

    async def poll_vm_list(self) -> None:
        """Polls the platform's VM list for leaving upstreams."""
        while True:
            try:
                async with asyncio.timeout(VM_LIST_PERIOD_S):
                    await self.leaving.read()
            except (PlatformError, TimeoutError) as error:
                # The last VM list that was read remains valid.
                log.debug("The VM list could not be read.", reason=error)
            for scheduler in self.schedulers.values():
                self._mark_leaving(scheduler)
            await asyncio.sleep(VM_LIST_PERIOD_S)

    def _mark_leaving(self, scheduler: PoolScheduler) -> None:
        for view in scheduler.view.upstreams.values():
            view.listed_leaving = self.leaving.includes(view.upstream)

    async def poll_engine_load(self) -> None:
        """Polls the load reports and cache events of engines."""
        while True:
            await asyncio.sleep(LOAD_PERIOD_S)
            for name in self._owned_pools():
                self._scheduler(name)
            await asyncio.gather(
                *(
                    self._poll_engine(scheduler, view)
                    for scheduler in list(self.schedulers.values())
                    if scheduler.view.pool.kind is RouteKind.MODEL
                    for view in list(scheduler.view.upstreams.values())
                )
            )

    async def run_orders(self) -> None:
        """Runs a task for each owned pool that sends orders to its engines."""
        try:
            while True:
                self._update_order_tasks()
                await asyncio.sleep(ORDER_PERIOD_S)
        finally:
            for task in self._order_tasks.values():
                task.cancel()

    def _update_order_tasks(self) -> None:
        for name, task in list(self._order_tasks.items()):
            if task.done() or name not in self.schedulers:
                task.cancel()
                del self._order_tasks[name]
        for name in self._owned_pools():
            pool = self._find_pool(name)
            needs_orders = (
                pool is not None and pool.kind is RouteKind.MODEL and pool.model
            )
            if needs_orders and name not in self._order_tasks:
                coroutine = self._run_pool_orders(self._scheduler(name))
                self._order_tasks[name] = asyncio.create_task(coroutine)

    async def _run_pool_orders(self, scheduler: PoolScheduler) -> None:
        orders = PoolOrders(
            scheduler,
            self._fleet,
            self._client,
            self._upstreams,
            self._check_authority,
            self._owned_since_s.get(scheduler.name, float("-inf")),
            self._timing.order_timeout_s,
        )
        while self.schedulers.get(scheduler.name) is scheduler:
            await orders.check_upstreams()
            await asyncio.sleep(ORDER_PERIOD_S)

    def _owned_pools(self) -> list[str]:
        return [
            pool
            for pool, owner in self._owners.items()
            if owner == self._vm_id and self._find_pool(pool) is not None
        ]

    async def _poll_engine(self, scheduler: PoolScheduler, view: UpstreamView) -> None:
        url = view.upstream.url
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(LOAD_PERIOD_S):
                events = await self._upstreams.cache_events(url, view.last_event_number)
                view.apply_cache_events(events, loop.time())
                needs_sessions = view.needs_sessions
                report = await self._upstreams.load(url, needs_sessions)
            view.apply_load_report(report, needs_sessions, loop.time())
            scheduler.dispatch()
        except UpstreamError as error:
            log.debug("A load report could not be read.", upstream=url, reason=error)
            if not error.sent:
                view.record_failure(loop.time())
        except TimeoutError:
            log.debug("A load report timed out.", upstream=url)
