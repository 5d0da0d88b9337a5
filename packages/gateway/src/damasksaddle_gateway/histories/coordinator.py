"""
Reads and writes turns for the VMs of a failure domain.

The coordinator of a program's history holds the program's turns in memory and writes
finished turns of many VMs in shared transactions. It has no rights of its own: what it
holds is a copy of immutable rows, so a coordinator that was frozen or replaced can do
no harm.
"""

import asyncio
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

from damasksaddle.exceptions import (
    HistoryUnavailable,
    MemoryExceeded,
    PlatformError,
    StoreUnavailable,
    TurnNotFound,
)
from damasksaddle.platform import Page, Row, row_key
from damasksaddle.utils import Counter, count, get_logger
from damasksaddle.utils.connections import SMALL_REQUEST_BYTES
from damasksaddle.utils.memory import Holding, MemoryBudget
from damasksaddle_gateway.coordinators import PEER_TIMEOUT_S, STORE_RETRY_S
from damasksaddle_gateway.histories.cache import TurnCache
from damasksaddle_gateway.histories.held_events import HeldEvents
from damasksaddle_gateway.histories.turn_rows import (
    ENDS_TABLE,
    PIECE_BYTES,
    TURNS_TABLE,
    SplitTurn,
    StoredTurn,
    decode_piece,
    decode_turn,
    encode_turn,
    older_piece_count,
    part_of,
    piece_key,
    retained_until_ms,
    turn_key,
    turn_name,
)
from damasksaddle_gateway.histories.turn_writer import TurnWriter, split_by_size
from damasksaddle_gateway.store import StoreCircuitBreaker
from damasksaddle_node.peers import Handlers, Sender
from damasksaddle_protocol import (
    CopyEvents,
    EventsFound,
    FindEvents,
    FindTurns,
    KeepTurn,
    Ok,
    TurnPending,
    TurnsFound,
)

log = get_logger("histories")

Result = TypeVar("Result")

# A turn can be continued for this time after its retention, so that the turns of a
# program with a tight retention are still found. The cleanup removes them later.
GRACE_MS = 30_000
# Attempts to read a row; single responses may be lost.
READ_ATTEMPTS = 3
READ_RETRY_S = 0.02
# Reads of one chain that are in flight at the same time.
MAX_PARALLEL_READS = 16
# Rows of a split turn that are read at once, and such reads and writes that are in
# flight on this VM: each takes about five times the bytes of its content.
PIECES_PER_READ = 8
MAX_PARALLEL_PIECES = 4
MAX_SPLIT_WRITES = 2
# A longer chain is read piece by piece by its entry VM, and is not sent in a message.
MAX_MESSAGE_BYTES = PIECES_PER_READ * PIECE_BYTES
# Delay before a caller asks again that was refused for lack of memory.
MEMORY_RETRY_S = 1.0
# A turn that no entry VM asks about for this time is given up.
ABANDONED_S = 1.0
# A coordinator whose store does not answer for this time, or for the time that two
# writes may take, has its entry VMs ask another coordinator.
MAX_SILENCE_S = 0.5
WRITES_PER_SILENCE = 2
# Share of the memory for turns that events of streams at other VMs may take.
EVENTS_SHARE = 0.25
# Share of that memory for turns that wait for the store.
WAITING_TURNS_SHARE = 0.25
# A waiting turn is held as a message and as rows in base64. Of a large one, the rows of
# one transaction are held at a time.
WAITING_BYTES_FACTOR = 3
MAX_WAITING_BYTES = 16 * PIECE_BYTES
# Owners in the memory budget.
WAITING_OWNER = "waiting_turns"
MESSAGES_OWNER = "turn_messages"
# The budget of a process whose memory is not known.
UNBOUNDED_BYTES = 1 << 62
# Memory for turns, as a share of the VM's memory, and if that is unknown.
MEMORY_SHARE = 1 / 8
DEFAULT_MEMORY_BYTES = 16 * 1024 * 1024


def max_memory_bytes(memory_mb: float) -> int:
    """Returns how much memory turns may take on a VM; 0 MB is an unknown size."""
    if not memory_mb:
        return DEFAULT_MEMORY_BYTES
    return int(memory_mb * MEMORY_SHARE * 1024 * 1024)


@dataclass(slots=True, eq=False)
class _PendingTurn:
    """A turn that is being stored for another VM."""

    message: KeepTurn
    task: asyncio.Task[Ok]
    expiry: asyncio.TimerHandle | None = None


class TurnPlace(StrEnum):
    """Where a turn is, as far as this VM can tell."""

    MEMORY = "known here"
    STORED = "stored"
    UNKNOWN = "unknown"
    # The store did not respond; other VMs may hold the turn in memory.
    NOT_CHECKED = "not checked"


