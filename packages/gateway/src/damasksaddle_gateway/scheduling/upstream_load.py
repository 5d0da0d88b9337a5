"""
What the scheduler knows of the upstreams: what runs there, and how well they respond.

Times are relative to a reference of the service, so that a load that slows all
upstreams down makes none of them look slow.
"""

import math
import statistics
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from damasksaddle_gateway.placement import CONNECTION_SHARE
from damasksaddle_gateway.routing_config import Service, Upstream
from damasksaddle_gateway.scheduling.pace import StartRate, Window
from damasksaddle_gateway.scheduling.requests import Lease, PlaceRequest

# Weight of the newest sample in averages of logarithms.
SAMPLE_WEIGHT = 0.35
# A sample moves an average as if it deviated by this factor at most, so that a single
# outlier of any size changes it by a factor of 1.6.
MAX_SAMPLE_DEVIATION = math.log(4.0)
# Without samples, an upstream that was slow counts as average again with this time
# constant, so that it is tried again. That it was fast is forgotten more slowly:
# trying it shows soon if it is not.
SLOW_MEMORY_S = 4.0
FAST_MEMORY_S = 30.0
# Deviations below this say nothing: with the noise of single responses, the upstreams
# that happened to be fast would draw all requests of a calm service.
DEAD_BAND = 0.1
# Time for which the last sample counts in full.
FRESH_S = 1.0
# Estimates before any sample; the first samples replace them.
INITIAL_STEP_S = 0.0025
INITIAL_PREFILL_S_PER_TOKEN = 0.00001
INITIAL_CALL_S = 0.05
INITIAL_OUTPUT_RATIO = 0.5
# Each further request in a batch lengthens a decoding step by this fraction. A plain
# upstream is assumed to slow down likewise, which spreads requests.
BATCH_GROWTH = 0.05
# Weight of the newest sample in averages of the whole service.
SERVICE_WEIGHT = 0.1
# Prompts below this size say little about the time of a prefill.
MIN_PREFILL_TOKENS = 500
# Added to both times to the first event before they are compared, because a few
# milliseconds of network transit say nothing about an engine.
FIRST_EVENT_FLOOR_S = 0.02
# Share of the usual time that a plain call saves at an upstream that served the same
# affinity key, until it is learned.
INITIAL_AFFINITY_RATIO = 0.7
MIN_AFFINITY_RATIO = 0.3
# Affinity keys remembered for each plain upstream.
MAX_AFFINITY_KEYS = 256
# Requests in flight for each slot of a plain upstream: some wait there while the end of
# another request is reported, which takes about a third of a short call.
PLAIN_IN_FLIGHT_PER_SLOT = 1.34
# An upstream this many times slower than the reference is suspect. The engines of one
# service differ by a factor of 2.4.
SUSPECT_SLOWNESS = 3.0
# A response above this ratio is bad, and one below it clears a suspect upstream.
SOUND_RATIO = 2.0
# A failure adds 1 to the failure level and a success subtracts 0.25, so the level of an
# upstream that fails more than a fifth of its requests keeps rising.
SUCCESS_CREDIT = 0.25
SUSPECT_LEVEL = 1.5
MAX_LEVEL = 4.0
FAILURE_MEMORY_S = 15.0
FAILURE_RATE_WEIGHT = 0.25
# An upstream that is doubted, because it was this much slower or failed this share of
# its requests, is probed although others are predicted to be faster.
DOUBTED_SLOWNESS = 1.5
DOUBTED_FAILURE_RATE = 0.05
# It is probed after this time, which doubles with each bad response. Longer delays
# would leave a recovered upstream idle.
PROBE_DELAY_S = 1.0
MAX_PROBE_DELAY_S = 4.0
# A request that runs this many times longer than estimated at most is overdue.
OVERDUE_RATIO = 2.0
OVERDUE_RATIO_PLAIN = 5.0
OVERDUE_FLOOR_S = 0.1
# A plain call of a route without a response so far is overdue after this time.
OVERDUE_UNKNOWN_S = 2.0


