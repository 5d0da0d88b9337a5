"""
Compares the upstreams of a service for a request, by predicted completion.

What all requests share at one moment, the condition of an upstream, is computed once
and reused until its state changes.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from damasksaddle_gateway.routing_config import Service
from damasksaddle_gateway.scheduling.requests import PlaceRequest, RejectReason
from damasksaddle_gateway.scheduling.upstream_load import (
    BATCH_GROWTH,
    DOUBTED_FAILURE_RATE,
    FIRST_EVENT_FLOOR_S,
    Condition,
    ServiceTimes,
    UpstreamLoad,
)

# Cost of a failure in units of the request's own time. A request that must not be
# repeated is lost with its program.
RETRYABLE_FAILURE_COST = 4.0
LOST_FAILURE_COST = 20.0
# A plain upstream that has held an affinity key for longer than others gets its
# requests up to this many times the best prediction. Otherwise the key would spread
# over all upstreams, one burst after another, and displace other keys.
HOLDER_TOLERANCE = 1.5
# Random part of each prediction, which distributes requests over equal upstreams.
TIE_BREAK_S = 0.0002
# Probes go to requests that can afford them; after this time without one, to any that
# may be repeated, and after three times this time to any.
PROBE_CHOICE_S = 1.0
ANY_PROBE_S = 3.0
PROBE_TIME_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """
    What a deployment defines for the scheduler.

    `round_trip_s` is the round trip between failure domains and `local_round_trip_s`
    the one within a domain. `local_share` is the share of the slots, and of the rate of
    cold upstreams, that VMs use which decide locally. `arrival_jitter_s` is how much
    closer together two granted requests may reach an upstream than they were granted.
    `max_body_bytes` bounds the bodies in flight at an upstream.
    """

    cold_overrun: float = 1.0
    cold_slack: float = 0.0
    round_trip_s: float = 0.01
    local_round_trip_s: float = 0.0004
    local_share: float = 0.0
    arrival_jitter_s: float = 0.1
    max_body_bytes: int = 64 * 1024 * 1024


class Obstacle(StrEnum):
    """What keeps a request from an upstream now."""

    NONE = ""
    EXCLUDED = "excluded"
    VERSION = "version"
    # It failed or was slow, and no probe is due for this request. A request that must
    # not be repeated rather waits than goes to one that failed lately.
    SUSPECT = "suspect"
    # What runs there should have ended.
    OVERDUE = "overdue"
    # Its slots, or its window, are in use.
    FULL = "full"
    MEMORY = "memory"
    # It may be cold, and got as many requests as a cold one takes.
    START_RATE = "start rate"


@dataclass(slots=True)
class Prediction:
    """The predicted parts of a request's time at an upstream."""

    wait_s: float
    transit_s: float
    prefill_s: float
    decode_s: float
    # What a failure would cost, times its probability.
    penalty_s: float
    # From when the request is sent.
    run_s: float
    # From now, with the penalty.
    completion_s: float


@dataclass(slots=True)
class Choice:
    """
    The result of comparing the upstreams for a request.

    `load` is None if the request has to wait; `fastest_s` is the shortest predicted
    time without waiting, and `lacks_memory` tells whether only memory was lacking at
    some upstream.
    """

    load: UpstreamLoad | None = None
    fastest_s: float = math.inf
    lacks_memory: bool = False


