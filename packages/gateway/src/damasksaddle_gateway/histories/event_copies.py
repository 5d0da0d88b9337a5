"""
Copies the events of this VM's streams to other VMs before its callers get them.

A caller may take a stream up again after this VM was lost. The turn is then recorded
whole only if another VM has every event that the caller has. The copies are therefore
handed to the operating system before the events themselves: what it took leaves the
VM also if the process is killed. No response is waited for, so events are not delayed.

The VMs that hold the copies are the first ones in the rendezvous order of the stream,
so that a VM which does not know where the stream began finds them.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Protocol

from damasksaddle.exceptions import PeerError, Refusal
from damasksaddle.utils import Counter, count, get_logger, rendezvous
from damasksaddle_gateway.calls import Call
from damasksaddle_protocol import CopyEvents, EventsFound, FindEvents, Message

log = get_logger("histories")

# VMs that hold a stream's events beside its entry VM.
COPIES = 2
# VMs that are asked for them: lost or new VMs may have shifted the order since.
ASKED_VMS = 6
FIND_TIMEOUT_S = 0.15
# Copies that were sent may not have been read yet when their VM is asked.
FIND_ATTEMPTS = 3
FIND_RETRY_S = 0.03
# How long an event may wait for a connection to a VM that takes the place of a lost
# one. Connections to the first ones are opened with the turn.
MAX_CONNECT_S = 0.05
MAX_MESSAGE_BYTES = 256 * 1024


class LiveVms(Protocol):
    """Knows the VMs of the fleet that may hold copies."""

    def live_vms(self) -> list[str]: ...


class PeerMessages(Protocol):
    """Sends messages to other VMs."""

    async def connect(self, vm: str, timeout_s: float) -> None: ...

    def post(self, vm: str, message: Message) -> object | None: ...

    async def request(self, vm: str, message: Message, timeout_s: float) -> Message: ...


def _order(call: Call, live_vms: list[str]) -> list[str]:
    """Returns the VMs that may hold the events of a call's stream, in order."""
    workspace = call.workspace.name if call.workspace is not None else ""
    return rendezvous(f"stream/{workspace}/{call.metadata.stream_id}", live_vms)


@dataclass(slots=True, eq=False)
class StreamCopies:
    """The copies of one stream at other VMs; `template` is their message."""

    vm: str
    call: Call
    template: CopyEvents
    membership: LiveVms
    peers: PeerMessages
    # The connections over which the copies were sent, by VM. Another connection to the
    # same VM may lead to another process.
    _connections: dict[str, object] = field(default_factory=dict)
    _unusable: set[str] = field(default_factory=set)
    _connecting: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Starts to connect to the VMs that will hold the copies."""
        self._connecting = asyncio.create_task(self._connect_first())

    def close(self) -> None:
        if self._connecting is not None:
            self._connecting.cancel()

    def message(self, events: bytes, offset_bytes: int) -> CopyEvents:
        """Returns the message with events of the stream."""
        version = self.call.version or ""
        return replace(
            self.template, version=version, events=events, offset_bytes=offset_bytes
        )

    async def add(self, events: Sequence[bytes]) -> None:
        """
        Copies events that are about to be passed on, and were already recorded.

        A VM that was lost is replaced, and the new one gets all events of the stream.
        """
        recorder = self.call.recorder
        assert recorder is not None
        new_events = b"".join(events)
        offset_bytes = recorder.size_bytes - len(new_events)
        live = self.membership.live_vms()
        for vm, connection in list(self._connections.items()):
            sent = vm in live and self._post(vm, new_events, offset_bytes)
            if sent is not connection:
                del self._connections[vm]
        if len(self._connections) < COPIES:
            await self._replace(live, recorder.events)
        if not self._connections:
            count(Counter.EVENT_COPIES, "missing")

    def _post(self, vm: str, events: bytes, offset_bytes: int) -> object | None:
        """Sends events in messages of limited size; returns their connection."""
        sent: object | None = None
        for start in range(0, len(events), MAX_MESSAGE_BYTES):
            piece = events[start : start + MAX_MESSAGE_BYTES]
            connection = self.peers.post(vm, self.message(piece, offset_bytes + start))
            if connection is None or (start and connection is not sent):
                return None
            sent = connection
        count(Counter.EVENT_COPIES, "sent")
        return sent

    async def _replace(self, live: list[str], events: bytes) -> None:
        """Has further VMs hold all events, as far as they can be reached in time."""
        try:
            async with asyncio.timeout(MAX_CONNECT_S):
                for vm in self._candidates(live):
                    if len(self._connections) == COPIES:
                        return
                    connection = await self._start_copy(vm, events)
                    if connection is None:
                        self._unusable.add(vm)
                    else:
                        self._connections[vm] = connection
        except TimeoutError:
            log.debug("No connection in time.", stream=self.template.stream_id)

    def _candidates(self, live: list[str]) -> list[str]:
        excluded = {self.vm, *self._connections, *self._unusable}
        return [vm for vm in _order(self.call, live) if vm not in excluded][:ASKED_VMS]

    async def _start_copy(self, vm: str, events: bytes) -> object | None:
        try:
            await self.peers.connect(vm, MAX_CONNECT_S)
        except PeerError as error:
            log.debug("Could not reach a VM.", peer=vm, error=repr(error))
            return None
        return self._post(vm, events, 0)

    async def _connect_first(self) -> None:
        candidates = self._candidates(self.membership.live_vms())[:COPIES]
        await asyncio.gather(
            *(self.peers.connect(vm, FIND_TIMEOUT_S) for vm in candidates),
            return_exceptions=True,
        )


async def find_events(
    call: Call, vm: str, membership: LiveVms, peers: PeerMessages, message: FindEvents
) -> list[EventsFound]:
    """Returns the copies of a stream's events that other VMs hold."""
    others = [other for other in _order(call, membership.live_vms()) if other != vm]
    answers = await asyncio.gather(
        *(_ask(other, peers, message) for other in others[:ASKED_VMS])
    )
    return [answer for answer in answers if answer is not None]


async def _ask(vm: str, peers: PeerMessages, message: FindEvents) -> EventsFound | None:
    try:
        answer = await peers.request(vm, message, FIND_TIMEOUT_S)
    except (PeerError, Refusal) as error:
        log.debug("A VM did not reply.", peer=vm, error=repr(error))
        return None
    return answer if isinstance(answer, EventsFound) and answer.found else None
