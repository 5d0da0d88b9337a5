"""The faults, and the series in which a seed lets them come and overlap."""

import asyncio
import random
import signal
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field

from damasksaddle.utils import boottime_s
from damasksaddle_standins.faults.fleet import Fleet, Vm
from damasksaddle_standins.faults.operator import Operator
from damasksaddle_standins.faults.promises import GRACE_S, Promises
from damasksaddle_standins.faults.proxy import Way
from damasksaddle_standins.faults.upstreams import Pool, Trouble, Upstream

# The mean time between two faults; they last up to several times as long.
MEAN_GAP_S = 1.2
FEWEST_KINDS, MOST_KINDS = 2, 6
# A new key is used once all VMs had the time to apply the configuration.
KEY_APPLIES_S = 2.5
# An address is used again by another upstream after this time.
ADDRESS_REUSE_S = 2.0
NOTE_STEP_S = 0.2


@dataclass(slots=True)
class World:
    """All that faults can hit."""

    fleet: Fleet
    pool: Pool
    operator: Operator
    promises: Promises
    random: random.Random
    log: list[str] = field(default_factory=list)
    _began_s: float = field(default_factory=boottime_s)

    def note(self, fault: str, vm: Vm | None = None, detail: object = "") -> None:
        """Logs a fault with its time."""
        target = "" if vm is None else vm.name
        self.log.append(f"{boottime_s() - self._began_s:.2f} {fault} {target} {detail}")

    @asynccontextmanager
    async def hitting(self, vm: Vm | None) -> AsyncIterator[None]:
        """Books that a fault lasts, until the context is left."""

        async def repeat() -> None:
            while True:
                self.promises.note_fault(None if vm is None else vm.name)
                await asyncio.sleep(NOTE_STEP_S)

        task = asyncio.create_task(repeat())
        try:
            yield
        finally:
            task.cancel()
            self.promises.note_fault(None if vm is None else vm.name)

    def any_vm(self) -> Vm:
        """Returns a VM at random."""
        return self.random.choice(self.fleet.vms)


Fault = Callable[[World], Coroutine[None, None, None]]


@contextmanager
def _closed(way: Way) -> Iterator[None]:
    way.open.clear()
    try:
        yield
    finally:
        way.open.set()


@contextmanager
def _slow(way: Way, delay_s: float) -> Iterator[None]:
    way.delay_s = delay_s
    try:
        yield
    finally:
        way.delay_s = 0.0


async def kill_vm(world: World) -> None:
    await _kill(world, world.any_vm())


async def _kill(world: World, vm: Vm) -> None:
    pause_s = world.random.uniform(0.2, 3.0)
    async with vm.busy, world.hitting(vm):
        world.note("kill", vm, f"{pause_s:.2f} s")
        await vm.end()
        await asyncio.sleep(pause_s)
        await vm.start()


async def kill_all(world: World) -> None:
    await asyncio.gather(*(_kill(world, vm) for vm in world.fleet.vms))


async def stop_vm(world: World) -> None:
    """Planned: counts as no fault until the process is gone."""
    vm = world.any_vm()
    async with vm.busy:
        world.note("term", vm)
        vm.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                if vm.process is not None:
                    await vm.process.wait()
        except TimeoutError:
            world.promises.broken.append(f"a planned stop took too long: {vm.name}")
        async with world.hitting(vm):
            await vm.end()
            await vm.start()


async def freeze_vm(world: World) -> None:
    vm = world.any_vm()
    time_s = world.random.uniform(0.2, 5.0)
    async with vm.busy, world.hitting(vm):
        world.note("freeze", vm, f"{time_s:.2f} s")
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(time_s)
        vm.signal(signal.SIGCONT)


async def reload_vm(world: World) -> None:
    """Planned: counts as no fault."""
    vm = world.any_vm()
    async with vm.busy:
        world.note("hup", vm)
        vm.write_settings(f"changed at {boottime_s()}")
        vm.signal(signal.SIGHUP)


async def store_down(world: World) -> None:
    time_s = world.random.uniform(0.5, 6.0)
    world.note("store down", None, f"{time_s:.2f} s")
    async with world.hitting(None):
        for vm in world.fleet.vms:
            vm.store.table.down = True
        await asyncio.sleep(time_s)
        for vm in world.fleet.vms:
            vm.store.table.down = False


async def store_turns_away(world: World) -> None:
    vm = world.any_vm()
    time_s = world.random.uniform(0.5, 6.0)
    world.note("store turns away", vm, f"{time_s:.2f} s")
    async with world.hitting(vm):
        vm.store.table.down = True
        await asyncio.sleep(time_s)
        vm.store.table.down = False


async def store_link_silent(world: World) -> None:
    vm = world.any_vm()
    time_s = world.random.uniform(0.5, 5.0)
    way = world.random.choice((vm.store_link.to_target, vm.store_link.from_target))
    world.note("store link silent", vm, f"{time_s:.2f} s")
    async with world.hitting(vm):
        with _closed(way):
            await asyncio.sleep(time_s)


