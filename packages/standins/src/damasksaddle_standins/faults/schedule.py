"""The faults, and their random schedule; faults may overlap."""

import asyncio
import random
import signal
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field

from damasksaddle.utils import boottime_s
from damasksaddle_standins.faults.fleet import Fleet, Vm
from damasksaddle_standins.faults.invariants import GRACE_S, InvariantChecker
from damasksaddle_standins.faults.operator import Operator
from damasksaddle_standins.faults.proxy import Direction
from damasksaddle_standins.faults.upstreams import (
    FAILURE_DOMAINS,
    Misbehavior,
    Upstream,
    UpstreamPool,
)

# The mean time between the starts of two faults; a fault can last several times as
# long.
MEAN_FAULT_INTERVAL_S = 1.2
MIN_FAULT_KINDS, MAX_FAULT_KINDS = 2, 6
# How long all VMs have to apply the configuration before callers use a new key.
KEY_PROPAGATION_S = 2.5
# How long after a crash another upstream reuses the address.
ADDRESS_REUSE_DELAY_S = 2.0
FAULT_RECORD_INTERVAL_S = 0.2


@dataclass(slots=True)
class FaultContext:
    """The components that faults can affect, and the log of faults."""

    fleet: Fleet
    pool: UpstreamPool
    operator: Operator
    checker: InvariantChecker
    rng: random.Random
    fault_log: list[str] = field(default_factory=list)
    # Held during an evacuation, so that one failure domain keeps its upstreams.
    evacuation_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _start_s: float = field(default_factory=boottime_s)

    def log_fault(self, fault: str, vm: Vm | None = None, detail: object = "") -> None:
        """Logs a fault with the time since the start of the run."""
        target = "" if vm is None else vm.name
        self.fault_log.append(
            f"{boottime_s() - self._start_s:.2f} {fault} {target} {detail}"
        )

    @asynccontextmanager
    async def active_fault(self, vm: Vm | None) -> AsyncIterator[None]:
        """Reports a fault to the checker repeatedly until the context is left."""

        async def record_repeatedly() -> None:
            while True:
                self.checker.record_fault(None if vm is None else vm.name)
                await asyncio.sleep(FAULT_RECORD_INTERVAL_S)

        task = asyncio.create_task(record_repeatedly())
        try:
            yield
        finally:
            task.cancel()
            self.checker.record_fault(None if vm is None else vm.name)

    def choose_vm(self) -> Vm:
        """Returns a random VM."""
        return self.rng.choice(self.fleet.vms)


Fault = Callable[[FaultContext], Coroutine[None, None, None]]


@contextmanager
def _blocked(direction: Direction) -> Iterator[None]:
    direction.enabled.clear()
    try:
        yield
    finally:
        direction.enabled.set()


@contextmanager
def _delayed(direction: Direction, delay_s: float) -> Iterator[None]:
    direction.delay_s = delay_s
    try:
        yield
    finally:
        direction.delay_s = 0.0


async def kill_vm(context: FaultContext) -> None:
    await _kill_and_restart(context, context.choose_vm())


async def _kill_and_restart(context: FaultContext, vm: Vm) -> None:
    restart_delay_s = context.rng.uniform(0.2, 3.0)
    async with vm.process_lock, context.active_fault(vm):
        context.log_fault("VM killed", vm, f"{restart_delay_s:.2f} s")
        await vm.kill()
        await asyncio.sleep(restart_delay_s)
        await vm.start()


async def kill_all_vms(context: FaultContext) -> None:
    await asyncio.gather(*(_kill_and_restart(context, vm) for vm in context.fleet.vms))


async def stop_vm_gracefully(context: FaultContext) -> None:
    """Planned work, which counts as a fault only once the process has exited."""
    vm = context.choose_vm()
    async with vm.process_lock:
        context.log_fault("VM stopped with SIGTERM", vm)
        vm.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                if vm.process is not None:
                    await vm.process.wait()
        except TimeoutError:
            context.checker.violations.append(
                f"graceful shutdown exceeded the grace period: {vm.name}"
            )
        async with context.active_fault(vm):
            await vm.kill()
            await vm.start()


async def suspend_vm(context: FaultContext) -> None:
    vm = context.choose_vm()
    duration_s = context.rng.uniform(0.2, 5.0)
    async with vm.process_lock, context.active_fault(vm):
        context.log_fault("VM suspended", vm, f"{duration_s:.2f} s")
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        vm.signal(signal.SIGCONT)


