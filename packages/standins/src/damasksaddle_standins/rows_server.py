"""Serves `VersionedRows` over HTTP in the protocol of the users' platform."""

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
from damasksaddle_standins.versioned import VersionedRows, VersionedStandin


class RowsServer:
    """
    The store's HTTP interface.

    `refused` holds the source addresses that get 503, as when the store turns some
    machines away.
    """

    def __init__(self, rows: VersionedRows) -> None:
        self.rows = rows
        self.table = VersionedStandin(rows)
        self.refused: set[str] = set()

    def app(self) -> web.Application:
        """Returns the application with all calls."""
        app = web.Application(middlewares=[self._turn_away])
        app.router.add_get("/rows-get", self._get)
        app.router.add_get("/rows-feed", self._feed)
        app.router.add_post("/rows-tx", self._tx)
        return app

    @web.middleware
    async def _turn_away(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.remote in self.refused:
            return web.Response(status=503)
        try:
            return await handler(request)
        except TableUnavailable:
            return web.Response(status=503)
        except ResponseLost:
            # A connection on which an answer is lost delivers nothing more.
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)

    async def _get(self, request: web.Request) -> web.Response:
        query = request.query
        prefix = row_key(query["Table"], query["part"], "")
        page = await self.table.page(prefix, limit=10_000)
        first, end = query.get("From", ""), query.get("To")
        limit = int(query.get("Limit", 500))
        rows = [
            row
            for row in page.rows
            if _name(row) >= first and (end is None or _name(row) < end)
        ]
        body = _body(Page(rows[:limit], page.version, page.now_ms))
        return web.json_response({**body, "MorePages": len(rows) > limit})

    async def _feed(self, request: web.Request) -> web.Response:
        query = request.query
        try:
            page = await self.table.changes(
                query["Table"], int(query["after"]), int(query["WaitMs"]) / 1000
            )
        except ChangesExpired:
            return web.Response(status=410)
        return web.json_response(_body(page))

    async def _tx(self, request: web.Request) -> web.Response:
        body = await request.json()
        expected = {_key(entry): entry["Ver"] for entry in body["ExpectedRev"]}
        puts = [
            Put(
                _key(entry),
                base64.b64decode(entry["Value"]).decode(),
                expected.get(_key(entry)),
            )
            for entry in body["SetKeys"]
        ]
        puts += [
            Put(_key(entry), None, expected.get(_key(entry)))
            for entry in body["Remove"]
        ]
        try:
            page = await self.table.commit(puts)
        except WriteConflict as error:
            rows = [_fields(row) for row in error.rows]
            return web.json_response({"Rows": rows}, status=412)
        return web.json_response(_body(page))


def _name(row: Row) -> str:
    return row.key.split("/", 2)[2]


def _key(entry: dict[str, Any]) -> str:
    return row_key(entry["Table"], entry["part"], entry["Key"])


def _fields(row: Row) -> dict[str, Any]:
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


def _body(page: Page) -> dict[str, Any]:
    rows = [_fields(row) for row in page.rows]
    return {"Rows": rows, "Ver": page.version, "NowMs": page.now_ms}
