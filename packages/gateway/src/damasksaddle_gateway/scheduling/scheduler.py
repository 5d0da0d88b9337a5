"""
The scheduler of one service.

It decides only: it neither waits nor sends, and times are parameters in seconds of a
monotonic clock.
"""

import heapq
import math
import random

from damasksaddle_gateway.routing_config import Service, Upstream
from damasksaddle_gateway.scheduling.comparison import (
    ANY_PROBE_S,
    PROBE_CHOICE_S,
    Choice,
    Comparison,
    SchedulerSettings,
)
from damasksaddle_gateway.scheduling.learning import Learning
from damasksaddle_gateway.scheduling.pace import StartRate
from damasksaddle_gateway.scheduling.queue import (
    Needs,
    Precedence,
    RequestQueue,
    WaitingRequest,
    needs_of,
)
from damasksaddle_gateway.scheduling.requests import (
    Candidate,
    Decision,
    Granted,
    Lease,
    Outcome,
    OutcomeKind,
    Outlook,
    PlaceRequest,
    Rejected,
    RejectReason,
)
from damasksaddle_gateway.scheduling.upstream_load import (
    OVERDUE_FLOOR_S,
    OVERDUE_RATIO,
    OVERDUE_RATIO_PLAIN,
    OVERDUE_UNKNOWN_S,
    RunningLease,
    ServiceTimes,
    UpstreamLoad,
)

__all__ = ["SchedulerSettings", "ServiceScheduler"]

# Shortest time after which a rejected request is asked to return.
MIN_RETRY_AFTER_S = 0.05
# Callers wait for at most a third of the time that they have left before they return.
MAX_RETRY_SHARE = 0.3
# A rejection without a predicted time, for example while no upstream is listed, asks
# the caller to return within this time.
UNKNOWN_RETRY_AFTER_S = 0.5
# Added to a time from which a request may start, which is not exact.
ROUNDING_S = 1e-6
# A lease outlives the deadline of its request by this time, in which the VM reports
# the end of the request.
LEASE_MARGIN_S = 1.0
# Longest lease of a request without a deadline.
MAX_LEASE_S = 600.0
# A VM does not know a lease yet whose grant is on its way.
GRANT_TRANSIT_S = 1.0
# Share of a program's time left for which its first turn may wait. Programs have 20% to
# 40% more time than on idle engines, and later turns wait as well.
BEGIN_WAIT_SHARE = 0.1
# The predicted wait of a turn in progress is trusted by this factor before the turn is
# rejected, because its program is lost with it.
IN_PROGRESS_TRUST = 0.5
# Waiting requests that one call passes over, for example because their prompts do not
# fit. After these, only requests that need other upstreams are compared, up to a number
# of comparisons and of requests that bound the processor time.
MAX_SKIPPED = 16
MAX_COMPARED = 24
MAX_PASSED = 128
# A request passed over for lack of memory for this time gets an upstream reserved:
# half a turn, within which smaller requests would take the gaps that it waits for.
RESERVE_AFTER_S = 0.1


