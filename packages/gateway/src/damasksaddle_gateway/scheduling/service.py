"""
Runs the schedulers of services on this VM, for the requests of all VMs.

The scheduler of a service runs on the first of the larger live VMs in the rendezvous
order of the service's name. Its state is soft: a VM that takes its place counts what
the VMs register. It grants the share of the slots that corresponds to the share of the
VMs that it has heard from, because the others may use the rest, but at least half.

VMs that cannot reach the scheduler ask the next VM in the order, so two schedulers may
act at once. The next VM, too, grants the share that corresponds to the VMs that ask it.
The shares of the rate of cold upstreams are fixed and add up to 1.
"""

import asyncio
import math
import random
from dataclasses import dataclass, field, replace

from mode import Service

from damasksaddle.utils import (
    Counter,
    Gauge,
    boottime_s,
    count,
    get_logger,
    rendezvous,
    set_gauge,
)
from damasksaddle_gateway.background import background_task
from damasksaddle_gateway.config_watcher import ConfigWatcher
from damasksaddle_gateway.eligibility import available_upstreams
from damasksaddle_gateway.membership import Membership
from damasksaddle_gateway.routing_config import Service as UpstreamService
from damasksaddle_gateway.routing_config import Upstream
from damasksaddle_gateway.scheduling.requests import (
    Granted,
    Lease,
    Outcome,
    OutcomeKind,
    PlaceRequest,
    Rejected,
)
from damasksaddle_gateway.scheduling.scheduler import (
    ServiceScheduler,
)
from damasksaddle_gateway.scheduling.wire import (
    list_digest,
    pack_explanation,
    to_request,
    to_response,
    unpack_connected,
    unpack_outcomes,
)
from damasksaddle_gateway.settings import GatewaySettings
from damasksaddle_node.peers import Handlers, Sender
from damasksaddle_protocol import (
    ExplainPlace,
    Ok,
    PlaceExplained,
    PlaceGranted,
    PlacesRegistered,
    RegisterPlaces,
    ReleasePlace,
    RequestPlace,
)

log = get_logger("scheduler")

# Longest time for which a request is held in one exchange.
MAX_HOLD_S = 0.4
# A grant may be used for this time after it was asked for.
GRANT_VALID_S = 0.5
# A waiting request is withdrawn if it is not asked for again within this time. It takes
# its VM a round trip, and longer if the VM is short of processor time.
REASK_TIMEOUT_S = 0.6
# A new scheduler grants at least this share of the slots, and all of them after this
# time, in which most requests of an earlier scheduler end.
NEW_SHARE = 0.5
LEARNING_S = 2.0
# Smallest share of the slots that a VM may grant, by its place in the order of the
# service. Two VMs act at once while a link is cut or VMs disagree on which VMs are
# live.
SLOT_SHARES = (1.0, 0.5, 0.25)
# Likewise for the rate of cold upstreams, which no number of schedulers may exceed
# together. The rest is left to VMs that decide locally.
COLD_SHARES = (0.7, 0.2, 0.05)
LOCAL_COLD_SHARE = 0.05
# VMs agree on which VMs are live within about this time. A VM that became the first in
# the order keeps its smaller share of cold rates until then, because the earlier one
# may still grant.
AGREEMENT_S = 2.5
# A process that was started again does not know which starts at cold upstreams it
# granted: they count for 1 s, from up to `GRANT_VALID_S` after the grant.
RESTART_HOLD_S = 1.5
# A VM that sent nothing for this time and is not live any more is lost.
SILENT_S = 2.0
# Interval of the work that does not follow a message.
TICK_S = 0.25
# The list of upstreams is compared this often; what an upstream says in a response
# changes it without notice.
REFRESH_S = 0.05
# Interval of the gauges, whose windows take a comparison of all upstreams.
RECORD_S = 1.0
# A VM that is not the first in the order forgets a service of which it has heard
# nothing for this time.
UNUSED_S = 30.0
# A change of a window by this factor is logged.
LOGGED_WINDOW_FACTOR = 2.0

Decision = Granted | Rejected


@dataclass(slots=True)
class _Unclaimed:
    """A decision on a request that is not held at the moment."""

    decision: Decision
    decided_s: float


