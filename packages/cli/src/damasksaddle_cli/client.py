"""A client of the admin API that tries several addresses in order."""

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
SAFE_METHODS = frozenset({"GET"})
OPERATOR_HEADER = "X-Operator"


def admin_path(*parts: str) -> str:
    """Returns the path of a resource; the parts may contain any character."""
    return "/admin/" + "/".join(quote(part, safe="") for part in parts)


class AdminClient:
    """
    Sends requests to the first VM whose admin API can be reached.

    A read is retried at the next address after any failure. A change is retried only if
    it was certainly not recorded: the connection failed, or the response says so.

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
        self._ssl = _ssl_context(ca_file)

    def validate_settings(self) -> None:
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
        Sends a request and returns the decoded JSON response.

        Raises `AdminRefused`, `AdminUnreachable`, or `AdminOutcomeUnknown` if a change
        may have been recorded although no response arrived.
        """
        self.validate_settings()
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
            headers=headers, middlewares=(_prevent_resend,)
        ) as session:
            for url in self._urls:
                try:
                    return await self._send_to(
                        session, method, url + path, params, data
                    )
                except AdminUnreachable as error:
                    failures.append(f"{url}: {error}")
        raise AdminUnreachable("; ".join(failures))

    async def _send_to(
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
                ssl=self._ssl,
            ) as response:
                status, text = response.status, await response.text()
            body = json.loads(text)
        except aiohttp.ClientConnectorError as error:
            raise AdminUnreachable(str(error)) from error
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            reason = str(error) or type(error).__name__
            if method in SAFE_METHODS:
                raise AdminUnreachable(reason) from error
            raise AdminOutcomeUnknown(
                f"{url}: {reason}; the change may have been recorded"
            ) from error
        if status < HTTP_BAD_REQUEST:
            return body
        detail = str(body.get("detail", text))
        if status == HTTP_UNAVAILABLE:
            # The admin API returns 503 only if nothing was recorded.
            raise AdminUnreachable(detail)
        raise AdminRefused(
            str(body.get("code", status)),
            detail,
            body.get("problems"),
            body.get("in_force"),
        )


async def _prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """
    Prevents aiohttp from retrying a change by itself.

    After a lost connection, `aiohttp` retries PUT and DELETE, which would record the
    change twice. It does not retry after an exception of another type.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientError, OSError) as error:
        if request.method in SAFE_METHODS:
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


def _ssl_context(ca_file: str | None) -> ssl.SSLContext | bool:
    if ca_file is None:
        return True
    try:
        return ssl.create_default_context(cafile=ca_file)
    except (OSError, ssl.SSLError) as error:
        raise SettingsInvalid(f"--ca-file: {error}") from error
