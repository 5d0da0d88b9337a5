"""HTTP clients of the platform services, in the format that the stand-ins serve."""

import asyncio
import json

import aiohttp

from damasksaddle.exceptions import (
    ObjectNotFound,
    ResponseLost,
    TableUnavailable,
    WriteConflict,
)
from damasksaddle.platform.interfaces import ListedVm, Put, Row

HTTP_CONFLICT = 409
HTTP_NOT_FOUND = 404
HTTP_OK = 200
HTTP_UNAVAILABLE = 503

_CLIENT_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class _HttpClient:
    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, timeout_s: float
    ) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def _read(self, path: str, params: dict[str, str]) -> tuple[int, bytes]:
        try:
            async with self._session.get(
                self._base_url + path, params=params, timeout=self._timeout
            ) as response:
                return response.status, await response.read()
        except _CLIENT_ERRORS as error:
            raise TableUnavailable(f"{path}: {error!r}") from error


class HttpTable(_HttpClient):
    """Client of the transactional table."""

    async def get(self, key: str) -> Row | None:
        rows = await self._get_rows("/rows", {"key": key})
        return rows[0] if rows else None

    async def scan(self, prefix: str, after: str = "", limit: int = 500) -> list[Row]:
        params = {"prefix": prefix, "after": after, "limit": str(limit)}
        return await self._get_rows("/scan", params)

    async def _get_rows(self, path: str, params: dict[str, str]) -> list[Row]:
        status, body = await self._read(path, params)
        if status != HTTP_OK:
            raise TableUnavailable(f"{path}: status {status}")
        return [Row(*fields) for fields in json.loads(body)["rows"]]

    async def write(self, puts: list[Put], write_id: str) -> None:
        body = {
            "write_id": write_id,
            "puts": [[put.key, put.value, put.expected_version] for put in puts],
        }
        try:
            async with self._session.post(
                self._base_url + "/write", json=body, timeout=self._timeout
            ) as response:
                status = response.status
        except aiohttp.ClientConnectorError as error:
            raise TableUnavailable(repr(error)) from error
        except _CLIENT_ERRORS as error:
            raise ResponseLost(repr(error)) from error
        if status == HTTP_CONFLICT:
            raise WriteConflict(write_id)
        if status == HTTP_UNAVAILABLE:
            raise TableUnavailable(f"write: status {status}")
        if status != HTTP_OK:
            raise ResponseLost(f"write: status {status}")


class HttpObjectStore(_HttpClient):
    """Client of the object store."""

    async def put(self, key: str, data: bytes) -> None:
        try:
            async with self._session.put(
                f"{self._base_url}/objects/{key}", data=data, timeout=self._timeout
            ) as response:
                status = response.status
        except _CLIENT_ERRORS as error:
            raise TableUnavailable(repr(error)) from error
        if status != HTTP_OK:
            raise TableUnavailable(f"put {key}: status {status}")

    async def get(self, key: str) -> bytes:
        status, body = await self._read(f"/objects/{key}", {})
        if status == HTTP_NOT_FOUND:
            raise ObjectNotFound(key)
        if status != HTTP_OK:
            raise TableUnavailable(f"get {key}: status {status}")
        return body


class HttpVmList(_HttpClient):
    """Client of the VM list."""

    async def read(self) -> list[ListedVm]:
        status, body = await self._read("/vms", {})
        if status != HTTP_OK:
            raise TableUnavailable(f"vms: status {status}")
        return [ListedVm(*fields) for fields in json.loads(body)["vms"]]
