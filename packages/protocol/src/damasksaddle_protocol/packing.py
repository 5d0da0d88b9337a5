"""
Unpacks Cap'n Proto's packed encoding.

The stream reader of the C++ library skips the rest of a malformed message in its
destructor, and an error there aborts the process. Frames are therefore unpacked here,
and the library reads them from memory. Each word is a tag with one bit per byte that is
not zero, followed by these bytes. After a word of zeros, a byte tells how many more of
them follow, and after a word without zeros, how many unpacked words follow.
"""

from damasksaddle.exceptions import ProtocolViolation

WORD_BYTES = 8
# A few bytes can stand for many zeros.
MAX_UNPACKED_BYTES = 32 * 1024 * 1024
_ZEROS_TAG = 0x00
_FULL_TAG = 0xFF
_POSITIONS = tuple(
    tuple(bit for bit in range(WORD_BYTES) if tag >> bit & 1) for tag in range(256)
)


def unpack(data: bytes) -> bytes:
    """
    Returns the unpacked bytes; raises `ProtocolViolation` if the data is malformed.

    >>> unpack(bytes([0b101, 7, 9, 0x00, 1])).hex(" ", 8)
    '0700090000000000 0000000000000000 0000000000000000'
    """
    unpacked = bytearray()
    position, size = 0, len(data)
    while position < size:
        tag = data[position]
        position += 1
        positions = _POSITIONS[tag]
        end = position + len(positions)
        if tag in (_ZEROS_TAG, _FULL_TAG):
            if end >= size:
                raise ProtocolViolation("a packed frame is truncated")
            run_bytes = data[end] * WORD_BYTES
            if tag == _ZEROS_TAG:
                unpacked += bytes(WORD_BYTES + run_bytes)
                position = end + 1
            else:
                unpacked += data[position:end]
                position = end + 1 + run_bytes
                unpacked += data[end + 1 : position]
        else:
            word = bytearray(WORD_BYTES)
            for index, byte in zip(positions, data[position:end], strict=False):
                word[index] = byte
            unpacked += word
            position = end
        if len(unpacked) > MAX_UNPACKED_BYTES:
            raise ProtocolViolation("a packed frame is too large")
    if position > size:
        raise ProtocolViolation("a packed frame is truncated")
    return bytes(unpacked)
