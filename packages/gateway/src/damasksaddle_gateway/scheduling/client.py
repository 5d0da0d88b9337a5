"""
Asks the schedulers of services for slots, for the requests of this VM.

A scheduler that does not respond is passed over for about two seconds, and the next VM
in the order of the service is asked. If none responds, the VM decides locally, within
bounds that hold for all VMs together.
"""

import asyncio
import itertools
import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, field, replace

from mode import Service

from damasksaddle.exceptions import PeerError, Refusal
from damasksaddle.utils import (
    Counter,
    Timing,
    boottime_s,
    count,
    get_logger,
    measure,
    rendezvous,
)
from damasksaddle_gateway.background import background_task
from damasksaddle_gateway.calls import Call
from damasksaddle_gateway.config_watcher import ConfigWatcher
from damasksaddle_gateway.coordinators import PEER_TIMEOUT_S, SUSPECT_PERIOD_S
from damasksaddle_gateway.membership import Membership
from damasksaddle_gateway.peers import Peers
from damasksaddle_gateway.routing_config import Service as UpstreamService
from damasksaddle_gateway.routing_config import Upstream, is_retryable
from damasksaddle_gateway.scheduling.requests import (
    Outcome,
    OutcomeKind,
    RejectReason,
)
from damasksaddle_gateway.scheduling.service import (
    GRANT_VALID_S,
    LOCAL_COLD_SHARE,
    MAX_HOLD_S,
    SchedulerService,
    listed_ids,
)
from damasksaddle_gateway.scheduling.wire import (
    list_digest,
    matching_upstream,
    pack_connected,
    pack_outcomes,
    to_uint32,
)
from damasksaddle_protocol import (
    ExplainPlace,
    PlaceExplained,
    PlaceGranted,
    PlacesRegistered,
    RegisterPlaces,
    RequestPlace,
)

log = get_logger("scheduler")

# The scheduler and the VMs that may take its place.
MAX_CANDIDATES = 3
# A scheduler holds a request for less time in the first exchange, so that one that was
# lost costs `PEER_TIMEOUT_S`. The rest is for the round trip and for delays on its VM.
FIRST_HOLD_S = 0.08
# A scheduler that holds a request has just responded to an exchange.
HOLD_TIMEOUT_S = MAX_HOLD_S + PEER_TIMEOUT_S
RELEASE_TIMEOUT_S = 0.5
# Attempts to report the ends of requests; their leases expire otherwise.
RELEASE_ATTEMPTS = 4
RELEASE_RETRY_S = 0.2
# Most ends of requests in one message, and most that wait to be sent to one scheduler.
MAX_RELEASES = 64
MAX_WAITING_RELEASES = 4096
REGISTER_TIMEOUT_S = 0.5
EXPLAIN_TIMEOUT_S = 0.5
# How often this VM checks whether another VM schedules a service: some times within the
# 2 s in which a new scheduler learns of all VMs. Each check wakes up an idle VM.
WATCH_S = 0.4
# Interval at which a configuration that needs schedulers is noticed.
DISABLED_WATCH_S = 2.0
# Reasons that follow from the list of upstreams alone. A VM asks for a slot only if its
# own list has an upstream for the request, so the scheduler's list is another one.
LIST_REASONS = frozenset(
    (RejectReason.NO_UPSTREAM, RejectReason.EXCLUDED, RejectReason.VERSION)
)
# If no scheduler lists an upstream for a request, none is asked again for this time by
# requests that wait to be sent without one. They check every 30 ms.
UNABLE_PERIOD_S = 0.3
# A scheduler is not asked for an upstream again for this time after it granted one that
# this VM does not list. Such an upstream has nothing in flight, and would be granted to
# each request.
UNLISTED_PERIOD_S = 1.0
# A lease outlives the deadline of its request by this time.
LEASE_MARGIN_S = 1.0


@dataclass(slots=True, eq=False)
class Place:
    """
    A slot at an upstream, for one attempt of a request.

    `scheduler` is the VM that counts it, or None if this VM decided locally.
    """

    id: str
    service: str
    upstream: Upstream
    scheduler: str | None
    workspace: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    body_bytes: int = 0
    deadline_s: float = 0.0


@dataclass(frozen=True, slots=True)
class NoPlace:
    """The scheduler rejected the request."""

    retry_after_s: float
    reason: str


