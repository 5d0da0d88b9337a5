"""A sample service with model, filing and look-up routes for end-to-end tests."""

import json
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from typing import Any

from damasksaddle_standins.engine import ModelEngine
from damasksaddle_standins.http_fleet import (
    HttpFleet,
    RawResponse,
    http_fleet,
    send_raw,
)

CHAT = "/v1/chat/completions"
FILE = "/v1/services/desk/file"


def document(engine: str, tool: str) -> dict[str, Any]:
    """Returns the document of the sample service."""
    rate = {"rate_per_s": 1000, "burst": 1000}
    return {
        "service": "desk",
        "pools": {
            "writer": {
                "kind": "model",
                "model": "lv",
                "prompt_micros_per_ktoken": 1000,
                "output_micros_per_ktoken": 2000,
                "upstreams": [{"name": "run-1", "url": engine, "failure_domain": "a"}],
            },
            "filing": {
                "kind": "plain",
                "call_micros": 50,
                "upstreams": [{"name": "tool-1", "url": tool, "failure_domain": "a"}],
            },
        },
        "routes": {
            "chat": {"pool": "writer"},
            "file": {"pool": "filing", "path": "/file", "repeat": "never"},
            "look": {"pool": "filing", "path": "/look"},
        },
        "workspaces": {
            "ngo": rate,
            "other": rate,
            "slow": {"rate_per_s": 0.01, "burst": 1, "max_wait_ms": 0},
        },
    }


@asynccontextmanager
async def sample_fleet(
    size: int,
    engine: ModelEngine | None = None,
    tool_url: str = "",
    **changes: Any,
) -> AsyncGenerator[tuple[HttpFleet, str], None]:
    """Yields a fleet that runs the sample service, and a key of workspace `ngo`."""
    async with http_fleet(size, engine, **changes) as fleet:
        tool = tool_url or fleet.urls["tool"]
        await fleet.apply("desk", document(fleet.urls["engine"], tool))
        yield fleet, await fleet.give_key("ngo")


def chat_body(text: str = "hello", **fields: Any) -> dict[str, Any]:
    """Returns the body of a short chat completion request."""
    message = {"role": "user", "content": text}
    return {"model": "desk/chat", "messages": [message], "max_tokens": 3, **fields}


def raw_request(
    key: str, head: str = "", body: Any = b"", path: str = CHAT, method: str = "POST"
) -> bytes:
    """Returns a raw request; adds a Content-Length if `head` sets no body framing."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    if "ength:" not in head and "ncoding:" not in head:
        head += f"Content-Length: {len(data)}\r\n"
    start = f"{method} {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
    return (start + head + "\r\n").encode("latin-1") + data


async def response_summary(url: str, data: bytes) -> tuple[Any, ...]:
    """
    Sends raw bytes and returns the parts of the response that tests compare.

    These are the status and, for an error, its code, `not_run`, detail and Retry-After.
    """
    response: RawResponse = await send_raw(url, data)
    if response.status < 400:
        return (response.status,)
    assert response.headers["content-type"].startswith("application/problem+json")
    body = json.loads(response.body)
    assert body["status"] == response.status
    summary = (response.status, body["code"], body["not_run"], body["detail"])
    return (*summary, response.headers.get("retry-after"))
