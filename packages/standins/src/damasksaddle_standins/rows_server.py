"""An HTTP server for `VersionedRows` with the protocol of the users' platform."""

import base64
from typing import Any

from aiohttp import web

from damasksaddle.exceptions import (
    ChangesExpired,
    ResponseLost,
    TableUnavailable,
    WriteConflict,
)
from damasksaddle.platform import Page, Put, Row, row_key
from damasksaddle_standins.versioned_table import MemoryVersionedTable, VersionedRows


class RowsServer:
    """
    The HTTP interface of the versioned store.

    `refused_addresses` holds the source addresses that get status 503, as when the
    store refuses some machines.
    """

    def __init__(self, rows: VersionedRows) -> None:
        self.rows = rows
        self.table = MemoryVersionedTable(rows)
        self.refused_addresses: set[str] = set()

    def app(self) -> web.Application:
        """Returns the web application of the store."""
        app = web.Application(middlewares=[self._handle_faults])
        app.router.add_get("/rows-get", self._get)
        app.router.add_get("/rows-feed", self._feed)
        app.router.add_post("/rows-tx", self._commit)
        return app

    @web.middleware
    async def _handle_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.remote in self.refused_addresses:
            return web.Response(status=503)
        try:
            return await handler(request)
        except TableUnavailable:
            return web.Response(status=503)
        except ResponseLost:
            # The loss of an answer also breaks its connection.
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)

    async def _get(self, request: web.Request) -> web.Response:
        query = request.query
        prefix = row_key(query["Table"], query["part"], "")
        page = await self.table.page(prefix, limit=10_000)
        start_key, end_key = query.get("From", ""), query.get("To")
        limit = int(query.get("Limit", 500))
        rows = [
            row
            for row in page.rows
            if _row_name(row) >= start_key
            and (end_key is None or _row_name(row) < end_key)
        ]
        body = _page_body(Page(rows[:limit], page.version, page.now_ms))
        return web.json_response({**body, "MorePages": len(rows) > limit})

    async def _feed(self, request: web.Request) -> web.Response:
        query = request.query
        try:
            page = await self.table.changes(
                query["Table"], int(query["after"]), int(query["WaitMs"]) / 1000
            )
        except ChangesExpired:
            return web.Response(status=410)
        return web.json_response(_page_body(page))

    async def _commit(self, request: web.Request) -> web.Response:
        body = await request.json()
        expected = {_entry_key(entry): entry["Ver"] for entry in body["ExpectedRev"]}
        puts = [
            Put(
                _entry_key(entry),
                base64.b64decode(entry["Value"]).decode(),
                expected.get(_entry_key(entry)),
            )
            for entry in body["SetKeys"]
        ]
        puts += [
            Put(_entry_key(entry), None, expected.get(_entry_key(entry)))
            for entry in body["Remove"]
        ]
        try:
            page = await self.table.commit(puts)
        except WriteConflict as error:
            rows = [_row_fields(row) for row in error.rows]
            return web.json_response({"Rows": rows}, status=412)
        return web.json_response(_page_body(page))


def _row_name(row: Row) -> str:
    return row.key.split("/", 2)[2]


def _entry_key(entry: dict[str, Any]) -> str:
    return row_key(entry["Table"], entry["part"], entry["Key"])


def _row_fields(row: Row) -> dict[str, Any]:
    table, part, key = row.key.split("/", 2)
    fields: dict[str, Any] = {
        "Table": table,
        "part": part,
        "Key": key,
        "Ver": row.version,
    }
    if row.deleted:
        return {**fields, "Tombstone": True}
    return {**fields, "Value": base64.b64encode(row.value.encode()).decode()}


def _page_body(page: Page) -> dict[str, Any]:
    rows = [_row_fields(row) for row in page.rows]
    return {"Rows": rows, "Ver": page.version, "NowMs": page.now_ms}