class HistoryCoordinator:
    """
    The turns of this VM's programs, in memory and in the store.

    `max_bytes` bounds what it holds, which also counts in the VM's memory `budget`.
    """

    def __init__(
        self,
        table: StoreCircuitBreaker,
        max_bytes: int,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._table = table
        self._writer = TurnWriter(table)
        self._budget = budget or MemoryBudget(UNBOUNDED_BYTES)
        events_bytes = int(max_bytes * EVENTS_SHARE)
        self._max_waiting_bytes = int(max_bytes * WAITING_TURNS_SHARE)
        self._waiting_bytes = 0
        cache_bytes = max_bytes - events_bytes - self._max_waiting_bytes
        self.cache = TurnCache(cache_bytes, self._budget)
        self.held_events = HeldEvents(events_bytes, self._budget)
        # By the turn's name.
        self._pending: dict[str, _PendingTurn] = {}
        # Limits the reads that are in flight on this VM.
        self._read_slots = asyncio.Semaphore(MAX_PARALLEL_READS)
        self._piece_slots = asyncio.Semaphore(MAX_PARALLEL_PIECES)
        self._split_write_slots = asyncio.Semaphore(MAX_SPLIT_WRITES)

    def register_handlers(self, handlers: Handlers) -> None:
        """Registers the handlers for messages of other VMs."""
        handlers.add(FindTurns, self._on_find)
        handlers.add(KeepTurn, self._on_keep)
        handlers.add(FindEvents, self._on_find_events)
        handlers.add_one_way(
            CopyEvents, lambda message, sender: self.held_events.add(message)
        )

    async def find(self, message: FindTurns) -> TurnsFound:
        """
        Returns the content of a turn and of all that it continues from.

        Of a chain of more than `MAX_MESSAGE_BYTES`, it returns the names and sizes; the
        content is read with `content`. A turn is found only if it is retained, so that
        it cannot be removed before a turn that continues from it has ended.

        Raises `StoreUnavailable` if it is neither in memory nor can be read, and
        `MemoryExceeded` if this VM has no room for the content.
        """
        if not message.turn_id:
            if not self._table.is_available():
                raise StoreUnavailable(retry_after_s=STORE_RETRY_S)
            return TurnsFound(True, b"")
        name = turn_name(message.workspace, message.turn_id)
        turn = await self._turn(name)
        if turn is not None and not self._is_retained(turn):
            # Only the store can prove that.
            self.cache.remove(name)
            turn = await self._read(name)
        if turn is None or not self._is_retained(turn):
            return TurnsFound(False, b"")
        names = [*turn.chain, name]
        holding = Holding(self._budget, MESSAGES_OWNER)
        try:
            found = await self._find_chain(names, turn, holding)
        finally:
            holding.release()
        if found.names and not message.accepts_names:
            raise HistoryUnavailable(
                "the chain is too long for a message", retry_after_s=STORE_RETRY_S
            )
        return found

    async def _find_chain(
        self, names: list[str], last: StoredTurn | SplitTurn, holding: Holding
    ) -> TurnsFound:
        sizes_bytes: list[int] = []
        contents: list[bytes] = []
        for start in range(0, len(names), MAX_PARALLEL_READS):
            batch = names[start : start + MAX_PARALLEL_READS]
            turns = await asyncio.gather(
                *(self._chain_turn(name, last) for name in batch)
            )
            sizes_bytes += [turn.size_bytes for turn in turns]
            if sum(sizes_bytes) > MAX_MESSAGE_BYTES:
                # What was gathered is read again, by the entry VM.
                contents.clear()
                holding.release()
                continue
            is_small = sum(sizes_bytes) <= SMALL_REQUEST_BYTES
            if not holding.add(sum(turn.size_bytes for turn in turns), is_small):
                raise MemoryExceeded(retry_after_s=MEMORY_RETRY_S)
            for turn in turns:
                contents += [piece async for piece in self._content(turn)]
        if sum(sizes_bytes) > MAX_MESSAGE_BYTES:
            return TurnsFound(True, b"", names, sizes_bytes)
        return TurnsFound(True, b"".join(contents))

    async def _chain_turn(
        self, name: str, last: StoredTurn | SplitTurn
    ) -> StoredTurn | SplitTurn:
        turn = last if name == last.name else await self._turn(name)
        if turn is None:
            log.error("A turn of a chain is missing.", turn=last.name, missing=name)
            raise HistoryUnavailable(retry_after_s=STORE_RETRY_S)
        return turn

    async def content(self, name: str) -> AsyncIterator[bytes]:
        """
        Yields the input and output of a turn, in pieces of `MAX_MESSAGE_BYTES` at most.

        Raises `HistoryUnavailable` or `StoreUnavailable` if it cannot be read.
        """
        turn = await self._turn(name)
        if turn is None:
            raise HistoryUnavailable(name, retry_after_s=STORE_RETRY_S)
        async for piece in self._content(turn):
            yield piece

    async def _content(self, turn: StoredTurn | SplitTurn) -> AsyncIterator[bytes]:
        match turn:
            case StoredTurn():
                for start in range(0, turn.size_bytes, MAX_MESSAGE_BYTES):
                    yield turn.content(start, start + MAX_MESSAGE_BYTES)
            case SplitTurn():
                for first in range(0, turn.pieces, PIECES_PER_READ):
                    yield await self._read_pieces(turn, first)

    async def _read_pieces(self, turn: SplitTurn, first: int) -> bytes:
        """Returns the content of consecutive pieces of a turn."""
        number = min(PIECES_PER_READ, turn.pieces - first)
        keys = [piece_key(turn.name, first + offset) for offset in range(number)]
        # The keys of a turn's pieces follow that of the turn itself.
        after = piece_key(turn.name, first - 1) if first else turn_key(turn.name)
        prefix = row_key(TURNS_TABLE, part_of(turn.name), "")
        async with self._piece_slots:
            page = await self._read_page(prefix, after, number)
            if [row.key for row in page.rows] != keys:
                log.error("Rows of a turn are missing.", turn=turn.name, first=first)
                raise HistoryUnavailable(turn.name, retry_after_s=STORE_RETRY_S)
            try:
                return b"".join(map(decode_piece, page.rows))
            except ValueError as error:
                log.error("The row of a turn is invalid.", turn=turn.name, error=error)
                raise HistoryUnavailable(retry_after_s=STORE_RETRY_S) from error

    async def keep(self, message: KeepTurn) -> Ok:
        """
        Stores a turn; returns once it is durable.

        Raises `StoreUnavailable` if its outcome is unknown, it was not written or too
        many turns wait, and `TurnNotFound` if the previous turn is no longer retained.
        """
        content_bytes = len(message.input) + len(message.output)
        size_bytes = WAITING_BYTES_FACTOR * min(content_bytes, MAX_WAITING_BYTES)
        # A turn larger than the bound is accepted if it is the only one.
        is_full = self._waiting_bytes + size_bytes > self._max_waiting_bytes
        if self._waiting_bytes and is_full:
            raise StoreUnavailable(
                "too many turns wait for the store", retry_after_s=STORE_RETRY_S
            )
        # Small turns may use the part of the budget that is kept for small requests.
        is_small = content_bytes <= PIECE_BYTES
        if not self._budget.reserve(WAITING_OWNER, size_bytes, is_small):
            raise StoreUnavailable(
                "no memory for turns that wait", retry_after_s=STORE_RETRY_S
            )
        self._waiting_bytes += size_bytes
        try:
            return await self._store_turn(message)
        finally:
            self._waiting_bytes -= size_bytes
            self._budget.release(WAITING_OWNER, size_bytes)

    async def _store_turn(self, message: KeepTurn) -> Ok:
        chain: tuple[str, ...] = ()
        if message.previous_turn_id:
            name = turn_name(message.workspace, message.previous_turn_id)
            previous = await self._turn(name)
            if previous is None:
                raise TurnNotFound
            chain = (*previous.chain, previous.name)
        ended_ms = message.ended_ms or await self._now_ms()
        turn = StoredTurn(
            sys.intern(turn_name(message.workspace, message.turn_id)),
            chain,
            message.input,
            message.output,
            ended_ms,
            ended_ms + message.retention_ms,
        )
        part = part_of(turn.name)
        first, completing = encode_turn(turn)
        if first:
            async with self._split_write_slots:
                for puts in split_by_size(first):
                    await self._writer.write(part, puts)
        await self._writer.write(part, completing)
        count(Counter.TURNS_KEPT)
        if not first:
            self.cache.add(turn)
        return Ok()

    async def _now_ms(self) -> int:
        """Returns the store's clock."""
        if not self._table.clock.now_ms():
            # Any page tells the time.
            try:
                await self._table.page(row_key(ENDS_TABLE, "0", ""), limit=1)
            except PlatformError as error:
                raise StoreUnavailable(
                    repr(error), retry_after_s=STORE_RETRY_S
                ) from error
        return int(self._table.clock.now_ms())

    def _is_retained(self, turn: StoredTurn | SplitTurn) -> bool:
        return self._table.clock.now_ms() <= turn.retained_until_ms + GRACE_MS

    async def locate(self, workspace: str, turn_id: str) -> TurnPlace:
        """Returns where a turn is, by one read of the store if it is not in memory."""
        name = turn_name(workspace, turn_id)
        turn = self.cache.peek(name)
        if turn is not None and self._is_retained(turn):
            return TurnPlace.MEMORY
        if not self._table.is_available():
            return TurnPlace.NOT_CHECKED
        try:
            async with asyncio.timeout(self._table.latency.reads.timeout_s()):
                row = await self._table.row(turn_key(name))
            if row is None:
                return TurnPlace.UNKNOWN
            until_ms = retained_until_ms(row) + GRACE_MS
        except (PlatformError, TimeoutError, KeyError, TypeError, ValueError) as error:
            log.debug("Could not look up a turn.", turn=name, error=repr(error))
            return TurnPlace.NOT_CHECKED
        expired = self._table.clock.now_ms() > until_ms
        return TurnPlace.UNKNOWN if expired else TurnPlace.STORED

    async def _turn(self, name: str) -> StoredTurn | SplitTurn | None:
        """Returns a turn, or None if the store has just said that it has none."""
        turn = self.cache.find(name)
        if turn is None:
            turn = await self._read(name)
            if turn is not None:
                self.cache.add(turn)
        return turn

    async def _read(self, name: str) -> StoredTurn | SplitTurn | None:
        row = await self._read_row(turn_key(name))
        if row is None:
            return None
        try:
            pieces = await asyncio.gather(
                *(
                    self._read_row(piece_key(name, number, first_piece=0))
                    for number in range(older_piece_count(row))
                )
            )
            return decode_turn(row, [piece for piece in pieces if piece is not None])
        except (KeyError, TypeError, ValueError) as error:
            log.error("The row of a turn is invalid.", turn=name, error=repr(error))
            raise HistoryUnavailable(retry_after_s=STORE_RETRY_S) from error

    async def _read_row(self, key: str) -> Row | None:
        """Reads a row; raises `StoreUnavailable` if that fails repeatedly."""

        async def read() -> Row | None:
            async with self._read_slots:
                return await self._table.row(key)

        return await self._retry(read, key)

    async def _read_page(self, prefix: str, after: str, limit: int) -> Page:
        """Reads consecutive rows; raises as `_read_row` does."""
        return await self._retry(lambda: self._table.page(prefix, after, limit), after)

    async def _retry(self, read: Callable[[], Awaitable[Result]], key: str) -> Result:
        for attempt in range(READ_ATTEMPTS):
            if attempt:
                await asyncio.sleep(READ_RETRY_S * attempt)
            if not self._table.is_available():
                break
            try:
                return await read()
            except PlatformError as error:
                log.debug("Could not read a turn.", key=key, error=repr(error))
        raise StoreUnavailable(key, retry_after_s=STORE_RETRY_S)

    async def _on_find(self, message: FindTurns, sender: Sender) -> TurnsFound:
        return await self.find(message)

    async def _on_keep(self, message: KeepTurn, sender: Sender) -> Ok | TurnPending:
        """
        Stores a turn, and responds in time if that takes long.

        The entry VM cannot tell a slow store from a lost coordinator by itself. If it
        asked another one, a slow store would get each turn several times.
        """
        pending = self._start_keeping(message)
        wait_s = max(0.0, (sender.timeout_s or PEER_TIMEOUT_S) - PEER_TIMEOUT_S)
        if pending.expiry is not None:
            pending.expiry.cancel()
        pending.expiry = asyncio.get_running_loop().call_later(
            wait_s + ABANDONED_S, pending.task.cancel
        )
        await asyncio.wait({pending.task}, timeout=wait_s)
        if pending.task.done():
            return pending.task.result()
        two_writes_s = WRITES_PER_SILENCE * self._table.latency.write_timeout_s()
        if self._table.silence_s() > max(MAX_SILENCE_S, two_writes_s):
            raise StoreUnavailable(
                "the store does not answer", retry_after_s=STORE_RETRY_S
            )
        return TurnPending()

    def _start_keeping(self, message: KeepTurn) -> _PendingTurn:
        """Returns the attempt to store a turn, which may have begun before."""
        name = turn_name(message.workspace, message.turn_id)
        known = self._pending.get(name)
        if known is not None and known.message == message:
            return known
        pending = _PendingTurn(message, asyncio.create_task(self.keep(message)))
        self._pending[name] = pending

        def forget(task: asyncio.Task[Ok]) -> None:
            if pending.expiry is not None:
                pending.expiry.cancel()
            if self._pending.get(name) is pending:
                del self._pending[name]
            if not task.cancelled() and task.exception() is not None:
                # The entry VM may have left.
                log.debug("Could not store a turn.", error=repr(task.exception()))

        pending.task.add_done_callback(forget)
        return pending

    async def _on_find_events(self, message: FindEvents, sender: Sender) -> EventsFound:
        return self.held_events.find(message)
