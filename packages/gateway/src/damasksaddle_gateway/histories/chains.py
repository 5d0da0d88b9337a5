"""
The body of a turn that continues a long chain, read while it is sent.

A joined body would need the memory of the whole chain, and a chain has no bound. Its
pieces are read from the store instead, one ahead of the upstream, and again for each
attempt. The VM holds two pieces at a time, whatever the length of the chain.
"""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import aclosing
from dataclasses import dataclass

from damasksaddle.exceptions import DamasksaddleError
from damasksaddle_gateway.histories.coordinator import MAX_MESSAGE_BYTES

# The piece that is sent, and the next one with the rows that it is decoded from.
HELD_BYTES = 4 * MAX_MESSAGE_BYTES


@dataclass(slots=True, eq=False)
class ChainBody:
    """
    The content of the turns `names`, oldest first, and the new input after it.

    `read_turn` yields the content of one turn in pieces.
    """

    names: list[str]
    size_bytes: int
    new_input: bytes
    read_turn: Callable[[str], AsyncIterator[bytes]]
    # Why the body could not be read to its end in the last attempt.
    error: DamasksaddleError | None = None

    async def pieces(self) -> AsyncGenerator[bytes, None]:
        """
        Yields the body, reading one piece ahead.

        Raises what `read_turn` raises, and keeps it as `error`.
        """
        self.error = None
        async with aclosing(self._read_pieces()) as reading:
            ahead = asyncio.ensure_future(anext(reading, None))
            try:
                while (piece := await ahead) is not None:
                    ahead = asyncio.ensure_future(anext(reading, None))
                    yield piece
            except DamasksaddleError as error:
                self.error = error
                raise
            finally:
                ahead.cancel()
                await asyncio.gather(ahead, return_exceptions=True)
        yield self.new_input

    async def _read_pieces(self) -> AsyncGenerator[bytes, None]:
        for name in self.names:
            async for piece in self.read_turn(name):
                yield piece
