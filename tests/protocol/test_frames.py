"""Frames that no honest peer sends: random, cut, oversized and inflated ones."""

import asyncio
import dataclasses
import resource
import struct
import typing

from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from damasksaddle.exceptions import ProtocolViolation
from damasksaddle_protocol import (
    MAX_FRAME_BYTES,
    Append,
    Frame,
    Message,
    decode,
    encode,
    pack_frame,
    read_frame,
)

SEED = 20261204
# How long an example takes says nothing on a busy machine.
FUZZ = settings(
    max_examples=400,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
VALUES = {
    str: st.text(max_size=40).filter(lambda text: "\0" not in text),
    bytes: st.binary(max_size=40),
    bool: st.booleans(),
    int: st.integers(0, 2**31),
    float: st.floats(allow_nan=False),
    list[str]: st.lists(st.text(max_size=9).filter(lambda text: "\0" not in text)),
}


def any_message() -> st.SearchStrategy:
    """Returns messages of all kinds with fields of the right types."""
    return st.one_of(
        st.builds(kind, **{f.name: VALUES[f.type] for f in dataclasses.fields(kind)})
        for kind in typing.get_args(Message)
    )


def decoded(data: bytes) -> bool:
    """Decodes; every failure but the typed one is an error of the test."""
    try:
        decode(data)
    except ProtocolViolation:
        return False
    return True


@seed(SEED)
@FUZZ
@given(any_message(), st.integers(0, 2**64 - 1))
def test_messages_survive_the_wire(message, request_id):
    """Guards against a field that is lost or takes another's place."""
    frame = Frame(request_id, message, 7, 5000)
    assert decode(encode(frame)) == frame


@seed(SEED)
@FUZZ
@given(any_message(), st.data())
def test_changed_frames_fail_with_a_type(message, data):
    """Guards against an untyped failure on bytes that a peer may send."""
    good = bytearray(encode(Frame(1, message)))
    for position in data.draw(st.lists(st.integers(0, len(good) - 1), max_size=4)):
        good[position] ^= data.draw(st.integers(1, 255))
    decoded(bytes(good))
    decoded(bytes(good[: data.draw(st.integers(0, len(good)))]))
    decoded(bytes(good) + data.draw(st.binary(max_size=64)))
    decoded(data.draw(st.binary(max_size=300)))


@seed(SEED)
@FUZZ
@given(any_message(), st.sampled_from(["text", 2**70, -1, None, [1], b"\xff", {}]))
def test_values_that_do_not_fit_fail_with_a_type(message, value):
    """Guards against an untyped failure when this side builds a frame."""
    for field in dataclasses.fields(message):
        try:
            encode(Frame(1, dataclasses.replace(message, **{field.name: value})))
        except ProtocolViolation:
            continue


def test_inflated_frames_stay_small():
    """Guards against a packed frame that grows far beyond its own size."""
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    zeros = b"\x00\xff" * (MAX_FRAME_BYTES // 2 - 64)
    for words in (2**10, 2**22, 2**24, 2**31, 2**32 - 1):
        # One segment that claims `words` words, and 255 zero words per two bytes.
        table = struct.pack("<II", 0, words)
        head = b"\xff" + table + b"\x00"
        decoded(head + zeros)
        decoded(b"\xff" + struct.pack("<II", 511, words) + b"\x00" + zeros)
    many = Append(1, "vm", [""] * 500_000, 1)
    assert decode(encode(Frame(1, many))).message == many
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    assert after_kb - before_kb < 300 * 1024


async def read(data: bytes):
    """Reads one frame from some bytes and the end of the stream."""
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    return await read_frame(reader)


@seed(SEED)
@FUZZ
@given(any_message(), st.binary(max_size=64), st.integers(0, 2**32 - 1))
def test_streams_fail_with_a_type(message, noise, size):
    """Guards against a reader that waits for, or keeps, what a peer claims."""
    good = pack_frame(Frame(1, message))
    for data in (good[:-1], noise, struct.pack(">I", size) + noise, good + noise):
        try:
            assert asyncio.run(read(data)).request_id == 1 or data is not good
        except (ProtocolViolation, asyncio.IncompleteReadError):
            continue
