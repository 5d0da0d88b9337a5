"""
Completes the bodies of turns from what is stored, and stores the turns that ended.

A turn carries only its new input. Its coordinator, a VM of the same failure domain, has
the turns that it continues from in memory or reads them. The end of a response is held
back until the store has acknowledged the turn.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Protocol

from aiohttp import hdrs

from damasksaddle.exceptions import (
    HistoryUnavailable,
    MemoryExceeded,
    StoreUnavailable,
    TurnNotFound,
)
from damasksaddle.utils import (
    Counter,
    Timing,
    boottime_s,
    count,
    get_logger,
    measure,
    rendezvous,
)
from damasksaddle.utils.connections import Memory
from damasksaddle_gateway.calls import Call, ResumedStream
from damasksaddle_gateway.coordinators import STORE_RETRY_S, Coordinators
from damasksaddle_gateway.events import next_id, split_events
from damasksaddle_gateway.histories.chains import HELD_BYTES, ChainBody
from damasksaddle_gateway.histories.coordinator import (
    MEMORY_RETRY_S,
    HistoryCoordinator,
)
from damasksaddle_gateway.histories.event_copies import (
    FIND_ATTEMPTS,
    FIND_RETRY_S,
    PeerMessages,
    StreamCopies,
    find_events,
)
from damasksaddle_gateway.histories.recorder import TurnRecorder
from damasksaddle_gateway.histories.turn_rows import PIECE_BYTES
from damasksaddle_gateway.routing_config import Streaming, is_resumable
from damasksaddle_gateway.store import StoreCircuitBreaker
from damasksaddle_protocol import (
    CopyEvents,
    FindEvents,
    FindTurns,
    KeepTurn,
    Message,
    TurnPending,
    TurnsFound,
)

log = get_logger("histories")

# A coordinator says after this time that a turn still waits for the store. It takes
# that long, and the timeout of a message, until another one replaces a lost one.
KEEP_WAIT_S = 0.15
READS_PER_FIND = 2
# Delay before all coordinators are asked again; it doubles up to the maximum, because
# in an outage each round costs messages and log lines of all turns that wait.
MIN_KEEP_RETRY_S = 0.05
MAX_KEEP_RETRY_S = 0.4
# Few VMs keep histories, so that turns share transactions: a partition executes those
# of all coordinators one after the other. In 4 failure domains with 30 turns a second
# each and a store that is 20 times as slow, the median turn waited for 605 ms with 1
# coordinator in each domain and for 945 ms with 2; with 3, turns timed out.
COORDINATORS_SHARE = 1 / 20
# VMs that take the place of coordinators that do not respond.
STANDBYS = 2
COORDINATORS_KEY = "histories"
# How long a caller may wait until it resumes a stream, in timeouts of its route.
EVENTS_LIFETIME_TIMEOUTS = 4


class Vms(Protocol):
    """Knows the VMs that may keep the histories of this VM's callers."""

    def large_local_vms(self) -> list[str]: ...

    def live_vms(self) -> list[str]: ...