class ServiceScheduler:
    """Grants the slots of the upstreams of one service to requests of all VMs."""

    def __init__(
        self,
        service: Service,
        settings: SchedulerSettings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        rng = rng or random.Random()
        settings = settings or SchedulerSettings()
        self.times = ServiceTimes()
        self._random = rng
        self._comparison = Comparison(service, settings, self.times, rng)
        self._learning = Learning(self._comparison)
        self._loads: dict[tuple[str, str, int], UpstreamLoad] = {}
        # Loads of upstreams that get no more requests but still run some.
        self._former: dict[tuple[str, str, int], UpstreamLoad] = {}
        # The starts at a process that an upstream replaced count for the new one too:
        # requests that are on their way reach the new one.
        self._starts: dict[str, StartRate] = {}
        self._lease_loads: dict[str, UpstreamLoad] = {}
        self._expiries: list[tuple[float, str]] = []
        self._queue = RequestQueue()
        self._decided: list[tuple[PlaceRequest, Granted | Rejected]] = []
        self._number = 0
        self._return_s = -math.inf
        self._decided_s = -math.inf

    @property
    def service(self) -> Service:
        """Returns the service."""
        return self._comparison.service

    @property
    def settings(self) -> SchedulerSettings:
        """Returns the settings."""
        return self._comparison.settings

    def set_settings(self, settings: SchedulerSettings) -> None:
        """Replaces the settings."""
        self._comparison.settings = settings
        self._comparison.invalidate()

    def set_upstreams(self, upstreams: list[Upstream], now_s: float) -> None:
        """
        Replaces the upstreams that may get requests.

        What is known of a process that was listed before is kept.
        """
        self._comparison.invalidate()
        before = {**self._former, **self._loads}
        self._loads = {}
        for upstream in upstreams:
            load = before.pop(upstream.incarnation, None)
            if load is None:
                starts = self._starts.setdefault(upstream.id, StartRate())
                load = UpstreamLoad(upstream, self.service, starts)
            load.configure(upstream, self.service)
            self._loads[upstream.incarnation] = load
            if upstream.cold_remaining_ms != load.reported_cold_ms:
                # The same entry is listed many times; its time counts from the first.
                load.reported_cold_ms = upstream.cold_remaining_ms
                load.cold_until_s = now_s + upstream.cold_remaining_ms / 1000
        self._former = {key: load for key, load in before.items() if load.leases}
        known = {load.upstream.id for load in (*self._loads.values(), *before.values())}
        for upstream_id, starts in list(self._starts.items()):
            # An upstream that restarts may be away from the list for a moment.
            if upstream_id not in known and starts.is_idle(now_s):
                del self._starts[upstream_id]

    def set_service(self, service: Service) -> None:
        """Replaces the properties of the service."""
        self._comparison.service = service
        self._comparison.invalidate()
        for load in self._loads.values():
            load.configure(load.upstream, service)

    def set_grant_share(self, share: float) -> None:
        """
        Sets the share of the slots that may be granted.

        It is less than 1 while a new scheduler does not know all leases yet.
        """
        self._comparison.grant_share = share
        self._comparison.invalidate()

    def hold_starts(self, until_s: float) -> None:
        """
        Grants no upstream that may be cold before a time.

        A new scheduler does not know what an earlier one granted in the last second.
        """
        self._comparison.hold_until_s = until_s
        self._comparison.invalidate()

    def report_cold(self, upstream: Upstream, remaining_s: float, now_s: float) -> None:
        """Records for how long an upstream is cold, as its health response says."""
        load = self._loads.get(upstream.incarnation)
        if load is not None:
            load.cold_until_s = now_s + remaining_s
            self._comparison.invalidate(load)

    def submit(self, request: PlaceRequest, now_s: float) -> Granted | Rejected | None:
        """
        Decides on a request; returns None if it waits.

        A request that waits is decided by a later `advance`. A request with the id of
        one that waits is the same request, asked again, and keeps its position.
        """
        if self._queue.get(request.id) is not None:
            return None
        self._decided_s = now_s
        reason = self._comparison.impossible(request, self._loads.values())
        if reason is not None:
            return Rejected(self._unknown_retry_after_s(), reason)
        choice = self._comparison.choose(request, self._loads.values(), now_s)
        self._number += 1
        waiting = self._waiting(request, choice, now_s)
        if choice.load is not None and not len(self._queue):
            # An idle upstream serves it in any case: only a response can tell that the
            # estimate was wrong.
            if waiting.give_up_s < now_s and choice.load.leases:
                return self._reject(waiting, RejectReason.DEADLINE, now_s)
            return self._grant(request, choice.load, now_s)
        reason = self._early_rejection(waiting, choice, now_s)
        if reason is not None and choice.load is not None:
            # What waits goes first, but may need other upstreams than this request.
            self._dispatch(now_s)
            choice = self._comparison.choose(request, self._loads.values(), now_s)
            if choice.load is not None and waiting.give_up_s > now_s:
                reason = None
        if reason is not None:
            return self._reject(waiting, reason, now_s)
        self._queue.push(waiting)
        if choice.load is not None:
            # There is room, and the order of the queue decides who gets it.
            self._dispatch(now_s)
            for index, (decided, decision) in enumerate(self._decided):
                if decided is request:
                    del self._decided[index]
                    return decision
        return None

    def advance(self, now_s: float) -> list[tuple[PlaceRequest, Granted | Rejected]]:
        """Decides on waiting requests, and removes leases that have expired."""
        while self._expiries and self._expiries[0][0] <= now_s:
            lease_id = heapq.heappop(self._expiries)[1]
            load = self._lease_loads.get(lease_id)
            if load is not None and load.leases[lease_id].expires_s <= now_s:
                self._remove_lease(lease_id)
        for waiting in self._queue.due_give_ups(now_s):
            begins = waiting.precedence is Precedence.BEGINS
            reason = RejectReason.OVERLOADED if begins else RejectReason.DEADLINE
            self._decided.append(
                (waiting.request, self._reject(waiting, reason, now_s))
            )
        self._dispatch(now_s)
        decided, self._decided = self._decided, []
        return decided

    def next_event_s(self) -> float:
        """
        Returns when a decision may change by time alone; infinity if never.

        A time in the past means that `advance` has decisions to return.
        """
        if self._decided:
            return -math.inf
        event_s = self._queue.next_give_up_s()
        while self._expiries and self._expiries[0][1] not in self._lease_loads:
            heapq.heappop(self._expiries)
        if self._expiries:
            event_s = min(event_s, self._expiries[0][0])
        if len(self._queue):
            for load in self._loads.values():
                event_s = min(event_s, self._changes_s(load))
        return event_s

    def _changes_s(self, load: UpstreamLoad) -> float:
        """Returns when an upstream may take a request because time has passed."""
        decided_s = self._decided_s
        changes_s = math.inf
        if load.doubted and not load.leases:
            for delay_s in (0.0, PROBE_CHOICE_S, ANY_PROBE_S):
                if load.probe_at_s + delay_s > decided_s:
                    changes_s = load.probe_at_s + delay_s
                    break
        start_wait_s = self._comparison.condition(load, decided_s).start_wait_s
        if start_wait_s > 0:
            changes_s = min(changes_s, decided_s + start_wait_s + ROUNDING_S)
        return changes_s

    def cancel(self, request_id: str) -> None:
        """Removes a waiting request; does nothing if it does not wait."""
        waiting = self._queue.get(request_id)
        if waiting is not None:
            self._queue.remove(waiting)

    def finish(self, lease: Lease, outcome: Outcome, now_s: float) -> None:
        """
        Ends a lease and learns from its outcome; `advance` then uses the slot.

        A lease that is not known here, because it has expired or an earlier scheduler
        granted it, has no effect.
        """
        load = self._lease_loads.get(lease.id)
        running = self._remove_lease(lease.id)
        if load is None or running is None:
            return
        match outcome.kind:
            case OutcomeKind.COMPLETED:
                loads = self._loads.values()
                self._learning.learn(load, running, outcome, loads, now_s)
            case OutcomeKind.FULL:
                load.window.record_full(len(load.leases) + 1, now_s)
            case OutcomeKind.COLD:
                cold_until_s = now_s + self.service.cold_start_s
                load.cold_until_s = max(load.cold_until_s, cold_until_s)
            case OutcomeKind.NOT_REACHED | OutcomeKind.INTERRUPTED:
                self._learning.record_failure(load, lease.vm, now_s)
            case OutcomeKind.TIMED_OUT:
                # A request that was sent late says nothing of the upstream.
                if now_s >= running.overdue_s:
                    self._learning.record_failure(load, lease.vm, now_s)
            case OutcomeKind.ABANDONED:
                pass
        # The references that all upstreams are compared to may have changed.
        self._comparison.invalidate()

    def register(self, vm: str, leases: list[Lease], now_s: float) -> None:
        """Replaces the active leases of a VM by those that it reports."""
        reported = {lease.id for lease in leases}
        for lease_id, load in list(self._lease_loads.items()):
            running = load.leases[lease_id]
            if (
                running.lease.vm == vm
                and lease_id not in reported
                and now_s - running.started_s > GRANT_TRANSIT_S
            ):
                self._remove_lease(lease_id)
        for lease in leases:
            registered = self._load_of(lease)
            if registered is None or lease.id in self._lease_loads:
                continue
            expires_s = now_s + min(MAX_LEASE_S, lease.time_left_s)
            self._add_lease(registered, RunningLease(lease, expires_s, now_s))
            # What runs there was granted by an earlier scheduler, which knew it longer.
            window = registered.window
            window.size = max(window.size, float(len(registered.leases)))
            window.cap(registered.max_in_flight)

    def remove_vm(self, vm: str, now_s: float) -> None:
        """Removes the leases and waiting requests of a VM that is gone."""
        self._learning.forget_vm(vm)
        for lease_id, load in list(self._lease_loads.items()):
            if load.leases[lease_id].lease.vm == vm:
                self._remove_lease(lease_id)
        for waiting in self._queue.requests():
            if waiting.request.vm == vm:
                self._queue.remove(waiting)

    def explain(self, request: PlaceRequest, now_s: float) -> list[Candidate]:
        """
        Returns how each upstream compares for a request, without granting it.

        The best one comes first, unless the request would wait.
        """
        comparison, loads = self._comparison, self._loads.values()
        chosen = comparison.choose(request, loads, now_s).load
        candidates = []
        for load in loads:
            prediction = comparison.predict(request, load, now_s)
            condition = comparison.condition(load, now_s)
            candidates.append(
                Candidate(
                    upstream=load.upstream,
                    chosen=load is chosen,
                    obstacle=str(comparison.obstacle(request, load, now_s)),
                    completion_s=prediction.completion_s,
                    wait_s=prediction.wait_s,
                    transit_s=prediction.transit_s,
                    prefill_s=prediction.prefill_s,
                    decode_s=prediction.decode_s,
                    penalty_s=prediction.penalty_s,
                    slowness=condition.slowness,
                    in_flight=condition.in_flight,
                    window=condition.limit,
                )
            )
        candidates.sort(
            key=lambda candidate: (
                not candidate.chosen,
                bool(candidate.obstacle),
                candidate.completion_s,
            )
        )
        return candidates

    def outlook(self, request: PlaceRequest, now_s: float) -> Outlook:
        """Returns what `submit` would decide on a new request now."""
        loads, size = self._loads.values(), len(self._queue)
        choice = self._comparison.choose(request, loads, now_s)
        waiting = self._waiting(request, choice, now_s)
        ahead = self._ahead(waiting)
        wait_s = self._predicted_wait_s(waiting, choice, now_s)
        reason = self._comparison.impossible(request, loads)
        decision = Decision.WAIT
        if reason is None and choice.load is not None and not size:
            if waiting.give_up_s < now_s and choice.load.leases:
                reason = RejectReason.DEADLINE
            decision = Decision.GRANT
        elif reason is None:
            reason = self._early_reason(waiting, wait_s, now_s)
            if choice.load is not None and not ahead:
                decision = Decision.GRANT
        if reason is not None:
            decision = Decision.REJECT
        allowed_s = waiting.give_up_s - now_s
        return Outlook(decision, reason, size, ahead, wait_s, allowed_s)

    def waiting(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._queue)

    def leases(self) -> list[Lease]:
        """Returns the active leases."""
        return [
            load.leases[lease_id].lease for lease_id, load in self._lease_loads.items()
        ]

    def windows(self) -> dict[str, int]:
        """Returns how many requests may be in flight at each upstream, by id."""
        share = self._comparison.share
        return {load.upstream.id: load.limit(share) for load in self._loads.values()}

    # Admission

    def _waiting(
        self, request: PlaceRequest, choice: Choice, now_s: float
    ) -> WaitingRequest:
        needed_s = choice.fastest_s if choice.fastest_s < math.inf else 0.0
        if not self._knows(request):
            # Only a response can tell whether the time left is enough.
            needed_s = 0.0
        latest_start_s = now_s + request.time_left_s - needed_s
        give_up_s = latest_start_s
        program_left_s = request.program_time_left_s
        precedence = Precedence.BEGINS
        if request.in_progress:
            precedence = Precedence.IN_PROGRESS
        if program_left_s is not None:
            program_start_s = now_s + program_left_s - needed_s
            if program_start_s < now_s and request.in_progress:
                precedence = Precedence.LATE
            else:
                latest_start_s = min(latest_start_s, program_start_s)
            if not request.in_progress:
                longest_s = BEGIN_WAIT_SHARE * program_left_s
                give_up_s = min(give_up_s, program_start_s, now_s + longest_s)
        return WaitingRequest(
            request, now_s, precedence, latest_start_s, give_up_s, self._number
        )

    def _knows(self, request: PlaceRequest) -> bool:
        """Tells whether the prediction is more than an initial value."""
        return self.service.engine is not None or request.route in self.times.call_log_s

    def _early_rejection(
        self, waiting: WaitingRequest, choice: Choice, now_s: float
    ) -> RejectReason | None:
        """Returns why a request cannot complete in time, or None."""
        return self._early_reason(
            waiting, self._predicted_wait_s(waiting, choice, now_s), now_s
        )

    def _ahead(self, waiting: WaitingRequest) -> int:
        request = waiting.request
        return self._queue.ahead_of(
            request.workspace, waiting.precedence, request.priority
        )

    def _predicted_wait_s(
        self, waiting: WaitingRequest, choice: Choice, now_s: float
    ) -> float:
        """Returns how long a request that is not queued yet would wait."""
        ahead = self._ahead(waiting)
        if choice.load is None or ahead:
            return (ahead + 1) / self._throughput_per_s(now_s)
        return 0.0

    @staticmethod
    def _early_reason(
        waiting: WaitingRequest, predicted_s: float, now_s: float
    ) -> RejectReason | None:
        """Returns why a request that would wait for a time is rejected, or None."""
        allowed_s = waiting.give_up_s - now_s
        begins = waiting.precedence is Precedence.BEGINS
        if not begins:
            predicted_s *= IN_PROGRESS_TRUST
        if predicted_s <= allowed_s:
            return None
        overloaded = begins and allowed_s > 0
        return RejectReason.OVERLOADED if overloaded else RejectReason.DEADLINE

    def _throughput_per_s(self, now_s: float) -> float:
        """Returns how many requests can start in one second with all slots in use."""
        comparison = self._comparison
        lease_s = max(0.001, self.times.lease_s)
        per_s = sum(
            min(
                load.limit(comparison.share) / lease_s,
                comparison.start_limit(load, now_s),
            )
            for load in self._loads.values()
            if not load.suspect
        )
        return max(per_s, 1 / lease_s)

    def _reject(
        self, waiting: WaitingRequest, reason: RejectReason, now_s: float
    ) -> Rejected:
        """
        Rejects a request, with the time at which a slot should be free for it.

        Each rejected request books a later time, so that they do not all return
        together.
        """
        request = waiting.request
        per_s = self._throughput_per_s(now_s)
        ahead = self._queue.ahead_of(
            request.workspace, waiting.precedence, request.priority
        )
        free_s = now_s + (ahead + 1) / per_s
        self._return_s = max(self._return_s + 1 / per_s, free_s)
        retry_after_s = (self._return_s - now_s) * self._random.uniform(0.75, 1.25)
        elapsed_s = now_s - waiting.submitted_s
        time_left_s = request.time_left_s
        if request.program_time_left_s is not None:
            time_left_s = min(time_left_s, request.program_time_left_s)
        longest_s = MAX_RETRY_SHARE * max(0.0, time_left_s - elapsed_s)
        if retry_after_s > longest_s:
            # The bookings are further ahead than this caller can wait, and do not
            # grow; it tries its luck within the time that it has.
            retry_after_s = longest_s * self._random.uniform(0.5, 1.0)
            self._return_s -= 1 / per_s
        return Rejected(max(MIN_RETRY_AFTER_S, retry_after_s), reason)

    def _unknown_retry_after_s(self) -> float:
        spread = self._random.uniform(0.0, UNKNOWN_RETRY_AFTER_S)
        return MIN_RETRY_AFTER_S + spread

    def _dispatch(self, now_s: float) -> None:
        """Grants slots to waiting requests, in the order of the queue."""
        self._decided_s = now_s
        if not len(self._queue):
            return
        comparison, loads = self._comparison, self._loads.values()
        skipped: list[WaitingRequest] = []
        reserved: UpstreamLoad | None = None
        restricted = self._queue.has_restricted()
        has_room = comparison.has_room(loads, now_s, restricted)
        compared = 0
        # The needs of requests that were passed over.
        needs: set[Needs] = set()
        while has_room and compared < MAX_COMPARED and len(skipped) < MAX_PASSED:
            if len(skipped) >= MAX_SKIPPED and self._queue.needs_only(needs):
                break
            waiting = self._queue.take()
            if waiting is None:
                break
            request = waiting.request
            if len(skipped) >= MAX_SKIPPED and needs_of(request) in needs:
                skipped.append(waiting)
                continue
            reason = comparison.impossible(request, loads)
            if reason is not None:
                self._queue.remove(waiting)
                rejected = Rejected(self._unknown_retry_after_s(), reason)
                self._decided.append((request, rejected))
                continue
            choice = comparison.choose(request, loads, now_s, reserved)
            if choice.load is not None:
                granted = self._grant(request, choice.load, now_s)
                self._queue.remove(waiting)
                self._decided.append((request, granted))
                has_room = comparison.has_room(loads, now_s, restricted)
                continue
            skipped.append(waiting)
            needs.add(needs_of(request))
            compared += 1
            if choice.lacks_memory:
                waiting.skipped_s = min(waiting.skipped_s, now_s)
                if reserved is None and now_s - waiting.skipped_s > RESERVE_AFTER_S:
                    reserved = self._most_memory(request)
        self._queue.restore(skipped)

    def _most_memory(self, request: PlaceRequest) -> UpstreamLoad | None:
        """Returns the upstream that should have room first for a large request."""
        possible = [
            load
            for load in self._loads.values()
            if not load.suspect
            and load.upstream.id not in request.excluded
            and request.software_version in (None, load.upstream.software_version)
        ]
        return min(possible, key=lambda load: load.tokens, default=None)

    # Leases

    def _grant(
        self, request: PlaceRequest, load: UpstreamLoad, now_s: float
    ) -> Granted:
        prediction = self._comparison.predict(request, load, now_s)
        self._number += 1
        time_left_s = min(MAX_LEASE_S, request.time_left_s + LEASE_MARGIN_S)
        lease = Lease(
            id=f"{request.id}/{self._number}",
            vm=request.vm,
            workspace=request.workspace,
            incarnation=load.upstream.incarnation,
            prompt_tokens=request.prompt_tokens,
            max_output_tokens=request.max_output_tokens,
            body_bytes=request.body_bytes,
            time_left_s=time_left_s,
        )
        held = load.held.get(request.affinity) if request.affinity else None
        ratio = OVERDUE_RATIO / self.times.output_ratio
        if self.service.engine is None:
            ratio = OVERDUE_RATIO_PLAIN
        overdue_after_s = ratio * prediction.run_s + OVERDUE_FLOOR_S
        if not self._knows(request):
            overdue_after_s = max(OVERDUE_UNKNOWN_S, overdue_after_s)
        running = RunningLease(
            lease,
            expires_s=now_s + time_left_s,
            started_s=now_s,
            overdue_s=now_s + overdue_after_s,
            batch=len(load.leases) + 1,
            uncached_tokens=max(0, request.prompt_tokens - (held or 0)),
            route=request.route,
            affinity=request.affinity,
            holds_affinity=held is not None,
        )
        self._add_lease(load, running)
        if self.service.cold_per_s > 0:
            load.starts.record(now_s)
        self._queue.charge(request.workspace, prediction.run_s)
        return Granted(lease, load.upstream)

    def _load_of(self, lease: Lease) -> UpstreamLoad | None:
        load = self._loads.get(lease.incarnation)
        return load or self._former.get(lease.incarnation)

    def _add_lease(self, load: UpstreamLoad, running: RunningLease) -> None:
        load.add(running)
        self._comparison.invalidate(load)
        self._lease_loads[running.lease.id] = load
        heapq.heappush(self._expiries, (running.expires_s, running.lease.id))

    def _remove_lease(self, lease_id: str) -> RunningLease | None:
        load = self._lease_loads.pop(lease_id, None)
        if load is None:
            return None
        running = load.remove(lease_id)
        self._comparison.invalidate(load)
        if not load.leases and load.upstream.incarnation in self._former:
            del self._former[load.upstream.incarnation]
        return running
