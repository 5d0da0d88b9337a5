"""
Tells which software version began a stream that a request continues.

The version usually follows from the program's shard. While a shard is unsettled, or the
store is unavailable, the VM that begins a stream tells two others, and a VM asked to
continue it asks them. If the version stays unknown, the request is refused: a stream
that continues at another version would be corrupt, and nothing would show it.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from damasksaddle.exceptions import (
    NotFresh,
    PeerError,
    Refusal,
    StreamVersionUnknown,
)
from damasksaddle.utils import Counter, boottime_s, count, get_logger
from damasksaddle_gateway.calls import Call
from damasksaddle_gateway.coordinators import Coordinators
from damasksaddle_gateway.peers import Peers
from damasksaddle_gateway.routing_config import Upstream, is_resumable
from damasksaddle_gateway.version_splits import VersionSplits
from damasksaddle_node.peers import Handlers, Sender
from damasksaddle_protocol import FindStream, Message, Ok, RecordStream, StreamFound

log = get_logger("versions")

# Other VMs that remember a stream, and those that are asked for it: the order of VMs
# may have changed in between.
COPIES = 2
ASKED_VMS = 3
PEER_TIMEOUT_S = 0.3
TRIES = 2
# Bounds the memory to about 1 MB; a VM of a fleet with 2,800 streams a second keeps
# them for over two minutes.
MAX_STREAMS = 4096


@dataclass(slots=True)
class _Stream:
    """A stream, whose `key` is only known to the VM that began it."""

    version: str
    key: str | None
    began_s: float
    is_told: bool = False


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
        self._streams: OrderedDict[tuple[str, str], _Stream] = OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()
        splits.on_moved = self._tell_of_moved

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
        self._remember(service, stream, version, call.version_key)
        self._tell_if_unsettled(service, stream)

    def _tell_of_moved(self, service: str) -> None:
        """Tells other VMs of the streams whose shard was moved after they began."""
        oldest_s = boottime_s() - self.splits.max_stream_s()
        for of_service, stream in reversed(self._streams):
            if self._streams[of_service, stream].began_s < oldest_s:
                break
            if of_service == service:
                self._tell_if_unsettled(service, stream)

    def _tell_if_unsettled(self, service: str, stream: str) -> None:
        known = self._streams[service, stream]
        if known.key is None or known.is_told:
            return
        if self.splits.is_settled(service, known.key) and self._is_store_available():
            return
        known.is_told = True
        message = RecordStream(service, stream, known.version)
        task = asyncio.create_task(self._tell(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def find(self, call: Call) -> str:
        """
        Returns the version that began the stream which a request continues.

        Raises `StreamVersionUnknown`.
        """
        service, stream = call.service.name, call.metadata.stream_id
        known = self._streams.get((service, stream))
        version, source = (known.version if known else None), "memory"
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
        others = self._others(message.stream, COPIES)
        await asyncio.gather(*(self._exchange(vm, message) for vm in others))

    async def _ask(self, message: FindStream) -> str | None:
        others = self._others(message.stream, ASKED_VMS)
        answers = await asyncio.gather(*(self._exchange(vm, message) for vm in others))
        for answer in answers:
            if isinstance(answer, StreamFound) and answer.version:
                return answer.version
        return None

    async def _exchange(self, vm: str, message: Message) -> Message | None:
        """Sends a message, again on another connection if the first one broke."""
        for _ in range(TRIES):
            try:
                return await self._peers.request(vm, message, PEER_TIMEOUT_S)
            except (PeerError, Refusal) as error:
                log.debug("A VM did not reply.", peer=vm, error=repr(error))
        return None

    def _remember(
        self, service: str, stream: str, version: str, key: str | None = None
    ) -> None:
        known = _Stream(version, key, boottime_s())
        self._streams.setdefault((service, stream), known)
        while len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)

    async def _on_record(self, message: RecordStream, sender: Sender) -> Ok:
        self._remember(message.service, message.stream, message.version)
        return Ok()

    async def _on_find(self, message: FindStream, sender: Sender) -> StreamFound:
        known = self._streams.get((message.service, message.stream))
        return StreamFound(known.version if known else "")