@dataclass(slots=True)
class _Running:
    """
    The scheduler of one service, with what this VM keeps for it.

    Requests and leases are known by a key of the VM and the id that it sent.
    `rank` is this VM's place in the order, and `ranked_s` since when.
    """

    scheduler: ServiceScheduler
    generation: int
    started_s: float
    rank: int
    ranked_s: float
    heard: set[str] = field(default_factory=set)
    # When each VM last sent a message.
    last_heard_s: dict[str, float] = field(default_factory=dict)
    # Waiting requests, and since when they are not held; infinity while they are.
    waiting: dict[str, float] = field(default_factory=dict)
    holds: dict[str, asyncio.Future[Decision]] = field(default_factory=dict)
    unclaimed: dict[str, _Unclaimed] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    refreshed_s: float = -math.inf
    # The shares and settings that the scheduler applies.
    shares: tuple[float, float, GatewaySettings] | None = None
    upstreams: list[Upstream] = field(default_factory=list)
    listed_ids: list[str] = field(default_factory=list)
    digest: bytes = b""
    timer: asyncio.TimerHandle | None = None
    windows: dict[str, int] = field(default_factory=dict)
    recorded_s: float = -math.inf


class SchedulerService(Service):
    """Answers requests of all VMs for slots of the services that this VM schedules."""

    def __init__(
        self,
        config_watcher: ConfigWatcher,
        membership: Membership,
        settings: GatewaySettings,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.vm = settings.vm
        self._config_watcher = config_watcher
        self._membership = membership
        self._running: dict[str, _Running] = {}
        # Set while this VM schedules a service; most VMs schedule none.
        self._schedules = asyncio.Event()
        # When this process started.
        self._started_s = math.inf

    async def on_start(self) -> None:
        self._started_s = boottime_s()

    def register_handlers(self, handlers: Handlers) -> None:
        """Registers the handlers for requests of other VMs."""
        handlers.add(RequestPlace, self._on_request)
        handlers.add(ReleasePlace, self._on_release)
        handlers.add(RegisterPlaces, self._on_register)
        handlers.add(ExplainPlace, self._on_explain)

    async def _on_request(self, message: RequestPlace, sender: Sender) -> PlaceGranted:
        return await self.request(message, sender.vm_id)

    async def _on_release(self, message: ReleasePlace, sender: Sender) -> Ok:
        self.release(message, sender.vm_id)
        return Ok()

    async def _on_register(
        self, message: RegisterPlaces, sender: Sender
    ) -> PlacesRegistered:
        return self.register(message, sender.vm_id)

    async def _on_explain(
        self, message: ExplainPlace, sender: Sender
    ) -> PlaceExplained:
        return self.explain(message, sender.vm_id)

    def explain(self, message: ExplainPlace, vm: str) -> PlaceExplained:
        """
        Returns what would be decided on a request of a VM, and why.

        Starts no scheduler, and does not count as a message of a VM that uses it.
        """
        running = self._running.get(message.service)
        if running is None:
            return PlaceExplained(0, self._rank(message.service))
        connected = unpack_connected(
            message.connected, running.listed_ids, running.digest
        )
        domain = self._membership.failure_domain(vm)
        if not domain and vm == self.vm:
            domain = self.settings.failure_domain
        request = to_request(message, f"{vm}/", vm, domain, connected)
        now_s = boottime_s()
        return pack_explanation(
            running.generation,
            running.rank,
            running.scheduler.outlook(request, now_s),
            running.scheduler.explain(request, now_s),
        )

    async def request(self, message: RequestPlace, vm: str) -> PlaceGranted:
        """Decides on a request of a VM, and holds it for a time if it has to wait."""
        running = self._find(message.service)
        running.last_heard_s[vm] = boottime_s()
        key = f"{vm}/{message.id}"
        unclaimed = running.unclaimed.pop(key, None)
        decision = unclaimed.decision if unclaimed else None
        if decision is None and key not in running.waiting:
            decision = self._submit(running, message, key, vm)
        if decision is None:
            hold_s = min(MAX_HOLD_S, message.hold_ms / 1000)
            decision = await self._hold(running, key, hold_s)
        return to_response(decision, running.generation)

    def _submit(
        self, running: _Running, message: RequestPlace, key: str, vm: str
    ) -> Decision | None:
        connected = unpack_connected(
            message.connected, running.listed_ids, running.digest
        )
        failure_domain = self._membership.failure_domain(vm)
        request = to_request(message, key, vm, failure_domain, connected)
        decision = running.scheduler.submit(request, boottime_s())
        match decision:
            case Granted(lease=lease):
                running.leases[key] = lease
            case None:
                running.waiting[key] = math.inf
            case Rejected():
                pass
        self._advance(running)
        if decision is None:
            unclaimed = running.unclaimed.pop(key, None)
            decision = unclaimed.decision if unclaimed else None
        return decision

    async def _hold(
        self, running: _Running, key: str, hold_s: float
    ) -> Decision | None:
        """Waits for a decision; returns None if there is none in this time."""
        future: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        running.holds[key] = future
        running.waiting[key] = math.inf
        try:
            await asyncio.wait((future,), timeout=hold_s)
        except asyncio.CancelledError:
            # The caller left, or its VM gave up.
            if running.holds.get(key) is future:
                self._withdraw(running, key)
                self._advance(running)
            raise
        finally:
            if running.holds.get(key) is future:
                del running.holds[key]
        if future.done():
            return future.result()
        if key in running.waiting and key not in running.holds:
            running.waiting[key] = boottime_s()
        return None

    def release(self, message: ReleasePlace, vm: str) -> None:
        """Ends leases of a VM, and withdraws requests that still wait."""
        running = self._running.get(message.service)
        if running is None:
            return
        running.last_heard_s[vm] = now_s = boottime_s()
        for place_id, outcome in unpack_outcomes(message):
            key = f"{vm}/{place_id}"
            lease = running.leases.pop(key, None)
            if lease is not None:
                running.scheduler.finish(lease, outcome, now_s)
            running.unclaimed.pop(key, None)
            if running.waiting.pop(key, None) is not None:
                running.scheduler.cancel(key)
        self._advance(running)

    def register(self, message: RegisterPlaces, vm: str) -> PlacesRegistered:
        """Replaces the leases of a VM by those that it reports."""
        running = self._find(message.service)
        running.last_heard_s[vm] = now_s = boottime_s()
        running.heard.add(vm)
        leases = []
        for index, place_id in enumerate(message.ids):
            key = f"{vm}/{place_id}"
            lease = running.leases.get(key) or self._lease(message, index, key, vm)
            running.leases[key] = lease
            leases.append(lease)
        running.scheduler.register(vm, leases, now_s)
        if message.ids:
            log.info(
                "A VM registered its requests.",
                vm=vm,
                service=message.service,
                requests=len(message.ids),
                generation=running.generation,
            )
        self._refresh(running, message.service, force=True)
        self._advance(running)
        return PlacesRegistered(running.generation)

    def _lease(self, message: RegisterPlaces, index: int, key: str, vm: str) -> Lease:
        name = message.upstreams[index]
        listed = self._config_watcher.upstreams.get(name)
        address = listed.address if listed is not None else ""
        return Lease(
            id=key,
            vm=vm,
            workspace=message.workspaces[index],
            incarnation=(name, address, message.started_at_ms[index]),
            prompt_tokens=message.prompt_tokens[index],
            max_output_tokens=message.max_output_tokens[index],
            body_bytes=message.body_bytes[index],
            time_left_s=message.time_left_ms[index] / 1000,
        )

    def _withdraw(self, running: _Running, key: str) -> None:
        """Removes a request, whether it waits or was granted a moment ago."""
        if running.waiting.pop(key, None) is not None:
            running.scheduler.cancel(key)
        running.unclaimed.pop(key, None)
        lease = running.leases.pop(key, None)
        if lease is not None:
            abandoned = Outcome(OutcomeKind.ABANDONED)
            running.scheduler.finish(lease, abandoned, boottime_s())

    def _find(self, service: str) -> _Running:
        """Returns the scheduler of a service, which starts with its first message."""
        running = self._running.get(service)
        if running is None:
            now_s = boottime_s()
            rank = self._rank(service)
            config = self._config_watcher.config
            known = config.services.get(service) if config is not None else None
            running = _Running(
                ServiceScheduler(known or UpstreamService(service, 0)),
                random.getrandbits(32) or 1,
                now_s,
                rank,
                now_s,
            )
            self._running[service] = running
            self._schedules.set()
            process_started_s = min(self._started_s, now_s)
            running.scheduler.hold_starts(process_started_s + RESTART_HOLD_S)
            log.info(
                "Started to schedule a service.",
                service=service,
                generation=running.generation,
                rank=rank,
            )
        self._refresh(running, service)
        return running

    def _rank(self, service: str) -> int:
        order = rendezvous(service, self._membership.large_vms())
        return order.index(self.vm) if self.vm in order else len(order)

    def _refresh(self, running: _Running, service: str, force: bool = False) -> None:
        """Applies the list of upstreams, the configuration and the order of VMs."""
        now_s = boottime_s()
        if not force and now_s - running.refreshed_s < REFRESH_S:
            return
        running.refreshed_s = now_s
        config = self._config_watcher.config
        known = config.services.get(service) if config is not None else None
        scheduler = running.scheduler
        if known is not None and scheduler.service != known:
            scheduler.set_service(known)
            running.shares = None
        upstreams = available_upstreams(self._config_watcher, service)
        if known is None:
            upstreams = []
        if upstreams != running.upstreams or force:
            running.upstreams = upstreams
            scheduler.set_upstreams(upstreams, now_s)
        ids = listed_ids(self._config_watcher.upstreams, service)
        if ids != running.listed_ids:
            running.listed_ids = ids
            running.digest = list_digest(ids)
        rank = self._rank(service)
        if rank != running.rank:
            log.info(
                "The order of a service's schedulers changed.",
                service=service,
                rank=rank,
                before=running.rank,
            )
            running.rank, running.ranked_s = rank, now_s
        self._apply_shares(running, now_s)

    def _apply_shares(self, running: _Running, now_s: float) -> None:
        slot_share = _by_rank(SLOT_SHARES, running.rank)
        if now_s - running.started_s < LEARNING_S:
            slot_share = min(slot_share, NEW_SHARE)
        slot_share = max(slot_share, self._heard_share(running, now_s))
        cold_rank = running.rank
        if now_s - max(running.started_s, running.ranked_s) < AGREEMENT_S:
            cold_rank = max(1, cold_rank)
        cold_share = _by_rank(COLD_SHARES, cold_rank)
        if running.shares == (slot_share, cold_share, self.settings):
            return
        running.shares = slot_share, cold_share, self.settings
        scheduler = running.scheduler
        per_s = scheduler.service.cold_per_s
        settings = self.settings
        limit = (per_s * settings.cold_overrun + settings.cold_slack) * cold_share
        # Reduces what an upstream gets that is known to be cold to the same limit.
        reduction = 1 - min(1.0, limit / per_s) if 0 < limit < per_s else 0.0
        scheduler.set_settings(
            replace(
                scheduler.settings,
                cold_overrun=0.0,
                cold_slack=limit,
                local_share=reduction,
            )
        )
        # That reduction does not apply to slots.
        scheduler.set_grant_share(slot_share / (1 - reduction))

    def _heard_share(self, running: _Running, now_s: float) -> float:
        """
        Returns the share of the larger VMs that use this scheduler now.

        Callers send requests to the larger VMs only. An earlier VM in the order that
        asks nobody else does not count.
        """
        others = [vm for vm in self._membership.large_vms() if vm != self.vm]
        heard = sum(
            vm in running.heard
            and now_s - running.last_heard_s.get(vm, -math.inf) < SILENT_S
            for vm in others
        )
        expected = max(1, len(others) - running.rank)
        return min(1.0, heard / expected)

    def _advance(self, running: _Running) -> None:
        """Passes decisions to the requests that wait, and sets the next timer."""
        now_s = boottime_s()
        for request, decision in running.scheduler.advance(now_s):
            self._deliver(running, request, decision, now_s)
        if running.timer is not None:
            running.timer.cancel()
            running.timer = None
        wait_s = running.scheduler.next_event_s() - now_s
        if running.waiting and wait_s < TICK_S:
            # A scheduler that names the same moment again must not occupy the loop.
            running.timer = asyncio.get_running_loop().call_later(
                max(0.001, wait_s), self._advance, running
            )

    @staticmethod
    def _deliver(
        running: _Running, request: PlaceRequest, decision: Decision, now_s: float
    ) -> None:
        key = request.id
        running.waiting.pop(key, None)
        if isinstance(decision, Granted):
            running.leases[key] = decision.lease
        future = running.holds.get(key)
        if future is not None and not future.done():
            future.set_result(decision)
        else:
            running.unclaimed[key] = _Unclaimed(decision, now_s)

    @background_task
    async def _tick(self) -> None:
        while not self.should_stop:
            await self._schedules.wait()
            await self.sleep(TICK_S)
            now_s = boottime_s()
            for service, running in list(self._running.items()):
                self._refresh(running, service)
                self._withdraw_forgotten(running)
                self._remove_lost_vms(running)
                self._advance(running)
                self._remove_expired(running)
                if now_s - running.recorded_s >= RECORD_S:
                    running.recorded_s = now_s
                    self._record(running, service)
                if self._is_unused(running, now_s):
                    self._stop_scheduling(running, service)

    @staticmethod
    def _is_unused(running: _Running, now_s: float) -> bool:
        """Tells whether another VM schedules the service, and all use that one."""
        last_heard_s = max(running.last_heard_s.values(), default=running.started_s)
        return (
            running.rank > 0
            and now_s - last_heard_s > UNUSED_S
            and not running.leases
            and not running.waiting
        )

    def _stop_scheduling(self, running: _Running, service: str) -> None:
        if running.timer is not None:
            running.timer.cancel()
        del self._running[service]
        if not self._running:
            self._schedules.clear()
        for gauge in (Gauge.WAITING_REQUESTS, Gauge.LEASES, Gauge.WINDOWS):
            set_gauge(gauge, 0, service)
        log.info("Stopped scheduling a service.", service=service)

    def _withdraw_forgotten(self, running: _Running) -> None:
        """Withdraws what the VMs no longer ask for, and grants that none took."""
        now_s = boottime_s()
        for key, since_s in list(running.waiting.items()):
            if now_s - since_s > REASK_TIMEOUT_S:
                self._withdraw(running, key)
        for key, unclaimed in list(running.unclaimed.items()):
            if now_s - unclaimed.decided_s > GRANT_VALID_S:
                self._withdraw(running, key)

    def _remove_lost_vms(self, running: _Running) -> None:
        now_s = boottime_s()
        for vm, heard_s in list(running.last_heard_s.items()):
            if now_s - heard_s < SILENT_S or self._membership.is_present(vm):
                continue
            del running.last_heard_s[vm]
            running.heard.discard(vm)
            running.scheduler.remove_vm(vm, now_s)
            lost = [key for key, lease in running.leases.items() if lease.vm == vm]
            for key in lost:
                del running.leases[key]
            if lost:
                count(Counter.EXPIRED_LEASES, "lost", len(lost))
                log.info("Reclaimed the slots of a lost VM.", vm=vm, requests=len(lost))

    @staticmethod
    def _remove_expired(running: _Running) -> None:
        active = {lease.id for lease in running.scheduler.leases()}
        for key, lease in list(running.leases.items()):
            if lease.id not in active:
                del running.leases[key]
                count(Counter.EXPIRED_LEASES, "expired")
                log.info(
                    "A lease ended without an outcome.",
                    request=request_id_of(key),
                    vm=lease.vm,
                    upstream=lease.incarnation[0],
                )

    def _record(self, running: _Running, service: str) -> None:
        """Sets the gauges of a service, and logs windows that changed much."""
        set_gauge(Gauge.WAITING_REQUESTS, running.scheduler.waiting(), service)
        set_gauge(Gauge.LEASES, len(running.leases), service)
        observer = PlaceRequest("", self.vm, self.settings.failure_domain, "")
        windows = {
            candidate.upstream.id: candidate.window
            for candidate in running.scheduler.explain(observer, boottime_s())
        }
        set_gauge(Gauge.WINDOWS, sum(windows.values()), service)
        for name, window in windows.items():
            logged = running.windows.get(name, window)
            low, high = sorted((max(1, logged), max(1, window)))
            if high >= low * LOGGED_WINDOW_FACTOR:
                log.info(
                    "The window of an upstream changed.",
                    upstream=name,
                    before=logged,
                    window=window,
                )
                logged = window
            running.windows[name] = logged

    async def on_stop(self) -> None:
        """Stops the timers."""
        for running in self._running.values():
            if running.timer is not None:
                running.timer.cancel()


def _by_rank(shares: tuple[float, ...], rank: int) -> float:
    return shares[min(rank, len(shares) - 1)]


def listed_ids(upstreams: dict[str, Upstream], service: str) -> list[str]:
    """Returns the sorted ids of all listed upstreams of a service."""
    return sorted(
        upstream.id for upstream in upstreams.values() if upstream.service == service
    )


def request_id_of(key: str) -> str:
    """Returns the request id in the key of a place: `VM/REQUEST.NUMBER`."""
    return key.partition("/")[2].rpartition(".")[0]
