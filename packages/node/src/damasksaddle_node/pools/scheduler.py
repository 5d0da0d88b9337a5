"""The scheduler of a pool, at the VM that owns the pool."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from damasksaddle.config import Policy, Pool
from damasksaddle.exceptions import UpstreamUnavailable
from damasksaddle_node.pools.client import PlacedCall
from damasksaddle_node.pools.engines import MS, Held, PoolView, Running, UpstreamView
from damasksaddle_node.pools.policy import (
    choose,
    estimate_ms,
    prefill_ms,
    session_of,
)
from damasksaddle_node.pools.queue import CallQueue, Queued
from damasksaddle_protocol import Finish, Place, Placed

# How many calls a dispatch looks at that would rather wait for their cache.
LOOK_AHEAD = 16


@dataclass(eq=False, slots=True)
class _Waiter:
    queued: Queued
    done: "asyncio.Future[Placed]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class PoolScheduler:
    """
    Queues the calls of one pool and places them on its upstreams.

    `held` stops placement while a new owner does not yet know what runs.
    """

    def __init__(
        self, name: str, pool: Pool, domain_of: Callable[[str], str] = lambda vm_id: ""
    ) -> None:
        self.name = name
        self.view = PoolView(pool)
        self.queue = CallQueue()
        self.held = False
        self._domain_of = domain_of
        self._waiters: dict[int, _Waiter] = {}
        self._number = 0

    async def place(self, place: Place, weight: float) -> Placed:
        """Returns the upstream for a call, once one has a free slot."""
        if len(self.queue) >= self.view.pool.max_queue:
            raise UpstreamUnavailable("the pool's queue is full", retry_after_s=1.0)
        now_s = asyncio.get_running_loop().time()
        self._number += 1
        waiter = _Waiter(Queued(place, now_s, weight, self._number))
        self._waiters[self._number] = waiter
        self.queue.push(self.view.pool.policy, waiter.queued)
        self.dispatch()
        try:
            return await waiter.done
        except asyncio.CancelledError:
            if self._waiters.pop(waiter.queued.number, None) is not None:
                self.queue.remove(waiter.queued)
            elif waiter.done.done() and not waiter.done.cancelled():
                self._forget(place.call_id, waiter.done.result().upstream)
            raise

    def dispatch(self) -> None:
        """Places queued calls for as long as one can be placed."""
        if self.held:
            return
        now_s = asyncio.get_running_loop().time()
        passed: list[Queued] = []
        while len(passed) < LOOK_AHEAD and self.view.usable(now_s, []):
            queued = self.queue.pop()
            if queued is None:
                break
            views = self.view.usable(now_s, queued.place.excluded)
            if views and not self._better_wait(queued, views, now_s):
                self._assign(queued, views, now_s)
            else:
                passed.append(queued)
        for queued in passed:
            self.queue.push(self.view.pool.policy, queued, again=True)

    def _better_wait(
        self, queued: Queued, views: list[UpstreamView], now_s: float
    ) -> bool:
        """
        Tells whether a call should wait for the upstream that has its cache.

        It waits at most as long as computing the cached prefix again would take.
        """
        if self.view.pool.policy is not Policy.PROGRAM_FAIR:
            return False
        place = queued.place
        session = session_of(place)
        homes = [
            view
            for view in self.view.upstreams.values()
            if view.cached(session)
            and view not in views
            and view.upstream.name not in place.excluded
            and view.open_to_work(now_s)
        ]
        if not homes:
            return False
        home = max(homes, key=lambda view: view.cached(session))
        saved_ms = min(prefill_ms(place, view) for view in views) - prefill_ms(
            place, home
        )
        waited_ms = (now_s - queued.since_s) * MS
        return waited_ms + self._slot_wait_ms(home, now_s) < saved_ms

    def _slot_wait_ms(self, view: UpstreamView, now_s: float) -> float:
        """Returns when an upstream's next slot is expected to be free."""
        left = [
            max(0.0, running.expected_ms - (now_s - running.since_s) * MS)
            for running in view.running.values()
        ]
        return min(left, default=0.0)

    def _assign(self, queued: Queued, views: list[UpstreamView], now_s: float) -> None:
        place = queued.place
        domain = self._domain_of(place.vm_id)
        pool = self.view.pool
        choice = choose(pool.policy, place, views, queued.number, domain)
        view = choice.view
        running = view.start(place, now_s)
        if view.token_ms:
            running.expected_ms = choice.expected_ms or estimate_ms(place, view)
        running.charged_tokens = place.max_tokens + view.missing(place)
        self.queue.charge(queued, running.charged_tokens)
        waiter = self._waiters.pop(queued.number)
        waited_ms = int((now_s - queued.since_s) * MS)
        upstream = view.upstream
        if not waiter.done.done():
            waiter.done.set_result(
                Placed(upstream.name, upstream.url, waited_ms, choice.reason)
            )

    def _forget(self, call_id: str, upstream: str) -> None:
        view = self.view.upstreams.get(upstream)
        if view is not None:
            view.drop(call_id, asyncio.get_running_loop().time())
        self.dispatch()

    def finish(self, message: Finish, weight_of: Callable[[str], float]) -> None:
        """Frees the call's slot and learns from how it went."""
        view = self.view.upstreams.get(message.upstream)
        if view is None:
            return
        now_s = asyncio.get_running_loop().time()
        running = view.drop(message.call_id, now_s)
        if message.failed:
            view.fail(now_s)
        elif running is not None:
            self._settle(running, message, weight_of(running.place.workspace))
            self._learn(view, running.place, message, now_s)
        self.dispatch()

    def _settle(self, running: Running, message: Finish, weight: float) -> None:
        """Replaces the estimate that was charged by the tokens in fact served."""
        computed = max(0, message.prompt_tokens - message.cached_tokens)
        tokens = computed + message.served_tokens - running.charged_tokens
        self.queue.settle(running.place.workspace, tokens, weight)

    def _learn(
        self, view: UpstreamView, place: Place, message: Finish, now_s: float
    ) -> None:
        token_ms = view.observe(message)
        if message.served_tokens > 1:
            self.view.judge(view, token_ms, now_s)
        session = session_of(place)
        if message.program_ended:
            for other in self.view.upstreams.values():
                other.held.pop(session, None)
        elif message.prompt_tokens:
            ratio = message.prompt_tokens / max(1, place.prompt_tokens)
            self.view.calibration.observe(ratio)
            tokens = message.prompt_tokens + message.served_tokens
            view.held[session] = Held(tokens, now_s, ratio)

    def register(self, vm_id: str, calls: list[str]) -> None:
        """Takes over calls that another owner placed for a VM."""
        now_s = asyncio.get_running_loop().time()
        for text in calls:
            call = PlacedCall.load(text)
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
            view.start(place, now_s)

    def drop_vm(self, vm_id: str) -> None:
        """Frees the slots of calls whose owner was removed from the fleet."""
        now_s = asyncio.get_running_loop().time()
        for view in self.view.upstreams.values():
            for call_id, running in list(view.running.items()):
                if running.place.vm_id == vm_id:
                    view.drop(call_id, now_s)
        self.dispatch()

    def fail_all(self, error: Exception) -> None:
        """Fails the queue, because this VM does not own the pool any more."""
        for waiter in self._waiters.values():
            if not waiter.done.done():
                waiter.done.set_exception(error)
        self._waiters.clear()
        self.queue.clear()

    @property
    def queued(self) -> int:
        """How many calls wait."""
        return len(self.queue)
