"""Learns from the outcomes of requests how fast the upstreams of a service are."""

import math
from collections.abc import Iterable

from damasksaddle_gateway.routing_config import Engine
from damasksaddle_gateway.scheduling.comparison import Comparison
from damasksaddle_gateway.scheduling.requests import Outcome
from damasksaddle_gateway.scheduling.upstream_load import (
    BATCH_GROWTH,
    DOUBTED_SLOWNESS,
    FIRST_EVENT_FLOOR_S,
    MIN_PREFILL_TOKENS,
    SOUND_RATIO,
    SUSPECT_SLOWNESS,
    RunningLease,
    UpstreamLoad,
)

# Different upstreams at which one VM fails without a success before its failures are
# not attributed to the upstreams any more. Two may fail together by chance.
VM_FAILURES = 4


class Learning:
    """
    Compares completed responses with what was usual.

    Each method returns the time of a response relative to the reference of the service.
    """

    def __init__(self, comparison: Comparison) -> None:
        self._comparison = comparison
        self._times = comparison.times
        self._calls = 0
        self._failed_at: dict[str, set[str]] = {}

    def learn(
        self,
        load: UpstreamLoad,
        running: RunningLease,
        outcome: Outcome,
        loads: Iterable[UpstreamLoad],
        now_s: float,
    ) -> None:
        """Learns from a completed response; its lease was removed before."""
        self._failed_at.pop(running.lease.vm, None)
        self._times.observe_lease(now_s - running.started_s)
        slowness = self._comparison.slowness(load, now_s)
        engine = self._comparison.service.engine
        if engine is not None:
            ratio = self._learn_stream(engine, load, running, outcome, loads, now_s)
        else:
            ratio = self._learn_call(load, running, outcome, now_s)
        slowest = max(
            self._comparison.slowness(load, now_s), load.first.relative_to(0.0, now_s)
        )
        load.record_success(ratio, slowness, slowest, now_s)
        if ratio > SOUND_RATIO and slowest > DOUBTED_SLOWNESS:
            suspect = min(ratio, slowest) > SUSPECT_SLOWNESS
            load.doubt(now_s, suspect=suspect)

    def record_failure(self, load: UpstreamLoad, vm: str, now_s: float) -> None:
        """
        Records a failed response or connection.

        A VM that fails at several upstreams in a row says more of itself, or of its
        link, than of them.
        """
        failed_at = self._failed_at.setdefault(vm, set())
        failed_at.add(load.upstream.id)
        if len(failed_at) < VM_FAILURES:
            load.record_failure(now_s)

    def forget_vm(self, vm: str) -> None:
        """Forgets the failures of a VM that is gone."""
        self._failed_at.pop(vm, None)

    def _learn_stream(
        self,
        engine: Engine,
        load: UpstreamLoad,
        running: RunningLease,
        outcome: Outcome,
        loads: Iterable[UpstreamLoad],
        now_s: float,
    ) -> float:
        times, lease = self._times, running.lease
        output_tokens = outcome.events * engine.tokens_per_event
        load.hold_prefix(running.affinity, lease.prompt_tokens + output_tokens)
        if lease.max_output_tokens and outcome.events:
            times.observe_output(output_tokens / lease.max_output_tokens)
        in_flight = (running.batch + len(load.leases) + 1) / 2
        batch = 1 + BATCH_GROWTH * (in_flight - 1)
        ratio = 1.0
        if outcome.event_gap_ms:
            step_s = outcome.event_gap_ms / 1000 / engine.tokens_per_event / batch
            if times.step_known:
                ratio = step_s / math.exp(times.log_step)
            recovered = load.doubted and ratio < SUSPECT_SLOWNESS
            load.step.observe(step_s, now_s, replace=recovered)
            times.update_step(loads)
        if outcome.first_event_ms is not None:
            first_s = outcome.first_event_ms / 1000
            decode_s = math.exp(times.log_step) * engine.tokens_per_event * batch
            decode_s *= self._comparison.slowness(load, now_s)
            ratio = max(
                ratio, self._learn_first_event(load, running, first_s, decode_s, now_s)
            )
        return ratio

    def _learn_first_event(
        self,
        load: UpstreamLoad,
        running: RunningLease,
        first_s: float,
        decode_s: float,
        now_s: float,
    ) -> float:
        times, uncached = self._times, running.uncached_tokens
        if uncached >= MIN_PREFILL_TOKENS:
            times.observe_prefill(max(1e-7, (first_s - decode_s) / uncached))
        expected_s = uncached * times.prefill_s_per_token + decode_s
        ratio = (first_s + FIRST_EVENT_FLOOR_S) / (expected_s + FIRST_EVENT_FLOOR_S)
        recovered = load.doubted and ratio < SUSPECT_SLOWNESS
        load.first.observe(ratio, now_s, replace=recovered)
        return ratio

    def _learn_call(
        self,
        load: UpstreamLoad,
        running: RunningLease,
        outcome: Outcome,
        now_s: float,
    ) -> float:
        times, route = self._times, running.route
        self._calls += 1
        load.hold_key(running.affinity, self._calls)
        if outcome.total_ms is None or route is None:
            return 1.0
        call_s = max(1e-6, outcome.total_ms / 1000)
        usual_s = times.call_s(route)
        if route not in times.call_log_s:
            usual_s = call_s
        ratio = call_s / usual_s
        if running.holds_affinity:
            times.observe_affinity(ratio / self._comparison.slowness(load, now_s))
            ratio /= times.affinity_ratio
        times.observe_call(route, usual_s * ratio)
        recovered = load.doubted and ratio < SUSPECT_SLOWNESS
        load.step.observe(ratio, now_s, replace=recovered)
        return ratio