@dataclass(slots=True)
class SchedulerReply:
    """
    What the schedulers of a service said about a request.

    `vm` is the first one that responded, with its `message`; it is empty if none did.
    `errors` holds why the ones before it in the order did not, by VM.
    """

    vm: str = ""
    message: PlaceExplained | None = None
    errors: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class _Outbox:
    """Ends of requests that are to be reported to one scheduler, oldest first."""

    entries: deque[tuple[str, Outcome]] = field(default_factory=deque)
    task: asyncio.Task[None] | None = None


@dataclass(frozen=True, slots=True)
class _Answer:
    """The response of a scheduler, and when it was asked."""

    vm: str
    message: PlaceGranted
    asked_s: float


@dataclass(slots=True)
class _Asked:
    """The scheduler at which a request may wait; empty if there is none."""

    vm: str = ""


@dataclass(frozen=True, slots=True)
class _List:
    """The upstreams of a service, derived from the list of all upstreams."""

    listed: dict[str, Upstream]
    upstreams: list[Upstream]
    ids: list[str]
    digest: bytes


@dataclass(slots=True)
class _Unlisted:
    """
    The upstreams that a scheduler grants although this VM's list lacks them.

    They are excluded until the times in `until_s`, or until this VM's list changes.
    """

    listed: dict[str, Upstream]
    until_s: dict[str, float] = field(default_factory=dict)


class LocalColdRates:
    """
    Spaces the requests that this VM sends without a scheduler to upstreams that may be
    cold.

    All VMs together send an upstream `LOCAL_COLD_SHARE` of what it takes in a second.
    The first request may be sent after a random part of the interval, because all VMs
    begin at the same time.
    """

    def __init__(self) -> None:
        self._next_s: dict[tuple[str, str, int], float] = {}
        self._random = random.Random()

    def allows(self, upstream: Upstream, interval_s: float) -> bool:
        """Tells whether a request may be sent now."""
        now_s = boottime_s()
        first_s = now_s + self._random.uniform(0, interval_s)
        return self._next_s.setdefault(upstream.incarnation, first_s) <= now_s

    def record(self, upstream: Upstream, interval_s: float) -> None:
        """Records that a request is sent now."""
        self._next_s[upstream.incarnation] = boottime_s() + interval_s


