"""
Tells which software version began a stream that a request continues.

The version usually follows from the program's shard. While a shard is unsettled, or the
store is unavailable, the VM that begins a stream tells two others, and a VM asked to
continue it asks them. If the version stays unknown, the request is refused: a stream
that continues at another version would be corrupt, and nothing would show it.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable

from damasksaddle.exceptions import (
    NotFresh,
    PeerError,
    Refusal,
    StreamVersionUnknown,
)
from damasksaddle.utils import Counter, count, get_logger
from damasksaddle_gateway.calls import Call
from damasksaddle_gateway.coordinators import Coordinators
from damasksaddle_gateway.peers import Peers
from damasksaddle_gateway.routing_config import Upstream, is_resumable
from damasksaddle_gateway.version_splits import VersionSplits
from damasksaddle_node.peers import Handlers, Sender
from damasksaddle_protocol import FindStream, Ok, RecordStream, StreamFound

log = get_logger("versions")

# Other VMs that remember a stream, and those that are asked for it: the order of VMs
# may have changed in between.
COPIES = 2
ASKED_VMS = 3
PEER_TIMEOUT_S = 0.3
# Bounds the memory to about 1 MB; a VM of a fleet with 2,800 streams a second keeps
# them for over two minutes.
MAX_STREAMS = 4096


class StreamVersions:
    """Remembers the versions of streams and finds those of streams to continue."""

    def __init__(
        self,
        splits: VersionSplits,
        coordinators: Coordinators,
        peers: Peers,
        is_store_available: Callable[[], bool],
    ) -> None:
        self.splits = splits
        self._coordinators = coordinators
        self._peers = peers
        self._is_store_available = is_store_available
        self._streams: OrderedDict[tuple[str, str], str] = OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()

    def register_handlers(self, handlers: Handlers) -> None:
        """Registers the handlers for messages of other VMs."""
        handlers.add(RecordStream, self._on_record)
        handlers.add(FindStream, self._on_find)

    def record_start(self, call: Call, upstream: Upstream) -> None:
        """Remembers the version of a stream whose first event is about to be sent."""
        if not is_resumable(call.route.kind):
            return
        service, stream = call.service.name, call.metadata.stream_id
        call.version = version = upstream.software_version
        self._remember(service, stream, version)
        if (
            self.splits.is_settled(service, call.version_key)
            and self._is_store_available()
        ):
            return
        task = asyncio.create_task(self._tell(RecordStream(service, stream, version)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def find(self, call: Call) -> str:
        """
        Returns the version that began the stream which a request continues.

        Raises `StreamVersionUnknown`.
        """
        service, stream = call.service.name, call.metadata.stream_id
        version = self._streams.get((service, stream))
        source = "memory"
        if version is None:
            version = await self._from_split(call)
            source = "split"
        if version is None:
            version = await self._ask(FindStream(service, stream))
            source = "peers"
        count(Counter.CONTINUED_STREAMS, source if version else "unknown")
        log.info(
            "A request continues a stream.",
            request=call.metadata.request_id,
            stream=stream,
            after_event=call.metadata.last_event_id,
            version=version,
            source=source if version else None,
        )
        if version is None:
            raise StreamVersionUnknown
        return version

    async def _from_split(self, call: Call) -> str | None:
        try:
            return await self.splits.verified_version(
                call.service.name, call.version_key
            )
        except NotFresh as error:
            log.debug("Could not verify a split.", error=repr(error))
            return None

    def _others(self, stream: str, number: int) -> list[str]:
        order = self._coordinators.order(stream)
        return [vm for vm in order if vm != self._coordinators.vm][:number]

    async def _tell(self, message: RecordStream) -> None:
        async def tell(vm: str) -> None:
            await self._exchange(self._peers.request(vm, message, PEER_TIMEOUT_S))

        await asyncio.gather(*map(tell, self._others(message.stream, COPIES)))

    async def _ask(self, message: FindStream) -> str | None:
        async def ask(vm: str) -> str | None:
            found = await self._exchange(
                self._peers.request(vm, message, PEER_TIMEOUT_S)
            )
            return found.version if isinstance(found, StreamFound) else None

        answers = await asyncio.gather(
            *map(ask, self._others(message.stream, ASKED_VMS))
        )
        return next(filter(None, answers), None)

    @staticmethod
    async def _exchange(request: Awaitable[object]) -> object:
        try:
            return await request
        except (PeerError, Refusal) as error:
            log.debug("A VM did not reply.", error=repr(error))
            return None

    def _remember(self, service: str, stream: str, version: str) -> None:
        self._streams.setdefault((service, stream), version)
        while len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)

    async def _on_record(self, message: RecordStream, sender: Sender) -> Ok:
        self._remember(message.service, message.stream, message.version)
        return Ok()

    async def _on_find(self, message: FindStream, sender: Sender) -> StreamFound:
        version = self._streams.get((message.service, message.stream))
        return StreamFound(version or "")
