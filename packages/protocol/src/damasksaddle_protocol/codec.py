"""Encodes frames with Cap'n Proto; the schema is loaded at import time."""

import dataclasses
import typing
from pathlib import Path
from typing import Any

import capnp

from damasksaddle.exceptions import ProtocolViolation
from damasksaddle_protocol.messages import Frame, Message

_schema: Any = capnp.load(str(Path(__file__).with_name("peer.capnp")))
# Looking the type up in the schema costs as much as reading a field.
_frame: Any = _schema.Frame

# A frame's limit bounds what a decoder may read, so a peer cannot exhaust memory.
TRAVERSAL_LIMIT_WORDS = 4 * 1024 * 1024


# What pycapnp raises for values that do not fit their field.
_NOT_ENCODABLE = (
    capnp.KjException,
    AttributeError,
    OverflowError,
    TypeError,
    ValueError,
)
_PLAIN = frozenset((str, int, float, bool, bytes))


def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


def _member(kind: type) -> str:
    return kind.__name__[0].lower() + kind.__name__[1:]


_KINDS: dict[str, type] = {_member(kind): kind for kind in typing.get_args(Message)}
_FIELDS: dict[type, list[tuple[str, str]]] = {
    kind: [(field.name, _camel(field.name)) for field in dataclasses.fields(kind)]
    for kind in _KINDS.values()
}


def encode(frame: Frame) -> bytes:
    """
    Returns the packed bytes of a frame.

    Raises `ProtocolViolation` if a field does not fit its type in the schema.
    """
    kind = type(frame.message)
    try:
        built = _frame.new_message(
            requestId=frame.request_id,
            epoch=frame.epoch,
            deadlineMs=frame.deadline_ms,
        )
        part = built.init(_member(kind))
        for name, wire_name in _FIELDS[kind]:
            setattr(part, wire_name, getattr(frame.message, name))
        return built.to_bytes_packed()
    except _NOT_ENCODABLE as error:
        raise ProtocolViolation(f"cannot encode {kind.__name__}: {error}") from error


def decode(data: bytes) -> Frame:
    """Returns the frame of some packed bytes, or raises `ProtocolViolation`."""
    try:
        read = _frame.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        member = read.which()
        kind = _KINDS[member]
        part = getattr(read, member)
        values = [_plain(getattr(part, wire_name)) for _, wire_name in _FIELDS[kind]]
        return Frame(read.requestId, kind(*values), read.epoch, read.deadlineMs)
    except (capnp.KjException, KeyError, UnicodeDecodeError, ValueError) as error:
        reason = str(error).partition("\n")[0]
        raise ProtocolViolation(f"cannot decode a frame: {reason}") from error


def _plain(value: Any) -> Any:
    return value if type(value) in _PLAIN else [str(item) for item in value]