@dataclass(slots=True)
class Slowness:
    """
    The time of an upstream relative to a reference, as an average of logarithms.

    `log_time` is the logarithm of the time itself for `relative_to` a reference time,
    or of a ratio for a reference of 0.
    """

    log_time: float = 0.0
    sampled_s: float = -math.inf

    @property
    def known(self) -> bool:
        """Tells whether there has been a sample."""
        return self.sampled_s > -math.inf

    def observe(self, value: float, now_s: float, replace: bool = False) -> None:
        """Adds a sample; `replace` discards earlier ones."""
        log_value = math.log(max(value, 1e-9))
        if replace or not self.known:
            self.log_time = log_value
        else:
            deviation = log_value - self.log_time
            limit = MAX_SAMPLE_DEVIATION
            self.log_time += SAMPLE_WEIGHT * min(limit, max(-limit, deviation))
        self.sampled_s = now_s

    def relative_to(self, log_reference: float, now_s: float) -> float:
        """Returns the factor to the reference, which decays to 1 without samples."""
        if self.sampled_s == -math.inf:
            return 1.0
        deviation = self.log_time - log_reference
        if -DEAD_BAND <= deviation <= DEAD_BAND:
            # It decays towards 0, so its age does not matter.
            return 1.0
        age_s = now_s - self.sampled_s - FRESH_S
        if age_s > 0:
            memory_s = SLOW_MEMORY_S if deviation > 0 else FAST_MEMORY_S
            deviation *= math.exp(-age_s / memory_s)
        if abs(deviation) <= DEAD_BAND:
            return 1.0
        return math.exp(deviation - math.copysign(DEAD_BAND, deviation))


@dataclass(slots=True)
class ServiceTimes:
    """The usual times of a service, which those of upstreams are compared to."""

    log_step: float = math.log(INITIAL_STEP_S)
    prefill_s_per_token: float = INITIAL_PREFILL_S_PER_TOKEN
    output_ratio: float = INITIAL_OUTPUT_RATIO
    affinity_ratio: float = INITIAL_AFFINITY_RATIO
    # Time for which a request occupies a slot, transit included.
    lease_s: float = INITIAL_CALL_S
    step_known: bool = False
    prefill_known: bool = False
    lease_known: bool = False
    call_log_s: dict[str, float] = field(default_factory=dict)

    def step_s(self) -> float:
        """Returns the usual time of a decoding step."""
        return math.exp(self.log_step)

    def call_s(self, route: str) -> float:
        """Returns the usual time of a plain call of a route."""
        log_s = self.call_log_s.get(route)
        return INITIAL_CALL_S if log_s is None else math.exp(log_s)

    def observe_call(self, route: str, call_s: float) -> None:
        """Adds a plain call to the moving average of its route."""
        log_s = math.log(max(call_s, 1e-6))
        known = self.call_log_s.setdefault(route, log_s)
        deviation = min(MAX_SAMPLE_DEVIATION, max(-MAX_SAMPLE_DEVIATION, log_s - known))
        self.call_log_s[route] = known + SERVICE_WEIGHT * deviation

    def observe_prefill(self, s_per_token: float) -> None:
        """Adds a prefill to the average."""
        limited = min(s_per_token, 4 * self.prefill_s_per_token)
        value = limited if self.prefill_known else s_per_token
        weight = SERVICE_WEIGHT if self.prefill_known else 1.0
        self.prefill_s_per_token += weight * (value - self.prefill_s_per_token)
        self.prefill_known = True

    def observe_lease(self, lease_s: float) -> None:
        """Adds the time for which a request occupied a slot."""
        weight = SERVICE_WEIGHT if self.lease_known else 1.0
        self.lease_s += weight * (lease_s - self.lease_s)
        self.lease_known = True

    def observe_output(self, ratio: float) -> None:
        """Adds the share of the maximum output that a response used."""
        self.output_ratio += SERVICE_WEIGHT * (min(1.0, ratio) - self.output_ratio)

    def observe_affinity(self, ratio: float) -> None:
        """Adds the relative time of a call at an upstream that holds its key."""
        self.affinity_ratio += SERVICE_WEIGHT * (ratio - self.affinity_ratio)
        self.affinity_ratio = min(1.0, max(MIN_AFFINITY_RATIO, self.affinity_ratio))

    def update_step(self, loads: "Iterable[UpstreamLoad]") -> None:
        """Sets the reference step to the median over the upstreams."""
        known = [load.step.log_time for load in loads if load.step.known]
        if known:
            self.log_step = statistics.median_low(known)
            self.step_known = True


