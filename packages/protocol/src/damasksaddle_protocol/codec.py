"""Encodes and decodes frames with Cap'n Proto; loads the schema at import time."""

import dataclasses
import typing
from pathlib import Path
from typing import Any

import capnp

from damasksaddle.exceptions import ProtocolViolation
from damasksaddle_protocol.messages import Frame, Message
from damasksaddle_protocol.packing import unpack

_schema: Any = capnp.load(str(Path(__file__).with_name("peer.capnp")))
# Cached, because a lookup in the schema costs as much as reading a field.
_frame_schema: Any = _schema.Frame

# Limits how much a decoder may read, so that a peer cannot exhaust memory.
TRAVERSAL_LIMIT_WORDS = 4 * 1024 * 1024


# Exceptions that pycapnp raises for values that do not fit their field.
_ENCODE_ERRORS = (
    capnp.KjException,
    AttributeError,
    OverflowError,
    TypeError,
    ValueError,
)
_SCALAR_TYPES = frozenset((str, int, float, bool, bytes))


def _camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def _union_member(message_type: type) -> str:
    return message_type.__name__[0].lower() + message_type.__name__[1:]


_MESSAGE_TYPES: dict[str, type] = {
    _union_member(message_type): message_type
    for message_type in typing.get_args(Message)
}
_FIELD_NAMES: dict[type, list[tuple[str, str]]] = {
    message_type: [
        (field.name, _camel_case(field.name))
        for field in dataclasses.fields(message_type)
    ]
    for message_type in _MESSAGE_TYPES.values()
}


def encode(frame: Frame) -> bytes:
    """
    Encodes a frame as packed bytes.

    Raises `ProtocolViolation` if a field does not fit its type in the schema.
    """
    message_type = type(frame.message)
    try:
        builder = _frame_schema.new_message(
            requestId=frame.request_id,
            epoch=frame.epoch,
            deadlineMs=frame.deadline_ms,
        )
        body = builder.init(_union_member(message_type))
        for name, wire_name in _FIELD_NAMES[message_type]:
            setattr(body, wire_name, getattr(frame.message, name))
        return builder.to_bytes_packed()
    except _ENCODE_ERRORS as error:
        raise ProtocolViolation(
            f"cannot encode {message_type.__name__}: {error}"
        ) from error


def decode(data: bytes) -> Frame:
    """Decodes a frame from packed bytes; raises `ProtocolViolation` if malformed."""
    try:
        with _frame_schema.from_bytes(
            unpack(data), traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as reader:
            return _frame_from(reader)
    except (capnp.KjException, KeyError, UnicodeDecodeError, ValueError) as error:
        reason = str(error).partition("\n")[0]
        raise ProtocolViolation(f"cannot decode a frame: {reason}") from error


def _frame_from(reader: Any) -> Frame:
    union_member = reader.which()
    message_type = _MESSAGE_TYPES[union_member]
    body = getattr(reader, union_member)
    values = [
        _to_python(getattr(body, wire_name))
        for _, wire_name in _FIELD_NAMES[message_type]
    ]
    return Frame(
        reader.requestId, message_type(*values), reader.epoch, reader.deadlineMs
    )


def _to_python(value: Any) -> Any:
    return value if type(value) in _SCALAR_TYPES else list(value)
