"""Writes responses to callers that may read them slowly."""

from collections.abc import Callable

from aiohttp import web
from aiohttp.http_writer import StreamWriter
from multidict import CIMultiDict

from damasksaddle.exceptions import OutcomeUnknown
from damasksaddle_gateway.calls import Call

# A longer body is written in pieces; a single write would copy what the caller has not
# read yet.
PIECE_BYTES = 64 * 1024


def response_holder(call: Call) -> Callable[[int], bool]:
    """Returns a function that reserves memory for the response of an attempt."""
    if call.connection is None:
        return lambda size_bytes: True
    # An earlier attempt may have read a part of a response.
    call.connection.release_response()
    return call.connection.hold_response


async def write_ahead(response: web.StreamResponse, call: Call, data: bytes) -> None:
    """
    Writes a part of a stream without waiting until the caller has read it.

    An upstream cuts off a response that stays unread for some seconds. What the caller
    has not read is held within the memory budget; beyond that, the connection is closed
    and `OutcomeUnknown` raised.
    """
    writer = response._payload_writer
    assert isinstance(writer, StreamWriter)
    await writer.write(data, drain=False)
    if call.connection is not None and not call.connection.account_unsent():
        raise OutcomeUnknown("the caller reads too slowly")


class BufferedResponse(web.Response):
    """A response with a body that is written as the caller reads it."""

    def __init__(self, status: int, headers: CIMultiDict[str], body: bytes) -> None:
        super().__init__(status=status, headers=headers, body=body)

    async def write_eof(self, data: bytes = b"") -> None:
        body, writer = self._body, self._payload_writer
        if (
            writer is not None
            and isinstance(body, bytes)
            and len(body) > PIECE_BYTES
            and not self._must_be_empty_body
        ):
            self._body = None
            for start in range(0, len(body), PIECE_BYTES):
                await writer.write(body[start : start + PIECE_BYTES])
        await super().write_eof(data)