async def reload_vm_settings(context: FaultContext) -> None:
    """Planned work, which does not count as a fault."""
    vm = context.choose_vm()
    async with vm.process_lock:
        context.log_fault("VM settings reloaded with SIGHUP", vm)
        vm.write_settings(f"changed at {boottime_s()}")
        vm.signal(signal.SIGHUP)


async def fail_store(context: FaultContext) -> None:
    duration_s = context.rng.uniform(0.5, 6.0)
    context.log_fault("store unavailable", None, f"{duration_s:.2f} s")
    async with context.active_fault(None):
        for vm in context.fleet.vms:
            vm.store.table.down = True
        await asyncio.sleep(duration_s)
        for vm in context.fleet.vms:
            vm.store.table.down = False


async def refuse_vm_at_store(context: FaultContext) -> None:
    vm = context.choose_vm()
    duration_s = context.rng.uniform(0.5, 6.0)
    context.log_fault("store refuses VM", vm, f"{duration_s:.2f} s")
    async with context.active_fault(vm):
        vm.store.table.down = True
        await asyncio.sleep(duration_s)
        vm.store.table.down = False


async def block_store_link(context: FaultContext) -> None:
    vm = context.choose_vm()
    duration_s = context.rng.uniform(0.5, 5.0)
    direction = context.rng.choice(
        (vm.store_proxy.to_target, vm.store_proxy.from_target)
    )
    context.log_fault("store connection blocked", vm, f"{duration_s:.2f} s")
    async with context.active_fault(vm):
        with _blocked(direction):
            await asyncio.sleep(duration_s)


async def delay_store(context: FaultContext) -> None:
    duration_s, delay_s = context.rng.uniform(1.0, 5.0), context.rng.uniform(0.05, 0.4)
    context.log_fault("store slow", None, f"{duration_s:.2f} s, {delay_s:.2f} s delay")
    directions = [vm.store_proxy.from_target for vm in context.fleet.vms]
    async with context.active_fault(None):
        for direction in directions:
            direction.delay_s = delay_s
        await asyncio.sleep(duration_s)
        for direction in directions:
            direction.delay_s = 0.0


async def lose_store_responses(context: FaultContext) -> None:
    duration_s, probability = (
        context.rng.uniform(1.0, 5.0),
        context.rng.uniform(0.1, 0.5),
    )
    context.log_fault(
        "store loses responses", None, f"{duration_s:.2f} s, {probability:.2f}"
    )
    tables = [vm.store.table for vm in context.fleet.vms]
    async with context.active_fault(None):
        for table in tables:
            table.lose_answer = lambda puts: context.rng.random() < probability
            table.postpone_write = lambda puts: context.rng.random() < probability / 2
        await asyncio.sleep(duration_s)
        for table in tables:
            table.lose_answer = table.postpone_write = lambda puts: False


async def compact_store_history(context: FaultContext) -> None:
    context.log_fault("store history compacted")
    async with context.active_fault(None):
        context.fleet.rows.compact()


async def reset_connections(context: FaultContext) -> None:
    vm = context.choose_vm()
    proxy = context.rng.choice((vm.caller_proxy, vm.store_proxy))
    context.log_fault(
        "connections reset", vm, "callers" if proxy is vm.caller_proxy else "store"
    )
    async with context.active_fault(vm):
        proxy.reset_all()


async def degrade_caller_link(context: FaultContext) -> None:
    vm = context.choose_vm()
    duration_s = context.rng.uniform(0.3, 3.0)
    direction = context.rng.choice(
        (vm.caller_proxy.to_target, vm.caller_proxy.from_target)
    )
    is_blocked = context.rng.random() < 0.5
    context.log_fault(
        "caller connection",
        vm,
        f"{duration_s:.2f} s, {'blocked' if is_blocked else 'slow'}",
    )
    async with context.active_fault(vm):
        with _blocked(direction) if is_blocked else _delayed(direction, 0.1):
            await asyncio.sleep(duration_s)


async def crash_upstream(context: FaultContext) -> None:
    upstream = context.rng.choice(context.pool.running)
    context.log_fault("upstream crashed", None, upstream.id)
    context.pool.running.remove(upstream)
    async with context.active_fault(None):
        port = upstream.port
        await upstream.crash()
        await asyncio.sleep(ADDRESS_REUSE_DELAY_S)
        # An upstream of the other service takes over the address, while the row of the
        # crashed one may still exist.
        other_service = "desk" if upstream.service == "llm" else "llm"
        await context.pool.add(other_service, port)
        await context.pool.add(upstream.service)
        await _drain(
            context, next(u for u in context.pool.running if u.service == other_service)
        )


