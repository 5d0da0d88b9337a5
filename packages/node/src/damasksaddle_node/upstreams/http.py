"""HTTP client of upstreams; engines use the OpenAI-compatible streaming API."""

import asyncio
from collections.abc import AsyncGenerator
from dataclasses import asdict
from typing import Any

import aiohttp
from pydantic_core import from_json

from damasksaddle.exceptions import OrderRefused, UpstreamError
from damasksaddle_node.upstreams.interfaces import (
    CacheEvent,
    EngineDone,
    EngineEvent,
    EngineHoldings,
    EngineLoad,
    EngineOrder,
    EngineRequest,
    EngineToken,
    PlainRequest,
    PlainResponse,
)

CONTROL_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 2.0
# A response is stored with its call and sent between nodes in one frame. JSON escapes
# can make it six times as large, which stays below the frame limit of 8 MiB.
MAX_RESPONSE_BYTES = 1024 * 1024
# An event of an engine contains only a few tokens.
MAX_EVENT_BYTES = 1024 * 1024
# Maximum gap between reads; under full load engines stay well below this.
READ_TIMEOUT_S = 30.0
# An order to load weights is answered only when they are loaded.
ORDER_TIMEOUT_S = 600.0
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
DATA_PREFIX = b"data: "

_REQUEST_ERRORS = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    ValueError,
    KeyError,
)


class HttpUpstreams:
    """Calls upstreams with a shared `aiohttp` session."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def generate(
        self, url: str, request: EngineRequest
    ) -> AsyncGenerator[EngineEvent, None]:
        """Yields tokens and finally `EngineDone`; raises `UpstreamError`."""
        timeout = aiohttp.ClientTimeout(
            sock_connect=CONNECT_TIMEOUT_S, sock_read=READ_TIMEOUT_S
        )
        try:
            async with self._session.post(
                f"{url}/v1/chat/completions",
                json=_request_body(request),
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                if response.status != HTTP_OK:
                    raise UpstreamError(
                        f"status {response.status}",
                        sent=response.status != HTTP_UNAVAILABLE,
                    )
                remainder = b""
                async for chunk in response.content.iter_any():
                    *lines, remainder = (remainder + chunk).split(b"\n")
                    if len(remainder) > MAX_EVENT_BYTES:
                        raise UpstreamError(
                            "an event is above the size limit", sent=True
                        )
                    for line in lines:
                        if not line.startswith(DATA_PREFIX):
                            continue
                        data = line[len(DATA_PREFIX) :].strip()
                        if data == b"[DONE]":
                            return
                        for event in _events(from_json(data)):
                            yield event
        except aiohttp.ClientConnectorError as error:
            raise UpstreamError(repr(error), sent=False) from error
        except _REQUEST_ERRORS as error:
            raise UpstreamError(repr(error), sent=True) from error
        raise UpstreamError("the stream ended before [DONE]", sent=True)

    async def call(self, url: str, request: PlainRequest) -> PlainResponse:
        """
        Calls a plain service and returns its response; raises `UpstreamError`.

        Redirects are not followed, because that would send the call a second time.
        """
        timeout = aiohttp.ClientTimeout(
            total=request.timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        headers = {
            "Content-Type": request.content_type,
            "X-Request-Id": request.call_id,
            "Idempotency-Key": request.call_id,
        }
        try:
            async with self._session.post(
                url + request.path,
                data=request.body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await _read_body(response)
                content_type = response.headers.get(
                    "Content-Type", "application/octet-stream"
                )
                return PlainResponse(response.status, content_type, body)
        except aiohttp.ClientConnectorError as error:
            raise UpstreamError(repr(error), sent=False) from error
        except _REQUEST_ERRORS as error:
            raise UpstreamError(repr(error), sent=True) from error

    async def outcome(self, url: str, path: str) -> PlainResponse:
        """Queries a plain service for the outcome of a call; raises `UpstreamError`."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        try:
            async with self._session.get(url + path, timeout=timeout) as response:
                body = await response.read()
                return PlainResponse(response.status, response.content_type, body)
        except _REQUEST_ERRORS as error:
            raise UpstreamError(repr(error), sent=True) from error

    async def release(self, url: str, session: str) -> None:
        """Frees the KV cache of a session on an engine."""
        await self._control_request("POST", f"{url}/v1/release", {"session": session})

    async def load(self, url: str, sessions: bool = False) -> EngineLoad:
        """Returns the engine's newest load report."""
        query = f"sessions={int(sessions)}"
        report = await self._control_request("GET", f"{url}/v1/load?{query}")
        try:
            return EngineLoad(**report)
        except TypeError as error:
            raise UpstreamError(repr(error), sent=True) from error

    async def cache_events(self, url: str, after: int) -> list[CacheEvent]:
        """Returns the cache events of an engine that follow a sequence number."""
        events = await self._control_request(
            "GET", f"{url}/v1/cache_events?after={after}"
        )
        try:
            return [CacheEvent(*event) for event in events]
        except TypeError as error:
            raise UpstreamError(repr(error), sent=True) from error

    async def order(self, url: str, order: EngineOrder) -> None:
        """Orders an engine to load weights; raises `OrderRefused`."""
        await self._control_request(
            "POST", f"{url}/v1/orders", asdict(order), timeout_s=ORDER_TIMEOUT_S
        )

    async def holdings(self, url: str) -> EngineHoldings:
        """Returns the weights and role that an engine holds."""
        report = await self._control_request("GET", f"{url}/v1/holdings")
        try:
            return EngineHoldings(**report)
        except TypeError as error:
            raise UpstreamError(repr(error), sent=True) from error

    async def _control_request(
        self,
        method: str,
        url: str,
        body: Any = None,
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> Any:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.request(
                method, url, json=body, timeout=timeout
            ) as response:
                if response.status == HTTP_CONFLICT:
                    raise OrderRefused(await response.text())
                if response.status != HTTP_OK:
                    raise UpstreamError(f"status {response.status}", sent=True)
                return await response.json()
        except aiohttp.ClientConnectorError as error:
            raise UpstreamError(repr(error), sent=False) from error
        except _REQUEST_ERRORS as error:
            raise UpstreamError(repr(error), sent=True) from error


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Reads a response body; raises `UpstreamError` if it is too large."""
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise UpstreamError("the response is above the size limit", sent=True)
    return bytes(body)


def _request_body(request: EngineRequest) -> dict[str, Any]:
    return {
        **request.sampling,
        "model": request.model,
        "messages": request.messages,
        "max_tokens": request.max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
        "call_id": request.call_id,
        "session": request.session,
        "priority": request.priority,
        "resume_text": request.resume_text,
        "keep": request.keep,
    }


def _events(chunk: dict[str, Any]) -> list[EngineEvent]:
    events: list[EngineEvent] = []
    finish_reason = "stop"
    for choice in chunk.get("choices", ()):
        text = choice.get("delta", {}).get("content")
        if text:
            events.append(EngineToken(_replace_lone_surrogates(text)))
        finish_reason = choice.get("finish_reason") or finish_reason
    usage = chunk.get("usage")
    if usage:
        events.append(
            EngineDone(
                usage["prompt_tokens"],
                usage["completion_tokens"],
                usage.get("cached_tokens", 0),
                chunk.get("finish_reason", finish_reason),
            )
        )
    return events


def _replace_lone_surrogates(text: str) -> str:
    """Replaces lone surrogates, which cannot be encoded as UTF-8."""
    return text if text.isascii() else text.encode(errors="replace").decode()
