"""The scheduler's view of the upstreams of a pool."""

import statistics
from collections import deque
from dataclasses import dataclass, field

from damasksaddle.config import Pool, RouteKind, Upstream
from damasksaddle_node.upstreams import CacheEvent, EngineLoad
from damasksaddle_protocol import Finish, Place

MS_PER_S = 1000
# Weight of the newest sample in the exponential moving averages.
SMOOTHING_FACTOR = 0.2
# An upstream is suspended after this many consecutive failures.
FAILURES_TO_SUSPEND = 2
SUSPENSION_S = 5.0
# A time per token of this many times the pool's median indicates a grey failure. In
# the benchmark, a full batch that includes prefill stays below 4 times the median.
SLOW_FACTOR = 6.0
# Calls that run for a shorter time are not used to detect slowness.
MIN_SLOW_AGE_S = 2.0
# A slow upstream gets one probe call after this delay, which doubles each time.
PROBE_DELAY_S = 15.0
MAX_PROBE_DELAY_S = 240.0
# Maximum age of a load report; it may still count calls that ended since.
MAX_REPORT_LAG_S = 3.0
# Prefill time per token before any prefill of the minimum sample size was observed.
INITIAL_PREFILL_MS_PER_TOKEN = 0.5
MIN_PREFILL_SAMPLE_TOKENS = 200


@dataclass(slots=True)
class RunningCall:
    """A call that was placed and has not finished."""

    place: Place
    started_s: float
    expected_ms: float = 0.0
    charged_tokens: int = 0


@dataclass(slots=True)
class Calibration:
    """
    The ratio of prompt tokens that engines count to estimated prompt tokens.

    Estimates are upper bounds computed from bytes, and can be twice the real count.
    """

    ratio: float = 1.0
    observed: bool = False

    def observe(self, ratio: float) -> None:
        """Updates the ratio with a finished call."""
        self.ratio += (SMOOTHING_FACTOR if self.observed else 1.0) * (
            ratio - self.ratio
        )
        self.observed = True


@dataclass(slots=True)
class CachedSession:
    """
    The estimated KV cache of a session on an upstream.

    `ratio` is the calibration of this session, 0 if unknown.
    """

    tokens: int
    updated_s: float
    ratio: float = 0.0


@dataclass(slots=True)
class UpstreamView:
    """
    The scheduler's view of one upstream.

    `external_calls` counts calls in load reports that this scheduler did not place.
    """

    upstream: Upstream
    calibration: Calibration = field(default_factory=Calibration)
    running: dict[str, RunningCall] = field(default_factory=dict)
    cached_sessions: dict[str, CachedSession] = field(default_factory=dict)
    first_token_ms: float = 0.0
    token_ms: float = 0.0
    prefill_ms_per_token: float = INITIAL_PREFILL_MS_PER_TOKEN
    failures: int = 0
    suspended_until_s: float = 0.0
    listed_leaving: bool = False
    loading: bool = False
    external_calls: int = 0
    slow: bool = False
    probe_at_s: float = 0.0
    probe_delay_s: float = PROBE_DELAY_S
    last_event_number: int = 0
    needs_sessions: bool = True
    recent_ends_s: deque[float] = field(default_factory=lambda: deque(maxlen=512))

    @property
    def leaving(self) -> bool:
        """Whether the upstream must not get new calls."""
        return self.upstream.leaving or self.listed_leaving

    def free_slots(self) -> int:
        """Returns the number of additional calls that it can run."""
        return self.upstream.slots - len(self.running) - self.external_calls

    def accepts_calls(self, now_s: float) -> bool:
        """Returns whether calls may be placed here, now or once a slot is free."""
        if self.leaving or self.loading or self.suspended_until_s > now_s:
            return False
        return not self.slow or (self.probe_at_s <= now_s and not self.running)

    def is_available(self, now_s: float) -> bool:
        """Returns whether a call may be placed here now."""
        return self.accepts_calls(now_s) and self.free_slots() > 0

    def cached_tokens(self, session: str) -> int:
        """Returns the estimated number of cached tokens of a session."""
        entry = self.cached_sessions.get(session)
        return entry.tokens if entry else 0

    def tokens_to_compute(self, place: Place) -> int:
        """Returns the estimated number of prompt tokens that are not cached here."""
        entry = self.cached_sessions.get(f"{place.workspace}/{place.program_id}")
        ratio = entry.ratio if entry and entry.ratio else self.calibration.ratio
        cached = entry.tokens if entry else 0
        return max(0, int(place.prompt_tokens * ratio) - cached)

    def add_call(self, place: Place, now_s: float) -> RunningCall:
        """Records that a call was placed here."""
        running = self.running[place.call_id] = RunningCall(place, now_s)
        return running

    def remove_call(self, call_id: str, now_s: float) -> RunningCall | None:
        """Removes a call and frees its slot; returns None if it is unknown."""
        running = self.running.pop(call_id, None)
        if running is not None:
            self.recent_ends_s.append(now_s)
        return running

    def record_finish(self, finish: Finish) -> float:
        """Updates the averages with a finished call; returns its time per token."""
        self.failures = 0
        output_ms = max(0, finish.total_ms - finish.first_token_ms)
        token_ms = output_ms / max(1, finish.served_tokens - 1)
        is_first = not self.token_ms
        weight = 1.0 if is_first else SMOOTHING_FACTOR
        self.first_token_ms += weight * (finish.first_token_ms - self.first_token_ms)
        self.token_ms += weight * (token_ms - self.token_ms)
        computed = finish.prompt_tokens - finish.cached_tokens
        if computed >= MIN_PREFILL_SAMPLE_TOKENS:
            sample = finish.first_token_ms / computed
            # The time to the first token includes waiting for other calls, so the
            # average follows low samples faster than high ones.
            is_faster = sample < self.prefill_ms_per_token
            weight = SMOOTHING_FACTOR if is_faster else SMOOTHING_FACTOR / 10
            self.prefill_ms_per_token += weight * (sample - self.prefill_ms_per_token)
        return token_ms

    def record_failure(self, now_s: float) -> None:
        """Records a failed call or connection; consecutive failures suspend it."""
        self.failures += 1
        if self.failures >= FAILURES_TO_SUSPEND:
            self.suspended_until_s = now_s + SUSPENSION_S

    def mark_slow(self, now_s: float) -> None:
        """Marks the upstream as slow; it gets no calls until the next probe."""
        if self.slow:
            self.probe_delay_s = min(2 * self.probe_delay_s, MAX_PROBE_DELAY_S)
        self.slow = True
        self.probe_at_s = now_s + self.probe_delay_s

    def mark_recovered(self, token_ms: float) -> None:
        """Marks a slow upstream as usable again."""
        self.slow = False
        self.probe_delay_s = PROBE_DELAY_S
        self.token_ms = token_ms

    def apply_load_report(
        self, report: EngineLoad, with_sessions: bool, now_s: float
    ) -> None:
        """
        Updates the view with a load report.

        The report lags, so calls that ended recently do not count as external.
        """
        while self.recent_ends_s and self.recent_ends_s[0] < now_s - MAX_REPORT_LAG_S:
            self.recent_ends_s.popleft()
        reported = report.running + report.waiting
        self.external_calls = max(
            0, reported - len(self.running) - len(self.recent_ends_s)
        )
        if with_sessions:
            self.needs_sessions = False
            self._replace_sessions(report.sessions, now_s)

    def _replace_sessions(self, sessions: dict[str, int], now_s: float) -> None:
        recent = {
            name: entry
            for name, entry in self.cached_sessions.items()
            if entry.updated_s > now_s - MAX_REPORT_LAG_S
        }
        self.cached_sessions = {
            name: CachedSession(tokens, now_s) for name, tokens in sessions.items()
        }
        self.cached_sessions.update(recent)

    def apply_cache_events(self, events: list[CacheEvent], now_s: float) -> None:
        """Applies cache events; after a gap, all sessions are requested again."""
        for event in events:
            if event.number != self.last_event_number + 1:
                self.needs_sessions = True
            self.last_event_number = event.number
            entry = self.cached_sessions.get(event.session)
            if entry is not None and entry.updated_s > now_s - MAX_REPORT_LAG_S:
                continue
            if event.tokens:
                self.cached_sessions[event.session] = CachedSession(event.tokens, now_s)
            else:
                self.cached_sessions.pop(event.session, None)