async def _drain(context: FaultContext, upstream: Upstream) -> None:
    # Another fault may have stopped this upstream in the meantime.
    if upstream in context.pool.running:
        context.pool.running.remove(upstream)
        await upstream.drain()


async def drain_upstream(context: FaultContext) -> None:
    """Planned work, which does not count as a fault."""
    upstream = context.rng.choice(context.pool.running)
    context.log_fault("upstream drained", None, upstream.id)
    await context.pool.add(upstream.service)
    await asyncio.sleep(1.0)
    await _drain(context, upstream)


async def announce_leaving(context: FaultContext) -> None:
    """Planned work: an upstream says that it leaves before its row does."""
    upstream = context.rng.choice(context.pool.running)
    duration_s = context.rng.uniform(3.0, 6.0)
    context.log_fault(
        "upstream says it leaves", None, f"{upstream.id} {duration_s:.2f} s"
    )
    await context.pool.add(upstream.service)
    await asyncio.sleep(1.0)
    upstream.says_leaving = True
    await asyncio.sleep(duration_s)
    await _drain(context, upstream)


async def degrade_upstream(context: FaultContext) -> None:
    upstream = context.rng.choice(context.pool.running)
    duration_s, probability = (
        context.rng.uniform(1.0, 4.0),
        context.rng.uniform(0.05, 1.0),
    )
    misbehavior = context.rng.choice(list(Misbehavior))
    context.log_fault(
        f"upstream {misbehavior.value}", None, f"{upstream.id} {duration_s:.2f} s"
    )
    async with context.active_fault(None):
        upstream.misbehavior, upstream.misbehavior_probability = (
            misbehavior,
            probability,
        )
        await asyncio.sleep(duration_s)
        upstream.misbehavior_probability = 0.0


async def change_configuration(context: FaultContext) -> None:
    """Planned work, which does not count as a fault."""
    extra_routes = context.rng.choice((0, 5, 400))
    context.log_fault("configuration changed", None, f"{extra_routes} extra routes")
    context.operator.write_configuration(extra_routes)


async def replace_key(context: FaultContext) -> None:
    """Planned work, which does not count as a fault."""
    workspace = context.rng.choice(list(context.operator.keys))
    context.log_fault("key replaced", None, workspace)
    key = context.operator.give_key(workspace)
    await asyncio.sleep(KEY_PROPAGATION_S)
    context.operator.replace_key(workspace, key)


async def evacuate_failure_domain(context: FaultContext) -> None:
    """Planned work, which does not count as a fault."""
    if context.evacuation_lock.locked():
        return
    async with context.evacuation_lock:
        evacuated, other = context.rng.sample(FAILURE_DOMAINS, 2)
        duration_s = context.rng.uniform(1.0, 8.0)
        context.log_fault("domain evacuated", None, f"{evacuated} {duration_s:.2f} s")
        spares = [await context.pool.add(name, 0, other) for name in ("llm", "desk")]
        await asyncio.sleep(1.0)
        context.operator.evacuate(evacuated)
        await asyncio.sleep(duration_s)
        context.operator.end_evacuation(evacuated)
        context.log_fault("evacuation ended", None, evacuated)
        # VMs use the other upstreams again before these leave.
        await asyncio.sleep(1.0)
        for spare in spares:
            await _drain(context, spare)


FAULTS: tuple[Fault, ...] = (
    kill_vm,
    kill_all_vms,
    stop_vm_gracefully,
    suspend_vm,
    reload_vm_settings,
    fail_store,
    refuse_vm_at_store,
    block_store_link,
    delay_store,
    lose_store_responses,
    compact_store_history,
    reset_connections,
    degrade_caller_link,
    crash_upstream,
    drain_upstream,
    announce_leaving,
    degrade_upstream,
    change_configuration,
    replace_key,
    evacuate_failure_domain,
)


async def inject_faults(context: FaultContext, duration_s: float) -> None:
    """
    Injects faults of a few kinds for `duration_s` and waits until they end.

    The kinds are drawn from the seed, so that some runs have only planned work and
    others have many concurrent faults.
    """
    kind_count = context.rng.randint(MIN_FAULT_KINDS, MAX_FAULT_KINDS)
    kinds = context.rng.sample(FAULTS, kind_count)
    context.log_fault("fault kinds", None, ", ".join(kind.__name__ for kind in kinds))
    end_s = boottime_s() + duration_s
    async with asyncio.TaskGroup() as fault_tasks:
        while boottime_s() < end_s:
            await asyncio.sleep(context.rng.expovariate(1 / MEAN_FAULT_INTERVAL_S))
            fault_tasks.create_task(context.rng.choice(kinds)(context))
