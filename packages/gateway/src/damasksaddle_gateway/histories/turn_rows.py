"""
The rows of stored turns.

A turn has a row in table `turns` and a small one in table `turn_ends`, which tells the
cleanup when the turn ended. Both are in the same partition, so one transaction writes
them. The content of a large turn is split over several rows, each of which can be read
by itself; its `turns` row is written last, so a turn whose row exists is whole. Rows
are immutable and turn ids are unique, so writing a turn twice is harmless.
"""

import base64
import hashlib
import json
import math
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, overload
from urllib.parse import quote

import xxhash

from damasksaddle.platform import Put, Row, row_key

TURNS_TABLE = "turns"
ENDS_TABLE = "turn_ends"
# Few, so that turns share transactions. A partition executes 200 of them per second.
PARTS = 4
# The store takes values of 65,536 bytes in base64, which are 49,152 bytes of text.
MAX_VALUE_BYTES = 48_000
# Bytes of content in one row of a split turn; base64 makes them a third longer.
PIECE_BYTES = 32_000
# The numbers of pieces have the same length, so that their keys are in order.
FIRST_PIECE = 10_000
MAX_NAME_BYTES = 200
# Characters that quoted names do not contain.
_SEPARATOR = ":"
_HASH_MARK = "#"
_PIECE_MARK = "!"
_ENDED_DIGITS = 15


@dataclass(frozen=True, slots=True)
class StoredTurn:
    """
    A turn that ended whole.

    `name` is derived from the workspace and the turn id, and `chain` holds the names of
    the turns that it continues from, oldest first. The times are those of the store's
    clock.
    """

    name: str
    chain: tuple[str, ...]
    input: bytes
    output: bytes
    ended_ms: int
    retained_until_ms: int

    @property
    def size_bytes(self) -> int:
        return len(self.input) + len(self.output)

    def content(self, start: int, end: int) -> bytes:
        """Returns a part of the input followed by the output."""
        split = len(self.input)
        return self.input[start:end] + self.output[max(0, start - split) : end - split]


@dataclass(frozen=True, slots=True)
class SplitTurn:
    """The head of a turn whose content is in `pieces` rows of its own."""

    name: str
    chain: tuple[str, ...]
    size_bytes: int
    pieces: int
    ended_ms: int
    retained_until_ms: int


@dataclass(frozen=True, slots=True)
class TurnEnd:
    """
    What the cleanup knows of a turn.

    `pieces` counts the rows of a split turn, which are numbered from `first_piece`.
    """

    key: str
    name: str
    previous: str
    ended_ms: int
    retained_until_ms: int
    pieces: int
    first_piece: int = FIRST_PIECE


def turn_name(workspace: str, turn_id: str) -> str:
    """
    Returns the name of a turn's row.

    Both parts are quoted, so turns of different workspaces never share a name.

    >>> turn_name("ngo", "r1")
    'ngo:r1'
    """
    # Undecodable bytes of a header are surrogates in its text.
    parts = (
        quote(part, safe="", errors="surrogateescape") for part in (workspace, turn_id)
    )
    name = _SEPARATOR.join(parts)
    if len(name) <= MAX_NAME_BYTES:
        return name
    return _HASH_MARK + hashlib.sha256(name.encode()).hexdigest()


def part_of(name: str) -> str:
    """Returns the partition of a turn's rows."""
    return str(xxhash.xxh32_intdigest(name.encode()) % PARTS)


def turn_key(name: str) -> str:
    """Returns the key of a turn's row."""
    return row_key(TURNS_TABLE, part_of(name), name)


def piece_key(name: str, number: int, first_piece: int = FIRST_PIECE) -> str:
    """Returns the key of one of the rows of a split turn, which count from 0."""
    return f"{turn_key(name)}{_PIECE_MARK}{first_piece + number}"


def end_key(name: str, ended_ms: int) -> str:
    """Returns the key of the row for the cleanup; these rows are in order of time."""
    ended = f"{ended_ms:0{_ENDED_DIGITS}d}{_SEPARATOR}{name}"
    return row_key(ENDS_TABLE, part_of(name), ended)


def _pack(data: bytes) -> str:
    """Returns a text that is short in JSON: ASCII text as it is, or base64."""
    encoded = "b" + base64.b64encode(data).decode()
    try:
        text = "t" + data.decode("ascii")
    except UnicodeDecodeError:
        return encoded
    return text if len(json.dumps(text)) <= len(encoded) + 2 else encoded


def _unpack(packed: str) -> bytes:
    if packed.startswith("t"):
        return packed[1:].encode("ascii")
    return base64.b64decode(packed[1:], validate=True)