class Comparison:
    """Compares the upstreams of one service."""

    def __init__(
        self,
        service: Service,
        settings: SchedulerSettings,
        times: ServiceTimes,
        rng: random.Random,
    ) -> None:
        self.service = service
        self.settings = settings
        self.grant_share = 1.0
        self.hold_until_s = -math.inf
        self.times = times
        self._random = rng
        self._epoch = 0
        # The share of the slots that may be granted.
        self.share = 1.0
        self.invalidate()

    def invalidate(self, load: UpstreamLoad | None = None) -> None:
        """Drops the condition of an upstream that changed, or of all."""
        if load is None:
            self._epoch += 1
            self.share = self.grant_share * (1 - self.settings.local_share)
        else:
            load.condition = None

    def impossible(
        self, request: PlaceRequest, loads: Iterable[UpstreamLoad]
    ) -> RejectReason | None:
        """Returns why none of the upstreams can ever get a request, or None."""
        reason = RejectReason.NO_UPSTREAM
        tokens = request.prompt_tokens + request.max_output_tokens
        for load in loads:
            upstream = load.upstream
            if upstream.id in request.excluded:
                if reason is RejectReason.NO_UPSTREAM:
                    reason = RejectReason.EXCLUDED
            elif request.software_version not in (None, upstream.software_version):
                if reason is not RejectReason.TOO_LARGE:
                    reason = RejectReason.VERSION
            elif load.capacity_tokens and tokens > load.capacity_tokens:
                reason = RejectReason.TOO_LARGE
            else:
                return None
        return reason

    def slowness(self, load: UpstreamLoad, now_s: float) -> float:
        """Returns the time of an upstream relative to the reference of the service."""
        reference = self.times.log_step if self.service.engine else 0.0
        return load.step.relative_to(reference, now_s)

    def condition(self, load: UpstreamLoad, now_s: float) -> Condition:
        """Returns the condition of an upstream."""
        condition = load.condition
        if (
            condition is None
            or condition.at_s != now_s
            or condition.epoch != self._epoch
        ):
            condition = load.condition = self._assess(load, now_s)
        return condition

    def _assess(self, load: UpstreamLoad, now_s: float) -> Condition:
        times = self.times
        in_flight = len(load.leases)
        limit = load.limit(self.share)
        slowness = self.slowness(load, now_s)
        decode_s = slowness * (1 + BATCH_GROWTH * in_flight)
        prefill_s_per_token = first_excess_s = 0.0
        if self.service.engine is not None:
            decode_s *= times.step_s()
            first = load.first.relative_to(0.0, now_s)
            prefill_s_per_token = times.prefill_s_per_token * first
            first_excess_s = FIRST_EVENT_FLOOR_S * max(0.0, first - 1)
        wait_base_s = wait_share = 0.0
        if in_flight >= limit:
            # One of the running requests ends after a share of the usual time.
            wait_share = slowness * (in_flight + 1 - limit) / max(1, in_flight)
            wait_base_s = times.lease_s * wait_share
        elif in_flight >= load.upstream.slots > 0:
            wait_share = 1 / in_flight
        # By position: with keywords, this takes five times as long for each upstream.
        return Condition(
            in_flight,
            limit,
            slowness,
            decode_s,
            prefill_s_per_token,
            first_excess_s,
            load.current_failure_rate(now_s),
            wait_base_s,
            wait_share,
            self._epoch,
            now_s,
            load.is_overdue(now_s),
            self._start_wait_s(load, now_s),
        )

    def _start_wait_s(self, load: UpstreamLoad, now_s: float) -> float:
        """Returns the time until an upstream that may be cold may get a request."""
        if self.service.cold_per_s <= 0:
            return 0.0
        limit = self.start_limit(load, now_s)
        wait_s = load.starts.wait_s(limit, self.settings.arrival_jitter_s, now_s)
        return max(wait_s, self.hold_until_s - now_s)

    def start_limit(self, load: UpstreamLoad, now_s: float) -> float:
        """Returns how many requests an upstream may get in any one second."""
        settings, per_s = self.settings, self.service.cold_per_s
        if per_s <= 0:
            return math.inf
        if load.cold_until_s > now_s:
            return per_s * (1 - settings.local_share)
        bound = per_s * settings.cold_overrun
        return bound * (1 - settings.local_share) + settings.cold_slack

    def predict(
        self, request: PlaceRequest, load: UpstreamLoad, now_s: float
    ) -> Prediction:
        """Returns the predicted times of a request at an upstream."""
        condition = self.condition(load, now_s)
        return Prediction(*self._times(request, load, condition, self._work(request)))

    def _work(self, request: PlaceRequest) -> float:
        """Returns the tokens that an engine will generate, or a plain call's time."""
        engine = self.service.engine
        if engine is None:
            return self.times.call_s(request.route)
        return max(
            engine.tokens_per_event, request.max_output_tokens * self.times.output_ratio
        )

    def _times(
        self,
        request: PlaceRequest,
        load: UpstreamLoad,
        condition: Condition,
        work: float,
    ) -> tuple[float, float, float, float, float, float, float]:
        """
        Returns the fields of a prediction, for a request of so much work.

        This runs for each upstream of each request, hence without an object.
        """
        settings = self.settings
        upstream = load.upstream
        transit_s = settings.round_trip_s
        if upstream.failure_domain == request.failure_domain:
            transit_s = settings.local_round_trip_s
        if upstream.id not in request.connected:
            transit_s *= 2
        held = load.held.get(request.affinity) if request.affinity else None
        prefill_s = 0.0
        decode_s = work * condition.decode_s
        if self.service.engine is not None:
            uncached = request.prompt_tokens - (held or 0)
            prefill_s = condition.first_excess_s
            if uncached > 0:
                prefill_s += uncached * condition.prefill_s_per_token
        elif held is not None:
            decode_s *= self.times.affinity_ratio
        run_s = transit_s + prefill_s + decode_s
        wait_s = condition.wait_share * run_s
        if wait_s < condition.wait_base_s:
            wait_s = condition.wait_base_s
        penalty_s = 0.0
        if condition.failure_rate:
            cost = RETRYABLE_FAILURE_COST if request.retryable else LOST_FAILURE_COST
            penalty_s = run_s * condition.failure_rate * cost
        completion_s = wait_s + run_s + penalty_s
        return wait_s, transit_s, prefill_s, decode_s, penalty_s, run_s, completion_s

    def obstacle(
        self, request: PlaceRequest, load: UpstreamLoad, now_s: float
    ) -> Obstacle:
        """Returns what keeps a request from an upstream now."""
        if load.upstream.id in request.excluded:
            return Obstacle.EXCLUDED
        version = request.software_version
        if version is not None and load.upstream.software_version != version:
            return Obstacle.VERSION
        return self._trouble(request, load, self.condition(load, now_s), now_s)

    def _trouble(
        self,
        request: PlaceRequest,
        load: UpstreamLoad,
        condition: Condition,
        now_s: float,
    ) -> Obstacle:
        """Returns what keeps a request from an upstream that may serve it."""
        is_risky = (
            not request.retryable and condition.failure_rate >= DOUBTED_FAILURE_RATE
        )
        if (load.suspect or is_risky) and not self.is_probe(request, load, now_s):
            return Obstacle.SUSPECT
        if condition.is_overdue:
            return Obstacle.OVERDUE
        return self._shortage(request, load, condition)

    def _shortage(
        self, request: PlaceRequest, load: UpstreamLoad, condition: Condition
    ) -> Obstacle:
        """Returns what an upstream lacks for a request now."""
        if condition.in_flight >= condition.limit:
            return Obstacle.FULL
        if not load.fits_memory(request, self.share, self.settings.max_body_bytes):
            return Obstacle.MEMORY
        if condition.start_wait_s > 0:
            return Obstacle.START_RATE
        return Obstacle.NONE

    def is_probe(self, request: PlaceRequest, load: UpstreamLoad, now_s: float) -> bool:
        """Tells whether a request may probe an upstream that is doubted."""
        due_s = now_s - load.probe_at_s
        if not load.doubted or due_s < 0 or load.leases:
            return False
        if due_s >= ANY_PROBE_S:
            return True
        if not request.retryable:
            return False
        if due_s >= PROBE_CHOICE_S:
            return True
        time_left_s = min(request.time_left_s, request.program_time_left_s or math.inf)
        needed_s = PROBE_TIME_FACTOR * self.predict(request, load, now_s).run_s
        return not request.in_progress and needed_s <= time_left_s

    def has_room(
        self, loads: Iterable[UpstreamLoad], now_s: float, restricted: bool
    ) -> bool:
        """
        Tells whether any upstream may have a free slot, whatever the request.

        If some requests are `restricted` to a part of the upstreams, most of that part
        may be suspect, which makes an idle one of them the best.
        """
        suspects = count = 0
        for load in loads:
            count += 1
            if load.suspect:
                suspects += 1
                if not load.leases and (restricted or now_s >= load.probe_at_s):
                    return True
                continue
            condition = self.condition(load, now_s)
            if condition.in_flight < condition.limit and condition.start_wait_s <= 0:
                return True
        return 2 * suspects > count

    def choose(
        self,
        request: PlaceRequest,
        loads: Iterable[UpstreamLoad],
        now_s: float,
        reserved: UpstreamLoad | None = None,
    ) -> Choice:
        """
        Returns the upstream with the earliest predicted completion.

        The upstream `reserved` is kept for another request. A request does not wait for
        a full upstream while another one has room.
        """
        choice = Choice()
        best_s = distrusted_s = math.inf
        holder: UpstreamLoad | None = None
        holder_s = holder_number = math.inf
        best: UpstreamLoad | None = None
        distrusted: UpstreamLoad | None = None
        considered = distrusted_count = 0
        excluded, version = request.excluded, request.software_version
        is_plain = self.service.engine is None
        work = self._work(request)
        for load in loads:
            upstream = load.upstream
            if upstream.id in excluded:
                continue
            if version is not None and upstream.software_version != version:
                continue
            considered += 1
            condition = self.condition(load, now_s)
            obstacle = self._trouble(request, load, condition, now_s)
            times = self._times(request, load, condition, work)
            run_s = times[-2]
            completion_s = times[-1] + TIE_BREAK_S * self._random.random()
            if obstacle is Obstacle.SUSPECT or obstacle is Obstacle.OVERDUE:
                distrusted_count += 1
                if completion_s < distrusted_s:
                    distrusted, distrusted_s = load, completion_s
                continue
            if run_s < choice.fastest_s:
                choice.fastest_s = run_s
            if obstacle is Obstacle.MEMORY:
                choice.lacks_memory = True
            elif obstacle is not Obstacle.NONE or load is reserved:
                continue
            elif load.doubted and self.is_probe(request, load, now_s):
                choice.load = load
                return choice
            else:
                if completion_s < best_s:
                    best, best_s = load, completion_s
                number = load.held.get(request.affinity) if is_plain else None
                if (
                    number is not None
                    and number < holder_number
                    and len(load.leases) < upstream.slots
                ):
                    holder, holder_s, holder_number = load, completion_s, number
        if holder is not None and is_plain and holder_s <= HOLDER_TOLERANCE * best_s:
            choice.load = holder
            return choice
        if (
            distrusted is not None
            and best is None
            and 2 * distrusted_count > considered
        ):
            # Most upstreams fail or are slow: the load or the network is the likely
            # cause, and there is nothing better.
            choice.fastest_s = min(choice.fastest_s, distrusted_s)
            condition = self.condition(distrusted, now_s)
            if self._shortage(request, distrusted, condition) is Obstacle.NONE:
                best, best_s = distrusted, distrusted_s
        choice.load = best
        return choice