class Histories:
    """Reads and stores the turns of this VM's callers through their coordinators."""

    def __init__(
        self,
        coordinator: HistoryCoordinator,
        coordinators: Coordinators,
        membership: Vms,
        store: StoreCircuitBreaker,
        peers: PeerMessages,
    ) -> None:
        self._history_coordinator = coordinator
        self._coordinators = coordinators
        self._membership = membership
        self._store = store
        self._peers = peers

    async def prepare(self, call: Call, reserve: Callable[[], Awaitable[None]]) -> None:
        """
        Reserves the budget, and meanwhile completes the body of a turn.

        Raises `TurnNotFound`, `HistoryUnavailable` or `MemoryExceeded`, or what
        `reserve` raises.
        """
        if not keeps_turn(call):
            await reserve()
            return
        # Both run to their end, so that no reservation is left without an owner.
        _, body = results = await asyncio.gather(
            reserve(), self._find(call), return_exceptions=True
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result
        match body:
            case ChainBody():
                call.chain = body
            case bytes():
                call.body = body

    async def _find(self, call: Call) -> bytes | ChainBody:
        recorder = TurnRecorder(call.body)
        if call.resumed is not None:
            recorder.record(call.resumed.events)
            if not call.memory.hold(Memory.OUTPUTS, recorder.size_bytes):
                raise MemoryExceeded(retry_after_s=MEMORY_RETRY_S)
        started_s = boottime_s()
        body = await self.upstream_body(call)
        call.recorder = recorder
        call.copies = self._copies(call)
        measure(Timing.TURN_FIND, (boottime_s() - started_s) * 1000)
        return body

    async def upstream_body(self, call: Call) -> bytes | ChainBody:
        """
        Returns the content of the turns that a call continues from, and its new input.

        Raises `TurnNotFound` if the store has no such turn, `HistoryUnavailable`, or
        `MemoryExceeded` if this VM has no room for it.
        """
        # A stream that has begun goes on: its end waits for the store.
        may_begin = self._store.is_available() or call.resumed is not None
        if _is_large(len(call.body)) and not may_begin:
            # Only this VM's own store can take the turn.
            raise HistoryUnavailable(
                "a large turn cannot be stored", retry_after_s=STORE_RETRY_S
            )
        previous = call.metadata.previous_turn_id
        if not previous and may_begin:
            return call.body
        message = FindTurns(_workspace(call), previous, accepts_names=True)

        async def find_locally() -> TurnsFound:
            return await self._history_coordinator.find(message)

        wait_s = READS_PER_FIND * self._store.latency.reads.timeout_s()
        response = await self._request(call, previous, message, find_locally, wait_s)
        assert isinstance(response, TurnsFound)
        if not response.found:
            raise TurnNotFound
        chain_bytes = sum(response.sizes_bytes) or len(response.body)
        if not call.memory.hold(Memory.CHAINS, min(chain_bytes, HELD_BYTES)):
            raise MemoryExceeded(retry_after_s=MEMORY_RETRY_S)
        if not response.names:
            return response.body + call.body
        return ChainBody(
            response.names,
            chain_bytes + len(call.body),
            call.body,
            self._history_coordinator.content,
        )

    async def find_resumed(self, call: Call) -> None:
        """
        Finds the events that earlier requests of a resumed stream passed on.

        Raises `HistoryUnavailable` if they are not known.
        """
        if not keeps_turn(call) or not call.metadata.last_event_id:
            return
        message = FindEvents(_workspace(call), call.metadata.stream_id)
        for attempt in range(FIND_ATTEMPTS):
            if attempt:
                await asyncio.sleep(FIND_RETRY_S)
            copies = await find_events(
                call, self._coordinators.vm, self._membership, self._peers, message
            )
            copies.append(self._history_coordinator.held_events.find(message))
            # Events of an earlier request may differ from those that the caller has.
            for found in sorted(copies, key=lambda copy: -copy.attempt):
                events = _events_until(found.events, call.metadata.last_event_id)
                if found.found and events is not None:
                    call.resumed = ResumedStream(found.attempt, events)
                    call.version = call.version or found.version or None
                    count(Counter.RESUMED_TURNS, "found")
                    log.info(
                        "A request takes up a turn.",
                        request=call.metadata.request_id,
                        stream=call.metadata.stream_id,
                        after_event=call.metadata.last_event_id,
                        version=call.version,
                        events=len(events),
                    )
                    return
        count(Counter.RESUMED_TURNS, "unknown")
        raise HistoryUnavailable(
            "the events of the resumed stream are not known",
            retry_after_s=STORE_RETRY_S,
        )

    async def keep(self, call: Call) -> None:
        """
        Returns once a turn whose events were all passed on is durable.

        Does not return otherwise: the request's timeout ends the wait. Raises
        `TurnNotFound` if the turn can no longer be continued.
        """
        recorder = call.recorder
        if recorder is None or not call.metadata.request_id:
            # Without an id, no turn can continue from it.
            return
        started_s = boottime_s()
        # A resumed turn can be named by either request.
        turn_ids = {call.metadata.request_id, call.metadata.stream_id}
        output = recorder.output()
        await asyncio.gather(
            *(self._keep(call, turn_id, recorder.input, output) for turn_id in turn_ids)
        )
        waited_ms = (boottime_s() - started_s) * 1000
        measure(Timing.TURN_KEEP, waited_ms)
        log.info(
            "Stored a turn.",
            request=call.metadata.request_id,
            previous=call.metadata.previous_turn_id,
            input_bytes=len(recorder.input),
            output_bytes=len(output),
            waited_ms=round(waited_ms),
        )

    async def _keep(
        self, call: Call, turn_id: str, new_input: bytes, output: bytes
    ) -> None:
        program = call.metadata.program
        message = KeepTurn(
            _workspace(call),
            turn_id,
            call.metadata.previous_turn_id,
            program.id if program is not None else "",
            new_input,
            output,
            int(call.route.retention_s * 1000),
            int(self._store.clock.now_ms()),
        )

        async def keep_locally() -> Message:
            return await self._history_coordinator.keep(message)

        retry_s = MIN_KEEP_RETRY_S
        # A message with a large turn would be held several times on both VMs.
        is_large = _is_large(len(new_input) + len(output))
        while True:
            if is_large:
                vms = [self._coordinators.vm]
            else:
                vms = self._history_vms(_coordinator_key(call, turn_id))
            try:
                _, response = await self._request_from(
                    vms, call, turn_id, message, keep_locally, KEEP_WAIT_S
                )
                if not isinstance(response, TurnPending):
                    return
                continue
            except HistoryUnavailable as error:
                if retry_s == MIN_KEEP_RETRY_S:
                    log.info(
                        "A turn is not stored yet; its response does not end.",
                        request=call.metadata.request_id,
                        left_ms=round(call.time_left_s() * 1000),
                        error=error.detail,
                    )
            await asyncio.sleep(retry_s)
            retry_s = min(2 * retry_s, MAX_KEEP_RETRY_S)

    async def _request(
        self,
        call: Call,
        turn_id: str,
        message: Message,
        handle_locally: Callable[[], Awaitable[Message]],
        wait_s: float,
    ) -> Message:
        """Asks the coordinators in order; raises `HistoryUnavailable` if none can."""
        coordinators = self._history_vms(_coordinator_key(call, turn_id))
        _, response = await self._request_from(
            coordinators, call, turn_id, message, handle_locally, wait_s
        )
        return response

    async def _request_from(
        self,
        coordinators: list[str],
        call: Call,
        turn_id: str,
        message: Message,
        handle_locally: Callable[[], Awaitable[Message]],
        wait_s: float,
    ) -> tuple[str, Message]:
        """Asks some coordinators; returns the one that responded and its response."""
        try:
            return await self._coordinators.request(
                _coordinator_key(call, turn_id),
                message,
                handle_locally,
                wait_s,
                # Any coordinator may act in an outage.
                needs_store=False,
                vms=coordinators,
            )
        except StoreUnavailable as error:
            raise HistoryUnavailable(
                error.detail, retry_after_s=error.retry_after_s
            ) from error

    def _history_vms(self, name: str) -> list[str]:
        """Returns the VMs of this VM's failure domain that keep a history, in order."""
        vms = self._membership.large_local_vms()
        number = math.ceil(len(vms) * COORDINATORS_SHARE)
        order = rendezvous(COORDINATORS_KEY, vms)
        coordinators = rendezvous(name, order[:number])
        return [*coordinators, *order[number : number + STANDBYS]]

    def finish(self, call: Call) -> None:
        """Holds what a turn passed on before it was interrupted."""
        if call.copies is None:
            return
        call.copies.close()
        recorder = call.recorder
        if recorder is not None and recorder.size_bytes and not recorder.is_ended:
            message = call.copies.message(recorder.events, 0)
            self._history_coordinator.held_events.add(message)

    def _copies(self, call: Call) -> StreamCopies | None:
        """Returns what copies a turn's events to other VMs, if it may be resumed."""
        if not is_resumable(call.route.kind):
            return None
        template = CopyEvents(
            workspace=_workspace(call),
            stream_id=call.metadata.stream_id,
            attempt=call.resumed.attempt + 1 if call.resumed is not None else 0,
            version="",
            offset_bytes=0,
            events=b"",
            lifetime_ms=int(EVENTS_LIFETIME_TIMEOUTS * call.route.timeout_ms),
        )
        copies = StreamCopies(
            self._coordinators.vm, call, template, self._membership, self._peers
        )
        copies.open()
        return copies


def _is_large(size_bytes: int) -> bool:
    """Tells whether a turn is stored by its entry VM, without a coordinator."""
    return size_bytes > PIECE_BYTES


def keeps_turn(call: Call) -> bool:
    """
    Tells whether a call is a turn whose history is kept.

    The response to `HEAD` is complete with its head, before anything could be stored.
    """
    if call.method == hdrs.METH_HEAD:
        return False
    return call.route.keeps_history and isinstance(call.route.kind, Streaming)


def _workspace(call: Call) -> str:
    return call.workspace.name if call.workspace is not None else ""


def _coordinator_key(call: Call, turn_id: str) -> str:
    """Returns what decides on the coordinator of a turn."""
    program = call.metadata.program
    return f"history/{_workspace(call)}/{program.id if program else turn_id}"


def _events_until(events: bytes, last_id: str) -> list[bytes] | None:
    """Returns the events up to the one with an id, or None if there is none."""
    blocks, _ = split_events(events)
    for number, block in enumerate(blocks, 1):
        if next_id("", block) == last_id:
            return blocks[:number]
    return None
