"""A store, or something in its place, that sends bytes without end."""

import asyncio

import pytest

from damasksaddle.exceptions import ResponseLost, TableUnavailable
from damasksaddle.platform import Put
from damasksaddle_platform.store import StoreTable
from damasksaddle_standins.endless import endless_server

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_BYTES = 32 * 1024 * 1024


@pytest.mark.parametrize(
    ("head", "piece"),
    [
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1024),
        (CHUNKED, b"0" * 65536),
        (CHUNKED + b"1;", b"x" * 65536),
    ],
    ids=["interim", "zeros", "extension"],
)
async def test_endless_bytes_of_the_store_end_with_an_error(
    head: bytes, piece: bytes
) -> None:
    """Guards against store calls that take the gateway's time until their timeout."""
    loop = asyncio.get_running_loop()
    async with endless_server(head, piece, 0.0, ENDLESS_BYTES) as (address, sent):
        table = StoreTable(address)
        await table.start()
        started_s = loop.time()
        with pytest.raises(TableUnavailable):
            await table.row("t//k")
        with pytest.raises(ResponseLost):
            await table.commit([Put("t//k", "v", 0)])
        assert loop.time() - started_s < 0.1
        assert len(sent) == 2 and max(sent) < ENDLESS_BYTES
        await table.stop()