async def store_slow(world: World) -> None:
    time_s, delay_s = world.random.uniform(1.0, 5.0), world.random.uniform(0.05, 0.4)
    world.note("store slow", None, f"{time_s:.2f} s, {delay_s:.2f} s a way")
    ways = [vm.store_link.from_target for vm in world.fleet.vms]
    async with world.hitting(None):
        for way in ways:
            way.delay_s = delay_s
        await asyncio.sleep(time_s)
        for way in ways:
            way.delay_s = 0.0


async def store_loses(world: World) -> None:
    time_s, share = world.random.uniform(1.0, 5.0), world.random.uniform(0.1, 0.5)
    world.note("store loses answers", None, f"{time_s:.2f} s, {share:.2f}")
    tables = [vm.store.table for vm in world.fleet.vms]
    async with world.hitting(None):
        for table in tables:
            table.lose = lambda puts: world.random.random() < share
            table.postpone = lambda puts: world.random.random() < share / 2
        await asyncio.sleep(time_s)
        for table in tables:
            table.lose = table.postpone = lambda puts: False


async def store_forgets(world: World) -> None:
    world.note("store forgets")
    async with world.hitting(None):
        world.fleet.rows.compact()


async def reset_links(world: World) -> None:
    vm = world.any_vm()
    link = world.random.choice((vm.caller_link, vm.store_link))
    world.note("reset", vm, "callers" if link is vm.caller_link else "store")
    async with world.hitting(vm):
        link.reset_all()


async def caller_link_bad(world: World) -> None:
    vm = world.any_vm()
    time_s = world.random.uniform(0.3, 3.0)
    way = world.random.choice((vm.caller_link.to_target, vm.caller_link.from_target))
    silent = world.random.random() < 0.5
    world.note("caller link", vm, f"{time_s:.2f} s, {'silent' if silent else 'slow'}")
    async with world.hitting(vm):
        with _closed(way) if silent else _slow(way, 0.1):
            await asyncio.sleep(time_s)


async def crash_upstream(world: World) -> None:
    upstream = world.random.choice(world.pool.running)
    world.note("upstream crashes", None, upstream.id)
    world.pool.running.remove(upstream)
    async with world.hitting(None):
        port = upstream.port
        await upstream.crash()
        await asyncio.sleep(ADDRESS_REUSE_S)
        # The address goes to the other service, while the old row may still stand.
        other = "desk" if upstream.service == "llm" else "llm"
        await world.pool.add(other, port)
        await world.pool.add(upstream.service)
        await _leave(world, next(u for u in world.pool.running if u.service == other))


async def _leave(world: World, upstream: Upstream) -> None:
    # Another fault may have ended it meanwhile.
    if upstream in world.pool.running:
        world.pool.running.remove(upstream)
        await upstream.leave()


async def release_upstream(world: World) -> None:
    """Planned: counts as no fault."""
    upstream = world.random.choice(world.pool.running)
    world.note("upstream leaves", None, upstream.id)
    await world.pool.add(upstream.service)
    await asyncio.sleep(1.0)
    await _leave(world, upstream)


async def bad_upstream(world: World) -> None:
    upstream = world.random.choice(world.pool.running)
    time_s, share = world.random.uniform(1.0, 4.0), world.random.uniform(0.05, 1.0)
    trouble = world.random.choice(list(Trouble))
    world.note(f"upstream {trouble.value}", None, f"{upstream.id} {time_s:.2f} s")
    async with world.hitting(None):
        upstream.trouble, upstream.trouble_share = trouble, share
        await asyncio.sleep(time_s)
        upstream.trouble_share = 0.0


async def change_config(world: World) -> None:
    """Planned: counts as no fault."""
    routes = world.random.choice((0, 5, 400))
    world.note("configuration", None, f"{routes} more routes")
    world.operator.write(routes)


async def replace_key(world: World) -> None:
    """Planned: counts as no fault."""
    workspace = world.random.choice(list(world.operator.keys))
    world.note("key replaced", None, workspace)
    key = world.operator.give_key(workspace)
    await asyncio.sleep(KEY_APPLIES_S)
    world.operator.replace_key(workspace, key)


FAULTS: tuple[Fault, ...] = (
    kill_vm,
    kill_all,
    stop_vm,
    freeze_vm,
    reload_vm,
    store_down,
    store_turns_away,
    store_link_silent,
    store_slow,
    store_loses,
    store_forgets,
    reset_links,
    caller_link_bad,
    crash_upstream,
    release_upstream,
    bad_upstream,
    change_config,
    replace_key,
)


async def play(world: World, time_s: float) -> None:
    """
    Lets faults of a few kinds come for some time, and waits for their end.

    Each seed draws its own kinds, so that some runs have only planned work and others
    many faults at once.
    """
    count = world.random.randint(FEWEST_KINDS, MOST_KINDS)
    kinds = world.random.sample(FAULTS, count)
    world.note("kinds", None, ", ".join(kind.__name__ for kind in kinds))
    ends_s = boottime_s() + time_s
    async with asyncio.TaskGroup() as faults:
        while boottime_s() < ends_s:
            await asyncio.sleep(world.random.expovariate(1 / MEAN_GAP_S))
            faults.create_task(world.random.choice(kinds)(world))