class PoolView:
    """The upstreams of one pool."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.calibration = Calibration()
        self.upstreams: dict[str, UpstreamView] = {}
        self.update(pool)

    def update(self, pool: Pool) -> None:
        """Applies a changed document; the views of remaining upstreams are kept."""
        self.pool = pool
        previous = self.upstreams
        self.upstreams = {}
        for upstream in pool.upstreams:
            view = previous.get(upstream.name)
            if view is None:
                view = UpstreamView(upstream, self.calibration)
            view.upstream = upstream
            self.upstreams[upstream.name] = view

    def available_upstreams(
        self, now_s: float, excluded: list[str]
    ) -> list[UpstreamView]:
        """Returns the upstreams that can take a call now."""
        return [
            view
            for name, view in self.upstreams.items()
            if name not in excluded and view.is_available(now_s)
        ]

    def median_token_ms(self) -> float:
        """Returns the median time per token of the upstreams, 0 if unknown."""
        known = [view.token_ms for view in self.upstreams.values() if view.token_ms]
        return statistics.median_low(known) if len(known) > 1 else 0.0

    def update_slowness(
        self, view: UpstreamView, token_ms: float, now_s: float
    ) -> None:
        """Marks an upstream as slow or as recovered, based on a finished call."""
        median = self.median_token_ms()
        if not median:
            return
        if view.slow:
            if token_ms < SLOW_FACTOR * median:
                view.mark_recovered(token_ms)
            else:
                view.mark_slow(now_s)
        elif view.token_ms > SLOW_FACTOR * median:
            self._drain_unless_most_slow(view, now_s)

    def drain_overdue(self, now_s: float) -> None:
        """Marks engines as slow if running calls far exceed their expected time."""
        if self.pool.kind is not RouteKind.MODEL:
            # The duration of a call to a plain service depends on the request.
            return
        for view in self.upstreams.values():
            overdue = any(
                now_s - running.started_s
                > max(MIN_SLOW_AGE_S, SLOW_FACTOR * running.expected_ms / MS_PER_S)
                for running in view.running.values()
                if running.expected_ms
            )
            if overdue and not view.slow:
                self._drain_unless_most_slow(view, now_s)

    def _drain_unless_most_slow(self, view: UpstreamView, now_s: float) -> None:
        # If most upstreams look slow, high load is the likely cause.
        slow = sum(1 for other in self.upstreams.values() if other.slow)
        if 2 * (slow + 1) <= len(self.upstreams):
            view.mark_slow(now_s)
