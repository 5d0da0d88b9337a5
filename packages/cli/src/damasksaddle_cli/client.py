"""A client of the operators' interface that tries several addresses in order."""

import asyncio
import json
import ssl
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote, urlsplit

import aiohttp

from damasksaddle.exceptions import (
    AdminOutcomeUnknown,
    AdminRefused,
    AdminUnreachable,
    SettingsInvalid,
)

HTTP_BAD_REQUEST = 400
HTTP_UNAVAILABLE = 503
READ_METHODS = frozenset({"GET"})
OPERATOR_HEADER = "X-Operator"


def admin_path(*parts: str) -> str:
    """Returns the path of a resource; parts may hold any character."""
    return "/admin/" + "/".join(quote(part, safe="") for part in parts)


class AdminClient:
    """
    Sends requests to the first operators' interface that can be reached.

    A read goes on to the next address after any failure. A change goes on only if
    it was certainly not recorded: the connection failed, or the answer says so.

    >>> client = AdminClient(("http://10.0.0.1:8082",), "token", "ana")
    >>> client.request("GET", admin_path("vms"))
    [{'vm': 'a-1f', ...}]
    """

    def __init__(
        self,
        urls: tuple[str, ...],
        token: str,
        operator: str,
        *,
        timeout_s: float = 15.0,
        ca_file: str | None = None,
    ) -> None:
        self._urls = [url.rstrip("/") for url in urls]
        self._token = token
        self._operator = operator
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._tls = _tls(ca_file)

    def check(self) -> None:
        """Raises `SettingsInvalid` if a setting is missing or malformed."""
        if not self._urls:
            raise SettingsInvalid("--admin-url or DAMASKSADDLE_ADMIN_URL is not set")
        for url in self._urls:
            if not _is_http_url(url):
                raise SettingsInvalid(f"--admin-url: {url!r} is not an HTTP URL")
        if not self._token:
            raise SettingsInvalid(
                "--operator-token or DAMASKSADDLE_OPERATOR_TOKEN is not set"
            )
        if not all(text.isprintable() for text in (self._token, self._operator)):
            raise SettingsInvalid("--operator-token and --operator must be printable")

    def request(
        self,
        method: str,
        path: str,
        *,
        params: Mapping[str, str] | None = None,
        data: bytes | None = None,
    ) -> Any:
        """
        Returns the JSON answer to a request.

        Raises `AdminRefused`, `AdminUnreachable`, or `AdminOutcomeUnknown` if a change
        may have been recorded although no answer came.
        """
        self.check()
        return asyncio.run(self._request(method, path, dict(params or {}), data))

    async def _request(
        self, method: str, path: str, params: dict[str, str], data: bytes | None
    ) -> Any:
        headers = {
            "Authorization": f"Bearer {self._token}",
            OPERATOR_HEADER: quote(self._operator, safe=" @.+"),
        }
        failures: list[str] = []
        async with aiohttp.ClientSession(
            headers=headers, middlewares=(_send_once,)
        ) as session:
            for url in self._urls:
                try:
                    return await self._send(session, method, url + path, params, data)
                except AdminUnreachable as error:
                    failures.append(f"{url}: {error}")
        raise AdminUnreachable("; ".join(failures))

    async def _send(
        self,
        session: aiohttp.ClientSession,
        method: str,
        url: str,
        params: dict[str, str],
        data: bytes | None,
    ) -> Any:
        try:
            async with session.request(
                method,
                url,
                params=params,
                data=data,
                timeout=self._timeout,
                ssl=self._tls,
            ) as response:
                status, text = response.status, await response.text()
            body = json.loads(text)
        except aiohttp.ClientConnectorError as error:
            raise AdminUnreachable(str(error)) from error
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            reason = str(error) or type(error).__name__
            if method in READ_METHODS:
                raise AdminUnreachable(reason) from error
            raise AdminOutcomeUnknown(
                f"{url}: {reason}; the change may have been recorded"
            ) from error
        if status < HTTP_BAD_REQUEST:
            return body
        detail = str(body.get("detail", text))
        if status == HTTP_UNAVAILABLE:
            # The interface answers 503 only if nothing was recorded.
            raise AdminUnreachable(detail)
        raise AdminRefused(
            str(body.get("code", status)),
            detail,
            body.get("problems"),
            body.get("in_force"),
        )


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """
    Keeps the session from sending a change a second time by itself.

    `aiohttp` repeats PUT and DELETE after a lost connection, which would record the
    change twice; an error of another type is not repeated.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientError, OSError) as error:
        if request.method in READ_METHODS:
            raise
        raise AdminOutcomeUnknown(
            f"{request.url.origin()}: {error}; the change may have been recorded"
        ) from error


def _is_http_url(url: str) -> bool:
    try:
        parts = urlsplit(url)
        return parts.scheme in ("http", "https") and bool(parts.hostname)
    except ValueError:
        return False


def _tls(ca_file: str | None) -> ssl.SSLContext | bool:
    if ca_file is None:
        return True
    try:
        return ssl.create_default_context(cafile=ca_file)
    except (OSError, ssl.SSLError) as error:
        raise SettingsInvalid(f"--ca-file: {error}") from error