class SchedulingClient(Service):
    """Asks for slots, gives them back, and registers those in use."""

    def __init__(
        self,
        config_watcher: ConfigWatcher,
        membership: Membership,
        peers: Peers,
        service: SchedulerService,
        connected: Callable[[Iterable[Upstream]], frozenset[str]],
    ) -> None:
        super().__init__()
        self._vm = service.vm
        self._config_watcher = config_watcher
        self._membership = membership
        self._peers = peers
        self._service = service
        self._connected = connected
        # Starts at a random number, so that an id from before a restart of this VM is
        # not taken for another request.
        self._ids = itertools.count(random.getrandbits(24))
        self._places: dict[str, Place] = {}
        self._lists: dict[str, _List] = {}
        # By the scheduler's VM and service.
        self._unlisted: dict[tuple[str, str], _Unlisted] = {}
        # By service, until when its schedulers are taken to list no upstream.
        self._unable_until_s: dict[str, float] = {}
        self._suspect_until_s: dict[str, float] = {}
        # When each scheduler last responded.
        self._heard_s: dict[str, float] = {}
        # The VMs in the order of each service, and the VMs that they were chosen from.
        self._orders: dict[str, tuple[list[str], list[str]]] = {}
        self._outboxes: dict[tuple[str, str], _Outbox] = {}
        # The scheduler process with which this VM is registered, by service.
        self._registered: dict[str, tuple[str, int]] = {}
        self._registrations: dict[str, asyncio.Task[None]] = {}
        self._cold_rates = LocalColdRates()

    @property
    def enabled(self) -> bool:
        """Tells whether the configuration in force uses schedulers."""
        config = self._config_watcher.config
        return config is not None and config.uses_fleet_scheduling

    # Requests

    async def acquire(
        self, call: Call, version: str | None, excluded: Iterable[str]
    ) -> Place | NoPlace | None:
        """
        Returns a slot at an upstream, or the scheduler's rejection.

        Returns None if no scheduler responds, or none of them lists an upstream for the
        request. A request that is cancelled while it waits is withdrawn.
        """
        started_s = boottime_s()
        excluded = set(excluded)
        message = self._message(call, version)
        # The VM that may still decide on the request.
        asked = _Asked()
        # VMs whose lists have no upstream for the request.
        unable: set[str] = set()
        try:
            while True:
                answer = await self._ask(call, message, excluded, asked, unable)
                if answer is None:
                    if unable:
                        until_s = boottime_s() + UNABLE_PERIOD_S
                        self._unable_until_s[message.service] = until_s
                    return None
                response = answer.message
                if response.upstream:
                    asked.vm = ""
                    place = self._accept(call, message.id, answer)
                    if place is not None:
                        wait_ms = (boottime_s() - started_s) * 1000
                        measure(Timing.SCHEDULER_WAIT, wait_ms)
                        return place
                    if self._matching(response) is None:
                        # One of the lists is older; the scheduler would name it again.
                        self._record_unlisted(answer.vm, message.service, response)
                elif response.reason:
                    asked.vm = ""
                    count(Counter.PLACES, response.reason)
                    if response.reason not in LIST_REASONS:
                        return NoPlace(response.retry_after_ms / 1000, response.reason)
                    unable.add(answer.vm)
                message.time_left_ms = to_uint32(call.time_left_s() * 1000)
        finally:
            self._withdraw(message, asked)

    def _withdraw(self, message: RequestPlace, asked: _Asked) -> None:
        """Withdraws a request, or gives back what was granted meanwhile."""
        if asked.vm:
            abandoned = Outcome(OutcomeKind.ABANDONED)
            self._post(asked.vm, message.service, message.id, abandoned)
            asked.vm = ""

    def _matching(self, response: PlaceGranted) -> Upstream | None:
        return matching_upstream(self._config_watcher.upstreams, response)

    def _record_unlisted(self, vm: str, service: str, response: PlaceGranted) -> None:
        listed = self._config_watcher.upstreams
        known = self._unlisted.get((vm, service))
        if known is None or known.listed is not listed:
            known = self._unlisted[vm, service] = _Unlisted(listed)
        known.until_s[response.upstream] = boottime_s() + UNLISTED_PERIOD_S

    def _unlisted_at(self, vm: str, service: str, now_s: float) -> set[str]:
        """Returns the ids of upstreams that a scheduler should not grant now."""
        known = self._unlisted.get((vm, service))
        if known is None:
            return set()
        if known.listed is not self._config_watcher.upstreams:
            del self._unlisted[vm, service]
            return set()
        return {name for name, until_s in known.until_s.items() if until_s > now_s}

    def _new_id(self, call: Call) -> str:
        return f"{call.metadata.request_id}.{next(self._ids):x}"

    def _accept(self, call: Call, place_id: str, answer: _Answer) -> Place | None:
        """Returns the place of a grant, or None if it is given back."""
        now_s = boottime_s()
        response = answer.message
        upstream = self._matching(response)
        if upstream is None or now_s - answer.asked_s > GRANT_VALID_S:
            count(Counter.PLACES, "given_back")
            log.info(
                "Gave a slot back.",
                request=call.metadata.request_id,
                upstream=response.upstream,
                scheduler=answer.vm,
                reason="unknown" if upstream is None else "late",
                after_ms=round((now_s - answer.asked_s) * 1000),
            )
            self._post(
                answer.vm, call.service.name, place_id, Outcome(OutcomeKind.ABANDONED)
            )
            return None
        count(Counter.PLACES, "granted")
        place = Place(
            id=place_id,
            service=call.service.name,
            upstream=upstream,
            scheduler=answer.vm,
            workspace=call.workspace.name if call.workspace else "",
            prompt_tokens=call.metadata.prompt_tokens,
            max_output_tokens=call.metadata.max_output_tokens,
            body_bytes=call.body_bytes,
            deadline_s=call.deadline_s,
        )
        self._places[place_id] = place
        return place

    def place_locally(self, call: Call, upstream: Upstream) -> Place:
        """Returns a slot that this VM took without a scheduler."""
        count(Counter.LOCAL_PLACES)
        if interval_s := self.local_interval_s(call.service):
            self._cold_rates.record(upstream, interval_s)
        place = Place(
            id=self._new_id(call),
            service=call.service.name,
            upstream=upstream,
            scheduler=None,
            workspace=call.workspace.name if call.workspace else "",
            prompt_tokens=call.metadata.prompt_tokens,
            max_output_tokens=call.metadata.max_output_tokens,
            body_bytes=call.body_bytes,
            deadline_s=call.deadline_s,
        )
        self._places[place.id] = place
        return place

    def local_interval_s(self, service: UpstreamService) -> float:
        """Returns the time between two requests to one upstream without a scheduler."""
        settings = self._service.settings
        if service.cold_per_s <= 0:
            return 0.0
        per_s = service.cold_per_s * settings.cold_overrun + settings.cold_slack
        vms = len(self._membership.live_vms())
        return vms / (per_s * LOCAL_COLD_SHARE)

    def _message(self, call: Call, version: str | None) -> RequestPlace:
        metadata, route, service = call.metadata, call.route, call.service
        program = metadata.program
        workspace = call.workspace
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        program_time_left_ms = -1
        if program is not None and program.time_left_ms is not None:
            age_ms = (boottime_s() - call.started_s) * 1000
            program_time_left_ms = to_uint32(program.time_left_ms - age_ms)
        affinity = metadata.affinity_key if route.sticky else ""
        sticks = service.engine is not None or route.sticky
        return RequestPlace(
            service=service.name,
            id="",
            workspace=workspace.name if workspace else "",
            program=program.id if program else "",
            route=route.name,
            affinity=affinity,
            sticks_to_program=sticks and not affinity and program is not None,
            in_progress=program is not None and not metadata.startable_program_id(),
            retryable=is_retryable(route.kind),
            priority=priority,
            time_left_ms=to_uint32(call.time_left_s() * 1000),
            program_time_left_ms=program_time_left_ms,
            prompt_tokens=metadata.prompt_tokens,
            max_output_tokens=metadata.max_output_tokens,
            body_bytes=call.body_bytes,
            hold_ms=round(FIRST_HOLD_S * 1000),
            connected=self._connected_bits(service.name),
            excluded=[],
            needs_version=version is not None,
            software_version=version or "",
        )

    def _connected_bits(self, service: str) -> bytes:
        listed = self._config_watcher.upstreams
        known = self._lists.get(service)
        if known is None or known.listed is not listed:
            ids = listed_ids(listed, service)
            upstreams = [listed[name] for name in ids]
            known = _List(listed, upstreams, ids, list_digest(ids))
            self._lists[service] = known
        connected = self._connected(known.upstreams)
        return pack_connected(known.ids, known.digest, connected)

    async def _ask(
        self,
        call: Call,
        message: RequestPlace,
        excluded: set[str],
        asked: _Asked,
        unable: set[str],
    ) -> _Answer | None:
        """
        Asks the VMs that may schedule, in order; returns None if none responds.

        Those in `unable` are passed over.
        """
        for vm in self._order(message.service):
            asked_s = boottime_s()
            if vm in unable or not self._may_ask(vm, asked_s):
                continue
            message.hold_ms = round(MAX_HOLD_S * 1000)
            if vm != asked.vm:
                self._withdraw(message, asked)
                # A late withdrawal must not meet a later request to the same VM.
                message.id = self._new_id(call)
                message.hold_ms = round(FIRST_HOLD_S * 1000)
                unlisted = self._unlisted_at(vm, message.service, asked_s)
                message.excluded = sorted(excluded | unlisted)
                asked.vm = vm
            try:
                response = await self._exchange(vm, message, asked_s)
            except (PeerError, Refusal, TimeoutError) as error:
                self._suspect(vm, message.service, error)
                continue
            self._heard_s[vm] = boottime_s()
            self._suspect_until_s.pop(vm, None)
            self._note_generation(message.service, vm, response.generation)
            return _Answer(vm, response, asked_s)
        return None

    async def _exchange(
        self, vm: str, message: RequestPlace, asked_s: float
    ) -> PlaceGranted:
        """
        Returns the response of a VM.

        Raises `TimeoutError` after `PEER_TIMEOUT_S` if the VM has not responded to any
        request since this one was sent. A VM that is short of processor time responds
        later than that, and another one would not be faster.
        """
        if vm == self._vm:
            return await self._service.request(message, vm)
        loop = asyncio.get_running_loop()
        timeout_s = PEER_TIMEOUT_S
        if message.hold_ms > FIRST_HOLD_S * 1000:
            timeout_s = HOLD_TIMEOUT_S
        async with asyncio.timeout(None) as scope:

            def give_up_if_silent() -> None:
                if self._heard_s.get(vm, -math.inf) <= asked_s:
                    self._peers.disconnect_if_silent(vm, timeout_s)
                    scope.reschedule(loop.time())

            timer = loop.call_later(timeout_s, give_up_if_silent)
            try:
                response = await self._peers.request(vm, message, HOLD_TIMEOUT_S)
            finally:
                timer.cancel()
        assert isinstance(response, PlaceGranted)
        return response

    def _order(self, service: str) -> list[str]:
        if not self._membership.is_loaded():
            # This VM knows only itself, and would schedule for itself.
            return []
        vms = self._membership.large_vms()
        known = self._orders.get(service)
        if known is None or known[0] != vms:
            order = rendezvous(service, vms)[:MAX_CANDIDATES]
            known = self._orders[service] = list(vms), order
        return known[1]

    def _may_ask(self, vm: str, now_s: float) -> bool:
        """
        Tells whether to ask a VM.

        After the time for which a VM is passed over, one request tries it.
        """
        until_s = self._suspect_until_s.get(vm)
        if until_s is None:
            return True
        if until_s > now_s:
            return False
        self._suspect_until_s[vm] = now_s + SUSPECT_PERIOD_S
        return True

    def _suspect(self, vm: str, service: str, error: Exception) -> None:
        self._suspect_until_s[vm] = boottime_s() + SUSPECT_PERIOD_S
        log.info(
            "A scheduler failed to handle a request.",
            scheduler=vm,
            service=service,
            error=repr(error),
        )

    def within_local_rate(
        self, service: UpstreamService, upstreams: list[Upstream]
    ) -> list[Upstream]:
        """Returns the upstreams to which this VM may send without a scheduler now."""
        interval_s = self.local_interval_s(service)
        if not interval_s:
            return upstreams
        if not self._membership.is_loaded():
            return []
        return [
            upstream
            for upstream in upstreams
            if self._cold_rates.allows(upstream, interval_s)
        ]

    def has_scheduler(self, service: str) -> bool:
        """Tells whether a VM may respond that schedules the service."""
        now_s = boottime_s()
        if self._unable_until_s.get(service, 0.0) > now_s:
            return False
        return any(
            self._suspect_until_s.get(vm, 0.0) <= now_s for vm in self._order(service)
        )

    async def explain(
        self, call: Call, version: str | None, excluded: Iterable[str]
    ) -> SchedulerReply:
        """
        Asks the scheduler of a service what it would decide on a request.

        A VM that is passed over for requests is not asked, and one that does not
        respond is not passed over for it.
        """
        request = replace(self._message(call, version), excluded=sorted(excluded))
        message = ExplainPlace(**asdict(request))
        reply = SchedulerReply()
        for vm in self._order(message.service):
            if self._suspect_until_s.get(vm, 0.0) > boottime_s():
                reply.errors[vm] = "passed over, because it did not respond lately"
                continue
            try:
                if vm == self._vm:
                    response = self._service.explain(message, vm)
                else:
                    received = await self._peers.request(vm, message, EXPLAIN_TIMEOUT_S)
                    assert isinstance(received, PlaceExplained)
                    response = received
            except (PeerError, Refusal, TimeoutError) as error:
                reply.errors[vm] = repr(error)
                continue
            reply.vm, reply.message = vm, response
            break
        return reply

    # Ends of requests

    def give_back(self, call: Call, place: Place) -> None:
        """Gives a slot back that this VM may not use."""
        count(Counter.PLACES, "given_back")
        log.info(
            "Gave a slot back.",
            request=call.metadata.request_id,
            upstream=place.upstream.id,
            scheduler=place.scheduler,
            reason="excluded",
        )
        self.release(place, Outcome(OutcomeKind.ABANDONED))

    def release(self, place: Place, outcome: Outcome) -> None:
        """Gives a slot back and reports the outcome, without waiting."""
        self._places.pop(place.id, None)
        if place.scheduler is not None:
            self._post(place.scheduler, place.service, place.id, outcome)

    def _post(self, vm: str, service: str, place_id: str, outcome: Outcome) -> None:
        if vm == self._vm:
            released = pack_outcomes(service, [(place_id, outcome)])
            self._service.release(released, vm)
            return
        outbox = self._outboxes.setdefault((vm, service), _Outbox())
        if len(outbox.entries) >= MAX_WAITING_RELEASES:
            outbox.entries.popleft()
        outbox.entries.append((place_id, outcome))
        if outbox.task is None:
            outbox.task = asyncio.create_task(self._send_releases(vm, service, outbox))

    async def _send_releases(self, vm: str, service: str, outbox: _Outbox) -> None:
        """
        Reports ends of requests until none is left.

        Those that arrive while a message is under way share the next one.
        """
        try:
            while outbox.entries:
                size = min(MAX_RELEASES, len(outbox.entries))
                batch = [outbox.entries.popleft() for _ in range(size)]
                await self._send_batch(vm, service, batch)
        finally:
            outbox.task = None
            if not outbox.entries:
                self._outboxes.pop((vm, service), None)

    async def _send_batch(
        self, vm: str, service: str, batch: list[tuple[str, Outcome]]
    ) -> None:
        message = pack_outcomes(service, batch)
        reason: Exception | None = None
        for attempt in range(RELEASE_ATTEMPTS):
            if attempt:
                await asyncio.sleep(RELEASE_RETRY_S)
            try:
                await self._peers.request(vm, message, RELEASE_TIMEOUT_S)
                return
            except (PeerError, Refusal, TimeoutError) as error:
                reason = error
        log.info(
            "Could not report the ends of requests; their leases will expire.",
            scheduler=vm,
            service=service,
            requests=len(batch),
            error=repr(reason),
        )

    # Registration

    @background_task
    async def _watch(self) -> None:
        while not self.should_stop:
            if not self.enabled:
                await self.sleep(DISABLED_WATCH_S)
                continue
            await self.sleep(WATCH_S)
            config = self._config_watcher.config
            assert config is not None
            for service in config.services:
                self._check_registration(service)

    def _check_registration(self, service: str) -> None:
        """Registers with the VM that schedules a service now, if it is another one."""
        now_s = boottime_s()
        known = self._registered.get(service)
        for vm in self._order(service):
            if known is not None and known[0] == vm:
                return
            if self._may_ask(vm, now_s):
                self._register(service, vm)
                return

    def _note_generation(self, service: str, vm: str, generation: int) -> None:
        if self._registered.get(service) != (vm, generation):
            self._register(service, vm)

    def _register(self, service: str, vm: str) -> None:
        task = self._registrations.get(service)
        if task is None or task.done():
            self._registrations[service] = asyncio.create_task(
                self._send_registration(service, vm)
            )

    async def _send_registration(self, service: str, vm: str) -> None:
        places = [place for place in self._places.values() if place.service == service]
        message = self._registration(service, places)
        try:
            if vm == self._vm:
                response = self._service.register(message, vm)
            else:
                received = await self._peers.request(vm, message, REGISTER_TIMEOUT_S)
                assert isinstance(received, PlacesRegistered)
                response = received
        except (PeerError, Refusal, TimeoutError) as error:
            self._suspect(vm, service, error)
            return
        self._suspect_until_s.pop(vm, None)
        self._registered[service] = vm, response.generation
        for place in places:
            if place.id not in self._places:
                # It ended meanwhile, and was reported to the earlier scheduler.
                self._post(vm, service, place.id, Outcome(OutcomeKind.ABANDONED))
            place.scheduler = vm

    def _registration(self, service: str, places: list[Place]) -> RegisterPlaces:
        now_s = boottime_s()
        message = RegisterPlaces(service, [], [], [], [], [], [], [], [])
        for place in places:
            left_s = place.deadline_s + LEASE_MARGIN_S - now_s
            message.ids.append(place.id)
            message.workspaces.append(place.workspace)
            message.upstreams.append(place.upstream.id)
            message.started_at_ms.append(place.upstream.started_at_ms)
            message.prompt_tokens.append(place.prompt_tokens)
            message.max_output_tokens.append(place.max_output_tokens)
            message.body_bytes.append(place.body_bytes)
            message.time_left_ms.append(to_uint32(left_s * 1000))
        return message

    async def on_stop(self) -> None:
        """Waits a moment for the last reports to be sent."""
        tasks = [box.task for box in self._outboxes.values() if box.task is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=RELEASE_TIMEOUT_S)
        for task in [*tasks, *self._registrations.values()]:
            task.cancel()
