"""The scheduler of a pool, which runs on the VM that owns the pool."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from damasksaddle.config import Policy, Pool
from damasksaddle.exceptions import UpstreamUnavailable
from damasksaddle_node.pools.client import PlacedCall
from damasksaddle_node.pools.policy import (
    choose_upstream,
    estimate_ms,
    prefill_ms,
    session_key,
)
from damasksaddle_node.pools.queue import CallQueue, QueuedCall
from damasksaddle_node.pools.views import (
    MS_PER_S,
    CachedSession,
    PoolView,
    RunningCall,
    UpstreamView,
)
from damasksaddle_protocol import Finish, Place, Placed

# Maximum number of queued calls that a dispatch skips, for example because they wait
# for the upstream that has their cache.
MAX_DEFERRED_CALLS = 16


@dataclass(eq=False, slots=True)
class _Waiter:
    queued: QueuedCall
    future: "asyncio.Future[Placed]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class PoolScheduler:
    """
    Queues the calls of one pool and places them on its upstreams.

    `paused` stops placement while a new owner does not know all running calls yet.
    """

    def __init__(
        self,
        name: str,
        pool: Pool,
        failure_domain_of: Callable[[str], str] = lambda vm_id: "",
    ) -> None:
        self.name = name
        self.view = PoolView(pool)
        self.queue = CallQueue()
        self.paused = False
        self._failure_domain_of = failure_domain_of
        self._waiters: dict[int, _Waiter] = {}
        self._number = 0

    async def place(self, place: Place, weight: float) -> Placed:
        """Waits until an upstream has a free slot for a call; returns the upstream."""
        if len(self.queue) >= self.view.pool.max_queue:
            raise UpstreamUnavailable("the pool's queue is full", retry_after_s=1.0)
        now_s = asyncio.get_running_loop().time()
        self._number += 1
        waiter = _Waiter(QueuedCall(place, now_s, weight, self._number))
        self._waiters[self._number] = waiter
        self.queue.push(self.view.pool.policy, waiter.queued)
        self.dispatch()
        try:
            return await waiter.future
        except asyncio.CancelledError:
            if self._waiters.pop(waiter.queued.number, None) is not None:
                self.queue.remove(waiter.queued)
            elif waiter.future.done() and not waiter.future.cancelled():
                self._release_slot(place.call_id, waiter.future.result().upstream)
            raise

    def dispatch(self) -> None:
        """Places queued calls while upstreams have free slots."""
        if self.paused:
            return
        now_s = asyncio.get_running_loop().time()
        deferred: list[QueuedCall] = []
        while len(deferred) < MAX_DEFERRED_CALLS and self.view.available_upstreams(
            now_s, []
        ):
            queued = self.queue.pop()
            if queued is None:
                break
            views = self.view.available_upstreams(now_s, queued.place.excluded)
            if views and not self._should_wait_for_cache(queued, views, now_s):
                self._assign(queued, views, now_s)
            else:
                deferred.append(queued)
        for queued in deferred:
            self.queue.push(self.view.pool.policy, queued, requeued=True)

    def _should_wait_for_cache(
        self, queued: QueuedCall, views: list[UpstreamView], now_s: float
    ) -> bool:
        """
        Returns whether a call should wait for the upstream that has its KV cache.

        The total wait is limited to the time that recomputing the prefix would take.
        """
        if self.view.pool.policy is not Policy.PROGRAM_FAIR:
            return False
        place = queued.place
        session = session_key(place)
        cache_holders = [
            view
            for view in self.view.upstreams.values()
            if view.cached_tokens(session)
            and view not in views
            and view.upstream.name not in place.excluded
            and view.accepts_calls(now_s)
        ]
        if not cache_holders:
            return False
        cache_holder = max(cache_holders, key=lambda view: view.cached_tokens(session))
        saved_ms = min(prefill_ms(place, view) for view in views) - prefill_ms(
            place, cache_holder
        )
        waited_ms = (now_s - queued.queued_s) * MS_PER_S
        return waited_ms + self._slot_wait_ms(cache_holder, now_s) < saved_ms

    def _slot_wait_ms(self, view: UpstreamView, now_s: float) -> float:
        """Returns the expected time until a slot of an upstream is free."""
        remaining_ms = [
            max(0.0, running.expected_ms - (now_s - running.started_s) * MS_PER_S)
            for running in view.running.values()
        ]
        return min(remaining_ms, default=0.0)

    def _assign(
        self, queued: QueuedCall, views: list[UpstreamView], now_s: float
    ) -> None:
        place = queued.place
        failure_domain = self._failure_domain_of(place.vm_id)
        pool = self.view.pool
        placement = choose_upstream(
            pool.policy, place, views, queued.number, failure_domain
        )
        view = placement.view
        running = view.add_call(place, now_s)
        if view.token_ms:
            running.expected_ms = placement.expected_ms or estimate_ms(place, view)
        running.charged_tokens = place.max_tokens + view.tokens_to_compute(place)
        self.queue.charge(queued, running.charged_tokens)
        waiter = self._waiters.pop(queued.number)
        waited_ms = int((now_s - queued.queued_s) * MS_PER_S)
        upstream = view.upstream
        if not waiter.future.done():
            waiter.future.set_result(
                Placed(upstream.name, upstream.url, waited_ms, placement.reason)
            )

    def _release_slot(self, call_id: str, upstream: str) -> None:
        view = self.view.upstreams.get(upstream)
        if view is not None:
            view.remove_call(call_id, asyncio.get_running_loop().time())
        self.dispatch()

    def finish(self, message: Finish, weight_of: Callable[[str], float]) -> None:
        """Frees the slot of a finished call and updates the estimates with it."""
        view = self.view.upstreams.get(message.upstream)
        if view is None:
            return
        now_s = asyncio.get_running_loop().time()
        running = view.remove_call(message.call_id, now_s)
        if message.failed:
            view.record_failure(now_s)
        elif running is not None:
            self._adjust_charge(running, message, weight_of(running.place.workspace))
            self._update_views(view, running.place, message, now_s)
        self.dispatch()

    def _adjust_charge(
        self, running: RunningCall, message: Finish, weight: float
    ) -> None:
        """Corrects the charged estimate to the tokens that were actually served."""
        computed = max(0, message.prompt_tokens - message.cached_tokens)
        tokens = computed + message.served_tokens - running.charged_tokens
        self.queue.adjust_charge(running.place.workspace, tokens, weight)

    def _update_views(
        self, view: UpstreamView, place: Place, message: Finish, now_s: float
    ) -> None:
        token_ms = view.record_finish(message)
        if message.served_tokens > 1:
            self.view.update_slowness(view, token_ms, now_s)
        session = session_key(place)
        if message.program_ended:
            for other in self.view.upstreams.values():
                other.cached_sessions.pop(session, None)
        elif message.prompt_tokens:
            ratio = message.prompt_tokens / max(1, place.prompt_tokens)
            self.view.calibration.observe(ratio)
            tokens = message.prompt_tokens + message.served_tokens
            view.cached_sessions[session] = CachedSession(tokens, now_s, ratio)

    def register_calls(self, vm_id: str, calls: list[str]) -> None:
        """Adds running calls of a VM that another owner has placed."""
        now_s = asyncio.get_running_loop().time()
        for text in calls:
            call = PlacedCall.from_json(text)
            view = self.view.upstreams.get(call.upstream)
            if view is None or call.call_id in view.running:
                continue
            place = Place(
                call.call_id,
                self.name,
                call.workspace,
                call.program_id,
                call.prompt_tokens,
                call.max_tokens,
                vm_id=vm_id,
            )
            view.add_call(place, now_s)

    def remove_vm(self, vm_id: str) -> None:
        """Frees the slots of calls of a VM that is no longer a member."""
        now_s = asyncio.get_running_loop().time()
        for view in self.view.upstreams.values():
            for call_id, running in list(view.running.items()):
                if running.place.vm_id == vm_id:
                    view.remove_call(call_id, now_s)
        self.dispatch()

    def fail_queued(self, error: Exception) -> None:
        """Fails all queued calls when this VM no longer owns the pool."""
        for waiter in self._waiters.values():
            if not waiter.future.done():
                waiter.future.set_exception(error)
        self._waiters.clear()
        self.queue.clear()

    @property
    def queued(self) -> int:
        """The number of queued calls."""
        return len(self.queue)
