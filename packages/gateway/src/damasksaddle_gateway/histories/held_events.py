"""
The events of streams that other VMs pass on, held for the loss of these VMs.

The copies of a stream are found by the VM at which its caller takes it up again. They
are in memory, for a limited time, and count in the VM's memory budget.
"""

from collections import OrderedDict
from dataclasses import dataclass

from damasksaddle.utils import boottime_s
from damasksaddle.utils.memory import MemoryBudget
from damasksaddle_gateway.histories.turn_rows import turn_name
from damasksaddle_protocol import CopyEvents, EventsFound, FindEvents

ENTRY_BYTES = 400
# The owner of the held bytes in the memory budget.
EVENTS_OWNER = "stream_events"


@dataclass(slots=True)
class _Stream:
    attempt: int
    version: str
    events: bytearray
    expires_s: float
    reserved_bytes: int = 0


class HeldEvents:
    """Events of streams, those of a stream's last request only."""

    def __init__(self, max_bytes: int, budget: MemoryBudget) -> None:
        self._max_bytes = max_bytes
        self._budget = budget
        self._size_bytes = 0
        # By the turn's name, the one that was extended last at the end.
        self._streams: OrderedDict[str, _Stream] = OrderedDict()

    def add(self, message: CopyEvents) -> None:
        """
        Extends the events of a stream; those of a later request replace them.

        Events that do not follow what is held mean that a part was lost. What is held
        is then removed, since it does not end with what the caller has.
        """
        name = turn_name(message.workspace, message.stream_id)
        known = self._streams.get(name)
        if known is not None and message.attempt < known.attempt:
            return
        if known is None or message.attempt > known.attempt:
            self._remove(name)
            known = _Stream(message.attempt, message.version, bytearray(), 0.0)
        if message.offset_bytes > len(known.events):
            self._remove(name)
            return
        del known.events[message.offset_bytes :]
        known.events += message.events
        known.expires_s = boottime_s() + message.lifetime_ms / 1000
        self._streams[name] = known
        self._streams.move_to_end(name)
        self._reserve(name, known)

    def _reserve(self, name: str, stream: _Stream) -> None:
        """Accounts for a stream; removes the oldest ones, or it, without room."""
        now_s = boottime_s()
        while (oldest := next(iter(self._streams))) != name:
            if self._streams[oldest].expires_s >= now_s:
                break
            self._remove(oldest)
        added_bytes = ENTRY_BYTES + len(stream.events) - stream.reserved_bytes
        while self._size_bytes + added_bytes > self._max_bytes or not (
            self._budget.reserve(EVENTS_OWNER, max(0, added_bytes), small=True)
        ):
            oldest = next(iter(self._streams))
            self._remove(oldest)
            if oldest == name:
                return
        if added_bytes < 0:
            self._budget.release(EVENTS_OWNER, -added_bytes)
        stream.reserved_bytes += added_bytes
        self._size_bytes += added_bytes

    def find(self, message: FindEvents) -> EventsFound:
        """Returns the events of a stream as they were passed on."""
        known = self._streams.get(turn_name(message.workspace, message.stream_id))
        if known is None or known.expires_s < boottime_s():
            return EventsFound(False, 0, "", b"")
        return EventsFound(True, known.attempt, known.version, bytes(known.events))

    def _remove(self, name: str) -> None:
        known = self._streams.pop(name, None)
        if known is not None:
            self._size_bytes -= known.reserved_bytes
            self._budget.release(EVENTS_OWNER, known.reserved_bytes)
