"""Many VMs before upstreams of several software versions, which begin streams."""

import asyncio
import random
from types import SimpleNamespace
from typing import Any

from multidict import CIMultiDict

from damasksaddle.exceptions import NotFresh, StreamVersionUnknown
from damasksaddle_gateway.calls import Call
from damasksaddle_gateway.coordinators import Coordinators
from damasksaddle_gateway.interfaces import ProgramMetadata, RequestMetadata
from damasksaddle_gateway.routing_config import (
    Route,
    RoutingConfig,
    Service,
    Streaming,
    Target,
    Upstream,
)
from damasksaddle_gateway.store import StoreCircuitBreaker
from damasksaddle_gateway.stream_versions import StreamVersions
from damasksaddle_gateway.version_splits import VersionSplits
from damasksaddle_standins.loopback_fleet import LoopbackFleet, LoopbackPeers
from damasksaddle_standins.versioned_table import MemoryVersionedTable, VersionedRows

SERVICE = "llm"
ROUTE = Route(
    "turns",
    "desk.example",
    "/",
    Streaming(resumable=True, max_gap_ms=200),
    (Target(SERVICE, 1.0),),
    4000.0,
    300.0,
    0,
    1,
    False,
)
CONFIG = RoutingConfig(1, (ROUTE,), {SERVICE: Service(SERVICE, 100)}, {}, {})
STREAM_S = 0.3


def _call(request: str, program: str, resumed: str = "") -> Call:
    metadata = RequestMetadata(
        request_id=request,
        key="",
        deadline_ms=None,
        program=ProgramMetadata(program, "", None, None) if program else None,
        prompt_tokens=0,
        max_output_tokens=0,
        prompt_parts=(),
        last_event_id="1" if resumed else "",
        forwarded=CIMultiDict(),
        resumed_request_id=resumed,
    )
    service = CONFIG.services[SERVICE]
    return Call(
        metadata, ROUTE, service, None, "POST", "/", b"", (), 0.0, 60.0, "", False
    )


class VersionFleet(LoopbackFleet):
    """
    VMs that share a store and a list of upstreams.

    `begun` holds the version of each stream, and `joined` the streams that went on at
    another one.
    """

    def __init__(self, size: int, seed: int = 0) -> None:
        super().__init__(size, lambda *parts: None)
        self.rows = VersionedRows()
        self.tables: dict[str, MemoryVersionedTable] = {}
        self.streams: dict[str, StreamVersions] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.begun: dict[str, tuple[str, str]] = {}
        self.joined: list[str] = []
        self.continued = 0
        self.refused = 0
        self.random = random.Random(seed)
        self._services: dict[str, VersionSplits] = {}

    def set_upstreams(self, *versions: str) -> None:
        """Replaces the list of upstreams by one upstream for each version given."""
        self.upstreams.clear()
        for number, version in enumerate(versions):
            name = f"u{number}"
            self.upstreams[name] = Upstream(
                name, SERVICE, f"{name}:1", "a", 4, False, 0, version
            )

    async def start(self, vm: str) -> None:
        """Starts the process of a VM, or replaces it by one that knows nothing."""
        await self.stop(vm)
        membership: Any = SimpleNamespace(live_vms=lambda: self.vms)
        peers: Any = LoopbackPeers(vm, self)
        self.peers[vm] = peers
        self.tables[vm] = MemoryVersionedTable(self.rows)
        table = StoreCircuitBreaker(self.tables[vm])
        config_watcher: Any = SimpleNamespace(
            config=CONFIG,
            upstreams=self.upstreams,
            evacuated=frozenset(),
            is_leaving=lambda upstream: False,
        )
        coordinators = Coordinators(vm, table, membership, peers)
        splits = VersionSplits(table, config_watcher, coordinators)
        self.streams[vm] = StreamVersions(
            splits, coordinators, peers, table.is_available
        )
        self.streams[vm].register_handlers(peers.handlers)
        self._services[vm] = splits
        await splits.start()

    async def stop(self, vm: str) -> None:
        """Ends the process of a VM."""
        splits = self._services.pop(vm, None)
        if splits is not None:
            await splits.stop()

    async def restart_all(self) -> None:
        """Kills all VMs at once and starts them again; only the store remembers."""
        await asyncio.gather(*map(self.stop, self.vms))
        for vm in self.vms:
            await self.start(vm)

    async def begin(self, stream: str, program: str = "") -> None:
        """Begins a stream at a random VM."""
        streams = self.streams[self.random.choice(self.vms)]
        call = _call(stream, program)
        version = await streams.splits.assigned_version(SERVICE, call.version_key)
        upstream = next(
            (
                known
                for known in self.upstreams.values()
                if known.software_version == version
            ),
            None,
        )
        if upstream is None:
            return
        streams.record_start(call, upstream)
        self.begun[stream] = program, version

    async def take_up(self, stream: str, vm: str | None = None) -> None:
        """Takes a stream up, at a random VM unless one is given."""
        streams = self.streams[vm or self.random.choice(self.vms)]
        program, began_at = self.begun[stream]
        call = _call(f"{stream}-again", program, resumed=stream)
        try:
            version = await streams.find(call)
        except (StreamVersionUnknown, NotFresh):
            self.refused += 1
            return
        self.continued += 1
        if version != began_at:
            self.joined.append(stream)

    async def begin_many(self, number: int, pause_s: float) -> list[str]:
        """Begins streams of different programs and returns their names."""
        streams = []
        for _ in range(number):
            stream = f"s{len(self.begun)}-{self.random.getrandbits(32):x}"
            await self.begin(stream, f"program-{stream}")
            if stream in self.begun:
                streams.append(stream)
            await asyncio.sleep(pause_s)
        return streams

    async def take_up_all(self, streams: list[str]) -> None:
        """Takes up several streams, one after the other."""
        for stream in streams:
            await self.take_up(stream)

    async def __aexit__(self, *error: object) -> None:
        for vm in list(self._services):
            await self.stop(vm)
        await super().__aexit__(*error)
