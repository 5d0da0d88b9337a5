"""Reading tables of the store that contain rows of another writer."""

import base64
import json

from aiohttp import web

from damasksaddle_gateway.feeds import read_all
from damasksaddle_platform.store import StoreTable
from tests.gateway.test_request_handler import start_server

PAGE_ROWS = 3
ROWS = [(f"x-{number}", b"\xff") for number in range(4)] + [("y", b"text")]


async def _get_rows(request: web.BaseRequest) -> web.StreamResponse:
    """Responds like `GET /rows-get`, with pages of `PAGE_ROWS`."""
    rows = [
        {
            "Table": "servers",
            "part": "",
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Ver": 3,
        }
        for key, value in ROWS
        if key >= request.query.get("From", "")
    ]
    body = {
        "Rows": rows[:PAGE_ROWS],
        "MorePages": len(rows) > PAGE_ROWS,
        "Ver": 3,
        "NowMs": 5,
    }
    return web.Response(body=json.dumps(body), content_type="application/json")


async def test_rows_after_a_page_of_unreadable_rows_are_read() -> None:
    """Guards against a reader that stops at a page without a readable row."""
    runner, address = await start_server(_get_rows)
    table = StoreTable(address)
    await table.start()
    page = await read_all(table, "servers//")
    assert [row.value for row in page.rows] == ["text"]
    await table.stop()
    await runner.cleanup()