@dataclass(slots=True)
class RunningLease:
    """
    A lease, with what was estimated when it was granted.

    `route` is None if an earlier scheduler granted it, which alone knew the route.
    """

    lease: Lease
    expires_s: float
    started_s: float
    overdue_s: float = math.inf
    batch: int = 1
    uncached_tokens: int = 0
    route: str | None = None
    affinity: str = ""
    holds_affinity: bool = False


@dataclass(slots=True)
class Condition:
    """
    What predictions for all requests share, at one moment.

    `decode_s` is the time for a token of an engine, and the factor to the usual time at
    a plain upstream. The wait for a slot is `wait_base_s`, or `wait_share` of the
    request's own time if that is longer. It holds at `at_s`, while the references of
    the service are those of `epoch`.
    """

    in_flight: int
    limit: int
    slowness: float
    decode_s: float
    prefill_s_per_token: float
    first_excess_s: float
    failure_rate: float
    wait_base_s: float
    wait_share: float
    epoch: int
    at_s: float
    is_overdue: bool
    start_wait_s: float


class UpstreamLoad:
    """What is known of one incarnation of an upstream."""

    __slots__ = (
        "body_bytes",
        "capacity_tokens",
        "cold_until_s",
        "doubted",
        "condition",
        "failure_level",
        "failure_rate",
        "failures_s",
        "first",
        "held",
        "held_tokens",
        "leases",
        "max_in_flight",
        "probe_at_s",
        "probe_delay_s",
        "reported_cold_ms",
        "starts",
        "step",
        "suspect",
        "tokens",
        "upstream",
        "window",
    )

    def __init__(self, upstream: Upstream, service: Service, starts: StartRate) -> None:
        self.upstream = upstream
        self.starts = starts
        self.leases: dict[str, RunningLease] = {}
        self.tokens = 0
        self.body_bytes = 0
        # Kept here by the comparison until the load changes.
        self.condition: Condition | None = None
        self.window = Window()
        # For plain upstreams, `step` holds the ratio to the usual time of the route.
        self.step = Slowness()
        self.first = Slowness()
        self.failure_rate = 0.0
        self.failure_level = 0.0
        self.failures_s = -math.inf
        self.suspect = False
        self.doubted = False
        self.probe_at_s = -math.inf
        self.probe_delay_s = PROBE_DELAY_S
        self.cold_until_s = -math.inf
        self.reported_cold_ms = 0.0
        self.held: OrderedDict[str, int] = OrderedDict()
        self.held_tokens = 0
        self.capacity_tokens = 0
        self.max_in_flight = 1
        self.configure(upstream, service)

    def configure(self, upstream: Upstream, service: Service) -> None:
        """Applies the current entry of the upstream and of its service."""
        self.upstream = upstream
        engine = service.engine
        slots = upstream.slots or (engine.slots if engine else 1)
        if engine is not None:
            self.capacity_tokens = engine.kv_capacity_tokens
            self.max_in_flight = slots
        else:
            self.max_in_flight = int(slots * PLAIN_IN_FLIGHT_PER_SLOT)
        if service.max_connections:
            by_connections = int(service.max_connections * CONNECTION_SHARE)
            self.max_in_flight = max(1, min(self.max_in_flight, by_connections))

    def limit(self, share: float) -> int:
        """Returns how many requests may be in flight, for a share of the slots."""
        return max(1, int(min(self.window.size, self.max_in_flight * share)))

    def fits_memory(
        self, request: PlaceRequest, share: float, max_body_bytes: int
    ) -> bool:
        """Tells whether the tokens and the body of a request fit beside what runs."""
        if self.body_bytes + request.body_bytes > max_body_bytes and self.leases:
            return False
        if not self.capacity_tokens:
            return True
        needed = request.prompt_tokens + request.max_output_tokens
        return self.tokens + needed <= self.capacity_tokens * share

    def add(self, running: RunningLease) -> None:
        """Adds a lease; one with the same id is replaced."""
        self.remove(running.lease.id)
        self.leases[running.lease.id] = running
        self.tokens += running.lease.prompt_tokens + running.lease.max_output_tokens
        self.body_bytes += running.lease.body_bytes

    def remove(self, lease_id: str) -> RunningLease | None:
        """Removes a lease; returns None if it is unknown."""
        running = self.leases.pop(lease_id, None)
        if running is not None:
            self.tokens -= running.lease.prompt_tokens + running.lease.max_output_tokens
            self.body_bytes -= running.lease.body_bytes
        return running

    def is_overdue(self, now_s: float) -> bool:
        """
        Tells whether the two oldest requests run for too long, or the only one does.

        Leases are ordered by when they were granted. A single long request among others
        says nothing of the upstream.
        """
        is_first = True
        for running in self.leases.values():
            if now_s < running.overdue_s:
                return False
            if not is_first:
                return True
            is_first = False
        return not is_first

    def hold_key(self, affinity: str, number: int) -> None:
        """
        Records that a plain upstream served an affinity key.

        The number of the first time is kept: it tells who has held the key longest.
        """
        if affinity:
            self.held[affinity] = min(number, self.held.pop(affinity, number))
            if len(self.held) > MAX_AFFINITY_KEYS:
                self.held.popitem(last=False)

    def hold_prefix(self, affinity: str, tokens: int) -> None:
        """Records that an engine holds the prefix of a program."""
        if not affinity:
            return
        self.held_tokens += tokens - self.held.pop(affinity, 0)
        self.held[affinity] = tokens
        while self.held and self.held_tokens > self.capacity_tokens > 0:
            self.held_tokens -= self.held.popitem(last=False)[1]

    def current_failure_rate(self, now_s: float) -> float:
        """Returns the share of failed requests, which decays without failures."""
        if self.failure_rate < 0.001:
            return 0.0
        return self.failure_rate * math.exp(
            (self.failures_s - now_s) / FAILURE_MEMORY_S
        )

    def record_failure(self, now_s: float) -> None:
        """Records a failed response or connection."""
        rate = self.current_failure_rate(now_s)
        decay = math.exp((self.failures_s - now_s) / FAILURE_MEMORY_S)
        level = self.failure_level * decay if self.failure_level else 0.0
        self.failure_rate = rate + FAILURE_RATE_WEIGHT * (1 - rate)
        self.failure_level = min(MAX_LEVEL, level + 1)
        self.failures_s = now_s
        self.window.record_failure(now_s)
        self.doubt(now_s, suspect=self.failure_level >= SUSPECT_LEVEL)

    def doubt(self, now_s: float, suspect: bool) -> None:
        """
        Has the upstream probed later; a suspect one gets no other requests until then.
        """
        if not self.doubted or now_s >= self.probe_at_s:
            # Requests in flight together fail together, which is one reason for a
            # longer delay and not several.
            self.probe_at_s = now_s + self.probe_delay_s
            self.probe_delay_s = min(MAX_PROBE_DELAY_S, 2 * self.probe_delay_s)
        self.doubted = True
        if suspect:
            self.suspect = True
            self.window.restart()

    def record_success(
        self, ratio: float, slowness: float, slowness_after: float, now_s: float
    ) -> None:
        """
        Records a completed response, with its time relative to the reference.

        `slowness` is the slowness of the upstream before this response.
        """
        self.failure_rate *= 1 - FAILURE_RATE_WEIGHT
        self.failure_level = max(0.0, self.failure_level - SUCCESS_CREDIT)
        in_flight = len(self.leases) + 1
        self.window.record_response(ratio / max(1.0, slowness), in_flight, now_s)
        self.window.cap(self.max_in_flight)
        if not self.doubted or ratio >= SOUND_RATIO:
            return
        # The delay falls more slowly than it rose, so that an upstream that is sound
        # now and then is not trusted each time.
        self.probe_delay_s = max(PROBE_DELAY_S, self.probe_delay_s / 2)
        self.probe_at_s = now_s
        if self.suspect:
            self.suspect = False
            self.window.restart()
            self.window.size += 1
        self.doubted = (
            slowness_after >= DOUBTED_SLOWNESS
            or self.current_failure_rate(now_s) >= DOUBTED_FAILURE_RATE
        )