class _PiecePuts(Sequence[Put]):
    """The writes that precede the row of a split turn, encoded when they are read."""

    def __init__(self, turn: StoredTurn, end: Put, pieces: int) -> None:
        self._turn = turn
        self._end = end
        self._pieces = pieces

    def __len__(self) -> int:
        return 1 + self._pieces

    @overload
    def __getitem__(self, index: int) -> Put: ...

    @overload
    def __getitem__(self, index: slice) -> list[Put]: ...

    def __getitem__(self, index: int | slice) -> Put | list[Put]:
        if isinstance(index, slice):
            return [self[number] for number in range(*index.indices(len(self)))]
        if not 0 <= index < len(self):
            raise IndexError(index)
        # The row for the cleanup comes first, so that pieces without a turn are
        # removed.
        if not index:
            return self._end
        start = (index - 1) * PIECE_BYTES
        content = self._turn.content(start, start + PIECE_BYTES)
        return Put(piece_key(self._turn.name, index - 1), _pack(content))


def encode_turn(turn: StoredTurn) -> tuple[Sequence[Put], list[Put]]:
    """
    Returns the writes of a turn: those that come first, and those that complete it.

    The first sequence is empty unless the turn is split over several rows.
    """
    head: dict[str, Any] = {
        "chain": turn.chain,
        "ended": turn.ended_ms,
        "until": turn.retained_until_ms,
    }
    pieces = 0
    value = ""
    if turn.size_bytes <= MAX_VALUE_BYTES:
        content = json.dumps([_pack(turn.input), _pack(turn.output)])
        value = json.dumps({**head, "content": content})
    if not value or len(value) > MAX_VALUE_BYTES:
        pieces = math.ceil(turn.size_bytes / PIECE_BYTES)
        sizes = [len(turn.input), len(turn.output)]
        value = json.dumps({**head, "pieces": pieces, "sizes": sizes})
    end: dict[str, Any] = {
        "previous": turn.chain[-1] if turn.chain else "",
        "until": turn.retained_until_ms,
        "pieces": pieces,
    }
    if pieces:
        end["first_piece"] = FIRST_PIECE
    end_put = Put(end_key(turn.name, turn.ended_ms), json.dumps(end))
    completing = Put(turn_key(turn.name), value)
    if not pieces:
        return [], [completing, end_put]
    return _PiecePuts(turn, end_put, pieces), [completing]


def older_piece_count(row: Row) -> int:
    """
    Returns over how many rows a turn is split in the form of earlier versions.

    Its pieces are parts of one text, numbered from 0.
    """
    head = json.loads(row.value)
    return 0 if "sizes" in head else int(head.get("pieces", 0))


def retained_until_ms(row: Row) -> int:
    """Returns until when a turn is retained; raises as `decode_turn` does."""
    return int(json.loads(row.value)["until"])


def decode_piece(row: Row) -> bytes:
    """Returns the content in one row of a split turn; raises `ValueError`."""
    return _unpack(row.value)


def decode_turn(row: Row, older_pieces: Sequence[Row] = ()) -> StoredTurn | SplitTurn:
    """
    Returns the turn, or its head if it is split.

    `older_pieces` are those of a turn that an earlier version split. Raises
    `ValueError` or `KeyError` for a row of another kind.
    """
    head = json.loads(row.value)
    # Turns of a chain share the texts of their names in memory.
    name, chain = sys.intern(row.name), tuple(map(sys.intern, head["chain"]))
    ended_ms, until_ms = head["ended"], head["until"]
    if "sizes" in head:
        size_bytes = sum(head["sizes"])
        return SplitTurn(name, chain, size_bytes, head["pieces"], ended_ms, until_ms)
    content = "".join(piece.value for piece in older_pieces) or head["content"]
    packed_input, packed_output = json.loads(content)
    return StoredTurn(
        name, chain, _unpack(packed_input), _unpack(packed_output), ended_ms, until_ms
    )


def decode_end(row: Row) -> TurnEnd:
    """Returns what the cleanup needs of a row in `turn_ends`."""
    ended, _, name = row.name.partition(_SEPARATOR)
    value = json.loads(row.value)
    return TurnEnd(
        key=row.key,
        name=name,
        previous=value["previous"],
        ended_ms=int(ended),
        retained_until_ms=int(value["until"]),
        pieces=int(value["pieces"]),
        first_piece=int(value.get("first_piece", 0)),
    )


def delete_turn(end: TurnEnd) -> list[Put]:
    """Returns the writes that remove a turn; its row for the cleanup goes last."""
    pieces = [
        Put(piece_key(end.name, number, end.first_piece), None)
        for number in range(end.pieces)
    ]
    return [Put(turn_key(end.name), None), *pieces, Put(end.key, None)]
